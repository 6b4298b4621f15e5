package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/lease"
	"dahliawinch/platform/stand"
)

const (
	// watched is how many tasks the watched job has. Each needs nearly a whole endpoint of one rack.
	watched     = 3
	watchedRack = "r0-0"
	// restartAfter is the time from the watched job's first run to the end of its endpoint's process, and restartGap
	// the further time for each next endpoint.
	restartAfter = 2800 * time.Millisecond
	restartGap   = 130 * time.Millisecond
	// downFor is half a period of srv_flap.
	downFor = 700 * time.Millisecond
	// lateBy is how long after the restart of its endpoint a late order is carried out.
	lateBy = 40 * time.Millisecond
	// watchedDeadline is how long the watched job's client waits.
	watchedDeadline = 20 * time.Second
	// unansweredFor is how long a call without an answer keeps its channel open.
	unansweredFor = 3 * time.Second
)

// order is a start order.
type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Fence uint64 `json:"fence"`
	id    string // of the endpoint's process that it is for
	at    *fakes.Leased
	came  time.Time
}

// lateOrders leaves the first order to start each task of a job unanswered, and keeps it to be carried out later.
type lateOrders struct {
	g     *rig
	tasks []string

	mu   sync.Mutex
	kept []order
}

// take keeps an order that is to be carried out late, and reports whether the call was one.
func (l *lateOrders) take(ctx *fasthttp.RequestCtx, e *fakes.Leased) bool {
	var o order
	if string(ctx.Path()) != "/v1/run-start" || json.Unmarshal(ctx.PostBody(), &o) != nil || !slices.Contains(l.tasks, o.Task) {
		return false
	}
	o.id, o.at, o.came = string(ctx.Request.Header.Peek("Dahliawinch-Expect-Instance")), e, time.Now()
	l.mu.Lock()
	known := slices.ContainsFunc(l.kept, func(x order) bool { return x.Task == o.Task })
	if !known {
		l.kept = append(l.kept, o)
	}
	l.mu.Unlock()
	if known {
		return false
	}
	l.g.note("order to start %s run %d at %s is left unanswered", o.Task, o.Run, e.ID)
	time.Sleep(unansweredFor)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {}) // which closes the channel
	return true
}

// all returns the orders that are kept.
func (l *lateOrders) all() []order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.kept)
}

// carryOut carries a kept order out.
func (g *rig) carryOut(o *order) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := o.at.Start(ctx, o.id, agent.Start{Name: lease.RunID{Task: o.Task, Num: o.Run}, Spec: o.Spec, Until: o.Until, Fence: o.Fence})
	g.note("order to start %s run %d at %s carried out %s late: err=%v", o.Task, o.Run, o.at.ID, time.Since(o.came).Round(time.Millisecond), err)
}

// playLate lets the first runs of a job's tasks fail once by their own fault, so that the tasks run again elsewhere. With
// trouble, the first order to start each got no answer, and it is carried out after its endpoint has started again.
func playLate(g *rig) (broken []string, err error) {
	s := g.newJob(step{Count: watched, CPU: 60000, Mem: 64, Estimate: 10000, Requires: watchedRack})
	g.ledger.failFirst(s.id)
	late := &lateOrders{g: g}
	if g.trouble {
		for i := range watched {
			late.tasks = append(late.tasks, fmt.Sprintf("%s.0.0.%d", s.id, i))
		}
	}
	g.late = late
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { g.usualWork(stop) })
	time.Sleep(2 * time.Second)
	handed := make(chan answer, 1)
	began := time.Now()
	go func() { handed <- g.post(g.vms[0], prefix+s.id, s.body, watchedDeadline) }()
	time.Sleep(time.Until(began.Add(restartAfter)))
	for i, o := range late.all() {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * restartGap)
			g.restart(o.at)
			time.Sleep(lateBy)
			g.carryOut(&o)
		})
	}
	a := <-handed
	close(stop)
	wg.Wait()
	if a.status != http.StatusOK {
		return nil, fmt.Errorf("the watched job: %s: %w", a, errNoneJudged)
	}
	return g.twice(s.id), nil
}

// usualWork sends small jobs to endpoints of other racks.
func (g *rig) usualWork(stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		wg.Go(func() {
			s := g.newJob(step{Count: 4, CPU: 2000, Mem: 64, Estimate: 200, Requires: fmt.Sprintf("r%d-1", i%small.zones)})
			g.post(g.vms[i%len(g.vms)], prefix+s.id, s.body, callDeadline)
		})
	}
}

// restart lets an endpoint's process end and start again under its ID.
func (g *rig) restart(e *fakes.Leased) {
	g.note("%s goes down", e.ID)
	e.GoDown()
	time.Sleep(downFor)
	e.Restart()
	g.store.Put(stand.Workers, e.ID, stand.Entry(e.CurrentInfo()))
	g.note("%s is up again and listed, born %d", e.ID, e.CurrentInfo().Born)
}

// twice names the tasks of a job of which two runs went on at a time at different endpoints.
func (g *rig) twice(id string) (broken []string) {
	runs := g.ledger.of(id)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task != b.task || a.ep == b.ep {
				continue
			}
			from := a.start
			if b.start.After(from) {
				from = b.start
			}
			if both := min(a.until().Sub(from), b.until().Sub(from)); both > 0 {
				broken = append(broken, fmt.Sprintf("TWICE: %s ran as run %d at %s and as run %d at %s, both for %s", a.task, a.num, a.ep, b.num, b.ep, both.Round(time.Millisecond)))
			}
		}
	}
	return broken
}

// until returns when a run has ended, or now.
func (r *run) until() time.Time {
	if r.end.IsZero() {
		return time.Now()
	}
	return r.end
}
