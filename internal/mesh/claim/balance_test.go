package claim

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/mesh/frame"
)

// cluster simulates the VMs of one failure domain, which all hear each other in each round.
type cluster struct {
	tables       map[netip.AddrPort]*Table
	power        map[netip.AddrPort]float64
	candidates   []Candidate
	moves        int // number of groups handed over
	maxClaimants int // most VMs that claimed one group in a round
}

func newCluster(units int, powers ...float64) *cluster {
	d := &cluster{tables: map[netip.AddrPort]*Table{}, power: map[netip.AddrPort]float64{}}
	for i, p := range powers {
		vm := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
		d.tables[vm], d.power[vm] = New(vm, "x", p, t0), p
	}
	for i := range 32 {
		d.candidates = append(d.candidates, Candidate{Group: Group{"x", uint8(i)}, Unit: i * units / 32})
	}
	return d
}

// round lets each VM decide once on the claims of all others, then drops the groups that were handed over.
func (d *cluster) round(now time.Time) {
	var peers []Peer
	for vm, b := range d.tables {
		p := Peer{VM: vm, Domain: "x", Live: true, Since: t0, Power: float64(float32(d.power[vm]))}
		for _, g := range b.Groups() {
			o := b.Owns(g)
			p.Claims = append(p.Claims, frame.Claim{Domain: "x", Shards: 1 << g.Shard, Fence: o.Fence, Giving: o.HandingOver})
		}
		peers = append(peers, p)
	}
	claimed := map[Group]int{}
	for vm, b := range d.tables {
		var others []Peer
		for _, p := range peers {
			if p.VM != vm {
				others = append(others, p)
			}
		}
		for _, c := range b.Decide(now, false, d.candidates, others) {
			switch {
			case c.HandingOver:
				d.moves++
			case !c.Lost:
				claimed[c.Group]++
			}
		}
	}
	for _, n := range claimed {
		d.maxClaimants = max(d.maxClaimants, n)
	}
	for _, p := range peers { // the others have read the handover in this round, and no task runs on these groups
		for _, c := range p.Claims {
			for s := range uint8(32) {
				if c.Giving && c.Shards == 1<<s {
					d.tables[p.VM].Drop(Group{"x", s})
				}
			}
		}
	}
}

// Guards against uneven owners: after a start, hashing gave one of five VMs 19 endpoints and another VM a single
// one, and nothing rebalanced the six units, since each VM owned some. With unequal VMs the stronger ones own more.
func TestUnitsAreBalanced(t *testing.T) {
	is := is.New(t)
	for units := 1; units <= 16; units++ {
		d := newCluster(units, 0.12, 0.12, 0.12, 0.12, 0.12)
		for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
			d.round(t0.Add(at))
		}
		least, most := 32, 0
		for _, b := range d.tables {
			n := map[int]bool{}
			for _, g := range b.Groups() {
				n[int(g.Shard)*units/32] = true
			}
			least, most = min(least, len(n)), max(most, len(n))
		}
		t.Logf("%d units: %d to %d for each VM, %d groups moved", units, least, most, d.moves)
		is.True(most-least <= 1)
		is.True(d.maxClaimants <= 1) // a group handed over goes to one VM, though all have equal power
		moved := d.moves
		for at := time.Minute; at < 2*time.Minute; at += 100 * time.Millisecond {
			d.round(t0.Add(at))
		}
		is.Equal(d.moves, moved) // the assignment is stable
	}
}
