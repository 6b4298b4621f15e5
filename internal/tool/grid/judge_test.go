package grid

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/lease"
)

// Guards against a judge that misses a run that is still going on when its job may be submitted
// again.
func TestJudgeDetectsRunThatOutlivesItsCaller(t *testing.T) {
	for _, c := range []struct {
		name  string
		began time.Duration // since the time given to AllowResubmit, like ended
		ended time.Duration
		want  int
	}{
		{"in time", -time.Second, resubmitAfter, 0},
		{"too late", -time.Second, resubmitAfter + time.Millisecond, 1},
		{"of the next submission", resubmitAfter, 5 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			j, free := NewJudge(), time.Unix(1_700_000_000, 0)
			j.RunStarted(free.Add(c.began), "ep", "j.0.0.0", 1)
			j.AllowResubmit(free, "j")
			j.RunEnded(free.Add(c.ended), "ep", "j.0.0.0", 1, lease.Gone)
			is.Equal(len(j.Violations()), c.want)
		})
	}
}
