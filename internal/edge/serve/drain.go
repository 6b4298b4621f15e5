package serve

import (
	"context"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"dahliawinch/internal/base/meter"
)

const (
	// linger is how long a leaving VM still accepts new connections: the load balancer probes each second and removes
	// a VM after two misses.
	linger = 2500 * time.Millisecond
	// closeReserve is the part of the grace period kept for closing listeners and links.
	closeReserve = 800 * time.Millisecond
	// drainPoll is how often a leaving VM checks whether it is drained.
	drainPoll = 25 * time.Millisecond
)

// Drain hands over the endpoints and waits until every caller has its answer and the load balancer has noticed.
func (d *Node) Drain(ctx context.Context) {
	began := d.now()
	d.log.Info("leaving")
	d.leaving.Store(true)
	if err := d.deps.VMs.Leave(ctx, VM{Mesh: d.cfg.VM, Domain: d.cfg.Domain}); err != nil {
		d.log.Warn("deregistration failed", "err", err)
	}
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for !d.drained() || d.now().Sub(began) < linger {
		select {
		case <-t.C:
		case <-ctx.Done():
			d.log.Warn("drain timed out", "jobs", d.jobs())
			return
		}
	}
}

func (d *Node) jobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Jobs() + len(d.calls)
}

func (d *Node) drained() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Jobs() == 0 && len(d.calls) == 0 && len(d.claims.Groups()) == 0
}

// metrics serves counters and histograms in the Prometheus text format.
type metrics struct{ http *fasthttp.Server }

func newMetrics(m *meter.Meter) *metrics {
	h := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	return &metrics{&fasthttp.Server{Handler: h, Name: "dahliawinch", NoDefaultDate: true, CloseOnShutdown: true}}
}

// Serve implements Server.
func (m *metrics) Serve(l net.Listener) error { return m.http.Serve(l) } //nolint:wrapcheck // wrapped by Run

// Shutdown implements Server.
func (m *metrics) Shutdown(ctx context.Context) error { return m.http.ShutdownWithContext(ctx) } //nolint:wrapcheck // logged by close
