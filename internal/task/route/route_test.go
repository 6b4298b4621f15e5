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
	tab := New(netip.AddrPort{})
	tab.Hear(a, Load{At: t0, Free: 900, Total: 900, Near: true})
	tab.Hear(b, Load{At: t0, Free: 900, Total: 900})
	got := map[netip.AddrPort]int{}
	for range 20 {
		vm := tab.Pick(t0, 1, 54, nil, 0)
		tab.Sent(vm, 54)
		got[vm]++
	}
	is.True(got[a] <= 16 && got[b] >= 4) // the near pool has room for 16 of them
}

func TestFullPoolsRankByWhatGoesBefore(t *testing.T) {
	is := is.New(t)
	tab := New(netip.AddrPort{})
	tab.Hear(a, Load{At: t0, Total: 900, Ahead: [3]float64{0, 100, 300}, Near: true})
	tab.Hear(b, Load{At: t0, Total: 900, Ahead: [3]float64{50, 60, 70}})
	is.Equal(tab.Pick(t0, 0, 216, nil, 0), a) // nothing urgent waits there
	is.Equal(tab.Pick(t0, 2, 108, nil, 0), b)
	is.Equal(tab.Pick(t0, 2, 108, []netip.AddrPort{b}, 0), a)
	is.True(!tab.Pick(t0.Add(2*stale), 0, 1, nil, 0).IsValid()) // their word is too old
	is.Equal(tab.Known(t0), 2)
	tab.Hear(a, Load{}) // it owns nothing any more
	is.Equal(tab.Known(t0), 1)
}

// Symptom: a VM takes callers whose jobs nobody gets. Sequence: it hears the owners and
// can't reach them. Cause: each word of an owner makes it look reachable again.
func TestOwnerThatIsHeardButNotReachedIsLeftOut(t *testing.T) {
	is := is.New(t)
	tab := New(netip.AddrPort{})
	tab.Hear(a, Load{At: t0, Free: 900, Total: 900})
	tab.Down(a, t0)
	tab.Hear(a, Load{At: t0.Add(100 * time.Millisecond), Free: 900, Total: 900})
	is.Equal(tab.Known(t0.Add(100*time.Millisecond)), 0)
	is.True(!tab.Pick(t0.Add(100*time.Millisecond), 0, 1, nil, 0).IsValid())
	tab.Hear(a, Load{At: t0.Add(2 * downFor), Free: 900, Total: 900})
	is.Equal(tab.Pick(t0.Add(2*downFor), 0, 1, nil, 0), a)
}

// Symptom: all jobs go to one owner after the other. Sequence: what orders take the owners differs
// a little, and passes sooner than it is told. Cause: each difference counts. Only an owner that is
// far slower than the others gets fewer jobs.
func TestOnlyOwnersFarSlowerThanOthersAreLeftOut(t *testing.T) {
	is := is.New(t)
	vms := []netip.AddrPort{a, b, netip.MustParseAddrPort("10.0.0.3:1"), netip.MustParseAddrPort("10.0.0.4:1")}
	hear := func(lags ...int) *Table {
		tab := New(netip.AddrPort{})
		for i, lag := range lags {
			tab.Hear(vms[i], Load{At: t0, Free: 900 - float64(i), Total: 900, Near: true, Lag: time.Duration(lag) * time.Millisecond})
		}
		return tab
	}
	is.Equal(hear(40, 20, 20, 30).Pick(t0, 1, 54, nil, 0), a) // all are slow alike: the emptiest
	is.Equal(hear(14, 2, 2, 2).Pick(t0, 1, 54, nil, 0), a)    // none is
	is.Equal(hear(60, 2, 2, 2).Pick(t0, 1, 54, nil, 0), b)
	is.Equal(hear(200).Pick(t0, 1, 54, nil, 0), a) // there is no other
}

// Symptom: jobs are done in time and answered late, on links that are nearly full. Sequence: a VM has
// room for a job, another has a little more. Cause: what handing it over takes is not counted.
func TestRoomOfItsOwnIsPreferredWhereHandingOverTakesLong(t *testing.T) {
	is := is.New(t)
	tab := New(a)
	tab.Hear(a, Load{At: t0, Free: 500, Total: 900, Near: true})
	tab.Hear(b, Load{At: t0, Free: 800, Total: 900, Near: true})
	is.Equal(tab.Pick(t0, 1, 54, nil, leastLag), b) // orders take no time
	is.Equal(tab.Pick(t0, 1, 54, nil, 20*time.Millisecond), a)
	tab.Hear(a, Load{At: t0, Free: 0, Total: 900, Ahead: [3]float64{0, 90, 90}, Near: true})
	is.Equal(tab.Pick(t0, 1, 54, nil, 20*time.Millisecond), b) // 100 ms of waiting are worse
}
