package flow

import (
	"math"
	"math/rand/v2"
	"time"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/task/job"
)

const (
	// waitMargin scales the predicted wait, since jobs that arrive later may start first.
	waitMargin = 1.25
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
	// MaxGrant is the largest number of tickets in one grant.
	MaxGrant = 256
)

// validate checks a submission against the document, whatever the load, and fills in
// its defaults.
func (n *Node) validate(c *conf, req *job.Request) *job.Answer {
	class, ok := c.doc.Classes[req.Class]
	limits := c.doc.Limits
	switch {
	case !ok:
		return job.Refuse(job.BadRequest, 0, "class: %q is not declared; use a declared class", req.Class)
	case len(req.Tasks) == 0:
		return job.Refuse(job.BadRequest, 0, "tasks: there is none; send at least one")
	case len(req.Tasks) > limits.Tasks:
		return job.Refuse(job.Impossible, 0, "tasks: %d are over the limit of %d; send several jobs", len(req.Tasks), limits.Tasks)
	case req.Bytes() > limits.Bytes:
		return job.Refuse(job.Impossible, 0, "tasks: %d bytes are over the limit of %d", req.Bytes(), limits.Bytes)
	case req.TimeLeft < 0:
		return job.Refuse(job.BadRequest, 0, "deadline: %s is negative; leave it out for the class's", req.TimeLeft)
	case req.TimeLeft > limits.Deadline.Std():
		return job.Refuse(job.BadRequest, 0, "deadline: %s is over the limit of %s", req.TimeLeft, limits.Deadline.Std())
	case req.Grant < 0 || req.Grant > MaxGrant:
		return job.Refuse(job.BadRequest, 0, "grant: %d tickets; ask for 0 to %d", req.Grant, MaxGrant)
	case class.Once && req.Ticket == "":
		return job.Refuse(job.BadTicket, 0, "ticket: class %s is non-idempotent; take a ticket first and send it along", req.Class)
	}
	if req.TimeLeft == 0 {
		req.TimeLeft = class.Deadline.Std()
	}
	return nil
}

// admit refuses a submission by the state of the system, before anything is sent.
func (n *Node) admit(c *conf, class doc.Class, req *job.Request, now time.Time) *job.Answer {
	if c.doc.Tenants[req.Tenant].Paused {
		return job.Refuse(job.Paused, 10*time.Second, "tenant %s is paused by the operators", req.Tenant)
	}
	if n.table.Known() == 0 {
		return job.Refuse(job.NoEndpoint, time.Second, "no endpoint is known")
	}
	largest := n.table.MaxSize()
	for i := range req.Tasks {
		if !req.Tasks[i].Need.Fits(largest) {
			return job.Refuse(job.Impossible, 0, "tasks[%d].need: more than any endpoint has, which is %v cores, %v GiB, %v accelerators", i, largest.Cores, largest.Memory, largest.Accels)
		}
	}
	if n.bytes.Load()+req.Bytes() > n.cfg.Memory {
		return job.Refuse(job.Overload, minRetryAfter, "this VM holds as many bytes of submissions as it may")
	}
	if !n.cfg.EarlyReject {
		return nil
	}
	return n.checkDeadline(class, req, now)
}

// checkDeadline refuses a job that would miss its deadline: it would only take slots
// from jobs that can finish in time.
func (n *Node) checkDeadline(class doc.Class, req *job.Request, now time.Time) *job.Answer {
	e := n.learn.Expect(learnKey(req), req.Tasks[0].Run)
	wait := n.expectedWait(class.Band, now)
	need := time.Duration(waitMargin*float64(wait)) + n.runTime(e.Mean, len(req.Tasks))
	if need <= req.TimeLeft {
		return nil
	}
	retry := max(minRetryAfter, min(wait, need-req.TimeLeft))
	retry += rand.N(retry/4 + 1) // jitter, so that refused callers don't come back together
	return job.Refuse(job.Overload, retry, "it would take about %s, more than the %s it has", need.Round(time.Millisecond), req.TimeLeft)
}

// runTime predicts how long tasks of a mean run time take on this VM's slots once
// they start.
func (n *Node) runTime(mean time.Duration, tasks int) time.Duration {
	limit, _ := n.table.Slots(n.now())
	rounds := math.Ceil(float64(tasks) / max(1, float64(limit)))
	return time.Duration(rounds * float64(mean))
}

// expectedWait predicts how long a new job of a band waits for its first slot, from
// the queued work that goes first.
func (n *Node) expectedWait(band job.Band, now time.Time) time.Duration {
	limit, free := n.table.Slots(now)
	if limit == 0 {
		return n.waitWithoutSlots()
	}
	var ahead time.Duration
	for b := range band + 1 {
		ahead += n.queues[b].Backlog()
	}
	if ahead == 0 && free > n.reservedSlots(band, limit) {
		return 0
	}
	usable := max(1, limit-n.reservedSlots(band, limit))
	return ahead / time.Duration(usable)
}

// waitWithoutSlots predicts the wait while this VM has no usable endpoint: zero if a
// peer has room.
func (n *Node) waitWithoutSlots() time.Duration {
	for _, m := range n.view.Members() {
		if m.Usable() && m.Beat.Room.Urgent > 0 {
			return 0
		}
	}
	return 5 * time.Second
}

// reservedSlots returns how many free slots a band must leave to future urgent work.
// Urgent tasks in progress count for at most half of the reserve, so that a burst of
// them doesn't release it to routine tasks that take several seconds.
func (n *Node) reservedSlots(band job.Band, limit int) int {
	c := n.conf.Load()
	if band == job.Urgent || c == nil {
		return 0
	}
	reserve := int(math.Ceil(c.doc.Reserve * float64(limit)))
	return max((reserve+1)/2, reserve-int(n.urgent.Load()))
}
