package flow

import (
	"time"

	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/place"
	"dahliawinch/internal/task/queue"
)

// passOver is how many tasks that fit no free endpoint one pump looks past.
const passOver = 8

// pump starts waiting tasks while there are slots for them, most pressing band
// first; any thread may call it at any time.
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

// quotaLook is how soon work that waits for its tenant's quota is looked at again.
const quotaLook = 10 * time.Millisecond

// pumpLater pumps once more after a while; one such look at a time.
func (n *Node) pumpLater() {
	if n.looking.CompareAndSwap(false, true) {
		n.parts.Timers.After(quotaLook, func() {
			n.looking.Store(false)
			n.pump()
		})
	}
}

func (n *Node) pumpBand(band job.Band, now time.Time) {
	q := n.queues[band]
	var passed []*queue.Entry[*work]
	for q.Tasks() > 0 && len(passed) < passOver {
		limit, _ := n.table.Slots(now)
		keep := n.keep(band, limit)
		ep := n.table.Acquire(now, job.Size{}, keep)
		if ep == nil {
			break
		}
		e, i, ok := n.next(q, now)
		if !ok {
			ep.Release()
			break
		}
		if need := e.Job.req.Tasks[i].Need; !need.Fits(ep.Size) {
			ep.Release()
			if ep = n.table.Acquire(now, need, keep); ep == nil {
				passed = append(passed, e)
				e.Job.push(i)
				continue
			}
		}
		n.start(e.Job, i, ep)
	}
	for _, e := range passed {
		q.Return(e)
	}
}

// next takes the task that goes first, giving up jobs that can't be done in time.
func (n *Node) next(q *queue.Queue[*work], now time.Time) (e *queue.Entry[*work], i int, ok bool) {
	for {
		e, ok = q.Next(func(tenant string) bool { return n.quota.Open(now, tenant) })
		if !ok {
			return nil, 0, false
		}
		w := e.Job
		if now.Add(e.Cost/2).After(w.due) && n.cfg.Foresight {
			n.settle(w, w.quit(job.Deadline, leastRetry, "no slot came free in time"))
			continue
		}
		if i, ok = w.pop(); ok {
			return e, i, true
		}
	}
}

// start sends one task on its way to an endpoint whose slot is claimed.
func (n *Node) start(w *work, i int, ep *place.Endpoint) {
	now := n.now()
	n.budget.Earn(now, ep.Domain, 1)
	n.quota.Start(now, w.req.Tenant)
	t := &try{
		n: n, ep: ep, task: &w.req.Tasks[i], key: w.key, band: w.class.Band,
		due: w.due, owner: &share{n: n, w: w, i: i},
	}
	t.launch()
}

// share is the place of one task in a job of this VM.
type share struct {
	n *Node
	w *work
	i int
}

func (s *share) begin() bool { return s.w.send() }

func (s *share) ran(body []byte, ran time.Duration) {
	s.n.parts.Meter.Ran(s.w.req.Tenant, s.w.req.Class, s.n.now().Sub(s.w.began)-ran, ran)
	s.n.quota.End(s.w.req.Tenant, false)
	s.n.settle(s.w, s.w.gather(s.i, body, ran))
}

func (s *share) ranBadly(detail string) {
	s.n.quota.End(s.w.req.Tenant, false)
	s.n.settle(s.w, s.w.fail(true, job.TaskFailed, "a task ran and failed: "+detail))
}

func (s *share) lost(detail string) {
	s.n.quota.End(s.w.req.Tenant, false)
	s.n.settle(s.w, s.w.fail(false, job.Silent, detail))
}

// notRun puts the task back in the queue, or ends the job.
func (s *share) notRun(sent bool, why job.Reason, domain, detail string) {
	s.n.quota.End(s.w.req.Tenant, true)
	if sent {
		s.w.unsend()
	}
	switch why {
	case job.NoReason:
		s.requeue()
	case job.OutOfBudget:
		s.n.park(s.w, domain, s.requeue)
	default:
		s.n.settle(s.w, s.w.quit(why, leastRetry, detail))
	}
}

func (s *share) requeue() {
	if s.w.push(s.i) {
		s.n.queues[s.w.class.Band].Return(&s.w.entry)
	}
}
