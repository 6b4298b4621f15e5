// Package load is an open-loop load generator: jobs are sent at their due times
// and latency is measured from then, so that a stalled server can't hide its
// delay (coordinated omission).
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

// Plan describes a load.
type Plan struct {
	Targets    []netip.AddrPort // caller addresses of the entry VMs
	Mix        mix.Mix
	Rate       float64 // jobs per second
	Span       time.Duration
	Seed       uint64
	Burst      float64       // factor on Rate during the burst; 0 for no burst
	BurstStart time.Duration // start of the burst
	BurstEnd   time.Duration // end of the burst
}

// Report sums up the answers that callers received.
type Report struct {
	judge.Tally
	Ratio   Ratio                `json:"ratio"`
	Millis  map[string]Quantiles `json:"millis"` // response times of done jobs by class
	Reasons map[string]int       `json:"reasons,omitempty"`
}

// Ratio is response time over ideal time of done jobs.
type Ratio struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
}

// Quantiles holds response times in milliseconds.
type Quantiles struct {
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
	refused sync.Map // indexes of targets that refused a connection -> time

	mu      sync.Mutex
	ratio   *hdrhistogram.Histogram // thousandths
	classes map[string]*hdrhistogram.Histogram
	reasons map[string]int
}

const (
	// networkIdeal is the network's part of the ideal response time; it is zero on
	// loopback.
	networkIdeal = 0
	// refusedSkip is how long a target is skipped after it refused a connection.
	refusedSkip = time.Second
)

// New returns a Load that reports jobs and answers to a judge.
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

// Progress returns the numbers of jobs that were sent and that ended.
func (l *Load) Progress() (sent, ended int64) { return l.sent.Load(), l.ended.Load() }

// Run executes the plan and waits for all answers.
func (l *Load) Run(ctx context.Context) {
	r := rand.New(rand.NewPCG(l.plan.Seed, 7))
	began := time.Now()
	due := began
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		rate := l.plan.Rate
		if elapsed := due.Sub(began); l.plan.Burst > 0 && elapsed >= l.plan.BurstStart && elapsed < l.plan.BurstEnd {
			rate *= l.plan.Burst
		}
		due = due.Add(mix.Gap(r, rate))
		if due.Sub(began) >= l.plan.Span {
			break
		}
		j := l.plan.Mix.Draw(r, fmt.Sprintf("load-%d-%d", l.plan.Seed, n))
		pick := r.IntN(len(l.plan.Targets))
		sleep(ctx, time.Until(due))
		elapsed := due
		wg.Go(func() { l.send(ctx, j, pick, elapsed) })
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

// send submits a job. A VM that refuses the connection received nothing, so send
// tries the next one, as a load balancer does.
func (l *Load) send(ctx context.Context, j *mix.Job, pick int, due time.Time) {
	l.sent.Add(1)
	l.judge.Submit(j.Name, len(j.Req.Tasks))
	clients := l.clients[j.Kind.Key]
	var a winch.Answer
	for range len(clients) {
		c := pick % len(clients)
		pick++
		if at, ok := l.refused.Load(c); ok && time.Since(at.(time.Time)) < refusedSkip {
			continue
		}
		a = l.submit(ctx, clients[c], j)
		if a.Reason != "connect" {
			break
		}
		l.refused.Store(c, time.Now())
	}
	l.ended.Add(1)
	l.record(j, a, time.Since(due))
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

func (l *Load) record(j *mix.Job, a winch.Answer, took time.Duration) {
	o, err := job.ParseOutcome(string(a.Outcome))
	if err != nil {
		o = job.Unknown
	}
	answer := &job.Answer{Outcome: o, Reason: job.Reason(a.Reason)}
	for _, r := range a.Results {
		answer.Results = append(answer.Results, r)
	}
	l.judge.Answer(j.Name, answer)
	l.mu.Lock()
	defer l.mu.Unlock()
	if o != job.Done {
		l.reasons[string(a.Outcome)+"/"+a.Reason]++
		return
	}
	ideal := j.Longest() + networkIdeal
	_ = l.ratio.RecordValue(int64(1000 * took.Seconds() / ideal.Seconds())) // an out-of-range value is not counted
	h := l.classes[j.Req.Class]
	if h == nil {
		h = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
		l.classes[j.Req.Class] = h
	}
	_ = h.RecordValue(took.Microseconds())
}

// Report returns the results. Call it when nothing runs any more.
func (l *Load) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Tally: l.judge.Verdict(), Millis: map[string]Quantiles{}, Reasons: l.reasons}
	r.Ratio = Ratio{
		Mean: l.ratio.Mean() / 1000,
		P50:  float64(l.ratio.ValueAtQuantile(50)) / 1000,
		P99:  float64(l.ratio.ValueAtQuantile(99)) / 1000,
	}
	for name, h := range l.classes {
		ms := func(us int64) float64 { return float64(us) / 1000 }
		r.Millis[name] = Quantiles{P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
	}
	return r
}
