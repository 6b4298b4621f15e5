package feed

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Post holds the updates of a topic that one VM read from the store, between two offsets,
// for other VMs to apply.
type Post[T any] struct {
	From, To int64
	Updates  []Update[T]
	Whole    bool // a full copy of the topic at To
}

// maxPosts bounds the queue of received posts. If one is dropped, the receiver notices the
// gap and reads the store itself.
const maxPosts = 16

// Relay is a source that one VM of a group, the reader, reads for all of them. Otherwise the
// calls to the store would grow with the number of VMs, most of which would read nothing new.
//
// If the reader is lost, or cut off from the store, the others get no posts within PostTimeout
// and read the store themselves.
type Relay[T any] struct {
	Source[T]
	// IsReader reports whether this VM is the reader now. VMs may disagree: with two readers there
	// are extra calls, and with none the others wait for PostTimeout.
	IsReader func() bool
	// Share sends a post to the other VMs.
	Share func(p Post[T])
	// Equal reports whether a record equals the one before; such a record is not passed on.
	Equal func(was, is T) bool
	// PostTimeout is how long this VM waits for a post before it reads in the reader's place.
	// It should differ from VM to VM: the first one to read passes its result on, so that
	// the others need not read as well.
	PostTimeout func() time.Duration
	// OnFallback is called with the offset from which this VM reads in the reader's place.
	OnFallback func(from int64)
	// RequestCopy asks another VM for its copy of the topic, which arrives as a whole post; false
	// if no VM is known yet.
	RequestCopy func() bool
	// OnCall is called after each call to the store; ok is whether the store answered.
	OnCall func(ok bool)
	// KeepWaiting reports whether a VM without any copy keeps waiting for one after some time.
	// 180 VMs that start at once would read more than the store delivers within seconds.
	KeepWaiting func(after time.Duration) bool

	posts chan Post[T]
	// Only the follower's goroutine uses these.
	excessLatency time.Duration // how much longer than its Wait the last read took
	minCopyOffset int64         // older copies are useless: the store has dropped the records after them
	unverified    bool          // the state is another VM's copy, and the store has not been read since

	mu     sync.Mutex // guards values and offset
	values map[string]T
	offset int64 // up to which values is current; negative before the first read
}

// askInterval is the time between the first and the second request for a copy, longer than the
// transfer of some thousand records takes. It doubles with each request.
const askInterval = 250 * time.Millisecond

// copyPoll is how often a VM that waits for a copy checks whether to keep waiting, and whether
// it knows a VM to ask.
const copyPoll = 20 * time.Millisecond

// Init prepares the relay to receive posts, and returns it.
func (r *Relay[T]) Init() *Relay[T] {
	r.posts, r.values, r.offset = make(chan Post[T], maxPosts), map[string]T{}, -1
	return r
}

// Copy returns the whole state as a post for another VM; false before the first read.
func (r *Relay[T]) Copy() (p Post[T], ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.offset < 0 {
		return p, false
	}
	p = Post[T]{To: r.offset, Whole: true}
	for k, v := range r.values {
		p.Updates = append(p.Updates, Update[T]{Key: k, Value: v})
	}
	return p, true
}

// Deliver queues another VM's post.
func (r *Relay[T]) Deliver(p Post[T]) {
	select {
	case r.posts <- p:
	default:
	}
}

// Newest implements Source.
func (r *Relay[T]) Newest(ctx context.Context) ([]Update[T], int64, error) {
	if p, ok := r.fetchCopy(ctx); ok {
		r.unverified = true
		return r.replaceAll(p.Updates, p.To), p.To, nil
	}
	all, next, err := r.Source.Newest(ctx)
	r.reportCall(ctx, err)
	if err != nil {
		return nil, 0, err
	}
	r.unverified = false
	return r.replaceAll(all, next), next, nil
}

// replaceAll replaces the state by a full copy of the topic.
func (r *Relay[T]) replaceAll(all []Update[T], at int64) []Update[T] {
	r.mu.Lock()
	clear(r.values)
	r.mu.Unlock()
	r.changed(all, at)
	return all
}

// fetchCopy requests a copy, and waits for it as long as KeepWaiting says so.
func (r *Relay[T]) fetchCopy(ctx context.Context) (p Post[T], ok bool) {
	began, asked, interval := time.Now(), time.Time{}, askInterval
	for ctx.Err() == nil {
		if time.Since(asked) >= interval && r.RequestCopy() {
			if !asked.IsZero() {
				interval *= 2 // a VM without a copy sends one once it has it
			}
			asked = time.Now()
		}
		wait := time.Duration(0)
		if r.KeepWaiting(time.Since(began)) {
			wait = copyPoll
		}
		if p, ok = r.awaitCopy(ctx, wait); ok || wait == 0 {
			return p, ok
		}
	}
	return p, false
}

// awaitCopy waits for a usable whole post; with a wait of 0 it only checks the queued posts.
func (r *Relay[T]) awaitCopy(ctx context.Context, wait time.Duration) (p Post[T], ok bool) {
	for deadline := time.Now().Add(wait); ; {
		select {
		case p = <-r.posts:
		default:
			left := time.Until(deadline)
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
		if p.Whole && p.To >= r.minCopyOffset {
			return p, true
		}
	}
}

// Next implements Source.
//
// If the store slows down, posts may arrive after PostTimeout; if all VMs then read themselves,
// the store slows down further. So the reader waits less for records when responses take longer,
// and the first VM whose PostTimeout ends reads for the rest.
func (r *Relay[T]) Next(ctx context.Context, from int64, a ReadOptions) (Batch[T], error) {
	if r.unverified {
		// The copy may lag; check the store now so that this VM doesn't lag further. While the
		// store is unavailable, posts are applied, and the store is tried again after each.
		b, err := r.read(ctx, from, ReadOptions{MaxBytes: a.MaxBytes}, false)
		r.unverified = err != nil
		if err == nil || errors.Is(err, ErrGone) || r.IsReader() {
			return b, err
		}
	}
	if r.IsReader() {
		a.Wait = max(0, a.Wait-2*r.excessLatency)
		return r.read(ctx, from, a, true)
	}
	p, found, missed := r.nextPost(ctx, from)
	switch {
	case found:
		return Batch[T]{Updates: r.changed(p.Updates, p.To), Next: p.To, End: p.To}, nil
	case ctx.Err() != nil:
		return Batch[T]{}, ctx.Err() //nolint:wrapcheck // the follower ends
	case missed:
		return r.read(ctx, from, a, false)
	default:
		r.OnFallback(from)
		a.Wait = 0
		return r.read(ctx, from, a, true)
	}
}

// read reads the store from an offset on, and sends the result to the others if share is set.
func (r *Relay[T]) read(ctx context.Context, from int64, a ReadOptions, share bool) (Batch[T], error) {
	began := time.Now()
	b, err := r.Source.Next(ctx, from, a)
	r.reportCall(ctx, err)
	if err != nil {
		if errors.Is(err, ErrGone) {
			r.minCopyOffset = from + 1
		}
		return Batch[T]{}, err
	}
	r.excessLatency = max(0, time.Since(began)-a.Wait)
	b.Updates = r.changed(b.Updates, b.Next)
	if share {
		r.Share(Post[T]{From: from, To: b.Next, Updates: b.Updates})
	}
	return b, nil
}

// reportCall reports to OnCall whether the store answered; ErrGone counts as an answer.
func (r *Relay[T]) reportCall(ctx context.Context, err error) {
	if ctx.Err() == nil {
		r.OnCall(err == nil || errors.Is(err, ErrGone))
	}
}

// nextPost waits for a post that continues from an offset; missed reports a gap before it.
func (r *Relay[T]) nextPost(ctx context.Context, from int64) (p Post[T], found, missed bool) {
	t := time.NewTimer(r.PostTimeout())
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
			return r.mergeWaiting(p)
		case <-t.C:
			return p, false, false
		case <-ctx.Done():
			return p, false, false
		}
	}
}

// mergeWaiting appends the queued posts to p; missed reports a gap between them.
//
// Applying one post per pause between reads is too slow while two VMs are readers, as after a
// restart: posts arrive twice as fast. Up to maxPosts would queue and be applied 3 s late, and runs
// would be started on endpoints that had announced long before that they leave.
func (r *Relay[T]) mergeWaiting(p Post[T]) (all Post[T], found, missed bool) {
	for {
		select {
		case next := <-r.posts:
			switch {
			case next.Whole || next.To < p.To:
			case next.From > p.To:
				return p, false, true
			default:
				p.Updates, p.To = append(p.Updates, next.Updates...), next.To
			}
		default:
			return p, true, false
		}
	}
}

// changed applies updates to the state, sets its offset, and returns the newest update of
// each key that changed.
func (r *Relay[T]) changed(all []Update[T], to int64) (changed []Update[T]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offset = to
	at := map[string]int{}
	for _, u := range all {
		was, known := r.values[u.Key]
		switch {
		case u.Gone, u.Err != nil:
			delete(r.values, u.Key)
		case known && r.Equal(was, u.Value):
			continue
		default:
			r.values[u.Key] = u.Value
		}
		if i, ok := at[u.Key]; ok {
			changed[i] = u
			continue
		}
		at[u.Key] = len(changed)
		changed = append(changed, u)
	}
	return changed
}
