package view

import (
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/mesh/frame"
)

const (
	// lateLeast is how late heartbeats must come to be told: more than a short pause of a process
	// takes, and less than the silence after which a VM gets no more work.
	lateLeast = 250 * time.Millisecond
	// mostLates bounds how many are told: when a failure domain is lost all of its VMs are late.
	mostLates = 16
	// leastWitnesses is how many VMs must be heard for their word on this one to count. Of two VMs
	// neither can tell whose link is slow.
	leastWitnesses = 2
	// strainAfter is how long messages must be late until a VM counts as strained. After a pause it
	// reads heartbeats that were sent before the others heard it again.
	strainAfter = Far * Period
	// strainFor is how long a VM counts as strained at least, and strainMost at most. The time
	// doubles with each strain that follows the one before within strainMost.
	strainFor  = 10 * time.Second
	strainMost = time.Minute
)

// Lates lists the members whose heartbeats come late, or are overdue.
func (v *View) Lates(now time.Time) (all []frame.Late) {
	for _, m := range v.Members() {
		if m.State != Alive && m.State != Suspect {
			continue
		}
		every := Far * Period
		if v.Often(m) {
			every = Period
		}
		if by := max(m.Late, now.Sub(m.Heard)-every); by >= lateLeast && len(all) < mostLates {
			all = append(all, frame.Late{VM: m.VM, By: by})
		}
	}
	return all
}

// Delay is how late this VM's messages reach the others: as late as half of the VMs that are heard
// say, and half of those in the own failure domain. Those behind a partition that lets messages
// pass one way only are not enough.
func (v *View) Delay() time.Duration {
	var all, near []time.Duration
	for _, m := range v.Members() {
		if m.State != Alive {
			continue
		}
		by := saysOf(&m.Beat, v.self)
		all = append(all, by)
		if m.Domain == v.domain {
			near = append(near, by)
		}
	}
	if len(all) < leastWitnesses {
		return 0
	}
	d := median(all)
	if len(near) > 0 {
		d = min(d, median(near))
	}
	return d
}

// saysOf is how late a heartbeat says that a VM's messages come.
func saysOf(b *frame.Beat, vm netip.AddrPort) time.Duration {
	by := time.Duration(0)
	for _, l := range b.Late {
		if l.VM == vm {
			by = l.By
		}
	}
	if slices.Contains(b.Doubts, vm) {
		by = max(by, suspectAfter)
	}
	return by
}

// median is the value that half of all reach at least.
func median(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)/2]
}

// Strain tells whether a VM's messages are too late for it to own endpoints or to take callers.
//
// What goes wrong without it: the link or processor of one VM turns far slower than the others'. It
// hears them in time and takes itself for healthy, while its orders and the jobs that it hands over
// wait behind each other. One notices jobs of one VM's callers that end by their deadline.
type Strain struct {
	on    bool
	since time.Time // messages are late
	until time.Time // it lasts at least so long
	last  time.Time // when it ended
	rest  time.Duration
}

// Look takes in the delay of this VM's messages now and reports whether it is strained.
func (s *Strain) Look(now time.Time, delay time.Duration) bool {
	late := delay >= lateLeast
	switch {
	case !late:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
	switch {
	case late && !s.on && now.Sub(s.since) >= strainAfter:
		if s.rest == 0 || now.Sub(s.last) > strainMost {
			s.rest = strainFor
		} else {
			s.rest = min(2*s.rest, strainMost)
		}
		s.on, s.until = true, now.Add(s.rest)
	case s.on && late:
		s.until = timer.Later(s.until, now.Add(strainFor/2))
	case s.on && !now.Before(s.until):
		s.on, s.last = false, now
	}
	return s.on
}
