package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/job"
	"dahliawinch/platform/stand"
)

const (
	// minDown and maxDown bound how long an endpoint's process is down before it starts again under its ID.
	minDown = 10 * time.Millisecond
	maxDown = 500 * time.Millisecond
	// minWaveGap and maxWaveGap bound the time from one wave to the next, so long that owners tell the waves apart: a task
	// whose endpoints are lost one after the other is taken to be the cause.
	minWaveGap = 1500 * time.Millisecond
	maxWaveGap = 2500 * time.Millisecond
	// restartSpread is the time within which the endpoints of one wave go down.
	restartSpread = 100 * time.Millisecond
	// unreachableEvery is the number of endpoints of a wave of which one only refuses connections.
	unreachableEvery = 3
	// minRestarts is how many endpoints restart at least: so many that the loss is an outage.
	minRestarts = 3
	// maxUnseen is how long after a restart an endpoint is reached before it is cut off, without a start there, and after one.
	maxUnseen = 200 * time.Millisecond
	// minCut is the minimum time for which it is cut off, longer than a lease.
	minCut = 1200 * time.Millisecond
	// listenTimeout bounds the tries to listen again at an endpoint's address.
	listenTimeout = 2 * time.Second
)

// injectRestarts restarts up to half of the endpoints under their IDs in waves until ctx ends.
func (s *Soak) injectRestarts(ctx context.Context) {
	s.injectOverlapping(ctx, func() time.Duration {
		return minWaveGap + time.Duration(s.restartRand.Int64N(int64(maxWaveGap-minWaveGap)))
	}, s.randomRestarts)
}

// randomRestarts returns the name of a wave of restarts and a function that injects it.
func (s *Soak) randomRestarts() (string, func()) {
	n := minRestarts + s.restartRand.IntN(max(1, len(s.proxies)/2-minRestarts))
	all := s.restartRand.Perm(len(s.proxies))[:n]
	after, down, alive := make([]time.Duration, n), make([]time.Duration, n), make([]bool, n)
	for i := range all {
		alive[i] = s.restartRand.IntN(unreachableEvery) == 0
		after[i] = time.Duration(s.restartRand.Int64N(int64(restartSpread)))
		down[i] = minDown + time.Duration(s.restartRand.Int64N(int64(maxDown-minDown)))
	}
	return fmt.Sprintf("endpoints %v restart, but for %v", all, alive), func() {
		var wg sync.WaitGroup
		for i, e := range all {
			wg.Go(func() {
				time.Sleep(after[i])
				s.restartEndpoint(e, down[i], alive[i])
			})
		}
		wg.Wait()
	}
}

// restartEndpoint ends an endpoint's process and starts it again under its ID. One that stays alive only refuses
// connections meanwhile, and another writer has put an odd entry under its key.
func (s *Soak) restartEndpoint(i int, down time.Duration, alive bool) {
	e, p, unlock := s.disconnect(i)
	defer unlock()
	if e == nil {
		return
	}
	if alive {
		s.store.Put(stand.Workers, e.ID, stand.OddEntries(e.CurrentInfo())["cores"])
	} else {
		e.GoDown()
	}
	time.Sleep(down)
	if !alive {
		e.Restart()
	}
	s.store.Put(stand.Workers, e.ID, stand.Entry(e.CurrentInfo()))
	p.listenAgain()
}

// disconnect closes an endpoint's connections and lets its proxy refuse new ones. No other restart of it begins until unlock.
// It returns a nil endpoint if that is being replaced.
func (s *Soak) disconnect(i int) (e *fakes.Leased, p *proxy, unlock func()) {
	s.restartMus[i].Lock()
	e, p = s.endpointAt(i), s.proxies[i]
	if e.Dead() {
		return nil, nil, s.restartMus[i].Unlock
	}
	p.down()
	return e, p, s.restartMus[i].Unlock
}

// listenAgain lets the proxy listen at its former address.
func (p *proxy) listenAgain() {
	until := time.Now().Add(listenTimeout)
	for {
		err := p.up()
		if err == nil {
			return
		}
		if time.Now().After(until) {
			panic(err) // the run would go on without the endpoint
		}
		time.Sleep(minDown)
	}
}

// injectUnseenRestarts restarts endpoints under their IDs, and cuts them off before their owners know, in waves until ctx ends.
func (s *Soak) injectUnseenRestarts(ctx context.Context) {
	s.injectOverlapping(ctx, func() time.Duration {
		return minWaveGap/2 + time.Duration(s.unseenRand.Int64N(int64(minWaveGap)))
	}, s.randomUnseenRestarts)
}

// randomUnseenRestarts returns the name of a wave of restarts that are followed by silence, and a function that injects it.
func (s *Soak) randomUnseenRestarts() (string, func()) {
	n := minRestarts + s.unseenRand.IntN(max(1, len(s.proxies)/3-minRestarts))
	all := s.unseenRand.Perm(len(s.proxies))[:n]
	down, started, cut, how := make([]time.Duration, n), make([]time.Duration, n), make([]time.Duration, n), make([]mode, n)
	for i := range all {
		down[i] = minDown + time.Duration(s.unseenRand.Int64N(int64(maxDown-minDown)))
		started[i] = time.Duration(s.unseenRand.Int64N(int64(maxUnseen)))
		cut[i] = minCut + time.Duration(s.unseenRand.Int64N(int64(minCut)))
		how[i] = []mode{refuse, silent}[s.unseenRand.IntN(2)]
	}
	return fmt.Sprintf("endpoints %v restart unseen", all), func() {
		var wg sync.WaitGroup
		for i, e := range all {
			wg.Go(func() { s.restartUnseen(e, down[i], started[i], cut[i], how[i]) })
		}
		wg.Wait()
	}
}

// restartUnseen restarts an endpoint under its ID. It is cut off the given time after the first start there, or before the
// store lists it. Orders from before the restart that are under way are lost.
func (s *Soak) restartUnseen(i int, down, started, cut time.Duration, how mode) {
	e, p, unlock := s.disconnect(i)
	defer unlock()
	if e == nil {
		return
	}
	e.GoDown()
	time.Sleep(down)
	e.RestartAfresh()
	p.listenAgain()
	for until := time.Now().Add(maxUnseen); e.Used() == (job.Size{}) && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(started)
	p.setMode(how)
	time.Sleep(cut)
	p.setMode(pass)
	s.store.Put(stand.Workers, e.ID, stand.Entry(e.CurrentInfo()))
}
