package demand

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// returner is a caller that was refused and comes back until it is served.
type returner struct {
	first, next time.Time
	served      bool
}

// Guards against a caller that is refused for as long as more comes than can be done, while callers who are new are
// admitted: the time that it has waited counts against its objective. Each one must be served, whatever the times
// at which callers return to each of the owners, and a caller in the crowd must wait for no more turns than there are
// older callers and owners.
func TestNoReturningCallerIsPassedOverForever(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := make([]Turns, rapid.IntRange(1, 4).Draw(t, "owners"))
		n := rapid.IntRange(1, 12).Draw(t, "callers")
		callers := make([]*returner, n)
		for i := range callers {
			first := t0.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "first")) * time.Millisecond)
			callers[i] = &returner{first: first, next: first.Add(200 * time.Millisecond)}
		}
		for now := t0; now.Before(t0.Add(5 * time.Minute)); now = now.Add(10 * time.Millisecond) {
			for i := range owners {
				owners[i].Admit() // under overload each owner admits new jobs without end
			}
			for _, c := range callers {
				if c.served || now.Before(c.next) {
					continue
				}
				k := rapid.IntRange(0, len(owners)-1).Draw(t, "owner")
				c.served = owners[k].Take(now, c.first)
				c.next = now.Add(time.Duration(rapid.IntRange(200, 10_000).Draw(t, "retry")) * time.Millisecond)
			}
			if !slices.ContainsFunc(callers, func(c *returner) bool { return !c.served }) {
				return
			}
		}
		t.Fatalf("a caller was not served within five minutes")
	})
}

// Guards against returning callers that displace jobs in time: they get one turn for each fifty admissions of others,
// and a calm hour saves up two turns at most.
func TestTurnsAreFew(t *testing.T) {
	is := is.New(t)
	var turns Turns
	for range 1000 {
		turns.Admit()
	}
	served := 0
	for i := range 400 {
		turns.Admit()
		if turns.Take(t0.Add(time.Duration(i)*10*time.Millisecond), t0.Add(-time.Duration(i)*time.Second)) {
			served++
		}
	}
	is.True(served >= 8 && served <= 10) // 400 admissions give eight, and two were saved up
}

// Guards against a caller that was refused once being passed by one that came later: with one turn left, the older
// first attempt is served, unless that caller has not returned for a while.
func TestOlderCallerHasItsTurnFirst(t *testing.T) {
	is := is.New(t)
	var turns Turns
	is.True(!turns.Take(t0, t0.Add(-2*time.Second))) // no turn yet
	for range 51 {
		turns.Admit()
	}
	is.True(!turns.Take(t0.Add(100*time.Millisecond), t0.Add(-time.Second))) // the older one may be back
	is.True(turns.Take(t0.Add(200*time.Millisecond), t0.Add(-2*time.Second)))
	for range 51 {
		turns.Admit()
	}
	is.True(turns.Take(t0.Add(300*time.Millisecond), t0.Add(-time.Second)))
}
