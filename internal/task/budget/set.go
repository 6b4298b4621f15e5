package budget

import (
	"sync"
	"time"
)

// Set holds a budget for a VM and one for each failure domain that it sends to, so
// that a domain whose endpoints refuse everything can't use up the retries of the
// others.
type Set struct {
	vm    *Budget
	ratio float64
	floor float64
	top   float64
	mu    sync.Mutex
	parts map[string]*Budget
}

// mostParts bounds the memory; further domains share the VM's budget only.
const mostParts = 1024

// NewSet returns full budgets; those of domains are as large as the VM's.
func NewSet(now time.Time, ratio, floor, top float64) *Set {
	return &Set{vm: New(now, ratio, floor, top), ratio: ratio, floor: floor, top: top, parts: map[string]*Budget{}}
}

func (s *Set) part(now time.Time, domain string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.parts[domain]
	if b == nil && len(s.parts) < mostParts {
		b = New(now, s.ratio, s.floor, s.top/2)
		s.parts[domain] = b
	}
	return b
}

// Earn notes n first tries in a domain.
func (s *Set) Earn(now time.Time, domain string, n int) {
	s.vm.Earn(n)
	if b := s.part(now, domain); b != nil {
		b.Earn(n)
	}
}

// Spend takes one retry for a task that a domain refused.
func (s *Set) Spend(now time.Time, domain string) bool {
	if b := s.part(now, domain); b != nil && !b.Spend(now) {
		return false
	}
	return s.vm.Spend(now)
}
