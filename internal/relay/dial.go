package relay

import (
	"context"
	"time"

	"troutusher/decide"
)

const (
	dialPause     = 10 * time.Millisecond  // after a dial that failed on this machine; doubles
	dialPauseMost = 160 * time.Millisecond // the longest such pause
	dialElsewhere = 300 * time.Millisecond // where other endpoints may be reachable, try those after so long
)

// getPatiently gives a connection like get. Where one cannot be made for a
// reason on this machine it tries again, so that a moment's trouble uses up
// neither attempts nor processor time: until ctx ends where the machine has run
// out of something, and for dialElsewhere where another endpoint may be
// reachable or the pool is full.
func (h *home) getPatiently(ctx context.Context) (*poolConn, error) {
	conn, err := h.get(ctx)
	waited := time.Duration(0)
	again := func() bool { return isExhausted(err) || (err == errNoRoom || isLocal(err)) && waited < dialElsewhere }
	for pause := dialPause; err != nil && again(); pause = min(2*pause, dialPauseMost) {
		sleep(ctx, pause)
		if ctx.Err() != nil {
			break
		}
		waited += pause
		conn, err = h.get(ctx)
	}
	return conn, err
}

// notConnected maps the error of a call for which no byte, or not its last one,
// has left. Trouble on this machine is no evidence against the endpoint.
func notConnected(err error) decide.Outcome {
	if isLocal(err) || isTransient(err) {
		return decide.NotSent
	}
	return decide.ConnectFailed
}
