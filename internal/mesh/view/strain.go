package view

import (
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/mesh/frame"
)

const (
	// minLate is how late heartbeats must be to be reported: more than a short process pause,
	// and less than the silence after which a VM gets no more work.
	minLate = 250 * time.Millisecond
	// maxLateMembers bounds the reports: when a failure domain is lost, all of its VMs are late.
	maxLateMembers = 16
	// minWitnesses is how many VMs must be heard for their reports to count. Between two VMs
	// neither can tell whose link is slow.
	minWitnesses = 2
	// strainAfter is how long messages must be late until a VM counts as strained. With a shorter time
	// a VM would count after a pause, as it first reads reports that the others sent before they heard it again.
	strainAfter = RemoteFactor * Period
	// minStrain and maxStrain bound how long a VM counts as strained once messages are in time again. The
	// time doubles with each strain that begins within maxStrain of the end of the last one.
	minStrain = 10 * time.Second
	maxStrain = time.Minute
)

// Lates returns the members whose heartbeats are late or overdue.
func (v *View) Lates(now time.Time) (all []frame.LatePeer) {
	for _, m := range v.Members() {
		if m.State != Alive && m.State != Suspect {
			continue
		}
		period := RemoteFactor * Period
		if v.Often(m) {
			period = Period
		}
		if late := max(m.Late, now.Sub(m.Heard)-period); late >= minLate && len(all) < maxLateMembers {
			all = append(all, frame.LatePeer{VM: m.VM, By: late})
		}
	}
	return all
}

// Delay returns how late this VM's messages reach the others: the lower of the median over all VMs heard
// and the median over those of this failure domain. So the reports of the VMs behind a one-way partition
// alone can't raise it.
func (v *View) Delay() time.Duration {
	var all, neighbours []time.Duration
	for _, m := range v.Members() {
		if m.State != Alive {
			continue
		}
		delay := reportedDelay(&m.Beat, v.self)
		all = append(all, delay)
		if m.Domain == v.domain {
			neighbours = append(neighbours, delay)
		}
	}
	if len(all) < minWitnesses {
		return 0
	}
	d := median(all)
	if len(neighbours) > 0 {
		d = min(d, median(neighbours))
	}
	return d
}

// reportedDelay returns the delay that a heartbeat reports for the messages of a VM.
func reportedDelay(b *frame.Heartbeat, vm netip.AddrPort) time.Duration {
	delay := time.Duration(0)
	for _, l := range b.Late {
		if l.VM == vm {
			delay = l.By
		}
	}
	if slices.Contains(b.Doubts, vm) {
		delay = max(delay, suspectAfter)
	}
	return delay
}

// Reported returns how late another VM's messages reach the member, as its last heartbeat says.
func (m *Member) Reported(vm netip.AddrPort) time.Duration { return reportedDelay(&m.Beat, vm) }

// median returns the largest value that at least half of all values reach.
func median(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)/2]
}

// StrainDetector detects that a VM's messages are too late for it to own endpoints or to accept clients.
//
// The link or CPU of a VM may become far slower than the others'. It still hears them in time and considers
// itself healthy, while its orders and the jobs that it hands over queue up, and jobs of its clients miss
// their deadlines.
type StrainDetector struct {
	strained  bool
	lateSince time.Time // when messages became late
	until     time.Time // earliest end
	ended     time.Time // when the last strain ended
	length    time.Duration
}

// Update records the current delay of this VM's messages and reports whether it is strained.
func (s *StrainDetector) Update(now time.Time, delay time.Duration) bool {
	late := delay >= minLate
	switch {
	case !late:
		s.lateSince = time.Time{}
	case s.lateSince.IsZero():
		s.lateSince = now
	}
	switch {
	case late && !s.strained && now.Sub(s.lateSince) >= strainAfter:
		if s.length == 0 || now.Sub(s.ended) > maxStrain {
			s.length = minStrain
		} else {
			s.length = min(2*s.length, maxStrain)
		}
		s.strained, s.until = true, now.Add(s.length)
	case s.strained && late:
		s.until = timer.Later(s.until, now.Add(minStrain/2))
	case s.strained && !now.Before(s.until):
		s.strained, s.ended = false, now
	}
	return s.strained
}
