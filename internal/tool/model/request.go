package model

import (
	"time"

	"dahliawinch/internal/plat/agent"
)

// restartAlone is the choice of a restart that is not followed by silence.
const restartAlone = 6

// unseenFaults is the time in which requests fail in the setup UnseenRestarts.
const unseenFaults = 300 * time.Millisecond

// request sends a request to an endpoint: it or its answer may be lost, and it may be
// executed late.
func (v *vm) request(e *endpoint, what string, do func() error) error {
	return v.requestWith(v.requestChoices(), e, what, do)
}

// requestChoices returns the number of choices for a request.
func (v *vm) requestChoices() int {
	switch {
	case v.w.restarts:
		return restartAlone + 1
	case v.w.unseen && !v.w.cut: // a second cut would outlast the horizon
		return restartAlone + 2
	default:
		return 6
	}
}

// requestWith is request with only the first n of its choices.
func (v *vm) requestWith(n int, e *endpoint, what string, do func() error) error {
	if e.isCutOff() {
		return errLost
	}
	if v.w.entry != nil && v.n > 0 || v.w.entry == nil && v.w.unseen && v.w.since() > unseenFaults {
		return do()
	}
	p := v.w.pick(n)
	if v.w.unseen && p >= restartAlone { // restarts are followed by silence
		p++
	}
	switch p {
	case 0:
		return do()
	case 1:
		v.w.record("VM %d's %s is lost", v.n, what)
	case 2:
		v.w.record("the answer to VM %d's %s is lost", v.n, what)
		_ = do()
	case 3:
		v.w.record("VM %d's %s arrives with a short delay", v.n, what)
		v.w.events = append(v.w.events, event{v.w.now.Add(shortDelay), nil, func() { _ = do() }, e})
	case 4:
		v.w.record("VM %d's %s arrives late", v.n, what)
		v.w.events = append(v.w.events, event{v.w.now.Add(longDelay), nil, func() { _ = do() }, e})
	case 5:
		v.w.record("VM %d's %s is refused as unhealthy", v.n, what)
		return &agent.RefusedError{Why: agent.Unhealthy}
	case restartAlone:
		e.restart()
		return do()
	case 7:
		e.restart()
		err := do()
		e.cutOff()
		return err
	case 8:
		e.restart()
		_ = do()
		e.cutOff()
	}
	return errLost
}
