package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
)

// proxy forwards channels to one address; it can reset new ones.
type proxy struct {
	l     net.Listener
	to    string
	reset atomic.Bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &proxy{l: l, to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *proxy) addr() string { return p.l.Addr().String() }

func (p *proxy) forward(c net.Conn) {
	if p.reset.Load() {
		_ = c.(*net.TCPConn).SetLinger(0) // closing then resets
		_ = c.Close()
		return
	}
	d, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		_ = to.Close()
		_ = from.Close()
	}
	go pass(d, c)
	pass(c, d)
}
