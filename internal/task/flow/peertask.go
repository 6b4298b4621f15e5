package flow

import (
	"net/netip"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/learn"
)

// peerTask is one task that a peer gave.
type peerTask struct {
	n     *Node
	batch *batch
	task  frame.Task
}

// batch collects the ended tasks of one job in one group, so that they go back in
// one message: the giver can't answer before the last of them anyway.
type batch struct {
	to    netip.AddrPort
	inc   uint64
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
		n.reply(from.VM, &frame.Took{To: from.Inc, Group: g.Group, N: took, Room: n.room(n.now())})
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
			b = &batch{to: from.VM, inc: from.Inc, group: g.Group}
			batches[t.Job] = b
		}
		b.open++
		tries = append(tries, &try{
			n: n, ep: ep, task: &t.Task, key: learn.Key{Tenant: t.Tenant, Kind: t.Kind}, band: class.Band,
			due: now.Add(t.Left), owner: &peerTask{n: n, batch: b, task: t},
		})
	}
	for _, t := range tries { // only now: every batch must know its size first
		t.launch()
	}
	return len(tries)
}

func (t *peerTask) begin() bool { return true }

func (t *peerTask) ran(body []byte, _ time.Duration) { t.end(frame.Ran, body, "") }

func (t *peerTask) ranBadly(detail string) { t.end(frame.RanBadly, nil, detail) }

func (t *peerTask) lost(detail string) { t.end(frame.Uncertain, nil, detail) }

func (t *peerTask) notRun(_ bool, _ job.Reason, _, detail string) { t.end(frame.NotRun, nil, detail) }

// end notes the task's fate. A failure goes back at once, since it ends the job.
func (t *peerTask) end(f frame.Fate, body []byte, detail string) {
	b := t.batch
	t.n.peerMu.Lock()
	b.open--
	b.ended = append(b.ended, frame.Ended{Job: t.task.Job, Index: t.task.Index, Fate: f, Body: body, Detail: detail})
	var send []frame.Ended
	if b.open == 0 || f != frame.Ran {
		send, b.ended = b.ended, nil
	}
	t.n.peerMu.Unlock()
	if len(send) > 0 {
		t.n.reply(b.to, &frame.Back{To: b.inc, Group: b.group, Ended: send, Room: t.n.room(t.n.now())})
	}
}

func (n *Node) reply(to netip.AddrPort, m frame.Msg) {
	n.parts.Meter.Waste(meterForward, 1)
	if err := n.parts.Mesh.Cast(to, m); err != nil {
		n.parts.Log.Warn("no way back", "to", to, "msg", frame.Purpose(m), "err", err)
	}
}
