package flow

import (
	"context"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/fold"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/plat/roster"
	"dahliawinch/internal/task/budget"
	"dahliawinch/internal/task/health"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/learn"
	"dahliawinch/internal/task/place"
	"dahliawinch/internal/task/queue"
	"dahliawinch/internal/task/quota"
	"dahliawinch/internal/task/ticket"
)

const (
	// refusalBackoff is the delay between an endpoint's refusal and the next pump.
	refusalBackoff = 50 * time.Millisecond
	// leaveTTL is how long a leave notice stays valid and is sent to peers; the
	// platform's list lags by less.
	leaveTTL = 90 * time.Second
	// minRetryRate is the number of retries per second allowed at any load,
	// retryBurst the number allowed at once.
	minRetryRate = 5
	retryBurst   = 100
	// maxLead is the slot time per weight that a tenant may be ahead of the least served one.
	maxLead = 4 * time.Second
	// probeAfter is the silence after which an endpoint is probed.
	probeAfter = time.Second
)

// conf is an immutable snapshot of the document in force, read by requests.
type conf struct {
	rev   fold.Revision
	doc   *doc.Document
	keys  *doc.Keyring
	since time.Time
}

// Node is the dispatcher of one entry VM.
type Node struct {
	cfg    Config
	deps   Deps
	ctx    context.Context //nolint:containedctx // the lifetime of the node, not of a request
	cancel context.CancelFunc
	wg     sync.WaitGroup

	conf      atomic.Pointer[conf]
	revisions atomic.Pointer[RevisionStore]
	table     *place.Table
	health    *health.Tracker
	learn     learn.Estimator
	tickets   *ticket.Store
	view      *view.View
	budget    *budget.Set
	quota     *quota.Limiter
	queues    [job.Bands]*queue.Queue[*work]

	beats       atomic.Int64
	serial      atomic.Uint64
	bytes       atomic.Int64 // of the submissions in progress here
	active      atomic.Int64 // submissions in progress here
	running     atomic.Int64 // attempts on endpoints
	urgent      atomic.Int64 // slots in use by urgent work
	draining    atomic.Bool
	pumpPending atomic.Bool // a delayed pump is scheduled

	peerMu sync.Mutex // guards the batches of tasks from peers

	spillMu sync.Mutex
	groups  map[uint64]*group

	callMu sync.Mutex
	calls  map[uint64]*call

	ticketMu   sync.Mutex
	ticketRuns map[uint64]*ticketRun // by ticket sequence

	lastRehome time.Time // used only by the goroutine that calls UpdateRoster

	listMu  sync.Mutex
	list    roster.List
	leaving map[netip.AddrPort]leaveNotice // endpoints that announced their leave
}

// New returns a node that Start activates.
func New(ctx context.Context, cfg Config, deps Deps) (*Node, error) {
	policy, err := place.ByName[*place.Endpoint](cfg.Policy)
	if err != nil {
		return nil, fmt.Errorf("new node: %w", err)
	}
	now := deps.Timers.Now()
	n := &Node{
		cfg: cfg, deps: deps,
		table:  place.NewTable(policy),
		health: health.New(health.NoisyGain),
		view:   view.New(cfg.Self, cfg.Domain, now),
		quota:  quota.New(),
		budget: budget.NewSet(now, cfg.RetryRatio, minRetryRate, retryBurst),
		tickets: ticket.NewStore(cfg.Self, cfg.Inc, cfg.Secret, ticket.Limits{
			Term: cfg.TicketTerm, Uses: cfg.MaxTickets, Bytes: cfg.Memory / 4,
		}),
		groups: map[uint64]*group{},
		calls:  map[uint64]*call{}, ticketRuns: map[uint64]*ticketRun{},
		leaving: map[netip.AddrPort]leaveNotice{},
	}
	n.ctx, n.cancel = context.WithCancel(ctx)
	for b := range n.queues {
		n.queues[b] = queue.New[*work](now, queue.Order{Spread: 50, Stretch: cfg.SizeWeight, Lead: maxLead})
	}
	return n, nil
}

// Start registers the node's timers.
func (n *Node) Start() {
	t := n.deps.Timers
	t.OnJump(n.handlePause)
	t.Every(n.ctx, view.Period, n.beat)
	t.Every(n.ctx, probeAfter/2, n.probeQuiet)
}

// Close stops the node at once. Call Drain first to let running jobs finish.
func (n *Node) Close() { n.cancel() }

// Wait returns once all goroutines of a closed node have ended.
func (n *Node) Wait() { n.wg.Wait() }

func (n *Node) now() time.Time { return n.deps.Timers.Now() }

// View returns the node's view of the other VMs.
func (n *Node) View() *view.View { return n.view }

// Incarnation returns the number that identifies this start of the process.
func (n *Node) Incarnation() uint64 { return n.cfg.Inc }

// handlePause handles a pause of this VM: the silence of peers during it doesn't count.
func (n *Node) handlePause(gap time.Duration) {
	n.deps.Log.Warn("vm was paused", "gap", gap)
	n.view.Resume(n.now())
}

// UpdateRoster applies a new version of the platform's list.
func (n *Node) UpdateRoster(l roster.List) {
	now := n.now()
	var vms []view.Named
	for _, v := range l.VMs {
		if !v.Leaving {
			vms = append(vms, view.Named{VM: v.Mesh, Domain: v.Domain})
		}
	}
	n.view.Learn(now, vms...)
	n.view.Forget(now, func(vm netip.AddrPort) bool {
		return slices.ContainsFunc(vms, func(v view.Named) bool { return v.VM == vm })
	})
	n.listMu.Lock()
	same := reflect.DeepEqual(n.list, l)
	n.list = l
	for _, e := range l.Endpoints {
		if e.Leaving {
			n.leaving[e.Addr] = leaveNotice{at: now}
		}
	}
	n.listMu.Unlock()
	if !same || now.Sub(n.lastRehome) > rehomePeriod {
		n.lastRehome = now
		n.rehome()
	}
}

// rehomePeriod is the longest time between rehomes while the list doesn't change, so
// that expired states (a leave notice, a listed VM that never spoke) take effect.
const rehomePeriod = 3 * time.Second

// rehome recomputes which endpoints this VM sends to.
func (n *Node) rehome() {
	c := n.conf.Load()
	n.listMu.Lock()
	defer n.listMu.Unlock()
	now := n.now()
	vms := n.view.Domain(now, n.draining.Load())
	infos := n.servingEndpoints(c, now)
	slots := map[netip.AddrPort]int{}
	n.table.Update(now, infos, func(in place.Info) bool {
		if in.Domain != n.cfg.Domain {
			return false
		}
		if n.cfg.Policy == place.Homes && place.Home(in.Addr, vms) != n.cfg.Self {
			return false
		}
		slots[in.Addr] = in.Slots
		return true
	})
	n.health.SetEndpoints(slots)
	n.applyHealth(now)
}

// servingEndpoints returns the listed endpoints that neither leave nor are excluded
// by the document; the caller holds listMu.
func (n *Node) servingEndpoints(c *conf, now time.Time) (infos []place.Info) {
	for a, notice := range n.leaving {
		if now.Sub(notice.at) > leaveTTL {
			delete(n.leaving, a)
		}
	}
	for _, e := range n.list.Endpoints {
		if _, gone := n.leaving[e.Addr]; gone || e.Leaving {
			continue
		}
		if c != nil && (slices.Contains(c.doc.Endpoints.Drain, e.Addr) || !domainSelected(c.doc, e.Domain)) {
			continue
		}
		infos = append(infos, e.Info)
	}
	return infos
}

func domainSelected(d *doc.Document, domain string) bool {
	return len(d.Endpoints.Domains) == 0 || slices.Contains(d.Endpoints.Domains, domain)
}

// applyHealth sets each endpoint's slot limit and slow flag, which change with time.
func (n *Node) applyHealth(now time.Time) {
	for _, e := range n.table.Own() {
		e.SetLimit(n.health.Limit(now, e.Addr))
		e.SetSlowness(n.health.Slowness(e.Addr))
	}
}

// leaveNotice records that an endpoint leaves. Only notices from the endpoint itself
// are sent to peers: two VMs that repeat each other's notices would never expire them.
type leaveNotice struct {
	at     time.Time
	direct bool // received from the endpoint itself
}

// markLeaving stops new work to an endpoint at once; the next heartbeat carries a
// direct notice to peers.
func (n *Node) markLeaving(a netip.AddrPort, by string, direct bool) {
	n.listMu.Lock()
	_, known := n.leaving[a]
	n.leaving[a] = leaveNotice{at: n.now(), direct: direct}
	n.listMu.Unlock()
	if e := n.table.Find(a); e != nil {
		e.MarkLeaving()
	}
	if !known {
		n.deps.Log.Info("endpoint leaves", "endpoint", a, "by", by)
		n.rehome()
	}
}

// probeQuiet probes endpoints that were silent for a while, so that no caller's task
// is the first to meet one that leaves or can't be reached.
func (n *Node) probeQuiet() {
	now := n.now()
	for _, e := range n.table.Own() {
		if e.Busy() > 0 || e.Leaving() {
			continue
		}
		if e.SilentFor(now, probeAfter) {
			e.Answered(now) // delays the next probe until this one has ended
			n.wg.Go(func() { n.probeEndpoint(e) })
		}
	}
}

func (n *Node) probeEndpoint(e *place.Endpoint) {
	ctx, cancel := context.WithTimeout(n.ctx, probeAfter)
	defer cancel()
	n.deps.Meter.AddWasted(meterProbe, 1)
	leaving, err := n.deps.Runner.Probe(ctx, e.Addr)
	switch {
	case n.ctx.Err() != nil:
	case err != nil:
		n.deps.Log.Info("endpoint unreachable", "endpoint", e.Addr, "err", err)
		e.SetLimit(n.health.Record(n.now(), health.Report{Addr: e.Addr, End: health.Unreachable}))
	case leaving:
		n.markLeaving(e.Addr, "probe", true)
	default:
		n.health.Reached(e.Addr)
		e.SetLimit(n.health.Limit(n.now(), e.Addr))
		n.pump()
	}
}

// Waiting returns the number of tasks that have not started.
func (n *Node) Waiting() (k int) {
	for _, q := range n.queues {
		k += q.Tasks()
	}
	return k
}

// attemptID returns a new ID that is unique over all VMs and incarnations.
func (n *Node) attemptID() string {
	return n.cfg.Self.String() + "/" + strconv.FormatUint(n.cfg.Inc, 36) + "/" + strconv.FormatUint(n.serial.Add(1), 36)
}
