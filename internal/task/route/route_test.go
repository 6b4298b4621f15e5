package route

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	t0 = time.Unix(1_700_000_000, 0)
	a  = netip.MustParseAddrPort("10.0.0.1:1")
	b  = netip.MustParseAddrPort("10.0.0.2:1")
)

// Symptom: one pool is full while another is half empty. Sequence: several jobs come
// between two words of the owners. Cause: what was sent since is not counted.
func TestJobsSpreadBetweenTwoWords(t *testing.T) {
	is := is.New(t)
	tab := New()
	tab.Hear(a, Load{At: t0, Free: 900, Total: 900, Near: true})
	tab.Hear(b, Load{At: t0, Free: 900, Total: 900})
	got := map[netip.AddrPort]int{}
	for range 20 {
		vm := tab.Pick(t0, 1, 54, nil)
		tab.Sent(vm, 54)
		got[vm]++
	}
	is.True(got[a] <= 16 && got[b] >= 4) // the near pool has room for 16 of them
}

func TestFullPoolsRankByWhatGoesBefore(t *testing.T) {
	is := is.New(t)
	tab := New()
	tab.Hear(a, Load{At: t0, Total: 900, Ahead: [3]float64{0, 100, 300}, Near: true})
	tab.Hear(b, Load{At: t0, Total: 900, Ahead: [3]float64{50, 60, 70}})
	is.Equal(tab.Pick(t0, 0, 216, nil), a) // nothing urgent waits there
	is.Equal(tab.Pick(t0, 2, 108, nil), b)
	is.Equal(tab.Pick(t0, 2, 108, []netip.AddrPort{b}), a)
	is.True(!tab.Pick(t0.Add(2*stale), 0, 1, nil).IsValid()) // their word is too old
	is.Equal(tab.Known(t0), 2)
	tab.Hear(a, Load{}) // it owns nothing any more
	is.Equal(tab.Known(t0), 1)
}

// Symptom: a VM takes callers whose jobs nobody gets. Sequence: it hears the owners and
// can't reach them. Cause: each word of an owner makes it look reachable again.
func TestOwnerThatIsHeardButNotReachedIsLeftOut(t *testing.T) {
	is := is.New(t)
	tab := New()
	tab.Hear(a, Load{At: t0, Free: 900, Total: 900})
	tab.Down(a, t0)
	tab.Hear(a, Load{At: t0.Add(100 * time.Millisecond), Free: 900, Total: 900})
	is.Equal(tab.Known(t0.Add(100*time.Millisecond)), 0)
	is.True(!tab.Pick(t0.Add(100*time.Millisecond), 0, 1, nil).IsValid())
	tab.Hear(a, Load{At: t0.Add(2 * downFor), Free: 900, Total: 900})
	is.Equal(tab.Pick(t0.Add(2*downFor), 0, 1, nil), a)
}
