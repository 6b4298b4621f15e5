package fakes

import (
	"sync"
	"time"

	"dahliawinch/internal/task/lease"
)

// Gang is a step whose tasks work only together, on any endpoints, from when all of one run number are there.
type Gang struct {
	Size  int
	Wait  time.Duration // how long a member waits for the others
	Fails int           // of the tries that were complete, the first so many fail by one member

	mu       sync.Mutex
	tries    map[int]*gangTry // the latest by run number; a job that was submitted again may use one once more
	complete int              // tries
}

// gangTry is what is there of one run number.
type gangTry struct {
	members map[string]member // by task
	workAt  time.Time         // when it was complete, zero before
	over    bool
	done    bool // it did its work, whatever happens to its endpoints before each run has ended
}

// member is a run of a gang's task.
type member struct {
	at *Leased
	n  lease.RunID
	r  *running
}

// isOpen reports whether members may still join.
func (t *gangTry) isOpen() bool { return t != nil && !t.over && t.workAt.IsZero() }

// end ends a member's run unless it has ended.
func (m member) end(how lease.EndState) {
	m.at.mu.Lock()
	defer m.at.mu.Unlock()
	if m.at.runs[m.n] == m.r {
		m.at.end(m.n, how)
	}
}

// join adds a member; its endpoint's lock is held.
func (g *Gang) join(m member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tries == nil {
		g.tries = map[int]*gangTry{}
	}
	t := g.tries[m.n.Num]
	if !t.isOpen() {
		t = &gangTry{members: map[string]member{}}
		g.tries[m.n.Num] = t
	}
	t.members[m.n.Task], m.r.try = m, t
	if len(t.members) < g.Size {
		time.AfterFunc(g.Wait, func() { g.giveUp(t, m) })
		return
	}
	g.work(t)
}

// work lets a complete try work; the caller holds the lock.
func (g *Gang) work(t *gangTry) {
	t.workAt = time.Now()
	g.complete++
	var longest time.Duration
	failing, first := "", ""
	for task, m := range t.members {
		longest = max(longest, m.r.duration)
		if m.r.how == lease.Failed && (failing == "" || task < failing) {
			failing = task
		}
		if first == "" || task < first {
			first = task
		}
	}
	if failing == "" && g.complete <= g.Fails {
		failing = first
	}
	if failing != "" {
		longest /= 10
	}
	time.AfterFunc(longest, func() { g.finish(t, failing) })
}

// finish ends a try whose members have done their work, or of which the named one has failed.
func (g *Gang) finish(t *gangTry, failing string) {
	for task, m := range g.close(t, failing == "") {
		switch failing {
		case "":
			m.end(lease.Done)
		case task:
			m.end(lease.Failed)
		default:
			m.end(lease.Broken)
		}
	}
}

// close ends a try and returns its members, none if it was over.
func (g *Gang) close(t *gangTry, done bool) map[string]member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.over {
		return nil
	}
	t.over, t.done = true, done
	all := make(map[string]member, len(t.members))
	for task, m := range t.members {
		all[task] = m
	}
	return all
}

// giveUp ends a member that has waited in vain.
func (g *Gang) giveUp(t *gangTry, m member) {
	g.mu.Lock()
	waits := t.workAt.IsZero() && t.members[m.n.Task].r == m.r
	if waits {
		delete(t.members, m.n.Task)
	}
	g.mu.Unlock()
	if waits {
		m.end(lease.Alone)
	}
}

// leave removes a member whose run has ended, which breaks a try that is at work, and returns how the run ended. The
// endpoint's lock is held.
func (g *Gang) leave(n lease.RunID, r *running, how lease.EndState) lease.EndState {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := r.try
	if t.done {
		how = lease.Done
	}
	if t.members[n.Task].r != r {
		return how
	}
	delete(t.members, n.Task)
	if t.workAt.IsZero() || t.over {
		return how
	}
	t.over = true
	for _, m := range t.members {
		time.AfterFunc(time.Millisecond, func() { m.end(lease.Broken) })
	}
	return how
}

// worksSince returns since when a run's gang has been at work, zero if it isn't.
func (g *Gang) worksSince(r *running) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return r.try.workAt
}
