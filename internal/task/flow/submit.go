package flow

import (
	"context"
	"time"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/queue"
)

// Ident finds the tenant of a caller's key.
func (n *Node) Ident(key string) (tenant string, refusal *job.Answer) {
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

// Class returns a declared class.
func (n *Node) Class(name string) (doc.Class, bool) {
	c := n.conf.Load()
	if c == nil {
		return doc.Class{}, false
	}
	k, ok := c.doc.Classes[name]
	return k, ok
}

// Elsewhere words a refusal of this VM for a submission under a ticket.
//
// What goes wrong without it: a caller sends a submission to two VMs; one has just
// started, knows no document and says "refused, nothing was run", while the other runs
// it. One notices a refusal of work that an endpoint started. Only the VM that issued
// the ticket knows that no copy runs, so any other says "unknown".
func Elsewhere(a *job.Answer) *job.Answer {
	if a.Outcome != job.Refused {
		return a
	}
	return &job.Answer{Outcome: job.Unknown, Reason: a.Reason, Retry: a.Retry, Detail: "nothing was started here, but another VM may have taken the ticket: " + a.Detail}
}

func noDocument() *job.Answer {
	return job.Refuse(job.NoDocument, time.Second, "this VM knows no configuration yet; nothing was run")
}

// Submit takes one submission to its answer. It returns when the answer is
// final, at the latest when the submission's time is over.
func (n *Node) Submit(ctx context.Context, req *job.Request) *job.Answer {
	n.active.Add(1)
	defer n.active.Add(-1)
	if req.Ticket != "" {
		return n.granted(req, n.ticketed(ctx, req))
	}
	c := n.conf.Load()
	if c == nil {
		return noDocument()
	}
	if a := n.check(c, req); a != nil {
		return a
	}
	return n.granted(req, n.plain(ctx, req))
}

// plain runs a submission without a ticket, here or on a peer: when this VM leaves, or has not read
// the platform's list, which its neighbours have.
func (n *Node) plain(ctx context.Context, req *job.Request) *job.Answer {
	if n.draining.Load() || n.table.Known() == 0 {
		if a := n.handOver(ctx, req); a != nil {
			return a
		}
	}
	return n.run(ctx, req)
}

// granted adds the tickets that the caller asked for, so that taking them costs
// no round trip of its own.
func (n *Node) granted(req *job.Request, a *job.Answer) *job.Answer {
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

// run admits, queues and awaits a submission on this VM.
func (n *Node) run(ctx context.Context, req *job.Request) *job.Answer {
	now := n.now()
	c := n.conf.Load()
	class := c.doc.Classes[req.Class]
	if a := n.admit(c, class, req, now); a != nil {
		n.parts.Meter.Answered(req.Tenant, req.Class, a, 0, 0)
		return a
	}
	size := req.Bytes()
	n.bytes.Add(size)
	w := n.accept(c, class, req, now)
	select {
	case <-w.done:
	case <-ctx.Done():
		n.settle(w, w.quit(job.Canceled, 0, "cancelled by its caller"))
		<-w.done
	case <-n.ctx.Done():
		n.settle(w, w.quit(job.Leaving, leastRetry, "this VM ended"))
		<-w.done
	}
	n.bytes.Add(-size)
	return w.answer
}

// accept queues an admitted submission.
func (n *Node) accept(c *conf, class doc.Class, req *job.Request, now time.Time) *work {
	w := newWork(n.serial.Add(1), req, class, now)
	w.entry = queue.Entry[*work]{
		Job: w, Tenant: req.Tenant, Weight: c.doc.Tenants[req.Tenant].Weight,
		Cost: n.learn.Expect(w.key, req.Tasks[0].Run).Mean, Tasks: len(req.Tasks), Due: w.due,
	}
	w.expiry = n.parts.Timers.After(req.Left, func() {
		n.settle(w, w.quit(job.Deadline, 0, "its time ran out"))
	})
	n.quota.Want(req.Tenant, len(req.Tasks))
	n.queues[class.Band].Push(now, &w.entry)
	n.pump()
	return w
}

// settle ends a job whose answer was just fixed: what still waits leaves the
// queue, and the caller is told at once.
func (n *Node) settle(w *work, a *job.Answer) {
	if a == nil {
		return
	}
	w.expiry.Stop()
	n.quota.Drop(w.req.Tenant, n.queues[w.class.Band].Drop(&w.entry))
	n.parts.Meter.Answered(w.req.Tenant, w.req.Class, a, n.now().Sub(w.began), w.longest)
	if a.Outcome == job.Unknown || a.Outcome == job.Failed {
		n.parts.Log.Info("job not done", "tenant", w.req.Tenant, "class", w.req.Class, "outcome", a.Outcome.String(), "reason", string(a.Reason), "detail", a.Detail)
	}
	close(w.done)
}
