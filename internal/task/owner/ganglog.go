package owner

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dahliawinch/internal/task/lease"
)

// summarizeExcluded counts the endpoints on which no member of a gang may start now, by what excludes them.
func (sc *Scheduler) summarizeExcluded(now time.Time, e *entry, i int, by rules) string {
	without := map[string]int{}
	for _, s := range sc.order {
		if why := sc.excludesMembers(now, s, e, i, by); why != "" {
			without[why]++
		}
	}
	parts := []string{}
	for _, why := range slices.Sorted(maps.Keys(without)) {
		parts = append(parts, fmt.Sprintf("%s %d", why, without[why]))
	}
	return strings.Join(parts, ", ")
}

// logGangWaits logs what a gang waits for, if that has changed; by, if not nil, are the rules by which endpoints are excluded.
func (sc *Scheduler) logGangWaits(now time.Time, e *entry, i, places int, why string, by *rules) {
	g := &e.steps[i].gang
	if g.waitsSince.IsZero() {
		g.waitsSince = now
	}
	if !g.loggedAt.IsZero() && now.Sub(g.loggedAt) < gangLogInterval {
		return
	}
	without := ""
	if by != nil {
		without = sc.summarizeExcluded(now, e, i, *by)
	}
	state := fmt.Sprint(why, places, without)
	g.loggedAt = now
	if state == g.waitsFor {
		return
	}
	g.waitsFor = state
	sc.cfg.Log.Info("gang waits", "job", e.ID, "step", i, "tasks", e.Steps[i].Count, "for", why, "places", places, "endpoints", len(sc.order), "without", without,
		"waited", now.Sub(g.waitsSince).Round(time.Millisecond), "age", now.Sub(e.arrived).Round(time.Millisecond))
}

// logGangStarts logs that all members of a gang are about to start.
func (sc *Scheduler) logGangStarts(now time.Time, e *entry, i int, by rules, runs []*lease.Run) {
	g := &e.steps[i].gang
	waited := time.Duration(0)
	if !g.waitsSince.IsZero() {
		waited = now.Sub(g.waitsSince)
	}
	g.waitsSince, g.waitsFor, g.loggedAt = time.Time{}, "", time.Time{}
	at := map[*lease.Endpoint]bool{}
	for _, r := range runs {
		at[e.runs[r]] = true
	}
	sc.cfg.Log.Info("gang starts", "job", e.ID, "step", i, "run", runs[0].Num, "tasks", len(runs), "endpoints", len(at), "failures", e.steps[i].failures[0],
		"avoid_failed", by.avoidFailed, "slow", by.slow, "trials", by.trials, "waited", waited.Round(time.Millisecond), "age", now.Sub(e.arrived).Round(time.Millisecond))
}
