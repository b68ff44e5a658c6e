package relay

import (
	"fmt"
	"io"
	"net"
	"testing"

	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// serveFaulty runs the client side on connections that wrap makes faulty.
func serveFaulty(t *testing.T, put func(*request), wrap func(*net.TCPConn) net.Conn) (*clients, string, chan bool) {
	t.Helper()
	said := make(chan bool, 64)
	c := newClients(parseTestConfig(t), clock.System(), quietLog(), put, func(_ *request, ok bool) { said <- ok })
	ln := &wrappingListener{listenLocal(t), wrap}
	go c.serve(ln)
	return c, ln.Addr().String(), said
}

// Requests that come by single bytes, in pieces by seed, or past errors that are over
// in a moment are read as they were written, and answered.
func TestRequestReadInPieces(t *testing.T) {
	faults := map[string]func(*faultyConn){"single bytes": func(c *faultyConn) { c.maxRead = 1 }}
	for seed := range uint64(5) {
		faults[fmt.Sprintf("seed %d", seed)] = func(c *faultyConn) { c.readSizes = newRand(seed) }
	}
	for _, errno := range transientErrnos {
		for first := range 4 {
			faults[fmt.Sprintf("%v from read %d", errno, first)] = func(c *faultyConn) {
				c.maxRead, c.reads = 16, &faultSchedule{first: first, failures: 3, errno: errno}
			}
		}
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := make(chan *request, 2)
			_, addr, said := serveFaulty(t, func(q *request) { got <- q; accept(q) }, func(c *net.TCPConn) net.Conn {
				faulty := &faultyConn{TCPConn: c}
				fault(faulty)
				return faulty
			})
			cl := dialClient(t, addr)
			for _, id := range []string{"a", "b"} {
				if s := cl.put(id, fields("plain", 8000, 1), []byte("body of "+id)); s != "+OK" {
					t.Fatalf("answer %q", s)
				}
				if q := <-got; q.rec.ID != id || string(q.rec.body) != "body of "+id || !<-said {
					t.Errorf("got %+v", q.rec)
				}
			}
		})
	}
}

// An answer whose write falls short or fails for a moment is written to its end, and
// the message stays taken on; where the connection is broken nobody was told, and the
// message is withdrawn.
func TestReplyWriteFails(t *testing.T) {
	for at := range len(resp.OK) {
		for _, errno := range transientErrnos {
			_, addr, said := serveFaulty(t, accept, func(c *net.TCPConn) net.Conn {
				return &faultyConn{TCPConn: c, failWriteAt: at, writeErrno: errno, writeFailures: 2}
			})
			cl := dialClient(t, addr)
			if s := cl.put("m", fields("plain", 8000, 1), nil); s != "+OK" || !<-said {
				t.Errorf("%v after %d bytes: answer %q", errno, at, s)
			}
			if s := cl.put("n", fields("plain", 8000, 1), nil); s != "+OK" || !<-said {
				t.Errorf("%v after %d bytes, then: answer %q", errno, at, s)
			}
		}
		for _, errno := range brokenErrnos {
			c, addr, said := serveFaulty(t, accept, func(c *net.TCPConn) net.Conn {
				return &faultyConn{TCPConn: c, failWriteAt: at, writeErrno: errno, writeFailures: 1 << 30}
			})
			cl := dialClient(t, addr)
			io.WriteString(cl, putText("m", fields("plain", 8000, 1), nil))
			if <-said {
				t.Errorf("%v after %d bytes: held to be heard", errno, at)
			}
			waitFor(t, "the connection's end", func() bool { return c.count() == 0 })
		}
	}
}

// A client whose connection breaks while its message waits for its answer has left.
func TestReadBreaksBeforeTheAnswer(t *testing.T) {
	for _, errno := range brokenErrnos {
		got := make(chan *request, 1)
		_, addr, said := serveFaulty(t, func(q *request) { got <- q }, func(c *net.TCPConn) net.Conn {
			return &faultyConn{TCPConn: c, reads: &faultSchedule{first: 1, failures: 1 << 30, errno: errno}}
		})
		cl := dialClient(t, addr)
		io.WriteString(cl, putText("m", fields("plain", 8000, 1), nil))
		if <-said {
			t.Errorf("%v: held to be heard", errno)
		}
		(<-got).answer(resp.OK)
	}
}
