package serve

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/demand"
	"dahliawinch/internal/task/job"
)

// roomFor is how long the room that this VM tells others is kept: a forecast goes through the queue and all runs, and
// under overload an owner refuses hundreds of jobs a second.
const roomFor = 20 * time.Millisecond

// maxPlaces is the largest number of places that is told: it takes one byte, and jobs are rarely wider.
const maxPlaces = 127

// initDemand creates the view of demand and room if the settings ask for it.
func (d *Node) initDemand() {
	if !d.cfg.Options.Demand {
		return
	}
	d.demand = demand.New(d.cfg.VM, d.cfg.Domain)
	for rank, name := range [demand.Ranks]string{"0", "1", "2"} {
		d.deps.Meter.GaugeOf("pressure", "Arriving work of ranks up to this one as a part of what all endpoints do; 2 stands for all later ranks.", "rank", name, func() float64 {
			defer d.mu.Unlock()
			return d.demand.Pressure(d.lock(), rank+1)
		})
	}
}

// sharedPressure returns the source of the scheduler's pressure; nil if it counts itself.
func (d *Node) sharedPressure() func(time.Time, int) float64 {
	if d.demand == nil {
		return nil
	}
	return d.demand.Pressure
}

// recordDemand counts a job that has come from its caller for the first time: not one that still runs, and not one of a
// caller that has waited elsewhere. If those counted, refusals would raise the pressure and with it the refusals: in a
// burst of 2.5 with callers that return 2,352 instead of 2,639 of 4,052 jobs were in time. The caller holds the lock.
func (d *Node) recordDemand(now time.Time, c *call) {
	if d.demand == nil || c.formerOwner.IsValid() || c.job.Waited > 0 {
		return
	}
	if _, ok := d.findOwner(now, c.job.ID); !ok {
		d.demand.Arrive(now, c.job.Rank, c.job.Tasks(), c.job.Steps[0].Need.Cores, d.scheduler.Work(c.job))
	}
}

// updateRoom updates this VM's own entry of the view; the caller holds the lock.
func (d *Node) updateRoom(now time.Time) {
	if d.demand == nil || now.Sub(d.roomAt) < roomFor {
		return
	}
	d.roomAt, d.room = now, d.scheduler.Room(now)
	if d.leaving.Load() {
		d.room = demand.Room{}
	}
	d.demand.Update(d.cfg.VM, demand.Report{At: now, Domain: d.cfg.Domain, Counts: true, Room: d.room})
}

// demandFrame returns what this VM tells about its room, and in heartbeats about what arrives here; nil if the option is
// off. The caller holds the lock.
func (d *Node) demandFrame(now time.Time, rates bool) *frame.Demand {
	if d.demand == nil {
		return nil
	}
	d.updateRoom(now)
	m := &frame.Demand{}
	if rates {
		own := d.demand.Own(now)
		for _, x := range own {
			m.Rates = append(m.Rates, whole(x))
		}
	}
	if m.Cores = whole(d.room.Cores); m.Cores == 0 {
		return m
	}
	for i := range demand.Ranks {
		m.Places = append(m.Places, whole(min(float64(d.room.Places[i]), maxPlaces)))
		m.Waits = append(m.Waits, whole(min(float64(d.room.Wait[i].Milliseconds()), math.MaxUint16)))
	}
	return m
}

// whole rounds a number for a message.
func whole(x float64) uint32 { return uint32(math.Round(min(max(x, 0), math.MaxInt32))) }

// roomOf returns the room that a message tells.
func roomOf(m *frame.Demand) (r demand.Room) {
	r.Cores = float64(m.Cores)
	for i := range min(demand.Ranks, len(m.Places)) {
		r.Places[i] = int(m.Places[i])
	}
	for i := range min(demand.Ranks, len(m.Waits)) {
		r.Wait[i] = time.Duration(m.Waits[i]) * time.Millisecond
	}
	return r
}

// hearDemand applies a heartbeat to the view.
func (d *Node) hearDemand(now time.Time, from frame.Hello, m *frame.Heartbeat) {
	if d.demand == nil {
		return
	}
	r := demand.Report{At: now.Add(-max(0, d.age(now, from.VM, m.At))), Domain: from.Domain}
	if m.Demand != nil {
		r.Counts, r.Room = len(m.Demand.Rates) > 0, roomOf(m.Demand)
		for i := range min(demand.Ranks, len(m.Demand.Rates)) {
			r.Rates[i] = float64(m.Demand.Rates[i])
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.demand.Update(from.VM, r)
}

// hearRoom applies the room that an owner told with an answer; the caller holds the lock.
func (d *Node) hearRoom(now time.Time, vm netip.AddrPort, m *frame.Demand) {
	if d.demand != nil && m != nil {
		d.demand.UpdateRoom(vm, now, roomOf(m))
	}
}

// recordRefusal records by what wait an owner refused a call; the caller holds the lock.
func (d *Node) recordRefusal(now time.Time, c *call, why job.Reason) {
	if d.demand == nil || why != job.Overload {
		return
	}
	c.refusals++
	if c.owner == d.cfg.VM {
		d.updateRoom(now)
	}
	if w, ok := d.demand.Wait(now, c.owner, c.job.Rank); ok && (c.refusals == 1 || w < c.refusedWait) {
		c.refusedWait = w
	}
}

// ask returns what a call needs of an owner; the caller holds the lock.
func (d *Node) ask(now time.Time, c *call) demand.Ask {
	j := *c.job
	j.Age, j.TimeLeft = now.Sub(c.arrived), c.deadline.Sub(now)
	a := demand.Ask{Rank: j.Rank, Tasks: j.Tasks(), Cores: j.Steps[0].Need.Cores, Returning: j.Waited > 0, Refused: c.refusals > 0, Wait: c.refusedWait}
	a.Budget, a.Late = d.scheduler.Budget(now, &j)
	return a
}

// skipped returns the owners that a call is not sent to: those that had it, and those that would refuse it by what they
// report. The caller holds the lock.
func (d *Node) skipped(now time.Time, c *call) []netip.AddrPort {
	if cores := gangCores(c.job); cores > 0 {
		return slices.Concat(c.tried, d.routes.TooSmall(now, cores))
	}
	if d.demand == nil || !isPlain(c.job) {
		return c.tried
	}
	return slices.Concat(c.tried, d.demand.Skip(now, d.ask(now, c)))
}

// gangCores returns the cores that the tasks of a job's widest gang need at a time; 0 without a gang.
func gangCores(j *batch.Job) (cores float64) {
	for i := range j.Steps {
		if s := &j.Steps[i]; s.Gang {
			cores = max(cores, float64(s.Count)*s.Need.Cores)
		}
	}
	return cores
}

// isPlain reports whether a job's wait can be told from that of a usual one: its tasks run on any endpoint of the pool.
func isPlain(j *batch.Job) bool {
	s := &j.Steps[0]
	return len(j.Steps) == 1 && s.Label == "" && s.Near == "" && s.Spread == 0 && !s.Gang && !s.SameRack
}

// refuseUntried refuses a call that no owner would take, and reports whether it has; the caller holds the lock.
func (d *Node) refuseUntried(now time.Time, c *call) bool {
	if d.demand == nil || c.answer.Reason != "" || d.routes.Known(now) == 0 || d.ownersMissing(now) {
		return false
	}
	s := d.demand.Summarize(now, c.job.Rank)
	if s.Owners == 0 {
		return false
	}
	d.refuseByView(now, c, job.Answer{Outcome: job.Refused, Reason: job.Overload, Detail: fmt.Sprintf("by the reports of all %d owners it would wait %s, too long", s.Owners, s.Backlog)})
	return true
}

// refuseByView refuses a call with a retry time that follows from the view; the caller holds the lock.
func (d *Node) refuseByView(now time.Time, c *call, a job.Answer) {
	s, ask, pressure := d.demand.Summarize(now, c.job.Rank), d.ask(now, c), d.demand.Pressure(now, c.job.Rank+1)
	a.Retry = jitter(max(a.Retry, demand.Retry(s.Backlog, pressure, minRetry, maxRetry)))
	d.log.Info("job refused", "job", c.job.ID, "by", "first VM", "queue", c.job.Queue, "rank", c.job.Rank, "tasks", c.job.Tasks(), "reason", string(a.Reason), "tried", len(c.tried), "waited", c.job.Waited,
		"pressure", hundredths(d.demand.Pressure(now, demand.Ranks)), "pressure_of_rank", hundredths(pressure), "pressure_of_domain", hundredths(d.demand.Near(now, demand.Ranks)),
		"backlog", s.Backlog, "budget", ask.Budget.Round(time.Millisecond), "places", s.Places, "owners", s.Owners, "age", s.Age.Round(time.Millisecond), "retry", a.Retry.Round(time.Millisecond))
	d.finishCall(c, a)
}

func hundredths(x float64) float64 { return math.Round(100*x) / 100 }

// pressureLogEvery is the shortest time between two lines about a change of the pressure's range.
const pressureLogEvery = time.Second

// logPressure logs when the pressure passes a threshold of the view's decisions; the caller holds the lock.
func (d *Node) logPressure(now time.Time) {
	if d.demand == nil || now.Sub(d.rangeAt) < pressureLogEvery {
		return
	}
	p := d.demand.Pressure(now, demand.Ranks)
	name := "calm"
	switch {
	case p >= demand.Overload:
		name = "overload"
	case p >= demand.Calm:
		name = "tight"
	}
	if name == d.pressureRange || d.pressureRange == "" && name == "calm" {
		return
	}
	s := d.demand.Summarize(now, demand.Ranks)
	d.log.Info("pressure", "range", name, "before", d.pressureRange, "pressure", hundredths(p), "pressure_of_domain", hundredths(d.demand.Near(now, demand.Ranks)), "backlog", s.Backlog, "owners", s.Owners, "age", s.Age.Round(time.Millisecond))
	d.pressureRange, d.rangeAt = name, now
}

// refuseTried ends a call that owners have refused; the caller holds the lock.
func (d *Node) refuseTried(now time.Time, c *call, a job.Answer) {
	if d.demand != nil && a.Outcome == job.Refused && a.Reason == job.Overload {
		d.refuseByView(now, c, a)
		return
	}
	a.Retry = jitter(a.Retry)
	d.finishCall(c, a)
}

// forgetDemand removes a VM that is silent or was restarted from the view; the caller holds the lock.
func (d *Node) forgetDemand(vm netip.AddrPort) {
	if d.demand != nil {
		d.demand.Forget(vm)
	}
}

// observeTries records how many owners were tried for a call that has ended.
func (d *Node) observeTries(c *call) {
	if d.demand != nil {
		d.deps.Meter.ObserveTries(c.answer.Outcome.String(), len(c.tried))
	}
}
