package grid

import (
	"maps"
	"time"
)

// useMeter samples which jobs' runs hold how many cores.
type useMeter struct {
	samples []useSample
	jobs    map[string]*Result
}

type useSample struct {
	at     time.Duration
	cores  float64            // of all endpoints of the domains that are measured
	byJob  map[string]float64 // cores in use, by job
	starts map[string]int     // tasks that run or are done, by job; only for all domains
	domain string             // of the endpoints; empty for all
}

// sampleEvery is the interval of samples; the shortest runs take three times as long.
const sampleEvery = 20 * time.Millisecond

// measureUse adds a fault to a setup that samples the use of the endpoints of all domains, and of one by itself.
func measureUse(set *Setup, domain string) *useMeter {
	u := &useMeter{}
	span := set.Warmup + set.Span
	set.Faults = append(set.Faults, Fault{Do: func(g *Grid) {
		for at := time.Duration(0); at < span; at += sampleEvery {
			u.samples = append(u.samples, g.sampleUse(at, ""))
			if domain != "" {
				u.samples = append(u.samples, g.sampleUse(at, domain))
			}
			time.Sleep(sampleEvery)
		}
	}})
	return u
}

// sampleUse returns the use of the endpoints of a domain, or of all.
func (g *Grid) sampleUse(at time.Duration, domain string) useSample {
	s := useSample{at: at, byJob: map[string]float64{}, domain: domain}
	measured := map[string]bool{}
	g.mu.Lock()
	for id, e := range g.endpoints {
		if domain == "" || e.Domain == domain {
			measured[id] = true
			s.cores += e.Size.Cores
		}
	}
	g.mu.Unlock()
	g.Judge.mu.Lock()
	defer g.Judge.mu.Unlock()
	if domain == "" {
		s.starts = maps.Clone(g.Judge.done)
	}
	for task, at := range g.Judge.running {
		if domain == "" && len(at) > 0 {
			s.starts[jobOf(task)]++
		}
		for ep := range at {
			if measured[ep] {
				s.byJob[jobOf(task)] += g.Judge.work[task].Need.Cores
			}
		}
	}
	return s
}

// learnJobs records the jobs of a grid that has ended.
func (u *useMeter) learnJobs(g *Grid) {
	u.jobs = map[string]*Result{}
	for i := range g.results {
		u.jobs[g.results[i].ID] = &g.results[i]
	}
}

// minWait is how long a task must have waited to count as waiting: accepting and starting a job takes 10 ms or so.
const minWait = 25 * time.Millisecond

// waits reports whether a job of a kind, submitted in a domain or anywhere, has tasks that wait at the time of a sample
// of all domains.
func (u *useMeter) waits(kind int, domain string, s useSample) bool {
	for id, r := range u.jobs {
		if r.Kind == kind && (domain == "" || r.Domain == domain) && s.at >= r.At+minWait && s.at < r.At+r.Took && s.starts[id] < r.Tasks {
			return true
		}
	}
	return false
}

// part returns the part of the cores of a domain, or of all, that the runs of a kind hold in a span while work of it
// waits that was submitted there, and how long that is.
func (u *useMeter) part(kind int, domain string, from, to time.Duration) (part float64, while time.Duration) {
	held, cores, waits := 0.0, 0.0, false
	for _, s := range u.samples {
		if s.at < from || s.at >= to {
			continue
		}
		if s.domain == "" {
			waits = u.waits(kind, domain, s)
		}
		if s.domain != domain || !waits {
			continue
		}
		while += sampleEvery
		cores += s.cores
		for id, x := range s.byJob {
			if r := u.jobs[id]; r != nil && r.Kind == kind {
				held += x
			}
		}
	}
	return held / max(1, cores), while
}
