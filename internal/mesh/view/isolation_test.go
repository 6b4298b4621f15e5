package view

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/mesh/frame"
)

// Guards against an isolated VM that considers its neighbours lost, and against a VM that considers itself
// isolated when a neighbour is lost whose endpoints it must claim.
func TestIsolationNeedsSimultaneousSilence(t *testing.T) {
	const quiet = goneAfter + 2*isolationWindow
	for name, c := range map[string]struct {
		domains []string
		apart   time.Duration // between the last heartbeats of successive members
		leaves  int           // number of the member that leaves, 0 for none
		after   time.Duration // time since the latest heartbeat
		want    bool
	}{
		"all at once":          {domains: []string{"a", "b", "c"}, after: quiet, want: true},
		"all, not long enough": {domains: []string{"a", "b", "c"}, after: goneAfter - 1},
		"one domain":           {domains: []string{"b", "b", "b"}, after: quiet},
		"the only other VM":    {domains: []string{"a"}, after: quiet},
		"one after another":    {domains: []string{"a", "b"}, apart: 2 * isolationWindow, after: quiet},
		"one of two has left":  {domains: []string{"a", "b"}, leaves: 2, after: quiet},
		"all for too long":     {domains: []string{"a", "b", "c"}, after: maxIsolation},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := New(vm(0), "a", began)
			at := began
			for i, d := range c.domains {
				at = began.Add(time.Duration(i) * c.apart)
				v.Hear(at, frame.Hello{VM: vm(i + 1), Inc: 1, Domain: d}, &frame.Heartbeat{At: at, Leaving: c.leaves == i+1})
			}
			now := at.Add(c.after)
			v.Tick(now)
			is.Equal(v.Isolated(now), c.want)
			hear(v, now, 1, 1, frame.Heartbeat{At: now})
			is.True(!v.Isolated(now)) // one is heard again
		})
	}
}
