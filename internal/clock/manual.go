package clock

import (
	"sync"
	"time"
)

// Manual is a Clock for tests that advances only on request.
type Manual struct {
	mu     sync.Mutex
	bootID string
	now    Instant
	wall   UnixMicro
}

// NewManual returns a clock that starts with the reading r.
func NewManual(r Reading) *Manual { return &Manual{bootID: r.BootID, now: r.Now, wall: r.Wall} }

// Advance moves both clocks forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	m.wall += UnixMicro(d.Microseconds())
}

// StepWall steps the wall clock by d and leaves the monotonic clock as it is.
func (m *Manual) StepWall(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wall += UnixMicro(d.Microseconds())
}

// Now implements Clock.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// BootID implements Clock.
func (m *Manual) BootID() string { return m.bootID }

// Wall implements Clock.
func (m *Manual) Wall() UnixMicro {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wall
}
