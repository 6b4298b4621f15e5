// Package flow is the pipeline of one entry VM: it authenticates, admits, queues and
// places a submission, sends its tasks to endpoints and collects their results.
package flow

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"time"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/mesh/frame"
)

// Exchange is one attempt to run a task on an endpoint.
type Exchange struct {
	AttemptID string // unique ID; answers are matched by the exchange, never by order
	Body      []byte
	Deadline  time.Time // after this, nobody waits for the answer
	// Begin is called right before sending the first byte that could start the task.
	// If it returns false, the task must not be sent.
	Begin func() bool
}

// Status is the way in which an exchange ended.
type Status uint8

// The statuses of an exchange.
const (
	Unsent  Status = iota // nothing that could start the task was sent
	Refused               // the endpoint answered "not started"
	Ran                   // the task ran and succeeded; Body is its result
	Failed                // the task ran and failed
	Lost                  // the task was sent, but no complete answer came
)

// Result is the result of an exchange.
type Result struct {
	Status  Status
	Body    []byte
	Leaving bool // the endpoint announced that it leaves
	Err     error
}

// Runner runs tasks on endpoints.
type Runner interface {
	Run(ctx context.Context, at netip.AddrPort, x Exchange) Result
	// Probe returns an error if the endpoint doesn't answer, else whether it leaves.
	Probe(ctx context.Context, at netip.AddrPort) (leaving bool, err error)
}

// Mesh carries messages to other entry VMs. Messages to one incarnation arrive
// once and in order, or that incarnation is reported gone.
type Mesh interface {
	Send(to netip.AddrPort, m frame.Msg) error
	// Connect opens a link to a VM if there is none and returns the VM's incarnation.
	Connect(ctx context.Context, vm netip.AddrPort) (inc uint64, err error)
}

// ErrNoLink is returned by a Mesh that has no link to the VM; nothing was sent.
var ErrNoLink = errors.New("no link to the VM")

// Config holds the settings of a node.
type Config struct {
	Self        netip.AddrPort // mesh address
	Domain      string         // failure domain
	Inc         uint64         // incarnation
	Secret      []byte         // authenticates tickets
	Policy      string         // one of place.Names
	Memory      int64          // limit on the bytes of waiting and running submissions
	TicketTerm  time.Duration  // how long a ticket is valid
	MaxTickets  int            // limit on the used tickets remembered
	RetryRatio  float64        // retries per first try
	Spill       bool           // give waiting tasks to other VMs
	SizeWeight  float64        // weight of a job's size in its rank; 0 is first come, first served
	EarlyReject bool           // refuse jobs at once that would miss their deadline
}

// The defaults of Config.
const (
	DefaultMemory     = 64 << 20
	DefaultTicketTerm = 10 * time.Minute
	DefaultMaxTickets = 200_000
	DefaultRetryRatio = 0.1
	DefaultSizeWeight = 4
)

// Deps are the dependencies of a node.
type Deps struct {
	Timers *timer.Service
	Runner Runner
	Mesh   Mesh
	Meter  *meter.Meter
	Log    *slog.Logger
}
