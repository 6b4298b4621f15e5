package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/platform/stand"
)

const (
	// answerTimeout is how long callers wait for an answer beyond twice the run time of a task.
	answerTimeout = 2500 * time.Millisecond
	// resubmitAfter is the time from a broken connection or an unknown outcome to the next try of the job.
	resubmitAfter = 1300 * time.Millisecond
	// longEvery is the number of jobs of which one has tasks that run for seconds.
	longEvery = 3
	// maxConns limits connections to a VM, and so the number of jobs in progress there.
	maxConns = 1 << 14
	// crashEvery is the number of jobs of which one has a task that crashes its endpoint.
	crashEvery = 100
	// gangEvery is the number of jobs of which one has tasks that work only together, up to maxGang, and gangWait how long
	// these wait for each other.
	gangEvery = 4
	maxGang   = 12
	gangWait  = 3 * time.Second
	// maxTries is how often a caller submits a job at most.
	maxTries = 4
)

// load submits jobs until ctx ends. Connections are reused.
func (s *Soak) load(ctx context.Context, wg *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(s.Seed, 7))
	clients := make([]*fasthttp.HostClient, len(s.vms))
	for i, v := range s.vms {
		clients[i] = &fasthttp.HostClient{Addr: v.callerAddr.String(), MaxConns: maxConns, MaxIdemponentCallAttempts: 1}
	}
	for n := 1; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", s.Seed, n)
		tasks, run := 1+r.IntN(6), time.Duration(30+r.IntN(600))*time.Millisecond
		if s.RestartsOnly {
			run /= 5
		} else if s.UnseenOnly || s.longRand.IntN(longEvery) == 0 {
			tasks, run = 1+s.longRand.IntN(2), time.Duration(1000+s.longRand.IntN(2000))*time.Millisecond
		}
		cores := 10 + 20*r.Float64()
		if s.UnseenOnly {
			cores += endpointSize.Cores / 2
		}
		crash := s.crashRand.IntN(crashEvery) == 0 && !s.RestartsOnly && !s.UnseenOnly
		var gang *fakes.Gang
		if s.gangRand.IntN(gangEvery) == 0 && !s.UnseenOnly || s.GangsOnly {
			tasks, crash = 1+s.gangRand.IntN(maxGang), false
			gang = &fakes.Gang{Size: tasks, Wait: gangWait, Fails: s.gangRand.IntN(2)}
		}
		for i := range tasks {
			s.judge.Expect(batch.Task{Job: id, Index: i}.String(), fakes.Work{Need: job.Size{Cores: cores}, Run: run, Crash: crash && i == 0, Gang: gang})
		}
		prefix := []string{"/u/", "/p/"}[r.IntN(2)]
		first := r.IntN(len(clients))
		wg.Go(func() {
			s.submit(clients, first, prefix+id, id, tasks, answerTimeout+2*run, stand.Job("x", tasks, cores, run, gang != nil))
		})
		time.Sleep(time.Duration(r.ExpFloat64() / s.Rate * float64(time.Second)))
	}
}

// submit acts as one caller: after a broken connection or an unknown outcome it submits
// the same job to another VM.
func (s *Soak) submit(clients []*fasthttp.HostClient, first int, path, id string, tasks int, wait time.Duration, body []byte) {
	a := job.Answer{Outcome: job.Refused}
	for t := range maxTries {
		if t > 0 {
			time.Sleep(resubmitAfter)
			s.judge.Resubmitted(id)
		}
		out := stand.Submit(clients[(first+t)%len(clients)], host, path, body, wait)
		if out != job.Refused {
			a.Outcome = out // refused only if all tries were
		}
		if out != job.Unknown {
			break
		}
	}
	s.judge.Answered(id, tasks, a)
	s.mu.Lock()
	s.outcomes[a.Outcome]++
	s.mu.Unlock()
}
