package flow

import (
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/task/job"
)

// beat sends heartbeats, looks at silences and lets time-bound limits change.
func (n *Node) beat() {
	now := n.now()
	for _, c := range n.view.Tick(now) {
		n.changed(c)
	}
	n.limits(now)
	b := n.pulse(now)
	round := n.beats.Add(1)
	for i, m := range n.view.Members() {
		if !m.Speaks() {
			continue
		}
		if m.Domain == n.cfg.Domain || (round+int64(i))%view.Far == 0 || b.Leaving {
			n.cast(m, b)
		}
	}
	n.pump()
}

func (n *Node) cast(m *view.Member, b *frame.Beat) {
	if n.parts.Mesh.Cast(m.VM, b) == nil {
		n.parts.Meter.Waste(meterGossip, 1)
	}
}

func (n *Node) pulse(now time.Time) *frame.Beat {
	b := &frame.Beat{
		At: now, Room: n.room(now), Queued: n.Waiting(), Wait: n.wait(job.Routine, now),
		Use: n.quota.Tick(now, view.Period), Leaving: n.draining.Load(), Doubts: n.view.Doubts(now), Out: n.health.Out(),
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
