// Package timer is the one source of time: a clock and a service of timers
// that the other parts subscribe to.
package timer

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time; a test replaces it to freeze one VM while others go on.
type Clock interface {
	Now() time.Time
}

// Wall is the clock of the process.
type Wall struct{}

// Now returns the current time with its monotonic reading.
func (Wall) Now() time.Time { return time.Now() }

// Boot is the clock of a daemon. It starts with the time of day and then goes by the time
// since the machine booted: steps of the time of day don't move it, and it counts the time
// for which the VM was suspended, which the process's steady clock leaves out.
//
// What goes wrong with the others: a step of the time of day makes every stamp of a peer
// look seconds old, and what it sends is taken for late; a VM that was suspended takes no
// notice, and acts on leases and jobs that ended meanwhile.
type Boot struct {
	began time.Time     // the time of day, without a reading of the steady clock
	up    time.Duration // of the machine at that time
}

// NewBoot returns a clock that is right now.
func NewBoot() (Boot, error) {
	up, err := uptime()
	if err != nil {
		return Boot{}, err
	}
	return Boot{began: time.Now().Round(0), up: up}, nil
}

// Now returns the current time.
func (b Boot) Now() time.Time {
	up, err := uptime()
	if err != nil {
		return time.Now() // the same call worked in NewBoot
	}
	return b.began.Add(up - b.up)
}

func uptime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, fmt.Errorf("time since boot: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
