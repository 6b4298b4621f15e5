package model

import (
	"errors"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
)

func (v *vm) start(s owner.Start) {
	e := v.endpointOf(s.At)
	o := agent.Start{Name: lease.RunID{Task: s.Run.Name, Num: s.Run.Num}, Until: s.Until, Fence: s.Fence}
	if v.w.mutation == RestartKeepsFence {
		o.Fence = s.At.Claim
	}
	if v.w.mutation == StaleKeepaliveStarts {
		o.Until = min(o.Until, v.strictLease(s.At))
	}
	unanswered, err := 0, error(nil)
	for unanswered < maxAttempts {
		if !s.At.Send(v.w.now, s.Run) {
			if unanswered == 0 {
				err = agent.ErrWithheld
			}
			break
		}
		start := func() error { return e.start(o, v.n) }
		switch {
		case s.Run.Name == theTask:
			err = v.request(e, "start on "+e.id, start)
		case e.isCutOff():
			err = errLost
		default:
			err = start()
		}
		if !agent.Unanswered(err) {
			break
		}
		unanswered++
	}
	switch {
	case v.w.mutation == RefusalIsProof && unanswered > 0 && !agent.Unanswered(err) && err != nil:
		unanswered = 0
	case v.w.mutation == UnansweredIsLost && agent.Unanswered(err):
		unanswered, err = 0, &agent.RefusedError{Why: agent.NoRoom}
	}
	v.owner.StartResult(v.w.now, s, unanswered, err)
}

func (v *vm) stop(s owner.Stop) {
	e := v.endpointOf(s.At)
	if v.losesStops() {
		return
	}
	for range maxAttempts {
		err := v.request(e, "stop on "+e.id, func() error { return e.stop(s.Name, v.fenceOf(s.At)) })
		var refused *agent.RefusedError
		switch {
		case err == nil:
			v.owner.Stopped(v.w.now, s.At, s.Name)
			return
		case errors.As(err, &refused) && refused.Why == agent.Fenced:
			v.owner.Lose(v.w.now, s.At.ID, false, "fence")
			return
		}
	}
}

// losesStops reports whether the VM's stops are lost: all of them or none.
func (v *vm) losesStops() bool {
	if v.w.entry == nil || v.n > 0 {
		return false
	}
	if !v.stopSent {
		v.stopSent = true
		if v.stopsLost = v.w.pick(2) == 1; v.stopsLost {
			v.w.record("VM %d's stops are all lost", v.n)
		}
	}
	return v.stopsLost
}
