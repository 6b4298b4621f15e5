package fakes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dahliawinch/internal/plat/ledger"
)

// LogRules are the log's limits and failures.
type LogRules struct {
	Rate   int           // appends a second; 0 for no limit
	Synced time.Duration // time of a synced write
	Keep   time.Duration // retention
	Down   bool          // all calls fail
	Slow   time.Duration // added to every call
	Lose   float64       // share of appends that take effect but whose answer is lost
}

// Log is a fake of one stream of the platform's log.
type Log struct {
	mu      sync.Mutex
	rules   LogRules
	records [][]byte
	times   []time.Time
	first   int64
	window  time.Time
	count   int
	appends int
	grown   chan struct{}
}

// NewLog returns an empty stream.
func NewLog(rules LogRules) *Log { return &Log{rules: rules, grown: make(chan struct{})} }

// Set changes the rules.
func (l *Log) Set(change func(*LogRules)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.rules)
	close(l.grown)
	l.grown = make(chan struct{})
}

// Appends returns how many appends took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements ledger.Log.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	l.mu.Lock()
	rules := l.rules
	l.mu.Unlock()
	if err := sleep(ctx, rules.Slow+rules.Synced); err != nil {
		return 0, fmt.Errorf("append: %w", ledger.ErrUnsure)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rules.Down {
		return 0, fmt.Errorf("append: %w", ledger.ErrDown)
	}
	now := time.Now()
	if now.Sub(l.window) >= time.Second {
		l.window, l.count = now, 0
	}
	if l.rules.Rate > 0 && l.count >= l.rules.Rate {
		return 0, fmt.Errorf("append: %w", ledger.ErrBusy)
	}
	l.count++
	l.appends++
	at := l.first + int64(len(l.records))
	l.records = append(l.records, append([]byte(nil), data...))
	l.times = append(l.times, now)
	close(l.grown)
	l.grown = make(chan struct{})
	if rand.Float64() < l.rules.Lose {
		return 0, fmt.Errorf("append: %w", ledger.ErrUnsure)
	}
	return at, nil
}

// Read implements ledger.Log.
func (l *Log) Read(ctx context.Context, from int64, wait time.Duration) (ledger.Page, error) {
	ends := time.NewTimer(wait)
	defer ends.Stop()
	for {
		p, grown, slow, err := l.page(from)
		if err != nil || len(p.Records) > 0 {
			if e := sleep(ctx, slow); e != nil {
				return ledger.Page{}, e
			}
			return p, err
		}
		select {
		case <-grown:
		case <-ends.C:
			return p, nil
		case <-ctx.Done():
			return ledger.Page{}, fmt.Errorf("read: %w", ctx.Err())
		}
	}
}

func (l *Log) page(from int64) (ledger.Page, <-chan struct{}, time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rules.Down {
		return ledger.Page{}, nil, l.rules.Slow, fmt.Errorf("read: %w", ledger.ErrDown)
	}
	l.expire(time.Now())
	at := max(from, l.first)
	p := ledger.Page{First: l.first, From: at}
	if i := at - l.first; i < int64(len(l.records)) {
		p.Records = append(p.Records, l.records[i:]...)
	}
	return p, l.grown, l.rules.Slow, nil
}

// expire drops records past the retention; the caller holds the lock.
func (l *Log) expire(now time.Time) {
	if l.rules.Keep <= 0 {
		return
	}
	n := 0
	for n < len(l.times) && now.Sub(l.times[n]) > l.rules.Keep {
		n++
	}
	l.records, l.times = l.records[n:], l.times[n:]
	l.first += int64(n)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", ctx.Err())
	}
}
