// Package tries implements the state machine of one attempt to run a task, which
// decides whether the task may be retried.
package tries

import (
	"errors"
	"fmt"
)

// State is the state of an attempt.
type State uint8

// The states. Only Unsent and Refused prove that the task did not start.
const (
	Unsent State = iota
	Sent
	Refused
	Answered
	Silent
	stateCount = 5
)

var stateNames = [stateCount]string{"unsent", "sent", "refused", "answered", "silent"}

func (s State) String() string { return stateNames[s] }

// Event is something that happens to an attempt.
type Event uint8

// The events.
const (
	Send       Event = iota // the task is about to be sent
	Refuse                  // the endpoint reported that the task did not start
	Answer                  // the endpoint reported the result
	Disconnect              // the connection broke or timed out after the send
	SendFailed              // nothing could be sent
	eventCount = 5
)

var eventNames = [eventCount]string{"send", "refuse", "answer", "lose", "balk"}

func (e Event) String() string { return eventNames[e] }

const invalid = State(255)

// transitions[state][event] is the next state.
//
// An answer in state Silent doesn't change it: the job was abandoned when the attempt
// went silent, and using the late answer could return a partial result.
var transitions = [stateCount][eventCount]State{
	Unsent:   {Send: Sent, Refuse: invalid, Answer: invalid, Disconnect: invalid, SendFailed: Unsent},
	Sent:     {Send: invalid, Refuse: Refused, Answer: Answered, Disconnect: Silent, SendFailed: invalid},
	Refused:  {Send: invalid, Refuse: invalid, Answer: invalid, Disconnect: Refused, SendFailed: invalid},
	Answered: {Send: invalid, Refuse: invalid, Answer: invalid, Disconnect: Answered, SendFailed: invalid},
	Silent:   {Send: invalid, Refuse: Silent, Answer: Silent, Disconnect: Silent, SendFailed: invalid},
}

// ErrTransition is returned for an event that can't happen in a state.
var ErrTransition = errors.New("impossible transition of an attempt")

// Attempt is one try of one task on one endpoint; a second try is a new Attempt.
type Attempt struct{ state State }

// State returns the attempt's state.
func (a *Attempt) State() State { return a.state }

// On applies an event; on error the state is unchanged.
func (a *Attempt) On(e Event) error {
	next := transitions[a.state][e]
	if next == invalid {
		return fmt.Errorf("%s on %s: %w", e, a.state, ErrTransition)
	}
	a.state = next
	return nil
}

// MayRetry reports whether the task provably did not start.
func (a *Attempt) MayRetry() bool { return a.state == Unsent || a.state == Refused }
