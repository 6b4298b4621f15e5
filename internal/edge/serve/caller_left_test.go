package serve

import (
	"testing"

	"github.com/matryer/is"

	"dahliawinch/internal/task/job"
)

// Guards against handing a refused job to another owner after its caller has left.
func TestJobOfGoneCallerIsNotReassigned(t *testing.T) {
	withResubmission(t, func(is *is.I, r *resubmission) {
		r.mu.Lock()
		for _, c := range r.calls {
			c.open = func() bool { return false }
		}
		r.mu.Unlock()
		r.answer(0, *job.Refuse(job.Overload, 0, "it would wait"))
		is.Equal(len(r.mesh.to), 1)
		is.Equal((<-r.out).Reason, job.Canceled)
	})
}
