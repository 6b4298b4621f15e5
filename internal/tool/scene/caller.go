package scene

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/ticket"
	"dahliawinch/internal/tool/mix"
)

// Result is a job's outcome as its caller saw it.
type Result struct {
	Job    *mix.Job
	At     time.Duration // since the start
	Took   time.Duration // response time
	Ideal  time.Duration // ideal response time, see func Ideal
	Answer *job.Answer
	Domain string // of the VM that the caller reached
}

// Ratio returns the response time over the ideal one.
func (r Result) Ratio() float64 { return r.Took.Seconds() / r.Ideal.Seconds() }

// Arrival is one job of the trace, an input of OracleRatios.
type Arrival struct {
	At  time.Duration
	Job *mix.Job
}

// pickVM returns the VM to which the load balancer sends a caller; x is random.
func (s *Scene) pickVM(x uint64) *VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []*VM
	for _, v := range s.vms {
		if !v.unrouted.Load() {
			open = append(open, v)
		}
	}
	if len(open) == 0 {
		return s.vms[x%uint64(len(s.vms))]
	}
	return open[x%uint64(len(open))]
}

// runLoad submits jobs in an open loop: arrivals don't wait for answers.
func (s *Scene) runLoad() {
	slots := float64(s.Endpoints * s.Slots)
	perSecond := s.Load * slots / s.Mix.MeanWork().Seconds()
	var callers sync.WaitGroup
	for perSecond > 0 {
		at := time.Since(s.began)
		if at >= s.Warm+s.Span {
			break
		}
		rate := perSecond
		if s.Rate != nil {
			rate *= s.Rate(at)
		}
		time.Sleep(mix.Gap(s.rng, rate))
		j := s.Mix.Draw(s.rng, fmt.Sprint("job-", s.serial.Add(1)))
		s.trace = append(s.trace, Arrival{time.Since(s.began), j})
		pick := s.rng.Uint64()
		callers.Go(func() { s.Call(s.ctx, j, pick) })
	}
	if perSecond == 0 {
		time.Sleep(s.Warm + s.Span)
	}
	callers.Wait()
}

// Started implements fakes.Witness.
func (s *Scene) Started(name string, task int) {
	s.Judge.Started(name, task)
	s.mu.Lock()
	defer s.mu.Unlock()
	tenant := s.tenants[name]
	s.starts[tenant] = append(s.starts[tenant], time.Since(s.began))
}

// Call submits one job as a caller does and records the answer.
func (s *Scene) Call(ctx context.Context, j *mix.Job, pick uint64) *job.Answer {
	began := time.Now()
	s.Judge.Submit(j.Name, len(j.Req.Tasks))
	s.mu.Lock()
	s.tenants[j.Name] = j.Req.Tenant
	s.mu.Unlock()
	time.Sleep(clientDelay)
	v := s.pickVM(pick)
	for v.dead.Load() { // connection refused: nothing was sent, so the caller tries another VM
		time.Sleep(clientDelay)
		pick++
		v = s.pickVM(pick)
	}
	var a *job.Answer
	if j.Kind.Ticket {
		a = s.submitTwice(ctx, v, j, pick)
	} else {
		a = s.submit(ctx, v, j)
	}
	time.Sleep(clientDelay)
	s.Judge.Answer(j.Name, a)
	r := Result{
		Job: j, At: began.Sub(s.began), Took: time.Since(began), Ideal: Ideal(j), Answer: a, Domain: v.Domain,
	}
	s.mu.Lock()
	s.results = append(s.results, r)
	s.mu.Unlock()
	return a
}

// Ideal returns the response time if every task started at once in the domain of the
// VM that the caller reached.
func Ideal(j *mix.Job) time.Duration { return 2*clientDelay + 2*innerDelay + j.Longest() }

// submitTwice gets a ticket and submits the job with it as an impatient caller does:
// to two VMs at once, and up to three times more while the outcome is unknown.
func (s *Scene) submitTwice(ctx context.Context, v *VM, j *mix.Job, pick uint64) *job.Answer {
	text, err := v.Node.Grant(j.Req.Tenant, 1)
	if err != nil {
		return job.Refuse(job.Overload, 0, "%v", err)
	}
	j.Req.Ticket = ticket.Pick(text, 0)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		if w := s.pickVM(pick / 7); !w.dead.Load() {
			s.Judge.Answer(j.Name, s.submit(ctx, w, j))
		}
	}()
	a := s.submit(ctx, v, j)
	for try := uint64(1); a.Outcome == job.Unknown && try <= 3; try++ {
		s.Judge.Answer(j.Name, a)
		time.Sleep(clientDelay + 200*time.Millisecond)
		if w := s.pickVM(pick/11 + try); !w.dead.Load() {
			a = s.submit(ctx, w, j)
		}
	}
	wg.Wait()
	return a
}

func (s *Scene) submit(ctx context.Context, v *VM, j *mix.Job) *job.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := make(chan *job.Answer, 1)
	req := j.Req
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		v.clock.Now() // a paused VM handles the request when it resumes
		out <- v.Node.Submit(ctx, &req)
	}()
	select {
	case a := <-out:
		return a
	case <-v.killed:
		return job.UnknownAnswer(job.Silent, "the VM died")
	}
}

// Results returns the results of jobs that arrived in the measured span.
func (s *Scene) Results() []Result {
	var in []Result
	for _, r := range s.results {
		if r.At >= s.Warm {
			in = append(in, r)
		}
	}
	return in
}

// Trace returns all arrivals, those of the warm-up included.
func (s *Scene) Trace() []Arrival { return s.trace }

// counts holds sums over all VMs.
type counts struct {
	starts int64
	wasted map[meter.Cause]int64
}

func (s *Scene) count() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := counts{wasted: map[meter.Cause]int64{}}
	for _, m := range s.meters {
		c.starts += m.Starts()
		for _, cause := range meter.Causes() {
			c.wasted[cause] += m.Wasted(cause)
		}
	}
	return c
}

// Wasted returns the number of wasted messages of a cause in the measured span.
func (s *Scene) Wasted(c meter.Cause) int64 { return s.totals[1].wasted[c] - s.totals[0].wasted[c] }

// Starts returns the number of task starts in the measured span, retries included.
func (s *Scene) Starts() int64 { return s.totals[1].starts - s.totals[0].starts }
