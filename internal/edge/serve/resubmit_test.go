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

// handRecorder records which jobs were handed to which VMs.
type handRecorder struct {
	sendRecorder
	down bool // nobody can be reached
	sent []frame.RunJob
}

func (h *handRecorder) Send(to netip.AddrPort, m frame.Msg) error {
	if h.down {
		return errors.New("not connected")
	}
	if m, ok := m.(*frame.RunJob); ok {
		h.to, h.sent = append(h.to, to), append(h.sent, *m)
	}
	return nil
}

// resubmission is a node with a job at another owner; the caller's connection broke, but the node has not noticed.
type resubmission struct {
	*Node
	mesh *handRecorder
	ctx  context.Context
	out  chan job.Answer // answer to the earlier call
}

func (r *resubmission) submit() chan job.Answer {
	out := make(chan job.Answer, 1)
	go func() {
		out <- r.Submit(r.ctx, Submission{Path: "/q/j", Job: batch.Job{Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 9}}}}})
	}()
	synctest.Wait()
	return out
}

// answer simulates the owner's answer to the n-th hand-over.
func (r *resubmission) answer(n int, a job.Answer) {
	r.mu.Lock()
	r.receiveAnswer(time.Now(), r.mesh.to[n], r.mesh.sent[n].Call, a)
	r.mu.Unlock()
	synctest.Wait()
}

func withResubmission(t *testing.T, do func(is *is.I, r *resubmission)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
		mesh := &handRecorder{}
		n := NewNode(ctx, Config{VM: at(1), Domain: "a", Limits: lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond, Resend: 1300 * time.Millisecond}}, Deps{
			Mesh: mesh, Timers: timer.New(timer.Wall{}), Clock: timer.Wall{}, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		n.plan.Store(&plan.Plan{Version: 1, Queues: []plan.Queue{{Name: "q", Prefix: "/q/", Pool: "p"}}})
		now := time.Now()
		n.mu.Lock()
		for i := byte(2); i < 4; i++ {
			n.view.Hear(now, frame.Hello{VM: at(i), Inc: 1, Domain: "a"}, &frame.Heartbeat{At: now})
			n.recordLoad(now, at(i), owner.Load{Free: 64, Total: 64}, true, loadRepeat)
		}
		n.mu.Unlock()
		r := &resubmission{Node: n, mesh: mesh, ctx: ctx}
		r.out = r.submit()
		n.mu.Lock() // make the other owner the better choice
		n.recordLoad(now, mesh.to[0], owner.Load{Free: 1, Total: 64, Ahead: [3]float64{99, 99, 99}}, true, loadRepeat)
		n.mu.Unlock()
		do(is.New(t), r)
	})
}

// Guards against a second start elsewhere while the owner of the job's earlier call still runs it.
func TestResubmittedJobGoesToFormerOwner(t *testing.T) {
	withResubmission(t, func(is *is.I, r *resubmission) {
		r.submit()
		is.Equal(len(r.mesh.to), 2)
		is.Equal(r.mesh.to[0], r.mesh.to[1])
		is.Equal((<-r.out).Reason, job.StillRuns) // the earlier call
	})
}

// Guards against a second start elsewhere while the owner of the earlier call can't be reached, so that nobody knows
// whether its runs are over.
func TestResubmittedJobIsUnknownWhileOwnerUnreachable(t *testing.T) {
	withResubmission(t, func(is *is.I, r *resubmission) {
		r.mesh.down = true
		a := <-r.submit()
		is.Equal(a.Outcome, job.Unknown) // the earlier call may have run
		is.Equal(a.Reason, job.StillRuns)
		is.True(a.Retry >= r.cfg.Limits.Outlive())
	})
}

// Guards against a second start elsewhere when the owner of the earlier call got the job too late to check what still runs.
func TestLateResubmissionStaysWithFormerOwner(t *testing.T) {
	withResubmission(t, func(is *is.I, r *resubmission) {
		out := r.submit()
		r.answer(1, *job.Refuse(job.Silent, 0, "it came 500ms after it was sent"))
		is.Equal(len(r.mesh.to), 2)
		a := <-out
		is.Equal(a.Outcome, job.Unknown) // the earlier call may have run
		is.Equal(a.Reason, job.StillRuns)
		is.True(a.Retry >= r.cfg.Limits.Outlive())
	})
}

// Guards against a refusal although another owner is idle and the earlier call's owner runs nothing of the job.
func TestResubmittedJobMovesOnAfterRefusal(t *testing.T) {
	withResubmission(t, func(is *is.I, r *resubmission) {
		r.submit()
		r.answer(1, *job.Refuse(job.Overload, 0, "it would wait"))
		is.Equal(len(r.mesh.to), 3)
		is.True(r.mesh.to[2] != r.mesh.to[0])
	})
}

// Guards against a start for a caller that left before its request was read, and may have submitted the job elsewhere.
func TestJobOfGoneCallerIsNotStarted(t *testing.T) {
	withResubmission(t, func(is *is.I, r *resubmission) {
		ctx, cancel := context.WithCancel(r.ctx)
		cancel()
		r.ctx = ctx
		a := <-r.submit()
		is.Equal(a.Reason, job.Canceled)
		is.Equal(len(r.mesh.to), 1)
		is.Equal(len(r.calls), 1) // the earlier call continues
	})
}
