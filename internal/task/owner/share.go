package owner

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/task/share"
)

// shares is the state of the guaranteed shares of later ranks.
type shares struct {
	ledger     share.Ledger
	guarantees []*guarantee // by rank, then pool
}

// guarantee is what a rank gets of one pool's cores here before earlier ranks.
type guarantee struct {
	rank  int
	pool  string
	share float64 // of the cores of all owners
	grant share.Grant
	level float64
	part  float64 // of the cores here
	// cores are those of the pool here; used and waiting are the rank's, counted in time only.
	cores, used, waiting float64
	precedence           bool
	calmSince            time.Time // since when no work waits that has precedence
}

// target returns how many cores the rank gets before earlier ranks.
func (g *guarantee) target() float64 { return g.part * g.cores }

// lacking returns how many more tasks of a need the rank may start before earlier ranks. It rounds to the nearest, so
// that it gets its share on average.
func (g *guarantee) lacking(cores float64) int {
	if cores <= 0 {
		return 0
	}
	return max(0, int((g.target()-g.used)/cores+0.5))
}

// Shares lists what the ranks with a share hold and want here, by pool, for the other owners; nil without shares or
// endpoints.
func (sc *Scheduler) Shares() (all []share.Report) {
	if len(sc.cfg.Shares) == 0 {
		return nil
	}
	ranks := slices.Sorted(maps.Keys(sc.cfg.Shares))
	at := func(pool string) *share.Report {
		i := slices.IndexFunc(all, func(r share.Report) bool { return r.Pool == pool })
		if i < 0 {
			i = len(all)
			all = append(all, share.Report{Pool: pool})
			for _, rank := range ranks {
				all[i].Ranks = append(all[i].Ranks, share.Use{Rank: rank})
			}
		}
		return &all[i]
	}
	for _, s := range sc.order {
		if s.lost || s.handingOver || !s.Open() {
			continue
		}
		p := at(s.Pool)
		p.Cores += s.Size.Cores
		for _, r := range s.Runs {
			if i := slices.Index(ranks, r.Job.(*entry).Rank); i >= 0 {
				p.Ranks[i].Used += r.Need.Cores
			}
		}
	}
	for _, e := range sc.queue {
		i := slices.Index(ranks, e.Rank)
		if i < 0 || e.late || !slices.ContainsFunc(all, func(r share.Report) bool { return r.Pool == e.Pool }) {
			continue
		}
		at(e.Pool).Ranks[i].Waiting += e.waitingCores()
	}
	return all
}

// waitingCores returns the cores that the tasks need which could start if there were room.
func (e *entry) waitingCores() (cores float64) {
	for i := range e.steps {
		if e.ready(i) {
			cores += float64(len(e.steps[i].waiting)) * e.Steps[i].Need.Cores
		}
	}
	return cores
}

// AddShares records what another owner reported at the given time.
func (sc *Scheduler) AddShares(at time.Time, vm netip.AddrPort, reports []share.Report) {
	if len(sc.cfg.Shares) > 0 {
		sc.shares.ledger.Record(at, vm, reports)
	}
}

// updateShares decides how much of the cores here each rank with a share gets before earlier ranks.
func (sc *Scheduler) updateShares(now time.Time) {
	if len(sc.cfg.Shares) == 0 {
		return
	}
	sc.shares.ledger.Expire(now)
	before := sc.shares.guarantees
	sc.shares.guarantees = nil
	for _, rep := range sc.Shares() {
		for _, u := range rep.Ranks {
			g := &guarantee{rank: u.Rank, pool: rep.Pool, calmSince: now}
			if i := slices.IndexFunc(before, func(x *guarantee) bool { return x.rank == g.rank && x.pool == g.pool }); i >= 0 {
				g = before[i]
			}
			g.share, g.cores, g.used, g.waiting = sc.cfg.Shares[u.Rank], rep.Cores, u.Used, u.Waiting
			g.level = sc.shares.ledger.Level(now, rep, u.Rank, g.share)
			g.part = g.grant.Update(now, g.share, g.level, u.Waiting > 0, g.used+u.Waiting > 0 && g.lacking(sc.needs.mean.Cores) == 0)
			sc.notePrecedence(now, g)
			sc.shares.guarantees = append(sc.shares.guarantees, g)
		}
	}
	slices.SortStableFunc(sc.shares.guarantees, func(a, c *guarantee) int { return a.rank - c.rank })
}

// precedenceKept is how long a rank must have had nothing waiting before its precedence counts as ended in the log. Its
// work waits for moments only while the pool isn't full.
const precedenceKept = time.Second

// notePrecedence logs when a rank begins or ceases to go before earlier ones.
func (sc *Scheduler) notePrecedence(now time.Time, g *guarantee) {
	contested := g.waiting > 0 && g.part > 0 && slices.ContainsFunc(sc.queue, func(e *entry) bool { return e.Rank < g.rank && !e.late && e.Pool == g.pool })
	if contested {
		g.calmSince = now
	}
	if on := contested || (g.precedence && now.Sub(g.calmSince) < precedenceKept); on != g.precedence {
		g.precedence = on
		outcome := "ceases"
		if on {
			outcome = "begins"
		}
		peers, age := sc.shares.ledger.Peers(now)
		sc.cfg.Log.Info("share", "rank", g.rank, "pool", g.pool, "share", g.share, "part", round2(g.part), "level", round2(g.level), "in_use", round2(g.used), "waiting", round2(g.waiting),
			"cores", g.cores, "peers", peers, "age", age.Round(time.Millisecond), "outcome", outcome)
	}
}

// ShareCores returns the cores that the runs of a rank hold here.
func (sc *Scheduler) ShareCores(rank int) (cores float64) {
	for _, s := range sc.order {
		cores += s.usedBy(rank)
	}
	return cores
}

// usedBy returns the cores that a rank's runs hold on an endpoint.
func (s *endpoint) usedBy(rank int) (cores float64) {
	for _, r := range s.Runs {
		if r.Job.(*entry).Rank == rank {
			cores += r.Need.Cores
		}
	}
	return cores
}

// recount counts the cores again that a rank holds here.
func (sc *Scheduler) recount(g *guarantee) {
	g.used = 0
	for _, s := range sc.order {
		if s.Pool == g.pool && !s.lost && !s.handingOver && s.Open() {
			g.used += s.usedBy(g.rank)
		}
	}
}

// dispatchShares starts tasks of ranks that hold less than they are given, before those of earlier ranks.
func (sc *Scheduler) dispatchShares(now time.Time) {
	for _, g := range sc.shares.guarantees {
		first := slices.IndexFunc(sc.queue, g.serves)
		if first < 0 {
			continue
		}
		sc.recount(g)
		for _, e := range slices.Clone(sc.queue[first:]) {
			if g.serves(e) && e.fresh(now) && !sc.startWithin(now, g, e) {
				break
			}
		}
	}
}

// serves reports whether a job is of the rank and pool, and in time.
func (g *guarantee) serves(e *entry) bool {
	return e.Rank == g.rank && e.Pool == g.pool && !e.late
}

// startWithin starts tasks of a job as far as the rank holds less than it is given. It returns false if it holds that or
// a task found no room.
func (sc *Scheduler) startWithin(now time.Time, g *guarantee, e *entry) bool {
	for i := range e.steps {
		n := len(e.steps[i].waiting)
		if n == 0 || !e.ready(i) {
			continue
		}
		most := g.lacking(e.Steps[i].Need.Cores)
		if e.Steps[i].Gang && most < n {
			continue // all of its tasks or none
		}
		if most == 0 {
			return false
		}
		fits := sc.startStep(now, e, i, most)
		sc.recount(g)
		if !fits && unconstrained(&e.Steps[i]) {
			return false
		}
	}
	return true
}
