package view

import (
	"net/netip"
	"slices"
	"time"
)

// Advertiser is a VM that has or had a job, by the last heartbeat that advertised it.
type Advertiser struct {
	VM        netip.AddrPort
	Heard     time.Time // when that heartbeat was read
	Restarted bool      // the job was at an earlier incarnation, whose runs may go on
}

// FindJob returns the VM that advertised a job at most maxAge ago, and false if there is none.
func (v *View) FindJob(now time.Time, hash uint64, maxAge time.Duration) (last Advertiser, ok bool) {
	note := func(vm netip.AddrPort, jobs []uint64, heard time.Time, restarted bool) {
		if now.Sub(heard) <= maxAge && heard.After(last.Heard) && slices.Contains(jobs, hash) {
			last, ok = Advertiser{vm, heard, restarted}, true
		}
	}
	for _, m := range v.Members() {
		note(m.VM, m.Beat.Jobs, m.Heard, false)
		note(m.VM, m.formerJobs, m.formerHeard, true)
	}
	return last, ok
}
