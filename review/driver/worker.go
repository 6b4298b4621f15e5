package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of a small deployment, from the users' pages.
const (
	holdMax = time.Second             // hold_max_ms
	gangMax = 3 * time.Second         // gang_ms
	stopMax = 10 * time.Millisecond   // below stop_ms, 50 ms
	beat    = 1500 * time.Millisecond // heartbeat_ms
)

// work describes a task. Clients write it into a job's spec, and workers read it there.
type work struct {
	Ms       int    `json:"ms"`
	CPU      int    `json:"cpu"` // thousandths of a core
	Fail     bool   `json:"fail,omitempty"`
	Gang     int    `json:"gang,omitempty"` // number of tasks that work only together
	Requires string `json:"requires,omitempty"`
}

// start is one start of a task on a worker.
type start struct {
	at       time.Time
	worker   string
	kind     string // of the worker at that time
	task     string
	run      int
	requires string
}

// world holds all workers and what they have run.
type world struct {
	rec *record

	mu     sync.Mutex
	gangs  map[string]map[string]*taskRun // by step and run number, then by task
	starts []start
	alone  []string // tasks with runs that ended alone
}

func newWorld(rec *record) *world { return &world{rec: rec, gangs: map[string]map[string]*taskRun{}} }

// startsOf returns the starts of a job's tasks.
func (w *world) startsOf(job string) (all []start) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.starts {
		if strings.HasPrefix(s.task, job+".") {
			all = append(all, s)
		}
	}
	return all
}

// taskRun is a task that a worker runs.
type taskRun struct {
	on     *worker
	task   string
	num    int
	work   work
	workAt time.Time // when it began to work; zero while a gang is not complete
	over   bool
}

func (r *taskRun) gang() string {
	return r.task[:strings.LastIndexByte(r.task, '.')] + "/" + fmt.Sprint(r.num)
}

func (r *taskRun) percent() int {
	if r.workAt.IsZero() {
		return 0
	}
	return min(99, int(100*time.Since(r.workAt).Milliseconds())/max(1, r.work.Ms))
}

// worker is one worker; its fields are guarded by the world's lock. A crash clears what it holds and knows.
type worker struct {
	w    *world
	id   string
	zone string
	cpu  int

	addr    string
	kind    string
	up      bool
	born    time.Time
	seq     int
	fence   uint64
	until   time.Time // end of the lease
	runs    map[string]*taskRun
	highest map[string]int // by task, the highest run that was stopped or ended
	ends    [][]any
	serial  int64
	changed chan struct{}
	server  *http.Server
}

func newWorker(w *world, id, zone, kind string, cpu int) *worker {
	return &worker{w: w, id: id, zone: zone, kind: kind, cpu: cpu, addr: "127.0.0.1:0"}
}

// boot starts the worker's process, of the given kind, at the address that it had.
func (k *worker) boot(kind string) error {
	l, err := net.Listen("tcp", k.addr)
	if err != nil {
		return fmt.Errorf("boot worker: %w", err)
	}
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	k.addr, k.kind, k.up, k.born = l.Addr().String(), kind, true, time.Now()
	k.seq, k.fence, k.until, k.serial, k.ends = 0, 0, time.Time{}, 0, nil
	k.runs, k.highest, k.changed = map[string]*taskRun{}, map[string]int{}, make(chan struct{})
	k.server = &http.Server{Handler: k}
	go k.server.Serve(l) //nolint:errcheck // it ends with the worker
	return nil
}

// crash ends the worker's process with all that it runs.
func (k *worker) crash() error {
	k.w.mu.Lock()
	k.up = false
	for _, r := range k.runs {
		r.over = true
		k.w.leaveGang(r)
	}
	k.runs = map[string]*taskRun{}
	s := k.server
	k.w.mu.Unlock()
	if err := s.Close(); err != nil {
		return fmt.Errorf("crash worker: %w", err)
	}
	return nil
}

// entry returns the worker's report about itself; nil while it is down.
func (k *worker) entry() []byte {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	if !k.up {
		return nil
	}
	k.seq++
	text, err := json.Marshal(map[string]any{
		"service": service, "address": k.addr, "zone": k.zone, "version": "1", "slots": 8, "state": "ready", "seq": k.seq, "born": k.born.UnixMilli(),
		"capacity": map[string]int{"cpu": k.cpu, "mem_mb": 131072}, "labels": []string{k.kind, "rack-" + k.zone},
	})
	if err != nil {
		panic(err) // plain values
	}
	return text
}

func (k *worker) clock() int64 { return time.Since(k.born).Milliseconds() }

// order has the fields of all calls to a worker.
type order struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	Until  int64  `json:"until_ms"`
	Fence  uint64 `json:"fence"`
	Cursor int64  `json:"ack_cursor"`
	Wait   int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Dahliawinch-Expect-Instance") != k.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/v1/hold" {
		k.hold(rw, &o)
		return
	}
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	reason := "fence"
	if o.Fence >= k.fence {
		k.fence = o.Fence
		if r.URL.Path == "/v1/run-start" {
			reason = k.start(&o)
		} else {
			reason = k.stop(&o)
		}
	}
	body := map[string]any{"clock_ms": k.clock()}
	if reason != "" {
		k.w.rec.add("%s %s run %d refused: %s", k.id, o.Task, o.Run, reason)
		body["reason"] = reason
		rw.WriteHeader(http.StatusConflict)
	}
	writeJSON(rw, body)
}

func writeJSON(rw http.ResponseWriter, body any) {
	if err := json.NewEncoder(rw).Encode(body); err != nil {
		return // the caller has left
	}
}

// start carries out a start and returns the reason of a refusal.
func (k *worker) start(o *order) string {
	if o.Until <= k.clock() {
		return "late"
	}
	k.extend(o.Until)
	if r := k.runs[o.Task]; r != nil && r.num == o.Run {
		return ""
	}
	if o.Run <= k.highest[o.Task] {
		return "old"
	}
	var t work
	if err := json.Unmarshal([]byte(o.Spec), &t); err != nil {
		return "room"
	}
	used := t.CPU
	for _, r := range k.runs {
		used += r.work.CPU
	}
	if used > k.cpu {
		return "room"
	}
	r := &taskRun{on: k, task: o.Task, num: o.Run, work: t}
	k.runs[o.Task] = r
	k.w.starts = append(k.w.starts, start{time.Now(), k.id, k.kind, o.Task, o.Run, t.Requires})
	k.w.rec.add("%s (kind %s) starts %s run %d spec %s", k.id, k.kind, o.Task, o.Run, o.Spec)
	k.w.begin(r)
	return ""
}

// begin lets a run work, a gang once all of its tasks are present.
func (w *world) begin(r *taskRun) {
	members := map[string]*taskRun{r.task: r}
	if r.work.Gang > 0 {
		if w.gangs[r.gang()] == nil {
			w.gangs[r.gang()] = map[string]*taskRun{}
		}
		members = w.gangs[r.gang()]
		members[r.task] = r
		if len(members) < r.work.Gang {
			time.AfterFunc(gangMax, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if r.workAt.IsZero() {
					w.end(r, "alone")
				}
			})
			return
		}
	}
	for _, m := range members {
		m.workAt = time.Now()
	}
	how := "done"
	if r.work.Fail {
		how = "failed"
	}
	time.AfterFunc(time.Duration(r.work.Ms)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, m := range members {
			w.end(m, how)
		}
	})
}

// end ends a run and lists its end. The caller holds the lock.
func (w *world) end(r *taskRun, how string) {
	if r.over {
		return
	}
	r.over = true
	k := r.on
	delete(k.runs, r.task)
	k.highest[r.task] = max(k.highest[r.task], r.num)
	k.serial++
	k.ends = append(k.ends, []any{k.serial, r.task, r.num, how, ""})
	close(k.changed)
	k.changed = make(chan struct{})
	w.rec.add("%s ends %s run %d: %s", k.id, r.task, r.num, how)
	if how == "alone" {
		w.alone = append(w.alone, r.task)
	}
	if how != "done" && how != "failed" {
		w.leaveGang(r)
	}
}

// leaveGang removes a run from its gang; the others end if they were at work. The caller holds the lock.
func (w *world) leaveGang(r *taskRun) {
	if r.work.Gang == 0 {
		return
	}
	members := w.gangs[r.gang()]
	delete(members, r.task)
	if r.workAt.IsZero() {
		return
	}
	for _, m := range members {
		w.end(m, "broken")
	}
}

// stop carries out a stop.
func (k *worker) stop(o *order) string {
	k.highest[o.Task] = max(k.highest[o.Task], o.Run)
	if r := k.runs[o.Task]; r != nil && r.num == o.Run {
		k.w.rec.add("%s is told to stop %s run %d", k.id, o.Task, o.Run)
		time.AfterFunc(stopMax, func() {
			k.w.mu.Lock()
			defer k.w.mu.Unlock()
			k.w.end(r, "stopped")
		})
	}
	return ""
}

// extend extends the lease, which never gets shorter.
func (k *worker) extend(until int64) {
	at := time.Now().Add(min(holdMax, time.Duration(until-k.clock())*time.Millisecond))
	if !at.After(k.until) {
		return
	}
	k.until = at
	born := k.born
	time.AfterFunc(time.Until(at)+time.Millisecond, func() {
		k.w.mu.Lock()
		defer k.w.mu.Unlock()
		if !k.up || !k.born.Equal(born) || time.Now().Before(k.until) {
			return
		}
		for _, r := range k.runs {
			k.w.end(r, "lapsed")
		}
	})
}

// hold renews the lease, forgets acknowledged ends and waits for an end.
func (k *worker) hold(rw http.ResponseWriter, o *order) {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	if o.Fence < k.fence {
		rw.WriteHeader(http.StatusConflict)
		writeJSON(rw, map[string]any{"clock_ms": k.clock(), "reason": "fence"})
		return
	}
	k.fence = o.Fence
	for len(k.ends) > 0 && k.ends[0][0].(int64) <= o.Cursor {
		k.ends = k.ends[1:]
	}
	if o.Until > 0 {
		k.extend(o.Until)
	}
	until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	for k.up && len(k.ends) == 0 && time.Now().Before(until) {
		changed := k.changed
		k.w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		}
		k.w.mu.Lock()
	}
	running, finished := [][]any{}, append([][]any{}, k.ends...)
	for _, r := range k.runs {
		running = append(running, []any{r.task, r.num, "", r.percent(), r.work.CPU})
	}
	writeJSON(rw, map[string]any{"clock_ms": k.clock(), "born": k.born.UnixMilli(), "running": running, "finished": finished})
}
