package grid

import (
	"fmt"
	"io"
	"sync"
)

// lockedWriter lets the loggers of all VMs, each with a lock of its own, share one writer.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, err := l.w.Write(p)
	if err != nil {
		return n, fmt.Errorf("write log: %w", err)
	}
	return n, nil
}
