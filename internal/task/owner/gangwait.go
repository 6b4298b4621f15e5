package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/lease"
)

// freed is room for more members of a gang from a time on.
type freed struct {
	at     time.Duration
	s      *endpoint
	places int
}

// gangWait returns how long it takes until all members of a gang have places if nothing else starts, and the endpoints
// with these, as few as possible; nil if they never have.
func (sc *Scheduler) gangWait(now time.Time, e *entry, i int, by rules) (wait time.Duration, at []*endpoint) {
	var all []freed
	for _, s := range sc.order {
		if s.hold.by == nil && sc.admitsMembers(now, s, e, i, by) {
			all = append(all, sc.freedPlaces(now, s, &e.Steps[i])...)
		}
	}
	slices.SortStableFunc(all, func(a, c freed) int { return cmp.Compare(a.at, c.at) })
	places, sum := map[*endpoint]int{}, 0
	for _, f := range all {
		if sum >= e.Steps[i].Count {
			break
		}
		places[f.s] += f.places
		sum += f.places
		wait = f.at
	}
	if sum < e.Steps[i].Count {
		return 0, nil
	}
	most := slices.SortedFunc(maps.Keys(places), func(a, c *endpoint) int {
		return cmp.Or(cmp.Compare(places[c], places[a]), cmp.Compare(a.ID, c.ID))
	})
	for need := e.Steps[i].Count; need > 0; most = most[1:] {
		at = append(at, most[0])
		need -= places[most[0]]
	}
	return wait, at
}

// freedPlaces lists when an endpoint has room for how many more members of a gang.
func (sc *Scheduler) freedPlaces(now time.Time, s *endpoint, st *batch.Step) (all []freed) {
	runs := make([]*lease.Run, 0, len(s.Runs))
	for _, r := range s.Runs {
		runs = append(runs, r)
	}
	left := make(map[*lease.Run]time.Duration, len(runs))
	for _, r := range runs {
		left[r] = sc.remaining(now, r)
	}
	slices.SortFunc(runs, func(a, c *lease.Run) int { return cmp.Or(cmp.Compare(left[a], left[c]), cmp.Compare(a.Name, c.Name)) })
	room, places := s.Free(), 0
	note := func(at time.Duration) {
		if n := memberPlaces(room, st); n > places {
			all = append(all, freed{at, s, n - places})
			places = n
		}
	}
	note(0)
	for _, r := range runs {
		room.Cores, room.Memory, room.Accels = room.Cores+r.Need.Cores, room.Memory+r.Need.Memory, room.Accels+r.Need.Accels
		note(left[r])
	}
	return all
}

// forecastGang predicts how long a new job waits until all tasks of its first step have places at a time.
func (sc *Scheduler) forecastGang(now time.Time, e *entry) (wait time.Duration) {
	by, ok := sc.gangRulesFor(now, e, 0)
	if !ok { // endpoints are on trial or away
		for _, s := range sc.order {
			wait = max(wait, sc.health.RetryAt(s.Addr).Sub(now))
		}
		return wait
	}
	wait, _ = sc.gangWait(now, e, 0, by)
	if cores := sc.usableCores(); cores > 0 {
		for _, q := range sc.queue {
			if before(e, q) {
				break
			}
			for i := range q.steps {
				st := &q.Steps[i]
				work := float64(len(q.steps[i].waiting)) * st.Need.Cores * sc.expect(q.Job, st).Seconds()
				wait += time.Duration(work / cores * float64(time.Second))
			}
		}
	}
	return wait
}
