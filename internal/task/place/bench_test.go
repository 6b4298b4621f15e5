package place

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"dahliawinch/internal/task/job"
)

func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{6, 50, 170} {
		b.Run(fmt.Sprint(n, "-endpoints"), func(b *testing.B) {
			tab := NewTable(Least[*Endpoint]{})
			tab.Update(now.Add(-time.Minute), infos(n), all)
			for range b.N {
				tab.Acquire(now, job.Size{}, 0).Release()
			}
		})
	}
}

// BenchmarkRehome recomputes which of 23,000 endpoints a VM owns.
func BenchmarkRehome(b *testing.B) {
	list := make([]Info, 23_000)
	for i := range list {
		list[i] = Info{
			Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}), 80),
			Domain: fmt.Sprint("fd-", i%45), Slots: 8,
		}
	}
	vms := []netip.AddrPort{addr(1), addr(2), addr(3)}
	tab := NewTable(Least[*Endpoint]{})
	b.ReportAllocs()
	for range b.N {
		tab.Update(now, list, func(in Info) bool { return in.Domain == "fd-7" && Home(in.Addr, vms) == vms[0] })
	}
}
