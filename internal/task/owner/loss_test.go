package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

const wait = 700 * time.Millisecond // for other owners' losses

// among is a book whose owner hears of others' losses.
func among(cores ...float64) *Book {
	b := bench(cores...)
	b.cfg.Hearsay = wait
	return b
}

// started lets a job begin.
func started(b *Book, now time.Time, n uint64, id string) Start {
	b.Submit(now, key(n), of(id, 0, tasks(1, 30, time.Second)))
	s := b.Take().Starts
	begin(b, now.Add(time.Millisecond), s)
	return s[0]
}

// Guards against a verdict that falls before the losses of other owners are known.
func TestTasksAreExcusedByLossesOfOthers(t *testing.T) {
	for _, c := range []struct {
		name      string
		others    []time.Duration // ages of their losses when they are heard of
		suspected int
	}{
		{"alone", nil, 1},
		{"one other", []time.Duration{0}, 1},
		{"a wave", []time.Duration{0, 100 * time.Millisecond}, 0},
		{"long before", []time.Duration{cohortFor + wait, cohortFor + wait}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := among(64, 64)
			s := started(b, t0, 1, "j")
			now := t0.Add(100 * time.Millisecond)
			b.Lose(now, s.At.ID, true, "it was restarted")
			now = now.Add(wait / 2)
			for i, age := range c.others {
				b.Miss(now, Loss{fmt.Sprint("other-", i), age})
			}
			b.Tick(now)
			is.Equal(len(b.suspects), 0) // not yet
			b.Tick(now.Add(wait / 2))
			is.Equal(b.suspects[s.Run.Name], c.suspected)
			is.Equal(len(b.charged), 0)
		})
	}
}

// Guards against endpoints that go down and up, and count as lost the first time only.
func TestEndpointThatIsLostAnewCountsAnew(t *testing.T) {
	is := is.New(t)
	b := among(64)
	b.Miss(t0, Loss{"x", 0})
	b.Miss(t0.Add(200*time.Millisecond), Loss{"x", 100 * time.Millisecond}) // the same, told again
	is.Equal(b.missing(t0), 1)
	again := t0.Add(cohortFor + lossSame)
	is.Equal(b.missing(again), 0)
	b.Miss(again, Loss{"x", 0})
	is.Equal(b.missing(again), 1)
}

// Guards against a task that crashes one endpoint after the other before the first verdict falls.
func TestTaskWithTwoLossesWaitsForTheVerdict(t *testing.T) {
	is := is.New(t)
	b := among(64, 64, 64)
	s := started(b, t0, 1, "bad")
	now := t0.Add(100 * time.Millisecond)
	b.Lose(now, s.At.ID, true, "it was restarted")
	again := b.Take().Starts
	is.Equal(len(again), 1) // the first loss says little
	begin(b, now.Add(time.Millisecond), again)
	now = now.Add(100 * time.Millisecond)
	b.Lose(now, again[0].At.ID, true, "it was restarted")
	b.Tick(now)
	is.Equal(len(b.Take().Starts), 0)
	other := started(b, now, 2, "good") // which needs as much room
	is.Equal(other.Run.Task.Job, "good")
	for _, id := range []string{"x", "y", "z"} { // it began on two, so that a wave does not explain both
		b.Miss(now, Loss{id, 0})
	}
	b.Tick(now.Add(wait))
	a := b.Take()
	is.Equal(len(a.Starts), 0)
	is.Equal(len(a.Tells), 1)
	is.Equal(a.Tells[0].Key, key(1))
	is.Equal(a.Tells[0].Answer.Outcome, job.Unknown)
}

// Guards against a task that is excused without end, since endpoints go down about it all the time.
func TestTaskIsExcusedAFewTimes(t *testing.T) {
	is := is.New(t)
	b := among(64, 64, 64, 64, 64, 64)
	bad := of("bad", 0, tasks(1, 30, time.Second))
	bad.Left = time.Minute
	b.Submit(t0, key(1), bad)
	now, lost, told := t0, 0, 0
	for ; told == 0; lost++ {
		a := b.Take()
		is.Equal(len(a.Starts), 1)
		begin(b, now.Add(time.Millisecond), a.Starts)
		now = now.Add(2 * cohortFor)
		b.Lose(now, a.Starts[0].At.ID, true, "it was restarted")
		for i := range 4 {
			b.Miss(now, Loss{fmt.Sprint(lost, "-", i), 0})
		}
		b.Tick(now.Add(wait))
		told = len(b.acts.Tells)
	}
	is.Equal(lost, mostExcused+mostDeaths)
	b.Submit(now, key(2), bad)
	is.Equal(len(b.Take().Starts), 0) // it had all the starts that the users allow
}

// Guards against endpoints that answer again and still count as lost.
func TestEndpointThatIsBackIsNoLoss(t *testing.T) {
	is := is.New(t)
	b := among(64)
	ep := b.Find("a")
	b.Quiet(t0, ep, errMute)
	is.Equal(len(b.Losses(t0)), 0) // one look may be lost
	b.Quiet(t0, ep, errMute)
	now := t0.Add(time.Second)
	is.Equal(b.Losses(now), []Loss{{"a", time.Second}})
	b.Renewed(now, now, ep, lease.Report{Clock: 2000})
	is.Equal(len(b.Losses(now)), 0)
	b.Miss(now, Loss{"b", 0})
	is.Equal(len(b.Losses(now)), 0) // another owner tells of its own
	is.Equal(len(b.Losses(now.Add(lossKept+1))), 0)
	is.Equal(len(b.losses), 0)
}

// Over any sequence of jobs and losses, of this owner and others: a task is given up after two losses at least,
// is lost a few times at most, never starts with two losses unjudged, and every charge gets its verdict.
func TestChargedTasksAreJudged(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := among(64, 64, 64, 64, 64, 64)
		lost := map[string]int{} // by task
		now, calls := t0, uint64(0)
		for n := range rapid.IntRange(1, 60).Draw(r, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(r, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(r, "event") {
			case 0:
				calls++
				b.Submit(now, key(calls), of(fmt.Sprintf("j%d", calls), 0, tasks(rapid.IntRange(1, 4).Draw(r, "tasks"), 20, 20*time.Second)))
			case 1:
				b.Miss(now, Loss{fmt.Sprint("other-", n), time.Duration(rapid.IntRange(0, 900).Draw(r, "age")) * time.Millisecond})
			case 2:
				b.Tick(now)
			default:
				if len(b.order) == 0 {
					continue
				}
				s := b.order[rapid.IntRange(0, len(b.order)-1).Draw(r, "endpoint")]
				for n := range s.Runs {
					lost[n.Task]++
				}
				b.Lose(now, s.ID, true, "it was restarted")
			}
			a := b.Take()
			for _, x := range a.Starts {
				if b.held(x.Run.Name) {
					r.Fatalf("%s starts before its verdict", x.Run.Name)
				}
			}
			begin(b, now.Add(time.Millisecond), a.Starts)
			for task, n := range lost {
				if n > mostDeaths+mostExcused {
					r.Fatalf("%s was lost %d times", task, n)
				}
			}
			for task, n := range b.suspects {
				if n > lost[task] {
					r.Fatalf("%s is suspected of %d losses, there were %d", task, n, lost[task])
				}
			}
		}
		b.Tick(now.Add(wait))
		if len(b.charged)+len(b.charges) > 0 {
			r.Fatalf("no verdict on %v", b.charged)
		}
	})
}
