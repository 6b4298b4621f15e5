package local

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a daemon that can't listen after its restart since another process was given its port.
func TestBlocksOfPortsAreHeldByOneProcess(t *testing.T) {
	is := is.New(t)
	var one, other reserve // of two processes
	defer func() {
		for _, h := range append(one.held, other.held...) {
			is.NoErr(h.mark.Close())
		}
	}()
	given := map[uint16]bool{}
	for range 3 * block {
		for _, r := range []*reserve{&one, &other} {
			n, err := r.port()
			is.NoErr(err)
			is.True(!given[n])
			given[n] = true
		}
	}
}
