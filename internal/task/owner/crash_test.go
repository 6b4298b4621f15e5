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

// Symptom: one endpoint after the other is lost, each with the tasks that run beside one of them.
// Sequence: a task crashes the endpoint that starts it, is started elsewhere, and crashes that one.
// Cause: it counts as an innocent victim each time.
func TestTaskThatCrashesItsEndpointsIsGivenUp(t *testing.T) {
	is := is.New(t)
	b := bench(64, 64, 64)
	b.Submit(t0, key(1), of("bad", 0, tasks(1, 30, time.Second)))
	b.Submit(t0, key(2), of("good", 0, tasks(1, 30, time.Second)))
	a := b.Take()
	is.Equal(len(a.Starts), 2)
	is.Equal(a.Starts[0].At, a.Starts[1].At) // packed onto one endpoint
	begin(b, t0, a.Starts)
	now := t0.Add(100 * time.Millisecond)
	b.Lose(now, a.Starts[0].At.ID, true, "it was restarted")
	a = b.Take()
	is.Equal(len(a.Starts), 2)
	is.True(a.Starts[0].At != a.Starts[1].At) // both are suspected, so they run apart
	begin(b, now, a.Starts)
	for n := 2; n <= mostDeaths; n++ {
		now = now.Add(2 * time.Second)
		for _, s := range a.Starts {
			if s.Run.Task.Job == "bad" {
				b.Lose(now, s.At.ID, true, "it was restarted")
			}
		}
		a = b.Take()
		begin(b, now, a.Starts)
		is.Equal(len(a.Starts), mostDeaths-n)
	}
	is.Equal(len(a.Tells), 1)
	is.Equal(a.Tells[0].Key, key(1))
	is.Equal(a.Tells[0].Answer.Outcome, job.Unknown)
	is.Equal(b.Jobs(), 1) // the other goes on
}

// Symptom: a job is shown as failed though none of its tasks has failed. Sequence: the endpoint of a
// task is silent until its lease must have run out, the next one as well; both go down and up by
// themselves, one at this owner and others at its neighbours. Cause: two losses are taken for the
// task's fault.
func TestTaskUnderEndpointsThatComeAndGoIsNotCalledFailed(t *testing.T) {
	is := is.New(t)
	b := bench(64, 64, 64, 64)
	b.Submit(t0, key(1), of("j1", 0, tasks(1, 30, 2*time.Second)))
	now := t0
	for range mostDeaths {
		s := b.Take().Starts
		is.Equal(len(s), 1)
		begin(b, now, s)
		b.Quiet(now, s[0].At, errMute)
		b.Quiet(now, s[0].At, errMute)
		now = now.Add(1500 * time.Millisecond)
		for _, x := range b.order {
			if x.Endpoint != s[0].At && !x.Silent {
				b.Renewed(now, now, x.Endpoint, lease.Report{Clock: 1000 + now.Sub(t0).Milliseconds()})
			}
		}
		b.Tick(now)
	}
	a := b.Take()
	is.Equal(len(a.Tells), 1)
	is.Equal(a.Tells[0].Answer.Outcome, job.Unknown)
}

// Symptom: innocent jobs are given up after a rack lost power. Sequence: its endpoints are lost
// within a second, then a second rack's. Cause: each loss counts against what ran there.
func TestTasksOfALostRackAreNotSuspected(t *testing.T) {
	is := is.New(t)
	b := bench(64, 64, 64, 64, 64, 64, 64, 64)
	now := t0
	for n := range 8 {
		b.Submit(now, key(uint64(n)), of(fmt.Sprintf("j%d", n), 0, tasks(1, 50, 10*time.Second)))
	}
	begin(b, now, b.Take().Starts)
	for round := range 2 {
		for i := range 3 {
			b.Lose(now.Add(time.Duration(100*i)*time.Millisecond), string(rune('a'+3*round+i)), true, "it was restarted")
		}
		now = now.Add(3 * time.Second)
	}
	is.Equal(len(b.Take().Tells), 0)
}

// Over any sequence of jobs and losses: a task is given up only after two endpoints were lost under
// it, and starts no more after that; no job is called failed; suspected tasks never share an endpoint.
func TestOnlyTasksUnderLostEndpointsAreGivenUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := bench(64, 64, 64, 64, 64, 64)
		lost := map[string]int{} // by task
		now, calls := t0, uint64(0)
		for range rapid.IntRange(1, 40).Draw(r, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(r, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(r, "submit") {
				calls++
				b.Submit(now, key(calls), of(fmt.Sprintf("j%d", calls), 0, tasks(rapid.IntRange(1, 4).Draw(r, "tasks"), 20, 20*time.Second)))
			} else if len(b.order) > 0 {
				s := b.order[rapid.IntRange(0, len(b.order)-1).Draw(r, "endpoint")]
				for n := range s.Runs {
					lost[n.Task]++
				}
				b.Lose(now, s.ID, true, "it was restarted")
			}
			a := b.Take()
			for _, x := range a.Starts {
				if b.suspects[x.Run.Name] >= mostDeaths {
					r.Fatalf("%s is given up and starts again", x.Run.Name)
				}
				if b.suspects[x.Run.Name] > 0 && len(x.At.Runs) > 1 {
					r.Fatalf("%s is suspected and shares its endpoint", x.Run.Name)
				}
			}
			begin(b, now, a.Starts)
			for _, x := range a.Tells {
				if x.Answer.Outcome == job.Failed {
					r.Fatalf("job %d is called failed", x.Key.Call)
				}
				if x.Answer.Reason != job.Silent {
					continue
				}
				most := 0
				for task, n := range lost {
					if task[:len(task)-len(".0.0.0")] == fmt.Sprintf("j%d", x.Key.Call) {
						most = max(most, n)
					}
				}
				if most < mostDeaths {
					r.Fatalf("job %d given up after %d losses", x.Key.Call, most)
				}
			}
		}
	})
}

// Guards against a task that crashes endpoints of one owner after the other's.
func TestSuspicionsOfOtherOwnersAreHeeded(t *testing.T) {
	is := is.New(t)
	first, second := bench(64, 64), bench(64, 64)
	first.Submit(t0, key(1), of("bad", 0, tasks(1, 30, time.Second)))
	now := t0
	for range mostDeaths {
		s := first.Take().Starts
		begin(first, now, s)
		first.Lose(now, s[0].At.ID, true, "it was restarted")
	}
	told := first.Suspects(now)
	is.Equal(told[len(told)-1], Suspect{"bad.0.0.0", mostDeaths})
	is.Equal(len(first.Suspects(now.Add(tellFor+1))), 0)
	for _, s := range told {
		second.Heed(now, s)
	}
	second.Submit(now, key(2), of("good", 0, tasks(1, 30, time.Second)))
	second.Submit(now, key(3), of("bad", 0, tasks(1, 30, time.Second)))
	a := second.Take()
	is.Equal(len(a.Starts), 2)
	is.True(a.Starts[0].At != a.Starts[1].At) // once more, and alone
	third := bench(64, 64)
	third.Heed(now, Suspect{"bad.0.0.0", mostDeaths + 1})
	third.Submit(now, key(4), of("bad", 0, tasks(1, 30, time.Second)))
	a = third.Take()
	is.Equal(len(a.Starts), 0)
	is.Equal(a.Tells[0].Answer.Outcome, job.Unknown)
	third.acquit(now.Add(numsFor - 1))
	is.Equal(third.guilty("bad"), "bad.0.0.0")
	third.acquit(now.Add(numsFor))
	is.Equal(third.guilty("bad"), "")
}
