// Package demand keeps one VM's view of the work that arrives at all VMs and of the room that owners of endpoints have,
// and decides by it which jobs no owner can serve. It opens no socket and reads no clock.
package demand

import (
	"math"
	"net/netip"
	"time"
)

// Ranks is how many classes of rank are reported apart: rank 0, rank 1 and all later ones.
const Ranks = 3

const (
	// Window is the time over which arriving work is averaged: short enough to follow a burst, long enough to include
	// several jobs of each rank.
	Window = 500 * time.Millisecond
	// forgetAfter is how long a silent VM still counts. After that its callers have gone to other VMs, which count them.
	forgetAfter = time.Second
	// sumFor is how long the sums over all VMs are kept. Owners ask for the pressure for each job, and with 135 VMs
	// adding up anew takes 1 % of a core at 14,000 jobs a second.
	sumFor = 10 * time.Millisecond
)

// Report is what a VM last told about itself.
type Report struct {
	At     time.Time // when it was made, by the receiver's clock
	Domain string    // failure domain
	// Counts is false for a VM that doesn't report what arrives there, such as one of an earlier version.
	Counts bool
	Rates  [Ranks]float64 // core-seconds a second that arrive there
	Room   Room
	RoomAt time.Time // when Room was told; At if it is zero
}

// Room is how much work an owner's endpoints can take.
type Room struct {
	Cores  float64              // that tasks can fill; 0 if the VM owns no endpoints
	Places [Ranks]int           // tasks of usual size that could start now
	Wait   [Ranks]time.Duration // how long a usual job would wait
}

// View holds the latest reports; the caller serializes all calls.
type View struct {
	self   netip.AddrPort
	domain string
	all    map[netip.AddrPort]*Report
	totals map[netip.AddrPort]float64 // cores of owners, also of those that don't report room
	own    [Ranks]rate
	usual  [Ranks]usual
	sums   [2]sum // of this failure domain and of all
	sumAt  time.Time
}

// sum is a total over VMs.
type sum struct {
	rates [Ranks]float64
	cores float64
}

// rate is a running mean of core-seconds of work a second.
type rate struct {
	mean float64
	at   time.Time
}

func (r *rate) decayed(now time.Time) float64 {
	return r.mean * math.Exp(-now.Sub(r.at).Seconds()/Window.Seconds())
}

// New returns the empty view of a VM.
func New(self netip.AddrPort, domain string) *View {
	return &View{self: self, domain: domain, all: map[netip.AddrPort]*Report{}, totals: map[netip.AddrPort]float64{}}
}

// class returns the class of a rank.
func class(rank int) int { return min(max(rank, 0), Ranks-1) }

// usual is the running mean of the jobs that arrive here.
type usual struct {
	tasks, cores float64
	seen         bool
}

// usualGain is the weight of a new job in the mean: widths vary by a factor of 1.5.
const usualGain = 0.05

// Arrive counts a job that a caller has submitted to this VM, with its number of tasks, the cores of each and its work
// in core-seconds.
func (v *View) Arrive(now time.Time, rank, tasks int, cores, work float64) {
	u, gain := &v.usual[class(rank)], usualGain
	if !u.seen {
		u.seen, gain = true, 1
	}
	u.tasks += gain * (float64(tasks) - u.tasks)
	u.cores += gain * (cores - u.cores)
	r := &v.own[class(rank)]
	r.mean, r.at = r.decayed(now)+work/Window.Seconds(), now
}

// Own returns the core-seconds a second that arrive at this VM.
func (v *View) Own(now time.Time) (rates [Ranks]float64) {
	for i := range v.own {
		rates[i] = v.own[i].decayed(now)
	}
	return rates
}

// Update applies a VM's report, of this VM as well, unless a newer one is known.
func (v *View) Update(vm netip.AddrPort, r Report) {
	if old := v.all[vm]; old != nil && r.At.Before(old.At) {
		return
	}
	if r.RoomAt.IsZero() {
		r.RoomAt = r.At
	}
	if old := v.all[vm]; old != nil && old.RoomAt.After(r.RoomAt) {
		r.Room, r.RoomAt = old.Room, old.RoomAt
	}
	v.all[vm] = &r
	v.sumAt = time.Time{}
}

// UpdateRoom applies the room that an owner told with an answer.
func (v *View) UpdateRoom(vm netip.AddrPort, at time.Time, room Room) {
	old := v.all[vm]
	if old == nil || at.Before(old.RoomAt) {
		return // its next heartbeat tells the rest
	}
	old.Room, old.RoomAt = room, at
}

// SetTotal sets how many cores an owner has by its load, which also owners that report no room send.
func (v *View) SetTotal(vm netip.AddrPort, cores float64) {
	if cores <= 0 {
		delete(v.totals, vm)
		return
	}
	v.totals[vm] = cores
}

// Forget removes a VM that is silent or was restarted.
func (v *View) Forget(vm netip.AddrPort) {
	delete(v.all, vm)
	delete(v.totals, vm)
	v.sumAt = time.Time{}
}

// addUp returns the sums of this failure domain and of all.
//
// VMs that don't report what arrives there count with the mean of those that do, as the load balancer spreads callers.
func (v *View) addUp(now time.Time) *[2]sum {
	if age := now.Sub(v.sumAt); age >= 0 && age < sumFor {
		return &v.sums
	}
	v.sums, v.sumAt = [2]sum{}, now
	own, counting, alive := v.Own(now), [2]float64{1, 1}, [2]float64{1, 1}
	v.add(0, own)
	v.add(1, own)
	for vm, r := range v.all {
		if vm != v.self && now.Sub(r.At) > forgetAfter {
			delete(v.all, vm)
			continue
		}
		for i := range v.sums {
			if i == 0 && r.Domain != v.domain {
				continue
			}
			v.sums[i].cores += v.cores(vm, r)
			if vm == v.self {
				continue
			}
			alive[i]++
			if r.Counts {
				counting[i]++
				v.add(i, r.Rates)
			}
		}
	}
	for i := range v.sums {
		for k := range v.sums[i].rates {
			v.sums[i].rates[k] *= alive[i] / counting[i]
		}
	}
	return &v.sums
}

func (v *View) add(i int, rates [Ranks]float64) {
	for k, x := range rates {
		v.sums[i].rates[k] += x
	}
}

// cores returns how many cores of an owner tasks can fill, as far as it tells.
func (v *View) cores(vm netip.AddrPort, r *Report) float64 {
	if r.Room.Cores > 0 || r.Counts {
		return r.Room.Cores
	}
	return v.totals[vm]
}

// Pressure returns the work that arrives of ranks before the given one, as a part of what all reachable endpoints do.
func (v *View) Pressure(now time.Time, rank int) float64 { return v.addUp(now)[1].pressure(rank) }

// Near is Pressure of this VM's failure domain alone.
func (v *View) Near(now time.Time, rank int) float64 { return v.addUp(now)[0].pressure(rank) }

func (s *sum) pressure(rank int) (p float64) {
	if s.cores <= 0 {
		return 0
	}
	for i := range min(max(rank, 0), Ranks) {
		p += s.rates[i]
	}
	return p / s.cores
}
