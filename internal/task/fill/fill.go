// Package fill chooses which of the waiting tasks to start in an endpoint's free room. It addresses a full pool
// whose endpoints have room for two or three tasks: in queue order a tenth of the cores stays unused there.
package fill

import "dahliawinch/internal/task/job"

const (
	// MaxPassed is how often a job may be passed over. In a full pool a job waits for a few ends of runs anyway; the
	// simulation in this package's tests uses as many cores with 8 as without a limit.
	MaxPassed = 8
	// Window is how many jobs are considered: the fraction of cores in use is the same with 24 waiting and with more,
	// and each decision reads all of them.
	Window = 32
)

// Task is the next task of a waiting job, as a candidate for a room.
type Task struct {
	Need   job.Size
	Passed int  // how often the job was passed over
	Urgent bool // the job can't wait for the next room, so that none may pass it
}

// Choose returns the index of the task to start in a room, or -1 if none fits. The tasks are in queue order. Of those
// that fit, it is the one that leaves the least unused, counting that another of them may fill a part of the rest.
// Nothing passes over a fitting task that is urgent or has been passed over MaxPassed times.
func Choose(room job.Size, tasks []Task) (best int) {
	best, least := -1, 0.0
	fitting := limit(room, tasks)
	for _, i := range fitting {
		if left := leftAfter(room, tasks, fitting, i); best < 0 || left < least-tolerance {
			best, least = i, left
		}
	}
	return best
}

const (
	// tolerance is the difference in cores below which the queue order decides: a smaller gain isn't worth one of the
	// MaxPassed times. The simulation uses 0.921 of the cores with 8 waiting and 0.948 with 24; with 0.01 it is 0.921
	// and 0.945.
	tolerance = 0.5
	// restWeight is how much the largest task that fits beside the chosen one counts as filling the rest. With 0 the
	// simulation uses 0.916 and 0.941 of the cores, as large tasks are spent on wide rooms; with 1 0.913 and less than
	// 0.944, as two small ones are spent where one would do.
	restWeight = 0.4
)

// limit returns the indexes of the tasks that fit, up to the first one that nothing may pass over.
func limit(room job.Size, tasks []Task) (fitting []int) {
	for i := range tasks {
		if !tasks[i].Need.Fits(room) {
			continue
		}
		fitting = append(fitting, i)
		if tasks[i].Urgent || tasks[i].Passed >= MaxPassed {
			break
		}
	}
	return fitting
}

// leftAfter rates the cores left if task i starts, less a part of the largest other one that fits beside it.
func leftAfter(room job.Size, tasks []Task, fitting []int, i int) float64 {
	rest := minus(room, tasks[i].Need)
	most := 0.0
	for _, k := range fitting {
		if k != i && tasks[k].Need.Cores > most && tasks[k].Need.Fits(rest) {
			most = tasks[k].Need.Cores
		}
	}
	return rest.Cores - restWeight*most
}

func minus(a, b job.Size) job.Size {
	return job.Size{Cores: a.Cores - b.Cores, Memory: a.Memory - b.Memory, Accels: a.Accels - b.Accels}
}
