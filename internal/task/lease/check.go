package lease

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of what an endpoint may be, far above any real one. Sums and quotients of sizes within them are exact enough to
// place work, and descriptions are small enough to be passed on between VMs.
const (
	maxCores   = 1 << 16
	maxMemory  = 1 << 20 // GiB
	maxAccels  = 1 << 12
	maxLabels  = 64
	maxNameLen = 256 // bytes of a domain, a pool or a label
	maxCold    = time.Hour
	maxBorn    = 1 << 53 // up to which JSON numbers are exact
)

// ErrImplausible is returned for a description that no endpoint can have, such as one of another writer.
var ErrImplausible = errors.New("implausible endpoint")

// Check returns an error that names the first implausible field, or nil.
func (in Info) Check() error {
	switch {
	case !(in.Size.Cores > 0 && in.Size.Cores <= maxCores):
		return fmt.Errorf("%g cores, want more than 0 and at most %d: %w", in.Size.Cores, maxCores, ErrImplausible)
	case !(in.Size.Memory >= 0 && in.Size.Memory <= maxMemory):
		return fmt.Errorf("%g GiB of memory, want 0 to %d: %w", in.Size.Memory, maxMemory, ErrImplausible)
	case !(in.Size.Accels >= 0 && in.Size.Accels <= maxAccels):
		return fmt.Errorf("%g accelerators, want 0 to %d: %w", in.Size.Accels, maxAccels, ErrImplausible)
	case in.Cold < 0 || in.Cold > maxCold:
		return fmt.Errorf("cold for %s, want 0 to %s: %w", in.Cold, maxCold, ErrImplausible)
	case in.Born < 0 || in.Born > maxBorn:
		return fmt.Errorf("born at %d ms, want 0 to %d: %w", in.Born, int64(maxBorn), ErrImplausible)
	case len(in.Domain) > maxNameLen || len(in.Pool) > maxNameLen:
		return fmt.Errorf("a failure domain of %d bytes, a pool of %d, want at most %d: %w", len(in.Domain), len(in.Pool), maxNameLen, ErrImplausible)
	case len(in.Labels) > maxLabels:
		return fmt.Errorf("%d labels, want at most %d: %w", len(in.Labels), maxLabels, ErrImplausible)
	}
	for _, l := range in.Labels {
		if len(l) > maxNameLen {
			return fmt.Errorf("a label of %d bytes, want at most %d: %w", len(l), maxNameLen, ErrImplausible)
		}
	}
	return nil
}
