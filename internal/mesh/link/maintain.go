package link

import (
	"context"
	"net/netip"
	"time"
)

// maintain sends acknowledgements on inbound connections and closes silent outbound ones until
// ctx ends. One timer serves all connections: a timer for each would wake a VM a thousand
// times a second in a large deployment.
func (h *Hub) maintain(ctx context.Context) error {
	t := time.NewTicker(ackInterval)
	defer t.Stop()
	for last := h.clock(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := h.clock()
		h.sendAcks(now)
		// After a pause of this process its peers only seem silent, as nothing was read.
		if now-last < silenceTimeout/2 {
			h.closeSilent(now)
		}
		last = now
	}
}

// sendAcks sends the acknowledgements that are due on inbound connections.
func (h *Hub) sendAcks(now time.Duration) {
	type due struct {
		i    *inbound
		idle time.Duration
	}
	h.mu.Lock()
	all := make([]due, 0, len(h.inbounds))
	for i := range h.inbounds {
		idle := idleAckInterval
		if s := h.senders[i.rec.from.VM]; s != nil && now-time.Duration(s.lastWrite.Load()) < busyWindow {
			idle = busyAckInterval
		}
		all = append(all, due{i, idle})
	}
	h.mu.Unlock()
	wall := time.Now()
	for _, d := range all {
		if !d.i.sendAck(wall, now, d.idle) {
			_ = d.i.c.Close()
			h.mu.Lock()
			delete(h.inbounds, d.i)
			h.mu.Unlock()
		}
	}
}

// closeSilent closes silent connections, so that new ones replace them.
func (h *Hub) closeSilent(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for vm, s := range h.senders {
		s.closeIfSilent(now, h.lastMessage(vm))
	}
}

// lastMessage returns when a VM's last message was read and from which incarnation. The
// caller holds h.mu.
func (h *Hub) lastMessage(vm netip.AddrPort) (last lastMessage) {
	if r := h.receivers[vm]; r != nil {
		last = lastMessage{time.Duration(r.lastRead.Load()), r.from.Inc}
	}
	return last
}

// lastMessage is the time and origin of the last message read from a VM.
type lastMessage struct {
	at  time.Duration // by the hub's clock
	inc uint64
}

// clock returns the time since the hub was created.
func (h *Hub) clock() time.Duration { return time.Since(h.started) }
