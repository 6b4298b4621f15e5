package parts

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dahliawinch/internal/task/batch"
)

func vm(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 1)
}

// pools returns full pools where a place comes free every gap, after the given queues.
func pools(gap time.Duration, queues ...time.Duration) (rooms []Room) {
	for i, q := range queues {
		rooms = append(rooms, Room{VM: vm(i + 1), Queue: q, Gap: gap})
	}
	return rooms
}

// allowed is the wait that the objective of an urgent job of 60 ms allows.
const allowed = 96 * time.Millisecond

// Guards against a split of a job that fits at the best owner, which would cost messages and risk for nothing.
func TestJobThatFitsGoesWhole(t *testing.T) {
	is := is.New(t)
	rooms := []Room{{VM: vm(1), Places: 8, Gap: 5 * time.Millisecond}, {VM: vm(2), Places: 20, Gap: 5 * time.Millisecond}}
	is.Equal(Plan(8, rooms[0], rooms, allowed), nil)
}

// Guards against tasks that wait at one owner while others have places, and against more parts than those places need.
func TestTasksGoToFreePlacesInFewParts(t *testing.T) {
	is := is.New(t)
	const gap = 20 * time.Millisecond
	rooms := []Room{{VM: vm(1), Places: 1, Gap: gap}, {VM: vm(2), Places: 3, Gap: gap}, {VM: vm(3), Places: 2, Gap: gap}, {VM: vm(4), Places: 5, Gap: gap}, {VM: vm(5), Gap: gap}}
	is.Equal(Plan(8, rooms[3], rooms, allowed), []Share{{vm(4), 5}, {vm(2), 3}})
}

// Guards against a wide job that waits for all of its places at one owner: in eleven full pools, where a place comes
// free every 5 ms in each, the last of 24 tasks starts after 120 ms at one owner and after 20 ms at six.
func TestWideJobOverFullPools(t *testing.T) {
	is := is.New(t)
	rooms := pools(5*time.Millisecond, make([]time.Duration, 11)...)
	is.Equal(rooms[0].Last(24), 120*time.Millisecond)
	plan := Plan(24, rooms[0], rooms, allowed)
	is.Equal(len(plan), 6)
	for _, s := range plan {
		is.Equal(s.Count, 4)
	}
}

// Guards against a split that saves less than its cost: tasks of the short queue come up before those of the long ones.
func TestShortQueueTakesTheWholeJob(t *testing.T) {
	is := is.New(t)
	rooms := pools(5*time.Millisecond, 0, 60*time.Millisecond, 60*time.Millisecond, 60*time.Millisecond)
	is.Equal(Plan(8, rooms[0], rooms, allowed), nil)
	is.Equal(Plan(2, rooms[0], pools(5*time.Millisecond, 0, 0, 0, 0), allowed), nil) // it would save 5 of 96 ms
}

// Guards against parts of a job that will be late: some are refused after others have begun. Owners refuse it whole.
func TestLateJobGoesWhole(t *testing.T) {
	is := is.New(t)
	rooms := pools(5*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond)
	is.Equal(Plan(24, rooms[0], rooms, allowed), nil)
}

// Guards against a part that nobody is left to take: each part must have an owner to move to.
func TestOwnersAreLeftForMoves(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Plan(24, Room{Gap: time.Second}, pools(time.Millisecond, 0, 0, 0, 0), allowed)), 2)
}

// Guards against a split of steps whose tasks only one owner can place together.
func TestConstrainedJobsAreNotSplit(t *testing.T) {
	is := is.New(t)
	of := func(change func(*batch.Step)) *batch.Job {
		s := batch.Step{Count: 8}
		change(&s)
		return &batch.Job{Steps: []batch.Step{s}}
	}
	is.True(Splittable(of(func(*batch.Step) {})))
	is.True(Splittable(of(func(s *batch.Step) { s.Label = "x" })))
	is.True(!Splittable(of(func(s *batch.Step) { s.Count = 1 })))
	is.True(!Splittable(of(func(s *batch.Step) { s.Gang = true })))
	is.True(!Splittable(of(func(s *batch.Step) { s.Spread = 1 })))
	is.True(!Splittable(of(func(s *batch.Step) { s.Near = "r" })))
	is.True(!Splittable(of(func(s *batch.Step) { s.SameRack = true })))
	is.True(!Splittable(&batch.Job{Steps: make([]batch.Step, 2)}))
	part := of(func(*batch.Step) {}).Range(2, 4)
	is.True(!Splittable(&part))
}

// Guards against a plan that loses tasks, gives an owner two parts or waits longer than the whole job would.
func TestPlansAreWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rooms []Room
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "owners") {
			rooms = append(rooms, Room{VM: vm(i + 1), Places: rapid.IntRange(0, 9).Draw(t, "places"), Delay: ms("delay", 5), Queue: ms("queue", 300), Gap: ms("gap", 30)})
		}
		count, best := rapid.IntRange(2, 60).Draw(t, "tasks"), rooms[0]
		plan := Plan(count, best, rooms, allowed)
		if plan == nil {
			return
		}
		sum, seen := 0, map[netip.AddrPort]bool{}
		for _, s := range plan {
			if s.Count < 1 || seen[s.VM] {
				t.Fatalf("share %+v of %+v", s, plan)
			}
			seen[s.VM], sum = true, sum+s.Count
			for _, r := range rooms {
				if r.VM == s.VM && r.Last(s.Count) >= best.Last(count) {
					t.Fatalf("%+v waits longer than the whole job", s)
				}
			}
		}
		if sum != count || len(plan) < 2 || best.Places >= count {
			t.Fatalf("plan %+v for %d tasks", plan, count)
		}
	})
}
