package scene

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/valid"
	"dahliawinch/internal/task/job"
)

// Guards against urgent jobs that wait behind routine ones while three times the usual
// load arrives for ten seconds, as with one queue for all and no slots reserved.
func TestBurstDoesNotDelayUrgentJobs(t *testing.T) {
	t.Parallel()
	base := play(t, lightLoad())
	set := DefaultSetup(0.7)
	set.Mix = boundedMix()
	set.Span = 40 * time.Second
	set.Rate = func(at time.Duration) float64 {
		if at >= 10*time.Second && at < 20*time.Second {
			return 3
		}
		return 1
	}
	s := play(t, set)
	calm, burst := p99(base.Results(), "setup"), p99(s.Results(), "setup")
	v := s.Judge.Verdict()
	t.Logf("urgent p99 %s at light load, %s in the burst; %.3f of the slot time useful; %+v", calm, burst, usefulShare(s), v)
	if burst > calm*12/10 {
		t.Errorf("urgent p99 %s, unloaded %s", burst, calm)
	}
	if got := usefulShare(s); got < 0.95 {
		t.Errorf("only %.3f of the slot time went to jobs that were done", got)
	}
}

// Guards against urgent jobs that wait five seconds while routine tasks of five seconds
// hold every slot that they may: tasks can't be preempted, so slots must be reserved.
func TestLongRoutineTasksDoNotDelayUrgentJobs(t *testing.T) {
	t.Parallel()
	base := play(t, lightLoad())
	set := DefaultSetup(0.95)
	set.Mix = boundedMix()
	set.Mix.Kinds = set.Mix.Kinds[:2]
	set.Mix.Kinds[0].Share = 0.6
	set.Mix.Kinds[1].Run, set.Mix.Kinds[1].Sigma, set.Mix.Kinds[1].Tail = valid.Span(5*time.Second), 0, 0
	set.Doc.Classes["render"] = doc.Class{Band: job.Routine, Deadline: valid.Span(60 * time.Second)}
	set.Load = 2
	s := play(t, set)
	calm, full := p99(base.Results(), "setup"), p99(s.Results(), "setup")
	t.Logf("urgent p99 %s at light load, %s with long routine tasks; %+v", calm, full, s.Judge.Verdict())
	if full > calm*12/10 {
		t.Errorf("urgent p99 %s, unloaded %s", full, calm)
	}
}

// Guards against other jobs that stall when ten thousand callers cancel within a second,
// as when each cancellation scans the queue.
func TestMassCancellationStallsNoOtherJob(t *testing.T) {
	t.Parallel()
	const wave = 10_000
	set := DefaultSetup(0.6)
	set.Faults = []Fault{{8 * time.Second, func(s *Scene) {
		ctx, cancel := context.WithCancel(s.ctx)
		defer cancel()
		done := make(chan struct{}, wave)
		for i := range wave {
			j := s.Mix.Draw(s.rand(), fmt.Sprint("wave-", i))
			j.Req.TimeLeft = 100 * time.Second
			go func() {
				s.Call(ctx, j, uint64(i))
				done <- struct{}{}
			}()
		}
		time.Sleep(500 * time.Millisecond)
		cancel()
		for range wave {
			<-done
		}
	}}}
	s := play(t, set)
	v := s.Judge.Verdict()
	live := 0
	var bad []Result
	for _, r := range s.Results() {
		if r.Answer.Reason == job.Canceled || len(r.Job.Name) > 4 && r.Job.Name[:4] == "wave" {
			continue
		}
		live++
		if r.Answer.Outcome != job.Done {
			bad = append(bad, r)
		}
	}
	t.Logf("%+v; %d live jobs, %d not done", v, live, len(bad))
	if len(bad)*20 > live {
		t.Errorf("%d of %d live jobs were not done", len(bad), live)
	}
}
