package serve

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/conf/plan"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/plat/feed"
	"dahliawinch/internal/task/lease"
)

func started(t *testing.T) *Node {
	t.Helper()
	at := netip.MustParseAddrPort("127.0.0.1:1")
	return NewNode(t.Context(), Config{VM: at, Domain: "a", Limits: lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond, Resend: 1300 * time.Millisecond}}, Parts{
		Timers: timer.New(timer.Wall{}), Clock: timer.Wall{}, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// Symptom: after a loss of all VMs callers are sent to machines without power, though some VMs run.
// Sequence: the VMs start; nobody owns endpoints for some tenths of a second. Cause: none is ready
// before it has heard of an owner.
func TestReadyOnceTheEndpointsAreKnown(t *testing.T) {
	is := is.New(t)
	n := started(t)
	is.True(!n.Ready()) // no configuration
	n.plan.Store(&plan.Plan{Version: 1})
	is.True(!n.Ready())
	n.applyRoster(nil, true)
	is.True(n.Ready())
	n.began = n.began.Add(-joinFor)
	is.True(!n.Ready()) // owners should have come up by now
}

// Symptom: renewals go to an address that is no endpoint of ours. Sequence: another writer lists an
// endpoint of a pool that no queue uses. Cause: all that is listed in the own failure domain is
// taken over.
func TestEndpointsOfOtherPoolsAreLeftAlone(t *testing.T) {
	is := is.New(t)
	n := started(t)
	ours, other := lease.Info{ID: "ours", Domain: "a", Pool: "p"}, lease.Info{ID: "other", Domain: "a", Pool: "x"}
	n.roster.put(ours)
	n.roster.put(other)
	now := n.now()
	n.claims.Decide(now.Add(time.Minute), false, n.groups(now), nil)
	p := &plan.Plan{Version: 1, Queues: []plan.Queue{{Name: "q", Pool: "p"}}}
	for _, g := range n.claims.Groups() {
		n.tend(now, g, nil, p)
	}
	is.True(n.book.Owned("ours"))
	is.True(!n.book.Owned("other"))
}

// Symptom: after a loss of all VMs a large fleet knows the endpoints a second late. Sequence: a VM
// that knows none is asked for a copy. Cause: the question is dropped.
func TestWhoAsksTooSoonIsAnsweredLater(t *testing.T) {
	is := is.New(t)
	n := started(t)
	sent := &sentTo{}
	n.parts.Mesh = sent
	asker := netip.MustParseAddrPort("127.0.0.1:2")
	n.tellCopy(asker, askEndpoints())
	n.tellCopy(asker, askEndpoints())
	n.tellAskers()
	is.Equal(len(sent.to), 0) // nothing is known yet
	n.tellCopy(asker, askEndpoints())
	n.eps.Source = listedOnce{}
	_, _, err := n.eps.Newest(t.Context())
	is.NoErr(err)
	n.tellAskers()
	is.Equal(sent.to, []netip.AddrPort{asker})
	n.tellAskers()
	is.Equal(len(sent.to), 1)
}

func askEndpoints() *frame.Ask { return &frame.Ask{Endpoints: true} }

// sentTo notes who is sent anything.
type sentTo struct {
	casts
	to []netip.AddrPort
}

// Spread implements Mesh.
func (s *sentTo) Spread(to []netip.AddrPort, _ frame.Msg) { s.to = append(s.to, to...) }

// listedOnce is a store that lists one endpoint.
type listedOnce struct{}

// Newest implements feed.Source.
func (listedOnce) Newest(context.Context) ([]feed.Update[lease.Info], int64, error) {
	return []feed.Update[lease.Info]{{Key: "e", Value: lease.Info{ID: "e"}}}, 1, nil
}

// Next implements feed.Source.
func (listedOnce) Next(_ context.Context, from int64, _ feed.Ask) (feed.Batch[lease.Info], error) {
	return feed.Batch[lease.Info]{Next: from, End: from}, nil
}
