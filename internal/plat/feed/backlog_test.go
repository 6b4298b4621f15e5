package feed

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unreadSource is a source that must not be read.
type unreadSource struct{ t *testing.T }

func (u unreadSource) Newest(context.Context) ([]Update[int], int64, error) {
	u.t.Error("the store was read")
	return nil, 0, nil
}

func (u unreadSource) Next(context.Context, int64, ReadOptions) (Batch[int], error) {
	u.t.Error("the store was read")
	return Batch[int]{}, nil
}

func newListener(t *testing.T) *Relay[int] {
	return (&Relay[int]{
		Source: unreadSource{t}, Equal: func(a, b int) bool { return a == b },
		IsReader: func() bool { return false }, PostTimeout: func() time.Duration { return time.Second }, OnFallback: func(int64) {}, OnCall: func(bool) {},
	}).Init()
}

// A task was started on an endpoint that had announced 2.1 s before that it leaves; the announcement
// reached its owner after 3.4 s. While VMs of a domain are restarted in turn, two of them read for the
// others for some seconds and both post, but only one queued post was applied per pause between reads.
func TestWaitingPostsAreMerged(t *testing.T) {
	is := is.New(t)
	r := newListener(t)
	for at := int64(1); at <= 5; at++ {
		p := Post[int]{From: at - 1, To: at, Updates: []Update[int]{{Key: "k", Value: int(at)}}}
		r.Deliver(p) // from one reader
		r.Deliver(p) // and from another
	}
	b, err := r.Next(t.Context(), 0, ReadOptions{})
	is.NoErr(err)
	is.Equal(b.Next, int64(5))
	is.Equal(len(b.Updates), 1)
	is.Equal(b.Updates[0].Value, 5)
	is.Equal(len(r.posts), 0)
}

// A gap among the queued posts is detected like a gap before the first one.
func TestGapInWaitingPostsIsDetected(t *testing.T) {
	is := is.New(t)
	r := newListener(t)
	r.Deliver(Post[int]{From: 0, To: 2})
	r.Deliver(Post[int]{From: 3, To: 4})
	_, found, missed := r.nextPost(t.Context(), 0)
	is.True(!found && missed)
}
