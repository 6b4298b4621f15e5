package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// channels is how many clients have an open channel to the daemon that leaves.
	channels = 24
	// openGap is the time from one channel to the next, from the signal on: the platform opens new ones until the daemon
	// has missed two readiness checks, of which there is one a second.
	openGap = 30 * time.Millisecond
	// firstSend is when the first of them sends its request, after the signal, and sendGap the time to the next one. The rule
	// excuses what was sent up to 3 s after the signal.
	firstSend = 4000 * time.Millisecond
	sendGap   = 45 * time.Millisecond
	// callDeadline is how long they wait.
	callDeadline = 1500 * time.Millisecond
)

// errNoneJudged is returned if no job of a case could be judged.
var errNoneJudged = errors.New("no job came so far that the rule says something about it")

// sent is a job that was handed in on a channel.
type sent struct {
	id string
	a  answer
}

// playLeave lets clients open channels to a daemon and send their requests some seconds later. With trouble, the daemon
// gets SIGTERM just before the channels are opened.
func playLeave(g *rig) (broken []string, err error) {
	leaving := g.vms[0]
	time.Sleep(2 * time.Second) // the deployment has just started
	signaled := time.Now()
	if g.trouble {
		g.signal(leaving, syscall.SIGTERM)
	}
	var open []*channel
	for range channels {
		time.Sleep(openGap)
		c, err := g.dial(leaving)
		if err != nil {
			return nil, err
		}
		defer c.close()
		open = append(open, c)
	}
	g.note("%d channels open to %s", len(open), leaving.name)
	all := make(chan sent, channels)
	for k, c := range open {
		go func() {
			time.Sleep(time.Until(signaled.Add(firstSend + time.Duration(k)*sendGap)))
			s := g.newJob(step{Count: 4, CPU: 27000, Mem: 64, Estimate: 900})
			all <- sent{s.id, c.post(prefix+s.id, s.body, callDeadline)}
		}()
	}
	judged := 0
	for range channels {
		s := <-all
		runs := g.ledger.of(s.id)
		if len(runs) == 0 { // not passed on to a worker
			continue
		}
		judged++
		if s.a.status == 0 && s.a.waited() < callDeadline {
			broken = append(broken, fmt.Sprintf("LOST: job %s was sent %s after the SIGTERM and begun by workers (%d runs); its channel ended without an answer %s after it was sent, of %s that the client waits: %v",
				s.id, s.a.sent.Sub(signaled).Round(time.Millisecond), len(runs), s.a.waited().Round(time.Millisecond), callDeadline, s.a.err))
		}
	}
	if judged == 0 && !g.trouble {
		return nil, errNoneJudged
	}
	return broken, nil
}
