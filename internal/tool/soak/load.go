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
	// patience is how long callers wait for an answer beyond twice the time that tasks take.
	patience = 2500 * time.Millisecond
	// again is how long after a broken connection or an unknown outcome a caller submits its job once more.
	again = 1300 * time.Millisecond
	// longOf is of how many jobs one has tasks of seconds.
	longOf = 3
	// mostConns is how many jobs a VM may have from callers.
	mostConns = 1 << 14
	// guiltyOf is of how many jobs one has a task that crashes what starts it.
	guiltyOf = 100
	// tries is how often it submits a job at most.
	tries = 4
)

// load submits jobs until ctx ends; callers keep their connections.
func (s *Soak) load(ctx context.Context, wg *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(s.Seed, 7))
	clients := make([]*fasthttp.HostClient, len(s.vms))
	for i, v := range s.vms {
		clients[i] = &fasthttp.HostClient{Addr: v.callers.String(), MaxConns: mostConns, MaxIdemponentCallAttempts: 1}
	}
	for n := 1; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", s.Seed, n)
		tasks, run := 1+r.IntN(6), time.Duration(30+r.IntN(600))*time.Millisecond
		if s.longs.IntN(longOf) == 0 {
			tasks, run = 1+s.longs.IntN(2), time.Duration(1000+s.longs.IntN(2000))*time.Millisecond
		}
		cores := 10 + 20*r.Float64()
		guilty := s.guilt.IntN(guiltyOf) == 0
		for i := range tasks {
			s.judge.Expect(batch.Task{Job: id, Index: i}.String(), fakes.Work{Need: job.Size{Cores: cores}, Run: run, Crash: guilty && i == 0})
		}
		prefix := []string{"/u/", "/p/"}[r.IntN(2)]
		first := r.IntN(len(clients))
		wg.Go(func() {
			s.submit(clients, first, prefix+id, id, tasks, patience+2*run, stand.Job("x", tasks, cores, run))
		})
		time.Sleep(time.Duration(r.ExpFloat64() / s.Rate * float64(time.Second)))
	}
}

// submit plays one caller: after a broken connection or an unknown outcome it submits
// the same job again at another VM.
func (s *Soak) submit(clients []*fasthttp.HostClient, first int, path, id string, tasks int, wait time.Duration, body []byte) {
	a := job.Answer{Outcome: job.Refused}
	for t := range tries {
		if t > 0 {
			time.Sleep(again)
			s.judge.Again(id)
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
	s.told[a.Outcome]++
	s.mu.Unlock()
}
