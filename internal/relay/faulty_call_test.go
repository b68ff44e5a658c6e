package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"troutusher/decide"
)

// requestLength is the length of a call's request in bytes.
func requestLength(t *testing.T, h *hostPool, rec *record) int {
	t.Helper()
	_, text, err := encodeCall(h.addr, []callItem{{rec: rec, timeout: testLimit}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(text)
}

// Guards against duplicates and losses if the write of a call fails at any byte. The call is sent again on another
// connection and runs once. If the write fails on each connection the call has not run.
func TestWriteBreaksAtEachByte(t *testing.T) {
	rec := &record{ID: "m", body: []byte("body")}
	addr, calls := countingEndpoint(t)
	length := requestLength(t, testPool(t).forHost(addr), rec)
	for at := range length {
		errno := brokenErrnos[at%len(brokenErrnos)]
		p := testPool(t)
		p.lastByteDelay = time.Microsecond
		h := p.forHost(addr)
		dial, dials := h.dial, 0
		h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dial(ctx, addr)
			if dials++; err != nil || dials > 1 {
				return conn, err
			}
			return &faultyConn{TCPConn: conn.(*net.TCPConn), failWriteAt: at, writeErrno: errno, writeFailures: 1}, nil
		}
		before := calls.Load()
		if o := newTestCall().runForResult(t, h, rec, testLimit); o.outcome != decide.Delivered || dials != 2 || calls.Load() != before+1 {
			t.Fatalf("write fails at byte %d with %v: got %d connections, %d calls, result %+v, want 2, 1 and Delivered",
				at, errno, dials, calls.Load()-before, o)
		}
	}
	for _, errno := range brokenErrnos {
		for _, at := range []int{0, 1, length / 2, length - 2, length - 1} {
			h := testPool(t).forHost(addr)
			dial := h.dial
			h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				conn, err := dial(ctx, addr)
				return &faultyConn{TCPConn: conn.(*net.TCPConn), failWriteAt: at, writeErrno: errno, writeFailures: 1}, err
			}
			before := calls.Load()
			o := newTestCall().runForResult(t, h, rec, testLimit)
			if o.outcome != decide.ConnectFailed || calls.Load() != before {
				t.Errorf("each write fails at byte %d with %v: got %d calls, result %+v, want 0 and ConnectFailed",
					at, errno, calls.Load()-before, o)
			}
		}
	}
}

// Guards writes that fail for lack of memory or are interrupted by a signal. They continue where they stopped, except
// for the last byte, which is not retried: the call runs once, on its first connection.
func TestTransientWriteFailure(t *testing.T) {
	rec := &record{ID: "m", body: []byte("body")}
	addr, calls := countingEndpoint(t)
	length := requestLength(t, testPool(t).forHost(addr), rec)
	for _, errno := range transientErrnos {
		for at := 0; at < length; at += 11 {
			h := testPool(t).forHost(addr)
			dial, dials := h.dial, 0
			h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				dials++
				conn, err := dial(ctx, addr)
				return &faultyConn{TCPConn: conn.(*net.TCPConn), failWriteAt: at, writeErrno: errno, writeFailures: 2}, err
			}
			before := calls.Load()
			if o := newTestCall().runForResult(t, h, rec, testLimit); o.outcome != decide.Delivered || dials != 1 || calls.Load() != before+1 {
				t.Errorf("transient failure at byte %d with %v: got %d connections, %d calls, result %+v, want 1, 1 and Delivered",
					at, errno, dials, calls.Load()-before, o)
			}
		}
		h := testPool(t).forHost(addr)
		dial := h.dial
		h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dial(ctx, addr)
			return &faultyConn{TCPConn: conn.(*net.TCPConn), failWriteAt: length / 2, writeErrno: errno, writeFailures: 1 << 30}, err
		}
		before := calls.Load()
		if o := newTestCall().runForResult(t, h, rec, testLimit); o.outcome != decide.NotSent || calls.Load() != before {
			t.Errorf("each write fails with %v: got %d calls, result %+v, want 0 and NotSent", errno, calls.Load()-before, o)
		}
	}
}

// lastByteErrorConn sends the last byte of a call, but reports an error for that write.
type lastByteErrorConn struct {
	*net.TCPConn
	errno syscall.Errno
}

func (c *lastByteErrorConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if len(b) == 1 && err == nil {
		err = opError("write", "write", c.errno)
	}
	return n, err
}

// Guards calls whose connection breaks after the last byte was written: they may have run, so they are neither sent
// again automatically nor counted as delivered.
func TestBreaksAfterTheLastByte(t *testing.T) {
	for _, errno := range append(brokenErrnos, syscall.ENETUNREACH, syscall.ECONNABORTED) {
		for name, x := range map[string]struct {
			reads         int    // reads that succeed
			response      string // the part that arrives
			failLastWrite bool   // the write of the last byte fails, too
			outcome       decide.Outcome
		}{
			"before a response":      {reads: 1, outcome: decide.Reset}, // the first read is the check for unexpected data
			"in the status line":     {reads: 2, response: "HTTP/1.1 2", outcome: decide.Reset},
			"in the header of a 503": {reads: 2, response: "HTTP/1.1 503 F\r\nContent-Le", outcome: decide.Errored},
			"write of the last byte": {reads: 1, failLastWrite: true, outcome: decide.Reset},
		} {
			t.Run(fmt.Sprintf("%s, %v", name, errno), func(t *testing.T) {
				t.Parallel()
				var calls atomic.Int32
				h := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) {
					in := bufio.NewReader(c)
					if readCall(in) {
						calls.Add(1)
						io.WriteString(c, x.response)
						io.Copy(io.Discard, in)
					}
				}))
				dial := h.dial
				h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
					conn, err := dial(ctx, addr)
					if err != nil {
						return nil, err
					}
					tcp := conn.(*net.TCPConn)
					faulty := &faultyConn{TCPConn: tcp, reads: &faultSchedule{first: x.reads, failures: 1 << 30, errno: errno}}
					if x.failLastWrite {
						return &struct {
							*lastByteErrorConn
							faultyReader
						}{&lastByteErrorConn{tcp, errno}, faultyReader{faulty}}, nil
					}
					return faulty, nil
				}
				o := newTestCall().runForResult(t, h, &record{ID: "m", body: []byte("b")}, testLimit)
				waitFor(t, "the call", func() bool { return calls.Load() == 1 })
				if o.outcome != x.outcome || o.outcome.NeverRan() || o.settled {
					t.Errorf("result: got %+v, want the outcome of the case", o)
				}
			})
		}
	}
}

// faultyReader overrides the Read method of a connection that is embedded next to it.
type faultyReader struct{ faulty *faultyConn }

func (r faultyReader) Read(b []byte) (int, error) { return r.faulty.Read(b) }

// Guards reading a response in pieces: single bytes, pieces of random sizes by a seed, or interrupted by transient
// errors. The result is the same as for a response read at once.
func TestResponseReadInPieces(t *testing.T) {
	for name, x := range map[string]func(*faultyConn){
		"single bytes": func(c *faultyConn) { c.maxRead = 1 },
		"random sizes": func(c *faultyConn) { c.readSizes = newRand(7) },
		"ENOMEM":       func(c *faultyConn) { c.reads = &faultSchedule{first: 1, failures: 3, errno: syscall.ENOMEM} },
		"ENOBUFS":      func(c *faultyConn) { c.reads = &faultSchedule{first: 1, failures: 3, errno: syscall.ENOBUFS} },
		"EINTR":        func(c *faultyConn) { c.reads = &faultSchedule{first: 1, failures: 3, errno: syscall.EINTR} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) {
				if readCall(bufio.NewReader(c)) {
					io.WriteString(c, "HTTP/1.1 429 W\r\nRetry-After: 1.5\r\nContent-Length: 3\r\n\r\nabc")
					io.Copy(io.Discard, c)
				}
			}))
			dial := h.dial
			h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				conn, err := dial(ctx, addr)
				if err != nil {
					return nil, err
				}
				faulty := &faultyConn{TCPConn: conn.(*net.TCPConn)}
				x(faulty)
				return faulty, nil
			}
			if o := newTestCall().runForResult(t, h, &record{ID: "m"}, testLimit); o.outcome != decide.Rejected || o.retryAfter != 1500000 {
				t.Errorf("result: got %+v, want the outcome Rejected and a Retry-After of 1500000 us", o)
			}
		})
	}
}

// Guards against sending a message that was removed while the last byte of its call was being written. removeMessage
// reports that it came too late; the write then fails, and the call is sent on another connection without the
// message.
func TestMessageRemovedWhileLastByteFails(t *testing.T) {
	addr, ids := acceptingEndpoint(t)
	h := testPool(t).forHost(addr)
	c := newTestCall()
	removed := &message{num: 1}
	dial, dials := h.dial, 0
	h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if dials++; err != nil || dials > 1 {
			return conn, err
		}
		return &lastByteLostConn{conn.(*net.TCPConn), func() {
			if c.removeMessage(removed) {
				t.Error("removeMessage after commitLastByte: got true, want false")
			}
		}}, nil
	}
	items := []callItem{{message: removed, rec: &record{ID: "over"}, timeout: testLimit}, {message: &message{num: 2}, rec: &record{ID: "a"}, timeout: testLimit}}
	results := make(chan callResult, 1)
	c.run(h, items, nil, func(_ *message, o callResult) { results <- o })
	if o := <-results; o.outcome != decide.Delivered {
		t.Errorf("result: got %+v, want the outcome Delivered", o)
	}
	if got := <-ids; len(got) != 1 || got[0] != "a" {
		t.Errorf("messages in the call: got %v, want a", got)
	}
}

// lastByteLostConn fails the write of a single byte, which is not sent.
type lastByteLostConn struct {
	*net.TCPConn
	failing func()
}

func (c *lastByteLostConn) Write(b []byte) (int, error) {
	if len(b) > 1 {
		return c.TCPConn.Write(b)
	}
	c.failing()
	return 0, opError("write", "write", syscall.ECONNRESET)
}
