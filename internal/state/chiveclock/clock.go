// Package chiveclock reads the time since the VM booted, including the time during
// which the VM was suspended.
package chiveclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Moment is a reading of the clock: the time since the VM booted. Moments of two
// VMs cannot be compared.
type Moment time.Duration

// Now returns the current moment. Entry VMs use it for freshness, leases and
// deadlines, because the monotonic clock does not advance while a VM is suspended.
// It panics if the system has no such clock.
func Now() Moment {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("chiveclock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return Moment(ts.Nano())
}

// Sub returns the duration from o to m.
func (m Moment) Sub(o Moment) time.Duration {
	return time.Duration(m - o)
}

// Add returns the moment that is d after m.
func (m Moment) Add(d time.Duration) Moment {
	return m + Moment(d)
}

// Since returns the duration from m to now.
func Since(m Moment) time.Duration {
	return Now().Sub(m)
}

// Until returns the duration from now to m.
func Until(m Moment) time.Duration {
	return m.Sub(Now())
}

// Sleep pauses for d and returns nil, or returns the context's error if the context
// ends first. The pause does not count time during which the VM is suspended.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Clock is a source of moments. The nil Clock reads the same clock as the function
// Now.
type Clock func() Moment

// Now returns the current moment.
func (c Clock) Now() Moment {
	if c == nil {
		return Now()
	}
	return c()
}

// Since returns the duration from m to now.
func (c Clock) Since(m Moment) time.Duration {
	return c.Now().Sub(m)
}

// Age returns the duration from m to now, or -1 if m is 0, which stands for an event
// that has not happened.
func (c Clock) Age(m Moment) time.Duration {
	if m == 0 {
		return -1
	}
	return c.Since(m)
}
