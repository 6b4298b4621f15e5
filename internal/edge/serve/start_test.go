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

func newNode(t *testing.T) *Node {
	t.Helper()
	at := netip.MustParseAddrPort("127.0.0.1:1")
	return NewNode(t.Context(), Config{VM: at, Domain: "a", Limits: lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond, Resend: 1300 * time.Millisecond}}, Deps{
		Timers: timer.New(timer.Wall{}), Clock: timer.Wall{}, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// Guards against a load balancer that sends callers to machines without power after a loss of all VMs, though some VMs
// run: nobody owns endpoints for some tenths of a second after the start, and no VM is ready without a known owner.
func TestReadyOnceTheEndpointsAreKnown(t *testing.T) {
	is := is.New(t)
	n := newNode(t)
	is.True(!n.Ready()) // no configuration
	n.plan.Store(&plan.Plan{Version: 1})
	is.True(!n.Ready())
	n.applyRoster(nil, true)
	is.True(n.Ready())
	n.began = n.began.Add(-joinWindow)
	is.True(!n.Ready()) // joinWindow is over, and no owner is known
}

// Guards against renewals sent to an address that is not our endpoint: another writer lists an endpoint of a pool that
// no queue uses, and everything listed in the own failure domain is adopted.
func TestEndpointsOfUnusedPoolsAreNotOwned(t *testing.T) {
	is := is.New(t)
	n := newNode(t)
	ours, other := lease.Info{ID: "ours", Domain: "a", Pool: "p"}, lease.Info{ID: "other", Domain: "a", Pool: "x"}
	n.roster.put(ours)
	n.roster.put(other)
	now := n.now()
	n.claims.Decide(now.Add(time.Minute), false, n.claimableGroups(now), nil)
	p := &plan.Plan{Version: 1, Queues: []plan.Queue{{Name: "q", Pool: "p"}}}
	for _, g := range n.claims.Groups() {
		n.syncGroup(now, g, nil, p)
	}
	is.True(n.scheduler.Owned("ours"))
	is.True(!n.scheduler.Owned("other"))
}

// Guards against a large fleet that learns the endpoints a second late after a loss of all VMs: a VM that knows none yet
// is asked for a copy, and drops the request.
func TestEarlyCopyRequestIsAnsweredLater(t *testing.T) {
	is := is.New(t)
	n := newNode(t)
	sent := &sendAllRecorder{}
	n.deps.Mesh = sent
	asker := netip.MustParseAddrPort("127.0.0.1:2")
	n.sendCopy(asker, askEndpoints())
	n.sendCopy(asker, askEndpoints())
	n.answerAskers()
	is.Equal(len(sent.to), 0) // nothing is known yet
	n.sendCopy(asker, askEndpoints())
	n.endpoints.Source = singleEndpoint{}
	_, _, err := n.endpoints.Newest(t.Context())
	is.NoErr(err)
	n.answerAskers()
	is.Equal(sent.to, []netip.AddrPort{asker})
	n.answerAskers()
	is.Equal(len(sent.to), 1)
}

func askEndpoints() *frame.SnapshotRequest { return &frame.SnapshotRequest{Endpoints: true} }

// sendAllRecorder records the receivers of messages sent by SendAll.
type sendAllRecorder struct {
	sendRecorder
	to []netip.AddrPort
}

// SendAll implements Mesh.
func (s *sendAllRecorder) SendAll(to []netip.AddrPort, _ frame.Msg) { s.to = append(s.to, to...) }

// singleEndpoint is a store that lists one endpoint.
type singleEndpoint struct{}

// Newest implements feed.Source.
func (singleEndpoint) Newest(context.Context) ([]feed.Update[lease.Info], int64, error) {
	return []feed.Update[lease.Info]{{Key: "e", Value: lease.Info{ID: "e"}}}, 1, nil
}

// Next implements feed.Source.
func (singleEndpoint) Next(_ context.Context, from int64, _ feed.ReadOptions) (feed.Batch[lease.Info], error) {
	return feed.Batch[lease.Info]{Next: from, End: from}, nil
}
