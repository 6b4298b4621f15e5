package parts

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/task/job"
)

// settleWait is how long a job that can't go on waits for its cancelled parts to be answered. A cancel and its answer
// take 2 to 70 ms, the latter on full links of 2 Mbit/s; a caller that is refused can try again at once, while one
// that gets unknown waits for a second or more.
const settleWait = 150 * time.Millisecond

// State is the state of a part.
type State uint8

// The states of a part.
const (
	Idle   State = iota // at no owner; nothing of it has begun
	Placed              // at its owner, which has not answered
	Done                // all of its tasks are done
	Ended               // failed or unknown
)

// Part is a range of a job's tasks. It is at one owner at a time.
type Part struct {
	Call   uint64 // call number at the VM that answers the caller
	First  int    // index of its first task in the job
	Count  int
	Owner  netip.AddrPort
	Tried  []netip.AddrPort // owners that refused it or could not be reached
	State  State
	SentAt time.Time // when its owner got it
}

// Step is what follows from an event.
type Step struct {
	Move   *Part       // it needs another owner: report Sent, Unsent or Stuck
	Cancel []Part      // to be cancelled at their owners
	Answer *job.Answer // the job's answer, which is given once
}

// Gather collects the answers to the parts of one job. The caller serializes all calls.
type Gather struct {
	parts   []*Part
	refusal job.Answer // the last one
	ending  bool       // no owner is left for a part: the others are cancelled
	until   time.Time  // end of the wait for their answers
	over    bool       // the job was answered
}

// New returns a Gather of a job whose parts are at no owner yet. Calls are numbered by next.
func New(shares []Share, next func() uint64) *Gather {
	g := &Gather{}
	first := 0
	for _, s := range shares {
		g.parts = append(g.parts, &Part{Call: next(), First: first, Count: s.Count, Owner: s.VM})
		first += s.Count
	}
	return g
}

// Parts returns all parts.
func (g *Gather) Parts() []*Part { return g.parts }

// Ending reports whether the job can't be done any more, so that no part must be kept alive.
func (g *Gather) Ending() bool { return g.ending || g.over }

// Find returns the part with a call number, or nil.
func (g *Gather) Find(call uint64) *Part {
	for _, p := range g.parts {
		if p.Call == call {
			return p
		}
	}
	return nil
}

// Holders returns the owners that have or had another part than the given one, or are about to get it, and did not refuse
// it. They must not get this one: an owner knows jobs by their IDs.
func (g *Gather) Holders(p *Part) (vms []netip.AddrPort) {
	for _, o := range g.parts {
		if o != p && o.Owner.IsValid() {
			vms = append(vms, o.Owner)
		}
	}
	return vms
}

// MayHaveBegun reports whether something of the job may have begun.
func (g *Gather) MayHaveBegun() bool {
	return slices.ContainsFunc(g.parts, func(p *Part) bool { return p.State != Idle })
}

// Sent records that an owner got an idle part.
func (g *Gather) Sent(now time.Time, p *Part, owner netip.AddrPort) {
	p.Owner, p.State, p.SentAt = owner, Placed, now
}

// Unsent records that a part could not be sent to an owner.
func (g *Gather) Unsent(p *Part, owner netip.AddrPort) {
	p.Owner = netip.AddrPort{}
	p.Tried = append(p.Tried, owner)
}

// Answered handles an owner's answer to a part. Retryable says that another owner may take what this one refused.
func (g *Gather) Answered(now time.Time, call uint64, from netip.AddrPort, a job.Answer, retryable bool) Step {
	p := g.Find(call)
	if p == nil || g.over || p.State != Placed || p.Owner != from {
		return Step{}
	}
	switch a.Outcome {
	case job.Refused:
		p.State, p.Owner, p.Tried = Idle, netip.AddrPort{}, append(p.Tried, from)
		a.Retry = max(a.Retry, g.refusal.Retry)
		g.refusal = a
		switch {
		case g.ending:
			return g.settle()
		case !retryable:
			return g.Stuck(now)
		}
		return Step{Move: p}
	case job.Done:
		p.State = Done
		if g.ending {
			return g.End(g.uncertain())
		}
		if slices.ContainsFunc(g.parts, func(o *Part) bool { return o.State != Done }) {
			return Step{}
		}
		return g.End(a)
	default:
		p.State = Ended
		if g.ending {
			a = g.uncertain()
		}
		return g.End(a)
	}
}

// Stuck handles that no owner is left for some part: the job can't be done. It is refused only if nothing of it has
// begun and nothing will, which the owners of the other parts must confirm.
func (g *Gather) Stuck(now time.Time) Step {
	if g.over {
		return Step{}
	}
	g.ending, g.until = true, now.Add(settleWait)
	if slices.ContainsFunc(g.parts, func(p *Part) bool { return p.State == Done || p.State == Ended }) {
		return g.End(g.uncertain())
	}
	s := g.settle()
	s.Cancel = g.placed()
	return s
}

// settle answers a job that can't be done once all of its parts were refused.
func (g *Gather) settle() Step {
	if len(g.placed()) > 0 {
		return Step{}
	}
	a := g.refusal
	if a.Outcome != job.Refused { // none of its parts reached an owner
		a = job.Answer{Outcome: job.Refused, Reason: job.NoEndpoint, Retry: time.Second, Detail: "no owner of endpoints is reachable"}
	}
	return g.End(a)
}

// Lost handles the loss of an owner. Runs that it started may go on until their leases end, so the job ends with the
// given answer if the owner has a part of it.
func (g *Gather) Lost(owner netip.AddrPort, a job.Answer) Step {
	if !slices.ContainsFunc(g.parts, func(p *Part) bool { return p.State == Placed && p.Owner == owner }) {
		return Step{}
	}
	return g.End(a)
}

// Expired ends a job that has waited long enough for the answers to its cancelled parts.
func (g *Gather) Expired(now time.Time) Step {
	if g.over || !g.ending || now.Before(g.until) {
		return Step{}
	}
	return g.End(g.uncertain())
}

// End answers the job, unless it was answered, and cancels what is left of it.
func (g *Gather) End(a job.Answer) Step {
	if g.over {
		return Step{}
	}
	g.over = true
	return Step{Cancel: g.placed(), Answer: &a}
}

// placed returns the parts at owners that have not answered.
func (g *Gather) placed() (all []Part) {
	for _, p := range g.parts {
		if p.State == Placed {
			all = append(all, *p)
		}
	}
	return all
}

// uncertain returns the answer to a job that lacks an owner for a part while other parts may have begun.
func (g *Gather) uncertain() job.Answer {
	return job.Answer{Outcome: job.Unknown, Reason: g.refusal.Reason, Detail: fmt.Sprintf("no owner took a part of it (%s), and others may have begun", g.refusal.Detail)}
}
