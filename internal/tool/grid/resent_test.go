package grid

import (
	"testing"
	"time"
)

// Guards against a second start of a job that comes again at the same VM before that has noticed that its caller left.
func TestJobThatComesAgainAtTheSameVMRunsOnce(t *testing.T) {
	play(t, faulty(leave(0, 0, 2*time.Second, 2*time.Second)))
}
