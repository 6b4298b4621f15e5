package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// wantedRack is the rack that all jobs require, with 6 endpoints for two tasks each.
	wantedRack = "r0-0"
	// fillers is how many jobs of 4 tasks take all of it.
	fillers = 3
	// waves of them come, fillGap apart: the second one waits for the first. With all jobs, the work that comes in these
	// 1.2 s is what comes in as long a time by the site's sheet, 2,130 core-seconds a second.
	waves   = 2
	fillGap = 500 * time.Millisecond
	// waiting is how many jobs of one task are handed in at the daemon that leaves after that, and patience how long
	// clients wait.
	waiting  = 4
	patience = 29 * time.Second
	// signalAfter is the time from these jobs to the signal.
	signalAfter = 200 * time.Millisecond
	// lossSlack is loss_slack_ms.
	lossSlack = 200 * time.Millisecond
)

// playWait fills a rack twice over and lets jobs at one daemon wait for room, some seconds of the many that their clients have.
// With trouble, that daemon gets SIGTERM meanwhile.
func playWait(g *rig) (broken []string, err error) {
	time.Sleep(2 * time.Second)    // the deployment has just started
	leaving := g.vms[len(g.vms)-1] // of another zone than the rack, so it owns none of its endpoints
	for range waves {
		for i := range fillers {
			s := g.newJob(step{Count: 4, CPU: 27000, Mem: 64, Estimate: 3400, Requires: wantedRack})
			go g.post(g.vms[i%(len(g.vms)-1)], prefix+s.id, s.body, patience)
		}
		time.Sleep(fillGap)
	}
	all := make(chan sent, waiting)
	for range waiting {
		go func() {
			s := g.newJob(step{Count: 1, CPU: 27000, Mem: 64, Estimate: 3400, Requires: wantedRack})
			all <- sent{s.id, g.post(leaving, prefix+s.id, s.body, patience)}
		}()
	}
	time.Sleep(signalAfter)
	signaled := time.Now()
	if g.trouble {
		g.signal(leaving, syscall.SIGTERM)
	}
	answered := 0
	for range waiting {
		s := <-all
		if s.a.status != 0 {
			answered++
			continue
		}
		atWork := false // in the last sixth of grace_s, which the rule excuses
		for _, r := range g.ledger.of(s.id) {
			atWork = atWork || r.until().Sub(signaled) >= grace*5/6
		}
		if !atWork && s.a.waited() > lossSlack && s.a.waited() < patience {
			broken = append(broken, fmt.Sprintf("LOST: job %s, sent %s before the SIGTERM, waited for room; its channel ended without an answer %s after it was sent, of %s that the client waits, and no worker was at work on it: %v",
				s.id, signaled.Sub(s.a.sent).Round(time.Millisecond), s.a.waited().Round(time.Millisecond), patience, s.a.err))
		}
	}
	g.note("%d of %d answered", answered, waiting)
	return broken, nil
}
