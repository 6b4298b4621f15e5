package serve

import (
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/task/share"
)

// registerRoom registers the metrics of how the room of owned endpoints is used, of the options that are on.
func (d *Node) registerRoom() {
	if d.cfg.Options.Fill {
		d.deps.Meter.Gauge("unused_cores", "Cores of owned endpoints that are free while jobs wait for room.", func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.scheduler.Unused()
		})
	}
	for rank := range d.cfg.Options.rankShares() {
		d.deps.Meter.RankGauge("share_cores", "Cores of owned endpoints that the runs of a rank with a share hold.", rank, func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.scheduler.ShareCores(rank)
		})
	}
}

// sharedFrames converts what ranks with a share hold and want to its message.
func sharedFrames(reports []share.Report) (all []frame.Shared) {
	for _, r := range reports {
		m := frame.Shared{Pool: r.Pool, Cores: float32(r.Cores)}
		for _, u := range r.Ranks {
			m.Ranks = append(m.Ranks, frame.RankUse{Rank: u.Rank, Used: float32(u.Used), Waiting: float32(u.Waiting)})
		}
		all = append(all, m)
	}
	return all
}

// receiveShared records what a peer's ranks with a share hold and want, if shares are set here too. A peer that owns
// nothing reports nothing, and then no longer counts.
func (d *Node) receiveShared(from frame.Hello, m *frame.Heartbeat) {
	if len(d.cfg.Options.Shares) == 0 {
		return
	}
	var reports []share.Report
	for _, s := range m.Shared {
		r := share.Report{Pool: s.Pool, Cores: float64(s.Cores)}
		for _, u := range s.Ranks {
			r.Ranks = append(r.Ranks, share.Use{Rank: u.Rank, Used: float64(u.Used), Waiting: float64(u.Waiting)})
		}
		reports = append(reports, r)
	}
	now := d.lock()
	defer d.mu.Unlock()
	d.scheduler.AddShares(now.Add(-d.age(now, from.VM, m.At)), from.VM, reports)
}
