// Package load is an open-loop load generator: jobs are sent when they are due,
// and latency counts from that moment, so that a stalled server can't hide its
// own delay.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dahliawinch/internal/task/job"
	"dahliawinch/internal/tool/judge"
	"dahliawinch/internal/tool/mix"
	"dahliawinch/winch"
)

// Plan of a load.
type Plan struct {
	Targets []netip.AddrPort // callers' addresses of the entry VMs
	Mix     mix.Mix
	Rate    float64 // jobs per second
	Span    time.Duration
	Seed    uint64
	Burst   float64       // the rate is multiplied by this
	From    time.Duration // from here
	Till    time.Duration // till here
}

// Report is what callers saw.
type Report struct {
	judge.Tally
	Ratio   Ratio            `json:"ratio"`
	Millis  map[string]Quant `json:"millis"` // response by class, done jobs
	Reasons map[string]int   `json:"reasons,omitempty"`
}

// Ratio of response to ideal over done jobs.
type Ratio struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
}

// Quant are quantiles in milliseconds.
type Quant struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Load runs a plan.
type Load struct {
	plan    Plan
	judge   *judge.Judge
	clients map[string][]*winch.Client
	sent    atomic.Int64
	ended   atomic.Int64
	gone    sync.Map // targets that refused a connection, by when

	mu      sync.Mutex
	ratio   *hdrhistogram.Histogram // thousandths
	classes map[string]*hdrhistogram.Histogram
	reasons map[string]int
}

const (
	// networkIdeal is the part of the ideal response that is not run time; on
	// loopback it is nothing.
	networkIdeal = 0
	// goneFor is how long a target that refused a connection is passed over.
	goneFor = time.Second
)

// New returns a load that reports to a judge.
func New(plan Plan, j *judge.Judge) *Load {
	l := &Load{
		plan: plan, judge: j, clients: map[string][]*winch.Client{},
		ratio:   hdrhistogram.New(1, 10_000_000, 3),
		classes: map[string]*hdrhistogram.Histogram{}, reasons: map[string]int{},
	}
	for _, k := range plan.Mix.Kinds {
		if l.clients[k.Key] != nil {
			continue
		}
		for _, at := range plan.Targets {
			l.clients[k.Key] = append(l.clients[k.Key], winch.NewClient(at, k.Key))
		}
	}
	return l
}

// Progress returns how many jobs were sent and answered.
func (l *Load) Progress() (sent, ended int64) { return l.sent.Load(), l.ended.Load() }

// Run plays the plan and waits for all answers.
func (l *Load) Run(ctx context.Context) {
	r := rand.New(rand.NewPCG(l.plan.Seed, 7))
	began := time.Now()
	due := began
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		rate := l.plan.Rate
		if at := due.Sub(began); l.plan.Burst > 0 && at >= l.plan.From && at < l.plan.Till {
			rate *= l.plan.Burst
		}
		due = due.Add(mix.Gap(r, rate))
		if due.Sub(began) >= l.plan.Span {
			break
		}
		j := l.plan.Mix.Draw(r, fmt.Sprintf("load-%d-%d", l.plan.Seed, n))
		pick := r.IntN(len(l.plan.Targets))
		sleep(ctx, time.Until(due))
		at := due
		wg.Go(func() { l.one(ctx, j, pick, at) })
	}
	wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// one submits a job; a VM that refuses the connection received nothing, so the
// next one is tried, as a balancer does.
func (l *Load) one(ctx context.Context, j *mix.Job, pick int, due time.Time) {
	l.sent.Add(1)
	l.judge.Submit(j.Name, len(j.Req.Tasks))
	clients := l.clients[j.Kind.Key]
	var a winch.Answer
	for range len(clients) {
		c := pick % len(clients)
		pick++
		if at, ok := l.gone.Load(c); ok && time.Since(at.(time.Time)) < goneFor {
			continue
		}
		a = l.submit(ctx, clients[c], j)
		if a.Reason != "connect" {
			break
		}
		l.gone.Store(c, time.Now())
	}
	l.ended.Add(1)
	l.note(j, a, time.Since(due))
}

func (l *Load) submit(ctx context.Context, c *winch.Client, j *mix.Job) winch.Answer {
	out := winch.Job{Class: j.Req.Class, Kind: j.Req.Kind}
	if j.Kind.Ticket {
		t, err := c.Tickets(ctx, 1)
		if err != nil {
			return winch.Answer{Outcome: winch.Refused, Reason: "ticket", Detail: err.Error()}
		}
		out.Ticket = t[0]
	}
	for i := range j.Req.Tasks {
		t := &j.Req.Tasks[i]
		out.Tasks = append(out.Tasks, winch.Task{
			Body: json.RawMessage(t.Body), Run: t.Run,
			Need: winch.Need{Cores: t.Need.Cores, Memory: t.Need.Memory, Accels: t.Need.Accels},
		})
	}
	a, err := c.Submit(ctx, out)
	if err != nil {
		return winch.Answer{Outcome: winch.Refused, Reason: "encode", Detail: err.Error()}
	}
	return a
}

func (l *Load) note(j *mix.Job, a winch.Answer, took time.Duration) {
	o, err := job.ParseOutcome(string(a.Outcome))
	if err != nil {
		o = job.Unknown
	}
	in := &job.Answer{Outcome: o, Reason: job.Reason(a.Reason)}
	for _, r := range a.Results {
		in.Results = append(in.Results, r)
	}
	l.judge.Answer(j.Name, in)
	l.mu.Lock()
	defer l.mu.Unlock()
	if o != job.Done {
		l.reasons[string(a.Outcome)+"/"+a.Reason]++
		return
	}
	ideal := j.Longest() + networkIdeal
	_ = l.ratio.RecordValue(int64(1000 * took.Seconds() / ideal.Seconds())) // out of range: at the top
	h := l.classes[j.Req.Class]
	if h == nil {
		h = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
		l.classes[j.Req.Class] = h
	}
	_ = h.RecordValue(took.Microseconds())
}

// Report sums up; call it when nothing runs any more.
func (l *Load) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Tally: l.judge.Verdict(), Millis: map[string]Quant{}, Reasons: l.reasons}
	r.Ratio = Ratio{
		Mean: l.ratio.Mean() / 1000,
		P50:  float64(l.ratio.ValueAtQuantile(50)) / 1000,
		P99:  float64(l.ratio.ValueAtQuantile(99)) / 1000,
	}
	for name, h := range l.classes {
		ms := func(us int64) float64 { return float64(us) / 1000 }
		r.Millis[name] = Quant{P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
	}
	return r
}
