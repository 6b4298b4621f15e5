// Package sample rate-limits repeated log messages, so that logging a flood of events
// doesn't cost more than the events themselves.
package sample

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// PerSecond is how many lines of one message a handler from New writes per second.
const PerSecond = 20

// maxMessages bounds the memory for counts; messages are constants of the program, so it is
// never reached unless a message is built from input.
const maxMessages = 1024

// Handler writes the first lines of each message in a second. The next line that it writes
// reports how many were omitted.
type Handler struct {
	next    slog.Handler
	limiter *limiter
}

type limiter struct {
	perSecond int // lines of one message
	mu        sync.Mutex
	counts    map[string]*count
}

type count struct {
	second  int64
	written int
	omitted int
}

// New wraps a handler with a limit of PerSecond.
func New(next slog.Handler) *Handler { return Limit(next, PerSecond) }

// Limit wraps a handler and writes at most perSecond lines of one message per second.
func Limit(next slog.Handler, perSecond int) *Handler {
	return &Handler{next: next, limiter: &limiter{perSecond: perSecond, counts: map[string]*count{}}}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	omitted, ok := h.limiter.allow(r.Message, r.Time)
	if !ok {
		return nil
	}
	if omitted > 0 {
		r.AddAttrs(slog.Int("left_out", omitted))
	}
	return h.next.Handle(ctx, r) //nolint:wrapcheck // a handler passes errors through
}

// WithAttrs implements slog.Handler; the counts are shared with the parent.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), limiter: h.limiter}
}

func (s *limiter) allow(msg string, at time.Time) (omitted int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts[msg]
	if c == nil {
		if len(s.counts) >= maxMessages {
			clear(s.counts)
		}
		c = &count{}
		s.counts[msg] = c
	}
	if sec := at.Unix(); sec != c.second {
		c.second, c.written = sec, 0
	}
	if c.written >= s.perSecond {
		c.omitted++
		return 0, false
	}
	c.written++
	omitted, c.omitted = c.omitted, 0
	return omitted, true
}
