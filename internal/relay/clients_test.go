package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// serveClients runs the client side without a relay; submit takes the place of the event loop. It returns the address,
// and a channel that gets the result of each write of a reply.
func serveClients(t *testing.T, submit func(*putRequest)) (*clients, string, chan bool) {
	t.Helper()
	written := make(chan bool, 16)
	server := newClients(parseTestConfig(t), clock.System(), discardLogger(), submit,
		func(_ *putRequest, ok bool) { written <- ok })
	listener := newLocalListener(t)
	go server.serve(listener)
	return server, listener.Addr().String(), written
}

// newLocalListener returns a listener at a free port of 127.0.0.1, which is closed at the end of the test.
func newLocalListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// replyOK acknowledges a request.
func replyOK(request *putRequest) { request.sendReply(resp.OK) }

// TestBadInput: an invalid command gets an error reply and no message is accepted. The connection is closed where the
// position in the input is lost, and serves the next command otherwise.
func TestBadInput(t *testing.T) {
	oversizedBody := strings.Repeat("x", maxBodyBytes+1)
	for name, test := range map[string]struct {
		text   string
		closes bool // the connection is closed after the error reply
	}{
		"inline":              {"PING\r\n", true},
		"no number":           {"*x\r\n", true},
		"no arguments":        {"*0\r\n", true},
		"negative":            {"*-1\r\n", true},
		"many arguments":      {"*999999999\r\n", true},
		"huge argument":       {"*1\r\n$999999999\r\n", true},
		"negative length":     {"*1\r\n$-5\r\n", true},
		"long number":         {"*" + strings.Repeat("1", 99) + "\r\n", true},
		"leading zero":        {"*01\r\n$4\r\nPING\r\n", true},
		"signed number":       {"*+1\r\n$4\r\nPING\r\n", true},
		"signed length":       {"*1\r\n$+4\r\nPING\r\n", true},
		"minus zero":          {"*2\r\n$4\r\nPING\r\n$-0\r\n\r\n", true},
		"no CRLF":             {"*1\r\n$4\r\nPINGxx", true},
		"not a bulk":          {"*1\r\n:4\r\n", true},
		"unknown command":     {"*1\r\n$3\r\nGET\r\n", false},
		"long body":           {putCommand("m", putFields("plain", 8000, 1), []byte(oversizedBody)), false},
		"few arguments":       {"*2\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n", false},
		"unknown class":       {putCommand("m", "c=other,t=acme,d=1,dest=1", nil), false},
		"no class":            {putCommand("m", "t=acme,d=1,dest=1", nil), false},
		"unknown tenant":      {putCommand("m", "c=plain,t=other,d=1,dest=1", nil), false},
		"no time":             {putCommand("m", "c=plain,t=acme,dest=1", nil), false},
		"bad time":            {putCommand("m", "c=plain,t=acme,d=NaN,dest=1", nil), false},
		"hexadecimal time":    {putCommand("m", "c=plain,t=acme,d=0x10,dest=1", nil), false},
		"exponent":            {putCommand("m", "c=plain,t=acme,d=1e3,dest=1", nil), false},
		"signed time":         {putCommand("m", "c=plain,t=acme,d=+10,dest=1", nil), false},
		"two points":          {putCommand("m", "c=plain,t=acme,d=1.2.3,dest=1", nil), false},
		"excessive time":      {putCommand("m", "c=plain,t=acme,d=900000000,dest=1", nil), false},
		"signed dest":         {putCommand("m", "c=plain,t=acme,d=1,dest=+1", nil), false},
		"huge dest":           {putCommand("m", "c=plain,t=acme,d=1,dest=99999999999", nil), false},
		"negative time":       {putCommand("m", "c=plain,t=acme,d=-1,dest=1", nil), false},
		"no destination":      {putCommand("m", "c=plain,t=acme,d=1", nil), false},
		"bad destination":     {putCommand("m", "c=plain,t=acme,d=1,dest=-3", nil), false},
		"no key":              {putCommand("m", "c=keyed,t=acme,d=1,dest=1", nil), false},
		"key in two lines":    {putCommand("m", "c=keyed,t=acme,d=1,dest=1,k=a\r\nX: b", nil), false},
		"id in two lines":     {putCommand("a\r\nX: b", putFields("plain", 1, 1), nil), false},
		"no id":               {putCommand("", putFields("plain", 1, 1), nil), false},
		"field without value": {putCommand("m", "c", nil), false},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr, _ := serveClients(t, func(request *putRequest) {
				t.Error("an invalid command was accepted as a message")
				replyOK(request)
			})
			client := dialClient(t, addr)
			io.WriteString(client, test.text)
			if reply := client.readLine(); !strings.HasPrefix(reply, "-ERR ") {
				t.Fatalf("got reply %q, want an error reply", reply)
			}
			if test.closes {
				if _, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("reading after the error reply: got error %v, want EOF", err)
				}
				return
			}
			io.WriteString(client, "*2\r\n$4\r\nping\r\n$2\r\nhi\r\n")
			if reply := client.readLine() + client.readLine(); reply != "$2hi" {
				t.Errorf("next command: got reply %q, want $2hi", reply)
			}
		})
	}
}

// TestParsePut: a valid MSG.PUT is parsed into a record, and unknown fields are ignored.
func TestParsePut(t *testing.T) {
	now := clock.Instant(1e15)
	request, err := parseTestConfig(t).parsePut([][]byte{[]byte("MSG.PUT"), nil, []byte("id1"),
		[]byte("c=keyed,t=acme,d=1500.5,k=k1,dest=12,r=1,again=1,new=x"), []byte("b")}, now)
	if err != nil {
		t.Fatal(err)
	}
	if request.record.Class != "keyed" || request.record.Tenant != "acme" || request.record.Dest != 12 ||
		request.record.Key != "k1" || request.record.ID != "id1" ||
		request.record.Deadline != now.Add(1500500*time.Microsecond-transitAllowance) ||
		string(request.record.body) != "b" {
		t.Errorf("got request %+v with record %+v, want the values of the command", request, request.record)
	}
}

// TestTransitTimeIsSubtracted: the allowance for a request's transit time is subtracted from its deadline, so that a
// notice at the deadline is in time for the client. Of a short time only a small part is subtracted.
func TestTransitTimeIsSubtracted(t *testing.T) {
	now := clock.Instant(1e15)
	for deadlineMS, want := range map[string]time.Duration{"12000": 11950 * time.Millisecond,
		"1000": 950 * time.Millisecond,
		"200":  190 * time.Millisecond, "0": 0} {
		request, err := parseTestConfig(t).parsePut([][]byte{[]byte("MSG.PUT"), nil, []byte("id1"),
			[]byte("c=plain,t=acme,dest=12,d=" + deadlineMS), nil}, now)
		if err != nil {
			t.Fatal(err)
		}
		if got := request.record.Deadline.Sub(now); got != want {
			t.Errorf("d=%s: got a deadline in %v, want %v", deadlineMS, got, want)
		}
	}
}

// TestClientGoneBeforeReply: a client that disconnects before its reply does not know that its message was accepted and
// may hand it in elsewhere, so the reply counts as not written.
func TestClientGoneBeforeReply(t *testing.T) {
	submitted := make(chan *putRequest, 1)
	_, addr, written := serveClients(t, func(request *putRequest) { submitted <- request })
	client := dialClient(t, addr)
	io.WriteString(client, putCommand("m", putFields("plain", 8000, 1), nil))
	request := <-submitted
	client.Close()
	if <-written {
		t.Error("the reply was reported as written, want not written")
	}
	request.sendReply(resp.OK) // too late, and must not block
}

// TestPipelinedCommands: a client that sends commands before it has the replies gets the replies in order.
func TestPipelinedCommands(t *testing.T) {
	first := make(chan *putRequest, 1)
	_, addr, written := serveClients(t, func(request *putRequest) {
		if request.record.ID == "a" {
			first <- request
			return
		}
		request.sendReply(resp.Busy(7))
	})
	client := dialClient(t, addr)
	io.WriteString(client, putCommand("a", putFields("plain", 8000, 1), nil)+putCommand("b", putFields("plain", 8000, 1), nil)+
		"*1\r\n$4\r\nPING\r\n")
	(<-first).sendReply(resp.OK)
	if replies := client.readLine() + client.readLine() + client.readLine(); replies != "+OK-BUSY 7+PONG" {
		t.Errorf("got replies %q, want +OK, -BUSY 7 and +PONG in this order", replies)
	}
	for range 2 {
		if !<-written {
			t.Error("a reply was reported as not written, want written")
		}
	}
}

// TestCloseBetweenRequests: a shutdown closes idle connections at once, and a connection with a request in flight
// after its reply, so that no request is lost.
func TestCloseBetweenRequests(t *testing.T) {
	submitted := make(chan *putRequest, 1)
	server, addr, _ := serveClients(t, func(request *putRequest) { submitted <- request })
	idle, busy := dialClient(t, addr), dialClient(t, addr)
	io.WriteString(idle, "*1\r\n$4\r\nPING\r\n")
	idle.readLine()
	io.WriteString(busy, putCommand("m", putFields("plain", 8000, 1), nil))
	request := <-submitted
	server.shutDown()
	if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got error %v, want EOF", err)
	}
	request.sendReply(resp.OK)
	if reply := busy.readLine(); reply != "+OK" {
		t.Errorf("got reply %q, want +OK", reply)
	}
	if _, err := busy.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the reply: got error %v, want EOF", err)
	}
}

// TestRequestArrivesWhileClosing: a request whose first byte was read just before its connection began to close is
// answered before the connection is closed.
func TestRequestArrivesWhileClosing(t *testing.T) {
	submitted := make(chan *putRequest, 1)
	server, addr, written := serveClients(t, func(request *putRequest) { submitted <- request })
	client := dialClient(t, addr)
	io.WriteString(client, "*1\r\n$4\r\nPING\r\n")
	client.readLine()
	// Set before the PING is recorded as finished, closing ends the connection without another read.
	waitFor(t, "the PING to be recorded as finished", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		for conn := range server.conns {
			return conn.inFlight == 0
		}
		return false
	})
	server.mu.Lock()
	for conn := range server.conns {
		conn.closing = true // as beginClose leaves it where the first byte was read before its deadline was set
	}
	server.mu.Unlock()
	io.WriteString(client, putCommand("m", putFields("plain", 8000, 1), nil))
	request := <-submitted
	select {
	case <-written:
		t.Fatal("the client was treated as disconnected")
	case <-time.After(50 * time.Millisecond): // nothing is expected; a wait that is too short can only miss an error
	}
	request.sendReply(resp.OK)
	if reply := client.readLine(); reply != "+OK" || !<-written {
		t.Errorf("got reply %q, want +OK, reported as written", reply)
	}
	if _, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the reply: got error %v, want EOF", err)
	}
}

// TestConnectionLimit: at the limit of connections the one that has been idle for longest is evicted, and the new one
// is served.
func TestConnectionLimit(t *testing.T) {
	server, addr, _ := serveClients(t, replyOK)
	server.mu.Lock()
	server.maxConns = 2
	server.mu.Unlock()
	var opened []*testClient
	for i := range 3 {
		client := dialClient(t, addr)
		if reply := client.put("m"+strconv.Itoa(i), putFields("plain", 8000, 1), nil); reply != "+OK" {
			t.Fatal(reply)
		}
		opened = append(opened, client)
		// The client has its reply before the relay records the request as finished. Only after that the connection
		// counts as idle.
		waitFor(t, "the request to be recorded as finished", func() bool {
			server.mu.Lock()
			defer server.mu.Unlock()
			for conn := range server.conns {
				if conn.inFlight > 0 || !conn.sentCommand {
					return false
				}
			}
			return true
		})
	}
	if _, err := opened[0].reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("oldest connection: got error %v, want EOF", err)
	}
	if reply := opened[1].put("x", putFields("plain", 8000, 1), nil); reply != "+OK" {
		t.Error(reply)
	}
}

// TestIncompleteCommand: connections on which nothing arrives, or a command is begun and not finished, must not occupy
// the connection limit for ever. They are closed after a timeout, with an error reply where a command was begun. A
// connection that waits for its reply stays open.
func TestIncompleteCommand(t *testing.T) {
	submitted := make(chan *putRequest, 1)
	server := newClients(parseTestConfig(t), clock.System(), discardLogger(),
		func(request *putRequest) { submitted <- request },
		func(*putRequest, bool) {})
	server.firstCommandTimeout, server.commandTimeout, server.idleTimeout =
		300*time.Millisecond, 300*time.Millisecond, 400*time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go server.serve(listener)
	waiting, incomplete, silent := dialClient(t, listener.Addr().String()),
		dialClient(t, listener.Addr().String()), dialClient(t, listener.Addr().String())
	incompleteLater, idle := dialClient(t, listener.Addr().String()), dialClient(t, listener.Addr().String())
	io.WriteString(waiting, putCommand("m", putFields("plain", 8000, 1), nil))
	request := <-submitted
	io.WriteString(incomplete, "*5\r\n$7\r\nMSG")
	for _, client := range []*testClient{incompleteLater, idle} {
		io.WriteString(client, "*1\r\n$4\r\nPING\r\n")
		if reply := client.readLine(); reply != "+PONG" {
			t.Fatal(reply)
		}
	}
	io.WriteString(incompleteLater, "*5\r\n")
	for name, client := range map[string]*testClient{"first": incomplete, "later": incompleteLater} {
		if reply := client.readLine(); !strings.HasPrefix(reply, "-ERR ") {
			t.Errorf("incomplete %s command: got reply %q, want an error reply", name, reply)
		}
	}
	for name, client := range map[string]*testClient{"incomplete": incomplete, "later": incompleteLater,
		"silent": silent, "idle": idle} {
		if _, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%s connection: got error %v, want EOF", name, err)
		}
	}
	request.sendReply(resp.OK) // after the timeouts of the other connections
	if reply := waiting.readLine(); reply != "+OK" {
		t.Errorf("waiting connection: got reply %q, want +OK", reply)
	}
	waitFor(t, "the connections to be closed", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.conns) <= 1
	})
}

// TestManySilentConnections: hundreds of connections that send nothing must not displace one that has sent a command.
// They evict each other, and a new connection is refused where none can be evicted. An evicted connection counts until
// it is closed.
func TestManySilentConnections(t *testing.T) {
	submitted := make(chan *putRequest, 8)
	server, addr, _ := serveClients(t, func(request *putRequest) { submitted <- request })
	server.mu.Lock()
	server.maxConns, server.firstCommandTimeout = 8, 300*time.Millisecond
	server.mu.Unlock()
	active := dialClient(t, addr)
	io.WriteString(active, "*1\r\n$4\r\nPING\r\n")
	active.readLine()
	for range 200 {
		dialClient(t, addr)
		server.mu.Lock()
		if len(server.conns) > server.maxConns+maxConnsOverLimit {
			t.Errorf("got %d connections, want at most %d", len(server.conns), server.maxConns+maxConnsOverLimit)
		}
		server.mu.Unlock()
	}
	io.WriteString(active, "*1\r\n$4\r\nPING\r\n")
	if reply := active.readLine(); reply != "+PONG" {
		t.Fatalf("active client: got reply %q, want +PONG", reply)
	}
	waitFor(t, "the silent connections to be closed", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.conns) <= 1
	})
	for i := range 8 { // the last one evicts the active client, where that is still connected
		client := dialClient(t, addr)
		io.WriteString(client, putCommand("m"+strconv.Itoa(i), putFields("plain", 8000, 1), nil))
		request := <-submitted
		defer request.sendReply(resp.OK)
	}
	waitFor(t, "the connection limit to be reached", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.conns) == server.maxConns
	})
	excess := dialClient(t, addr)
	if _, err := excess.reader.ReadByte(); err == nil {
		t.Error("a connection above the limit was served")
	}
}

// TestManyStalledConnections: connections that stop in the middle of a command are evicted when others need their
// slots, the one that has been stalled for longest first. A client that writes slowly without stopping is served.
func TestManyStalledConnections(t *testing.T) {
	server, addr, _ := serveClients(t, replyOK)
	server.mu.Lock()
	server.maxConns, server.firstCommandTimeout = 8, 20*time.Second // no connection is closed by its timeout
	server.mu.Unlock()
	text := putCommand("slow", putFields("plain", 8000, 1), []byte("body"))
	slow := dialClient(t, addr)
	io.WriteString(slow, text[:1])
	for i := range 8 {
		if i > 0 {
			io.WriteString(dialClient(t, addr), text[:20])
		}
		waitFor(t, "the first bytes of the command to be read", func() bool {
			server.mu.Lock()
			defer server.mu.Unlock()
			readingCount := 0
			for conn := range server.conns {
				if conn.readingCommand {
					readingCount++
				}
			}
			return readingCount == i+1
		})
	}
	offset := 1
	for end := time.Now().Add(commandStallTimeout + 100*time.Millisecond); time.Now().Before(end); offset++ {
		io.WriteString(slow, text[offset:offset+1])
		time.Sleep(20 * time.Millisecond)
	}
	for i := range 5 { // the slow client is never the one that has been stalled for longest
		io.WriteString(slow, text[offset:offset+1])
		offset++
		client := dialClient(t, addr)
		if reply := client.put("m"+strconv.Itoa(i), putFields("plain", 8000, 1), nil); reply != "+OK" {
			t.Fatalf("new client beside stalled ones: got reply %q, want +OK", reply)
		}
	}
	io.WriteString(slow, text[offset:])
	if reply := slow.readLine(); reply != "+OK" {
		t.Errorf("slow client: got reply %q, want +OK", reply)
	}
}

// TestRepeatedErrorsCloseConnection: a client that repeats an invalid command must not use up the processor, so its
// connection is closed. The end of the command in flight does not undo the close.
func TestRepeatedErrorsCloseConnection(t *testing.T) {
	server, addr, _ := serveClients(t, replyOK)
	client := dialClient(t, addr)
	io.WriteString(client, strings.Repeat("*1\r\n$3\r\nGET\r\n", 300))
	replies := 0
	for {
		reply, err := client.reader.ReadString('\n')
		if err != nil {
			break
		}
		if replies++; !strings.HasPrefix(reply, "-ERR ") {
			t.Errorf("got reply %q, want an error reply", reply)
		}
	}
	if replies != maxConsecutiveErrors {
		t.Errorf("got %d error replies, want %d", replies, maxConsecutiveErrors)
	}
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	conn := &clientConn{Conn: local, clock: clock.System(), inFlight: 1}
	server.mu.Lock()
	conn.beginClose()
	server.mu.Unlock()
	server.commandRead(conn)
	if _, err := local.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("reading from a closing connection: got error %v, want a passed deadline", err)
	}
}
