package link

import (
	"context"
	"net/netip"
	"time"
)

// tend says on every connection how far it was read and looks for silent ones, until ctx
// ends. One timer serves all: one for each connection would wake a VM a thousand times a
// second in a large deployment.
func (h *Hub) tend(ctx context.Context) error {
	t := time.NewTicker(ackEvery)
	defer t.Stop()
	for last := h.clock(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := h.clock()
		h.acks(now)
		// A VM that stood still has read nothing meanwhile: that says nothing of its peers.
		if now-last < ackWait/2 {
			h.silences(now)
		}
		last = now
	}
}

// acks says on each connection how far it was read.
func (h *Hub) acks(now time.Duration) {
	type due struct {
		i    *inbound
		idle time.Duration
	}
	h.mu.Lock()
	all := make([]due, 0, len(h.heard))
	for i := range h.heard {
		idle := ackIdle
		if s := h.out[i.rec.from.VM]; s != nil && now-time.Duration(s.wrote.Load()) < spokeLast {
			idle = ackRest
		}
		all = append(all, due{i, idle})
	}
	h.mu.Unlock()
	wall := time.Now()
	for _, d := range all {
		if !d.i.ack(wall, now, d.idle) {
			_ = d.i.c.Close()
			h.mu.Lock()
			delete(h.heard, d.i)
			h.mu.Unlock()
		}
	}
}

// silences ends connections without word, so that new ones take their place.
func (h *Hub) silences(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for vm, s := range h.out {
		s.look(now, h.word(vm))
	}
}

// word is when and from which incarnation a VM's last message came; the caller holds the
// lock.
func (h *Hub) word(vm netip.AddrPort) (w word) {
	if r := h.in[vm]; r != nil {
		w = word{time.Duration(r.word.Load()), r.from.Inc}
	}
	return w
}

// word is a sign of life of a VM.
type word struct {
	at  time.Duration // by the hub's clock
	inc uint64
}

// clock is the time since the hub was made.
func (h *Hub) clock() time.Duration { return time.Since(h.began) }
