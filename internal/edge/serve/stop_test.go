package serve

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/lease"
)

// illAgent refuses stops as an unhealthy endpoint does, and answers nothing else.
type illAgent struct{}

func (illAgent) Start(ctx context.Context, _ agent.Target, _ agent.Start) error {
	<-ctx.Done()
	return ctx.Err()
}
func (illAgent) Stop(context.Context, agent.Target, lease.RunID, uint64) error {
	return &agent.RefusedError{Why: agent.Unhealthy}
}
func (illAgent) Renew(ctx context.Context, _ agent.Target, _ agent.Renew) (lease.Report, error) {
	<-ctx.Done()
	return lease.Report{}, ctx.Err()
}
func (illAgent) Reach(context.Context, agent.Target) error { return errors.New("unexpected call") }
func (illAgent) Forget(agent.Target)                       {}

// Guards against a task that runs twice at the same time: a start gets no answer, its stop is refused by an endpoint that
// reports itself unhealthy, the task starts elsewhere, and then the first start is carried out. The endpoint did nothing,
// so a refused stop must not count as confirmed.
func TestRefusedStopLeavesRunOpen(t *testing.T) {
	is := is.New(t)
	n, s := newOwningNode(t, illAgent{})
	ep := s.At
	n.mu.Lock()
	n.scheduler.Unanswered(time.Now(), ep, s.Run, context.DeadlineExceeded)
	stop := n.scheduler.TakeActions().Stops[0]
	n.mu.Unlock()
	n.stop(stop)
	n.mu.Lock()
	later := time.Now().Add(time.Millisecond)
	n.scheduler.Renewed(later, later, ep, lease.Report{Clock: 2})
	_, open := ep.Runs[lease.RunID{Task: s.Run.Name, Num: s.Run.Num}]
	n.mu.Unlock()
	is.True(open) // it may still begin
	n.Close()
	n.Wait()
}
