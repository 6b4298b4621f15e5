package claim

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/mesh/frame"
)

var (
	t0 = time.Unix(1_700_000_000, 0)
	a  = netip.MustParseAddrPort("10.0.0.1:1")
	b  = netip.MustParseAddrPort("10.0.0.2:1")
	gs = []Seat{{Group: x}, {Group: y}}
	x  = Group{Domain: "x"}
	y  = Group{Domain: "y"}
)

func TestOwnDomainFirstOthersLater(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	is.Equal(len(k.Decide(t0.Add(settle/2), false, gs, nil)), 0)
	cs := k.Decide(t0.Add(settle), false, gs, nil)
	is.Equal(len(cs), 1)
	is.Equal(cs[0].Group, x)
	cs = k.Decide(t0.Add(settleFar), false, gs, nil)
	is.Equal(len(cs), 1) // nobody else is there for y
	is.Equal(cs[0].Group, y)
	is.True(cs[0].Fence > k.Owns(x).Fence)
}

// Symptom: after a loss of all VMs the jobs of a domain fail twice. Sequence: two of its
// VMs start 130 ms apart; the first claims the endpoints, then the second. Cause: neither
// waits for a neighbour that it knows of and hasn't heard.
func TestClaimWaitsForAKnownNeighbour(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	peers := []Peer{{VM: b, Domain: "x", Listed: true}}
	is.Equal(len(k.Decide(t0.Add(settle), false, gs[:1], peers)), 0)
	is.Equal(len(k.Decide(t0.Add(settleAlone), false, gs[:1], peers)), 1) // it doesn't come
}

// Symptom: after a loss of all VMs nothing is served for 0.2 s longer than need be.
// Sequence: all VMs of a domain start again and hear each other at once; then they wait.
// Cause: they wait for owners that they may not know, though the store lists all VMs and
// each of the domain was heard.
func TestClaimWaitsNoLongerForWhomTheStoreLists(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	heard, silent := []Peer{{VM: b, Domain: "x", Live: true}}, []Peer{{VM: b, Domain: "x", Listed: true}}
	all := make([]Seat, 0, 16)
	for n := range uint8(16) { // of so many one is best placed here
		all = append(all, Seat{Group: Group{Domain: "x", Shard: n}, Unit: int(n)})
	}
	is.Equal(len(k.Decide(t0.Add(settleKnown), false, all, heard)), 0) // not read yet
	k.Listed()
	is.Equal(len(k.Decide(t0.Add(settleKnown), false, all, nil)), 0) // a neighbour may not be listed yet
	is.Equal(len(k.Decide(t0.Add(settleKnown), false, all, silent)), 0)
	is.Equal(len(k.Decide(t0.Add(settleKnown-1), false, all, heard)), 0)
	is.True(len(k.Decide(t0.Add(settleKnown), false, all, heard)) > 0)
}

// Symptom: after a loss of all VMs the first of a domain to start serves nobody for a second.
// Sequence: its neighbour's machine gets power half a second later. Cause: it waits for a
// neighbour that it knows of, though nothing answers at its address.
func TestClaimWaitsForNoAbsentNeighbour(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	k.Listed()
	peers := []Peer{{VM: b, Domain: "x", Listed: true, Absent: true}}
	is.Equal(len(k.Decide(t0.Add(settleKnown-1), false, gs[:1], peers)), 0)
	is.Equal(len(k.Decide(t0.Add(settleKnown), false, gs[:1], peers)), 1)
}

// Symptom: a VM that was replaced as planned takes the endpoints from its neighbour, and
// jobs fail. Sequence: its settings name the neighbour without a failure domain; 0.3 s
// after its start it has not heard it. Cause: a VM of an unknown domain is no neighbour.
func TestClaimWaitsForAVMOfUnknownDomain(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	is.Equal(len(k.Decide(t0.Add(settle), false, gs[:1], []Peer{{VM: b, Listed: true}})), 0)
}

// Guards against a VM that is cut off when it starts and claims the endpoints of all others, or does so
// when it hears the first of them.
func TestVMThatHeardNobodyClaimsNothingFar(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	c := netip.MustParseAddrPort("10.0.0.3:1")
	peers := []Peer{{VM: b, Domain: "y", Listed: true, Absent: true}, {VM: c, Domain: "z", Listed: true, Absent: true}}
	far := []Seat{{Group: y}}
	at := t0.Add(settleFar)
	is.Equal(len(k.Decide(at, false, far, peers)), 0)
	peers[1] = Peer{VM: c, Domain: "z", Live: true}
	is.Equal(len(k.Decide(at.Add(1), false, far, peers)), 0) // the owner may be heard next
	alone := New(a, "x", 1, t0)
	is.Equal(len(alone.Decide(at, false, far, peers[:1])), 1) // the only other one may well be lost
	for i := range peers {
		peers[i] = Peer{VM: peers[i].VM, Domain: peers[i].Domain, Listed: true}
	}
	is.Equal(len(k.Decide(t0.Add(settleUnheard), false, far, peers)), 1)
}

// Guards against a VM that comes back from a cut, hears one neighbour first, and claims what the others own.
func TestVMThatWasIsolatedListensFirst(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	at := t0.Add(time.Hour)
	k.Isolate(true)
	is.Equal(len(k.Decide(at, false, gs, nil)), 0)
	k.Isolate(false)
	is.Equal(len(k.Decide(at.Add(rejoin-1), false, gs, nil)), 0)
	is.Equal(len(k.Decide(at.Add(rejoin), false, gs, nil)), 2)
}

func TestExactlyOneOfTwoThatHearEachOtherClaims(t *testing.T) {
	is := is.New(t)
	now := t0.Add(settleAlone)
	ka, kb := New(a, "x", 1, t0), New(b, "x", 1, t0)
	ca := ka.Decide(now, false, gs[:1], []Peer{{VM: b, Domain: "x", Live: true}})
	cb := kb.Decide(now, false, gs[:1], []Peer{{VM: a, Domain: "x", Live: true}})
	is.Equal(len(ca)+len(cb), 1)
}

// Symptom: two VMs order the same endpoint by turns. Sequence: both claimed it while they
// didn't hear each other. Cause: neither gives way.
func TestLowerFenceGivesWay(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	k.Decide(t0.Add(settle), false, gs[:1], nil)
	mine := k.Owns(x).Fence
	rival := func(f uint64) []Peer {
		return []Peer{{VM: b, Domain: "x", Live: true, Claims: []frame.Claim{{Domain: "x", Shards: 1, Fence: f}}}}
	}
	is.Equal(len(k.Decide(t0.Add(time.Second), false, gs[:1], rival(mine-1))), 0)
	cs := k.Decide(t0.Add(time.Second), false, gs[:1], rival(mine+1))
	is.Equal(len(cs), 1)
	is.True(cs[0].Lost)
	is.True(k.Owns(x) == nil)
}

// Symptom: thousands of starts are refused for want of room on a calm day, and what runs is stopped
// as an orphan. Sequence: two VMs claim one group in the same millisecond, with fences whose low
// bits, of their addresses' hashes, are alike. Cause: endpoints obey equal fences of both, and
// neither VM gives way to one that is not higher.
func TestOneOfTwoEqualFencesGivesWay(t *testing.T) {
	is := is.New(t)
	ka, kb := New(a, "x", 1, t0), New(b, "x", 1, t0)
	ka.Decide(t0.Add(settle), false, gs[:1], nil)
	kb.Decide(t0.Add(settle), false, gs[:1], nil)
	kb.Owns(x).Fence = ka.Owns(x).Fence
	tell := func(vm netip.AddrPort, k *Book) []Peer {
		return []Peer{{VM: vm, Domain: "x", Live: true, Claims: []frame.Claim{{Domain: "x", Shards: 1, Fence: k.Owns(x).Fence}}}}
	}
	of, to := tell(a, ka), tell(b, kb)
	ka.Decide(t0.Add(time.Second), false, gs[:1], to)
	kb.Decide(t0.Add(time.Second), false, gs[:1], of)
	is.True((ka.Owns(x) == nil) != (kb.Owns(x) == nil))
}

func TestLeavingAndForeignOwnersHandOver(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	k.Decide(t0.Add(settleFar), false, gs, nil)
	home := []Peer{{VM: b, Domain: "y", Live: true, Since: t0}}
	is.Equal(len(k.Decide(t0.Add(settleFar), false, gs, home)), 0) // it has just come
	cs := k.Decide(t0.Add(patience), false, gs, home)
	is.Equal(len(cs), 1)
	is.True(cs[0].Giving && cs[0].Group == y)
	cs = k.Decide(t0.Add(patience), true, gs, home)
	is.Equal(len(cs), 1)
	is.True(cs[0].Giving && cs[0].Group == x)
}

func TestFencesRiseOverClockSteps(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	f := k.Fence(t0.Add(time.Hour))
	g := k.Fence(t0) // the time of day went back
	is.True(g > f)
	k.Raise(g)
	is.True(k.Fence(t0) >= g+step)
	is.True(New(a, "x", 1, t0).Fence(t0) != New(b, "x", 1, t0).Fence(t0))
}

func TestStrongVMsOwnMoreOften(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 0.2, t0)
	strong := 0
	for i := range 400 {
		g := Seat{Group: x, Unit: i}
		if k.best(t0, g, []Peer{{VM: b, Domain: "x", Live: true, Power: 0.8}}, netip.AddrPort{}) == b {
			strong++
		}
	}
	is.True(strong > 350) // sixteen to one
}

// Symptom: two VMs order the endpoints of a lost domain by turns for as long as it is lost.
// Sequence: each claims them, the other's orders are refused, it claims them again. Cause:
// in a large deployment they keep no link and never hear of each other's claim.
func TestGroupOfAnUnheardRivalIsLeftAlone(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	now := t0.Add(settleFar)
	is.Equal(len(k.Decide(now, false, gs[1:], nil)), 1)
	wait := k.Shun(now, y)
	is.Equal(wait, restLeast)
	is.Equal(len(k.Decide(now.Add(wait-1), false, gs[1:], nil)), 0)
	is.Equal(len(k.Decide(now.Add(wait), false, gs[1:], nil)), 1)
	is.Equal(k.Shun(now, y), 2*restLeast)
}

func TestClaimsOfOneRoundShareAFence(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	many := []Seat{{Group: Group{"x", 0}}, {Group: Group{"x", 1}, Unit: 1}, {Group: Group{"x", 31}, Unit: 3}}
	cs := k.Decide(t0.Add(settle), false, many, nil)
	is.Equal(len(cs), 3)
	is.Equal(cs[0].Fence, cs[2].Fence)
	peers := []Peer{{VM: a, Domain: "x", Live: true, Claims: []frame.Claim{{Domain: "x", Shards: 1<<0 | 1<<31, Fence: 7}}}}
	is.Equal(Owned(peers), map[Group]bool{{"x", 0}: true, {"x", 31}: true})
	is.True(Headed("x", peers) && !Headed("y", peers))
}

// Symptom: one VM owns all endpoints of its domain, and its neighbours idle. Sequence: the
// others start or restart after it. Cause: an owner keeps what it has while it lives.
func TestUnitMovesToAnIdleNeighbour(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	var many []Seat
	for i := range 16 {
		many = append(many, Seat{Group: Group{"x", uint8(i)}, Unit: i / 2})
	}
	is.Equal(len(k.Decide(t0.Add(settleAlone), false, many, nil)), 16)
	came := t0.Add(2 * time.Second)
	idle := []Peer{{VM: b, Domain: "x", Live: true, Since: came}}
	is.Equal(len(k.Decide(came.Add(calm-1), false, many, idle)), 0) // it has just come
	cs := k.Decide(came.Add(calm), false, many, idle)
	is.Equal(len(cs), 2) // both groups of one unit
	is.True(cs[0].Giving && cs[1].Giving)
	is.Equal(k.best(came.Add(calm), many[cs[0].Group.Shard], idle, netip.AddrPort{}), b)
	is.Equal(len(k.Decide(came.Add(calm), false, many, idle)), 0) // one at a time
	for _, c := range cs {
		k.Drop(c.Group)
	}
	busy := []Peer{{VM: b, Domain: "x", Live: true, Since: came, Claims: []frame.Claim{{Domain: "x", Shards: 1 << cs[0].Group.Shard, Fence: 9e18}}}}
	is.Equal(len(k.Decide(came.Add(calm), false, many[:cs[0].Group.Shard], busy)), 0)
}

// Guards against an owner that keeps its endpoints, or takes others over, while its messages come late.
func TestStrainedVMsHandOver(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	k.Decide(t0.Add(settle), false, gs[:1], nil)
	is.True(k.Owns(x) != nil)
	k.Strain(true)
	now := t0.Add(time.Minute)
	is.Equal(len(k.Decide(now, false, gs[:1], nil)), 0) // nobody else would have them
	is.Equal(len(k.Decide(now, false, gs[:1], []Peer{{VM: b, Domain: "x", Live: true, Since: t0, Strained: true}})), 0)
	neighbour := []Peer{{VM: b, Domain: "x", Live: true, Since: t0}}
	cs := k.Decide(now, false, gs[:1], neighbour)
	is.Equal(len(cs), 1)
	is.True(cs[0].Giving)
	k.Drop(x)
	for unit := range 100 {
		is.Equal(k.best(now, Seat{Group: x, Unit: unit}, neighbour, netip.AddrPort{}), b)
	}
}

// Guards against VMs that keep no link to each other and claim the same group of a lost domain.
func TestVMsOfOneDomainOwnALostUnit(t *testing.T) {
	is := is.New(t)
	const domains, each = 4, 24
	at := func(d, n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(d), byte(n)}), 1)
	}
	name := func(d int) string { return string(rune('a' + d)) }
	r := rand.New(rand.NewPCG(1, 1))
	for unit := range 20 {
		g, owners := Seat{Group: Group{Domain: "lost"}, Unit: unit}, map[netip.AddrPort]bool{}
		for d := range domains {
			for n := range each {
				k := New(at(d, n), name(d), 1, t0)
				var peers []Peer // its neighbours and a third of the others
				for e := range domains {
					for m := range each {
						if (e == d && m != n) || (e != d && (m == 0 || r.IntN(3) == 0)) {
							peers = append(peers, Peer{VM: at(e, m), Domain: name(e), Live: true})
						}
					}
				}
				if k.best(t0, g, peers, netip.AddrPort{}) == k.self {
					owners[k.self] = true
				}
			}
		}
		is.Equal(len(owners), 1)
	}
}

// Guards against a VM that claims endpoints of a neighbour which it can't hear and which lives.
func TestVMDefersToAnOwnerThatItCannotHear(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	peers := []Peer{{VM: b, Domain: "x", Listed: true}}
	k.Defer(true)
	at := t0.Add(time.Hour)
	is.Equal(len(k.Decide(at, false, gs[:1], peers)), 0)
	k.Defer(false) // the path has healed, and the owner's first heartbeat is on its way
	is.Equal(len(k.Decide(at.Add(rejoin-1), false, gs[:1], peers)), 0)
	is.Equal(len(k.Decide(at.Add(rejoin), false, gs[:1], peers)), 1)
}

// Guards against a VM that is the last of its failure domain and claims nothing there, since it seems to be isolated.
func TestIsolatedVMSucceedsNeighboursThatAreSurelyLost(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	k.Isolate(true)
	at := t0.Add(time.Hour)
	is.Equal(len(k.Decide(at, false, gs, nil)), 0)
	k.Succeed(true)
	cs := k.Decide(at.Add(time.Millisecond), false, gs, nil)
	is.Equal(len(cs), 1)
	is.Equal(cs[0].Group, x) // and nothing of other domains, whose VMs were not asked
}

// Guards against the last VM of all that claims nothing of other failure domains, since it seems to be isolated or
// listens for VMs that were never heard.
func TestLastVMSucceedsAll(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	k.Isolate(true)
	k.SucceedAll(true)
	at, peers := t0.Add(settleFar), []Peer{{VM: b, Domain: "y", Listed: true}}
	is.Equal(len(k.Decide(at.Add(-1), false, gs, peers)), 1) // of its own domain
	is.Equal(len(k.Decide(at, false, gs, peers)), 1)
}

// Guards against a VM that is cut off for long and claims the endpoints of other failure domains in the end.
func TestVMThatIsCutOffClaimsNothingFar(t *testing.T) {
	is := is.New(t)
	k := New(a, "x", 1, t0)
	k.CutOff(true)
	at := t0.Add(time.Hour)
	cs := k.Decide(at, false, gs, nil)
	is.Equal(len(cs), 1)
	is.Equal(cs[0].Group, x) // its neighbour owns nothing
	k.CutOff(false)
	is.Equal(len(k.Decide(at.Add(rejoin-1), false, gs, nil)), 0)
	is.Equal(len(k.Decide(at.Add(rejoin), false, gs, nil)), 1)
}
