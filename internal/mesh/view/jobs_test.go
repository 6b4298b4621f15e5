package view

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/mesh/frame"
)

// Guards against forgetting a job's owner while its runs may go on: it fell silent or was restarted.
func TestFindJob(t *testing.T) {
	is := is.New(t)
	const job, maxAge = 42, time.Second
	v := New(vm(0), "a", began)
	advertise := func(at time.Time, n int, inc uint64, jobs ...uint64) {
		hear(v, at, n, inc, frame.Heartbeat{Jobs: jobs})
	}
	find := func(at time.Time) Advertiser {
		a, ok := v.FindJob(at, job, maxAge)
		is.Equal(ok, a.VM.IsValid())
		return a
	}
	at := func(n int) time.Time { return began.Add(time.Duration(n) * 100 * time.Millisecond) }

	advertise(at(1), 1, 1, 41)
	advertise(at(1), 2, 1, 41, job)
	is.Equal(find(at(2)), Advertiser{VM: vm(2), Heard: at(1)})
	is.Equal(find(at(11)).VM, vm(2))            // silent, but its runs may go on
	is.Equal(find(at(11).Add(1)), Advertiser{}) // silent for too long
	advertise(at(3), 1, 1, job)                 // another owner has it now
	is.Equal(find(at(4)).VM, vm(1))
	advertise(at(4), 1, 2)                                // restarted
	advertise(at(4), 2, 1)                                // over there
	is.Equal(find(at(5)), Advertiser{vm(1), at(3), true}) // runs of the former process may go on
	advertise(at(5), 1, 2)
	is.Equal(find(at(13)), Advertiser{vm(1), at(3), true})
	is.Equal(find(at(13).Add(1)), Advertiser{}) // they are over
}
