// Package sample keeps floods of like log lines from costing more than the events
// themselves.
package sample

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// PerSecond is how many lines of one message are written in a second by New.
const PerSecond = 20

// mostMessages bounds the memory; messages are constants of the program, so this is
// never reached unless one is built from input.
const mostMessages = 1024

// Handler passes on the first lines of each message in a second, and then says how
// many it left out.
type Handler struct {
	next  slog.Handler
	state *state
}

type state struct {
	most int // lines of one message in a second
	mu   sync.Mutex
	all  map[string]*count
}

type count struct {
	second  int64
	written int
	left    int
}

// New wraps a handler.
func New(next slog.Handler) *Handler { return Limit(next, PerSecond) }

// Limit wraps a handler and passes on so many lines of one message in a second.
func Limit(next slog.Handler, most int) *Handler {
	return &Handler{next: next, state: &state{most: most, all: map[string]*count{}}}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	left, ok := h.state.take(r.Message, r.Time)
	if !ok {
		return nil
	}
	if left > 0 {
		r.AddAttrs(slog.Int("left_out", left))
	}
	return h.next.Handle(ctx, r) //nolint:wrapcheck // a handler passes errors through
}

// WithAttrs implements slog.Handler; the counts are shared with the parent.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), state: h.state}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), state: h.state}
}

func (s *state) take(msg string, at time.Time) (left int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.all[msg]
	if c == nil {
		if len(s.all) >= mostMessages {
			clear(s.all)
		}
		c = &count{}
		s.all[msg] = c
	}
	if sec := at.Unix(); sec != c.second {
		c.second, c.written = sec, 0
	}
	if c.written >= s.most {
		c.left++
		return 0, false
	}
	c.written++
	left, c.left = c.left, 0
	return left, true
}
