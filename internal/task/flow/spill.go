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
	// maxGroupTasks is the largest number of tasks in one group.
	maxGroupTasks = 256
	// minRoom is the room that makes a peer worth a message, unless fewer tasks wait.
	minRoom = 8
	// maxGiveAge is the age from which a received group is not started: its sender has
	// very likely answered its callers by then.
	maxGiveAge = time.Second
)

// group is a set of waiting tasks given to a peer with free slots. Like any other
// attempt, a given task may be retried only if the peer reports that it did not start.
type group struct {
	id       uint64
	peer     netip.AddrPort
	inc      uint64
	tasks    []givenTask // in the order of the message
	pending  int         // tasks that the peer has not reported on
	answered bool        // the peer sent TasksAccepted
}

type givenTask struct {
	w    *work
	i    int
	done bool
	sent time.Time
}

// bulkPatienceFactor is how many times longer than routine tasks bulk tasks may wait here
// before they are given to peers.
const bulkPatienceFactor = 5

// spill gives waiting tasks to peers with free slots, first in this VM's failure
// domain. Tasks from a peer are never queued, so each makes one hop at most.
func (n *Node) spill(now time.Time) {
	if n.Waiting() == 0 || !n.spillMu.TryLock() {
		return
	}
	defer n.spillMu.Unlock()
	for {
		surplus := n.surplus(now)
		if surplus == 0 {
			return
		}
		m := n.pickPeer(surplus)
		if m == nil || !n.giveGroup(m, now, surplus) {
			return
		}
	}
}

// surplus returns how many waiting tasks this VM's slots will not start soon. Tasks
// that start here within the document's patience are not worth the messages.
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
		patience *= bulkPatienceFactor
	}
	limit, _ := n.table.Slots(now)
	mean := (routine.Backlog() + bulk.Backlog()) / time.Duration(waiting)
	soon := float64(limit) * patience.Seconds() / max(mean.Seconds(), 0.001)
	return max(0, waiting-int(soon))
}

// roomFor returns a member's room for the most urgent waiting tasks.
func (n *Node) roomFor(m *view.Member) int {
	if n.queues[job.Urgent].Tasks() > 0 {
		return m.Beat.Room.Urgent
	}
	return m.Beat.Room.Free
}

// pickPeer chooses the peer to give tasks to, preferably in this failure domain.
func (n *Node) pickPeer(count int) *view.Member {
	var near, far []*view.Member
	for _, m := range n.view.Members() {
		switch {
		case !m.Usable() || n.roomFor(m) < min(count, minRoom):
		case m.Domain == n.cfg.Domain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near) > 0 {
		return n.betterOfTwo(near, count)
	}
	return n.betterOfTwo(far, count)
}

// betterOfTwo returns the better of two random peers: senders that all chose the best
// one would overload it.
func (n *Node) betterOfTwo(peers []*view.Member, count int) *view.Member {
	if len(peers) == 0 {
		return nil
	}
	a, b := peers[rand.IntN(len(peers))], peers[rand.IntN(len(peers))]
	if min(n.roomFor(b), count) > min(n.roomFor(a), count) {
		return b
	}
	return a
}

// giveGroup sends one group to a peer; the caller holds spillMu.
func (n *Node) giveGroup(m *view.Member, now time.Time, count int) bool {
	g := &group{id: n.serial.Add(1), peer: m.VM, inc: m.Inc}
	msg := &frame.StartTasks{Group: g.id, At: now}
	for b := range n.queues {
		room := m.Beat.Room.Free
		if job.Band(b) == job.Urgent {
			room = m.Beat.Room.Urgent
		}
		for len(g.tasks) < min(room, count, maxGroupTasks) {
			e, i, ok := n.nextTask(n.queues[b], now)
			if !ok {
				break
			}
			if !e.Job.markSent() {
				continue
			}
			n.quota.Start(now, e.Job.req.Tenant)
			g.tasks = append(g.tasks, givenTask{w: e.Job, i: i, sent: now})
			msg.Tasks = append(msg.Tasks, frame.Task{
				Job: e.Job.id, Index: i, Tenant: e.Job.req.Tenant, Class: e.Job.req.Class, Kind: e.Job.req.Kind,
				Left: e.Job.due.Sub(now), Task: e.Job.req.Tasks[i],
			})
		}
	}
	if len(g.tasks) == 0 {
		return false
	}
	g.pending = len(g.tasks)
	n.groups[g.id] = g
	n.view.Load(m.VM, m.Beat.Room.Less(len(g.tasks)))
	if err := n.deps.Mesh.Send(m.VM, msg); err != nil {
		n.view.Load(m.VM, frame.Room{})
		n.deleteGroup(g)
		n.requeueGroup(g, 0)
		return true
	}
	n.deps.Meter.AddWasted(meterForward, 1)
	return true
}

// deleteGroup removes a group; the caller holds spillMu.
func (n *Node) deleteGroup(g *group) {
	delete(n.groups, g.id)
}

// requeueGroup requeues the tasks from an index on, which did not start.
func (n *Node) requeueGroup(g *group, from int) {
	for k := from; k < len(g.tasks); k++ {
		t := &g.tasks[k]
		if t.done {
			continue
		}
		t.done = true
		g.pending--
		t.w.unmarkSent()
		n.quota.End(t.w.req.Tenant, true)
		if t.w.push(t.i) {
			n.queues[t.w.class.Band].Return(&t.w.entry)
		}
	}
}

// receiveTook handles TasksAccepted: it requeues the tasks that the peer did not start.
func (n *Node) receiveTook(from frame.Hello, t *frame.TasksAccepted) {
	n.view.Load(from.VM, t.Room)
	n.spillMu.Lock()
	g := n.groups[t.Group]
	if g != nil && g.peer == from.VM && !g.answered {
		g.answered = true
		n.requeueGroup(g, min(max(t.Count, 0), len(g.tasks)))
		if g.pending == 0 {
			n.deleteGroup(g)
		}
	}
	n.spillMu.Unlock()
	n.pump()
}

// receiveBack handles TaskResults: it records the tasks that ended on a peer.
func (n *Node) receiveBack(from frame.Hello, b *frame.TaskResults) {
	n.view.Load(from.VM, b.Room)
	now := n.now()
	for _, e := range b.Results {
		t := n.claimGiven(from, b.Group, e)
		if t == nil {
			n.deps.Meter.AddWasted(meterDuplicate, 1)
			continue
		}
		s := &localTask{n: n, w: t.w, i: t.i}
		switch e.Outcome {
		case frame.Succeeded:
			s.ran(e.Body, now.Sub(t.sent))
		case frame.Failed:
			s.failed(e.Detail)
		case frame.NotStarted:
			s.notStarted(true, n.takeRetry(now, from.Domain), from.Domain, e.Detail)
		case frame.Uncertain:
			s.lost(e.Detail)
		}
	}
	n.pump()
}

// claimGiven marks the given task that e reports on as done. It returns nil if there is
// no such open task.
func (n *Node) claimGiven(from frame.Hello, id uint64, e frame.TaskResult) *givenTask {
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
		g.pending--
		if g.pending == 0 {
			n.deleteGroup(g)
		}
		return t
	}
	return nil
}

// failGroups ends the groups of a peer that is gone or has restarted, since it is
// unknown whether their tasks started.
func (n *Node) failGroups(vm netip.AddrPort, inc uint64) {
	var lost []givenTask
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
		n.deleteGroup(g)
	}
	n.spillMu.Unlock()
	for _, t := range lost {
		s := &localTask{n: n, w: t.w, i: t.i}
		s.lost("the VM " + vm.String() + " that had taken it is gone")
	}
}
