package serve

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/edge/hangup"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/link"
	"dahliawinch/internal/task/lease"
)

// closeWait bounds the end of the listeners after the drain.
const closeWait = 500 * time.Millisecond

// Daemon is one entry VM: a node with its listeners.
type Daemon struct {
	set    Settings
	log    *slog.Logger
	meter  *meter.Meter
	timers *timer.Service
	hub    *link.Hub
	node   *Node
	fronts []front
}

// endCaller is the callers' place among the fronts.
const endCaller = 1

// front is a listener and who serves it.
type front struct {
	l net.Listener
	s Server
}

// New binds the daemon's addresses and puts its parts together.
func New(ctx context.Context, set Settings, plat Platform, log *slog.Logger) (*Daemon, error) {
	clock, err := timer.NewBoot()
	if err != nil {
		return nil, fmt.Errorf("new daemon: %w", err)
	}
	d := &Daemon{set: set, log: log, meter: meter.New(), timers: timer.New(clock)}
	seeds, err := set.peers()
	if err != nil {
		return nil, fmt.Errorf("new daemon: %w", err)
	}
	cfg := Config{
		VM: set.Mesh, Domain: set.Domain, Inc: uint64(time.Now().UnixNano()), Seeds: seeds, Far: set.Far, Power: set.Cores, Link: set.linkBytes(),
		Limits: lease.Limits{Hold: set.Hold.Std(), Stop: set.Stop.Std(), Resend: set.Resend.Std(), Notice: hangup.Notice},
	}
	hello := frame.Hello{VM: cfg.VM, Inc: cfg.Inc, Domain: cfg.Domain}
	receive := func(from frame.Hello, m frame.Msg) { d.node.Receive(from, m) }
	d.hub = link.New(hello, link.TCP, receive, d.meter.Control, log)
	d.node = NewNode(ctx, cfg, Parts{Platform: plat, Mesh: d.hub, Timers: d.timers, Clock: clock, Meter: d.meter, Log: log})
	servers := []struct {
		at netip.AddrPort
		s  Server
	}{
		{set.Mesh, mesh{d.hub, ctx}},
		{set.Caller, plat.Callers(d.node)},
		{set.Ready, plat.Ready(d.node.Ready)},
		{set.Metrics, newMetrics(d.meter)},
	}
	for _, s := range servers {
		if !s.at.IsValid() {
			continue
		}
		l, err := net.Listen("tcp", s.at.String())
		if err != nil {
			return nil, errors.Join(fmt.Errorf("listen: %w", err), d.unbind())
		}
		d.fronts = append(d.fronts, front{l, s.s})
	}
	return d, nil
}

// mesh serves the other VMs' links.
type mesh struct {
	hub *link.Hub
	ctx context.Context //nolint:containedctx // the life of the daemon
}

// Serve implements Server.
func (m mesh) Serve(l net.Listener) error { return m.hub.Run(m.ctx, l) }

// Shutdown implements Server; links end with the daemon.
func (m mesh) Shutdown(context.Context) error { return nil }

func (d *Daemon) unbind() (err error) {
	for _, f := range d.fronts {
		err = errors.Join(err, f.l.Close())
	}
	return err
}

// Run serves until leave ends, then hands over and ends; when ctx, which must be that
// of New, ends, at once.
func (d *Daemon) Run(ctx, leave context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { d.timers.Run(gctx); return nil })
	for _, f := range d.fronts {
		g.Go(func() error { return unlessEnded(gctx, f.s.Serve(f.l)) })
	}
	d.node.Start()
	d.log.Info("serving", "name", d.set.Name, "vm", d.set.Mesh, "domain", d.set.Domain, "inc", d.node.cfg.Inc, "callers", d.set.Caller, "store", d.set.Store,
		"resend", d.set.Resend.Std(), "outlive", d.node.cfg.Limits.Outlive(), "expiry", d.node.cfg.Limits.Expiry(), "fresh", d.node.cfg.Limits.Fresh(), "lease", d.node.cfg.Limits.Lease())
	g.Go(func() error {
		select {
		case <-leave.Done():
			d.drain(gctx)
		case <-gctx.Done():
		}
		d.node.Close()
		d.close()
		cancel()
		return nil
	})
	err := g.Wait()
	d.node.Wait()
	d.log.Info("ended", "name", d.set.Name, "err", err)
	if err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}

// unlessEnded drops the error of a listener that was closed because the daemon ends.
func unlessEnded(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// drain hands the endpoints over, answers every caller and sends what peers wait for.
func (d *Daemon) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.set.Grace.Std()-lastly)
	defer cancel()
	g := errgroup.Group{}
	g.Go(func() error {
		t := time.NewTimer(linger)
		defer t.Stop()
		select {
		case <-t.C: // callers that stay on their connections would else never let it end
		case <-ctx.Done():
		}
		return d.fronts[endCaller].s.Shutdown(ctx)
	})
	d.node.Drain(ctx)
	if err := g.Wait(); err != nil {
		d.log.Warn("drain", "err", err)
	}
	if err := d.hub.Flush(ctx); err != nil {
		d.log.Warn("drain", "err", err)
	}
}

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	for _, f := range d.fronts {
		if err := f.s.Shutdown(ctx); err != nil {
			d.log.Warn("close", "err", err)
		}
	}
	// The library's shutdown does nothing for a server that has not begun to accept.
	_ = d.unbind()
}

// Reload takes a changed settings file over; a bad one changes nothing.
func (d *Daemon) Reload(next Settings) {
	if err := d.set.adopt(next); err != nil {
		d.log.Warn("settings stay as they were", "err", err)
		return
	}
	seeds, err := next.peers()
	if err != nil {
		d.log.Warn("settings stay as they were", "err", err)
		return
	}
	d.node.Learn(seeds)
	d.log.Info("settings taken over", "seeds", next.Seeds)
}
