package serve

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/conf/plan"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
)

// hands notes which jobs were handed to which VMs.
type hands struct {
	casts
	down bool // nobody can be reached
	last []frame.Hand
}

func (h *hands) Cast(to netip.AddrPort, m frame.Msg) error {
	if h.down {
		return errors.New("not connected")
	}
	if m, ok := m.(*frame.Hand); ok {
		h.to, h.last = append(h.to, to), append(h.last, *m)
	}
	return nil
}

// repeated is a node with a job at another owner whose caller's connection broke without being noticed.
type repeated struct {
	*Node
	mesh *hands
	ctx  context.Context
	out  chan job.Answer // of the former call
}

func (r *repeated) submit() chan job.Answer {
	out := make(chan job.Answer, 1)
	go func() {
		out <- r.Submit(r.ctx, Submission{Path: "/q/j", Job: batch.Job{Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 9}}}}})
	}()
	synctest.Wait()
	return out
}

// answer is what the owner of the n-th hand-over answers.
func (r *repeated) answer(n int, a job.Answer) {
	r.mu.Lock()
	r.resolve(time.Now(), r.mesh.to[n], r.mesh.last[n].Call, a)
	r.mu.Unlock()
	synctest.Wait()
}

func playRepeated(t *testing.T, do func(is *is.I, r *repeated)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
		mesh := &hands{}
		n := NewNode(ctx, Config{VM: at(1), Domain: "a", Limits: lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond, Resend: 1300 * time.Millisecond}}, Parts{
			Mesh: mesh, Timers: timer.New(timer.Wall{}), Clock: timer.Wall{}, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		n.plan.Store(&plan.Plan{Version: 1, Queues: []plan.Queue{{Name: "q", Prefix: "/q/", Pool: "p"}}})
		now := time.Now()
		n.mu.Lock()
		for i := byte(2); i < 4; i++ {
			n.view.Hear(now, frame.Hello{VM: at(i), Inc: 1, Domain: "a"}, &frame.Beat{At: now})
			n.hear(now, at(i), owner.Load{Free: 64, Total: 64}, true, repeatEvery)
		}
		n.mu.Unlock()
		r := &repeated{Node: n, mesh: mesh, ctx: ctx}
		r.out = r.submit()
		n.mu.Lock() // now another owner is better
		n.hear(now, mesh.to[0], owner.Load{Free: 1, Total: 64, Ahead: [3]float64{99, 99, 99}}, true, repeatEvery)
		n.mu.Unlock()
		do(is.New(t), r)
	})
}

// Guards against a second start of a job elsewhere while its former call's owner still runs it.
func TestJobThatComesAgainGoesToItsFormerOwner(t *testing.T) {
	playRepeated(t, func(is *is.I, r *repeated) {
		r.submit()
		is.Equal(len(r.mesh.to), 2)
		is.Equal(r.mesh.to[0], r.mesh.to[1])
		is.Equal((<-r.out).Reason, job.StillRuns) // the former call
	})
}

// Guards against a second start of a job elsewhere when nobody can say whether its former runs are over.
func TestJobThatComesAgainWaitsForAnOwnerOutOfReach(t *testing.T) {
	playRepeated(t, func(is *is.I, r *repeated) {
		r.mesh.down = true
		a := <-r.submit()
		is.Equal(a.Outcome, job.Unknown) // the former call may have run
		is.Equal(a.Reason, job.StillRuns)
		is.True(a.Retry >= r.cfg.Limits.Outlive())
	})
}

// Guards against a second start of a job elsewhere when its former owner got it too late to look what still runs.
func TestJobThatComesAgainTooLateStaysWithItsFormerOwner(t *testing.T) {
	playRepeated(t, func(is *is.I, r *repeated) {
		out := r.submit()
		r.answer(1, *job.Refuse(job.Silent, 0, "it came 500ms after it was sent"))
		is.Equal(len(r.mesh.to), 2)
		a := <-out
		is.Equal(a.Outcome, job.Unknown) // the former call may have run
		is.Equal(a.Reason, job.StillRuns)
		is.True(a.Retry >= r.cfg.Limits.Outlive())
	})
}

// Guards against a job that is refused though another owner is idle and its former owner has nothing of it.
func TestJobThatComesAgainGoesOnToAnotherOwner(t *testing.T) {
	playRepeated(t, func(is *is.I, r *repeated) {
		r.submit()
		r.answer(1, *job.Refuse(job.Overload, 0, "it would wait"))
		is.Equal(len(r.mesh.to), 3)
		is.True(r.mesh.to[2] != r.mesh.to[0])
	})
}

// Guards against a start for a caller that left before its request was read, and may have come again elsewhere.
func TestJobOfACallerThatHasLeftIsNotStarted(t *testing.T) {
	playRepeated(t, func(is *is.I, r *repeated) {
		ctx, cancel := context.WithCancel(r.ctx)
		cancel()
		r.ctx = ctx
		a := <-r.submit()
		is.Equal(a.Reason, job.Canceled)
		is.Equal(len(r.mesh.to), 1)
		is.Equal(len(r.calls), 1) // the former call goes on
	})
}
