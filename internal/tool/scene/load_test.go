package scene

import (
	"testing"
	"testing/synctest"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/task/job"
)

// play runs a setup in a bubble and fails the test for every broken promise.
func play(t *testing.T, set Setup) (s *Scene) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { s = Play(set) })
	for _, w := range s.Judge.Why() {
		t.Error(w)
	}
	if v := s.Judge.Verdict(); v.Broken() > 0 {
		t.Errorf("broken promises: %+v", v)
	}
	return s
}

func mean(xs []float64) (m float64) {
	for _, x := range xs {
		m += x / float64(len(xs))
	}
	return m
}

// ratios of the done jobs.
func ratios(rs []Result) (xs []float64) {
	for _, r := range rs {
		if r.Answer.Outcome == job.Done {
			xs = append(xs, r.Ratio())
		}
	}
	return xs
}

// perTask is a cause's wasted messages per task start.
func perTask(s *Scene, causes ...meter.Cause) (x float64) {
	for _, c := range causes {
		x += float64(s.Wasted(c)) / float64(s.Starts())
	}
	return x
}

func TestRatioUnderLoad(t *testing.T) {
	const (
		bound80 = 1.10
		over90  = 1.25 // times the queue that knows everything
	)
	for _, load := range []float64{0.5, 0.7, 0.8, 0.9} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			s := play(t, Brief(load))
			got, best := mean(ratios(s.Results())), mean(Bound(s.Trace(), 400, s.Stretch, s.Warm))
			v := s.Judge.Verdict()
			t.Logf("load %.1f ratio %.3f bound %.3f jobs %d done %d; a task: refusal %.4f probe %.4f forward %.4f gossip %.4f",
				load, got, best, v.Jobs, v.Done, perTask(s, meter.Refusal), perTask(s, meter.Probe), perTask(s, meter.Forward), perTask(s, meter.Gossip))
			if v.Done != v.Jobs {
				t.Errorf("%d of %d jobs done", v.Done, v.Jobs)
			}
			if load <= 0.8 && got > bound80 {
				t.Errorf("mean ratio %.3f", got)
			}
			if got > over90*best {
				t.Errorf("mean ratio %.3f, %.3f for the queue that knows everything", got, best)
			}
		})
	}
}
