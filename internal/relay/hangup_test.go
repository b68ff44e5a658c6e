package relay

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"troutusher/internal/clock"
)

// expectCleanEOF fails the test where the connection is reset or brings further bytes before its end.
func (c *testClient) expectCleanEOF() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.reader); err != nil || len(rest) > 0 {
		c.t.Errorf("end of the connection: got bytes %q and error %v, want neither", rest, err)
	}
}

// TestPipelineWithProtocolError: each of the pipelined commands before a malformed one is answered, in order, and the
// malformed one gets an error reply, however much follows it. The connection is closed without a reset.
func TestPipelineWithProtocolError(t *testing.T) {
	const commands = 30
	for name, trailing := range map[string]string{"nothing": "",
		"a request":  putCommand("trailing", putFields("plain", 8000, 1), nil),
		"many bytes": strings.Repeat("x", 200<<10)} {
		for malformed, text := range map[string]string{"no prefix": "nonsense\r\n", "no length": "*1\r\n$x\r\n"} {
			t.Run(name+" after "+malformed, func(t *testing.T) {
				t.Parallel()
				_, addr, written := serveClients(t, func(request *putRequest) {
					if request.record.ID == "trailing" {
						t.Error("a message after the malformed command was accepted")
					}
					replyOK(request)
				})
				client := dialClient(t, addr)
				var pipeline strings.Builder
				for i := range commands {
					pipeline.WriteString(putCommand(fmt.Sprintf("m%d", i), putFields("plain", 8000, 1), nil))
				}
				pipeline.WriteString(text)
				pipeline.WriteString(trailing)
				io.WriteString(client, pipeline.String())
				for i := range commands {
					if reply := client.readLine(); reply != "+OK" || !<-written {
						t.Fatalf("reply %d: got %q, want +OK, reported as written", i, reply)
					}
				}
				if reply := client.readLine(); !strings.HasPrefix(reply, "-ERR ") {
					t.Errorf("malformed command: got reply %q, want an error reply", reply)
				}
				client.expectCleanEOF()
			})
		}
	}
}

// closeHookConn calls beforeClose right before the relay closes the sending side of a connection or the connection,
// whichever comes first, and waits until what the client sends in beforeClose has arrived.
type closeHookConn struct {
	*net.TCPConn
	once        sync.Once
	beforeClose func()
	notReceived chan struct{} // closed where nothing has arrived in time
}

// runHook calls beforeClose once and waits until the connection has something to read.
func (c *closeHookConn) runHook() {
	c.once.Do(func() {
		c.beforeClose()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if n, err := peekSocket(c.TCPConn); n != -1 || err != nil {
				return
			}
		}
		close(c.notReceived)
	})
}

func (c *closeHookConn) CloseWrite() error { c.runHook(); return c.TCPConn.CloseWrite() }
func (c *closeHookConn) Close() error      { c.runHook(); return c.TCPConn.Close() }

// TestRequestArrivesDuringClose: a request that arrives while an idle connection is being closed must not reset it,
// for whatever reason it is closed. The client receives its earlier reply and the end of the connection. The request
// is not accepted, since the client sends it again.
func TestRequestArrivesDuringClose(t *testing.T) {
	for name, closeConns := range map[string]func(*clients){
		"idle for too long":  func(*clients) {},
		"drain":              (*clients).drain,
		"SIGTERM":            (*clients).shutDown,
		"hand-over":          (*clients).handOver,
		"end of the process": (*clients).stopReadingAll,
		"fewer descriptors":  func(server *clients) { server.reconfigure(server.cfg, 0) },
		"eviction": func(server *clients) {
			server.mu.Lock()
			defer server.mu.Unlock()
			for conn := range server.conns {
				conn.evict()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var client *testClient
			dialed, notReceived := make(chan struct{}), make(chan struct{})
			written := make(chan bool, 4)
			server := newClients(parseTestConfig(t), clock.System(), discardLogger(), func(request *putRequest) {
				if request.record.ID == "during-close" {
					t.Error("a message was accepted after the connection was closed")
				}
				replyOK(request)
			}, func(_ *putRequest, ok bool) { written <- ok })
			if name == "idle for too long" {
				server.idleTimeout = 50 * time.Millisecond
			}
			listener := &wrappingListener{listenLocal(t), func(tcp *net.TCPConn) net.Conn {
				return &closeHookConn{TCPConn: tcp, notReceived: notReceived, beforeClose: func() {
					<-dialed
					io.WriteString(client, putCommand("during-close", putFields("plain", 8000, 1), nil))
				}}
			}}
			go server.serve(listener)
			client = dialClient(t, listener.Addr().String())
			close(dialed)
			io.WriteString(client, putCommand("m", putFields("plain", 8000, 1), nil))
			if !<-written {
				t.Error("the first reply was reported as not written, want written")
			}
			waitFor(t, "the request to be recorded as finished", func() bool {
				server.mu.Lock()
				defer server.mu.Unlock()
				for conn := range server.conns {
					if conn.inFlight > 0 {
						return false
					}
				}
				return true
			})
			closeConns(server)
			if reply := client.readLine(); reply != "+OK" {
				t.Errorf("got reply %q, want +OK", reply)
			}
			client.expectCleanEOF()
			select {
			case <-notReceived:
				t.Error("the request did not arrive before the close")
			default:
			}
		})
	}
}

// TestRestOfCommandArrivesDuringEviction: a connection that stalled in the middle of a command is evicted. Where the
// rest of the command arrives while the error reply is written, the client still receives that reply.
func TestRestOfCommandArrivesDuringEviction(t *testing.T) {
	text := putCommand("half", putFields("plain", 8000, 1), []byte("body"))
	var client *testClient
	dialed, notReceived := make(chan struct{}), make(chan struct{})
	server, addr, _ := serveFaultyConns(t, replyOK, func(tcp *net.TCPConn) net.Conn {
		return &closeHookConn{TCPConn: tcp, notReceived: notReceived, beforeClose: func() {
			<-dialed
			io.WriteString(client, text[len(text)/2:])
		}}
	})
	client = dialClient(t, addr)
	close(dialed)
	io.WriteString(client, text[:len(text)/2])
	waitFor(t, "the first bytes of the command to be read", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		for conn := range server.conns {
			if conn.readingCommand {
				return true
			}
		}
		return false
	})
	server.mu.Lock()
	for conn := range server.conns {
		conn.evict()
	}
	server.mu.Unlock()
	if reply := client.readLine(); !strings.HasPrefix(reply, "-ERR ") {
		t.Errorf("got reply %q, want an error reply", reply)
	}
	client.expectCleanEOF()
}

// TestLingerIsBounded: a connection is closed soon after its error reply even where the client does not read the
// reply, does not close its side, and goes on sending.
func TestLingerIsBounded(t *testing.T) {
	for name, trailing := range map[string]string{"silent": "", "sending": strings.Repeat("x", 16<<10)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, addr, _ := serveClients(t, replyOK)
			client := dialClient(t, addr)
			began := time.Now()
			io.WriteString(client, "nonsense\r\n")
			writerDone := make(chan struct{})
			go func() {
				defer close(writerDone)
				for trailing != "" {
					if _, err := io.WriteString(client, trailing); err != nil {
						return
					}
				}
			}()
			waitFor(t, "the connection to be accepted", func() bool {
				return server.count() == 1 || time.Since(began) > lingerTimeout
			})
			waitFor(t, "the connection to be closed", func() bool { return server.count() == 0 })
			// The error reply comes after errorReplyDelay and the close after lingerTimeout. The rest allows for a
			// busy machine.
			if took := time.Since(began); took > errorReplyDelay+lingerTimeout+2*time.Second {
				t.Errorf("closing the connection took %v, want at most 2 s above both delays", took)
			}
			<-writerDone
		})
	}
}

// TestClientsThatIgnoreEviction: idle clients that do not close their side after an eviction must not delay for long
// the clients that need their slots.
func TestClientsThatIgnoreEviction(t *testing.T) {
	server, addr, _ := serveClients(t, replyOK)
	server.mu.Lock()
	server.maxConns = 4
	server.mu.Unlock()
	began := time.Now()
	const connections = 60
	for i := range connections { // each client keeps its side open and sends nothing more
		waitFor(t, "a connection that is served", func() bool {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			io.WriteString(conn, pingCommand)
			got := make([]byte, 5)
			_, err = io.ReadFull(conn, got)
			return err == nil && string(got) == "+PONG"
		})
		if open := server.count(); open > 4+maxConnsOverLimit {
			t.Errorf("after connection %d: got %d open connections, want at most the limit and the extra ones", i, open)
		}
	}
	// There are 12 slots, and each is free again after evictedLingerTimeout, so the connections take at least 0.1 s.
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("%d connections took %v, want at most 5 s", connections, took)
	}
}

// TestOperatorPortClosesCleanly: the operator port answers a call that is known, unknown or too long, whatever follows
// it, and closes the connection without a reset.
func TestOperatorPortClosesCleanly(t *testing.T) {
	for _, call := range []string{"nonsense\n", strings.Repeat("x", 64<<10), "READY\n" + strings.Repeat("x", 64<<10)} {
		listener := listenLocal(t)
		go (&operatorPort{calls: operatorCalls{"READY": func() (string, bool) { return "ready", true }},
			clock: clock.System(), log: discardLogger()}).serve(listener)
		client := dialClient(t, listener.Addr().String())
		io.WriteString(client, call)
		if reply := client.readLine(); !strings.HasPrefix(reply, "NAK ") && !strings.HasPrefix(reply, "ACK ") {
			t.Errorf("got reply %q, want ACK or NAK", reply)
		}
		client.expectCleanEOF()
	}
}
