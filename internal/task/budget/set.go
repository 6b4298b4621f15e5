package budget

import (
	"sync"
	"time"
)

// Set holds a budget for a VM and one for each failure domain that it sends to, so
// that a domain whose endpoints refuse everything can't use up the retries of other
// domains.
type Set struct {
	vm        *Budget
	ratio     float64
	perSecond float64
	capacity  float64
	mu        sync.Mutex
	domains   map[string]*Budget
}

// maxDomains bounds the memory; further domains use only the VM's budget.
const maxDomains = 1024

// NewSet returns full budgets; those of domains have half the capacity of the VM's.
func NewSet(now time.Time, ratio, perSecond, capacity float64) *Set {
	return &Set{vm: New(now, ratio, perSecond, capacity), ratio: ratio, perSecond: perSecond, capacity: capacity, domains: map[string]*Budget{}}
}

func (s *Set) domainBudget(now time.Time, domain string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.domains[domain]
	if b == nil && len(s.domains) < maxDomains {
		b = New(now, s.ratio, s.perSecond, s.capacity/2)
		s.domains[domain] = b
	}
	return b
}

// Earn adds the retries for n first tries in a domain.
func (s *Set) Earn(now time.Time, domain string, n int) {
	s.vm.Earn(n)
	if b := s.domainBudget(now, domain); b != nil {
		b.Earn(n)
	}
}

// Spend uses one retry for a task that a domain refused and reports whether there was one.
func (s *Set) Spend(now time.Time, domain string) bool {
	if b := s.domainBudget(now, domain); b != nil && !b.Spend(now) {
		return false
	}
	return s.vm.Spend(now)
}
