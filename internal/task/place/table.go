package place

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/base/pool"
	"dahliawinch/internal/task/job"
)

// Table holds the endpoints that a VM knows; requests read a snapshot without a lock.
type Table struct {
	policy  Policy[*Endpoint]
	mu      sync.Mutex // one writer at a time
	snap    atomic.Pointer[snapshot]
	scratch pool.Pool[[]*Endpoint]
}

type snapshot struct {
	all     map[netip.AddrPort]*Endpoint
	own     []*Endpoint
	maxSize job.Size // largest amount of each resource on any endpoint
}

// NewTable returns an empty table.
func NewTable(policy Policy[*Endpoint]) *Table {
	t := &Table{policy: policy, scratch: pool.New(func() []*Endpoint { return make([]*Endpoint, 0, 64) })}
	t.snap.Store(&snapshot{})
	return t
}

// Update replaces the list of endpoints; own returns which of them this VM may send to.
// Endpoints that stay keep their slots in use. New ones start with one slot, since
// another VM may have work there.
func (t *Table) Update(now time.Time, list []Info, own func(Info) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.snap.Load()
	had := make(map[netip.AddrPort]bool, len(old.own))
	for _, e := range old.own {
		had[e.Addr] = true
	}
	next := &snapshot{all: make(map[netip.AddrPort]*Endpoint, len(list))}
	for _, in := range list {
		e := old.all[in.Addr]
		if e == nil || e.Info != in {
			e = NewEndpoint(in)
		}
		next.all[in.Addr] = e
		next.maxSize = job.Size{
			Cores:  max(next.maxSize.Cores, in.Size.Cores),
			Memory: max(next.maxSize.Memory, in.Size.Memory),
			Accels: max(next.maxSize.Accels, in.Size.Accels),
		}
		if !own(in) {
			continue
		}
		if !had[in.Addr] {
			e.StartRamp(now)
		}
		next.own = append(next.own, e)
	}
	t.snap.Store(next)
}

// Find returns an endpoint by address, or nil.
func (t *Table) Find(a netip.AddrPort) *Endpoint { return t.snap.Load().all[a] }

// Own returns the endpoints that this VM may send to; the caller must not modify the slice.
func (t *Table) Own() []*Endpoint { return t.snap.Load().own }

// Known returns the number of listed endpoints.
func (t *Table) Known() int { return len(t.snap.Load().all) }

// MaxSize returns the largest amount of each resource on any listed endpoint.
func (t *Table) MaxSize() job.Size { return t.snap.Load().maxSize }

// Slots returns the number of slots that health allows this VM, and how many are free.
func (t *Table) Slots(now time.Time) (limit, free int) {
	for _, e := range t.snap.Load().own {
		if e.Leaving() {
			continue
		}
		limit += e.Limit()
		free += e.Free(now)
	}
	return limit, free
}

// Acquire claims a slot for a task if more than keep slots are free. It returns nil
// if there is none.
func (t *Table) Acquire(now time.Time, need job.Size, keep int) *Endpoint {
	list := t.scratch.Get()
	defer func() { t.scratch.Put(list[:0]) }()
	for range 4 { // another goroutine may take the slot first
		list = list[:0]
		total := 0
		for _, e := range t.snap.Load().own {
			n := e.Free(now)
			total += n
			if n > 0 && need.Fits(e.Size) {
				list = append(list, e)
			}
		}
		if total <= keep || len(list) == 0 {
			return nil
		}
		if e := list[t.policy.Pick(list)]; e.tryAcquire(now) {
			return e
		}
	}
	return nil
}
