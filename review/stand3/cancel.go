package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// jobDeadline is how long a client waits for its job, and cancelDeadline for the answer to a cancel.
	jobDeadline    = 15 * time.Second
	cancelDeadline = 2 * time.Second
	// cancelAfter is when a client cancels its job: in the middle of its second step.
	cancelAfter = 2 * time.Second
)

// errNoneJudged is returned if no job of a case could be judged.
var errNoneJudged = errors.New("no job came so far that the rule says something about it")

// canceled is a job that its client has cancelled.
type canceled struct {
	id          string
	post        answer
	cancel      answer
	confirmedAt time.Time
}

// playCancel lets clients hand in jobs and cancel them. With trouble, each moves to another zone in between: its job's
// channel stays open, and the cancel goes to a daemon there.
func playCancel(g *rig) (broken []string, err error) {
	const jobs = 6
	all := make(chan canceled, jobs)
	for k := range jobs {
		home := g.vms[k]
		to := home
		if g.trouble {
			to = g.vms[(k+2)%len(g.vms)] // of the next zone
		}
		go func() { all <- g.handInAndCancel(home, to) }()
	}
	judged := 0
	for range jobs {
		c := <-all
		if !c.confirmed() || len(g.ledger.of(c.id)) == 0 {
			continue
		}
		judged++
		if late, longest := g.runsAfter(c.id, c.confirmedAt.Add(cancelMax+stopTime)); late > 0 {
			broken = append(broken, fmt.Sprintf("UNASKED: job %s: its cancel was answered with %d, and %d of its tasks ran on for up to %s after that; cancel_ms + stop_ms is %s",
				c.id, c.cancel.status, late, (longest+cancelMax+stopTime).Round(time.Millisecond), cancelMax+stopTime))
		}
	}
	if judged == 0 {
		return nil, errNoneJudged
	}
	return broken, nil
}

// confirmed reports whether the cancel has the answer that the protocol names.
func (c *canceled) confirmed() bool {
	return c.cancel.status/100 == 2 || c.cancel.status == http.StatusGone
}

// handInAndCancel hands in a job at one daemon and cancels it at one.
func (g *rig) handInAndCancel(home, to *vm) (c canceled) {
	// The protocol's example of a job.
	s := g.newJob(step{Count: 4, CPU: 500, Mem: 256, Estimate: 900}, step{Count: 20, CPU: 2000, Mem: 1024, Estimate: 7000, After: []int{0}})
	c.id = s.id
	answered := make(chan answer, 1)
	go func() { answered <- g.once(home, http.MethodPost, prefix+s.id, s.body, jobDeadline) }()
	time.Sleep(cancelAfter)
	c.cancel = g.once(to, http.MethodDelete, prefix+s.id, nil, cancelDeadline)
	c.confirmedAt = c.cancel.at
	c.post = <-answered
	return c
}

// runsAfter returns how many runs of a job went on after a time, and for how long.
func (g *rig) runsAfter(id string, at time.Time) (n int, longest time.Duration) {
	for _, r := range g.ledger.of(id) {
		end := r.end
		if end.IsZero() {
			end = time.Now()
		}
		if end.After(at) {
			n, longest = n+1, max(longest, end.Sub(at))
		}
	}
	return n, longest
}
