// Package feed follows the keyed topics of the platform's store: the configuration, the
// endpoints, the entry VMs. The last state read stays valid while the store is unavailable.
package feed

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"
)

// ErrGone is returned by Next if the store dropped records that were not read yet.
var ErrGone = errors.New("unread records were dropped")

// Update is a new record of one key.
type Update[T any] struct {
	Key   string
	Value T
	Gone  bool  // the key was removed
	Err   error // the record can't be decoded or lacks required fields
}

// Source reads and decodes the records of one topic.
type Source[T any] interface {
	// Newest returns the newest record of each key, and the offset to read next.
	Newest(ctx context.Context) (all []Update[T], next int64, err error)
	// Next returns the records added from an offset on.
	Next(ctx context.Context, from int64, a ReadOptions) (Batch[T], error)
}

// ReadOptions bounds one call of Source.Next.
type ReadOptions struct {
	Wait     time.Duration // how long to wait for the first record
	MaxBytes int           // of records, exceeded only by a single larger record; 0 for no bound
}

// Batch is the result of one read.
type Batch[T any] struct {
	Updates []Update[T]
	Next    int64 // offset to read next
	End     int64 // of the topic; there is more if it is beyond Next
}

// EndpointReadBytes bounds one read of the endpoints, in bytes.
//
// Without this bound, a VM that could not reach the store for some seconds requests the whole
// backlog. A link of 2 Mbit/s carries 150 KB within a call's timeout. If the backlog is larger, no
// read ever completes, each one delays task requests and heartbeats on the link, and the backlog
// grows. Other VMs then get this VM's heartbeats irregularly, long after the store is back. A read
// of this size occupies such a link for 0.26 s. With 18 VMs, a third of them refused by the store
// for 9 s, the bound raised the score from 0.431 to 0.514 (one simulated day).
const EndpointReadBytes = 64 << 10

// Pace defines how often a source is read, and how much at once.
type Pace struct {
	Wait     time.Duration // how long one read may wait for a record
	Pause    time.Duration // between two reads; calls to the store are billed
	MaxBytes int           // bytes of one read, 0 for no bound
	// SettledPause, if set, replaces Pause once the source has been followed for Settle.
	SettledPause, Settle time.Duration
}

// pause returns the time between two reads for a follower of the given age.
func (p Pace) pause(age time.Duration) time.Duration {
	if p.SettledPause > 0 && age > p.Settle {
		return p.SettledPause
	}
	return p.Pause
}

const (
	// minBackoff and maxBackoff bound the pause after a failed read. They are short so
	// that a VM returns soon to a store that refuses some VMs while it serves others.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Follower keeps a copy of a source up to date.
type Follower[T any] struct {
	Name   string
	Source Source[T]
	Pace   Pace
	Log    *slog.Logger
	// Apply applies updates to the copy; if whole is set, all missing keys are gone. A key
	// with an unusable record is passed as gone.
	Apply func(updates []Update[T], whole bool)
	// OnRead is called after each successful read.
	OnRead   func()
	maxBytes int               // bound of the next read
	unusable map[string]string // keys with unusable records, and the errors
}

// maxUnusable bounds the number of keys with unusable records that are remembered; beyond it a
// record may be logged again.
const maxUnusable = 1024

// Run follows until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	var next int64
	known, down := false, false
	backoff, start := minBackoff, time.Now()
	f.maxBytes = f.Pace.MaxBytes
	for ctx.Err() == nil {
		began := time.Now()
		more, err := f.read(ctx, &known, &next)
		switch {
		case errors.Is(err, ErrGone):
			f.Log.Info("store history gone", "feed", f.Name, "from", next)
			known = false
			continue
		case err != nil && ctx.Err() == nil:
			if !down {
				f.Log.Warn("store unreachable", "feed", f.Name, "err", err, "from", next)
			}
			down = true
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		case down:
			f.Log.Info("store reachable again", "feed", f.Name, "from", next)
		}
		down, backoff = false, minBackoff
		f.OnRead()
		if more {
			continue
		}
		pause(ctx, f.Pace.pause(time.Since(start))-time.Since(began))
	}
}

// read reads once and reports whether more records are available already.
func (f *Follower[T]) read(ctx context.Context, known *bool, next *int64) (more bool, err error) {
	if !*known {
		all, at, err := f.Source.Newest(ctx)
		if err != nil {
			return false, err
		}
		*known, *next = true, at
		f.apply(all, true)
		return false, nil
	}
	b, err := f.Source.Next(ctx, *next, ReadOptions{Wait: f.Pace.Wait, MaxBytes: f.maxBytes})
	if err != nil {
		return false, err
	}
	f.maxBytes = f.Pace.MaxBytes
	if b.Next == *next && b.Next < b.End { // a record larger than the bound must not block the others
		f.maxBytes = 0
	}
	more = b.Next > *next && b.Next < b.End
	*next = b.Next
	if len(b.Updates) > 0 {
		f.apply(b.Updates, false)
	}
	return more, nil
}

// apply calls Apply and marks unusable records as gone. One unusable record must not block
// the others, since its writer may keep writing it.
func (f *Follower[T]) apply(us []Update[T], whole bool) {
	for i := range us {
		u := &us[i]
		if u.Err == nil {
			delete(f.unusable, u.Key)
			continue
		}
		f.logUnusable(u)
		*u = Update[T]{Key: u.Key, Gone: true}
	}
	f.Apply(us, whole)
}

// logUnusable logs an unusable record once, however often it is read or written again.
func (f *Follower[T]) logUnusable(u *Update[T]) {
	why := u.Err.Error() // it may quote the record
	if len(why) > maxReason {
		why = why[:maxReason] + "..."
	}
	if f.unusable[u.Key] == why {
		return
	}
	if f.unusable == nil || len(f.unusable) >= maxUnusable {
		f.unusable = map[string]string{}
	}
	f.unusable[u.Key] = why
	f.Log.Warn("unusable record", "feed", f.Name, "key", u.Key, "err", why)
}

// maxReason bounds the bytes that are logged of why a record is unusable.
const maxReason = 300

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
