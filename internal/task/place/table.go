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
	all  map[netip.AddrPort]*Endpoint
	mine []*Endpoint
	most job.Size // the most that any endpoint has, anywhere
}

// NewTable returns an empty table.
func NewTable(policy Policy[*Endpoint]) *Table {
	t := &Table{policy: policy, scratch: pool.New(func() []*Endpoint { return make([]*Endpoint, 0, 64) })}
	t.snap.Store(&snapshot{})
	return t
}

// Update takes over a new list; own says which endpoints this VM may send to.
// Endpoints that stay keep their slots in use; ones that come anew start with few,
// since another VM may have work there.
func (t *Table) Update(now time.Time, list []Info, own func(Info) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.snap.Load()
	had := make(map[netip.AddrPort]bool, len(old.mine))
	for _, e := range old.mine {
		had[e.Addr] = true
	}
	next := &snapshot{all: make(map[netip.AddrPort]*Endpoint, len(list))}
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
		if !own(in) {
			continue
		}
		if !had[in.Addr] {
			e.Ramp(now)
		}
		next.mine = append(next.mine, e)
	}
	t.snap.Store(next)
}

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
	for _, e := range t.snap.Load().mine {
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
		for _, e := range t.snap.Load().mine {
			n := e.Free(now)
			total += n
			if n > 0 && need.Fits(e.Size) {
				list = append(list, e)
			}
		}
		if total <= keep || len(list) == 0 {
			return nil
		}
		if e := list[t.policy.Pick(list)]; e.take(now) {
			return e
		}
	}
	return nil
}
