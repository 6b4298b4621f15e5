package grid

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an endpoint that starts again under its ID and counts its ends from 1: if its owner goes on with the
// serial that it had reached, it acknowledges ends that it has never seen. Each run there seems lost and is started
// again, and the jobs are late until the serials have caught up.
func TestEndpointsThatRestartUnderTheirIDsServeOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	set := UserSetup(110)
	const at = 9 * time.Second
	set.Faults = []Fault{{at, func(g *Grid) {
		for i := range 12 {
			g.Endpoint(4 * i).Restart()
		}
	}}}
	g := simulate(t, set)
	logPerKind(t, g, at, set.Warmup+set.Span)
	during := g.Counts(allKinds, at-time.Second, at)
	after := g.Counts(allKinds, at+time.Second, set.Warmup+set.Span)
	t.Logf("around the restart %.3f, after it %.3f; %d starts stopped", during.Share(), after.Share(), g.Judge.Stops)
	is.True(after.Share() >= 0.97)
	is.Equal(g.Counts(allKinds, at+time.Second, set.Warmup+set.Span).Failed, 0)
}
