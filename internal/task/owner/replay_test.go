package owner

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// loadKind is a kind of job in a replay.
type loadKind struct {
	rank, width int
	run         time.Duration
	rate        float64 // jobs a second
}

// ownerLoad is an eleventh of deployment A's load, which is what one of its owners gets for 32 endpoints.
var ownerLoad = []loadKind{{0, 8, 60 * time.Millisecond, 206. / 11}, {1, 2, 200 * time.Millisecond, 600. / 11}, {2, 4, 900 * time.Millisecond, 37.5 / 11}}

// arrival is a job of a replay with the true run times of its tasks.
type arrival struct {
	at        time.Duration
	job       *batch.Job
	runs      []time.Duration
	objective time.Duration
}

// drawArrivals draws a replay's jobs; factor returns what the rate of a rank is multiplied by at a time.
func drawArrivals(seed uint64, span time.Duration, factor func(rank int, at time.Duration) float64) (all []arrival) {
	r := rand.New(rand.NewPCG(seed, 5))
	normal := func(mean, sigma float64) float64 { return mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2) }
	for _, k := range ownerLoad {
		for at := time.Duration(0); at < span; {
			at += time.Duration(r.ExpFloat64() / (k.rate * factor(k.rank, at)) * float64(time.Second))
			width := max(1, int(math.Round(normal(float64(k.width), 0.4))))
			work := normal(float64(k.run), 0.4)
			a := arrival{at: at, runs: make([]time.Duration, width)}
			for i := range a.runs {
				a.runs[i] = time.Duration(normal(work, 0.15))
			}
			a.objective = time.Duration(1.6*float64(slices.Max(a.runs))) + 60*time.Millisecond
			a.job = &batch.Job{
				ID: fmt.Sprintf("%d-%d", k.rank, len(all)), Queue: fmt.Sprint("q", k.rank), Pool: "p", Rank: k.rank, Attempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond, TimeLeft: 3*a.objective + 1500*time.Millisecond,
				Steps: []batch.Step{{Count: width, Need: job.Size{Cores: min(12, normal(8, 0.2)), Memory: 0.0625}, Run: time.Duration(work * normal(1, 0.4))}},
			}
			all = append(all, a)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// replay plays a load at one owner without a network: orders take no time.
type replay struct {
	sc      *Scheduler
	now     time.Time
	ends    endHeap
	serials map[*lease.Endpoint]int64
	arrived map[string]arrival
	keys    map[Key]string
	started map[string]time.Time // first start, by job
	tasks   map[string]int       // starts, by task
	answers map[string]job.Answer
	took    map[string]time.Duration
	used    []float64 // core-seconds by rank, after from
	from    time.Duration
	held    []float64 // cores that runs hold, by rank
	cores   float64
	// onStarts, if set, is called with the starts of each event.
	onStarts func([]Start)
	overful  bool      // an endpoint had more runs than room
	tick     time.Time // when the scheduler's next Tick is due
	// usedWaiting and waiting are core-seconds in use, and of all endpoints, while jobs wait.
	usedWaiting, waiting float64
}

type runEnd struct {
	at time.Time
	Start
}

type endHeap []runEnd

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, k int) bool { return h[i].at.Before(h[k].at) }
func (h endHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(runEnd)) }
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// newReplay returns a replay of an owner with 32 endpoints, one in three of 24 cores and the others of 16.
func newReplay(cfg Config, endpoints int) *replay {
	cfg.Limits = lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond}
	cfg.RemoteFactor = 2
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	p := &replay{sc: New(cfg), now: t0, tick: t0, serials: map[*lease.Endpoint]int64{}, arrived: map[string]arrival{}, keys: map[Key]string{}, started: map[string]time.Time{}, tasks: map[string]int{}, answers: map[string]job.Answer{}, took: map[string]time.Duration{}, used: make([]float64, 3), held: make([]float64, 3)}
	for i := range endpoints {
		id := fmt.Sprintf("e%02d", i)
		p.cores += []float64{16, 16, 24}[i%3]
		p.sc.Own(lease.Info{ID: id, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80), Pool: "p", Size: job.Size{Cores: []float64{16, 16, 24}[i%3], Memory: 128}}, 7)
		p.sc.Renewed(t0, t0, p.sc.Find(id), lease.Report{Clock: 1000})
	}
	p.sc.TakeActions()
	return p
}

// apply carries out the scheduler's actions.
func (p *replay) apply() {
	a := p.sc.TakeActions()
	if p.onStarts != nil {
		p.onStarts(a.Starts)
	}
	for _, s := range a.Starts {
		p.sc.Started(p.now, s.At, s.Run)
		p.tasks[s.Run.Name]++
		p.held[s.Run.Job.(*entry).Rank] += s.Run.Need.Cores
		if _, ok := p.started[s.Run.Task.Job]; !ok {
			p.started[s.Run.Task.Job] = p.now
		}
		heap.Push(&p.ends, runEnd{p.now.Add(p.arrived[s.Run.Task.Job].runs[s.Run.Task.Index]), s})
		p.overful = p.overful || s.At.Free().Cores < -1e-9
	}
	for _, x := range a.Replies {
		id := p.keys[x.Key]
		p.answers[id], p.took[id] = x.Answer, p.now.Sub(t0.Add(p.arrived[id].at))
	}
}

// advance moves the time on and adds up the cores in use.
func (p *replay) advance(to time.Time) {
	d := to.Sub(p.now).Seconds()
	if p.now.Sub(t0) >= p.from {
		used := 0.0
		for r, held := range p.held {
			p.used[r] += d * held
			used += held
		}
		if len(p.sc.queue) > 0 {
			p.usedWaiting += d * used
			p.waiting += d * p.cores
		}
	}
	p.now = to
}

// tickEvery is how often a replay calls Tick, as a VM does.
const tickEvery = 50 * time.Millisecond

// play plays all arrivals, and then until the given time.
func (p *replay) play(all []arrival, until time.Duration) {
	for {
		next := p.tick
		if len(p.ends) > 0 && p.ends[0].at.Before(next) {
			next = p.ends[0].at
		}
		if len(all) > 0 && t0.Add(all[0].at).Before(next) {
			next = t0.Add(all[0].at)
		}
		if next.Sub(t0) > until {
			p.advance(t0.Add(until))
			return
		}
		p.advance(next)
		switch {
		case len(p.ends) > 0 && !p.ends[0].at.After(next):
			p.end(heap.Pop(&p.ends).(runEnd).Start)
		case len(all) > 0 && !t0.Add(all[0].at).After(next):
			p.submit(all[0])
			all = all[1:]
		default:
			p.sc.Tick(p.now)
			p.tick = p.tick.Add(tickEvery)
		}
		p.apply()
	}
}

func (p *replay) submit(a arrival) {
	j, k := *a.job, key(uint64(len(p.keys)))
	p.arrived[j.ID], p.keys[k] = a, j.ID
	p.sc.Submit(p.now, k, &j)
}

// end reports the end of a run with the endpoint's other runs.
func (p *replay) end(s Start) {
	p.held[s.Run.Job.(*entry).Rank] -= s.Run.Need.Cores
	if s.Run.Stage == lease.Over {
		return
	}
	p.serials[s.At]++
	r := lease.Report{Clock: p.now.Sub(t0).Milliseconds() + 1000, Ended: []lease.Ended{{Serial: p.serials[s.At], Name: s.Run.Name, Num: s.Run.Num, State: lease.Done}}}
	for _, x := range s.At.Runs {
		if x != s.Run {
			r.Running = append(r.Running, lease.Listed{Name: x.Name, Num: x.Num, Percent: 50})
		}
	}
	p.sc.Renewed(p.now, p.now, s.At, r)
}

// inTime returns how many jobs of a rank met their objective, and how many there were.
func (p *replay) inTime(rank int) (n, all int) {
	for id, a := range p.arrived {
		if a.job.Rank != rank {
			continue
		}
		all++
		if p.answers[id].Outcome == job.Done && p.took[id] <= a.objective {
			n++
		}
	}
	return n, all
}

// waits returns the sorted times from the arrival of a rank's jobs to their first start.
func (p *replay) waits(rank int) (all []time.Duration) {
	for id, at := range p.started {
		if a := p.arrived[id]; a.job.Rank == rank {
			all = append(all, at.Sub(t0.Add(a.at)))
		}
	}
	slices.Sort(all)
	return all
}

// times returns a rate that is multiplied for all ranks.
func times(x float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return x }
}

// check fails the test if a task ran twice or an endpoint had more runs than room.
func (p *replay) check(t *testing.T) {
	t.Helper()
	if p.overful {
		t.Error("an endpoint has more runs than room")
	}
	for name, n := range p.tasks {
		if n > 1 {
			t.Errorf("%s started %d times", name, n)
		}
	}
}
