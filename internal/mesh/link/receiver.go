package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"net/netip"
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
	all   atomic.Uint64
	// What the peer was last told with a message of this VM's: the messages read by then, of these
	// the ones that must arrive, and when.
	toldAll, toldSeen atomic.Uint64
	toldAt            atomic.Int64
}

// ride adds what was read of a peer to what is about to be written to it.
//
// What goes wrong without it: each of two VMs acknowledges the other's heartbeats two or three times
// a second on the connection that they came by, and at 300 VMs that is two of five messages. Where
// both send heartbeats each tells with its own how far it has read. It does so only if it has read
// something since it last did: the peer takes it for a sign that its own connection works.
func (h *Hub) ride(buf []byte, to netip.AddrPort) []byte {
	h.mu.Lock()
	r := h.in[to]
	h.mu.Unlock()
	if r == nil || !r.from.Counts {
		return buf
	}
	all := r.all.Load()
	if r.toldAll.Swap(all) == all {
		return buf
	}
	m := frame.Seen{Inc: r.from.Inc, Count: r.seen.Load()}
	longer, err := frame.Append(buf, &m)
	if err != nil {
		h.log.Error("message not sent", "kind", frame.Purpose(&m), "err", err)
		return buf
	}
	r.toldSeen.Store(m.Count)
	r.toldAt.Store(int64(h.clock()))
	return longer
}

// counted takes in what a peer has read of this VM.
func (h *Hub) counted(from frame.Hello, m *frame.Seen) {
	h.mu.Lock()
	s := h.out[from.VM]
	h.mu.Unlock()
	if s != nil && m.Inc == h.self.Inc {
		s.counted(from.Inc, m.Count)
	}
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
	h.spoken(*from)
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
	told uint64        // what was last acknowledged
	at   time.Duration // and when, by the hub's clock
}

func (h *Hub) follow(i *inbound) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[i] = true
}

// ack tells a peer how far it was read, also when nothing came: the peer takes a
// connection without any word for silent. False if the connection is of no use any more.
func (i *inbound) ack(wall time.Time, now, idle time.Duration) bool {
	if i.rec.conns.Load() != i.nth {
		return false // a newer connection took over
	}
	seen := i.rec.seen.Load()
	told, at := max(i.told, i.rec.toldSeen.Load()), max(i.at, time.Duration(i.rec.toldAt.Load()))
	if seen == told && now-at < idle {
		return true
	}
	// Acknowledgements are eight bytes: one that finds no room goes to a peer that has not
	// read thousands.
	if i.c.SetWriteDeadline(wall.Add(ackWrite)) != nil {
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
		if seen, ok := m.(*frame.Seen); ok {
			h.counted(rec.from, seen)
			continue
		}
		rec.all.Add(1)
		if frame.Reliable(m) {
			rec.seen.Add(1)
		}
		h.handle(rec.from, m)
	}
}
