// Package sink writes log lines without ever holding up who logs.
package sink

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// most bytes wait to be written; a reader that stops costs lines, not memory.
	most = 256 << 10
	// every is how often lines are written: one call to the kernel for many lines.
	every = 50 * time.Millisecond
)

// Sink is a writer that buffers and drops.
type Sink struct {
	out  io.Writer
	mu   sync.Mutex
	buf  []byte
	back []byte
	lost int
}

// New returns a sink in front of a writer; Run writes.
func New(out io.Writer) *Sink { return &Sink{out: out} }

// Write implements io.Writer and never blocks.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buf)+len(p) > most {
		s.lost++
		return len(p), nil
	}
	s.buf = append(s.buf, p...)
	return len(p), nil
}

// Run writes what was logged until ctx ends, and then the rest.
func (s *Sink) Run(ctx context.Context) {
	t := time.NewTicker(every)
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

// Flush writes what was logged so far.
func (s *Sink) Flush() {
	s.mu.Lock()
	buf, lost := s.buf, s.lost
	s.buf, s.back, s.lost = s.back[:0], nil, 0
	s.mu.Unlock()
	if lost > 0 {
		buf = fmt.Appendf(buf, "level=WARN msg=\"log lines lost\" lines=%d\n", lost)
	}
	if len(buf) > 0 {
		_, _ = s.out.Write(buf) // there is nowhere to tell of a log that can't be written
	}
	s.mu.Lock()
	s.back = buf[:0]
	s.mu.Unlock()
}
