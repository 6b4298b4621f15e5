package main

import (
	"fmt"
	"net/http"
	"time"

	"dahliawinch/platform/stand"
)

const (
	// ackMax is ack_ms: a cancel counts as confirmed once it has waited that long.
	ackMax = 4 * time.Second
	// dropAfter is when the queue is removed, and dropCancelAfter when the clients begin to cancel: the configuration
	// has to be in force by then.
	dropAfter       = time.Second
	dropCancelAfter = 4 * time.Second
	// cancelGap is the time from one try of a cancel to the next.
	cancelGap = time.Second
	// chainDeadline is how long a client waits for a job of several steps.
	chainDeadline = 25 * time.Second
)

// playDropped lets clients hand in jobs and cancel them at the same daemon. With trouble, a configuration removes their
// queue in between.
func playDropped(g *rig) (broken []string, err error) {
	const jobs = 4
	began := time.Now()
	if g.trouble {
		time.AfterFunc(dropAfter, func() {
			g.store.Put(stand.Operator, "config", config(8, route{"fare-check", "/tane117/", service, 1}))
			g.note("version 8 confirmed, without %s", prefix)
		})
	}
	all := make(chan canceled, jobs)
	for k := range jobs {
		go func() { all <- g.handInAndCancelUntil(g.vms[2*k%len(g.vms)], began) }()
	}
	judged := 0
	for range jobs {
		c := <-all
		if len(g.ledger.of(c.id)) == 0 {
			continue
		}
		judged++
		from := c.confirmedAt.Add(cancelMax)
		late, longest := g.runsAfter(c.id, from.Add(stopTime))
		if late > 0 {
			broken = append(broken, fmt.Sprintf("UNASKED: job %s: its cancel was last answered with %d; from cancel_ms + stop_ms after it counts as confirmed, %d of its tasks were at work for up to %s, %d of them begun later than cancel_ms after it",
				c.id, c.cancel.status, late, longest.Round(time.Millisecond), g.startsAfter(c.id, from)))
		}
	}
	if judged == 0 {
		return nil, errNoneJudged
	}
	return broken, nil
}

// handInAndCancelUntil hands in a job and cancels it again and again until that is confirmed, for ack_ms at most, from when
// on it counts as confirmed.
func (g *rig) handInAndCancelUntil(v *vm, began time.Time) (c canceled) {
	var steps []step
	for i := range 6 {
		s := step{Count: 4, CPU: 2000, Mem: 1024, Estimate: 3000}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	s := g.newJob(steps...)
	c.id = s.id
	answered := make(chan answer, 1)
	go func() { answered <- g.once(v, http.MethodPost, prefix+s.id, s.body, chainDeadline) }()
	time.Sleep(time.Until(began.Add(dropCancelAfter)))
	first := time.Now()
	for {
		c.cancel = g.once(v, http.MethodDelete, prefix+s.id, nil, cancelDeadline)
		if c.confirmed() {
			c.confirmedAt = c.cancel.at
			break
		}
		if time.Since(first) > ackMax {
			c.confirmedAt = first.Add(ackMax)
			break
		}
		time.Sleep(cancelGap)
	}
	c.post = <-answered
	return c
}

// startsAfter returns how many runs of a job began after a time.
func (g *rig) startsAfter(id string, at time.Time) (n int) {
	for _, r := range g.ledger.of(id) {
		if r.start.After(at) {
			n++
		}
	}
	return n
}
