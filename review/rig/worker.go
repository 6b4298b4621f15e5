package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the small sites that the workers keep to.
const (
	holdMax   = time.Second
	stopTime  = 50 * time.Millisecond
	gangWait  = 3 * time.Second
	linkDelay = time.Millisecond     // one way between a daemon and a worker
	startTime = 5 * time.Millisecond // until a worker answers an order to start
	// lateBy is how late a late order is carried out; the pages say 2 to 12 s.
	lateBy    = 4 * time.Second
	reportGap = 1500 * time.Millisecond
)

// taskDef says how the tasks of a step run.
type taskDef struct {
	Count int
	CPU   int           // thousandths of a core
	Run   time.Duration // on a sound worker
	Gang  bool
	After []int
}

// world holds what all workers share: the clients' jobs and the gangs.
type world struct {
	mu    sync.Mutex
	rec   *record
	jobs  map[string][]taskDef
	gangs map[string]*gang // by step and run number
	// onStart and onEnd are called with the lock held.
	onStart func(w *worker, r *run)
	onEnd   func(w *worker, r *run, how string)
	// late tells whether an order to start is carried out late.
	late func(w *worker, o workerCall) bool
}

type gang struct {
	members []*run
	working bool
}

type run struct {
	at      *worker
	task    string
	job     string
	step    int
	num     int
	def     taskDef
	began   time.Time
	working time.Time // since when it works; zero for a gang's member that waits
	timer   *time.Timer
	gang    *gang
	ending  bool // being stopped
}

type endRow struct {
	n    int64
	task string
	num  int
	how  string
}

type runKey struct {
	task string
	num  int
}

// worker is a worker that guards its capacity.
type worker struct {
	world    *world
	id, zone string
	cpu      int
	addr     string
	srv      *http.Server
	down     atomic.Bool
	boot     time.Time

	fence  uint64
	until  time.Time
	runs   map[runKey]*run
	past   map[string]int // by task, the highest run that was stopped or ended
	ends   []endRow
	serial int64
	news   chan struct{}
	seq    int
}

func newWorld(rec *record) *world {
	return &world{rec: rec, jobs: map[string][]taskDef{}, gangs: map[string]*gang{}, onStart: func(*worker, *run) {}, onEnd: func(*worker, *run, string) {}, late: func(*worker, workerCall) bool { return false }}
}

// addJob makes the tasks of a job known to the workers.
func (x *world) addJob(id string, steps []taskDef) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.jobs[id] = steps
}

// newWorker starts a worker.
func (x *world) newWorker(id, zone string, cpu int) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("worker %s: %w", id, err)
	}
	w := &worker{world: x, id: id, zone: zone, cpu: cpu, addr: l.Addr().String(), boot: time.Now(), runs: map[runKey]*run{}, past: map[string]int{}, news: make(chan struct{})}
	w.serve(l)
	return w, nil
}

func (w *worker) serve(l net.Listener) {
	w.srv = &http.Server{Handler: w}
	go func() { _ = w.srv.Serve(l) }()
}

// crash ends the worker's process and everything that runs there.
func (w *worker) crash() {
	w.down.Store(true)
	_ = w.srv.Close()
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	for _, r := range w.sorted() {
		r.timer.Stop()
		delete(w.runs, runKey{r.task, r.num})
		w.world.rec.add("%s loses %s run %d", w.id, r.task, r.num)
		w.world.onEnd(w, r, "lost")
	}
	w.world.rec.add("%s is down", w.id)
}

// restart starts the worker again under its ID and at its address. It knows nothing of before, and
// its clock and its counts start anew.
func (w *worker) restart() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.id, err)
	}
	w.world.mu.Lock()
	w.boot, w.fence, w.until, w.past, w.ends, w.serial, w.seq = time.Now(), 0, time.Time{}, map[string]int{}, nil, 0, 0
	w.world.rec.add("%s is up again", w.id)
	w.world.mu.Unlock()
	w.down.Store(false)
	w.serve(l)
	return nil
}

// entry returns the worker's report about itself.
func (w *worker) entry() []byte {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.seq++
	text, err := json.Marshal(map[string]any{
		"service": service, "address": w.addr, "zone": w.zone, "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": w.seq, "born": w.boot.UnixMilli(),
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": 65536, "gpu": 0}, "labels": []string{"kind-a", "rack-" + w.zone},
	})
	if err != nil {
		panic(err) // plain values
	}
	return text
}

type workerCall struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	Until  int64  `json:"until_ms"`
	Fence  uint64 `json:"fence"`
	Cursor int64  `json:"ack_cursor"`
	Wait   int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var o workerCall
	if err != nil || json.Unmarshal(body, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(linkDelay)
	if r.Header.Get("Dahliawinch-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if x := w.world; r.URL.Path == "/v1/run-start" && x.late(w, o) {
		x.rec.add("%s gets the order to start %s run %d and leaves it unanswered for %s", w.id, o.Task, o.Run, lateBy)
		time.AfterFunc(lateBy, func() {
			if !w.down.Load() {
				status, answer := w.start(o)
				x.rec.add("%s carries the late order to start %s run %d out: %d %v", w.id, o.Task, o.Run, status, answer["reason"])
			}
		})
		<-r.Context().Done()
		return
	}
	var status int
	var answer map[string]any
	switch r.URL.Path {
	case "/v1/run-start":
		time.Sleep(startTime)
		status, answer = w.start(o)
	case "/v1/run-stop":
		status, answer = w.stop(o)
	case "/v1/hold":
		status, answer = w.hold(o)
	default:
		status = http.StatusNotFound
	}
	time.Sleep(linkDelay)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(answer)
}

func (w *worker) clock() int64 { return (time.Since(w.boot) + time.Hour).Milliseconds() }

func (w *worker) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason}
}

func (w *worker) start(o workerCall) (int, map[string]any) {
	x := w.world
	x.mu.Lock()
	defer x.mu.Unlock()
	key := runKey{o.Task, o.Run}
	if o.Fence < w.fence {
		return w.refuse("fence")
	}
	w.fence = o.Fence
	if o.Until <= w.clock() {
		return w.refuse("late")
	}
	w.extend(o.Until)
	if w.runs[key] != nil {
		return http.StatusOK, map[string]any{"clock_ms": w.clock()}
	}
	if o.Run <= w.past[o.Task] || w.runsHigher(key) {
		x.rec.add("%s refuses start of %s run %d: old", w.id, o.Task, o.Run)
		return w.refuse("old")
	}
	job, step, ok := splitTask(o.Task)
	if !ok || x.jobs[job] == nil || step >= len(x.jobs[job]) {
		return http.StatusBadRequest, map[string]any{}
	}
	def := x.jobs[job][step]
	used := 0
	for _, r := range w.runs {
		used += r.def.CPU
	}
	if used+def.CPU > w.cpu {
		x.rec.add("%s refuses start of %s run %d: room", w.id, o.Task, o.Run)
		return w.refuse("room")
	}
	w.begin(&run{at: w, task: o.Task, job: job, step: step, num: o.Run, def: def, began: time.Now()})
	return http.StatusOK, map[string]any{"clock_ms": w.clock()}
}

// runsHigher reports whether a higher run of the task is here.
func (w *worker) runsHigher(key runKey) bool {
	for k := range w.runs {
		if k.task == key.task && k.num > key.num {
			return true
		}
	}
	return false
}

// splitTask returns the job and the step of a task's name, ID.K.STEP.INDEX.
func splitTask(task string) (job string, step int, ok bool) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return "", 0, false
	}
	for _, c := range p[2] {
		step = 10*step + int(c-'0')
	}
	return p[0], step, true
}

// begin starts a run; the caller holds the lock.
func (w *worker) begin(r *run) {
	x := w.world
	w.runs[runKey{r.task, r.num}] = r
	x.rec.add("%s starts %s run %d", w.id, r.task, r.num)
	x.onStart(w, r)
	if !r.def.Gang {
		r.work()
		return
	}
	key := r.task[:strings.LastIndexByte(r.task, '.')] + "/" + itoa(r.num)
	g := x.gangs[key]
	if g == nil {
		g = &gang{}
		x.gangs[key] = g
	}
	r.gang = g
	g.members = append(g.members, r)
	if len(g.members) < r.def.Count {
		r.timer = time.AfterFunc(gangWait, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if !g.working && !r.ended() {
				w.end(r, "alone")
			}
		})
		return
	}
	g.working = true
	for _, m := range g.members {
		if m.timer != nil {
			m.timer.Stop()
		}
		m.work()
	}
}

func (r *run) ended() bool { return r.at.runs[runKey{r.task, r.num}] != r }

// work lets a run work until its end; the caller holds the lock.
func (r *run) work() {
	r.working = time.Now()
	r.timer = time.AfterFunc(r.def.Run, func() {
		x := r.at.world
		x.mu.Lock()
		defer x.mu.Unlock()
		if r.ended() {
			return
		}
		if r.gang == nil {
			r.at.end(r, "done")
			return
		}
		for _, m := range r.gang.members { // they end together
			if !m.ended() {
				m.at.end(m, "done")
			}
		}
	})
}

// end ends a run; the caller holds the lock.
func (w *worker) end(r *run, how string) {
	key := runKey{r.task, r.num}
	r.timer.Stop()
	delete(w.runs, key)
	w.past[r.task] = max(w.past[r.task], r.num)
	w.serial++
	w.ends = append(w.ends, endRow{w.serial, r.task, r.num, how})
	w.world.rec.add("%s ends %s run %d: %s", w.id, r.task, r.num, how)
	w.world.onEnd(w, r, how)
	close(w.news)
	w.news = make(chan struct{})
	if r.gang == nil || how == "done" {
		return
	}
	g := r.gang
	for _, m := range g.members {
		if !m.ended() {
			m.at.end(m, "broken")
		}
	}
	g.members, g.working = nil, false
}

func (w *worker) extend(until int64) {
	left := min(time.Duration(until-w.clock())*time.Millisecond, holdMax)
	if at := time.Now().Add(left); at.After(w.until) {
		w.until = at
	}
	time.AfterFunc(max(0, time.Until(w.until))+time.Millisecond, func() {
		w.world.mu.Lock()
		defer w.world.mu.Unlock()
		if time.Now().Before(w.until) {
			return
		}
		for _, r := range w.sorted() {
			if !r.ended() {
				w.end(r, "lapsed")
			}
		}
	})
}

func (w *worker) sorted() (all []*run) {
	for _, r := range w.runs {
		all = append(all, r)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].began.Before(all[k].began) })
	return all
}

func (w *worker) stop(o workerCall) (int, map[string]any) {
	x := w.world
	x.mu.Lock()
	defer x.mu.Unlock()
	if o.Fence < w.fence {
		return w.refuse("fence")
	}
	w.fence = o.Fence
	w.past[o.Task] = max(w.past[o.Task], o.Run)
	if r := w.runs[runKey{o.Task, o.Run}]; r != nil && !r.ending {
		r.ending = true
		time.AfterFunc(stopTime/2, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if !r.ended() {
				w.end(r, "stopped")
			}
		})
	}
	return http.StatusOK, map[string]any{"clock_ms": w.clock()}
}

func (w *worker) hold(o workerCall) (int, map[string]any) {
	x := w.world
	x.mu.Lock()
	defer x.mu.Unlock()
	if o.Fence < w.fence {
		return w.refuse("fence")
	}
	w.fence = o.Fence
	for len(w.ends) > 0 && w.ends[0].n <= o.Cursor {
		w.ends = w.ends[1:]
	}
	if o.Until > w.clock() {
		w.extend(o.Until)
	}
	if wait := time.Duration(o.Wait) * time.Millisecond; wait > 0 && len(w.ends) == 0 {
		news := w.news
		x.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-news:
		case <-t.C:
		}
		t.Stop()
		x.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.sorted() {
		running = append(running, []any{r.task, r.num, "", r.percent(), r.def.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.n, e.task, e.num, e.how, ""})
	}
	return http.StatusOK, map[string]any{"clock_ms": w.clock(), "running": running, "finished": finished, "born": w.boot.UnixMilli()}
}

func (r *run) percent() int {
	if r.working.IsZero() {
		return 0
	}
	return min(99, int(100*time.Since(r.working)/r.def.Run))
}
