package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.began).Round(time.Millisecond).Milliseconds()
	r.lines = append(r.lines, fmt.Sprintf("%6d ms  ", at)+fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644); err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	return nil
}
