// Package soak runs real daemons as processes on loopback, injects faults from outside
// and checks the guarantees by what callers and endpoints observe.
package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"dahliawinch/internal/base/timer"
)

// mode is how a proxy treats its connections.
type mode int

const (
	pass mode = iota
	delay
	silent // bytes are dropped, connections stay open
	refuse // open and new connections are closed
	slow   // all connections share slowRate
	jitter // each read is held back for a random time of up to addedDelay, so that answers overtake each other
)

// addedDelay is how long a proxy in mode delay holds back each read.
const addedDelay = 40 * time.Millisecond

const (
	// slowRate is the bandwidth of a slow proxy in bytes per second, enough for some 40 requests.
	slowRate = 20_000
	// chunkSize is how many bytes it sends at a time.
	chunkSize = 512
)

// proxy forwards connections from the daemons to one endpoint, or from one daemon to the store.
type proxy struct {
	target string

	mu       sync.Mutex
	listener net.Listener
	mode     mode
	nextSend time.Time // when a slow proxy has sent all earlier chunks
	conns    map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err //nolint:wrapcheck // a listener's own error
	}
	p := &proxy{listener: l, target: to, conns: map[net.Conn]bool{}}
	go p.accept(l)
	return p, nil
}

// addr returns the address that the proxy listens on.
func (p *proxy) addr() net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr()
}

// down closes the listener and all connections, as the end of the target's process does.
func (p *proxy) down() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
}

// up listens again at the former address.
func (p *proxy) up() error {
	l, err := net.Listen("tcp", p.addr().String())
	if err != nil {
		return err //nolint:wrapcheck // a listener's own error
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = l
	go p.accept(l)
	return nil
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.nextSend = m, time.Time{}
	if m == refuse {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	p.down()
	p.setMode(refuse)
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == refuse {
			_ = c.Close()
			continue
		}
		up, err := net.Dial("tcp", p.target)
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

// send writes the bytes that were read, as the mode allows.
func (p *proxy) send(to net.Conn, b []byte) error {
	for len(b) > 0 {
		n := len(b)
		switch p.currentMode() {
		case silent:
			return nil
		case delay:
			time.Sleep(addedDelay)
		case jitter:
			time.Sleep(rand.N(addedDelay))
		case slow:
			n = min(n, chunkSize)
			time.Sleep(p.queueDelay(n))
		default:
		}
		if _, err := to.Write(b[:n]); err != nil {
			return err //nolint:wrapcheck // it only ends the connection
		}
		b = b[n:]
	}
	return nil
}

// queueDelay returns how long a chunk of n bytes waits at slowRate behind those of all connections.
func (p *proxy) queueDelay(n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.nextSend = timer.Later(p.nextSend, now).Add(time.Duration(n) * time.Second / slowRate)
	return p.nextSend.Sub(now)
}
