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

// sender keeps what was cast to one peer until the peer has read it.
//
// What goes wrong without it: a connection between two VMs goes silent, work or
// results that were on their way are lost, and jobs end as unknown although both
// VMs live. One notices unknown outcomes beside healthy members. Reliable frames
// are kept until acknowledged and sent again on the next connection; the peer
// counts them, so none is taken in twice.
type sender struct {
	h    *Hub
	to   netip.AddrPort
	wake chan struct{}
	back chan struct{} // the peer has spoken: no reason to wait with a new connection
	done chan struct{}
	once sync.Once

	mu     sync.Mutex
	inc    uint64   // the peer's incarnation that the kept frames are for
	acked  uint64   // reliable frames that the peer has read
	kept   [][]byte // reliable frames after acked
	next   int      // index in kept of the first not sent on this connection
	loose  [][]byte // frames that may be lost
	bytes  int
	online bool
	conn   net.Conn
	silent int           // dials in a row that got no answer
	closed bool          // the last dial was refused: the machine is there and the process is not
	word   time.Duration // when the last acknowledgement came on this connection, by the hub's clock

	wrote atomic.Int64 // when something was written last, by the hub's clock
}

// mostLoose is how many frames that may be lost wait for a connection to write.
const mostLoose = 16

func newSender(h *Hub, to netip.AddrPort) *sender {
	return &sender{h: h, to: to, wake: make(chan struct{}, 1), back: make(chan struct{}, 1), done: make(chan struct{})}
}

func (s *sender) stop() { s.once.Do(func() { close(s.done) }) }

func (s *sender) add(data []byte, m frame.Msg) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !frame.Reliable(m) {
		switch {
		case !s.online: // the newest is what a peer that comes back should hear first
			s.loose = append(s.loose[:0], data)
		case len(s.loose) < mostLoose:
			s.loose = append(s.loose, data)
		}
		s.poke()
		return nil
	}
	keep := s.online || s.inc != 0 && frame.Answering(m)
	if s.bytes+len(data) > mostKept || !keep {
		s.poke() // the next one may find a connection
		return fmt.Errorf("cast to %s: %w", s.to, ErrFull)
	}
	s.kept = append(s.kept, data)
	s.bytes += len(data)
	s.poke()
	return nil
}

func (s *sender) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// spoken ends the pause before a new connection: a partition has healed, and until
// this VM's own link is up it can send the peer nothing though it hears it. A connection to a former
// incarnation is given up.
//
// What goes wrong without that: a machine loses power and starts again before its connections count as silent.
// What is cast to the new process is kept for the old one, and dropped once the new connection is up. One notices
// jobs that end at their deadline, of an owner that never took them.
func (s *sender) spoken(inc uint64) {
	s.mu.Lock()
	if s.inc != 0 && inc > s.inc {
		s.forget(inc)
	}
	s.mu.Unlock()
	select {
	case s.back <- struct{}{}:
	default:
	}
}

// run holds a connection to the peer while there is something to say.
func (s *sender) run(ctx context.Context) {
	pause := redial
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.done:
			return
		case <-s.wake:
		}
		began := time.Now()
		err := s.connect(ctx)
		s.mu.Lock()
		s.online, s.conn = false, nil
		s.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		s.h.log.Debug("link down", "to", s.to, "err", err)
		if time.Since(began) > redialTop {
			pause = redial // it had worked
		}
		t := time.NewTimer(s.rest(pause))
		select {
		case <-t.C:
		case <-s.back:
			pause = redial
		case <-ctx.Done():
		}
		t.Stop()
		pause = min(2*pause, redialTop)
		s.poke()
	}
}

func (s *sender) connect(ctx context.Context) error {
	c, err := s.open(ctx)
	if err != nil {
		return err
	}
	defer c.Close() //nolint:errcheck // it is given up anyway
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	r := bufio.NewReader(c)
	if err := s.greet(c, r); err != nil {
		return err
	}
	acks := make(chan error, 1)
	go func() { acks <- s.readAcks(r) }()
	for {
		buf := s.batch()
		if len(buf) > 0 {
			if err := c.SetWriteDeadline(time.Now().Add(writeWait)); err != nil {
				return fmt.Errorf("link to %s: %w", s.to, err)
			}
			if _, err := c.Write(s.h.ride(buf, s.to)); err != nil {
				return fmt.Errorf("link to %s: %w", s.to, err)
			}
			s.wrote.Store(int64(s.h.clock()))
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

// resume drops what the peer has read, or all of it for a new incarnation: what
// was meant for the old one must not reach the new one.
func (s *sender) resume(c net.Conn, inc, seen uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if inc != s.inc {
		s.inc, s.acked, s.kept, s.bytes = inc, seen, nil, 0
	}
	s.trim(seen)
	s.next = 0
	s.online, s.conn = true, c
	s.word = s.h.clock()
}

// forget drops what was meant for a former incarnation, and the connection to it; the caller holds the lock.
func (s *sender) forget(inc uint64) {
	s.inc, s.acked, s.kept, s.bytes, s.next = inc, 0, nil, 0, 0
	if s.conn != nil {
		_ = s.conn.Close() // whoever reads and writes it sees that
	}
	s.conn, s.online = nil, false
}

// trim forgets frames up to a count; the caller holds the lock.
func (s *sender) trim(seen uint64) {
	for s.acked < seen && len(s.kept) > 0 {
		s.bytes -= len(s.kept[0])
		s.kept[0] = nil
		s.kept = s.kept[1:]
		s.acked++
		s.next = max(0, s.next-1)
	}
}

// peer returns the incarnation at the other end of an open connection.
func (s *sender) peer() (inc uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inc, s.online
}

// unread counts what a connected peer has not read yet.
func (s *sender) unread() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.online {
		return 0
	}
	return len(s.kept)
}

// batch takes what can be written now.
func (s *sender) batch() (buf []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, data := range s.kept[s.next:] {
		buf = append(buf, data...)
	}
	s.next = len(s.kept)
	for _, data := range s.loose {
		buf = append(buf, data...)
	}
	s.loose = nil
	return buf
}

// counted takes in that an incarnation of the peer has read messages lately, and how many that must
// arrive.
func (s *sender) counted(inc, seen uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.online && inc == s.inc {
		s.word = s.h.clock()
		s.trim(seen)
	}
}

// readAcks trims as the peer reads on.
func (s *sender) readAcks(r *bufio.Reader) error {
	for {
		seen, err := readCount(r)
		if err != nil {
			return fmt.Errorf("link to %s: %w", s.to, err)
		}
		s.mu.Lock()
		s.word = s.h.clock()
		s.trim(seen)
		s.mu.Unlock()
	}
}

// look ends the connection if it is silent: the peer says nothing on any connection, or
// nothing on this one for long.
func (s *sender) look(now time.Duration, w word) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.online {
		return
	}
	said := s.word
	if w.inc == s.inc {
		said = max(said, w.at)
	}
	if now-said > ackWait || now-s.word > ackMost {
		s.h.log.Debug("link silent", "to", s.to, "unacknowledged", now-s.word)
		_ = s.conn.Close() // whoever reads and writes it sees that
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
