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

// closeWait bounds the shutdown of the listeners after the drain.
const closeWait = 500 * time.Millisecond

// Daemon is one entry VM: a node with its listeners.
type Daemon struct {
	settings Settings
	log      *slog.Logger
	meter    *meter.Meter
	timers   *timer.Service
	hub      *link.Hub
	node     *Node
	bound    []boundServer
}

// callerIndex is the index of the callers' listener in Daemon.bound.
const callerIndex = 1

// boundServer is a listener and the server that accepts its connections.
type boundServer struct {
	l net.Listener
	s Server
}

// New binds the daemon's addresses and assembles its parts.
func New(ctx context.Context, set Settings, plat Platform, log *slog.Logger) (*Daemon, error) {
	clock, err := timer.NewBoot()
	if err != nil {
		return nil, fmt.Errorf("new daemon: %w", err)
	}
	d := &Daemon{settings: set, log: log, meter: meter.New(), timers: timer.New(clock)}
	seeds, err := set.seedPeers()
	if err != nil {
		return nil, fmt.Errorf("new daemon: %w", err)
	}
	cfg := Config{
		VM: set.Mesh, Domain: set.Domain, Inc: uint64(time.Now().UnixNano()), Seeds: seeds, RemoteFactor: set.RemoteFactor, Cores: set.Cores, LinkRate: set.linkBytes(), Options: set.Options,
		Limits: lease.Limits{Hold: set.Hold.Std(), Stop: set.Stop.Std(), Resend: set.Resend.Std(), Notice: hangup.CloseDelay},
	}
	hello := frame.Hello{VM: cfg.VM, Inc: cfg.Inc, Domain: cfg.Domain}
	receive := func(from frame.Hello, m frame.Msg) { d.node.Receive(from, m) }
	d.hub = link.New(hello, link.DialTCP, receive, d.meter.AddControlBytes, log)
	d.node = NewNode(ctx, cfg, Deps{Platform: plat, Mesh: d.hub, Timers: d.timers, Clock: clock, Meter: d.meter, Log: log})
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
		d.bound = append(d.bound, boundServer{l, s.s})
	}
	return d, nil
}

// mesh serves links from other VMs.
type mesh struct {
	hub *link.Hub
	ctx context.Context //nolint:containedctx // lives as long as the daemon
}

// Serve implements Server.
func (m mesh) Serve(l net.Listener) error { return m.hub.Run(m.ctx, l) }

// Shutdown implements Server; links close when the daemon ends.
func (m mesh) Shutdown(context.Context) error { return nil }

func (d *Daemon) unbind() (err error) {
	for _, b := range d.bound {
		err = errors.Join(err, b.l.Close())
	}
	return err
}

// Run serves until leave ends, then drains and returns. It returns at once when ctx ends, which must be the context
// passed to New.
func (d *Daemon) Run(ctx, leave context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { d.timers.Run(gctx); return nil })
	for _, b := range d.bound {
		g.Go(func() error { return ignoreClosed(gctx, b.s.Serve(b.l)) })
	}
	d.node.Start()
	d.log.Info("serving", "name", d.settings.Name, "vm", d.settings.Mesh, "domain", d.settings.Domain, "inc", d.node.cfg.Inc, "callers", d.settings.Caller, "store", d.settings.Store,
		"resend", d.settings.Resend.Std(), "outlive", d.node.cfg.Limits.Outlive(), "expiry", d.node.cfg.Limits.Expiry(), "fresh", d.node.cfg.Limits.Fresh(), "lease", d.node.cfg.Limits.Lease(), "lead", d.node.cfg.Limits.Lead(),
		"speeds", d.settings.Speeds, "split", d.settings.Split, "demand", d.settings.Demand, "fill", d.settings.Fill, "shares", d.settings.Shares)
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
	d.log.Info("stopped", "name", d.settings.Name, "err", err)
	if err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}

// ignoreClosed drops the error of a listener that was closed because the daemon ends.
func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// drain hands over the endpoints, answers every caller and flushes messages to peers.
func (d *Daemon) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Grace.Std()-closeReserve)
	defer cancel()
	g := errgroup.Group{}
	g.Go(func() error {
		t := time.NewTimer(linger)
		defer t.Stop()
		select {
		case <-t.C: // callers that keep their connections open would otherwise block the shutdown
		case <-ctx.Done():
		}
		return d.bound[callerIndex].s.Shutdown(ctx)
	})
	d.node.Drain(ctx)
	if err := g.Wait(); err != nil {
		d.log.Warn("drain failed", "err", err)
	}
	if err := d.hub.Flush(ctx); err != nil {
		d.log.Warn("drain failed", "err", err)
	}
}

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	for _, b := range d.bound {
		if err := b.s.Shutdown(ctx); err != nil {
			d.log.Warn("shutdown failed", "err", err)
		}
	}
	// The library's Shutdown does not close the listener of a server that has not begun to accept.
	_ = d.unbind()
}

// Reload applies changed settings; invalid ones change nothing.
func (d *Daemon) Reload(next Settings) {
	if err := d.settings.checkReload(next); err != nil {
		d.log.Warn("settings reload failed, keeping the current ones", "err", err)
		return
	}
	seeds, err := next.seedPeers()
	if err != nil {
		d.log.Warn("settings reload failed, keeping the current ones", "err", err)
		return
	}
	d.node.AddSeeds(seeds)
	d.log.Info("settings reloaded", "seeds", next.Seeds)
}
