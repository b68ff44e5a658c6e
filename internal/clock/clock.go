// Package clock provides the relay's time. Within a process every deadline, window, wait, grace period
// and age is an Instant, a moment on the machine's monotonic clock, so that steps of the wall clock do
// not affect them. The wall clock is used for log lines, and to convert stored instants after a reboot,
// which resets the monotonic clock (see Reading).
package clock

import "time"

// Instant is a moment on a monotonic clock, in microseconds since that clock's origin. The zero
// Instant means that no time is set; clocks start above it.
type Instant int64

// Add returns the instant t+d.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d.Microseconds()) }

// Sub returns the duration t-u.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t-u) * time.Microsecond }

// IsZero reports whether t is the zero Instant, which means that no time is set.
func (t Instant) IsZero() bool { return t == 0 }

// UnixMicro is a moment on the wall clock, in microseconds since the Unix epoch. It may be stepped
// at any time and is not comparable with an Instant.
type UnixMicro int64

// Sub returns the duration t-u by the wall clock, which includes any steps in between.
func (t UnixMicro) Sub(u UnixMicro) time.Duration { return time.Duration(t-u) * time.Microsecond }

// Clock is a source of time.
type Clock interface {
	// Now returns the current time of the monotonic clock.
	Now() Instant
	// BootID identifies the origin of the clock's instants: processes with the same id share it. It is
	// empty if the origin is not known.
	BootID() string
	// Wall returns the current time of the wall clock.
	Wall() UnixMicro
}

// Since returns the time elapsed since t.
func Since(c Clock, t Instant) time.Duration { return c.Now().Sub(t) }

// Until returns the duration until t.
func Until(c Clock, t Instant) time.Duration { return t.Sub(c.Now()) }

// ExpiredDeadline is a deadline in the past for connections of package net. It ends reads or writes at once.
var ExpiredDeadline = time.Unix(1, 0)

// DeadlineIn returns a deadline for connections of package net after the duration d. It has a monotonic
// reading, which that package uses, so that steps of the wall clock do not move it.
func DeadlineIn(d time.Duration) time.Time { return time.Now().Add(d) }
