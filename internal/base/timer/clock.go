// Package timer is the program's only source of time: clocks, and a service that runs timers
// and reports clock jumps.
package timer

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time; a test replaces it to freeze one VM while others run on.
type Clock interface {
	Now() time.Time
}

// Wall is the clock of the Go runtime.
type Wall struct{}

// Now returns the current time with its monotonic reading.
func (Wall) Now() time.Time { return time.Now() }

// Boot is the clock of a daemon. It starts at the time of day and then follows the time
// since the machine booted: steps of the time of day don't move it, and it includes the
// time for which the VM was suspended, which Go's monotonic clock omits.
//
// With the time of day, a step makes every timestamp of a peer look seconds old, and its
// messages are taken for late. With the monotonic clock, a VM that was suspended doesn't
// notice, and acts on leases and jobs that ended meanwhile.
type Boot struct {
	start       time.Time     // time of day, without a monotonic reading
	startUptime time.Duration // uptime of the machine at start
}

// NewBoot returns a clock set to the current time of day.
func NewBoot() (Boot, error) {
	up, err := uptime()
	if err != nil {
		return Boot{}, err
	}
	return Boot{start: time.Now().Round(0), startUptime: up}, nil
}

// Now returns the current time.
func (b Boot) Now() time.Time {
	up, err := uptime()
	if err != nil {
		return time.Now() // the same call worked in NewBoot
	}
	return b.start.Add(up - b.startUptime)
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
