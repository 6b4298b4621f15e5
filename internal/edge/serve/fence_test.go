package serve

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/conf/plan"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/lease"
)

// Guards against a failure domain that nobody serves because its only VM was started with its clock behind: its fence is
// lower than that of a VM that is gone, which the endpoints still obey.
func TestVMWithItsClockBehindRaisesItsFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNode(t)
		n.plan.Store(&plan.Plan{Version: 1, Queues: []plan.Queue{{Name: "q", Pool: "p"}}})
		n.applyRoster(nil, true)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.roster.put(lease.Info{ID: "e", Domain: "a", Pool: "p"})
		time.Sleep(time.Second)
		n.updateClaims(n.now())
		low := n.scheduler.Find("e").Fence
		for range 100 { // ten seconds of heartbeats
			time.Sleep(view.Period)
			if ep := n.scheduler.Find("e"); ep != nil && ep.Fence == low {
				n.scheduler.Lose(n.now(), "e", false, "it refused a renewal: "+agent.Fenced.String())
				n.handleRefusal(agent.Fenced, ep, low)
			}
			n.updateClaims(n.now())
		}
		ep := n.scheduler.Find("e")
		is.True(ep != nil)
		is.True(ep.Fence > low)
	})
}
