package owner

import (
	"slices"
	"time"
)

// Suspect is a task under which endpoints were lost.
type Suspect struct {
	Task string
	Lost int // endpoints
}

// news is a suspicion that other owners may not have heard of.
type news struct {
	at time.Time
	Suspect
}

// tellFor is how long a suspicion is told: longer than it takes any VM to hear several heartbeats.
const tellFor = 2 * time.Second

// mostTold bounds the suspicions of a heartbeat: a rack that is lost makes many at once.
const mostTold = 32

// Suspects lists what this owner has come to suspect lately, for the others.
//
// What goes wrong without it: the caller of a job that has ended as unknown submits it again, another
// owner takes it, and its task crashes two more endpoints there. One notices one task suspected at one
// owner after the other.
func (b *Book) Suspects(now time.Time) (all []Suspect) {
	b.news = slices.DeleteFunc(b.news, func(n news) bool { return now.Sub(n.at) > tellFor })
	for _, n := range b.news[max(0, len(b.news)-mostTold):] {
		all = append(all, n.Suspect)
	}
	return all
}

// Heed takes in what another owner suspects.
func (b *Book) Heed(now time.Time, s Suspect) {
	if s.Lost <= b.suspects[s.Task] {
		return
	}
	b.cfg.Log.Info("task suspected elsewhere", "task", s.Task, "lost", s.Lost)
	b.suspects[s.Task], b.suspected[s.Task] = s.Lost, now
}
