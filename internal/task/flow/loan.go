package flow

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/task/place"
)

// Slots are lent inside a failure domain by heartbeats, which flow anyway: each
// restates everything that the sender lends to the receiver, and what it holds of
// the receiver's slots. So a loan costs no message, a lost heartbeat loses nothing
// for long, and it is one lease for each pair of VMs, valid while the pair hear
// each other, rather than one for each slot or task. When the two disagree, two
// tasks meet at one slot and the endpoint refuses one: a wasted message, never a
// second start.

// loans is what this VM lent to one peer.
type loans struct {
	now  map[netip.AddrPort]int // as stated in the last heartbeat
	was  map[netip.AddrPort]int // in the one before, which the peer may still act on
	held map[netip.AddrPort]int // what the peer said that it uses
	sent time.Time              // when the last heartbeat left
}

// settled is after how long a peer that speaks has heard the last heartbeat.
const settled = 5 * time.Millisecond

// most of three maps at one endpoint: the slots to count as lent.
func (l *loans) count(a netip.AddrPort) int { return max(l.now[a], l.was[a], l.held[a]) }

// lend works out anew what a peer of the domain may use: what it uses already, and
// as many more as it has tasks waiting, if no own work waits for them.
func (n *Node) lend(m *view.Member, now time.Time) []frame.Loan {
	n.loanMu.Lock()
	defer n.loanMu.Unlock()
	l := n.loans[m.VM]
	if l == nil {
		l = &loans{}
		n.loans[m.VM] = l
	}
	l.was, l.now, l.sent = l.now, map[netip.AddrPort]int{}, now
	for a, k := range l.held {
		l.now[a] = k
	}
	if m.Usable() && !n.draining.Load() {
		for range min(m.Beat.Queued, n.room(now).Free) {
			e := n.loosest(now)
			if e == nil {
				break
			}
			l.now[e.Addr]++
			e.Lend(n.lentOn(e.Addr))
		}
	}
	n.tally()
	list := make([]frame.Loan, 0, len(l.now))
	for a, k := range l.now {
		list = append(list, frame.Loan{Addr: a, N: k})
	}
	return list
}

// loosest is the own endpoint with the most free slots.
func (n *Node) loosest(now time.Time) *place.Endpoint {
	mine := n.table.Mine()
	if len(mine) == 0 {
		return nil
	}
	e := slices.MaxFunc(mine, func(a, b *place.Endpoint) int { return a.Free(now) - b.Free(now) })
	if e.Free(now) == 0 {
		return nil
	}
	return e
}

func (n *Node) lentOn(a netip.AddrPort) (k int) {
	for _, l := range n.loans {
		k += l.count(a)
	}
	return k
}

// tally tells the endpoints how many of their slots are lent; the caller holds
// loanMu.
func (n *Node) tally() {
	for _, e := range n.table.Mine() {
		e.Lend(n.lentOn(e.Addr))
	}
}

// settleLoans takes in a peer's heartbeat: what it lends, and what it holds.
func (n *Node) settleLoans(from netip.AddrPort, b *frame.Beat, now time.Time) {
	lent := map[netip.AddrPort]int{}
	for _, l := range b.Lent {
		lent[l.Addr] = min(l.N, maxLoan)
	}
	if len(lent) > 0 || len(n.table.Borrowed()) > 0 {
		n.table.Borrow(from, lent)
	}
	n.loanMu.Lock()
	defer n.loanMu.Unlock()
	if l := n.loans[from]; l != nil {
		l.held = map[netip.AddrPort]int{}
		if now.Sub(l.sent) > settled {
			l.was = nil
			if b.Queued == 0 {
				l.now = maps.Clone(l.held) // it has no more work for the others
			}
		}
		for _, h := range b.Held {
			l.held[h.Addr] = h.N
		}
		n.tally()
	}
}

// trade hurries when a peer of the domain has work waiting that slots here could
// take, or wants back what it lent.
func (n *Node) trade(from netip.AddrPort, b *frame.Beat, now time.Time) {
	if b.Queued > 0 && (n.room(now).Free > 0 || n.idle(from)) {
		n.hurry(now)
	}
}

// idle reports whether slots of a lender stand idle here.
func (n *Node) idle(lender netip.AddrPort) bool {
	for _, e := range n.table.Borrowed() {
		if e.Lender() == lender && e.Busy() < e.Limit() {
			return true
		}
	}
	return false
}

// maxLoan bounds what is believed of a loan.
const maxLoan = 1024

// held lists what this VM uses of a lender's slots.
func (n *Node) held(lender netip.AddrPort) (list []frame.Loan) {
	for _, e := range n.table.Borrowed() {
		if k := e.Busy(); e.Lender() == lender && k > 0 {
			list = append(list, frame.Loan{Addr: e.Addr, N: k})
		}
	}
	return list
}

// endLoans forgets the loans of a peer that is not heard any more, both ways: its
// silence ends the lease.
func (n *Node) endLoans(vm netip.AddrPort) {
	n.table.Borrow(vm, map[netip.AddrPort]int{})
	n.loanMu.Lock()
	defer n.loanMu.Unlock()
	delete(n.loans, vm)
	n.tally()
}
