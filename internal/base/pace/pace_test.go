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
		p.Note(now, 4*time.Millisecond)
	}
	is.Equal(p.Timeout(), 60*time.Millisecond)
	for range 10 {
		p.Miss(now)
	}
	is.True(p.Timeout() > 120*time.Millisecond)
	for range 50 {
		p.Note(now, time.Second)
	}
	is.Equal(p.Timeout(), 400*time.Millisecond)
	for range 80 {
		p.Note(now, 4*time.Millisecond)
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
		p.Note(now, 4*time.Millisecond)
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
			p.Note(now.Add(4*time.Millisecond), 4*time.Millisecond)
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
