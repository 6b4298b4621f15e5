package fakes

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// crashObserver has one task, which crashes its endpoint.
type crashObserver struct{}

func (crashObserver) Work(string) Work                                        { return Work{Run: time.Second, Crash: true} }
func (crashObserver) RunStarted(time.Time, string, string, int)               {}
func (crashObserver) RunEnded(time.Time, string, string, int, lease.EndState) {}

// The soak test reported a task that ran twice, on two instances of one endpoint. A crashed endpoint was
// crashed again before its next instance started, so a third instance replaced the second, which kept running.
// The log showed "endpoint lost ... it refused a renewal: dead" for an instance 1.2 s after its first request,
// with four runs and without an injected fault; seed 2042.
func TestEndpointCrashesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		crashed := 0
		e := NewLeased(lease.Info{ID: "e", Size: job.Size{Cores: 1}}, lease.Limits{Hold: time.Minute}, crashObserver{}, 0, 1)
		e.Crashed = func() { crashed++ }
		start := agent.Start{Name: lease.RunID{Task: "t", Num: 1}, Until: e.clock() + time.Minute.Milliseconds()}
		is.NoErr(e.Start(t.Context(), "e", start))
		is.True(e.Crash()) // before its task does so
		is.True(!e.Crash())
		time.Sleep(time.Minute)
		is.Equal(crashed, 0)
	})
}
