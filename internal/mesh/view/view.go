package view

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/mesh/frame"
)

// Times and sizes of the view.
const (
	// Period is the time between heartbeats inside a failure domain.
	Period = 100 * time.Millisecond
	// RemoteFactor is how many times longer heartbeat periods and timeouts are between failure domains:
	// there are many more such pairs of VMs, and no such pair shares slots.
	RemoteFactor = 3
	// maxLinks is how many links a VM in a large failure domain keeps in total. All neighbours get one; if they
	// leave fewer than minRemoteLinks for other domains, there are minRemoteLinks, which are needed to detect
	// the loss of a domain.
	maxLinks       = 64
	minRemoteLinks = 12
	// RemoteLinks is how many VMs of other failure domains a VM picks for links; about as many
	// pick it.
	RemoteLinks = 6
	// largeDomain is the size from which heartbeats inside a failure domain are as infrequent as between
	// domains: each VM sends one to all others, and with 75 VMs these are most of all messages.
	largeDomain = 32
	// suspectAfter is the silence after which a member gets no more work.
	suspectAfter = 5 * Period
	// goneAfter is the silence after which a member is gone if another VM confirms it.
	goneAfter = 10 * Period
	// goneAloneAfter is the silence after which a member is gone if there is no other VM to confirm it.
	goneAloneAfter = 30 * Period
	// clockDrift is how far two VMs' clocks may drift apart in a second.
	clockDrift = time.Millisecond
)

// Change is a change of a member's state or incarnation that the caller must act on.
type Change struct {
	VM    netip.AddrPort
	Inc   uint64
	State State
	// Reborn is set when a new incarnation replaced an earlier one: work given to the earlier
	// one is lost.
	Reborn bool
}

// View tracks the members. Readers use a snapshot, mostly without a lock.
//
// One bad link must not make a VM drop a healthy peer: two VMs would then hold the slots of its endpoints, and
// full endpoints would refuse work. A member is therefore gone only when a second VM doubts it too, or when
// there is no other VM to ask.
type View struct {
	self        netip.AddrPort
	domain      string
	remoteLinks int          // links to other failure domains that this VM picks
	neighbours  atomic.Int32 // VMs of this domain that are alive
	mu          sync.Mutex
	members     map[netip.AddrPort]*Member
	sorted      []netip.AddrPort // keys of members; nil after a change of the set
	snap        atomic.Pointer[[]*Member]
	stale       atomic.Bool // snap is older than members
	began       time.Time
}

// New returns a view without members.
func New(self netip.AddrPort, domain string, now time.Time) *View {
	v := &View{self: self, domain: domain, remoteLinks: RemoteLinks, members: map[netip.AddrPort]*Member{}, began: now}
	v.markStale()
	return v
}

// Members returns all other VMs, sorted by address.
func (v *View) Members() []*Member {
	if v.stale.Load() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.rebuild()
	}
	return *v.snap.Load()
}

// Find returns a member or nil.
func (v *View) Find(vm netip.AddrPort) *Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members[vm]
}

// Domain returns the VMs of this failure domain that hold slots, including this VM unless it leaves.
// A listed VM counts for a while before it is heard: otherwise a VM that just started would take all slots of
// the domain.
func (v *View) Domain(now time.Time, leaving bool) []netip.AddrPort {
	var vms []netip.AddrPort
	if !leaving {
		vms = append(vms, v.self)
	}
	for _, m := range v.Members() {
		if m.Domain == v.domain && m.holdsSlots(now) {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// Joined reports whether every VM that this one picked was heard or has had time to be heard.
func (v *View) Joined(now time.Time) bool {
	for _, m := range v.Members() {
		if m.Picked && m.State == Listed && now.Sub(m.Heard) < goneAloneAfter {
			return false
		}
	}
	return true
}

// Named is a VM as named by the settings or the platform's list.
type Named struct {
	VM     netip.AddrPort
	Domain string
}

// Learn adds VMs from the settings or the list.
func (v *View) Learn(now time.Time, vms ...Named) {
	v.mu.Lock()
	defer v.mu.Unlock()
	added := false
	for _, n := range vms {
		if n.VM == v.self {
			continue
		}
		if known := v.members[n.VM]; known != nil {
			if known.Domain == "" && n.Domain != "" { // settings name VMs without their domains
				m := *known
				m.Domain = n.Domain
				v.members[n.VM] = &m
				added = true
			}
			continue
		}
		v.members[n.VM] = &Member{VM: n.VM, Domain: n.Domain, Heard: now}
		v.sorted, added = nil, true
	}
	if added {
		v.pickLinks()
		v.markStale()
	}
}

// Forget removes members that are neither named by settings or list nor up, so that replaced VMs
// don't accumulate.
func (v *View) Forget(now time.Time, isNamed func(netip.AddrPort) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for vm, m := range v.members {
		if !isNamed(vm) && m.State != Alive && m.State != Suspect && now.Sub(m.Heard) > 10*goneAloneAfter {
			delete(v.members, vm)
			v.sorted = nil
		}
	}
	v.pickLinks()
	v.markStale()
}

// Hear records a heartbeat. One of an older incarnation is dropped: its process has been replaced.
func (v *View) Hear(now time.Time, from frame.Hello, b *frame.Heartbeat) (Change, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	was := v.members[from.VM]
	if was == nil {
		was = &Member{VM: from.VM, Domain: from.Domain, Picked: from.Domain == v.domain}
		v.sorted = nil
	}
	if from.Inc < was.Inc {
		return Change{}, false
	}
	m := &Member{VM: from.VM, Domain: from.Domain, Inc: from.Inc, State: Alive, Picked: was.Picked || from.Domain == v.domain, Heard: now, Beat: *b}
	m.Skew = now.Sub(b.At)
	if was.Inc == m.Inc {
		m.Skew = min(m.Skew, was.Skew+maxDrift(now.Sub(was.Heard)))
		m.formerJobs, m.formerHeard = was.formerJobs, was.formerHeard
	} else {
		m.formerJobs, m.formerHeard = was.Beat.Jobs, was.Heard
	}
	m.Late = m.Age(now, b.At)
	if b.Leaving {
		m.State = Left
	}
	v.members[from.VM] = m
	if was.Inc == 0 {
		v.pickLinks()
	}
	v.markStale()
	c := Change{VM: m.VM, Inc: m.Inc, State: m.State, Reborn: was.Inc != 0 && was.Inc != m.Inc}
	return c, c.Reborn || m.State != was.State
}

// Load updates a member's room between heartbeats.
func (v *View) Load(vm netip.AddrPort, r frame.Room) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if was := v.members[vm]; was != nil {
		m := *was
		m.Beat.Room = r
		v.members[vm] = &m
		v.markStale()
	}
}

// Tick updates the states of members from their silence and returns the changes.
func (v *View) Tick(now time.Time) (changes []Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for vm, m := range v.members {
		if m.State == Listed || m.State == Gone {
			continue
		}
		next := v.nextState(now, m)
		if next == m.State {
			continue
		}
		c := *m
		c.State = next
		v.members[vm] = &c
		changes = append(changes, Change{VM: vm, Inc: m.Inc, State: next})
	}
	if len(changes) > 0 {
		v.markStale()
	}
	return changes
}

func (v *View) nextState(now time.Time, m *Member) State {
	silence := v.silence(now, m)
	if m.State == Left { // its own announcement needs no confirmation
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
	for _, w := range v.members {
		if w.VM == m.VM || w.State != Alive || v.silence(now, w) >= suspectAfter {
			continue
		}
		others++
		if slices.Contains(w.Beat.Doubts, m.VM) {
			return Gone
		}
	}
	if others == 0 && silence >= goneAloneAfter {
		return Gone
	}
	return Suspect
}

// isLarge reports whether heartbeats inside this domain are as infrequent as between domains.
func (v *View) isLarge() bool { return v.neighbours.Load() >= largeDomain }

// Often reports whether a member is sent every heartbeat, not only each RemoteFactor-th.
func (v *View) Often(m *Member) bool { return m.Domain == v.domain && !v.isLarge() }

// silence returns how long a member has been silent, scaled to the heartbeat period inside a domain.
func (v *View) silence(now time.Time, m *Member) time.Duration {
	d := now.Sub(m.Heard)
	if m.Domain != v.domain || v.isLarge() {
		d /= RemoteFactor
	}
	return d
}

// Resume resets all silences after a pause of this VM. Otherwise a VM that wakes up would consider all
// its peers gone.
func (v *View) Resume(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for vm, m := range v.members {
		c := *m
		c.Skew += maxDrift(now.Sub(c.Heard))
		c.Heard = now
		v.members[vm] = &c
	}
	v.markStale()
}

// Doubts returns the members that this VM doesn't hear, including those that have been gone for a short while.
//
// A VM considers a member gone when another VM doubts it too. If a VM stopped doubting a member as soon as it
// considers it gone, and only one other VM is left, that one would get no confirmation and never consider the
// member gone: endpoints would stay unclaimed.
func (v *View) Doubts(now time.Time) (vms []netip.AddrPort) {
	for _, m := range v.Members() {
		silence := v.silence(now, m)
		unheard := (m.State == Alive || m.State == Suspect) && silence >= suspectAfter
		if unheard || (m.State == Gone && silence < goneAloneAfter) {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// markStale records that the members have changed.
func (v *View) markStale() { v.stale.Store(true) }

// rebuild makes a new snapshot if it is stale. It runs on reads and not for each heartbeat, since a large
// deployment has a thousand of those a second. The caller holds the lock.
func (v *View) rebuild() {
	if !v.stale.Load() {
		return
	}
	if len(v.sorted) != len(v.members) {
		v.sorted = make([]netip.AddrPort, 0, len(v.members))
		for vm := range v.members {
			v.sorted = append(v.sorted, vm)
		}
		slices.SortFunc(v.sorted, netip.AddrPort.Compare)
	}
	all := make([]*Member, 0, len(v.sorted))
	neighbours := int32(0)
	for _, vm := range v.sorted {
		m := v.members[vm]
		if m.Domain == v.domain && m.State == Alive {
			neighbours++
		}
		all = append(all, m)
	}
	v.neighbours.Store(neighbours)
	v.snap.Store(&all)
	v.stale.Store(false) // must be last: readers that see false take no lock
}
