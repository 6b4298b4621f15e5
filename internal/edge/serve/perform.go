package serve

import (
	"context"
	"errors"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
)

const (
	// minOrderWait and maxOrderWait bound how long a start or stop waits for an answer, which takes 2 to 5 ms on a VM that
	// is not busy. After that the connection counts as dead and the order is repeated.
	minOrderWait = 25 * time.Millisecond
	maxOrderWait = 400 * time.Millisecond
	// startTries is how often a start without an answer is sent. If every second order is lost, one start in sixteen
	// remains unconfirmed.
	startTries = 4
	// renewWait is how long a renewal waits for a run to end. It bounds how long an end goes unnoticed when the renewal or
	// its answer is lost.
	renewWait = 150 * time.Millisecond
	// renewsPerLease is the minimum number of renewals within a lease.
	renewsPerLease = 4
	// lossyWait replaces renewWait for lossyFor after an order got no answer: calls are cheap, and a single unnoticed end
	// makes an urgent job of eight tasks late.
	lossyWait = 30 * time.Millisecond
	lossyFor  = 2 * time.Second
	// renewGrace is the minimum time added to renewWait before a renewal counts as unanswered.
	renewGrace = 60 * time.Millisecond
	// renewRetry is the pause after a renewal that failed or found orphans.
	renewRetry = 20 * time.Millisecond
	// stopTries is how often a stop is tried; after that it is ordered again once the endpoint answers a renewal.
	stopTries = 6
)

// perform carries out the scheduler's decisions; the caller holds the lock.
func (d *Node) perform() {
	for {
		actions := d.scheduler.TakeActions()
		if len(actions.Starts)+len(actions.Stops)+len(actions.Replies)+len(actions.Renewals) == 0 {
			return
		}
		if n := len(actions.Starts); n > 0 {
			limit := d.pace.Begin(n)
			for i := range actions.Starts {
				s := actions.Starts[i]
				d.wg.Go(func() { d.start(s, limit) })
			}
		}
		for i := range actions.Stops {
			s := actions.Stops[i]
			d.wg.Go(func() { d.stop(s) })
		}
		for i := range actions.Renewals {
			d.wakeRenewal(actions.Renewals[i].At)
		}
		for i := range actions.Replies {
			d.deliverAnswer(&actions.Replies[i])
		}
	}
}

// deliverAnswer sends a job's answer to the VM that accepted the job; the caller holds the lock.
func (d *Node) deliverAnswer(t *owner.Reply) {
	now := d.now()
	if t.Key.VM == d.cfg.VM {
		d.receiveAnswer(now, t.Key.VM, t.Key.Call, t.Answer)
		return
	}
	m := &frame.JobAnswer{To: t.Key.Inc, Call: t.Key.Call, Answer: t.Answer, Load: d.loadFrame(d.load(now))}
	if t.Answer.Outcome == job.Refused {
		m.Demand = d.demandFrame(now, false)
	}
	if err := d.deps.Mesh.Send(t.Key.VM, m); err != nil {
		d.log.Info("answer lost", "vm", t.Key.VM, "call", t.Key.Call, "outcome", t.Answer.Outcome.String(), "err", err)
	}
}

func target(ep *lease.Endpoint) agent.Target { return agent.Target{ID: ep.ID, Addr: ep.Addr} }

// start orders a run. A start without an answer is repeated with the same number. That is the fastest way to find out
// whether the run exists, and has no effect if it does or did. The caller has counted the first try with pace.Begin and
// passes its time limit.
func (d *Node) start(s owner.Start, limit time.Duration) {
	done := d.starts.take(d.ctx, s.At.ID)
	defer done()
	if err := d.beginSend(s); err != nil {
		d.dropStart(s, err)
		return
	}
	d.deps.Meter.AddStart()
	n := lease.RunID{Task: s.Run.Name, Num: s.Run.Num}
	o := agent.Start{Name: n, Spec: s.Spec, Until: s.Until, Fence: s.Fence}
	unanswered := 0
	var err error
	for {
		var place int
		if place, err = d.sendStart(s.At, o, limit); !agent.Unanswered(err) {
			break
		}
		unanswered++
		if !d.recordUnanswered(s, place, limit) || unanswered == startTries || d.beginSend(s) != nil {
			break
		}
		limit = d.pace.Begin(1)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.StartResult(d.now(), s, unanswered, err)
	var refused *agent.RefusedError
	if errors.As(err, &refused) {
		d.handleRefusal(refused.Why, s.At, s.Fence)
	}
	d.perform()
}

// beginSend records that a start is sent now. It returns an error if it must not be, or is no longer wanted.
func (d *Node) beginSend(s owner.Start) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.ctx.Err() != nil, s.Run.Stage != lease.Sent:
		return agent.ErrBusy
	case !s.At.Send(d.now(), s.Run):
		return agent.ErrWithheld
	}
	return nil
}

// dropStart gives up a start that was counted with pace.Begin before it is sent. The result is of no use to a closed node,
// which would dispatch the task again.
func (d *Node) dropStart(s owner.Start, why error) {
	d.pace.Send()
	d.pace.End()
	if d.ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.StartResult(d.now(), s, 0, why)
	d.perform()
}

// sendStart sends a start that was counted with pace.Begin. It returns its position among the orders on the link.
func (d *Node) sendStart(ep *lease.Endpoint, o agent.Start, limit time.Duration) (place int, err error) {
	began := d.now()
	place = d.pace.Send()
	defer d.pace.End()
	ctx, cancel := context.WithTimeout(d.ctx, limit)
	defer cancel()
	err = d.deps.Agent.Start(ctx, target(ep), o)
	switch {
	case agent.Unanswered(err):
		d.pace.RecordTimeout(began)
	case !errors.Is(err, agent.ErrUnsent):
		d.pace.Observe(d.now(), d.now().Sub(began), place)
	}
	return place, err
}

// recordUnanswered records that a start got no answer within its limit, and reports whether its run is still wanted.
// place is its position among the orders on the link.
func (d *Node) recordUnanswered(s owner.Start, place int, limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.lossyUntil = now.Add(lossyFor)
	open := d.ctx.Err() == nil && s.Run.Stage == lease.Sent
	d.log.Info("start unanswered", "job", s.Run.Task.Job, "task", s.Run.Name, "run", s.Run.Num, "endpoint", s.At.ID, "after", now.Sub(s.Run.SentAt).Round(time.Millisecond), "place", place, "limit", limit.Round(time.Millisecond), "open", open)
	return open
}

// stop orders the end of a run.
func (d *Node) stop(s owner.Stop) {
	done := d.stops.take(d.ctx, s.At.ID)
	defer done()
	for range stopTries {
		d.mu.Lock()
		fence, began := s.At.Fence, d.now()
		d.mu.Unlock()
		ctx, cancel := context.WithTimeout(d.ctx, d.pace.Timeout())
		err := d.deps.Agent.Stop(ctx, target(s.At), s.Name, fence)
		cancel()
		var refused *agent.RefusedError
		if errors.As(err, &refused) && d.losesEndpoint(refused.Why, s.At, fence, "stop") {
			return
		}
		if err == nil {
			d.recordStop(s)
			return
		}
		if d.ctx.Err() != nil {
			return
		}
		d.log.Info("stop not confirmed", "task", s.Name.Task, "run", s.Name.Num, "endpoint", s.At.ID, "err", err)
		if d.now().Sub(began) < renewRetry { // refused, or nobody listens there now
			pause(d.ctx, renewRetry)
		}
	}
}

// losesEndpoint gives up an endpoint that obeys another VM, or at whose address another incarnation answers, and returns
// whether it did. An order from before the endpoint's restart is refused by the new process, which is no such sign.
func (d *Node) losesEndpoint(why agent.Refusal, ep *lease.Endpoint, fence uint64, order string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if why != agent.WrongInstance && (why != agent.Fenced || fence < ep.Fence) {
		return false
	}
	d.scheduler.Lose(d.now(), ep.ID, why == agent.WrongInstance, "it refused a "+order+": "+why.String())
	d.handleRefusal(why, ep, fence)
	d.perform()
	return true
}

// recordStop records a confirmed stop and renews at once: a run that the endpoint no longer lists has ended or will
// never begin, so its task can start elsewhere without waiting for the lease.
func (d *Node) recordStop(s owner.Stop) {
	d.mu.Lock()
	d.scheduler.Stopped(d.now(), s.At, s.Name)
	d.perform()
	check := s.At.Runs[s.Name] != nil && d.scheduler.Find(s.At.ID) == s.At
	o := agent.Renew{Fence: s.At.Fence, Cursor: s.At.Ack()}
	now := d.now()
	d.mu.Unlock()
	if check {
		d.renewOnce(s.At, o, now)
	}
}

// settle asks an endpoint whose restart was just noticed what it runs, without waiting for a renewal under way.
func (d *Node) settle(ep *lease.Endpoint) {
	d.mu.Lock()
	o := agent.Renew{Fence: ep.Fence, Cursor: ep.Ack()}
	now := d.now()
	d.mu.Unlock()
	d.renewOnce(ep, o, now)
}

// wakeRenewal starts or wakes an endpoint's renewals; the caller holds the lock.
func (d *Node) wakeRenewal(ep *lease.Endpoint) {
	ch := d.wakes[ep.ID]
	if ch == nil {
		ch = make(chan struct{}, 1)
		d.wakes[ep.ID] = ch
		d.wg.Go(func() { d.renew(ep, ch) })
	}
	select {
	case ch <- struct{}{}:
	default:
	}
}

// renew extends an endpoint's lease and collects ended runs while this VM owns it. It makes no calls to an idle endpoint.
func (d *Node) renew(ep *lease.Endpoint, ch chan struct{}) {
	defer d.deps.Agent.Forget(target(ep))
	for d.ctx.Err() == nil {
		d.mu.Lock()
		if d.scheduler.Find(ep.ID) != ep {
			if d.wakes[ep.ID] == ch {
				delete(d.wakes, ep.ID)
			}
			if newer := d.scheduler.Find(ep.ID); newer != nil {
				d.wakeRenewal(newer)
			}
			d.mu.Unlock()
			return
		}
		idle := ep.Idle()
		now := d.now()
		o := agent.Renew{Fence: ep.Fence, Cursor: ep.Ack()}
		if ep.Synced && !ep.Silent && len(ep.Runs) > 0 {
			o.Until, o.Wait = ep.RenewUntil(now), min(renewWait, d.cfg.Limits.Lease()/renewsPerLease)
			switch {
			case ep.Missed > 0:
				o.Wait = 0 // answered at once, which tells a lost answer from a lost endpoint
			case now.Before(d.lossyUntil):
				o.Wait = max(lossyWait, d.pace.Timeout()) // so that there are no more renewals than the link can carry
			}
		}
		d.mu.Unlock()
		if idle {
			select {
			case <-ch:
			case <-time.After(time.Second): // checks whether the endpoint is still owned
			case <-d.ctx.Done():
			}
			continue
		}
		d.renewOnce(ep, o, now)
	}
}

func (d *Node) renewOnce(ep *lease.Endpoint, o agent.Renew, sent time.Time) {
	grace := max(renewGrace, d.pace.Timeout())
	if o.Wait < renewWait {
		grace = d.pace.Timeout()
	}
	ctx, cancel := context.WithTimeout(d.ctx, o.Wait+grace)
	r, err := d.deps.Agent.Renew(ctx, target(ep), o)
	cancel()
	if d.ctx.Err() != nil {
		return
	}
	var refused *agent.RefusedError
	if errors.As(err, &refused) && d.losesEndpoint(refused.Why, ep, o.Fence, "renewal") {
		return
	}
	d.mu.Lock()
	now := d.now()
	noticed := false
	switch {
	case err == nil:
		d.pace.RecordAnswer(now)
		noticed = ep.Restarts(r)
		d.scheduler.Renewed(now, sent, ep, r)
	case refused != nil && refused.Why == agent.Fenced: // sent before the endpoint's restart was noticed
	default:
		d.log.Info("look unanswered", "endpoint", ep.ID, "wait", o.Wait, "grace", grace, "runs", len(ep.Runs), "missed", ep.Missed+1, "err", err)
		if !ep.Silent {
			d.lossyUntil = now.Add(lossyFor)
		}
		if o.Until > 0 {
			ep.RenewalUnconfirmed(now)
		}
		d.scheduler.RenewalFailed(now, ep, err)
	}
	d.perform()
	backoff := (err != nil && ep.Silent) || (!ep.Synced && !noticed)
	d.mu.Unlock()
	switch {
	case noticed:
		d.settle(ep)
	case backoff:
		pause(d.ctx, renewRetry)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
