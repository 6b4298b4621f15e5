package flow

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/place"
	"dahliawinch/internal/task/ticket"
)

// mail notes all that goes to other VMs.
type mail struct {
	mu  sync.Mutex
	all []frame.Msg
}

func (m *mail) Cast(_ netip.AddrPort, msg frame.Msg) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = append(m.all, msg)
	return nil
}

// Reach implements Mesh.
func (m *mail) Reach(context.Context, netip.AddrPort) (uint64, error) { return 0, ErrNoLink }

// take returns the messages of a kind that were sent since the last call.
func take[M frame.Msg](m *mail) (of []M) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, msg := range m.all {
		if msg, ok := msg.(M); ok {
			of = append(of, msg)
		}
	}
	m.all = nil
	return of
}

// lives plays two incarnations of one VM beside a peer that they know.
func lives(t *testing.T, do func(is *is.I, former, newer, peer *Node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		node := func(n byte, inc uint64) *Node {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1)
			v, err := New(ctx, Config{Self: at, Domain: "a", Inc: inc, Secret: []byte{n}, Policy: place.Homes, Term: time.Minute, Tickets: 9}, Parts{
				Timers: timer.New(timer.Wall{}), Mesh: &mail{}, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			if err != nil {
				t.Fatal(err)
			}
			return v
		}
		former, newer, peer := node(1, 6), node(1, 7), node(2, 5)
		for _, v := range []*Node{former, newer} {
			v.Receive(helloOf(peer), &frame.Beat{At: time.Now()})
			take[frame.Msg](v.parts.Mesh.(*mail))
		}
		do(is.New(t), former, newer, peer)
	})
}

func helloOf(n *Node) frame.Hello {
	return frame.Hello{VM: n.cfg.Self, Inc: n.cfg.Inc, Domain: n.cfg.Domain}
}

// Guards against a caller that gets the answer to another one's question, asked by a former incarnation of its VM.
func TestReplyToAFormerIncarnationIsNoneToThisOne(t *testing.T) {
	lives(t, func(is *is.I, former, newer, peer *Node) {
		text, err := peer.Grant("crew", 1)
		is.NoErr(err)
		ask := func(n *Node, tenant string) (out chan *job.Answer, s *frame.Submit) {
			out = make(chan *job.Answer, 1)
			go func() { out <- n.Ask(n.ctx, tenant, ticket.Pick(text, 0)) }()
			synctest.Wait()
			return out, take[*frame.Submit](n.parts.Mesh.(*mail))[0]
		}
		reply := func(by *Node, s *frame.Submit) *frame.Reply {
			peer.Receive(helloOf(by), s)
			synctest.Wait()
			return take[*frame.Reply](peer.parts.Mesh.(*mail))[0]
		}
		_, s := ask(former, "other")
		stray := reply(former, s)
		out, s := ask(newer, "crew")
		newer.Receive(helloOf(peer), stray)
		newer.Receive(helloOf(peer), reply(newer, s))
		is.Equal((<-out).Reason, job.Withdrawn) // not that it is another tenant's
	})
}

// Guards against a task that starts here as well while a peer runs it, since the peer gave back one of a former incarnation.
func TestTasksThatAFormerIncarnationGaveAreNotTakenBack(t *testing.T) {
	lives(t, func(is *is.I, former, newer, peer *Node) {
		peer.Receive(helloOf(former), &frame.Give{At: time.Now(), Group: 1, Tasks: []frame.Task{{Job: 2, Left: time.Second}}})
		w := newWork(2, &job.Request{Left: time.Second, Tasks: []job.Task{{}}}, doc.Class{}, time.Now())
		i, _ := w.pop()
		w.send()
		newer.groups[1] = &group{id: 1, peer: peer.cfg.Self, inc: peer.cfg.Inc, tasks: []given{{w: w, i: i}}, open: 1}
		for _, m := range take[*frame.Took](peer.parts.Mesh.(*mail)) {
			newer.Receive(helloOf(peer), m)
		}
		is.Equal(w.ev.Sent, 1)
		is.Equal(len(newer.groups), 1)
	})
}
