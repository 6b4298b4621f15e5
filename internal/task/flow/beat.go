package flow

import (
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/place"
)

// hurryAfter is the least time between heartbeats inside a failure domain when
// slots change hands.
const hurryAfter = 10 * time.Millisecond

// beat sends heartbeats, looks at silences and lets time-bound limits change.
func (n *Node) beat() {
	now := n.now()
	for _, c := range n.view.Tick(now) {
		n.changed(c)
	}
	n.limits(now)
	n.hurried.Store(now.UnixNano())
	b := n.pulse(now)
	n.beats++
	for i, m := range n.view.Members() {
		switch {
		case m.Domain == n.cfg.Domain:
			n.tell(m, b, now)
		case (n.beats+i)%view.Far == 0 || b.Leaving:
			n.cast(m, b)
		}
	}
	n.pump()
}

// hurry sends the failure domain a heartbeat ahead of time, because slots should
// change hands: waiting for the next would leave them idle beside waiting work.
func (n *Node) hurry(now time.Time) {
	last := n.hurried.Load()
	if n.cfg.Policy != place.Homes || now.UnixNano()-last < int64(hurryAfter) {
		return
	}
	if !n.hurried.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	b := n.pulse(now)
	for _, m := range n.view.Members() {
		if m.Domain == n.cfg.Domain && m.Usable() {
			n.tell(m, b, now)
		}
	}
}

// tell sends a peer of the own failure domain a heartbeat with its loans.
func (n *Node) tell(m *view.Member, b *frame.Beat, now time.Time) {
	if n.cfg.Policy != place.Homes {
		n.cast(m, b)
		return
	}
	own := *b
	own.Lent, own.Held = n.lend(m, now), n.held(m.VM)
	own.Room = n.room(now)
	n.cast(m, &own)
}

func (n *Node) cast(m *view.Member, b *frame.Beat) {
	if n.parts.Mesh.Cast(m.VM, b) == nil {
		n.parts.Meter.Waste(meterGossip, 1)
	}
}

func (n *Node) pulse(now time.Time) *frame.Beat {
	b := &frame.Beat{
		At: now, Room: n.room(now), Queued: n.Waiting(), Wait: n.wait(job.Routine, now),
		Leaving: n.draining.Load(), Doubts: n.view.Doubts(now), Out: n.health.Out(),
	}
	n.listMu.Lock()
	for a, w := range n.gone {
		if w.first {
			b.Gone = append(b.Gone, a)
		}
	}
	n.listMu.Unlock()
	if c := n.conf.Load(); c != nil {
		b.Rev, b.Asof = c.rev.Rev, c.rev.Asof
	}
	return b
}

// room is how many tasks peers may give this VM now. While own non-urgent work
// waits there is none for theirs, but still the reserve for their urgent work.
func (n *Node) room(now time.Time) (r frame.Room) {
	if n.draining.Load() || n.queues[job.Urgent].Tasks() > 0 {
		return r
	}
	limit, free := n.table.Slots(now)
	r.Urgent = max(0, free)
	if n.Waiting() == 0 {
		r.Free = max(0, free-n.keep(job.Routine, limit))
	}
	return r
}
