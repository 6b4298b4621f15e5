package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/plat/ledger"
)

// newServer returns the HTTP server of a fake.
func newServer(handle fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{Handler: handle, Name: "stand-in", CloseOnShutdown: true, MaxRequestBodySize: 32 << 20, Logger: discardLogger{}}
}

// discardLogger drops the log lines of fasthttp about broken connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// run serves until ctx ends, and then stops at once.
func run(ctx context.Context, s *fasthttp.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = s.ShutdownWithContext(short)
	})
	defer stop()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve stand-in: %w", err)
	}
	return nil
}

func answer(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ServeEndpoint serves an endpoint over HTTP until it dies or ctx ends.
func ServeEndpoint(ctx context.Context, e *Endpoint, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	dead := e.dead
	e.mu.Unlock()
	conns := &trackedListener{Listener: l, open: map[net.Conn]bool{}}
	go func() {
		select {
		case <-dead:
			cancel()
			conns.closeAll()
		case <-ctx.Done():
		}
	}()
	s := newServer(func(c *fasthttp.RequestCtx) {
		if e.Leaving() {
			c.Response.Header.Set("X-Leaving", "yes")
		}
		if string(c.Path()) == "/health" {
			return
		}
		r, body, _ := e.Serve(c.PostBody())
		switch r {
		case Good:
			c.SetBody(body)
		case Broken:
			c.Error("the task failed", fasthttp.StatusInternalServerError)
		case Full, Leaves:
			c.Response.Header.Set("X-Started", "no")
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		case Malform:
			c.Response.Header.Set("X-Started", "no")
			c.SetStatusCode(fasthttp.StatusBadRequest)
		}
		if e.Leaving() {
			c.Response.Header.Set("X-Leaving", "yes")
		}
	})
	return run(ctx, s, conns)
}

// trackedListener tracks open connections, to close them when the endpoint dies.
type trackedListener struct {
	net.Listener
	mu   sync.Mutex
	open map[net.Conn]bool
}

func (t *trackedListener) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // a listener's own error
	}
	t.mu.Lock()
	t.open[c] = true
	t.mu.Unlock()
	return &trackedConn{c, t}, nil
}

func (t *trackedListener) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.Close()
	for c := range t.open {
		_ = c.Close()
	}
}

type trackedConn struct {
	net.Conn
	t *trackedListener
}

func (c *trackedConn) Close() error {
	c.t.mu.Lock()
	delete(c.t.open, c.Conn)
	c.t.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // the connection's own error
}

// ServeList serves the list over HTTP.
func ServeList(ctx context.Context, list *List, l net.Listener) error {
	return run(ctx, newServer(func(c *fasthttp.RequestCtx) {
		now, err := list.List(c)
		if err != nil {
			c.Error(err.Error(), fasthttp.StatusServiceUnavailable)
			return
		}
		answer(c, now)
	}), l)
}

// Streams holds the streams of the fake log by name.
type Streams struct {
	mu    sync.Mutex
	rules LogRules
	all   map[string]*Log
}

// NewStreams returns a log that creates each stream on first use.
func NewStreams(rules LogRules) *Streams { return &Streams{rules: rules, all: map[string]*Log{}} }

// Get returns one stream.
func (s *Streams) Get(name string) *Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all[name] == nil {
		s.all[name] = NewLog(s.rules)
	}
	return s.all[name]
}

// ServeLog serves the log over HTTP.
func ServeLog(ctx context.Context, streams *Streams, l net.Listener) error {
	return run(ctx, newServer(func(c *fasthttp.RequestCtx) {
		name, ok := strings.CutPrefix(string(c.Path()), "/streams/")
		if !ok {
			c.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		log := streams.Get(name)
		var v any
		var err error
		if c.IsPost() {
			var at int64
			at, err = log.Append(ctx, c.PostBody())
			v = map[string]int64{"offset": at}
		} else {
			v, err = readPage(ctx, log, c.QueryArgs())
		}
		switch {
		case err == nil:
			answer(c, v)
		case errors.Is(err, ledger.ErrBusy):
			c.SetStatusCode(fasthttp.StatusTooManyRequests)
		case errors.Is(err, ledger.ErrUnsure):
			c.SetConnectionClose()
			c.HijackSetNoResponse(true)
			c.Hijack(func(net.Conn) {}) // the answer is lost
		default:
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}), l)
}

func readPage(ctx context.Context, log *Log, args *fasthttp.Args) (ledger.Page, error) {
	from := args.GetUintOrZero("from")
	wait, err := time.ParseDuration(string(args.Peek("wait")))
	if err != nil {
		wait = 0
	}
	return log.Read(ctx, int64(from), wait)
}
