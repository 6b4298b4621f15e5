package serve

import (
	"net/netip"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/task/owner"
)

// sendKeepalives tells other owners which of their jobs this VM still waits for. What an owner runs for this VM ends a bounded
// time after the last of these was sent, so neither a message that comes late nor one that is lost prolongs a run.
func (d *Node) sendKeepalives() {
	for vm, m := range d.keepalives() {
		d.parts.Mesh.Spread([]netip.AddrPort{vm}, m)
	}
}

// keepalives lists the jobs at other owners that were not handed over just now and whose callers are there.
func (d *Node) keepalives() map[netip.AddrPort]*frame.Keepalive {
	now := d.lock()
	defer d.mu.Unlock()
	all := map[netip.AddrPort]*frame.Keepalive{}
	for n, c := range d.calls {
		if !c.to.IsValid() || c.to == d.cfg.VM || now.Sub(c.handed) < d.cfg.Limits.Interval()/2 || c.left() {
			continue
		}
		m := all[c.to]
		if m == nil {
			p := d.heardOf(c.to)
			if p == nil {
				continue
			}
			m = &frame.Keepalive{To: p.Inc, Asked: p.Theirs(now)}
			all[c.to] = m
		}
		m.Calls = append(m.Calls, n)
	}
	return all
}

// renewOwn does the same for the jobs that this VM runs itself; the caller holds the lock.
func (d *Node) renewOwn(now time.Time) {
	for n, c := range d.calls {
		if c.to == d.cfg.VM && !c.left() {
			d.book.Keepalive(now, owner.Key{VM: c.to, Inc: d.cfg.Inc, Call: n}, now)
		}
	}
}

// left reports whether the caller has closed its connection.
func (c *call) left() bool { return c.open != nil && !c.open() }

// heardOf returns a VM whose heartbeats come, nil for any other: what its clock shows is not known.
func (d *Node) heardOf(vm netip.AddrPort) *view.Member {
	if p := d.view.Find(vm); p != nil && p.State != view.Listed {
		return p
	}
	return nil
}

// receiveKeepalive takes in which jobs another VM still waits for.
func (d *Node) receiveKeepalive(from frame.Hello, m *frame.Keepalive) {
	if m.To != d.cfg.Inc {
		return
	}
	now := d.lock()
	defer d.mu.Unlock()
	asked := m.Asked
	if asked.After(now) {
		asked = now
	}
	for _, n := range m.Calls {
		d.book.Keepalive(now, owner.Key{VM: from.VM, Inc: from.Inc, Call: n}, asked)
	}
	d.perform()
}
