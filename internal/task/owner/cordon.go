package owner

import "time"

// cordonGrace is how long jobs that have begun may start their remaining tasks in a failure domain
// that was just cordoned; without it their finished runs are wasted. Operators allow seconds for a
// cordon, but it must hold on all VMs within 300 ms, and part of that passes before it reaches this VM.
const cordonGrace = 150 * time.Millisecond

// Cordon starts or ends the cordon of a failure domain: its endpoints get no new work while running
// tasks go on to their end.
//
// Jobs that wait here for room in the domain are refused at once, so that they run elsewhere.
// If only new jobs were refused, they would wait until their callers left: many jobs of one owner
// would end by their deadline.
func (sc *Scheduler) Cordon(now time.Time, domain string, on bool) {
	delete(sc.cordons, domain)
	since := time.Time{}
	if on {
		since = now
		sc.cordons[domain] = since
	}
	for _, s := range sc.order {
		if s.Domain == domain {
			s.cordonedAt = since
		}
	}
	for _, e := range sc.jobs {
		if !e.answered {
			sc.review(now, e)
		}
	}
	sc.dispatch(now)
}

// Open reports whether an endpoint accepts tasks of new jobs.
func (s *endpoint) Open() bool { return s.cordonedAt.IsZero() && s.Endpoint.Open() }

// cordonAdmits reports whether cordons let a job start a task on an endpoint.
func (sc *Scheduler) cordonAdmits(now time.Time, s *endpoint, e *entry) bool {
	return s.cordonedAt.IsZero() || (e.begun && now.Sub(s.cordonedAt) < cordonGrace)
}

// stranded reports whether a task of a job that has begun waits for resources that no endpoint here
// can offer any more. Such a job is answered at once, so that its caller can still go elsewhere.
func (sc *Scheduler) stranded(now time.Time, e *entry) bool {
	for i := range e.steps {
		st := &e.Steps[i]
		if len(e.steps[i].waiting) == 0 {
			continue
		}
		if !sc.fitsOn(st, e.deadline, func(s *endpoint) bool {
			return !s.lost && sc.cordonAdmits(now, s, e) && matches(s, st, e.Pool)
		}) {
			return true
		}
	}
	return false
}

// noEndpointDetail tells a caller why no endpoint here is suitable.
func (sc *Scheduler) noEndpointDetail() string {
	if len(sc.cordons) > 0 {
		return "no endpoint here that is open to new work has what a task needs: failure domains are cordoned"
	}
	return "no endpoint here has what a task needs, or not enough of them for a gang"
}
