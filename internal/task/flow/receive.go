package flow

import (
	"net/netip"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
)

// Receive takes in a message of one incarnation of a peer. Messages of one peer
// come in order and one at a time.
func (n *Node) Receive(from frame.Hello, m frame.Msg) {
	if n.ctx.Err() != nil || n.stray(m) {
		return
	}
	switch m := m.(type) {
	case *frame.Beat:
		n.receiveBeat(from, m)
	case *frame.Give:
		n.receiveGive(from, m)
	case *frame.Took:
		n.receiveTook(from, m)
	case *frame.Back:
		n.receiveBack(from, m)
	case *frame.Submit:
		n.receiveSubmit(from, m)
	case *frame.Reply:
		n.receiveReply(from, m)
	case *frame.Have:
		n.receiveHave(m)
	case *frame.Want:
		n.receiveWant(from)
	}
}

// stray reports whether a message answers one of a former incarnation, which used the same numbers.
func (n *Node) stray(m frame.Msg) bool {
	to := n.cfg.Inc
	switch m := m.(type) {
	case *frame.Took:
		to = m.To
	case *frame.Back:
		to = m.To
	case *frame.Reply:
		to = m.To
	}
	return to != n.cfg.Inc && to != 0 // versions before this field name none
}

func (n *Node) receiveBeat(from frame.Hello, b *frame.Beat) {
	now := n.now()
	was := n.view.Find(from.VM)
	if c, ok := n.view.Hear(now, from, b); ok {
		if c.Reborn && was != nil {
			n.forsake(from.VM, was.Inc)
		}
		n.changed(c)
	}
	for _, a := range b.Gone {
		if e := n.table.Find(a); e != nil && !e.Leaving() {
			n.leave(a, from.VM.String(), false)
		}
	}
	n.quota.Hear(from.VM, b.Use)
	for _, a := range b.Out {
		n.health.Hear(now, a)
	}
	n.compare(from.VM, b)
	if b.Room.Urgent > 0 && n.Waiting() > 0 {
		n.pump()
	}
}

// changed acts on a member's new state.
func (n *Node) changed(c view.Change) {
	n.parts.Log.Info("member", "vm", c.VM, "state", c.State.String(), "inc", c.Inc)
	if c.State == view.Gone || c.State == view.Left {
		n.quota.Forget(c.VM)
	}
	if c.State == view.Gone {
		n.forsake(c.VM, c.Inc)
	}
	n.rehome()
	n.pump()
}

// forsake gives up on everything that an incarnation was to bring back.
func (n *Node) forsake(vm netip.AddrPort, inc uint64) {
	n.lose(vm, inc)
	n.loseCalls(vm, inc)
}
