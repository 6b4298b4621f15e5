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
}

// serve reads one connection that a peer opened.
func (h *Hub) serve(ctx context.Context, c net.Conn) {
	defer c.Close() //nolint:errcheck // it is given up anyway
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if c.SetDeadline(time.Now().Add(helloWait)) != nil {
		return
	}
	r := bufio.NewReaderSize(c, 64<<10)
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
	go h.ack(c, rec, nth)
	h.listen(r, rec, nth)
}

// ack says how far the peer was read, also when nothing came: the peer takes a
// connection without any word for silent.
func (h *Hub) ack(c net.Conn, rec *receiver, nth uint64) {
	t := time.NewTicker(ackEvery)
	defer t.Stop()
	for range t.C {
		if rec.conns.Load() != nth {
			_ = c.Close() // a newer connection took over
			return
		}
		if c.SetWriteDeadline(time.Now().Add(writeWait)) != nil {
			return
		}
		if _, err := c.Write(binary.BigEndian.AppendUint64(nil, rec.seen.Load())); err != nil {
			_ = c.Close()
			return
		}
	}
}

func (h *Hub) listen(r *bufio.Reader, rec *receiver, nth uint64) {
	for rec.conns.Load() == nth {
		m, n, err := frame.Read(r)
		if err != nil {
			return
		}
		h.count(frame.Purpose(m), "in", n)
		if frame.Reliable(m) {
			rec.seen.Add(1)
		}
		h.handle(rec.from, m)
	}
}
