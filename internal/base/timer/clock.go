// Package timer is the one source of time: a clock and a service of timers
// that the other parts subscribe to.
package timer

import "time"

// Clock tells the time; a test replaces it to freeze one VM while others go on.
type Clock interface {
	Now() time.Time
}

// Wall is the clock of the process.
type Wall struct{}

// Now returns the current time with its monotonic reading.
func (Wall) Now() time.Time { return time.Now() }
