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

// narrow is a source behind a link of rate bytes a second, on which calls time out after limit.
type narrow struct {
	*fakes.Topic[int]
	rate  int
	limit time.Duration
}

func (s narrow) Next(ctx context.Context, from int64, a feed.ReadOptions) (feed.Batch[int], error) {
	b, err := s.Topic.Next(ctx, from, a)
	takes := time.Duration(len(b.Updates)*fakes.RecordBytes) * time.Second / time.Duration(s.rate)
	if takes > s.limit {
		time.Sleep(s.limit)
		return feed.Batch[int]{}, errTimeout
	}
	time.Sleep(takes)
	return b, err
}

// The store refused VMs with links of 2 Mbit/s for 9 s, while 90 endpoints reported every 1.5 s.
// Each read then requested the whole backlog, timed out, and was repeated with the records added
// since. For half a minute the VMs' heartbeats arrived irregularly; six of 18 VMs owned endpoints,
// and a sixth of all jobs was late.
func TestBacklogIsReadThroughANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		src := narrow{fakes.NewTopic[int](), 250_000, 600 * time.Millisecond}
		var seen atomic.Int64
		f := feed.Follower[int]{
			Name: "test", Source: src, Pace: feed.Pace{Pause: 400 * time.Millisecond, MaxBytes: feed.EndpointReadBytes}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			OnRead: func() {}, Apply: func(us []feed.Update[int], _ bool) { seen.Add(int64(len(us))) },
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

// report adds rate records a second.
func report(ctx context.Context, topic *fakes.Topic[int], rate int) {
	for i := 0; ctx.Err() == nil; i++ {
		topic.Put("k", i)
		time.Sleep(time.Second / time.Duration(rate))
	}
}

// Another writer added a record larger than the bound of a read. The response held no record and
// the same read was repeated, so no later record was ever read.
func TestRecordLargerThanAReadBlocksNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		src := &emptySource{Topic: fakes.NewTopic[int]()}
		var seen atomic.Int64
		f := feed.Follower[int]{
			Name: "test", Source: src, Pace: feed.Pace{Pause: 100 * time.Millisecond, MaxBytes: 1}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			OnRead: func() {}, Apply: func(us []feed.Update[int], _ bool) { seen.Add(int64(len(us))) },
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

// emptySource is a source that returns no records to bounded reads.
type emptySource struct{ *fakes.Topic[int] }

func (s *emptySource) Next(ctx context.Context, from int64, a feed.ReadOptions) (feed.Batch[int], error) {
	b, err := s.Topic.Next(ctx, from, a)
	if a.MaxBytes > 0 {
		b.Updates, b.Next = nil, from
	}
	return b, err
}
