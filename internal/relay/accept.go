package relay

import (
	"log/slog"
	"time"

	"troutusher/internal/clock"
)

const (
	acceptRetryDelay          = 10 * time.Millisecond // delay after a failed accept
	maxImmediateAcceptRetries = 8                     // consecutive failures that are retried without a delay
	acceptLogInterval         = time.Second           // between two log entries
)

// acceptBackoff delays the retries of an accept loop whose accepts fail, and limits how often failures are logged.
type acceptBackoff struct {
	log                 *slog.Logger
	clock               clock.Clock
	listener            string // name of the listener in the log
	consecutiveFailures int
	unloggedFailures    int
	loggedAt            clock.Instant
}

// accepted records a successful accept.
func (a *acceptBackoff) accepted() { a.consecutiveFailures = 0 }

// failed records a failed accept and returns the delay before the next one. A failure that concerns a single queued
// connection is retried at once, so that the connections behind it are not delayed, up to a number of such failures
// in a row.
func (a *acceptBackoff) failed(err error) time.Duration {
	a.consecutiveFailures++
	a.unloggedFailures++
	if now := a.clock.Now(); a.loggedAt.IsZero() || now.Sub(a.loggedAt) >= acceptLogInterval {
		a.log.Warn(a.listener+": accept failed", "err", err, "failures", a.unloggedFailures)
		a.unloggedFailures, a.loggedAt = 0, now
	}
	if a.consecutiveFailures <= maxImmediateAcceptRetries && isSingleConnFailure(err) {
		return 0
	}
	return acceptRetryDelay
}
