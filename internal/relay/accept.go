package relay

import (
	"log/slog"
	"time"

	"troutusher/internal/clock"
)

const (
	acceptPause   = 10 * time.Millisecond // after an accept that failed
	acceptSkips   = 8                     // failures in a row that are skipped with no pause
	acceptLogWait = time.Second           // between two lines on failures
)

// acceptBackoff keeps an accept loop going through failures, without spinning.
type acceptBackoff struct {
	log      *slog.Logger
	clock    clock.Clock
	listener string // its name in the log
	inRow    int
	unlogged int
	loggedAt clock.Instant
}

// accepted notes a connection.
func (a *acceptBackoff) accepted() { a.inRow = 0 }

// failed notes a failure and returns the pause before the next accept. A
// connection that was broken in the queue costs the one behind it no time,
// unless nothing else comes.
func (a *acceptBackoff) failed(err error) time.Duration {
	a.inRow++
	a.unlogged++
	if now := a.clock.Now(); a.loggedAt.IsZero() || now.Sub(a.loggedAt) >= acceptLogWait {
		a.log.Warn(a.listener+": accept", "err", err, "failures", a.unlogged)
		a.unlogged, a.loggedAt = 0, now
	}
	if a.inRow <= acceptSkips && isSingleConnFailure(err) {
		return 0
	}
	return acceptPause
}
