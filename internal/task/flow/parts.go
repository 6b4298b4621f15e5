// Package flow is one entry VM's pipeline: it takes a submission from its
// caller through ident, admit, queue, place, send and gather to its answer.
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
	Attempt string // unique; answers are matched by the exchange, never by order
	Body    []byte
	Until   time.Time // the answer is of no use after this
	// Begin is called right before the first byte that could start the task
	// leaves. When it returns false the task must not be sent.
	Begin func() bool
}

// Ending says how an exchange ended.
type Ending uint8

// The endings.
const (
	Unsent   Ending = iota // nothing that could start the task left
	Refused                // the endpoint said "not started"
	Ran                    // it ran, and Body is its result
	RanBadly               // it ran and failed
	Lost                   // it was sent, and no whole answer came
)

// Result of an exchange.
type Result struct {
	Ending  Ending
	Body    []byte
	Leaving bool // the endpoint said that it leaves
	Err     error
}

// Runner runs tasks on endpoints.
type Runner interface {
	Run(ctx context.Context, at netip.AddrPort, x Exchange) Result
	// Ask reports whether the endpoint answers and whether it leaves.
	Ask(ctx context.Context, at netip.AddrPort) (leaving bool, err error)
}

// Mesh carries messages to other entry VMs. Messages to one incarnation arrive
// once and in order, or that incarnation is reported gone.
type Mesh interface {
	Cast(to netip.AddrPort, m frame.Msg) error
	// Reach makes sure of a link to a VM and returns the incarnation there.
	Reach(ctx context.Context, vm netip.AddrPort) (inc uint64, err error)
}

// ErrNoLink is returned by a Mesh that could not take a message; nothing was sent.
var ErrNoLink = errors.New("no link to the VM")

// Config of a node.
type Config struct {
	Self      netip.AddrPort // mesh address
	Domain    string         // failure domain
	Inc       uint64         // incarnation
	Secret    []byte         // seals tickets
	Policy    string         // one of place.Names
	Memory    int64          // bytes of waiting and running submissions
	Term      time.Duration  // of tickets
	Tickets   int            // used tickets remembered
	Retries   float64        // retries per first try
	Spill     bool           // give waiting work to other VMs
	Stretch   float64        // weight of a job's size in its rank; 0 is first come, first served
	Foresight bool           // refuse at once what would not finish in time
}

// Defaults of a node.
const (
	DefaultMemory  = 64 << 20
	DefaultTerm    = 10 * time.Minute
	DefaultTickets = 200_000
	DefaultRetries = 0.1
	DefaultStretch = 4
)

// Parts are what a node works with.
type Parts struct {
	Timers *timer.Service
	Runner Runner
	Mesh   Mesh
	Meter  *meter.Meter
	Log    *slog.Logger
}
