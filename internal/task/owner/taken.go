package owner

import (
	"slices"
	"time"
)

// Cleared says that an endpoint obeys a fence and runs nothing that was started under a lower one. Endpoints
// never go back to a lower fence, so it stays true however late it is read.
type Cleared struct {
	Endpoint string // id of one life
	Fence    uint64
}

// clearing is a Cleared that other owners may not have heard of.
type clearing struct {
	at time.Time
	Cleared
}

const (
	// clearedFor is how long a former owner is told that its runs are over: several heartbeats between failure domains.
	clearedFor = time.Second
	// mostCleared bounds those of a heartbeat. Owners that hear of none wait for their leases.
	mostCleared = 32
)

// cleared notes that an endpoint that another VM used until now runs nothing for it any more.
func (b *Book) cleared(now time.Time, s *site) {
	b.cfg.Log.Info("endpoint cleared", "endpoint", s.ID, "fence", s.Fence)
	b.clears = append(b.clears, clearing{now, Cleared{s.ID, s.Fence}})
}

// Cleared lists endpoints that this owner has lately taken from others, by turns if there are many.
func (b *Book) Cleared(now time.Time) (all []Cleared) {
	b.clears = slices.DeleteFunc(b.clears, func(c clearing) bool { return now.Sub(c.at) > clearedFor })
	n := min(mostCleared, len(b.clears))
	for _, c := range b.clears[:n] {
		all = append(all, c.Cleared)
	}
	b.clears = slices.Concat(b.clears[n:], b.clears[:n])
	return all
}

// Yield takes in that another owner has cleared an endpoint: runs that this one started there under a lower
// fence are over, and can begin anew elsewhere. Of equal fences the endpoint obeys both.
func (b *Book) Yield(now time.Time, c Cleared) {
	s := b.sites[c.Endpoint]
	if s == nil || c.Fence <= s.Fence {
		return
	}
	b.Lose(now, c.Endpoint, false, "another VM has cleared it")
	if b.sites[c.Endpoint] != s {
		return // nothing ran there
	}
	b.cfg.Log.Info("runs cleared", "endpoint", s.ID, "runs", len(s.Runs), "fence", s.Fence, "higher", c.Fence)
	b.allOver(now, s, s.Cleared(), "cleared by another VM")
	b.remove(c.Endpoint)
	b.pump(now)
}
