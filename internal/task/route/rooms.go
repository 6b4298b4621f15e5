package route

import (
	"net/netip"
	"time"

	"dahliawinch/internal/task/parts"
)

const (
	// initialGaps is the assumed fraction of a pool that is left in gaps too small for a task until a report shows it:
	// with tasks of 8 cores (sigma 1.6) on endpoints of 16 and 24, 0.07 to 0.10 of the cores are unused while work waits.
	initialGaps = 0.08
	// gapsGain is the weight of a report in the mean fraction: ten reports, about a second.
	gapsGain = 0.1
)

// noteGaps learns how many cores no task can use: those free while tasks wait.
func (t *Table) noteGaps(l *Load) {
	if l.Ahead[len(l.Ahead)-1] > 0 {
		t.gaps += gapsGain * (l.Free/l.Total - t.gaps)
	}
}

// Rooms lists what each usable owner is expected to have for tasks that need the given cores each. An owner where tasks
// wait has no place. Otherwise gaps smaller than a task are no room: they grow with the part of the pool in use.
func (t *Table) Rooms(now time.Time, rank int, cores float64, orderLatency time.Duration) (rooms []parts.Room) {
	allowed := latencyFactor * t.medianLatency(now)
	handoffCost := handoffFactor * max(0, orderLatency-minLatency)
	for vm, l := range t.all {
		if t.usable(vm, l, now) {
			r := l.room(rank, cores, t.gaps)
			r.VM, r.Age = vm, now.Sub(l.At)
			r.Delay += max(0, l.OrderLatency-allowed)
			if vm != t.self {
				r.Delay += handoffCost
			}
			rooms = append(rooms, r)
		}
	}
	return rooms
}

// room returns what a pool of which the given fraction is lost to gaps when full has for tasks.
func (l *Load) room(rank int, cores, gaps float64) (r parts.Room) {
	if !l.Near {
		r.Delay = domainCost
	}
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	r.Gap = seconds(cores / l.Total * turnover.Seconds())
	r.Queue = seconds(l.Ahead[min(rank, len(l.Ahead)-1)] / l.Total)
	if l.Ahead[len(l.Ahead)-1] > 0 || cores <= 0 {
		r.Queue += seconds(l.sent / l.Total * turnover.Seconds())
		return r
	}
	used := l.Total - l.Free
	usable := l.Free - l.sent - used*gaps/(1-gaps)
	r.Places = max(0, int(usable/cores))
	r.Queue += seconds(max(0, -usable) / l.Total * turnover.Seconds())
	return r
}

// TooSmall returns the usable owners that have fewer cores in all than a job needs at a time, none if that is true of all.
func (t *Table) TooSmall(now time.Time, cores float64) (vms []netip.AddrPort) {
	vms = t.Owners(now, func(vm netip.AddrPort) bool { return t.all[vm].Total < cores })
	if len(vms) == t.Known(now) {
		return nil
	}
	return vms
}

// Owners returns the usable owners for which keep returns true.
func (t *Table) Owners(now time.Time, keep func(netip.AddrPort) bool) (vms []netip.AddrPort) {
	for vm, l := range t.all {
		if t.usable(vm, l, now) && keep(vm) {
			vms = append(vms, vm)
		}
	}
	return vms
}
