// Package claim decides which VM owns which group of endpoints. Each VM decides from its own view, without
// consensus: endpoints obey only the highest fence, so a wrong view costs messages, not safety.
package claim

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dahliawinch/internal/mesh/frame"
)

const (
	// handBackAfter is how long a VM of a group's own failure domain must be up before an
	// owner in another domain hands the group over: the VM may be restarting repeatedly.
	handBackAfter = 2 * time.Second
	// stableAfter is how long an owner must have had a unit, and its receiver must have been up,
	// before a handover: more than a VM takes to start and be heard by all.
	stableAfter = 4 * time.Second
	// fenceStep is added to a fence that proved too low. Fences start from the wall clock,
	// which differs between VMs by a few seconds at most.
	fenceStep = 10_000 << fenceLowBits
	// fenceLowBits low bits, hashed from the address, separate fences that VMs create in the same millisecond.
	// With 12 of them a fence of today's wall clock stays below 2^53, up to which JSON numbers are exact.
	fenceLowBits = 12
)

// Peer is another VM as this one sees it.
type Peer struct {
	VM      netip.AddrPort
	Domain  string
	Live    bool // heard recently
	Listed  bool // known by name, never heard
	Absent  bool // listed, but its machine does not answer or runs no process
	Silent  bool // not heard for a while, but not considered lost
	Leaving bool
	// Strained is set while its messages reach the others late.
	Strained bool
	Since    time.Time // when it came up
	Power    float64   // CPU cores it may use; 0 counts as 1
	Claims   []frame.Claim
}

// Ownership is this VM's claim on a group.
type Ownership struct {
	Fence       uint64
	HandingOver bool
	since       time.Time
}

// Table holds this VM's claims. It is not safe for concurrent use.
type Table struct {
	self     netip.AddrPort
	domain   string
	power    float64
	began    time.Time
	maxFence uint64 // highest fence seen or used
	owned    map[Group]*Ownership
	backoffs map[Group]*backoff
	listRead bool // the store's list of VMs has been read
	// strained is set while this VM's messages reach the others late.
	strained bool
	// isolated is set while this VM seems to be cut off from all others; lastIsolated is when it last was.
	// lastUnheard is the time of the last round before this VM had heard any other.
	isolated                  bool
	lastIsolated, lastUnheard time.Time
	// deferring is set while a VM of this failure domain that is not heard owns endpoints there;
	// lastDeferring is when it last was. neighboursLost is set while all unheard VMs of this domain are known
	// to be down, allLost while all other VMs are.
	deferring, neighboursLost, allLost bool
	lastDeferring                      time.Time
	// cutOff is set while this VM hears nobody though others are up; lastCutOff is when it last was.
	cutOff     bool
	lastCutOff time.Time
	// claims is rebuilt in each round. Allocating a new map each time made up a fifth of all allocations
	// of a VM among 97.
	claims map[Group]claimant
	// units counts the units of this failure domain that each VM owns; it is rebuilt in each round.
	units map[netip.AddrPort]int
}

// backoff is a pause before claiming a group again for which another VM had a higher fence.
type backoff struct {
	until time.Time
	next  time.Duration
}

const (
	// minBackoff and maxBackoff bound the pause after a group turned out to belong to a VM
	// that this one can't hear. Without a pause the two would keep taking the group from each other.
	minBackoff = 3 * time.Second
	maxBackoff = 60 * time.Second
)

// New returns a table without claims.
func New(self netip.AddrPort, domain string, power float64, now time.Time) *Table {
	// Rounded as in heartbeats, so that this VM computes the same weight for itself as others do.
	power = float64(float32(power))
	return &Table{self: self, domain: domain, power: power, began: now, owned: map[Group]*Ownership{}, backoffs: map[Group]*backoff{}, claims: map[Group]claimant{}, units: map[netip.AddrPort]int{}}
}

// Owns returns this VM's claim on a group, or nil.
func (t *Table) Owns(g Group) *Ownership { return t.owned[g] }

// Groups returns the owned groups, sorted by domain and fence.
func (t *Table) Groups() []Group {
	gs := make([]Group, 0, len(t.owned))
	for g := range t.owned {
		gs = append(gs, g)
	}
	slices.SortFunc(gs, func(x, y Group) int {
		return cmp.Or(cmp.Compare(x.Domain, y.Domain), cmp.Compare(t.owned[x].Fence, t.owned[y].Fence), cmp.Compare(x.Shard, y.Shard))
	})
	return gs
}

// NextFence returns a fence that is above all known ones and differs from those of other VMs.
func (t *Table) NextFence(now time.Time) uint64 {
	low := xxhash.Sum64String(t.self.String()) & (1<<fenceLowBits - 1)
	f := uint64(now.UnixMilli())<<fenceLowBits | low
	if f <= t.maxFence {
		f = (t.maxFence>>fenceLowBits+1)<<fenceLowBits | low
	}
	t.maxFence = f
	return f
}

// Raise records that a fence was too low, though no higher one is known.
func (t *Table) Raise(fence uint64) { t.maxFence = max(t.maxFence, fence+fenceStep) }

// Drop removes the claim on a group.
func (t *Table) Drop(g Group) { delete(t.owned, g) }

// BackOff drops the claim on a group that another VM owns and returns how long this VM won't claim it
// again. The time doubles with each call.
func (t *Table) BackOff(now time.Time, g Group) time.Duration {
	delete(t.owned, g)
	r := t.backoffs[g]
	if r == nil {
		r = &backoff{next: minBackoff}
		t.backoffs[g] = r
	}
	d := r.next
	r.until, r.next = now.Add(d), min(2*d, maxBackoff)
	return d
}

func (t *Table) backingOff(now time.Time, g Candidate) bool {
	r := t.backoffs[g.Group]
	return r != nil && now.Before(r.until)
}

// Change is a decision about a group.
type Change struct {
	Group       Group
	Fence       uint64
	HandingOver bool   // hand the group over
	Lost        bool   // another VM owns it
	Why         string // for the log
}

// Group identifies a group of endpoints that has one owner.
type Group struct {
	Domain string
	Shard  uint8 // of the domain's endpoints, below 64
}

func (g Group) String() string { return g.Domain + "/" + strconv.Itoa(int(g.Shard)) }

// Candidate is a group that this VM owns or may claim.
type Candidate struct {
	Group
	Unit int // groups of one unit should have the same owner
}

func (s Candidate) key() string { return s.Domain + "#" + strconv.Itoa(s.Unit) }

// Decide runs one round over all candidates and returns the changes.
func (t *Table) Decide(now time.Time, leaving bool, candidates []Candidate, peers []Peer) (changes []Change) {
	clear(t.claims)
	addClaims(t.claims, peers)
	for _, p := range peers {
		for _, c := range p.Claims {
			t.maxFence = max(t.maxFence, c.Fence)
		}
	}
	fence := uint64(0) // shared by all groups of a round, so that a heartbeat carries it once
	t.countUnits(candidates, peers)
	t.recordSilence(now, peers)
	surplus := t.surplusUnit(now, candidates, peers)
	handOver := t.canHandOver(peers)
	for _, g := range candidates {
		current := t.claims[g.Group]
		if mine := t.owned[g.Group]; mine != nil {
			if surplus != "" && g.key() == surplus && !mine.HandingOver {
				mine.HandingOver = true
				changes = append(changes, Change{Group: g.Group, Fence: mine.Fence, HandingOver: true, Why: "a neighbour has a lower load"})
				continue
			}
			if c, ok := t.review(now, g, mine, current, leaving, handOver, peers); ok {
				changes = append(changes, c)
			}
			continue
		}
		if leaving || !t.mayClaim(now, g.Group) || current.owned || t.backingOff(now, g) || !t.settled(now, g, peers) || t.best(now, g, peers, current.handedBy) != t.self {
			continue
		}
		if fence == 0 {
			fence = t.NextFence(now)
		}
		t.owned[g.Group] = &Ownership{Fence: fence, since: now}
		changes = append(changes, Change{Group: g.Group, Fence: fence, Why: "no VM owns it"})
	}
	return changes
}

// canHandOver reports whether this VM is strained and a neighbour can take its groups.
func (t *Table) canHandOver(peers []Peer) bool {
	return t.strained && slices.ContainsFunc(peers, func(p Peer) bool { return p.Domain == t.domain && p.healthy() })
}

// healthy reports whether a VM is heard, in time, and not leaving.
func (p Peer) healthy() bool { return p.Live && !p.Silent && !p.Leaving && !p.Strained }

// SetListRead records that the store's list of VMs has been read: all neighbours are known.
func (t *Table) SetListRead() { t.listRead = true }

// review decides whether to give up or hand over a group that this VM owns.
func (t *Table) review(now time.Time, g Candidate, mine *Ownership, current claimant, leaving, handOver bool, peers []Peer) (Change, bool) {
	switch {
	case current.owned && current.outranks(mine.Fence, t.self) && !mine.HandingOver:
		delete(t.owned, g.Group)
		return Change{Group: g.Group, Fence: current.fence, Lost: true, Why: "a VM has a higher fence"}, true
	case mine.HandingOver:
		return Change{}, false
	case leaving:
		mine.HandingOver = true
		return Change{Group: g.Group, Fence: mine.Fence, HandingOver: true, Why: "this VM leaves"}, true
	case handOver:
		mine.HandingOver = true
		return Change{Group: g.Group, Fence: mine.Fence, HandingOver: true, Why: "this VM's messages are late"}, true
	case g.Domain != t.domain && domainRecovered(now, g, peers):
		mine.HandingOver = true
		return Change{Group: g.Group, Fence: mine.Fence, HandingOver: true, Why: "its own domain has a VM again"}, true
	default:
		return Change{}, false
	}
}

// domainRecovered reports whether a VM of the group's own domain has been up for handBackAfter.
func domainRecovered(now time.Time, g Candidate, peers []Peer) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool {
		return p.Live && !p.Leaving && p.Domain == g.Domain && now.Sub(p.Since) >= handBackAfter
	})
}

// Owned returns the groups that a VM which is heard owns and does not hand over.
func Owned(peers []Peer) map[Group]bool {
	heard := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Silent })
	claims, owned := map[Group]claimant{}, map[Group]bool{}
	addClaims(claims, heard)
	for g, c := range claims {
		owned[g] = c.owned
	}
	return owned
}

// HasActiveVM reports whether a VM of a failure domain is heard and not leaving: it will claim the
// unowned groups there.
func HasActiveVM(domain string, peers []Peer) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.Domain == domain && p.Live && !p.Silent && !p.Leaving })
}

// claimant summarizes the claims of all live peers on one group.
type claimant struct {
	owned    bool           // a peer owns it and does not hand it over
	fence    uint64         // highest fence among those peers
	owner    netip.AddrPort // the peer with that fence
	handedBy netip.AddrPort // a peer that hands it over
}

// outranks reports whether this claim takes precedence over one with the given fence and VM. Of equal
// fences the one with the higher address wins.
//
// Otherwise two VMs whose addresses share the low hash bits can claim one group in the same millisecond, and
// neither gives way. The endpoints obey both, and each VM stops what the other starts: starts are refused for
// lack of room, and tasks are orphaned, at the endpoints of one group.
func (c claimant) outranks(fence uint64, vm netip.AddrPort) bool {
	return c.fence > fence || (c.fence == fence && c.owner.Compare(vm) > 0)
}

// addClaims merges the claims of live peers into a map. It runs once for all groups, since there
// are many peers with many claims each.
func addClaims(claims map[Group]claimant, peers []Peer) {
	for _, p := range peers {
		for _, c := range p.Claims {
			if !p.Live {
				continue
			}
			for set := c.Shards; set != 0; set &= set - 1 {
				g := Group{c.Domain, uint8(bits.TrailingZeros64(set))}
				x := claims[g]
				if c.Giving {
					x.handedBy = p.VM
				} else {
					if x.outranks(c.Fence, p.VM) {
						continue
					}
					x.owned, x.fence, x.owner = true, c.Fence, p.VM
				}
				claims[g] = x
			}
		}
	}
}
