package learn

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against jobs that are refused, or started without a chance, although slots
// suffice: a tenant declares a tenth or ten times of the real run time, and samples
// don't replace the declaration.
func TestSamplesOverrideDeclaration(t *testing.T) {
	is := is.New(t)
	for _, told := range []time.Duration{20 * time.Millisecond, 2 * time.Second} {
		var b Estimator
		k := Key{"quokka", "proof"}
		r := rand.New(rand.NewPCG(1, 2))
		for range 400 {
			b.Record(k, time.Duration((0.15+0.1*r.Float64())*float64(time.Second)))
		}
		e := b.Expect(k, told)
		is.True(e.Mean > 180*time.Millisecond && e.Mean < 220*time.Millisecond)
		is.True(e.High > 215*time.Millisecond && e.High < 275*time.Millisecond)
	}
}

func TestInventedKindsShareOneEntry(t *testing.T) {
	is := is.New(t)
	var b Estimator
	for i := range maxKinds + 500 {
		b.Record(Key{"prairie", fmt.Sprint("kind", i)}, time.Second)
	}
	is.Equal(b.count.Load(), int64(maxKinds))
}
