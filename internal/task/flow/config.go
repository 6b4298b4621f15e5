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

// RevisionStore holds the newest known revision of the document; keeper.Keeper
// implements it.
type RevisionStore interface {
	// Offer submits a peer's revision.
	Offer(fold.Revision)
	// Current returns the revision to send to peers.
	Current() (fold.Revision, bool)
}

// SetRevisionStore sets the store for revisions from peers.
func (n *Node) SetRevisionStore(d RevisionStore) { n.revisions.Store(&d) }

// Apply puts a revision in force. It ignores one that is not newer than the current.
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
	n.quota.SetLimits(n.now(), limits)
	n.conf.Store(&conf{rev: r, doc: d, keys: doc.NewKeyring(d), since: n.now()})
	n.deps.Log.Info("document in force", "rev", r.Rev, "author", r.Author)
	n.rehome()
	n.pump()
	return nil
}

// InForce returns the revision in force and when it was applied.
func (n *Node) InForce() (r fold.Revision, since time.Time, ok bool) {
	c := n.conf.Load()
	if c == nil {
		return fold.Revision{}, time.Time{}, false
	}
	return c.rev, c.since, true
}

// requestNewer asks a peer for its revision if that is newer.
func (n *Node) requestNewer(vm netip.AddrPort, b *frame.Heartbeat) {
	c := n.conf.Load()
	if b.Rev > 0 && (c == nil || c.rev.Rev < b.Rev) {
		_ = n.deps.Mesh.Send(vm, &frame.DocumentRequest{}) // the next heartbeat tries again
	}
}

// receiveWant sends the current revision to a peer that requested it.
func (n *Node) receiveWant(from frame.Hello) {
	d := n.revisions.Load()
	if d == nil {
		return
	}
	if r, ok := (*d).Current(); ok {
		_ = n.deps.Mesh.Send(from.VM, &frame.Document{Revision: r}) // the peer asks again at the next heartbeat
	}
}

// receiveHave offers a peer's revision to the store.
func (n *Node) receiveHave(h *frame.Document) {
	if d := n.revisions.Load(); d != nil {
		(*d).Offer(h.Revision)
	}
}
