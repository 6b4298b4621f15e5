package grid

import (
	"testing"
	"time"
)

// Guards against a second start of a job that is submitted again at the same VM before the VM has
// noticed that the first caller left.
func TestJobResubmittedAtSameVMRunsOnce(t *testing.T) {
	simulate(t, withFault(leaveAndResubmit(0, 0, 2*time.Second, 2*time.Second)))
}
