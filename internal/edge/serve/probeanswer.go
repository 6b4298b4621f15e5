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
	// probeReaders is how many VMs of a failure domain wait for probes: two, since one may be the VM that sent the probe.
	probeReaders = 2
	// probeWait is how long one read waits for a probe. probeRecheck is how often a VM checks whether it is one of the
	// probeReaders.
	probeWait    = 10 * time.Second
	probeRecheck = 500 * time.Millisecond
	// maxRemoteDelay bounds the random delay before a VM of another failure domain answers. One answer is enough, so a VM
	// that has read another's answer by then sends none.
	maxRemoteDelay = 100 * time.Millisecond
	// maxAnswered is how many probes are remembered as answered.
	maxAnswered = 1024
)

// answerProbes answers probes that arrive through the store while this VM is one of its failure domain's probeReaders.
func (d *Node) answerProbes() {
	from, known := int64(0), false
	for d.ctx.Err() == nil {
		if d.now().Sub(d.began) < joinWindow || d.readerRank() >= probeReaders {
			known = false
			pause(d.ctx, probeRecheck)
			continue
		}
		next, err := d.readProbes(from, known)
		from, known = next, err == nil
		switch {
		case err == nil || d.ctx.Err() != nil:
		case errors.Is(err, feed.ErrGone):
			d.log.Info("store history gone", "feed", "presence", "from", from)
		default:
			d.log.Info("reading probes failed", "err", err)
			pause(d.ctx, probeRecheck)
		}
	}
}

// readProbes reads probes once and answers them; it returns the offset to continue from.
func (d *Node) readProbes(from int64, known bool) (next int64, err error) {
	if !known {
		if _, from, err = d.deps.Presence.Newest(d.ctx); err != nil {
			return from, fmt.Errorf("find the end of the probes: %w", err)
		}
	}
	b, err := d.deps.Presence.Next(d.ctx, from, feed.ReadOptions{Wait: probeWait})
	if err != nil {
		return from, fmt.Errorf("read probes: %w", err)
	}
	for _, u := range b.Updates {
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

// answerProbe answers a probe. A VM of another failure domain that owns nothing there stays silent if it sees another
// answer first.
func (d *Node) answerProbe(q Probe) {
	a := Probe{Domain: q.Domain, From: d.cfg.VM, To: q.From, Call: q.Call, Remote: q.Domain != d.cfg.Domain, Owns: d.ownsIn(q.Domain)}
	if a.Remote && !a.Owns {
		pause(d.ctx, rand.N(maxRemoteDelay))
		if d.answered.has(q.Call) {
			return
		}
	}
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	err := d.deps.Presence.Post(ctx, a)
	d.log.Info("probe answered", "from", q.From, "call", q.Call, "domain", q.Domain, "owns", a.Owns, "err", err)
}

// ownsIn reports whether this VM owns endpoints of a failure domain that it is not handing over.
func (d *Node) ownsIn(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.claims.Groups(), func(g claim.Group) bool {
		return g.Domain == domain && !d.claims.Owns(g).HandingOver
	})
}

// answeredProbes is a bounded set of the calls of recently answered probes.
type answeredProbes struct {
	mu    sync.Mutex
	calls map[uint64]bool
}

func (a *answeredProbes) add(call uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.calls == nil || len(a.calls) == maxAnswered {
		a.calls = map[uint64]bool{}
	}
	a.calls[call] = true
}

func (a *answeredProbes) has(call uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls[call]
}
