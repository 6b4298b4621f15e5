package flow

import (
	"fmt"
	"net/netip"
	"time"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/fold"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/task/quota"
)

// Docs is where revisions come from and go to; the keeper of the log's fold
// implements it.
type Docs interface {
	// Offer takes a peer's revision.
	Offer(fold.Revision)
	// Current returns the revision to pass on.
	Current() (fold.Revision, bool)
}

// Bind sets where revisions from peers go.
func (n *Node) Bind(d Docs) { n.docs.Store(&d) }

// Apply puts a revision in force; lower ones are ignored.
func (n *Node) Apply(r fold.Revision) error {
	if c := n.conf.Load(); c != nil && c.rev.Rev >= r.Rev {
		return nil
	}
	d, err := doc.Parse(r.Doc)
	if err != nil {
		return fmt.Errorf("apply revision %d: %w", r.Rev, err)
	}
	limits := map[string]quota.Limit{}
	for name, t := range d.Tenants {
		limits[name] = quota.Limit{Rate: t.Rate, Slots: t.Slots}
	}
	n.quota.Declare(n.now(), limits)
	n.conf.Store(&conf{rev: r, doc: d, keys: doc.NewKeyring(d), since: n.now()})
	n.parts.Log.Info("document in force", "rev", r.Rev, "author", r.Author)
	n.rehome()
	n.pump()
	return nil
}

// InForce returns the revision in force and since when.
func (n *Node) InForce() (r fold.Revision, since time.Time, ok bool) {
	c := n.conf.Load()
	if c == nil {
		return fold.Revision{}, time.Time{}, false
	}
	return c.rev, c.since, true
}

// compare asks a peer for its revision when it is ahead.
func (n *Node) compare(vm netip.AddrPort, b *frame.Beat) {
	c := n.conf.Load()
	if b.Rev > 0 && (c == nil || c.rev.Rev < b.Rev) {
		_ = n.parts.Mesh.Cast(vm, &frame.Want{}) // the next beat tries again
	}
}

func (n *Node) receiveWant(from frame.Hello) {
	d := n.docs.Load()
	if d == nil {
		return
	}
	if r, ok := (*d).Current(); ok {
		_ = n.parts.Mesh.Cast(from.VM, &frame.Have{Revision: r}) // asked again by the next beat
	}
}

func (n *Node) receiveHave(h *frame.Have) {
	if d := n.docs.Load(); d != nil {
		(*d).Offer(h.Revision)
	}
}
