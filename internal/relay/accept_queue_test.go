package relay

import (
	"net"
	"testing"
	"time"

	"troutusher/internal/clock"
)

// TestAcceptQueueWaitsAtItsRate: connections wait for places while the whole backlog is expected to get places within the
// timeout.
func TestAcceptQueueWaitsAtItsRate(t *testing.T) {
	manualClock := clock.NewManual(clock.Read(clock.System()))
	waiting := 0
	queue := acceptQueue{clock: manualClock, timeout: placeTimeout, backlogSize: func() int { return waiting }}
	admitEach := func(interval time.Duration, n int) {
		for range n {
			manualClock.Advance(interval)
			queue.mayWait()
			queue.admitted()
		}
	}
	expect := func(when string, want bool) {
		t.Helper()
		if got := queue.mayWait(); got != want {
			t.Errorf("%s: may wait: got %v, want %v", when, got, want)
		}
	}
	waiting = 1000
	expect("the backlog was empty just before", true)
	admitEach(10*time.Millisecond, 60)
	expect("1,000 wait, and one in 10 ms gets a place", false)
	waiting = 10
	expect("10 wait, and one in 10 ms gets a place", true)
	admitEach(time.Millisecond, 600)
	waiting = 150
	expect("150 wait, and one in 1 ms gets a place", true)
	manualClock.Advance(2 * admissionWindow)
	waiting = 0
	expect("none got a place for two windows", false)
	asked := manualClock.Now()
	manualClock.Advance(backlogEmptyAfter)
	queue.accepted(asked)
	expect("the backlog was empty", true)
}

// TestAcceptQueueWithoutBacklogSize: where the size of the backlog is not known, connections wait only while the backlog
// has been served to its end within the timeout.
func TestAcceptQueueWithoutBacklogSize(t *testing.T) {
	manualClock := clock.NewManual(clock.Read(clock.System()))
	queue := acceptQueue{clock: manualClock, timeout: placeTimeout, backlogSize: func() int { return unknownBacklogSize }}
	for n, want := range []bool{true, true, false, false} {
		if got := queue.mayWait(); got != want {
			t.Errorf("connection %d: may wait: got %v, want %v", n, got, want)
		}
		manualClock.Advance(placeTimeout / 2)
		queue.accepted(manualClock.Now())
	}
	asked := manualClock.Now()
	manualClock.Advance(backlogEmptyAfter)
	if queue.accepted(asked); !queue.mayWait() {
		t.Error("the backlog was empty: may not wait")
	}
}

// TestBacklogSize: the size of a listener's backlog is that of the connections that were not accepted yet.
func TestBacklogSize(t *testing.T) {
	listener := newLocalListener(t)
	for range 3 {
		dialClient(t, listener.Addr().String())
	}
	waitFor(t, "three connections in the backlog", func() bool { return backlogSize(listener) == 3 })
	if got := backlogSize(noSocket{}); got != unknownBacklogSize {
		t.Errorf("without a socket: got %d, want it unknown", got)
	}
}

// noSocket is a listener without a descriptor.
type noSocket struct{ net.Listener }
