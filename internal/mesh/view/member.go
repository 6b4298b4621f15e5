// Package view is what one entry VM believes of the others: who is there, of
// which incarnation, and how busy.
package view

import (
	"net/netip"
	"time"

	"dahliawinch/internal/mesh/frame"
)

// State of a member.
type State uint8

// The states.
const (
	Listed  State = iota // in settings or the list, never heard from
	Alive                // heard from lately
	Suspect              // silent, not confirmed by a witness yet
	Gone                 // silent, and a witness agrees
	Left                 // said that it leaves
)

var stateNames = [...]string{"listed", "alive", "suspect", "gone", "left"}

func (s State) String() string { return stateNames[s] }

// Member is one other entry VM. Values are copied out; they never change later.
type Member struct {
	VM     netip.AddrPort
	Domain string
	Inc    uint64
	State  State
	Picked bool // this VM keeps a link to it even before it speaks
	Heard  time.Time
	Beat   frame.Beat
	Late   time.Duration // how much later than the fastest the last heartbeat came
	Skew   time.Duration // least seen difference of this clock minus the member's
}

// Usable reports whether work may be given to the member.
func (m *Member) Usable() bool { return m.State == Alive }

// Age is how long ago the member stamped something, by the least skew seen.
//
// Clocks differ, so a stamp alone says little; the fastest beat shows how far
// the clocks are apart at most, and what is beyond that is delay.
func (m *Member) Age(now, stamp time.Time) time.Duration { return now.Sub(stamp) - m.Skew }

// Theirs is what the member's clock showed at a time of this VM's, at the earliest.
//
// A heartbeat that was read when this clock was ahead of its stamp by Skew had been sent before, so Skew is at
// least what the two clocks are apart. Clocks that drift are allowed for.
func (m *Member) Theirs(now time.Time) time.Time {
	return now.Add(-m.Skew - drifts(now.Sub(m.Heard)))
}

// drifts is how far two clocks drift apart at most in a time.
func drifts(d time.Duration) time.Duration { return time.Duration(d.Seconds() * float64(skewDrift)) }

// keeps reports whether the member counts as a home of slots.
func (m *Member) keeps(now time.Time) bool {
	switch m.State {
	case Alive, Suspect:
		return true
	case Listed:
		return now.Sub(m.Heard) < aloneAfter
	default:
		return false
	}
}
