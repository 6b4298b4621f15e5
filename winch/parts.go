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

// The coordination parts for embedding. Each takes the time as an argument and does
// no I/O; aliases rather than copies, so that what the daemons run is what others
// embed.
type (
	// Budget bounds retries to a part of first tries.
	Budget = budget.Budget
	// Attempt follows one attempt and says whether it may be tried again.
	Attempt = tries.Attempt
	// TicketBook issues one-time idempotency keys and remembers which were used.
	TicketBook = ticket.Book
	// TicketLimits bound a TicketBook.
	TicketLimits = ticket.Limits
	// Ticket is one ticket as a caller presents it.
	Ticket = ticket.Ticket
	// TicketVerdict says what may be done with a ticket.
	TicketVerdict = ticket.Verdict
	// StoredAnswer is what a TicketBook keeps for a ticket.
	StoredAnswer = job.Answer
	// Fold turns log records into the revision in force.
	Fold = fold.Fold
	// Record is one record of a Fold's log.
	Record = fold.Record
	// Revision is one accepted document.
	Revision = fold.Revision
	// View is what one process believes of its peers.
	View = view.View
	// Hello names one incarnation of a peer.
	Hello = frame.Hello
	// Beat is a peer's heartbeat.
	Beat = frame.Beat
	// QueueOrder ranks the jobs of a queue.
	QueueOrder = queue.Order
)

// Events of an Attempt.
const (
	Sent     = tries.Send
	Declined = tries.Refuse
	Answered = tries.Answer
	Lost     = tries.Lose
)

// Verdicts on a ticket that matter to most callers.
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

// NewBudget returns a full retry budget: ratio of first tries, floor a second, top at
// once.
func NewBudget(now time.Time, ratio, floor, top float64) *Budget {
	return budget.New(now, ratio, floor, top)
}

// NewTicketBook returns the book of one incarnation of a process; secret must be
// random for each.
func NewTicketBook(self netip.AddrPort, incarnation uint64, secret []byte, limits TicketLimits) *TicketBook {
	return ticket.NewBook(self, incarnation, secret, limits)
}

// ParseTicket decodes ticket n of a grant's text.
func ParseTicket(grant string, n int) (Ticket, error) { return ticket.Parse(ticket.Pick(grant, n)) }

// NewFold returns a fold that knows nothing; valid judges documents.
func NewFold(valid func(json.RawMessage) error) *Fold { return fold.New(valid) }

// NewView returns a view of the peers of one process.
func NewView(self netip.AddrPort, domain string, now time.Time) *View {
	return view.New(self, domain, now)
}

// NewQueue returns a queue of jobs of any type, fair between tenants.
func NewQueue[T any](epoch time.Time, order QueueOrder) *queue.Queue[T] {
	return queue.New[T](epoch, order)
}

// Home returns which of the VMs keeps an endpoint's slots.
func Home(endpoint netip.AddrPort, vms []netip.AddrPort) netip.AddrPort {
	return place.Home(endpoint, vms)
}
