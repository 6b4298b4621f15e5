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

// pool is the name of the pool of all endpoints.
const pool = "pool"

// host is the service's name in requests.
const host = "service.example"

// Kind describes a kind of job.
type Kind struct {
	Name  string
	Rank  int
	Share float64       // of all jobs
	Width int           // mean number of tasks
	Work  time.Duration // mean run time of a task
	Worth float64       // of a job of mean size that is answered in time
	// Cores and Memory are the mean need of a task; zero stands for the users' 27 cores and next to
	// no memory.
	Cores, Memory float64
}

// The latency objective of the users' queues is stretch times the run time of a job's longest task,
// plus slack.
const (
	stretch = 1.6
	slack   = 60 * time.Millisecond
	// meanCores is the mean number of cores that a task declares.
	meanCores = 27
	// patience is how long callers wait after an answer has become useless, as the users' callers
	// do.
	patience = 1500 * time.Millisecond
)

// UserKinds returns the users' kinds of job.
func UserKinds() []Kind {
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

// Result is the outcome of one job as its caller saw it.
type Result struct {
	ID        string
	Tasks     int
	Kind      int
	At        time.Duration // since the start
	Took      time.Duration
	Objective time.Duration
	Answer    job.Answer
	Domain    string
	Returns   int     // submissions after a refusal
	Unsound   bool    // the job can't be done
	Work      float64 // core-seconds
}

// InTime reports whether the job was done within its objective.
func (r *Result) InTime() bool { return r.Answer.Outcome == job.Done && r.Took <= r.Objective }

// usefulFactor is the multiple of the objective up to which a late answer is still of some use.
const usefulFactor = 3

// Late reports whether the job was done too late for its objective, but early enough to be of some
// use.
func (r *Result) Late() bool {
	return r.Answer.Outcome == job.Done && r.Took > r.Objective && r.Took <= usefulFactor*r.Objective
}

// lognormal draws from a log-normal distribution with the given mean.
func lognormal(r *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
}

// generateLoad submits jobs until the span is over and waits for their answers.
func (g *Grid) generateLoad() {
	done := make(chan struct{})
	n := 0
	total := g.Warmup + g.Span
	for at := time.Since(g.startedAt); at < total; at = time.Since(g.startedAt) {
		k := g.drawKind()
		rate := 1.0
		if g.Rate != nil {
			rate = g.Rate(k, at)
		}
		// A kind with a raised rate submits several jobs at a time on average.
		for range roundRandomly(g.r, rate) {
			n++
			j, objective, work := g.drawJob(g.r, k, n)
			go func() {
				g.submit(k, j, objective, work)
				done <- struct{}{}
			}()
		}
		time.Sleep(time.Duration(g.r.ExpFloat64() / g.Load * float64(time.Second)))
	}
	for range n {
		<-done
	}
}

func roundRandomly(r *rand.Rand, mean float64) (n int) {
	if mean == 1 {
		return 1
	}
	rounded := int(mean)
	if r.Float64() < mean-float64(rounded) {
		rounded++
	}
	return rounded
}

func (g *Grid) drawKind() int {
	x := g.r.Float64()
	for i, k := range g.Kinds {
		if x -= k.Share; x < 0 {
			return i
		}
	}
	return len(g.Kinds) - 1
}

// drawJob draws a job. The run times of its tasks differ a little, and the declared run time is
// inexact.
func (g *Grid) drawJob(r *rand.Rand, kind, n int) (j batch.Job, objective time.Duration, coreSeconds float64) {
	k := g.Kinds[kind]
	width := max(1, int(math.Round(lognormal(r, float64(k.Width), 0.4))))
	cores := min(1.5*k.cores(), lognormal(r, k.cores(), 0.2))
	work := lognormal(r, float64(k.Work), 0.4)
	declared := work * lognormal(r, 1, 0.4)
	j = batch.Job{ID: fmt.Sprintf("%016x", n), Spec: k.Name, Steps: []batch.Step{{
		Count: width, Need: job.Size{Cores: cores, Memory: max(0.0625, k.Memory)}, Run: time.Duration(declared),
	}}}
	longest := 0.0
	crashing := -1
	if g.CrashShare > 0 && r.Float64() < g.CrashShare {
		crashing = r.IntN(width)
		g.Judge.MarkCrashing(j.ID)
	}
	if g.GangShare > 0 && r.Float64() < g.GangShare {
		return g.drawGang(r, j, cores, work)
	}
	for i := range width {
		w := lognormal(r, work, 0.15)
		if g.LongShare > 0 && r.Float64() < g.LongShare {
			w *= g.LongFactor
		}
		longest = max(longest, w)
		coreSeconds += cores * w / float64(time.Second)
		g.Judge.Expect(batch.Task{Job: j.ID, Index: i}.String(), fakes.Work{Need: j.Steps[0].Need, Run: time.Duration(w), Crash: i == crashing})
	}
	return j, time.Duration(stretch*longest) + slack, coreSeconds
}

// gangWait is how long members of a gang wait for the others.
const gangWait = 3 * time.Second

// drawGang turns a job into one with a step whose tasks work only together.
func (g *Grid) drawGang(r *rand.Rand, j batch.Job, cores, work float64) (batch.Job, time.Duration, float64) {
	gang := &fakes.Gang{Size: 1 + r.IntN(g.MaxGang), Wait: gangWait}
	if r.IntN(4) == 0 {
		gang.Fails = 1
	}
	last, longest, coreSeconds := 0, work, 0.0
	if r.IntN(4) == 0 {
		last, longest = 1, 2*work
		j.Steps = append(j.Steps, j.Steps[0])
		j.Steps[1].After = []int{0}
	}
	j.Steps[last].Gang, j.Steps[last].Count = true, gang.Size
	for i := range j.Steps {
		for k := range j.Steps[i].Count {
			w := fakes.Work{Need: j.Steps[i].Need, Run: time.Duration(work)}
			if i == last {
				w.Gang = gang
			}
			coreSeconds += cores * work / float64(time.Second)
			g.Judge.Expect(batch.Task{Job: j.ID, Step: i, Index: k}.String(), w)
		}
	}
	return j, time.Duration(stretch*longest) + slack, coreSeconds
}

// submit acts as a caller: the balancer picks a VM of its failure domain if it can, or else any.
func (g *Grid) submit(kind int, j batch.Job, objective time.Duration, work float64) {
	startedAt := time.Now()
	domain := domainName(g.randIntN(g.Domains))
	res := Result{ID: j.ID, Tasks: j.Tasks(), Kind: kind, At: startedAt.Sub(g.startedAt), Objective: objective, Domain: domain, Work: work}
	left := patience + usefulFactor*objective
	res.Answer = g.try(kind, j, domain, left)
	lastKnown := res.Answer
	for g.Resubmit && res.lostVM() && time.Since(startedAt)+resubmitAfter < left {
		time.Sleep(resubmitAfter)
		res.Answer = g.try(kind, j, domain, left-time.Since(startedAt))
		if res.Answer.Outcome != job.Refused { // a refusal says nothing of earlier submissions
			lastKnown = res.Answer
		}
	}
	for g.Return && res.Answer.Outcome == job.Refused && time.Since(startedAt)+res.Answer.Retry < left {
		time.Sleep(res.Answer.Retry)
		res.Returns++
		if res.Answer = g.try(kind, j, domain, left-time.Since(startedAt)); res.Answer.Outcome != job.Refused {
			lastKnown = res.Answer
		}
	}
	for range g.UnknownRetries {
		if lastKnown.Outcome != job.Unknown {
			break
		}
		time.Sleep(resubmitAfter)
		if res.Answer = g.try(kind, j, domain, left); res.Answer.Outcome != job.Refused {
			lastKnown = res.Answer
		}
	}
	res.Took = time.Since(startedAt)
	g.Judge.Answered(j.ID, j.Tasks(), lastKnown)
	g.mu.Lock()
	g.results = append(g.results, res)
	g.mu.Unlock()
}

// resubmitAfter is how long a caller waits before it submits a job again: its VM died, it found no
// VM, or the outcome was unknown.
const resubmitAfter = 1300 * time.Millisecond

// Reasons in answers of the simulation itself, for callers that got none from a VM.
const (
	noVM   = "no VM"
	vmDied = "VM died"
)

// lostVM reports whether the job got no answer because there was no VM or it died.
func (r *Result) lostVM() bool { return r.Answer.Reason == noVM || r.Answer.Reason == vmDied }

// try submits a job once.
func (g *Grid) try(kind int, j batch.Job, domain string, left time.Duration) job.Answer {
	v := g.pickVM(domain)
	if v == nil {
		return job.Answer{Outcome: job.Unknown, Reason: noVM}
	}
	ctx, cancel := context.WithTimeout(g.ctx, left+time.Second)
	defer cancel()
	out := make(chan job.Answer, 1)
	go func() {
		v.clock.waitResumed()
		out <- v.Node.Submit(ctx, serve.Submission{Host: host, Path: "/" + g.Kinds[kind].Name + "/" + j.ID, Job: j, Left: left})
	}()
	a := g.await(v, out)
	if a.Outcome == job.Unknown {
		g.Judge.AllowResubmit(time.Now(), j.ID)
	}
	return a
}

// deathPoll is how often a caller checks whether its VM has died.
const deathPoll = 5 * time.Millisecond

func (g *Grid) await(v *VM, out <-chan job.Answer) job.Answer {
	t := time.NewTicker(deathPoll)
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

func (g *Grid) randIntN(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return rand.New(rand.NewPCG(g.Seed, g.serial.Add(1))).IntN(n)
}

// pickVM picks a VM that accepts callers, of the given failure domain if there is one.
func (g *Grid) pickVM(domain string) *VM {
	g.mu.Lock()
	var near, all []*VM
	for _, v := range g.vms {
		if v.dead.Load() || !v.accepting.Load() || v.excluded.Load() {
			continue
		}
		all = append(all, v)
		if v.Domain == domain {
			near = append(near, v)
		}
	}
	if len(all) == 0 { // if all are excluded, the balancer uses them all
		for _, v := range g.vms {
			if !v.dead.Load() && v.accepting.Load() {
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
	return near[g.randIntN(len(near))]
}
