package wire

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/task/flow"
)

const (
	dialTimeout = time.Second
	// continueTimeout is how long an endpoint may take to answer 100 Continue.
	continueTimeout = 250 * time.Millisecond
	// trustPeriod is how long after an answer a connection is used without a probe.
	trustPeriod = 20 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 10 * time.Second
	// maxIdle limits the idle connections to one endpoint. Together with the slots in use
	// it keeps the VMs of a failure domain below 60 connections to an endpoint in total.
	maxIdle      = 8
	maxBodyBytes = 16 << 20
)

// Pool holds a VM's connections to its endpoints.
type Pool struct {
	dial   Dial
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn // ordered by last answer, latest at the end
	busy   map[*conn]bool
	closed bool
}

// NewPool returns an empty pool that connects with dial.
func NewPool(dial Dial) *Pool {
	return &Pool{dial: dial, idle: map[netip.AddrPort][]*conn{}, busy: map[*conn]bool{}}
}

// Run implements flow.Runner.
func (p *Pool) Run(ctx context.Context, at netip.AddrPort, x flow.Exchange) flow.Result {
	for {
		c, fresh, err := p.get(ctx, at)
		if err != nil {
			return flow.Result{Status: flow.Unsent, Err: err}
		}
		r, keep := c.exchange(at, x, !fresh)
		now := time.Now()
		switch {
		case keep:
			c.lastAnswer = now
			p.put(at, c)
		default:
			p.drop(c)
		}
		switch {
		case r.Status == flow.Unsent && errors.Is(r.Err, errNoContinue):
			p.closeStale(at, c.lastAnswer) // no task was sent: try the next connection
			continue
		case r.Status == flow.Lost:
			p.closeStale(at, c.lastAnswer)
		}
		return r
	}
}

// get returns the idle connection that answered last, or a new one; fresh means that
// it needs no probe.
func (p *Pool) get(ctx context.Context, at netip.AddrPort) (c *conn, fresh bool, err error) {
	now := time.Now()
	p.mu.Lock()
	list := p.idle[at]
	if n := len(list); n > 0 {
		c = list[n-1]
		p.idle[at] = list[:n-1]
		p.busy[c] = true
	}
	p.mu.Unlock()
	if c != nil && now.Sub(c.lastAnswer) < idleTimeout {
		return c, now.Sub(c.lastAnswer) < trustPeriod, nil
	}
	if c != nil {
		p.drop(c)
		p.closeStale(at, c.lastAnswer) // the other idle connections are older
	}
	raw, err := p.dial(ctx, at)
	if err != nil {
		return nil, false, fmt.Errorf("connect: %w", err)
	}
	c = newConn(raw, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = raw.Close()
		return nil, false, fmt.Errorf("connect: %w", context.Canceled)
	}
	p.busy[c] = true
	return c, true, nil
}

func (p *Pool) put(at netip.AddrPort, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, c)
	list := p.idle[at]
	if p.closed || len(list) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[at] = append(list, c)
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, c)
}

// closeStale closes the idle connections that last answered no later than a silent
// one: the same cause has very likely made them silent too.
func (p *Pool) closeStale(at netip.AddrPort, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[at]
	kept := list[:0]
	for _, c := range list {
		if c.lastAnswer.After(since) {
			kept = append(kept, c)
		} else {
			_ = c.Close()
		}
	}
	p.idle[at] = kept
}

// Probe implements flow.Runner. It opens a new connection, because an answer on one
// connection proves nothing about the others.
func (p *Pool) Probe(ctx context.Context, at netip.AddrPort) (leaving bool, err error) {
	raw, err := p.dial(ctx, at)
	if err != nil {
		return false, err
	}
	c := newConn(raw, time.Now())
	defer c.Close() //nolint:errcheck // used for one health request only
	if err := c.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return false, fmt.Errorf("ask endpoint: %w", err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetRequestURI(healthPath)
	req.Header.SetHost(at.String())
	if err := req.Write(c.w); err != nil {
		return false, fmt.Errorf("ask endpoint: %w", err)
	}
	if err := c.w.Flush(); err != nil {
		return false, fmt.Errorf("ask endpoint: %w", err)
	}
	if err := resp.Read(c.r); err != nil {
		return false, fmt.Errorf("ask endpoint: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return false, fmt.Errorf("ask endpoint: %w: %d", errStatus, resp.StatusCode())
	}
	return string(resp.Header.Peek(LeavingHeader)) == "yes", nil
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.busy {
		_ = c.Close()
	}
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = map[netip.AddrPort][]*conn{}
}

// ConnCounts returns the number of idle connections to one endpoint, and of all connections
// in use.
func (p *Pool) ConnCounts(at netip.AddrPort) (idle, busy int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[at]), len(p.busy)
}
