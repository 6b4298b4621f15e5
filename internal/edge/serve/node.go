package serve

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/pace"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/conf/plan"
	"dahliawinch/internal/mesh/claim"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/plat/feed"
	"dahliawinch/internal/task/learn"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
	"dahliawinch/internal/task/route"
)

const (
	// farLinks is how many VMs of other failure domains are linked: jobs go to owners
	// there when the own domain's are full. With 40 VMs in five domains it is everyone;
	// beyond that control stays as it is.
	farLinks = 32
	// tickEvery is how often deadlines and silences are looked at.
	tickEvery = 50 * time.Millisecond
	// loadEvery is how often a changed load is told to the others at most.
	loadEvery = 40 * time.Millisecond
	// loadShare is the time for each VM that it is told to: an owner tells 250 a second at
	// most, however many listen. To seven VMs, the users' size of today, it changes nothing.
	loadShare = 4 * time.Millisecond
)

// Config of a node.
type Config struct {
	VM     netip.AddrPort // mesh address
	Domain string         // failure domain
	Inc    uint64         // incarnation
	Seeds  []netip.AddrPort
	Limits lease.Limits
	Far    float64 // how many times longer a task runs away from its data
	Power  float64 // cores that this VM may use
	Link   float64 // bytes a second that its link carries; 0 if it is not known
}

// Mesh carries messages to other entry VMs. Messages to one incarnation arrive once
// and in order, or that incarnation is reported gone.
type Mesh interface {
	Cast(to netip.AddrPort, m frame.Msg) error
	// Spread sends one that may be lost to many.
	Spread(to []netip.AddrPort, m frame.Msg)
	// Absent reports whether a VM's machine does not answer, or its process is not there.
	Absent(vm netip.AddrPort) bool
	// Refused reports whether a VM's machine has answered that its process is not there.
	Refused(vm netip.AddrPort) bool
}

// Parts are what a node works with.
type Parts struct {
	Platform
	Mesh   Mesh
	Timers *timer.Service
	Clock  timer.Clock
	Meter  *meter.Meter
	Log    *slog.Logger
}

// Node is the dispatcher of one entry VM, without its listeners.
type Node struct {
	cfg    Config
	parts  Parts
	log    *slog.Logger
	began  time.Time
	ctx    context.Context //nolint:containedctx // the life of the node
	cancel context.CancelFunc
	wg     sync.WaitGroup
	view   *view.View
	pace   *pace.Pace // of orders

	plans   *feed.Relay[plan.Decl]
	eps     *feed.Relay[lease.Info]
	plan    atomic.Pointer[plan.Plan]
	leaving atomic.Bool
	reading atomic.Bool // the store, for the failure domain
	// storeless is set while the last call to the store failed.
	storeless atomic.Bool
	// named is closed when the entry VMs were read of the store.
	named     chan struct{}
	namedOnce sync.Once
	// fresh is set when the store's first answer did not name this VM: it starts for the first time.
	fresh  atomic.Bool
	looked atomic.Bool // it has read the entry VMs again since
	serial atomic.Uint64
	beats  int64 // only the timer's thread uses it
	// asked is how long after its start this VM knew of the others, when it first looks for a copy of
	// the endpoints; only their follower uses it.
	asked time.Duration

	mu     sync.Mutex // guards all below
	book   *owner.Book
	claims *claim.Book
	table  *route.Table
	calls  map[uint64]*call
	byID   map[string]*call
	parked []*call // they wait until an owner is known
	waits  learn.Waits
	askers []netip.AddrPort // they want a copy of the endpoints, which are not known here yet
	roster *roster
	unsure map[string]time.Time // endpoints whose entry is missing, since when
	since  map[netip.AddrPort]time.Time
	wakes  map[string]chan struct{} // of owned endpoints
	told   owner.Load
	toldAt time.Time
	// loadPause is the time from one telling of the load to the next.
	loadPause time.Duration
	listed    bool
	cordons   map[string]bool         // failure domains whose endpoints get no new work
	owners    int                     // VMs that own endpoints, this one included
	unowned   bool                    // a group has no owner
	reached   map[claim.Group]reached // groups of other domains
	probing   map[claim.Group]bool
	heard     []claim.Peer              // filled anew for each round of claims
	blind     map[claim.Group]time.Time // when an owned group was last seen to answer
	refused   map[claim.Group]refusal   // claims of the own domain whose fence proved too low
	strain    view.Strain
	strained  bool          // this VM's messages reach the others late
	delay     time.Duration // by so much
	isolated  bool          // it seems to be cut off from all others
	prober    prober        // of neighbours that are not heard
	answered  answered      // probes, by whoever it was
	lossy     time.Time     // until then orders are thought to get lost
}

// reached tells since when, and when last, an endpoint of a group was reached.
type reached struct{ since, last time.Time }

// NewNode returns a node; Start sets it going.
func NewNode(ctx context.Context, cfg Config, parts Parts) *Node {
	now := parts.Clock.Now()
	d := &Node{
		cfg: cfg, parts: parts, log: parts.Log, began: now, named: make(chan struct{}), calls: map[uint64]*call{}, byID: map[string]*call{},
		roster: newRoster(perOwner(cfg.Link)), unsure: map[string]time.Time{}, cordons: map[string]bool{}, since: map[netip.AddrPort]time.Time{},
		wakes: map[string]chan struct{}{}, table: route.New(cfg.VM), reached: map[claim.Group]reached{}, probing: map[claim.Group]bool{}, blind: map[claim.Group]time.Time{}, refused: map[claim.Group]refusal{},
		pace: pace.New(orderLeast, orderMost), unowned: true,
		view: view.New(cfg.VM, cfg.Domain, now), claims: claim.New(cfg.VM, cfg.Domain, cfg.Power, now),
	}
	d.book = owner.New(owner.Config{Limits: cfg.Limits, Far: cfg.Far, Hearsay: hearsay, Log: parts.Log, Orders: d.pace.Expect, Outlived: parts.Meter.Outlived})
	d.ctx, d.cancel = context.WithCancel(ctx)
	d.view.Links(farLinks)
	d.relay()
	d.Learn(cfg.Seeds)
	parts.Meter.Gauge("cordoned_domains", "Failure domains whose endpoints get no new work.", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(len(d.cordons))
	})
	return d
}

// Start subscribes the node to its timers and begins to read the store.
func (d *Node) Start() {
	d.follow()
	t := d.parts.Timers
	t.OnJump(d.jump)
	t.After(0, d.beat) // so that owners are heard before this VM may claim anything
	t.Every(d.ctx, view.Period, d.beat)
	t.Every(d.ctx, tickEvery, d.tick)
	t.Every(d.ctx, loadEvery, d.tell)
	t.Every(d.ctx, d.cfg.Limits.Interval(), d.sendKeepalives)
}

// Close ends the node at once; Drain before it cuts nothing.
func (d *Node) Close() { d.cancel() }

// Wait returns when nothing of a closed node runs any more.
func (d *Node) Wait() { d.wg.Wait() }

func (d *Node) now() time.Time { return d.parts.Clock.Now() }

// lock takes the lock and returns the time by then: what is decided under it must not go by a time from before the VM
// was paused.
func (d *Node) lock() time.Time {
	d.mu.Lock()
	return d.now()
}

// Ready reports whether callers may be sent here.
func (d *Node) Ready() bool {
	if d.leaving.Load() || d.plan.Load() == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.strained && d.relieved() {
		return false
	}
	now := d.now()
	// After a loss of all VMs nobody owns endpoints for some tenths of a second. Callers are
	// better off here, where their jobs wait for owners, than at a machine without power, to
	// which the balancer sends them while no VM is ready.
	return d.table.Known(now) > 0 || (d.listed && now.Sub(d.began) < joinFor && !d.claims.Defers())
}

// jump handles a pause of this VM: peers' silence was ours, and they have given up the
// jobs that they had sent here; callers submit them again elsewhere.
func (d *Node) jump(gap time.Duration) {
	d.log.Warn("vm was paused", "gap", gap)
	d.view.Resume(d.now())
	now := d.lock()
	defer d.mu.Unlock()
	d.book.CancelOf(now, func(k owner.Key) bool { return k.VM != d.cfg.VM }, "this VM was paused, and taken for lost")
	d.perform()
}

// Learn takes in VMs that the settings name, for when the store is away.
func (d *Node) Learn(seeds []netip.AddrPort) {
	named := make([]view.Named, 0, len(seeds))
	for _, vm := range seeds {
		named = append(named, view.Named{VM: vm})
	}
	d.view.Learn(d.now(), named...)
}

// Owns reports whether this VM owns endpoints of a failure domain, for tests.
func (d *Node) Owns(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, in := range d.roster.all {
		if in.Domain == domain && d.book.Owned(id) {
			return true
		}
	}
	return false
}
