package owner

import (
	"slices"
	"time"
)

// Cleared says that a process of an endpoint obeys a fence and runs nothing that was started under a lower one. The
// process never goes back to a lower fence, so it stays true however late it is read, but not of a later process.
type Cleared struct {
	Endpoint string // ID of one incarnation
	Fence    uint64
	Born     int64 // when the process started, Unix milliseconds; 0 if it doesn't say
}

// clearedEntry is a Cleared to be sent to other owners.
type clearedEntry struct {
	at time.Time
	Cleared
}

const (
	// clearedFor is how long a Cleared is sent to the former owner: several heartbeats between failure domains.
	clearedFor = time.Second
	// maxCleared is the limit for one heartbeat. Owners that get none wait for their leases to run out.
	maxCleared = 32
)

// noteCleared records that an endpoint that another VM used before has no runs of that VM left.
func (sc *Scheduler) noteCleared(now time.Time, s *endpoint) {
	sc.cfg.Log.Info("endpoint cleared", "endpoint", s.ID, "fence", s.Fence, "born", s.LastBorn())
	sc.recentCleared = append(sc.recentCleared, clearedEntry{now, Cleared{s.ID, s.Fence, s.LastBorn()}})
}

// Cleared lists the endpoints taken over from other owners lately. If there are more than maxCleared,
// the next calls list the others.
func (sc *Scheduler) Cleared(now time.Time) (all []Cleared) {
	sc.recentCleared = slices.DeleteFunc(sc.recentCleared, func(c clearedEntry) bool { return now.Sub(c.at) > clearedFor })
	n := min(maxCleared, len(sc.recentCleared))
	for _, c := range sc.recentCleared[:n] {
		all = append(all, c.Cleared)
	}
	sc.recentCleared = slices.Concat(sc.recentCleared[n:], sc.recentCleared[:n])
	return all
}

// ApplyCleared records that another owner has cleared an endpoint: runs that this one started there
// under a lower fence are over and can restart elsewhere. With equal fences the endpoint obeys both.
func (sc *Scheduler) ApplyCleared(now time.Time, c Cleared) {
	s := sc.endpoints[c.Endpoint]
	if s == nil || c.Fence <= s.Fence {
		return
	}
	sc.Lose(now, c.Endpoint, false, "another VM has cleared it")
	if sc.endpoints[c.Endpoint] != s {
		return // it had no runs
	}
	over := s.EndFenced(c.Born)
	sc.cfg.Log.Info("runs ended by new owner", "endpoint", s.ID, "runs", len(over), "left", len(s.Runs), "fence", s.Fence, "new_fence", c.Fence, "born", s.LastBorn(), "cleared_born", c.Born)
	sc.runsEnded(now, s, over, "cleared by another VM")
	if len(s.Runs) == 0 {
		sc.remove(c.Endpoint)
	}
	sc.dispatch(now)
}
