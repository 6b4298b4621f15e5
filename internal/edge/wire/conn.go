// Package wire runs tasks on endpoints over HTTP, one exchange at a time on each
// connection.
package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/task/flow"
)

// The headers of the endpoint protocol, see docs/PLATFORM.md.
const (
	AttemptHeader = "X-Attempt" // unique name of the attempt
	StartedHeader = "X-Started" // "no" proves that the task did not start
	LeavingHeader = "X-Leaving" // "yes" says that the endpoint leaves
	runPath       = "/run"
	askPath       = "/health"
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
	born time.Time
	last time.Time // of the last answer
}

func newConn(c net.Conn, now time.Time) *conn {
	return &conn{Conn: c, r: bufio.NewReader(c), w: bufio.NewWriter(c), born: now, last: now}
}

var (
	errNoContinue = errors.New("the connection is silent")
	errStatus     = errors.New("status of the endpoint")
)

// exchange runs one task. With ask it first makes sure that the connection still
// carries bytes both ways, before anything that could start the task leaves.
//
// What goes wrong without it: something between the two ends has lost track of an
// idle connection; the request vanishes, and since it may have started it can't
// be tried again. One notices jobs that end as silent on endpoints that answer
// others. "Expect: 100-continue" costs one round trip and keeps the body back
// until the endpoint has spoken, so a silent connection loses nothing.
func (c *conn) exchange(at netip.AddrPort, x flow.Exchange, ask bool) (flow.Result, bool) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(runPath)
	req.Header.SetHost(at.String())
	req.Header.SetContentType("application/json")
	req.Header.Set(AttemptHeader, x.Attempt)
	req.Header.SetContentLength(len(x.Body))
	if ask {
		req.Header.Set(fasthttp.HeaderExpect, "100-continue")
		if r, ok := c.expect(req); !ok {
			return r, false
		}
	}
	if !x.Begin() {
		return flow.Result{Ending: flow.Unsent}, false
	}
	return c.send(req, x, ask)
}

// expect sends the head of the request and waits for the word to go on.
func (c *conn) expect(req *fasthttp.Request) (flow.Result, bool) {
	silent := func(err error) (flow.Result, bool) {
		return flow.Result{Ending: flow.Unsent, Err: fmt.Errorf("%w: %w", errNoContinue, err)}, false
	}
	if err := c.SetDeadline(time.Now().Add(expectWait)); err != nil {
		return silent(err)
	}
	if _, err := req.Header.WriteTo(c.w); err != nil {
		return silent(err)
	}
	if err := c.w.Flush(); err != nil {
		return silent(err)
	}
	var head fasthttp.ResponseHeader
	if err := head.Read(c.r); err != nil {
		return silent(err)
	}
	if head.StatusCode() == fasthttp.StatusContinue {
		return flow.Result{}, true
	}
	leaving := string(head.Peek(LeavingHeader)) == "yes"
	return flow.Result{Ending: flow.Refused, Leaving: leaving, Err: fmt.Errorf("%w: %d", errStatus, head.StatusCode())}, false
}

func (c *conn) send(req *fasthttp.Request, x flow.Exchange, headSent bool) (flow.Result, bool) {
	lost := func(err error) (flow.Result, bool) {
		return flow.Result{Ending: flow.Lost, Err: err}, false
	}
	if err := c.SetDeadline(x.Until); err != nil {
		return lost(err)
	}
	if !headSent {
		if _, err := req.Header.WriteTo(c.w); err != nil {
			return lost(err)
		}
	}
	if _, err := c.w.Write(x.Body); err != nil {
		return lost(err)
	}
	if err := c.w.Flush(); err != nil {
		return lost(err)
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(c.r, mostBody); err != nil {
		return lost(err)
	}
	return read(resp)
}

// read takes the endpoint's answer; keep reports whether the connection may be
// used again.
func read(resp *fasthttp.Response) (r flow.Result, keep bool) {
	keep = !resp.ConnectionClose()
	r.Leaving = string(resp.Header.Peek(LeavingHeader)) == "yes"
	code := resp.StatusCode()
	switch {
	case code == fasthttp.StatusOK:
		r.Ending = flow.Ran
		r.Body = append([]byte{}, resp.Body()...)
	case string(resp.Header.Peek(StartedHeader)) == "no":
		r.Ending = flow.Refused
		r.Err = fmt.Errorf("%w: %d", errStatus, code)
	default:
		r.Ending = flow.RanBadly
		r.Err = fmt.Errorf("%w: %d: %.100s", errStatus, code, resp.Body())
	}
	return r, keep
}

// Dial opens connections to endpoints.
type Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// TCP dials with keep-alive probes that notice a path that carries nothing any
// more within a few seconds, long before the deadline of a task would.
func TCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialWait, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
	}}
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, fmt.Errorf("dial endpoint: %w", err)
	}
	return c, nil
}
