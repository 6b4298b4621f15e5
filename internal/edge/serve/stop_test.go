package serve

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
)

// ill refuses stops as an unhealthy endpoint does and answers nothing else.
type ill struct{}

func (ill) Start(ctx context.Context, _ agent.Target, _ agent.Start) error {
	<-ctx.Done()
	return ctx.Err()
}
func (ill) Stop(context.Context, agent.Target, lease.Name, uint64) error {
	return &agent.RefusedError{Why: agent.Ill}
}
func (ill) Renew(ctx context.Context, _ agent.Target, _ agent.Renew) (lease.Report, error) {
	<-ctx.Done()
	return lease.Report{}, ctx.Err()
}
func (ill) Reach(context.Context, agent.Target) error { return errors.New("not asked") }
func (ill) Forget(agent.Target)                       {}

// Symptom: a task runs twice at the same time. Sequence: a start gets no answer, the stop
// of it is refused by an endpoint that says it isn't healthy, the task is started
// elsewhere, and the first start is carried out after all. Cause: a refused stop was taken
// for a confirmed one, though the endpoint did nothing.
func TestRefusedStopProvesNothing(t *testing.T) {
	is := is.New(t)
	at := netip.MustParseAddrPort("127.0.0.1:1")
	n := NewNode(t.Context(), Config{VM: at, Domain: "a", Limits: lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond}}, Parts{
		Platform: Platform{Agent: ill{}}, Timers: timer.New(timer.Wall{}), Clock: timer.Wall{}, Meter: meter.New(),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	now := time.Now()
	n.mu.Lock()
	n.book.Own(lease.Info{ID: "e", Addr: at, Pool: "p", Size: job.Size{Cores: 64}}, 1)
	ep := n.book.Find("e")
	n.book.Renewed(now, now, ep, lease.Report{Clock: 1})
	n.book.Submit(now, owner.Key{VM: at, Call: 1}, &batch.Job{
		ID: "j", Pool: "p", Attempts: 3, Stretch: 1.6, Slack: time.Second, Left: time.Minute,
		Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 9}, Run: time.Second}},
	})
	s := n.book.Take().Starts[0]
	n.book.Unsure(now, ep, s.Run, context.DeadlineExceeded)
	stop := n.book.Take().Stops[0]
	n.mu.Unlock()
	n.stop(stop)
	n.mu.Lock()
	later := time.Now().Add(time.Millisecond)
	n.book.Renewed(later, later, ep, lease.Report{Clock: 2})
	_, open := ep.Runs[lease.Name{Task: s.Run.Name, Num: s.Run.Num}]
	n.mu.Unlock()
	is.True(open) // it may begin yet
	n.Close()
	n.Wait()
}
