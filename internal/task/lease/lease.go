// Package lease is the life of a run on a leased endpoint, as its one owner sees it:
// starts, stops, ends, and when a run that nobody hears of has surely ended.
//
// Everything on an endpoint shares one lease that the owner renews. A run is only over
// when its end was listed, its endpoint has lost all it ran, a stop of it was confirmed
// and it is not listed any more, a later owner has found nothing running there, or the
// last lease that was asked for has run out. Before that another run of the task could overlap it.
package lease

import (
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

// Info is what the platform's list says of an endpoint.
type Info struct {
	ID     string // of this life; a restarted endpoint has another
	Addr   netip.AddrPort
	Domain string
	Pool   string
	Labels []string // the rack is one of them
	Size   job.Size
	Drains bool
	Cold   time.Duration // slow for so much longer after its start
}

// Same reports whether another word on the endpoint says the same; how long it stays
// slow passes by itself.
func (in Info) Same(o Info) bool {
	return in.ID == o.ID && in.Addr == o.Addr && in.Domain == o.Domain && in.Pool == o.Pool && in.Size == o.Size &&
		in.Drains == o.Drains && slices.Equal(in.Labels, o.Labels)
}

// Stage of a run.
type Stage uint8

// The stages.
const (
	Sent     Stage = iota // the start has no answer yet
	On                    // the endpoint confirmed it
	Stopping              // it must end: stopped, or its start got no answer
	Over                  // it has surely ended, or surely never began
)

// How a run ended.
type How uint8

// The ends of a run.
const (
	Done   How = iota
	Failed     // through its own fault or the endpoint's
	Gone       // stopped, lapsed, or broken off with its endpoint; it may run again
	Never      // it did not begin
	Died       // lost with its endpoint, which it may have crashed; it may run again
)

var howNames = [...]string{"done", "failed", "gone", "never", "died"}

func (h How) String() string { return howNames[h] }

// Run is one start of a task on an endpoint.
type Run struct {
	Task    batch.Task
	Name    string
	Num     int // rises with each start of the task
	Need    job.Size
	Stage   Stage
	At      time.Time // when the start was sent
	Percent int       // of its work, as last listed
	Judged  bool      // its speed was taken into its endpoint's health
	Seen    time.Time // when it was last listed or confirmed
	Job     Job       // whose it is
	Step    int

	stopped time.Time // when a stop was confirmed
}

// Job is what runs are started for.
type Job interface {
	// By is when the job's runs must have ended, by what is known now; it never moves back.
	By() time.Time
}

// Listed is a running task in an endpoint's answer.
type Listed struct {
	Name    string
	Num     int
	Percent int
}

// Ended is an ended run in an endpoint's answer.
type Ended struct {
	Serial int64
	Name   string
	Num    int
	How    How
}

// Report is an endpoint's answer to a renewal.
type Report struct {
	Clock   int64 // the endpoint's clock, milliseconds
	Running []Listed
	Ended   []Ended
}

// Name of a run.
type Name struct {
	Task string
	Num  int
}

// Endpoint is one leased endpoint with what its owner runs there.
type Endpoint struct {
	Info
	Fence  uint64 // orders carry it; a higher one takes the endpoint away
	Cursor int64  // ends up to it are taken note of
	Used   job.Size
	Runs   map[Name]*Run
	Known  bool // its answers are taken in; before that nothing is started
	Taken  bool // before it was known, it listed runs or ends of a former owner
	Silent bool // the last renewals got no answer
	Missed int  // renewals in a row that got none

	limits  Limits
	clock   int64     // the endpoint's clock
	at      time.Time // when it was read
	lapse   time.Time // by then nothing here lives that was not renewed since
	owed    bool      // ends were listed that no renewal has confirmed
	orphans map[Name]time.Time
}

// New returns an endpoint of which nothing is known yet.
func New(in Info, fence uint64, limits Limits) *Endpoint {
	return &Endpoint{Info: in, Fence: fence, limits: limits, Runs: map[Name]*Run{}, orphans: map[Name]time.Time{}}
}

// Free is what can be placed here.
func (e *Endpoint) Free() job.Size {
	return job.Size{Cores: e.Size.Cores - e.Used.Cores, Memory: e.Size.Memory - e.Used.Memory, Accels: e.Size.Accels - e.Used.Accels}
}

// Open reports whether tasks may be started here.
func (e *Endpoint) Open() bool { return e.Known && !e.Silent && !e.Drains }

// Idle reports whether nothing here needs a renewal.
func (e *Endpoint) Idle() bool {
	return e.Known && !e.Silent && len(e.Runs) == 0 && len(e.orphans) == 0 && !e.owed
}

// Start reserves the room of a run; it is over when it ends or never began.
func (e *Endpoint) Start(now time.Time, t batch.Task, num int, need job.Size) *Run {
	r := &Run{Task: t, Name: t.String(), Num: num, Need: need, At: now, Seen: now, Step: t.Step}
	e.Runs[Name{r.Name, num}] = r
	e.Used.Cores += need.Cores
	e.Used.Memory += need.Memory
	e.Used.Accels += need.Accels
	return r
}

// Until returns the lease to ask for, on the endpoint's clock in milliseconds, or 0 for none: it ends before any
// run must that is here.
func (e *Endpoint) Until(now time.Time) int64 {
	ask := e.ask(now)
	if ask <= 0 {
		return 0
	}
	e.lapse = timer.Later(e.lapse, now.Add(lasts(ask)))
	ran := time.Duration(float64(now.Sub(e.at)) * (1 - drift)) // its clock may be slow: never ask for more
	return e.clock + (ran + ask).Milliseconds()
}

// ask is the longest lease that ends before any run here must.
func (e *Endpoint) ask(now time.Time) time.Duration {
	ask := e.limits.Lease()
	for _, r := range e.Runs {
		if r.Job != nil {
			ask = min(ask, leaseWithin(r.Job.By().Sub(now)))
		}
	}
	return ask
}

// Leasable reports whether a job's run may begin here: no lease was asked for beyond it, and one that is asked for now
// would last, which it doesn't while a run here must end soon.
func (e *Endpoint) Leasable(now time.Time, j Job) bool {
	return !e.lapse.After(j.By()) && 2*e.ask(now) >= e.limits.Lease()
}

// Started takes in the answer to a start; it reports false for a run that was over.
func (e *Endpoint) Started(now time.Time, r *Run) bool {
	if r.Stage != Sent {
		return false
	}
	r.Stage, r.Seen = On, now
	return true
}

// Reject takes in that the endpoint did not start a run.
func (e *Endpoint) Reject(r *Run) bool {
	if r.Stage == Over {
		return false
	}
	e.end(r)
	return true
}

// Stop marks a run that must end; the caller orders it.
func (e *Endpoint) Stop(r *Run) {
	if r.Stage != Over {
		r.Stage = Stopping
	}
}

// Stopped takes in the confirmation of a stop.
func (e *Endpoint) Stopped(now time.Time, n Name) {
	if r := e.Runs[n]; r != nil {
		r.stopped = now
	}
	delete(e.orphans, n)
}

func (e *Endpoint) end(r *Run) {
	r.Stage = Over
	delete(e.Runs, Name{r.Name, r.Num})
	e.Used.Cores -= r.Need.Cores
	e.Used.Memory -= r.Need.Memory
	e.Used.Accels -= r.Need.Accels
	if len(e.Runs) == 0 {
		e.Used = job.Size{} // no rounding error stays
	}
}

// Finished is a run that is over and how it ended.
type Finished struct {
	Run *Run
	How How
}

// Orphan is a run that no VM of ours asks for any more.
type Orphan = Name

// orphanEvery is the pause between two stops of the same orphan: the first may be lost.
const orphanEvery = 200 * time.Millisecond

// Take takes in an answer to a renewal that was sent at a time. It returns the runs
// that are over and those that run here for nobody.
func (e *Endpoint) Take(now, sent time.Time, r Report) (over []Finished, orphans []Orphan) {
	e.Silent, e.Missed = false, 0
	e.clock, e.at = r.Clock, now
	e.owed = len(r.Ended) > 0
	e.Taken = e.Taken || (!e.Known && len(r.Running)+len(r.Ended) > 0)
	for _, x := range r.Ended {
		if x.Serial <= e.Cursor {
			continue // an older answer that was overtaken
		}
		e.Cursor = x.Serial
		n := Name{x.Name, x.Num}
		delete(e.orphans, n)
		if run := e.Runs[n]; run != nil {
			e.end(run)
			over = append(over, Finished{run, x.How})
		}
	}
	listed := make(map[Name]bool, len(r.Running))
	for _, x := range r.Running {
		n := Name{x.Name, x.Num}
		listed[n] = true
		if run := e.Runs[n]; run != nil {
			run.Percent, run.Seen = x.Percent, now
			if run.Stage == Sent {
				run.Stage = On
			}
			continue
		}
		if at, ok := e.orphans[n]; !ok || now.Sub(at) >= orphanEvery {
			e.orphans[n] = now
			orphans = append(orphans, n)
		}
	}
	for n := range e.orphans {
		if !listed[n] {
			delete(e.orphans, n)
		}
	}
	// A renewal would keep alive what a former owner started, and that owner's VMs run
	// it again once its lease must have run out; so nothing begins before it is gone.
	e.Known = e.Known || len(e.orphans) == 0
	for n, run := range e.Runs {
		if !listed[n] && e.vanished(run, sent) {
			e.end(run)
			over = append(over, Finished{run, Gone})
		}
	}
	return over, orphans
}

// vanished reports whether a run that an answer doesn't list is surely over: it had
// been confirmed, or its stop had, before the question was asked.
func (e *Endpoint) vanished(r *Run, sent time.Time) bool {
	switch r.Stage {
	case On:
		return r.Seen.Before(sent)
	case Stopping:
		return !r.stopped.IsZero() && r.stopped.Before(sent)
	default:
		return false
	}
}

// Quiet takes in that a renewal got no answer: nothing new is started here, and the
// lease is not renewed until the endpoint answers again.
func (e *Endpoint) Quiet() { e.Silent = true }

// Lapsed returns the runs of a silent endpoint whose lease has surely run out.
func (e *Endpoint) Lapsed(now time.Time) (over []Finished) {
	if !e.Silent || now.Before(e.lapse) {
		return nil
	}
	return e.Lost()
}

// Lapse is when everything here has ended that is not renewed any more.
func (e *Endpoint) Lapse() time.Time { return e.lapse }

// Lost ends all runs: this life of the endpoint is over, or its leases are.
func (e *Endpoint) Lost() (over []Finished) {
	for _, r := range e.Runs {
		how := Died
		if !r.stopped.IsZero() { // it had ended before
			how = Gone
		}
		e.end(r)
		over = append(over, Finished{r, how})
	}
	return over
}

// Cleared ends all runs: the endpoint obeys a higher fence, under which it has listed none of them.
func (e *Endpoint) Cleared() (over []Finished) {
	for _, r := range e.Runs {
		e.end(r)
		over = append(over, Finished{r, Gone})
	}
	return over
}
