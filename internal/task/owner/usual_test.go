package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shareView makes a scheduler take its pressure from a view that reads the given value.
func shareView(sc *Scheduler, pressure float64) {
	sc.cfg.Pressure = func(time.Time, int) float64 { return pressure }
}

// Guards against an owner that reports room which no task can use: gaps of 30 cores count as free in its load while
// tasks need 40, so jobs are sent there and refused.
func TestRoomCountsWholePlaces(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64, 64)
	shareView(sc, 0)
	is.Equal(sc.Room(t0).Places, [3]int{}) // no job has told what is usual
	sc.Submit(t0, key(1), newJob("a1", 1, tasks(1, 34, 200*time.Millisecond)))
	is.Equal(sc.Room(t0).Places, [3]int{0, 1, 0})
	is.Equal(sc.Room(t0).Wait[1], time.Duration(0))
	sc.Submit(t0, key(2), newJob("a2", 1, tasks(1, 34, 200*time.Millisecond)))
	r := sc.Room(t0)
	is.Equal(sc.Load(t0).Free, 60.0)
	is.Equal(r.Places, [3]int{})
	is.Equal(r.Wait[1], 200*time.Millisecond) // until the first run ends
}

// Guards against a pressure that counts a job again at each owner that was tried for it: with a shared view nothing that
// is submitted here changes the pressure.
func TestSharedPressureIgnoresArrivalsHere(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64)
	shareView(sc, 0.1)
	for n := range uint64(20) {
		sc.Submit(t0, key(n), newJob(fmt.Sprint("j", n), 0, tasks(2, 30, 80*time.Millisecond)))
	}
	is.True(len(sc.queue) > 0 && !sc.queue[0].late)
	is.Equal(sc.pressure(t0, rankCount), 0.1)
	is.True(!sc.overloaded(t0))
	shareView(sc, 0.95)
	is.True(sc.overloaded(t0))
}

// Guards against callers that were refused once and are refused for as long as more comes than can be done, because the
// time that they have waited counts against their objective: after enough admissions of others such a job is accepted,
// goes before those of its rank, and isn't given up as late while its answer is of use.
func TestReturningCallerHasItsTurn(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(30, 30)
	shareView(sc, 0)
	back := func(id string) bool {
		j := newJob(id, 1, tasks(1, 30, 80*time.Millisecond))
		j.Waited = 500 * time.Millisecond // its objective is 188 ms
		sc.Submit(t0, key(1000), j)
		return len(sc.TakeActions().Replies) == 0
	}
	for n := range uint64(3) {
		sc.Submit(t0, key(n), newJob(fmt.Sprint("j", n), 1, tasks(1, 30, 80*time.Millisecond)))
	}
	is.Equal(len(sc.queue), 1)
	sc.TakeActions()
	shareView(sc, 1.5)
	is.True(!back("b1")) // no turn yet, and more comes than can be done
	for range 50 {
		sc.turns[1].Admit()
	}
	is.True(back("b2"))
	is.Equal(sc.queue[0].ID, "b2")
	sc.Tick(t0.Add(100 * time.Millisecond))
	is.True(sc.byID["b2"] != nil && !sc.byID["b2"].answered)
}
