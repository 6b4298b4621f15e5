package serve

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/netip"
	"slices"
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

// splitMesh records what a node sends to the owners of parts.
type splitMesh struct {
	sendRecorder
	down    map[netip.AddrPort]bool
	parts   map[netip.AddrPort]frame.RunJob // the last one
	cancels map[netip.AddrPort][]uint64
	answers []job.Answer
}

func (s *splitMesh) Send(to netip.AddrPort, m frame.Msg) error {
	if s.down[to] {
		return errors.New("not connected")
	}
	switch m := m.(type) {
	case *frame.RunJob:
		s.parts[to] = *m
	case *frame.CancelJob:
		s.cancels[to] = append(s.cancels[to], m.Call)
	case *frame.JobAnswer:
		s.answers = append(s.answers, m.Answer)
	default:
	}
	return nil
}

// splitting is a node whose job of eight tasks runs in parts at two of its owners.
type splitting struct {
	*Node
	mesh   *splitMesh
	ctx    context.Context
	cancel context.CancelFunc
	out    chan job.Answer
	a, b   netip.AddrPort // the owners of the parts, the first tasks first
}

func ownerAt(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1)
}

// hear simulates a heartbeat of an owner and its load.
func (s *splitting) hear(n byte, readsParts bool, l owner.Load) {
	now := time.Now()
	s.Receive(frame.Hello{VM: ownerAt(n), Inc: 1, Domain: "a"}, &frame.Heartbeat{At: now, Parts: readsParts})
	s.mu.Lock()
	s.recordLoad(now, ownerAt(n), l, true, loadRepeat)
	s.mu.Unlock()
}

func (s *splitting) submit(id string) chan job.Answer {
	out := make(chan job.Answer, 1)
	go func() {
		out <- s.Submit(s.ctx, Submission{Path: "/q/" + id, Job: batch.Job{Steps: []batch.Step{{Count: 8, Need: job.Size{Cores: 8}, Run: 60 * time.Millisecond}}}})
	}()
	synctest.Wait()
	return out
}

// from simulates an owner's answer to its part.
func (s *splitting) from(vm netip.AddrPort, a job.Answer) {
	s.Receive(frame.Hello{VM: vm, Inc: 1, Domain: "a"}, &frame.JobAnswer{To: s.cfg.Inc, Call: s.mesh.parts[vm].Call, Answer: a})
	synctest.Wait()
}

func (s *splitting) answered() bool { return len(s.out) > 0 }

// moved returns the owners that have a part and are neither a nor b.
func (s *splitting) moved() (vms []netip.AddrPort) {
	for vm := range s.mesh.parts {
		if vm != s.a && vm != s.b {
			vms = append(vms, vm)
		}
	}
	return vms
}

// full is the load of an owner without free places, where one comes free every 31 ms.
var full = owner.Load{Free: 3, Total: 64, Ahead: [3]float64{0.1, 0.1, 0.1}}

func newSplitting(t *testing.T, options Options) *splitting {
	ctx, cancel := context.WithCancel(t.Context())
	mesh := &splitMesh{down: map[netip.AddrPort]bool{}, parts: map[netip.AddrPort]frame.RunJob{}, cancels: map[netip.AddrPort][]uint64{}}
	n := NewNode(ctx, Config{VM: ownerAt(1), Domain: "a", Options: options, Limits: lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond, Resend: 1300 * time.Millisecond}}, Deps{
		Mesh: mesh, Timers: timer.New(timer.Wall{}), Clock: timer.Wall{}, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	n.plan.Store(&plan.Plan{Version: 1, Queues: []plan.Queue{{Name: "q", Prefix: "/q/", Pool: "p", Stretch: 1.6, Slack: 400 * time.Millisecond}}})
	n.began = n.began.Add(-joinWindow) // all owners are known
	return &splitting{Node: n, mesh: mesh, ctx: ctx, cancel: cancel}
}

// withSplitting runs a test with a job in parts at two of four owners.
func withSplitting(t *testing.T, do func(is *is.I, s *splitting)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSplitting(t, Options{Split: true})
		defer synctest.Wait()
		defer s.cancel()
		for n := byte(2); n < 6; n++ {
			s.hear(n, true, full)
		}
		s.out = s.submit("j")
		is.Equal(len(s.mesh.parts), 2)
		for vm, m := range s.mesh.parts {
			is.Equal(m.Job.Of, 8)
			if m.Job.First == 0 {
				s.a = vm
			} else {
				s.b = vm
			}
		}
		is.True(s.a != s.b && s.mesh.parts[s.a].Call != s.mesh.parts[s.b].Call)
		is.Equal(s.mesh.parts[s.b].Job.First, s.mesh.parts[s.a].Job.Steps[0].Count)
		is.Equal(s.mesh.parts[s.a].Job.Steps[0].Count+s.mesh.parts[s.b].Job.Steps[0].Count, 8)
		do(is, s)
	})
}

// Guards against an answer while parts of the job are missing.
func TestSplitJobIsDoneWithItsLastPart(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		s.from(s.a, job.Answer{Outcome: job.Done})
		is.True(!s.answered())
		s.from(s.b, job.Answer{Outcome: job.Done})
		is.Equal((<-s.out).Outcome, job.Done)
		is.Equal(len(s.mesh.cancels)+len(s.calls)+len(s.partCalls), 0)
	})
}

// Guards against two runs of a task: a refused part moves to an owner without a part of the job, once, and says which
// VMs may list the job without running this part.
func TestRefusedPartMoves(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		before := s.mesh.parts[s.b]
		s.from(s.b, *job.Refuse(job.Overload, 0, "it would wait"))
		is.Equal(len(s.moved()), 1)
		m := s.mesh.parts[s.moved()[0]]
		is.Equal(m.Job.First, before.Job.First)
		is.Equal(m.Job.Steps, before.Job.Steps)
		is.True(m.Job.Begun)
		is.Equal(m.Tried, []netip.AddrPort{s.b, s.a, s.cfg.VM})
		s.from(s.b, *job.Refuse(job.Overload, 0, "it would wait")) // repeated
		is.Equal(len(s.moved()), 1)
		s.from(s.a, job.Answer{Outcome: job.Done})
		s.from(s.moved()[0], job.Answer{Outcome: job.Done})
		is.Equal((<-s.out).Outcome, job.Done)
	})
}

// refuseEverywhere lets owners refuse the second part until none is left for it.
func (s *splitting) refuseEverywhere(is *is.I) {
	s.from(s.b, *job.Refuse(job.Overload, time.Second, "it would wait"))
	first := s.moved()[0]
	s.from(first, *job.Refuse(job.Overload, time.Second, "it would wait"))
	both := s.moved()
	is.Equal(len(both), 2)
	next := both[1-slices.Index(both, first)]
	s.from(next, *job.Refuse(job.Overload, time.Second, "it would wait"))
	is.Equal(s.mesh.cancels, map[netip.AddrPort][]uint64{s.a: {s.mesh.parts[s.a].Call}})
	is.True(!s.answered())
}

// Guards against a refusal while another part may still begin.
func TestJobWithoutOwnerForAPartIsRefusedOnceAllPartsAre(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		s.refuseEverywhere(is)
		s.from(s.a, job.Answer{Outcome: job.Refused, Reason: job.Canceled})
		a := <-s.out
		is.Equal(a.Outcome, job.Refused)
		is.True(a.Retry > 0)
	})
}

// Guards against a refusal although another part has begun.
func TestJobWithoutOwnerForAPartIsUnknownIfAnotherHasBegun(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		s.refuseEverywhere(is)
		s.from(s.a, job.Answer{Outcome: job.Unknown, Reason: job.Canceled})
		is.Equal((<-s.out).Outcome, job.Unknown)
	})
}

// Guards against a caller that waits for a cancelled part whose owner does not answer, and against keepalives for it.
func TestJobWithoutOwnerForAPartDoesNotWaitLong(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		s.refuseEverywhere(is)
		time.Sleep(s.cfg.Limits.Interval())
		is.Equal(len(s.keepalives()), 0)
		s.tick()
		synctest.Wait()
		is.Equal((<-s.out).Outcome, job.Unknown)
	})
}

// Guards against parts that go on after another has failed.
func TestFailedPartFailsTheJob(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		s.from(s.a, job.Answer{Outcome: job.Failed, Reason: job.TaskFailed})
		is.Equal((<-s.out).Outcome, job.Failed)
		is.Equal(len(s.mesh.cancels[s.b]), 1)
		is.Equal(len(s.mesh.cancels[s.a]), 0)
	})
}

// Guards against a refusal, or a wait for the deadline, when an owner falls silent.
func TestSplitJobOfSilentOwnerIsUnknown(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		time.Sleep(lostAfter / 2)
		for n := byte(2); n < 6; n++ {
			if ownerAt(n) != s.b {
				s.hear(n, true, full)
			}
		}
		time.Sleep(lostAfter / 2)
		s.tick()
		synctest.Wait()
		a := <-s.out
		is.Equal(a.Outcome, job.Unknown)
		is.Equal(a.Reason, job.Silent)
		is.Equal(len(s.mesh.cancels[s.a]), 1)
	})
}

// Guards against a refusal, or a wait for the deadline, when an owner is restarted.
func TestSplitJobOfRestartedOwnerIsUnknown(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		s.Receive(frame.Hello{VM: s.b, Inc: 2, Domain: "a"}, &frame.Heartbeat{At: time.Now(), Parts: true})
		a := <-s.out
		is.Equal(a.Outcome, job.Unknown)
		is.Equal(a.Reason, job.Silent)
		is.Equal(len(s.mesh.cancels[s.a]), 1)
	})
}

// Guards against parts that go on for a caller that has left.
func TestPartsAreCancelledWhenTheCallerLeaves(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		s.cancel()
		is.Equal((<-s.out).Reason, job.Canceled)
		is.Equal(len(s.mesh.cancels[s.a])+len(s.mesh.cancels[s.b]), 2)
	})
}

// Guards against parts that go on for a caller that cancelled its job.
func TestPartsAreCancelledByTheCaller(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		known, _ := s.Cancel("", "/q/j")
		is.True(known)
		is.Equal((<-s.out).Reason, job.Canceled)
		is.Equal(len(s.mesh.cancels[s.a])+len(s.mesh.cancels[s.b]), 2)
	})
}

// Guards against parts that go on after the job's time is over.
func TestPartsAreCancelledAtTheDeadline(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		is.Equal((<-s.out).Reason, job.Deadline)
		is.Equal(len(s.mesh.cancels[s.a])+len(s.mesh.cancels[s.b]), 2)
	})
}

// Guards against parts that end while their caller waits: each owner gets keepalives for its own call. When the VM dies
// they stop, and each owner ends its part (see the owner's tests of keepalives).
func TestPartsAreKeptAlive(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		time.Sleep(s.cfg.Limits.Interval())
		all := s.keepalives()
		is.Equal(len(all), 2)
		is.Equal(all[s.a].Calls, []uint64{s.mesh.parts[s.a].Call})
		is.Equal(all[s.b].Calls, []uint64{s.mesh.parts[s.b].Call})
		s.from(s.a, job.Answer{Outcome: job.Done})
		is.Equal(len(s.keepalives()), 1)
	})
}

// Guards against a second start beside the parts when the job is submitted again at the same VM.
func TestSplitJobSubmittedAgainMayStillRun(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		parts := len(s.mesh.parts)
		again := <-s.submit("j")
		is.Equal(again.Outcome, job.Unknown)
		is.Equal(again.Reason, job.StillRuns)
		is.True(again.Retry >= s.cfg.Limits.Outlive())
		is.Equal((<-s.out).Reason, job.StillRuns)
		is.Equal(len(s.mesh.cancels[s.a])+len(s.mesh.cancels[s.b]), 2)
		is.Equal(len(s.mesh.parts), parts)
	})
}

// Guards against a second start beside the parts when the job is submitted again at another VM: this one lists the job
// and ends it when it is asked for.
func TestSplitJobSubmittedElsewhereEndsHere(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		age, _ := s.advertiseAge()
		time.Sleep(age)
		s.mu.Lock()
		is.True(slices.Contains(s.advertised(time.Now()), batch.HashID("j")))
		s.mu.Unlock()
		whole := s.mesh.parts[s.a].Job
		whole.Of, whole.First, whole.AskedAt = 0, 0, time.Now()
		s.Receive(frame.Hello{VM: ownerAt(9), Inc: 1, Domain: "a"}, &frame.RunJob{To: s.cfg.Inc, Call: 3, Job: whole})
		synctest.Wait()
		is.Equal(s.mesh.answers[0].Reason, job.StillRuns)
		is.Equal((<-s.out).Reason, job.StillRuns)
		is.Equal(len(s.mesh.cancels[s.a])+len(s.mesh.cancels[s.b]), 2)
	})
}

// Guards against a job that is cut short when the link between two owners is cut: a part is taken although another VM
// that holds a part lists the job, and is rejected if one lists it that the sender does not know.
func TestPartIsTakenBesideListedParts(t *testing.T) {
	withSplitting(t, func(is *is.I, s *splitting) {
		s.hear(7, true, full)
		m := frame.RunJob{To: s.cfg.Inc, Call: 3, Job: s.mesh.parts[s.a].Job, Tried: []netip.AddrPort{ownerAt(7)}}
		m.Job.ID, m.Job.AskedAt = "k", time.Now()
		list := func(n byte) {
			s.Receive(frame.Hello{VM: ownerAt(n), Inc: 1, Domain: "a"}, &frame.Heartbeat{At: time.Now(), Parts: true, Jobs: []uint64{batch.HashID("k")}})
		}
		list(7)
		s.Receive(frame.Hello{VM: ownerAt(8), Inc: 1, Domain: "a"}, &m)
		is.Equal(s.mesh.answers[0].Reason, job.NoEndpoint) // it would be taken: this VM owns no endpoint
		list(9)
		list(7)
		s.Receive(frame.Hello{VM: ownerAt(8), Inc: 1, Domain: "a"}, &m)
		is.Equal(s.mesh.answers[1].Reason, job.StillRuns)
	})
}
