package timer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestAfterRunsOnTimeAndStopWithdraws(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := New(Wall{})
		go s.Run(ctx)
		began := time.Now()
		var took atomic.Int64
		s.After(70*time.Millisecond, func() { took.Store(int64(time.Since(began))) })
		stopped := s.After(50*time.Millisecond, func() { t.Error("a stopped timer ran") })
		is.True(stopped.Stop())
		is.True(!stopped.Stop())
		time.Sleep(time.Second)
		is.Equal(time.Duration(took.Load()), 70*time.Millisecond)
	})
}

// pausableClock is the clock of a VM that can be paused: Now does not return meanwhile.
type pausableClock struct{ until atomic.Int64 }

func (c *pausableClock) Now() time.Time {
	if d := time.Until(time.Unix(0, c.until.Load())); d > 0 {
		time.Sleep(d)
	}
	return time.Now()
}

// Guards against a VM that sends work past its deadline after a live migration: a timer
// is set, the VM is paused past it, resumes and runs what is due, without notice that
// time has jumped.
func TestPauseIsAnnouncedBeforeLateCallbacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := &pausableClock{}
		s := New(clock)
		var order []string
		s.OnJump(func(gap time.Duration) {
			is.True(gap > 19*time.Second)
			order = append(order, "jump")
		})
		s.After(2*time.Second, func() { order = append(order, "late") })
		go s.Run(ctx)
		time.Sleep(time.Second)
		clock.until.Store(time.Now().Add(20 * time.Second).UnixNano())
		time.Sleep(30 * time.Second)
		synctest.Wait()
		is.Equal(order, []string{"jump", "late"})
	})
}
