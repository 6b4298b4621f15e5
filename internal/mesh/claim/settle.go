package claim

import (
	"slices"
	"time"
)

const (
	// settle is how long a VM watches before it claims a group of its own failure
	// domain, settleFar before one of another: a VM that just started would else take
	// endpoints from owners that it has not heard yet. Neighbours are heard within
	// 200 ms, but after a loss of all VMs they start up to a second apart. Until the
	// first claim every job waits or is refused.
	settle = 300 * time.Millisecond
	// settleKnown applies when every VM that the store lists for the own domain was heard, or
	// is not there: the claims of those that are came with their first heartbeats, and they
	// hear this one.
	settleKnown = 50 * time.Millisecond
	// settleAlone applies while a VM of the own domain that is known has not been heard,
	// settleFar to groups of other domains.
	settleAlone = time.Second
	settleFar   = 1500 * time.Millisecond
	// settleUnheard applies to groups of other domains while no VM has been heard at all, though
	// several are listed: more likely this VM is cut off than all others are lost for good.
	settleUnheard = 10 * time.Second
	// rejoin is how long a VM that was cut off, or deferred to one that it could not hear, listens before it
	// claims again: the others are heard one by one, up to a heartbeat between failure domains and its way apart.
	rejoin = 500 * time.Millisecond
)

// settled reports whether this VM has watched long enough to claim a group. A VM whose
// domain is not known may be a neighbour.
func (b *Book) settled(now time.Time, g Seat, peers []Peer) bool {
	age := now.Sub(b.began)
	if now.Sub(b.alone) < rejoin && !b.heirOf(g.Group) {
		return false
	}
	if g.Domain != b.domain {
		switch {
		case b.last:
			return age >= settleFar
		case b.unheard.Equal(now): // still
			return age >= settleUnheard
		default:
			return age >= settleFar && now.Sub(b.unheard) >= rejoin
		}
	}
	near := func(p Peer) bool { return p.Domain == b.domain }
	silent := slices.ContainsFunc(peers, func(p Peer) bool { return p.Listed && !p.Absent && (near(p) || p.Domain == "") })
	switch {
	case silent:
		return age >= settleAlone
	case b.listed && slices.ContainsFunc(peers, near): // neighbours that start for the first time aren't listed yet
		return age >= settleKnown
	default:
		return age >= settle
	}
}

// listen notes whether others are heard.
//
// What goes wrong without it: a VM starts, or comes back from a cut, and hears one neighbour first. It claims
// the endpoints of all whose heartbeats are on their way. One notices "group" lines of one VM for every group.
func (b *Book) listen(now time.Time, peers []Peer) {
	if b.isolated {
		b.alone = now
	}
	if b.defers {
		b.deferred = now
	}
	if b.cutOff {
		b.cut = now
	}
	if len(peers) > 1 && !slices.ContainsFunc(peers, func(p Peer) bool { return !p.Listed }) {
		b.unheard = now
	}
}

// Strain tells the book whether this VM's messages reach the others late. Its groups go to
// neighbours then whose don't, and it takes none over while there are such.
func (b *Book) Strain(on bool) { b.strained = on }

// Isolate tells the book whether this VM seems to be cut off from all others. It keeps what it owns then and
// claims nothing: silence does not show that an owner is lost.
func (b *Book) Isolate(on bool) { b.isolated = on }

// Defer tells the book whether a VM of the own failure domain that this one can't hear owns endpoints there. This
// one claims none of them then.
func (b *Book) Defer(on bool) { b.defers = on }

// Defers reports what Defer was told last.
func (b *Book) Defers() bool { return b.defers }

// CutOff tells the book whether this VM hears nobody though others surely live. It claims nothing of other failure
// domains then, however long it lasts.
func (b *Book) CutOff(on bool) { b.cutOff = on }

// Succeed tells the book whether the VMs of the own failure domain that are not heard are surely not there. Then
// their endpoints are claimed also by a VM that seems to be isolated.
func (b *Book) Succeed(on bool) { b.heir = on }

// SucceedAll tells the book whether surely no other VM is there at all. Then everything is claimed also by a VM that
// seems to be isolated.
func (b *Book) SucceedAll(on bool) { b.last = on }

// heirOf reports whether the silence of those who may own a group surely means that they are lost.
func (b *Book) heirOf(g Group) bool { return b.last || (b.heir && g.Domain == b.domain) }

// mayClaim reports whether silence may count as the loss of a group's owner. One that answered through the store
// is heard some time after the path to it has healed.
func (b *Book) mayClaim(now time.Time, g Group) bool {
	if b.isolated && !b.heirOf(g) {
		return false
	}
	if g.Domain == b.domain {
		return now.Sub(b.deferred) >= rejoin
	}
	return now.Sub(b.cut) >= rejoin
}
