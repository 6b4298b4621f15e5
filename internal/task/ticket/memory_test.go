package ticket

import (
	"runtime"
	"testing"

	"dahliawinch/internal/task/job"
)

// BenchmarkHeld reports the memory held for a used ticket with an empty answer, as
// B/ticket.
func BenchmarkHeld(b *testing.B) {
	const uses = 100_000
	live := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for range b.N {
		before := live()
		store := NewStore(self, 1, []byte("s"), Limits{Term: 1 << 40, Uses: 1 << 30, Bytes: 1 << 40})
		g, err := store.Issue(began, "crew", uses)
		if err != nil {
			b.Fatal(err)
		}
		for i := range uses {
			t, err := Parse(Pick(g, i%60_000))
			if err != nil {
				b.Fatal(err)
			}
			t.Nth = i
			u, _ := store.Claim(began, t, "crew", 1)
			store.End(began, t, u, &job.Answer{Outcome: job.Done}, 0)
		}
		b.ReportMetric((live()-before)/uses, "B/ticket")
		runtime.KeepAlive(store)
	}
}
