package place

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
)

// Candidate is an endpoint as a policy sees it.
type Candidate interface {
	Busy() int
	Limit() int
	Slowness() int
}

// Policy picks one of the candidates, all of which have a free slot; the slice
// is never empty.
type Policy[E Candidate] interface {
	Pick(free []E) int
}

// Random picks any candidate.
type Random[E Candidate] struct{}

// Pick implements Policy.
func (Random[E]) Pick(free []E) int { return rand.IntN(len(free)) }

// Robin takes the candidates in turn.
type Robin[E Candidate] struct{ n atomic.Uint64 }

// Pick implements Policy.
func (p *Robin[E]) Pick(free []E) int { return int(p.n.Add(1) % uint64(len(free))) }

// Least picks the least used candidate; a slow one counts as more used.
type Least[E Candidate] struct{}

// Pick implements Policy. It starts at a random index, so that ties don't always go to the same candidate.
func (Least[E]) Pick(free []E) int {
	start := rand.IntN(len(free))
	best, lowest := start, cost(free[start])
	for i := range free {
		if c := cost(free[i]); c < lowest {
			best, lowest = i, c
		}
	}
	return best
}

// Two picks the better of two random candidates.
type Two[E Candidate] struct{}

// Pick implements Policy.
func (Two[E]) Pick(free []E) int {
	a, b := rand.IntN(len(free)), rand.IntN(len(free))
	if cost(free[b]) < cost(free[a]) {
		return b
	}
	return a
}

// cost ranks a candidate by use and slowness, as an integer.
func cost[E Candidate](e E) int {
	return (e.Busy() + 1) * 1000 * e.Slowness() / max(e.Limit(), 1)
}

// Names of the policies in settings. Homes is Least over the endpoints whose home is
// this VM; the others use all endpoints of the failure domain.
const (
	Homes      = "homes"
	LeastName  = "least"
	TwoName    = "two"
	RobinName  = "robin"
	RandomName = "random"
)

// Names lists the policies, for error messages and tables.
var Names = []string{Homes, LeastName, TwoName, RobinName, RandomName}

// ByName returns the policy with the given name.
func ByName[E Candidate](name string) (Policy[E], error) {
	switch name {
	case Homes, LeastName:
		return Least[E]{}, nil
	case TwoName:
		return Two[E]{}, nil
	case RobinName:
		return &Robin[E]{}, nil
	case RandomName:
		return Random[E]{}, nil
	default:
		return nil, fmt.Errorf("policy %q is not one of %v", name, Names)
	}
}
