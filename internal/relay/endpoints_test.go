package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
)

func parseTestConfig(t testing.TB) *Config {
	t.Helper()
	c, err := parseConfig([]byte(
		`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"x","seed":"1","settings":`+
			testSettings+`}`), func(string) string { return "" }, false)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newTestCall() *call {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &call{ctx: ctx, cancel: cancel}
}

const testLimit = 20 * time.Second

func testItems(id string) []callItem { return []callItem{{rec: &record{ID: id}, timeout: testLimit}} }

// testPool returns a pool with the timeouts of a relay. A connection that is still open after the test is a leak.
func testPool(t *testing.T) *pool {
	t.Helper()
	p := newPool(clock.System(), 1500*time.Millisecond, 9*time.Second, 64)
	t.Cleanup(func() {
		p.sweep(func(*poolConn) bool { return true })
		if open, _ := p.counts(); open != 0 {
			t.Errorf("connections open after the test: got %d, want 0", open)
		}
	})
	return p
}

// runForResult executes a call with one message and returns its only result.
func (c *call) runForResult(t *testing.T, host *hostPool, rec *record, timeout time.Duration) callResult {
	t.Helper()
	results := make(chan callResult, 4)
	c.run(host, []callItem{{rec: rec, timeout: timeout}}, nil,
		func(_ *message, result callResult) { results <- result })
	if len(results) != 1 {
		t.Fatalf("reported results: got %d, want 1", len(results))
	}
	return <-results
}

// waitReusable waits until the idle connections may be used again.
func waitReusable(h *hostPool) {
	for {
		h.pool.mu.Lock()
		ready := true
		for _, c := range h.pool.idle {
			ready = ready && clock.Since(h.pool.clock, c.idleSince) >= connReuseDelay
		}
		h.pool.mu.Unlock()
		if ready {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// rawEndpoint is an endpoint that serves raw TCP connections, for responses that no HTTP server would send.
func rawEndpoint(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); serve(conn) }()
		}
	}()
	return ln.Addr().String()
}

// readCall reads one complete request from a connection.
func readCall(in *bufio.Reader) bool {
	req, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func TestOutcomeByResponse(t *testing.T) {
	respondWith := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			if readCall(bufio.NewReader(c)) {
				io.WriteString(c, text)
			}
		}
	}
	for name, test := range map[string]struct {
		serve      func(net.Conn)
		outcome    decide.Outcome
		retryAfter decide.Time
		slotsTaken bool
		settled    bool
	}{
		"delivered": {serve: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
			outcome: decide.Delivered, settled: true},
		"delivered, body cut off": {serve: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"),
			outcome: decide.Delivered, settled: true},
		"error": {serve: respondWith("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"),
			outcome: decide.Errored},
		"Retry-After": {serve: respondWith("HTTP/1.1 429 W\r\nRetry-After: 0.75\r\nContent-Length: 0\r\n\r\n"),
			outcome: decide.Rejected, retryAfter: 750000},
		"unavailable": {serve: respondWith("HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n"),
			outcome: decide.Rejected},
		"slots taken": {serve: respondWith("HTTP/1.1 503 F\r\nSlots-Taken: 1\r\nContent-Length: 0\r\n\r\n"),
			outcome: decide.NotSent, slotsTaken: true},
		"attempts used up": {serve: respondWith("HTTP/1.1 504 A\r\nContent-Length: 0\r\n\r\n"),
			outcome: decide.NotSent},
		"gone": {serve: respondWith("HTTP/1.1 410 G\r\nContent-Length: 0\r\n\r\n"),
			outcome: decide.NotSent, settled: true},
		"undefined status": {serve: respondWith("HTTP/1.1 418 T\r\nContent-Length: 0\r\n\r\n"),
			outcome: decide.Errored},
		"redirect is not followed": {serve: respondWith("HTTP/1.1 307 R\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"),
			outcome: decide.Errored},
		"closed without a response": {serve: respondWith(""), outcome: decide.Reset},
		"invalid status line":       {serve: respondWith("what?\r\n\r\n"), outcome: decide.Errored},
		"incomplete status line":    {serve: respondWith("HTTP/1.1 20"), outcome: decide.Reset},
		"interim response first": {
			serve:   respondWith("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
			outcome: decide.Delivered, settled: true},
	} {
		t.Run(name, func(t *testing.T) {
			host := testPool(t).forHost(rawEndpoint(t, test.serve))
			result := newTestCall().runForResult(t, host, &record{ID: "m", Key: "k", body: []byte("b")}, testLimit)
			if result.outcome != test.outcome || result.retryAfter != test.retryAfter ||
				result.slotsTaken != test.slotsTaken || result.settled != test.settled {
				t.Errorf("result: got %+v, want that of the case", result)
			}
		})
	}
}

// Guards the distinction between calls that have not run and calls that may have run. A call whose connection was
// refused has not run; a call without a response after its last byte may have run.
func TestOutcomesWithoutResponse(t *testing.T) {
	p := testPool(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := ln.Addr().String()
	ln.Close()
	if result := newTestCall().runForResult(t, p.forHost(refused), &record{ID: "m"},
		testLimit); result.outcome != decide.ConnectFailed {
		t.Errorf("call to a closed port: got %+v, want the outcome ConnectFailed", result)
	}
	closed := make(chan struct{}, 2)
	received := make(chan struct{}, 2)
	silent := rawEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		readCall(in)
		received <- struct{}{}
		in.ReadByte() // until the relay closes the connection
		closed <- struct{}{}
	})
	if result := newTestCall().runForResult(t, p.forHost(silent), &record{ID: "m"},
		50*time.Millisecond); result.outcome != decide.TimedOut {
		t.Errorf("call without a response: got %+v, want the outcome TimedOut", result)
	}
	<-received
	<-closed // a call that times out closes its connection
	c := newTestCall()
	go func() { <-received; c.cancel(errCancelled) }()
	if result := c.runForResult(t, p.forHost(silent), &record{ID: "m"}, testLimit); result.outcome != decide.Cancelled {
		t.Errorf("cancelled call: got %+v, want the outcome Cancelled", result)
	}
	<-closed
}

// Guards against a call that is sent a second time automatically because its kept-alive connection broke.
func TestNoAutomaticResend(t *testing.T) {
	for name, body := range map[string][]byte{"body": []byte("b"), "empty body": nil} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			addr := rawEndpoint(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				for readCall(in) {
					if calls.Add(1) == 2 {
						return // closes the kept connection under the second call
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			host := testPool(t).forHost(addr)
			rec := &record{ID: "m", Key: "k", body: body}
			if result := newTestCall().runForResult(t, host, rec, testLimit); result.outcome != decide.Delivered {
				t.Fatalf("first call: got %+v, want the outcome Delivered", result)
			}
			waitReusable(host)
			if result := newTestCall().runForResult(t, host, rec, testLimit); result.outcome != decide.Reset {
				t.Errorf("second call: got %+v, want the outcome Reset", result)
			}
			if n := calls.Load(); n != 2 {
				t.Errorf("calls that the endpoint received: got %d, want 2", n)
			}
		})
	}
	req, err := newCallRequest("127.0.0.1:1", []callItem{{rec: &record{ID: "m", Key: "k", body: []byte("b")}}},
		time.Second)
	if err != nil || req.GetBody != nil {
		t.Errorf("newCallRequest: got GetBody set: %v, error: %v, want neither", req.GetBody != nil, err)
	}
}

// Guards the drain grace: a call that is waiting for its connection when its endpoint drains must not be sent once
// the connection is established.
func TestDrainCancelsUnsentCall(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	p := testPool(t)
	dialing, release := make(chan struct{}), make(chan struct{})
	host := p.forHost(ep.addr())
	host.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		close(dialing)
		<-release
		return net.Dial("tcp", addr)
	}
	c := newTestCall()
	go func() { <-dialing; c.cancelUnsent(errDrained); close(release) }()
	if result := c.runForResult(t, host, &record{ID: "m"}, testLimit); result.outcome != decide.NotSent {
		t.Errorf("call cancelled while dialing: got %+v, want the outcome NotSent", result)
	}
	if n := ep.callCount("m"); n != 0 {
		t.Errorf("calls that the endpoint received: got %d, want 0", n)
	}
	// The drain may also arrive just as the connection is established.
	late := newTestCall()
	late.stage.Store(callCancelled)
	if result := late.runForResult(t, p.forHost(ep.addr()), &record{ID: "late"},
		testLimit); result.outcome != decide.NotSent || ep.callCount("late") != 0 {
		t.Errorf("call cancelled before it starts: got %+v and %d calls, want the outcome NotSent and no call", result,
			ep.callCount("late"))
	}
	// A call that is being sent is not cancelled.
	sending := newTestCall()
	sending.stage.Store(callSending)
	if sending.cancelUnsent(errDrained); sending.ctx.Err() != nil {
		t.Error("a call that was being sent was cancelled")
	}
}

// Guards Retry-After: it cancels calls that started earlier and still wait for a connection. It applies to the
// endpoint that sent it if endpoints have separate limits, and otherwise to all endpoints of its destination, but to no
// other.
func TestRetryAfterCancelsUnsentCalls(t *testing.T) {
	for _, separate := range []bool{true, false} {
		r := newTestRelay(t)
		r.cfg.Policy.Kinds = []decide.DestKind{{SeparateLimits: separate, MaxBatch: 1}}
		r.cfg.kinds = map[string]int{"k": 0}
		list := &List{Complete: true}
		for i, dest := range []int{1, 1, 2} {
			list.Members = append(list.Members, Member{ID: fmt.Sprint("s-", i), HostPort: "127.0.0.1:1", Flavor: "k",
				Cell: dest, Phase: phaseUp, Size: 5})
		}
		r.receiveList(t, list)
		var calls []*call
		for i := range list.Members {
			c := newTestCall()
			c.ep = r.endpointByID(fmt.Sprint("s-", i))
			c.ep.calls[c] = true
			calls = append(calls, c)
		}
		sending := newTestCall()
		sending.ep = calls[0].ep
		sending.stage.Store(callSending)
		sending.ep.calls[sending] = true
		throttled := newTestCall()
		throttled.ep = calls[0].ep
		r.handleCallResult(throttled, nil, &callResult{outcome: decide.Rejected, retryAfter: 700e3})
		for i, cancelled := range []bool{true, !separate, false} {
			if got := calls[i].stage.Load() == callCancelled; got != cancelled || got != (calls[i].ctx.Err() != nil) {
				t.Errorf("separate limits %v: call to endpoint %d cancelled: got %v, want %v", separate, i, got,
					cancelled)
			}
			if got := calls[i].ep.waitUntil > r.now(); got != cancelled {
				t.Errorf("separate limits %v: endpoint %d waits: got %v, want %v", separate, i, got, cancelled)
			}
		}
		if sending.ctx.Err() != nil {
			t.Errorf("separate limits %v: a call that was being sent was cancelled", separate)
		}
	}
}

// Guards against dead idle connections: after an endpoint's machine was unreachable its idle connections are closed.
// One slow call while others get responses is no reason to close them.
func TestDeadIdleConnectionsAreClosed(t *testing.T) {
	ep := &endpoint{}
	for i, test := range []struct {
		result callResult
		now    decide.Time
		want   bool
	}{
		{callResult{outcome: decide.Delivered, status: 200, elapsed: 10}, 1000, false},
		// The call was sent at 600, and the endpoint responded at 1000.
		{callResult{outcome: decide.TimedOut, elapsed: 500}, 1100, false},
		{callResult{outcome: decide.TimedOut, elapsed: 500}, 2000, true},
		{callResult{outcome: decide.Reset}, 2100, false}, // the endpoint responded at 1000: a single connection broke
		{callResult{outcome: decide.Reset}, 1000 + recentResponseWindow + 1, true},
		{callResult{outcome: decide.ConnectFailed}, 2200, true},
		{callResult{outcome: decide.Rejected, status: 503}, 2300, false},
		{callResult{outcome: decide.Cancelled, elapsed: 50}, 2320, false},
	} {
		if got := ep.recordResult(&test.result, test.now); got != test.want {
			t.Errorf("case %d: idle connections to be closed: got %v, want the opposite", i, got)
		}
	}
}

// Guards connection reuse: a new connection costs a handshake, so responses are read to their end and more than two
// connections are kept after a burst.
func TestConnectionsAreKept(t *testing.T) {
	var conns atomic.Int32
	const burst = 6
	inFlight := make(chan struct{}, burst)
	addr := rawEndpoint(t, func(c net.Conn) {
		conns.Add(1)
		in := bufio.NewReader(c)
		for readCall(in) {
			inFlight <- struct{}{}
			for len(inFlight) < burst { // all calls of a burst are in flight together
				time.Sleep(time.Millisecond)
			}
			io.Copy(c, bytes.NewReader(append([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"),
				make([]byte, 9000)...)))
		}
	})
	host := testPool(t).forHost(addr)
	for round := range 2 {
		done, ended := make(chan callResult, burst), make(chan bool, burst)
		for range burst {
			go func() {
				newTestCall().run(host, testItems("m"), nil, func(_ *message, result callResult) { done <- result })
				ended <- true
			}()
		}
		for range burst {
			if result := <-done; result.outcome != decide.Delivered {
				t.Fatalf("burst %d: got %+v, want the outcome Delivered", round, result)
			}
			<-ended
		}
		waitReusable(host)
		for len(inFlight) > 0 {
			<-inFlight
		}
	}
	if n := conns.Load(); n != burst {
		t.Errorf("connections for two bursts: got %d, want %d", n, burst)
	}
}

func TestParseRetryAfter(t *testing.T) {
	for s, want := range map[string]decide.Time{"1.5": 1500000, " 2 ": 2000000, "": 0, "0": 0, "soon": -1, "-1": -1,
		"NaN": -1, "Inf": -1, "1e99": -1} {
		got, err := parseRetryAfter(s)
		if (err != nil) != (want < 0) || err == nil && got != want {
			t.Errorf("Retry-After %q: got %d, error %v, want %d (-1 for an error)", s, got, err, want)
		}
	}
}

func TestParseLoad(t *testing.T) {
	fields := []string{"x0", "x1"}
	for s, want := range map[string]decide.Load{"x0=0.4,x1=25": {Remaining: 0.4, Limit: 25}, "x1=3": {Limit: 3}, "": {},
		"x0=?,x1=-2": {}, "x1=NaN": {}, "x1=Inf,x0=+Inf": {}, "x1=1e300": {}} {
		if got := parseLoad(s, fields); got != want {
			t.Errorf("load report %q: got %+v, want that of the case", s, got)
		}
	}
	if got := parseLoad("x0=1", nil); got != (decide.Load{}) {
		t.Errorf("load report without configured fields: got %+v, want none", got)
	}
}

// Guards the load reports in successful responses, also to a call with a single message. A report that arrives late
// or is cut off does not delay the result.
func TestLoadReportOfADelivery(t *testing.T) {
	const statusLine, load = "HTTP/1.1 200 OK\r\n", "X-Server-Load: x0=0.4,x1=25\r\n"
	for name, test := range map[string]struct {
		parts []string
		want  decide.Load
	}{
		"with the status line": {[]string{statusLine + load + "Content-Length: 0\r\n\r\n"},
			decide.Load{Remaining: 0.4, Limit: 25}},
		"no report":             {[]string{statusLine + "Content-Length: 0\r\n\r\n"}, decide.Load{}},
		"cut off":               {[]string{statusLine + "X-Server-Load: x0=0.4,x1=2"}, decide.Load{}},
		"invalid header":        {[]string{statusLine + "x1=25\r\n\r\n"}, decide.Load{}},
		"after the status line": {[]string{statusLine, load + "Content-Length: 0\r\n\r\n"}, decide.Load{}},
	} {
		t.Run(name, func(t *testing.T) {
			results := make(chan callResult, 4)
			host := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) {
				if !readCall(bufio.NewReader(c)) {
					return
				}
				for i, text := range test.parts {
					if i > 0 { // waits for the result of the first part
						result := <-results
						results <- result
					}
					io.WriteString(c, text)
				}
			}))
			newTestCall().run(host, testItems("m"), []string{"x0", "x1"},
				func(_ *message, result callResult) { results <- result })
			if result := <-results; result.outcome != decide.Delivered || result.load != test.want {
				t.Errorf("result: got %+v, want the outcome Delivered and the load of the case", result)
			}
		})
	}
}

func TestProbe(t *testing.T) {
	for code, want := range map[int]decide.Outcome{200: decide.Delivered, 503: decide.Rejected, 404: decide.Errored} {
		ep := newFakeEndpoint(t, respondStatus(code))
		if result := probe(context.Background(), testPool(t).forHost(ep.addr())); result.outcome != want {
			t.Errorf("probe with status %d: got %+v, want the outcome of the case", code, result)
		}
	}
}
