package owner

import (
	"math"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

// needs follows what tasks need in the mean. From it follow how many run on an endpoint at once
// and how much of it they can fill, which differ from deployment to deployment: two tasks of 27
// cores fill 0.84 of 64, thirty of two fill 0.94.
type needs struct {
	mean job.Size
	used job.Size // the mean when the endpoints' slots were last counted
	seen bool
}

const (
	// needGain is the weight of a new job's tasks in the mean.
	needGain = 0.02
	// needMoved is the part by which the mean must have moved for slots to be counted anew.
	needMoved = 0.2
	// leastSlots keeps an endpoint of large tasks from being closed by one failure.
	leastSlots = 4
)

// needSpread are the parts of the mean for which the fill is averaged: needs differ by a fifth
// from job to job, so that tasks of 33 cores fill more of 64 than one of them does.
var needSpread = [...]float64{0.85, 1, 1.15}

func (n *needs) note(j *batch.Job) {
	for i := range j.Steps {
		if !n.seen {
			n.mean, n.seen = j.Steps[i].Need, true
			continue
		}
		need := j.Steps[i].Need
		n.mean.Cores += needGain * (need.Cores - n.mean.Cores)
		n.mean.Memory += needGain * (need.Memory - n.mean.Memory)
		n.mean.Accels += needGain * (need.Accels - n.mean.Accels)
	}
}

// moved reports, once, that the mean is another than when slots were counted.
func (n *needs) moved() bool {
	far := func(is, was float64) bool { return math.Abs(is-was) > needMoved*was }
	if !far(n.mean.Cores, n.used.Cores) && !far(n.mean.Memory, n.used.Memory) && !far(n.mean.Accels, n.used.Accels) {
		return false
	}
	n.used = n.mean
	return true
}

// slots is how many tasks run at once on an endpoint of a size.
func (n *needs) slots(size job.Size) int {
	if !n.seen {
		return leastSlots
	}
	return max(leastSlots, fits(size, n.mean))
}

// fill is how many cores of an endpoint tasks can fill.
func (n *needs) fill(size job.Size) float64 {
	if !n.seen || n.mean.Cores <= 0 {
		return size.Cores
	}
	sum, parts := 0.0, 0.0
	for _, part := range needSpread {
		need := job.Size{Cores: part * n.mean.Cores, Memory: part * n.mean.Memory, Accels: part * n.mean.Accels}
		if k := fits(size, need); k > 0 { // what fits nowhere does not come
			sum += float64(k) * need.Cores
			parts++
		}
	}
	if parts == 0 {
		return size.Cores
	}
	return sum / parts
}
