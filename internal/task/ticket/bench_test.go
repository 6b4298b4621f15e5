package ticket

import (
	"testing"

	"dahliawinch/internal/task/job"
)

// BenchmarkUse issues, uses and ends one ticket; its bytes are the memory held for a
// used ticket until its term is over.
func BenchmarkUse(b *testing.B) {
	store := NewStore(self, 1, []byte("s"), Limits{Term: 1 << 40, Uses: 1 << 30, Bytes: 1 << 40})
	a := &job.Answer{Outcome: job.Done}
	b.ReportAllocs()
	for range b.N {
		g, err := store.Issue(began, "crew", 1)
		if err != nil {
			b.Fatal(err)
		}
		t, err := Parse(Pick(g, 0))
		if err != nil {
			b.Fatal(err)
		}
		u, _ := store.Claim(began, t, "crew", 1)
		store.End(began, t, u, a, 0)
	}
}
