package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/matryer/is"

	"dahliawinch/internal/mesh/frame"
)

// hangingConn is a connection to a machine that has lost power: it reports no error until closed.
type hangingConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *hangingConn) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	if err != nil {
		<-l.closed
	}
	return n, err
}

func (l *hangingConn) Write(b []byte) (int, error) {
	_, _ = l.Conn.Write(b) // the other end may be closed
	return len(b), nil
}

func (l *hangingConn) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Conn.Close()
}

// Guards against messages that are accepted for a peer's new incarnation and then dropped with the
// connection to the former one.
func TestNewIncarnationGetsOrRefusesMessages(t *testing.T) {
	for name, m := range map[string]frame.Msg{"a job": &frame.RunJob{}, "an answer": &frame.TasksAccepted{}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := startPeer(t, 1, "127.0.0.1:0")
			dial := a.hub.dial
			a.hub.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
				c, err := dial(ctx, to)
				if err != nil {
					return nil, err
				}
				return &hangingConn{Conn: c, closed: make(chan struct{})}, nil
			}
			at := netip.AddrPort{}
			t.Run("former", func(t *testing.T) {
				b := startPeer(t, 1, "127.0.0.1:0")
				at = b.at
				sendHeartbeat(t, a, at)
				waitOnline(t, a, b)
			})
			b := startPeer(t, 2, at.String())
			arrived := make(chan struct{}, 1)
			b.watch(func(_ frame.Hello, got frame.Msg) {
				if frame.Reliable(got) {
					arrived <- struct{}{}
				}
			})
			heard := make(chan struct{})
			a.watch(func(frame.Hello, frame.Msg) {
				a.watch(nil)
				close(heard)
			})
			sendHeartbeat(t, b, a.at)
			<-heard
			err := a.hub.Send(at, m)
			if frame.Answering(m) {
				is.NoErr(err)
			}
			if err == nil {
				eventually(t, "the message", func() bool { return len(arrived) > 0 })
			}
		})
	}
}
