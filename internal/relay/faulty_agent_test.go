package relay

import (
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/clock"
	"troutusher/internal/membership"
)

// If discovery cannot be dialed, the relay must back off rather than retry in a busy loop. That includes an errno
// that counts as a timeout: the dial failed at once, so the error is not a silent connection.
func TestDiscoveryDialDoesNotSpin(t *testing.T) {
	const span = 400 * time.Millisecond
	for _, errno := range append(append([]syscall.Errno{}, localErrnos...), remoteErrnos...) {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			dials := &faultSchedule{failures: 1 << 30, errno: errno}
			d := newDiscovery("127.0.0.1:1", 1, -1, clock.System(), discardLogger(),
				func(context.Context) (membership.Receiver, error) { return nil, errStaleList })
			d.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
				dials.next()
				return nil, opError("dial", "connect", errno)
			}
			ctx, cancel := context.WithTimeout(context.Background(), span)
			defer cancel()
			d.run(ctx)
			if n := dials.count(); n < 1 || n > 20 { // delays are at least 100 ms
				t.Errorf("%d dials in %v", n, span)
			}
		})
	}
}

// If the agent cannot be dialed, notices must be retried after a backoff rather than in a busy loop.
func TestNoticesDialDoesNotSpin(t *testing.T) {
	const span = 400 * time.Millisecond
	for _, errno := range append(append([]syscall.Errno{}, localErrnos...), remoteErrnos...) {
		t.Run(strings.ReplaceAll(errno.Error(), " ", "-"), func(t *testing.T) {
			t.Parallel()
			dials := &faultSchedule{failures: 1 << 30, errno: errno}
			n := newNotices("127.0.0.1:1", clock.System(), discardLogger(), func(string) {})
			n.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
				dials.next()
				return nil, opError("dial", "connect", errno)
			}
			n.incoming.put(notice{Message: "m", Outcome: noticeGivenUp, deadline: clock.System().Now().Add(time.Minute)})
			ctx, cancel := context.WithTimeout(context.Background(), span)
			defer cancel()
			n.run(ctx)
			if made := dials.count(); made < 2 || made > 20 { // delays start at 10 ms and double up to 500 ms
				t.Errorf("%d dials in %v", made, span)
			}
		})
	}
}
