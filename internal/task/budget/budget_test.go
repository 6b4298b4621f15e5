package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against full endpoints that get several times the load they refused:
// without a bound tied to first tries, every refusal is retried at once and refused
// again.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, floor, top = 0.1, 5, 20
		began := time.Unix(1000, 0)
		now, latest := began, began
		b := New(now, ratio, floor, top)
		first, spent := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(-50, 500).Draw(t, "ms")) * time.Millisecond)
				if now.After(latest) {
					latest = now
				}
			case 1:
				first++
				b.Earn(1)
			default:
				if b.Spend(now) {
					spent++
				}
			}
			bound := top + ratio*float64(first) + floor*latest.Sub(began).Seconds()
			if float64(spent) > bound+1e-6 {
				t.Fatalf("%d retries for %d tries", spent, first)
			}
		}
	})
}

// Guards against tasks that wait for retries although their domain refuses nothing:
// another failure domain refuses everything and uses up a budget shared by all.
func TestDomainCannotUseOthersRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSet(now, 0.1, 0, 20)
	spent := 0
	for range 100 {
		if s.Spend(now, "bad") {
			spent++
		}
	}
	if spent != 10 {
		t.Errorf("the bad domain spent %d of 20", spent)
	}
	if !s.Spend(now, "good") {
		t.Error("the good domain has no retry left")
	}
}
