package flow

import (
	"time"

	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/place"
	"dahliawinch/internal/task/queue"
)

// maxSkipped limits the tasks that one pump skips because no free endpoint fits them.
const maxSkipped = 8

// pump starts waiting tasks while slots are free, the most urgent band first. It is
// safe for concurrent use.
func (n *Node) pump() {
	now := n.now()
	for b := range n.queues {
		n.pumpBand(job.Band(b), now)
	}
	if n.cfg.Spill {
		n.spill(now)
	}
	if n.Waiting() > 0 && n.quota.Limited() {
		n.pumpLater()
	}
}

// quotaPoll is the delay before the next pump while tasks wait for a tenant's quota.
const quotaPoll = 10 * time.Millisecond

// pumpLater schedules one pump after quotaPoll, unless one is scheduled already.
func (n *Node) pumpLater() {
	if n.pumpPending.CompareAndSwap(false, true) {
		n.deps.Timers.After(quotaPoll, func() {
			n.pumpPending.Store(false)
			n.pump()
		})
	}
}

func (n *Node) pumpBand(band job.Band, now time.Time) {
	q := n.queues[band]
	var skipped []*queue.Entry[*work]
	for q.Tasks() > 0 && len(skipped) < maxSkipped {
		limit, _ := n.table.Slots(now)
		reserved := n.reservedSlots(band, limit)
		ep := n.table.Acquire(now, job.Size{}, reserved)
		if ep == nil {
			break
		}
		e, i, ok := n.nextTask(q, now)
		if !ok {
			ep.Release()
			break
		}
		if need := e.Job.req.Tasks[i].Need; !need.Fits(ep.Size) {
			ep.Release()
			if ep = n.table.Acquire(now, need, reserved); ep == nil {
				skipped = append(skipped, e)
				e.Job.push(i)
				continue
			}
		}
		n.startTask(e.Job, i, ep)
	}
	for _, e := range skipped {
		q.Return(e)
	}
}

// nextTask takes the first task of the queue and aborts jobs that can't finish in time.
func (n *Node) nextTask(q *queue.Queue[*work], now time.Time) (e *queue.Entry[*work], i int, ok bool) {
	for {
		e, ok = q.Next(func(tenant string) bool { return n.quota.MayStart(now, tenant) })
		if !ok {
			return nil, 0, false
		}
		w := e.Job
		if now.Add(e.Cost/2).After(w.due) && n.cfg.EarlyReject {
			n.settle(w, w.abort(job.Deadline, minRetryAfter, "no slot came free in time"))
			continue
		}
		if i, ok = w.pop(); ok {
			return e, i, true
		}
	}
}

// startTask launches one task on an endpoint whose slot was acquired for it.
func (n *Node) startTask(w *work, i int, ep *place.Endpoint) {
	now := n.now()
	n.budget.Earn(now, ep.Domain, 1)
	n.quota.Start(now, w.req.Tenant)
	a := &attempt{
		n: n, ep: ep, task: &w.req.Tasks[i], key: w.key, band: w.class.Band,
		due: w.due, owner: &localTask{n: n, w: w, i: i},
	}
	a.launch()
}

// localTask is one task of a job of this VM.
type localTask struct {
	n *Node
	w *work
	i int
}

func (t *localTask) begin() bool { return t.w.markSent() }

func (t *localTask) ran(body []byte, ran time.Duration) {
	t.n.deps.Meter.ObserveTask(t.w.req.Tenant, t.w.req.Class, t.n.now().Sub(t.w.acceptedAt)-ran, ran)
	t.n.quota.End(t.w.req.Tenant, false)
	t.n.settle(t.w, t.w.addResult(t.i, body, ran))
}

func (t *localTask) failed(detail string) {
	t.n.quota.End(t.w.req.Tenant, false)
	t.n.settle(t.w, t.w.fail(true, job.TaskFailed, "a task ran and failed: "+detail))
}

func (t *localTask) lost(detail string) {
	t.n.quota.End(t.w.req.Tenant, false)
	t.n.settle(t.w, t.w.fail(false, job.Silent, detail))
}

// notStarted requeues the task, parks it or ends its job.
func (t *localTask) notStarted(sent bool, why job.Reason, domain, detail string) {
	t.n.quota.End(t.w.req.Tenant, true)
	if sent {
		t.w.unmarkSent()
	}
	switch why {
	case job.NoReason:
		t.requeue()
	case job.OutOfBudget:
		t.n.park(t.w, domain, t.requeue)
	default:
		t.n.settle(t.w, t.w.abort(why, minRetryAfter, detail))
	}
}

func (t *localTask) requeue() {
	if t.w.push(t.i) {
		t.n.queues[t.w.class.Band].Return(&t.w.entry)
	}
}
