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

// textLength is the length of a call's text.
func textLength(t *testing.T, h *home, rec *record) int {
	t.Helper()
	_, text, err := callText(h.addr, []part{{rec: rec, limit: testLimit}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(text)
}

// A write that breaks at any byte of a call: the call is begun anew elsewhere and
// runs once, and where each try breaks it has never run.
func TestWriteBreaksAtEachByte(t *testing.T) {
	rec := &record{ID: "m", body: []byte("body")}
	addr, calls := counted(t)
	length := textLength(t, testPool(t).home(addr), rec)
	for at := range length {
		errno := brokenErrnos[at%len(brokenErrnos)]
		p := testPool(t)
		p.moment = time.Microsecond
		h := p.home(addr)
		dial, dials := h.dial, 0
		h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dial(ctx, addr)
			if dials++; err != nil || dials > 1 {
				return conn, err
			}
			return &faultyConn{TCPConn: conn.(*net.TCPConn), writeFail: at, writeErrno: errno, writeFails: 1}, nil
		}
		before := calls.Load()
		if o := newTestCall().made(t, h, rec, testLimit); o.what != decide.Delivered || dials != 2 || calls.Load() != before+1 {
			t.Fatalf("byte %d, %v: %d connections, %d calls, %+v", at, errno, dials, calls.Load()-before, o)
		}
	}
	for _, errno := range brokenErrnos {
		for _, at := range []int{0, 1, length / 2, length - 2, length - 1} {
			h := testPool(t).home(addr)
			dial := h.dial
			h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				conn, err := dial(ctx, addr)
				return &faultyConn{TCPConn: conn.(*net.TCPConn), writeFail: at, writeErrno: errno, writeFails: 1}, err
			}
			before := calls.Load()
			o := newTestCall().made(t, h, rec, testLimit)
			if o.what != decide.ConnectFailed || calls.Load() != before {
				t.Errorf("byte %d of each, %v: %d calls, %+v", at, errno, calls.Load()-before, o)
			}
		}
	}
}

// A write that the machine has no memory for, or that a signal interrupts, goes on
// where it stopped: the call runs once, on its first connection but for the last byte.
func TestWriteFailsForAMoment(t *testing.T) {
	rec := &record{ID: "m", body: []byte("body")}
	addr, calls := counted(t)
	length := textLength(t, testPool(t).home(addr), rec)
	for _, errno := range transientErrnos {
		for at := 0; at < length; at += 11 {
			h := testPool(t).home(addr)
			dial, dials := h.dial, 0
			h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				dials++
				conn, err := dial(ctx, addr)
				return &faultyConn{TCPConn: conn.(*net.TCPConn), writeFail: at, writeErrno: errno, writeFails: 2}, err
			}
			before := calls.Load()
			if o := newTestCall().made(t, h, rec, testLimit); o.what != decide.Delivered || dials != 1 || calls.Load() != before+1 {
				t.Errorf("byte %d, %v: %d connections, %d calls, %+v", at, errno, dials, calls.Load()-before, o)
			}
		}
		h := testPool(t).home(addr)
		dial := h.dial
		h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dial(ctx, addr)
			return &faultyConn{TCPConn: conn.(*net.TCPConn), writeFail: length / 2, writeErrno: errno, writeFails: 1 << 30}, err
		}
		before := calls.Load()
		if o := newTestCall().made(t, h, rec, testLimit); o.what != decide.NotSent || calls.Load() != before {
			t.Errorf("%v without end: %d calls, %+v", errno, calls.Load()-before, o)
		}
	}
}

// lastByte reports an error for the write of a call's last byte, which arrives.
type lastByte struct {
	*net.TCPConn
	errno syscall.Errno
}

func (c *lastByte) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if len(b) == 1 && err == nil {
		err = opError("write", "write", c.errno)
	}
	return n, err
}

// From the last byte on a call may have run: whatever breaks then, it is not made
// again by itself, and is not held to be delivered.
func TestBreaksAfterTheLastByte(t *testing.T) {
	for _, errno := range append(brokenErrnos, syscall.ENETUNREACH, syscall.ECONNABORTED) {
		for name, x := range map[string]struct {
			reads  int    // that come through
			answer string // as far as it comes
			write  bool   // the last byte's write says so, too
			what   decide.Outcome
		}{
			"before an answer":    {reads: 1, what: decide.Reset}, // the first read looks whether anything has come
			"in the first line":   {reads: 2, answer: "HTTP/1.1 2", what: decide.Reset},
			"in a refusal's head": {reads: 2, answer: "HTTP/1.1 503 F\r\nContent-Le", what: decide.Errored},
			"the last byte":       {reads: 1, write: true, what: decide.Reset},
		} {
			t.Run(fmt.Sprintf("%s, %v", name, errno), func(t *testing.T) {
				t.Parallel()
				var calls atomic.Int32
				h := testPool(t).home(rawEndpoint(t, func(c net.Conn) {
					in := bufio.NewReader(c)
					if readCall(in) {
						calls.Add(1)
						io.WriteString(c, x.answer)
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
					faulty := &faultyConn{TCPConn: tcp, reads: &schedule{first: x.reads, calls: 1 << 30, errno: errno}}
					if x.write {
						return &struct {
							*lastByte
							reader
						}{&lastByte{tcp, errno}, reader{faulty}}, nil
					}
					return faulty, nil
				}
				o := newTestCall().made(t, h, &record{ID: "m", body: []byte("b")}, testLimit)
				waitFor(t, "the call", func() bool { return calls.Load() == 1 })
				if o.what != x.what || o.what.NeverRan() || o.settled {
					t.Errorf("got %+v", o)
				}
			})
		}
	}
}

// reader stands before the Read of a connection that is embedded beside it.
type reader struct{ faulty *faultyConn }

func (r reader) Read(b []byte) (int, error) { return r.faulty.Read(b) }

// An answer that is read by single bytes, in pieces by seed, or past errors that are
// over in a moment is read as it was written.
func TestAnswerReadInPieces(t *testing.T) {
	for name, x := range map[string]func(*faultyConn){
		"single bytes": func(c *faultyConn) { c.readMost = 1 },
		"by seed":      func(c *faultyConn) { c.chunks = newRand(7) },
		"ENOMEM":       func(c *faultyConn) { c.reads = &schedule{first: 1, calls: 3, errno: syscall.ENOMEM} },
		"ENOBUFS":      func(c *faultyConn) { c.reads = &schedule{first: 1, calls: 3, errno: syscall.ENOBUFS} },
		"EINTR":        func(c *faultyConn) { c.reads = &schedule{first: 1, calls: 3, errno: syscall.EINTR} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := testPool(t).home(rawEndpoint(t, func(c net.Conn) {
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
			if o := newTestCall().made(t, h, &record{ID: "m"}, testLimit); o.what != decide.Rejected || o.wait != 1500000 {
				t.Errorf("got %+v", o)
			}
		})
	}
}

// What is taken out while the last byte of a call is on its way, and is told to be
// too late, does not go out on another connection where that byte fails.
func TestTakenOutAsTheLastByteFails(t *testing.T) {
	addr, ids := batchTaker(t)
	h := testPool(t).home(addr)
	c := newTestCall()
	over := &message{num: 1}
	dial, dials := h.dial, 0
	h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if dials++; err != nil || dials > 1 {
			return conn, err
		}
		return &lastByteLost{conn.(*net.TCPConn), func() {
			if c.takeOut(over) {
				t.Error("in time, with the last byte committed")
			}
		}}, nil
	}
	parts := []part{{m: over, rec: &record{ID: "over"}, limit: testLimit}, {m: &message{num: 2}, rec: &record{ID: "a"}, limit: testLimit}}
	told := make(chan outcome, 1)
	c.run(h, parts, nil, func(_ *message, o outcome) { told <- o })
	if o := <-told; o.what != decide.Delivered {
		t.Errorf("got %+v", o)
	}
	if got := <-ids; len(got) != 1 || got[0] != "a" {
		t.Errorf("in the call: %v", got)
	}
}

// lastByteLost fails the write of a single byte, which nobody gets.
type lastByteLost struct {
	*net.TCPConn
	failing func()
}

func (c *lastByteLost) Write(b []byte) (int, error) {
	if len(b) > 1 {
		return c.TCPConn.Write(b)
	}
	c.failing()
	return 0, opError("write", "write", syscall.ECONNRESET)
}
