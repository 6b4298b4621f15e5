package serve

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/job"
)

// Guards against a part that is lost because its owner could not be reached.
func TestPartMovesFromUnreachableOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSplitting(t, Options{Split: true})
		defer synctest.Wait()
		defer s.cancel()
		for n := byte(2); n < 6; n++ {
			s.hear(n, true, full)
		}
		s.mesh.down[ownerAt(2)] = true
		s.out = s.submit("j")
		is.Equal(len(s.mesh.parts), 2)
		tasks := 0
		for vm, m := range s.mesh.parts {
			is.True(vm != ownerAt(2))
			tasks += m.Job.Steps[0].Count
		}
		is.Equal(tasks, 8)
	})
}

// Guards against parts at VMs of the previous build, which would run the first tasks of the job for each part.
func TestPartsGoOnlyToOwnersThatReadThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSplitting(t, Options{Split: true})
		defer synctest.Wait()
		defer s.cancel()
		for n := byte(2); n < 9; n++ {
			s.hear(n, n >= 6, full)
		}
		s.out = s.submit("j")
		is.Equal(len(s.mesh.parts), 2)
		for range 2 {
			for vm, m := range s.mesh.parts {
				is.True(m.Job.Part())
				is.True(vm.Compare(ownerAt(6)) >= 0)
			}
			for vm := range s.mesh.parts {
				s.from(vm, *job.Refuse(job.Overload, 0, "it would wait"))
			}
		}
	})
}

// Guards against changes where the option is off: jobs go whole and heartbeats declare nothing.
func TestNothingIsSplitWithoutTheOption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSplitting(t, Options{})
		defer synctest.Wait()
		defer s.cancel()
		for n := byte(2); n < 6; n++ {
			s.hear(n, true, full)
		}
		s.submit("j")
		is.Equal(len(s.mesh.parts), 1)
		for _, m := range s.mesh.parts {
			is.True(!m.Job.Part())
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		is.True(!s.newBeat(time.Now()).Parts)
	})
}
