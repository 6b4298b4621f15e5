package flow

import (
	"net/netip"
	"time"
)

// Stats is a node's state at one moment, for operators.
type Stats struct {
	Now    time.Time
	VM     netip.AddrPort
	Domain string
	Inc    uint64
	Known  int // endpoints of the platform's list
	Slots  int // that this VM may use by health
	Free   int
	Out    int // endpoints ejected
}

// Stats returns the node's state.
func (n *Node) Stats() Stats {
	now := n.now()
	slots, free := n.table.Slots(now)
	return Stats{
		Now: now, VM: n.cfg.Self, Domain: n.cfg.Domain, Inc: n.cfg.Inc,
		Known: n.table.Known(), Slots: slots, Free: free, Out: len(n.health.Out()),
	}
}
