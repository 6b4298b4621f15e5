package flow

import (
	"net/netip"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/learn"
)

// peerTask is one task received from a peer.
type peerTask struct {
	n     *Node
	batch *batch
	task  frame.Task
}

// batch collects the ended tasks of one job in one group and returns them in one
// message: the sender can't answer its caller before the last of them anyway.
type batch struct {
	to      netip.AddrPort
	inc     uint64
	group   uint64
	pending int
	ended   []frame.TaskResult
}

// receiveGive handles StartTasks: it starts as many tasks as there are free slots and returns
// the others.
func (n *Node) receiveGive(from frame.Hello, g *frame.StartTasks) {
	now := n.now()
	started := 0
	if m := n.view.Find(from.VM); m == nil || m.Inc != from.Inc || m.Age(now, g.At) < maxGiveAge {
		started = n.startGiven(from, g, now)
	}
	if started < len(g.Tasks) { // no TasksAccepted message means that all were started
		n.reply(from.VM, &frame.TasksAccepted{To: from.Inc, Group: g.Group, Count: started, Room: n.room(n.now())})
	}
}

func (n *Node) startGiven(from frame.Hello, g *frame.StartTasks, now time.Time) (started int) {
	c := n.conf.Load()
	if c == nil || n.draining.Load() {
		return 0
	}
	batches := map[uint64]*batch{}
	var attempts []*attempt
	for _, t := range g.Tasks {
		class, ok := c.doc.Classes[t.Class]
		limit, _ := n.table.Slots(now)
		if !ok || t.Left <= 0 {
			break
		}
		ep := n.table.Acquire(now, t.Task.Need, n.reservedSlots(class.Band, limit))
		if ep == nil {
			break
		}
		b := batches[t.Job]
		if b == nil {
			b = &batch{to: from.VM, inc: from.Inc, group: g.Group}
			batches[t.Job] = b
		}
		b.pending++
		attempts = append(attempts, &attempt{
			n: n, ep: ep, task: &t.Task, key: learn.Key{Tenant: t.Tenant, Kind: t.Kind}, band: class.Band,
			due: now.Add(t.Left), owner: &peerTask{n: n, batch: b, task: t},
		})
	}
	for _, a := range attempts { // after the loop above, which counts each batch's tasks
		a.launch()
	}
	return len(attempts)
}

func (t *peerTask) begin() bool { return true }

func (t *peerTask) ran(body []byte, _ time.Duration) { t.report(frame.Succeeded, body, "") }

func (t *peerTask) failed(detail string) { t.report(frame.Failed, nil, detail) }

func (t *peerTask) lost(detail string) { t.report(frame.Uncertain, nil, detail) }

func (t *peerTask) notStarted(_ bool, _ job.Reason, _, detail string) {
	t.report(frame.NotStarted, nil, detail)
}

// report records how the task ended. All but success is sent at once, since it may end
// the job.
func (t *peerTask) report(f frame.TaskOutcome, body []byte, detail string) {
	b := t.batch
	t.n.peerMu.Lock()
	b.pending--
	b.ended = append(b.ended, frame.TaskResult{Job: t.task.Job, Index: t.task.Index, Outcome: f, Body: body, Detail: detail})
	var send []frame.TaskResult
	if b.pending == 0 || f != frame.Succeeded {
		send, b.ended = b.ended, nil
	}
	t.n.peerMu.Unlock()
	if len(send) > 0 {
		t.n.reply(b.to, &frame.TaskResults{To: b.inc, Group: b.group, Results: send, Room: t.n.room(t.n.now())})
	}
}

func (n *Node) reply(to netip.AddrPort, m frame.Msg) {
	n.deps.Meter.AddWasted(meterForward, 1)
	if err := n.deps.Mesh.Send(to, m); err != nil {
		n.deps.Log.Warn("cannot send reply to peer", "to", to, "msg", frame.Purpose(m), "err", err)
	}
}
