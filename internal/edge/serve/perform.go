package serve

import (
	"context"
	"errors"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
)

const (
	// orderLeast and orderMost bound how long a start or stop may go without an answer,
	// which takes 2 to 5 ms on a VM with time to spare. After it the connection is taken
	// for silent and the order is repeated.
	orderLeast = 25 * time.Millisecond
	orderMost  = 400 * time.Millisecond
	// startTries is how often a start is sent that gets no answer. While one order in two
	// is lost, one start in sixteen ends in doubt.
	startTries = 4
	// renewWait is how long a renewal waits for an end. It bounds how long ends go
	// unnoticed when a renewal or its answer is lost.
	renewWait = 150 * time.Millisecond
	// renewShare is how many renewals go into a lease at least.
	renewShare = 4
	// lossyWait takes its place for lossyFor after an order got no answer: calls cost
	// little, and an urgent job of eight tasks is late with one end unnoticed.
	lossyWait = 30 * time.Millisecond
	lossyFor  = 2 * time.Second
	// renewGrace at least is added until a renewal counts as unanswered.
	renewGrace = 60 * time.Millisecond
	// renewAgain is the pause after a renewal that failed or found orphans.
	renewAgain = 20 * time.Millisecond
	// stopTries is how often a stop is tried; after it the lease ends the run.
	stopTries = 6
)

// perform carries out what the book decided; the caller holds the lock.
func (d *Node) perform() {
	for {
		acts := d.book.Take()
		if len(acts.Starts)+len(acts.Stops)+len(acts.Tells)+len(acts.Wakes) == 0 {
			return
		}
		if n := len(acts.Starts); n > 0 {
			limit := d.pace.Begin(n)
			for i := range acts.Starts {
				s := acts.Starts[i]
				d.wg.Go(func() { d.start(s, limit) })
			}
		}
		for i := range acts.Stops {
			s := acts.Stops[i]
			d.wg.Go(func() { d.stop(s) })
		}
		for i := range acts.Wakes {
			d.wake(acts.Wakes[i].At)
		}
		for i := range acts.Tells {
			d.answer(&acts.Tells[i])
		}
	}
}

// answer brings a job's answer to the VM that took it in; the caller holds the lock.
func (d *Node) answer(t *owner.Tell) {
	now := d.now()
	if t.Key.VM == d.cfg.VM {
		d.resolve(now, t.Key.VM, t.Key.Call, t.Answer)
		return
	}
	m := &frame.Told{To: t.Key.Inc, Call: t.Key.Call, Answer: t.Answer, Load: d.loadFrame(d.load(now))}
	if err := d.parts.Mesh.Cast(t.Key.VM, m); err != nil {
		d.log.Info("answer lost", "vm", t.Key.VM, "call", t.Key.Call, "outcome", t.Answer.Outcome.String(), "err", err)
	}
}

func target(ep *lease.Endpoint) agent.Target { return agent.Target{ID: ep.ID, Addr: ep.Addr} }

// start orders a run. An order without an answer is repeated with the same number, which
// does nothing where the run is or was there; nothing else finds out as soon whether it is. The first
// is counted as on its way already, and has a time limit.
func (d *Node) start(s owner.Start, limit time.Duration) {
	d.parts.Meter.Start()
	n := lease.Name{Task: s.Run.Name, Num: s.Run.Num}
	o := agent.Start{Name: n, Spec: s.Spec, Until: s.Until, Fence: s.Fence}
	silent := 0
	var err error
	for {
		var place int
		if place, err = d.order(s.At, o, limit); !agent.Unanswered(err) {
			break
		}
		silent++
		if !d.missed(s, place, limit) || silent == startTries {
			break
		}
		limit = d.pace.Begin(1)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Ordered(d.now(), s, silent, err)
	var refused *agent.RefusedError
	if errors.As(err, &refused) {
		d.denied(refused.Why, s.At, s.Fence)
	}
	d.perform()
}

// order sends a start once that is counted as on its way. It returns its place among those on the link.
func (d *Node) order(ep *lease.Endpoint, o agent.Start, limit time.Duration) (place int, err error) {
	began := d.now()
	place = d.pace.Send()
	defer d.pace.End()
	ctx, cancel := context.WithTimeout(d.ctx, limit)
	defer cancel()
	err = d.parts.Agent.Start(ctx, target(ep), o)
	switch {
	case agent.Unanswered(err):
		d.pace.Miss(began)
	case !errors.Is(err, agent.ErrUnsent):
		d.pace.Note(d.now(), d.now().Sub(began), place)
	}
	return place, err
}

// missed takes in that a start got no answer within its limit and reports whether it is still open. Its place is that
// among the orders on the link.
func (d *Node) missed(s owner.Start, place int, limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.lossy = now.Add(lossyFor)
	open := d.ctx.Err() == nil && s.Run.Stage == lease.Sent
	d.log.Info("start unanswered", "job", s.Run.Task.Job, "task", s.Run.Name, "run", s.Run.Num, "endpoint", s.At.ID, "after", now.Sub(s.Run.At).Round(time.Millisecond), "place", place, "limit", limit.Round(time.Millisecond), "open", open)
	return open
}

// stop orders the end of a run.
func (d *Node) stop(s owner.Stop) {
	for range stopTries {
		ctx, cancel := context.WithTimeout(d.ctx, d.pace.Timeout())
		err := d.parts.Agent.Stop(ctx, target(s.At), s.Name, s.Fence)
		cancel()
		var refused *agent.RefusedError
		if errors.As(err, &refused) && (refused.Why == agent.Fenced || refused.Why == agent.Dead) {
			d.mu.Lock()
			d.book.Lose(d.now(), s.At.ID, refused.Why == agent.Dead, "it refused a stop: "+refused.Why.String())
			d.denied(refused.Why, s.At, s.Fence)
			d.perform()
			d.mu.Unlock()
			return
		}
		if err == nil {
			d.stopped(s)
			return
		}
		if d.ctx.Err() != nil {
			return
		}
		d.log.Info("stop not confirmed", "task", s.Name.Task, "run", s.Name.Num, "endpoint", s.At.ID, "err", err)
		if refused != nil { // it did nothing, so the run may go on or begin yet
			pause(d.ctx, renewAgain)
		}
	}
}

// stopped takes in a confirmed stop and looks at the endpoint at once: a run that it
// doesn't list now has ended or will never begin, and its task can start elsewhere
// without waiting for the lease.
func (d *Node) stopped(s owner.Stop) {
	d.mu.Lock()
	d.book.Stopped(d.now(), s.At, s.Name)
	d.perform()
	look := s.At.Runs[s.Name] != nil && d.book.Find(s.At.ID) == s.At
	o := agent.Renew{Fence: s.At.Fence, Cursor: s.At.Cursor}
	now := d.now()
	d.mu.Unlock()
	if look {
		d.renewOnce(s.At, o, now)
	}
}

// wake makes an endpoint's renewals begin; the caller holds the lock.
func (d *Node) wake(ep *lease.Endpoint) {
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

// renew keeps an endpoint's lease and collects its ends while this VM owns it. An idle
// endpoint costs no call.
func (d *Node) renew(ep *lease.Endpoint, ch chan struct{}) {
	defer d.parts.Agent.Forget(target(ep))
	for d.ctx.Err() == nil {
		d.mu.Lock()
		if d.book.Find(ep.ID) != ep {
			if d.wakes[ep.ID] == ch {
				delete(d.wakes, ep.ID)
			}
			if again := d.book.Find(ep.ID); again != nil {
				d.wake(again)
			}
			d.mu.Unlock()
			return
		}
		idle := ep.Idle()
		now := d.now()
		o := agent.Renew{Fence: ep.Fence, Cursor: ep.Cursor}
		if ep.Known && !ep.Silent && len(ep.Runs) > 0 {
			o.Until, o.Wait = ep.Until(now), min(renewWait, d.cfg.Limits.Lease()/renewShare)
			switch {
			case ep.Missed > 0:
				o.Wait = 0 // a look at once: it tells a lost answer from a lost endpoint
			case now.Before(d.lossy):
				o.Wait = max(lossyWait, d.pace.Timeout()) // no more looks than the link carries
			}
		}
		d.mu.Unlock()
		if idle {
			select {
			case <-ch:
			case <-time.After(time.Second): // so that a lost endpoint is let go of
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
	r, err := d.parts.Agent.Renew(ctx, target(ep), o)
	cancel()
	if d.ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	now := d.now()
	var refused *agent.RefusedError
	switch {
	case err == nil:
		d.pace.Heard(now)
		d.book.Renewed(now, sent, ep, r)
	case errors.As(err, &refused) && (refused.Why == agent.Fenced || refused.Why == agent.Dead):
		d.book.Lose(now, ep.ID, refused.Why == agent.Dead, "it refused a renewal: "+refused.Why.String())
		d.denied(refused.Why, ep, o.Fence)
	default:
		d.log.Info("look unanswered", "endpoint", ep.ID, "wait", o.Wait, "grace", grace, "runs", len(ep.Runs), "missed", ep.Missed+1, "err", err)
		if !ep.Silent {
			d.lossy = now.Add(lossyFor)
		}
		d.book.Quiet(now, ep, err)
	}
	d.perform()
	rest := (err != nil && ep.Silent) || !ep.Known
	d.mu.Unlock()
	if rest {
		pause(d.ctx, renewAgain)
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
