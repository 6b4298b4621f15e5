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
	gs = []Candidate{{Group: x}, {Group: y}}
	x  = Group{Domain: "x"}
	y  = Group{Domain: "y"}
)

func TestOwnDomainIsClaimedBeforeOthers(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	is.Equal(len(table.Decide(t0.Add(settleOwn/2), false, gs, nil)), 0)
	cs := table.Decide(t0.Add(settleOwn), false, gs, nil)
	is.Equal(len(cs), 1)
	is.Equal(cs[0].Group, x)
	cs = table.Decide(t0.Add(settleOther), false, gs, nil)
	is.Equal(len(cs), 1) // no other VM is up for y
	is.Equal(cs[0].Group, y)
	is.True(cs[0].Fence > table.Owns(x).Fence)
}

// Guards against a VM that doesn't wait for a known neighbour it hasn't heard: after a loss of all VMs, two
// VMs of a domain start 130 ms apart, both claim the endpoints, and the domain's jobs fail twice.
func TestClaimWaitsForKnownNeighbour(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	peers := []Peer{{VM: b, Domain: "x", Listed: true}}
	is.Equal(len(table.Decide(t0.Add(settleOwn), false, gs[:1], peers)), 0)
	is.Equal(len(table.Decide(t0.Add(settleMissing), false, gs[:1], peers)), 1) // it didn't start
}

// Guards against an outage 0.2 s longer than necessary after a loss of all VMs: the store lists all VMs, and those
// of a domain hear each other at once, but they still wait for owners that may not be known yet.
func TestClaimIsFastWhenAllListedAreHeard(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	heard, silent := []Peer{{VM: b, Domain: "x", Live: true}}, []Peer{{VM: b, Domain: "x", Listed: true}}
	all := make([]Candidate, 0, 16)
	for n := range uint8(16) { // of 16 units at least one belongs here
		all = append(all, Candidate{Group: Group{Domain: "x", Shard: n}, Unit: int(n)})
	}
	is.Equal(len(table.Decide(t0.Add(settleKnown), false, all, heard)), 0) // list not read yet
	table.SetListRead()
	is.Equal(len(table.Decide(t0.Add(settleKnown), false, all, nil)), 0) // a neighbour may not be listed yet
	is.Equal(len(table.Decide(t0.Add(settleKnown), false, all, silent)), 0)
	is.Equal(len(table.Decide(t0.Add(settleKnown-1), false, all, heard)), 0)
	is.True(len(table.Decide(t0.Add(settleKnown), false, all, heard)) > 0)
}

// Guards against a second without service after a loss of all VMs: the machine of a neighbour gets power half
// a second later, and the first VM of the domain waits for it though nothing answers at its address.
func TestClaimSkipsAbsentNeighbour(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	table.SetListRead()
	peers := []Peer{{VM: b, Domain: "x", Listed: true, Absent: true}}
	is.Equal(len(table.Decide(t0.Add(settleKnown-1), false, gs[:1], peers)), 0)
	is.Equal(len(table.Decide(t0.Add(settleKnown), false, gs[:1], peers)), 1)
}

// Guards against a replaced VM that takes the endpoints of its neighbour, so that jobs fail: its settings name
// the neighbour without a failure domain. 0.3 s after its start it has not heard that VM, and does not wait for it
// since it does not know that they are neighbours.
func TestClaimWaitsForVMOfUnknownDomain(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	is.Equal(len(table.Decide(t0.Add(settleOwn), false, gs[:1], []Peer{{VM: b, Listed: true}})), 0)
}

// Guards against a VM that is cut off at its start and claims the endpoints of all others, then or as soon as
// it hears the first of them.
func TestVMThatHeardNobodyClaimsNoOtherDomain(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	c := netip.MustParseAddrPort("10.0.0.3:1")
	peers := []Peer{{VM: b, Domain: "y", Listed: true, Absent: true}, {VM: c, Domain: "z", Listed: true, Absent: true}}
	other := []Candidate{{Group: y}}
	at := t0.Add(settleOther)
	is.Equal(len(table.Decide(at, false, other, peers)), 0)
	peers[1] = Peer{VM: c, Domain: "z", Live: true}
	is.Equal(len(table.Decide(at.Add(1), false, other, peers)), 0) // the owner may be heard next
	alone := New(a, "x", 1, t0)
	is.Equal(len(alone.Decide(at, false, other, peers[:1])), 1) // the only other VM may really be lost
	for i := range peers {
		peers[i] = Peer{VM: peers[i].VM, Domain: peers[i].Domain, Listed: true}
	}
	is.Equal(len(table.Decide(t0.Add(settleUnheard), false, other, peers)), 1)
}

// Guards against a VM that reconnects, hears one neighbour first, and claims the groups of the others.
func TestClaimWaitsAfterIsolation(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	at := t0.Add(time.Hour)
	table.SetIsolated(true)
	is.Equal(len(table.Decide(at, false, gs, nil)), 0)
	table.SetIsolated(false)
	is.Equal(len(table.Decide(at.Add(rejoinDelay-1), false, gs, nil)), 0)
	is.Equal(len(table.Decide(at.Add(rejoinDelay), false, gs, nil)), 2)
}

func TestOneOfTwoConnectedVMsClaims(t *testing.T) {
	is := is.New(t)
	now := t0.Add(settleMissing)
	tableA, tableB := New(a, "x", 1, t0), New(b, "x", 1, t0)
	ca := tableA.Decide(now, false, gs[:1], []Peer{{VM: b, Domain: "x", Live: true}})
	cb := tableB.Decide(now, false, gs[:1], []Peer{{VM: a, Domain: "x", Live: true}})
	is.Equal(len(ca)+len(cb), 1)
}

// Guards against two VMs that both send orders to an endpoint: they claimed it while they didn't hear each
// other, and neither drops its claim when they do.
func TestLowerFenceGivesWay(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	table.Decide(t0.Add(settleOwn), false, gs[:1], nil)
	mine := table.Owns(x).Fence
	rival := func(f uint64) []Peer {
		return []Peer{{VM: b, Domain: "x", Live: true, Claims: []frame.Claim{{Domain: "x", Shards: 1, Fence: f}}}}
	}
	is.Equal(len(table.Decide(t0.Add(time.Second), false, gs[:1], rival(mine-1))), 0)
	cs := table.Decide(t0.Add(time.Second), false, gs[:1], rival(mine+1))
	is.Equal(len(cs), 1)
	is.True(cs[0].Lost)
	is.True(table.Owns(x) == nil)
}

// Guards against two VMs that claim a group in the same millisecond with equal fences, as the low bits from
// their address hashes are equal. The endpoints obey both, and neither gives way: under normal load,
// thousands of starts are refused for lack of room, and running tasks are stopped as orphans.
func TestOneOfTwoEqualFencesGivesWay(t *testing.T) {
	is := is.New(t)
	tableA, tableB := New(a, "x", 1, t0), New(b, "x", 1, t0)
	tableA.Decide(t0.Add(settleOwn), false, gs[:1], nil)
	tableB.Decide(t0.Add(settleOwn), false, gs[:1], nil)
	tableB.Owns(x).Fence = tableA.Owns(x).Fence
	peerWith := func(vm netip.AddrPort, table *Table) []Peer {
		return []Peer{{VM: vm, Domain: "x", Live: true, Claims: []frame.Claim{{Domain: "x", Shards: 1, Fence: table.Owns(x).Fence}}}}
	}
	peerA, peerB := peerWith(a, tableA), peerWith(b, tableB)
	tableA.Decide(t0.Add(time.Second), false, gs[:1], peerB)
	tableB.Decide(t0.Add(time.Second), false, gs[:1], peerA)
	is.True((tableA.Owns(x) == nil) != (tableB.Owns(x) == nil))
}

func TestLeavingAndRemoteOwnersHandOver(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	table.Decide(t0.Add(settleOther), false, gs, nil)
	home := []Peer{{VM: b, Domain: "y", Live: true, Since: t0}}
	is.Equal(len(table.Decide(t0.Add(settleOther), false, gs, home)), 0) // it has just started
	cs := table.Decide(t0.Add(handBackAfter), false, gs, home)
	is.Equal(len(cs), 1)
	is.True(cs[0].HandingOver && cs[0].Group == y)
	cs = table.Decide(t0.Add(handBackAfter), true, gs, home)
	is.Equal(len(cs), 1)
	is.True(cs[0].HandingOver && cs[0].Group == x)
}

func TestFencesRiseOverClockSteps(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	f := table.NextFence(t0.Add(time.Hour))
	g := table.NextFence(t0) // the wall clock was set back
	is.True(g > f)
	table.Raise(g)
	is.True(table.NextFence(t0) >= g+fenceStep)
	is.True(New(a, "x", 1, t0).NextFence(t0) != New(b, "x", 1, t0).NextFence(t0))
}

func TestStrongVMsOwnMoreOften(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 0.2, t0)
	strong := 0
	for i := range 400 {
		g := Candidate{Group: x, Unit: i}
		if table.best(t0, g, []Peer{{VM: b, Domain: "x", Live: true, Power: 0.8}}, netip.AddrPort{}) == b {
			strong++
		}
	}
	is.True(strong > 350) // expected 16:1, the square of 0.8/0.2
}

// Guards against two VMs that keep taking the endpoints of a lost domain from each other: in a large deployment
// they have no link and don't know of each other's claim, so each claims again after its orders were refused.
func TestBackoffForUnheardOwner(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	now := t0.Add(settleOther)
	is.Equal(len(table.Decide(now, false, gs[1:], nil)), 1)
	wait := table.BackOff(now, y)
	is.Equal(wait, minBackoff)
	is.Equal(len(table.Decide(now.Add(wait-1), false, gs[1:], nil)), 0)
	is.Equal(len(table.Decide(now.Add(wait), false, gs[1:], nil)), 1)
	is.Equal(table.BackOff(now, y), 2*minBackoff)
}

func TestClaimsOfOneRoundShareAFence(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	many := []Candidate{{Group: Group{"x", 0}}, {Group: Group{"x", 1}, Unit: 1}, {Group: Group{"x", 31}, Unit: 3}}
	cs := table.Decide(t0.Add(settleOwn), false, many, nil)
	is.Equal(len(cs), 3)
	is.Equal(cs[0].Fence, cs[2].Fence)
	peers := []Peer{{VM: a, Domain: "x", Live: true, Claims: []frame.Claim{{Domain: "x", Shards: 1<<0 | 1<<31, Fence: 7}}}}
	is.Equal(Owned(peers), map[Group]bool{{"x", 0}: true, {"x", 31}: true})
	is.True(HasActiveVM("x", peers) && !HasActiveVM("y", peers))
}

// Guards against one VM that owns all endpoints of its domain while its neighbours are idle: they started or
// restarted after it, and an owner would keep its groups as long as it lives.
func TestUnitMovesToAnIdleNeighbour(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	var many []Candidate
	for i := range 16 {
		many = append(many, Candidate{Group: Group{"x", uint8(i)}, Unit: i / 2})
	}
	is.Equal(len(table.Decide(t0.Add(settleMissing), false, many, nil)), 16)
	started := t0.Add(2 * time.Second)
	idle := []Peer{{VM: b, Domain: "x", Live: true, Since: started}}
	is.Equal(len(table.Decide(started.Add(stableAfter-1), false, many, idle)), 0) // it has just started
	cs := table.Decide(started.Add(stableAfter), false, many, idle)
	is.Equal(len(cs), 2) // both groups of one unit
	is.True(cs[0].HandingOver && cs[1].HandingOver)
	is.Equal(table.best(started.Add(stableAfter), many[cs[0].Group.Shard], idle, netip.AddrPort{}), b)
	is.Equal(len(table.Decide(started.Add(stableAfter), false, many, idle)), 0) // one at a time
	for _, c := range cs {
		table.Drop(c.Group)
	}
	busy := []Peer{{VM: b, Domain: "x", Live: true, Since: started, Claims: []frame.Claim{{Domain: "x", Shards: 1 << cs[0].Group.Shard, Fence: 9e18}}}}
	is.Equal(len(table.Decide(started.Add(stableAfter), false, many[:cs[0].Group.Shard], busy)), 0)
}

// Guards against an owner that keeps its endpoints, or claims others, while its messages are late.
func TestStrainedVMsHandOver(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	table.Decide(t0.Add(settleOwn), false, gs[:1], nil)
	is.True(table.Owns(x) != nil)
	table.SetStrained(true)
	now := t0.Add(time.Minute)
	is.Equal(len(table.Decide(now, false, gs[:1], nil)), 0) // no other VM can take them
	is.Equal(len(table.Decide(now, false, gs[:1], []Peer{{VM: b, Domain: "x", Live: true, Since: t0, Strained: true}})), 0)
	neighbour := []Peer{{VM: b, Domain: "x", Live: true, Since: t0}}
	cs := table.Decide(now, false, gs[:1], neighbour)
	is.Equal(len(cs), 1)
	is.True(cs[0].HandingOver)
	table.Drop(x)
	for unit := range 100 {
		is.Equal(table.best(now, Candidate{Group: x, Unit: unit}, neighbour, netip.AddrPort{}), b)
	}
}

// Guards against VMs without a link to each other that claim the same group of a lost domain.
func TestLostUnitGetsOneOwner(t *testing.T) {
	is := is.New(t)
	const domains, each = 4, 24
	at := func(d, n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(d), byte(n)}), 1)
	}
	name := func(d int) string { return string(rune('a' + d)) }
	r := rand.New(rand.NewPCG(1, 1))
	for unit := range 20 {
		g, owners := Candidate{Group: Group{Domain: "lost"}, Unit: unit}, map[netip.AddrPort]bool{}
		for d := range domains {
			for n := range each {
				table := New(at(d, n), name(d), 1, t0)
				var peers []Peer // its neighbours, and of each other domain the first VM and a third of the rest
				for e := range domains {
					for m := range each {
						if (e == d && m != n) || (e != d && (m == 0 || r.IntN(3) == 0)) {
							peers = append(peers, Peer{VM: at(e, m), Domain: name(e), Live: true})
						}
					}
				}
				if table.best(t0, g, peers, netip.AddrPort{}) == table.self {
					owners[table.self] = true
				}
			}
		}
		is.Equal(len(owners), 1)
	}
}

// Guards against a VM that claims endpoints of a neighbour that is up but can't be heard.
func TestVMDefersToUnheardOwner(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	peers := []Peer{{VM: b, Domain: "x", Listed: true}}
	table.SetDeferring(true)
	at := t0.Add(time.Hour)
	is.Equal(len(table.Decide(at, false, gs[:1], peers)), 0)
	table.SetDeferring(false) // the path has recovered, and the owner's first heartbeat is in flight
	is.Equal(len(table.Decide(at.Add(rejoinDelay-1), false, gs[:1], peers)), 0)
	is.Equal(len(table.Decide(at.Add(rejoinDelay), false, gs[:1], peers)), 1)
}

// Guards against the last VM of a failure domain that claims nothing there because it seems isolated.
func TestIsolatedVMReplacesLostNeighbours(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	table.SetIsolated(true)
	at := t0.Add(time.Hour)
	is.Equal(len(table.Decide(at, false, gs, nil)), 0)
	table.SetNeighboursLost(true)
	cs := table.Decide(at.Add(time.Millisecond), false, gs, nil)
	is.Equal(len(cs), 1)
	is.Equal(cs[0].Group, x) // nothing of other domains, whose VMs were not probed
}

// Guards against the last VM of all that claims nothing of other failure domains because it seems isolated or
// waits for VMs that were never heard.
func TestLastVMClaimsAll(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	table.SetIsolated(true)
	table.SetAllLost(true)
	at, peers := t0.Add(settleOther), []Peer{{VM: b, Domain: "y", Listed: true}}
	is.Equal(len(table.Decide(at.Add(-1), false, gs, peers)), 1) // of its own domain
	is.Equal(len(table.Decide(at, false, gs, peers)), 1)
}

// Guards against a VM that is cut off for long and finally claims the endpoints of other failure domains.
func TestCutOffVMClaimsOnlyItsDomain(t *testing.T) {
	is := is.New(t)
	table := New(a, "x", 1, t0)
	table.SetCutOff(true)
	at := t0.Add(time.Hour)
	cs := table.Decide(at, false, gs, nil)
	is.Equal(len(cs), 1)
	is.Equal(cs[0].Group, x) // no neighbour owns it
	table.SetCutOff(false)
	is.Equal(len(table.Decide(at.Add(rejoinDelay-1), false, gs, nil)), 0)
	is.Equal(len(table.Decide(at.Add(rejoinDelay), false, gs, nil)), 1)
}
