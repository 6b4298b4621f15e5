// Package soak runs real daemons as processes on loopback, injects faults from outside of
// them and checks the promises from what callers and endpoints see.
package soak

import (
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

const (
	pass mode = iota
	delay
	silent // bytes go nowhere, connections stay open
	refuse // open connections are reset, new ones too
)

// lag is what a delaying proxy adds to each piece.
const lag = 40 * time.Millisecond

// proxy stands between the daemons and one endpoint or store.
type proxy struct {
	l  net.Listener
	to string

	mu    sync.Mutex
	mode  mode
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
	p.mode = m
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
		switch p.now() {
		case silent:
			n = 0
		case delay:
			time.Sleep(lag)
		default:
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
