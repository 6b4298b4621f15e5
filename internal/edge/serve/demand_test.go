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
	"dahliawinch/internal/task/demand"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
)

func demandNode(t *testing.T, on bool) (*Node, *messageRecorder) {
	mesh := &messageRecorder{}
	n := NewNode(t.Context(), Config{VM: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "a", Inc: 1, Options: Options{Demand: on}, Limits: lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond, Resend: 1300 * time.Millisecond}}, Deps{
		Mesh: mesh, Timers: timer.New(timer.Wall{}), Clock: timer.Wall{}, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	n.began = n.began.Add(-time.Minute) // so that no more owners are waited for
	return n, mesh
}

// Guards against heartbeats that grow by more than 40 bytes: at the target size each VM hears 60 others.
func TestDemandIsSmall(t *testing.T) {
	is := is.New(t)
	size := func(b *frame.Heartbeat) int {
		bytes, err := frame.Append(nil, b)
		is.NoErr(err)
		return len(bytes)
	}
	d, _ := demandNode(t, true)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for rank := range demand.Ranks {
		d.demand.Arrive(now, rank, 520, 8, 30_000)
	}
	d.roomAt, d.room = now, demand.Room{Cores: 60_000, Places: [demand.Ranks]int{5000, 5000, 5000}, Wait: [demand.Ranks]time.Duration{time.Minute, time.Minute, time.Hour}}
	b := &frame.Heartbeat{At: now}
	before := size(b)
	b.Demand = d.demandFrame(now, true)
	t.Logf("%d bytes", size(b)-before)
	is.True(size(b)-before <= 40)
	off, _ := demandNode(t, false)
	is.True(off.newBeat(now).Demand == nil) // with the option off no byte changes
}

// Guards against four handoffs for a job that no owner can serve, and against refusals by owners that tell nothing: two
// full owners are not asked, but one of the previous build beside them is.
func TestFirstVMRefusesWhatNoOwnerTakes(t *testing.T) {
	is := is.New(t)
	at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
	d, mesh := demandNode(t, true)
	submit := func(n uint64) *call {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := d.now()
		c := &call{n: n, job: &batch.Job{ID: "j", Rank: 1, Stretch: 1.6, Slack: 60 * time.Millisecond, Steps: []batch.Step{{Count: 2, Need: job.Size{Cores: 8}, Run: 200 * time.Millisecond}}}, arrived: now, deadline: now.Add(time.Second), done: make(chan struct{})}
		d.calls[n] = c
		d.assign(now, c)
		return c
	}
	full := &frame.Demand{Rates: []uint32{0, 300, 0}, Cores: 100, Places: []uint32{0, 0, 0}, Waits: []uint32{100, 900, 5000}}
	hear := func(vm netip.AddrPort, m *frame.Demand) {
		now := d.now()
		d.Receive(frame.Hello{VM: vm, Inc: 1, Domain: "a"}, &frame.Heartbeat{At: now, Demand: m})
		d.mu.Lock()
		defer d.mu.Unlock()
		d.recordLoad(now, vm, owner.Load{Free: 7, Total: 100, Ahead: [3]float64{10, 90, 500}}, true, loadRepeat)
	}
	hear(at(2), full)
	hear(at(3), full)
	mesh.sent = nil
	c := submit(1)
	is.True(c.ended)
	is.Equal(c.answer.Outcome, job.Refused)
	is.Equal(c.answer.Reason, job.Overload)
	is.True(c.answer.Retry >= minRetry && c.answer.Retry <= 2*maxRetry)
	is.Equal(len(mesh.sent), 0)
	// A job that needs a label may have room where usual jobs wait.
	is.Equal(len(d.skipped(d.now(), &call{job: &batch.Job{Steps: []batch.Step{{Count: 1, Label: "gpu"}}}})), 0)
	hear(at(4), nil)
	mesh.sent = nil
	c = submit(2)
	is.True(!c.ended)
	is.Equal(c.owner, at(4))
	is.Equal(len(mesh.sent), 1)
}
