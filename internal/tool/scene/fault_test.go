package scene

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/tool/mix"
)

// p99 returns the 99th percentile of the response time of a class's done jobs.
func p99(rs []Result, class string) time.Duration {
	var all []time.Duration
	for _, r := range rs {
		if r.Job.Req.Class == class && r.Answer.Outcome == job.Done {
			all = append(all, r.Took)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(math.Ceil(0.99*float64(len(all))))-1)]
}

// lost counts jobs with the outcome failed or unknown.
func lost(rs []Result) (n int) {
	for _, r := range rs {
		if o := r.Answer.Outcome; o == job.Failed || o == job.Unknown {
			n++
		}
	}
	return n
}

// usefulShare returns the part of the used slot time that went to jobs that were done.
func usefulShare(s *Scene) float64 {
	var useful, spent time.Duration
	for _, r := range s.results {
		if r.Answer.Outcome == job.Done {
			for _, run := range r.Job.Runs {
				useful += run
			}
		}
	}
	for _, e := range s.endpoints {
		spent += e.Worked()
	}
	return useful.Seconds() / spent.Seconds()
}

// boundedMix returns a mix whose urgent jobs have run times without a long tail, so that
// the p99 of a few hundred jobs is meaningful.
func boundedMix() mix.Mix {
	m := mix.Default()
	m.Kinds[0].Tail = 0
	m.Kinds[0].Sigma = 0.2
	return m
}

func lightLoad() Setup {
	set := DefaultSetup(0.1)
	set.Mix = boundedMix()
	set.Span = 60 * time.Second
	return set
}

// Guards against three bad endpoints of fifty that fail most jobs: they fail every task
// at once, so they are free first, and a policy that picks the least used endpoint
// without counting failures sends them more and more tasks.
func TestFailingEndpointsLoseFewJobs(t *testing.T) {
	t.Parallel()
	set := DefaultSetup(0.7)
	set.Span = 60 * time.Second
	set.Faults = []Fault{{10 * time.Second, func(s *Scene) {
		for _, n := range []int{0, 17, 34} {
			s.Endpoint(n).FailAll(true)
		}
	}}}
	s := play(t, set)
	n := lost(s.results)
	t.Logf("%d jobs lost on 3 bad endpoints; %+v", n, s.Judge.Verdict())
	if n > 3*8 {
		t.Errorf("%d jobs lost", n)
	}
}

// Guards against good endpoints that are ejected because every task of one tenant fails,
// wherever it runs.
func TestTenantFailuresEjectNoEndpoint(t *testing.T) {
	t.Parallel()
	set := DefaultSetup(0.7)
	set.Mix.Kinds[2].Fail = 1
	worst := 0
	for at := 6 * time.Second; at < 25*time.Second; at += time.Second {
		set.Faults = append(set.Faults, Fault{at, func(s *Scene) {
			out := 0
			for i := range s.VMs {
				out += s.VM(i).Node.Stats().Ejected
			}
			s.mu.Lock()
			worst = max(worst, out)
			s.mu.Unlock()
		}})
	}
	s := play(t, set)
	t.Logf("at most %d ejected; %+v", worst, s.Judge.Verdict())
	if worst > 0 {
		t.Errorf("%d endpoints were ejected", worst)
	}
	for _, r := range s.Results() {
		if r.Answer.Outcome == job.Failed && r.Job.Kind.Name != "proof" {
			t.Errorf("a job of another kind failed: %s", r.Answer.Detail)
		}
	}
}

// Guards against tasks that start on an endpoint that is being replaced. Only half a minute
// later does the platform's list show that it leaves, so its own answers must count too.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	for _, load := range []float64{0.05, 0.7} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			set := DefaultSetup(load)
			set.Lag = 30 * time.Second
			var left time.Time
			set.Faults = []Fault{{10 * time.Second, func(s *Scene) {
				left = time.Now()
				for n := range 8 {
					s.Endpoint(n * 5).Leave()
				}
			}}}
			s := play(t, set)
			for n := range 8 {
				if d := s.Endpoint(n * 5).LastStart().Sub(left); d > 2*time.Second {
					t.Errorf("work started %s after the endpoint began to leave", d)
				}
			}
			if n := lost(s.results); n > 0 {
				t.Errorf("%d jobs lost although the endpoints left gracefully", n)
			}
		})
	}
}

// faultCase is a fault under which all guarantees must hold and most jobs must still be
// done.
type faultCase struct {
	name    string
	why     string // the failure that the case guards against
	apply   func(*Setup)
	minDone float64 // part of the jobs that must be done
}

var faultCases = []faultCase{
	{"endpoint dies", "A task runs twice: its endpoint dies while it runs, and a task that may have started is retried.",
		func(set *Setup) {
			set.Faults = []Fault{{8 * time.Second, func(s *Scene) { s.Endpoint(7).Die() }}}
		}, 0.97},
	{"rack dies", "Jobs fail long after the fault: six endpoints die together and are dialed again and again.",
		func(set *Setup) {
			set.Faults = []Fault{{8 * time.Second, func(s *Scene) {
				for n := 12; n < 18; n++ {
					s.Endpoint(n).Die()
				}
			}}}
		}, 0.90},
	{"vm dies", "Callers are told 'not run' for tasks that the dead VM had started: it dies with jobs of its own and tasks forwarded to it, and its silence is taken for a refusal.",
		func(set *Setup) {
			set.Faults = []Fault{{8 * time.Second, func(s *Scene) { s.Kill(s.VM(3)) }}}
		}, 0.93},
	{"vm dies and comes back", "Results of the old process are taken for the new one's: a VM dies and boots again at its address, and incarnations are not distinguished.",
		func(set *Setup) {
			set.Faults = []Fault{{8 * time.Second, func(s *Scene) {
				v := s.VM(3)
				s.Kill(v)
				s.Boot(v.Mesh, v.Domain)
			}}}
		}, 0.93},
	{"vm paused", "A task starts after its caller was told that it failed: a VM is paused for 20 s and then sends it, without checking the clock right before the send.",
		func(set *Setup) {
			set.Span = 40 * time.Second
			set.Faults = []Fault{{8 * time.Second, func(s *Scene) { s.Pause(s.VM(2), 20*time.Second) }}}
		}, 0.85},
	{"declarations off by ten", "Slots are idle or jobs late: every job declares a tenth of its run time, or ten times as much, and declarations are trusted.",
		func(set *Setup) {
			for i := range set.Mix.Kinds {
				set.Mix.Kinds[i].DeclaredRatio = []float64{0.1, 10}[i%2]
			}
		}, 0.99},
	{"impossible jobs", "Jobs wait behind one that can never run: it needs more than any endpoint has, but is queued.",
		func(set *Setup) {
			huge := set.Mix.Kinds[1]
			huge.Name, huge.Need = "huge", job.Size{Cores: 65}
			set.Mix.Kinds = append(set.Mix.Kinds, huge)
		}, 0.60},
	{"domain cut off", "Callers of an isolated domain get no service: a failure domain is partitioned from the others for a while and waits for VMs and endpoints that it can't reach.",
		func(set *Setup) {
			cut := func(on bool) func(*Scene) {
				return func(s *Scene) {
					for n := 1; n < 4; n++ {
						s.Cut(0, n, on)
					}
				}
			}
			set.Faults = []Fault{{8 * time.Second, cut(true)}, {16 * time.Second, cut(false)}}
		}, 0.90},
	{"cut one way", "Tasks are forwarded again and again to a domain whose answers never arrive: messages pass from the first domain to the others but not back, and a peer counts as healthy because sending works.",
		func(set *Setup) {
			cut := func(on bool) func(*Scene) {
				return func(s *Scene) {
					for n := 1; n < 4; n++ {
						s.CutOneWay(n, 0, on)
					}
				}
			}
			set.Faults = []Fault{{8 * time.Second, cut(true)}, {14 * time.Second, cut(false)}}
		}, 0.90},
	{"log down", "Callers are refused though every VM has the document: the platform's log is down for ten minutes, and requests depend on it.",
		func(set *Setup) {
			set.Load, set.Span = 0.1, 11*time.Minute
			set.Faults = []Fault{
				{8 * time.Second, func(s *Scene) { s.Stream.Set(func(r *fakes.LogRules) { r.Down = true }) }},
				{608 * time.Second, func(s *Scene) { s.Stream.Set(func(r *fakes.LogRules) { r.Down = false }) }},
			}
		}, 1},
	{"all but one vm die", "The last VM serves nobody, or tells callers 'not run' for tasks that dead VMs had started: seven of eight VMs die within a second, and it waits for confirmations from them or takes their silence for a refusal.",
		func(set *Setup) {
			set.Load = 0.1
			set.Span = 40 * time.Second
			set.Faults = []Fault{{8 * time.Second, func(s *Scene) {
				for n := range s.VMs - 1 {
					go s.Kill(s.VM(n))
				}
			}}}
		}, 0.90},
	{"platform and endpoints at once", "Faults together break what each alone doesn't: the log goes down, a rack dies, a VM is paused and another dies, within two seconds, and recovery from one fault needs what another has disabled.",
		func(set *Setup) {
			set.Faults = []Fault{
				{8 * time.Second, func(s *Scene) { s.Stream.Set(func(r *fakes.LogRules) { r.Down = true }) }},
				{8500 * time.Millisecond, func(s *Scene) {
					for n := 24; n < 30; n++ {
						s.Endpoint(n).Die()
					}
				}},
				{9 * time.Second, func(s *Scene) { s.Pause(s.VM(6), 5*time.Second) }},
				{10 * time.Second, func(s *Scene) { s.Kill(s.VM(0)) }},
			}
		}, 0.88},
	{"stragglers", "Every larger job is slow: four endpoints take ten times as long, and the slots of slow endpoints count as much as others.",
		func(set *Setup) {
			set.Faults = []Fault{{6 * time.Second, func(s *Scene) {
				for n := range 4 {
					s.Endpoint(n).Slow(1000)
				}
			}}}
		}, 0.90},
}

func TestGuaranteesHoldUnderFaults(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			set := DefaultSetup(0.7)
			c.apply(&set)
			s := play(t, set)
			v := s.Judge.Verdict()
			t.Logf("%s\n%+v ratio %.3f", c.why, v, mean(ratios(s.Results())))
			if part := float64(v.Done) / float64(v.Jobs); part < c.minDone {
				t.Errorf("only %.3f of the jobs were done", part)
			}
			for _, r := range s.results {
				if r.At > s.Warm+s.Span-3*time.Second && lost([]Result{r}) > 0 && c.name != "stragglers" {
					t.Logf("still lost at %s: %s %s", r.At, r.Answer.Reason, r.Answer.Detail)
				}
			}
		})
	}
}

// Guards against a failure domain that overloads the others, or repeats their finished
// tasks, when it returns after an hour's partition under load: messages kept for it are
// replayed, or all VMs reconnect at once.
func TestHourLongPartitionHealsWithinTenSeconds(t *testing.T) {
	t.Parallel()
	const from, till = 8 * time.Second, time.Hour + 8*time.Second
	set := DefaultSetup(0.03)
	set.Span = time.Hour + 40*time.Second
	cut := func(on bool) func(*Scene) {
		return func(s *Scene) {
			for n := 1; n < 4; n++ {
				s.Cut(0, n, on)
			}
		}
	}
	set.Faults = []Fault{{from, cut(true)}, {till, cut(false)}}
	s := play(t, set)
	var during, after []Result
	for _, r := range s.results {
		switch {
		case r.At > from+10*time.Second && r.At < till:
			during = append(during, r)
		case r.At > till+10*time.Second:
			after = append(after, r)
		}
	}
	t.Logf("cut off: %d jobs, %d lost, ratio %.3f; healed: %d jobs, %d lost, ratio %.3f; %+v",
		len(during), lost(during), mean(ratios(during)), len(after), lost(after), mean(ratios(after)), s.Judge.Verdict())
	if lost(during)+lost(after) > 0 || len(after) < 20 {
		t.Errorf("%d jobs lost while cut off, %d after healing, of %d and %d", lost(during), lost(after), len(during), len(after))
	}
	if m := mean(ratios(after)); m > 1.05 {
		t.Errorf("mean ratio %.3f after healing", m)
	}
}
