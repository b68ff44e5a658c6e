package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/decide"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards the handling of malformed responses. The call may have run, whatever the status line says, unless it says
// 200, which means delivered. No response is read beyond its size limit or its timeouts.
func TestMalformedResponses(t *testing.T) {
	long := strings.Repeat("x", 8000)
	for name, test := range map[string]struct {
		response string
		endless  bool // the endpoint sends without end after the response
		outcome  decide.Outcome
		settled  bool
		reusable bool
	}{
		"503 with a short body": {response: "HTTP/1.1 503 F\r\nContent-Length: 9\r\n\r\nno",
			outcome: decide.Errored},
		"invalid Retry-After": {response: "HTTP/1.1 429 W\r\nRetry-After: -3\r\nContent-Length: 0\r\n\r\n",
			outcome: decide.Errored},
		"410 with an incomplete header": {response: "HTTP/1.1 410 G\r\nContent-Le", outcome: decide.Errored},
		"504 with two lengths": {response: "HTTP/1.1 504 A\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n",
			outcome: decide.Errored},
		"503 with a length that is no number": {response: "HTTP/1.1 503 F\r\nContent-Length: many\r\n\r\n",
			outcome: decide.Errored},
		"503 with a negative length": {response: "HTTP/1.1 503 F\r\nContent-Length: -1\r\n\r\n",
			outcome: decide.Errored},
		"503 with a body of 3 GB": {response: "HTTP/1.1 503 F\r\nContent-Length: 3221225472\r\n\r\n",
			endless: true, outcome: decide.Errored},
		"503 with an endless header": {response: "HTTP/1.1 503 F\r\n", endless: true, outcome: decide.Errored},
		"503 with a cut chunk": {response: "HTTP/1.1 503 F\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
			outcome: decide.Errored},
		"binary data": {response: "\x00\xff\x13noise\x00", outcome: decide.Errored},
		"binary data before a status line": {response: "\x00\xffnoise\r\nHTTP/1.1 503 F\r\n\r\n",
			outcome: decide.Errored},
		"endless status line": {response: "HTTP/1.1 503 " + long, endless: true,
			outcome: decide.Errored},
		"status of four digits": {response: "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
			outcome: decide.Errored},
		"another protocol version": {response: "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
			outcome: decide.Errored},
		"200 with a body of 3 GB": {response: "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
			endless: true, outcome: decide.Delivered, settled: true},
		"200 with an incomplete header": {response: "HTTP/1.1 200 OK\r\nX-", outcome: decide.Delivered, settled: true},
		"200 with binary data as header": {response: "HTTP/1.1 200 OK\r\n\x00\x01\xff", outcome: decide.Delivered,
			settled: true},
		"200 with a negative length": {response: "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n",
			outcome: decide.Delivered, settled: true},
		"several interim responses": {
			response: "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: x\r\n\r\nHTTP/1.1 102 P\r\n\r\n" + okResponse,
			outcome:  decide.Delivered, settled: true, reusable: true},
		"too many interim responses": {response: strings.Repeat("HTTP/1.1 100 C\r\n\r\n", 500),
			outcome: decide.Errored},
		"incomplete interim response": {response: "HTTP/1.1 103 E\r\n", outcome: decide.Errored},
		"503, then a second copy": {
			response: "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n",
			outcome:  decide.Rejected},
		"200, then a second copy": {response: okResponse + okResponse, outcome: decide.Delivered, settled: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan int, 1)
			host := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				if !readCall(in) {
					return
				}
				io.WriteString(c, test.response)
				n := 0
				for test.endless {
					m, err := c.Write([]byte(long))
					if n += m; err != nil {
						closed <- n
						return
					}
				}
				io.Copy(io.Discard, in) // the endpoint keeps the connection open
				closed <- n
			}))
			result := newTestCall().runForResult(t, host, &record{ID: "m", body: []byte("b")}, testLimit)
			if result.outcome != test.outcome || result.settled != test.settled {
				t.Errorf("result: got %+v, want that of the case", result)
			}
			if result.elapsed > (testLimit / 2).Microseconds() {
				t.Errorf("elapsed time: got %d us, want no wait for data that does not come", result.elapsed)
			}
			if _, idle := host.pool.counts(); (idle != 0) != test.reusable {
				t.Errorf("idle connections after the call: got %d, which is not what the case wants", idle)
			}
			host.closeIdle()
			if n := <-closed; n > 64<<20 {
				t.Errorf("bytes that the endpoint sent before the connection closed: got %d, want at most 64 MB", n)
			}
		})
	}
}

// Guards the time at which a delivery is reported: as soon as the status line has arrived.
func TestDeliveredAtStatusLine(t *testing.T) {
	release := make(chan struct{})
	host := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) {
		if readCall(bufio.NewReader(c)) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			<-release
		}
	}))
	results, done := make(chan callResult, 1), make(chan struct{})
	go func() {
		defer close(done)
		newTestCall().run(host, testItems("m"), nil, func(_ *message, result callResult) { results <- result })
	}()
	if result := <-results; result.outcome != decide.Delivered {
		t.Errorf("result: got %+v, want the outcome Delivered", result)
	}
	select {
	case <-done:
		t.Error("the call did not wait for the rest of the response")
	default:
	}
	<-done
	close(release)
}

// Guards a final response that arrives long after an interim one: the stall timeout applies only to a response that
// has begun.
func TestInterimResponseLongBeforeFinal(t *testing.T) {
	release := make(chan struct{})
	host := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) {
		if readCall(bufio.NewReader(c)) {
			io.WriteString(c, "HTTP/1.1 102 P\r\n\r\n")
			<-release
			io.WriteString(c, okResponse)
		}
	}))
	results, done := make(chan callResult, 1), make(chan struct{})
	go func() {
		defer close(done)
		newTestCall().run(host, testItems("m"), nil, func(_ *message, result callResult) { results <- result })
	}()
	select {
	case result := <-results:
		t.Fatalf("result before the final response: got %+v, want none", result)
	case <-time.After(2 * responseStallTimeout):
	}
	close(release)
	if result := <-results; result.outcome != decide.Delivered {
		t.Errorf("result: got %+v, want the outcome Delivered", result)
	}
	<-done
}

// Guards against surplus bytes after a response: a second copy or binary data must not be taken for the response to
// the next call, whether they arrive before the connection is put back, while it is idle, or only when all of the
// next call but its last byte is written. The call has not run then, and is sent once, on another connection.
func TestSurplusBytesAfterResponse(t *testing.T) {
	for name, surplus := range map[string]string{"copy": okResponse, "binary data": "\x00\x01\x02", "end": ""} {
		t.Run("while idle, "+name, func(t *testing.T) {
			var conns, calls atomic.Int32
			sent := make(chan struct{}, 8)
			sendSurplus := make(chan struct{})
			host := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) {
				first := conns.Add(1) == 1
				in := bufio.NewReader(c)
				for readCall(in) {
					if calls.Add(1); !first {
						io.WriteString(c, "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					io.WriteString(c, okResponse)
					<-sendSurplus
					io.WriteString(c, surplus)
					sent <- struct{}{}
					if surplus == "" {
						return
					}
				}
			}))
			if result := newTestCall().runForResult(t, host, &record{ID: "a"},
				testLimit); result.outcome != decide.Delivered {
				t.Fatalf("first call: got %+v, want the outcome Delivered", result)
			}
			if _, idle := host.pool.counts(); idle != 1 {
				t.Fatalf("idle connections after the first call: got %d, want 1", idle)
			}
			close(sendSurplus)
			<-sent
			waitReusable(host)
			waitFor(t, "the surplus bytes", func() bool {
				host.pool.mu.Lock()
				defer host.pool.mu.Unlock()
				return len(host.pool.idle) == 0 || !host.pool.idle[0].isClean()
			})
			if result := newTestCall().runForResult(t, host, &record{ID: "b"},
				testLimit); result.outcome != decide.Rejected {
				t.Errorf("second call: got %+v, want the outcome Rejected", result)
			}
			if conns.Load() != 2 || calls.Load() != 2 {
				t.Errorf("got %d connections and %d calls, want 2 and 2", conns.Load(), calls.Load())
			}
		})
	}
	t.Run("while the call is written", func(t *testing.T) {
		var conns atomic.Int32
		got := make(chan int, 4) // how often the whole second call arrived on the first connection
		host := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) {
			first := conns.Add(1) == 1
			in := bufio.NewReader(c)
			for n := 0; readCall(in); n++ {
				if !first {
					io.WriteString(c, "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n")
					continue
				}
				io.WriteString(c, okResponse)
				rest, _ := io.ReadAll(in)
				got <- strings.Count(string(rest), "tail of the body")
			}
		}))
		if result := newTestCall().runForResult(t, host, &record{ID: "a"},
			testLimit); result.outcome != decide.Delivered {
			t.Fatalf("first call: got %+v, want the outcome Delivered", result)
		}
		waitReusable(host)
		host.pool.mu.Lock()
		c := host.pool.idle[0]
		c.Conn = &eofOnWriteConn{TCPConn: c.Conn.(*net.TCPConn)}
		host.pool.mu.Unlock()
		if result := newTestCall().runForResult(t, host, &record{ID: "b", body: []byte("the tail of the body")},
			testLimit); result.outcome != decide.Rejected {
			t.Errorf("second call: got %+v, want the outcome Rejected", result)
		}
		if n := <-got; n != 0 || conns.Load() != 2 {
			t.Errorf("second call: got %d times on the first connection, want 0; got %d connections, want 2", n,
				conns.Load())
		}
	})
}

// eofOnWriteConn receives an end of file as soon as the first part of a call is written.
type eofOnWriteConn struct {
	*net.TCPConn
	begun bool
}

func (c *eofOnWriteConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if !c.begun {
		c.begun = true
		c.TCPConn.CloseRead() // an end of file is detected like surplus bytes
	}
	return n, err
}

// Guards non-idempotent messages against kept connections that their endpoint has dropped without notice: the reset
// arrives before the last byte of the call is written, so the call is sent on another connection and runs once.
func TestConnectionDroppedWithoutNotice(t *testing.T) {
	var conns, calls atomic.Int32
	p := testPool(t)
	host := p.forHost(rawEndpoint(t, func(c net.Conn) {
		first := conns.Add(1) == 1
		in := bufio.NewReader(c)
		if !readCall(in) {
			return
		}
		calls.Add(1)
		io.WriteString(c, okResponse)
		if first {
			in.ReadByte() // the first byte of the next call
			c.(*net.TCPConn).SetLinger(0)
		}
	}))
	p.lastByteDelay = time.Millisecond
	if result := newTestCall().runForResult(t, host, &record{ID: "a"}, testLimit); result.outcome != decide.Delivered {
		t.Fatalf("first call: got %+v, want the outcome Delivered", result)
	}
	waitReusable(host)
	dial := host.dial
	host.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		p.lastByteDelay = time.Millisecond
		return dial(ctx, addr)
	}
	p.lastByteDelay = testLimit // the reset ends the delay
	if result := newTestCall().runForResult(t, host, &record{ID: "b"}, testLimit); result.outcome != decide.Delivered {
		t.Errorf("second call: got %+v, want the outcome Delivered", result)
	}
	if conns.Load() != 2 || calls.Load() != 2 {
		t.Errorf("got %d connections and %d calls, want 2 and 2", conns.Load(), calls.Load())
	}
}

// Guards the outcome of a call whose connections all break before its last byte is written: it has not run.
func TestConnectionBreaksBeforeLastByte(t *testing.T) {
	host := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) { io.Copy(io.Discard, c) }))
	dial := host.dial
	host.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		return &brokenWriteConn{TCPConn: c.(*net.TCPConn)}, err
	}
	if result := newTestCall().runForResult(t, host, &record{ID: "m", body: []byte("b")},
		testLimit); result.outcome != decide.ConnectFailed {
		t.Errorf("result: got %+v, want the outcome ConnectFailed", result)
	}
}

// brokenWriteConn fails its second write.
type brokenWriteConn struct {
	*net.TCPConn
	writes int
}

func (b *brokenWriteConn) Write(p []byte) (int, error) {
	if b.writes++; b.writes == 2 {
		return 0, errors.New("injected write error")
	}
	return b.TCPConn.Write(p)
}

// Guards the limit of file descriptors: the number of open connections is bounded over all endpoints, and an idle
// connection is closed when another endpoint needs one. A dial that fails or is cancelled does not count as open.
func TestPoolBounded(t *testing.T) {
	serve := func(c net.Conn) {
		for in := bufio.NewReader(c); readCall(in); {
			io.WriteString(c, okResponse)
		}
	}
	p := testPool(t)
	p.maxOpen = 3
	for i := range 10 {
		if result := newTestCall().runForResult(t, p.forHost(rawEndpoint(t, serve)), &record{ID: "m"},
			testLimit); result.outcome != decide.Delivered {
			t.Fatalf("call to endpoint %d: got %+v, want the outcome Delivered", i, result)
		}
		if open, _ := p.counts(); open > 3 {
			t.Fatalf("open connections: got %d, want at most 3", open)
		}
	}
	received := make(chan struct{}, 3)
	stuck := p.forHost(rawEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		readCall(in)
		received <- struct{}{}
		in.ReadByte()
	}))
	var calls []*call
	results := make(chan callResult, 3)
	for range 3 {
		c := newTestCall()
		calls = append(calls, c)
		go func() { c.run(stuck, testItems("m"), nil, func(_ *message, result callResult) { results <- result }) }()
		<-received
	}
	if result := newTestCall().runForResult(t, stuck, &record{ID: "m"}, testLimit); result.outcome != decide.NotSent {
		t.Errorf("fourth call with a limit of 3: got %+v, want the outcome NotSent", result)
	}
	for _, c := range calls {
		c.cancel(errCancelled)
		<-results
	}
	waitFor(t, "the connections to close", func() bool { open, _ := p.counts(); return open == 0 })
	refused := p.forHost("127.0.0.1:1")
	if result := newTestCall().runForResult(t, refused, &record{ID: "m"},
		testLimit); result.outcome != decide.ConnectFailed {
		t.Errorf("call to a closed port: got %+v, want the outcome ConnectFailed", result)
	}
	if open, _ := p.counts(); open != 0 {
		t.Errorf("open connections after a refused dial: got %d, want 0", open)
	}
}

// Guards against idle connections that the endpoint has closed or written to: they must not hold a file descriptor
// until their next use.
func TestPoolSweeps(t *testing.T) {
	end := make(chan struct{})
	p := testPool(t)
	host := p.forHost(rawEndpoint(t, func(c net.Conn) {
		if readCall(bufio.NewReader(c)) {
			io.WriteString(c, okResponse)
			<-end
		}
	}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.run(ctx) }()
	newTestCall().runForResult(t, host, &record{ID: "m"}, testLimit)
	if _, idle := p.counts(); idle != 1 {
		t.Fatalf("idle connections after the call: got %d, want 1", idle)
	}
	close(end)
	waitFor(t, "the sweep", func() bool { open, _ := p.counts(); return open == 0 })
	cancel()
	<-done
	// A connection to an endpoint that was removed is closed after its call.
	gone := p.forHost(rawEndpoint(t, func(c net.Conn) {
		if readCall(bufio.NewReader(c)) {
			io.WriteString(c, okResponse)
			time.Sleep(time.Millisecond)
		}
	}))
	gone.close()
	newTestCall().runForResult(t, gone, &record{ID: "m"}, testLimit)
	if open, _ := p.counts(); open != 0 {
		t.Errorf("open connections to a removed endpoint: got %d, want 0", open)
	}
}
