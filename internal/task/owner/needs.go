package owner

import (
	"math"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

// needStats tracks the mean need of tasks. It determines how many run on an endpoint at once and how
// much of it they can fill, which differ between deployments: two tasks of 27 cores fill 0.84 of 64,
// thirty of two cores fill 0.94.
type needStats struct {
	mean    job.Size
	counted job.Size // the mean when the endpoints' slots were last counted
	least   float64  // about the fewest cores that tasks needed lately
	seen    bool
}

const (
	// needGain is the weight of a new job's tasks in the mean.
	needGain = 0.02
	// needChange is the relative change of the mean after which slots are counted again.
	needChange = 0.2
	// minSlots keeps one failure from closing an endpoint of large tasks.
	minSlots = 4
)

// needSpread lists the multiples of the mean need over which fill averages. Needs differ by a fifth
// between jobs: with a mean of 33 cores, only one average task fits on 64, but two smaller ones do.
var needSpread = [...]float64{0.85, 1, 1.15}

func (n *needStats) add(j *batch.Job) {
	for i := range j.Steps {
		if !n.seen {
			n.mean, n.seen = j.Steps[i].Need, true
			n.least = n.mean.Cores
			continue
		}
		need := j.Steps[i].Need
		n.least = min(need.Cores, n.least+needGain*(need.Cores-n.least))
		n.mean.Cores += needGain * (need.Cores - n.mean.Cores)
		n.mean.Memory += needGain * (need.Memory - n.mean.Memory)
		n.mean.Accels += needGain * (need.Accels - n.mean.Accels)
	}
}

// changed reports, once per change, that the mean differs from the one used to count slots.
func (n *needStats) changed() bool {
	differs := func(is, was float64) bool { return math.Abs(is-was) > needChange*was }
	if !differs(n.mean.Cores, n.counted.Cores) && !differs(n.mean.Memory, n.counted.Memory) && !differs(n.mean.Accels, n.counted.Accels) {
		return false
	}
	n.counted = n.mean
	return true
}

// slots returns how many tasks run at once on an endpoint of a size.
func (n *needStats) slots(size job.Size) int {
	if !n.seen {
		return minSlots
	}
	return max(minSlots, fitCount(size, n.mean))
}

// fill returns how many cores of an endpoint tasks can fill.
func (n *needStats) fill(size job.Size) float64 {
	if !n.seen || n.mean.Cores <= 0 {
		return size.Cores
	}
	sum, parts := 0.0, 0.0
	for _, part := range needSpread {
		need := job.Size{Cores: part * n.mean.Cores, Memory: part * n.mean.Memory, Accels: part * n.mean.Accels}
		if k := fitCount(size, need); k > 0 { // jobs whose tasks fit nowhere are not submitted
			sum += float64(k) * need.Cores
			parts++
		}
	}
	if parts == 0 {
		return size.Cores
	}
	return sum / parts
}
