package place

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/base/pool"
	"dahliawinch/internal/task/job"
)

// Table is a VM's endpoints; a request reads a snapshot and takes no lock.
type Table struct {
	policy  Policy[*Endpoint]
	mu      sync.Mutex // one writer at a time
	snap    atomic.Pointer[snapshot]
	scratch pool.Pool[[]*Endpoint]
}

type snapshot struct {
	all      map[netip.AddrPort]*Endpoint
	mine     []*Endpoint // whose slots this VM keeps
	borrowed []*Endpoint // slots that peers lent
	usable   []*Endpoint // both
	most     job.Size    // the most that any endpoint has, anywhere
}

// NewTable returns an empty table.
func NewTable(policy Policy[*Endpoint]) *Table {
	t := &Table{policy: policy, scratch: pool.New(func() []*Endpoint { return make([]*Endpoint, 0, 64) })}
	t.snap.Store(&snapshot{})
	return t
}

// Update takes over a new list; own says which endpoints this VM may send to.
// Endpoints that stay keep their slots in use.
func (t *Table) Update(list []Info, own func(Info) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.snap.Load()
	next := &snapshot{all: make(map[netip.AddrPort]*Endpoint, len(list)), borrowed: old.borrowed}
	for _, in := range list {
		e := old.all[in.Addr]
		if e == nil || e.Info != in {
			e = NewEndpoint(in)
		}
		next.all[in.Addr] = e
		next.most = job.Size{
			Cores:  max(next.most.Cores, in.Size.Cores),
			Memory: max(next.most.Memory, in.Size.Memory),
			Accels: max(next.most.Accels, in.Size.Accels),
		}
		if own(in) {
			next.mine = append(next.mine, e)
		}
	}
	t.publish(next)
}

func (t *Table) publish(next *snapshot) {
	next.usable = append(append([]*Endpoint{}, next.mine...), next.borrowed...)
	t.snap.Store(next)
}

// Borrow restates how many slots on each endpoint one lender lets this VM use;
// what it no longer names takes no new work.
func (t *Table) Borrow(lender netip.AddrPort, slots map[netip.AddrPort]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.snap.Load()
	next := &snapshot{all: old.all, mine: old.mine, most: old.most}
	for _, e := range old.borrowed {
		if e.lender != lender {
			next.borrowed = append(next.borrowed, e)
			continue
		}
		n, ok := slots[e.Addr]
		delete(slots, e.Addr)
		e.SetLimit(n)
		if ok || e.Busy() > 0 {
			next.borrowed = append(next.borrowed, e)
		}
	}
	for a, n := range slots {
		known := old.all[a]
		if known == nil || known.Leaving() || n <= 0 {
			continue
		}
		e := NewEndpoint(known.Info)
		e.lender = lender
		e.SetLimit(n)
		next.borrowed = append(next.borrowed, e)
	}
	t.publish(next)
}

// Borrowed returns the endpoints with slots from peers, each with its lender.
func (t *Table) Borrowed() []*Endpoint { return t.snap.Load().borrowed }

// Find returns an endpoint by address, or nil.
func (t *Table) Find(a netip.AddrPort) *Endpoint { return t.snap.Load().all[a] }

// Mine returns the endpoints that this VM may send to; the caller must not change it.
func (t *Table) Mine() []*Endpoint { return t.snap.Load().mine }

// Known is the number of endpoints in the list.
func (t *Table) Known() int { return len(t.snap.Load().all) }

// Most is the most of each resource that any known endpoint has.
func (t *Table) Most() job.Size { return t.snap.Load().most }

// Slots returns the slots this VM may use by health, and how many are free.
func (t *Table) Slots(now time.Time) (limit, free int) {
	for _, e := range t.snap.Load().usable {
		if e.Leaving() {
			continue
		}
		limit += e.Limit()
		free += e.Free(now)
	}
	return limit, free
}

// Acquire claims a slot for a task, leaving at least keep slots free; nil if
// there is none.
func (t *Table) Acquire(now time.Time, need job.Size, keep int) *Endpoint {
	list := t.scratch.Get()
	defer func() { t.scratch.Put(list[:0]) }()
	for range 4 { // another thread may take the slot first
		list = list[:0]
		total := 0
		for _, e := range t.snap.Load().usable {
			n := e.Free(now)
			total += n
			if n > 0 && need.Fits(e.Size) {
				list = append(list, e)
			}
		}
		if total <= keep || len(list) == 0 {
			return nil
		}
		if e := list[t.policy.Pick(list)]; e.take() {
			return e
		}
	}
	return nil
}
