package flow

import (
	"time"

	"dahliawinch/internal/task/job"
)

// parkFor is how long a refused task waits before it asks again for a retry.
const parkFor = 100 * time.Millisecond

// park holds back a refused task while the retry budget is empty. Queueing it at
// once would multiply refusals under the overload that caused them; failing its
// job would lose work that can still be done in time.
func (n *Node) park(w *work, domain string, retry func()) {
	n.parts.Timers.After(parkFor, func() {
		switch {
		case n.ctx.Err() != nil || w.settled():
		case n.retry(n.now(), domain) == job.NoReason:
			retry()
			n.pump()
		default:
			n.park(w, domain, retry)
		}
	})
}
