package flow

import (
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/task/job"
)

// beat sends heartbeats, checks for silent members and updates endpoint limits.
func (n *Node) beat() {
	now := n.now()
	for _, c := range n.view.Tick(now) {
		n.memberChanged(c)
	}
	n.applyHealth(now)
	b := n.newBeat(now)
	round := n.beats.Add(1)
	for i, m := range n.view.Members() {
		if !m.Speaks() {
			continue
		}
		if m.Domain == n.cfg.Domain || (round+int64(i))%view.RemoteFactor == 0 || b.Leaving {
			n.sendBeat(m, b)
		}
	}
	n.pump()
}

func (n *Node) sendBeat(m *view.Member, b *frame.Heartbeat) {
	if n.deps.Mesh.Send(m.VM, b) == nil {
		n.deps.Meter.AddWasted(meterGossip, 1)
	}
}

func (n *Node) newBeat(now time.Time) *frame.Heartbeat {
	b := &frame.Heartbeat{
		At: now, Room: n.room(now), Queued: n.Waiting(), Wait: n.expectedWait(job.Routine, now),
		Use: n.quota.Tick(now, view.Period), Leaving: n.draining.Load(), Doubts: n.view.Doubts(now), Out: n.health.Ejected(),
	}
	n.listMu.Lock()
	for a, notice := range n.leaving {
		if notice.direct {
			b.Gone = append(b.Gone, a)
		}
	}
	n.listMu.Unlock()
	if c := n.conf.Load(); c != nil {
		b.Rev, b.Asof = c.rev.Rev, c.rev.Asof
	}
	return b
}

// room returns how many tasks peers may give this VM now. While its own non-urgent
// work waits, it accepts only urgent tasks, which may use the reserve.
func (n *Node) room(now time.Time) (r frame.Room) {
	if n.draining.Load() || n.queues[job.Urgent].Tasks() > 0 {
		return r
	}
	limit, free := n.table.Slots(now)
	r.Urgent = max(0, free)
	if n.Waiting() == 0 {
		r.Free = max(0, free-n.reservedSlots(job.Routine, limit))
	}
	return r
}
