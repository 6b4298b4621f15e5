package owner

import (
	"slices"
	"time"
)

// Suspect is a task under which endpoints were lost.
type Suspect struct {
	Task string
	Lost int // number of endpoints
}

// suspicion is a Suspect to be shared with other owners, and when it was recorded.
type suspicion struct {
	at time.Time
	Suspect
}

// shareFor is how long a Suspect or Loss is sent: long enough for every VM to get several heartbeats.
const shareFor = 2 * time.Second

// maxSuspects is the limit for one heartbeat: the loss of a rack adds many at once.
const maxSuspects = 32

// Suspects lists the tasks that this owner suspected lately, to be sent to the others.
//
// Without it, when the caller of a job that ended as unknown submits it again, another owner accepts
// it, and its task crashes two more endpoints there: owner after owner suspects the same task.
func (sc *Scheduler) Suspects(now time.Time) (all []Suspect) {
	sc.suspicions = slices.DeleteFunc(sc.suspicions, func(n suspicion) bool { return now.Sub(n.at) > shareFor })
	for _, n := range sc.suspicions[max(0, len(sc.suspicions)-maxSuspects):] {
		all = append(all, n.Suspect)
	}
	return all
}

// AddSuspect records a suspicion of another owner.
func (sc *Scheduler) AddSuspect(now time.Time, s Suspect) {
	if s.Lost <= sc.suspects[s.Task] {
		return
	}
	sc.cfg.Log.Info("task suspected elsewhere", "task", s.Task, "lost", s.Lost)
	sc.suspects[s.Task], sc.suspectedAt[s.Task] = s.Lost, now
}
