package quota

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"dahliawinch/internal/mesh/frame"
)

// BenchmarkTick computes the shares of 490 tenants with demand on this VM and 20 peers.
func BenchmarkTick(b *testing.B) {
	tracker := New()
	now := time.Unix(1_700_000_000, 0)
	limits := map[string]Limit{}
	use := map[string]frame.TenantUse{}
	for i := range 490 {
		name := fmt.Sprint("team-", i)
		limits[name] = Limit{Rate: 4000}
		use[name] = frame.TenantUse{Rate: 10, Slots: 3}
	}
	tracker.SetLimits(now, limits)
	for i := range 20 {
		tracker.SetPeer(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 1), use)
	}
	for name := range limits {
		tracker.Arrive(name, 5)
	}
	b.ReportAllocs()
	for range b.N {
		now = now.Add(100 * time.Millisecond)
		tracker.Tick(now, 100*time.Millisecond)
	}
}
