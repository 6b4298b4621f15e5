package serve

import (
	"net/netip"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
)

const (
	// speedEntryCount is how many estimates a heartbeat carries: all of 32 endpoints within two seconds.
	speedEntryCount = 8
	// speedInterval is the shortest time between two heartbeats with estimates, for up to speedReceivers neighbours.
	// With more it grows with their number, so that a VM sends at most 1.5 KB/s.
	speedInterval  = 500 * time.Millisecond
	speedReceivers = 14
	// speedSenders is how many VMs tell one that has started all that they know of their failure domain.
	speedSenders = 2
)

// speedEntries returns the estimates for this round's heartbeats to the neighbours, or nil; the caller holds the lock.
func (d *Node) speedEntries(now time.Time) []byte {
	if !d.cfg.Options.Speeds {
		return nil
	}
	n := len(d.neighbours())
	interval := speedInterval * time.Duration(max(1, (n+speedReceivers-1)/speedReceivers))
	if now.Sub(d.speedsSentAt) < interval {
		return nil
	}
	d.speedsSentAt = now
	return d.scheduler.SpeedChanges(now, speedEntryCount)
}

// speedsFor returns all known estimates for a VM of this failure domain that has just started; the caller holds the
// lock. Without them it would take its endpoints for usual ones until it has measured them itself.
func (d *Node) speedsFor(now time.Time, vm netip.AddrPort) []byte {
	if p := d.view.Find(vm); !d.cfg.Options.Speeds || p == nil || p.Domain != d.cfg.Domain {
		return nil
	}
	// The VM that has started doesn't count, or one sender would be missing if it precedes the others.
	if d.rankAmong(func(m *view.Member) bool { return m.State == view.Alive && m.VM != vm }) >= speedSenders {
		return nil
	}
	all := d.scheduler.Speeds(now)
	if len(all) > 0 {
		d.log.Info("endpoint speeds sent", "vm", vm, "bytes", len(all))
	}
	return all
}

// mergeSpeeds applies a neighbour's estimates.
func (d *Node) mergeSpeeds(now time.Time, from frame.Hello, m *frame.Heartbeat) {
	if len(m.Speeds) == 0 || from.Domain != d.cfg.Domain {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.MergeSpeeds(now, m.Speeds)
}

// addSpeedGauges registers the metrics of the estimates.
func (d *Node) addSpeedGauges() {
	gauge := func(name, help string, value func() float64) {
		d.deps.Meter.Gauge(name, help, func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return value()
		})
	}
	gauge("endpoint_speed_least", "Factor of the slowest endpoint owned here, 1 for a usual one.", func() float64 { return d.scheduler.SpeedSummary().Least })
	gauge("endpoint_speed_most", "Factor of the fastest endpoint owned here, 1 for a usual one.", func() float64 { return d.scheduler.SpeedSummary().Most })
	gauge("endpoint_speeds_known", "Endpoints owned here whose speed was measured.", func() float64 { return float64(d.scheduler.SpeedSummary().Known) })
}
