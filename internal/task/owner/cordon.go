package owner

import (
	"slices"
	"time"
)

// cordonGrace is how long jobs that have begun may still start their other tasks in a failure
// domain that was just cordoned: without it what has run of them is lost. Whoever cordons a domain
// gives seconds; the word must stand on all VMs within 300 ms, of which it takes a few to come here.
const cordonGrace = 150 * time.Millisecond

// Cordon begins or ends the time in which a failure domain's endpoints get no new work. What runs
// there goes on to its end.
//
// What goes wrong if only new jobs are kept away: those that wait here for room wait for what never
// comes, until their callers leave. One notices jobs that end by their deadline, all of one owner.
// So they are refused at once, and run elsewhere.
func (b *Book) Cordon(now time.Time, domain string, on bool) {
	delete(b.cordons, domain)
	since := time.Time{}
	if on {
		since = now
		b.cordons[domain] = since
	}
	for _, s := range b.order {
		if s.Domain == domain {
			s.cordon = since
		}
	}
	for _, e := range b.jobs {
		if !e.told {
			b.review(now, e)
		}
	}
	b.pump(now)
}

// Open reports whether an endpoint takes new jobs' tasks.
func (s *site) Open() bool { return s.cordon.IsZero() && s.Endpoint.Open() }

// admits reports whether a job may start a task on an endpoint as far as cordons go.
func (b *Book) admits(now time.Time, s *site, e *entry) bool {
	return s.cordon.IsZero() || (e.begun && now.Sub(s.cordon) < cordonGrace)
}

// stranded reports whether a task of a job that has begun waits for what no endpoint here can give
// any more. To know it is to answer: its caller may yet go elsewhere.
func (b *Book) stranded(now time.Time, e *entry) bool {
	for i := range e.steps {
		st := &e.Steps[i]
		if len(e.steps[i].waiting) == 0 {
			continue
		}
		if !slices.ContainsFunc(b.order, func(s *site) bool {
			return !s.lost && b.admits(now, s, e) && st.Need.Fits(s.Size) && fitsLabel(s, st, e.Pool)
		}) {
			return true
		}
	}
	return false
}

// lacks tells a caller why no endpoint here will do.
func (b *Book) lacks() string {
	if len(b.cordons) > 0 {
		return "no endpoint here that is open to new work has what a task needs: failure domains are cordoned"
	}
	return "no endpoint here has what a task needs"
}
