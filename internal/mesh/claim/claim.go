// Package claim decides which VM owns which group of endpoints. Each VM decides from
// its own view; nothing has to be agreed on, because the endpoints themselves obey only
// the highest fence. Wrong views therefore cost messages, not safety.
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
	// patience is how long a VM of a group's own failure domain must be there before a
	// VM of another domain hands the group over: it may be one that keeps restarting.
	patience = 2 * time.Second
	// calm is how long an owner and the VM that it hands a unit to must have been there:
	// more than a VM takes to start and be heard by all.
	calm = 4 * time.Second
	// step is added to a fence that proved too low. Fences start from the time of day,
	// which differs between VMs by a few seconds at most.
	step = 10_000 << spare
	// spare low bits keep fences of different VMs apart that claim in the same millisecond. With
	// them a fence of today's time of day stays below 2^53, up to which JSON numbers are exact.
	spare = 12
)

// Peer is another VM as this one sees it.
type Peer struct {
	VM      netip.AddrPort
	Domain  string
	Live    bool // heard lately
	Listed  bool // known by name and never heard
	Absent  bool // listed, and its machine does not answer or runs no process
	Silent  bool // not heard for a while, but not given up
	Leaving bool
	// Strained says that its messages reach the others late.
	Strained bool
	Since    time.Time // since when it is there
	Power    float64   // cores that it may use; 0 counts as 1
	Claims   []frame.Claim
}

// Own is a group that this VM owns.
type Own struct {
	Fence  uint64
	Giving bool
	since  time.Time
}

// Book holds this VM's claims; the caller serializes all calls.
type Book struct {
	self   netip.AddrPort
	domain string
	power  float64
	began  time.Time
	top    uint64 // highest fence heard of or used
	own    map[Group]*Own
	shun   map[Group]*rest
	listed bool // the store's list of VMs was read
	// strained says that this VM's messages reach the others late.
	strained bool
	// isolated says that this VM seems to be cut off from all others; alone is when it last did, and
	// unheard when none of them had been heard yet.
	isolated       bool
	alone, unheard time.Time
	// defers says that a VM of the own domain that is not heard owns endpoints there, and deferred when it
	// last did; heir says that none of those that are not heard is there, and last that no other VM at all is.
	defers, heir, last bool
	deferred           time.Time
	// cutOff says that this VM hears nobody though others live, and cut when it last did.
	cutOff bool
	cut    time.Time
	// claims is filled anew by each round; a map for each would be a fifth of all that a VM
	// among 97 allocates.
	claims map[Group]claimant
	// units counts the units of the own domain that each VM owns; filled anew by each round.
	units map[netip.AddrPort]int
}

// rest is how long a group is left alone for which another VM had a higher fence.
type rest struct {
	until time.Time
	next  time.Duration
}

const (
	// restLeast and restMost bound the pause after a group proved to be another's of
	// which this VM hears nothing. Both would else take it from each other by turns.
	restLeast = 3 * time.Second
	restMost  = 60 * time.Second
)

// New returns a book without claims.
func New(self netip.AddrPort, domain string, power float64, now time.Time) *Book {
	// As heartbeats tell it: what one VM reckons of another must be what that one reckons of itself.
	power = float64(float32(power))
	return &Book{self: self, domain: domain, power: power, began: now, own: map[Group]*Own{}, shun: map[Group]*rest{}, claims: map[Group]claimant{}, units: map[netip.AddrPort]int{}}
}

// Owns returns the claim on a group, or nil.
func (b *Book) Owns(g Group) *Own { return b.own[g] }

// Groups lists the groups that are claimed, by domain and fence.
func (b *Book) Groups() []Group {
	gs := make([]Group, 0, len(b.own))
	for g := range b.own {
		gs = append(gs, g)
	}
	slices.SortFunc(gs, func(x, y Group) int {
		return cmp.Or(cmp.Compare(x.Domain, y.Domain), cmp.Compare(b.own[x].Fence, b.own[y].Fence), cmp.Compare(x.Shard, y.Shard))
	})
	return gs
}

// Fence returns a number above all that were heard of, unlike that of any other VM.
func (b *Book) Fence(now time.Time) uint64 {
	low := xxhash.Sum64String(b.self.String()) & (1<<spare - 1)
	f := uint64(now.UnixMilli())<<spare | low
	if f <= b.top {
		f = (b.top>>spare+1)<<spare | low
	}
	b.top = f
	return f
}

// Raise notes that a fence was too low, though none higher was heard of.
func (b *Book) Raise(fence uint64) { b.top = max(b.top, fence+step) }

// Drop gives up a group at once.
func (b *Book) Drop(g Group) { delete(b.own, g) }

// Shun gives up a group that another VM has and leaves it alone for a while, which is
// returned: longer each time.
func (b *Book) Shun(now time.Time, g Group) time.Duration {
	delete(b.own, g)
	r := b.shun[g]
	if r == nil {
		r = &rest{next: restLeast}
		b.shun[g] = r
	}
	d := r.next
	r.until, r.next = now.Add(d), min(2*d, restMost)
	return d
}

func (b *Book) shunned(now time.Time, g Seat) bool {
	r := b.shun[g.Group]
	return r != nil && now.Before(r.until)
}

// Change is a decision about a group.
type Change struct {
	Group  Group
	Fence  uint64
	Giving bool   // hand over
	Lost   bool   // another VM has it
	Why    string // for the log
}

// Group of endpoints that has one owner.
type Group struct {
	Domain string
	Shard  uint8 // of the domain's endpoints, below 64
}

func (g Group) String() string { return g.Domain + "/" + strconv.Itoa(int(g.Shard)) }

// Seat is a group that needs an owner.
type Seat struct {
	Group
	Unit int // groups of one unit are best owned by one VM
}

func (s Seat) key() string { return s.Domain + "#" + strconv.Itoa(s.Unit) }

// Decide looks at all groups and returns what changed.
func (b *Book) Decide(now time.Time, leaving bool, seats []Seat, peers []Peer) (changes []Change) {
	clear(b.claims)
	sum(b.claims, peers)
	for _, p := range peers {
		for _, c := range p.Claims {
			b.top = max(b.top, c.Fence)
		}
	}
	fence := uint64(0) // one for all groups of a round, so that a heartbeat names it once
	b.count(seats, peers)
	b.listen(now, peers)
	spare := b.spare(now, seats, peers)
	relieved := b.relieved(peers)
	for _, g := range seats {
		on := b.claims[g.Group]
		if mine := b.own[g.Group]; mine != nil {
			if spare != "" && g.key() == spare && !mine.Giving {
				mine.Giving = true
				changes = append(changes, Change{Group: g.Group, Fence: mine.Fence, Giving: true, Why: "a neighbour has less to carry"})
				continue
			}
			if c, ok := b.keep(now, g, mine, on, leaving, relieved, peers); ok {
				changes = append(changes, c)
			}
			continue
		}
		if leaving || !b.mayClaim(now, g.Group) || on.kept || b.shunned(now, g) || !b.settled(now, g, peers) || b.best(now, g, peers, on.giving) != b.self {
			continue
		}
		if fence == 0 {
			fence = b.Fence(now)
		}
		b.own[g.Group] = &Own{Fence: fence, since: now}
		changes = append(changes, Change{Group: g.Group, Fence: fence, Why: "no VM owns it"})
	}
	return changes
}

// relieved reports whether a neighbour can take over what this VM owns.
func (b *Book) relieved(peers []Peer) bool {
	return b.strained && slices.ContainsFunc(peers, func(p Peer) bool { return p.Domain == b.domain && p.fit() })
}

// fit reports whether a VM is there to stay and can be relied on.
func (p Peer) fit() bool { return p.Live && !p.Silent && !p.Leaving && !p.Strained }

// Listed tells the book that the store's list of VMs was read: all neighbours are known.
func (b *Book) Listed() { b.listed = true }

// keep looks at a group that this VM owns.
func (b *Book) keep(now time.Time, g Seat, mine *Own, on claimant, leaving, relieved bool, peers []Peer) (Change, bool) {
	switch {
	case on.kept && on.above(mine.Fence, b.self) && !mine.Giving:
		delete(b.own, g.Group)
		return Change{Group: g.Group, Fence: on.fence, Lost: true, Why: "a VM has a higher fence"}, true
	case mine.Giving:
		return Change{}, false
	case leaving:
		mine.Giving = true
		return Change{Group: g.Group, Fence: mine.Fence, Giving: true, Why: "this VM leaves"}, true
	case relieved:
		mine.Giving = true
		return Change{Group: g.Group, Fence: mine.Fence, Giving: true, Why: "this VM's messages come late"}, true
	case g.Domain != b.domain && home(now, g, peers):
		mine.Giving = true
		return Change{Group: g.Group, Fence: mine.Fence, Giving: true, Why: "its own domain has a VM again"}, true
	default:
		return Change{}, false
	}
}

// home reports whether a VM of the group's own domain has been there for a while.
func home(now time.Time, g Seat, peers []Peer) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool {
		return p.Live && !p.Leaving && p.Domain == g.Domain && now.Sub(p.Since) >= patience
	})
}

// Owned lists the groups that a VM which is heard owns and keeps.
func Owned(peers []Peer) map[Group]bool {
	heard := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Silent })
	claims, owned := map[Group]claimant{}, map[Group]bool{}
	sum(claims, heard)
	for g, c := range claims {
		owned[g] = c.kept
	}
	return owned
}

// Headed reports whether a VM of a failure domain is heard and stays: it will claim what
// nobody owns there.
func Headed(domain string, peers []Peer) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.Domain == domain && p.Live && !p.Silent && !p.Leaving })
}

// claimant is who claims a group among the live peers.
type claimant struct {
	kept   bool           // one of them keeps it,
	fence  uint64         // by the highest fence,
	by     netip.AddrPort // which is this VM's
	giving netip.AddrPort // one hands it over
}

// above reports whether a claim goes before another VM's with a fence. Of equal fences the higher
// address goes first.
//
// What goes wrong without that: two VMs whose addresses share their low bits claim one group in the
// same millisecond. Endpoints obey both, neither gives way, and each stops what the other starts. One
// notices starts refused for want of room, and orphans, at the endpoints of one group.
func (c claimant) above(fence uint64, vm netip.AddrPort) bool {
	return c.fence > fence || (c.fence == fence && c.by.Compare(vm) > 0)
}

// sum adds up the claims of live peers; it is done once for all groups, since each has many and
// there are many peers.
func sum(all map[Group]claimant, peers []Peer) {
	for _, p := range peers {
		for _, c := range p.Claims {
			if !p.Live {
				continue
			}
			for set := c.Shards; set != 0; set &= set - 1 {
				g := Group{c.Domain, uint8(bits.TrailingZeros64(set))}
				x := all[g]
				if c.Giving {
					x.giving = p.VM
				} else {
					if x.above(c.Fence, p.VM) {
						continue
					}
					x.kept, x.fence, x.by = true, c.Fence, p.VM
				}
				all[g] = x
			}
		}
	}
}
