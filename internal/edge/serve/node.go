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
	"dahliawinch/internal/task/demand"
	"dahliawinch/internal/task/learn"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
	"dahliawinch/internal/task/route"
)

const (
	// remoteLinks is how many VMs of other failure domains are linked: jobs go to owners there when those of the own
	// domain are full. With 40 VMs in five domains this includes everyone; in larger fleets it bounds control traffic.
	remoteLinks = 32
	// tickEvery is how often deadlines and silent VMs are checked.
	tickEvery = 50 * time.Millisecond
	// loadEvery is the shortest interval between messages with a changed load.
	loadEvery = 40 * time.Millisecond
	// loadPerVM is the shortest interval for each receiver, so an owner sends at most 250 load messages a second, however
	// many VMs receive them. It has no effect with seven VMs, the users' size today.
	loadPerVM = 4 * time.Millisecond
)

// Config configures a node.
type Config struct {
	VM           netip.AddrPort // mesh address
	Domain       string         // failure domain
	Inc          uint64         // incarnation
	Seeds        []netip.AddrPort
	Limits       lease.Limits
	RemoteFactor float64 // how many times longer a task runs outside its data's failure domain
	Cores        float64 // cores that this VM may use
	LinkRate     float64 // bytes a second that its link carries; 0 if unknown
	Options      Options
}

// Mesh carries messages to other entry VMs. Messages to one incarnation arrive once and in order, or that incarnation
// is reported gone.
type Mesh interface {
	Send(to netip.AddrPort, m frame.Msg) error
	// SendAll sends a message, which may be lost, to many VMs.
	SendAll(to []netip.AddrPort, m frame.Msg)
	// Absent reports whether a VM's machine does not answer, or answers that no process listens.
	Absent(vm netip.AddrPort) bool
	// Refused reports whether a VM's machine answered that no process listens.
	Refused(vm netip.AddrPort) bool
}

// Deps are the dependencies of a node.
type Deps struct {
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
	deps   Deps
	log    *slog.Logger
	began  time.Time
	ctx    context.Context //nolint:containedctx // lives as long as the node
	cancel context.CancelFunc
	wg     sync.WaitGroup
	view   *view.View
	pace   *pace.Estimator // response times of orders to endpoints
	// starts and stops bound the orders under way to each endpoint.
	starts, stops *turns

	plans     *feed.Relay[plan.Decl]
	endpoints *feed.Relay[lease.Info]
	plan      atomic.Pointer[plan.Plan]
	leaving   atomic.Bool
	reading   atomic.Bool // this VM reads the store for its failure domain
	// storeless is set while the last call to the store failed.
	storeless atomic.Bool
	// vmsRead is closed when the entry VMs were read from the store.
	vmsRead     chan struct{}
	vmsReadOnce sync.Once
	// firstStart is set when the store's first answer did not name this VM.
	firstStart atomic.Bool
	vmsReread  atomic.Bool // rereadVMs has read the entry VMs again
	serial     atomic.Uint64
	beatCount  int64 // used only by the timer's goroutine
	// vmsReadAfter is the time from the start until this VM knew the others and first looked for a copy of the endpoints;
	// only the follower of the endpoints uses it.
	vmsReadAfter time.Duration

	mu        sync.Mutex // guards all fields below
	scheduler *owner.Scheduler
	claims    *claim.Table
	routes    *route.Table
	demand    *demand.View // nil unless the option is on
	room      demand.Room  // what this VM told last, of roomAt
	roomAt    time.Time
	// pressureRange is the range of the pressure that was logged last, at rangeAt.
	pressureRange string
	rangeAt       time.Time
	calls         map[uint64]*call
	byID          map[string]*call
	partCalls     map[uint64]*call // by the call numbers of its parts
	parked        []*call          // calls that wait until an owner is known
	waits         learn.PriorWaits
	askers        []netip.AddrPort // VMs that asked for a copy of the endpoints before they were known here
	roster        *roster
	missingSince  map[string]time.Time // since when the entry of an endpoint is missing
	aliveSince    map[netip.AddrPort]time.Time
	wakes         map[string]chan struct{} // wakes the renewals of owned endpoints
	sentLoad      owner.Load
	loadSentAt    time.Time
	// loadInterval is the shortest time from one load message to the next.
	loadInterval  time.Duration
	endpointsRead bool
	cordons       map[string]bool             // failure domains whose endpoints get no new work
	ownerCount    int                         // VMs that own endpoints, including this one
	hasUnowned    bool                        // a group has no owner
	reached       map[claim.Group]reachedSpan // groups of other domains, while their endpoints answer
	reaching      map[claim.Group]bool
	peerBuf       []claim.Peer                 // reused for each round of claims
	lastAnswer    map[claim.Group]time.Time    // when an endpoint of an owned group last answered
	refusals      map[claim.Group]fenceRefusal // claims of the own domain whose fence proved too low
	strain        view.StrainDetector
	strained      bool           // this VM's messages reach the others late
	delay         time.Duration  // how late
	isolated      bool           // it seems to be cut off from all others
	prober        prober         // asks about neighbours that are not heard
	answered      answeredProbes // probes of other VMs that some VM has answered
	lossyUntil    time.Time      // until then orders are assumed to get lost
	speedsSentAt  time.Time      // when heartbeats last carried estimates of endpoints' speeds
}

// reachedSpan is when an endpoint of a group was first and last reached.
type reachedSpan struct{ since, last time.Time }

// NewNode returns a node that is not started.
func NewNode(ctx context.Context, cfg Config, deps Deps) *Node {
	now := deps.Clock.Now()
	d := &Node{
		cfg: cfg, deps: deps, log: deps.Log, began: now, vmsRead: make(chan struct{}), calls: map[uint64]*call{}, byID: map[string]*call{}, partCalls: map[uint64]*call{},
		roster: newRoster(perOwner(cfg.LinkRate)), missingSince: map[string]time.Time{}, cordons: map[string]bool{}, aliveSince: map[netip.AddrPort]time.Time{},
		wakes: map[string]chan struct{}{}, routes: route.New(cfg.VM), reached: map[claim.Group]reachedSpan{}, reaching: map[claim.Group]bool{}, lastAnswer: map[claim.Group]time.Time{}, refusals: map[claim.Group]fenceRefusal{},
		pace: pace.New(minOrderWait, maxOrderWait), starts: newTurns(maxStarts), stops: newTurns(maxStops), hasUnowned: true,
		view: view.New(cfg.VM, cfg.Domain, now), claims: claim.New(cfg.VM, cfg.Domain, cfg.Cores, now),
	}
	d.initDemand()
	d.scheduler = owner.New(owner.Config{Limits: cfg.Limits, RemoteFactor: cfg.RemoteFactor, VerdictDelay: lossReportDelay, Log: deps.Log, OrderDelay: d.pace.Expect, Outlived: deps.Meter.ObserveOutlived,
		Lost:   func(c owner.LossCause, n int) { deps.Meter.AddLostRuns(string(c), n) },
		Speeds: cfg.Options.Speeds, Fill: cfg.Options.Fill, Shares: cfg.Options.rankShares(), Pressure: d.sharedPressure()})
	d.ctx, d.cancel = context.WithCancel(ctx)
	d.view.Links(remoteLinks)
	d.initRelays()
	d.AddSeeds(cfg.Seeds)
	deps.Meter.Gauge("cordoned_domains", "Failure domains whose endpoints get no new work.", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(len(d.cordons))
	})
	if cfg.Options.Speeds {
		d.addSpeedGauges()
	}
	d.registerRoom()
	return d
}

// Start starts the node's timers and begins to read the store.
func (d *Node) Start() {
	d.follow()
	t := d.deps.Timers
	t.OnJump(d.handlePause)
	t.After(0, d.heartbeat) // owners must be heard before this VM may claim anything
	t.Every(d.ctx, view.Period, d.heartbeat)
	t.Every(d.ctx, tickEvery, d.tick)
	t.Every(d.ctx, loadEvery, d.sendLoad)
	t.Every(d.ctx, d.cfg.Limits.Interval(), d.sendKeepalives)
}

// Close stops the node at once; call Drain first to finish its work.
func (d *Node) Close() { d.cancel() }

// Wait returns when all goroutines of a closed node have ended.
func (d *Node) Wait() { d.wg.Wait() }

func (d *Node) now() time.Time { return d.deps.Clock.Now() }

// lock takes the lock and returns the time after that, so that nothing is decided by a time from before a pause of
// this VM.
func (d *Node) lock() time.Time {
	d.mu.Lock()
	return d.now()
}

// Ready reports whether the load balancer may send callers here.
func (d *Node) Ready() bool {
	if d.leaving.Load() || d.plan.Load() == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.strained && d.hasAlternative() {
		return false
	}
	now := d.now()
	// After a loss of all VMs nobody owns endpoints for some tenths of a second. While no VM is ready the load balancer
	// sends callers to any machine, even one without power, so they are better off here, where their jobs wait for owners.
	return d.routes.Known(now) > 0 || (d.endpointsRead && now.Sub(d.began) < joinWindow && !d.claims.Deferring())
}

// handlePause handles a pause of this VM. Its peers only seemed silent, and they have given up the jobs that they
// sent here; callers submit those again elsewhere.
func (d *Node) handlePause(gap time.Duration) {
	d.log.Warn("vm was paused", "gap", gap)
	d.view.Resume(d.now())
	now := d.lock()
	defer d.mu.Unlock()
	d.scheduler.CancelMatching(now, func(k owner.Key) bool { return k.VM != d.cfg.VM }, "this VM was paused, and taken for lost")
	d.perform()
}

// AddSeeds adds VMs named in the settings, which are needed while the store is away.
func (d *Node) AddSeeds(seeds []netip.AddrPort) {
	named := make([]view.Named, 0, len(seeds))
	for _, vm := range seeds {
		named = append(named, view.Named{VM: vm})
	}
	d.view.Learn(d.now(), named...)
}

// Owns reports whether this VM owns endpoints of a failure domain; it is for tests.
func (d *Node) Owns(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, in := range d.roster.all {
		if in.Domain == domain && d.scheduler.Owned(id) {
			return true
		}
	}
	return false
}
