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
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
)

// script answers starts in turn and refuses all stops.
type script struct {
	ill
	answers []error
	starts  []agent.Start
}

var errTimeout = errors.New("timeout of the client's own")

func (s *script) Start(_ context.Context, _ agent.Target, o agent.Start) error {
	s.starts = append(s.starts, o)
	err := s.answers[0]
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	return err
}

// owning is a node that owns one endpoint and has a job whose only task is to start there.
func owning(t *testing.T, a agent.Agent) (n *Node, s owner.Start) {
	at := netip.MustParseAddrPort("127.0.0.1:1")
	n = NewNode(t.Context(), Config{VM: at, Domain: "a", Limits: lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond, Resend: 1300 * time.Millisecond}}, Parts{
		Platform: Platform{Agent: a}, Timers: timer.New(timer.Wall{}), Clock: timer.Wall{}, Meter: meter.New(),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.book.Own(lease.Info{ID: "e", Addr: at, Pool: "p", Size: job.Size{Cores: 64}}, 1)
	n.book.Renewed(now, now, n.book.Find("e"), lease.Report{Clock: 1})
	n.book.Submit(now, owner.Key{VM: at, Call: 1}, &batch.Job{
		ID: "j", Pool: "p", Attempts: 3, Stretch: 1.6, Slack: time.Second, Left: time.Minute,
		Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 9}, Run: time.Second}},
	})
	return n, n.book.Take().Starts[0]
}

// ordered plays the start of a job's only task.
func ordered(t *testing.T, answers ...error) (n *Node, a *script, run *lease.Run) {
	a = &script{answers: answers}
	n, s := owning(t, a)
	n.start(s, n.pace.Begin(1))
	n.Close()
	n.Wait()
	return n, a, s.Run
}

// Symptom: short jobs are late by a multiple of their work. Sequence: an endpoint leaves a
// start unanswered. Cause: what becomes of it is waited for, though the same order under
// the same number may be sent again at once.
func TestUnansweredStartIsRepeatedUnderItsNumber(t *testing.T) {
	is := is.New(t)
	_, a, run := ordered(t, errTimeout, errTimeout, nil)
	is.Equal(len(a.starts), 3)
	is.Equal(a.starts[0], a.starts[2])
	is.Equal(run.Stage, lease.On)
}

// Symptom: a task runs twice at the same time. Sequence: a start gets no answer, the
// repeated one is refused for want of room, the task is started elsewhere, and the first
// order arrives. Cause: the refusal of the second order was taken for that of both.
func TestRefusalAfterAnUnansweredStartProvesNothing(t *testing.T) {
	is := is.New(t)
	_, _, run := ordered(t, errTimeout, &agent.RefusedError{Why: agent.NoRoom})
	is.Equal(run.Stage, lease.Stopping)
}

func TestStartIsGivenUpAfterItsTries(t *testing.T) {
	is := is.New(t)
	_, a, run := ordered(t, errTimeout)
	is.Equal(len(a.starts), startTries)
	is.Equal(run.Stage, lease.Stopping)
}

// Symptom: while some orders are lost all are waited for longer and longer, up to 0.4 s.
// Sequence: the client's own timer ends a call just before that of the context. Cause: the
// call's time is taken into the mean as if it had been answered.
func TestLostOrderIsNoSampleOfTheTimeOut(t *testing.T) {
	is := is.New(t)
	n, a, _ := ordered(t, errTimeout)
	for range 50 {
		n.pace.Note(time.Now(), 3*time.Millisecond, 1)
		_, err := n.order(&lease.Endpoint{}, a.starts[0], n.pace.Begin(1))
		is.Equal(err, errTimeout)
	}
	is.Equal(n.pace.Timeout(), orderLeast)
}

// casts notes what goes to other VMs.
type casts struct{ to []netip.AddrPort }

func (c *casts) Cast(to netip.AddrPort, _ frame.Msg) error {
	c.to = append(c.to, to)
	return nil
}

// Absent implements Mesh.
func (c *casts) Absent(netip.AddrPort) bool { return false }

// Refused implements Mesh.
func (c *casts) Refused(netip.AddrPort) bool { return false }

func (c *casts) Spread([]netip.AddrPort, frame.Msg) {}

// Symptom: a caller is refused though other owners are idle. Sequence: its job reaches an
// owner that had been paused, 0.5 s after it was sent, and is not begun. Cause: that owner's
// refusal is taken for everyone's.
func TestJobThatCameTooLateGoesToAnotherOwner(t *testing.T) {
	is := is.New(t)
	at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
	mesh := &casts{}
	n := NewNode(t.Context(), Config{VM: at(1), Domain: "a"}, Parts{
		Mesh: mesh, Timers: timer.New(timer.Wall{}), Clock: timer.Wall{}, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := byte(2); i < 4; i++ {
		n.view.Hear(now, frame.Hello{VM: at(i), Inc: 1, Domain: "a"}, &frame.Beat{At: now})
		n.hear(now, at(i), owner.Load{Free: 64, Total: 64}, true, repeatEvery)
	}
	c := &call{n: 7, job: &batch.Job{ID: "j", Steps: []batch.Step{{Count: 1}}}, came: now, due: now.Add(time.Minute), done: make(chan struct{})}
	n.calls[7] = c
	n.send(now, c)
	is.Equal(len(mesh.to), 1)
	n.resolve(now, mesh.to[0], 7, *job.Refuse(job.Silent, 0, "it came 500ms after it was sent"))
	is.Equal(len(mesh.to), 2)
	is.True(mesh.to[0] != mesh.to[1] && !c.ended)
}
