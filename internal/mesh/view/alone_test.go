package view

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/mesh/frame"
)

// Guards against an isolated VM that takes its neighbours for lost, and against a lost neighbour whose heir
// takes itself for isolated.
func TestIsolationIsASilenceOfAllAtOnce(t *testing.T) {
	const quiet = goneAfter + 2*together
	for name, c := range map[string]struct {
		domains []string
		apart   time.Duration // from one's last heartbeat to the next one's
		leaves  int           // member that said so, if any
		after   time.Duration // since the last heartbeat of all
		want    bool
	}{
		"all at once":           {domains: []string{"a", "b", "c"}, after: quiet, want: true},
		"all but for a while":   {domains: []string{"a", "b", "c"}, after: goneAfter - 1},
		"one domain":            {domains: []string{"b", "b", "b"}, after: quiet},
		"the only other":        {domains: []string{"a"}, after: quiet},
		"one after another":     {domains: []string{"a", "b"}, apart: 2 * together, after: quiet},
		"one of two has left":   {domains: []string{"a", "b"}, leaves: 2, after: quiet},
		"longer than it may be": {domains: []string{"a", "b", "c"}, after: isolatedMost},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := New(vm(0), "a", began)
			at := began
			for i, d := range c.domains {
				at = began.Add(time.Duration(i) * c.apart)
				v.Hear(at, frame.Hello{VM: vm(i + 1), Inc: 1, Domain: d}, &frame.Beat{At: at, Leaving: c.leaves == i+1})
			}
			now := at.Add(c.after)
			v.Tick(now)
			is.Equal(v.Isolated(now), c.want)
			hear(v, now, 1, 1, frame.Beat{At: now})
			is.True(!v.Isolated(now)) // one is heard again
		})
	}
}
