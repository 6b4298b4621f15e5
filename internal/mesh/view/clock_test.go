package view

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dahliawinch/internal/mesh/frame"
)

// rounding allows for the test's clocks, which are rounded to nanoseconds.
const rounding = time.Microsecond

// Guards against a keepalive that counts as newer than it is: Theirs must never be ahead of the member's real clock.
func TestClockEstimateIsNeverAhead(t *testing.T) {
	vm := netip.MustParseAddrPort("10.0.0.2:1")
	rapid.Check(t, func(t *rapid.T) {
		ours := time.Unix(1_700_000_000, 0)
		theirs := ours.Add(time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "apart")))
		rate := 1 + rapid.Float64Range(-0.0009, 0.0009).Draw(t, "rate") // of their clock
		v := New(netip.MustParseAddrPort("10.0.0.1:1"), "a", ours)
		pass := func(d time.Duration) {
			ours, theirs = ours.Add(d), theirs.Add(time.Duration(float64(d)*rate))
		}
		for range 30 {
			at := theirs
			pass(time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "under way")))
			v.Hear(ours, frame.Hello{VM: vm, Inc: 1, Domain: "b"}, &frame.Heartbeat{At: at})
			pass(time.Duration(rapid.Int64Range(0, 5e9).Draw(t, "pause")))
			if rapid.IntRange(0, 4).Draw(t, "resume") == 0 {
				v.Resume(ours)
			}
			if estimate := v.Find(vm).Theirs(ours); estimate.After(theirs.Add(rounding)) {
				t.Fatalf("%s ahead", estimate.Sub(theirs))
			}
		}
	})
}

// Guards against a keepalive that counts as newer than it is after a pause of this VM: clocks drift during the pause,
// though Resume resets the silence.
func TestPauseDoesNotHideDriftOfClocks(t *testing.T) {
	is := is.New(t)
	vm, t0 := netip.MustParseAddrPort("127.0.0.2:1"), time.Unix(1_700_000_000, 0)
	const pause = time.Minute
	v := New(netip.MustParseAddrPort("127.0.0.1:1"), "a", t0)
	v.Hear(t0, frame.Hello{VM: vm, Inc: 1, Domain: "a"}, &frame.Heartbeat{At: t0})
	ours, theirs := t0.Add(pause), t0.Add(pause-maxDrift(pause)*9/10)
	v.Resume(ours)
	is.True(!v.Find(vm).Theirs(ours).After(theirs))
	v.Hear(ours, frame.Hello{VM: vm, Inc: 1, Domain: "a"}, &frame.Heartbeat{At: theirs})
	is.True(!v.Find(vm).Theirs(ours).After(theirs))
}
