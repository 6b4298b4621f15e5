package claim

import (
	"slices"
	"time"
)

const (
	// settleOwn is how long a VM listens after its start before it claims a group of its own failure domain.
	// Without it a VM that just started would take endpoints from owners that it has not heard yet. Neighbours are
	// heard within 200 ms, but after a loss of all VMs they start up to a second apart. Until the first claim every
	// job waits or is refused.
	settleOwn = 300 * time.Millisecond
	// settleKnown applies when every VM that the store lists for this domain was heard or is down. The first
	// heartbeats of those that are up have shown their claims, and they will receive this VM's claims.
	settleKnown = 50 * time.Millisecond
	// settleMissing replaces settleOwn while a known VM of this domain has not been heard.
	// settleOther is how long a VM listens after its start before it claims a group of another domain.
	settleMissing = time.Second
	settleOther   = 1500 * time.Millisecond
	// settleUnheard applies to groups of other domains while several VMs are listed and none has been heard:
	// it is more likely that this VM is cut off than that all others are permanently lost.
	settleUnheard = 10 * time.Second
	// rejoinDelay is how long a VM that was cut off, or deferred to one it could not hear, listens before it
	// claims again: the first heartbeats of the others arrive up to one period of the heartbeats between domains plus
	// network delay apart.
	rejoinDelay = 500 * time.Millisecond
)

// settled reports whether this VM has listened long enough to claim a group. A peer whose domain
// is unknown may be a neighbour.
func (t *Table) settled(now time.Time, g Candidate, peers []Peer) bool {
	age := now.Sub(t.began)
	if now.Sub(t.lastIsolated) < rejoinDelay && !t.ownerLost(g.Group) {
		return false
	}
	if g.Domain != t.domain {
		switch {
		case t.allLost:
			return age >= settleOther
		case t.lastUnheard.Equal(now): // no VM heard yet
			return age >= settleUnheard
		default:
			return age >= settleOther && now.Sub(t.lastUnheard) >= rejoinDelay
		}
	}
	neighbour := func(p Peer) bool { return p.Domain == t.domain }
	missing := slices.ContainsFunc(peers, func(p Peer) bool { return p.Listed && !p.Absent && (neighbour(p) || p.Domain == "") })
	switch {
	case missing:
		return age >= settleMissing
	case t.listRead && slices.ContainsFunc(peers, neighbour): // neighbours on their first start aren't listed yet
		return age >= settleKnown
	default:
		return age >= settleOwn
	}
}

// recordSilence updates the times at which this VM was last isolated, deferring, cut off or had heard nobody.
//
// Without these times a VM that starts or reconnects, and hears one neighbour first, claims the endpoints of all others
// whose heartbeats are still in flight: it logs a "group" line for every group.
func (t *Table) recordSilence(now time.Time, peers []Peer) {
	if t.isolated {
		t.lastIsolated = now
	}
	if t.deferring {
		t.lastDeferring = now
	}
	if t.cutOff {
		t.lastCutOff = now
	}
	if len(peers) > 1 && !slices.ContainsFunc(peers, func(p Peer) bool { return !p.Listed }) {
		t.lastUnheard = now
	}
}

// SetStrained sets whether this VM's messages reach the others late. If so, its groups go to
// neighbours that aren't strained, and it claims none while there are such.
func (t *Table) SetStrained(on bool) { t.strained = on }

// SetIsolated sets whether this VM seems to be cut off from all others. If so, it keeps its groups and
// claims none: silence does not prove that an owner is lost.
func (t *Table) SetIsolated(on bool) { t.isolated = on }

// SetDeferring sets whether a VM of this failure domain that can't be heard owns endpoints there. If so,
// this VM claims none of them.
func (t *Table) SetDeferring(on bool) { t.deferring = on }

// Deferring returns the value of the last SetDeferring.
func (t *Table) Deferring() bool { return t.deferring }

// SetCutOff sets whether this VM hears nobody though others are known to be up. If so, it claims nothing
// in other failure domains, however long that lasts.
func (t *Table) SetCutOff(on bool) { t.cutOff = on }

// SetNeighboursLost sets whether all unheard VMs of this failure domain are known to be down. If so,
// their endpoints are claimed even by a VM that seems isolated.
func (t *Table) SetNeighboursLost(on bool) { t.neighboursLost = on }

// SetAllLost sets whether all other VMs are known to be down. If so, everything is claimed even by a VM
// that seems isolated.
func (t *Table) SetAllLost(on bool) { t.allLost = on }

// ownerLost reports whether all VMs that may own a group are known to be down.
func (t *Table) ownerLost(g Group) bool {
	return t.allLost || (t.neighboursLost && g.Domain == t.domain)
}

// mayClaim reports whether silence may be taken as the loss of a group's owner. An owner that answered
// through the store is heard again only some time after the path to it has recovered.
func (t *Table) mayClaim(now time.Time, g Group) bool {
	if t.isolated && !t.ownerLost(g) {
		return false
	}
	if g.Domain == t.domain {
		return now.Sub(t.lastDeferring) >= rejoinDelay
	}
	return now.Sub(t.lastCutOff) >= rejoinDelay
}
