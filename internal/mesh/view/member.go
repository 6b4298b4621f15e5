// Package view tracks what this entry VM knows of the others: which are up, in which incarnation,
// and how busy they are.
package view

import (
	"net/netip"
	"time"

	"dahliawinch/internal/mesh/frame"
)

// State of a member.
type State uint8

// The states of a member.
const (
	Listed  State = iota // in the settings or the store's list, never heard
	Alive                // heard recently
	Suspect              // silent, not yet confirmed by another VM
	Gone                 // silent, confirmed by another VM or for long enough
	Left                 // announced that it leaves
)

var stateNames = [...]string{"listed", "alive", "suspect", "gone", "left"}

func (s State) String() string { return stateNames[s] }

// Member describes one other entry VM. It is immutable.
type Member struct {
	VM     netip.AddrPort
	Domain string
	Inc    uint64
	State  State
	Picked bool // this VM keeps a link to it, also before it is heard
	Heard  time.Time
	Beat   frame.Heartbeat
	Late   time.Duration // delay of the last heartbeat compared to the fastest
	Skew   time.Duration // smallest difference seen of this clock minus the member's
	// formerJobs are the jobs that the previous incarnation advertised when it was last heard at formerHeard.
	formerJobs  []uint64
	formerHeard time.Time
}

// Usable reports whether work may be sent to the member.
func (m *Member) Usable() bool { return m.State == Alive }

// Age returns how old one of the member's timestamps is, by the smallest skew seen.
//
// Clocks differ, so a timestamp alone is not enough. The fastest heartbeat bounds the clock difference; what
// exceeds it is delay.
func (m *Member) Age(now, stamp time.Time) time.Duration { return now.Sub(stamp) - m.Skew }

// Theirs returns a lower bound of the member's clock at a time of this VM's clock.
//
// A heartbeat was sent before it was read, so Skew is at least the difference of the two clocks. Possible
// drift since then is subtracted.
func (m *Member) Theirs(now time.Time) time.Time {
	return now.Add(-m.Skew - maxDrift(now.Sub(m.Heard)))
}

// maxDrift returns how far two clocks drift apart at most in a duration.
func maxDrift(d time.Duration) time.Duration {
	return time.Duration(d.Seconds() * float64(clockDrift))
}

// holdsSlots reports whether the member counts as a holder of slots.
func (m *Member) holdsSlots(now time.Time) bool {
	switch m.State {
	case Alive, Suspect:
		return true
	case Listed:
		return now.Sub(m.Heard) < goneAloneAfter
	default:
		return false
	}
}
