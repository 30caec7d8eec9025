// Package chiveclock implements a clock that also counts the time during which
// the VM was suspended.
package chiveclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// A Moment is a reading of the clock: the time since the VM booted.
type Moment time.Duration

// Now returns the present moment. Freshness, leases and deadlines are judged by
// it, since the monotonic clock stands still while a VM is suspended.
func Now() Moment {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return Moment(ts.Nano())
}

// Sub returns the time from o to m.
func (m Moment) Sub(o Moment) time.Duration {
	return time.Duration(m - o)
}

// Add returns the moment d later.
func (m Moment) Add(d time.Duration) Moment {
	return m + Moment(d)
}

// Since returns the time from m until now.
func Since(m Moment) time.Duration {
	return Now().Sub(m)
}

// Until returns the time from now until m.
func Until(m Moment) time.Duration {
	return m.Sub(Now())
}

// Sleep waits for a time, or returns the context's error when it ends first.
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

// A Clock is a source of moments. Its zero value is that of Now.
type Clock func() Moment

// Now returns the present moment.
func (c Clock) Now() Moment {
	if c == nil {
		return Now()
	}
	return c()
}

// Since returns the time from m until now.
func (c Clock) Since(m Moment) time.Duration {
	return c.Now().Sub(m)
}

// Age returns the time from m until now, or a negative time where m is 0: a moment
// that did not come.
func (c Clock) Age(m Moment) time.Duration {
	if m == 0 {
		return -1
	}
	return c.Since(m)
}
