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

// redialPause returns the pause before the next dial. It is short after an unanswered dial,
// which has waited already.
func (s *sender) redialPause(pause time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unanswered > 0 {
		return rand.N(minRedialPause / 2)
	}
	return pause/2 + rand.N(pause)
}

// dial opens a connection to the peer.
func (s *sender) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.dialTimeout())
	defer cancel()
	c, err := s.h.dial(ctx, s.to)
	s.recordDial(err)
	return c, err
}

// dialTimeout returns the timeout of the next dial.
func (s *sender) dialTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(minDialTimeout<<max(0, s.unanswered-1), maxDialTimeout)
}

// recordDial records the result of a dial.
func (s *sender) recordDial(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialRefused = errors.Is(err, syscall.ECONNREFUSED)
	if err == nil || s.dialRefused {
		s.unanswered = 0
		return
	}
	s.unanswered = min(s.unanswered+1, maxUnanswered)
}

// absent reports whether, by the last dials, the peer's machine is down or its process does not run.
// A starting VM holds back its claims until the others of its domain are heard. Without this check
// it waits a second for one without power, which costs 0.001 to 0.005 of the score of a simulated
// day with a loss of all VMs.
func (s *sender) absent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dialRefused || s.unanswered >= absentDials
}

// refused reports whether the peer's machine refused the last dial, so that no process listens there.
func (s *sender) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dialRefused
}

// handshake exchanges Hello messages and learns how many messages the peer has already read.
func (s *sender) handshake(c net.Conn, r *bufio.Reader) error {
	if err := c.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return fmt.Errorf("handshake with %s: %w", s.to, err)
	}
	hello, err := frame.Append(nil, &s.h.self)
	if err != nil {
		return fmt.Errorf("handshake with %s: %w", s.to, err)
	}
	if _, err := c.Write(hello); err != nil {
		return fmt.Errorf("handshake with %s: %w", s.to, err)
	}
	m, _, err := frame.Read(r)
	if err != nil {
		return fmt.Errorf("handshake with %s: %w", s.to, err)
	}
	peer, ok := m.(*frame.Hello)
	if !ok || peer.VM != s.to {
		return fmt.Errorf("handshake with %s: %w", s.to, errWrongPeer)
	}
	count, err := readCount(r)
	if err != nil {
		return fmt.Errorf("handshake with %s: %w", s.to, err)
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("handshake with %s: %w", s.to, err)
	}
	s.resume(c, peer.Inc, count)
	return nil
}

var errWrongPeer = errors.New("another VM answers at the peer's address")
