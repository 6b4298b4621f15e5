// Package model explores what an owner of leased endpoints may do under every combination
// of a bounded number of faults: orders and answers that are lost, orders that are carried
// out late, VMs that pause or die, words of a caller's VM that come late or never. The
// decisions are the product's own (task/owner, task/lease); only the endpoints, the network
// and the callers with their VM are modelled.
package model

// chooser plays one sequence of choices and finds the next. The first choice at each
// point is that nothing goes wrong; every other one is a fault, of which a sequence has a
// bounded number. It is explored by playing anew from the start, so that the state of the
// product's code needs no copying.
type chooser struct {
	faults int // that a sequence may have
	path   []choice
	at     int
}

type choice struct{ n, pick int }

// pick returns a number below n.
func (c *chooser) pick(n int) int {
	if c.at == len(c.path) {
		c.path = append(c.path, choice{n: n})
	}
	x := c.path[c.at]
	if x.n != n {
		panic("model: a sequence of choices was played twice and differed")
	}
	c.at++
	return x.pick
}

// next moves on to a sequence that was not played yet; false if there is none.
func (c *chooser) next() bool {
	c.path = c.path[:min(c.at, len(c.path))]
	c.at = 0
	used := 0
	for _, x := range c.path {
		used += min(x.pick, 1)
	}
	for i := len(c.path) - 1; i >= 0; i-- {
		x := &c.path[i]
		used -= min(x.pick, 1)
		if x.pick+1 < x.n && used < c.faults {
			x.pick++
			c.path = c.path[:i+1]
			return true
		}
	}
	return false
}
