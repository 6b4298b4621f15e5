// Package entry builds and runs the daemon of one entry VM.
package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/conf/keeper"
	"dahliawinch/internal/conf/setup"
	"dahliawinch/internal/edge/call"
	"dahliawinch/internal/edge/certs"
	"dahliawinch/internal/edge/oper"
	"dahliawinch/internal/edge/wire"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/link"
	"dahliawinch/internal/plat/ledger"
	"dahliawinch/internal/plat/roster"
	"dahliawinch/internal/task/flow"
)

const (
	// certReloadInterval is how often the certificate files are checked for rotation.
	certReloadInterval = 5 * time.Second
	// listInterval is how often the platform's list of VMs and endpoints is fetched.
	listInterval = time.Second
	// closeTimeout limits the shutdown of the servers after the drain.
	closeTimeout = 5 * time.Second
)

// Daemon runs the servers and the dispatcher of one entry VM.
type Daemon struct {
	settings  setup.Settings
	log       *slog.Logger
	meter     *meter.Meter
	timers    *timer.Service
	pool      *wire.Pool
	certs     *certs.Store
	hub       *link.Hub
	node      *flow.Node
	keeper    *keeper.Keeper
	call      *call.Server
	oper      *oper.Server
	listeners [3]net.Listener // mesh, caller, operator
}

// New builds the daemon and binds its addresses.
func New(ctx context.Context, set setup.Settings, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{settings: set, log: log, meter: meter.New(), timers: timer.New(timer.Wall{}), pool: wire.NewPool(wire.TCP)}
	inc := uint64(time.Now().UnixNano())
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("make ticket secret: %w", err)
	}
	dial := link.Dialer(link.DialTCP)
	if set.TLS.Cert != "" {
		var err error
		if d.certs, err = certs.Open(certs.Files{Cert: set.TLS.Cert, Key: set.TLS.Key, Authority: set.TLS.Authority}); err != nil {
			return nil, fmt.Errorf("new daemon: %w", err)
		}
	}
	if set.TLS.Mesh {
		dial = d.dialTLS
	}
	hello := frame.Hello{VM: set.Mesh, Inc: inc, Domain: set.Domain}
	d.hub = link.New(hello, dial, func(from frame.Hello, m frame.Msg) { d.node.Receive(from, m) }, d.meter.AddControlBytes, log)
	var err error
	d.node, err = flow.New(ctx, flow.Config{
		Self: set.Mesh, Domain: set.Domain, Inc: inc, Secret: secret, Policy: set.Policy, Memory: set.Memory,
		TicketTerm: set.Term.Std(), MaxTickets: flow.DefaultMaxTickets, RetryRatio: flow.DefaultRetryRatio,
		Spill: true, SizeWeight: flow.DefaultSizeWeight, EarlyReject: true,
	}, flow.Deps{Timers: d.timers, Runner: d.pool, Mesh: d.hub, Meter: d.meter, Log: log})
	if err != nil {
		return nil, fmt.Errorf("new daemon: %w", err)
	}
	d.keeper = keeper.New(ledger.NewClient(set.Log, set.Stream), d.timers, set.Retention.Std(), d.node.Apply, log)
	d.node.SetRevisionStore(d.keeper)
	d.call = call.NewServer(d.node, log)
	d.oper = oper.NewServer(d.node, d.keeper, d.meter, set.Operators)
	for i, a := range []netip.AddrPort{set.Mesh, set.Caller, set.Operator} {
		if d.listeners[i], err = net.Listen("tcp", a.String()); err != nil {
			return nil, errors.Join(fmt.Errorf("listen: %w", err), d.closeListeners())
		}
		d.listeners[i] = d.wrapTLS(i, d.listeners[i])
	}
	return d, nil
}

// Indexes of Daemon.listeners.
const (
	meshListener = iota
	callerListener
	operatorListener
)

// wrapTLS wraps a listener in TLS if the settings ask for it.
func (d *Daemon) wrapTLS(index int, l net.Listener) net.Listener {
	t := d.settings.TLS
	switch {
	case index == meshListener && t.Mesh:
		return tls.NewListener(l, d.certs.ServerConfig(true))
	case index == callerListener && t.Caller, index == operatorListener && t.Operator:
		return tls.NewListener(l, d.certs.ServerConfig(false))
	default:
		return l
	}
}

// dialTLS opens a link to another entry VM with mutual TLS.
func (d *Daemon) dialTLS(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	c, err := link.DialTCP(ctx, to)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second) // a peer may accept and then stay silent
	defer cancel()
	t := tls.Client(c, d.certs.ClientConfig(to.Addr().String()))
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(fmt.Errorf("link to %s: %w", to, err), c.Close())
	}
	return t, nil
}

// reloadCerts loads rotated certificates.
func (d *Daemon) reloadCerts() {
	changed, err := d.certs.Reload()
	switch {
	case err != nil:
		d.log.Warn("certificate reload failed, keeping the current ones", "err", err)
	case changed:
		d.log.Info("certificates reloaded")
	}
}

func (d *Daemon) closeListeners() (err error) {
	for _, l := range d.listeners {
		if l != nil {
			err = errors.Join(err, l.Close())
		}
	}
	return err
}

// Node returns the daemon's dispatcher.
func (d *Daemon) Node() *flow.Node { return d.node }

// Meter returns the daemon's metrics.
func (d *Daemon) Meter() *meter.Meter { return d.meter }

// Run serves until drainCtx is done, then drains: it finishes work in progress while
// new callers go to other VMs. When ctx is done, it stops at once.
func (d *Daemon) Run(ctx, drainCtx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.node.UpdateRoster(d.withPeers(roster.List{}))
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { d.timers.Run(gctx); return nil })
	g.Go(func() error { return d.hub.Run(gctx, d.listeners[meshListener]) })
	g.Go(func() error { d.keeper.Run(gctx); return nil })
	g.Go(func() error { return ignoreClosed(gctx, d.call.Serve(d.listeners[callerListener])) })
	g.Go(func() error { return ignoreClosed(gctx, d.oper.Serve(d.listeners[operatorListener])) })
	g.Go(func() error { d.pollList(gctx, roster.NewClient(d.settings.List)); return nil })
	d.timers.Every(gctx, d.keeper.RenewPeriod(), func() { go d.keeper.Renew(gctx) })
	if d.certs != nil {
		d.timers.Every(gctx, certReloadInterval, d.reloadCerts)
	}
	d.node.Start()
	d.log.Info("serving", "vm", d.settings.Mesh, "domain", d.settings.Domain, "callers", d.settings.Caller, "operators", d.settings.Operator)
	g.Go(func() error {
		select {
		case <-drainCtx.Done():
			d.drain(gctx)
		case <-gctx.Done():
		}
		d.close()
		cancel()
		return nil
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	d.log.Info("stopped", "vm", d.settings.Mesh)
	return nil
}

// drain keeps the listeners open for the linger time, so that the balancer sees that
// the VM is leaving, and then waits for work in progress.
func (d *Daemon) drain(ctx context.Context) {
	go func() { _ = d.node.Drain(ctx) }()
	t := time.NewTimer(d.settings.Linger.Std())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	if err := d.call.Shutdown(ctx); err != nil {
		d.log.Warn("drain failed", "err", err)
	}
	if err := d.node.Drain(ctx); err != nil {
		d.log.Warn("drain failed", "err", err)
	}
	flushCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := d.hub.Flush(flushCtx); err != nil {
		d.log.Warn("drain failed", "err", err)
	}
}

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	d.node.Close()
	d.pool.Close()
	d.node.Wait()
	if err := errors.Join(d.call.Shutdown(ctx), d.oper.Shutdown(ctx)); err != nil {
		d.log.Warn("shutdown failed", "err", err)
	}
	// fasthttp's shutdown does nothing for a server that does not accept yet, so a
	// daemon stopped during its start would serve for ever.
	_ = d.closeListeners()
}

// withPeers adds the configured peers that the platform's list does not have yet.
func (d *Daemon) withPeers(l roster.List) roster.List {
	for _, p := range d.settings.Peers {
		if !slices.ContainsFunc(l.VMs, func(v roster.VM) bool { return v.Mesh == p }) {
			l.VMs = append(l.VMs, roster.VM{Mesh: p})
		}
	}
	return l
}

// ignoreClosed drops the error of a listener that was closed because the daemon stops.
func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// pollList fetches the platform's list at an interval; if that fails, the VM keeps the
// last one.
func (d *Daemon) pollList(ctx context.Context, src roster.Source) {
	t := time.NewTicker(listInterval)
	defer t.Stop()
	down := false
	for {
		l, err := src.List(ctx)
		switch {
		case err == nil:
			down = false
			d.node.UpdateRoster(d.withPeers(l))
		case !down && ctx.Err() == nil:
			down = true
			d.log.Warn("platform list unreachable", "err", err)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Keeper returns the keeper of the daemon's copy of the document.
func (d *Daemon) Keeper() *keeper.Keeper { return d.keeper }
