package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against VMs that together use more than a quota although all know all demands.
func TestPortionsNeverExceedTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "vms")
		quota := rapid.Float64Range(1, 1e5).Draw(t, "quota")
		var wants []float64
		sum := 0.0
		for range n {
			w := rapid.Float64Range(0, quota).Draw(t, "want")
			wants = append(wants, w)
			sum += w
		}
		total := 0.0
		for _, w := range wants {
			p := portion(quota, w, sum, float64(n))
			if sum <= quota && p < w {
				t.Fatalf("demand %v is within the quota, but the portion is %v", w, p)
			}
			total += p
		}
		if total > quota*1.0001 {
			t.Fatalf("portions sum to %v, quota is %v", total, quota)
		}
	})
}

func TestStartsFollowTheRate(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	b := New()
	b.SetLimits(now, map[string]Limit{"crew": {Rate: 100}})
	starts := 0
	b.Arrive("crew", 10_000)
	for ms := range 10_000 {
		now = now.Add(time.Millisecond)
		if ms%100 == 0 {
			b.Tick(now, 100*time.Millisecond)
		}
		for b.MayStart(now, "crew") {
			b.Start(now, "crew")
			starts++
		}
	}
	if starts < 950 || starts > 1050 {
		t.Errorf("%d starts in 10 s at 100 a second", starts)
	}
	if !b.MayStart(now, "relief") {
		t.Error("a tenant without a quota may not start")
	}
}
