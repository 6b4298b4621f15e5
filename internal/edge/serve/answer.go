package serve

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dahliawinch/internal/mesh/claim"
	"dahliawinch/internal/plat/feed"
)

const (
	// probeReaders is how many VMs of a failure domain wait for probes: two, since one may be the VM that asks.
	probeReaders = 2
	// probeWait is how long one read waits for a probe, and probeLook how often a VM looks whether it is
	// among those who read.
	probeWait = 10 * time.Second
	probeLook = 500 * time.Millisecond
	// farDelay bounds the random pause before a VM of another failure domain answers. One answer is enough, so the
	// others stay silent once they have read it.
	farDelay = 100 * time.Millisecond
	// answeredMost is how many probes are remembered as answered.
	answeredMost = 1024
)

// answerProbes answers what VMs ask through the store, while this VM is one of the readers of its failure domain.
func (d *Node) answerProbes() {
	from, known := int64(0), false
	for d.ctx.Err() == nil {
		if d.now().Sub(d.began) < joinFor || d.place() >= probeReaders {
			known = false
			pause(d.ctx, probeLook)
			continue
		}
		next, err := d.readProbes(from, known)
		from, known = next, err == nil
		switch {
		case err == nil || d.ctx.Err() != nil:
		case errors.Is(err, feed.ErrGone):
			d.log.Info("store history gone", "feed", "presence", "from", from)
		default:
			d.log.Info("probes not read", "err", err)
			pause(d.ctx, probeLook)
		}
	}
}

// readProbes waits for probes once and answers them; it returns where to read on.
func (d *Node) readProbes(from int64, known bool) (next int64, err error) {
	if !known {
		if _, from, err = d.parts.Presence.Newest(d.ctx); err != nil {
			return from, fmt.Errorf("find the end of the probes: %w", err)
		}
	}
	b, err := d.parts.Presence.Next(d.ctx, from, feed.Ask{Wait: probeWait})
	if err != nil {
		return from, fmt.Errorf("read probes: %w", err)
	}
	for _, u := range b.All {
		switch p := u.Value; {
		case u.Err != nil || u.Gone || p.From == d.cfg.VM:
		case p.To.IsValid():
			d.answered.add(p.Call)
		case p.Domain == d.cfg.Domain || p.Wide:
			d.wg.Go(func() { d.answerProbe(p) })
		}
	}
	return b.Next, nil
}

// answerProbe answers a question, if this VM's answer may tell more than those that are there.
func (d *Node) answerProbe(q Probe) {
	a := Probe{Domain: q.Domain, From: d.cfg.VM, To: q.From, Call: q.Call, Far: q.Domain != d.cfg.Domain, Owns: d.ownsIn(q.Domain)}
	if a.Far && !a.Owns {
		pause(d.ctx, rand.N(farDelay))
		if d.answered.has(q.Call) {
			return
		}
	}
	ctx, cancel := context.WithTimeout(d.ctx, probeMost)
	defer cancel()
	err := d.parts.Presence.Post(ctx, a)
	d.log.Info("probe answered", "from", q.From, "call", q.Call, "domain", q.Domain, "owns", a.Owns, "err", err)
}

// ownsIn reports whether this VM owns endpoints of a failure domain and keeps them.
func (d *Node) ownsIn(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.claims.Groups(), func(g claim.Group) bool {
		return g.Domain == domain && !d.claims.Owns(g).Giving
	})
}

// answered are the numbers of probes that were answered lately.
type answered struct {
	mu    sync.Mutex
	calls map[uint64]bool
}

func (a *answered) add(call uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.calls == nil || len(a.calls) == answeredMost {
		a.calls = map[uint64]bool{}
	}
	a.calls[call] = true
}

func (a *answered) has(call uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls[call]
}
