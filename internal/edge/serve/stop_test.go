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
	n, s := owning(t, ill{})
	ep := s.At
	n.mu.Lock()
	n.book.Unsure(time.Now(), ep, s.Run, context.DeadlineExceeded)
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
