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

// board has one task, which crashes its endpoint.
type board struct{}

func (board) Work(string) Work                               { return Work{Run: time.Second, Crash: true} }
func (board) Began(time.Time, string, string, int)           {}
func (board) Over(time.Time, string, string, int, lease.How) {}

// What happens: the soak reports a task that runs twice, on two lives of one endpoint. Why: an endpoint that
// had crashed was crashed again before its next life came up, so that a third life took the place of the
// second, which lived on. What showed it: "endpoint lost ... it refused a renewal: dead" of a life 1.2 s after
// its first order, with four runs, while no fault had struck it; seed 2042.
func TestEndpointCrashesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		crashed := 0
		e := NewLeased(lease.Info{ID: "e", Size: job.Size{Cores: 1}}, lease.Limits{Hold: time.Minute}, board{}, 0, 1)
		e.Crashed = func() { crashed++ }
		start := agent.Start{Name: lease.Name{Task: "t", Num: 1}, Until: e.clock() + time.Minute.Milliseconds()}
		is.NoErr(e.Start(t.Context(), "e", start))
		is.True(e.Crash()) // before its task does so
		is.True(!e.Crash())
		time.Sleep(time.Minute)
		is.Equal(crashed, 0)
	})
}
