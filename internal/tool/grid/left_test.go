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

// leave lets callers of long tasks leave one VM and submit their jobs again at another. The end of the connection arrives at the
// first VM, and wakes it, some time after the caller has left.
func leave(first, second int, arrives, wakes time.Duration) func(*Grid) {
	const (
		stays = 400 * time.Millisecond
		work  = 2500 * time.Millisecond
	)
	return func(g *Grid) {
		for i := range 40 {
			j, _, _ := g.draw(rand.New(rand.NewPCG(uint64(i), 1)), plain, 1_000_000+i)
			j.Steps[0].Count, j.Steps[0].Run = 1, work
			g.Judge.Expect(batch.Task{Job: j.ID}.String(), fakes.Work{Need: j.Steps[0].Need, Run: work})
			g.wg.Add(1)
			go func() {
				defer g.wg.Done()
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				gone := time.Now().Add(stays)
				s := serve.Submission{Host: host, Path: "/plain/" + j.ID, Job: j, Left: 5 * time.Second}
				again := s
				s.Open = func() bool { return time.Now().Before(gone.Add(arrives)) }
				ctx, cancel := context.WithCancel(g.ctx)
				time.AfterFunc(stays+wakes, cancel)
				go g.VM(first).Node.Submit(ctx, s)
				time.Sleep(stays + Limits.Resend)
				g.VM(second).Node.Submit(g.ctx, again)
			}()
		}
	}
}

// Guards against a VM that asks for a job whose caller's connection has ended, until it is woken by that.
func TestCallerWhoseLeavingIsNoticedLateIsServedOnce(t *testing.T) {
	play(t, faulty(leave(0, 4, Limits.Notice, 2*time.Second)))
	play(t, faulty(leave(0, 0, Limits.Notice, 2*time.Second)))
}

// Guards against a job that runs on for a caller who has left while the end of its connection is under way for seconds.
func TestCallerWhoseEndIsUnderWayForLongIsServedOnce(t *testing.T) {
	play(t, faulty(leave(0, 4, 2*time.Second, 2*time.Second)))
}
