package link

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"dahliawinch/internal/mesh/frame"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// flakyConn is a connection that can be made silent: writes succeed but send nothing.
type flakyConn struct {
	net.Conn
	silent    *atomic.Bool
	bytesRead *atomic.Int64 // bytes read
}

func (f *flakyConn) Read(b []byte) (int, error) {
	n, err := f.Conn.Read(b)
	f.bytesRead.Add(int64(n))
	return n, err
}

func (f *flakyConn) Write(b []byte) (int, error) {
	if f.silent.Load() {
		return len(b), nil
	}
	n, err := f.Conn.Write(b)
	if err != nil {
		return n, err
	}
	return n, nil
}

type peer struct {
	hub     *Hub
	at      netip.AddrPort
	mu      sync.Mutex
	groups  []uint64
	conns   []*flakyConn
	observe func(frame.Hello, frame.Msg) // called for every message
}

// watch sets the function that is called for every message from now on.
func (s *peer) watch(fn func(frame.Hello, frame.Msg)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = fn
}

func (s *peer) handle(from frame.Hello, m frame.Msg) {
	s.mu.Lock()
	observe := s.observe
	s.mu.Unlock()
	if observe != nil {
		observe(from, m)
	}
	if t, ok := m.(*frame.TasksAccepted); ok {
		s.mu.Lock()
		s.groups = append(s.groups, t.Group)
		s.mu.Unlock()
	}
}

func (s *peer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.groups)
}

// eachConn calls fn for each connection dialed since the last call.
func (s *peer) eachConn(fn func(*flakyConn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		fn(c)
	}
	s.conns = nil
}

func startPeer(t *testing.T, inc uint64, at string) *peer {
	t.Helper()
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	s := &peer{at: l.Addr().(*net.TCPAddr).AddrPort()}
	dial := func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		c, err := DialTCP(ctx, to)
		if err != nil {
			return nil, err
		}
		f := &flakyConn{c, &atomic.Bool{}, &atomic.Int64{}}
		s.mu.Lock()
		s.conns = append(s.conns, f)
		s.mu.Unlock()
		return f, nil
	}
	s.hub = New(frame.Hello{VM: s.at, Inc: inc}, dial, s.handle, func(string, string, int) {}, discardLog)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.hub.Run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

func waitOnline(t *testing.T, a, b *peer) {
	t.Helper()
	eventually(t, "a link", func() bool {
		return a.hub.Send(b.at, &frame.Document{}) == nil
	})
}

func exactlyOnce(t *testing.T, s *peer, n int) {
	t.Helper()
	eventually(t, "all messages", func() bool { return s.count() >= n })
	time.Sleep(2 * ackInterval) // a second copy would come now
	s.mu.Lock()
	defer s.mu.Unlock()
	is := is.New(t)
	is.Equal(len(s.groups), n)
	for i, g := range s.groups {
		is.Equal(g, uint64(i))
	}
}

// Guards against jobs that end as unknown, or results that are counted twice, although
// both VMs are alive: the connection breaks repeatedly, and messages in transit are lost,
// or sent again and not recognized as duplicates.
func TestEachMessageOnceOverBrokenConnections(t *testing.T) {
	a, b := startPeer(t, 1, "127.0.0.1:0"), startPeer(t, 1, "127.0.0.1:0")
	_ = a.hub.Send(b.at, &frame.Heartbeat{})
	waitOnline(t, a, b)
	for i := range 2000 {
		if err := a.hub.Send(b.at, &frame.TasksAccepted{Group: uint64(i)}); err != nil {
			t.Fatal(err)
		}
		if i%400 == 200 {
			a.eachConn(func(f *flakyConn) { _ = f.Close() })
		}
	}
	exactlyOnce(t, b, 2000)
}

// Guards against two live VMs that receive nothing from each other for minutes: a device
// between them drops the connection's state, writes still succeed, and the silence of the
// peer does not lead to a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := startPeer(t, 1, "127.0.0.1:0"), startPeer(t, 1, "127.0.0.1:0")
	_ = a.hub.Send(b.at, &frame.Heartbeat{})
	waitOnline(t, a, b)
	for i := range 100 {
		if i == 50 {
			b.hub.mu.Lock()
			rec := b.hub.receivers[a.at]
			b.hub.mu.Unlock()
			rec.conns.Add(1) // the acknowledgements stop as well
			a.eachConn(func(f *flakyConn) { f.silent.Store(true) })
		}
		if err := a.hub.Send(b.at, &frame.TasksAccepted{Group: uint64(i)}); err != nil {
			t.Fatal(err)
		}
	}
	exactlyOnce(t, b, 100)
}

// Guards against a restarted VM that runs work meant for its former process: messages that
// were queued for the old incarnation are sent to the new one.
func TestNewIncarnationGetsNoOldMessages(t *testing.T) {
	is := is.New(t)
	a := startPeer(t, 1, "127.0.0.1:0")
	var at netip.AddrPort
	t.Run("first process", func(t *testing.T) {
		b := startPeer(t, 1, "127.0.0.1:0")
		at = b.at
		_ = a.hub.Send(b.at, &frame.Heartbeat{})
		waitOnline(t, a, b)
	})
	eventually(t, "the link to fail", func() bool { return a.hub.Send(at, &frame.Document{}) != nil })
	is.NoErr(a.hub.Send(at, &frame.TasksAccepted{Group: 99})) // an answer, queued for the old incarnation
	b := startPeer(t, 2, at.String())
	_ = a.hub.Send(at, &frame.Heartbeat{})
	waitOnline(t, a, b)
	is.NoErr(a.hub.Send(at, &frame.TasksAccepted{Group: 0}))
	exactlyOnce(t, b, 1)
}

// exchangeHeartbeats makes two VMs send each other heartbeats for a duration.
func exchangeHeartbeats(a, b *peer, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		_ = a.hub.Send(b.at, &frame.Heartbeat{})
		_ = b.hub.Send(a.at, &frame.Heartbeat{})
	}
}

// dialed returns how many connections a peer has opened, and the bytes read from the last.
func (s *peer) dialed() (n int, got int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), s.conns[len(s.conns)-1].bytesRead.Load()
}

// Guards against too many acknowledgements: with 300 VMs each spent a tenth of a core on control
// traffic. Every link was acknowledged five times a second in each direction without any reliable
// message, to show that the path works, which the heartbeats of the other direction show as well.
func TestIdleLinksAreSeldomAcknowledged(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, 1, "127.0.0.1:0"), startPeer(t, 1, "127.0.0.1:0")
	exchangeHeartbeats(a, b, 500*time.Millisecond)
	_, before := a.dialed()
	exchangeHeartbeats(a, b, 2*time.Second)
	n, after := a.dialed()
	is.Equal(n, 1)                 // the connection did not count as silent
	is.True((after-before)/8 <= 6) // 5 in 2 s, against 10 without the longer interval
}

// Guards against acknowledgements being two of five messages among 300 VMs: two VMs send only
// heartbeats, each on its own connection, and each connection is acknowledged separately although a
// heartbeat in the other direction could carry the acknowledgement.
func TestHeartbeatsCarryAcknowledgements(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, 1, "127.0.0.1:0"), startPeer(t, 1, "127.0.0.1:0")
	exchangeHeartbeats(a, b, 500*time.Millisecond)
	_, before := a.dialed()
	for range 10 { // as rarely as in large deployments
		exchangeHeartbeats(a, b, 50*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
	}
	n, after := a.dialed()
	is.Equal(n, 1)                 // the connection did not count as silent
	is.True((after-before)/8 <= 2) // one if a heartbeat is late; without Ack, one each 0.4 s
}

// Guards against a VM that stops the jobs of a live peer: a device between them drops the state
// of one of their two connections, and it is not replaced in time because the peer's heartbeats
// still arrive over the other.
func TestDeadConnectionIsReplacedInTime(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, 1, "127.0.0.1:0"), startPeer(t, 1, "127.0.0.1:0")
	exchangeHeartbeats(a, b, 500*time.Millisecond)
	dropTraffic(a, b)
	exchangeHeartbeats(a, b, 900*time.Millisecond)
	n, _ := a.dialed()
	is.Equal(n, 2)
}

// dropTraffic makes the connection from one VM to another lose what is sent, in both directions.
func dropTraffic(from, to *peer) {
	to.hub.mu.Lock()
	to.hub.receivers[from.at].conns.Add(1) // the acknowledgements stop as well
	to.hub.mu.Unlock()
	from.mu.Lock()
	from.conns[0].silent.Store(true)
	from.mu.Unlock()
}

// Guards against both links between two VMs going down when only one is dead, so that jobs
// sent over the other are refused. The peer believes that its heartbeats arrive, so it
// acknowledges rarely on the healthy link, which then counts as silent before an
// acknowledgement comes.
func TestDeadConnectionLeavesOtherUp(t *testing.T) {
	is := is.New(t)
	for range 3 {
		a, b := startPeer(t, 1, "127.0.0.1:0"), startPeer(t, 1, "127.0.0.1:0")
		exchangeHeartbeats(a, b, 500*time.Millisecond)
		dropTraffic(b, a)
		exchangeHeartbeats(a, b, 1500*time.Millisecond)
		n, _ := a.dialed()
		is.Equal(n, 1) // its own link stayed up
		n, _ = b.dialed()
		is.Equal(n, 2)
	}
}

// sendHeartbeat sends a heartbeat once the hub runs.
func sendHeartbeat(t *testing.T, from *peer, to netip.AddrPort) {
	t.Helper()
	eventually(t, "the hub to run", func() bool { return from.hub.Send(to, &frame.Heartbeat{}) == nil })
}

// Guards against slow discovery after a loss of all VMs: the first VM to start received messages
// from the others only 0.4 s after their start. It had dialed a machine without power, and waited
// for the timeout of that dial although the machine had power by then and would answer a new dial.
func TestHungDialIsRetriedSoon(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, 1, "127.0.0.1:0"), startPeer(t, 1, "127.0.0.1:0")
	dial, hung, freed := a.hub.dial, make(chan time.Time, 1), make(chan time.Time, 1)
	first := true
	a.hub.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if !first {
			return dial(ctx, to)
		}
		first = false
		hung <- time.Now()
		<-ctx.Done()
		freed <- time.Now()
		return nil, ctx.Err()
	}
	sendHeartbeat(t, a, b.at)
	is.True((<-freed).Sub(<-hung) < maxDialTimeout/2)
	waitOnline(t, a, b)
}

// Guards against a needless wait after a loss of all VMs: the first VM to start waits a second for
// a neighbour without power, because it can't tell an absent machine from a slow one when its
// dials are unanswered or refused. A single lost packet must not make a machine absent.
func TestUnansweringMachineIsAbsent(t *testing.T) {
	is := is.New(t)
	a := startPeer(t, 1, "127.0.0.1:0")
	var dials atomic.Int64
	a.hub.dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		dials.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	to := netip.MustParseAddrPort("127.0.0.1:9")
	is.True(!a.hub.Absent(to))
	sendHeartbeat(t, a, to)
	eventually(t, "the peer to be absent", func() bool { return a.hub.Absent(to) })
	is.True(dials.Load() >= absentDials)
	is.True(!a.hub.Refused(to)) // nothing has answered
	b, dead := startPeer(t, 1, "127.0.0.1:0"), netip.AddrPort{}
	t.Run("a process that ends", func(t *testing.T) { dead = startPeer(t, 1, "127.0.0.1:0").at })
	sendHeartbeat(t, b, dead)
	eventually(t, "the ended process to be absent", func() bool { return b.hub.Absent(dead) })
	is.True(b.hub.Refused(dead))
}
