package flow

import (
	"time"

	"dahliawinch/internal/task/job"
)

// parkDelay is the time after which a parked task requests a retry again.
const parkDelay = 100 * time.Millisecond

// park holds back a refused task while the retry budget is empty. Requeueing it at
// once would multiply refusals under overload; failing its job would lose work that can
// still finish in time.
func (n *Node) park(w *work, domain string, retry func()) {
	n.deps.Timers.After(parkDelay, func() {
		switch {
		case n.ctx.Err() != nil || w.settled():
		case n.takeRetry(n.now(), domain) == job.NoReason:
			retry()
			n.pump()
		default:
			n.park(w, domain, retry)
		}
	})
}
