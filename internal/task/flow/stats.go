package flow

import (
	"net/netip"
	"time"
)

// Stats is a snapshot of a node's state for operators.
type Stats struct {
	Now     time.Time
	VM      netip.AddrPort
	Domain  string
	Inc     uint64
	Known   int // endpoints in the platform's list, without those excluded or leaving
	Slots   int // slots that this VM may use, by endpoint health
	Free    int
	Ejected int // ejected endpoints
}

// Stats returns the node's state.
func (n *Node) Stats() Stats {
	now := n.now()
	slots, free := n.table.Slots(now)
	return Stats{
		Now: now, VM: n.cfg.Self, Domain: n.cfg.Domain, Inc: n.cfg.Inc,
		Known: n.table.Known(), Slots: slots, Free: free, Ejected: len(n.health.Ejected()),
	}
}
