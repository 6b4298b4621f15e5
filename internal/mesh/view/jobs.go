package view

import (
	"net/netip"
	"slices"
	"time"
)

// maxRelays is how many VMs pass on the jobs of a member that others don't hear; one of them may be unheard too.
const maxRelays = 2

// Advertiser is a VM that has or had a job, or knows who has it, by the last heartbeat that advertised the job.
type Advertiser struct {
	VM        netip.AddrPort
	Heard     time.Time // when that heartbeat was read
	Restarted bool      // the job was at an earlier incarnation, whose runs may go on
}

// FindJob returns the VM, other than those in except, that advertised a job at most maxAge ago, and false if there is none. A VM that passes on
// what an unheard one advertises is returned only if nobody else is known.
func (v *View) FindJob(now time.Time, hash uint64, maxAge time.Duration, except ...netip.AddrPort) (last Advertiser, ok bool) {
	note := func(vm netip.AddrPort, jobs []uint64, heard time.Time, restarted bool) {
		if now.Sub(heard) <= maxAge && heard.After(last.Heard) && slices.Contains(jobs, hash) && !slices.Contains(except, vm) {
			last, ok = Advertiser{vm, heard, restarted}, true
		}
	}
	for _, m := range v.Members() {
		note(m.VM, m.Beat.Jobs, m.Heard, false)
		note(m.VM, m.formerJobs, m.formerHeard, true)
	}
	if ok {
		return last, true
	}
	for _, m := range v.Members() {
		note(m.VM, m.Beat.Relayed, m.Heard, false)
	}
	return last, ok
}

// Unheard returns the other failure domains of which this VM has heard members, all of which are gone.
func (v *View) Unheard() (domains []string) {
	heard := map[string]bool{}
	for _, m := range v.Members() {
		if m.Domain != v.domain && m.State != Listed && m.State != Left {
			heard[m.Domain] = heard[m.Domain] || m.State != Gone
		}
	}
	for domain, ok := range heard {
		if !ok {
			domains = append(domains, domain)
		}
	}
	return domains
}

// RelayedJobs returns the jobs that this VM passes on: those of members that it hears and others don't.
func (v *View) RelayedJobs(now time.Time) (hashes []uint64) {
	vms, domains := v.reported()
	if len(vms)+len(domains) == 0 {
		return nil
	}
	for _, m := range v.Members() {
		unheard := vms[m.VM] || domains[m.Domain]
		if unheard && len(m.Beat.Jobs) > 0 && v.silence(now, m) < suspectAfter && v.relays(m) {
			hashes = append(hashes, m.Beat.Jobs...)
		}
	}
	return hashes
}

// reported returns the VMs that some member hears late or not at all, and the failure domains of which some member
// hears nobody.
func (v *View) reported() (vms map[netip.AddrPort]bool, domains map[string]bool) {
	vms, domains = map[netip.AddrPort]bool{}, map[string]bool{}
	for _, m := range v.Members() {
		for _, vm := range m.Beat.Doubts {
			vms[vm] = true
		}
		for _, l := range m.Beat.Late {
			vms[l.VM] = true
		}
		for _, domain := range m.Beat.Unheard {
			domains[domain] = true
		}
	}
	return vms, domains
}

// relays reports whether this VM is among the maxRelays, by rendezvous hashing, of the VMs that hear a member in time.
func (v *View) relays(of *Member) bool {
	better, own := 0, rank(v.self, of.VM)
	for _, m := range v.Members() {
		if m.VM != of.VM && m.hears(of) && rank(m.VM, of.VM) > own {
			better++
		}
	}
	return better < maxRelays
}

// hears reports whether the member hears another one in time.
func (m *Member) hears(o *Member) bool {
	return m.State == Alive && m.Reported(o.VM) == 0 && !slices.Contains(m.Beat.Unheard, o.Domain)
}
