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

// Control is what one daemon spends on control at a size of the deployment.
type Control struct {
	VMs       int     `json:"vms"`
	Domains   int     `json:"domains"`
	Endpoints int     `json:"endpoints"` // of the own failure domain
	Near      int     `json:"near"`      // peers of the own failure domain
	Far       int     `json:"far"`       // links to other domains, both ways of choosing
	Out       float64 `json:"out"`       // bytes a second sent
	In        float64 `json:"in"`        // bytes a second received
	CPU       float64 `json:"cpu"`       // percent of a core, coding and TCP of both ways reckoned by message
	Memory    float64 `json:"memory"`    // bytes of heap that the view, table and book of the size take
}

// sink counts what a node sends and drops it.
type sink struct {
	mu    sync.Mutex
	bytes int
	msgs  int
}

// Cast implements flow.Mesh.
func (s *sink) Cast(_ netip.AddrPort, m frame.Msg) error {
	data, err := frame.Append(nil, m)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes += len(data)
	s.msgs++
	return err
}

// Reach implements flow.Mesh.
func (*sink) Reach(context.Context, netip.AddrPort) (uint64, error) { return 0, flow.ErrNoLink }

// idleRunner has endpoints that always answer a probe.
type idleRunner struct{}

// Run implements flow.Runner.
func (idleRunner) Run(context.Context, netip.AddrPort, flow.Exchange) flow.Result {
	return flow.Result{Ending: flow.Unsent}
}

// Ask implements flow.Runner.
func (idleRunner) Ask(context.Context, netip.AddrPort) (bool, error) { return false, nil }

// controlSpan is how long each size is measured.
const controlSpan = 4 * time.Second

// tcpHead is what IP and TCP with timestamps add to a message.
const tcpHead = 52

// MeasureControl runs one node among stand-in peers that send it heartbeats as real
// ones do, and counts bytes and processor time.
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
		Term: flow.DefaultTerm, Tickets: flow.DefaultTickets, Retries: flow.DefaultRetries, Spill: true, Foresight: true,
	}, flow.Parts{Timers: timers, Runner: idleRunner{}, Mesh: out, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
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
	n.Learn(list)
	text, err := mix.Document().Encode()
	if err != nil {
		return c, fmt.Errorf("measure control: %w", err)
	}
	if err := n.Apply(fold.Revision{Rev: 7, Asof: 99, Doc: text}); err != nil {
		return c, fmt.Errorf("measure control: %w", err)
	}
	go timers.Run(ctx)
	n.Start()
	in := speak(ctx, n, list.VMs, &c)
	time.Sleep(time.Second)
	out.mu.Lock()
	bytes0, msgs0 := out.bytes, out.msgs
	out.mu.Unlock()
	in.mu.Lock()
	inBytes0, inMsgs0 := in.bytes, in.msgs
	in.mu.Unlock()
	cpu0 := spent()
	time.Sleep(controlSpan)
	cpu := spent() - cpu0
	out.mu.Lock()
	sent, sentMsgs := out.bytes-bytes0, out.msgs-msgs0
	out.mu.Unlock()
	in.mu.Lock()
	got, gotMsgs := in.bytes-inBytes0, in.msgs-inMsgs0
	in.mu.Unlock()
	c.Out = float64(sent+sentMsgs*tcpHead) / controlSpan.Seconds()
	c.In = float64(got+gotMsgs*tcpHead) / controlSpan.Seconds()
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

// speak sends the node heartbeats of the peers that keep links to it. Decoding is
// done here as a daemon does it, so that its processor time counts.
func speak(ctx context.Context, n *flow.Node, vms []roster.VM, c *Control) *sink {
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
		case picked[v.Mesh] || len(far) < 2*view.FarLinks:
			far = append(far, h) // about as many choose this VM as it chooses
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
				data, err := frame.Append(nil, &frame.Beat{At: time.Now(), Room: frame.Room{Free: 9, Urgent: 12}, Rev: 7, Asof: 99})
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
	go send(far, view.Far*view.Period)
	return in
}

// messageCost is the processor time of writing one heartbeat to a loopback connection
// and reading it at the other end; a daemon pays one of the two ends.
func messageCost() (time.Duration, error) {
	const messages = 20_000
	data, err := frame.Append(nil, &frame.Beat{At: time.Now()})
	if err != nil {
		return 0, fmt.Errorf("measure message: %w", err)
	}
	a, b, err := pair()
	if err != nil {
		return 0, err
	}
	defer func() { _, _ = a.Close(), b.Close() }()
	cpu0 := spent()
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
	return (spent() - cpu0) / messages, nil
}

// liveHeap is what is reachable now.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Size of a deployment.
type Size struct{ VMs, Domains, Endpoints int }

// Sizes that bench control measures: today's, and steps to the target.
var Sizes = []Size{{8, 4, 50}, {24, 4, 200}, {45, 15, 2_000}, {135, 45, 23_000}, {225, 45, 23_000}, {400, 45, 23_000}}
