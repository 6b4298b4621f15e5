package serve

import (
	"context"
	"time"

	"dahliawinch/internal/base/meter"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"net"
)

const (
	// linger is how long a leaving VM still takes new connections: the balancer looks
	// each second and goes by two misses.
	linger = 2500 * time.Millisecond
	// lastly is kept of the grace for the end of listeners and links.
	lastly = 800 * time.Millisecond
	// drainLook is how often a leaving VM looks whether it is done.
	drainLook = 25 * time.Millisecond
)

// drain hands the endpoints over and waits until every caller has its answer.
func (d *Daemon) drain(ctx context.Context, callers Server) {
	began := d.now()
	d.log.Info("leaving", "grace", d.set.Grace.Std())
	d.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, d.set.Grace.Std()-lastly)
	defer cancel()
	if err := d.plat.VMs.Leave(ctx, VM{Mesh: d.set.Mesh, Domain: d.set.Domain}); err != nil {
		d.log.Warn("not deregistered", "err", err)
	}
	t := time.NewTicker(drainLook)
	defer t.Stop()
	for !d.drained() || d.now().Sub(began) < linger {
		select {
		case <-t.C:
		case <-ctx.Done():
			d.log.Warn("left with work", "jobs", d.jobs())
			return
		}
	}
	if err := callers.Shutdown(ctx); err != nil {
		d.log.Warn("drain", "err", err)
	}
	if err := d.hub.Flush(ctx); err != nil {
		d.log.Warn("drain", "err", err)
	}
}

func (d *Daemon) jobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Jobs() + len(d.calls)
}

func (d *Daemon) drained() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Jobs() == 0 && len(d.calls) == 0 && len(d.claims.Groups()) == 0
}

// metrics serves the counters and histograms as text.
type metrics struct{ http *fasthttp.Server }

func newMetrics(m *meter.Meter) *metrics {
	h := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	return &metrics{&fasthttp.Server{Handler: h, Name: "dahliawinch", NoDefaultDate: true, CloseOnShutdown: true}}
}

// Serve implements Server.
func (m *metrics) Serve(l net.Listener) error { return m.http.Serve(l) } //nolint:wrapcheck // wrapped by Run

// Shutdown implements Server.
func (m *metrics) Shutdown(ctx context.Context) error { return m.http.ShutdownWithContext(ctx) } //nolint:wrapcheck // logged by close
