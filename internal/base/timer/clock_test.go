package timer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a VM that refuses every job of another after a step of the time of day, until
// one of the two restarts: timestamps were compared with a clock that follows such steps, as times
// without a monotonic reading do.
func TestBootClockIgnoresTimeOfDaySteps(t *testing.T) {
	is := is.New(t)
	c, err := NewBoot()
	is.NoErr(err)
	a := c.Now()
	is.True(time.Since(a).Abs() < time.Second) // it starts at the time of day
	is.Equal(a, a.Round(0))                    // and has no monotonic reading that may differ
	began := time.Now()
	time.Sleep(20 * time.Millisecond)
	took := time.Since(began)
	is.True((c.Now().Sub(a) - took).Abs() < 10*time.Millisecond)
	c.start = c.start.Add(-time.Hour) // as if the time of day had been wrong at the start
	is.True(a.Sub(c.Now()) > 59*time.Minute)
}
