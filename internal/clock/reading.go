package clock

import "time"

const (
	// stepTolerance is the largest difference between two clock readings that is not taken for a step.
	// Two processes of one machine may differ that much for the same moment, since a process may be
	// delayed between two readings of its clocks.
	stepTolerance = 200 * time.Millisecond
	// maxUptime is above any instant of a machine that was booted within the last decades, and below
	// every Unix time of this century in microseconds.
	maxUptime Instant = 1 << 50
)

// Reading is a reading of the monotonic and the wall clock at one moment. Stored with instants, it lets
// a later process convert them to its own clock.
type Reading struct {
	BootID string    `json:"boot,omitempty"`
	Now    Instant   `json:"now,omitempty"`
	Wall   UnixMicro `json:"wall,omitempty"`
}

// Read takes a reading of c.
func Read(c Clock) Reading { return Reading{BootID: c.BootID(), Now: c.Now(), Wall: c.Wall()} }

// Plausible reports whether r can be the reading of a real machine.
func (r Reading) Plausible() bool { return r.Now > 0 && r.Now < maxUptime && r.Wall > 0 }

// Stepped reports whether the wall clock was stepped between r and a later reading of the same clock.
func (r Reading) Stepped(later Reading) bool {
	drift := later.Wall.Sub(r.Wall) - later.Now.Sub(r.Now)
	return drift.Abs() > stepTolerance
}

// Conversion converts the instants of one clock to those of another.
type Conversion struct {
	estimatedShift Instant
	// latestShift is the shift if no time has passed between the last instant seen on the old clock and
	// now, which gives the latest instants that are possible.
	latestShift Instant
	// SameClock is set if both clocks are the same, so that instants are exact. Otherwise the time that
	// has passed is an estimate, and it is never certain that a time window is still open.
	SameClock bool
}

// Convert returns the conversion from instants of the clock of r to instants of the clock of now. The
// zero Reading means that nothing is known about the old clock. lastSeen is the last moment seen on the
// old clock: no instant ends up further in the future than it was then.
func (r Reading) Convert(lastSeen Instant, now Reading) Conversion {
	lastSeen = max(lastSeen, r.Now)
	if r.sameClock(now) && lastSeen.Sub(now.Now) <= stepTolerance {
		return Conversion{SameClock: true}
	}
	estimatedNow := max(lastSeen, now.Now)
	if r.Plausible() {
		estimatedNow = max(lastSeen, r.Now.Add(now.Wall.Sub(r.Wall)))
	}
	return Conversion{estimatedShift: now.Now - estimatedNow, latestShift: now.Now - lastSeen}
}

// ConvertUnix returns the conversion from Unix microseconds, which earlier releases stored instead of
// instants, to instants of the clock of now. lastSeen is as for Convert, zero if it is not known.
func ConvertUnix(lastSeen Instant, now Reading) Conversion {
	estimatedNow := max(lastSeen, Instant(now.Wall))
	c := Conversion{estimatedShift: now.Now - estimatedNow, latestShift: now.Now - estimatedNow}
	if !lastSeen.IsZero() {
		c.latestShift = now.Now - lastSeen
	}
	return c
}

// IsUnix reports whether t is in Unix microseconds, as stored by earlier releases.
func IsUnix(t Instant) bool { return t >= maxUptime }

// sameClock reports whether both readings are of clocks with the same origin.
func (r Reading) sameClock(now Reading) bool {
	return r.BootID != "" && r.BootID == now.BootID && r.Plausible()
}

// Estimate converts t by the best estimate of the time that has passed. The zero Instant stays zero, and
// moments before the new clock's origin become its first instant.
func (c Conversion) Estimate(t Instant) Instant { return shiftInstant(t, c.estimatedShift) }

// Latest converts t as if no time had passed, which gives the latest instant that is possible.
func (c Conversion) Latest(t Instant) Instant { return shiftInstant(t, c.latestShift) }

// shiftInstant adds shift to t, unless t is zero; the result is at least 1.
func shiftInstant(t, shift Instant) Instant {
	if t.IsZero() {
		return t
	}
	return max(t+shift, 1)
}
