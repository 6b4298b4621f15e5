// Package keeper maintains one VM's copy of the declared document: it reads the log,
// adopts newer revisions from peers, declares for operators and refreshes the revision
// in force before the log's retention drops it.
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
	// readWait is how long one read of the log waits for new records.
	readWait = 10 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call to the log.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Keeper maintains the document.
type Keeper struct {
	log       ledger.Log
	timers    *timer.Service
	logger    *slog.Logger
	apply     func(fold.Revision) error
	retention time.Duration

	mu        sync.Mutex
	fold      *fold.Fold
	confirmed time.Time     // when records were last read; Renew also moves it, to set the next refresh
	jitter    time.Duration // added to the time of the next refresh
	changed   chan struct{} // closed at each change of fold
}

// New returns a keeper; apply is called to put a revision in force.
func New(log ledger.Log, timers *timer.Service, retention time.Duration, apply func(fold.Revision) error, logger *slog.Logger) *Keeper {
	k := &Keeper{
		log: log, timers: timers, retention: retention, apply: apply, logger: logger,
		fold: fold.New(validate), changed: make(chan struct{}), confirmed: timers.Now(),
	}
	k.jitter = mrand.N(fold.RefreshInterval(retention) + 1)
	return k
}

func validate(text json.RawMessage) error {
	_, err := doc.Parse(text)
	return err
}

// Run reads the log until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := k.read(ctx)
		if err == nil {
			backoff = minBackoff
			continue
		}
		if ctx.Err() == nil {
			k.logger.Warn("reading the log failed", "err", err, "retry", backoff)
		}
		sleep(ctx, backoff/2+mrand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
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
		k.confirmed = k.timers.Now()
	}
	k.publish()
	return nil
}

// publish puts the current revision in force and wakes waiting goroutines; the caller
// holds the lock.
func (k *Keeper) publish() {
	if r, ok := k.fold.Current(); ok {
		if err := k.apply(r); err != nil {
			k.logger.Error("applying the document failed", "err", err)
		}
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// Offer implements flow.RevisionStore.
func (k *Keeper) Offer(r fold.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fold.Adopt(r) {
		k.publish()
	}
}

// Current implements flow.RevisionStore.
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

// Certain reports whether the current revision is certainly in force as of the last record read.
func (k *Keeper) Certain() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Known()
}

// Renew appends a refresh when one is due and no peer wrote one first.
func (k *Keeper) Renew(ctx context.Context) {
	k.mu.Lock()
	due := k.confirmed.Add(fold.RefreshInterval(k.retention) + k.jitter)
	r, ok := k.fold.Renewal()
	overdue := !k.timers.Now().Before(due)
	if overdue {
		k.jitter = mrand.N(fold.RefreshInterval(k.retention) + 1)
		k.confirmed = k.timers.Now() // before the append, so that no other call appends meanwhile
	}
	k.mu.Unlock()
	if !overdue || !ok {
		return
	}
	data, err := r.Encode()
	if err == nil {
		_, err = k.log.Append(ctx, data)
	}
	if err != nil {
		k.logger.Warn("appending a refresh to the log failed", "err", err)
		k.mu.Lock()
		// The refresh is due again after a twentieth of the retention.
		k.confirmed = k.timers.Now().Add(k.retention/20 - fold.RefreshInterval(k.retention) - k.jitter)
		k.mu.Unlock()
	}
}

// RenewPeriod returns how often Renew should be called.
func (k *Keeper) RenewPeriod() time.Duration { return max(time.Second, k.retention/60) }

// Errors of Declare.
var (
	// ErrNotAppended means that the declaration is certainly not in the log.
	ErrNotAppended = errors.New("nothing was declared")
	// ErrUnknown means that the declaration may be in the log.
	ErrUnknown = errors.New("it is not known whether it was declared")
)

// Declare proposes a document as the successor of a base and returns the verdict
// of the log.
//
// An append whose answer is lost may have taken effect. It is sent again with the
// same token until its offset is known or the token is read; a second copy of a
// token changes nothing. Only then is a verdict returned.
func (k *Keeper) Declare(ctx context.Context, base uint64, text []byte, author, note string) (fold.Verdict, error) {
	if _, err := doc.Parse(text); err != nil {
		return fold.Verdict{}, fmt.Errorf("declare: %w: %w", ErrNotAppended, err)
	}
	rec := fold.Record{Kind: fold.Declare, Base: base, Found: base == 0 && k.noRevision(), Token: rand.Text(), Author: author, Note: note, Doc: text}
	data, err := rec.Encode()
	if err != nil {
		return fold.Verdict{}, fmt.Errorf("declare: %w: %w", ErrNotAppended, err)
	}
	unsure := false
	for {
		offset, err := k.log.Append(ctx, data)
		if err == nil {
			return k.awaitVerdict(ctx, rec.Token, offset)
		}
		unsure = unsure || errors.Is(err, ledger.ErrUnsure)
		sleep(ctx, minBackoff)
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

// noRevision reports whether no revision can be known any more: the log's records
// expired, and no peer sent one. Only then may a declaration found a new history.
func (k *Keeper) noRevision() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.fold.Current()
	return !ok && !k.fold.Known() && k.fold.Next() > 0
}

// awaitVerdict waits until the record at an offset is applied.
func (k *Keeper) awaitVerdict(ctx context.Context, token string, offset int64) (fold.Verdict, error) {
	for {
		k.mu.Lock()
		v, ok := k.fold.Verdict(token)
		applied, changed := k.fold.Next() > offset, k.changed
		k.mu.Unlock()
		if ok {
			return v, nil
		}
		if applied {
			return k.adoptedVerdict(token)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fold.Verdict{}, fmt.Errorf("declare: %w: %w", ErrUnknown, ctx.Err())
		}
	}
}

// adoptedVerdict returns the verdict on a declaration whose record was skipped by adopting a peer's revision.
func (k *Keeper) adoptedVerdict(token string) (fold.Verdict, error) {
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
