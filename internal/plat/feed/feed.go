// Package feed follows what the platform's store keeps under keys: the configuration,
// the endpoints, the entry VMs. What was heard stays in force while the store is away.
package feed

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"
)

// ErrGone is returned by Next when records were dropped that were not read yet.
var ErrGone = errors.New("records are gone that were not read")

// Update is the newest word on one key.
type Update[T any] struct {
	Key   string
	Value T
	Gone  bool  // the key was removed
	Err   error // the record can't be read, or says too little to be used
}

// Source gives the records of one topic, decoded.
type Source[T any] interface {
	// Newest returns the newest record of each key, and where to read on.
	Newest(ctx context.Context) (all []Update[T], next int64, err error)
	// Next returns what was added from a place on.
	Next(ctx context.Context, from int64, a Ask) (Batch[T], error)
}

// Ask bounds one read of what was added.
type Ask struct {
	Wait time.Duration // for the first record
	Most int           // bytes of records, but for one that is larger
}

// Batch is what one read brought.
type Batch[T any] struct {
	All  []Update[T]
	Next int64 // where to read on
	End  int64 // of the topic: there is more if it is beyond Next
}

// Portion is how much one read of the endpoints asks for, in bytes.
//
// What goes wrong without it: a VM that could not reach the store for some seconds asks for all
// that was added meanwhile. A link of 2 Mbit/s carries 150 KB in the time that a call may take; if
// there is more, no read ever ends, each takes the whole link from orders and heartbeats, and the
// backlog grows. One notices a VM that others hear by turns, long after the store is back. A portion
// takes 0.26 s of such a link. 18 VMs, a third of them turned away by the store for 9 s: worth
// 0.431 to 0.514 (one played day).
const Portion = 64 << 10

// Pace says how often a source is read.
type Pace struct {
	Wait  time.Duration // how long one read may wait for news
	Pause time.Duration // between two reads; calls to the store are priced
	Most  int           // bytes of one read, 0 for no bound
	// Rest, if set, takes the place of Pause once the source was followed for Settle.
	Rest, Settle time.Duration
}

// pause is the time between two reads at an age of the follower.
func (p Pace) pause(age time.Duration) time.Duration {
	if p.Rest > 0 && age > p.Settle {
		return p.Rest
	}
	return p.Pause
}

const (
	// backLeast and backMost bound the pause after a failed read. A store that turns
	// some VMs away and serves others is found again soon.
	backLeast = 100 * time.Millisecond
	backMost  = 800 * time.Millisecond
)

// Follower keeps a copy of a source fresh.
type Follower[T any] struct {
	Name   string
	Source Source[T]
	Pace   Pace
	Log    *slog.Logger
	// Apply takes updates in; whole says that keys which are missing are gone. A key whose
	// record is of no use comes as gone.
	Apply func(updates []Update[T], whole bool)
	// Heard is called after each good read.
	Heard func()
	most  int               // bytes of the next read
	bad   map[string]string // keys whose records are of no use, and why
}

// mostBad bounds the keys with useless records that are remembered; beyond it one may be
// logged again.
const mostBad = 1024

// Run follows until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	var next int64
	known, down := false, false
	back, start := backLeast, time.Now()
	f.most = f.Pace.Most
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
				f.Log.Warn("store lost", "feed", f.Name, "err", err, "from", next)
			}
			down = true
			pause(ctx, back/2+rand.N(back))
			back = min(2*back, backMost)
			continue
		case down:
			f.Log.Info("store back", "feed", f.Name, "from", next)
		}
		down, back = false, backLeast
		f.Heard()
		if more {
			continue
		}
		pause(ctx, f.Pace.pause(time.Since(start))-time.Since(began))
	}
}

// read reads once and reports whether there is more to read at once.
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
	b, err := f.Source.Next(ctx, *next, Ask{Wait: f.Pace.Wait, Most: f.most})
	if err != nil {
		return false, err
	}
	f.most = f.Pace.Most
	if b.Next == *next && b.Next < b.End { // a record larger than the bound must not hold up the others
		f.most = 0
	}
	more = b.Next > *next && b.Next < b.End
	*next = b.Next
	if len(b.All) > 0 {
		f.apply(b.All, false)
	}
	return more, nil
}

// apply passes on what could be read. One record that can't be must not hold up the
// others: whoever wrote it goes on writing.
func (f *Follower[T]) apply(us []Update[T], whole bool) {
	for i := range us {
		u := &us[i]
		if u.Err == nil {
			delete(f.bad, u.Key)
			continue
		}
		f.warn(u)
		*u = Update[T]{Key: u.Key, Gone: true}
	}
	f.Apply(us, whole)
}

// warn logs a useless record once, however often it is read or written again.
func (f *Follower[T]) warn(u *Update[T]) {
	why := u.Err.Error()
	if f.bad[u.Key] == why {
		return
	}
	if f.bad == nil || len(f.bad) >= mostBad {
		f.bad = map[string]string{}
	}
	f.bad[u.Key] = why
	f.Log.Warn("record of no use", "feed", f.Name, "key", u.Key, "err", u.Err)
}

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
