package demand

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// busy returns a view in which two owners are overloaded: work for 1.5 times their cores arrives, and a usual job of
// rank 1 would wait for the given times.
func busy(at time.Time, waits ...time.Duration) *View {
	v := New(c, "x")
	v.Update(c, Report{At: at, Domain: "x", Counts: true})
	for i, w := range waits {
		r := heard(at, "x", 100, 0, 150, 0)
		r.Room.Wait = [Ranks]time.Duration{w / 4, w, 4 * w}
		v.Update([]netip.AddrPort{a, b}[i], r)
	}
	return v
}

// plainAsk is a job of 2 tasks of 200 ms: its objective of 1.6 times that and 60 ms leaves 144 ms for waits.
var plainAsk = Ask{Rank: 1, Tasks: 2, Cores: 8, Budget: 144 * time.Millisecond, Late: 400 * time.Millisecond}

// Guards against four handoffs for each job that nobody can serve: with reports that say so of all owners none is tried,
// and after one refusal only an owner that promises clearly more.
func TestFullOwnersAreNotTried(t *testing.T) {
	is := is.New(t)
	is.Equal(len(busy(t0, 300*time.Millisecond, 400*time.Millisecond).Skip(t0, plainAsk)), 2) // refused untried
	is.Equal(busy(t0, 50*time.Millisecond, 400*time.Millisecond).Skip(t0, plainAsk), []netip.AddrPort{b})
	refused := plainAsk
	refused.Refused, refused.Wait = true, 120*time.Millisecond
	is.Equal(len(busy(t0, 120*time.Millisecond, 110*time.Millisecond).Skip(t0, refused)), 2)
	is.Equal(busy(t0, 120*time.Millisecond, 40*time.Millisecond).Skip(t0, refused), []netip.AddrPort{a})
}

// Guards against refusals by old news, as while heartbeats come late or a link is cut in one direction: an owner whose
// report is older than half a second is tried.
func TestOwnersWithLateReportsAreTried(t *testing.T) {
	is := is.New(t)
	v := busy(t0, 300*time.Millisecond, 400*time.Millisecond)
	is.Equal(len(v.Skip(t0.Add(maxAge), plainAsk)), 2)
	is.Equal(len(v.Skip(t0.Add(maxAge+time.Millisecond), plainAsk)), 0)
}

// Guards against refused jobs while there is room: in calm all owners may be tried, under overload those with a whole
// place, and callers that come back are always handed to an owner.
func TestJobsWithRoomSomewhereAreNotRefusedUntried(t *testing.T) {
	is := is.New(t)
	v := busy(t0, 300*time.Millisecond, 400*time.Millisecond)
	back := plainAsk
	back.Returning = true
	is.Equal(len(v.Skip(t0, back)), 0)
	r := *v.all[b]
	r.Room.Places[1] = 1
	v.Update(b, r)
	is.Equal(v.Skip(t0, plainAsk), []netip.AddrPort{a})
	calm := New(c, "x")
	for _, vm := range []netip.AddrPort{a, b} {
		r := heard(t0, "x", 100, 0, 50, 0)
		r.Room.Wait = [Ranks]time.Duration{time.Second, time.Second, time.Second}
		calm.Update(vm, r)
	}
	is.Equal(len(calm.Skip(t0, plainAsk)), 0)
}

// Guards against callers that come back too soon, all at once, or never: a Retry-After is within its bounds and grows with
// the backlog and the pressure.
func TestRetryGrowsWithTheBacklog(t *testing.T) {
	const least, most = 200 * time.Millisecond, 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(-1000, 100_000).Draw(t, name)) * time.Millisecond
		}
		backlog, more := ms("backlog"), max(0, ms("more"))
		pressure := rapid.Float64Range(0, 20).Draw(t, "pressure")
		got := Retry(backlog, pressure, least, most)
		if got < least || got > most {
			t.Fatalf("%s is out of bounds", got)
		}
		if Retry(backlog+more, pressure, least, most) < got || Retry(backlog, pressure+1, least, most) < got {
			t.Fatalf("shrinks with more work")
		}
	})
}

// Guards against long waits at owners that a wider job, or one of larger tasks, meets unexpectedly: the report is of a
// usual job.
func TestLargerJobsWaitLonger(t *testing.T) {
	is := is.New(t)
	v := New(c, "x")
	v.Arrive(t0, 1, 2, 8, 0)
	wide, large := plainAsk, plainAsk
	wide.Tasks, large.Cores = 8, 12
	is.Equal(v.size(plainAsk), 1.0)
	is.Equal(v.size(wide), 2.0)
	is.Equal(v.size(large), 2.25)
}
