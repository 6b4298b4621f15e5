package grid

import (
	"context"
	"time"

	"dahliawinch/internal/conf/plan"
	meshlink "dahliawinch/internal/mesh/link"
	"dahliawinch/internal/plat/fakes"
)

// Declare puts a version of the configuration into the store; all say the same.
func (g *Grid) Declare(version int64) {
	p := plan.Plan{Version: version}
	for _, k := range g.Kinds {
		p.Queues = append(p.Queues, k.queue())
	}
	d := plan.Decl{Plan: &p}
	g.Plans.Put(d.Key(), d)
}

// Cordon keeps new work from a failure domain's endpoints for a span. From a time after it was
// declared the judge lets nothing start there.
func (g *Grid) Cordon(domain string, within, span time.Duration) {
	d := plan.Decl{Cordon: domain}
	g.Plans.Put(d.Key(), d)
	from := time.Now().Add(within)
	for _, id := range g.listed(domain) {
		g.Judge.Shut(id, from)
	}
	time.Sleep(span)
	for _, id := range g.listed(domain) {
		g.Judge.Shut(id, time.Time{})
	}
	g.Plans.Remove(d.Key())
}

// listed are the ids of a failure domain's endpoints.
func (g *Grid) listed(domain string) (ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range g.order {
		if g.endpoints[id].Domain == domain {
			ids = append(ids, id)
		}
	}
	return ids
}

// reborn lets another life of a crashed endpoint come up.
func (g *Grid) reborn(e *fakes.Leased) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		time.Sleep(rebornAfter)
		e.Wake()
		if g.ctx.Err() == nil {
			g.AddEndpoint(e.Domain, e.Size.Cores)
		}
		time.Sleep(goneAfter - rebornAfter)
		g.Roster.Remove(e.ID)
	}()
}

// Kill ends a VM without a word.
func (g *Grid) Kill(v *VM) {
	v.ready.Store(false)
	v.died = time.Now()
	v.dead.Store(true)
	v.cancel()
	v.Node.Close()
}

// KillDomain ends all VMs of a failure domain without a word.
func (g *Grid) KillDomain(domain string) {
	for n := range g.VMs {
		if v := g.VM(n); v.Domain == domain {
			g.Kill(v)
		}
	}
}

// Restart kills a VM and starts it again after a while.
func (g *Grid) Restart(v *VM, after time.Duration) {
	g.Kill(v)
	time.Sleep(after)
	g.Boot(v.Mesh, v.Domain)
}

// Drain ends a VM as SIGTERM does and starts it again.
func (g *Grid) Drain(v *VM, again bool) {
	go func() {
		time.Sleep(2 * time.Second) // the balancer notices at its second look
		v.ready.Store(false)
	}()
	ctx, cancel := context.WithTimeout(g.ctx, 5200*time.Millisecond)
	defer cancel()
	v.Node.Drain(ctx)
	time.Sleep(3 * between) // what was sent last is read
	g.Kill(v)
	if again {
		g.Boot(v.Mesh, v.Domain)
	}
}

// Pause stops a VM for a while.
func (g *Grid) Pause(v *VM, d time.Duration) { v.clock.pause(d) }

// Cut stops all messages from one failure domain to another, or lets them pass again.
func (g *Grid) Cut(from, to string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	way := [2]string{from, to}
	if g.cuts[way] && !cut {
		g.heals[way] = time.Now().Add(meshlink.Heal)
	}
	g.cuts[way] = cut
}

// Isolate cuts a failure domain off from all others and the store, or heals the cut.
func (g *Grid) Isolate(domain string, cut bool) {
	for i := range g.Domains {
		if o := domainName(i); o != domain {
			g.Cut(domain, o, cut)
			g.Cut(o, domain, cut)
		}
	}
	g.Away(domain, cut)
}

// Away takes the store away from a failure domain or brings it back.
func (g *Grid) Away(domain string, away bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.away[domain] = away
}

// Turn makes the store turn one VM away, or serve it again.
func (g *Grid) Turn(v *VM, away bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turned[v.Mesh] = away
}
