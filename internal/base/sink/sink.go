// Package sink buffers log lines so that logging never blocks.
package sink

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered bounds the buffered bytes: if the log's reader stops, lines are dropped
	// rather than memory used.
	maxBuffered = 256 << 10
	// flushInterval is how often lines are written: one system call for many lines.
	flushInterval = 50 * time.Millisecond
)

// Sink is a writer that buffers log lines and drops them when the buffer is full.
type Sink struct {
	out     io.Writer
	mu      sync.Mutex
	buf     []byte
	spare   []byte
	dropped int
}

// New returns a sink for a writer; Run must be called to write.
func New(out io.Writer) *Sink { return &Sink{out: out} }

// Write implements io.Writer and never blocks.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buf)+len(p) > maxBuffered {
		s.dropped++
		return len(p), nil
	}
	s.buf = append(s.buf, p...)
	return len(p), nil
}

// Run flushes regularly until ctx ends, and then once more.
func (s *Sink) Run(ctx context.Context) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.Flush()
			return
		case <-t.C:
			s.Flush()
		}
	}
}

// Flush writes the buffered lines and reports how many were dropped.
func (s *Sink) Flush() {
	s.mu.Lock()
	buf, dropped := s.buf, s.dropped
	s.buf, s.spare, s.dropped = s.spare[:0], nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		buf = fmt.Appendf(buf, "level=WARN msg=\"log lines lost\" lines=%d\n", dropped)
	}
	if len(buf) > 0 {
		_, _ = s.out.Write(buf) // a failed write of the log can't be reported anywhere
	}
	s.mu.Lock()
	s.spare = buf[:0]
	s.mu.Unlock()
}
