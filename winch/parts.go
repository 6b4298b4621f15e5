package winch

import (
	"encoding/json"
	"net/netip"
	"time"

	"dahliawinch/internal/conf/fold"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/task/budget"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/place"
	"dahliawinch/internal/task/queue"
	"dahliawinch/internal/task/ticket"
	"dahliawinch/internal/task/tries"
)

// Components for embedding. Each takes the time as an argument and does no I/O. They
// are aliases, so that other programs embed the same code that the daemons run.
type (
	// Budget limits retries to a fraction of first attempts.
	Budget = budget.Budget
	// Attempt tracks one attempt and whether it may be retried.
	Attempt = tries.Attempt
	// TicketBook issues one-time idempotency keys and remembers which were used.
	TicketBook = ticket.Store
	// TicketLimits are the limits of a TicketBook.
	TicketLimits = ticket.Limits
	// Ticket is a decoded ticket of a caller.
	Ticket = ticket.Ticket
	// TicketVerdict is the result of claiming a ticket.
	TicketVerdict = ticket.Verdict
	// StoredAnswer is the answer that a TicketBook keeps for a ticket.
	StoredAnswer = job.Answer
	// Fold computes the revision in force from log records.
	Fold = fold.Fold
	// Record is one record of a Fold's log.
	Record = fold.Record
	// Revision is one accepted document.
	Revision = fold.Revision
	// View is one process's view of its peers' states.
	View = view.View
	// Hello identifies one incarnation of a peer.
	Hello = frame.Hello
	// Beat is a peer's heartbeat.
	Beat = frame.Heartbeat
	// QueueOrder ranks the jobs of a queue.
	QueueOrder = queue.Order
)

// Events of an Attempt.
const (
	Sent     = tries.Send
	Declined = tries.Refuse
	Answered = tries.Answer
	Lost     = tries.Disconnect
)

// Ticket verdicts that most programs need.
const (
	FreshTicket   = ticket.Fresh
	RunningTicket = ticket.Running
	EndedTicket   = ticket.Ended
)

// Kinds of a Record.
const (
	DeclareRecord = fold.Declare
	RefreshRecord = fold.Refresh
)

// NewBudget returns a full retry budget that gains ratio for each first attempt and
// perSecond each second, up to burst.
func NewBudget(now time.Time, ratio, perSecond, burst float64) *Budget {
	return budget.New(now, ratio, perSecond, burst)
}

// NewTicketBook returns the ticket book of one incarnation of a process; secret must be
// random for each incarnation.
func NewTicketBook(self netip.AddrPort, incarnation uint64, secret []byte, limits TicketLimits) *TicketBook {
	return ticket.NewStore(self, incarnation, secret, limits)
}

// ParseTicket decodes ticket n of a grant.
func ParseTicket(grant string, n int) (Ticket, error) { return ticket.Parse(ticket.Pick(grant, n)) }

// NewFold returns an empty fold; valid checks documents.
func NewFold(valid func(json.RawMessage) error) *Fold { return fold.New(valid) }

// NewView returns a view of the peers of one process.
func NewView(self netip.AddrPort, domain string, now time.Time) *View {
	return view.New(self, domain, now)
}

// NewQueue returns a queue of jobs of any type, fair between tenants.
func NewQueue[T any](epoch time.Time, order QueueOrder) *queue.Queue[T] {
	return queue.New[T](epoch, order)
}

// Home returns the VM that manages an endpoint's slots.
func Home(endpoint netip.AddrPort, vms []netip.AddrPort) netip.AddrPort {
	return place.Home(endpoint, vms)
}
