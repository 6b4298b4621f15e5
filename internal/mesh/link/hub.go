// Package link carries messages between entry VMs over TCP: each reliable message
// arrives once and in order at the incarnation that it was meant for, or not at
// all because that incarnation is gone.
package link

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dahliawinch/internal/mesh/frame"
)

// Times of the links.
const (
	// dialLeast and dialMost bound a dial. They are short, since one that began while the path
	// was cut, or the peer had no power, is not answered later: the first packet is sent again
	// only after a second. The bound doubles from the second dial without an answer on.
	dialLeast = 60 * time.Millisecond
	dialMost  = 500 * time.Millisecond
	// mostSilent is up to how many dials without an answer are counted: enough for dialMost.
	mostSilent = 5
	// absentAfter is how many dials in a row without an answer show that a machine is not
	// there: a lost packet is one.
	absentAfter = 2
	helloWait   = time.Second
	writeWait   = time.Second
	// ackEvery is how often a receiver says how far it has read.
	ackEvery = 100 * time.Millisecond
	// ackIdle is how often while it has read nothing new that must arrive, and ackWrite
	// bounds the writing of one.
	ackIdle  = 200 * time.Millisecond
	ackWrite = 20 * time.Millisecond
	// ackRest takes the place of ackIdle while the receiver's own messages reach the peer:
	// they show as well that the path between the two works. With 75 VMs in a failure
	// domain idle acknowledgements would be half of all messages. With the time to the next
	// look it is 400 ms, and less than ackWait even if the messages were lost.
	ackRest = 350 * time.Millisecond
	// spokeLast is how long ago the receiver's own message may be for that: somewhat longer
	// than the slowest heartbeats are apart.
	spokeLast = 400 * time.Millisecond
	// ackWait is how long a sender does without any word of the peer before it takes the
	// connection for silent and opens a new one, and ackMost how long without an
	// acknowledgement while the peer speaks over its own link: something on the way has
	// forgotten this connection alone. An owner ends the jobs of a VM whose keepalives stay
	// out for that long and half as long again.
	ackWait = 500 * time.Millisecond
	ackMost = ackRest + 3*ackEvery
	// redial is the pause after a lost link; it doubles up to redialTop, and half of
	// it is random, so that a healed partition is not met by all VMs at once.
	redial    = 100 * time.Millisecond
	redialTop = 300 * time.Millisecond
)

// Heal is how long after a path has healed a link over it is up at the latest, if both VMs
// live and have time.
const Heal = dialMost + redialTop*3/2

// mostKept bounds the bytes kept for one peer until they are acknowledged.
const mostKept = 2 * frame.Most

// ErrFull is returned for a message that can't be kept; it was not sent.
var ErrFull = errors.New("too much waits for the peer")

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// TCP dials plainly.
func TCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	return c, nil
}

// Handler takes in messages; it is called for one message of a peer at a time.
type Handler func(from frame.Hello, m frame.Msg)

// Counter counts bytes by purpose and way.
type Counter func(purpose, way string, n int)

// Hub holds the links of one VM.
type Hub struct {
	self   frame.Hello
	dial   Dialer
	handle Handler
	count  Counter
	log    *slog.Logger
	ctx    context.Context //nolint:containedctx // the life of the hub
	began  time.Time

	mu  sync.Mutex
	out map[netip.AddrPort]*sender
	in  map[netip.AddrPort]*receiver
	// heard are the connections that are read.
	heard map[*inbound]bool
}

// New returns a hub; Run serves it.
func New(self frame.Hello, dial Dialer, handle Handler, count Counter, log *slog.Logger) *Hub {
	self.Counts = true
	return &Hub{
		self: self, dial: dial, handle: handle, count: count, log: log, began: time.Now(),
		out: map[netip.AddrPort]*sender{}, in: map[netip.AddrPort]*receiver{}, heard: map[*inbound]bool{},
	}
}

// Run accepts links until ctx ends.
func (h *Hub) Run(ctx context.Context, l net.Listener) error {
	h.mu.Lock()
	h.ctx = ctx
	h.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	g.Go(func() error { return h.tend(ctx) })
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				return fmt.Errorf("accept link: %w", err)
			}
			g.Go(func() error {
				h.serve(ctx, c)
				return nil
			})
		}
	})
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("run hub: %w", err)
	}
	return nil
}

// Cast implements flow.Mesh.
func (h *Hub) Cast(to netip.AddrPort, m frame.Msg) error {
	data, err := frame.Append(nil, m)
	if err != nil {
		return fmt.Errorf("cast to %s: %w", to, err)
	}
	s := h.sender(to)
	if s == nil {
		return fmt.Errorf("cast to %s: %w", to, ErrFull)
	}
	h.count(frame.Purpose(m), "out", len(data))
	return s.add(data, m)
}

// Spread implements serve.Mesh: it codes the message once.
func (h *Hub) Spread(to []netip.AddrPort, m frame.Msg) {
	data, err := frame.Append(nil, m)
	if err != nil {
		h.log.Error("message not sent", "kind", frame.Purpose(m), "err", err)
		return
	}
	packed := frame.Pack(data)
	for _, vm := range to {
		d := data
		if h.understands(vm) {
			d = packed
		}
		h.count(frame.Purpose(m), "out", len(d))
		if s := h.sender(vm); s != nil {
			_ = s.add(d, m) // what may be lost is always taken
		}
	}
}

// understands reports whether a peer has said that it reads what is packed.
func (h *Hub) understands(vm netip.AddrPort) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.in[vm]
	return r != nil && r.from.Counts
}

// sender returns the sender to a VM; nil before the hub runs.
func (h *Hub) sender(to netip.AddrPort) *sender {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.out[to]
	if s == nil && h.ctx != nil {
		s = newSender(h, to)
		h.out[to] = s
		go s.run(h.ctx)
	}
	return s
}

// spoken tells the sender to a VM that an incarnation of the VM has opened a link.
func (h *Hub) spoken(from frame.Hello) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.out[from.VM]; s != nil {
		s.spoken(from.Inc)
	}
}

// Absent implements serve.Mesh.
func (h *Hub) Absent(vm netip.AddrPort) bool {
	h.mu.Lock()
	s := h.out[vm]
	h.mu.Unlock()
	return s != nil && s.absent()
}

// Refused implements serve.Mesh.
func (h *Hub) Refused(vm netip.AddrPort) bool {
	h.mu.Lock()
	s := h.out[vm]
	h.mu.Unlock()
	return s != nil && s.refused()
}

// Reach implements flow.Mesh.
func (h *Hub) Reach(ctx context.Context, vm netip.AddrPort) (uint64, error) {
	s := h.sender(vm)
	for s != nil {
		if inc, ok := s.peer(); ok {
			return inc, nil
		}
		s.poke()
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("reach %s: %w", vm, ctx.Err())
		case <-time.After(reachLook):
		}
	}
	return 0, fmt.Errorf("reach %s: %w", vm, ErrFull)
}

// reachLook is how often Reach looks whether the link is up.
const reachLook = 5 * time.Millisecond

// Flush waits until the peers that have a connection have read what was cast to
// them, so that a process that ends takes no result with it.
func (h *Hub) Flush(ctx context.Context) error {
	for {
		h.mu.Lock()
		kept := 0
		for _, s := range h.out {
			kept += s.unread()
		}
		h.mu.Unlock()
		if kept == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("flush %d messages: %w", kept, ctx.Err())
		case <-time.After(ackEvery / 4):
		}
	}
}

// Forget drops the sender of a VM that is no member any more.
func (h *Hub) Forget(vm netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.out[vm]; s != nil {
		s.stop()
		delete(h.out, vm)
	}
}

// receiver returns what was read of an incarnation; a newer one starts afresh.
func (h *Hub) receiver(from frame.Hello) *receiver {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.in[from.VM]
	if r == nil || r.from.Inc != from.Inc {
		if r != nil && r.from.Inc > from.Inc {
			return nil // a late connection of a process that was replaced
		}
		r = &receiver{from: from}
		h.in[from.VM] = r
	}
	return r
}
