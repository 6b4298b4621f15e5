package grid

import (
	"context"
	"time"

	"dahliawinch/internal/conf/plan"
	meshlink "dahliawinch/internal/mesh/link"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/job"
)

// Declare puts a version of the configuration into the store; all versions have the same content.
func (g *Grid) Declare(version int64) {
	p := plan.Plan{Version: version}
	for _, k := range g.Kinds {
		p.Queues = append(p.Queues, k.queue())
	}
	d := plan.Decl{Plan: &p}
	g.Plans.Put(d.Key(), d)
}

// Cordon cordons a failure domain for a span. The judge reports starts on its endpoints that come
// later than delay after the declaration.
func (g *Grid) Cordon(domain string, delay, span time.Duration) {
	d := plan.Decl{Cordon: domain}
	g.Plans.Put(d.Key(), d)
	from := time.Now().Add(delay)
	for _, id := range g.domainEndpoints(domain) {
		g.Judge.CordonFrom(id, from)
	}
	time.Sleep(span)
	for _, id := range g.domainEndpoints(domain) {
		g.Judge.CordonFrom(id, time.Time{})
	}
	g.Plans.Remove(d.Key())
}

// domainEndpoints returns the IDs of a failure domain's endpoints.
func (g *Grid) domainEndpoints(domain string) (ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range g.endpointIDs {
		if g.endpoints[id].Domain == domain {
			ids = append(ids, id)
		}
	}
	return ids
}

// replaceEndpoint starts a new endpoint in place of a crashed one and removes the old entry later.
func (g *Grid) replaceEndpoint(e *fakes.Leased) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		time.Sleep(replacedAfter)
		e.Wake()
		if g.ctx.Err() == nil {
			g.AddEndpoint(e.Domain, e.Size.Cores)
		}
		time.Sleep(removedAfter - replacedAfter)
		g.Roster.Remove(e.ID)
	}()
}

// listedAfter is the time from an endpoint's start until its entry in the store says so.
const listedAfter = 300 * time.Millisecond

// RestartEndpoint ends an endpoint's process and starts it again under its ID after a while.
func (g *Grid) RestartEndpoint(e *fakes.Leased, down time.Duration) {
	e.GoDown()
	time.Sleep(down)
	e.Restart()
	time.Sleep(listedAfter)
	g.Roster.Put(e.ID, e.CurrentInfo())
}

// RestartUnseen restarts an endpoint under its ID. It is cut off for a while, the given time after the first start there
// or before the store lists it. Orders from before the restart that are under way are lost.
func (g *Grid) RestartUnseen(e *fakes.Leased, down, started, cut time.Duration) {
	e.GoDown()
	time.Sleep(down)
	e.RestartAfresh()
	for listed := time.Now().Add(listedAfter); e.Used() == (job.Size{}) && time.Now().Before(listed); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(started)
	g.CutOff(e.ID, true)
	time.Sleep(cut)
	g.Roster.Put(e.ID, e.CurrentInfo())
	g.CutOff(e.ID, false)
}

// Kill ends a VM without notice to others.
func (g *Grid) Kill(v *VM) {
	v.accepting.Store(false)
	v.diedAt = time.Now()
	v.dead.Store(true)
	v.cancel()
	v.Node.Close()
}

// KillDomain kills all VMs of a failure domain.
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

// Drain ends a VM as SIGTERM does, and starts it again if asked to.
func (g *Grid) Drain(v *VM, again bool) {
	go func() {
		time.Sleep(2 * time.Second) // the balancer notices at its second probe
		v.accepting.Store(false)
	}()
	ctx, cancel := context.WithTimeout(g.ctx, 5200*time.Millisecond)
	defer cancel()
	v.Node.Drain(ctx)
	time.Sleep(3 * crossDomainDelay) // until the last messages are read
	g.Kill(v)
	if again {
		g.Boot(v.Mesh, v.Domain)
	}
}

// Pause stops a VM for a while.
func (g *Grid) Pause(v *VM, d time.Duration) { v.clock.pause(d) }

// Cut cuts the path from one failure domain to another, or heals it.
func (g *Grid) Cut(from, to string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	way := [2]string{from, to}
	if g.cuts[way] && !cut {
		g.healsAt[way] = time.Now().Add(meshlink.MaxReconnect)
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
	g.CutStore(domain, cut)
}

// CutStore cuts a failure domain off from the store, or heals the cut.
func (g *Grid) CutStore(domain string, away bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storeCut[domain] = away
}

// RejectVM makes the store reject one VM, or serve it again.
func (g *Grid) RejectVM(v *VM, away bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rejected[v.Mesh] = away
}
