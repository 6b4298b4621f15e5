// Package share decides how many cores of an owner a rank gets before earlier ranks, so that over all owners it has a
// guaranteed share of the cores of a pool while it has work waiting. It addresses heavy days, on which urgent and
// routine jobs alone ask for more than all cores, so that later ranks get none.
package share

import (
	"net/netip"
	"slices"
	"time"
)

// Use is what the jobs of a rank hold and want at one owner, in cores.
type Use struct {
	Rank    int
	Used    float64
	Waiting float64 // needed by tasks that could start if there were room
}

// Report states the cores of one pool at an owner, and their use by the ranks that have a share.
type Report struct {
	Pool  string
	Cores float64
	Ranks []Use
}

func (r *Report) use(rank int) Use {
	if i := slices.IndexFunc(r.Ranks, func(u Use) bool { return u.Rank == rank }); i >= 0 {
		return r.Ranks[i]
	}
	return Use{Rank: rank}
}

// maxAge is how long a peer's report counts. Heartbeats between failure domains come each 0.3 s; after three that are
// missing the peer counts as silent elsewhere too.
const maxAge = time.Second

type heard struct {
	at      time.Time
	reports []Report
}

// Ledger holds what other owners reported.
type Ledger struct{ peers map[netip.AddrPort]heard }

// Record replaces a peer's reports; one without any owns nothing.
func (l *Ledger) Record(now time.Time, vm netip.AddrPort, reports []Report) {
	if len(reports) == 0 {
		delete(l.peers, vm)
		return
	}
	if l.peers == nil {
		l.peers = map[netip.AddrPort]heard{}
	}
	l.peers[vm] = heard{now, reports}
}

// Expire drops reports that are too old to count.
func (l *Ledger) Expire(now time.Time) {
	for vm, h := range l.peers {
		if now.Sub(h.at) > maxAge {
			delete(l.peers, vm)
		}
	}
}

// Peers returns how many peers count, and the age of the oldest report.
func (l *Ledger) Peers(now time.Time) (n int, oldest time.Duration) {
	for _, h := range l.peers {
		if age := now.Sub(h.at); age <= maxAge {
			n, oldest = n+1, max(oldest, age)
		}
	}
	return n, oldest
}

// Level returns the part of its cores that each owner with enough work gives a rank, so that all of them together give
// it its share of the pool: the share itself if all have enough, more if some lack work, and less if some give more
// anyway. The own report is exact; those of peers count for maxAge.
func (l *Ledger) Level(now time.Time, own Report, rank int, part float64) float64 {
	mine := own.amount(rank)
	mine.used = 0 // else an owner that holds a little more than all lack would have a level of 0
	all := []amount{mine}
	for _, h := range l.peers {
		if now.Sub(h.at) > maxAge {
			continue
		}
		for i := range h.reports {
			if h.reports[i].Pool == own.Pool {
				all = append(all, h.reports[i].amount(rank))
			}
		}
	}
	return level(all, part)
}

// amount is what one owner has, and what a rank holds and could hold there.
type amount struct{ cores, used, wanted float64 }

func (r *Report) amount(rank int) amount {
	u := r.use(rank)
	return amount{cores: r.Cores, used: u.Used, wanted: min(r.Cores, u.Used+u.Waiting)}
}

// given returns what a rank holds of an owner that gives it up to a level of its cores.
func (a amount) given(level float64) float64 { return max(a.used, min(a.wanted, level*a.cores)) }

// level returns the least level at which a rank gets its part of all cores, or 1.
func level(all []amount, part float64) float64 {
	need := 0.0
	for _, a := range all {
		need += part * a.cores
	}
	low, high := 0.0, 1.0
	for range levelSteps { // what is given rises with the level
		mid := (low + high) / 2
		got := 0.0
		for _, a := range all {
			got += a.given(mid)
		}
		if got >= need {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

// levelSteps gives a resolution of a thousandth, less than one task of an owner's endpoints.
const levelSteps = 10

// rampTime is how long it takes until an owner gives twice the share to make up for others. Until then it has heard
// several heartbeats of each peer: when a burst begins, all owners have waiting work before they hear so of each other,
// and each would give the rank all room that comes free.
const rampTime = time.Second

// Grant is the part of an owner's cores that a rank gets before earlier ranks. It follows the level: down at once, up
// to the share at once, and slowly beyond it while the rank's work waits. What is beyond the share goes as slowly when
// none waits, as a full owner's queue of one rank is empty for moments.
type Grant struct {
	part float64
	at   time.Time
}

// Update returns the part of the cores to give now. Waiting says that the rank has work waiting here, and full that it
// holds what it was given.
func (g *Grant) Update(now time.Time, share, level float64, waiting, full bool) float64 {
	step := 0.0
	if !g.at.IsZero() {
		step = share * min(1, now.Sub(g.at).Seconds()/rampTime.Seconds())
	}
	g.at = now
	switch {
	case !waiting:
		g.part -= step
	case full:
		g.part = max(g.part, share) + step
	}
	g.part = min(level, max(g.part, share))
	return g.part
}
