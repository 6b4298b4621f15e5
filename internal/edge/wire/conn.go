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
	AttemptHeader = "X-Attempt" // unique ID of the attempt
	StartedHeader = "X-Started" // "no" proves that the task did not start
	LeavingHeader = "X-Leaving" // "yes" means that the endpoint is leaving
	runPath       = "/run"
	healthPath    = "/health"
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	r          *bufio.Reader
	w          *bufio.Writer
	opened     time.Time
	lastAnswer time.Time // time of the last answer
}

func newConn(c net.Conn, now time.Time) *conn {
	return &conn{Conn: c, r: bufio.NewReader(c), w: bufio.NewWriter(c), opened: now, lastAnswer: now}
}

var (
	errNoContinue = errors.New("the connection is silent")
	errStatus     = errors.New("status of the endpoint")
)

// exchange runs one task. With probe it first checks that the connection still works
// in both directions, before it sends anything that could start the task.
//
// A device on the path, such as a firewall, may drop an idle connection without closing
// it. A request sent over it is lost, and can't be retried because the task may have
// started: jobs then end as silent although their endpoints answer other requests. With
// "Expect: 100-continue", at the cost of one round trip, the body is sent only after
// the endpoint has answered, so a silent connection loses no task.
func (c *conn) exchange(at netip.AddrPort, x flow.Exchange, probe bool) (flow.Result, bool) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(runPath)
	req.Header.SetHost(at.String())
	req.Header.SetContentType("application/json")
	req.Header.Set(AttemptHeader, x.AttemptID)
	req.Header.SetContentLength(len(x.Body))
	if probe {
		req.Header.Set(fasthttp.HeaderExpect, "100-continue")
		if r, ok := c.awaitContinue(req); !ok {
			return r, false
		}
	}
	if !x.Begin() {
		return flow.Result{Status: flow.Unsent}, false
	}
	return c.send(req, x, probe)
}

// awaitContinue sends the request header and waits for the status 100 Continue.
func (c *conn) awaitContinue(req *fasthttp.Request) (flow.Result, bool) {
	silent := func(err error) (flow.Result, bool) {
		return flow.Result{Status: flow.Unsent, Err: fmt.Errorf("%w: %w", errNoContinue, err)}, false
	}
	if err := c.SetDeadline(time.Now().Add(continueTimeout)); err != nil {
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
	return flow.Result{Status: flow.Refused, Leaving: leaving, Err: fmt.Errorf("%w: %d", errStatus, head.StatusCode())}, false
}

func (c *conn) send(req *fasthttp.Request, x flow.Exchange, headSent bool) (flow.Result, bool) {
	lost := func(err error) (flow.Result, bool) {
		return flow.Result{Status: flow.Lost, Err: err}, false
	}
	if err := c.SetDeadline(x.Deadline); err != nil {
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
	if err := resp.ReadLimitBody(c.r, maxBodyBytes); err != nil {
		return lost(err)
	}
	return parseResponse(resp)
}

// parseResponse converts the endpoint's response to a result; keep reports whether the
// connection may be reused.
func parseResponse(resp *fasthttp.Response) (r flow.Result, keep bool) {
	keep = !resp.ConnectionClose()
	r.Leaving = string(resp.Header.Peek(LeavingHeader)) == "yes"
	code := resp.StatusCode()
	switch {
	case code == fasthttp.StatusOK:
		r.Status = flow.Ran
		r.Body = append([]byte{}, resp.Body()...)
	case string(resp.Header.Peek(StartedHeader)) == "no":
		r.Status = flow.Refused
		r.Err = fmt.Errorf("%w: %d", errStatus, code)
	default:
		r.Status = flow.Failed
		r.Err = fmt.Errorf("%w: %d: %.100s", errStatus, code, resp.Body())
	}
	return r, keep
}

// Dial opens connections to endpoints.
type Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// TCP dials with keep-alive probes, which detect a dead path within a few seconds,
// long before a task's deadline.
func TCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
	}}
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, fmt.Errorf("dial endpoint: %w", err)
	}
	return c, nil
}
