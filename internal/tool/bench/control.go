package bench

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"time"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/conf/fold"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/plat/roster"
	"dahliawinch/internal/task/flow"
	"dahliawinch/internal/task/place"
	"dahliawinch/internal/tool/mix"
)

// Control is the control traffic, CPU and memory of one daemon at a deployment size.
type Control struct {
	VMs       int     `json:"vms"`
	Domains   int     `json:"domains"`
	Endpoints int     `json:"endpoints"` // in the daemon's failure domain
	Near      int     `json:"near"`      // peers in the daemon's failure domain
	Far       int     `json:"far"`       // links to other domains, chosen by either end
	Out       float64 `json:"out"`       // bytes sent per second
	In        float64 `json:"in"`        // bytes received per second
	CPU       float64 `json:"cpu"`       // percent of a core; TCP cost is estimated per message, sent or received
	Memory    float64 `json:"memory"`    // heap bytes of the member view, endpoint table and endpoint records
}

// sink counts messages: as flow.Mesh those that a node sends, which it drops, and for
// sendBeats those that the node receives.
type sink struct {
	mu    sync.Mutex
	bytes int
	msgs  int
}

// Send implements flow.Mesh.
func (s *sink) Send(_ netip.AddrPort, m frame.Msg) error {
	data, err := frame.Append(nil, m)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes += len(data)
	s.msgs++
	return err
}

// Connect implements flow.Mesh.
func (*sink) Connect(context.Context, netip.AddrPort) (uint64, error) { return 0, flow.ErrNoLink }

// idleRunner runs no tasks; its endpoints answer every probe.
type idleRunner struct{}

// Run implements flow.Runner.
func (idleRunner) Run(context.Context, netip.AddrPort, flow.Exchange) flow.Result {
	return flow.Result{Status: flow.Unsent}
}

// Probe implements flow.Runner.
func (idleRunner) Probe(context.Context, netip.AddrPort) (bool, error) { return false, nil }

// controlSpan is the length of the measurement of each size.
const controlSpan = 4 * time.Second

// tcpHeader is the bytes that IP and TCP with timestamps add to a message.
const tcpHeader = 52

// MeasureControl runs one node with simulated peers that send heartbeats as real ones
// do, and measures its traffic, CPU time and memory.
func MeasureControl(ctx context.Context, vms, domains, endpoints int) (Control, error) {
	before := liveHeap()
	c := Control{VMs: vms, Domains: domains}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addrs := fakes.Addrs(30, vms)
	out := &sink{}
	timers := timer.New(timer.Wall{})
	n, err := flow.New(ctx, flow.Config{
		Self: addrs[0], Domain: "fd-0", Inc: 1, Secret: []byte("s"), Policy: place.Homes, Memory: flow.DefaultMemory,
		TicketTerm: flow.DefaultTicketTerm, MaxTickets: flow.DefaultMaxTickets, RetryRatio: flow.DefaultRetryRatio, Spill: true, EarlyReject: true,
	}, flow.Deps{Timers: timers, Runner: idleRunner{}, Mesh: out, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		return c, fmt.Errorf("measure control: %w", err)
	}
	list := roster.List{}
	for i, a := range addrs {
		list.VMs = append(list.VMs, roster.VM{Mesh: a, Domain: fmt.Sprint("fd-", i%domains)})
	}
	for i, a := range fakes.Addrs(40, endpoints) {
		d := fmt.Sprint("fd-", i%domains)
		if d == "fd-0" {
			c.Endpoints++
		}
		list.Endpoints = append(list.Endpoints, roster.Endpoint{Info: place.Info{Addr: a, Domain: d, Slots: 8}})
	}
	n.UpdateRoster(list)
	text, err := mix.Document().Encode()
	if err != nil {
		return c, fmt.Errorf("measure control: %w", err)
	}
	if err := n.Apply(fold.Revision{Rev: 7, Asof: 99, Doc: text}); err != nil {
		return c, fmt.Errorf("measure control: %w", err)
	}
	go timers.Run(ctx)
	n.Start()
	in := sendBeats(ctx, n, list.VMs, &c)
	time.Sleep(time.Second)
	out.mu.Lock()
	bytes0, msgs0 := out.bytes, out.msgs
	out.mu.Unlock()
	in.mu.Lock()
	inBytes0, inMsgs0 := in.bytes, in.msgs
	in.mu.Unlock()
	cpu0 := cpuTime()
	time.Sleep(controlSpan)
	cpu := cpuTime() - cpu0
	out.mu.Lock()
	sent, sentMsgs := out.bytes-bytes0, out.msgs-msgs0
	out.mu.Unlock()
	in.mu.Lock()
	got, gotMsgs := in.bytes-inBytes0, in.msgs-inMsgs0
	in.mu.Unlock()
	c.Out = float64(sent+sentMsgs*tcpHeader) / controlSpan.Seconds()
	c.In = float64(got+gotMsgs*tcpHeader) / controlSpan.Seconds()
	perMessage, err := messageCost()
	if err != nil {
		return c, err
	}
	c.CPU = 100 * (cpu.Seconds() + float64(sentMsgs+gotMsgs)*perMessage.Seconds()) / controlSpan.Seconds()
	c.Memory = liveHeap() - before
	cancel()
	n.Close()
	n.Wait()
	return c, nil
}

// sendBeats sends the node heartbeats of the peers that keep links to it. It decodes them
// as a daemon does, so that the CPU time of decoding counts.
func sendBeats(ctx context.Context, n *flow.Node, vms []roster.VM, c *Control) *sink {
	in := &sink{}
	var near, far []frame.Hello
	picked := map[netip.AddrPort]bool{}
	for _, m := range n.View().Members() {
		if m.Picked {
			picked[m.VM] = true
		}
	}
	for _, v := range vms[1:] {
		h := frame.Hello{VM: v.Mesh, Inc: 1, Domain: v.Domain}
		switch {
		case v.Domain == "fd-0":
			near = append(near, h)
		case picked[v.Mesh] || len(far) < 2*view.RemoteLinks:
			far = append(far, h) // about as many peers choose this VM as it chooses
		}
	}
	c.Near, c.Far = len(near), len(far)
	send := func(list []frame.Hello, period time.Duration) {
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			for _, h := range list {
				data, err := frame.Append(nil, &frame.Heartbeat{At: time.Now(), Room: frame.Room{Free: 9, Urgent: 12}, Rev: 7, Asof: 99})
				if err != nil {
					return
				}
				m, _, err := frame.Read(strings.NewReader(string(data)))
				if err != nil {
					return
				}
				in.mu.Lock()
				in.bytes += len(data)
				in.msgs++
				in.mu.Unlock()
				n.Receive(h, m)
			}
		}
	}
	go send(near, view.Period)
	go send(far, view.RemoteFactor*view.Period)
	return in
}

// messageCost returns the CPU time to write one heartbeat to a loopback connection and
// read it at the other end. A daemon does only one of the two for each message, so
// the cost is an upper estimate.
func messageCost() (time.Duration, error) {
	const messages = 20_000
	data, err := frame.Append(nil, &frame.Heartbeat{At: time.Now()})
	if err != nil {
		return 0, fmt.Errorf("measure message: %w", err)
	}
	a, b, err := connPair()
	if err != nil {
		return 0, err
	}
	defer func() { _, _ = a.Close(), b.Close() }()
	cpu0 := cpuTime()
	done := make(chan error, 1)
	go func() {
		buf := make([]byte, len(data))
		for range messages {
			if _, err := io.ReadFull(b, buf); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	for range messages {
		if _, err := a.Write(data); err != nil {
			return 0, fmt.Errorf("measure message: %w", err)
		}
	}
	if err := <-done; err != nil {
		return 0, fmt.Errorf("measure message: %w", err)
	}
	return (cpuTime() - cpu0) / messages, nil
}

// liveHeap returns the bytes of reachable heap objects.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Size is the size of a deployment.
type Size struct{ VMs, Domains, Endpoints int }

// Sizes are those that bench control measures: today's, then steps to the target.
var Sizes = []Size{{8, 4, 50}, {24, 4, 200}, {45, 15, 2_000}, {135, 45, 23_000}, {225, 45, 23_000}, {400, 45, 23_000}}
