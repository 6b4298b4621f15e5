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

// handGrace is how much longer than the submission's own time a VM waits for the
// answer of the VM that it handed it to.
const handGrace = 250 * time.Millisecond

// use is a ticketed submission in progress, for cancelling by ticket.
type use struct {
	cancel context.CancelFunc
}

// call is a submission handed to a peer.
type call struct {
	peer   netip.AddrPort
	inc    uint64
	answer chan *job.Answer
}

func keyOf(req *job.Request) learn.Key { return learn.Key{Tenant: req.Tenant, Kind: req.Kind} }

// Grant hands out tickets.
func (n *Node) Grant(tenant string, count int) (string, error) {
	return n.book.Issue(n.now(), tenant, count)
}

// digest tells requests apart that come under one ticket.
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

// ticketed runs a submission under its ticket, here or on the VM that issued it.
func (n *Node) ticketed(ctx context.Context, req *job.Request) *job.Answer {
	t, err := ticket.Parse(req.Ticket)
	if err != nil {
		return job.Refuse(job.BadTicket, 0, "ticket: %v; take one from /tickets", err)
	}
	u, v := n.book.Claim(n.now(), t, req.Tenant, digest(req))
	switch v {
	case ticket.Fresh:
		a := n.once(req, t)
		n.book.End(n.now(), t, u, a, n.hold(req.Class))
		return a
	case ticket.Running:
		return n.join(ctx, req, u)
	case ticket.Elsewhere:
		return n.elsewhere(ctx, req, t, false)
	default:
		return n.verdict(u, v)
	}
}

func (n *Node) hold(class string) time.Duration {
	k, _ := n.Class(class)
	return k.Hold.Std()
}

// once runs a submission that is the first under its ticket. Its caller may hang
// up and come again, so a hang-up doesn't cancel it; only Stop does. It is judged only
// now: a copy that came before under another document may be running.
func (n *Node) once(req *job.Request, t ticket.Ticket) *job.Answer {
	c := n.conf.Load()
	if c == nil {
		return noDocument()
	}
	if a := n.check(c, req); a != nil {
		return a
	}
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	n.liveMu.Lock()
	n.live[t.Seq()] = &use{cancel: cancel}
	n.liveMu.Unlock()
	a := n.run(ctx, req)
	n.liveMu.Lock()
	delete(n.live, t.Seq())
	n.liveMu.Unlock()
	return a
}

// join waits for the answer of the same submission.
func (n *Node) join(ctx context.Context, req *job.Request, u *ticket.Use) *job.Answer {
	n.parts.Meter.Waste(meterDuplicate, 1)
	ctx, cancel := context.WithTimeout(ctx, max(n.patience(req), handGrace))
	defer cancel()
	select {
	case <-u.Done():
		if a := n.book.Answer(u); a != nil {
			return a
		}
		return n.verdict(u, ticket.Forgotten)
	case <-ctx.Done():
		return job.Doubt(job.StillRuns, "the same submission is still running; ask after its ticket")
	}
}

// verdict words what the book says of a ticket that starts nothing now.
func (n *Node) verdict(u *ticket.Use, v ticket.Verdict) *job.Answer {
	switch v {
	case ticket.Ended, ticket.Fresh:
		if a := n.book.Answer(u); a != nil {
			return a
		}
		return n.verdict(u, ticket.Forgotten)
	case ticket.Running:
		return job.Doubt(job.StillRuns, "it is running")
	case ticket.Forgotten:
		switch o := n.book.Outcome(u); o {
		case job.Refused:
			return job.Refuse(job.NotHeld, 0, "it was refused and nothing ran")
		case job.Unknown:
			return job.Doubt(job.NotHeld, "it ended as unknown")
		default:
			return &job.Answer{Outcome: job.Failed, Reason: job.NotHeld, Detail: "it ran and ended as " + o.String() + "; its answer is no longer held"}
		}
	case ticket.Late:
		return job.Doubt(job.NotHeld, "the ticket's term is over and its use is not remembered; nothing was started now")
	case ticket.Full:
		return job.Doubt(job.Overload, "this VM remembers as many tickets as it may; nothing was started now, but a copy that comes later may be")
	case ticket.Misused:
		return job.Refuse(job.BadTicket, 0, "ticket: it was used for another request; of this one nothing was started")
	default:
		return job.Refuse(job.BadTicket, 0, "ticket: it was not issued to this tenant")
	}
}

// Ask says what became of a ticket's submission; a ticket not used yet is used up.
func (n *Node) Ask(ctx context.Context, tenant, text string) *job.Answer {
	t, err := ticket.Parse(text)
	if err != nil {
		return job.Refuse(job.BadTicket, 0, "ticket: %v", err)
	}
	u, v := n.book.Void(n.now(), t, tenant)
	if v == ticket.Elsewhere {
		req := &job.Request{Tenant: tenant, Ticket: text, Left: time.Second}
		return n.elsewhere(ctx, req, t, true)
	}
	return n.verdict(u, v)
}

// Stop cancels what runs under a ticket and says what became of it.
func (n *Node) Stop(ctx context.Context, tenant, text string) *job.Answer {
	t, err := ticket.Parse(text)
	if err != nil {
		return job.Refuse(job.BadTicket, 0, "ticket: %v", err)
	}
	u, v := n.book.Void(n.now(), t, tenant)
	switch v {
	case ticket.Elsewhere:
		req := &job.Request{Tenant: tenant, Ticket: text, Left: time.Second}
		return n.hand(ctx, t.VM, t.Inc, &frame.Submit{Req: *req, Look: true, Stop: true})
	case ticket.Running:
		n.liveMu.Lock()
		if live := n.live[t.Seq()]; live != nil {
			live.cancel()
		}
		n.liveMu.Unlock()
		return n.join(ctx, &job.Request{Left: time.Second}, u)
	default:
		return n.verdict(u, v)
	}
}

// elsewhere hands a ticketed submission to the VM that issued its ticket.
func (n *Node) elsewhere(ctx context.Context, req *job.Request, t ticket.Ticket, look bool) *job.Answer {
	return n.hand(ctx, t.VM, t.Inc, &frame.Submit{Req: *req, Look: look})
}

// handOver hands a submission without a ticket to any usable peer, because this
// VM can't run it; nil if no peer could take it.
func (n *Node) handOver(ctx context.Context, req *job.Request) *job.Answer {
	for _, m := range n.view.Members() {
		if !m.Usable() || m.Domain != n.cfg.Domain && n.sameDomain() {
			continue
		}
		a := n.hand(ctx, m.VM, m.Inc, &frame.Submit{Req: *req})
		if a.Reason != job.GoneTicket {
			return a
		}
	}
	return nil
}

// sameDomain reports whether a peer of the own failure domain is usable.
func (n *Node) sameDomain() bool {
	for _, m := range n.view.Members() {
		if m.Usable() && m.Domain == n.cfg.Domain {
			return true
		}
	}
	return false
}

// hand sends a submission to one incarnation of a VM and awaits the answer. Its
// address comes from outside with the ticket, so only members of the view count.
func (n *Node) hand(ctx context.Context, vm netip.AddrPort, inc uint64, s *frame.Submit) *job.Answer {
	gone := job.Doubt(job.GoneTicket, "the VM that issued the ticket can't be reached; nothing was started here; take a new ticket once you know that the old one did not run")
	if !n.reachable(ctx, vm, inc) {
		return gone
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
	if err := n.parts.Mesh.Cast(vm, s); err != nil && !n.castAgain(ctx, vm, inc, s) {
		return gone
	}
	n.parts.Meter.Waste(meterForward, 1)
	ctx, cancel := context.WithTimeout(ctx, n.patience(&s.Req)+handGrace)
	defer cancel()
	select {
	case a := <-c.answer:
		return a
	case <-ctx.Done():
		return job.Doubt(job.Silent, "the VM that it was handed to did not answer in time")
	}
}

// castAgain sends a submission once a link is open: a VM that has just started hears others before
// its own links are up.
func (n *Node) castAgain(ctx context.Context, vm netip.AddrPort, inc uint64, s *frame.Submit) bool {
	ctx, cancel := context.WithTimeout(ctx, reachWait)
	defer cancel()
	there, err := n.parts.Mesh.Reach(ctx, vm)
	return err == nil && there == inc && n.parts.Mesh.Cast(vm, s) == nil
}

// patience is how long the answer to a submission is awaited: its own time, or its
// class's, or a while if neither is known here.
func (n *Node) patience(req *job.Request) time.Duration {
	if req.Left > 0 {
		return req.Left
	}
	if k, ok := n.Class(req.Class); ok {
		return k.Deadline.Std()
	}
	return 10 * time.Second
}

// reachable reports whether an incarnation of a listed VM can be talked to. Most VMs
// of other failure domains keep no link to this one and are asked now.
func (n *Node) reachable(ctx context.Context, vm netip.AddrPort, inc uint64) bool {
	m := n.view.Find(vm)
	switch {
	case m == nil:
		return false
	case m.State == view.Alive || m.State == view.Left:
		return m.Inc == inc
	case m.State == view.Listed:
		ctx, cancel := context.WithTimeout(ctx, reachWait)
		defer cancel()
		there, err := n.parts.Mesh.Reach(ctx, vm)
		return err == nil && there == inc
	default:
		return false
	}
}

// reachWait bounds the opening of a link for one submission.
const reachWait = time.Second

func (n *Node) loseCalls(vm netip.AddrPort, inc uint64) {
	n.callMu.Lock()
	defer n.callMu.Unlock()
	for _, c := range n.calls {
		if c.peer != vm || c.inc != inc {
			continue
		}
		select {
		case c.answer <- job.Doubt(job.Silent, "the VM that it was handed to is gone"):
		default:
		}
	}
}

// receiveSubmit works for a peer; it never hands on.
func (n *Node) receiveSubmit(from frame.Hello, s *frame.Submit) {
	n.active.Add(1)
	n.wg.Go(func() {
		defer n.active.Add(-1)
		a := n.serve(s)
		if err := n.parts.Mesh.Cast(from.VM, &frame.Reply{To: from.Inc, Call: s.Call, Answer: *a}); err != nil {
			n.parts.Log.Warn("no way back", "to", from.VM, "msg", "reply", "err", err)
		}
	})
}

func (n *Node) serve(s *frame.Submit) *job.Answer {
	req := &s.Req
	if s.Stop {
		return n.Stop(n.ctx, req.Tenant, req.Ticket)
	}
	if s.Look {
		return n.Ask(n.ctx, req.Tenant, req.Ticket)
	}
	if req.Ticket == "" {
		return n.serveHanded(req)
	}
	t, err := ticket.Parse(req.Ticket)
	if err != nil || t.VM != n.cfg.Self || t.Inc != n.cfg.Inc {
		return job.Doubt(job.GoneTicket, "the incarnation that issued the ticket is gone; nothing was started here")
	}
	return n.ticketed(n.ctx, req)
}

// serveHanded runs a submission without a ticket for a peer that leaves.
func (n *Node) serveHanded(req *job.Request) *job.Answer {
	c := n.conf.Load()
	if c == nil {
		return noDocument()
	}
	if _, ok := c.doc.Tenants[req.Tenant]; !ok {
		return job.Refuse(job.BadKey, 0, "tenant %s is not declared", req.Tenant)
	}
	if a := n.check(c, req); a != nil {
		return a
	}
	return n.run(n.ctx, req)
}

func (n *Node) receiveReply(from frame.Hello, r *frame.Reply) {
	n.callMu.Lock()
	c := n.calls[r.Call]
	n.callMu.Unlock()
	if c == nil || c.peer != from.VM || c.inc != from.Inc {
		n.parts.Meter.Waste(meterDuplicate, 1)
		return // its caller was answered already
	}
	select {
	case c.answer <- &r.Answer:
	default:
	}
}
