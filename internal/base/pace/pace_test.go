package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a VM that stays overloaded for ever after a burst: its processor is busy, answers
// take longer than the time-out, and each order is stopped, checked and sent again, because the
// time-out doesn't follow the time that orders take.
func TestTimeoutFollowsASlowVM(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	p := New(60*time.Millisecond, 400*time.Millisecond)
	for range 50 {
		p.Observe(now, 4*time.Millisecond, 1)
	}
	is.Equal(p.Timeout(), 60*time.Millisecond)
	for range 10 {
		p.RecordTimeout(now)
	}
	is.True(p.Timeout() > 120*time.Millisecond)
	for range 50 {
		p.Observe(now, time.Second, 1)
	}
	is.Equal(p.Timeout(), 400*time.Millisecond)
	for range 80 {
		p.Observe(now, 4*time.Millisecond, 1)
	}
	is.Equal(p.Timeout(), 60*time.Millisecond)
}

// A few lost orders among many must not lengthen the time-out of the others.
func TestTimeoutStaysShortWithAFewLostOrders(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	p := New(60*time.Millisecond, 400*time.Millisecond)
	for i := range 400 {
		if i%18 == 17 {
			p.RecordTimeout(now)
			continue
		}
		p.Observe(now, 4*time.Millisecond, 1)
	}
	is.Equal(p.Timeout(), 60*time.Millisecond)
}

// Guards against a time-out of ten times an answer's time while one order in two is lost: orders
// go out eight at a time, half are answered at once, the others time out together, and the losses
// are taken for a time-out that is too short.
func TestTimeoutStaysShortWhileHalfOfTheOrdersAreLost(t *testing.T) {
	is := is.New(t)
	p := New(25*time.Millisecond, 400*time.Millisecond)
	r := rand.New(rand.NewPCG(1, 2))
	now, sum := time.Unix(1_700_000_000, 0), time.Duration(0)
	const n = 250
	for range n {
		lost := 0
		for range 8 {
			lost += r.IntN(2)
		}
		for range 8 - lost {
			p.Observe(now.Add(4*time.Millisecond), 4*time.Millisecond, 1)
		}
		for range lost {
			p.RecordTimeout(now)
		}
		now = now.Add(50 * time.Millisecond)
		sum += p.Timeout()
	}
	t.Log("mean time-out", sum/n)
	is.True(sum/n < 30*time.Millisecond)
}

// slowLink is a link on which each call takes perCall and waits for those before it.
type slowLink struct{ perCall, base time.Duration }

// runJob sends calls at once and counts those that time out though they would be answered.
func (l slowLink) runJob(p *Estimator, now time.Time, calls int) (lost int) {
	type sent struct {
		place int
		took  time.Duration
	}
	var all []sent
	for i := range calls {
		limit := p.Begin(1)
		place := p.Send()
		took := l.base + time.Duration(i+1)*l.perCall
		if took > limit {
			lost++
			p.RecordTimeout(now)
			continue
		}
		all = append(all, sent{place, took})
	}
	for _, s := range all {
		p.Observe(now.Add(s.took), s.took, s.place)
	}
	for range calls {
		p.End()
	}
	return lost
}

// Guards against false losses at low load: 127 orders counted as unanswered and 20 endpoints as
// silent in the first seconds. Jobs of two to sixteen tasks used a link on which an order takes
// 2.4 ms; all orders had the time-out of a lone one, which started at the minimum.
func TestCallsThatQueueAreNotTakenForLost(t *testing.T) {
	is := is.New(t)
	p := New(25*time.Millisecond, 400*time.Millisecond)
	r := rand.New(rand.NewPCG(3, 4))
	now, lost, all := time.Unix(1_700_000_000, 0), 0, 0
	for range 200 {
		n := 2 + r.IntN(15)
		all += n
		lost += slowLink{2400 * time.Microsecond, 3 * time.Millisecond}.runJob(p, now, n)
		now = now.Add(100 * time.Millisecond)
	}
	t.Logf("%d of %d calls given up", lost, all)
	is.True(lost <= all/100)
}

// On a fast link the number of calls doesn't lengthen the time-out, so a loss is noticed soon.
func TestTimeoutStaysShortOnAWideLink(t *testing.T) {
	is := is.New(t)
	p := New(25*time.Millisecond, 400*time.Millisecond)
	r := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1_700_000_000, 0)
	for range 200 {
		slowLink{20 * time.Microsecond, 3 * time.Millisecond}.runJob(p, now, 2+r.IntN(15))
		now = now.Add(100 * time.Millisecond)
	}
	limit := p.Begin(1)
	is.Equal(limit, 25*time.Millisecond)
}

// Guards against calls taken for lost that wait behind many others before the first answer.
func TestInitialTimeoutGrowsWithCalls(t *testing.T) {
	is := is.New(t)
	p := New(time.Millisecond, time.Second)
	is.Equal(p.Begin(initialCalls), initialTimeout)
	is.Equal(p.Begin(2*initialCalls), 3*initialTimeout)
}

// Guards against the calls of a large job being taken for lost after small jobs, whose calls reached
// the link in any order.
func TestCallsOfALargeJobAreNotTakenForLost(t *testing.T) {
	const each, base, small, large = 5 * time.Millisecond, 9 * time.Millisecond, 8, 40
	is := is.New(t)
	p := New(25*time.Millisecond, 400*time.Millisecond)
	now := time.Unix(1_700_000_000, 0)
	for range 200 {
		p.Begin(small)
		for range small {
			place := p.Send()
			p.Observe(now, base+time.Duration(place)*each, place)
		}
		for range small {
			p.End()
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.True(p.Begin(large) >= base+large*each)
}
