// Package agent defines the calls to a leased endpoint: start, stop and renew.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"dahliawinch/internal/task/lease"
)

// Target is one instance of an endpoint.
type Target struct {
	ID   string
	Addr netip.AddrPort
}

// Start requests the start of a run.
type Start struct {
	Name  lease.RunID
	Spec  string
	Until int64 // requested end of the lease, on the endpoint's clock in milliseconds
	Fence uint64
}

// Renew requests the ended runs and, if Until is set, renews the lease of all runs on the endpoint.
type Renew struct {
	Until  int64 // 0 for no renewal
	Fence  uint64
	Cursor int64         // ends up to this serial number are acknowledged
	Wait   time.Duration // how long to wait for an end
}

// Agent calls leased endpoints.
type Agent interface {
	// Start returns nil if the run has been started, a *RefusedError if it certainly has not,
	// and ErrUnsent if nothing was sent, as with ErrBusy. After any other error it may have been.
	Start(ctx context.Context, to Target, o Start) error
	// Stop returns nil if the run will end and can never start later, and a *RefusedError if
	// nothing was done, so that the run may continue or still start.
	Stop(ctx context.Context, to Target, n lease.RunID, fence uint64) error
	// Renew returns the running and the ended runs.
	Renew(ctx context.Context, to Target, o Renew) (lease.Report, error)
	// Reach returns nil if the endpoint can be reached; it makes no request.
	Reach(ctx context.Context, to Target) error
	// Forget closes the connections to an endpoint that is no longer owned.
	Forget(to Target)
}

// ErrUnsent means that no byte of a request left this VM.
var ErrUnsent = errors.New("endpoint unreachable, nothing sent")

// ErrBusy means that all connections to the endpoint were in use. It says nothing of the endpoint.
var ErrBusy = fmt.Errorf("no connection came free: %w", ErrUnsent)

// ErrWithheld means that a start was not sent because its run could outlast its job. It says nothing of the endpoint.
var ErrWithheld = fmt.Errorf("the longest lease would outlast the job: %w", ErrUnsent)

// Refusal is the reason why an endpoint refused a request.
type Refusal uint8

// The refusals.
const (
	NoRoom        Refusal = iota // it has less free capacity than its owner assumes
	Superseded                   // a later run of the task was started or stopped before
	LeaseExpired                 // the requested lease has already expired
	Fenced                       // another VM owns the endpoint
	Unhealthy                    // the endpoint reports itself unhealthy
	WrongInstance                // another instance answers at the address
	Invalid                      // the request is malformed
)

var refusalNames = [...]string{"room", "old", "late", "fence", "ill", "dead", "invalid"}

func (r Refusal) String() string { return refusalNames[r] }

// RefusedError is an endpoint's answer that it did nothing.
type RefusedError struct{ Why Refusal }

func (e *RefusedError) Error() string { return fmt.Sprintf("endpoint refused: %s", e.Why) }

// Unanswered reports whether a request that failed with err may have been carried out, or may
// still be.
func Unanswered(err error) bool {
	var refused *RefusedError
	return err != nil && !errors.As(err, &refused) && !errors.Is(err, ErrUnsent)
}
