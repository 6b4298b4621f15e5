package main

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// handInAfter is how long after the restart of its endpoints the job is handed in.
	handInAfter = 20 * time.Millisecond
	// cutAfter is how long after a start its endpoint is cut off.
	cutAfter = 30 * time.Millisecond
	// cutFor is how long.
	cutFor = 5 * time.Second
)

// gate is a listener whose connections can be cut off: open ones are reset, and new ones refused.
type gate struct {
	at string

	mu   sync.Mutex
	l    net.Listener
	shut bool
	open map[net.Conn]bool
	more chan net.Listener
}

func newGate(l net.Listener) *gate {
	return &gate{at: l.Addr().String(), l: l, open: map[net.Conn]bool{}, more: make(chan net.Listener, 1)}
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		l := g.l
		g.mu.Unlock()
		c, err := l.Accept()
		if err != nil {
			l, ok := <-g.more
			if !ok {
				return nil, err //nolint:wrapcheck // the listener's own
			}
			g.mu.Lock()
			g.l = l
			g.mu.Unlock()
			continue
		}
		g.mu.Lock()
		g.open[c] = true
		shut := g.shut
		g.mu.Unlock()
		if shut {
			g.reset(c)
			continue
		}
		return &gatedConn{c, g}, nil
	}
}

// Close implements net.Listener.
func (g *gate) Close() error { return nil } // it lasts as long as the process

// Addr implements net.Listener.
func (g *gate) Addr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.l.Addr()
}

func (g *gate) reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // the close of a reset connection can't fail in a way that matters
	_ = c.Close()
	g.mu.Lock()
	delete(g.open, c)
	g.mu.Unlock()
}

// cut cuts the endpoint off.
func (g *gate) cut() {
	g.mu.Lock()
	g.shut = true
	_ = g.l.Close() // Accept takes the next listener
	conns := make([]net.Conn, 0, len(g.open))
	for c := range g.open {
		conns = append(conns, c)
	}
	g.mu.Unlock()
	for _, c := range conns {
		g.reset(c)
	}
}

// heal ends the cut.
func (g *gate) heal() error {
	l, err := net.Listen("tcp", g.at)
	if err != nil {
		return fmt.Errorf("listen again: %w", err)
	}
	g.mu.Lock()
	g.shut = false
	g.mu.Unlock()
	g.more <- l
	return nil
}

// gatedConn is a connection that its gate forgets once it is closed.
type gatedConn struct {
	net.Conn
	g *gate
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.g.mu.Lock()
	delete(c.g.open, c.Conn)
	c.g.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // the connection's own
}

// playUnseen hands in a job of long tasks. With trouble, the endpoints that start them have just started again under their
// IDs, and are cut off from all daemons then. TROUBLE=cut leaves out the restart.
func playUnseen(g *rig) (broken []string, err error) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { g.usualWork(stop) })
	defer wg.Wait()
	defer close(stop)
	time.Sleep(3 * time.Second)
	if g.trouble && os.Getenv("TROUBLE") != "cut" {
		var all sync.WaitGroup
		for _, e := range g.workers[:watched] {
			all.Go(func() { g.restart(e) })
		}
		all.Wait()
	}
	time.Sleep(handInAfter)
	s := g.newJob(step{Count: watched, CPU: 60000, Mem: 64, Estimate: 6000, Requires: watchedRack})
	handed := make(chan answer, 1)
	go func() { handed <- g.post(g.vms[0], prefix+s.id, s.body, watchedDeadline) }()
	cut := 0
	if g.trouble {
		cut = g.cutWhereStarted(s.id)
	}
	a := <-handed
	g.note("%d endpoints were cut off; the job: %s", cut, a)
	runs := g.ledger.of(s.id)
	if len(runs) == 0 || g.trouble && !slices.ContainsFunc(runs, func(r run) bool { return r.num > 1 }) {
		return nil, fmt.Errorf("%d endpoints were cut off after a start, %d runs: %w", cut, len(runs), errNoneJudged)
	}
	return g.twice(s.id), nil
}

// cutWhereStarted cuts off each endpoint on which a first run of a job's tasks starts, for cutFor, and returns their number.
func (g *rig) cutWhereStarted(id string) int {
	cut := map[string]bool{}
	for until := time.Now().Add(time.Second); time.Now().Before(until) && len(cut) < watched; time.Sleep(time.Millisecond) {
		for _, r := range g.ledger.of(id) {
			if cut[r.ep] || !strings.HasPrefix(r.task, id) || time.Since(r.start) < cutAfter {
				continue
			}
			cut[r.ep] = true
			door := g.gates[r.ep]
			door.cut()
			g.note("%s is cut off", r.ep)
			time.AfterFunc(cutFor, func() {
				if err := door.heal(); err != nil {
					g.note("%v", err)
				}
			})
		}
	}
	return len(cut)
}
