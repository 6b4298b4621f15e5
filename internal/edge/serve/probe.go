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

// Probe is a question from a VM that hears none of its neighbours, or an answer to one. Both go through the store, which
// a VM may reach when it can't reach the others.
type Probe struct {
	Domain string         // the VMs asked and the endpoints meant by Owns are of this failure domain
	From   netip.AddrPort // the VM that asks or answers
	To     netip.AddrPort // the VM that asked; invalid in a question
	Call   uint64         // the question's number, repeated in its answers
	Wide   bool           // in a question: VMs of other failure domains are asked too
	Remote bool           // in an answer: it comes from a VM of another failure domain
	Owns   bool           // in an answer: the sender owns endpoints of the failure domain
}

// Presence is the store's topic for probes.
type Presence interface {
	feed.Source[Probe]
	// Post adds a question or an answer. It returns an error if the store did not confirm it.
	Post(ctx context.Context, p Probe) error
}

const (
	// minProbeWait is the minimum wait for answers: they take two calls to the store plus the time that a busy VM needs.
	// With a slow store the wait is probeWaitFactor times as long as posting the question took.
	minProbeWait    = 200 * time.Millisecond
	probeWaitFactor = 5
	// probeTimeout bounds a whole probe.
	probeTimeout = 5 * time.Second
	// probePause is the pause after the first probe while no neighbour is heard. It doubles with each probe up to
	// maxProbePause, since the result seldom changes.
	probePause    = time.Second
	maxProbePause = 8 * time.Second
	// probeValid is how long a result counts while the store answers no further probe.
	probeValid = 30 * time.Second
	// lastProbes is how many wide probes in a row must stay unanswered before this VM counts as the last one: any other
	// VM would have to miss both.
	lastProbes = 2
	// othersJoined is the age from which an unanswered wide probe counts. VMs started together with this one, up to a second
	// later, don't answer before that.
	othersJoined = joinWindow + time.Second
)

// probeResult is what the store's answers say about VMs that are not heard.
type probeResult uint8

const (
	resultUnknown probeResult = iota
	noneAnswered
	remoteAnswered    // only by VMs of other failure domains, which own no endpoints of this one
	neighbourAnswered // by a VM of this failure domain that owns no endpoints
	ownerAnswered
)

var probeResultNames = [...]string{"unknown", "none answered", "far vm answered", "neighbour answered", "owner answered"}

func (p probeResult) String() string { return probeResultNames[p] }

// noNeighbour reports whether no VM of the own failure domain answered, and no owner of its endpoints.
func (p probeResult) noNeighbour() bool { return p == noneAnswered || p == remoteAnswered }

// prober holds the result of the last probe; the node's lock guards it.
type prober struct {
	active     bool
	next       time.Time     // when to probe again
	pause      time.Duration // the pause before next
	result     probeResult
	at         time.Time // when the result arrived
	unanswered int       // number of wide probes in a row
}

// nextPause returns the pause after the next probe. It stays short while nobody answers and this VM may be the last one.
func (p *prober) nextPause(c contacts) time.Duration {
	if c.heard == 0 && c.isCut() && p.result == noneAnswered && p.unanswered < lastProbes {
		return probePause
	}
	return min(max(probePause, 2*p.pause), maxProbePause)
}

// contacts counts the VMs that are heard or missed. A machine that refuses a dial is reachable, so this VM is not cut
// off.
type contacts struct {
	heard, missed int  // numbers of VMs
	neighbour     bool // a VM of the own failure domain is heard
	refused       bool // a machine refused a dial
}

func (d *Node) countContacts() (c contacts) {
	for _, m := range d.view.Members() {
		switch {
		case m.State == view.Alive:
			c.heard++
			c.neighbour = c.neighbour || m.Domain == d.cfg.Domain
		case m.State == view.Suspect, m.State == view.Gone, m.State == view.Listed && d.deps.Mesh.Absent(m.VM):
			c.missed++
		}
	}
	c.refused = c.missed > c.heard && slices.ContainsFunc(d.view.Members(), func(m *view.Member) bool { return d.deps.Mesh.Refused(m.VM) })
	return c
}

// isCut reports whether this VM may be cut off from the others: it hears fewer VMs than it misses.
func (c contacts) isCut() bool { return c.missed > c.heard && !c.refused }

// mayBeAlive reports whether a VM that is not heard may be alive, and this VM hears too few others to decide that without
// a probe. VMs of other failure domains count only while this VM may be cut off.
func (d *Node) mayBeAlive(now time.Time, m *view.Member, c contacts) bool {
	if m.Domain != d.cfg.Domain && !c.isCut() {
		return false
	}
	switch m.State {
	case view.Listed:
		joining := now.Sub(d.began) < joinWindow || d.prober.result == ownerAnswered
		return !c.neighbour && (c.heard == 0 || joining) && d.deps.Mesh.Absent(m.VM) && !d.deps.Mesh.Refused(m.VM)
	case view.Suspect, view.Gone:
		return c.heard == 0 || c.isCut()
	default:
		return false
	}
}

// hears reports whether a VM is heard: its heartbeats arrive.
func (d *Node) hears(vm netip.AddrPort) bool {
	return slices.ContainsFunc(d.view.Members(), func(m *view.Member) bool { return m.VM == vm && m.State == view.Alive })
}

// checkUnheard probes through the store for VMs that are not heard, and passes the result to the claims; the caller
// holds the lock.
//
// Without it a VM that is cut off from the others considers them lost, and claims endpoints of live owners, whose jobs
// fail. Or, after a loss of all others, it considers itself cut off, and serves nobody.
func (d *Node) checkUnheard(now time.Time) {
	c := d.countContacts()
	unheard := slices.ContainsFunc(d.view.Members(), func(m *view.Member) bool { return d.mayBeAlive(now, m, c) })
	p := &d.prober
	switch {
	case !unheard:
		*p = prober{active: p.active}
	case !p.active && !now.Before(p.next):
		p.active = true
		p.pause = p.nextPause(c)
		d.wg.Go(func() { d.runProbe(c.isCut()) })
	case now.Sub(p.at) >= probeValid:
		p.result, p.unanswered = resultUnknown, 0
	}
	d.claims.SetCutOff((c.heard == 0 || c.isCut()) && p.result >= remoteAnswered)
	d.claims.SetDeferring(p.result == ownerAnswered)
	d.claims.SetNeighboursLost(p.result.noNeighbour())
	d.claims.SetAllLost(d.isLast(c))
}

// isLast reports whether all other VMs are surely down; the caller holds the lock.
func (d *Node) isLast(c contacts) bool {
	return c.heard == 0 && c.isCut() && d.prober.unanswered >= lastProbes
}

// runProbe probes once and records the result; wide asks VMs of other failure domains too.
func (d *Node) runProbe(wide bool) {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	began := d.now()
	result, by, err := d.sendProbe(ctx, wide)
	now := d.lock()
	defer d.mu.Unlock()
	p := &d.prober
	p.active, p.next = false, now.Add(p.pause)
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
	case began.Sub(d.began) >= othersJoined:
		p.unanswered++
	}
}

// sendProbe posts a question and collects answers until one comes from an owner or the time is over. Answers of VMs that
// are heard by then don't count.
func (d *Node) sendProbe(ctx context.Context, wide bool) (result probeResult, by netip.AddrPort, err error) {
	_, from, err := d.deps.Presence.Newest(ctx)
	if err != nil {
		return resultUnknown, by, fmt.Errorf("find the end of the probes: %w", err)
	}
	q := Probe{Domain: d.cfg.Domain, From: d.cfg.VM, Call: rand.Uint64(), Wide: wide}
	began := d.now()
	if err := d.deps.Presence.Post(ctx, q); err != nil {
		return resultUnknown, by, fmt.Errorf("post a probe: %w", err)
	}
	now := d.now()
	until := now.Add(max(minProbeWait, probeWaitFactor*now.Sub(began)))
	result = noneAnswered
	for ; now.Before(until); now = d.now() {
		b, err := d.deps.Presence.Next(ctx, from, feed.ReadOptions{Wait: until.Sub(now)})
		if err != nil {
			return resultUnknown, by, fmt.Errorf("read answers to a probe: %w", err)
		}
		from = b.Next
		for _, u := range b.Updates {
			a := u.Value
			if a.To != q.From || a.Call != q.Call || d.hears(a.From) {
				continue
			}
			if r := a.result(); r > result {
				result, by = r, a.From
			}
			if result == ownerAnswered {
				return result, by, nil
			}
		}
	}
	return result, by, nil
}

// result returns what an answer says about the failure domain.
func (p Probe) result() probeResult {
	switch {
	case p.Owns:
		return ownerAnswered
	case p.Remote:
		return remoteAnswered
	default:
		return neighbourAnswered
	}
}
