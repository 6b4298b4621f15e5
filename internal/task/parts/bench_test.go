package parts

import (
	"testing"
	"time"
)

// BenchmarkPlan plans the largest job at the largest expected deployment: 520 tasks, 135 full pools.
func BenchmarkPlan(b *testing.B) {
	queues := make([]time.Duration, 135)
	for i := range queues {
		queues[i] = time.Duration(i) * 100 * time.Microsecond
	}
	rooms := pools(5*time.Millisecond, queues...)
	for b.Loop() {
		if Plan(520, rooms[0], rooms, 10*time.Second) == nil {
			b.Fatal("not split")
		}
	}
}
