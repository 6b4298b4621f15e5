package local

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a daemon that can't listen after a restart because another process got its port.
func TestPortBlockBelongsToOneProcess(t *testing.T) {
	is := is.New(t)
	var one, other portPool // of two processes
	defer func() {
		for _, h := range append(one.claimed, other.claimed...) {
			is.NoErr(h.lock.Close())
		}
	}()
	seen := map[uint16]bool{}
	for range 3 * blockSize {
		for _, r := range []*portPool{&one, &other} {
			n, err := r.port()
			is.NoErr(err)
			is.True(!seen[n])
			seen[n] = true
		}
	}
}
