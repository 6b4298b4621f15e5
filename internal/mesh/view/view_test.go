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

func hear(v *View, at time.Time, n int, inc uint64, b frame.Beat) (Change, bool) {
	return v.Hear(at, frame.Hello{VM: vm(n), Inc: inc, Domain: "a"}, &b)
}

// Symptom: a healthy VM's endpoints get two homes. Sequence: the link between two
// VMs fails while both are well heard by a third. Cause: silence on one link is
// taken for death.
func TestOneBadLinkDropsNobody(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 1, frame.Beat{})
	for ms := 100; ms <= 10_000; ms += 100 {
		at := began.Add(time.Duration(ms) * time.Millisecond)
		hear(v, at, 2, 1, frame.Beat{})
		v.Tick(at)
	}
	is.Equal(v.Find(vm(1)).State, Suspect) // gets no work, keeps its slots
	is.Equal(len(v.Domain(began, false)), 3)
	at := began.Add(10_100 * time.Millisecond)
	hear(v, at, 2, 1, frame.Beat{Doubts: []netip.AddrPort{vm(1)}})
	v.Tick(at)
	is.Equal(v.Find(vm(1)).State, Gone)
}

// Guards against the second of two VMs that are left, whose only witness has given the others up and says so no more.
func TestMemberThatIsGoneIsDoubtedForAWhile(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 1, frame.Beat{})
	at := began.Add(goneAfter)
	hear(v, at, 2, 1, frame.Beat{Doubts: []netip.AddrPort{vm(1)}})
	v.Tick(at)
	is.Equal(v.Find(vm(1)).State, Gone)
	is.Equal(v.Doubts(at), []netip.AddrPort{vm(1)})
	is.Equal(len(v.Doubts(began.Add(aloneAfter-1))), 2) // vm(2) is silent too by now
	is.Equal(v.Doubts(began.Add(aloneAfter)), []netip.AddrPort{vm(2)})
}

func TestAloneAVMDecidesLater(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 1, frame.Beat{})
	v.Tick(began.Add(2 * time.Second))
	is.Equal(v.Find(vm(1)).State, Suspect)
	v.Tick(began.Add(aloneAfter))
	is.Equal(v.Find(vm(1)).State, Gone)
}

// Symptom: work is given to a process that no longer exists. Sequence: a VM
// restarts, and a delayed beat of its old process arrives last. Cause: beats are
// not told apart by incarnation.
func TestOldIncarnationIsDropped(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 5, frame.Beat{})
	c, ok := hear(v, began, 1, 6, frame.Beat{Room: frame.Room{Free: 3}})
	is.True(ok && c.Reborn)
	_, ok = hear(v, began, 1, 5, frame.Beat{Room: frame.Room{Free: 9}})
	is.True(!ok)
	is.Equal(v.Find(vm(1)).Beat.Room.Free, 3)
}

// Symptom: work given to a VM that left is awaited until its deadline. Sequence: it
// leaves, and its last results are lost with its last connection. Cause: a member
// that left is never taken for gone.
func TestLeftMemberIsGoneOnceSilent(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 1, frame.Beat{Leaving: true})
	is.Equal(len(v.Tick(began.Add(suspectAfter))), 0)
	is.Equal(len(v.Tick(began.Add(goneAfter))), 1)
	is.Equal(v.Find(vm(1)).State, Gone)
}

// Symptom: control messages grow with every failure domain that is added. Sequence:
// 400 VMs in 45 domains. Cause: each VM keeps links to all.
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
	is.True(most <= 4*FarLinks)
}

func TestPauseOfThisVMBlamesNobody(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	hear(v, began, 1, 1, frame.Beat{})
	v.Resume(began.Add(20 * time.Second))
	is.Equal(len(v.Tick(began.Add(20*time.Second))), 0)
}

// Symptom: a VM counts its neighbour as one of another failure domain. Sequence: settings
// name the neighbour without its domain, the store then names it with it. Cause: what was
// learned first stays.
func TestDomainIsLearnedLater(t *testing.T) {
	is := is.New(t)
	self, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	v := New(self, "x", time.Unix(0, 0))
	v.Learn(time.Unix(0, 0), Named{VM: other})
	v.Learn(time.Unix(1, 0), Named{VM: other, Domain: "x"})
	is.Equal(v.Find(other).Domain, "x")
}

// Symptom: with 75 VMs in a failure domain most of all messages are heartbeats. Cause:
// each VM sends one to all others ten times a second. With seldom ones a silence must last
// longer to mean something.
func TestHeartbeatsOfALargeDomainAreSeldom(t *testing.T) {
	is := is.New(t)
	v := New(vm(0), "a", began)
	for i := 1; i < largeDomain; i++ {
		hear(v, began, i, 1, frame.Beat{})
	}
	is.True(v.Often(v.Members()[0]))
	later := began.Add(suspectAfter + Period)
	is.Equal(len(v.Doubts(later)), largeDomain-1)
	hear(v, began, largeDomain, 1, frame.Beat{})
	is.True(!v.Often(v.Members()[0]))
	is.Equal(len(v.Doubts(later)), 0)
	is.Equal(len(v.Doubts(began.Add(Far*suspectAfter))), largeDomain)
}

// Symptom: a VM's process ends with a fault as it starts. Sequence: two of its threads
// look at the members for the first time in the same instant. Cause: the first marks the
// snapshot as fresh before it is there, and the second reads none.
func TestMembersAreThereForAllWhoLookFirst(t *testing.T) {
	const threads = 8
	for range 3000 {
		v := New(vm(0), "a", began)
		var all sync.WaitGroup
		start := make(chan struct{})
		for range threads {
			all.Go(func() {
				<-start
				if len(v.Members()) != 0 {
					t.Error("members of nowhere")
				}
			})
		}
		close(start)
		all.Wait()
	}
}
