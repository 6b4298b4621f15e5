// Package keeper keeps one VM's copy of the declared document: it reads the log,
// takes newer revisions from peers, declares for operators and renews what is in
// force before the log forgets it.
package keeper

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	mrand "math/rand/v2"
	"sync"
	"time"

	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/fold"
	"dahliawinch/internal/plat/ledger"
)

const (
	// readWait is how long one read of the log waits for news.
	readWait = 10 * time.Second
	// backLeast and backMost bound the pause after a failed call to the log.
	backLeast = 100 * time.Millisecond
	backMost  = 2 * time.Second
)

// Keeper of the document.
type Keeper struct {
	log       ledger.Log
	timers    *timer.Service
	out       *slog.Logger
	apply     func(fold.Revision) error
	retention time.Duration

	mu     sync.Mutex
	fold   *fold.Fold
	proven time.Time     // when the log last said what is in force
	jitter time.Duration // added to the time of the next renewal
	news   chan struct{} // closed when something was folded
}

// New returns a keeper; apply puts a revision in force.
func New(log ledger.Log, timers *timer.Service, retention time.Duration, apply func(fold.Revision) error, out *slog.Logger) *Keeper {
	k := &Keeper{
		log: log, timers: timers, retention: retention, apply: apply, out: out,
		fold: fold.New(valid), news: make(chan struct{}), proven: timers.Now(),
	}
	k.jitter = mrand.N(fold.RenewEvery(retention) + 1)
	return k
}

func valid(text json.RawMessage) error {
	_, err := doc.Parse(text)
	return err
}

// Run reads the log until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	back := backLeast
	for ctx.Err() == nil {
		err := k.read(ctx)
		if err == nil {
			back = backLeast
			continue
		}
		if ctx.Err() == nil {
			k.out.Warn("log unreadable", "err", err, "retry", back)
		}
		rest(ctx, back/2+mrand.N(back))
		back = min(2*back, backMost)
	}
}

func (k *Keeper) read(ctx context.Context) error {
	k.mu.Lock()
	from := k.fold.Next()
	k.mu.Unlock()
	p, err := k.log.Read(ctx, from, readWait)
	if err != nil {
		return fmt.Errorf("follow the log: %w", err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fold.Open(p.First)
	for i, data := range p.Records {
		k.fold.Apply(p.From+int64(i), data)
	}
	if len(p.Records) > 0 {
		k.proven = k.timers.Now()
	}
	k.tell()
	return nil
}

// tell puts the current revision in force and wakes who waits; the caller holds
// the lock.
func (k *Keeper) tell() {
	if r, ok := k.fold.Current(); ok {
		if err := k.apply(r); err != nil {
			k.out.Error("apply document", "err", err)
		}
	}
	close(k.news)
	k.news = make(chan struct{})
}

// Offer implements flow.Docs.
func (k *Keeper) Offer(r fold.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fold.Adopt(r) {
		k.tell()
	}
}

// Current implements flow.Docs.
func (k *Keeper) Current() (fold.Revision, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Current()
}

// History returns the latest revisions that were in force, oldest first.
func (k *Keeper) History() []fold.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.History()
}

// Sure reports whether the current revision is certain up to what was read.
func (k *Keeper) Sure() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Known()
}

// Renew appends a refresh when its time has come and no peer was faster.
func (k *Keeper) Renew(ctx context.Context) {
	k.mu.Lock()
	due := k.proven.Add(fold.RenewEvery(k.retention) + k.jitter)
	r, ok := k.fold.Renewal()
	late := !k.timers.Now().Before(due)
	if late {
		k.jitter = mrand.N(fold.RenewEvery(k.retention) + 1)
		k.proven = k.timers.Now() // also when the append fails: the next try is a term later
	}
	k.mu.Unlock()
	if !late || !ok {
		return
	}
	data, err := r.Encode()
	if err == nil {
		_, err = k.log.Append(ctx, data)
	}
	if err != nil {
		k.out.Warn("refresh failed", "err", err)
		k.mu.Lock()
		k.proven = k.timers.Now().Add(k.retention/20 - fold.RenewEvery(k.retention) - k.jitter)
		k.mu.Unlock()
	}
}

// RenewLook is how often Renew should be called.
func (k *Keeper) RenewLook() time.Duration { return max(time.Second, k.retention/60) }

// The errors of Declare.
var (
	// ErrNotAppended says that the declaration is certainly not in the log.
	ErrNotAppended = errors.New("nothing was declared")
	// ErrUnknown says that the declaration may be in the log.
	ErrUnknown = errors.New("it is not known whether it was declared")
)

// Declare puts a document forward as the successor of a base and returns the
// verdict of the log.
//
// An append whose answer is lost may have taken effect. It is sent again with
// the same token until its offset is known or the token is read, since a second
// copy of a token changes nothing; only then anything is reported.
func (k *Keeper) Declare(ctx context.Context, base uint64, text []byte, author, note string) (fold.Verdict, error) {
	if _, err := doc.Parse(text); err != nil {
		return fold.Verdict{}, fmt.Errorf("declare: %w: %w", ErrNotAppended, err)
	}
	rec := fold.Record{Kind: fold.Declare, Base: base, Found: base == 0 && k.lost(), Token: rand.Text(), Author: author, Note: note, Doc: text}
	data, err := rec.Encode()
	if err != nil {
		return fold.Verdict{}, fmt.Errorf("declare: %w: %w", ErrNotAppended, err)
	}
	unsure := false
	for {
		at, err := k.log.Append(ctx, data)
		if err == nil {
			return k.settle(ctx, rec.Token, at)
		}
		unsure = unsure || errors.Is(err, ledger.ErrUnsure)
		rest(ctx, backLeast)
		if v, ok := k.verdict(rec.Token); ok {
			return v, nil
		}
		if ctx.Err() == nil {
			continue
		}
		if unsure {
			return fold.Verdict{}, fmt.Errorf("declare: %w: %w", ErrUnknown, err)
		}
		return fold.Verdict{}, fmt.Errorf("declare: %w: %w", ErrNotAppended, err)
	}
}

// lost reports whether nobody knows any revision: the log's records expired, and
// neither it nor a peer had one to give. Only then may a declaration begin again.
func (k *Keeper) lost() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.fold.Current()
	return !ok && !k.fold.Known() && k.fold.Next() > 0
}

// settle waits until the record at an offset is folded.
func (k *Keeper) settle(ctx context.Context, token string, at int64) (fold.Verdict, error) {
	for {
		k.mu.Lock()
		v, ok := k.fold.Verdict(token)
		past, news := k.fold.Next() > at, k.news
		k.mu.Unlock()
		if ok {
			return v, nil
		}
		if past {
			return k.byToken(token)
		}
		select {
		case <-news:
		case <-ctx.Done():
			return fold.Verdict{}, fmt.Errorf("declare: %w: %w", ErrUnknown, ctx.Err())
		}
	}
}

// byToken judges a declaration that was passed over by adopting a peer's state.
func (k *Keeper) byToken(token string) (fold.Verdict, error) {
	r, ok := k.Current()
	if ok && r.Token == token {
		return fold.Verdict{Won: true, Rev: r.Rev, Author: r.Author, Token: token}, nil
	}
	return fold.Verdict{}, fmt.Errorf("declare: %w: its record was passed over", ErrUnknown)
}

func (k *Keeper) verdict(token string) (fold.Verdict, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Verdict(token)
}

func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
