// Package parts divides the tasks of one job among several owners of endpoints and gathers the owners' answers.
//
// It addresses jobs that are wider than the room of any one owner. A full pool of 32 endpoints of 16 to 24 cores, with
// tasks of 8 cores and 0.3 s, has a place free every 5 ms, so the last of 24 urgent tasks starts 120 ms after the first
// and the job misses an objective of 1.6 times 60 ms plus 60 ms. In eleven such pools together a place comes free every
// 0.5 ms.
package parts

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/task/batch"
)

// partCost is the wait that each further part must save. A part costs a hand-over, keepalives and an answer, 0.3 ms of
// processor time on VMs with 0.15 cores, and one more owner whose loss ends the job.
const partCost = 2 * time.Millisecond

// minGain is the part of the wait allowed by a job's objective that running in parts must save.
const minGain = 0.1

// maxParts bounds the parts of a job, and with it the time that a plan takes: 0.1 ms for 520 tasks and 135 owners.
const maxParts = 16

// Room is what an owner is expected to have for the tasks of a job, by its latest load report.
type Room struct {
	VM     netip.AddrPort
	Places int           // tasks that can start at once
	Delay  time.Duration // until a task that has a place starts
	Queue  time.Duration // until the places begin to come free that tasks without one wait for
	Gap    time.Duration // between two places that come free
	Age    time.Duration // of the load report
}

// Last returns when the last of n tasks is expected to start at an owner.
func (r *Room) Last(n int) time.Duration {
	if n <= r.Places {
		return r.Delay
	}
	return r.Delay + r.Queue + time.Duration(n-r.Places)*r.Gap
}

// Share is the number of tasks for one owner.
type Share struct {
	VM    netip.AddrPort
	Count int
}

// Splittable reports whether the tasks of a job may run at several owners: they don't depend on each other and don't
// restrict each other's endpoints, which only a single owner can check.
func Splittable(j *batch.Job) bool {
	if len(j.Steps) != 1 || j.Part() {
		return false
	}
	s := &j.Steps[0]
	return s.Count >= 2 && !s.Gang && !s.SameRack && s.Spread == 0 && s.Near == ""
}

// Plan divides a job's tasks among owners so that the last task starts early, in as few parts as possible. It returns
// nil if the job should go whole to the best owner: that one has room for all of its tasks now, or further parts don't
// save partCost each.
func Plan(count int, best Room, rooms []Room, allowed time.Duration) []Share {
	if best.Places >= count {
		return nil
	}
	rooms = slices.Clone(rooms)
	slices.SortFunc(rooms, func(a, b Room) int {
		return cmp.Or(cmp.Compare(min(b.Places, count), min(a.Places, count)), cmp.Compare(a.Last(a.Places+1), b.Last(b.Places+1)), a.VM.Compare(b.VM))
	})
	lowest := min(best.Last(count)-time.Duration(minGain*float64(allowed)), allowed)
	var plan []Share
	for n := 2; n <= min(count, (len(rooms)+1)/2, maxParts); n++ {
		cost := time.Duration(n-1) * partCost
		if cost >= lowest {
			break
		}
		shares, last := divide(count, rooms[:n])
		if len(shares) == n && last+cost < lowest {
			plan, lowest = shares, last+cost
		}
	}
	return plan
}

// divide lets the last task start as early as possible, to a microsecond, and returns when that is. Surplus places of the
// later owners are not used.
func divide(count int, rooms []Room) (shares []Share, last time.Duration) {
	high := rooms[0].Last(count)
	for i := range rooms {
		high = min(high, rooms[i].Last(count))
	}
	fits := func(by time.Duration) (n int) {
		for i := range rooms {
			n += rooms[i].fits(by, count)
		}
		return n
	}
	for low := time.Duration(0); high-low > time.Microsecond; {
		if mid := low + (high-low)/2; fits(mid) >= count {
			high = mid
		} else {
			low = mid
		}
	}
	for i := range rooms {
		n := min(rooms[i].fits(high, count), count)
		if n > 0 {
			shares = append(shares, Share{rooms[i].VM, n})
			last = max(last, rooms[i].Last(n))
		}
		count -= n
	}
	return shares, last
}

// fits returns how many tasks are expected to start at an owner by a time, at most the given number.
func (r *Room) fits(by time.Duration, most int) int {
	switch wait := by - r.Delay - r.Queue; {
	case by < r.Delay:
		return 0
	case wait < r.Gap:
		return min(r.Places, most)
	case r.Gap <= 0:
		return most
	default:
		return min(r.Places+int(wait/r.Gap), most)
	}
}
