// Package local runs a whole deployment in one process on loopback: stand-ins for
// the platform and real entry daemons, which talk over TCP as on VMs of their own.
package local

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/setup"
	"dahliawinch/internal/conf/valid"
	"dahliawinch/internal/edge/entry"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/plat/roster"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/place"
)

// Shape of a deployment.
type Shape struct {
	Domains   int
	VMs       int
	Endpoints int
	Slots     int
	Lag       time.Duration // of the platform's list
	Slow      time.Duration // of its answers
	Stream    string
	Policy    string
	Operators map[string]string // key hashes by name
	TLS       setup.TLS
	Log       fakes.LogRules
}

// Brief is the shape of the brief's sizes.
func Brief() Shape {
	return Shape{
		Domains: 4, VMs: 8, Endpoints: 50, Slots: 8, Lag: 2 * time.Second, Stream: "mixed", Policy: place.Homes,
		Log: fakes.LogRules{Rate: 400, Synced: 5 * time.Millisecond, Keep: time.Hour},
	}
}

// VM is one entry VM of the deployment.
type VM struct {
	Settings setup.Settings
	Daemon   *entry.Daemon
	leave    context.CancelFunc
	kill     context.CancelFunc
	done     chan struct{}
}

// Leave starts the VM's graceful shutdown; Done is closed at its end.
func (v *VM) Leave() { v.leave() }

// Kill ends the VM at once.
func (v *VM) Kill() { v.kill() }

// Done is closed when the VM has ended.
func (v *VM) Done() <-chan struct{} { return v.done }

// Deployment is a running one.
type Deployment struct {
	Shape
	Streams   *fakes.Streams
	List      *fakes.List
	Endpoints []*fakes.Endpoint
	VMs       []*VM
	LogAt     netip.AddrPort
	ListAt    netip.AddrPort

	group *errgroup.Group
	ctx   context.Context //nolint:containedctx // the life of the deployment
	end   context.CancelFunc
	out   *slog.Logger
}

// loopback listens on a free port.
func loopback() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("listen on loopback: %w", err)
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Ports for daemons are taken below those that the system gives to outgoing
// connections: a port found free up there may be used by a connection a moment later,
// and the daemon would fail to listen.
const (
	lowPort = 10_000
	blocks  = 80
	block   = 250 // ports
)

// reserve has the blocks of ports of this process, which holds each by listening on a port of its own below them:
// a daemon that is restarted must find its ports free, also when other processes look for some.
type reserve struct {
	mu   sync.Mutex
	held []held
	next int // port of the last block
}

type held struct {
	first int
	mark  net.Listener
}

var spare reserve

// port returns the next port. Once no block is free they come round again.
func (r *reserve) port() (uint16, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.held) == 0 || r.next == block {
		if err := r.more(); err != nil && len(r.held) == 0 {
			return 0, err
		}
		r.next = 0
	}
	r.next++
	return uint16(r.held[len(r.held)-1].first + r.next - 1), nil
}

// more takes a block that no process holds, or the oldest of this one.
func (r *reserve) more() (err error) {
	for i := range blocks {
		n := (os.Getpid() + i) % blocks
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowPort-blocks+n)); err == nil {
			r.held = append(r.held, held{lowPort + n*block, l})
			return nil
		}
	}
	if len(r.held) > 0 {
		r.held = append(r.held[1:], r.held[0])
	}
	return fmt.Errorf("no block of ports: %w", err)
}

// Spare finds a free port on loopback that no other deployment gets.
func Spare() (netip.AddrPort, error) {
	var last error
	for range 100 {
		n, err := spare.port()
		if err != nil {
			return netip.AddrPort{}, err
		}
		at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), n)
		l, err := net.Listen("tcp", at.String())
		if err != nil {
			last = err
			continue
		}
		if err := l.Close(); err != nil {
			return at, fmt.Errorf("free port: %w", err)
		}
		return at, nil
	}
	return netip.AddrPort{}, fmt.Errorf("free port: %w", last)
}

// Start brings a deployment up.
func Start(ctx context.Context, shape Shape, w fakes.Witness, out *slog.Logger) (*Deployment, error) {
	ctx, end := context.WithCancel(ctx)
	d := &Deployment{Shape: shape, Streams: fakes.NewStreams(shape.Log), end: end, out: out}
	d.group, d.ctx = errgroup.WithContext(ctx)
	if err := d.start(w); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

func (d *Deployment) start(w fakes.Witness) error {
	var list roster.List
	for i := range d.Shape.Endpoints {
		l, at, err := loopback()
		if err != nil {
			return err
		}
		in := place.Info{
			Addr: at, Domain: DomainName(i % d.Domains), Rack: fmt.Sprintf("rack-%d", i/6),
			Slots: d.Slots, Size: job.Size{Cores: 64, Memory: 128},
		}
		e := fakes.NewEndpoint(in, w)
		d.Endpoints = append(d.Endpoints, e)
		list.Endpoints = append(list.Endpoints, roster.Endpoint{Info: in})
		d.group.Go(func() error { return fakes.ServeEndpoint(d.ctx, e, l) })
	}
	for i := range d.Shape.VMs {
		at, err := Spare()
		if err != nil {
			return err
		}
		list.VMs = append(list.VMs, roster.VM{Mesh: at, Domain: DomainName(i % d.Domains)})
	}
	d.List = fakes.NewList(d.Lag, list)
	d.List.Slow(d.Slow)
	if err := d.platform(); err != nil {
		return err
	}
	for _, v := range list.VMs {
		if _, err := d.Boot(v.Mesh, v.Domain); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) platform() error {
	l, at, err := loopback()
	if err != nil {
		return err
	}
	d.LogAt = at
	d.group.Go(func() error { return fakes.ServeLog(d.ctx, d.Streams, l) })
	l2, at, err := loopback()
	if err != nil {
		return err
	}
	d.ListAt = at
	d.group.Go(func() error { return fakes.ServeList(d.ctx, d.List, l2) })
	return nil
}

// DomainName names the n-th failure domain.
func DomainName(n int) string { return fmt.Sprintf("fd-%c", 'a'+n) }

// Boot starts an entry VM at a mesh address.
func (d *Deployment) Boot(mesh netip.AddrPort, domain string) (*VM, error) {
	set := setup.Default()
	set.Domain, set.Stream, set.Mesh, set.Policy = domain, d.Stream, mesh, d.Policy
	set.Operators, set.TLS = d.Operators, d.TLS
	set.Log, set.List, set.Linger = d.LogAt, d.ListAt, valid.Span(500*time.Millisecond)
	set.Retention = valid.Span(max(time.Minute, d.Log.Keep))
	var err error
	if set.Caller, err = Spare(); err != nil {
		return nil, err
	}
	if set.Operator, err = Spare(); err != nil {
		return nil, err
	}
	life, kill := context.WithCancel(d.ctx)
	stay, leave := context.WithCancel(d.ctx)
	daemon, err := entry.New(life, set, d.out.With("vm", mesh))
	if err != nil {
		kill()
		leave()
		return nil, fmt.Errorf("boot: %w", err)
	}
	v := &VM{Settings: set, Daemon: daemon, leave: leave, kill: kill, done: make(chan struct{})}
	d.VMs = append(d.VMs, v)
	d.group.Go(func() error {
		defer close(v.done)
		defer kill()
		defer leave()
		return daemon.Run(life, stay)
	})
	return v, nil
}

// Stop ends everything.
func (d *Deployment) Stop() error {
	d.end()
	if err := d.group.Wait(); err != nil {
		return fmt.Errorf("stop deployment: %w", err)
	}
	return nil
}

// Declare puts a document in force through the log, by way of the first VM, and
// returns when every VM has it, hears the others and knows the endpoints.
func (d *Deployment) Declare(ctx context.Context, document *doc.Document) error {
	text, err := document.Encode()
	if err != nil {
		return err
	}
	base := uint64(0)
	if r, _, ok := d.VMs[0].Daemon.Node().InForce(); ok {
		base = r.Rev
	}
	v, err := d.VMs[0].Daemon.Keeper().Declare(ctx, base, text, "local", "")
	if err != nil {
		return fmt.Errorf("declare: %w", err)
	}
	if !v.Won {
		return fmt.Errorf("declare: %w: %s", errLost, v.Author)
	}
	if err := d.InForce(ctx, v.Rev); err != nil {
		return err
	}
	return errors.Join(d.Joined(ctx), d.known(ctx))
}

// known returns when every VM has read the platform's list.
func (d *Deployment) known(ctx context.Context) error {
	for _, v := range d.VMs {
		for len(d.Endpoints) > 0 && v.Daemon.Node().Stats().Known == 0 {
			select {
			case <-v.done:
				return nil
			case <-ctx.Done():
				return fmt.Errorf("await endpoints: %w", ctx.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

var errLost = errors.New("another declaration was first")

// InForce returns when every VM that runs has a revision.
func (d *Deployment) InForce(ctx context.Context, rev uint64) error {
	for _, v := range d.VMs {
		for {
			if r, _, ok := v.Daemon.Node().InForce(); ok && r.Rev >= rev {
				break
			}
			select {
			case <-v.done:
			case <-ctx.Done():
				return fmt.Errorf("await revision %d: %w", rev, ctx.Err())
			case <-time.After(10 * time.Millisecond):
				continue
			}
			break
		}
	}
	return nil
}

// Joined returns when every VM hears every other.
func (d *Deployment) Joined(ctx context.Context) error {
	for _, v := range d.VMs {
		for !hears(v, len(d.VMs)-1) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("await members: %w", ctx.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

func hears(v *VM, n int) bool {
	for _, m := range v.Daemon.Node().View().Members() {
		if m.Usable() {
			n--
		}
	}
	return n <= 0
}

// Wasted sums the wasted messages of a cause over all VMs.
func (d *Deployment) Wasted(c meter.Cause) (n int64) {
	for _, v := range d.VMs {
		n += v.Daemon.Meter().Wasted(c)
	}
	return n
}

// Starts sums the attempts of all VMs.
func (d *Deployment) Starts() (n int64) {
	for _, v := range d.VMs {
		n += v.Daemon.Meter().Starts()
	}
	return n
}
