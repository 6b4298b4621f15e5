package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: after a burst a VM stays overloaded for ever. Sequence: its processor is busy,
// answers take longer than the time-out, each order is stopped, looked at and given again.
// Cause: the time-out doesn't follow the time that orders take.
func TestTimeoutFollowsASlowVM(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	p := New(60*time.Millisecond, 400*time.Millisecond)
	for range 50 {
		p.Note(now, 4*time.Millisecond, 1)
	}
	is.Equal(p.Timeout(), 60*time.Millisecond)
	for range 10 {
		p.Miss(now)
	}
	is.True(p.Timeout() > 120*time.Millisecond)
	for range 50 {
		p.Note(now, time.Second, 1)
	}
	is.Equal(p.Timeout(), 400*time.Millisecond)
	for range 80 {
		p.Note(now, 4*time.Millisecond, 1)
	}
	is.Equal(p.Timeout(), 60*time.Millisecond)
}

// A few lost orders among many must not make the others wait long.
func TestTimeoutStaysShortWithAFewLostOrders(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	p := New(60*time.Millisecond, 400*time.Millisecond)
	for i := range 400 {
		if i%18 == 17 {
			p.Miss(now)
			continue
		}
		p.Note(now, 4*time.Millisecond, 1)
	}
	is.Equal(p.Timeout(), 60*time.Millisecond)
}

// Symptom: while one order in two is lost, each is waited for ten times as long as an
// answer takes. Sequence: orders go out eight at a time; half are answered at once, the
// others time out together. Cause: lost orders are taken for a time-out that is too short.
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
			p.Note(now.Add(4*time.Millisecond), 4*time.Millisecond, 1)
		}
		for range lost {
			p.Miss(now)
		}
		now = now.Add(50 * time.Millisecond)
		sum += p.Timeout()
	}
	t.Log("mean time-out", sum/n)
	is.True(sum/n < 30*time.Millisecond)
}

// queue is a link on which each call takes a while and waits for those before it.
type queue struct{ each, base time.Duration }

// job sends calls at once and counts those that are given up though they would be answered.
func (q queue) job(p *Pace, now time.Time, calls int) (lost int) {
	type sent struct {
		way  int
		took time.Duration
	}
	var all []sent
	for i := range calls {
		limit := p.Begin(1)
		way := p.Send()
		took := q.base + time.Duration(i+1)*q.each
		if took > limit {
			lost++
			p.Miss(now)
			continue
		}
		all = append(all, sent{way, took})
	}
	for _, s := range all {
		p.Note(now.Add(s.took), s.took, s.way)
	}
	for range calls {
		p.End()
	}
	return lost
}

// Symptom: in the first seconds of a calm day 127 orders count as unanswered, 20 endpoints as
// silent. Sequence: jobs of two to sixteen tasks go over a link on which an order takes 2.4 ms.
// Cause: the time-out of a lone order is that of all, and starts at the least.
func TestCallsThatQueueAreNotTakenForLost(t *testing.T) {
	is := is.New(t)
	p := New(25*time.Millisecond, 400*time.Millisecond)
	r := rand.New(rand.NewPCG(3, 4))
	now, lost, all := time.Unix(1_700_000_000, 0), 0, 0
	for range 200 {
		n := 2 + r.IntN(15)
		all += n
		lost += queue{2400 * time.Microsecond, 3 * time.Millisecond}.job(p, now, n)
		now = now.Add(100 * time.Millisecond)
	}
	t.Logf("%d of %d calls given up", lost, all)
	is.True(lost <= all/100)
}

// On a link with time to spare the number of calls says nothing, and a lost one is noticed soon.
func TestTimeoutStaysShortOnAWideLink(t *testing.T) {
	is := is.New(t)
	p := New(25*time.Millisecond, 400*time.Millisecond)
	r := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1_700_000_000, 0)
	for range 200 {
		queue{20 * time.Microsecond, 3 * time.Millisecond}.job(p, now, 2+r.IntN(15))
		now = now.Add(100 * time.Millisecond)
	}
	limit := p.Begin(1)
	is.Equal(limit, 25*time.Millisecond)
}

// Guards against calls that are taken for lost behind many others before any was answered.
func TestFirstCallsAreGivenTimeByTheirNumber(t *testing.T) {
	is := is.New(t)
	p := New(time.Millisecond, time.Second)
	is.Equal(p.Begin(firstWay), first)
	is.Equal(p.Begin(2*firstWay), 3*first)
}

// Guards against the calls of a large job that are taken for lost after small ones, whose calls got to the link in any
// order.
func TestCallsOfALargeJobAreNotTakenForLost(t *testing.T) {
	const each, base, small, large = 5 * time.Millisecond, 9 * time.Millisecond, 8, 40
	is := is.New(t)
	p := New(25*time.Millisecond, 400*time.Millisecond)
	now := time.Unix(1_700_000_000, 0)
	for range 200 {
		p.Begin(small)
		for range small {
			place := p.Send()
			p.Note(now, base+time.Duration(place)*each, place)
		}
		for range small {
			p.End()
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.True(p.Begin(large) >= base+large*each)
}
