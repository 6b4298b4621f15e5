package serve

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
)

// Guards against a job that runs twice, or is refused although it began: the refusal of a call of the VM's former
// incarnation is matched with the new incarnation's call of the same number.
func TestLateRefusalToFormerIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
	node := func(vm netip.AddrPort, inc uint64) (*Node, *messageRecorder) {
		mesh := &messageRecorder{}
		return NewNode(t.Context(), Config{VM: vm, Domain: "a", Inc: inc, Limits: lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond, Resend: 1300 * time.Millisecond}}, Deps{
			Mesh: mesh, Timers: timer.New(timer.Wall{}), Clock: timer.Wall{}, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}), mesh
	}
	entry, sent := node(at(1), 2)
	now := time.Now()
	entry.mu.Lock()
	for i := byte(2); i < 4; i++ {
		entry.view.Hear(now, frame.Hello{VM: at(i), Inc: 1, Domain: "a"}, &frame.Heartbeat{At: now})
		entry.recordLoad(now, at(i), owner.Load{Free: 64, Total: 64}, true, loadRepeat)
	}
	c := &call{n: 7, job: &batch.Job{ID: "j", Steps: []batch.Step{{Count: 1}}}, arrived: now, deadline: now.Add(time.Minute), done: make(chan struct{})}
	entry.calls[7] = c
	entry.assign(now, c)
	entry.mu.Unlock()
	is.Equal(len(sent.sent), 1)
	other, answers := node(c.owner, 1)
	// A job handed over by the former incarnation arrives only now.
	other.Receive(frame.Hello{VM: at(1), Inc: 1, Domain: "a"}, &frame.RunJob{To: 1, Call: 7, Job: batch.Job{ID: "i", AskedAt: now.Add(-5 * time.Second)}})
	is.Equal(len(answers.sent), 1)
	entry.Receive(frame.Hello{VM: c.owner, Inc: 1, Domain: "a"}, answers.sent[0])
	is.True(!c.ended)
	is.Equal(len(sent.sent), 1)
}
