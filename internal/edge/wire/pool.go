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
	dialWait = time.Second
	// expectWait is how long a connection may keep silent when asked.
	expectWait = 250 * time.Millisecond
	// trustFor is how long after an answer a connection is used without asking.
	trustFor = 20 * time.Millisecond
	// idleFor is how long a connection is kept without use.
	idleFor = 10 * time.Second
	// mostIdle bounds the idle connections to one endpoint; with the slots in use
	// it keeps all VMs of a failure domain together under 60 an endpoint.
	mostIdle = 8
	mostBody = 16 << 20
)

// Pool holds the connections of one VM to its endpoints.
type Pool struct {
	dial   Dial
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn // latest answer last
	busy   map[*conn]bool
	closed bool
}

// NewPool returns a pool.
func NewPool(dial Dial) *Pool {
	return &Pool{dial: dial, idle: map[netip.AddrPort][]*conn{}, busy: map[*conn]bool{}}
}

// Run implements flow.Runner.
func (p *Pool) Run(ctx context.Context, at netip.AddrPort, x flow.Exchange) flow.Result {
	for {
		c, fresh, err := p.get(ctx, at)
		if err != nil {
			return flow.Result{Ending: flow.Unsent, Err: err}
		}
		r, keep := c.exchange(at, x, !fresh)
		now := time.Now()
		switch {
		case keep:
			c.last = now
			p.put(at, c)
		default:
			p.drop(c)
		}
		switch {
		case r.Ending == flow.Unsent && errors.Is(r.Err, errNoContinue):
			p.suspect(at, c.last) // nothing was sent: try the next connection
			continue
		case r.Ending == flow.Lost:
			p.suspect(at, c.last)
		}
		return r
	}
}

// get returns the idle connection that answered last, or a new one; fresh means
// that it needs no question first.
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
	if c != nil && now.Sub(c.last) < idleFor {
		return c, now.Sub(c.last) < trustFor, nil
	}
	if c != nil {
		p.drop(c)
		p.suspect(at, c.last) // the others are older still
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
	if p.closed || len(list) >= mostIdle {
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

// suspect closes the idle connections that have not answered since a silent one
// did: what silenced it has very likely silenced them.
func (p *Pool) suspect(at netip.AddrPort, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[at]
	kept := list[:0]
	for _, c := range list {
		if c.last.After(since) {
			kept = append(kept, c)
		} else {
			_ = c.Close()
		}
	}
	p.idle[at] = kept
}

// Ask implements flow.Runner on a connection of its own: one that works says
// nothing of the others.
func (p *Pool) Ask(ctx context.Context, at netip.AddrPort) (leaving bool, err error) {
	raw, err := p.dial(ctx, at)
	if err != nil {
		return false, err
	}
	c := newConn(raw, time.Now())
	defer c.Close() //nolint:errcheck // it was only asked
	if err := c.SetDeadline(time.Now().Add(dialWait)); err != nil {
		return false, fmt.Errorf("ask endpoint: %w", err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetRequestURI(askPath)
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

// Close ends all connections.
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

// Open counts the connections to one endpoint that are idle, and all in use.
func (p *Pool) Open(at netip.AddrPort) (idle, busy int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[at]), len(p.busy)
}
