package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/job"
)

// Guards against a caller that is told to come back while runs of its job, whose stop is not confirmed, go on.
func TestCallerComesBackOnceTheOldRunsAreOver(t *testing.T) {
	is := is.New(t)
	b := resending(64, 5*time.Second)
	begin(b, t0, b.Take().Starts)
	now := t0.Add(200 * time.Millisecond)
	b.Submit(now, key(2), askedAt(now, of("j1", 0, tasks(1, 30, time.Second))))
	tells := b.Take().Tells
	is.Equal(tells[1].Answer.Outcome, job.Unknown) // the former submission has run
	is.Equal(tells[1].Answer.Reason, job.StillRuns)
	ep, back := b.Find("e"), now.Add(tells[1].Answer.Retry)
	for ; now.Before(back); now = now.Add(10 * time.Millisecond) { // another job asks for the lease
		b.Submit(now, key(uint64(now.UnixNano())), of("k"+now.String(), 0, tasks(1, 1, time.Second)))
		b.Tick(now)
		ep.Until(now)
	}
	is.True(!ep.Lapse().After(back))
}
