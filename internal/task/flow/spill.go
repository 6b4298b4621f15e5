package flow

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/task/job"
)

const (
	// mostGiven bounds the tasks of one group.
	mostGiven = 256
	// leastRoom is the room below which a peer is not worth a message, unless less
	// would do.
	leastRoom = 8
	// staleGive is the age at which a group is not started any more: its giver has
	// very likely answered its callers.
	staleGive = time.Second
)

// group is a set of waiting tasks given to a peer with free slots. A task given
// is an attempt like any other: it may be tried again only if the peer says that
// it did not start.
type group struct {
	id    uint64
	peer  netip.AddrPort
	inc   uint64
	tasks []given // in the order of the message
	open  int     // tasks without a word from the peer
	took  bool
}

type given struct {
	w    *work
	i    int
	done bool
	sent time.Time
}

// bulkPatience is how much longer bulk work waits before it costs messages.
const bulkPatience = 5

// spill gives waiting tasks to peers that have slots free, the own failure
// domain's first. One hop only: what comes from a peer never waits in a queue,
// so it can't be given on.
func (n *Node) spill(now time.Time) {
	if n.Waiting() == 0 || !n.spillMu.TryLock() {
		return
	}
	defer n.spillMu.Unlock()
	for {
		most := n.surplus(now)
		if most == 0 {
			return
		}
		m := n.pick(most)
		if m == nil || !n.give(m, now, most) {
			return
		}
	}
}

// surplus is how many waiting tasks the own slots will not start soon. Work that
// starts here within the patience is not worth the messages.
func (n *Node) surplus(now time.Time) int {
	if k := n.queues[job.Urgent].Tasks(); k > 0 {
		return k
	}
	routine, bulk := n.queues[job.Routine], n.queues[job.Bulk]
	waiting := routine.Tasks() + bulk.Tasks()
	c := n.conf.Load()
	if waiting == 0 || c == nil {
		return 0
	}
	patience := c.doc.Patience.Std()
	if routine.Tasks() == 0 {
		patience *= bulkPatience
	}
	limit, _ := n.table.Slots(now)
	mean := (routine.Backlog() + bulk.Backlog()) / time.Duration(waiting)
	soon := float64(limit) * patience.Seconds() / max(mean.Seconds(), 0.001)
	return max(0, waiting-int(soon))
}

// roomFor is what a member would start of the most pressing waiting work.
func (n *Node) roomFor(m *view.Member) int {
	if n.queues[job.Urgent].Tasks() > 0 {
		return m.Beat.Room.Urgent
	}
	return m.Beat.Room.Free
}

// pick chooses the peer to give to, of the own failure domain if one has room.
func (n *Node) pick(most int) *view.Member {
	var near, far []*view.Member
	for _, m := range n.view.Members() {
		switch {
		case !m.Usable() || n.roomFor(m) < min(most, leastRoom):
		case m.Domain == n.cfg.Domain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near) > 0 {
		return n.better(near, most)
	}
	return n.better(far, most)
}

// better picks the better of two random members: givers that all picked the best
// would meet there.
func (n *Node) better(open []*view.Member, most int) *view.Member {
	if len(open) == 0 {
		return nil
	}
	a, b := open[rand.IntN(len(open))], open[rand.IntN(len(open))]
	if min(n.roomFor(b), most) > min(n.roomFor(a), most) {
		return b
	}
	return a
}

// give sends one group to a peer; the caller holds spillMu.
func (n *Node) give(m *view.Member, now time.Time, most int) bool {
	g := &group{id: n.serial.Add(1), peer: m.VM, inc: m.Inc}
	msg := &frame.Give{Group: g.id, At: now}
	for b := range n.queues {
		room := m.Beat.Room.Free
		if job.Band(b) == job.Urgent {
			room = m.Beat.Room.Urgent
		}
		for len(g.tasks) < min(room, most, mostGiven) {
			e, i, ok := n.next(n.queues[b], now)
			if !ok {
				break
			}
			if !e.Job.send() {
				continue
			}
			n.quota.Start(now, e.Job.req.Tenant)
			g.tasks = append(g.tasks, given{w: e.Job, i: i, sent: now})
			msg.Tasks = append(msg.Tasks, frame.Task{
				Job: e.Job.id, Index: i, Tenant: e.Job.req.Tenant, Class: e.Job.req.Class, Kind: e.Job.req.Kind,
				Left: e.Job.due.Sub(now), Task: e.Job.req.Tasks[i],
			})
		}
	}
	if len(g.tasks) == 0 {
		return false
	}
	g.open = len(g.tasks)
	n.groups[g.id] = g
	n.view.Load(m.VM, m.Beat.Room.Less(len(g.tasks)))
	if err := n.parts.Mesh.Cast(m.VM, msg); err != nil {
		n.view.Load(m.VM, frame.Room{})
		n.close(g)
		n.putBack(g, 0)
		return true
	}
	n.parts.Meter.Waste(meterForward, 1)
	return true
}

// close forgets a group; the caller holds spillMu.
func (n *Node) close(g *group) {
	delete(n.groups, g.id)
}

// putBack queues the tasks from an index on again: they did not start.
func (n *Node) putBack(g *group, from int) {
	for k := from; k < len(g.tasks); k++ {
		t := &g.tasks[k]
		if t.done {
			continue
		}
		t.done = true
		g.open--
		t.w.unsend()
		n.quota.End(t.w.req.Tenant, true)
		if t.w.push(t.i) {
			n.queues[t.w.class.Band].Return(&t.w.entry)
		}
	}
}

// receiveTook queues again what the peer did not take.
func (n *Node) receiveTook(from frame.Hello, t *frame.Took) {
	n.view.Load(from.VM, t.Room)
	n.spillMu.Lock()
	g := n.groups[t.Group]
	if g != nil && g.peer == from.VM && !g.took {
		g.took = true
		n.putBack(g, min(max(t.N, 0), len(g.tasks)))
		if g.open == 0 {
			n.close(g)
		}
	}
	n.spillMu.Unlock()
	n.pump()
}

// receiveBack gathers what came home.
func (n *Node) receiveBack(from frame.Hello, b *frame.Back) {
	n.view.Load(from.VM, b.Room)
	now := n.now()
	for _, e := range b.Ended {
		t := n.claim(from, b.Group, e)
		if t == nil {
			n.parts.Meter.Waste(meterDuplicate, 1)
			continue
		}
		s := &share{n: n, w: t.w, i: t.i}
		switch e.Fate {
		case frame.Ran:
			s.ran(e.Body, now.Sub(t.sent))
		case frame.RanBadly:
			s.ranBadly(e.Detail)
		case frame.NotRun:
			s.notRun(true, n.retry(now, from.Domain), from.Domain, e.Detail)
		case frame.Uncertain:
			s.lost(e.Detail)
		}
	}
	n.pump()
}

// claim finds the given task that an ended one belongs to, once.
func (n *Node) claim(from frame.Hello, id uint64, e frame.Ended) *given {
	n.spillMu.Lock()
	defer n.spillMu.Unlock()
	g := n.groups[id]
	if g == nil || g.peer != from.VM || g.inc != from.Inc {
		return nil
	}
	for k := range g.tasks {
		t := &g.tasks[k]
		if t.w.id != e.Job || t.i != e.Index || t.done {
			continue
		}
		t.done = true
		g.open--
		if g.open == 0 {
			n.close(g)
		}
		return t
	}
	return nil
}

// lose ends the groups of a peer that is gone or was born again: whether their
// tasks started nobody can say.
func (n *Node) lose(vm netip.AddrPort, inc uint64) {
	var lost []given
	n.spillMu.Lock()
	for _, g := range n.groups {
		if g.peer != vm || g.inc != inc {
			continue
		}
		for k := range g.tasks {
			if !g.tasks[k].done {
				g.tasks[k].done = true
				lost = append(lost, g.tasks[k])
			}
		}
		n.close(g)
	}
	n.spillMu.Unlock()
	for _, t := range lost {
		s := &share{n: n, w: t.w, i: t.i}
		s.lost("the VM " + vm.String() + " that had taken it is gone")
	}
}
