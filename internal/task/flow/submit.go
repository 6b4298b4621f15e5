package flow

import (
	"context"
	"time"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/queue"
)

// Authenticate returns the tenant of a caller's key, or a refusal.
func (n *Node) Authenticate(key string) (tenant string, refusal *job.Answer) {
	c := n.conf.Load()
	if c == nil {
		return "", noDocument()
	}
	tenant, ok := c.keys.Tenant(key)
	if !ok {
		return "", job.Refuse(job.BadKey, 0, "the key is missing or is no tenant's; send it as: Authorization: Bearer KEY")
	}
	return tenant, nil
}

// Class returns the class declared under a name.
func (n *Node) Class(name string) (doc.Class, bool) {
	c := n.conf.Load()
	if c == nil {
		return doc.Class{}, false
	}
	k, ok := c.doc.Classes[name]
	return k, ok
}

// AsUnknown turns this VM's refusal of a submission under a ticket into "unknown".
//
// Only the VM that issued the ticket knows that no copy runs. If a caller sends a
// submission to two VMs and one of them has just started and knows no document, that
// one must not answer "refused, nothing was run" while the other runs it.
func AsUnknown(a *job.Answer) *job.Answer {
	if a.Outcome != job.Refused {
		return a
	}
	return &job.Answer{Outcome: job.Unknown, Reason: a.Reason, Retry: a.Retry, Detail: "nothing was started here, but another VM may have taken the ticket: " + a.Detail}
}

func noDocument() *job.Answer {
	return job.Refuse(job.NoDocument, time.Second, "this VM knows no configuration yet; nothing was run")
}

// Submit runs one submission and returns its final answer, at the latest when the
// submission's time is over.
func (n *Node) Submit(ctx context.Context, req *job.Request) *job.Answer {
	n.active.Add(1)
	defer n.active.Add(-1)
	if req.Ticket != "" {
		return n.addTickets(req, n.runTicketed(ctx, req))
	}
	c := n.conf.Load()
	if c == nil {
		return noDocument()
	}
	if a := n.validate(c, req); a != nil {
		return a
	}
	return n.addTickets(req, n.runUnticketed(ctx, req))
}

// runUnticketed runs a submission without a ticket, on a peer if this VM drains or has
// not read the platform's list yet, else here.
func (n *Node) runUnticketed(ctx context.Context, req *job.Request) *job.Answer {
	if n.draining.Load() || n.table.Known() == 0 {
		if a := n.forwardAny(ctx, req); a != nil {
			return a
		}
	}
	return n.run(ctx, req)
}

// addTickets adds the tickets that the caller requested to the answer, which saves the
// caller a round trip.
func (n *Node) addTickets(req *job.Request, a *job.Answer) *job.Answer {
	if req.Grant <= 0 || n.draining.Load() {
		return a
	}
	text, err := n.Grant(req.Tenant, req.Grant)
	if err != nil {
		return a // the answer matters more than the tickets
	}
	b := *a
	b.Grant, b.Tickets = text, req.Grant
	return &b
}

// run admits and queues a submission on this VM and waits for its answer.
func (n *Node) run(ctx context.Context, req *job.Request) *job.Answer {
	now := n.now()
	c := n.conf.Load()
	class := c.doc.Classes[req.Class]
	if a := n.admit(c, class, req, now); a != nil {
		n.deps.Meter.ObserveJob(req.Tenant, req.Class, a, 0, 0)
		return a
	}
	size := req.Bytes()
	n.bytes.Add(size)
	w := n.enqueue(c, class, req, now)
	select {
	case <-w.done:
	case <-ctx.Done():
		n.settle(w, w.abort(job.Canceled, 0, "cancelled by its caller"))
		<-w.done
	case <-n.ctx.Done():
		n.settle(w, w.abort(job.Leaving, minRetryAfter, "this VM ended"))
		<-w.done
	}
	n.bytes.Add(-size)
	return w.answer
}

// enqueue queues an admitted submission.
func (n *Node) enqueue(c *conf, class doc.Class, req *job.Request, now time.Time) *work {
	w := newWork(n.serial.Add(1), req, class, now)
	w.entry = queue.Entry[*work]{
		Job: w, Tenant: req.Tenant, Weight: c.doc.Tenants[req.Tenant].Weight,
		Cost: n.learn.Expect(w.key, req.Tasks[0].Run).Mean, Tasks: len(req.Tasks), Due: w.due,
	}
	w.expiry = n.deps.Timers.After(req.TimeLeft, func() {
		n.settle(w, w.abort(job.Deadline, 0, "its time ran out"))
	})
	n.quota.Arrive(req.Tenant, len(req.Tasks))
	n.queues[class.Band].Push(now, &w.entry)
	n.pump()
	return w
}

// settle ends a job whose answer was just set: it drops the tasks that still wait and
// wakes the caller.
func (n *Node) settle(w *work, a *job.Answer) {
	if a == nil {
		return
	}
	w.expiry.Stop()
	n.quota.Drop(w.req.Tenant, n.queues[w.class.Band].Drop(&w.entry))
	n.deps.Meter.ObserveJob(w.req.Tenant, w.req.Class, a, n.now().Sub(w.acceptedAt), w.longestRun)
	if a.Outcome == job.Unknown || a.Outcome == job.Failed {
		n.deps.Log.Info("job not done", "tenant", w.req.Tenant, "class", w.req.Class, "outcome", a.Outcome.String(), "reason", string(a.Reason), "detail", a.Detail)
	}
	close(w.done)
}
