package feed

import (
	"context"
	"time"
)

// Post is what one VM read of a topic, for others to take over: all news from one place
// to another.
type Post[T any] struct {
	From, To int64
	All      []Update[T]
}

// mostPosts is how many posts wait to be taken over; if one is dropped, its reader finds
// the gap and reads for itself.
const mostPosts = 16

// Relay is a source of which one VM of a neighbourhood reads for all. Calls to the store
// and its records would else grow with the number of VMs, most of which learn nothing new.
//
// What may go wrong: the VM that reads is lost, or cut off from the store, and the others
// hear no more of a change. They notice that its posts stay out, and read for themselves.
type Relay[T any] struct {
	Source[T]
	// Reads reports whether this VM reads for the others now. Views differ: two may read,
	// which costs calls, or none, which costs Patience.
	Reads func() bool
	// Share passes a post on.
	Share func(p Post[T])
	// Same reports whether a record says nothing new; such a record is not passed on.
	Same func(was, is T) bool
	// Patience is how long a VM does without a post before it reads for itself.
	Patience time.Duration

	posts chan Post[T]
	last  map[string]T
}

// Init makes a relay ready for posts.
func (r *Relay[T]) Init() *Relay[T] {
	r.posts, r.last = make(chan Post[T], mostPosts), map[string]T{}
	return r
}

// Deliver takes in another VM's post.
func (r *Relay[T]) Deliver(p Post[T]) {
	select {
	case r.posts <- p:
	default:
	}
}

// Newest implements Source.
func (r *Relay[T]) Newest(ctx context.Context) ([]Update[T], int64, error) {
	all, next, err := r.Source.Newest(ctx)
	if err == nil {
		clear(r.last)
		r.news(all)
	}
	return all, next, err
}

// Next implements Source.
func (r *Relay[T]) Next(ctx context.Context, from int64, wait time.Duration) ([]Update[T], int64, error) {
	if !r.Reads() {
		if p, ok := r.hear(ctx, from); ok {
			return r.news(p.All), p.To, nil
		}
	}
	more, next, err := r.Source.Next(ctx, from, wait)
	if err != nil {
		return nil, from, err
	}
	news := r.news(more)
	if r.Reads() {
		r.Share(Post[T]{from, next, news})
	}
	return news, next, nil
}

// hear waits for a post that goes on from a place; false if there is none, or one in
// between is missing.
func (r *Relay[T]) hear(ctx context.Context, from int64) (Post[T], bool) {
	t := time.NewTimer(r.Patience)
	defer t.Stop()
	for {
		select {
		case p := <-r.posts:
			if p.To < from {
				continue // older than what was read here
			}
			return p, p.From <= from
		case <-t.C:
			return Post[T]{}, false
		case <-ctx.Done():
			return Post[T]{}, false
		}
	}
}

// news returns what differs from what was known, the last word on each key, and takes
// note of it.
func (r *Relay[T]) news(all []Update[T]) (news []Update[T]) {
	at := map[string]int{}
	for _, u := range all {
		was, known := r.last[u.Key]
		switch {
		case u.Err != nil:
		case u.Gone:
			delete(r.last, u.Key)
		case known && r.Same(was, u.Value):
			continue
		default:
			r.last[u.Key] = u.Value
		}
		if i, ok := at[u.Key]; ok {
			news[i] = u
			continue
		}
		at[u.Key] = len(news)
		news = append(news, u)
	}
	return news
}
