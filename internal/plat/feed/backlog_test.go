package feed

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// untouched is a source that must not be read.
type untouched struct{ t *testing.T }

func (u untouched) Newest(context.Context) ([]Update[int], int64, error) {
	u.t.Error("the store was read")
	return nil, 0, nil
}

func (u untouched) Next(context.Context, int64, Ask) (Batch[int], error) {
	u.t.Error("the store was read")
	return Batch[int]{}, nil
}

func hearer(t *testing.T) *Relay[int] {
	return (&Relay[int]{
		Source: untouched{t}, Same: func(a, b int) bool { return a == b },
		Reads: func() bool { return false }, Patience: func() time.Duration { return time.Second }, Alone: func(int64) {}, Reached: func(bool) {},
	}).Init()
}

// Symptom: a task is started on an endpoint that said 2.1 s before that it leaves; its owner
// learns of that after 3.4 s. Sequence: VMs of a domain are restarted in turn, and for seconds two
// of them read the store for the others; both post, and one post is taken for each pause between
// two reads. Cause: the posts that wait are taken one by one.
func TestPostsThatWaitAreTakenAtOnce(t *testing.T) {
	is := is.New(t)
	r := hearer(t)
	for at := int64(1); at <= 5; at++ {
		p := Post[int]{From: at - 1, To: at, All: []Update[int]{{Key: "k", Value: int(at)}}}
		r.Deliver(p) // of one reader
		r.Deliver(p) // and of another
	}
	b, err := r.Next(t.Context(), 0, Ask{})
	is.NoErr(err)
	is.Equal(b.Next, int64(5))
	is.Equal(len(b.All), 1)
	is.Equal(b.All[0].Value, 5)
	is.Equal(len(r.posts), 0)
}

// A post that is missing among those that wait is noticed as one that is missing at once.
func TestGapAmongPostsThatWaitIsMissed(t *testing.T) {
	is := is.New(t)
	r := hearer(t)
	r.Deliver(Post[int]{From: 0, To: 2})
	r.Deliver(Post[int]{From: 3, To: 4})
	_, found, missed := r.hear(t.Context(), 0)
	is.True(!found && missed)
}
