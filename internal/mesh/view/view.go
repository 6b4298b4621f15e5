package view

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/mesh/frame"
)

// Times of the view.
const (
	// Period is the time between heartbeats inside a failure domain.
	Period = 100 * time.Millisecond
	// Far is how many times longer heartbeats and patience are between failure
	// domains: there are many more such pairs, and none shares slots.
	Far = 3
	// mostLinks is how many links a VM has by its own choice where its failure domain is large, but
	// for leastFar to others, which are needed to see a domain that is lost.
	mostLinks = 64
	leastFar  = 12
	// FarLinks is how many VMs of other failure domains a VM keeps links to by its
	// own choice; about as many choose it.
	FarLinks = 6
	// largeDomain is the size from which a failure domain's heartbeats go as seldom as
	// between domains: each VM sends one to all others, and with 75 VMs these are most of
	// all messages.
	largeDomain = 32
	// suspectAfter is the silence after which a member gets no more work.
	suspectAfter = 5 * Period
	// goneAfter is the silence after which it is gone if a witness agrees.
	goneAfter = 10 * Period
	// aloneAfter is the silence after which it is gone without any witness.
	aloneAfter = 30 * Period
	// skewDrift is how far two VMs' clocks may drift apart in a second.
	skewDrift = time.Millisecond
)

// Change is something that the other parts must act on.
type Change struct {
	VM    netip.AddrPort
	Inc   uint64
	State State
	// Reborn is set when a new incarnation took the place of one that was there:
	// whatever was given to the old one is lost.
	Reborn bool
}

// View follows the members; a request reads a snapshot and takes no lock.
//
// What may go wrong: one bad link makes a VM drop a healthy peer, whose endpoints
// then have two homes, which send to the same slots. One notices refusals from
// full endpoints. A member is therefore gone only when a second VM doubts it too,
// or when there is nobody else to ask.
type View struct {
	self   netip.AddrPort
	domain string
	links  int          // to other failure domains, by own choice
	near   atomic.Int32 // VMs of the own domain that are heard
	mu     sync.Mutex
	all    map[netip.AddrPort]*Member
	order  []netip.AddrPort // of all, sorted; nil when one came or went
	snap   atomic.Pointer[[]*Member]
	stale  atomic.Bool // snap is older than all
	began  time.Time
}

// New returns a view that knows only itself.
func New(self netip.AddrPort, domain string, now time.Time) *View {
	v := &View{self: self, domain: domain, links: FarLinks, all: map[netip.AddrPort]*Member{}, began: now}
	v.publish()
	return v
}

// Members returns all other VMs in the order of their addresses.
func (v *View) Members() []*Member {
	if v.stale.Load() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.snapshot()
	}
	return *v.snap.Load()
}

// Find returns one member or nil.
func (v *View) Find(vm netip.AddrPort) *Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.all[vm]
}

// Domain returns the VMs of the own failure domain that keep slots, self
// included unless it leaves. A VM that is listed counts for a while before it is
// heard: a VM that just started would else take all the domain's slots for its own.
func (v *View) Domain(now time.Time, leaving bool) []netip.AddrPort {
	var vms []netip.AddrPort
	if !leaving {
		vms = append(vms, v.self)
	}
	for _, m := range v.Members() {
		if m.Domain == v.domain && m.keeps(now) {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// Joined reports whether every VM that this one keeps a link to was heard, or had
// its time to be.
func (v *View) Joined(now time.Time) bool {
	for _, m := range v.Members() {
		if m.Picked && m.State == Listed && now.Sub(m.Heard) < aloneAfter {
			return false
		}
	}
	return true
}

// Named is a VM as settings or the platform's list name it.
type Named struct {
	VM     netip.AddrPort
	Domain string
}

// Learn adds VMs from settings or the list.
func (v *View) Learn(now time.Time, vms ...Named) {
	v.mu.Lock()
	defer v.mu.Unlock()
	added := false
	for _, n := range vms {
		if n.VM == v.self {
			continue
		}
		if was := v.all[n.VM]; was != nil {
			if was.Domain == "" && n.Domain != "" { // settings name VMs without their domains
				m := *was
				m.Domain = n.Domain
				v.all[n.VM] = &m
				added = true
			}
			continue
		}
		v.all[n.VM] = &Member{VM: n.VM, Domain: n.Domain, Heard: now}
		v.order, added = nil, true
	}
	if added {
		v.pick()
		v.publish()
	}
}

// Forget drops members that neither settings nor list name and that are not
// there, so that replaced VMs don't pile up.
func (v *View) Forget(now time.Time, named func(netip.AddrPort) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for vm, m := range v.all {
		if !named(vm) && m.State != Alive && m.State != Suspect && now.Sub(m.Heard) > 10*aloneAfter {
			delete(v.all, vm)
			v.order = nil
		}
	}
	v.pick()
	v.publish()
}

// Hear takes in a beat. A beat of an older incarnation is dropped: it was sent by
// a process that has been replaced.
func (v *View) Hear(now time.Time, from frame.Hello, b *frame.Beat) (Change, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	was := v.all[from.VM]
	if was == nil {
		was = &Member{VM: from.VM, Domain: from.Domain, Picked: from.Domain == v.domain}
		v.order = nil
	}
	if from.Inc < was.Inc {
		return Change{}, false
	}
	m := &Member{VM: from.VM, Domain: from.Domain, Inc: from.Inc, State: Alive, Picked: was.Picked || from.Domain == v.domain, Heard: now, Beat: *b}
	m.Skew = now.Sub(b.At)
	if was.Inc == m.Inc {
		m.Skew = min(m.Skew, was.Skew+drifts(now.Sub(was.Heard)))
	}
	m.Late = m.Age(now, b.At)
	if b.Leaving {
		m.State = Left
	}
	v.all[from.VM] = m
	if was.Inc == 0 {
		v.pick()
	}
	v.publish()
	c := Change{VM: m.VM, Inc: m.Inc, State: m.State, Reborn: was.Inc != 0 && was.Inc != m.Inc}
	return c, c.Reborn || m.State != was.State
}

// Load notes a member's room between beats.
func (v *View) Load(vm netip.AddrPort, r frame.Room) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if was := v.all[vm]; was != nil {
		m := *was
		m.Beat.Room = r
		v.all[vm] = &m
		v.publish()
	}
}

// Tick looks at the silences.
func (v *View) Tick(now time.Time) (changes []Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for vm, m := range v.all {
		if m.State == Listed || m.State == Gone {
			continue
		}
		next := v.judge(now, m)
		if next == m.State {
			continue
		}
		c := *m
		c.State = next
		v.all[vm] = &c
		changes = append(changes, Change{VM: vm, Inc: m.Inc, State: next})
	}
	if len(changes) > 0 {
		v.publish()
	}
	return changes
}

func (v *View) judge(now time.Time, m *Member) State {
	silence := v.silence(now, m)
	if m.State == Left { // it said so, which is witness enough
		if silence >= goneAfter {
			return Gone
		}
		return Left
	}
	switch {
	case silence < suspectAfter:
		return Alive
	case silence < goneAfter:
		return Suspect
	}
	others := 0
	for _, w := range v.all {
		if w.VM == m.VM || w.State != Alive || v.silence(now, w) >= suspectAfter {
			continue
		}
		others++
		if slices.Contains(w.Beat.Doubts, m.VM) {
			return Gone
		}
	}
	if others == 0 && silence >= aloneAfter {
		return Gone
	}
	return Suspect
}

// large reports whether heartbeats inside the own domain are as seldom as to others.
func (v *View) large() bool { return v.near.Load() >= largeDomain }

// Often reports whether a member gets every heartbeat, and not each Far-th.
func (v *View) Often(m *Member) bool { return m.Domain == v.domain && !v.large() }

// silence of a member, by the measure of the own failure domain.
func (v *View) silence(now time.Time, m *Member) time.Duration {
	d := now.Sub(m.Heard)
	if m.Domain != v.domain || v.large() {
		d /= Far
	}
	return d
}

// Resume forgives the silence that a pause of this VM made; without it a VM that
// wakes up would declare all its peers gone.
func (v *View) Resume(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for vm, m := range v.all {
		c := *m
		c.Skew += drifts(now.Sub(c.Heard))
		c.Heard = now
		v.all[vm] = &c
	}
	v.publish()
}

// Doubts lists the members that this VM doesn't hear, also those that are gone for a while yet.
//
// What goes wrong without the latter: of two VMs that are left, the first that takes the others for gone is no
// witness any more. The other one has none, and waits for them for good. One notices endpoints that nobody claims.
func (v *View) Doubts(now time.Time) (vms []netip.AddrPort) {
	for _, m := range v.Members() {
		silence := v.silence(now, m)
		unheard := (m.State == Alive || m.State == Suspect) && silence >= suspectAfter
		if unheard || (m.State == Gone && silence < aloneAfter) {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// publish notes that the members have changed.
func (v *View) publish() { v.stale.Store(true) }

// snapshot makes the members readable. It is made when it is wanted and not with every
// heartbeat: of those there come a thousand a second in a large deployment. The caller
// holds the lock.
func (v *View) snapshot() {
	if !v.stale.Load() {
		return
	}
	if len(v.order) != len(v.all) {
		v.order = make([]netip.AddrPort, 0, len(v.all))
		for vm := range v.all {
			v.order = append(v.order, vm)
		}
		slices.SortFunc(v.order, netip.AddrPort.Compare)
	}
	all := make([]*Member, 0, len(v.order))
	near := int32(0)
	for _, vm := range v.order {
		m := v.all[vm]
		if m.Domain == v.domain && m.State == Alive {
			near++
		}
		all = append(all, m)
	}
	v.near.Store(near)
	v.snap.Store(&all)
	v.stale.Store(false) // last: whoever sees it takes no lock
}
