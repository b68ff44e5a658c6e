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

// orderlyEnd fails the test where a connection does not end with nothing but its end.
func (c *testClient) orderlyEnd() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		c.t.Errorf("at the end of the connection: %q, %v", rest, err)
	}
}

// Each command of a burst that stands before an error gets its answer, in order, and
// the error its line, however much comes behind it; the end is orderly.
func TestBurstCutByAnError(t *testing.T) {
	const commands = 30
	for name, behind := range map[string]string{"nothing": "", "a request": putText("behind", fields("plain", 8000, 1), nil),
		"much": strings.Repeat("x", 200<<10)} {
		for bad, text := range map[string]string{"no command": "nonsense\r\n", "no length": "*1\r\n$x\r\n"} {
			t.Run(name+" behind "+bad, func(t *testing.T) {
				t.Parallel()
				_, addr, said := serveClients(t, func(q *request) {
					if q.rec.ID == "behind" {
						t.Error("taken from behind an error")
					}
					accept(q)
				})
				cl := dialClient(t, addr)
				var burst strings.Builder
				for i := range commands {
					burst.WriteString(putText(fmt.Sprintf("m%d", i), fields("plain", 8000, 1), nil))
				}
				burst.WriteString(text)
				burst.WriteString(behind)
				io.WriteString(cl, burst.String())
				for i := range commands {
					if s := cl.line(); s != "+OK" || !<-said {
						t.Fatalf("answer %d: %q", i, s)
					}
				}
				if s := cl.line(); !strings.HasPrefix(s, "-ERR ") {
					t.Errorf("after the burst: %q", s)
				}
				cl.orderlyEnd()
			})
		}
	}
}

// crossedConn lets something happen on the client's side in the moment in which the
// relay shuts or closes its connection, whichever it does first, and goes on when
// that has arrived.
type crossedConn struct {
	*net.TCPConn
	once   sync.Once
	cross  func()
	missed chan struct{} // closed where what was sent has not arrived
}

func (c *crossedConn) crossing() {
	c.once.Do(func() {
		c.cross()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if n, err := peekSocket(c.TCPConn); n != -1 || err != nil {
				return
			}
		}
		close(c.missed)
	})
}

func (c *crossedConn) CloseWrite() error { c.crossing(); return c.TCPConn.CloseWrite() }
func (c *crossedConn) Close() error      { c.crossing(); return c.TCPConn.Close() }

// A request that arrives as a resting connection is shut does not reset it: the answer
// before it arrives, then the end, and the request is not taken on, since its client
// sends it again. Whatever ends the connection.
func TestRequestArrivesAsItsConnectionIsShut(t *testing.T) {
	for name, end := range map[string]func(*clients){
		"idle for too long":  func(*clients) {},
		"drain":              (*clients).drain,
		"SIGTERM":            (*clients).closeIdle,
		"hand-over":          (*clients).handOver,
		"end of the process": (*clients).cutOff,
		"fewer descriptors":  func(c *clients) { c.retune(c.cfg, 0) },
		"place needed": func(c *clients) {
			c.mu.Lock()
			defer c.mu.Unlock()
			for cc := range c.conns {
				cc.evict()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var cl *testClient
			dialled, missed := make(chan struct{}), make(chan struct{})
			said := make(chan bool, 4)
			c := newClients(parseTestConfig(t), clock.System(), quietLog(), func(q *request) {
				if q.rec.ID == "crossed" {
					t.Error("taken on after the shutdown")
				}
				accept(q)
			}, func(_ *request, ok bool) { said <- ok })
			if name == "idle for too long" {
				c.quiet = 50 * time.Millisecond
			}
			ln := &wrappingListener{listenLocal(t), func(tcp *net.TCPConn) net.Conn {
				return &crossedConn{TCPConn: tcp, missed: missed, cross: func() {
					<-dialled
					io.WriteString(cl, putText("crossed", fields("plain", 8000, 1), nil))
				}}
			}}
			go c.serve(ln)
			cl = dialClient(t, ln.Addr().String())
			close(dialled)
			io.WriteString(cl, putText("m", fields("plain", 8000, 1), nil))
			if !<-said {
				t.Error("the first was not heard")
			}
			waitFor(t, "its end", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				for cc := range c.conns {
					if cc.busy > 0 {
						return false
					}
				}
				return true
			})
			end(c)
			if s := cl.line(); s != "+OK" {
				t.Errorf("answer %q", s)
			}
			cl.orderlyEnd()
			select {
			case <-missed:
				t.Error("nothing crossed the end")
			default:
			}
		})
	}
}

// The same for a command that stood still half way and has to make room: its rest may
// arrive with its error line, which it gets.
func TestRestArrivesAsHalfACommandMakesRoom(t *testing.T) {
	text := putText("half", fields("plain", 8000, 1), []byte("body"))
	var half *testClient
	dialled, missed := make(chan struct{}), make(chan struct{})
	c, addr, _ := serveFaulty(t, accept, func(tcp *net.TCPConn) net.Conn {
		return &crossedConn{TCPConn: tcp, missed: missed, cross: func() {
			<-dialled
			io.WriteString(half, text[len(text)/2:])
		}}
	})
	half = dialClient(t, addr)
	close(dialled)
	io.WriteString(half, text[:len(text)/2])
	waitFor(t, "its first bytes to be read", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for cc := range c.conns {
			if cc.reading {
				return true
			}
		}
		return false
	})
	c.mu.Lock()
	for cc := range c.conns {
		cc.evict()
	}
	c.mu.Unlock()
	if s := half.line(); !strings.HasPrefix(s, "-ERR ") {
		t.Errorf("answer %q", s)
	}
	half.orderlyEnd()
}

// A peer that neither reads its error nor ends its side, and goes on sending, is gone
// soon after its error line all the same.
func TestLingerIsBounded(t *testing.T) {
	for name, more := range map[string]string{"silent": "", "sending": strings.Repeat("x", 16<<10)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, addr, _ := serveClients(t, accept)
			cl := dialClient(t, addr)
			began := time.Now()
			io.WriteString(cl, "nonsense\r\n")
			gone := make(chan struct{})
			go func() {
				defer close(gone)
				for more != "" {
					if _, err := io.WriteString(cl, more); err != nil {
						return
					}
				}
			}()
			waitFor(t, "a connection", func() bool { return c.count() == 1 || time.Since(began) > lingerWait })
			waitFor(t, "its end", func() bool { return c.count() == 0 })
			// Its error after faultPause, its end after lingerWait: the rest is the machine's.
			if took := time.Since(began); took > faultPause+lingerWait+2*time.Second {
				t.Errorf("gone after %v", took)
			}
			<-gone
		})
	}
}

// Resting clients that take no notice of their connection's end hold up nobody who
// needs the place for long.
func TestCrowdThatDoesNotLeave(t *testing.T) {
	c, addr, _ := serveClients(t, accept)
	c.mu.Lock()
	c.most = 4
	c.mu.Unlock()
	began := time.Now()
	const crowd = 60
	for i := range crowd { // each stays open, and rests
		waitFor(t, "a place", func() bool {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			io.WriteString(conn, ping)
			got := make([]byte, 5)
			_, err = io.ReadFull(conn, got)
			return err == nil && string(got) == "+PONG"
		})
		if n := c.count(); n > 4+overMost {
			t.Errorf("connection %d: %d open", i, n)
		}
	}
	// Twelve places, each free again after lingerEvict: the crowd takes a tenth of a second at the best.
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("%d connections in %v", crowd, took)
	}
}

// The operators' door answers a call that is too long or unknown, whatever comes
// behind it, and ends in order.
func TestDoorEndsInOrder(t *testing.T) {
	for _, call := range []string{"nonsense\n", strings.Repeat("x", 64<<10), "READY\n" + strings.Repeat("x", 64<<10)} {
		ln := listenLocal(t)
		go (&ops{calls: opsCalls{"READY": func() (string, bool) { return "ready", true }}, clock: clock.System(), log: quietLog()}).serve(ln)
		cl := dialClient(t, ln.Addr().String())
		io.WriteString(cl, call)
		if s := cl.line(); !strings.HasPrefix(s, "NAK ") && !strings.HasPrefix(s, "ACK ") {
			t.Errorf("answer %q", s)
		}
		cl.orderlyEnd()
	}
}
