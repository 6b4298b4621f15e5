package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

var (
	t0     = time.Unix(1_700_000_000, 0)
	limits = Limits{Hold: time.Second, Stop: 50 * time.Millisecond}
	need   = job.Size{Cores: 10}
)

func endpoint() *Endpoint {
	e := New(Info{ID: "e", Size: job.Size{Cores: 64}}, 7, limits)
	e.ApplyReport(t0, t0, Report{Clock: 1000})
	return e
}

func task(n int) batch.Task { return batch.Task{Job: "j", Index: n} }

func TestCapacityIsHeldUntilEndIsListed(t *testing.T) {
	is := is.New(t)
	e := endpoint()
	r := e.Start(t0, task(0), 1, need)
	is.Equal(e.Free().Cores, 54.0)
	is.True(e.Started(t0, r))
	e.Stop(r)
	e.Stopped(t0.Add(time.Millisecond), RunID{r.Name, 1})
	is.Equal(e.Free().Cores, 54.0) // a confirmed stop has not ended the run yet
	over, _ := e.ApplyReport(t0.Add(40*time.Millisecond), t0.Add(30*time.Millisecond), Report{Clock: 1040, Ended: []Ended{{Serial: 1, Name: r.Name, Num: 1, State: Gone}}})
	is.Equal(len(over), 1)
	is.Equal(e.Free().Cores, 64.0)
	is.Equal(e.Cursor, int64(1))
	over, _ = e.ApplyReport(t0, t0, Report{Ended: []Ended{{Serial: 1, Name: r.Name, Num: 1, State: Done}}})
	is.Equal(len(over), 0) // listed again: already applied
}

// Guards against a task that runs twice: a start gets no answer and the task is started
// elsewhere, then the first order arrives after all. An unlisted run must not count as
// never begun while its delayed start can still arrive.
func TestUnansweredStartNeedsConfirmedStop(t *testing.T) {
	is := is.New(t)
	e := endpoint()
	r := e.Start(t0, task(0), 1, need)
	at := t0.Add(100 * time.Millisecond)
	over, _ := e.ApplyReport(at, at, Report{Clock: 1100})
	is.Equal(len(over), 0) // it may still begin
	e.Stop(r)
	over, _ = e.ApplyReport(at, at, Report{Clock: 1100})
	is.Equal(len(over), 0) // it still may
	e.Stopped(at, RunID{r.Name, 1})
	over, _ = e.ApplyReport(at, at.Add(-time.Millisecond), Report{Clock: 1100})
	is.Equal(len(over), 0) // renewal sent before the stop was confirmed
	over, _ = e.ApplyReport(at, at.Add(time.Millisecond), Report{Clock: 1100})
	is.Equal(len(over), 1)
	is.Equal(over[0].State, Gone)
}

// Guards against a task that runs twice: an endpoint stops answering, and its tasks are
// started elsewhere before its lease has expired.
func TestSilentEndpointKeepsRunsUntilLeaseEnds(t *testing.T) {
	is := is.New(t)
	e := endpoint()
	r := e.Start(t0, task(0), 1, need)
	e.RenewUntil(t0)
	e.Started(t0, r)
	e.MarkSilent()
	is.Equal(len(e.ExpireLease(t0.Add(900*time.Millisecond))), 0)
	is.Equal(len(e.ExpireLease(t0.Add(960*time.Millisecond))), 1) // 0.9 s, a 2 % slow clock and expiryGrace
}

// Guards against a resubmitted job that runs beside its first submission: an owner dies, and
// the next one starts work on an endpoint, and renews its lease, while old runs go on there.
func TestNewOwnerWaitsForOrphansToEnd(t *testing.T) {
	is := is.New(t)
	e := New(Info{ID: "e", Size: job.Size{Cores: 64}}, 7, limits)
	_, orphans := e.ApplyReport(t0, t0, Report{Running: []Listed{{Name: "x.0.0.0", Num: 1}}})
	is.Equal(orphans, []Orphan{{"x.0.0.0", 1}})
	is.True(!e.Open())
	_, orphans = e.ApplyReport(t0.Add(orphanRetry), t0, Report{Running: []Listed{{Name: "x.0.0.0", Num: 1}}})
	is.Equal(len(orphans), 1) // the stop may have been lost
	e.ApplyReport(t0.Add(time.Second), t0, Report{Ended: []Ended{{Serial: 3, Name: "x.0.0.0", Num: 1, State: Gone}}})
	is.True(e.Open())
}

func TestLeaseAllowsForSlowClock(t *testing.T) {
	is := is.New(t)
	e := endpoint()
	is.Equal(e.RenewUntil(t0), int64(1900))
	is.Equal(e.RenewUntil(t0.Add(10*time.Second)), int64(1000+9800+900)) // the clock may be 2 % slow
}

// world simulates an endpoint that may execute orders late, next to the owner's view of it.
type world struct {
	e       *Endpoint
	now     time.Time
	running map[RunID]bool
	past    map[string]int
	ends    []Ended
	serial  int64
	late    []RunID // starts still in transit
	num     int
	views   []*Run
}

func (w *world) begin(n RunID) {
	if n.Num > w.past[n.Task] && !w.running[n] {
		w.running[n] = true
	}
}

func (w *world) end(n RunID, how EndState) {
	if !w.running[n] {
		return
	}
	delete(w.running, n)
	w.past[n.Task] = max(w.past[n.Task], n.Num)
	w.serial++
	w.ends = append(w.ends, Ended{w.serial, n.Task, n.Num, how})
}

func (w *world) report() (r Report) {
	for n := range w.running {
		r.Running = append(r.Running, Listed{Name: n.Task, Num: n.Num})
	}
	r.Ended = append(r.Ended, w.ends...)
	return r
}

// For any order of starts, lost answers, late orders, stops and renewals: a run that the
// owner considers over neither runs nor can still begin.
func TestFinishedRunsNeverRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{e: endpoint(), now: t0, running: map[RunID]bool{}, past: map[string]int{}}
		check := func(over []Finished) {
			for _, f := range over {
				n := RunID{f.Run.Name, f.Run.Num}
				mayBegin := false
				for _, l := range w.late {
					mayBegin = mayBegin || (l == n && n.Num > w.past[n.Task])
				}
				if w.running[n] || mayBegin {
					t.Fatalf("%v counts as over, but runs or may begin", n)
				}
			}
		}
		pick := func() *Run {
			if len(w.views) == 0 {
				t.Skip("no run")
			}
			return w.views[rapid.IntRange(0, len(w.views)-1).Draw(t, "run")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				w.num++
				r := w.e.Start(w.now, task(rapid.IntRange(0, 2).Draw(t, "task")), w.num, need)
				w.views = append(w.views, r)
				n := RunID{r.Name, r.Num}
				switch rapid.IntRange(0, 2).Draw(t, "fate") {
				case 0:
					w.begin(n)
					w.e.Started(w.now, r)
				case 1:
					w.begin(n) // and the answer is lost
				default:
					w.late = append(w.late, n)
				}
			},
			"late order": func(t *rapid.T) {
				if len(w.late) == 0 {
					t.Skip("none")
				}
				w.begin(w.late[0])
				w.late = w.late[1:]
			},
			"end": func(*rapid.T) { r := pick(); w.end(RunID{r.Name, r.Num}, Done) },
			"stop": func(t *rapid.T) {
				r := pick()
				n := RunID{r.Name, r.Num}
				w.e.Stop(r)
				if rapid.Bool().Draw(t, "heard") {
					w.past[n.Task] = max(w.past[n.Task], n.Num)
					w.end(n, Gone)
					w.e.Stopped(w.now, n)
				}
			},
			"look": func(*rapid.T) {
				over, _ := w.e.ApplyReport(w.now, w.now, w.report())
				w.ends = nil
				check(over)
			},
			"": func(*rapid.T) { w.now = w.now.Add(7 * time.Millisecond) },
		})
	})
}

// Guards against ends that are acknowledged unseen after an endpoint has started again under its ID, and against an
// answer of its former process that comes later.
func TestEndpointThatRestartsBeginsItsSerialsAnew(t *testing.T) {
	is := is.New(t)
	e := New(Info{ID: "i-1", Size: job.Size{Cores: 64}}, 7, Limits{Hold: time.Second})
	e.ApplyReport(t0, t0, Report{Clock: 1000, Born: 5})
	first := e.Start(t0, batch.Task{Job: "a"}, 1, job.Size{Cores: 8})
	second := e.Start(t0, batch.Task{Job: "b"}, 1, job.Size{Cores: 8})
	unanswered := e.Start(t0, batch.Task{Job: "c"}, 1, job.Size{Cores: 8})
	e.Started(t0, first)
	e.Started(t0, second)
	over, _ := e.ApplyReport(t0, t0, Report{Clock: 1010, Born: 5, Running: []Listed{{Name: second.Name, Num: 1}}, Ended: []Ended{{Serial: 40, Name: first.Name, Num: 1}}})
	is.Equal(len(over), 1)
	is.Equal(e.Cursor, int64(40))

	over, _ = e.ApplyReport(t0, t0, Report{Clock: 10, Born: 9})
	is.Equal(over, []Finished{{second, Died}})
	is.Equal(e.Cursor, int64(0))
	is.Equal(unanswered.Stage, Sent) // its start may still reach the new process

	over, orphans := e.ApplyReport(t0, t0, Report{Clock: 1100, Born: 5, Ended: []Ended{{Serial: 41, Name: unanswered.Name, Num: 1}}})
	is.Equal(len(over)+len(orphans), 0)
	over, _ = e.ApplyReport(t0, t0, Report{Clock: 20, Born: 9, Ended: []Ended{{Serial: 1, Name: unanswered.Name, Num: 1, State: Done}}})
	is.Equal(over, []Finished{{unanswered, Done}})
}
