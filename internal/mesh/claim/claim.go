// Package claim decides which VM owns which group of endpoints. Each VM decides from
// its own view; nothing has to be agreed on, because the endpoints themselves obey only
// the highest fence. Wrong views therefore cost messages, not safety.
package claim

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dahliawinch/internal/mesh/frame"
)

const (
	// settle is how long a VM watches before it claims a group of its own failure
	// domain, settleFar before one of another: a VM that just started would else take
	// endpoints from owners that it has not heard yet. Neighbours are heard within
	// 200 ms, but after a loss of all VMs they start up to a second apart. Until the
	// first claim every job waits or is refused.
	settle = 300 * time.Millisecond
	// settleAlone applies while a VM of the own domain that is known has not been heard,
	// settleFar to groups of other domains.
	settleAlone = time.Second
	settleFar   = 1500 * time.Millisecond
	// patience is how long a VM of a group's own failure domain must be there before a
	// VM of another domain hands the group over: it may be one that keeps restarting.
	patience = 2 * time.Second
	// step is added to a fence that proved too low. Fences start from the time of day,
	// which differs between VMs by a few seconds at most.
	step = 10_000 << spare
	// spare low bits keep fences of different VMs apart.
	spare = 8
)

// Peer is another VM as this one sees it.
type Peer struct {
	VM      netip.AddrPort
	Domain  string
	Live    bool // heard lately
	Listed  bool // known by name and never heard
	Silent  bool // not heard for a while, but not given up
	Leaving bool
	Since   time.Time // since when it is there
	Power   float64   // cores that it may use; 0 counts as 1
	Claims  []frame.Claim
}

// Own is a group that this VM owns.
type Own struct {
	Fence  uint64
	Giving bool
}

// Book holds this VM's claims; the caller serializes all calls.
type Book struct {
	self   netip.AddrPort
	domain string
	power  float64
	began  time.Time
	top    uint64 // highest fence heard of or used
	own    map[string]*Own
}

// New returns a book without claims.
func New(self netip.AddrPort, domain string, power float64, now time.Time) *Book {
	return &Book{self: self, domain: domain, power: power, began: now, own: map[string]*Own{}}
}

// Owns returns the claim on a group, or nil.
func (b *Book) Owns(group string) *Own { return b.own[group] }

// Groups lists the groups that are claimed.
func (b *Book) Groups() []string {
	names := make([]string, 0, len(b.own))
	for g := range b.own {
		names = append(names, g)
	}
	slices.Sort(names)
	return names
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
func (b *Book) Drop(group string) { delete(b.own, group) }

// Change is a decision about a group.
type Change struct {
	Group  string
	Fence  uint64
	Giving bool   // hand over
	Lost   bool   // another VM has it
	Why    string // for the log
}

// Group of endpoints that has one owner.
type Group struct {
	Name   string
	Domain string
	Key    string // groups with one key are best owned by one VM
}

// Decide looks at all groups and returns what changed.
func (b *Book) Decide(now time.Time, leaving bool, groups []Group, peers []Peer) (changes []Change) {
	for _, p := range peers {
		for _, c := range p.Claims {
			b.top = max(b.top, c.Fence)
		}
	}
	for _, g := range groups {
		rival, giving := rivals(g.Name, peers)
		if mine := b.own[g.Name]; mine != nil {
			if c, ok := b.keep(now, g, mine, rival, leaving, peers); ok {
				changes = append(changes, c)
			}
			continue
		}
		if leaving || rival != nil || !b.settled(now, g, peers) || b.best(g, peers, giving) != b.self {
			continue
		}
		o := &Own{Fence: b.Fence(now)}
		b.own[g.Name] = o
		changes = append(changes, Change{Group: g.Name, Fence: o.Fence, Why: "no VM owns it"})
	}
	return changes
}

// settled reports whether this VM has watched long enough to claim a group. A VM whose
// domain is not known may be a neighbour.
func (b *Book) settled(now time.Time, g Group, peers []Peer) bool {
	age := now.Sub(b.began)
	if g.Domain != b.domain {
		return age >= settleFar
	}
	silent := slices.ContainsFunc(peers, func(p Peer) bool { return p.Listed && (p.Domain == b.domain || p.Domain == "") })
	return age >= settleAlone || (age >= settle && !silent)
}

// keep looks at a group that this VM owns.
func (b *Book) keep(now time.Time, g Group, mine *Own, rival *frame.Claim, leaving bool, peers []Peer) (Change, bool) {
	switch {
	case rival != nil && rival.Fence > mine.Fence && !mine.Giving:
		delete(b.own, g.Name)
		return Change{Group: g.Name, Fence: rival.Fence, Lost: true, Why: "a VM has a higher fence"}, true
	case mine.Giving:
		return Change{}, false
	case leaving:
		mine.Giving = true
		return Change{Group: g.Name, Fence: mine.Fence, Giving: true, Why: "this VM leaves"}, true
	case g.Domain != b.domain && home(now, g, peers):
		mine.Giving = true
		return Change{Group: g.Name, Fence: mine.Fence, Giving: true, Why: "its own domain has a VM again"}, true
	default:
		return Change{}, false
	}
}

// home reports whether a VM of the group's own domain has been there for a while.
func home(now time.Time, g Group, peers []Peer) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool {
		return p.Live && !p.Leaving && p.Domain == g.Domain && now.Sub(p.Since) >= patience
	})
}

// Owned reports whether a VM that is heard owns a group and keeps it.
func Owned(group string, peers []Peer) bool {
	heard := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Silent })
	rival, _ := rivals(group, heard)
	return rival != nil
}

// rivals returns the highest claim of a live VM on a group, and who is handing it over.
func rivals(group string, peers []Peer) (rival *frame.Claim, giving netip.AddrPort) {
	for _, p := range peers {
		if !p.Live {
			continue
		}
		for i := range p.Claims {
			c := &p.Claims[i]
			switch {
			case c.Group != group:
			case c.Giving:
				giving = p.VM
			case rival == nil || c.Fence > rival.Fence:
				rival = c
			}
		}
	}
	return rival, giving
}

// best returns the VM that should own a group that nobody owns: one of its own domain,
// else any, by rendezvous hashing weighted by what each can carry, so that a VM's groups
// spread over all others when it goes.
func (b *Book) best(g Group, peers []Peer, giving netip.AddrPort) (best netip.AddrPort) {
	top, near := 0.0, false
	look := func(vm netip.AddrPort, domain string, power float64) {
		w := weight(g.Key, vm, power)
		n := domain == g.Domain
		if !best.IsValid() || (n && !near) || (n == near && w > top) {
			best, top, near = vm, w, n
		}
	}
	if b.self != giving {
		look(b.self, b.domain, b.power)
	}
	for _, p := range peers {
		if p.Live && !p.Leaving && p.VM != giving {
			look(p.VM, p.Domain, p.Power)
		}
	}
	return best
}

// weight is a VM's score for a key: the highest of all is drawn with a chance that grows
// with the square of its power, since a weak owner holds up all jobs of its pool.
func weight(key string, vm netip.AddrPort, power float64) float64 {
	if power <= 0 {
		power = 1
	}
	h := xxhash.Sum64String(key + "|" + vm.String())
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -power * power / math.Log(u)
}
