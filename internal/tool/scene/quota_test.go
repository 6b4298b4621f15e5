package scene

import (
	"slices"
	"testing"
	"time"
)

// maxStarts returns a tenant's highest number of task starts in any window of d that
// begins after a time.
func maxStarts(s *Scene, tenant string, after, d time.Duration) (most int) {
	all := slices.Clone(s.starts[tenant])
	slices.Sort(all)
	from := 0
	for i, at := range all {
		for at-all[from] >= d {
			from++
		}
		if all[from] >= after {
			most = max(most, i-from+1)
		}
	}
	return most
}

const (
	quotaRate   = 60 // task starts a second of tenant crew
	quotaWindow = 5 * time.Second
)

func quotaSetup() Setup {
	set := DefaultSetup(0.7)
	set.Span = 40 * time.Second
	crew := set.Doc.Tenants["crew"]
	crew.Rate = quotaRate
	set.Doc.Tenants["crew"] = crew
	return set
}

// Guards against a tenant that gets several times its quota when its callers ask all
// eight VMs for five times as much: each VM grants the whole quota, or raises its share
// with demand before its peers have lowered theirs.
func TestQuotaHoldsOverAllVMs(t *testing.T) {
	t.Parallel()
	s := play(t, quotaSetup())
	most := maxStarts(s, "crew", 0, quotaWindow)
	allowed := quotaRate * quotaWindow.Seconds()
	in := 0
	for _, at := range s.starts["crew"] {
		if at < s.Warm+s.Span {
			in++
		}
	}
	total := float64(in) / (s.Warm + s.Span).Seconds()
	t.Logf("%.3f of the quota in the busiest 5 s, %.1f starts a second on average, quota %d", float64(most)/allowed, total, quotaRate)
	if float64(most) > 1.05*allowed {
		t.Errorf("%d starts in 5 s, %v allowed", most, allowed)
	}
	if total < 0.85*quotaRate {
		t.Errorf("only %.1f starts a second of a quota of %d", total, quotaRate)
	}
}

// An isolated failure domain receives no messages and may use the whole quota: a
// partition has two sides, so the bound is twice the quota.
func TestQuotaUnderPartition(t *testing.T) {
	t.Parallel()
	set := quotaSetup()
	set.Faults = []Fault{{15 * time.Second, func(s *Scene) {
		for n := 1; n < 4; n++ {
			s.Cut(0, n, true)
		}
		time.Sleep(20 * time.Second)
		for n := 1; n < 4; n++ {
			s.Cut(0, n, false)
		}
	}}}
	s := play(t, set)
	most := maxStarts(s, "crew", 0, quotaWindow)
	healed := maxStarts(s, "crew", 38*time.Second, quotaWindow)
	allowed := quotaRate * quotaWindow.Seconds()
	t.Logf("cut off: %.3f of the quota in the busiest 5 s; healed: %.3f", float64(most)/allowed, float64(healed)/allowed)
	if float64(most) > 2*1.05*allowed {
		t.Errorf("%d starts in 5 s, %v allowed on each side", most, allowed)
	}
	if float64(healed) > 1.1*allowed {
		t.Errorf("%d starts in 5 s after healing", healed)
	}
}
