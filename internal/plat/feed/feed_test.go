package feed_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/plat/feed"
)

// After an outage longer than the store's retention, a change was never seen or a removed key
// stayed: reading went on from a dropped offset, or keys removed meanwhile were not noticed.
func TestFollowerSurvivesOutageAndLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		topic := fakes.NewTopic[int]()
		topic.Put("a", 1)
		topic.Put("b", 2)
		state := map[string]int{}
		f := feed.Follower[int]{
			Name: "test", Source: topic, Pace: feed.Pace{Pause: 100 * time.Millisecond}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			OnRead: func() {},
			Apply: func(us []feed.Update[int], whole bool) {
				if whole {
					clear(state)
				}
				for _, u := range us {
					if u.Gone {
						delete(state, u.Key)
					} else {
						state[u.Key] = u.Value
					}
				}
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(state, map[string]int{"a": 1, "b": 2})
		topic.Down(true)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		is.Equal(len(state), 2) // the last state read stays valid
		topic.Remove("a")
		topic.Put("b", 3)
		topic.Compact()
		topic.Down(false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(state, map[string]int{"b": 3})
		cancel()
		<-done
	})
}
