package grid

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against deployments of another size that refuse jobs on a calm day or answer them late,
// because a limit that was measured on one deployment is assumed for all.
func TestOtherSizesAreServed(t *testing.T) {
	for _, c := range []struct {
		name    string
		domains int
		vms     int
		eps     int
		load    float64
		kinds   []Kind
	}{
		{"one VM", 1, 1, 6, 10, UserKinds()},
		{"two VMs in two domains", 2, 2, 12, 20, UserKinds()},
		{"three VMs, one endpoint", 1, 3, 1, 4, []Kind{{Name: "one", Share: 1, Width: 1, Work: 100 * time.Millisecond, Worth: 1}}},
		{"sixteen VMs", 4, 16, 96, 240, UserKinds()},
		{"five hundred endpoints", 4, 16, 500, 200, UserKinds()},
		{"short tasks of one core", 4, 8, 12, 200, []Kind{{Name: "short", Share: 1, Width: 8, Work: 5 * time.Millisecond, Worth: 1, Cores: 1}}},
		{"wide jobs of two cores", 4, 8, 24, 60, []Kind{{Name: "wide", Share: 1, Width: 20, Work: 200 * time.Millisecond, Worth: 1, Cores: 2}}},
		{"long tasks of most of an endpoint", 4, 8, 48, 4, []Kind{{Name: "long", Share: 1, Width: 1, Work: 4 * time.Second, Worth: 1, Cores: 40}}},
		{"memory binds", 4, 8, 48, 60, []Kind{{Name: "memory", Share: 1, Width: 2, Work: 200 * time.Millisecond, Worth: 1, Cores: 4, Memory: 60}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			set := UserSetup(c.load)
			set.Domains, set.VMs, set.Endpoints, set.Kinds = c.domains, c.vms, c.eps, c.kinds
			set.Span = 4 * time.Second
			g := simulate(t, set)
			n := g.Counts(allKinds, set.Warmup, set.Warmup+set.Span)
			t.Logf("%.3f in time of %+v", n.Share(), n)
			is.True(n.Asked > 0)
			is.True(n.Share() >= 0.95)
		})
	}
}
