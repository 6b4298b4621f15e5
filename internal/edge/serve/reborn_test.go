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

// mail notes all that goes to other VMs.
type mail struct {
	casts
	all []frame.Msg
}

func (m *mail) Cast(_ netip.AddrPort, msg frame.Msg) error {
	m.all = append(m.all, msg)
	return nil
}

// Guards against a call that gets the answer to one of its VM's former incarnation: refused, it would go to another
// owner while the first runs it.
func TestAnswerToAFormerIncarnationIsNoneToThisOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
		node := func(n byte, inc uint64) (*Node, *mail) {
			sent := &mail{}
			return NewNode(ctx, Config{VM: at(n), Domain: "a", Inc: inc, Limits: lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond, Resend: 1300 * time.Millisecond}}, Parts{
				Platform: Platform{Agent: ill{}}, Mesh: sent, Timers: timer.New(timer.Wall{}), Clock: timer.Wall{}, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			}), sent
		}
		now := time.Now()
		own, answers := node(2, 5)
		own.mu.Lock()
		own.book.Own(lease.Info{ID: "e", Addr: at(9), Pool: "p", Size: job.Size{Cores: 64}}, 1)
		own.book.Renewed(now, now, own.book.Find("e"), lease.Report{Clock: 1})
		own.mu.Unlock()
		work := func(id string) batch.Job {
			return batch.Job{ID: id, Pool: "p", Attempts: 3, Slack: time.Second, Left: time.Minute, Asked: now, Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 64}, Run: 100 * time.Millisecond}}}
		}
		former, newer := frame.Hello{VM: at(1), Inc: 6, Domain: "a"}, frame.Hello{VM: at(1), Inc: 7, Domain: "a"}
		own.Receive(former, &frame.Beat{At: now})
		for n, id := range []string{"runs", "waits"} {
			own.Receive(former, &frame.Hand{To: 5, Call: uint64(n + 1), Job: work(id)})
		}
		own.Receive(newer, &frame.Beat{At: now})

		asks, sent := node(1, 7)
		asks.mu.Lock()
		for n := byte(2); n < 4; n++ {
			asks.view.Hear(now, frame.Hello{VM: at(n), Inc: uint64(n) + 3, Domain: "a"}, &frame.Beat{At: now})
		}
		asks.hear(now, at(2), owner.Load{Free: 64, Total: 64}, true, repeatEvery)
		for n := uint64(1); n < 3; n++ {
			asks.calls[n] = &call{n: n, job: &batch.Job{ID: "new", Steps: []batch.Step{{Count: 1}}}, came: now, due: now.Add(time.Minute), done: make(chan struct{})}
			asks.send(now, asks.calls[n])
		}
		asks.hear(now, at(3), owner.Load{Free: 64, Total: 64}, true, repeatEvery)
		asks.mu.Unlock()
		is.Equal(len(sent.all), 2)
		told := 0
		for _, m := range answers.all {
			if _, ok := m.(*frame.Told); ok {
				told++
				asks.Receive(frame.Hello{VM: at(2), Inc: 5, Domain: "a"}, m)
			}
		}
		is.Equal(told, 2)
		is.Equal(len(sent.all), 2) // none went on to another owner
		is.Equal(len(asks.calls), 2)
	})
}
