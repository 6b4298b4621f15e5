package claim

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/mesh/frame"
)

// domain is VMs of one failure domain that hear each other each round.
type domain struct {
	books map[netip.AddrPort]*Book
	power map[netip.AddrPort]float64
	seats []Seat
	moves int // groups handed over
	twice int // most VMs that claimed one group in one round
}

func newDomain(units int, powers ...float64) *domain {
	d := &domain{books: map[netip.AddrPort]*Book{}, power: map[netip.AddrPort]float64{}}
	for i, p := range powers {
		vm := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
		d.books[vm], d.power[vm] = New(vm, "x", p, t0), p
	}
	for i := range 32 {
		d.seats = append(d.seats, Seat{Group: Group{"x", uint8(i)}, Unit: i * units / 32})
	}
	return d
}

// round lets each VM decide once by what all have told, and lets go of what is given.
func (d *domain) round(now time.Time) {
	var peers []Peer
	for vm, b := range d.books {
		p := Peer{VM: vm, Domain: "x", Live: true, Since: t0, Power: float64(float32(d.power[vm]))}
		for _, g := range b.Groups() {
			o := b.Owns(g)
			p.Claims = append(p.Claims, frame.Claim{Domain: "x", Shards: 1 << g.Shard, Fence: o.Fence, Giving: o.Giving})
		}
		peers = append(peers, p)
	}
	claimed := map[Group]int{}
	for vm, b := range d.books {
		var others []Peer
		for _, p := range peers {
			if p.VM != vm {
				others = append(others, p)
			}
		}
		for _, c := range b.Decide(now, false, d.seats, others) {
			switch {
			case c.Giving:
				d.moves++
			case !c.Lost:
				claimed[c.Group]++
			}
		}
	}
	for _, n := range claimed {
		d.twice = max(d.twice, n)
	}
	for _, p := range peers { // told as given, so the others know: nothing runs there
		for _, c := range p.Claims {
			for s := range uint8(32) {
				if c.Giving && c.Shards == 1<<s {
					d.books[p.VM].Drop(Group{"x", s})
				}
			}
		}
	}
}

// Symptom: one of five VMs carries the orders of 19 endpoints, another those of one. Sequence: six
// units get their owners by hashing after a start. Cause: nothing evens them out, since none of the
// VMs owns nothing. With unequal VMs the stronger ones carry more.
func TestUnitsAreEvenedOut(t *testing.T) {
	is := is.New(t)
	for units := 1; units <= 16; units++ {
		d := newDomain(units, 0.12, 0.12, 0.12, 0.12, 0.12)
		for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
			d.round(t0.Add(at))
		}
		least, most := 32, 0
		for _, b := range d.books {
			n := map[int]bool{}
			for _, g := range b.Groups() {
				n[int(g.Shard)*units/32] = true
			}
			least, most = min(least, len(n)), max(most, len(n))
		}
		t.Logf("%d units: %d to %d for each VM, %d groups moved", units, least, most, d.moves)
		is.True(most-least <= 1)
		is.True(d.twice <= 1) // what is handed over goes to one VM, though all are alike
		moved := d.moves
		for at := time.Minute; at < 2*time.Minute; at += 100 * time.Millisecond {
			d.round(t0.Add(at))
		}
		is.Equal(d.moves, moved) // and then they stay
	}
}
