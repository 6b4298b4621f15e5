package serve

import (
	"net/netip"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/task/owner"
)

// sendKeepalives tells other owners which of their jobs this VM still waits for. An owner ends this VM's runs a bounded
// time after the last keepalive was sent, so a late or lost message never prolongs a run.
func (d *Node) sendKeepalives() {
	for vm, m := range d.keepalives() {
		d.deps.Mesh.SendAll([]netip.AddrPort{vm}, m)
	}
}

// keepalives lists the jobs at other owners whose callers are still connected, without those handed over just now.
func (d *Node) keepalives() map[netip.AddrPort]*frame.Keepalive {
	now := d.lock()
	defer d.mu.Unlock()
	all := map[netip.AddrPort]*frame.Keepalive{}
	add := func(n uint64, vm netip.AddrPort, handedAt time.Time) {
		if !vm.IsValid() || vm == d.cfg.VM || now.Sub(handedAt) < d.cfg.Limits.Interval()/2 {
			return
		}
		m := all[vm]
		if m == nil {
			p := d.heardMember(vm)
			if p == nil {
				return
			}
			m = &frame.Keepalive{To: p.Inc, Asked: p.Theirs(now)}
			all[vm] = m
		}
		m.Calls = append(m.Calls, n)
	}
	for n, c := range d.calls {
		if c.hasLeft() {
			continue
		}
		add(n, c.owner, c.handedAt)
		for _, p := range c.wantedParts() {
			add(p.Call, p.Owner, p.SentAt)
		}
	}
	return all
}

// keepLocalJobs renews the jobs that this VM owns itself; the caller holds the lock.
func (d *Node) keepLocalJobs(now time.Time) {
	keep := func(n uint64, vm netip.AddrPort) {
		if vm == d.cfg.VM {
			d.scheduler.Keepalive(now, owner.Key{VM: vm, Inc: d.cfg.Inc, Call: n}, now)
		}
	}
	for n, c := range d.calls {
		if c.hasLeft() {
			continue
		}
		keep(n, c.owner)
		for _, p := range c.wantedParts() {
			keep(p.Call, p.Owner)
		}
	}
}

// hasLeft reports whether the caller has closed its connection.
func (c *call) hasLeft() bool { return c.open != nil && !c.open() }

// heardMember returns a VM that has sent heartbeats, or nil: without them its clock offset is unknown.
func (d *Node) heardMember(vm netip.AddrPort) *view.Member {
	if p := d.view.Find(vm); p != nil && p.State != view.Listed {
		return p
	}
	return nil
}

// receiveKeepalive applies another VM's list of the jobs that it still waits for.
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
		d.scheduler.Keepalive(now, owner.Key{VM: from.VM, Inc: from.Inc, Call: n}, asked)
	}
	d.perform()
}
