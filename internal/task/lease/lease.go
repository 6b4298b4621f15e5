// Package lease tracks the runs of tasks on a leased endpoint for the endpoint's owner:
// starts, stops, ends, and when a run whose end was not reported has certainly ended.
//
// All runs on an endpoint share one lease that the owner renews. A run is over only if
// one of these holds: its end was listed; its endpoint lost all runs; its stop was
// confirmed and it is no longer listed; a later owner, or this one after a restart of the endpoint, raised
// the fence and found it not running there; or the longest lease expired that the process may have granted in which it may be.
// Before that, another run of the task could overlap it.
package lease

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

// Info describes an endpoint as the platform lists it.
type Info struct {
	ID     string // of this incarnation; most restarts change it, one that doesn't changes Born
	Addr   netip.AddrPort
	Domain string
	Pool   string
	Labels []string // the kind of endpoint first, if the platform names it, and the rack
	Size   job.Size
	Drains bool
	Cold   time.Duration // how much longer runs are slow here, after the endpoint's start
	Born   int64         // when the process started that this describes, Unix milliseconds; 0 if unknown
}

// Kind returns the endpoint's kind; empty if it has no label.
func (in Info) Kind() string {
	if len(in.Labels) == 0 {
		return ""
	}
	return in.Labels[0]
}

// Same reports whether o describes the endpoint identically. Cold is not compared,
// since it shrinks with time.
func (in Info) Same(o Info) bool {
	return in.ID == o.ID && in.Addr == o.Addr && in.Domain == o.Domain && in.Pool == o.Pool && in.Size == o.Size &&
		in.Drains == o.Drains && in.Born == o.Born && slices.Equal(in.Labels, o.Labels)
}

// Stage is the stage of a run.
type Stage uint8

// The stages.
const (
	Sent     Stage = iota // the start is unanswered
	Running               // the endpoint confirmed it
	Stopping              // it must end: it was stopped, or its start got no answer
	Over                  // it has certainly ended, or never began
)

// EndState says how a run ended.
type EndState uint8

// The ends of a run.
const (
	Done   EndState = iota
	Failed          // the task or the endpoint failed
	Gone            // stopped, lease expired, or endpoint lost; it may run again
	Never           // it did not begin
	Died            // lost with its endpoint, which it may have crashed; it may run again
	Broken          // another member of its gang ended; it may run again
	Alone           // its gang was not complete in time; it may run again
)

var endStateNames = [...]string{"done", "failed", "gone", "never", "died", "broken", "alone"}

func (h EndState) String() string { return endStateNames[h] }

// Run is one start of a task on an endpoint.
type Run struct {
	Task          batch.Task
	Name          string
	Num           int // increases with each start of the task
	Need          job.Size
	Stage         Stage
	SentAt        time.Time // when the start was sent
	Percent       int       // progress, as last listed
	Advanced      time.Time // when a report last showed more progress; at first when the start was sent
	SpeedRecorded bool      // its speed is recorded in its endpoint's health
	LastSeen      time.Time // when it was last listed or confirmed
	Job           Job       // the job it belongs to
	Step          int

	stoppedAt time.Time // when a stop was confirmed
	// stopCheckedAt is when its stop was last ordered again, or first found to be unconfirmed.
	stopCheckedAt time.Time
	stopDue       bool // its stop must be ordered at once

	sends       int       // how often its start was sent
	concludedAt time.Time // when the last of them was answered or given up, zero before
	located     bool      // if it runs, then in the process that is known
}

// Job is the job that a run belongs to.
type Job interface {
	// EndBy returns the time by which the job's runs must have ended, as known now. It never moves back.
	EndBy() time.Time
}

// Listed is a running task in an endpoint's answer.
type Listed struct {
	Name    string
	Num     int
	Percent int
}

// Ended is a finished run in an endpoint's answer.
type Ended struct {
	Serial int64
	Name   string
	Num    int
	State  EndState
}

// Report is an endpoint's answer to a lease renewal.
type Report struct {
	Clock   int64 // the endpoint's clock, milliseconds
	Born    int64 // when the endpoint started, Unix milliseconds; 0 if it doesn't say
	Running []Listed
	Ended   []Ended
}

// RunID identifies a run.
type RunID struct {
	Task string
	Num  int
}

// Endpoint is a leased endpoint with the runs that its owner started there.
type Endpoint struct {
	Info
	Claim     uint64 // fence of the claim under which it is owned
	Fence     uint64 // sent with each order, Claim plus its restarts, far below later claims; the endpoint obeys the highest
	Cursor    int64  // serial of the last end that was applied
	Used      job.Size
	Runs      map[RunID]*Run
	Synced    bool // an answer was applied and no orphans are left; nothing starts before
	TakenOver bool // before Synced, it listed runs or ends of a former owner
	Silent    bool // the last renewals were unanswered
	Missed    int  // unanswered renewals in a row

	limits      Limits
	process     process   // the one that is known
	restartedAt time.Time // when its restart was noticed, until Settled
	leaseEnd    time.Time // end of the last requested lease in the known process, by the owner's clock
	otherEnd    time.Time // the same in any other process that the orders may have reached
	unackedEnds bool      // ends were listed that no renewal has acknowledged
	orphans     map[RunID]time.Time
	renewalDue  bool // set by RequestRenewal until the next answer
}

// New returns an endpoint that has not answered yet.
func New(in Info, fence uint64, limits Limits) *Endpoint {
	return &Endpoint{Info: in, Claim: fence, Fence: fence, limits: limits, Runs: map[RunID]*Run{}, orphans: map[RunID]time.Time{}}
}

// Free returns the unused capacity. Its cores are rounded to millionths, as the sum of needs, in thousandths, has rounding
// errors: with 6.3 of 7 cores in use, 0.7 would not fit.
func (e *Endpoint) Free() job.Size {
	return job.Size{Cores: math.Round((e.Size.Cores-e.Used.Cores)*1e6) / 1e6, Memory: e.Size.Memory - e.Used.Memory, Accels: e.Size.Accels - e.Used.Accels}
}

// Open reports whether tasks may be started here.
func (e *Endpoint) Open() bool { return e.Synced && !e.Silent && !e.Drains }

// Idle reports whether the lease needs no renewal.
func (e *Endpoint) Idle() bool {
	return e.Synced && !e.Silent && !e.renewalDue && len(e.Runs) == 0 && len(e.orphans) == 0 && !e.unackedEnds
}

// RequestRenewal makes the lease need a renewal though the endpoint may be idle.
func (e *Endpoint) RequestRenewal() { e.renewalDue = true }

// Described reports whether Info describes the process that answered last: the platform's list may lag.
func (e *Endpoint) Described() bool { return e.Born == 0 || e.Born >= e.process.born }

// Ack returns the serial up to which the next renewal acknowledges ends; 0 for none. An end is acknowledged only after an
// answer that lists it: a new process that nobody knows of yet would forget its own ends up to that serial unseen.
func (e *Endpoint) Ack() int64 {
	if !e.unackedEnds || e.Missed > 0 {
		return 0
	}
	return e.Cursor
}

// Start adds a run and reserves its capacity until the run is over.
func (e *Endpoint) Start(now time.Time, t batch.Task, num int, need job.Size) *Run {
	r := &Run{Task: t, Name: t.String(), Num: num, Need: need, SentAt: now, LastSeen: now, Advanced: now, Step: t.Step}
	e.Runs[RunID{r.Name, num}] = r
	e.Used.Cores += need.Cores
	e.Used.Memory += need.Memory
	e.Used.Accels += need.Accels
	return r
}

// RenewUntil returns the end of the lease to request, in milliseconds of the endpoint's clock, or 0 for none.
// The lease ends before the EndBy of any run here, whichever process grants it.
func (e *Endpoint) RenewUntil(now time.Time) int64 {
	lease := e.maxLease(now)
	if lease <= 0 || !e.longestFits(now) {
		return 0
	}
	e.extendOther(now.Add(transit))
	e.leaseEnd = timer.Later(e.leaseEnd, now.Add(maxDuration(lease)))
	elapsed := time.Duration(float64(now.Sub(e.process.clockAt)) * (1 - clockDrift)) // its clock may be slow, so assume the least
	return e.process.clock + (elapsed + lease).Milliseconds()
}

// maxLease returns the longest lease that ends before the EndBy of any run here.
func (e *Endpoint) maxLease(now time.Time) time.Duration {
	lease := e.limits.Lease()
	for _, r := range e.Runs {
		if r.Job != nil {
			lease = min(lease, leaseWithin(r.Job.EndBy().Sub(now)))
		}
	}
	return lease
}

// Leasable reports whether a run of job j may start here: no lease ends after the job's EndBy, whichever process grants
// it, and a new one would have at least half of the usual length. It is shorter while a run here must end soon.
func (e *Endpoint) Leasable(now time.Time, j Job) bool {
	sent := now.Add(sendDelay)
	return !e.leaseEnd.After(j.EndBy()) && 2*e.maxLease(now) >= e.limits.Lease() &&
		(e.hasOwnID() || !sent.Add(e.limits.Lead()).After(j.EndBy())) && e.longestFits(sent)
}

// Started records that the endpoint confirmed a start. It returns false if the run is not in stage Sent.
func (e *Endpoint) Started(now time.Time, r *Run) bool {
	if r.Stage != Sent {
		return false
	}
	r.Stage, r.LastSeen = Running, now
	return true
}

// Reject records that the endpoint did not start a run.
func (e *Endpoint) Reject(r *Run) bool {
	if r.Stage == Over {
		return false
	}
	e.end(r)
	return true
}

// Stop marks a run as stopping; the caller sends the order.
func (e *Endpoint) Stop(r *Run) {
	if r.Stage != Over {
		r.Stage = Stopping
	}
}

// Stopped records the confirmation of a stop.
func (e *Endpoint) Stopped(now time.Time, n RunID) {
	if r := e.Runs[n]; r != nil {
		r.stoppedAt = now
	}
	delete(e.orphans, n)
}

func (e *Endpoint) end(r *Run) {
	r.Stage = Over
	delete(e.Runs, RunID{r.Name, r.Num})
	e.Used.Cores -= r.Need.Cores
	e.Used.Memory -= r.Need.Memory
	e.Used.Accels -= r.Need.Accels
	if len(e.Runs) == 0 {
		e.Used = job.Size{} // drops rounding errors
	}
}

// Finished is a run that is over, with its end state.
type Finished struct {
	Run   *Run
	State EndState
}

// stopRetry is the interval at which a stop is repeated while its run may go on, since a stop may be lost.
const stopRetry = 200 * time.Millisecond

// MarkSilent records that renewals got no answer: nothing new is started here, and the
// lease is not renewed until the endpoint answers again.
func (e *Endpoint) MarkSilent() { e.Silent = true }

// ExpireLease ends and returns the runs of a silent endpoint whose lease has certainly expired.
func (e *Endpoint) ExpireLease(now time.Time) (over []Finished) {
	if !e.Silent {
		return nil
	}
	for _, r := range e.Runs {
		if !r.underWay() && !now.Before(e.RunEnd(r)) {
			over = append(over, e.endLost(r))
		}
	}
	return over
}

// LastBorn returns when the process started that answered last, Unix milliseconds; 0 if none has said.
func (e *Endpoint) LastBorn() int64 { return e.process.born }

// LeaseEnd returns the time by which the runs of the known process have ended unless the lease is renewed.
func (e *Endpoint) LeaseEnd() time.Time { return e.leaseEnd }

// EndLost ends all runs after this incarnation of the endpoint was lost or its lease expired.
func (e *Endpoint) EndLost() (over []Finished) {
	for _, r := range e.Runs {
		over = append(over, e.endLost(r))
	}
	return over
}

func (e *Endpoint) endLost(r *Run) Finished {
	how := Died
	if !r.stoppedAt.IsZero() { // it ended before the loss
		how = Gone
	}
	e.end(r)
	return Finished{r, how}
}

// EndFenced ends all runs, unless the process that is known is newer than the one that started at born, Unix milliseconds:
// that one obeys a higher fence and listed none of them under it.
func (e *Endpoint) EndFenced(born int64) (over []Finished) {
	if e.process.born > born {
		return nil
	}
	for _, r := range e.Runs {
		e.end(r)
		over = append(over, Finished{r, Gone})
	}
	return over
}
