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

// Guards against one full pool beside a half-empty one: several jobs arrive between two
// load reports, and jobs sent since the last report must count.
func TestJobsSpreadBetweenLoadReports(t *testing.T) {
	is := is.New(t)
	tab := New(netip.AddrPort{})
	tab.Update(a, Load{At: t0, Free: 900, Total: 900, Near: true})
	tab.Update(b, Load{At: t0, Free: 900, Total: 900})
	got := map[netip.AddrPort]int{}
	for range 20 {
		vm := tab.Pick(t0, 1, 54, nil, 0)
		tab.RecordSent(vm, 54)
		got[vm]++
	}
	is.True(got[a] <= 16 && got[b] >= 4) // the near pool fits 16 of them
}

func TestFullPoolsRankByQueuedWork(t *testing.T) {
	is := is.New(t)
	tab := New(netip.AddrPort{})
	tab.Update(a, Load{At: t0, Total: 900, Ahead: [3]float64{0, 100, 300}, Near: true})
	tab.Update(b, Load{At: t0, Total: 900, Ahead: [3]float64{50, 60, 70}})
	is.Equal(tab.Pick(t0, 0, 216, nil, 0), a) // no urgent work waits there
	is.Equal(tab.Pick(t0, 2, 108, nil, 0), b)
	is.Equal(tab.Pick(t0, 2, 108, []netip.AddrPort{b}, 0), a)
	is.True(!tab.Pick(t0.Add(2*minStale), 0, 1, nil, 0).IsValid()) // the reports have expired
	is.Equal(tab.Known(t0), 2)
	tab.Update(a, Load{}) // it owns no endpoints any more
	is.Equal(tab.Known(t0), 1)
}

// Guards against a VM that accepts jobs which reach no owner: it gets load reports from
// owners it can't reach, and each report must not make its owner count as reachable again.
func TestUnreachableOwnerIsSkipped(t *testing.T) {
	is := is.New(t)
	tab := New(netip.AddrPort{})
	tab.Update(a, Load{At: t0, Free: 900, Total: 900})
	tab.MarkUnreachable(a, t0)
	tab.Update(a, Load{At: t0.Add(100 * time.Millisecond), Free: 900, Total: 900})
	is.Equal(tab.Known(t0.Add(100*time.Millisecond)), 0)
	is.True(!tab.Pick(t0.Add(100*time.Millisecond), 0, 1, nil, 0).IsValid())
	tab.Update(a, Load{At: t0.Add(2 * unreachableFor), Free: 900, Total: 900})
	is.Equal(tab.Pick(t0.Add(2*unreachableFor), 0, 1, nil, 0), a)
}

// Guards against jobs that all go to one owner, then all to the next: small differences in order
// latency pass sooner than they are reported, so only an owner that is far slower than the others
// may get fewer jobs.
func TestOnlyMuchSlowerOwnersAreAvoided(t *testing.T) {
	is := is.New(t)
	vms := []netip.AddrPort{a, b, netip.MustParseAddrPort("10.0.0.3:1"), netip.MustParseAddrPort("10.0.0.4:1")}
	hear := func(lags ...int) *Table {
		tab := New(netip.AddrPort{})
		for i, lag := range lags {
			tab.Update(vms[i], Load{At: t0, Free: 900 - float64(i), Total: 900, Near: true, OrderLatency: time.Duration(lag) * time.Millisecond})
		}
		return tab
	}
	is.Equal(hear(40, 20, 20, 30).Pick(t0, 1, 54, nil, 0), a) // all are similarly slow: the emptiest
	is.Equal(hear(14, 2, 2, 2).Pick(t0, 1, 54, nil, 0), a)    // all are fast enough
	is.Equal(hear(60, 2, 2, 2).Pick(t0, 1, 54, nil, 0), b)
	is.Equal(hear(200).Pick(t0, 1, 54, nil, 0), a) // the only owner
}

// Guards against jobs that are done in time but answered late on nearly full links: a VM that can run
// a job itself hands it off to one with slightly more free cores, and the handoff must count.
func TestOwnEndpointsArePreferredWhenHandoffIsSlow(t *testing.T) {
	is := is.New(t)
	tab := New(a)
	tab.Update(a, Load{At: t0, Free: 500, Total: 900, Near: true})
	tab.Update(b, Load{At: t0, Free: 800, Total: 900, Near: true})
	is.Equal(tab.Pick(t0, 1, 54, nil, minLatency), b) // order latency is minimal
	is.Equal(tab.Pick(t0, 1, 54, nil, 20*time.Millisecond), a)
	tab.Update(a, Load{At: t0, Free: 0, Total: 900, Ahead: [3]float64{0, 90, 90}, Near: true})
	is.Equal(tab.Pick(t0, 1, 54, nil, 20*time.Millisecond), b) // 100 ms in the queue cost more than the handoff
}
