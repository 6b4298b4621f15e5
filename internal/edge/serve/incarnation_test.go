package serve

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
)

// messageRecorder records all messages to other VMs.
type messageRecorder struct {
	sendRecorder
	sent []frame.Msg
}

func (m *messageRecorder) Send(_ netip.AddrPort, msg frame.Msg) error {
	m.sent = append(m.sent, msg)
	return nil
}

// Guards against matching the answer to a VM's former incarnation with a call of the new one: if it is a refusal, the
// job would go to another owner while the first runs it.
func TestAnswerToFormerIncarnationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
		node := func(n byte, inc uint64) (*Node, *messageRecorder) {
			sent := &messageRecorder{}
			return NewNode(ctx, Config{VM: at(n), Domain: "a", Inc: inc, Limits: lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond, Resend: 1300 * time.Millisecond}}, Deps{
				Platform: Platform{Agent: illAgent{}}, Mesh: sent, Timers: timer.New(timer.Wall{}), Clock: timer.Wall{}, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			}), sent
		}
		now := time.Now()
		ownerNode, answers := node(2, 5)
		ownerNode.mu.Lock()
		ownerNode.scheduler.Own(lease.Info{ID: "e", Addr: at(9), Pool: "p", Size: job.Size{Cores: 64}}, 1)
		ownerNode.scheduler.Renewed(now, now, ownerNode.scheduler.Find("e"), lease.Report{Clock: 1})
		ownerNode.mu.Unlock()
		work := func(id string) batch.Job {
			return batch.Job{ID: id, Pool: "p", Attempts: 3, Slack: time.Second, TimeLeft: time.Minute, AskedAt: now, Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 64}, Run: 100 * time.Millisecond}}}
		}
		former, newer := frame.Hello{VM: at(1), Inc: 6, Domain: "a"}, frame.Hello{VM: at(1), Inc: 7, Domain: "a"}
		ownerNode.Receive(former, &frame.Heartbeat{At: now})
		for n, id := range []string{"runs", "waits"} {
			ownerNode.Receive(former, &frame.RunJob{To: 5, Call: uint64(n + 1), Job: work(id)})
		}
		ownerNode.Receive(newer, &frame.Heartbeat{At: now})

		entryNode, sent := node(1, 7)
		entryNode.mu.Lock()
		for n := byte(2); n < 4; n++ {
			entryNode.view.Hear(now, frame.Hello{VM: at(n), Inc: uint64(n) + 3, Domain: "a"}, &frame.Heartbeat{At: now})
		}
		entryNode.recordLoad(now, at(2), owner.Load{Free: 64, Total: 64}, true, loadRepeat)
		for n := uint64(1); n < 3; n++ {
			entryNode.calls[n] = &call{n: n, job: &batch.Job{ID: "new", Steps: []batch.Step{{Count: 1}}}, arrived: now, deadline: now.Add(time.Minute), done: make(chan struct{})}
			entryNode.assign(now, entryNode.calls[n])
		}
		entryNode.recordLoad(now, at(3), owner.Load{Free: 64, Total: 64}, true, loadRepeat)
		entryNode.mu.Unlock()
		is.Equal(len(sent.sent), 2)
		answered := 0
		for _, m := range answers.sent {
			if _, ok := m.(*frame.JobAnswer); ok {
				answered++
				entryNode.Receive(frame.Hello{VM: at(2), Inc: 5, Domain: "a"}, m)
			}
		}
		is.Equal(answered, 2)
		is.Equal(len(sent.sent), 2) // none was handed to another owner
		is.Equal(len(entryNode.calls), 2)
	})
}
