package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/mesh/frame"
)

// receiver counts what was read of one incarnation of a peer, over all its
// connections.
type receiver struct {
	from  frame.Hello
	mu    sync.Mutex // one connection of the peer at a time
	conns atomic.Uint64
	seen  atomic.Uint64
	word  atomic.Int64 // when the last message was read, by the hub's clock
}

// readBytes is the buffer of a connection: some forty heartbeats. One of 64 KB for each of 67 peers
// was 4.3 of 5.4 MB of all that a VM held among 97 (heap profile of a played day).
const readBytes = 4 << 10

// serve reads one connection that a peer opened.
func (h *Hub) serve(ctx context.Context, c net.Conn) {
	defer c.Close() //nolint:errcheck // it is given up anyway
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if c.SetDeadline(time.Now().Add(helloWait)) != nil {
		return
	}
	r := bufio.NewReaderSize(c, readBytes)
	m, _, err := frame.Read(r)
	if err != nil {
		h.log.Debug("link refused", "remote", c.RemoteAddr(), "err", err)
		return
	}
	from, ok := m.(*frame.Hello)
	if !ok {
		return
	}
	rec := h.receiver(*from)
	if rec == nil {
		return
	}
	h.spoken(from.VM)
	nth := rec.conns.Add(1)
	rec.mu.Lock() // the older connection of the peer ends first
	defer rec.mu.Unlock()
	hello, err := frame.Append(nil, &h.self)
	if err != nil {
		return
	}
	if _, err := c.Write(binary.BigEndian.AppendUint64(hello, rec.seen.Load())); err != nil {
		return
	}
	if c.SetDeadline(time.Time{}) != nil {
		return
	}
	h.follow(&inbound{c: c, rec: rec, nth: nth})
	h.listen(r, rec, nth)
}

// inbound is a connection whose peer waits for acknowledgements.
type inbound struct {
	c    net.Conn
	rec  *receiver
	nth  uint64
	told uint64    // what was last acknowledged
	at   time.Time // and when
}

func (h *Hub) follow(i *inbound) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[i] = true
}

// ack tells a peer how far it was read, also when nothing came: the peer takes a
// connection without any word for silent. False if the connection is of no use any more.
func (i *inbound) ack(now time.Time, idle time.Duration) bool {
	if i.rec.conns.Load() != i.nth {
		return false // a newer connection took over
	}
	seen := i.rec.seen.Load()
	if seen == i.told && now.Sub(i.at) < idle {
		return true
	}
	// Acknowledgements are eight bytes: one that finds no room goes to a peer that has not
	// read thousands.
	if i.c.SetWriteDeadline(now.Add(ackWrite)) != nil {
		return false
	}
	_, err := i.c.Write(binary.BigEndian.AppendUint64(nil, seen))
	i.told, i.at = seen, now
	return err == nil
}

func (h *Hub) listen(r *bufio.Reader, rec *receiver, nth uint64) {
	for rec.conns.Load() == nth {
		m, n, err := frame.Read(r)
		if err != nil {
			return
		}
		h.count(frame.Purpose(m), "in", n)
		rec.word.Store(int64(h.clock()))
		if frame.Reliable(m) {
			rec.seen.Add(1)
		}
		h.handle(rec.from, m)
	}
}
