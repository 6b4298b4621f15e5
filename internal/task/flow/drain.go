package flow

import (
	"context"
	"fmt"
	"time"
)

// drainLook is how often a draining node looks whether it is empty.
const drainLook = 20 * time.Millisecond

// Drain takes no more work of its own and returns when nothing is in progress
// house. New submissions that still arrive, because the balancer learns of the
// leaving late, are handed to peers.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	n.parts.Log.Info("draining", "active", n.active.Load())
	n.rehome()
	n.beat() // peers take over the endpoints now, not a beat later
	for n.active.Load() > 0 || n.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain with %d jobs left: %w", n.active.Load(), ctx.Err())
		case <-time.After(drainLook):
		}
	}
	return nil
}

// Draining reports whether Drain was called.
func (n *Node) Draining() bool { return n.draining.Load() }

// Active is the number of submissions in progress here.
func (n *Node) Active() int { return int(n.active.Load()) }
