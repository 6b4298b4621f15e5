package grid

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"dahliawinch/internal/edge/serve"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/batch"
)

// leaveAndResubmit lets callers of long tasks leave one VM and submit their jobs again at another.
// The end of the caller's connection is visible to the first VM after arrives, and cancels the
// submission after wakes.
func leaveAndResubmit(first, second int, arrives, wakes time.Duration) func(*Grid) {
	const (
		stays = 400 * time.Millisecond
		work  = 2500 * time.Millisecond
	)
	return func(g *Grid) {
		for i := range 40 {
			j, _, _ := g.drawJob(rand.New(rand.NewPCG(uint64(i), 1)), plain, 1_000_000+i)
			j.Steps[0].Count, j.Steps[0].Run = 1, work
			g.Judge.Expect(batch.Task{Job: j.ID}.String(), fakes.Work{Need: j.Steps[0].Need, Run: work})
			g.wg.Add(1)
			go func() {
				defer g.wg.Done()
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				leftAt := time.Now().Add(stays)
				s := serve.Submission{Host: host, Path: "/plain/" + j.ID, Job: j, Left: 5 * time.Second}
				again := s
				s.Open = func() bool { return time.Now().Before(leftAt.Add(arrives)) }
				ctx, cancel := context.WithCancel(g.ctx)
				time.AfterFunc(stays+wakes, cancel)
				go g.VM(first).Node.Submit(ctx, s)
				time.Sleep(stays + Limits.Resend)
				g.VM(second).Node.Submit(g.ctx, again)
			}()
		}
	}
}

// Guards against a VM that goes on with a job after its caller's connection has ended, until the
// end of the connection cancels the submission.
func TestCallerWhoseLeavingIsNoticedLateIsServedOnce(t *testing.T) {
	simulate(t, withFault(leaveAndResubmit(0, 4, Limits.Notice, 2*time.Second)))
	simulate(t, withFault(leaveAndResubmit(0, 0, Limits.Notice, 2*time.Second)))
}

// Guards against a job that runs on after its caller has left, while the end of the connection
// takes seconds to arrive.
func TestCallerWhoseEndIsUnderWayForLongIsServedOnce(t *testing.T) {
	simulate(t, withFault(leaveAndResubmit(0, 4, 2*time.Second, 2*time.Second)))
}
