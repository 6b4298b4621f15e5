// Package agent is what the system needs of a leased endpoint: start, stop and renew.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"dahliawinch/internal/task/lease"
)

// Target is one life of an endpoint.
type Target struct {
	ID   string
	Addr netip.AddrPort
}

// Start orders a run.
type Start struct {
	Name  lease.Name
	Spec  string
	Until int64 // lease asked for, on the endpoint's clock in milliseconds
	Fence uint64
}

// Renew asks for ends and, if Until is set, renews the lease of all that runs there.
type Renew struct {
	Until  int64 // 0 for no renewal
	Fence  uint64
	Cursor int64         // ends up to it are taken note of
	Wait   time.Duration // for an end
}

// Agent reaches leased endpoints.
type Agent interface {
	// Start returns nil when the run is there; a *RefusedError when it surely is not;
	// ErrUnsent when nothing was sent; any other error leaves it open.
	Start(ctx context.Context, to Target, o Start) error
	// Stop returns nil when the run will end and will surely never start any more; a
	// *RefusedError when nothing was done, so that it may go on or start yet.
	Stop(ctx context.Context, to Target, n lease.Name, fence uint64) error
	// Renew returns what runs and what ended.
	Renew(ctx context.Context, to Target, o Renew) (lease.Report, error)
	// Reach returns nil if the endpoint can be reached; it orders nothing.
	Reach(ctx context.Context, to Target) error
	// Forget closes the connections to an endpoint that is no longer owned.
	Forget(to Target)
}

// ErrUnsent means that no byte of an order left this VM.
var ErrUnsent = errors.New("endpoint unreachable, nothing sent")

// Refusal says why an endpoint did not do what it was told.
type Refusal uint8

// The refusals.
const (
	NoRoom  Refusal = iota // it has less room than its owner thinks
	Old                    // a later run was there already
	Late                   // the lease asked for is over
	Fenced                 // another VM owns the endpoint
	Ill                    // the endpoint says that it isn't healthy
	Dead                   // another life answers there
	Invalid                // the order is malformed
)

var refusalNames = [...]string{"room", "old", "late", "fence", "ill", "dead", "invalid"}

func (r Refusal) String() string { return refusalNames[r] }

// RefusedError is an endpoint's word that it did nothing.
type RefusedError struct{ Why Refusal }

func (e *RefusedError) Error() string { return fmt.Sprintf("endpoint refused: %s", e.Why) }

// Unanswered reports whether an order with this error may have been carried out, or may
// yet be.
func Unanswered(err error) bool {
	var refused *RefusedError
	return err != nil && !errors.As(err, &refused) && !errors.Is(err, ErrUnsent)
}
