package learn

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against new jobs that are refused after a loss of all VMs while jobs run that can't
// be answered in time any more: the first callers have already waited for more than a second,
// others are new, and the VM treats all as new.
func TestResubmittedJobsAreDetected(t *testing.T) {
	is := is.New(t)
	w := &PriorWaits{}
	const whole = 1600 * time.Millisecond
	is.Equal(w.Observe("q", whole, 2*time.Second), time.Duration(0))
	is.Equal(w.Observe("q", whole, 500*time.Millisecond), 1100*time.Millisecond)
	for range 50 {
		w.Observe("q", whole, 500*time.Millisecond)
		w.Observe("q", whole, 2*time.Second)
	}
	is.True(w.Observe("q", whole, 500*time.Millisecond) >= 700*time.Millisecond)
}

// Guards against jobs of one service that always wait behind all others: its callers wait for
// half as long as its operators declare, and each counts as a resubmission.
func TestShortTimeoutsAreNotResubmissions(t *testing.T) {
	is := is.New(t)
	w := &PriorWaits{}
	const whole, left = 1600 * time.Millisecond, 800 * time.Millisecond
	for range 150 {
		w.Observe("q", whole, left)
	}
	is.True(w.Observe("q", whole, left) < 2*waitStep)
	is.Equal(w.Observe("other", whole, left), whole-left)
}
