package owner

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

// With constants that fit large tasks for fill and slots, a deployment of small tasks refuses late jobs
// while a sixth of its cores is free, and an endpoint that runs thirty of them is limited to two after
// one failure.
func TestFillAndSlotsFollowTheNeeds(t *testing.T) {
	for _, c := range []struct {
		name  string
		need  job.Size
		size  job.Size
		fill  float64
		slots int
	}{
		{"two large tasks", job.Size{Cores: 27, Memory: 1}, job.Size{Cores: 64, Memory: 256}, 0.84, 4},
		{"small tasks", job.Size{Cores: 2}, job.Size{Cores: 64}, 0.98, 32},
		{"one task", job.Size{Cores: 60}, job.Size{Cores: 64}, 0.87, 4},
		{"memory binds", job.Size{Cores: 1, Memory: 32}, job.Size{Cores: 64, Memory: 256}, 0.12, 8},
		{"accelerators bind", job.Size{Cores: 4, Accels: 1}, job.Size{Cores: 64, Accels: 8}, 0.47, 8},
		{"no cores declared", job.Size{Memory: 1}, job.Size{Cores: 64, Memory: 16}, 1, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var n needStats
			n.add(&batch.Job{Steps: []batch.Step{{Count: 3, Need: c.need}}})
			t.Log(n.fill(c.size)/c.size.Cores, n.slots(c.size))
			is.True(math.Abs(n.fill(c.size)/c.size.Cores-c.fill) < 0.06)
			is.Equal(n.slots(c.size), c.slots)
		})
	}
}

func TestSlotsFollowChangedNeeds(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64)
	is.Equal(sc.order[0].slots, minSlots)
	sc.Submit(t0, key(1), newJob("j1", 0, tasks(1, 2, time.Millisecond)))
	is.Equal(sc.order[0].slots, 32)
	for n := range uint64(200) { // large tasks arrive
		sc.Submit(t0, key(2+n), newJob("j"+string(rune('A'+n)), 0, tasks(1, 30, time.Millisecond)))
	}
	is.Equal(sc.order[0].slots, minSlots)
}
