package serve

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"dahliawinch/internal/mesh/claim"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/plat/feed"
)

// Probe is a question of a VM that hears none of its neighbours, or the answer to one. Both go through
// the store, which a VM may reach that the others don't.
type Probe struct {
	Domain string         // whose VMs are asked, and whose endpoints Owns is about
	From   netip.AddrPort // the VM that asks or answers
	To     netip.AddrPort // the VM that is answered; not valid in a question
	Call   uint64         // the question's number, repeated by its answers
	Wide   bool           // in a question: VMs of other failure domains are asked too
	Far    bool           // in an answer: it comes from a VM of another failure domain
	Owns   bool           // the VM that answers owns endpoints of the failure domain
}

// Presence is where VMs probe for each other.
type Presence interface {
	feed.Source[Probe]
	// Post adds a question or an answer. It returns an error when the store did not confirm it.
	Post(ctx context.Context, p Probe) error
}

const (
	// probeLeast is how long a VM waits for answers at least: they come within two calls to the store
	// and the time that a busy VM takes. A slow store gets probeTrips times what the question took.
	probeLeast = 200 * time.Millisecond
	probeTrips = 5
	// probeMost bounds a probe as a whole.
	probeMost = 5 * time.Second
	// probeEvery is the pause after the first probe while no neighbour is heard; it doubles with each up to
	// probeRest, since the result seldom changes.
	probeEvery = time.Second
	probeRest  = 8 * time.Second
	// probeKeeps is for how long a result counts while the store answers no further probe.
	probeKeeps = 30 * time.Second
	// probeReaders is how many VMs of a failure domain wait for probes: two, since one may be the VM that asks.
	probeReaders = 2
	// probeWait is how long one read waits for a probe, and probeLook how often a VM looks whether it is
	// among those who read.
	probeWait = 10 * time.Second
	probeLook = 500 * time.Millisecond
	// farDelay bounds the random pause before a VM of another failure domain answers. One answer is enough, so the
	// others stay silent once they have read it.
	farDelay = 100 * time.Millisecond
	// lastAfter is how many wide probes in a row nobody may answer until this VM is the last one: all others must
	// have missed both.
	lastAfter = 2
	// othersStart is the age from which a VM takes a wide probe without an answer for one: before, others that were
	// started with it, up to a second later, don't answer yet.
	othersStart = joinFor + time.Second
	// answeredMost is how many probes are remembered as answered.
	answeredMost = 1024
)

// presence is what a VM knows through the store of VMs that it doesn't hear.
type presence uint8

const (
	presenceUnknown presence = iota
	noneAnswered
	farAnswered       // only VMs of other failure domains, and they own no endpoints of this one
	neighbourAnswered // but owns no endpoints
	ownerAnswered
)

var presenceNames = [...]string{"unknown", "none answered", "far vm answered", "neighbour answered", "owner answered"}

func (p presence) String() string { return presenceNames[p] }

// lacksNear reports whether no VM of the own failure domain is there, and nobody owns its endpoints.
func (p presence) lacksNear() bool { return p == noneAnswered || p == farAnswered }

// prober holds the result of the last probe; the node's lock guards it.
type prober struct {
	asking bool
	next   time.Time     // when to ask again
	pause  time.Duration // the last one before that
	result presence
	at     time.Time // when the result came
	misses int       // wide probes in a row that nobody answered
}

// rest is the pause after the next probe. It stays short while nobody answers and this VM may be the last one.
func (p *prober) rest(h hearing) time.Duration {
	if h.heard == 0 && h.isCut() && p.result == noneAnswered && p.misses < lastAfter {
		return probeEvery
	}
	return min(max(probeEvery, 2*p.pause), probeRest)
}

// hearing is whom a VM hears. A machine that refuses a dial is reached, so this VM is not cut off.
type hearing struct {
	heard, missed int  // VMs
	near          bool // one of the own failure domain is heard
	refused       bool
}

func (d *Node) hearing() (h hearing) {
	for _, m := range d.view.Members() {
		switch {
		case m.State == view.Alive:
			h.heard++
			h.near = h.near || m.Domain == d.cfg.Domain
		case m.State == view.Suspect, m.State == view.Gone, m.State == view.Listed && d.parts.Mesh.Absent(m.VM):
			h.missed++
		}
	}
	h.refused = h.missed > h.heard && slices.ContainsFunc(d.view.Members(), func(m *view.Member) bool { return d.parts.Mesh.Refused(m.VM) })
	return h
}

// isCut reports whether this VM may be cut off from the others: it hears nobody, or fewer than it misses.
func (h hearing) isCut() bool { return h.missed > h.heard && !h.refused }

// isUnheard reports whether a VM may live though it is not heard, and nobody who is heard can tell. VMs of other
// failure domains matter to one that may be cut off.
func (d *Node) isUnheard(now time.Time, m *view.Member, h hearing) bool {
	if m.Domain != d.cfg.Domain && !h.isCut() {
		return false
	}
	switch m.State {
	case view.Listed:
		settles := now.Sub(d.began) < joinFor || d.prober.result == ownerAnswered
		return !h.near && (h.heard == 0 || settles) && d.parts.Mesh.Absent(m.VM) && !d.parts.Mesh.Refused(m.VM)
	case view.Suspect, view.Gone:
		return h.heard == 0 || h.isCut()
	default:
		return false
	}
}

// hears reports whether a VM is heard.
func (d *Node) hears(vm netip.AddrPort) bool {
	return slices.ContainsFunc(d.view.Members(), func(m *view.Member) bool { return m.VM == vm && m.State == view.Alive })
}

// lookUnheard asks through the store for VMs that are not heard, and tells the claims what is known of
// them; the caller holds the lock.
//
// What goes wrong without it: a VM that is cut off from the others takes their silence for their loss. It claims
// endpoints of living owners, whose jobs fail. Or it takes the loss of all others for a cut, and serves nobody.
func (d *Node) lookUnheard(now time.Time) {
	h := d.hearing()
	unheard := slices.ContainsFunc(d.view.Members(), func(m *view.Member) bool { return d.isUnheard(now, m, h) })
	p := &d.prober
	switch {
	case !unheard:
		*p = prober{asking: p.asking}
	case !p.asking && !now.Before(p.next):
		p.asking = true
		p.pause = p.rest(h)
		d.wg.Go(func() { d.askPresence(h.isCut()) })
	case now.Sub(p.at) >= probeKeeps:
		p.result, p.misses = presenceUnknown, 0
	}
	d.claims.CutOff((h.heard == 0 || h.isCut()) && p.result >= farAnswered)
	d.claims.Defer(p.result == ownerAnswered)
	d.claims.Succeed(p.result.lacksNear())
	d.claims.SucceedAll(d.isLast(h))
}

// isLast reports whether surely no other VM is there; the caller holds the lock.
func (d *Node) isLast(h hearing) bool {
	return h.heard == 0 && h.isCut() && d.prober.misses >= lastAfter
}

// askPresence probes once and takes in the result; wide asks VMs of other failure domains too.
func (d *Node) askPresence(wide bool) {
	ctx, cancel := context.WithTimeout(d.ctx, probeMost)
	defer cancel()
	began := d.now()
	result, by, err := d.sendProbe(ctx, wide)
	now := d.lock()
	defer d.mu.Unlock()
	p := &d.prober
	p.asking, p.next = false, now.Add(p.pause)
	if d.ctx.Err() != nil {
		return
	}
	d.log.Info("neighbours probed", "wide", wide, "result", result.String(), "by", by, "after", now.Sub(began).Round(time.Millisecond), "err", err)
	if err != nil {
		return
	}
	p.result, p.at = result, now
	switch {
	case !wide || result != noneAnswered:
		p.misses = 0
	case began.Sub(d.began) >= othersStart:
		p.misses++
	}
}

// sendProbe posts a question and waits for answers, up to the first of an owner.
func (d *Node) sendProbe(ctx context.Context, wide bool) (result presence, by netip.AddrPort, err error) {
	_, from, err := d.parts.Presence.Newest(ctx)
	if err != nil {
		return presenceUnknown, by, fmt.Errorf("find the end of the probes: %w", err)
	}
	q := Probe{Domain: d.cfg.Domain, From: d.cfg.VM, Call: rand.Uint64(), Wide: wide}
	began := d.now()
	if err := d.parts.Presence.Post(ctx, q); err != nil {
		return presenceUnknown, by, fmt.Errorf("post a probe: %w", err)
	}
	now := d.now()
	until := now.Add(max(probeLeast, probeTrips*now.Sub(began)))
	result = noneAnswered
	for ; now.Before(until); now = d.now() {
		b, err := d.parts.Presence.Next(ctx, from, feed.Ask{Wait: until.Sub(now)})
		if err != nil {
			return presenceUnknown, by, fmt.Errorf("read answers to a probe: %w", err)
		}
		from = b.Next
		for _, u := range b.All {
			a := u.Value
			if a.To != q.From || a.Call != q.Call || d.hears(a.From) {
				continue
			}
			if r := a.shows(); r > result {
				result, by = r, a.From
			}
			if result == ownerAnswered {
				return result, by, nil
			}
		}
	}
	return result, by, nil
}

// shows is what an answer tells the VM that asked.
func (p Probe) shows() presence {
	switch {
	case p.Owns:
		return ownerAnswered
	case p.Far:
		return farAnswered
	default:
		return neighbourAnswered
	}
}

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
