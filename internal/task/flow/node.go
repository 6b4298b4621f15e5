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
	// lookAgain is how soon after a refusal waiting work is looked at again.
	lookAgain = 50 * time.Millisecond
	// goneFor is how long the word that an endpoint leaves is believed and passed
	// on; the platform's list lags by less.
	goneFor = 90 * time.Second
	// retryFloor is how many retries a second there are whatever the load, retryTop how
	// many at once.
	retryFloor = 5
	retryTop   = 100
	// lead is how much slot time a tenant may be ahead of the others.
	lead = 4 * time.Second
	// quietFor is how long an endpoint may say nothing before it is asked.
	quietFor = time.Second
)

// conf is what a request reads of the document; it never changes.
type conf struct {
	rev   fold.Revision
	doc   *doc.Document
	keys  *doc.Keyring
	since time.Time
}

// Node is one entry VM's dispatcher.
type Node struct {
	cfg    Config
	parts  Parts
	ctx    context.Context //nolint:containedctx // the life of the node, not of a request
	cancel context.CancelFunc
	wg     sync.WaitGroup

	conf   atomic.Pointer[conf]
	docs   atomic.Pointer[Docs]
	table  *place.Table
	health *health.Book
	learn  learn.Book
	book   *ticket.Book
	view   *view.View
	budget *budget.Set
	quota  *quota.Book
	queues [job.Bands]*queue.Queue[*work]

	beats    atomic.Int64
	serial   atomic.Uint64
	bytes    atomic.Int64 // of submissions in progress here
	active   atomic.Int64 // submissions in progress here
	running  atomic.Int64 // attempts on endpoints
	urgent   atomic.Int64 // slots used by urgent work
	draining atomic.Bool
	looking  atomic.Bool // a later pump is on its way

	peerMu sync.Mutex // batches of tasks that peers gave

	spillMu sync.Mutex
	groups  map[uint64]*group

	callMu sync.Mutex
	calls  map[uint64]*call

	liveMu sync.Mutex
	live   map[uint64]*use // by ticket sequence

	rehomed time.Time // only the thread that follows the list uses it

	listMu sync.Mutex
	list   roster.List
	gone   map[netip.AddrPort]word // endpoints that leave
}

// New returns a node; Start sets it going.
func New(ctx context.Context, cfg Config, parts Parts) (*Node, error) {
	policy, err := place.ByName[*place.Endpoint](cfg.Policy)
	if err != nil {
		return nil, fmt.Errorf("new node: %w", err)
	}
	now := parts.Timers.Now()
	n := &Node{
		cfg: cfg, parts: parts,
		table:  place.NewTable(policy),
		health: health.New(health.Wild),
		view:   view.New(cfg.Self, cfg.Domain, now),
		quota:  quota.New(),
		budget: budget.NewSet(now, cfg.Retries, retryFloor, retryTop),
		book: ticket.NewBook(cfg.Self, cfg.Inc, cfg.Secret, ticket.Limits{
			Term: cfg.Term, Uses: cfg.Tickets, Bytes: cfg.Memory / 4,
		}),
		groups: map[uint64]*group{},
		calls:  map[uint64]*call{}, live: map[uint64]*use{},
		gone: map[netip.AddrPort]word{},
	}
	n.ctx, n.cancel = context.WithCancel(ctx)
	for b := range n.queues {
		n.queues[b] = queue.New[*work](now, queue.Order{Spread: 50, Stretch: cfg.Stretch, Lead: lead})
	}
	return n, nil
}

// Start subscribes the node to its timers.
func (n *Node) Start() {
	t := n.parts.Timers
	t.OnJump(n.jump)
	t.Every(n.ctx, view.Period, n.beat)
	t.Every(n.ctx, quietFor/2, n.probe)
}

// Close ends the node at once; Drain before it cuts nothing.
func (n *Node) Close() { n.cancel() }

// Wait returns when nothing of a closed node runs any more.
func (n *Node) Wait() { n.wg.Wait() }

func (n *Node) now() time.Time { return n.parts.Timers.Now() }

// View returns what the node believes of the other VMs.
func (n *Node) View() *view.View { return n.view }

// Incarnation returns the number of this process start.
func (n *Node) Incarnation() uint64 { return n.cfg.Inc }

// jump handles a pause of this VM: peers' silence was ours.
func (n *Node) jump(gap time.Duration) {
	n.parts.Log.Warn("vm was paused", "gap", gap)
	n.view.Resume(n.now())
}

// Learn takes over the platform's list.
func (n *Node) Learn(l roster.List) {
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
			n.gone[e.Addr] = word{at: now}
		}
	}
	n.listMu.Unlock()
	if !same || now.Sub(n.rehomed) > rehomeEvery {
		n.rehomed = now
		n.rehome()
	}
}

// rehomeEvery bounds how long words that run out with time (an endpoint that left, a
// listed VM that never spoke) stay in force under a list that doesn't change.
const rehomeEvery = 3 * time.Second

// rehome works out anew which endpoints are this VM's to send to.
func (n *Node) rehome() {
	c := n.conf.Load()
	n.listMu.Lock()
	defer n.listMu.Unlock()
	now := n.now()
	vms := n.view.Domain(now, n.draining.Load())
	infos := n.serving(c, now)
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
	n.health.Keep(slots)
	n.limits(now)
}

// serving lists the endpoints that the list, the document and what they said of
// themselves let serve; the caller holds listMu.
func (n *Node) serving(c *conf, now time.Time) (infos []place.Info) {
	for a, w := range n.gone {
		if now.Sub(w.at) > goneFor {
			delete(n.gone, a)
		}
	}
	for _, e := range n.list.Endpoints {
		if _, gone := n.gone[e.Addr]; gone || e.Leaving {
			continue
		}
		if c != nil && (slices.Contains(c.doc.Endpoints.Drain, e.Addr) || !selected(c.doc, e.Domain)) {
			continue
		}
		infos = append(infos, e.Info)
	}
	return infos
}

func selected(d *doc.Document, domain string) bool {
	return len(d.Endpoints.Domains) == 0 || slices.Contains(d.Endpoints.Domains, domain)
}

// limits takes over the health book's verdicts, which change with time.
func (n *Node) limits(now time.Time) {
	for _, e := range n.table.Mine() {
		e.SetLimit(n.health.Limit(now, e.Addr))
		e.SetSlow(n.health.Slow(e.Addr))
	}
}

// word that an endpoint leaves. Only what was heard from the endpoint itself is
// passed on: two VMs that pass on each other's word would never forget it.
type word struct {
	at    time.Time
	first bool // heard from the endpoint
}

// leave stops work to an endpoint at once and tells the peers by the next beat.
func (n *Node) leave(a netip.AddrPort, by string, first bool) {
	n.listMu.Lock()
	_, known := n.gone[a]
	n.gone[a] = word{at: n.now(), first: first}
	n.listMu.Unlock()
	if e := n.table.Find(a); e != nil {
		e.Leave()
	}
	if !known {
		n.parts.Log.Info("endpoint leaves", "endpoint", a, "by", by)
		n.rehome()
	}
}

// probe asks endpoints that have said nothing for a while whether they leave or
// are there at all, so that no caller's task has to find out.
func (n *Node) probe() {
	now := n.now()
	for _, e := range n.table.Mine() {
		if e.Busy() > 0 || e.Leaving() {
			continue
		}
		if e.Quiet(now, quietFor) {
			e.Hear(now) // asked is as good as heard until the answer
			n.wg.Go(func() { n.ask(e) })
		}
	}
}

func (n *Node) ask(e *place.Endpoint) {
	ctx, cancel := context.WithTimeout(n.ctx, quietFor)
	defer cancel()
	n.parts.Meter.Waste(meterProbe, 1)
	leaving, err := n.parts.Runner.Ask(ctx, e.Addr)
	switch {
	case n.ctx.Err() != nil:
	case err != nil:
		n.parts.Log.Info("endpoint unreachable", "endpoint", e.Addr, "err", err)
		e.SetLimit(n.health.Note(n.now(), health.Report{Addr: e.Addr, End: health.Unreachable}))
	case leaving:
		n.leave(e.Addr, "probe", true)
	default:
		n.health.Reached(e.Addr)
		e.SetLimit(n.health.Limit(n.now(), e.Addr))
		n.pump()
	}
}

// Waiting is the number of tasks that have not started.
func (n *Node) Waiting() (k int) {
	for _, q := range n.queues {
		k += q.Tasks()
	}
	return k
}

// name makes an attempt's identifier, unique over all VMs and incarnations.
func (n *Node) name() string {
	return n.cfg.Self.String() + "/" + strconv.FormatUint(n.cfg.Inc, 36) + "/" + strconv.FormatUint(n.serial.Add(1), 36)
}
