package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"dahliawinch/internal/mesh/frame"
)

// rest is the pause before the next dial; one that got no answer has waited already.
func (s *sender) rest(pause time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent > 0 {
		return rand.N(redial / 2)
	}
	return pause/2 + rand.N(pause)
}

// open dials the peer.
func (s *sender) open(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.dialWait())
	defer cancel()
	c, err := s.h.dial(ctx, s.to)
	s.dialed(err)
	return c, err
}

// dialWait is how long the next dial may take.
func (s *sender) dialWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(dialLeast<<max(0, s.silent-1), dialMost)
}

// dialed takes in how a dial ended.
func (s *sender) dialed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = errors.Is(err, syscall.ECONNREFUSED)
	if err == nil || s.closed {
		s.silent = 0
		return
	}
	s.silent = min(s.silent+1, mostSilent)
}

// absent reports whether the peer's machine or process is not there, as the last dials show. A VM
// that starts waits with its claims for the others of its domain; without this it waits a second
// for one without power, and a played day with a loss of all VMs is worth 0.001 to 0.005 less.
func (s *sender) absent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.silent >= absentAfter
}

// refused reports whether the peer's machine has refused the last dial: no process listens there.
func (s *sender) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// greet exchanges hellos and finds out what the peer has read already.
func (s *sender) greet(c net.Conn, r *bufio.Reader) error {
	if err := c.SetDeadline(time.Now().Add(helloWait)); err != nil {
		return fmt.Errorf("greet %s: %w", s.to, err)
	}
	hello, err := frame.Append(nil, &s.h.self)
	if err != nil {
		return fmt.Errorf("greet %s: %w", s.to, err)
	}
	if _, err := c.Write(hello); err != nil {
		return fmt.Errorf("greet %s: %w", s.to, err)
	}
	m, _, err := frame.Read(r)
	if err != nil {
		return fmt.Errorf("greet %s: %w", s.to, err)
	}
	peer, ok := m.(*frame.Hello)
	if !ok || peer.VM != s.to {
		return fmt.Errorf("greet %s: %w", s.to, errStranger)
	}
	seen, err := readCount(r)
	if err != nil {
		return fmt.Errorf("greet %s: %w", s.to, err)
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("greet %s: %w", s.to, err)
	}
	s.resume(c, peer.Inc, seen)
	return nil
}

var errStranger = errors.New("another VM answers there")
