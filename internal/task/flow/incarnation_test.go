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

// sentMessages is a Mesh that records all messages to other VMs.
type sentMessages struct {
	mu   sync.Mutex
	msgs []frame.Msg
}

func (m *sentMessages) Send(_ netip.AddrPort, msg frame.Msg) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.msgs = append(m.msgs, msg)
	return nil
}

// Connect implements Mesh.
func (m *sentMessages) Connect(context.Context, netip.AddrPort) (uint64, error) { return 0, ErrNoLink }

// takeSent returns the messages of type M that were sent since the last call.
func takeSent[M frame.Msg](m *sentMessages) (sent []M) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, msg := range m.msgs {
		if msg, ok := msg.(M); ok {
			sent = append(sent, msg)
		}
	}
	m.msgs = nil
	return sent
}

// withIncarnations runs a test with two incarnations of one VM and a peer known to both.
func withIncarnations(t *testing.T, test func(is *is.I, former, newer, peer *Node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		node := func(n byte, inc uint64) *Node {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1)
			v, err := New(ctx, Config{Self: at, Domain: "a", Inc: inc, Secret: []byte{n}, Policy: place.Homes, TicketTerm: time.Minute, MaxTickets: 9}, Deps{
				Timers: timer.New(timer.Wall{}), Mesh: &sentMessages{}, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			if err != nil {
				t.Fatal(err)
			}
			return v
		}
		former, newer, peer := node(1, 6), node(1, 7), node(2, 5)
		for _, v := range []*Node{former, newer} {
			v.Receive(helloOf(peer), &frame.Heartbeat{At: time.Now()})
			takeSent[frame.Msg](v.deps.Mesh.(*sentMessages))
		}
		test(is.New(t), former, newer, peer)
	})
}

func helloOf(n *Node) frame.Hello {
	return frame.Hello{VM: n.cfg.Self, Inc: n.cfg.Inc, Domain: n.cfg.Domain}
}

// Guards against a caller that receives the answer to another caller's request to a former incarnation of its VM.
func TestReplyToFormerIncarnationIsIgnored(t *testing.T) {
	withIncarnations(t, func(is *is.I, former, newer, peer *Node) {
		text, err := peer.Grant("crew", 1)
		is.NoErr(err)
		ask := func(n *Node, tenant string) (out chan *job.Answer, s *frame.Submit) {
			out = make(chan *job.Answer, 1)
			go func() { out <- n.LookupTicket(n.ctx, tenant, ticket.Pick(text, 0)) }()
			synctest.Wait()
			return out, takeSent[*frame.Submit](n.deps.Mesh.(*sentMessages))[0]
		}
		reply := func(by *Node, s *frame.Submit) *frame.SubmitReply {
			peer.Receive(helloOf(by), s)
			synctest.Wait()
			return takeSent[*frame.SubmitReply](peer.deps.Mesh.(*sentMessages))[0]
		}
		_, s := ask(former, "other")
		stale := reply(former, s)
		out, s := ask(newer, "crew")
		newer.Receive(helloOf(peer), stale)
		newer.Receive(helloOf(peer), reply(newer, s))
		is.Equal((<-out).Reason, job.Withdrawn) // not "another tenant's", the answer to the former incarnation
	})
}

// Guards against a task that is requeued here while a peer runs it, because the peer returned a former
// incarnation's group with the same number.
func TestTookForFormerIncarnationIsIgnored(t *testing.T) {
	withIncarnations(t, func(is *is.I, former, newer, peer *Node) {
		peer.Receive(helloOf(former), &frame.StartTasks{At: time.Now(), Group: 1, Tasks: []frame.Task{{Job: 2, Left: time.Second}}})
		w := newWork(2, &job.Request{TimeLeft: time.Second, Tasks: []job.Task{{}}}, doc.Class{}, time.Now())
		i, _ := w.pop()
		w.markSent()
		newer.groups[1] = &group{id: 1, peer: peer.cfg.Self, inc: peer.cfg.Inc, tasks: []givenTask{{w: w, i: i}}, pending: 1}
		for _, m := range takeSent[*frame.TasksAccepted](peer.deps.Mesh.(*sentMessages)) {
			newer.Receive(helloOf(peer), m)
		}
		is.Equal(w.evidence.Sent, 1)
		is.Equal(len(newer.groups), 1)
	})
}
