package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"troutusher/decide"
)

// countingEndpoint is an endpoint that responds to each complete call with 200 and counts the calls.
func countingEndpoint(t *testing.T) (addr string, calls *atomic.Int32) {
	calls = &atomic.Int32{}
	return rawEndpoint(t, func(c net.Conn) {
		for in := bufio.NewReader(c); readCall(in); {
			calls.Add(1)
			io.WriteString(c, okResponse)
		}
	}), calls
}

// Guards the classification of dial failures. A dial that fails temporarily because of this machine delays the call
// and does not count against the endpoint; a failure at the endpoint counts against it at once.
func TestDialFailures(t *testing.T) {
	for _, errno := range localErrnos {
		t.Run("temporary, "+errno.Error(), func(t *testing.T) {
			t.Parallel()
			addr, calls := countingEndpoint(t)
			h := testPool(t).forHost(addr)
			dials := &faultSchedule{failures: 2, errno: errno}
			h.dial = failingDial(h.dial, dials)
			if o := newTestCall().runForResult(t, h, &record{ID: "m"}, testLimit); o.outcome != decide.Delivered {
				t.Errorf("result: got %+v, want the outcome Delivered", o)
			}
			if dials.count() != 3 || calls.Load() != 1 {
				t.Errorf("got %d dials and %d calls, want 3 and 1", dials.count(), calls.Load())
			}
		})
		t.Run("permanent, "+errno.Error(), func(t *testing.T) {
			t.Parallel()
			const limit = 600 * time.Millisecond
			h := testPool(t).forHost("127.0.0.1:1")
			dials := &faultSchedule{failures: 1 << 30, errno: errno}
			h.dial = failingDial(h.dial, dials)
			o := newTestCall().runForResult(t, h, &record{ID: "m"}, limit)
			if o.outcome != decide.NotSent || !o.outcome.NeverRan() {
				t.Errorf("result: got %+v, want the outcome NotSent", o)
			}
			if n := dials.count(); n < 2 || n > 12 { // delays of 10 ms, doubling to 160 ms
				t.Errorf("dials: got %d in %v, want 2 to 12", n, limit)
			}
			if (&endpoint{}).recordResult(&o, policyEpoch) {
				t.Error("recordResult: got true, want the idle connections to stay open after a local failure")
			}
		})
		t.Run("probe, "+errno.Error(), func(t *testing.T) {
			t.Parallel()
			h := testPool(t).forHost("127.0.0.1:1")
			h.dial = failingDial(h.dial, &faultSchedule{failures: 1 << 30, errno: errno})
			if o := probe(context.Background(), h); o.outcome != decide.NotSent {
				t.Errorf("probe: got %+v, want the outcome NotSent", o)
			}
		})
	}
	for _, errno := range remoteErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			h := testPool(t).forHost("127.0.0.1:1")
			dials := &faultSchedule{failures: 1 << 30, errno: errno}
			h.dial = failingDial(h.dial, dials)
			if o := newTestCall().runForResult(t, h, &record{ID: "m"}, testLimit); o.outcome != decide.ConnectFailed || dials.count() != 1 {
				t.Errorf("got %d dials and result %+v, want 1 and the outcome ConnectFailed", dials.count(), o)
			}
			if o := probe(context.Background(), h); o.outcome != decide.ConnectFailed {
				t.Errorf("probe: got %+v, want the outcome ConnectFailed", o)
			}
		})
	}
}

// Guards the cancellation of a call that retries its dial because of a local failure: as with any call that waits for
// a connection, it has not run.
func TestCallWithLocalFailureIsCancelled(t *testing.T) {
	h := testPool(t).forHost("127.0.0.1:1")
	failed := make(chan struct{}, 1024)
	h.dial = func(context.Context, string) (net.Conn, error) {
		failed <- struct{}{}
		return nil, opError("dial", "socket", syscall.EMFILE)
	}
	c := newTestCall()
	go func() {
		<-failed
		c.cancelUnsent(errDrained)
	}()
	if o := c.runForResult(t, h, &record{ID: "m"}, testLimit); o.outcome != decide.NotSent || o.elapsed > (testLimit/2).Microseconds() {
		t.Errorf("cancelled call: got %+v, want the outcome NotSent in less than half of its timeout", o)
	}
}

// Guards a call that finds the pool full: it waits for a connection to be closed for a short time, since it would
// otherwise use up its message's attempts at once.
func TestCallWaitsForFullPool(t *testing.T) {
	p := testPool(t)
	p.maxOpen = 1
	holding, received := newTestCall(), make(chan struct{})
	holder := p.forHost(rawEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		readCall(in)
		close(received)
		in.ReadByte()
	}))
	results := make(chan callResult, 1)
	go holding.run(holder, testItems("held"), nil, func(_ *message, o callResult) { results <- o })
	<-received
	addr, calls := countingEndpoint(t)
	h := p.forHost(addr)
	waiting := newTestCall()
	time.AfterFunc(minDialRetryDelay, func() { holding.cancel(errCancelled) })
	if o := waiting.runForResult(t, h, &record{ID: "m"}, testLimit); o.outcome != decide.Delivered || calls.Load() != 1 {
		t.Errorf("call with a full pool: got %+v, want the outcome Delivered and one call", o)
	}
	<-results
}
