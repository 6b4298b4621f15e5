package demand

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	t0 = time.Unix(1_700_000_000, 0)
	a  = netip.MustParseAddrPort("10.0.0.1:1")
	b  = netip.MustParseAddrPort("10.0.0.2:1")
	c  = netip.MustParseAddrPort("10.0.1.3:1")
)

// heard is a report of a VM that owns endpoints.
func heard(at time.Time, domain string, cores, rate0, rate1, rate2 float64) Report {
	return Report{At: at, Domain: domain, Counts: true, Rates: [Ranks]float64{rate0, rate1, rate2}, Room: Room{Cores: cores}}
}

// Guards against a pressure that reads three to nine times what comes, because each owner that was tried for a job
// counted it. Here each job counts at the VM that its caller reached, and the others learn of it by a heartbeat. The
// sum of what all VMs see must be what has arrived, within the part that the window has forgotten.
func TestEachJobCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []netip.AddrPort{a, b, c}
		views := make([]*View, len(vms))
		for i, vm := range vms {
			views[i] = New(vm, "x")
		}
		works := rapid.SliceOfN(rapid.Float64Range(0.1, 20), 1, 40).Draw(t, "works")
		var sent [Ranks]float64
		for _, w := range works {
			rank := rapid.IntRange(0, 9).Draw(t, "rank")
			views[rapid.IntRange(0, 2).Draw(t, "at")].Arrive(t0, rank, 1, 1, w)
			sent[class(rank)] += w / Window.Seconds()
		}
		for i, v := range views { // a heartbeat of each to each, twice: a repetition must not count again
			for k, o := range views {
				r := Report{At: t0, Domain: "x", Counts: true, Rates: o.Own(t0), Room: Room{Cores: 100}}
				v.Update(vms[k], r)
				v.Update(vms[k], r)
			}
			want := 0.0
			for rank := range Ranks {
				want += sent[rank] / 300
				if got := v.Pressure(t0, rank+1); math.Abs(got-want) > 1e-9*max(1, want) {
					t.Fatalf("VM %d, rank %d: %g, arrived %g", i, rank, got, want)
				}
			}
		}
	})
}

// Guards against a pressure that includes VMs which are gone: their callers go to other VMs, and so would count twice.
func TestSilentVMsAreForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := New(a, "x")
		v.Update(a, heard(t0, "x", 100, 0, 0, 0))
		now := t0
		last := map[netip.AddrPort]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			vm := rapid.SampledFrom([]netip.AddrPort{b, c}).Draw(t, "vm")
			if rapid.Bool().Draw(t, "heard") {
				v.Update(vm, heard(now, "x", 100, 100, 0, 0))
				last[vm] = now
			}
			rate, cores := 0.0, 100.0
			for _, at := range last {
				if now.Sub(at) <= forgetAfter {
					rate, cores = rate+100, cores+100
				}
			}
			v.sumAt = time.Time{} // sums are kept for 10 ms
			if got := v.Pressure(now, Ranks); math.Abs(got-rate/cores) > 1e-9 {
				t.Fatalf("pressure %g, want %g", got, rate/cores)
			}
		}
	})
}

// Guards against a domain that is cut off and goes on to refuse by endpoints that it can't reach: the other domain's VMs
// are forgotten within a second, and then only what it reaches counts.
func TestCutDomainCountsWhatItReaches(t *testing.T) {
	is := is.New(t)
	v := New(a, "x")
	for ms := 0; ms <= 3000; ms += 100 {
		now := t0.Add(time.Duration(ms) * time.Millisecond)
		v.Update(a, heard(now, "x", 100, 0, 0, 0))
		v.Update(b, heard(now, "x", 100, 150, 0, 0))
		if ms <= 1000 { // domain y is cut off after that
			v.Update(c, heard(now, "y", 200, 50, 0, 0))
		}
		switch {
		case ms <= 1000:
			is.Equal(v.Pressure(now, 1), 0.5)
		case ms > 2100:
			is.Equal(v.Pressure(now, 1), 0.75)
		}
		is.Equal(v.Near(now, 1), 0.75)
	}
}

// Guards against a view that reads half of the load while half of the VMs are of the previous build and report nothing.
func TestVMsWithoutReportsCountWithTheMean(t *testing.T) {
	is := is.New(t)
	v := New(a, "x")
	v.Arrive(t0, 0, 1, 1, 100*Window.Seconds())
	v.Update(a, heard(t0, "x", 100, 0, 0, 0))
	v.Update(b, Report{At: t0, Domain: "x"})
	v.SetTotal(b, 300)
	is.Equal(v.Pressure(t0, 1), 0.5) // 100 here, as much there, by 400 cores
	is.Equal(len(v.Skip(t0, Ask{Rank: 0, Tasks: 1, Refused: true, Wait: time.Second})), 0)
}

// Guards against late heartbeats that undo newer ones, and against rates that are lost because refusals, which come in
// between, tell newer room.
func TestLateReportsDoNotReplaceNewerOnes(t *testing.T) {
	is := is.New(t)
	v := New(a, "x")
	v.Update(b, heard(t0, "x", 100, 10, 0, 0))
	v.UpdateRoom(b, t0.Add(50*time.Millisecond), Room{Cores: 100, Wait: [Ranks]time.Duration{time.Second, 0, 0}})
	v.Update(b, heard(t0.Add(40*time.Millisecond), "x", 100, 20, 0, 0)) // sent before the answer, read after it
	is.Equal(v.Pressure(t0, 1), 0.2)
	w, ok := v.Wait(t0.Add(60*time.Millisecond), b, 0)
	is.True(ok)
	is.Equal(w, time.Second)
	v.Update(b, heard(t0.Add(20*time.Millisecond), "x", 100, 99, 0, 0))
	is.Equal(v.Pressure(t0, 1), 0.2)
}

// Guards against refusals by what all VMs knew before they were restarted together: a new process knows nothing and
// passes over no owner until it is told.
func TestRestartedVMsRefuseNothing(t *testing.T) {
	is := is.New(t)
	v := New(a, "x")
	busy := heard(t0, "x", 100, 500, 0, 0)
	busy.Room.Wait = [Ranks]time.Duration{time.Second, time.Second, time.Second}
	v.Update(b, busy)
	ask := Ask{Rank: 0, Tasks: 8, Budget: 70 * time.Millisecond}
	is.Equal(len(v.Skip(t0, ask)), 1)
	v.Forget(b)
	is.Equal(len(v.Skip(t0, ask)), 0)
	is.Equal(v.Pressure(t0, Ranks), 0.0)
}
