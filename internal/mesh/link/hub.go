// Package link carries messages between entry VMs over TCP. Each reliable message
// arrives exactly once and in order at the incarnation that it was sent to, or not
// at all if that incarnation is gone.
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

// Timeouts and intervals of links.
const (
	// minDialTimeout and maxDialTimeout bound the timeout of a dial, which doubles from the second
	// unanswered dial on. They are short because TCP resends the first packet only after a second,
	// too late for a path or a peer's power that came back meanwhile.
	minDialTimeout = 60 * time.Millisecond
	maxDialTimeout = 500 * time.Millisecond
	// maxUnanswered caps the count of unanswered dials; it is enough to reach maxDialTimeout.
	maxUnanswered = 5
	// absentDials is the number of unanswered dials in a row after which a machine counts as
	// absent. A single one may be a lost packet.
	absentDials  = 2
	helloTimeout = time.Second
	writeTimeout = time.Second
	// ackInterval is how often a receiver acknowledges what it has read.
	ackInterval = 100 * time.Millisecond
	// idleAckInterval is how often it does so while it has read no new reliable message.
	// ackWriteTimeout bounds the write of an acknowledgement.
	idleAckInterval = 200 * time.Millisecond
	ackWriteTimeout = 20 * time.Millisecond
	// busyAckInterval replaces idleAckInterval while the receiver sends messages of its own to
	// the peer, which also show that the path works. With 75 VMs in a failure domain, idle
	// acknowledgements would be half of all messages. With the time to the next check it is
	// 400 ms, less than silenceTimeout even if those messages are lost.
	busyAckInterval = 350 * time.Millisecond
	// busyWindow is how recent the receiver's last own message must be for busyAckInterval to apply:
	// a little longer than the longest interval between heartbeats.
	busyWindow = 400 * time.Millisecond
	// silenceTimeout is how long a sender waits without any message from the peer before it
	// replaces the connection. ackTimeout is how long it waits without an acknowledgement while the
	// peer still sends over its own link: a device on the path may have dropped the state of this
	// connection only. An owner ends the jobs of a VM whose keepalives are missing for 1.5 times
	// that long.
	silenceTimeout = 500 * time.Millisecond
	ackTimeout     = busyAckInterval + 3*ackInterval
	// minRedialPause is the pause after a lost link. It doubles up to maxRedialPause, with random
	// jitter so that not all VMs dial at once when a partition heals.
	minRedialPause = 100 * time.Millisecond
	maxRedialPause = 300 * time.Millisecond
)

// MaxReconnect is the longest time until a link is up again after its path has healed, if both
// VMs are alive and not overloaded.
const MaxReconnect = maxDialTimeout + maxRedialPause*3/2

// maxKeptBytes bounds the unacknowledged bytes that are kept for one peer.
const maxKeptBytes = 2 * frame.MaxPayload

// ErrFull is returned for a message that was neither sent nor queued.
var ErrFull = errors.New("no connection to the peer, or its queue is full")

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// DialTCP is a Dialer for plain TCP.
func DialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	return c, nil
}

// Handler handles a received message. It is called for one message of a peer at a time.
type Handler func(from frame.Hello, m frame.Msg)

// Counter counts bytes by purpose and direction ("in" or "out").
type Counter func(purpose, way string, n int)

// Hub holds the links of one VM.
type Hub struct {
	self    frame.Hello
	dial    Dialer
	handle  Handler
	count   Counter
	log     *slog.Logger
	ctx     context.Context //nolint:containedctx // ends when the hub stops
	started time.Time

	mu        sync.Mutex
	senders   map[netip.AddrPort]*sender
	receivers map[netip.AddrPort]*receiver
	// inbounds are the open connections that peers have dialed.
	inbounds map[*inbound]bool
}

// New returns a hub that works once Run is called.
func New(self frame.Hello, dial Dialer, handle Handler, count Counter, log *slog.Logger) *Hub {
	self.Counts = true
	return &Hub{
		self: self, dial: dial, handle: handle, count: count, log: log, started: time.Now(),
		senders: map[netip.AddrPort]*sender{}, receivers: map[netip.AddrPort]*receiver{}, inbounds: map[*inbound]bool{},
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
	g.Go(func() error { return h.maintain(ctx) })
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

// Send implements flow.Mesh.
func (h *Hub) Send(to netip.AddrPort, m frame.Msg) error {
	data, err := frame.Append(nil, m)
	if err != nil {
		return fmt.Errorf("send to %s: %w", to, err)
	}
	s := h.sender(to)
	if s == nil {
		return fmt.Errorf("send to %s: %w", to, ErrFull)
	}
	h.count(frame.Purpose(m), "out", len(data))
	return s.enqueue(data, m)
}

// SendAll implements serve.Mesh. It encodes the message once for all.
func (h *Hub) SendAll(to []netip.AddrPort, m frame.Msg) {
	data, err := frame.Append(nil, m)
	if err != nil {
		h.log.Error("message not sent", "kind", frame.Purpose(m), "err", err)
		return
	}
	packed := frame.Pack(data)
	for _, vm := range to {
		d := data
		if h.isExtended(vm) {
			d = packed
		}
		h.count(frame.Purpose(m), "out", len(d))
		if s := h.sender(vm); s != nil {
			_ = s.enqueue(d, m) // an unreliable message is never rejected
		}
	}
}

// isExtended reports whether a peer has announced that it reads packed messages.
func (h *Hub) isExtended(vm netip.AddrPort) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.receivers[vm]
	return r != nil && r.from.Counts
}

// sender returns the sender to a VM, started if need be, or nil before the hub runs.
func (h *Hub) sender(to netip.AddrPort) *sender {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.senders[to]
	if s == nil && h.ctx != nil {
		s = newSender(h, to)
		h.senders[to] = s
		go s.run(h.ctx)
	}
	return s
}

// peerOpened notifies the sender to a VM that an incarnation of that VM opened a link.
func (h *Hub) peerOpened(from frame.Hello) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.senders[from.VM]; s != nil {
		s.peerOpened(from.Inc)
	}
}

// Absent implements serve.Mesh.
func (h *Hub) Absent(vm netip.AddrPort) bool {
	h.mu.Lock()
	s := h.senders[vm]
	h.mu.Unlock()
	return s != nil && s.absent()
}

// Refused implements serve.Mesh.
func (h *Hub) Refused(vm netip.AddrPort) bool {
	h.mu.Lock()
	s := h.senders[vm]
	h.mu.Unlock()
	return s != nil && s.refused()
}

// Connect implements flow.Mesh.
func (h *Hub) Connect(ctx context.Context, vm netip.AddrPort) (uint64, error) {
	s := h.sender(vm)
	for s != nil {
		if inc, ok := s.connectedInc(); ok {
			return inc, nil
		}
		s.notify()
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("connect to %s: %w", vm, ctx.Err())
		case <-time.After(connectPoll):
		}
	}
	return 0, fmt.Errorf("connect to %s: %w", vm, ErrFull)
}

// connectPoll is how often Connect checks whether the link is up.
const connectPoll = 5 * time.Millisecond

// Flush waits until all connected peers have acknowledged what was sent to them, so
// that no result is lost when the process ends.
func (h *Hub) Flush(ctx context.Context) error {
	for {
		h.mu.Lock()
		kept := 0
		for _, s := range h.senders {
			kept += s.unacked()
		}
		h.mu.Unlock()
		if kept == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("flush %d messages: %w", kept, ctx.Err())
		case <-time.After(ackInterval / 4):
		}
	}
}

// Forget stops the sender to a VM that is no longer a member.
func (h *Hub) Forget(vm netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.senders[vm]; s != nil {
		s.stop()
		delete(h.senders, vm)
	}
}

// receiver returns the receiver for an incarnation, a new one if it is newer than the last
// known, or nil if it is older.
func (h *Hub) receiver(from frame.Hello) *receiver {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.receivers[from.VM]
	if r == nil || r.from.Inc != from.Inc {
		if r != nil && r.from.Inc > from.Inc {
			return nil // a late connection from a replaced process
		}
		r = &receiver{from: from}
		h.receivers[from.VM] = r
	}
	return r
}
