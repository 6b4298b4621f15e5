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

// handRecorder records which jobs were handed to which VMs, and the answers to handed jobs.
type handRecorder struct {
	sendRecorder
	down    bool // nobody can be reached
	sent    []frame.RunJob
	answers []job.Answer
}

func (h *handRecorder) Send(to netip.AddrPort, m frame.Msg) error {
	if h.down {
		return errors.New("not connected")
	}
	if m, ok := m.(*frame.RunJob); ok {
		h.to, h.sent = append(h.to, to), append(h.sent, *m)
	}
	if m, ok := m.(*frame.JobAnswer); ok {
		h.answers = append(h.answers, m.Answer)
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

func (r *resubmission) submit() chan job.Answer { return r.submitJob("j") }

func (r *resubmission) submitJob(id string) chan job.Answer {
	out := make(chan job.Answer, 1)
	go func() {
		out <- r.Submit(r.ctx, Submission{Path: "/q/" + id, Job: batch.Job{Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 9}}}}})
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

// advertise simulates a heartbeat of an owner that has a job.
func (r *resubmission) advertise(vm netip.AddrPort, inc uint64, ids ...string) {
	b := &frame.Heartbeat{At: time.Now()}
	for _, id := range ids {
		b.Jobs = append(b.Jobs, batch.HashID(id))
	}
	r.Receive(frame.Hello{VM: vm, Inc: inc, Domain: "a"}, b)
}

// Guards against a second start of a job whose caller has left another VM unnoticed.
func TestJobGoesToOwnerThatAdvertisesIt(t *testing.T) {
	withResubmission(t, func(is *is.I, r *resubmission) {
		busy := r.mesh.to[0]
		r.advertise(busy, 1, "k")
		r.submitJob("l")
		r.submitJob("k")
		is.True(r.mesh.to[1] != busy)
		is.Equal(r.mesh.to[2], busy)
		r.answer(2, *job.Refuse(job.Overload, 0, "it would wait")) // it is over there
		is.True(r.mesh.to[3] != busy)
		is.Equal(r.mesh.sent[3].Tried, []netip.AddrPort{busy})
	})
}

// Guards against a second start beside runs that an owner's former process has left behind.
func TestJobOfRestartedOwnerIsUnknown(t *testing.T) {
	withResubmission(t, func(is *is.I, r *resubmission) {
		r.advertise(r.mesh.to[0], 1, "k")
		r.advertise(r.mesh.to[0], 2)
		a := <-r.submitJob("k")
		is.Equal(a.Reason, job.StillRuns)
		is.True(a.Retry >= r.cfg.Limits.Outlive())
		time.Sleep(r.cfg.Limits.Outlive() + 1)
		r.advertise(r.mesh.to[0], 2)
		r.mu.Lock()
		r.recordLoad(time.Now(), r.mesh.to[0], owner.Load{Free: 64, Total: 64}, true, loadRepeat)
		r.mu.Unlock()
		r.submitJob("k")
		is.Equal(len(r.mesh.to), 2)
	})
}

// Guards against a caller who waits for its deadline because the owner of its job does not hear this VM.
func TestJobOfOwnerThatHearsNothingIsUnknown(t *testing.T) {
	withResubmission(t, func(is *is.I, r *resubmission) {
		b := &frame.Heartbeat{At: time.Now(), Jobs: []uint64{batch.HashID("k")}}
		b.Late = []frame.LatePeer{{VM: r.cfg.VM, By: r.cfg.Limits.Fresh()}}
		r.Receive(frame.Hello{VM: r.mesh.to[0], Inc: 1, Domain: "a"}, b)
		a := <-r.submitJob("k")
		is.Equal(a.Reason, job.StillRuns)
		is.Equal(len(r.mesh.to), 1)

		b.Late = nil
		r.Receive(frame.Hello{VM: r.mesh.to[0], Inc: 1, Domain: "a"}, b)
		out := r.submitJob("k")
		is.Equal(len(r.mesh.to), 2)
		b.Late = []frame.LatePeer{{VM: r.cfg.VM, By: r.cfg.Limits.Expiry()}}
		r.Receive(frame.Hello{VM: r.mesh.to[0], Inc: 1, Domain: "a"}, b)
		r.tick()
		is.Equal((<-out).Reason, job.StillRuns)
	})
}

// Guards against a second start of a job that is handed over by a VM that does not hear the owner that has it.
func TestHandedJobThatRunsElsewhereIsNotTaken(t *testing.T) {
	withResubmission(t, func(is *is.I, r *resubmission) {
		has, from := r.mesh.to[0], frame.Hello{VM: r.mesh.to[0], Inc: 1, Domain: "a"}
		r.advertise(has, 1, "k")
		m := frame.RunJob{To: r.cfg.Inc, Call: 7, Job: r.mesh.sent[0].Job}
		m.Job.ID, m.Job.AskedAt = "k", time.Now()
		r.Receive(from, &m)
		is.Equal(r.mesh.answers[0].Reason, job.StillRuns)
		m.Tried = []netip.AddrPort{has}
		r.Receive(from, &m)
		is.Equal(r.mesh.answers[1].Reason, job.NoEndpoint)
	})
}
