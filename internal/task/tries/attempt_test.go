package tries

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a task that runs twice: an attempt is sent, the connection breaks, the
// attempt counts as not started and the task is sent again. Only the endpoint's refusal
// may lead from a sent state to one that may be retried.
func TestSentAttemptIsRetriedOnlyAfterRefusal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Attempt
		sent, refused := false, false
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			e := Event(rapid.IntRange(0, eventCount-1).Draw(t, "event"))
			was := a.State()
			err := a.On(e)
			if err != nil {
				if !errors.Is(err, ErrTransition) || a.State() != was {
					t.Fatalf("an invalid event must not change the state: %v", err)
				}
				continue
			}
			sent = sent || e == Send
			refused = refused || (e == Refuse && was == Sent)
			if sent && !refused && a.MayRetry() {
				t.Fatalf("%s after %s may be retried without the endpoint's refusal", e, was)
			}
		}
	})
}

func TestLateAnswerStaysSilent(t *testing.T) {
	is := is.New(t)
	var a Attempt
	is.NoErr(a.On(Send))
	is.NoErr(a.On(Disconnect))
	is.NoErr(a.On(Answer))
	is.Equal(a.State(), Silent)
	is.True(!a.MayRetry())
}
