package view

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dahliawinch/internal/mesh/frame"
)

// reportDelay sends a member's heartbeat that reports this VM's messages as late.
func reportDelay(v *View, n int, domain string, by time.Duration) {
	b := frame.Heartbeat{At: began}
	if by > 0 {
		b.Late = []frame.LatePeer{{VM: vm(0), By: by}}
	}
	v.Hear(began, frame.Hello{VM: vm(n), Inc: 1, Domain: domain}, &b)
}

// Guards against a slow VM that considers itself healthy.
func TestDelayIsMedianOfReports(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	reportDelay(v, 1, "a", time.Second)
	is.Equal(v.Delay(), time.Duration(0)) // of two VMs either may be slow
	reportDelay(v, 2, "b", 300*time.Millisecond)
	is.Equal(v.Delay(), time.Second)
	reportDelay(v, 3, "b", 0)
	reportDelay(v, 4, "c", 0)
	is.Equal(v.Delay(), 300*time.Millisecond)
	reportDelay(v, 5, "c", 0)
	is.Equal(v.Delay(), time.Duration(0))
}

// Guards against a failure domain behind a one-way partition whose VMs all consider themselves slow.
func TestDelayNeedsNeighboursToo(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	reportDelay(v, 1, "a", 0)
	for n := range 4 {
		reportDelay(v, 2+n, "b", time.Second)
	}
	is.Equal(v.Delay(), time.Duration(0))
	reportDelay(v, 1, "a", 200*time.Millisecond)
	is.Equal(v.Delay(), 200*time.Millisecond)
}

func TestLateHeartbeatsAreReported(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	for k, late := range []time.Duration{0, minLate / 2, time.Second} {
		sent := began.Add(time.Duration(k) * Period)
		hear(v, sent.Add(late), 1, 1, frame.Heartbeat{At: sent})
	}
	now := began.Add(2*Period + time.Second)
	is.Equal(len(v.Lates(now)), 1)
	is.True(v.Lates(now)[0].By >= time.Second-2*clockDrift)
	hear(v, now, 1, 1, frame.Heartbeat{At: now})
	is.Equal(len(v.Lates(now)), 0)
	is.Equal(len(v.Lates(now.Add(Period+minLate))), 1) // the next one is overdue
	is.Equal(reportedDelay(&frame.Heartbeat{Doubts: []netip.AddrPort{vm(0)}}, vm(0)), suspectAfter)
}

// Guards against units that move back and forth while a VM is slow only under load.
func TestStrainLastsLongerEachTime(t *testing.T) {
	is := is.New(t)
	var s StrainDetector
	now, lengths := began, []time.Duration{}
	for range 4 {
		for !s.Update(now, time.Second) {
			now = now.Add(Period)
		}
		from := now
		for s.Update(now, 0) {
			now = now.Add(Period)
		}
		lengths = append(lengths, now.Sub(from))
	}
	is.Equal(lengths, []time.Duration{minStrain, 2 * minStrain, 4 * minStrain, maxStrain})
}

// Guards against a VM that counts as strained for a single late heartbeat, or forever.
func TestStrainFollowsTheDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s StrainDetector
		now, late, quiet := began, time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "looks") {
			delay := time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond
			if delay >= minLate {
				late, quiet = late+Period, 0
			} else {
				late, quiet = 0, quiet+Period
			}
			was := s.strained
			on := s.Update(now, delay)
			if on && !was && late < strainAfter {
				t.Fatalf("strained after %s", late)
			}
			if on && quiet > maxStrain {
				t.Fatalf("strained though in time for %s", quiet)
			}
			now = now.Add(Period)
		}
	})
}
