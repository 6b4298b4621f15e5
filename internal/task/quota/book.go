// Package quota holds tenants to their quotas over all entry VMs, without a place
// that counts for all: VMs tell each other what each tenant wants and holds, and
// each works out its own share.
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
	// tau is the time over which a demand is averaged.
	tau = time.Second
	// lag is how many ticks old a rise of the own demand must be before it counts:
	// by then every peer has heard of it and lowered its share. Falls count at once.
	//
	// What goes wrong without it: a tenant's demand moves from one VM to another, and
	// for the time of a heartbeat both hold the whole quota.
	lag = 8
	// depth is how much of a second's share may start at once.
	depth = 100 * time.Millisecond
	// small is the part of the quota that goes to VMs without demand, when demand is
	// over the quota, so that new callers there don't wait for the lag.
	small = 0.1
)

// Limit is a tenant's declared quota over all VMs; 0 is no limit.
type Limit struct {
	Rate  float64
	Slots int
}

// Book is one VM's share of all quotas.
type Book struct {
	mu      sync.Mutex
	limits  map[string]Limit
	tenants map[string]*share
	peers   map[netip.AddrPort]map[string]frame.Use
}

type share struct {
	arrived float64 // task arrivals since the last tick
	demand  float64 // tasks per second, averaged
	past    [lag]float64
	at      int
	waiting int
	held    int
	rate    float64 // what this VM may start per second now
	slots   float64 // what this VM may hold now
	tokens  float64
	last    time.Time
}

// New returns a book without limits.
func New() *Book {
	return &Book{limits: map[string]Limit{}, tenants: map[string]*share{}, peers: map[netip.AddrPort]map[string]frame.Use{}}
}

// Declare takes over the document's quotas.
func (b *Book) Declare(now time.Time, limits map[string]Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = map[string]Limit{}
	for name, l := range limits {
		if l.Rate > 0 || l.Slots > 0 {
			b.limits[name] = l
			b.get(name)
		}
	}
	b.share(now)
}

func (b *Book) get(tenant string) *share {
	s := b.tenants[tenant]
	if s == nil {
		s = &share{}
		b.tenants[tenant] = s
	}
	return s
}

// Want notes tasks of a tenant that arrived here.
func (b *Book) Want(tenant string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.limits[tenant]; ok {
		s := b.get(tenant)
		s.arrived += float64(n)
		s.waiting += n
	}
}

// Drop takes back tasks that left without a start.
func (b *Book) Drop(tenant string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.tenants[tenant]; s != nil {
		s.waiting = max(0, s.waiting-n)
	}
}

// Open reports whether a task of the tenant may start now; it takes nothing.
func (b *Book) Open(now time.Time, tenant string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.limits[tenant]
	if !ok {
		return true
	}
	s := b.get(tenant)
	s.fill(now)
	if l.Rate > 0 && s.tokens < 1 {
		return false
	}
	return l.Slots == 0 || float64(s.held) < s.slots
}

// Start takes one start and one slot.
func (b *Book) Start(now time.Time, tenant string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.limits[tenant]; !ok {
		return
	}
	s := b.get(tenant)
	s.fill(now)
	s.tokens--
	s.held++
	s.waiting = max(0, s.waiting-1)
}

// End gives the slot back; unused gives back the start too, since the task proved
// not to have started and waits again.
func (b *Book) End(tenant string, unused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.tenants[tenant]
	if s == nil {
		return
	}
	s.held = max(0, s.held-1)
	if unused {
		s.tokens++
		s.waiting++
	}
}

func (s *share) fill(now time.Time) {
	gap := now.Sub(s.last).Seconds()
	s.last = now
	if gap <= 0 || gap > tau.Seconds() {
		gap = 0
	}
	s.tokens = min(s.tokens+gap*s.rate, max(1, s.rate*depth.Seconds()))
}

// Hear takes in what a peer's tenants want and hold.
func (b *Book) Hear(vm netip.AddrPort, use map[string]frame.Use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[vm] = use
}

// Forget drops a peer that is gone or left. A VM that hears nobody shares with
// nobody: a failure domain that is cut off may use the whole quota, since each must
// be able to carry the service alone. The price is stated in docs/notes/quotas.md.
func (b *Book) Forget(vm netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, vm)
}

// Tick averages demands and works out the shares; call it with each heartbeat,
// period apart. It returns what to tell the peers.
func (b *Book) Tick(now time.Time, period time.Duration) map[string]frame.Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := 1 - math.Exp(-period.Seconds()/tau.Seconds())
	out := map[string]frame.Use{}
	for name, s := range b.tenants {
		s.demand += w * (s.arrived/period.Seconds() - s.demand)
		s.arrived = 0
		want := s.demand + float64(s.waiting)/tau.Seconds()
		s.past[s.at] = want
		s.at = (s.at + 1) % lag
		if want > 0.01 || s.held > 0 {
			out[name] = frame.Use{Rate: want, Slots: s.held + s.waiting}
		}
	}
	b.share(now)
	return out
}

// share works out what this VM may use; the caller holds the lock.
func (b *Book) share(now time.Time) {
	for name, l := range b.limits {
		s := b.get(name)
		s.fill(now)
		low, high := s.past[0], s.past[0]
		for _, x := range s.past[1:] {
			low, high = min(low, x), max(high, x)
		}
		if len(b.peers) == 0 {
			low = high // nobody to tell
		}
		var others float64
		slots := 0
		for _, p := range b.peers {
			others += p[name].Rate
			slots += p[name].Slots
		}
		vms := float64(len(b.peers) + 1)
		s.rate = part(l.Rate, low, high+others, vms)
		own := float64(s.held + s.waiting)
		s.slots = math.Floor(part(float64(l.Slots), own, own+float64(slots), vms) + 0.5)
	}
	maps.DeleteFunc(b.tenants, func(name string, s *share) bool {
		_, limited := b.limits[name]
		return !limited && s.held == 0
	})
}

// part of a quota for a VM that wants own while all want sum: what it wants and an
// equal part of the rest, or its portion when there is no rest.
func part(quota, own, sum, vms float64) float64 {
	if sum <= quota {
		return own + (quota-sum)/vms
	}
	floor := small * quota / vms
	return quota * (own + floor) / (sum + vms*floor)
}

// Limited reports whether any tenant has a quota.
func (b *Book) Limited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.limits) > 0
}
