package flow

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/learn"
	"dahliawinch/internal/task/ticket"
)

// forwardGrace is how much longer than a submission's own time a VM waits for the
// answer to a forwarded one.
const forwardGrace = 250 * time.Millisecond

// ticketRun cancels a running submission by its ticket.
type ticketRun struct {
	cancel context.CancelFunc
}

// call is a submission forwarded to a peer and not answered yet.
type call struct {
	peer   netip.AddrPort
	inc    uint64
	answer chan *job.Answer
}

func learnKey(req *job.Request) learn.Key { return learn.Key{Tenant: req.Tenant, Kind: req.Kind} }

// Grant issues tickets to a tenant.
func (n *Node) Grant(tenant string, count int) (string, error) {
	return n.tickets.Issue(n.now(), tenant, count)
}

// digest returns a hash that distinguishes requests sent under one ticket.
func digest(req *job.Request) uint64 {
	d := xxhash.New()
	write := func(s string) { _, _ = d.WriteString(s); _, _ = d.Write([]byte{0}) }
	write(req.Class)
	write(req.Kind)
	for i := range req.Tasks {
		_, _ = d.Write(req.Tasks[i].Body)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// runTicketed runs a submission under its ticket, here or on the VM that issued it.
func (n *Node) runTicketed(ctx context.Context, req *job.Request) *job.Answer {
	t, err := ticket.Parse(req.Ticket)
	if err != nil {
		return job.Refuse(job.BadTicket, 0, "ticket: %v; take one from /tickets", err)
	}
	u, v := n.tickets.Claim(n.now(), t, req.Tenant, digest(req))
	switch v {
	case ticket.Fresh:
		a := n.runFirst(req, t)
		n.tickets.End(n.now(), t, u, a, n.holdTime(req.Class))
		return a
	case ticket.Running:
		return n.join(ctx, req, u)
	case ticket.Elsewhere:
		return n.forwardTicketed(ctx, req, t, false)
	default:
		return n.ticketAnswer(u, v)
	}
}

func (n *Node) holdTime(class string) time.Duration {
	k, _ := n.Class(class)
	return k.Hold.Std()
}

// runFirst runs the first submission under a ticket. Its caller may disconnect and
// retry, so only CancelTicket cancels it. It is validated after the claim, since a copy
// accepted under an earlier document may already be running.
func (n *Node) runFirst(req *job.Request, t ticket.Ticket) *job.Answer {
	c := n.conf.Load()
	if c == nil {
		return noDocument()
	}
	if a := n.validate(c, req); a != nil {
		return a
	}
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	n.ticketMu.Lock()
	n.ticketRuns[t.Seq()] = &ticketRun{cancel: cancel}
	n.ticketMu.Unlock()
	a := n.run(ctx, req)
	n.ticketMu.Lock()
	delete(n.ticketRuns, t.Seq())
	n.ticketMu.Unlock()
	return a
}

// join waits for the answer of a running submission with the same ticket.
func (n *Node) join(ctx context.Context, req *job.Request, u *ticket.Use) *job.Answer {
	n.deps.Meter.AddWasted(meterDuplicate, 1)
	ctx, cancel := context.WithTimeout(ctx, max(n.answerTimeout(req), forwardGrace))
	defer cancel()
	select {
	case <-u.Done():
		if a := n.tickets.Answer(u); a != nil {
			return a
		}
		return n.ticketAnswer(u, ticket.Forgotten)
	case <-ctx.Done():
		return job.UnknownAnswer(job.StillRuns, "the same submission is still running; ask after its ticket")
	}
}

// ticketAnswer returns the answer for a ticket under which nothing is started now.
func (n *Node) ticketAnswer(u *ticket.Use, v ticket.Verdict) *job.Answer {
	switch v {
	case ticket.Ended, ticket.Fresh:
		if a := n.tickets.Answer(u); a != nil {
			return a
		}
		return n.ticketAnswer(u, ticket.Forgotten)
	case ticket.Running:
		return job.UnknownAnswer(job.StillRuns, "it is running")
	case ticket.Forgotten:
		switch o := n.tickets.Outcome(u); o {
		case job.Refused:
			return job.Refuse(job.NotHeld, 0, "it was refused and nothing ran")
		case job.Unknown:
			return job.UnknownAnswer(job.NotHeld, "it ended as unknown")
		default:
			return &job.Answer{Outcome: job.Failed, Reason: job.NotHeld, Detail: "it ran and ended as " + o.String() + "; its answer is no longer held"}
		}
	case ticket.Late:
		return job.UnknownAnswer(job.NotHeld, "the ticket's term is over and its use is not remembered; nothing was started now")
	case ticket.Full:
		return job.UnknownAnswer(job.Overload, "this VM remembers as many tickets as it may; nothing was started now, but a copy that comes later may be")
	case ticket.Misused:
		return job.Refuse(job.BadTicket, 0, "ticket: it was used for another request; of this one nothing was started")
	default:
		return job.Refuse(job.BadTicket, 0, "ticket: it was not issued to this tenant")
	}
}

// LookupTicket returns what became of a ticket's submission. It voids an unused ticket.
func (n *Node) LookupTicket(ctx context.Context, tenant, text string) *job.Answer {
	t, err := ticket.Parse(text)
	if err != nil {
		return job.Refuse(job.BadTicket, 0, "ticket: %v", err)
	}
	u, v := n.tickets.Void(n.now(), t, tenant)
	if v == ticket.Elsewhere {
		req := &job.Request{Tenant: tenant, Ticket: text, TimeLeft: time.Second}
		return n.forwardTicketed(ctx, req, t, true)
	}
	return n.ticketAnswer(u, v)
}

// CancelTicket cancels the submission that runs under a ticket and returns its answer.
func (n *Node) CancelTicket(ctx context.Context, tenant, text string) *job.Answer {
	t, err := ticket.Parse(text)
	if err != nil {
		return job.Refuse(job.BadTicket, 0, "ticket: %v", err)
	}
	u, v := n.tickets.Void(n.now(), t, tenant)
	switch v {
	case ticket.Elsewhere:
		req := &job.Request{Tenant: tenant, Ticket: text, TimeLeft: time.Second}
		return n.forward(ctx, t.VM, t.Inc, &frame.Submit{Req: *req, QueryOnly: true, Cancel: true})
	case ticket.Running:
		n.ticketMu.Lock()
		if run := n.ticketRuns[t.Seq()]; run != nil {
			run.cancel()
		}
		n.ticketMu.Unlock()
		return n.join(ctx, &job.Request{TimeLeft: time.Second}, u)
	default:
		return n.ticketAnswer(u, v)
	}
}

// forwardTicketed forwards a submission to the VM that issued its ticket.
func (n *Node) forwardTicketed(ctx context.Context, req *job.Request, t ticket.Ticket, lookup bool) *job.Answer {
	return n.forward(ctx, t.VM, t.Inc, &frame.Submit{Req: *req, QueryOnly: lookup})
}

// forwardAny forwards a submission without a ticket to a usable peer, because this VM
// can't run it. It returns nil if no peer could be reached.
func (n *Node) forwardAny(ctx context.Context, req *job.Request) *job.Answer {
	for _, m := range n.view.Members() {
		if !m.Usable() || m.Domain != n.cfg.Domain && n.hasDomainPeer() {
			continue
		}
		a := n.forward(ctx, m.VM, m.Inc, &frame.Submit{Req: *req})
		if a.Reason != job.GoneTicket {
			return a
		}
	}
	return nil
}

// hasDomainPeer reports whether this VM's failure domain has another usable VM.
func (n *Node) hasDomainPeer() bool {
	for _, m := range n.view.Members() {
		if m.Usable() && m.Domain == n.cfg.Domain {
			return true
		}
	}
	return false
}

// forward sends a submission to one incarnation of a VM and waits for the answer.
// Callers supply the address in their tickets, so only members of the view are used.
func (n *Node) forward(ctx context.Context, vm netip.AddrPort, inc uint64, s *frame.Submit) *job.Answer {
	unreachable := job.UnknownAnswer(job.GoneTicket, "the VM that issued the ticket can't be reached; nothing was started here; take a new ticket once you know that the old one did not run")
	if !n.reachable(ctx, vm, inc) {
		return unreachable
	}
	c := &call{peer: vm, inc: inc, answer: make(chan *job.Answer, 1)}
	s.Call = n.serial.Add(1)
	n.callMu.Lock()
	n.calls[s.Call] = c
	n.callMu.Unlock()
	defer func() {
		n.callMu.Lock()
		delete(n.calls, s.Call)
		n.callMu.Unlock()
	}()
	if err := n.deps.Mesh.Send(vm, s); err != nil && !n.castAfterConnect(ctx, vm, inc, s) {
		return unreachable
	}
	n.deps.Meter.AddWasted(meterForward, 1)
	ctx, cancel := context.WithTimeout(ctx, n.answerTimeout(&s.Req)+forwardGrace)
	defer cancel()
	select {
	case a := <-c.answer:
		return a
	case <-ctx.Done():
		return job.UnknownAnswer(job.Silent, "the VM that it was handed to did not answer in time")
	}
}

// castAfterConnect opens a link and sends the submission again: a VM that has just
// started receives messages of others before its own links are up.
func (n *Node) castAfterConnect(ctx context.Context, vm netip.AddrPort, inc uint64, s *frame.Submit) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	current, err := n.deps.Mesh.Connect(ctx, vm)
	return err == nil && current == inc && n.deps.Mesh.Send(vm, s) == nil
}

// answerTimeout is how long to wait for a submission's answer: its remaining time, else
// its class's deadline, else 10 s.
func (n *Node) answerTimeout(req *job.Request) time.Duration {
	if req.TimeLeft > 0 {
		return req.TimeLeft
	}
	if k, ok := n.Class(req.Class); ok {
		return k.Deadline.Std()
	}
	return 10 * time.Second
}

// reachable reports whether an incarnation of a listed VM can be reached. Most VMs of
// other failure domains keep no link to this one, so one is opened to them.
func (n *Node) reachable(ctx context.Context, vm netip.AddrPort, inc uint64) bool {
	m := n.view.Find(vm)
	switch {
	case m == nil:
		return false
	case m.State == view.Alive || m.State == view.Left:
		return m.Inc == inc
	case m.State == view.Listed:
		ctx, cancel := context.WithTimeout(ctx, reachTimeout)
		defer cancel()
		current, err := n.deps.Mesh.Connect(ctx, vm)
		return err == nil && current == inc
	default:
		return false
	}
}

// reachTimeout limits the time to open a link for one submission.
const reachTimeout = time.Second

func (n *Node) failCalls(vm netip.AddrPort, inc uint64) {
	n.callMu.Lock()
	defer n.callMu.Unlock()
	for _, c := range n.calls {
		if c.peer != vm || c.inc != inc {
			continue
		}
		select {
		case c.answer <- job.UnknownAnswer(job.Silent, "the VM that it was handed to is gone"):
		default:
		}
	}
}

// receiveSubmit runs a submission for a peer and never forwards it again.
func (n *Node) receiveSubmit(from frame.Hello, s *frame.Submit) {
	n.active.Add(1)
	n.wg.Go(func() {
		defer n.active.Add(-1)
		a := n.serveSubmit(s)
		if err := n.deps.Mesh.Send(from.VM, &frame.SubmitReply{To: from.Inc, Call: s.Call, Answer: *a}); err != nil {
			n.deps.Log.Warn("cannot send reply to peer", "to", from.VM, "msg", "reply", "err", err)
		}
	})
}

func (n *Node) serveSubmit(s *frame.Submit) *job.Answer {
	req := &s.Req
	if s.Cancel {
		return n.CancelTicket(n.ctx, req.Tenant, req.Ticket)
	}
	if s.QueryOnly {
		return n.LookupTicket(n.ctx, req.Tenant, req.Ticket)
	}
	if req.Ticket == "" {
		return n.serveForwarded(req)
	}
	t, err := ticket.Parse(req.Ticket)
	if err != nil || t.VM != n.cfg.Self || t.Inc != n.cfg.Inc {
		return job.UnknownAnswer(job.GoneTicket, "the incarnation that issued the ticket is gone; nothing was started here")
	}
	return n.runTicketed(n.ctx, req)
}

// serveForwarded runs a submission without a ticket for a peer that can't run it.
func (n *Node) serveForwarded(req *job.Request) *job.Answer {
	c := n.conf.Load()
	if c == nil {
		return noDocument()
	}
	if _, ok := c.doc.Tenants[req.Tenant]; !ok {
		return job.Refuse(job.BadKey, 0, "tenant %s is not declared", req.Tenant)
	}
	if a := n.validate(c, req); a != nil {
		return a
	}
	return n.run(n.ctx, req)
}

func (n *Node) receiveReply(from frame.Hello, r *frame.SubmitReply) {
	n.callMu.Lock()
	c := n.calls[r.Call]
	n.callMu.Unlock()
	if c == nil || c.peer != from.VM || c.inc != from.Inc {
		n.deps.Meter.AddWasted(meterDuplicate, 1)
		return // its caller has been answered already
	}
	select {
	case c.answer <- &r.Answer:
	default:
	}
}
