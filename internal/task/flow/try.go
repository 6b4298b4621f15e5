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

// owner is whom an attempt reports to: a job of this VM or of a peer. Exactly one
// of the reports follows each attempt.
type owner interface {
	begin() bool
	ran(body []byte, ran time.Duration)
	ranBadly(detail string)
	lost(detail string)
	// notRun says why it can't be tried again, or NoReason, and which domain refused.
	notRun(sent bool, why job.Reason, domain, detail string)
}

// try is one attempt to run a task on one endpoint.
type try struct {
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

// launch runs the attempt on a goroutine of its own.
func (t *try) launch() {
	t.n.running.Add(1)
	if t.band == job.Urgent {
		t.n.urgent.Add(1)
	}
	t.n.wg.Go(t.run)
}

func (t *try) run() {
	n := t.n
	defer n.running.Add(-1) // last: a drain must not end before the report is on its way
	r := n.parts.Runner.Run(n.ctx, t.ep.Addr, Exchange{
		Attempt: n.name(), Body: t.task.Body, Until: t.due, Begin: t.begin,
	})
	now := n.now()
	t.judge(now, r)
	t.ep.Release()
	if t.band == job.Urgent {
		n.urgent.Add(-1)
	}
	if r.Leaving {
		n.leave(t.ep.Addr, "endpoint", true)
	}
	t.report(now, r)
	n.pump()
}

// begin is the last look before the send. A VM that was paused since it decided
// would otherwise start work whose caller has been told that it was given up.
func (t *try) begin() bool {
	now := t.n.now()
	if now.After(t.due) || t.n.ctx.Err() != nil || !t.owner.begin() {
		return false
	}
	if err := t.state.On(tries.Send); err != nil {
		t.n.parts.Log.Error("attempt", "err", err)
		return false
	}
	t.sent = now
	t.n.parts.Meter.Start()
	return true
}

// judge takes the ending into the endpoint's health and the kind's run times.
func (t *try) judge(now time.Time, r Result) {
	n := t.n
	rep := health.Report{Addr: t.ep.Addr, Kind: t.key.Tenant + "/" + t.key.Kind}
	switch r.Ending {
	case Ran:
		rep.End, rep.Ran = health.OK, now.Sub(t.sent)
		rep.Usual = n.learn.Expect(t.key, t.task.Run).Mean
		n.learn.Note(t.key, rep.Ran)
	case RanBadly:
		rep.End = health.Bad
	case Lost:
		rep.End = health.Silent
	case Refused:
		t.ep.Full(now)
		n.parts.Timers.After(lookAgain, n.pump)
		return
	case Unsent:
		if r.Err == nil {
			return // not wanted any more
		}
		rep.End = health.Unreachable
	}
	t.ep.SetLimit(n.health.Note(now, rep))
	if r.Ending == Ran || r.Ending == RanBadly {
		t.ep.Hear(now)
	}
}

var events = [...]tries.Event{
	Unsent: tries.Balk, Refused: tries.Refuse, Ran: tries.Answer, RanBadly: tries.Answer, Lost: tries.Lose,
}

// report tells the owner, by the state that the attempt ended in.
func (t *try) report(now time.Time, r Result) {
	sent := t.state.State() == tries.Sent
	if err := t.state.On(events[r.Ending]); err != nil {
		t.n.parts.Log.Error("attempt", "err", err) // a runner that contradicts itself: take the worst
		t.owner.lost(err.Error())
		return
	}
	detail := fmt.Sprintf("endpoint %s", t.ep.Addr)
	if r.Err != nil {
		detail = fmt.Sprintf("endpoint %s: %v", t.ep.Addr, r.Err)
	}
	switch {
	case t.state.MayRetry():
		t.again(now, sent, r.Err != nil || sent, detail)
	case r.Ending == Ran:
		t.owner.ran(r.Body, now.Sub(t.sent))
	case r.Ending == RanBadly:
		t.owner.ranBadly(detail)
	default:
		t.owner.lost(detail)
	}
}

// again reports a task that proved not to have started; wanted is false when it
// was held back because its time was over or its job had ended.
func (t *try) again(now time.Time, sent, wanted bool, detail string) {
	n := t.n
	if !wanted || !now.Before(t.due) {
		t.owner.notRun(sent, job.Deadline, t.ep.Domain, "its time ran out")
		return
	}
	if sent {
		n.parts.Meter.Waste(meterRefusal, 1)
	}
	t.owner.notRun(sent, n.retry(now, t.ep.Domain), t.ep.Domain, detail)
}

// retry takes a retry from the budget, or says that there is none.
func (n *Node) retry(now time.Time, domain string) job.Reason {
	if !n.budget.Spend(now, domain) {
		return job.OutOfBudget
	}
	n.parts.Meter.Waste(meterRetry, 1)
	return job.NoReason
}
