package wire

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"dahliawinch/internal/conf/valid"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/flow"
	"dahliawinch/internal/task/place"
)

// TestMain serves one request outside of any synctest bubble: the first request makes
// fasthttp start a goroutine for its date header, which would keep a bubble from ending.
func TestMain(m *testing.M) {
	l := fasthttputil.NewInmemoryListener()
	s := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	go func() { _ = s.Serve(l) }()
	c := fasthttp.HostClient{Addr: "x", Dial: func(string) (net.Conn, error) { return l.Dial() }}
	_, _, _ = c.Get(nil, "http://x/")
	os.Exit(m.Run())
}

// startCounter counts the starts of each job on the endpoints.
type startCounter struct {
	mu sync.Mutex
	n  map[string]int
}

func (s *startCounter) Started(job string, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n[job]++
}

// testEndpoint is an endpoint behind an in-memory listener. Its connections can be
// muted: both ends stay open, but no data arrives.
type testEndpoint struct {
	e     *fakes.Endpoint
	l     *fasthttputil.InmemoryListener
	mu    sync.Mutex
	conns []*mutedConn
	dials int
}

// mutedConn is a connection whose path can be cut without closing it.
type mutedConn struct {
	net.Conn
	muted atomic.Bool
}

func (m *mutedConn) Write(b []byte) (int, error) {
	if m.muted.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

// Read discards data of a muted connection until the deadline.
func (m *mutedConn) Read(b []byte) (int, error) {
	for {
		n, err := m.Conn.Read(b)
		if err != nil || !m.muted.Load() {
			return n, err
		}
	}
}

func (h *testEndpoint) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	c, err := h.l.Dial()
	if err != nil {
		return nil, err
	}
	m := &mutedConn{Conn: c}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, m)
	h.dials++
	return m, nil
}

// muteAll mutes every open connection; new ones work.
func (h *testEndpoint) muteAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.muted.Store(true)
	}
	h.conns = nil
}

func newTestEndpoint(t *testing.T, w fakes.Witness) *testEndpoint {
	t.Helper()
	h := &testEndpoint{l: fasthttputil.NewInmemoryListener()}
	h.e = fakes.NewEndpoint(place.Info{Addr: netip.MustParseAddrPort("127.0.0.1:80"), Slots: 8}, w)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(done)
		if err := fakes.ServeEndpoint(ctx, h.e, h.l); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		time.Sleep(time.Minute) // fasthttp's workers end after an idle time
	})
	return h
}

func exchange(name string, run time.Duration, began *atomic.Int64) flow.Exchange {
	return flow.Exchange{
		AttemptID: name, Body: fakes.Task{Job: name, Run: valid.Span(run)}.Encode(), Deadline: time.Now().Add(10 * time.Second),
		Begin: func() bool {
			if began != nil {
				began.Add(1)
			}
			return true
		},
	}
}

// All open connections, in use and idle, go silent for good while new ones work. Only
// the tasks in flight may be lost: idle connections must be probed before use, or jobs
// end as silent although their endpoints answer other requests.
func TestSilentConnectionsLoseOnlyInFlightTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &startCounter{n: map[string]int{}}
		h := newTestEndpoint(t, w)
		p := NewPool(h.dial)
		defer p.Close()
		at := h.e.Addr
		run := func(n int, name string, d time.Duration) (ended [5]int) {
			var wg sync.WaitGroup
			var mu sync.Mutex
			for i := range n {
				wg.Go(func() {
					r := p.Run(t.Context(), at, exchange(name+string(rune('a'+i)), d, nil))
					mu.Lock()
					ended[r.Status]++
					mu.Unlock()
				})
			}
			wg.Wait()
			return ended
		}
		is.Equal(run(4, "warm", 100*time.Millisecond)[flow.Ran], 4) // four idle connections
		inFlight := make(chan [5]int)
		go func() { inFlight <- run(3, "inflight", 500*time.Millisecond) }()
		time.Sleep(100 * time.Millisecond)
		h.muteAll()
		after := run(4, "after", 50*time.Millisecond)
		is.Equal(after[flow.Ran], 4) // none lost: idle connections are probed first
		is.Equal((<-inFlight)[flow.Lost], 3)
		for name, n := range w.n {
			if n != 1 {
				t.Errorf("%s started %d times", name, n)
			}
		}
	})
}

func TestRecentConnectionIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newTestEndpoint(t, &startCounter{n: map[string]int{}})
		p := NewPool(h.dial)
		defer p.Close()
		for range 10 {
			r := p.Run(t.Context(), h.e.Addr, exchange("again", 10*time.Millisecond, nil))
			is.Equal(r.Status, flow.Ran)
		}
		is.Equal(h.dials, 1)
		idle, busy := p.ConnCounts(h.e.Addr)
		is.Equal(idle, 1)
		is.Equal(busy, 0)
	})
}

// An endpoint that refuses, fails, leaves or does not listen must give different
// endings, or a task that never started is treated as started, or the reverse.
func TestEndingsAreDistinguished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &startCounter{n: map[string]int{}}
		h := newTestEndpoint(t, w)
		p := NewPool(h.dial)
		defer p.Close()
		runOne := func(x flow.Exchange) flow.Result { return p.Run(t.Context(), h.e.Addr, x) }
		x := exchange("bad", time.Millisecond, nil)
		x.Body = []byte(`{"job":"bad","run":"1ms","fail":true}`)
		is.Equal(runOne(x).Status, flow.Failed)
		x = exchange("unwanted", time.Millisecond, nil)
		x.Begin = func() bool { return false }
		is.Equal(runOne(x).Status, flow.Unsent)
		x = exchange("late", time.Second, nil)
		x.Deadline = time.Now().Add(100 * time.Millisecond)
		is.Equal(runOne(x).Status, flow.Lost)
		time.Sleep(time.Second)
		h.e.Leave()
		var began atomic.Int64
		r := runOne(exchange("leaving", time.Millisecond, &began))
		is.Equal(r.Status, flow.Refused)
		is.True(r.Leaving)
		is.Equal(w.n["unwanted"]+w.n["leaving"], 0)
		leaving, err := p.Probe(t.Context(), h.e.Addr)
		is.NoErr(err)
		is.True(leaving)
		is.NoErr(h.l.Close())
		time.Sleep(idleTimeout)
		r = runOne(exchange("gone", time.Millisecond, nil))
		is.Equal(r.Status, flow.Unsent)
		is.True(r.Err != nil && strings.Contains(r.Err.Error(), "connect"))
	})
}
