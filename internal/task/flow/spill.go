package flow

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/learn"
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

// guest is one task that a peer gave.
type guest struct {
	n     *Node
	batch *batch
	task  frame.Task
}

// batch collects the ended tasks of one job in one group, so that they go back in
// one message: the giver can't answer before the last of them anyway.
type batch struct {
	to    netip.AddrPort
	group uint64
	open  int
	ended []frame.Ended
}

// receiveGive starts what it has slots for at once and gives back the others.
func (n *Node) receiveGive(from frame.Hello, g *frame.Give) {
	now := n.now()
	took := 0
	if m := n.view.Find(from.VM); m == nil || m.Inc != from.Inc || m.Age(now, g.At) < staleGive {
		took = n.takeIn(from, g, now)
	}
	if took < len(g.Tasks) { // silence means that all were taken
		n.reply(from.VM, &frame.Took{Group: g.Group, N: took, Room: n.room(n.now())})
	}
}

func (n *Node) takeIn(from frame.Hello, g *frame.Give, now time.Time) (took int) {
	c := n.conf.Load()
	if c == nil || n.draining.Load() {
		return 0
	}
	batches := map[uint64]*batch{}
	var tries []*try
	for _, t := range g.Tasks {
		class, ok := c.doc.Classes[t.Class]
		limit, _ := n.table.Slots(now)
		if !ok || t.Left <= 0 {
			break
		}
		ep := n.table.Acquire(now, t.Task.Need, n.keep(class.Band, limit))
		if ep == nil {
			break
		}
		b := batches[t.Job]
		if b == nil {
			b = &batch{to: from.VM, group: g.Group}
			batches[t.Job] = b
		}
		b.open++
		tries = append(tries, &try{
			n: n, ep: ep, task: &t.Task, key: learn.Key{Tenant: t.Tenant, Kind: t.Kind}, band: class.Band,
			due: now.Add(t.Left), owner: &guest{n: n, batch: b, task: t},
		})
	}
	for _, t := range tries { // only now: every batch must know its size first
		t.launch()
	}
	return len(tries)
}

func (g *guest) begin() bool { return true }

func (g *guest) ran(body []byte, _ time.Duration) { g.end(frame.Ran, body, "") }

func (g *guest) ranBadly(detail string) { g.end(frame.RanBadly, nil, detail) }

func (g *guest) lost(detail string) { g.end(frame.Uncertain, nil, detail) }

func (g *guest) notRun(_ bool, _ job.Reason, detail string) { g.end(frame.NotRun, nil, detail) }

// end notes the task's fate. A failure goes back at once, since it ends the job.
func (g *guest) end(f frame.Fate, body []byte, detail string) {
	b := g.batch
	g.n.guestMu.Lock()
	b.open--
	b.ended = append(b.ended, frame.Ended{Job: g.task.Job, Index: g.task.Index, Fate: f, Body: body, Detail: detail})
	var send []frame.Ended
	if b.open == 0 || f != frame.Ran {
		send, b.ended = b.ended, nil
	}
	g.n.guestMu.Unlock()
	if len(send) > 0 {
		g.n.reply(b.to, &frame.Back{Group: b.group, Ended: send, Room: g.n.room(g.n.now())})
	}
}

func (n *Node) reply(to netip.AddrPort, m frame.Msg) {
	n.parts.Meter.Waste(meterForward, 1)
	if err := n.parts.Mesh.Cast(to, m); err != nil {
		n.parts.Log.Warn("no way back", "to", to, "msg", frame.Purpose(m), "err", err)
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
			s.notRun(true, n.retry(now), e.Detail)
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
