package grid

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dahliawinch/internal/conf/plan"
	"dahliawinch/internal/edge/serve"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

// pool is the name of the endpoints' pool.
const pool = "pool"

// host is the callers' name for the service.
const host = "service.example"

// Kind is a kind of job.
type Kind struct {
	Name  string
	Rank  int
	Share float64 // of all jobs
	Width int     // mean number of tasks
	Work  time.Duration
	Worth float64 // of a job of mean size, answered in time
	// Cores and Memory are what a task needs in the mean; zero stands for the users' 27 cores and
	// next to no memory.
	Cores, Memory float64
}

// The latency objective of the users' queues: so many times the work, and so much more.
const (
	stretch = 1.6
	slack   = 60 * time.Millisecond
	// meanCores is what a task declares in the mean.
	meanCores = 27
	// patience is how long callers wait beyond the time up to which an answer is of use, as
	// the users' do.
	patience = 1500 * time.Millisecond
)

// Three are the users' kinds of job.
func Three() []Kind {
	return []Kind{
		{Name: "urgent", Rank: 0, Share: 0.245, Width: 8, Work: 60 * time.Millisecond, Worth: 0.0291},
		{Name: "long", Rank: 2, Share: 0.044, Width: 4, Work: 900 * time.Millisecond, Worth: 0.16},
		{Name: "plain", Rank: 1, Share: 0.711, Width: 2, Work: 200 * time.Millisecond, Worth: 0.01},
	}
}

func (k Kind) cores() float64 {
	if k.Cores > 0 {
		return k.Cores
	}
	return meanCores
}

func (k Kind) queue() plan.Queue {
	return plan.Queue{Name: k.Name, Host: host, Prefix: "/" + k.Name + "/", Pool: pool, Rank: k.Rank, Attempts: 3, Stretch: stretch, Slack: slack, Timeout: patience}
}

// Result is one job as its caller saw it.
type Result struct {
	ID      string
	Tasks   int
	Kind    int
	At      time.Duration // since the start
	Took    time.Duration
	Aim     time.Duration
	Answer  job.Answer
	Domain  string
	Unsound bool    // it can't be done
	Work    float64 // core-seconds
}

// InAim reports whether the job was done within its objective.
func (r *Result) InAim() bool { return r.Answer.Outcome == job.Done && r.Took <= r.Aim }

// useful is up to how many times its objective an answer is of some use.
const useful = 3

// Late reports whether the job was done too late, but not uselessly.
func (r *Result) Late() bool {
	return r.Answer.Outcome == job.Done && r.Took > r.Aim && r.Took <= useful*r.Aim
}

// lognormal draws around a mean.
func lognormal(r *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
}

// load submits jobs until the span is over and waits for their answers.
func (g *Grid) load() {
	done := make(chan struct{})
	n := 0
	total := g.Warm + g.Span
	for at := time.Since(g.began); at < total; at = time.Since(g.began) {
		k := g.kind()
		rate := 1.0
		if g.Rate != nil {
			rate = g.Rate(k, at)
		}
		// Kinds with a raised rate come several at a time in the mean.
		for range poisson(g.r, rate) {
			n++
			j, aim, work := g.draw(g.r, k, n)
			go func() {
				g.submit(k, j, aim, work)
				done <- struct{}{}
			}()
		}
		time.Sleep(time.Duration(g.r.ExpFloat64() / g.Load * float64(time.Second)))
	}
	for range n {
		<-done
	}
}

func poisson(r *rand.Rand, mean float64) (n int) {
	if mean == 1 {
		return 1
	}
	whole := int(mean)
	if r.Float64() < mean-float64(whole) {
		whole++
	}
	return whole
}

func (g *Grid) kind() int {
	x := g.r.Float64()
	for i, k := range g.Kinds {
		if x -= k.Share; x < 0 {
			return i
		}
	}
	return len(g.Kinds) - 1
}

// draw makes a job whose tasks' work differs a little and is declared wrongly.
func (g *Grid) draw(r *rand.Rand, kind, n int) (j batch.Job, aim time.Duration, all float64) {
	k := g.Kinds[kind]
	width := max(1, int(math.Round(lognormal(r, float64(k.Width), 0.4))))
	cores := min(1.5*k.cores(), lognormal(r, k.cores(), 0.2))
	work := lognormal(r, float64(k.Work), 0.4)
	told := work * lognormal(r, 1, 0.4)
	j = batch.Job{ID: fmt.Sprintf("%016x", n), Spec: k.Name, Steps: []batch.Step{{
		Count: width, Need: job.Size{Cores: cores, Memory: max(0.0625, k.Memory)}, Run: time.Duration(told),
	}}}
	longest := 0.0
	guilty := -1
	if g.Guilty > 0 && r.Float64() < g.Guilty {
		guilty = r.IntN(width)
		g.Judge.Blame(j.ID)
	}
	for i := range width {
		w := lognormal(r, work, 0.15)
		longest = max(longest, w)
		all += cores * w / float64(time.Second)
		g.Judge.Expect(batch.Task{Job: j.ID, Index: i}.String(), fakes.Work{Need: j.Steps[0].Need, Run: time.Duration(w), Crash: i == guilty})
	}
	return j, time.Duration(stretch*longest) + slack, all
}

// submit plays a caller: the balancer picks a VM of its failure domain, or of any.
func (g *Grid) submit(kind int, j batch.Job, aim time.Duration, work float64) {
	began := time.Now()
	domain := domainName(g.rand(g.Domains))
	res := Result{ID: j.ID, Tasks: j.Tasks(), Kind: kind, At: began.Sub(g.began), Aim: aim, Domain: domain, Work: work}
	left := patience + useful*aim
	res.Answer = g.try(kind, j, domain, left)
	told := res.Answer
	for g.Again && res.gone() && time.Since(began)+again < left {
		time.Sleep(again)
		res.Answer = g.try(kind, j, domain, left-time.Since(began))
		if res.Answer.Outcome != job.Refused { // that speaks of its own submission only
			told = res.Answer
		}
	}
	for range g.Insist {
		if told.Outcome != job.Unknown {
			break
		}
		time.Sleep(again)
		if res.Answer = g.try(kind, j, domain, left); res.Answer.Outcome != job.Refused {
			told = res.Answer
		}
	}
	res.Took = time.Since(began)
	g.Judge.Answered(j.ID, j.Tasks(), told)
	g.mu.Lock()
	g.results = append(g.results, res)
	g.mu.Unlock()
}

// again is when a caller submits anew whose VM has died, or that found none.
const again = 1300 * time.Millisecond

// What a caller notes whose VM was not there.
const (
	noVM   = "no VM"
	vmDied = "VM died"
)

// gone reports whether there was no VM to answer.
func (r *Result) gone() bool { return r.Answer.Reason == noVM || r.Answer.Reason == vmDied }

// try submits a job once.
func (g *Grid) try(kind int, j batch.Job, domain string, left time.Duration) job.Answer {
	v := g.entry(domain)
	if v == nil {
		return job.Answer{Outcome: job.Unknown, Reason: noVM}
	}
	ctx, cancel := context.WithTimeout(g.ctx, left+time.Second)
	defer cancel()
	out := make(chan job.Answer, 1)
	go func() {
		v.clock.gate()
		out <- v.Node.Submit(ctx, serve.Submission{Host: host, Path: "/" + g.Kinds[kind].Name + "/" + j.ID, Job: j, Left: left})
	}()
	a := g.await(v, out)
	if a.Outcome == job.Unknown {
		g.Judge.Free(time.Now(), j.ID)
	}
	return a
}

// deadLook is how often a caller notices that its VM has died.
const deadLook = 5 * time.Millisecond

func (g *Grid) await(v *VM, out <-chan job.Answer) job.Answer {
	t := time.NewTicker(deadLook)
	defer t.Stop()
	for {
		select {
		case a := <-out:
			if v.dead.Load() {
				return job.Answer{Outcome: job.Unknown, Reason: vmDied}
			}
			return a
		case <-t.C:
			if v.dead.Load() {
				return job.Answer{Outcome: job.Unknown, Reason: vmDied}
			}
		}
	}
}

func (g *Grid) rand(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return rand.New(rand.NewPCG(g.Seed, g.serial.Add(1))).IntN(n)
}

// entry picks a VM that takes callers, of a failure domain if one does.
func (g *Grid) entry(domain string) *VM {
	g.mu.Lock()
	var near, all []*VM
	for _, v := range g.vms {
		if v.dead.Load() || !v.ready.Load() || v.shunned.Load() {
			continue
		}
		all = append(all, v)
		if v.Domain == domain {
			near = append(near, v)
		}
	}
	if len(all) == 0 { // it has none to prefer
		for _, v := range g.vms {
			if !v.dead.Load() && v.ready.Load() {
				all = append(all, v)
			}
		}
	}
	g.mu.Unlock()
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return nil
	}
	return near[g.rand(len(near))]
}
