package health

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1_700_000_000, 0)

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 80)
}

func newTracker(n int) *Tracker {
	b := New(NoisyGain)
	slots := map[netip.AddrPort]int{}
	for i := range n {
		slots[addr(i)] = 8
	}
	b.SetEndpoints(slots)
	return b
}

func note(b *Tracker, at time.Time, n int, kind string, e End) int {
	return b.Record(at, Report{Addr: addr(n), Kind: kind, End: e, Ran: 200 * time.Millisecond, Expected: 200 * time.Millisecond})
}

// Guards against one endpoint that fails most jobs of a domain: it fails every task
// at once, is free again and is picked again.
func TestEndpointIsEjectedAfterThreeFailures(t *testing.T) {
	is := is.New(t)
	b := newTracker(6)
	for i := range 6 {
		note(b, now, i, "q", OK)
	}
	is.Equal(note(b, now, 0, "q", Bad), 4)
	note(b, now, 1, "q", OK)
	note(b, now, 0, "q", Bad)
	note(b, now, 1, "q", OK)
	is.Equal(note(b, now, 0, "q", Bad), 0)
	is.Equal(b.Limit(now.Add(firstEjection), addr(0)), 1) // one trial task
	is.Equal(note(b, now.Add(firstEjection), 0, "q", Bad), 0)
	is.Equal(b.Limit(now.Add(2*firstEjection), addr(0)), 0) // the ejection time doubled
	is.Equal(note(b, now.Add(4*firstEjection), 0, "q", OK), 4)
}

// Guards against ejected healthy endpoints: every request of one tenant fails on any
// endpoint, and the failures are attributed to the endpoints.
func TestOneTenantsFailuresEjectNoEndpoint(t *testing.T) {
	is := is.New(t)
	b := newTracker(6)
	for i := range 6 {
		note(b, now, i, "bad", OK) // this kind succeeded until now
	}
	for i := range 600 {
		note(b, now, i%6, "bad", Bad)
		note(b, now, (i+1)%6, "good", OK)
	}
	is.Equal(len(b.Ejected()), 0)
}

func TestEjectionsAreCapped(t *testing.T) {
	is := is.New(t)
	b := newTracker(6)
	for i := range 18 {
		note(b, now, i%6, string(rune('a'+i)), OK)
	}
	for i := range 6 {
		for k := range 3 {
			note(b, now, i, string(rune('a'+3*i+k)), Bad)
		}
	}
	is.Equal(len(b.Ejected()), 2)
}

func TestStragglerGetsAnEighthOfItsSlots(t *testing.T) {
	is := is.New(t)
	b := newTracker(6)
	for range 200 {
		for i := range 6 {
			ran := 200 * time.Millisecond
			if i == 0 {
				ran *= 10
			}
			b.Record(now, Report{Addr: addr(i), Kind: "q", End: OK, Ran: ran, Expected: 200 * time.Millisecond})
		}
	}
	is.Equal(b.Limit(now, addr(0)), 1)
	is.Equal(b.Limit(now, addr(1)), 8)
	is.True(b.Slowness(addr(0)) > 300)
}

// Guards against jobs that are late for seconds when an endpoint with many good runs becomes
// 6.5 times slower: if fifteen slow runs are needed to detect it, detection takes long.
func TestStragglerIsDetectedWithinFourRuns(t *testing.T) {
	is := is.New(t)
	for gain, most := range map[float64]int{SteadyGain: 4, NoisyGain: 15} {
		b := New(gain)
		b.SetEndpoints(map[netip.AddrPort]int{addr(0): 8, addr(1): 8})
		usual := 200 * time.Millisecond
		for range 100 {
			b.Record(now, Report{Addr: addr(0), Kind: "q", End: OK, Ran: usual, Expected: usual})
			b.Record(now, Report{Addr: addr(1), Kind: "q", End: OK, Ran: usual, Expected: usual})
		}
		n := 0
		for b.Limit(now, addr(0)) > 1 {
			b.Record(now, Report{Addr: addr(0), Kind: "q", End: OK, Ran: 65 * usual / 10, Expected: usual})
			n++
		}
		is.True(n <= most)
	}
}
