package feed_test

import (
	"errors"
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

func newPair() *pair {
	p := &pair{topic: fakes.NewTopic[int](), reads: true}
	relay := func(reads func() bool) *feed.Relay[int] {
		r := &feed.Relay[int]{
			Source: p.topic, Reads: reads, Same: func(was, is int) bool { return was == is }, Patience: time.Second,
			Ask: func() {}, Waits: func(time.Duration) bool { return false },
			Share: func(x feed.Post[int]) {
				p.posts++
				if !p.lost {
					p.b.Deliver(x)
				}
			},
		}
		return r.Init()
	}
	p.a = relay(func() bool { return p.reads })
	p.b = relay(func() bool { return false })
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
		_, _, err = p.a.Next(t.Context(), from, 0)
		is.NoErr(err)
		began := time.Now()
		all, to, err := p.b.Next(t.Context(), at, 0)
		is.NoErr(err)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(len(all), 1)
		is.Equal(all[0].Value, 2)
		is.Equal(to, at+2)
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
		all, at, err := p.b.Next(t.Context(), at, 0)
		is.NoErr(err)
		is.Equal(time.Since(began), time.Second)
		is.Equal(len(all), 1)

		p.topic.Put("k", 2)
		p.b.Deliver(feed.Post[int]{From: at + 1, To: at + 2}) // the one before it was lost
		began = time.Now()
		all, _, err = p.b.Next(t.Context(), at, 0)
		is.NoErr(err)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(all[0].Value, 2)
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
		_, _, err = p.a.Next(t.Context(), from, 0)
		is.True(err != nil && !errors.Is(err, feed.ErrGone))
		is.Equal(p.posts, 0)
	})
}

// fresh returns a VM that knows nothing and asks another for its copy of the topic; the
// answer comes after a while.
func fresh(p *pair, answers time.Duration, waits func(time.Duration) bool) *feed.Relay[int] {
	r := &feed.Relay[int]{
		Source: p.topic, Reads: func() bool { return false }, Same: func(was, is int) bool { return was == is }, Patience: time.Second,
		Waits: waits, Share: func(feed.Post[int]) {},
	}
	r.Ask = func() {
		if c, ok := p.a.Copy(); ok {
			time.AfterFunc(answers, func() { r.Deliver(c) })
		}
	}
	return r.Init()
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
		p.topic.Down(false)
		p.topic.Put("k", 2)
		more, _, err := r.Next(t.Context(), at, 0)
		is.NoErr(err)
		is.Equal(more, []feed.Update[int]{{Key: "k", Value: 2}}) // it goes on from there
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
		_, _, err = r.Next(t.Context(), at, 0)
		is.True(errors.Is(err, feed.ErrGone))
		all, _, err := r.Newest(t.Context())
		is.NoErr(err)
		is.Equal(all, []feed.Update[int]{{Key: "k", Value: 3}})
	})
}
