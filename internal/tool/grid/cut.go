package grid

import "time"

// CutOff cuts an endpoint off from all VMs, or heals the cut.
func (g *Grid) CutOff(id string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cutOff[id] = cut
}

func (g *Grid) isCut(from, to string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cuts[[2]string{from, to}]
}

// isCutOff reports whether no VM reaches an endpoint.
func (g *Grid) isCutOff(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cutOff[id]
}

// linkDown reports whether messages are lost on a path: it is cut, or its links are not up again
// after a cut.
func (g *Grid) linkDown(from, to string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	way := [2]string{from, to}
	return g.cuts[way] || time.Now().Before(g.healsAt[way])
}

func (g *Grid) storeDown(v *VM) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeCut[v.Domain] || g.rejected[v.Mesh]
}
