// Package tries follows one attempt to run a task from before its send to its
// end, and says whether the task may be tried again.
package tries

import (
	"errors"
	"fmt"
)

// State of an attempt.
type State uint8

// The states. Only Unsent and Refused prove that the task did not start.
const (
	Unsent State = iota
	Sent
	Refused
	Answered
	Silent
	states = 5
)

var stateNames = [states]string{"unsent", "sent", "refused", "answered", "silent"}

func (s State) String() string { return stateNames[s] }

// Event happens to an attempt.
type Event uint8

// The events.
const (
	Send    Event = iota // the body is about to leave
	Refuse               // the endpoint said "not started"
	Answer               // the endpoint said how it went
	Lose                 // the connection broke or the time ran out after the send
	Balk                 // nothing could be sent
	eventsN = 5
)

var eventNames = [eventsN]string{"send", "refuse", "answer", "lose", "balk"}

func (e Event) String() string { return eventNames[e] }

const bad = State(255)

// table[state][event] is the next state.
//
// An answer after Silent keeps Silent: the job was given up on when the attempt
// went silent, and taking the late answer could hand out a partial result.
var table = [states][eventsN]State{
	Unsent:   {Send: Sent, Refuse: bad, Answer: bad, Lose: bad, Balk: Unsent},
	Sent:     {Send: bad, Refuse: Refused, Answer: Answered, Lose: Silent, Balk: bad},
	Refused:  {Send: bad, Refuse: bad, Answer: bad, Lose: Refused, Balk: bad},
	Answered: {Send: bad, Refuse: bad, Answer: bad, Lose: Answered, Balk: bad},
	Silent:   {Send: bad, Refuse: Silent, Answer: Silent, Lose: Silent, Balk: bad},
}

// ErrTransition is returned for an event that can't happen in a state.
var ErrTransition = errors.New("impossible transition of an attempt")

// Attempt is one try of one task on one endpoint; a second try is a new Attempt.
type Attempt struct{ state State }

// State returns where the attempt stands.
func (a *Attempt) State() State { return a.state }

// On applies an event; after an error the state is as before.
func (a *Attempt) On(e Event) error {
	next := table[a.state][e]
	if next == bad {
		return fmt.Errorf("%s on %s: %w", e, a.state, ErrTransition)
	}
	a.state = next
	return nil
}

// MayRetry reports whether it is proven that the task did not start.
func (a *Attempt) MayRetry() bool { return a.state == Unsent || a.state == Refused }
