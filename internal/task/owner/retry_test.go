package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/job"
)

// Guards against telling a caller to retry while runs of its job, whose stop is not confirmed, still go on.
func TestRetryWaitsForOldRuns(t *testing.T) {
	is := is.New(t)
	sc := resending(64, 5*time.Second)
	begin(sc, t0, sc.TakeActions().Starts)
	now := t0.Add(200 * time.Millisecond)
	sc.Submit(now, key(2), askedAt(now, newJob("j1", 0, tasks(1, 30, time.Second))))
	replies := sc.TakeActions().Replies
	is.Equal(replies[1].Answer.Outcome, job.Unknown) // the first submission has run
	is.Equal(replies[1].Answer.Reason, job.StillRuns)
	ep, back := sc.Find("e"), now.Add(replies[1].Answer.Retry)
	for ; now.Before(back); now = now.Add(10 * time.Millisecond) { // other jobs extend the lease
		sc.Submit(now, key(uint64(now.UnixNano())), newJob("k"+now.String(), 0, tasks(1, 1, time.Second)))
		sc.Tick(now)
		ep.RenewUntil(now)
	}
	is.True(!ep.LeaseEnd().After(back))
}
