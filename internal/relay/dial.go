package relay

import (
	"context"
	"time"

	"troutusher/decide"
)

const (
	minDialRetryDelay = 10 * time.Millisecond // after a dial that failed on this machine; doubles
	maxDialRetryDelay = 160 * time.Millisecond
	// dialRetryBudget is the total delay after which another endpoint is tried, if one may be reachable.
	dialRetryBudget = 300 * time.Millisecond
)

// getWithRetry returns a connection like get. If no connection can be made for a reason on this machine it retries,
// so that a short failure uses up neither attempts nor processor time: until ctx ends if the machine has run out of a
// resource, and for dialRetryBudget if another endpoint may be reachable or the pool is full.
func (h *hostPool) getWithRetry(ctx context.Context) (*poolConn, error) {
	conn, err := h.get(ctx)
	waited := time.Duration(0)
	shouldRetry := func() bool {
		return isResourceExhausted(err) || (err == errPoolFull || isLocalFailure(err)) && waited < dialRetryBudget
	}
	for delay := minDialRetryDelay; err != nil && shouldRetry(); delay = min(2*delay, maxDialRetryDelay) {
		sleep(ctx, delay)
		if ctx.Err() != nil {
			break
		}
		waited += delay
		conn, err = h.get(ctx)
	}
	return conn, err
}

// unsentOutcome gives the outcome of a call whose last byte was not written because of err. A failure on this machine
// is no evidence against the endpoint.
func unsentOutcome(err error) decide.Outcome {
	if isLocalFailure(err) || isTransient(err) {
		return decide.NotSent
	}
	return decide.ConnectFailed
}
