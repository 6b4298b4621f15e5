package owner

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"dahliawinch/internal/task/lease"
)

// Own takes over an endpoint with a fence above all that were heard of.
func (b *Book) Own(in lease.Info, fence uint64) {
	if s := b.sites[in.ID]; s != nil {
		if !s.lost {
			s.Drains, s.Cold = s.Drains || in.Drains, in.Cold
			s.giving = false
			return
		}
		if len(s.Runs) > 0 {
			return // first what it ran for this VM must be over
		}
		b.remove(in.ID)
	}
	s := &site{Endpoint: lease.New(in, fence, b.cfg.Limits), cordon: b.cordons[in.Domain]}
	b.sites[in.ID] = s
	b.order = append(b.order, s)
	slices.SortFunc(b.order, func(a, c *site) int { return strings.Compare(a.ID, c.ID) })
	b.keep()
	b.cfg.Log.Info("endpoint owned", "endpoint", in.ID, "addr", in.Addr, "domain", in.Domain, "fence", fence)
	b.wake(s)
}

// keep tells the health book which endpoints there are and how many tasks each runs at once:
// the scale on which it lowers that number.
func (b *Book) keep() {
	slots := make(map[netip.AddrPort]int, len(b.order))
	for _, s := range b.order {
		s.slots = b.needs.slots(s.Size)
		slots[s.Addr] = s.slots
	}
	b.health.Keep(slots)
}

func (b *Book) remove(id string) {
	s := b.sites[id]
	delete(b.sites, id)
	b.order = slices.DeleteFunc(b.order, func(x *site) bool { return x == s })
	b.keep()
}

// Owned reports whether orders to an endpoint are this VM's to give.
func (b *Book) Owned(id string) bool {
	s := b.sites[id]
	return s != nil && !s.lost
}

// Update takes in a newer word of an endpoint on itself. Its room may shrink and grow while it
// runs: what runs there still counts, so that a smaller one starts nothing until enough has ended.
func (b *Book) Update(now time.Time, in lease.Info) {
	s := b.sites[in.ID]
	if s == nil {
		return
	}
	s.Cold = in.Cold
	if in.Drains && !s.Drains {
		s.Drains = true
		b.cfg.Log.Info("endpoint leaves", "endpoint", in.ID)
	}
	if in.Size != s.Size {
		b.cfg.Log.Info("endpoint resized", "endpoint", in.ID, "cores", in.Size.Cores, "memory", in.Size.Memory, "accels", in.Size.Accels,
			"was", s.Size.Cores, "used", s.Used.Cores, "runs", len(s.Runs))
		s.Size = in.Size
		b.keep()
		b.pump(now)
	}
}

// Give begins to hand an endpoint over: jobs that have begun may still use it.
func (b *Book) Give(id string) {
	if s := b.sites[id]; s != nil {
		s.giving = true
	}
}

// Release lets go of endpoints that are given away and idle, and returns them.
func (b *Book) Release() (ids []string) {
	for _, s := range slices.Clone(b.order) {
		if s.giving && !s.lost && s.Idle() {
			b.remove(s.ID)
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Lose takes in that another VM has taken an endpoint, or that it is gone. Dead
// endpoints run nothing; of a taken one the runs end with their lease at the latest.
func (b *Book) Lose(now time.Time, id string, dead bool, why string) {
	s := b.sites[id]
	if s == nil || s.lost {
		return
	}
	b.cfg.Log.Info("endpoint lost", "endpoint", id, "why", why, "runs", len(s.Runs), "fence", s.Fence)
	s.lost = true
	s.Quiet()
	if dead {
		b.missed(now, id)
		over := s.Lost()
		b.perished(now, s, over)
		b.allOver(now, s, over, why)
	}
	if len(s.Runs) == 0 {
		b.remove(id)
	}
	b.pump(now)
}

// Find returns an owned endpoint, or nil.
func (b *Book) Find(id string) *lease.Endpoint {
	if s := b.sites[id]; s != nil && !s.lost {
		return s.Endpoint
	}
	return nil
}

// endedBy is by when a run had ended here that is known to be over: with its lease, also when this VM learns of it later.
func (s *site) endedBy(now time.Time) time.Time {
	if lapse := s.Lapse(); !lapse.IsZero() && lapse.Before(now) {
		return lapse
	}
	return now
}

func (b *Book) wake(s *site) {
	b.acts.Wakes = append(b.acts.Wakes, Wake{s.Endpoint})
}

// Load is what other VMs need to know to send jobs here.
type Load struct {
	Free  float64       // cores that a job could use now
	Total float64       // cores that are open to work
	Ahead [3]float64    // core-seconds waiting and running, of ranks up to 0, 1 and any
	Lag   time.Duration // what orders take the owner
}

// Load sums up the state for the other VMs.
func (b *Book) Load(now time.Time) (l Load) {
	for _, s := range b.order {
		if !s.Open() || s.lost || s.giving || b.allowed(now, s) == 0 || b.crawls(s) {
			continue
		}
		l.Total += s.Size.Cores
		l.Free += max(0, s.Free().Cores)
	}
	for _, e := range b.queue {
		var work float64
		for i := range e.steps {
			st := &e.Steps[i]
			work += float64(len(e.steps[i].waiting)) * st.Need.Cores * b.expect(e.Job, st).Seconds()
		}
		for r := min(e.Rank, len(l.Ahead)-1); r < len(l.Ahead); r++ {
			l.Ahead[r] += work
		}
	}
	return l
}

// Waiting counts the jobs of a queue of which nothing has started.
func (b *Book) Waiting(queue string) (n int) {
	for _, e := range b.queue {
		if e.Queue == queue && !e.begun && len(e.runs) == 0 {
			n++
		}
	}
	return n
}
