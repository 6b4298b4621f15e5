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
	// planTimeout and rosterTimeout are how long a VM waits for updates from its domain's reader before it reads itself:
	// somewhat longer than the pause between two reads.
	planTimeout   = 1100 * time.Millisecond
	rosterTimeout = time.Second
)

// initRelays sets up the topics that one VM of a failure domain reads for all.
func (d *Node) initRelays() {
	d.plans = (&feed.Relay[plan.Decl]{
		Source: d.deps.Plans, IsReader: d.isReader, Share: d.sharePlans, PostTimeout: d.readerTimeout(planTimeout), OnFallback: d.logReaderSilent("plan"), OnCall: d.storeReached,
		Equal:       plan.Decl.Same,
		RequestCopy: func() bool { return d.requestCopy(frame.SnapshotRequest{Plans: true}) }, KeepWaiting: func(time.Duration) bool { return false },
	}).Init()
	d.endpoints = (&feed.Relay[lease.Info]{
		Source: d.deps.Endpoints, IsReader: d.isReader, Share: d.shareEndpoints, PostTimeout: d.readerTimeout(rosterTimeout), OnFallback: d.logReaderSilent("endpoints"), Equal: lease.Info.Same, OnCall: d.storeReached,
		RequestCopy: func() bool { return d.requestCopy(frame.SnapshotRequest{Endpoints: true}) }, KeepWaiting: d.waitsForCopy,
	}).Init()
}

// isReader reports whether this VM reads the store for its failure domain: it ranks first by rendezvous hashing among
// the VMs heard there.
func (d *Node) isReader() bool {
	first := d.isFirstReader()
	if d.reading.Swap(first) != first {
		d.log.Info("store reader of the failure domain", "by", d.cfg.VM, "active", first)
	}
	return first
}

func (d *Node) isFirstReader() bool { return d.readerRank() == 0 }

// readerRank returns how many VMs of the failure domain precede this one as its reader.
func (d *Node) readerRank() int {
	return d.rankAmong(func(m *view.Member) bool { return m.State == view.Alive })
}

// rankAmong is readerRank among the VMs for which counts returns true.
func (d *Node) rankAmong(counts func(*view.Member) bool) (n int) {
	mine := reader{d.cfg.VM, d.storeless.Load()}
	for _, m := range d.view.Members() {
		if m.Domain == d.cfg.Domain && counts(m) && (reader{m.VM, m.Beat.Storeless}).before(mine, d.cfg.Domain) {
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

// before reports whether r precedes o as the reader of a domain.
//
// A VM that can't reach the store ranks last. If it stayed the reader, the others would repeatedly get no updates for a
// second until one of them reads in its place, and it would get none of what they read. The log would show "no updates
// from the store's reader" many times, and orders would go to endpoints that left long ago.
func (r reader) before(o reader, domain string) bool {
	if r.storeless != o.storeless {
		return o.storeless
	}
	return r.weight(domain) > o.weight(domain)
}

func (r reader) weight(domain string) uint64 { return xxhash.Sum64String(domain + "|" + r.vm.String()) }

// storeReached records whether the store answered this VM.
func (d *Node) storeReached(ok bool) {
	if d.storeless.Swap(!ok) == ok {
		d.log.Info("store reachable", "by", d.cfg.VM, "ok", ok)
	}
}

// isExpected reports whether a VM is heard, or may be starting at the same time as this one.
func (d *Node) isExpected(m *view.Member) bool {
	return m.State == view.Alive || (m.State == view.Listed && !d.deps.Mesh.Absent(m.VM))
}

const (
	// rankStep is how much longer each VM waits for updates than the one before it in rank: longer than most reads take.
	// From maxRank on the wait no longer grows.
	rankStep = 50 * time.Millisecond
	maxRank  = 10
)

// readerTimeout returns how long this VM waits for updates from the reader.
func (d *Node) readerTimeout(least time.Duration) func() time.Duration {
	return func() time.Duration { return least + time.Duration(min(d.readerRank(), maxRank))*rankStep }
}

// logReaderSilent logs that this VM reads in place of the silent reader.
func (d *Node) logReaderSilent(feed string) func(from int64) {
	return func(from int64) {
		d.log.Info("no updates from the store's reader", "feed", feed, "from", from, "place", d.readerRank())
	}
}

// neighbours returns the VMs of this one's failure domain that are heard or have just left.
func (d *Node) neighbours() (to []netip.AddrPort) {
	for _, m := range d.view.Members() {
		if m.Domain == d.cfg.Domain && (m.State == view.Alive || m.State == view.Left) {
			to = append(to, m.VM)
		}
	}
	return to
}

func (d *Node) sharePlans(p feed.Post[plan.Decl]) { d.deps.Mesh.SendAll(d.neighbours(), planFrame(p)) }

func planFrame(p feed.Post[plan.Decl]) *frame.PlanUpdate {
	m := &frame.PlanUpdate{From: p.From, To: p.To, Whole: p.Whole}
	for _, u := range p.Updates {
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
	d.deps.Mesh.SendAll(d.neighbours(), rosterFrame(p))
}

func rosterFrame(p feed.Post[lease.Info]) *frame.EndpointUpdate {
	m := &frame.EndpointUpdate{From: p.From, To: p.To, Whole: p.Whole}
	for _, u := range p.Updates {
		switch {
		case u.Gone, u.Err != nil:
			m.Gone = append(m.Gone, u.Key)
		default:
			m.All = append(m.All, u.Value)
		}
	}
	return m
}

// receivePlans applies what another VM read of the configuration.
func (d *Node) receivePlans(from netip.AddrPort, m *frame.PlanUpdate) {
	if m.Whole {
		d.log.Info("configuration copy received", "by", from, "at", m.To, "documents", len(m.All), "cordons", m.Cordons)
	}
	p := feed.Post[plan.Decl]{From: m.From, To: m.To, Whole: m.Whole}
	add := func(v plan.Decl) { p.Updates = append(p.Updates, feed.Update[plan.Decl]{Key: v.Key(), Value: v}) }
	for i := range m.All {
		add(plan.Decl{Plan: &m.All[i]})
	}
	for _, domain := range m.Cordons {
		add(plan.Decl{Cordon: domain})
	}
	for _, key := range m.Gone {
		p.Updates = append(p.Updates, feed.Update[plan.Decl]{Key: key, Gone: true})
	}
	d.plans.Deliver(p)
}

// receiveEndpoints applies what another VM read of the endpoints.
func (d *Node) receiveEndpoints(from netip.AddrPort, m *frame.EndpointUpdate) {
	if m.Whole {
		d.log.Info("endpoints copy received", "by", from, "at", m.To, "endpoints", len(m.All))
	}
	p := feed.Post[lease.Info]{From: m.From, To: m.To, Whole: m.Whole}
	for _, in := range m.All {
		p.Updates = append(p.Updates, feed.Update[lease.Info]{Key: in.ID, Value: in})
	}
	for _, id := range m.Gone {
		p.Updates = append(p.Updates, feed.Update[lease.Info]{Key: id, Gone: true})
	}
	d.endpoints.Deliver(p)
}

const (
	// largeFleet is the number of VMs from which not every VM reads the store when it starts: their endpoints are some
	// 100 KB, and many may start at once.
	largeFleet = 32
	// vmsWait is how long a starting VM waits to learn which VMs there are, which takes one call to the store. While it
	// does not know, it then waits for a copy until maxVMsWait.
	vmsWait    = 100 * time.Millisecond
	maxVMsWait = 300 * time.Millisecond
	// ownerCopyWait is how long a starting VM waits for a copy while it hears an owner of endpoints, which has one.
	ownerCopyWait = time.Second
	// readerWait is how long a starting VM waits for a copy while it hears no owner, if it is one of the initialReaders of
	// its failure domain; by then it has heard any live VM. othersWait is how long the other VMs wait. After a loss of all
	// VMs nobody has a copy: 38 VMs that waited a second for one owned all endpoints only 1.5 s after their start, and
	// served next to nothing until then.
	readerWait = 60 * time.Millisecond
	othersWait = 300 * time.Millisecond
	// waitPerVM is the least wait of the others for each VM of the fleet. With 300 VMs the initialReaders take half a
	// second to read 3,000 endpoints at 25 Mbit/s; if all others read too by then, the store takes five seconds to serve them.
	waitPerVM      = 3 * time.Millisecond
	initialReaders = 2
	// rereadDelay is when a VM that starts for the first time reads the entry VMs again: all are started within some
	// tenths of a second. It waits for a copy until then, at most maxRereadWait, about three calls to a slow store.
	rereadDelay   = 150 * time.Millisecond
	maxRereadWait = time.Second
)

// awaitVMs waits for the store's first answer on the entry VMs, up to vmsWait.
func (d *Node) awaitVMs() {
	t := time.NewTimer(vmsWait)
	defer t.Stop()
	select {
	case <-d.vmsRead:
	case <-t.C:
	case <-d.ctx.Done():
	}
}

// haveVMs reports whether the store's first answer on the entry VMs has arrived.
func (d *Node) haveVMs() bool {
	select {
	case <-d.vmsRead:
		return true
	default:
		return false
	}
}

// waitsForCopy reports whether a VM that knows no endpoints waits for another VM's copy.
//
// The number of VMs alone can't decide this. When all start for the first time, each learns of those registered before
// it, so the first half takes the fleet for small and reads all endpoints from the store; with a slow store all VMs do,
// before they learn of any other. So a VM that the store did not know waits anyway: nobody depends on it yet.
func (d *Node) waitsForCopy(after time.Duration) bool {
	d.awaitVMs()
	switch {
	case !d.haveVMs() && after < maxVMsWait:
		return true
	case d.firstStart.Load() && !d.vmsReread.Load() && after < maxRereadWait:
		return true
	}
	if d.vmsReadAfter == 0 {
		d.vmsReadAfter = after
	}
	storeTime := d.vmsReadAfter // the VM that reads the endpoints now needs about as long for its call to the store
	after -= d.vmsReadAfter
	all := d.view.Members()
	switch {
	case len(all) < largeFleet:
		return false
	case slices.ContainsFunc(all, ownsEndpoints):
		return after < ownerCopyWait
	case d.rankAmong(d.isExpected) < initialReaders:
		return after < readerWait
	default:
		return after < max(othersWait, waitPerVM*time.Duration(len(all)))+storeTime
	}
}

// ownsEndpoints reports whether a VM is heard and owns endpoints.
func ownsEndpoints(m *view.Member) bool { return m.State == view.Alive && len(m.Beat.Claims) > 0 }

// requestCopy asks one of the VMs that are heard for a copy: preferably an owner of endpoints, then one of the own
// failure domain. It reports whether there was one to ask.
func (d *Node) requestCopy(m frame.SnapshotRequest) bool {
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
		if ownsEndpoints(p) {
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
	_ = d.deps.Mesh.Send(best[rand.N(len(best))], &m) // the request is repeated
	return true
}

// sendCopy answers a VM that asks for a copy, later if this VM has none yet: after a loss of all VMs most are asked
// before they know anything.
func (d *Node) sendCopy(to netip.AddrPort, m *frame.SnapshotRequest) {
	if m.Plans {
		if p, ok := d.plans.Copy(); ok {
			d.deps.Mesh.SendAll([]netip.AddrPort{to}, planFrame(p))
		}
	}
	if !m.Endpoints {
		return
	}
	p, ok := d.endpoints.Copy()
	if ok {
		d.deps.Mesh.SendAll([]netip.AddrPort{to}, rosterFrame(p))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(d.askers, to) {
		d.askers = append(d.askers, to)
	}
}

// answerAskers sends the endpoints to the VMs that asked before they were known here.
func (d *Node) answerAskers() {
	d.mu.Lock()
	to := d.askers
	d.askers = nil
	d.mu.Unlock()
	if len(to) == 0 {
		return // copying 540 endpoints every 0.4 s was half of a VM's allocations
	}
	if p, ok := d.endpoints.Copy(); ok {
		d.deps.Mesh.SendAll(to, rosterFrame(p))
	}
}
