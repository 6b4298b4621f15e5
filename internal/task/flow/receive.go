package flow

import (
	"net/netip"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
)

// Receive handles a message from one incarnation of a peer. It is called in order and
// one at a time for each peer.
func (n *Node) Receive(from frame.Hello, m frame.Msg) {
	if n.ctx.Err() != nil || n.isStale(m) {
		return
	}
	switch m := m.(type) {
	case *frame.Heartbeat:
		n.receiveBeat(from, m)
	case *frame.StartTasks:
		n.receiveGive(from, m)
	case *frame.TasksAccepted:
		n.receiveTook(from, m)
	case *frame.TaskResults:
		n.receiveBack(from, m)
	case *frame.Submit:
		n.receiveSubmit(from, m)
	case *frame.SubmitReply:
		n.receiveReply(from, m)
	case *frame.Document:
		n.receiveHave(m)
	case *frame.DocumentRequest:
		n.receiveWant(from)
	}
}

// isStale reports whether a message answers a former incarnation of this VM, which used
// the same numbers.
func (n *Node) isStale(m frame.Msg) bool {
	to := n.cfg.Inc
	switch m := m.(type) {
	case *frame.TasksAccepted:
		to = m.To
	case *frame.TaskResults:
		to = m.To
	case *frame.SubmitReply:
		to = m.To
	}
	return to != n.cfg.Inc && to != 0 // 0: from a version without this field
}

func (n *Node) receiveBeat(from frame.Hello, b *frame.Heartbeat) {
	now := n.now()
	was := n.view.Find(from.VM)
	if c, ok := n.view.Hear(now, from, b); ok {
		if c.Reborn && was != nil {
			n.dropIncarnation(from.VM, was.Inc)
		}
		n.memberChanged(c)
	}
	for _, a := range b.Gone {
		if e := n.table.Find(a); e != nil && !e.Leaving() {
			n.markLeaving(a, from.VM.String(), false)
		}
	}
	n.quota.SetPeer(from.VM, b.Use)
	for _, a := range b.Out {
		n.health.ApplyVerdict(now, a)
	}
	n.requestNewer(from.VM, b)
	if b.Room.Urgent > 0 && n.Waiting() > 0 {
		n.pump()
	}
}

// memberChanged handles a new state of a member.
func (n *Node) memberChanged(c view.Change) {
	n.deps.Log.Info("member state changed", "vm", c.VM, "state", c.State.String(), "inc", c.Inc)
	if c.State == view.Gone || c.State == view.Left {
		n.quota.RemovePeer(c.VM)
	}
	if c.State == view.Gone {
		n.dropIncarnation(c.VM, c.Inc)
	}
	n.rehome()
	n.pump()
}

// dropIncarnation ends all groups and calls that an incarnation has not answered.
func (n *Node) dropIncarnation(vm netip.AddrPort, inc uint64) {
	n.failGroups(vm, inc)
	n.failCalls(vm, inc)
}
