// Package quota enforces tenants' quotas over all entry VMs without a central
// counter: VMs exchange each tenant's demand and slots in use, and each computes its
// own share.
package quota

import (
	"maps"
	"math"
	"net/netip"
	"sync"
	"time"

	"dahliawinch/internal/mesh/frame"
)

const (
	// demandWindow is the time constant of the demand average.
	demandWindow = time.Second
	// riseTicks is how many ticks a rise of the VM's own demand is ignored: by then
	// every peer has received it and lowered its share. Falls count at once. Otherwise,
	// when a tenant's demand moves from one VM to another, both would use the whole
	// quota for the time of a heartbeat.
	riseTicks = 8
	// burst is the time for which unused starts add up; all of them may be used at once.
	burst = 100 * time.Millisecond
	// idleFraction is the fraction of the quota that is spread over all VMs, even those
	// without demand, when demand exceeds the quota, so that new callers there don't
	// wait for riseTicks.
	idleFraction = 0.1
)

// Limit is a tenant's declared quota over all VMs; 0 means no limit.
type Limit struct {
	Rate  float64
	Slots int
}

// Limiter enforces one VM's share of all quotas.
type Limiter struct {
	mu      sync.Mutex
	limits  map[string]Limit
	tenants map[string]*share
	peers   map[netip.AddrPort]map[string]frame.TenantUse
}

type share struct {
	arrived  float64 // task arrivals since the last tick
	demand   float64 // tasks per second, moving average
	past     [riseTicks]float64
	nextPast int
	waiting  int
	held     int
	rate     float64 // what this VM may start per second now
	slots    float64 // what this VM may hold now
	tokens   float64
	last     time.Time
}

// New returns a limiter without limits.
func New() *Limiter {
	return &Limiter{limits: map[string]Limit{}, tenants: map[string]*share{}, peers: map[netip.AddrPort]map[string]frame.TenantUse{}}
}

// SetLimits replaces all limits by those of the configuration document.
func (lim *Limiter) SetLimits(now time.Time, limits map[string]Limit) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.limits = map[string]Limit{}
	for name, l := range limits {
		if l.Rate > 0 || l.Slots > 0 {
			lim.limits[name] = l
			lim.get(name)
		}
	}
	lim.updateShares(now)
}

func (lim *Limiter) get(tenant string) *share {
	s := lim.tenants[tenant]
	if s == nil {
		s = &share{}
		lim.tenants[tenant] = s
	}
	return s
}

// Arrive records n tasks of a tenant that arrived at this VM.
func (lim *Limiter) Arrive(tenant string, n int) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if _, ok := lim.limits[tenant]; ok {
		s := lim.get(tenant)
		s.arrived += float64(n)
		s.waiting += n
	}
}

// Drop removes n waiting tasks that left without a start.
func (lim *Limiter) Drop(tenant string, n int) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if s := lim.tenants[tenant]; s != nil {
		s.waiting = max(0, s.waiting-n)
	}
}

// MayStart reports whether a task of the tenant may start now; it reserves nothing.
func (lim *Limiter) MayStart(now time.Time, tenant string) bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	l, ok := lim.limits[tenant]
	if !ok {
		return true
	}
	s := lim.get(tenant)
	s.refill(now)
	if l.Rate > 0 && s.tokens < 1 {
		return false
	}
	return l.Slots == 0 || float64(s.held) < s.slots
}

// Start uses one start and one slot.
func (lim *Limiter) Start(now time.Time, tenant string) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if _, ok := lim.limits[tenant]; !ok {
		return
	}
	s := lim.get(tenant)
	s.refill(now)
	s.tokens--
	s.held++
	s.waiting = max(0, s.waiting-1)
}

// End releases the slot of a task. If unused is set, the task certainly did not start: it
// waits again and its start is returned too.
func (lim *Limiter) End(tenant string, unused bool) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	s := lim.tenants[tenant]
	if s == nil {
		return
	}
	s.held = max(0, s.held-1)
	if unused {
		s.tokens++
		s.waiting++
	}
}

func (s *share) refill(now time.Time) {
	gap := now.Sub(s.last).Seconds()
	s.last = now
	if gap <= 0 || gap > demandWindow.Seconds() {
		gap = 0
	}
	s.tokens = min(s.tokens+gap*s.rate, max(1, s.rate*burst.Seconds()))
}

// SetPeer replaces what a peer reported about its tenants' use.
func (lim *Limiter) SetPeer(vm netip.AddrPort, use map[string]frame.TenantUse) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.peers[vm] = use
}

// RemovePeer drops a peer that failed or left. A VM without peers uses the whole quota:
// a failure domain that is cut off may do so, since each domain must be able to carry the
// service alone. docs/notes/quotas.md states the cost.
func (lim *Limiter) RemovePeer(vm netip.AddrPort) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	delete(lim.peers, vm)
}

// Tick updates demands and shares; call it with each heartbeat, period apart. It
// returns the use to report to the peers.
func (lim *Limiter) Tick(now time.Time, period time.Duration) map[string]frame.TenantUse {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	w := 1 - math.Exp(-period.Seconds()/demandWindow.Seconds())
	out := map[string]frame.TenantUse{}
	for name, s := range lim.tenants {
		s.demand += w * (s.arrived/period.Seconds() - s.demand)
		s.arrived = 0
		want := s.demand + float64(s.waiting)/demandWindow.Seconds()
		s.past[s.nextPast] = want
		s.nextPast = (s.nextPast + 1) % riseTicks
		if want > 0.01 || s.held > 0 {
			out[name] = frame.TenantUse{Rate: want, Slots: s.held + s.waiting}
		}
	}
	lim.updateShares(now)
	return out
}

// updateShares computes what this VM may use; the caller holds the lock.
func (lim *Limiter) updateShares(now time.Time) {
	for name, l := range lim.limits {
		s := lim.get(name)
		s.refill(now)
		low, high := s.past[0], s.past[0]
		for _, x := range s.past[1:] {
			low, high = min(low, x), max(high, x)
		}
		if len(lim.peers) == 0 {
			low = high // no peer has to lower its share first
		}
		var others float64
		slots := 0
		for _, p := range lim.peers {
			others += p[name].Rate
			slots += p[name].Slots
		}
		vms := float64(len(lim.peers) + 1)
		s.rate = portion(l.Rate, low, high+others, vms)
		own := float64(s.held + s.waiting)
		s.slots = math.Floor(portion(float64(l.Slots), own, own+float64(slots), vms) + 0.5)
	}
	maps.DeleteFunc(lim.tenants, func(name string, s *share) bool {
		_, limited := lim.limits[name]
		return !limited && s.held == 0
	})
}

// portion returns the share of a quota for a VM with demand own while all VMs together have
// demand sum: own and an equal part of the rest, or a proportional share if sum exceeds the quota.
func portion(quota, own, sum, vms float64) float64 {
	if sum <= quota {
		return own + (quota-sum)/vms
	}
	floor := idleFraction * quota / vms
	return quota * (own + floor) / (sum + vms*floor)
}

// Limited reports whether any tenant has a quota.
func (lim *Limiter) Limited() bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	return len(lim.limits) > 0
}
