package owner

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"dahliawinch/internal/task/lease"
)

// Own takes ownership of an endpoint; fence must be above all known fences of it.
func (sc *Scheduler) Own(in lease.Info, fence uint64) {
	if s := sc.endpoints[in.ID]; s != nil {
		if !s.lost {
			s.Drains, s.Cold = s.Drains || in.Drains, in.Cold
			s.handingOver = false
			return
		}
		if len(s.Runs) > 0 {
			return // its runs for this VM must end first
		}
		sc.remove(in.ID)
	}
	s := &endpoint{Endpoint: lease.New(in, fence, sc.cfg.Limits), cordonedAt: sc.cordons[in.Domain]}
	s.Fence = max(fence, sc.raised[in.ID])
	delete(sc.raised, in.ID)
	sc.endpoints[in.ID] = s
	sc.addSpeed(s)
	sc.order = append(sc.order, s)
	slices.SortFunc(sc.order, func(a, c *endpoint) int { return strings.Compare(a.ID, c.ID) })
	sc.updateSlots()
	sc.cfg.Log.Info("endpoint owned", "endpoint", in.ID, "addr", in.Addr, "domain", in.Domain, "fence", s.Fence)
	sc.renew(s)
}

// updateSlots counts the slots of all endpoints again and passes them to the health tracker, which
// reduces them after failures.
func (sc *Scheduler) updateSlots() {
	slots := make(map[netip.AddrPort]int, len(sc.order))
	for _, s := range sc.order {
		s.slots = sc.needs.slots(s.Size)
		slots[s.Addr] = s.slots
	}
	sc.health.SetEndpoints(slots)
}

// maxRaised bounds the fences that are remembered for endpoints that are no longer owned.
const maxRaised = 4096

func (sc *Scheduler) remove(id string) {
	s := sc.endpoints[id]
	if s.Fence > s.Claim {
		if len(sc.raised) >= maxRaised {
			clear(sc.raised)
		}
		sc.raised[id] = s.Fence
	}
	delete(sc.endpoints, id)
	sc.removeSpeed(id)
	sc.order = slices.DeleteFunc(sc.order, func(x *endpoint) bool { return x == s })
	sc.updateSlots()
}

// Owned reports whether this VM may send orders to an endpoint.
func (sc *Scheduler) Owned(id string) bool {
	s := sc.endpoints[id]
	return s != nil && !s.lost
}

// Update applies newer information of an endpoint about itself, unless it describes a former process. Its size may
// change while it has runs: they still count, so that a shrunk endpoint starts nothing until enough of them have ended.
func (sc *Scheduler) Update(now time.Time, in lease.Info) {
	s := sc.endpoints[in.ID]
	if s == nil || (in.Born > 0 && in.Born < max(s.LastBorn(), s.Born)) {
		return
	}
	if s.Silent && in.Addr != s.Addr {
		sc.Lose(now, in.ID, false, "it has another address")
		return
	}
	s.Cold = in.Cold
	sc.updateProcess(s, in)
	if in.Drains && !s.Drains {
		s.Drains = true
		sc.cfg.Log.Info("endpoint leaves", "endpoint", in.ID)
	}
	if in.Size != s.Size {
		sc.cfg.Log.Info("endpoint resized", "endpoint", in.ID, "cores", in.Size.Cores, "memory", in.Size.Memory, "accels", in.Size.Accels,
			"cores_before", s.Size.Cores, "cores_used", s.Used.Cores, "runs", len(s.Runs))
		s.Size = in.Size
		sc.updateSlots()
		sc.dispatch(now)
	}
}

// updateProcess takes over what changes only when an endpoint's process starts again. An idle endpoint is asked then: its
// restart would go unnoticed until the next start there, and an order from before it might be carried out meanwhile.
func (sc *Scheduler) updateProcess(s *endpoint, in lease.Info) {
	if !slices.Equal(in.Labels, s.Labels) || in.Pool != s.Pool {
		sc.cfg.Log.Info("endpoint changed", "endpoint", in.ID, "pool", in.Pool, "labels", in.Labels, "pool_before", s.Pool, "labels_before", s.Labels, "born", in.Born)
		s.Labels, s.Pool = in.Labels, in.Pool
	}
	if in.Born == s.Born {
		return
	}
	s.Born, s.Drains = in.Born, in.Drains
	if known := s.LastBorn(); known > 0 && in.Born > known {
		sc.cfg.Log.Info("endpoint listed as restarted", "endpoint", in.ID, "born", in.Born, "born_before", known, "runs", len(s.Runs))
		s.RequestRenewal()
		sc.renew(s)
	}
}

// HandOver starts handing an endpoint over to another VM: jobs that have begun may still use it.
func (sc *Scheduler) HandOver(id string) {
	if s := sc.endpoints[id]; s != nil {
		s.handingOver = true
	}
}

// Release gives up ownership of endpoints that are handed over and idle, and returns their IDs.
func (sc *Scheduler) Release() (ids []string) {
	for _, s := range slices.Clone(sc.order) {
		if s.handingOver && !s.lost && s.Idle() {
			sc.remove(s.ID)
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Lose records that another VM owns an endpoint, or that it is gone. A dead one runs nothing; runs on
// one that another VM owns end with their lease at the latest.
func (sc *Scheduler) Lose(now time.Time, id string, dead bool, why string) {
	s := sc.endpoints[id]
	if s == nil || s.lost {
		return
	}
	sc.cfg.Log.Info("endpoint lost", "endpoint", id, "why", why, "runs", len(s.Runs), "fence", s.Fence)
	s.lost = true
	s.MarkSilent()
	sc.withdrawGangsAt(s)
	if dead {
		sc.noteLoss(now, id)
		ended := s.EndLost()
		sc.reportLostRuns(now, time.Time{}, s, ended, LostEndpoint)
		sc.recordLostRuns(now, s, ended)
		sc.runsEnded(now, s, ended, why)
	}
	if len(s.Runs) == 0 {
		sc.remove(id)
	}
	sc.dispatch(now)
}

// Find returns an owned endpoint, or nil.
func (sc *Scheduler) Find(id string) *lease.Endpoint {
	if s := sc.endpoints[id]; s != nil && !s.lost {
		return s.Endpoint
	}
	return nil
}

// endedBy returns the latest time at which a run that is over by now can have ended, if no order was late: the end of its
// lease if that is past, else now.
func (s *endpoint) endedBy(now time.Time, r *lease.Run) time.Time {
	if lapse := s.RunEndInTime(r); !lapse.IsZero() && lapse.Before(now) {
		return lapse
	}
	return now
}

func (sc *Scheduler) renew(s *endpoint) {
	sc.actions.Renewals = append(sc.actions.Renewals, Renewal{s.Endpoint})
}

// Load is the load of an owner's endpoints, which other VMs use to decide where to send jobs.
type Load struct {
	Free  float64       // cores that a job could use now
	Total float64       // cores that are open to work
	Ahead [3]float64    // core-seconds waiting, of ranks up to 0, 1 and any
	Lag   time.Duration // how long the owner takes to send orders; set by the caller of Scheduler.Load
}

// Load summarizes the state for the other VMs.
func (sc *Scheduler) Load(now time.Time) (l Load) {
	for _, s := range sc.order {
		if !s.Open() || s.lost || s.handingOver || sc.maxRuns(now, s) == 0 || sc.isSlow(s) {
			continue
		}
		l.Total += s.Size.Cores
		l.Free += sc.offered(s)
	}
	for _, e := range sc.queue {
		var work float64
		for i := range e.steps {
			st := &e.Steps[i]
			work += float64(len(e.steps[i].waiting)) * st.Need.Cores * sc.expect(e.Job, st).Seconds()
		}
		for r := min(e.Rank, len(l.Ahead)-1); r < len(l.Ahead); r++ {
			l.Ahead[r] += work
		}
	}
	return l
}

// Waiting returns how many jobs of a queue have no task started.
func (sc *Scheduler) Waiting(queue string) (n int) {
	for _, e := range sc.queue {
		if e.Queue == queue && !e.begun && len(e.runs) == 0 {
			n++
		}
	}
	return n
}
