package tries

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Symptom: a proof page is rendered twice. Sequence: an attempt is sent, the
// connection breaks, the attempt is taken as "not started" and the task is sent
// again. Cause: a transition from a sent state back to one that may be retried.
func TestNoWayBackFromSentButTheEndpointsOwnRefusal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Attempt
		sent, refused := false, false
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			e := Event(rapid.IntRange(0, eventsN-1).Draw(t, "event"))
			was := a.State()
			err := a.On(e)
			if err != nil {
				if !errors.Is(err, ErrTransition) || a.State() != was {
					t.Fatalf("a bad event must leave the state alone: %v", err)
				}
				continue
			}
			sent = sent || e == Send
			refused = refused || (e == Refuse && was == Sent)
			if sent && !refused && a.MayRetry() {
				t.Fatalf("%s after %s may be retried without the endpoint's word", e, was)
			}
		}
	})
}

func TestLateAnswerStaysSilent(t *testing.T) {
	is := is.New(t)
	var a Attempt
	is.NoErr(a.On(Send))
	is.NoErr(a.On(Lose))
	is.NoErr(a.On(Answer))
	is.Equal(a.State(), Silent)
	is.True(!a.MayRetry())
}
