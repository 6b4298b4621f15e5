package bench

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a rise of the CPU time per task. It compares with a bare pair in the
// same process; maxRatio depends on whether the race detector is on.
func TestCPUTimePerTask(t *testing.T) {
	const tries = 3
	is := is.New(t)
	best := 0.0
	for range tries { // load on the machine can only raise the ratio
		w, err := MeasureWire(t.Context())
		is.NoErr(err)
		t.Logf("%+v", w)
		is.True(w.Ratio > 0)
		if best == 0 || w.Ratio < best {
			best = w.Ratio
		}
		if best <= maxRatio {
			return
		}
	}
	t.Errorf("%.2f times the CPU time of a bare pair", best)
}
