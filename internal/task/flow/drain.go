package flow

import (
	"context"
	"fmt"
	"time"
)

// drainPoll is the interval at which a draining node checks whether it is idle.
const drainPoll = 20 * time.Millisecond

// Drain stops taking work and returns when nothing is in progress. Submissions that
// still arrive, because the balancer notices the drain late, are forwarded to peers.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	n.deps.Log.Info("draining", "active", n.active.Load())
	n.rehome()
	n.beat() // peers take over the endpoints now, not a heartbeat later
	for n.active.Load() > 0 || n.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain with %d jobs left: %w", n.active.Load(), ctx.Err())
		case <-time.After(drainPoll):
		}
	}
	return nil
}

// Draining reports whether Drain was called.
func (n *Node) Draining() bool { return n.draining.Load() }

// Active returns the number of submissions in progress on this VM.
func (n *Node) Active() int { return int(n.active.Load()) }
