package scene

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/fold"
	"dahliawinch/internal/plat/fakes"
)

// idleSetup returns a deployment without callers.
func idleSetup(span time.Duration) Setup {
	set := DefaultSetup(0)
	set.Warm, set.Span = 0, span
	return set
}

// setWeight returns a change that sets a tenant's weight; distinct weights tell changes
// apart.
func setWeight(w float64) func(*doc.Document) {
	return func(d *doc.Document) {
		t := d.Tenants["crew"]
		t.Weight = w
		d.Tenants["crew"] = t
	}
}

// awaitRev waits until a VM has a revision and returns the time since began.
func awaitRev(v *VM, rev uint64, began time.Time) time.Duration {
	for v.Rev() < rev {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// Guards against a change that reaches only some VMs: it is accepted while one failure
// domain can't reach the log, and VMs learn of changes only from the log.
func TestChangeIsInForceEverywhereWithinSeconds(t *testing.T) {
	t.Parallel()
	const changes = 60
	var near, cut []time.Duration
	set := idleSetup(3 * time.Minute)
	set.Faults = []Fault{{time.Second, func(s *Scene) {
		for n := range changes {
			s.CutLog(3, n%2 == 1)
			time.Sleep(time.Second + s.phase(n))
			v, err := s.Declare(s.ctx, s.VM(n%3), "ana", setWeight(float64(n+1)))
			if err != nil || !v.Won {
				panic(fmt.Sprint(v, err))
			}
			began := time.Now()
			for i := range s.VMs {
				d := awaitRev(s.VM(i), v.Rev, began)
				if s.VM(i).Domain == domainName(3) && n%2 == 1 {
					cut = append(cut, d)
				} else {
					near = append(near, d)
				}
			}
		}
	}}}
	play(t, set)
	slices.Sort(near)
	slices.Sort(cut)
	p99, worst := near[len(near)*99/100], cut[len(cut)-1]
	t.Logf("time until in force: p99 %s; on VMs cut off from the log: worst %s", p99, worst)
	if p99 > time.Second {
		t.Errorf("p99 %s", p99)
	}
	if len(cut) == 0 || worst > 3*time.Second {
		t.Errorf("%d VMs cut off from the log, worst %s", len(cut), worst)
	}
}

// phase returns a delay that spreads events over the heartbeat period.
func (s *Scene) phase(n int) time.Duration { return time.Duration(n*37%100) * time.Millisecond }

// Guards against two operators who both get the answer that their change is in force: 200
// operators declare at once, through all VMs, each a change to the same revision, and a
// fifth of the log's answers are lost. Acceptance must follow the log's order rather than
// the order of arrival.
func TestConcurrentDeclarationsHaveOneWinner(t *testing.T) {
	t.Parallel()
	const operators = 200
	set := idleSetup(2 * time.Minute)
	set.LogRules.Lose = 0.2
	type reply struct {
		who string
		v   fold.Verdict
		err error
	}
	var mu sync.Mutex
	var all []reply
	set.Faults = []Fault{{time.Second, func(s *Scene) {
		var wg sync.WaitGroup
		for n := range operators {
			wg.Go(func() {
				who := fmt.Sprint("operator-", n)
				ctx, cancel := context.WithTimeout(s.ctx, time.Minute)
				defer cancel()
				v, err := s.Declare(ctx, s.VM(n%s.VMs), who, setWeight(float64(n+1)))
				mu.Lock()
				defer mu.Unlock()
				all = append(all, reply{who, v, err})
			})
		}
		wg.Wait()
	}}}
	s := play(t, set)
	winner, winners := "", 0
	for _, x := range all {
		if x.err == nil && x.v.Won {
			winners++
			winner = x.who
		}
	}
	if len(all) != operators || winners != 1 {
		t.Fatalf("%d winners among %d", winners, len(all))
	}
	for _, x := range all {
		if x.err != nil || x.v.Author != winner || x.v.Rev != 2 {
			t.Errorf("%s was told %+v, %v", x.who, x.v, x.err)
		}
	}
	for i := range s.VMs {
		if r, _ := s.VM(i).Keeper.Current(); r.Rev != 2 || r.Author != winner {
			t.Errorf("VM %d has revision %d by %s", i, r.Rev, r.Author)
		}
	}
}

// Guards against a service that has an old document, or none, after an outage of the log.
// The log is down for half an hour, its records expire, and all VMs are killed and booted
// again one by one, so only the other VMs still have the document.
func TestLogOutageLosesNoDocument(t *testing.T) {
	t.Parallel()
	set := idleSetup(70 * time.Minute)
	set.Retention = 10 * time.Minute
	set.LogRules = fakes.LogRules{Rate: 400, Synced: 5 * time.Millisecond, Keep: 10 * time.Minute, Lose: 0.2}
	var rev uint64
	var after fold.Verdict
	set.Faults = []Fault{
		{time.Minute, func(s *Scene) {
			v, err := s.Declare(s.ctx, s.VM(2), "bo", setWeight(7))
			if err != nil || !v.Won {
				panic(fmt.Sprint(v, err))
			}
			rev = v.Rev
		}},
		{2 * time.Minute, func(s *Scene) { s.Stream.Set(func(r *fakes.LogRules) { r.Down = true }) }},
		{5 * time.Minute, func(s *Scene) {
			for n := range s.VMs {
				v := s.VM(n)
				s.Kill(v)
				s.Boot(v.Mesh, v.Domain)
				time.Sleep(2 * time.Minute)
			}
		}},
		{32 * time.Minute, func(s *Scene) { s.Stream.Set(func(r *fakes.LogRules) { r.Down = false }) }},
		{60 * time.Minute, func(s *Scene) {
			v, err := s.Declare(s.ctx, s.VM(5), "cy", setWeight(9))
			if err != nil {
				panic(err)
			}
			after = v
		}},
	}
	s := play(t, set)
	if rev != 2 || !after.Won || after.Rev != 3 {
		t.Errorf("revision %d, then %+v", rev, after)
	}
	for i := range s.VMs {
		if got := s.VM(i).Rev(); got != 3 {
			t.Errorf("VM %d has revision %d", i, got)
		}
	}
}

// Guards against too many refreshes: each costs an append, and the log accepts only
// several hundred appends a second from all services together.
func TestRefreshesAreFew(t *testing.T) {
	t.Parallel()
	const services, terms, hour = 490, 8, 3600.0
	set := idleSetup(terms * 4 * time.Minute)
	set.Retention, set.LogRules.Keep = 4*time.Minute, 4*time.Minute // instead of an hour, so that the test is faster
	s := play(t, set)
	perService := float64(s.Stream.Appends()-1) / terms / hour
	t.Logf("%.5f refreshes a second for one service with 8 VMs and an hour's retention, %.3f for %d", perService, services*perService, services)
	if services*perService > 1 {
		t.Errorf("%.2f appends a second", services*perService)
	}
	if s.Stream.Appends() < terms {
		t.Errorf("%d appends in %d terms: records expire", s.Stream.Appends(), terms)
	}
}

// Guards against a VM that serves callers without knowing the tenants: it boots while
// the log is down and no peer is alive, and mistakes "no document" for "no rules".
func TestVMWithoutDocumentRefuses(t *testing.T) {
	t.Parallel()
	set := idleSetup(30 * time.Second)
	var refused string
	set.Faults = []Fault{{time.Second, func(s *Scene) {
		s.Stream.Set(func(r *fakes.LogRules) { r.Down = true })
		for n := range s.VMs - 1 {
			go s.Kill(s.VM(n + 1))
		}
		time.Sleep(5 * time.Second)
		v := s.VM(0)
		s.Kill(v)
		w := s.Boot(v.Mesh, v.Domain)
		time.Sleep(5 * time.Second)
		_, a := w.Node.Authenticate("demo-crew")
		refused = string(a.Reason)
	}}}
	play(t, set)
	if refused != "document" {
		t.Errorf("the answer was %q", refused)
	}
}
