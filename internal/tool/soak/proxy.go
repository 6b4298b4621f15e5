// Package soak runs real daemons as processes on loopback, injects faults from outside of
// them and checks the promises from what callers and endpoints see.
package soak

import (
	"net"
	"sync"
	"time"

	"dahliawinch/internal/base/timer"
)

// mode is what a proxy does to its connections.
type mode int

const (
	pass mode = iota
	delay
	silent // bytes go nowhere, connections stay open
	refuse // open connections are reset, new ones too
	slow   // all connections share slowRate
)

// lag is what a delaying proxy adds to each piece.
const lag = 40 * time.Millisecond

const (
	// slowRate is what a slow proxy carries, in bytes a second: some 40 orders.
	slowRate = 20_000
	// piece is what it sends at a time.
	piece = 512
)

// proxy stands between the daemons and one endpoint, or between one of them and the store.
type proxy struct {
	l  net.Listener
	to string

	mu    sync.Mutex
	mode  mode
	free  time.Time // when a slow proxy has sent what came before
	conns map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err //nolint:wrapcheck // a listener's own error
	}
	p := &proxy{l: l, to: to, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.free = m, time.Time{}
	if m == refuse {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.set(refuse)
}

func (p *proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		if p.now() == refuse {
			_ = c.Close()
			continue
		}
		up, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[up] = true, true
		p.mu.Unlock()
		go p.copy(up, c)
		go p.copy(c, up)
	}
}

func (p *proxy) copy(to, from net.Conn) {
	defer func() {
		_, _ = to.Close(), from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if p.send(to, buf[:n]) != nil || err != nil {
			return
		}
	}
}

// send writes what was read, as the mode allows.
func (p *proxy) send(to net.Conn, b []byte) error {
	for len(b) > 0 {
		n := len(b)
		switch p.now() {
		case silent:
			return nil
		case delay:
			time.Sleep(lag)
		case slow:
			n = min(n, piece)
			time.Sleep(p.turn(n))
		default:
		}
		if _, err := to.Write(b[:n]); err != nil {
			return err //nolint:wrapcheck // it ends the connection, no more
		}
		b = b[n:]
	}
	return nil
}

// turn is how long a piece waits for those of all connections before it.
func (p *proxy) turn(n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.free = timer.Later(p.free, now).Add(time.Duration(n) * time.Second / slowRate)
	return p.free.Sub(now)
}
