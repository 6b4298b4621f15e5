// Package owner decides for the endpoints that one VM owns: which jobs are taken in,
// in which order they start, where, and what follows from each answer of an endpoint.
// It opens no socket and reads no clock; what is to be done comes out as actions.
package owner

import (
	"log/slog"
	"math"
	"slices"
	"sort"
	"time"

	"dahliawinch/internal/task/batch"
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
	Until int64 // on the endpoint's clock, milliseconds
	Fence uint64
}

// Stop is an order to end a run.
type Stop struct {
	At    *lease.Endpoint
	Name  lease.Name
	Fence uint64
}

// Tell is a job's final answer for the VM that took it in.
type Tell struct {
	Key    Key
	Answer job.Answer
}

// Wake says that an endpoint needs a renewal now.
type Wake struct{ At *lease.Endpoint }

// Acts are what follows from an event, in order.
type Acts struct {
	Starts []Start
	Stops  []Stop
	Tells  []Tell
	Wakes  []Wake
}

// site is an endpoint with what its owner decides about it.
type site struct {
	*lease.Endpoint
	giving bool      // another VM takes it over once it is idle
	lost   bool      // another VM took it
	full   time.Time // gets nothing new until then
	// cordon is when its failure domain was cordoned, zero if it is not.
	cordon time.Time
	tried  time.Time // when a run was last started
	slots  int       // tasks that run here at once
	failed time.Time // when the last run began that failed here
	proven time.Time // when the last run began that was done here
}

// Config of a book.
type Config struct {
	Limits lease.Limits
	Far    float64 // how many times longer a task runs away from its data
	// Hearsay is how long after the first sign of a loss other owners may tell of theirs; 0 if there are none.
	Hearsay time.Duration
	Log     *slog.Logger
	// Orders is how long the last of so many orders takes if they are sent now; nil if they take
	// next to nothing.
	Orders func(n int) time.Duration
	// Outlived is told how long after a job's last keepalive the last of its runs ended, of a job that ended
	// before its runs; may be nil.
	Outlived func(d time.Duration)
}

// Book is the state of one owner; the caller serializes all calls.
type Book struct {
	cfg    Config
	sites  map[string]*site
	order  []*site // by id, so that ties break alike
	jobs   map[Key]*entry
	queue  []*entry // jobs with tasks to start, first one first
	names  map[string]*entry
	health *health.Book
	learn  learn.Book
	nums   map[string]int // run numbers of jobs that ended lately
	numsAt time.Time
	inflow [ranks]flow
	needs  needs
	acts   Acts
	// suspects are the tasks under which endpoints were lost, how many; excused counts the losses that say nothing
	// of a task, and charged those on which there is no verdict yet.
	suspects, charged map[string]int
	excused           map[string]excuse
	suspected         map[string]time.Time // when, by task
	charges           []charge
	losses            map[string]loss // of endpoints, this owner's and others'
	news              []news          // of suspicions, for other owners
	deaths            []death         // endpoints that were lost here with what ran there
	clears            []clearing      // of endpoints that were taken from other owners
	// cordons are the failure domains whose endpoints get no new work, since when.
	cordons map[string]time.Time
}

// New returns a book that owns nothing.
func New(cfg Config) *Book {
	return &Book{
		cfg: cfg, sites: map[string]*site{}, jobs: map[Key]*entry{}, names: map[string]*entry{},
		health: health.New(health.Tame), nums: map[string]int{}, cordons: map[string]time.Time{},
		suspects: map[string]int{}, excused: map[string]excuse{}, charged: map[string]int{}, suspected: map[string]time.Time{}, losses: map[string]loss{},
	}
}

// Take returns what is to be done since the last call.
func (b *Book) Take() Acts {
	a := b.acts
	b.acts = Acts{}
	return a
}

// Jobs is the number of jobs that wait or run.
func (b *Book) Jobs() int { return len(b.jobs) }

// Expect is how long a task of a job's step will run. The kind's mean and the
// declaration are about equally far off, so their geometric mean is closer than either.
func (b *Book) expect(j *batch.Job, s *batch.Step) time.Duration {
	k := learn.Key{Tenant: j.Pool, Kind: j.Queue}
	mean := b.learn.Expect(k, s.Run).Mean
	if s.Run <= 0 {
		return mean
	}
	return time.Duration(math.Sqrt(float64(mean) * float64(s.Run)))
}

// chain is the job's longest chain of expected work.
func (b *Book) chain(j *batch.Job) time.Duration {
	return j.Chain(func(s *batch.Step) time.Duration { return b.expect(j, s) })
}

// enqueue puts a job into its place: by rank, then by the latest start that still
// meets the objective.
func (b *Book) enqueue(e *entry) {
	if slices.Contains(b.queue, e) {
		return
	}
	i := sort.Search(len(b.queue), func(i int) bool { return before(e, b.queue[i]) })
	b.queue = slices.Insert(b.queue, i, e)
}

// Jobs that miss their objective anyway go last: they use what would stay idle.
func before(a, c *entry) bool {
	if a.late != c.late {
		return c.late
	}
	if a.Rank != c.Rank {
		return a.Rank < c.Rank
	}
	return a.aim.Before(c.aim)
}

// finish gives a job its answer and stops what of it still runs.
func (b *Book) finish(now time.Time, e *entry, a job.Answer) {
	e.told, e.ended = true, now
	b.cfg.Log.Info("job ended", "job", e.ID, "outcome", a.Outcome.String(), "reason", string(a.Reason), "detail", a.Detail,
		"age", now.Sub(e.came).Round(time.Millisecond), "aim", e.aim.Sub(now).Round(time.Millisecond), "late", e.late, "starts", e.starts,
		"slowest", e.slowest.Round(time.Millisecond), "endpoint", e.slowAt, "runs", len(e.runs), "asked", now.Sub(e.asked).Round(time.Millisecond))
	b.acts.Tells = append(b.acts.Tells, Tell{e.key, a})
	b.queue = slices.DeleteFunc(b.queue, func(x *entry) bool { return x == e })
	for r, ep := range e.runs {
		b.stop(ep, r)
	}
	b.forget(now, e)
}

// forget drops a job of which nothing runs. Its run numbers are kept for a while: a
// caller that submits it again must not get a number that an endpoint has ended.
func (b *Book) forget(now time.Time, e *entry) {
	if !e.told || len(e.runs) > 0 {
		return
	}
	if now.After(e.ended) {
		b.outlived(now, e)
	}
	delete(b.jobs, e.key)
	if b.names[e.ID] == e {
		delete(b.names, e.ID)
	}
	if now.Sub(b.numsAt) > numsFor {
		b.numsAt = now
		clear(b.nums)
		b.acquit(now)
	}
	most := 0
	for i := range e.steps {
		most = max(most, slices.Max(e.steps[i].nums))
	}
	if most > 0 {
		b.nums[e.ID] = max(most, b.nums[e.ID])
	}
}

// outlived tells how long the runs of a job went on that ended before them.
func (b *Book) outlived(now time.Time, e *entry) {
	b.cfg.Log.Info("runs over", "job", e.ID, "by", e.key.VM, "after", e.over.Sub(e.ended).Round(time.Millisecond), "asked", e.over.Sub(e.asked).Round(time.Millisecond),
		"learned", now.Sub(e.over).Round(time.Millisecond))
	if b.cfg.Outlived != nil {
		b.cfg.Outlived(e.over.Sub(e.asked))
	}
}

// numsFor is how long run numbers of ended jobs are kept at least; callers submit
// again within a few seconds.
const numsFor = 20 * time.Second

func (b *Book) stop(ep *lease.Endpoint, r *lease.Run) {
	ep.Stop(r)
	b.acts.Stops = append(b.acts.Stops, Stop{At: ep, Name: lease.Name{Task: r.Name, Num: r.Num}, Fence: ep.Fence})
}
