package flow

import (
	"fmt"
	"time"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/task/health"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/learn"
	"dahliawinch/internal/task/place"
	"dahliawinch/internal/task/tries"
)

const (
	meterProbe     = meter.Probe
	meterRefusal   = meter.Refusal
	meterRetry     = meter.Retry
	meterForward   = meter.Forward
	meterGossip    = meter.Gossip
	meterDuplicate = meter.Duplicate
)

// owner receives the report of an attempt; it is a localTask or a peerTask. Each attempt
// ends with exactly one of ran, failed, lost and notStarted.
type owner interface {
	begin() bool
	ran(body []byte, ran time.Duration)
	failed(detail string)
	lost(detail string)
	// notStarted reports why the task can't be retried, or NoReason, and which domain
	// refused it.
	notStarted(sent bool, why job.Reason, domain, detail string)
}

// attempt is one attempt to run a task on one endpoint.
type attempt struct {
	n     *Node
	ep    *place.Endpoint
	task  *job.Task
	key   learn.Key
	band  job.Band
	due   time.Time
	owner owner
	state tries.Attempt
	sent  time.Time
}

// launch runs the attempt in a new goroutine.
func (a *attempt) launch() {
	a.n.running.Add(1)
	if a.band == job.Urgent {
		a.n.urgent.Add(1)
	}
	a.n.wg.Go(a.run)
}

func (a *attempt) run() {
	n := a.n
	defer n.running.Add(-1) // runs last: a drain must not end before the report is sent
	r := n.deps.Runner.Run(n.ctx, a.ep.Addr, Exchange{
		AttemptID: n.attemptID(), Body: a.task.Body, Deadline: a.due, Begin: a.begin,
	})
	now := n.now()
	a.recordHealth(now, r)
	a.ep.Release()
	if a.band == job.Urgent {
		n.urgent.Add(-1)
	}
	if r.Leaving {
		n.markLeaving(a.ep.Addr, "endpoint", true)
	}
	a.report(now, r)
	n.pump()
}

// begin checks right before the send whether the task is still wanted. If this VM was
// paused before, the caller may already have an answer that says that the job ended.
func (a *attempt) begin() bool {
	now := a.n.now()
	if now.After(a.due) || a.n.ctx.Err() != nil || !a.owner.begin() {
		return false
	}
	if err := a.state.On(tries.Send); err != nil {
		a.n.deps.Log.Error("invalid attempt event", "err", err)
		return false
	}
	a.sent = now
	a.n.deps.Meter.AddStart()
	return true
}

// recordHealth records the result in the endpoint's health and the kind's run times.
func (a *attempt) recordHealth(now time.Time, r Result) {
	n := a.n
	rep := health.Report{Addr: a.ep.Addr, Kind: a.key.Tenant + "/" + a.key.Kind}
	switch r.Status {
	case Ran:
		rep.End, rep.Ran = health.OK, now.Sub(a.sent)
		rep.Expected = n.learn.Expect(a.key, a.task.Run).Mean
		n.learn.Record(a.key, rep.Ran)
	case Failed:
		rep.End = health.Bad
	case Lost:
		rep.End = health.Silent
	case Refused:
		a.ep.MarkFull(now)
		n.deps.Timers.After(refusalBackoff, n.pump)
		return
	case Unsent:
		if r.Err == nil {
			return // held back by Begin
		}
		rep.End = health.Unreachable
	}
	a.ep.SetLimit(n.health.Record(now, rep))
	if r.Status == Ran || r.Status == Failed {
		a.ep.Answered(now)
	}
}

var attemptEvents = [...]tries.Event{
	Unsent: tries.SendFailed, Refused: tries.Refuse, Ran: tries.Answer, Failed: tries.Answer, Lost: tries.Disconnect,
}

// report reports the result to the owner, by the attempt's final state.
func (a *attempt) report(now time.Time, r Result) {
	sent := a.state.State() == tries.Sent
	if err := a.state.On(attemptEvents[r.Status]); err != nil {
		a.n.deps.Log.Error("invalid attempt event", "err", err) // inconsistent runner: assume the worst
		a.owner.lost(err.Error())
		return
	}
	detail := fmt.Sprintf("endpoint %s", a.ep.Addr)
	if r.Err != nil {
		detail = fmt.Sprintf("endpoint %s: %v", a.ep.Addr, r.Err)
	}
	switch {
	case a.state.MayRetry():
		a.reportNotStarted(now, sent, r.Err != nil || sent, detail)
	case r.Status == Ran:
		a.owner.ran(r.Body, now.Sub(a.sent))
	case r.Status == Failed:
		a.owner.failed(detail)
	default:
		a.owner.lost(detail)
	}
}

// reportNotStarted reports a task that certainly did not start; wanted is false if it
// was held back because its time was over or its job had ended.
func (a *attempt) reportNotStarted(now time.Time, sent, wanted bool, detail string) {
	n := a.n
	if !wanted || !now.Before(a.due) {
		a.owner.notStarted(sent, job.Deadline, a.ep.Domain, "its time ran out")
		return
	}
	if sent {
		n.deps.Meter.AddWasted(meterRefusal, 1)
	}
	a.owner.notStarted(sent, n.takeRetry(now, a.ep.Domain), a.ep.Domain, detail)
}

// takeRetry takes a retry from the budget, or returns OutOfBudget.
func (n *Node) takeRetry(now time.Time, domain string) job.Reason {
	if !n.budget.Spend(now, domain) {
		return job.OutOfBudget
	}
	n.deps.Meter.AddWasted(meterRetry, 1)
	return job.NoReason
}
