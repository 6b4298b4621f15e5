// Package owner schedules jobs on the endpoints that one VM owns: it decides which jobs are accepted,
// in which order and where their tasks start, and how to react to each answer of an endpoint.
// It opens no socket and reads no clock; its decisions are returned as actions for the caller.
package owner

import (
	"log/slog"
	"math"
	"slices"
	"sort"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/demand"
	"dahliawinch/internal/task/health"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/learn"
	"dahliawinch/internal/task/lease"
)

// Start is an order to begin a run.
type Start struct {
	At    *lease.Endpoint
	Run   *lease.Run
	Spec  string
	Until int64 // lease end on the endpoint's clock, in milliseconds
	// Fence is the endpoint's at the time of the decision: the order must be refused once the endpoint has
	// restarted and settled, since its run counts as over then.
	Fence uint64
}

// Stop is an order to end a run.
type Stop struct {
	At   *lease.Endpoint
	Name lease.RunID
}

// Reply is a job's final answer, for the VM that accepted it from the caller.
type Reply struct {
	Key    Key
	Answer job.Answer
}

// Renewal asks for an endpoint's lease to be renewed now.
type Renewal struct{ At *lease.Endpoint }

// Actions lists what follows from an event, in order.
type Actions struct {
	Starts   []Start
	Stops    []Stop
	Replies  []Reply
	Renewals []Renewal
}

// endpoint is an owned endpoint with its owner's scheduling state.
type endpoint struct {
	*lease.Endpoint
	handingOver bool      // another VM gets it once it is idle
	lost        bool      // another VM owns it now, or it is gone
	fullUntil   time.Time // gets no new runs until then
	// cordonedAt is when its failure domain was cordoned, zero if it isn't.
	cordonedAt  time.Time
	lastStart   time.Time // start of the latest run
	slots       int       // tasks that run here at once
	hold        hold      // for a gang that waits, renewed with each pass through the queue
	lastFailure time.Time // start of the latest run that failed here
	lastSuccess time.Time // start of the latest run that was done here
	speed       float64   // how many times as fast as a usual endpoint; 1 without estimates
}

// Config holds the settings of a Scheduler.
type Config struct {
	Limits       lease.Limits
	RemoteFactor float64 // how many times longer a task runs away from its data
	// VerdictDelay is the time after the first sign of a loss within which other owners report theirs; 0
	// without other owners.
	VerdictDelay time.Duration
	Log          *slog.Logger
	// OrderDelay returns how long it takes to send n orders now; nil if next to nothing.
	OrderDelay func(n int) time.Duration
	// Outlived is called for each job that ended before its runs, with the time from the job's last
	// keepalive to the end of its last run; may be nil.
	Outlived func(d time.Duration)
	// Lost is called for runs that were lost, with their number; may be nil.
	Lost func(cause LossCause, n int)
	// Speeds, Fill and Shares switch on what a deployment asks for; see serve.Options.
	Speeds, Fill bool
	Shares       map[int]float64 // by rank
	// Pressure returns the part of all endpoints that arriving work of ranks before the given one will occupy; nil if
	// the scheduler counts the jobs that reach it instead.
	Pressure func(now time.Time, rank int) float64
}

// Scheduler holds the state of one owner; the caller serializes all calls.
type Scheduler struct {
	cfg          Config
	endpoints    map[string]*endpoint
	raised       map[string]uint64 // highest fences of endpoints that are no longer owned, if above their claim's
	order        []*endpoint       // sorted by ID, so that ties are broken the same way each time
	jobs         map[Key]*entry
	queue        []*entry // jobs with tasks to start, in the order of starting
	byID         map[string]*entry
	health       *health.Tracker
	learn        learn.Estimator
	runNums      map[string]int // highest run numbers of jobs that ended lately, by job ID
	runNumsReset time.Time
	endedParts   map[string]time.Time // by job ID, until when its other parts may go on
	inflow       [rankCount]workRate
	needs        needStats
	usual        [demand.Ranks]usualJob
	turns        [demand.Ranks]demand.Turns
	actions      Actions
	// suspects counts, by task, the endpoints lost while the task ran there; exemptions the losses
	// attributed to an outage instead, and pending those not yet attributed.
	suspects, pending map[string]int
	exemptions        map[string]exemption
	suspectedAt       map[string]time.Time // time of the latest verdict, by task
	pendingLosses     []pendingLoss
	losses            map[string]loss // endpoints lost by this owner and others
	suspicions        []suspicion     // to be shared with other owners
	lostEndpoints     []lostEndpoint  // lost by this owner, with their runs
	recentCleared     []clearedEntry  // endpoints taken over from other owners
	// cordons holds the time since when the endpoints of a failure domain get no new work.
	cordons map[string]time.Time
	speeds  *speedState // nil unless the settings ask for it
	shares  shares
	holding int // gangs that hold places
}

// New returns a Scheduler that owns no endpoint.
func New(cfg Config) *Scheduler {
	sc := &Scheduler{
		cfg: cfg, endpoints: map[string]*endpoint{}, raised: map[string]uint64{}, jobs: map[Key]*entry{}, byID: map[string]*entry{},
		health: health.New(health.SteadyGain), runNums: map[string]int{}, endedParts: map[string]time.Time{}, cordons: map[string]time.Time{},
		suspects: map[string]int{}, exemptions: map[string]exemption{}, pending: map[string]int{}, suspectedAt: map[string]time.Time{}, losses: map[string]loss{},
	}
	if cfg.Speeds {
		sc.initSpeeds()
	}
	return sc
}

// TakeActions returns the actions since the last call.
func (sc *Scheduler) TakeActions() Actions {
	a := sc.actions
	sc.actions = Actions{}
	return a
}

// Jobs returns the number of jobs that wait or run.
func (sc *Scheduler) Jobs() int { return len(sc.jobs) }

// expect returns how long a task of a job's step is expected to run on a usual endpoint. The kind's mean and the declared
// time are about equally far off, so their geometric mean is closer than either.
func (sc *Scheduler) expect(j *batch.Job, s *batch.Step) time.Duration {
	k := learn.Key{Tenant: j.Pool, Kind: j.Queue}
	mean := sc.learn.Expect(k, s.Run).Mean
	if s.Run <= 0 {
		return mean
	}
	return time.Duration(math.Sqrt(float64(mean) * float64(s.Run)))
}

// chain returns the expected work of the job's longest chain of steps.
func (sc *Scheduler) chain(j *batch.Job) time.Duration {
	return j.CriticalPath(func(s *batch.Step) time.Duration { return sc.expect(j, s) })
}

// enqueue inserts a job into the queue by rank, then by its objective.
func (sc *Scheduler) enqueue(e *entry) {
	if slices.Contains(sc.queue, e) {
		return
	}
	i := sort.Search(len(sc.queue), func(i int) bool { return before(e, sc.queue[i]) })
	sc.queue = slices.Insert(sc.queue, i, e)
}

// before reports whether a is queued before c. Jobs that will miss their objective go last: they use
// room that would otherwise stay idle.
func before(a, c *entry) bool {
	if a.late != c.late {
		return c.late
	}
	if a.Rank != c.Rank {
		return a.Rank < c.Rank
	}
	return a.objective.Before(c.objective)
}

// finish answers a job and stops its remaining runs.
func (sc *Scheduler) finish(now time.Time, e *entry, a job.Answer) {
	e.answered, e.ended = true, now
	sc.cfg.Log.Info("job ended", "job", e.ID, "outcome", a.Outcome.String(), "reason", string(a.Reason), "detail", a.Detail,
		"age", now.Sub(e.arrived).Round(time.Millisecond), "until_objective", e.objective.Sub(now).Round(time.Millisecond), "late", e.late, "starts", e.starts,
		"slowest", e.slowest.Round(time.Millisecond), "slowest_endpoint", e.slowestAt, "runs", len(e.runs), "since_keepalive", now.Sub(e.keepalive).Round(time.Millisecond))
	sc.actions.Replies = append(sc.actions.Replies, Reply{e.key, a})
	sc.queue = slices.DeleteFunc(sc.queue, func(x *entry) bool { return x == e })
	for r, ep := range e.runs {
		sc.stop(ep, r)
	}
	sc.forget(now, e)
}

// forget drops an answered job without runs. Its run numbers are kept for a while: if the job is
// submitted again, it must not reuse a number whose run has ended on an endpoint.
func (sc *Scheduler) forget(now time.Time, e *entry) {
	if !e.answered || len(e.runs) > 0 {
		return
	}
	if now.After(e.ended) {
		sc.reportOutlived(now, e)
	}
	sc.noteEndedPart(now, e)
	delete(sc.jobs, e.key)
	if sc.byID[e.ID] == e {
		delete(sc.byID, e.ID)
	}
	if now.Sub(sc.runNumsReset) > runNumsKept {
		sc.runNumsReset = now
		clear(sc.runNums)
		sc.expireSuspects(now)
	}
	highest := 0
	for i := range e.steps {
		highest = max(highest, slices.Max(e.steps[i].runNums))
	}
	if highest > 0 {
		sc.runNums[e.ID] = max(highest, sc.runNums[e.ID])
	}
}

// reportOutlived reports how long runs went on after their job ended.
func (sc *Scheduler) reportOutlived(now time.Time, e *entry) {
	sc.cfg.Log.Info("runs of ended job over", "job", e.ID, "by", e.key.VM, "after", e.lastEnd.Sub(e.ended).Round(time.Millisecond), "after_keepalive", e.lastEnd.Sub(e.keepalive).Round(time.Millisecond),
		"noticed_after", now.Sub(e.lastEnd).Round(time.Millisecond))
	if sc.cfg.Outlived != nil {
		sc.cfg.Outlived(e.lastEnd.Sub(e.keepalive))
	}
}

// runNumsKept is how long run numbers of ended jobs are kept at least; callers retry within seconds.
const runNumsKept = 20 * time.Second

func (sc *Scheduler) stop(ep *lease.Endpoint, r *lease.Run) {
	ep.Stop(r)
	sc.actions.Stops = append(sc.actions.Stops, Stop{At: ep, Name: lease.RunID{Task: r.Name, Num: r.Num}})
}
