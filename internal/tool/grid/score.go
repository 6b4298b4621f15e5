package grid

import (
	"iter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dahliawinch/internal/task/job"
)

// Count holds the number of submitted jobs, and of those that ended in each way.
type Count struct {
	Asked, InTime, Late, Refused, Failed int
}

// Add adds the counts of another run.
func (c *Count) Add(o Count) {
	c.Asked += o.Asked
	c.InTime += o.InTime
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
}

// Share returns the share of jobs done within their objective.
func (c Count) Share() float64 { return float64(c.InTime) / float64(max(1, c.Asked)) }

// allKinds stands for jobs of all kinds.
const allKinds = -1

// submitted yields the jobs of a kind that were submitted in a span, in time since the start.
func (g *Grid) submitted(kind int, from, to time.Duration) iter.Seq[*Result] {
	return func(yield func(*Result) bool) {
		for i := range g.results {
			r := &g.results[i]
			if (kind == allKinds || r.Kind == kind) && r.At >= from && r.At < to && !yield(r) {
				return
			}
		}
	}
}

// Counts counts how the jobs of a kind ended that were submitted in a span.
func (g *Grid) Counts(kind int, from, to time.Duration) (c Count) {
	for r := range g.submitted(kind, from, to) {
		c.addResult(r)
	}
	return c
}

// addResult counts one job.
func (c *Count) addResult(r *Result) {
	c.Asked++
	switch {
	case r.InTime():
		c.InTime++
	case r.Late():
		c.Late++
	case r.Answer.Outcome == job.Refused:
		c.Refused++
	default:
		c.Failed++
	}
}

// worth returns the worth of a job: three tenths of its kind's worth are fixed, the rest grows with
// its work, up to four times the kind's worth in all.
func (g *Grid) worth(r *Result) float64 {
	k := g.Kinds[r.Kind]
	mean := float64(k.Width) * k.cores() * k.Work.Seconds()
	return k.Worth * min(4, 0.3+0.7*r.Work/mean)
}

// earnedShare returns the share of its worth that a job earned: a fifth if it was late.
func (r *Result) earnedShare() float64 {
	switch {
	case r.InTime():
		return 1
	case r.Late():
		return 0.2
	default:
		return 0
	}
}

// lossReason names the reason why a job did not earn its worth.
func (r *Result) lossReason() string {
	switch {
	case r.Late():
		return "late"
	case r.Answer.Outcome == job.Done:
		return "useless"
	default:
		return string(r.Answer.Reason)
	}
}

// Earned returns the share of the worth of a span's jobs that their answers earned.
func (g *Grid) Earned(from, to time.Duration) float64 {
	got, all := 0.0, 0.0
	for r := range g.submitted(allKinds, from, to) {
		w := g.worth(r)
		all += w
		got += w * r.earnedShare()
	}
	return got / max(all, 1e-9)
}

// LostWorth returns the share of a span's worth that was not earned, by reason: "late", "useless"
// if the answer came later still, or the reason of the answer.
func (g *Grid) LostWorth(from, to time.Duration) map[string]float64 {
	lost, all := map[string]float64{}, 0.0
	for r := range g.submitted(allKinds, from, to) {
		w := g.worth(r)
		all += w
		if !r.InTime() {
			lost[r.lossReason()] += w * (1 - r.earnedShare())
		}
	}
	for k := range lost {
		lost[k] /= all
	}
	return lost
}

// Latencies returns a histogram, in milliseconds, of how long a span's done jobs of a kind took.
func (g *Grid) Latencies(kind int, from, to time.Duration) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)
	for r := range g.submitted(kind, from, to) {
		if r.Answer.Outcome == job.Done {
			// No caller waits for over a minute, the histogram's limit.
			_ = h.RecordValue(r.Took.Milliseconds())
		}
	}
	return h
}
