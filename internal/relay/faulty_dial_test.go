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

// counted is an endpoint that answers each whole call with 200 and counts them.
func counted(t *testing.T) (addr string, calls *atomic.Int32) {
	calls = &atomic.Int32{}
	return rawEndpoint(t, func(c net.Conn) {
		for in := bufio.NewReader(c); readCall(in); {
			calls.Add(1)
			io.WriteString(c, fine)
		}
	}), calls
}

// A dial that fails on this machine for a moment costs the call a pause and the
// endpoint nothing; one that fails at the endpoint counts against it at once.
func TestDialFailures(t *testing.T) {
	for _, errno := range localErrnos {
		t.Run("for a moment, "+errno.Error(), func(t *testing.T) {
			t.Parallel()
			addr, calls := counted(t)
			h := testPool(t).home(addr)
			dials := &schedule{calls: 2, errno: errno}
			h.dial = failingDial(h.dial, dials)
			if o := newTestCall().made(t, h, &record{ID: "m"}, testLimit); o.what != decide.Delivered {
				t.Errorf("got %+v", o)
			}
			if dials.count() != 3 || calls.Load() != 1 {
				t.Errorf("%d dials, %d calls, want 3 and 1", dials.count(), calls.Load())
			}
		})
		t.Run("for long, "+errno.Error(), func(t *testing.T) {
			t.Parallel()
			const limit = 600 * time.Millisecond
			h := testPool(t).home("127.0.0.1:1")
			dials := &schedule{calls: 1 << 30, errno: errno}
			h.dial = failingDial(h.dial, dials)
			o := newTestCall().made(t, h, &record{ID: "m"}, limit)
			if o.what != decide.NotSent || !o.what.NeverRan() {
				t.Errorf("got %+v", o)
			}
			if n := dials.count(); n < 2 || n > 12 { // pauses of 10 ms, doubling to 160 ms
				t.Errorf("%d dials in %v", n, limit)
			}
			if (&endpoint{}).suspect(&o, policyEpoch) {
				t.Error("the endpoint's idle connections are given up")
			}
		})
		t.Run("under a probe, "+errno.Error(), func(t *testing.T) {
			t.Parallel()
			h := testPool(t).home("127.0.0.1:1")
			h.dial = failingDial(h.dial, &schedule{calls: 1 << 30, errno: errno})
			if o := probe(context.Background(), h); o.what != decide.NotSent {
				t.Errorf("got %+v", o)
			}
		})
	}
	for _, errno := range remoteErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			h := testPool(t).home("127.0.0.1:1")
			dials := &schedule{calls: 1 << 30, errno: errno}
			h.dial = failingDial(h.dial, dials)
			if o := newTestCall().made(t, h, &record{ID: "m"}, testLimit); o.what != decide.ConnectFailed || dials.count() != 1 {
				t.Errorf("%d dials, got %+v", dials.count(), o)
			}
			if o := probe(context.Background(), h); o.what != decide.ConnectFailed {
				t.Errorf("a probe: %+v", o)
			}
		})
	}
}

// A call that waits out a failure of this machine is given up like any that waits
// for a connection: it has never begun.
func TestLocalFailureIsGivenUp(t *testing.T) {
	h := testPool(t).home("127.0.0.1:1")
	failed := make(chan struct{}, 1024)
	h.dial = func(context.Context, string) (net.Conn, error) {
		failed <- struct{}{}
		return nil, opError("dial", "socket", syscall.EMFILE)
	}
	c := newTestCall()
	go func() {
		<-failed
		c.withhold(errDrained)
	}()
	if o := c.made(t, h, &record{ID: "m"}, testLimit); o.what != decide.NotSent || o.took > (testLimit/2).Microseconds() {
		t.Errorf("got %+v", o)
	}
}

// A call that finds the pool full waits a moment for a place, too: it would use up
// its message's attempts at once otherwise.
func TestFullPoolIsWaitedFor(t *testing.T) {
	p := testPool(t)
	p.most = 1
	held, entered := newTestCall(), make(chan struct{})
	holder := p.home(rawEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		readCall(in)
		close(entered)
		in.ReadByte()
	}))
	over := make(chan outcome, 1)
	go held.run(holder, testPart("held"), nil, func(_ *message, o outcome) { over <- o })
	<-entered
	addr, calls := counted(t)
	h := p.home(addr)
	waiting := newTestCall()
	time.AfterFunc(dialPause, func() { held.stop(errCancelled) })
	if o := waiting.made(t, h, &record{ID: "m"}, testLimit); o.what != decide.Delivered || calls.Load() != 1 {
		t.Errorf("got %+v", o)
	}
	<-over
}
