package serve

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dahliawinch/internal/conf/plan"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/plat/feed"
	"dahliawinch/internal/task/lease"
)

const (
	// planPatience is how long a VM does without word of the one that reads for it, and
	// rosterPatience the same for the endpoints: somewhat longer than the pause between.
	planPatience   = 1100 * time.Millisecond
	rosterPatience = time.Second
)

// relay prepares the topics that one VM of a failure domain reads for all.
func (d *Node) relay() {
	d.plans = (&feed.Relay[plan.Decl]{
		Source: d.parts.Plans, Reads: d.reads, Share: d.sharePlans, Patience: d.patience(planPatience), Alone: d.alone("plan"), Reached: d.storeReached,
		Same: plan.Decl.Same,
		Ask:  func() bool { return d.ask(frame.Ask{Plans: true}) }, Waits: func(time.Duration) bool { return false },
	}).Init()
	d.eps = (&feed.Relay[lease.Info]{
		Source: d.parts.Endpoints, Reads: d.reads, Share: d.shareEndpoints, Patience: d.patience(rosterPatience), Alone: d.alone("endpoints"), Same: lease.Info.Same, Reached: d.storeReached,
		Ask: func() bool { return d.ask(frame.Ask{Endpoints: true}) }, Waits: d.waitsForCopy,
	}).Init()
}

// reads reports whether this VM reads for its failure domain: the first by rendezvous
// hashing of those that are heard there.
func (d *Node) reads() bool {
	first := d.first()
	if d.reading.Swap(first) != first {
		d.log.Info("store read for the failure domain", "by", d.cfg.VM, "now", first)
	}
	return first
}

func (d *Node) first() bool { return d.place() == 0 }

// place is how many VMs of the failure domain come before this one as its reader.
func (d *Node) place() int {
	return d.placeAmong(func(m *view.Member) bool { return m.State == view.Alive })
}

// placeAmong is the same among the VMs that are there as far as one believes.
func (d *Node) placeAmong(there func(*view.Member) bool) (n int) {
	mine := reader{d.cfg.VM, d.storeless.Load()}
	for _, m := range d.view.Members() {
		if m.Domain == d.cfg.Domain && there(m) && (reader{m.VM, m.Beat.Storeless}).before(mine, d.cfg.Domain) {
			n++
		}
	}
	return n
}

// reader is a VM that may read the store for its failure domain.
type reader struct {
	vm        netip.AddrPort
	storeless bool // its last call to the store failed
}

// before reports whether a VM rather than another one reads.
//
// What goes wrong if one that the store turns away goes on as its domain's reader: the others hear
// nothing for a second, then one of them reads in its place, each time anew; and it hears none of
// what they read. One notices "no word of the store's reader" in bunches, and orders to endpoints
// that left long ago.
func (r reader) before(o reader, domain string) bool {
	if r.storeless != o.storeless {
		return o.storeless
	}
	return r.weight(domain) > o.weight(domain)
}

func (r reader) weight(domain string) uint64 { return xxhash.Sum64String(domain + "|" + r.vm.String()) }

// storeReached takes in whether the store answered this VM.
func (d *Node) storeReached(ok bool) {
	if d.storeless.Swap(!ok) == ok {
		d.log.Info("store reached", "by", d.cfg.VM, "ok", ok)
	}
}

// awaited reports whether a VM is heard, or may start at the same time as this one.
func (d *Node) awaited(m *view.Member) bool {
	return m.State == view.Alive || (m.State == view.Listed && !d.parts.Mesh.Absent(m.VM))
}

const (
	// placeStep is how much longer the next VM waits for posts than the one before: longer
	// than a read mostly takes. After mostPlaces no VM waits longer.
	placeStep  = 50 * time.Millisecond
	mostPlaces = 10
)

// patience is how long this VM does without posts.
func (d *Node) patience(least time.Duration) func() time.Duration {
	return func() time.Duration { return least + time.Duration(min(d.place(), mostPlaces))*placeStep }
}

// alone logs that this VM reads in place of the one that should.
func (d *Node) alone(feed string) func(from int64) {
	return func(from int64) {
		d.log.Info("no word of the store's reader", "feed", feed, "from", from, "place", d.place())
	}
}

// neighbours are the VMs of this one's failure domain that are heard.
func (d *Node) neighbours() (to []netip.AddrPort) {
	for _, m := range d.view.Members() {
		if m.Domain == d.cfg.Domain && (m.State == view.Alive || m.State == view.Left) {
			to = append(to, m.VM)
		}
	}
	return to
}

func (d *Node) sharePlans(p feed.Post[plan.Decl]) { d.parts.Mesh.Spread(d.neighbours(), planFrame(p)) }

func planFrame(p feed.Post[plan.Decl]) *frame.Planned {
	m := &frame.Planned{From: p.From, To: p.To, Whole: p.Whole}
	for _, u := range p.All {
		switch {
		case u.Gone:
			m.Gone = append(m.Gone, u.Key)
		case u.Err != nil: // the neighbours keep what they know
		case u.Value.Cordon != "":
			m.Cordons = append(m.Cordons, u.Value.Cordon)
		case u.Value.Plan != nil:
			m.All = append(m.All, *u.Value.Plan)
		}
	}
	return m
}

func (d *Node) shareEndpoints(p feed.Post[lease.Info]) {
	d.parts.Mesh.Spread(d.neighbours(), rosterFrame(p))
}

func rosterFrame(p feed.Post[lease.Info]) *frame.Listed {
	m := &frame.Listed{From: p.From, To: p.To, Whole: p.Whole}
	for _, u := range p.All {
		switch {
		case u.Gone, u.Err != nil:
			m.Gone = append(m.Gone, u.Key)
		default:
			m.All = append(m.All, u.Value)
		}
	}
	return m
}

// plannedBy takes in what another VM read of the configuration.
func (d *Node) plannedBy(from netip.AddrPort, m *frame.Planned) {
	if m.Whole {
		d.log.Info("copy of the configuration", "by", from, "at", m.To, "documents", len(m.All), "cordons", m.Cordons)
	}
	p := feed.Post[plan.Decl]{From: m.From, To: m.To, Whole: m.Whole}
	add := func(v plan.Decl) { p.All = append(p.All, feed.Update[plan.Decl]{Key: v.Key(), Value: v}) }
	for i := range m.All {
		add(plan.Decl{Plan: &m.All[i]})
	}
	for _, domain := range m.Cordons {
		add(plan.Decl{Cordon: domain})
	}
	for _, key := range m.Gone {
		p.All = append(p.All, feed.Update[plan.Decl]{Key: key, Gone: true})
	}
	d.plans.Deliver(p)
}

// listedBy takes in what another VM read of the endpoints.
func (d *Node) listedBy(from netip.AddrPort, m *frame.Listed) {
	if m.Whole {
		d.log.Info("copy of the endpoints", "by", from, "at", m.To, "endpoints", len(m.All))
	}
	p := feed.Post[lease.Info]{From: m.From, To: m.To, Whole: m.Whole}
	for _, in := range m.All {
		p.All = append(p.All, feed.Update[lease.Info]{Key: in.ID, Value: in})
	}
	for _, id := range m.Gone {
		p.All = append(p.All, feed.Update[lease.Info]{Key: id, Gone: true})
	}
	d.eps.Deliver(p)
}

const (
	// largeFleet is how many VMs make reading the store at every start too dear: the
	// endpoints of so many are some 100 KB, and many may start at once.
	largeFleet = 32
	// namedWait is how long a start waits to learn how many VMs there are, which is one
	// call to the store, and namedMost how long it then waits for a copy while it does not know.
	namedWait = 100 * time.Millisecond
	namedMost = 300 * time.Millisecond
	// ownedWait is how long a VM that starts waits for a copy while it hears an owner of
	// endpoints, which has one.
	ownedWait = time.Second
	// firstWait is how long it waits else if it is one of firstReaders of its failure domain,
	// by when a VM that lives was heard, and massWait how long the others do. After a loss of
	// all VMs nobody has a copy: 38 VMs that waited a second for one owned all endpoints 1.5 s
	// after their start, and served next to nothing until then.
	firstWait = 60 * time.Millisecond
	massWait  = 300 * time.Millisecond
	// massShare is how much longer for each VM beyond that: the first readers of 300 take half a second
	// to read 3,000 endpoints through 25 Mbit/s, and if all others read as well then, the store
	// gives them what they ask for in five.
	massShare    = 3 * time.Millisecond
	firstReaders = 2
	// freshLook is when a VM that starts for the first time reads anew which others there are:
	// all are started within some tenths of a second. It waits for that as long as a slow store
	// takes for three calls, freshWait at most.
	freshLook = 150 * time.Millisecond
	freshWait = time.Second
)

// awaitNamed waits for the store's first answer on the entry VMs, up to namedWait.
func (d *Node) awaitNamed() {
	t := time.NewTimer(namedWait)
	defer t.Stop()
	select {
	case <-d.named:
	case <-t.C:
	case <-d.ctx.Done():
	}
}

// isNamed reports whether the store's first answer on the entry VMs has come.
func (d *Node) isNamed() bool {
	select {
	case <-d.named:
		return true
	default:
		return false
	}
}

// waitsForCopy reports whether a VM that knows no endpoints waits for another's copy.
//
// What goes wrong if only the number of VMs decides: when all start for the first time, each learns
// of those that were registered before it; the first half takes the fleet for small and reads all
// endpoints of the store; and with a slow store all do, before they are told of any. A VM that the
// store did not know has time: nobody counts on it yet.
func (d *Node) waitsForCopy(after time.Duration) bool {
	d.awaitNamed()
	switch {
	case !d.isNamed() && after < namedMost:
		return true
	case d.fresh.Load() && !d.looked.Load() && after < freshWait:
		return true
	}
	if d.asked == 0 {
		d.asked = after
	}
	slow := d.asked // whoever reads the endpoints now waits for the store about as long again
	after -= d.asked
	all := d.view.Members()
	switch {
	case len(all) < largeFleet:
		return false
	case slices.ContainsFunc(all, owns):
		return after < ownedWait
	case d.placeAmong(d.awaited) < firstReaders:
		return after < firstWait
	default:
		return after < max(massWait, massShare*time.Duration(len(all)))+slow
	}
}

// owns reports whether a VM is heard that owns endpoints.
func owns(m *view.Member) bool { return m.State == view.Alive && len(m.Beat.Claims) > 0 }

// ask asks a VM that is heard for a copy: one that owns endpoints, of the own failure domain if
// there is one. It reports whether there was one to ask.
func (d *Node) ask(m frame.Ask) bool {
	var best []netip.AddrPort
	top := 0
	for _, p := range d.view.Members() {
		if p.State != view.Alive && p.State != view.Left {
			continue
		}
		rank := 1
		if p.Domain == d.cfg.Domain {
			rank++
		}
		if owns(p) {
			rank += 2
		}
		if rank > top {
			best, top = nil, rank
		}
		if rank == top {
			best = append(best, p.VM)
		}
	}
	if top == 0 {
		return false
	}
	_ = d.parts.Mesh.Cast(best[rand.N(len(best))], &m) // it is asked again
	return true
}

// tellCopy answers a VM that asks for a copy. One that has none yet answers once it has: after a
// loss of all VMs most are asked before they know anything.
func (d *Node) tellCopy(to netip.AddrPort, m *frame.Ask) {
	if m.Plans {
		if p, ok := d.plans.Copy(); ok {
			d.parts.Mesh.Spread([]netip.AddrPort{to}, planFrame(p))
		}
	}
	if !m.Endpoints {
		return
	}
	p, ok := d.eps.Copy()
	if ok {
		d.parts.Mesh.Spread([]netip.AddrPort{to}, rosterFrame(p))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(d.askers, to) {
		d.askers = append(d.askers, to)
	}
}

// tellAskers answers the VMs that asked for the endpoints before they were known here.
func (d *Node) tellAskers() {
	d.mu.Lock()
	to := d.askers
	d.askers = nil
	d.mu.Unlock()
	if len(to) == 0 {
		return // a copy of 540 endpoints each 0.4 s was half of all that a VM allocated
	}
	if p, ok := d.eps.Copy(); ok {
		d.parts.Mesh.Spread(to, rosterFrame(p))
	}
}
