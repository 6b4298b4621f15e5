package feed

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Post is what one VM read of a topic, for others to take over: all news from one place
// to another.
type Post[T any] struct {
	From, To int64
	All      []Update[T]
	Whole    bool // all that is known at To, whatever was read before
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
	// Patience is how long this VM does without a post before it reads in its reader's
	// place. It should differ from VM to VM: what the first one reads is passed on, and the
	// others need not read it as well.
	Patience func() time.Duration
	// Alone is told from where this VM reads in its reader's place.
	Alone func(from int64)
	// Ask asks another VM for its copy of the topic, which comes as a whole post; false if
	// there is none to ask yet.
	Ask func() bool
	// Reached is told of each call to the store whether it was answered.
	Reached func(ok bool)
	// Waits reports whether a VM that knows nothing yet waits on for a copy after some time.
	// What 180 VMs that start at once read of the store is more than it gives in seconds.
	Waits func(after time.Duration) bool

	posts chan Post[T]
	// Only the follower's goroutine uses these.
	late   time.Duration // how much longer than it was to wait the last read took
	least  int64         // a copy from before is of no use: the store has dropped what follows it
	copied bool          // what is known is another VM's copy, not yet held against the store

	mu   sync.Mutex // guards what is copied
	last map[string]T
	at   int64 // place up to which last is known; negative before the first read
}

// askEvery is the time from the first question for a copy to the second, longer than a copy of some
// thousand records takes; it doubles with each.
const askEvery = 250 * time.Millisecond

// waitLook is how often a VM that waits for a copy looks whether that is still better than
// reading, or somebody to ask has been heard.
const waitLook = 20 * time.Millisecond

// Init makes a relay ready for posts.
func (r *Relay[T]) Init() *Relay[T] {
	r.posts, r.last, r.at = make(chan Post[T], mostPosts), map[string]T{}, -1
	return r
}

// Copy is all that is known here, for another VM; false before the first read.
func (r *Relay[T]) Copy() (p Post[T], ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at < 0 {
		return p, false
	}
	p = Post[T]{To: r.at, Whole: true}
	for k, v := range r.last {
		p.All = append(p.All, Update[T]{Key: k, Value: v})
	}
	return p, true
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
	if p, ok := r.whole(ctx); ok {
		r.copied = true
		return r.anew(p.All, p.To), p.To, nil
	}
	all, next, err := r.Source.Newest(ctx)
	r.reached(ctx, err)
	if err != nil {
		return nil, 0, err
	}
	r.copied = false
	return r.anew(all, next), next, nil
}

// anew takes a whole topic over.
func (r *Relay[T]) anew(all []Update[T], at int64) []Update[T] {
	r.mu.Lock()
	clear(r.last)
	r.mu.Unlock()
	r.news(all, at)
	return all
}

// whole asks for a copy, and waits for it as long as that is better than reading.
func (r *Relay[T]) whole(ctx context.Context) (p Post[T], ok bool) {
	began, asked, again := time.Now(), time.Time{}, askEvery
	for ctx.Err() == nil {
		if time.Since(asked) >= again && r.Ask() {
			if !asked.IsZero() {
				again *= 2 // whoever has no copy yet gives one once it has
			}
			asked = time.Now()
		}
		wait := time.Duration(0)
		if r.Waits(time.Since(began)) {
			wait = waitLook
		}
		if p, ok = r.await(ctx, wait); ok || wait == 0 {
			return p, ok
		}
	}
	return p, false
}

// await waits for a whole post that is of use; without a wait it looks at those that came.
func (r *Relay[T]) await(ctx context.Context, wait time.Duration) (p Post[T], ok bool) {
	for over := time.Now().Add(wait); ; {
		select {
		case p = <-r.posts:
		default:
			left := time.Until(over)
			if left <= 0 {
				return p, false
			}
			t := time.NewTimer(left)
			select {
			case p = <-r.posts:
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
				return p, false
			}
			t.Stop()
		}
		if p.Whole && p.To >= r.least {
			return p, true
		}
	}
}

// Next implements Source.
//
// What may go wrong: the store slows down, posts come later than the others' patience, all
// read for themselves, and the store slows down further. So reads for others wait less when
// answers take longer, and of those whose patience ends the first reads for the rest.
func (r *Relay[T]) Next(ctx context.Context, from int64, a Ask) (Batch[T], error) {
	if r.copied {
		// What was late at the VM that gave the copy must not become later here. While the
		// store is away, posts are heard, and it is asked again after each.
		b, err := r.read(ctx, from, Ask{Most: a.Most}, false)
		r.copied = err != nil
		if err == nil || errors.Is(err, ErrGone) || r.Reads() {
			return b, err
		}
	}
	if r.Reads() {
		a.Wait = max(0, a.Wait-2*r.late)
		return r.read(ctx, from, a, true)
	}
	p, found, missed := r.hear(ctx, from)
	switch {
	case found:
		return Batch[T]{All: r.news(p.All, p.To), Next: p.To, End: p.To}, nil
	case ctx.Err() != nil:
		return Batch[T]{}, ctx.Err() //nolint:wrapcheck // the follower ends
	case missed:
		return r.read(ctx, from, a, false)
	default:
		r.Alone(from)
		a.Wait = 0
		return r.read(ctx, from, a, true)
	}
}

// read reads on from the store itself, and passes on what it read if asked to.
func (r *Relay[T]) read(ctx context.Context, from int64, a Ask, share bool) (Batch[T], error) {
	began := time.Now()
	b, err := r.Source.Next(ctx, from, a)
	r.reached(ctx, err)
	if err != nil {
		if errors.Is(err, ErrGone) {
			r.least = from + 1
		}
		return Batch[T]{}, err
	}
	r.late = max(0, time.Since(began)-a.Wait)
	b.All = r.news(b.All, b.Next)
	if share {
		r.Share(Post[T]{From: from, To: b.Next, All: b.All})
	}
	return b, nil
}

// reached tells whether the store answered; that history is gone is an answer.
func (r *Relay[T]) reached(ctx context.Context, err error) {
	if ctx.Err() == nil {
		r.Reached(err == nil || errors.Is(err, ErrGone))
	}
}

// hear waits for a post that goes on from a place, and tells if one in between is missing.
func (r *Relay[T]) hear(ctx context.Context, from int64) (p Post[T], found, missed bool) {
	t := time.NewTimer(r.Patience())
	defer t.Stop()
	for {
		select {
		case p := <-r.posts:
			if p.Whole || p.To < from {
				continue // older than what was read here
			}
			if p.From > from {
				return p, false, true
			}
			return r.join(p)
		case <-t.C:
			return p, false, false
		case <-ctx.Done():
			return p, false, false
		}
	}
}

// join adds to a post those that came after it; missed says that one in between is missing.
//
// What goes wrong without it: while two VMs read for the others, as after a restart, posts come
// twice as often as they are taken, one for each pause between two reads. Up to mostPosts wait,
// and what they tell is taken in 3 s late. One notices runs started on endpoints that had said
// long before that they leave.
func (r *Relay[T]) join(p Post[T]) (all Post[T], found, missed bool) {
	for {
		select {
		case next := <-r.posts:
			switch {
			case next.Whole || next.To < p.To:
			case next.From > p.To:
				return p, false, true
			default:
				p.All, p.To = append(p.All, next.All...), next.To
			}
		default:
			return p, true, false
		}
	}
}

// news returns what differs from what was known, the last word on each key, and takes
// note of it, and of the place up to which it goes.
func (r *Relay[T]) news(all []Update[T], to int64) (news []Update[T]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at = to
	at := map[string]int{}
	for _, u := range all {
		was, known := r.last[u.Key]
		switch {
		case u.Gone, u.Err != nil:
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
