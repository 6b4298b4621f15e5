// Package local runs a whole deployment in one process on loopback: fakes of the
// platform and its endpoints, and real entry daemons, which talk over TCP as they do on
// separate VMs.
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

// Shape is the size and configuration of a deployment.
type Shape struct {
	Domains   int
	VMs       int
	Endpoints int
	Slots     int               // of an endpoint
	ListLag   time.Duration     // by which the platform's list is stale
	ListDelay time.Duration     // delay of the list's answers
	Stream    string            // in the platform's log
	Policy    string            // of placement
	Operators map[string]string // key hashes by name
	TLS       setup.TLS
	Log       fakes.LogRules
}

// DefaultShape returns the service's initial size: 8 VMs in 4 failure domains, 50 endpoints.
func DefaultShape() Shape {
	return Shape{
		Domains: 4, VMs: 8, Endpoints: 50, Slots: 8, ListLag: 2 * time.Second, Stream: "mixed", Policy: place.Homes,
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

// Leave starts the VM's graceful shutdown; Done is closed when it is complete.
func (v *VM) Leave() { v.leave() }

// Kill stops the VM at once.
func (v *VM) Kill() { v.kill() }

// Done returns a channel that is closed when the VM has stopped.
func (v *VM) Done() <-chan struct{} { return v.done }

// Deployment is a running deployment.
type Deployment struct {
	Shape
	Streams   *fakes.Streams
	List      *fakes.List
	Endpoints []*fakes.Endpoint
	VMs       []*VM
	LogAt     netip.AddrPort // address of the platform's log
	ListAt    netip.AddrPort // address of the platform's list

	group  *errgroup.Group
	ctx    context.Context //nolint:containedctx // ends with the deployment
	cancel context.CancelFunc
	log    *slog.Logger
}

// listenLoopback listens on a free loopback port.
func listenLoopback() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("listen on loopback: %w", err)
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Daemons get ports below the system's ephemeral range: an outgoing connection could
// take a free port of that range before the daemon listens on it.
const (
	firstPort  = 10_000
	blockCount = 80
	blockSize  = 250 // ports in a block
)

// portPool hands out ports from blocks that this process has claimed. It claims a block by listening on the block's
// lock port, below all blocks: other processes skip it, so a restarted daemon finds its ports free.
type portPool struct {
	mu      sync.Mutex
	claimed []portBlock
	next    int // index in the last block
}

// portBlock is a claimed block.
type portBlock struct {
	first int          // port
	lock  net.Listener // on the lock port
}

var ports portPool

// port returns the next port. When no block is free, it reuses those of this process.
func (p *portPool) port() (uint16, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.claimed) == 0 || p.next == blockSize {
		if err := p.claim(); err != nil && len(p.claimed) == 0 {
			return 0, err
		}
		p.next = 0
	}
	p.next++
	return uint16(p.claimed[len(p.claimed)-1].first + p.next - 1), nil
}

// claim adds a block that no process holds. If there is none, it moves the oldest block
// to the end for reuse and returns an error.
func (p *portPool) claim() (err error) {
	for i := range blockCount {
		n := (os.Getpid() + i) % blockCount
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort-blockCount+n)); err == nil {
			p.claimed = append(p.claimed, portBlock{firstPort + n*blockSize, l})
			return nil
		}
	}
	if len(p.claimed) > 0 {
		p.claimed = append(p.claimed[1:], p.claimed[0])
	}
	return fmt.Errorf("no free block of ports: %w", err)
}

// FreeAddr returns a loopback address with a free port that no other deployment gets.
func FreeAddr() (netip.AddrPort, error) {
	var last error
	for range 100 {
		n, err := ports.port()
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

// Start starts a deployment; the witness is notified of each start of a task.
func Start(ctx context.Context, shape Shape, w fakes.Witness, log *slog.Logger) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Deployment{Shape: shape, Streams: fakes.NewStreams(shape.Log), cancel: cancel, log: log}
	d.group, d.ctx = errgroup.WithContext(ctx)
	if err := d.start(w); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

func (d *Deployment) start(w fakes.Witness) error {
	var list roster.List
	for i := range d.Shape.Endpoints {
		l, at, err := listenLoopback()
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
		at, err := FreeAddr()
		if err != nil {
			return err
		}
		list.VMs = append(list.VMs, roster.VM{Mesh: at, Domain: DomainName(i % d.Domains)})
	}
	d.List = fakes.NewList(d.ListLag, list)
	d.List.Slow(d.ListDelay)
	if err := d.startPlatform(); err != nil {
		return err
	}
	for _, v := range list.VMs {
		if _, err := d.Boot(v.Mesh, v.Domain); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startPlatform() error {
	l, at, err := listenLoopback()
	if err != nil {
		return err
	}
	d.LogAt = at
	d.group.Go(func() error { return fakes.ServeLog(d.ctx, d.Streams, l) })
	l2, at, err := listenLoopback()
	if err != nil {
		return err
	}
	d.ListAt = at
	d.group.Go(func() error { return fakes.ServeList(d.ctx, d.List, l2) })
	return nil
}

// DomainName returns the name of the n-th failure domain.
func DomainName(n int) string { return fmt.Sprintf("fd-%c", 'a'+n) }

// Boot starts an entry VM at a mesh address.
func (d *Deployment) Boot(mesh netip.AddrPort, domain string) (*VM, error) {
	set := setup.Default()
	set.Domain, set.Stream, set.Mesh, set.Policy = domain, d.Stream, mesh, d.Policy
	set.Operators, set.TLS = d.Operators, d.TLS
	set.Log, set.List, set.Linger = d.LogAt, d.ListAt, valid.Span(500*time.Millisecond)
	set.Retention = valid.Span(max(time.Minute, d.Log.Keep))
	var err error
	if set.Caller, err = FreeAddr(); err != nil {
		return nil, err
	}
	if set.Operator, err = FreeAddr(); err != nil {
		return nil, err
	}
	killCtx, kill := context.WithCancel(d.ctx)
	leaveCtx, leave := context.WithCancel(d.ctx)
	daemon, err := entry.New(killCtx, set, d.log.With("vm", mesh))
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
		return daemon.Run(killCtx, leaveCtx)
	})
	return v, nil
}

// Stop stops the deployment and waits for its end.
func (d *Deployment) Stop() error {
	d.cancel()
	if err := d.group.Wait(); err != nil {
		return fmt.Errorf("stop deployment: %w", err)
	}
	return nil
}

// Declare declares a document through the first VM. It returns when the document is in
// force on every VM, and every VM is connected to the others and knows the endpoints.
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
	if err := d.AwaitRevision(ctx, v.Rev); err != nil {
		return err
	}
	return errors.Join(d.AwaitMembers(ctx), d.awaitEndpoints(ctx))
}

// awaitEndpoints returns when every VM has read the platform's list.
func (d *Deployment) awaitEndpoints(ctx context.Context) error {
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

// AwaitRevision returns when the revision is in force on every running VM.
func (d *Deployment) AwaitRevision(ctx context.Context, rev uint64) error {
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

// AwaitMembers returns when every VM receives heartbeats of every other.
func (d *Deployment) AwaitMembers(ctx context.Context) error {
	for _, v := range d.VMs {
		for !connected(v, len(d.VMs)-1) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("await members: %w", ctx.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// connected reports whether a VM has at least n usable peers.
func connected(v *VM, n int) bool {
	for _, m := range v.Daemon.Node().View().Members() {
		if m.Usable() {
			n--
		}
	}
	return n <= 0
}

// Wasted returns the number of wasted messages of a cause over all VMs.
func (d *Deployment) Wasted(c meter.Cause) (n int64) {
	for _, v := range d.VMs {
		n += v.Daemon.Meter().Wasted(c)
	}
	return n
}

// Starts returns the number of task starts of all VMs, retries included.
func (d *Deployment) Starts() (n int64) {
	for _, v := range d.VMs {
		n += v.Daemon.Meter().Starts()
	}
	return n
}
