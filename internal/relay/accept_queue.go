package relay

import (
	"time"

	"troutusher/internal/clock"
)

const (
	// placeTimeout is the longest time that new connections should wait for a place. It is half of that in which a
	// client expects its reply.
	placeTimeout       = 200 * time.Millisecond
	placePollInterval  = time.Millisecond
	admissionWindow    = commandStallTimeout // over which the rate of admissions is measured: evictions may come at once
	backlogEmptyAfter  = time.Millisecond    // an accept that takes so long has found the backlog empty
	unknownBacklogSize = -1
)

// acceptQueue decides whether an accepted connection that finds no place waits for one. Those behind it wait in the
// listener's backlog meanwhile. A connection waits while the backlog has been empty within the timeout, and also where the
// whole backlog is expected to get places within the timeout, at the rate of the last admissions.
type acceptQueue struct {
	clock       clock.Clock
	timeout     time.Duration
	backlogSize func() int // connections that wait to be accepted, or unknownBacklogSize

	congestedSince clock.Instant // since when connections wait and the backlog has not been empty; zero where none does
	windowStart    clock.Instant // of the present window
	admissions     int           // in the present window
	lastAdmissions int           // in the window before it
}

// accepted records that a connection was accepted. acceptingSince is when the listener was asked for it.
func (q *acceptQueue) accepted(acceptingSince clock.Instant) {
	if clock.Since(q.clock, acceptingSince) >= backlogEmptyAfter {
		q.congestedSince = 0
	}
}

// admitted records that a connection got a place.
func (q *acceptQueue) admitted() {
	if !q.congestedSince.IsZero() {
		q.advance(q.clock.Now())
		q.admissions++
	}
}

// mayWait reports whether the connection may wait for a place, or go on to wait.
func (q *acceptQueue) mayWait() bool {
	now := q.clock.Now()
	if q.congestedSince.IsZero() {
		q.congestedSince, q.windowStart = now, now
		q.admissions, q.lastAdmissions = 0, 0
	}
	if now.Sub(q.congestedSince) < q.timeout {
		return true
	}
	waiting := q.backlogSize()
	if waiting == unknownBacklogSize {
		return false
	}
	q.advance(now)
	measured := admissionWindow + now.Sub(q.windowStart)
	return measured*time.Duration(waiting+1) < q.timeout*time.Duration(q.admissions+q.lastAdmissions)
}

// advance begins a new window where the present one has ended.
func (q *acceptQueue) advance(now clock.Instant) {
	elapsed := now.Sub(q.windowStart)
	if elapsed < admissionWindow {
		return
	}
	q.lastAdmissions = q.admissions
	if elapsed >= 2*admissionWindow { // a whole window without an admission has passed
		q.lastAdmissions = 0
	}
	q.admissions, q.windowStart = 0, now
}
