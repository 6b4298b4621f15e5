package feed_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/plat/feed"
)

var errTimeout = errors.New("timeout")

// narrow is a source behind a link of so many bytes a second, on which a call is given up after
// a while.
type narrow struct {
	*fakes.Topic[int]
	rate  int
	limit time.Duration
}

func (s narrow) Next(ctx context.Context, from int64, a feed.Ask) (feed.Batch[int], error) {
	b, err := s.Topic.Next(ctx, from, a)
	takes := time.Duration(len(b.All)*fakes.RecordBytes) * time.Second / time.Duration(s.rate)
	if takes > s.limit {
		time.Sleep(s.limit)
		return feed.Batch[int]{}, errTimeout
	}
	time.Sleep(takes)
	return b, err
}

// Symptom: VMs with links of 2 Mbit/s are heard by turns for half a minute after the store had
// turned them away for nine seconds; six of 18 own endpoints, and a sixth of all jobs is late.
// Sequence: 90 endpoints report each 1.5 s meanwhile; a read asks for all of it. Cause: the answer
// takes longer than the call may, so it is thrown away and asked for again, with what has come
// since.
func TestBacklogIsReadThroughANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		src := narrow{fakes.NewTopic[int](), 250_000, 600 * time.Millisecond}
		var seen atomic.Int64
		f := feed.Follower[int]{
			Name: "test", Source: src, Pace: feed.Pace{Pause: 400 * time.Millisecond, Most: feed.Portion}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Heard: func() {}, Apply: func(us []feed.Update[int], _ bool) { seen.Add(int64(len(us))) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { f.Run(ctx) })
		wg.Go(func() { report(ctx, src.Topic, 60) })
		time.Sleep(time.Second)
		src.Down(true)
		time.Sleep(9 * time.Second)
		src.Down(false)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		t.Logf("%d of 840 records seen", seen.Load())
		is.True(seen.Load() >= 750) // all but those of the last second
		cancel()
		wg.Wait()
	})
}

// report adds so many records a second.
func report(ctx context.Context, topic *fakes.Topic[int], rate int) {
	for i := 0; ctx.Err() == nil; i++ {
		topic.Put("k", i)
		time.Sleep(time.Second / time.Duration(rate))
	}
}

// Symptom: nothing that is added after one large record is ever heard. Sequence: another writer
// adds a record that is larger than a read asks for. Cause: the answer brings nothing, and the
// same is asked for again.
func TestRecordLargerThanAReadHoldsUpNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		src := &stuck{Topic: fakes.NewTopic[int]()}
		var seen atomic.Int64
		f := feed.Follower[int]{
			Name: "test", Source: src, Pace: feed.Pace{Pause: 100 * time.Millisecond, Most: 1}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Heard: func() {}, Apply: func(us []feed.Update[int], _ bool) { seen.Add(int64(len(us))) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		src.Put("k", 1)
		src.Put("k", 2)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(seen.Load(), int64(2))
		cancel()
		<-done
	})
}

// stuck is a source that gives nothing to who asks for little.
type stuck struct{ *fakes.Topic[int] }

func (s *stuck) Next(ctx context.Context, from int64, a feed.Ask) (feed.Batch[int], error) {
	b, err := s.Topic.Next(ctx, from, a)
	if a.Most > 0 {
		b.All, b.Next = nil, from
	}
	return b, err
}
