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

// pair is two VMs of which the first reads for both while it may.
type pair struct {
	topic *fakes.Topic[int]
	reads bool
	a, b  *feed.Relay[int]
	posts int
	lost  bool // posts don't arrive
}

// relay is a VM that reads for nobody, waits a second for posts, and asks nobody.
func relay(src feed.Source[int]) *feed.Relay[int] {
	return (&feed.Relay[int]{
		Source: src, Reads: func() bool { return false }, Same: func(was, is int) bool { return was == is },
		Patience: func() time.Duration { return time.Second }, Share: func(feed.Post[int]) {}, Alone: func(int64) {}, Reached: func(bool) {},
		Ask: func() bool { return true }, Waits: func(time.Duration) bool { return false },
	}).Init()
}

func newPair() *pair {
	p := &pair{topic: fakes.NewTopic[int](), reads: true}
	p.a, p.b = relay(p.topic), relay(p.topic)
	p.a.Reads = func() bool { return p.reads }
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
		p.topic.Put("k", 1) // says nothing new
		p.topic.Put("l", 2)
		_, err = p.a.Next(t.Context(), from, feed.Ask{})
		is.NoErr(err)
		began := time.Now()
		b, err := p.b.Next(t.Context(), at, feed.Ask{})
		is.NoErr(err)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(len(b.All), 1)
		is.Equal(b.All[0].Value, 2)
		is.Equal(b.Next, at+2)
	})
}

// Symptom: a change never reaches some VMs of a failure domain. Sequence: the one that
// reads for them is lost; or a post is. Cause: the others wait for it.
func TestVMReadsForItselfWhenPostsStayOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		_, at, err := p.b.Newest(t.Context())
		is.NoErr(err)
		p.topic.Put("k", 1)
		began := time.Now()
		b, err := p.b.Next(t.Context(), at, feed.Ask{})
		is.NoErr(err)
		is.Equal(time.Since(began), time.Second)
		is.Equal(len(b.All), 1)
		at = b.Next

		p.topic.Put("k", 2)
		p.b.Deliver(feed.Post[int]{From: at + 1, To: at + 2}) // the one before it was lost
		began = time.Now()
		b, err = p.b.Next(t.Context(), at, feed.Ask{})
		is.NoErr(err)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(b.All[0].Value, 2)
	})
}

// Symptom: VMs act on what the store no longer says. Sequence: the one that reads for them
// is cut off from the store and goes on beating. Cause: it posts that there is no news.
func TestVMWithoutStorePostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		_, from, err := p.a.Newest(t.Context())
		is.NoErr(err)
		p.topic.Down(true)
		_, err = p.a.Next(t.Context(), from, feed.Ask{})
		is.True(err != nil && !errors.Is(err, feed.ErrGone))
		is.Equal(p.posts, 0)
	})
}

// fresh returns a VM that knows nothing and asks another for its copy of the topic; the
// answer comes after a while.
func fresh(p *pair, answers time.Duration, waits func(time.Duration) bool) *feed.Relay[int] {
	r := relay(p.topic)
	r.Waits = waits
	r.Ask = func() bool {
		c, ok := p.a.Copy()
		if ok {
			time.AfterFunc(answers, func() { r.Deliver(c) })
		}
		return ok
	}
	return r
}

// Symptom: a VM that starts while the store is away refuses all callers. Sequence: the
// store is lost, the VM is restarted. Cause: it learns of the configuration and the
// endpoints from the store alone, though its neighbours know them.
func TestStartLearnsFromANeighbourWhileTheStoreIsAway(t *testing.T) {
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

// Symptom: a VM that has just started goes by a configuration that was replaced seconds
// ago. Sequence: it takes the copy of a neighbour that has not heard of the change yet, then
// waits for the next post. Cause: what was late at the neighbour becomes later here.
func TestCopyIsHeldAgainstTheStoreAtOnce(t *testing.T) {
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
		b, err := r.Next(t.Context(), at, feed.Ask{Wait: 900 * time.Millisecond})
		is.NoErr(err)
		is.Equal(b.All, []feed.Update[int]{{Key: "k", Value: 2}})
		is.Equal(time.Since(began), time.Duration(0))
		_, err = r.Next(t.Context(), b.Next, feed.Ask{Wait: 900 * time.Millisecond})
		is.NoErr(err)
		is.Equal(time.Since(began), time.Second) // then it waits for posts, as others do
	})
}

// Symptom: a VM that started while it alone can't reach the store learns of no change.
// Sequence: it took a neighbour's copy, and holds it against the store in vain; posts come.
// Cause: it does nothing else until the store answers.
func TestCopyIsFollowedByPostsWhileTheStoreIsAway(t *testing.T) {
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
		r.Deliver(feed.Post[int]{From: from, To: from + 1, All: []feed.Update[int]{{Key: "k", Value: 2}}})
		b, err := r.Next(t.Context(), at, feed.Ask{Wait: 900 * time.Millisecond})
		is.NoErr(err)
		is.Equal(b.All, []feed.Update[int]{{Key: "k", Value: 2}})
	})
}

// Symptom: a VM reads the same records of the store without end. Sequence: the store
// drops its history; a neighbour cut off from it answers with what it knew before. Cause:
// what follows that copy is gone, so it is asked for again.
func TestCopyFromBeforeALostHistoryIsOfNoUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		p.topic.Put("k", 1)
		_, _, err := p.a.Newest(t.Context()) // and it hears no more
		is.NoErr(err)
		r := fresh(p, 0, func(after time.Duration) bool { return after < time.Second })
		_, at, err := r.Newest(t.Context())
		is.NoErr(err)
		p.topic.Put("k", 2)
		p.topic.Put("k", 3)
		p.topic.Compact()
		_, err = r.Next(t.Context(), at, feed.Ask{})
		is.True(errors.Is(err, feed.ErrGone))
		all, _, err := r.Newest(t.Context())
		is.NoErr(err)
		is.Equal(all, []feed.Update[int]{{Key: "k", Value: 3}})
	})
}

// slow is a source whose answers take a while.
type slow struct {
	*fakes.Topic[int]
	takes time.Duration
	reads atomic.Int64
}

func (s *slow) Next(ctx context.Context, from int64, a feed.Ask) (feed.Batch[int], error) {
	if ctx.Err() == nil {
		s.reads.Add(1)
	}
	time.Sleep(s.takes)
	return s.Topic.Next(ctx, from, a)
}

// domain is VMs of which the first reads for all, unless it is silent; they follow until
// the time is over.
func domain(t *testing.T, src *slow, vms int, silent bool, span time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	all := make([]*feed.Relay[int], vms)
	var wg sync.WaitGroup
	for i := range all {
		r := relay(src)
		r.Reads = func() bool { return i == 0 }
		r.Patience = func() time.Duration { return time.Second + time.Duration(min(i, 10))*50*time.Millisecond }
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
				b, err := r.Next(ctx, at, feed.Ask{Wait: 900 * time.Millisecond})
				if err != nil {
					return // the time is over
				}
				at = b.Next
			}
		})
	}
	wg.Wait()
}

// Symptom: at 300 VMs a change takes 2.3 s to be in force at the last, and each VM reads the
// store itself once a second. Sequence: the store's answers take 150 ms. Cause: the VM that
// reads for its domain waits 0.9 s for news, and its post comes after the patience of the
// others has ended; their reads keep the store slow.
func TestSlowStoreIsNotReadByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &slow{Topic: fakes.NewTopic[int](), takes: 150 * time.Millisecond}
		domain(t, src, 75, false, 20*time.Second)
		t.Logf("%d reads in 20 s", src.reads.Load())
		is.New(t).True(src.reads.Load() <= 60) // of the one that reads
	})
}

// Symptom: when the VM that reads for its domain is lost, all 74 others read the store.
// Sequence: it falls silent; others notice by its state only later. Cause: each reads for
// itself though the first that does could read for all.
func TestFirstOfTheImpatientReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &slow{Topic: fakes.NewTopic[int](), takes: 20 * time.Millisecond}
		domain(t, src, 75, true, 20*time.Second)
		t.Logf("%d reads in 20 s", src.reads.Load())
		is.New(t).True(src.reads.Load() <= 40)
	})
}
