package grid

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"dahliawinch/internal/edge/serve"
)

// Guards against jobs that are split although one owner has room for them: on a calm day, at three tenths of the load
// that fills all endpoints, nearly all jobs go whole, and the VMs send as many bytes as without the option.
func TestCalmJobsGoWhole(t *testing.T) {
	is := is.New(t)
	sent, jobs, split := map[bool]int64{}, 0, 0
	for _, on := range []bool{false, true} {
		set := UserSetup(0.3 * fullLoad)
		set.Options, set.CountBytes = serve.Options{Split: on}, true
		var log bytes.Buffer
		set.Log = &log
		g := simulate(t, set)
		sent[on] = g.ControlBytes.Load()
		jobs, split = len(g.results), bytes.Count(log.Bytes(), []byte(`msg="job split"`))
		t.Logf("split %v: %d of %d jobs, %d bytes, %+v", on, split, jobs, sent[on], g.Counts(allKinds, set.Warmup, set.Warmup+set.Span))
	}
	is.True(float64(split) <= 0.02*float64(jobs))
	is.True(float64(sent[true]) <= 1.03*float64(sent[false]))
}
