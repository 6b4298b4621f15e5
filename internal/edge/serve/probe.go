package serve

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

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
	// lastAfter is how many wide probes in a row nobody may answer until this VM is the last one: all others must
	// have missed both.
	lastAfter = 2
	// othersStart is the age from which a VM takes a wide probe without an answer for one: before, others that were
	// started with it, up to a second later, don't answer yet.
	othersStart = joinFor + time.Second
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
	asking     bool
	next       time.Time     // when to ask again
	pause      time.Duration // the last one before that
	result     presence
	at         time.Time // when the result came
	unanswered int       // wide probes in a row
}

// rest is the pause after the next probe. It stays short while nobody answers and this VM may be the last one.
func (p *prober) rest(h hearing) time.Duration {
	if h.heard == 0 && h.isCut() && p.result == noneAnswered && p.unanswered < lastAfter {
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
		p.result, p.unanswered = presenceUnknown, 0
	}
	d.claims.CutOff((h.heard == 0 || h.isCut()) && p.result >= farAnswered)
	d.claims.Defer(p.result == ownerAnswered)
	d.claims.Succeed(p.result.lacksNear())
	d.claims.SucceedAll(d.isLast(h))
}

// isLast reports whether surely no other VM is there; the caller holds the lock.
func (d *Node) isLast(h hearing) bool {
	return h.heard == 0 && h.isCut() && d.prober.unanswered >= lastAfter
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
		p.unanswered = 0
	case began.Sub(d.began) >= othersStart:
		p.unanswered++
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
