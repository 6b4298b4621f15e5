// Package model explores the decisions of an owner of leased endpoints under every
// combination of a bounded number of faults: lost requests and answers, requests that are
// executed late, VMs that pause or die, keepalives of an entry VM that are late or lost. The
// decisions are the product's own (task/owner, task/lease); only the endpoints, the network
// and the callers with their VM are modelled.
package model

// chooser enumerates sequences of choices. The first choice at each point is that nothing
// fails; every other one is a fault, of which a sequence has at most maxFaults. Each sequence
// is run from the start, so that the state of the product's code needs no copying.
type chooser struct {
	maxFaults int // maximum number of faults in a sequence
	path      []choice
	pos       int
}

type choice struct{ n, pick int }

// pick returns the choice at this point, a number below n.
func (c *chooser) pick(n int) int {
	if c.pos == len(c.path) {
		c.path = append(c.path, choice{n: n})
	}
	x := c.path[c.pos]
	if x.n != n {
		panic("model: the same choices led to different states")
	}
	c.pos++
	return x.pick
}

// next advances to the next sequence, or returns false after the last.
func (c *chooser) next() bool {
	c.path = c.path[:min(c.pos, len(c.path))]
	c.pos = 0
	used := 0
	for _, x := range c.path {
		used += min(x.pick, 1)
	}
	for i := len(c.path) - 1; i >= 0; i-- {
		x := &c.path[i]
		used -= min(x.pick, 1)
		if x.pick+1 < x.n && used < c.maxFaults {
			x.pick++
			c.path = c.path[:i+1]
			return true
		}
	}
	return false
}
