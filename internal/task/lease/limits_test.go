package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against runs that go on when their job may be submitted again: the bounds hold for any settings.
func TestRunsEndBeforeResubmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		ms := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
		}
		resend := ms("resend", 400, 60_000)
		stop := time.Duration(rapid.IntRange(1, int(resend/StopsPerResend)).Draw(t, "stop"))
		l := Limits{Hold: ms("hold", 100, 60_000), Stop: stop, Resend: resend, Notice: 100 * time.Millisecond}
		slowest := time.Duration(float64(l.Lease())/(1-clockDrift)) + expiryGrace // longest duration of a lease
		is.True(l.Lease() > 0)
		is.True(l.Fresh()+slowest <= l.Outlive())
		is.True(l.Expiry()+l.Stop < l.Outlive()) // leaves time for a stop
		is.True(l.Fresh() < l.Expiry())
		is.True(l.Outlive()+l.Notice <= l.Resend)
		is.True(2*l.Interval() <= l.Fresh()) // one keepalive in two may be lost
	})
}

type until time.Time

func (u *until) EndBy() time.Time { return time.Time(*u) }

// Guards against a renewal for one run that extends the lease beyond the EndBy of another.
func TestLeaseEndsBeforeRunDeadlines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Hold: time.Second, Resend: 1300 * time.Millisecond}
		e, now := New(Info{ID: "e"}, 7, l), t0
		e.ApplyReport(now, now, Report{Clock: 1000})
		var bys []*until
		for n := range 30 {
			now = now.Add(time.Duration(rapid.IntRange(-700, 1000).Draw(t, "step")) * time.Millisecond) // a goroutine may pause after reading the clock
			age := time.Duration(rapid.IntRange(0, int(l.Outlive()/time.Millisecond)).Draw(t, "age")) * time.Millisecond
			by := until(now.Add(l.Outlive() - age))
			switch i := rapid.IntRange(0, 2).Draw(t, "what"); {
			case i == 0 && e.Leasable(now, &by):
				bys = append(bys, &by)
				e.Start(now, task(n), 1, need).Job = &by
			case i == 1 && len(bys) > 0 && time.Time(by).After(time.Time(*bys[len(bys)-1])):
				*bys[len(bys)-1] = by
			}
			e.RenewUntil(now)
			for _, b := range bys {
				if e.LeaseEnd().After(time.Time(*b)) {
					t.Fatalf("the lease ends %s too late", e.LeaseEnd().Sub(time.Time(*b)))
				}
			}
		}
	})
}
