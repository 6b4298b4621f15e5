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

// TestMain serves one request outside of any bubble, because the library starts a
// goroutine for its date header that would keep a bubble from ending.
func TestMain(m *testing.M) {
	l := fasthttputil.NewInmemoryListener()
	s := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	go func() { _ = s.Serve(l) }()
	c := fasthttp.HostClient{Addr: "x", Dial: func(string) (net.Conn, error) { return l.Dial() }}
	_, _, _ = c.Get(nil, "http://x/")
	os.Exit(m.Run())
}

// starts counts what endpoints saw.
type starts struct {
	mu sync.Mutex
	n  map[string]int
}

func (s *starts) Started(job string, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n[job]++
}

// host is an endpoint behind an in-memory listener whose connections can be made
// silent: both ends stay open, and nothing arrives any more.
type host struct {
	e     *fakes.Endpoint
	l     *fasthttputil.InmemoryListener
	mu    sync.Mutex
	conns []*mute
	dials int
}

// mute is a connection that something between the two ends may lose track of.
type mute struct {
	net.Conn
	lost atomic.Bool
}

func (m *mute) Write(b []byte) (int, error) {
	if m.lost.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

// Read drops what arrives once the path is lost, until the deadline.
func (m *mute) Read(b []byte) (int, error) {
	for {
		n, err := m.Conn.Read(b)
		if err != nil || !m.lost.Load() {
			return n, err
		}
	}
}

func (h *host) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	c, err := h.l.Dial()
	if err != nil {
		return nil, err
	}
	m := &mute{Conn: c}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, m)
	h.dials++
	return m, nil
}

// silence loses track of every open connection; new ones work.
func (h *host) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.lost.Store(true)
	}
	h.conns = nil
}

func newHost(t *testing.T, w fakes.Witness) *host {
	t.Helper()
	h := &host{l: fasthttputil.NewInmemoryListener()}
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
		time.Sleep(time.Minute) // the server library's workers end in their own time
	})
	return h
}

func exchange(name string, run time.Duration, began *atomic.Int64) flow.Exchange {
	return flow.Exchange{
		Attempt: name, Body: fakes.Task{Job: name, Run: valid.Span(run)}.Encode(), Until: time.Now().Add(10 * time.Second),
		Begin: func() bool {
			if began != nil {
				began.Add(1)
			}
			return true
		},
	}
}

// Symptom: jobs end as silent on endpoints that answer others. Sequence: open
// connections, in use and idle, lose their path for good while new ones work.
// Cause: the next tasks go out over idle connections nobody has asked.
func TestSilentConnectionsLoseOnlyWhatIsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &starts{n: map[string]int{}}
		h := newHost(t, w)
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
					ended[r.Ending]++
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
		h.silence()
		after := run(4, "after", 50*time.Millisecond)
		is.Equal(after[flow.Ran], 4) // none lost: idle connections are asked first
		is.Equal((<-inFlight)[flow.Lost], 3)
		for name, n := range w.n {
			if n != 1 {
				t.Errorf("%s started %d times", name, n)
			}
		}
	})
}

func TestBusyConnectionIsUsedWithoutAsking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost(t, &starts{n: map[string]int{}})
		p := NewPool(h.dial)
		defer p.Close()
		for range 10 {
			r := p.Run(t.Context(), h.e.Addr, exchange("again", 10*time.Millisecond, nil))
			is.Equal(r.Ending, flow.Ran)
		}
		is.Equal(h.dials, 1)
		idle, busy := p.Open(h.e.Addr)
		is.Equal(idle, 1)
		is.Equal(busy, 0)
	})
}

// Symptom: a task that never started is taken as started, or the other way round.
// Sequence: the endpoint refuses, fails, leaves or is not there. Cause: the endings
// are not told apart.
func TestEndings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &starts{n: map[string]int{}}
		h := newHost(t, w)
		p := NewPool(h.dial)
		defer p.Close()
		one := func(x flow.Exchange) flow.Result { return p.Run(t.Context(), h.e.Addr, x) }
		x := exchange("bad", time.Millisecond, nil)
		x.Body = []byte(`{"job":"bad","run":"1ms","fail":true}`)
		is.Equal(one(x).Ending, flow.RanBadly)
		x = exchange("unwanted", time.Millisecond, nil)
		x.Begin = func() bool { return false }
		is.Equal(one(x).Ending, flow.Unsent)
		x = exchange("late", time.Second, nil)
		x.Until = time.Now().Add(100 * time.Millisecond)
		is.Equal(one(x).Ending, flow.Lost)
		time.Sleep(time.Second)
		h.e.Leave()
		var began atomic.Int64
		r := one(exchange("leaving", time.Millisecond, &began))
		is.Equal(r.Ending, flow.Refused)
		is.True(r.Leaving)
		is.Equal(w.n["unwanted"]+w.n["leaving"], 0)
		leaving, err := p.Ask(t.Context(), h.e.Addr)
		is.NoErr(err)
		is.True(leaving)
		is.NoErr(h.l.Close())
		time.Sleep(idleFor)
		r = one(exchange("gone", time.Millisecond, nil))
		is.Equal(r.Ending, flow.Unsent)
		is.True(r.Err != nil && strings.Contains(r.Err.Error(), "connect"))
	})
}
