package feed_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/plat/feed"
)

// pair is two VMs, of which the first is the reader while reads is set.
type pair struct {
	topic *fakes.Topic[int]
	reads bool
	a, b  *feed.Relay[int]
	posts int
	lost  bool // posts don't arrive
}

// relay returns the relay of a VM that is no reader, waits a second for posts, and gets no copy.
func relay(src feed.Source[int]) *feed.Relay[int] {
	return (&feed.Relay[int]{
		Source: src, IsReader: func() bool { return false }, Equal: func(was, is int) bool { return was == is },
		PostTimeout: func() time.Duration { return time.Second }, Share: func(feed.Post[int]) {}, OnFallback: func(int64) {}, OnCall: func(bool) {},
		RequestCopy: func() bool { return true }, KeepWaiting: func(time.Duration) bool { return false },
	}).Init()
}

func newPair() *pair {
	p := &pair{topic: fakes.NewTopic[int](), reads: true}
	p.a, p.b = relay(p.topic), relay(p.topic)
	p.a.IsReader = func() bool { return p.reads }
	p.a.Share = func(x feed.Post[int]) {
		p.posts++
		if !p.lost {
			p.b.Deliver(x)
		}
	}
	return p
}

func TestOneVMReadsForItsNeighbours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		p.topic.Put("k", 1)
		_, from, err := p.a.Newest(t.Context())
		is.NoErr(err)
		_, at, err := p.b.Newest(t.Context())
		is.NoErr(err)
		p.topic.Put("k", 1) // unchanged
		p.topic.Put("l", 2)
		_, err = p.a.Next(t.Context(), from, feed.ReadOptions{})
		is.NoErr(err)
		began := time.Now()
		b, err := p.b.Next(t.Context(), at, feed.ReadOptions{})
		is.NoErr(err)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(len(b.Updates), 1)
		is.Equal(b.Updates[0].Value, 2)
		is.Equal(b.Next, at+2)
	})
}

// The reader of a failure domain was lost, or a post was, and the other VMs waited for it without
// end, so a change never reached them.
func TestVMReadsStoreWithoutPosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		_, at, err := p.b.Newest(t.Context())
		is.NoErr(err)
		p.topic.Put("k", 1)
		began := time.Now()
		b, err := p.b.Next(t.Context(), at, feed.ReadOptions{})
		is.NoErr(err)
		is.Equal(time.Since(began), time.Second)
		is.Equal(len(b.Updates), 1)
		at = b.Next

		p.topic.Put("k", 2)
		p.b.Deliver(feed.Post[int]{From: at + 1, To: at + 2}) // the one before it was lost
		began = time.Now()
		b, err = p.b.Next(t.Context(), at, feed.ReadOptions{})
		is.NoErr(err)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(b.Updates[0].Value, 2)
	})
}

// A reader that was cut off from the store, but still sent heartbeats, posted that nothing had
// changed. The other VMs acted on outdated records.
func TestVMWithoutStorePostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		_, from, err := p.a.Newest(t.Context())
		is.NoErr(err)
		p.topic.Down(true)
		_, err = p.a.Next(t.Context(), from, feed.ReadOptions{})
		is.True(err != nil && !errors.Is(err, feed.ErrGone))
		is.Equal(p.posts, 0)
	})
}

// fresh returns the relay of a VM without state that requests another VM's copy of the topic;
// the copy arrives after a delay.
func fresh(p *pair, answers time.Duration, waits func(time.Duration) bool) *feed.Relay[int] {
	r := relay(p.topic)
	r.KeepWaiting = waits
	r.RequestCopy = func() bool {
		c, ok := p.a.Copy()
		if ok {
			time.AfterFunc(answers, func() { r.Deliver(c) })
		}
		return ok
	}
	return r
}

// A VM that was restarted while the store was unavailable refused all callers: it got the
// configuration and the endpoints from the store only, though its neighbours had them.
func TestStartGetsCopyDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		p.topic.Put("k", 1)
		_, from, err := p.a.Newest(t.Context())
		is.NoErr(err)
		p.topic.Down(true)
		r := fresh(p, 2*time.Millisecond, func(time.Duration) bool { return false })
		_, _, err = r.Newest(t.Context())
		is.True(err != nil) // the answer is not there yet
		time.Sleep(100 * time.Millisecond)
		all, at, err := r.Newest(t.Context())
		is.NoErr(err)
		is.Equal(all, []feed.Update[int]{{Key: "k", Value: 1}})
		is.Equal(at, from)
	})
}

// A VM that had just started used a configuration that was replaced seconds before: it took the
// copy of a neighbour that had not read the change yet, then waited for the next post. So the
// neighbour's delay added to its own.
func TestCopyIsCheckedAgainstStoreAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		p.topic.Put("k", 1)
		_, _, err := p.a.Newest(t.Context())
		is.NoErr(err)
		p.topic.Put("k", 2)
		r := fresh(p, 2*time.Millisecond, func(time.Duration) bool { return true })
		all, at, err := r.Newest(t.Context())
		is.NoErr(err)
		is.Equal(all, []feed.Update[int]{{Key: "k", Value: 1}})
		began := time.Now()
		b, err := r.Next(t.Context(), at, feed.ReadOptions{Wait: 900 * time.Millisecond})
		is.NoErr(err)
		is.Equal(b.Updates, []feed.Update[int]{{Key: "k", Value: 2}})
		is.Equal(time.Since(began), time.Duration(0))
		_, err = r.Next(t.Context(), b.Next, feed.ReadOptions{Wait: 900 * time.Millisecond})
		is.NoErr(err)
		is.Equal(time.Since(began), time.Second) // then it waits for posts, as the others do
	})
}

// A VM that started while it alone could not reach the store learned of no change: it took a
// neighbour's copy, tried to check it against the store, and ignored posts until the store answered.
func TestCopyIsFollowedByPostsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		p.topic.Put("k", 1)
		_, from, err := p.a.Newest(t.Context())
		is.NoErr(err)
		r := fresh(p, 0, func(time.Duration) bool { return true })
		_, at, err := r.Newest(t.Context())
		is.NoErr(err)
		p.topic.Down(true)
		r.Deliver(feed.Post[int]{From: from, To: from + 1, Updates: []feed.Update[int]{{Key: "k", Value: 2}}})
		b, err := r.Next(t.Context(), at, feed.ReadOptions{Wait: 900 * time.Millisecond})
		is.NoErr(err)
		is.Equal(b.Updates, []feed.Update[int]{{Key: "k", Value: 2}})
	})
}

// A VM read the same records of the store without end. The store had dropped its history, and a
// neighbour cut off from it sent an older copy; the records after that copy were gone, so the VM
// requested a copy again.
func TestOutdatedCopyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		p.topic.Put("k", 1)
		_, _, err := p.a.Newest(t.Context()) // and it reads no more
		is.NoErr(err)
		r := fresh(p, 0, func(after time.Duration) bool { return after < time.Second })
		_, at, err := r.Newest(t.Context())
		is.NoErr(err)
		p.topic.Put("k", 2)
		p.topic.Put("k", 3)
		p.topic.Compact()
		_, err = r.Next(t.Context(), at, feed.ReadOptions{})
		is.True(errors.Is(err, feed.ErrGone))
		all, _, err := r.Newest(t.Context())
		is.NoErr(err)
		is.Equal(all, []feed.Update[int]{{Key: "k", Value: 3}})
	})
}

// slow is a source with slow responses.
type slow struct {
	*fakes.Topic[int]
	takes time.Duration
	reads atomic.Int64
}

func (s *slow) Next(ctx context.Context, from int64, a feed.ReadOptions) (feed.Batch[int], error) {
	if ctx.Err() == nil {
		s.reads.Add(1)
	}
	time.Sleep(s.takes)
	return s.Topic.Next(ctx, from, a)
}

// domain runs VMs of which the first is the reader, unless it is silent; they follow the
// source for the given span.
func domain(t *testing.T, src *slow, vms int, silent bool, span time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	all := make([]*feed.Relay[int], vms)
	var wg sync.WaitGroup
	for i := range all {
		r := relay(src)
		r.IsReader = func() bool { return i == 0 }
		r.PostTimeout = func() time.Duration { return time.Second + time.Duration(min(i, 10))*50*time.Millisecond }
		r.Share = func(p feed.Post[int]) {
			for k, o := range all {
				if k != i {
					o.Deliver(p)
				}
			}
		}
		all[i] = r
	}
	for i, r := range all {
		if i == 0 && silent {
			continue
		}
		wg.Go(func() {
			for at := int64(0); ctx.Err() == nil; {
				b, err := r.Next(ctx, at, feed.ReadOptions{Wait: 900 * time.Millisecond})
				if err != nil {
					return // the time is over
				}
				at = b.Next
			}
		})
	}
	wg.Wait()
}

// With 300 VMs and responses of the store that took 150 ms, a change took 2.3 s to reach the last
// VM, and each VM read the store itself once a second. The reader of a domain waited 0.9 s for
// records, so its post arrived after the others' PostTimeout; their reads kept the store slow.
func TestSlowStoreIsNotReadByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &slow{Topic: fakes.NewTopic[int](), takes: 150 * time.Millisecond}
		domain(t, src, 75, false, 20*time.Second)
		t.Logf("%d reads in 20 s", src.reads.Load())
		is.New(t).True(src.reads.Load() <= 60) // by the reader alone
	})
}

// When the reader of a domain fell silent, all 74 others read the store until they noticed its
// state. Each read for itself, though the first one could have read for all.
func TestFirstToTimeOutReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &slow{Topic: fakes.NewTopic[int](), takes: 20 * time.Millisecond}
		domain(t, src, 75, true, 20*time.Second)
		t.Logf("%d reads in 20 s", src.reads.Load())
		is.New(t).True(src.reads.Load() <= 40)
	})
}
