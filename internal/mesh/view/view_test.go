package view

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/mesh/frame"
)

var began = time.Unix(1_700_000_000, 0)

func vm(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+n))
}

func hear(v *View, at time.Time, n int, inc uint64, b frame.Heartbeat) (Change, bool) {
	return v.Hear(at, frame.Hello{VM: vm(n), Inc: inc, Domain: "a"}, &b)
}

// Guards against two VMs that hold the slots of a healthy VM's endpoints: the link between two VMs fails while a
// third hears both, and silence on one link is taken for a loss.
func TestOneBadLinkDropsNobody(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 1, frame.Heartbeat{})
	for ms := 100; ms <= 10_000; ms += 100 {
		at := began.Add(time.Duration(ms) * time.Millisecond)
		hear(v, at, 2, 1, frame.Heartbeat{})
		v.Tick(at)
	}
	is.Equal(v.Find(vm(1)).State, Suspect) // gets no work, keeps its slots
	is.Equal(len(v.Domain(began, false)), 3)
	at := began.Add(10_100 * time.Millisecond)
	hear(v, at, 2, 1, frame.Heartbeat{Doubts: []netip.AddrPort{vm(1)}})
	v.Tick(at)
	is.Equal(v.Find(vm(1)).State, Gone)
}

// Guards against endpoints that stay unclaimed when two VMs are left: the first considers the others gone and stops
// doubting them, so the second gets no confirmation and never considers them gone.
func TestGoneMemberIsDoubtedForAWhile(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 1, frame.Heartbeat{})
	at := began.Add(goneAfter)
	hear(v, at, 2, 1, frame.Heartbeat{Doubts: []netip.AddrPort{vm(1)}})
	v.Tick(at)
	is.Equal(v.Find(vm(1)).State, Gone)
	is.Equal(v.Doubts(at), []netip.AddrPort{vm(1)})
	is.Equal(len(v.Doubts(began.Add(goneAloneAfter-1))), 2) // vm(2) is silent too by now
	is.Equal(v.Doubts(began.Add(goneAloneAfter)), []netip.AddrPort{vm(2)})
}

func TestLoneVMDecidesLater(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 1, frame.Heartbeat{})
	v.Tick(began.Add(2 * time.Second))
	is.Equal(v.Find(vm(1)).State, Suspect)
	v.Tick(began.Add(goneAloneAfter))
	is.Equal(v.Find(vm(1)).State, Gone)
}

// Guards against work sent to a process that no longer exists: a VM restarts, and a delayed heartbeat of its old
// incarnation arrives last.
func TestOldIncarnationIsDropped(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 5, frame.Heartbeat{})
	c, ok := hear(v, began, 1, 6, frame.Heartbeat{Room: frame.Room{Free: 3}})
	is.True(ok && c.Reborn)
	_, ok = hear(v, began, 1, 5, frame.Heartbeat{Room: frame.Room{Free: 9}})
	is.True(!ok)
	is.Equal(v.Find(vm(1)).Beat.Room.Free, 3)
}

// Guards against work that waits until its deadline: a VM leaves, its last results are lost with its last connection,
// and a member that left is never considered gone.
func TestLeftMemberIsGoneOnceSilent(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 1, frame.Heartbeat{Leaving: true})
	is.Equal(len(v.Tick(began.Add(suspectAfter))), 0)
	is.Equal(len(v.Tick(began.Add(goneAfter))), 1)
	is.Equal(v.Find(vm(1)).State, Gone)
}

// Guards against control messages that grow with every added failure domain, as when each of 400 VMs in 45 domains
// keeps links to all others.
func TestLinksStayFew(t *testing.T) {
	is := is.New(t)
	const vms, domains = 400, 45
	at := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 200), byte(i % 200)}), 7000)
	}
	var all []Named
	for i := range vms {
		all = append(all, Named{at(i), fmt.Sprint(i % domains)})
	}
	degree := map[netip.AddrPort]int{}
	for i := range vms {
		v := New(at(i), fmt.Sprint(i%domains), began)
		v.Learn(began, all...)
		for _, m := range v.Members() {
			if m.Picked && m.Domain != fmt.Sprint(i%domains) {
				degree[at(i)]++
				degree[m.VM]++
			}
		}
	}
	most := 0
	for _, d := range degree {
		most = max(most, d)
	}
	is.Equal(len(degree), vms)
	is.True(most <= 4*RemoteLinks)
}

func TestOwnPauseSuspectsNobody(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 1, frame.Heartbeat{})
	v.Resume(began.Add(20 * time.Second))
	is.Equal(len(v.Tick(began.Add(20*time.Second))), 0)
}

// Guards against a VM that assigns its neighbour to another failure domain: the settings name the neighbour without
// a domain, the store later names it with one, and the first is kept.
func TestDomainIsLearnedLater(t *testing.T) {
	is := is.New(t)
	self, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	v := New(self, "x", time.Unix(0, 0))
	v.Learn(time.Unix(0, 0), Named{VM: other})
	v.Learn(time.Unix(1, 0), Named{VM: other, Domain: "x"})
	is.Equal(v.Find(other).Domain, "x")
}

// Guards against heartbeats that make up most of all messages: with 75 VMs in a failure domain, each sends one to all
// others ten times a second. With fewer heartbeats a longer silence must be allowed.
func TestLargeDomainSendsFewerHeartbeats(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	for i := 1; i < largeDomain; i++ {
		hear(v, began, i, 1, frame.Heartbeat{})
	}
	is.True(v.Often(v.Members()[0]))
	later := began.Add(suspectAfter + Period)
	is.Equal(len(v.Doubts(later)), largeDomain-1)
	hear(v, began, largeDomain, 1, frame.Heartbeat{})
	is.True(!v.Often(v.Members()[0]))
	is.Equal(len(v.Doubts(later)), 0)
	is.Equal(len(v.Doubts(began.Add(RemoteFactor*suspectAfter))), largeDomain)
}

// Guards against a crash at the start: two goroutines read the members for the first time at once, the first marks the
// snapshot as fresh before it is stored, and the second reads nil.
func TestConcurrentFirstReadsSeeMembers(t *testing.T) {
	const threads = 8
	for range 3000 {
		v := New(vm(0), "a", began)
		var all sync.WaitGroup
		start := make(chan struct{})
		for range threads {
			all.Go(func() {
				<-start
				if len(v.Members()) != 0 {
					t.Error("a new view has members")
				}
			})
		}
		close(start)
		all.Wait()
	}
}
