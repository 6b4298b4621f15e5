package flow

import (
	"math"
	"math/rand/v2"
	"time"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/task/job"
)

const (
	// caution scales the predicted wait: jobs ranked later may still overtake.
	caution = 1.25
	// leastRetry keeps refused callers from coming back at once.
	leastRetry = 100 * time.Millisecond
	// MostGrant bounds the tickets of one grant.
	MostGrant = 256
)

// check judges a submission by itself and fills in its defaults; nothing of it
// depends on load.
func (n *Node) check(c *conf, req *job.Request) *job.Answer {
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
	case req.Left < 0:
		return job.Refuse(job.BadRequest, 0, "deadline: %s is negative; leave it out for the class's", req.Left)
	case req.Left > limits.Deadline.Std():
		return job.Refuse(job.BadRequest, 0, "deadline: %s is over the limit of %s", req.Left, limits.Deadline.Std())
	case req.Grant < 0 || req.Grant > MostGrant:
		return job.Refuse(job.BadRequest, 0, "grant: %d tickets; ask for 0 to %d", req.Grant, MostGrant)
	case class.Once && req.Ticket == "":
		return job.Refuse(job.BadTicket, 0, "ticket: class %s is non-idempotent; take a ticket first and send it along", req.Class)
	}
	if req.Left == 0 {
		req.Left = class.Deadline.Std()
	}
	return nil
}

// admit judges a submission by the state of the system; a refusal costs no send.
func (n *Node) admit(c *conf, class doc.Class, req *job.Request, now time.Time) *job.Answer {
	if c.doc.Tenants[req.Tenant].Paused {
		return job.Refuse(job.Paused, 10*time.Second, "tenant %s is paused by the operators", req.Tenant)
	}
	if n.table.Known() == 0 {
		return job.Refuse(job.NoEndpoint, time.Second, "no endpoint is known")
	}
	most := n.table.Most()
	for i := range req.Tasks {
		if !req.Tasks[i].Need.Fits(most) {
			return job.Refuse(job.Impossible, 0, "tasks[%d].need: more than any endpoint has, which is %v cores, %v GiB, %v accelerators", i, most.Cores, most.Memory, most.Accels)
		}
	}
	if n.bytes.Load()+req.Bytes() > n.cfg.Memory {
		return job.Refuse(job.Overload, leastRetry, "this VM holds as many bytes of submissions as it may")
	}
	if !n.cfg.Foresight {
		return nil
	}
	return n.foresee(class, req, now)
}

// foresee refuses what would not be done in time: started, it would only take
// slots from work that can be.
func (n *Node) foresee(class doc.Class, req *job.Request, now time.Time) *job.Answer {
	e := n.learn.Expect(keyOf(req), req.Tasks[0].Run)
	wait := n.wait(class.Band, now)
	need := time.Duration(caution*float64(wait)) + n.span(e.Mean, len(req.Tasks))
	if need <= req.Left {
		return nil
	}
	retry := max(leastRetry, min(wait, need-req.Left))
	retry += rand.N(retry/4 + 1) // so that the refused don't come back together
	return job.Refuse(job.Overload, retry, "it would take about %s, more than the %s it has", need.Round(time.Millisecond), req.Left)
}

// span is how long n tasks of a mean take once they start, on this VM's slots.
func (n *Node) span(mean time.Duration, tasks int) time.Duration {
	limit, _ := n.table.Slots(n.now())
	rounds := math.Ceil(float64(tasks) / max(1, float64(limit)))
	return time.Duration(rounds * float64(mean))
}

// wait predicts how long a new job of a band waits for its first slot, from the
// work that goes before it.
func (n *Node) wait(band job.Band, now time.Time) time.Duration {
	limit, free := n.table.Slots(now)
	if limit == 0 {
		return n.blind()
	}
	var ahead time.Duration
	for b := range band + 1 {
		ahead += n.queues[b].Backlog()
	}
	if ahead == 0 && free > n.keep(band, limit) {
		return 0
	}
	usable := max(1, limit-n.keep(band, limit))
	return ahead / time.Duration(usable)
}

// blind predicts the wait when no own endpoint is usable: none if peers take work.
func (n *Node) blind() time.Duration {
	for _, m := range n.view.Members() {
		if m.Usable() && m.Beat.Room.Urgent > 0 {
			return 0
		}
	}
	return 5 * time.Second
}

// keep is how many slots must stay free of non-urgent work for urgent work that
// comes next. Urgent work in progress uses up at most half of it, so that a burst
// of it doesn't open the door to routine tasks of several seconds.
func (n *Node) keep(band job.Band, limit int) int {
	c := n.conf.Load()
	if band == job.Urgent || c == nil {
		return 0
	}
	reserve := int(math.Ceil(c.doc.Reserve * float64(limit)))
	return max((reserve+1)/2, reserve-int(n.urgent.Load()))
}
