package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/mesh/frame"
)

// sender sends messages to one peer. Reliable frames are kept until acknowledged and
// sent again on the next connection; the peer counts them, so none is handled twice.
//
// Without this, work or results in transit are lost when a connection goes silent, and
// jobs end as unknown although both VMs are alive and healthy.
type sender struct {
	h      *Hub
	to     netip.AddrPort
	wake   chan struct{}
	peerUp chan struct{} // the peer has opened a link: dial again at once
	done   chan struct{}
	once   sync.Once

	mu          sync.Mutex
	inc         uint64   // the peer's incarnation that the kept frames are for
	acked       uint64   // number of reliable frames that the peer has read
	kept        [][]byte // reliable frames that are not acknowledged yet
	next        int      // index in kept of the first frame not sent on this connection
	unreliable  [][]byte // frames that may be lost
	keptBytes   int
	online      bool
	conn        net.Conn
	unanswered  int           // unanswered dials in a row
	dialRefused bool          // the last dial was refused: the machine is up, the process does not run
	lastAck     time.Duration // time of the last acknowledgement for this connection, by the hub's clock

	lastWrite atomic.Int64 // time of the last write, by the hub's clock
}

// maxUnreliable is the number of unreliable frames that are queued for an open connection.
const maxUnreliable = 16

func newSender(h *Hub, to netip.AddrPort) *sender {
	return &sender{h: h, to: to, wake: make(chan struct{}, 1), peerUp: make(chan struct{}, 1), done: make(chan struct{})}
}

func (s *sender) stop() { s.once.Do(func() { close(s.done) }) }

func (s *sender) enqueue(data []byte, m frame.Msg) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !frame.Reliable(m) {
		switch {
		case !s.online: // a peer that comes back needs only the newest
			s.unreliable = append(s.unreliable[:0], data)
		case len(s.unreliable) < maxUnreliable:
			s.unreliable = append(s.unreliable, data)
		}
		s.notify()
		return nil
	}
	keep := s.online || s.inc != 0 && frame.Answering(m)
	if s.keptBytes+len(data) > maxKeptBytes || !keep {
		s.notify() // connect for the next message
		return fmt.Errorf("send to %s: %w", s.to, ErrFull)
	}
	s.kept = append(s.kept, data)
	s.keptBytes += len(data)
	s.notify()
	return nil
}

func (s *sender) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// peerOpened ends the pause before the next dial when the peer has opened a link: a partition has
// healed, and this VM can receive from the peer but not send to it until its own link is up. It also
// drops a connection to a former incarnation.
//
// Without that, if a machine loses power and restarts before its connections count as silent, messages
// for the new process are queued for the old one and dropped when the new connection is up. Jobs
// then run into their deadline because their owner never received them.
func (s *sender) peerOpened(inc uint64) {
	s.mu.Lock()
	if s.inc != 0 && inc > s.inc {
		s.reset(inc)
	}
	s.mu.Unlock()
	select {
	case s.peerUp <- struct{}{}:
	default:
	}
}

// run connects to the peer when there is something to send, and again after each lost connection.
func (s *sender) run(ctx context.Context) {
	pause := minRedialPause
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.done:
			return
		case <-s.wake:
		}
		started := time.Now()
		err := s.connect(ctx)
		s.mu.Lock()
		s.online, s.conn = false, nil
		s.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		s.h.log.Debug("link down", "to", s.to, "err", err)
		if time.Since(started) > maxRedialPause {
			pause = minRedialPause // the connection had worked
		}
		t := time.NewTimer(s.redialPause(pause))
		select {
		case <-t.C:
		case <-s.peerUp:
			pause = minRedialPause
		case <-ctx.Done():
		}
		t.Stop()
		pause = min(2*pause, maxRedialPause)
		s.notify()
	}
}

func (s *sender) connect(ctx context.Context) error {
	c, err := s.dial(ctx)
	if err != nil {
		return err
	}
	defer c.Close() //nolint:errcheck // it is given up anyway
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	r := bufio.NewReader(c)
	if err := s.handshake(c, r); err != nil {
		return err
	}
	acks := make(chan error, 1)
	go func() { acks <- s.readAcks(r) }()
	for {
		buf := s.batch()
		if len(buf) > 0 {
			if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return fmt.Errorf("link to %s: %w", s.to, err)
			}
			if _, err := c.Write(s.h.appendAck(buf, s.to)); err != nil {
				return fmt.Errorf("link to %s: %w", s.to, err)
			}
			s.lastWrite.Store(int64(s.h.clock()))
			continue
		}
		select {
		case err := <-acks:
			return err
		case <-s.wake:
		case <-s.done:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// resume starts sending on a new connection. It drops the frames that the peer has read, or all
// if the peer is a new incarnation, which must not get messages for the old one.
func (s *sender) resume(c net.Conn, inc, count uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if inc != s.inc {
		s.inc, s.acked, s.kept, s.keptBytes = inc, count, nil, 0
	}
	s.trim(count)
	s.next = 0
	s.online, s.conn = true, c
	s.lastAck = s.h.clock()
}

// reset drops the frames for a former incarnation and the connection to it. The caller holds s.mu.
func (s *sender) reset(inc uint64) {
	s.inc, s.acked, s.kept, s.keptBytes, s.next = inc, 0, nil, 0, 0
	if s.conn != nil {
		_ = s.conn.Close() // its reader and writer fail and stop
	}
	s.conn, s.online = nil, false
}

// trim drops the kept frames that are among the first count reliable ones. The caller holds s.mu.
func (s *sender) trim(count uint64) {
	for s.acked < count && len(s.kept) > 0 {
		s.keptBytes -= len(s.kept[0])
		s.kept[0] = nil
		s.kept = s.kept[1:]
		s.acked++
		s.next = max(0, s.next-1)
	}
}

// connectedInc returns the peer's incarnation and whether a connection to it is open.
func (s *sender) connectedInc() (inc uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inc, s.online
}

// unacked returns how many reliable frames a connected peer has not acknowledged.
func (s *sender) unacked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.online {
		return 0
	}
	return len(s.kept)
}

// batch returns the frames that can be written now, as one buffer.
func (s *sender) batch() (buf []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, data := range s.kept[s.next:] {
		buf = append(buf, data...)
	}
	s.next = len(s.kept)
	for _, data := range s.unreliable {
		buf = append(buf, data...)
	}
	s.unreliable = nil
	return buf
}

// handleAck records that an incarnation of the peer has read messages lately, and how many reliable
// ones in all.
func (s *sender) handleAck(inc, count uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.online && inc == s.inc {
		s.lastAck = s.h.clock()
		s.trim(count)
	}
}

// readAcks reads acknowledgements and drops the frames that they cover.
func (s *sender) readAcks(r *bufio.Reader) error {
	for {
		count, err := readCount(r)
		if err != nil {
			return fmt.Errorf("link to %s: %w", s.to, err)
		}
		s.mu.Lock()
		s.lastAck = s.h.clock()
		s.trim(count)
		s.mu.Unlock()
	}
}

// closeIfSilent closes the connection if the peer has sent nothing on any connection for
// silenceTimeout, or no acknowledgement for ackTimeout.
func (s *sender) closeIfSilent(now time.Duration, last lastMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.online {
		return
	}
	heard := s.lastAck
	if last.inc == s.inc {
		heard = max(heard, last.at)
	}
	if now-heard > silenceTimeout || now-s.lastAck > ackTimeout {
		s.h.log.Debug("link silent", "to", s.to, "unacknowledged", now-s.lastAck)
		_ = s.conn.Close() // its reader and writer fail and stop
		s.conn, s.online = nil, false
	}
}

func readCount(r *bufio.Reader) (uint64, error) {
	var b [8]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return 0, fmt.Errorf("read count: %w", err)
	}
	return binary.BigEndian.Uint64(b[:]), nil
}
