package view

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/mesh/frame"
)

// Guards against forgetting a job's owner while its runs may go on: it fell silent or was restarted.
func TestFindJob(t *testing.T) {
	is := is.New(t)
	const job, maxAge = 42, time.Second
	v := New(vm(0), "a", began)
	advertise := func(at time.Time, n int, inc uint64, jobs ...uint64) {
		hear(v, at, n, inc, frame.Heartbeat{Jobs: jobs})
	}
	find := func(at time.Time) Advertiser {
		a, ok := v.FindJob(at, job, maxAge)
		is.Equal(ok, a.VM.IsValid())
		return a
	}
	at := func(n int) time.Time { return began.Add(time.Duration(n) * 100 * time.Millisecond) }

	advertise(at(1), 1, 1, 41)
	advertise(at(1), 2, 1, 41, job)
	is.Equal(find(at(2)), Advertiser{VM: vm(2), Heard: at(1)})
	is.Equal(find(at(11)).VM, vm(2))            // silent, but its runs may go on
	is.Equal(find(at(11).Add(1)), Advertiser{}) // silent for too long
	advertise(at(3), 1, 1, job)                 // another owner has it now
	is.Equal(find(at(4)).VM, vm(1))
	advertise(at(4), 1, 2)                                // restarted
	advertise(at(4), 2, 1)                                // over there
	is.Equal(find(at(5)), Advertiser{vm(1), at(3), true}) // runs of the former process may go on
	advertise(at(5), 1, 2)
	is.Equal(find(at(13)), Advertiser{vm(1), at(3), true})
	is.Equal(find(at(13).Add(1)), Advertiser{}) // they are over
}

// Guards against VMs that all pass on the jobs of a member that some VM does not hear, and against none that does.
func TestJobsOfUnheardMemberAreRelayedByTwo(t *testing.T) {
	const owner, deaf, vms = 1, 2, 8
	for name, beat := range map[string]frame.Heartbeat{
		"doubted":        {Doubts: []netip.AddrPort{vm(owner)}},
		"late":           {Late: []frame.LatePeer{{VM: vm(owner), By: minLate}}},
		"domain unheard": {Unheard: []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			relays := 0
			for self := range vms {
				if self == owner || self == deaf {
					continue
				}
				v := New(vm(self), "b", began)
				hear(v, began, owner, 1, frame.Heartbeat{Jobs: []uint64{42}})
				for n := range vms {
					if n != self && n != owner && n != deaf {
						v.Hear(began, frame.Hello{VM: vm(n), Inc: 1, Domain: "b"}, &frame.Heartbeat{})
					}
				}
				is.Equal(len(v.RelayedJobs(began)), 0) // all hear it
				v.Hear(began, frame.Hello{VM: vm(deaf), Inc: 1, Domain: "c"}, &beat)
				if len(v.RelayedJobs(began)) > 0 {
					relays++
				}
				is.Equal(len(v.RelayedJobs(began.Add(RemoteFactor*suspectAfter))), 0) // not heard here either
			}
			is.Equal(relays, maxRelays)
		})
	}
}

// Guards against asking a VM that passes a job on, which can't serve it, instead of the job's owner.
func TestOwnerGoesBeforeRelay(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 1, frame.Heartbeat{Relayed: []uint64{42}})
	a, ok := v.FindJob(began, 42, time.Second)
	is.True(ok)
	is.Equal(a.VM, vm(1))
	hear(v, began.Add(-1), 2, 1, frame.Heartbeat{Jobs: []uint64{42}})
	a, _ = v.FindJob(began, 42, time.Second)
	is.Equal(a.VM, vm(2))
}

// Guards against a failure domain that is named as unheard while one of its VMs is up, and one that never is named.
func TestUnheardDomains(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	v.Hear(began, frame.Hello{VM: vm(1), Inc: 1, Domain: "b"}, &frame.Heartbeat{})
	v.Hear(began, frame.Hello{VM: vm(2), Inc: 1, Domain: "b"}, &frame.Heartbeat{})
	late := began.Add(RemoteFactor * goneAloneAfter)
	v.Hear(late, frame.Hello{VM: vm(2), Inc: 1, Domain: "b"}, &frame.Heartbeat{})
	v.Tick(late)
	is.Equal(len(v.Unheard()), 0)
	v.Tick(late.Add(RemoteFactor * goneAloneAfter))
	is.Equal(v.Unheard(), []string{"b"})
}
