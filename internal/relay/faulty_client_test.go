package relay

import (
	"fmt"
	"io"
	"net"
	"testing"

	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// serveFaultyConns is like serveClients, on connections that wrap makes faulty.
func serveFaultyConns(t *testing.T, submit func(*putRequest),
	wrap func(*net.TCPConn) net.Conn) (*clients, string, chan bool) {
	t.Helper()
	written := make(chan bool, 64)
	server := newClients(parseTestConfig(t), clock.System(), discardLogger(), submit, func(_ *putRequest, ok bool) { written <- ok })
	listener := &wrappingListener{listenLocal(t), wrap}
	go server.serve(listener)
	return server, listener.Addr().String(), written
}

// TestRequestReadInPieces: requests that arrive in single bytes, in pieces of random sizes, or interrupted by
// transient errors are read as they were written, and answered.
func TestRequestReadInPieces(t *testing.T) {
	faults := map[string]func(*faultyConn){"single bytes": func(conn *faultyConn) { conn.maxRead = 1 }}
	for seed := range uint64(5) {
		faults[fmt.Sprintf("seed %d", seed)] = func(conn *faultyConn) { conn.readSizes = newRand(seed) }
	}
	for _, errno := range transientErrnos {
		for first := range 4 {
			faults[fmt.Sprintf("%v from read %d", errno, first)] = func(conn *faultyConn) {
				conn.maxRead, conn.reads = 16, &faultSchedule{first: first, failures: 3, errno: errno}
			}
		}
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			submitted := make(chan *putRequest, 2)
			_, addr, written := serveFaultyConns(t, func(request *putRequest) {
				submitted <- request
				replyOK(request)
			}, func(conn *net.TCPConn) net.Conn {
				faulty := &faultyConn{TCPConn: conn}
				fault(faulty)
				return faulty
			})
			client := dialClient(t, addr)
			for _, id := range []string{"a", "b"} {
				if reply := client.put(id, putFields("plain", 8000, 1), []byte("body of "+id)); reply != "+OK" {
					t.Fatalf("got reply %q, want +OK", reply)
				}
				if request := <-submitted; request.record.ID != id || string(request.record.body) != "body of "+id || !<-written {
					t.Errorf("got record %+v, want the message as it was sent, and its reply written", request.record)
				}
			}
		})
	}
}

// TestReplyWriteFails: a reply whose write is short or fails with a transient error is written to its end, and the
// message stays taken. On a broken connection the reply is reported as not written, which withdraws the message.
func TestReplyWriteFails(t *testing.T) {
	for failAfter := range len(resp.OK) {
		for _, errno := range transientErrnos {
			_, addr, written := serveFaultyConns(t, replyOK, func(conn *net.TCPConn) net.Conn {
				return &faultyConn{TCPConn: conn, failWriteAt: failAfter, writeErrno: errno, writeFailures: 2}
			})
			client := dialClient(t, addr)
			if reply := client.put("m", putFields("plain", 8000, 1), nil); reply != "+OK" || !<-written {
				t.Errorf("%v after %d bytes: got reply %q, want +OK, reported as written", errno, failAfter, reply)
			}
			if reply := client.put("n", putFields("plain", 8000, 1), nil); reply != "+OK" || !<-written {
				t.Errorf("next message after %v after %d bytes: got reply %q, want +OK, reported as written",
					errno, failAfter, reply)
			}
		}
		for _, errno := range brokenErrnos {
			server, addr, written := serveFaultyConns(t, replyOK, func(conn *net.TCPConn) net.Conn {
				return &faultyConn{TCPConn: conn, failWriteAt: failAfter, writeErrno: errno, writeFailures: 1 << 30}
			})
			client := dialClient(t, addr)
			io.WriteString(client, putCommand("m", putFields("plain", 8000, 1), nil))
			if <-written {
				t.Errorf("%v after %d bytes: the reply was reported as written, want not written", errno, failAfter)
			}
			waitFor(t, "the connection to be closed", func() bool { return server.count() == 0 })
		}
	}
}

// TestReadFailsBeforeReply: a client whose connection breaks while it waits for the reply counts as disconnected.
func TestReadFailsBeforeReply(t *testing.T) {
	for _, errno := range brokenErrnos {
		submitted := make(chan *putRequest, 1)
		_, addr, written := serveFaultyConns(t, func(request *putRequest) {
			submitted <- request
		}, func(conn *net.TCPConn) net.Conn {
			return &faultyConn{TCPConn: conn, reads: &faultSchedule{first: 1, failures: 1 << 30, errno: errno}}
		})
		client := dialClient(t, addr)
		io.WriteString(client, putCommand("m", putFields("plain", 8000, 1), nil))
		if <-written {
			t.Errorf("%v: the reply was reported as written, want not written", errno)
		}
		(<-submitted).sendReply(resp.OK)
	}
}
