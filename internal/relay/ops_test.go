package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// freeAddr returns an address with a free port for an operator port.
func freeAddr(t *testing.T) string {
	t.Helper()
	return reserveAddr(t)
}

// callOperatorPort sends text to the operator port and returns the reply line, or an empty string where none comes.
func callOperatorPort(t *testing.T, addr, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	io.WriteString(conn, text)
	conn.(*net.TCPConn).CloseWrite()
	reply, _ := bufio.NewReader(conn).ReadString('\n')
	return reply
}

// waitForOperatorPort waits until the operator port acknowledges READY.
func waitForOperatorPort(t *testing.T, addr string) {
	t.Helper()
	waitFor(t, "READY to be acknowledged", func() bool {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		conn.Close()
		return strings.HasPrefix(callOperatorPort(t, addr, "READY\n"), "ACK")
	})
}

const pingCommand = "*1\r\n$4\r\nPING\r\n"

// TestDrain: while the relay is drained PING gets an error reply, an idle connection is closed, a connection with a
// request in flight is closed after its reply, and a new connection after its first reply. Messages are still taken
// and delivered, the process keeps running, and UNDRAIN restores normal service.
func TestDrain(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	env := writeTestConfig(t, newFakeDiscovery(t, ep.member("s-1", 1)), 3)
	env["ROUTER_OPS"] = freeAddr(t)
	process := startChild(t, env)
	waitForOperatorPort(t, env["ROUTER_OPS"])
	idle, incomplete := dialClient(t, env["ROUTER_LISTEN"]), dialClient(t, env["ROUTER_LISTEN"])
	for _, client := range []*testClient{idle, incomplete} {
		io.WriteString(client, pingCommand)
		if reply := client.readLine(); reply != "+PONG" {
			t.Fatal(reply)
		}
	}
	text := putCommand("half", putFields("plain", 8000, 1), []byte("body"))
	io.WriteString(incomplete, text[:20])
	time.Sleep(50 * time.Millisecond) // lets the first bytes be read; with too short a wait the test covers less
	for range 2 {
		if reply := callOperatorPort(t, env["ROUTER_OPS"], "DRAIN\n"); !strings.HasPrefix(reply, "ACK ") {
			t.Fatalf("DRAIN: got reply %q, want ACK", reply)
		}
	}
	if reply := callOperatorPort(t, env["ROUTER_OPS"], "READY\r\n"); !strings.HasPrefix(reply, "NAK ") {
		t.Errorf("READY while drained: got reply %q, want NAK", reply)
	}
	if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got error %v, want EOF", err)
	}
	io.WriteString(incomplete, text[20:])
	if reply := incomplete.readLine(); reply != "+OK" {
		t.Errorf("request in flight: got reply %q, want +OK", reply)
	}
	if _, err := incomplete.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the reply to the request in flight: got error %v, want EOF", err)
	}
	late := dialClient(t, env["ROUTER_LISTEN"])
	if reply := late.put("late", putFields("plain", 8000, 1), nil); reply != "+OK" {
		t.Errorf("message on a new connection: got reply %q, want +OK", reply)
	}
	if _, err := late.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("new connection after its first reply: got error %v, want EOF", err)
	}
	pinged := dialClient(t, env["ROUTER_LISTEN"])
	io.WriteString(pinged, pingCommand)
	if reply := pinged.readLine(); !strings.HasPrefix(reply, "-ERR ") {
		t.Errorf("PING while drained: got reply %q, want an error reply", reply)
	}
	waitFor(t, "the delivery of the messages taken", func() bool {
		return ep.callCount("half") == 1 && ep.callCount("late") == 1
	})
	for range 2 {
		if reply := callOperatorPort(t, env["ROUTER_OPS"], "UNDRAIN\n"); !strings.HasPrefix(reply, "ACK ") {
			t.Fatalf("UNDRAIN: got reply %q, want ACK", reply)
		}
	}
	if reply := callOperatorPort(t, env["ROUTER_OPS"], "READY\n"); !strings.HasPrefix(reply, "ACK ") {
		t.Errorf("READY after UNDRAIN: got reply %q, want ACK", reply)
	}
	kept := dialClient(t, env["ROUTER_LISTEN"])
	for range 2 { // the connection stays open after its first reply
		io.WriteString(kept, pingCommand)
		if reply := kept.readLine(); reply != "+PONG" {
			t.Fatalf("PING after UNDRAIN: got reply %q, want +PONG", reply)
		}
	}
	if process.cmd.ProcessState != nil {
		t.Error("the drained process has ended, want it running")
	}
}

// TestUnreadRequestIsRead: a request whose bytes are unread in the socket when its connection begins to close is read.
// Closing the connection would reset it and lose the request.
func TestUnreadRequestIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	server := newClients(parseTestConfig(t), clock.System(), discardLogger(), replyOK, func(*putRequest, bool) {})
	serverConn := &clientConn{Conn: conn, clock: clock.System(), sentCommand: true}
	server.mu.Lock()
	serverConn.beginClose()
	server.mu.Unlock()
	_, err = serverConn.Read(make([]byte, 1))
	if server.requestArrived(serverConn, err) {
		t.Error("got a request on a connection on which nothing was sent")
	}
	io.WriteString(client, pingCommand)
	waitFor(t, "the request to be found after the read deadline", func() bool {
		return server.requestArrived(serverConn, err)
	})
	if args, err := resp.ReadCommand(bufio.NewReader(serverConn), nil); err != nil || string(args[0]) != "PING" {
		t.Errorf("got command %q and error %v, want PING", args, err)
	}
}

// TestOperatorPort: an unknown or incomplete call gets NAK, and connections that do not finish their call, however
// many, keep no operator out.
func TestOperatorPort(t *testing.T) {
	env := writeTestConfig(t, newFakeDiscovery(t), 3)
	env["ROUTER_OPS"] = freeAddr(t)
	startChild(t, env)
	waitForOperatorPort(t, env["ROUTER_OPS"])
	for _, text := range []string{"\n", "ready\n", "HELP\n", "READY now\n", "DRAIN",
		strings.Repeat("x", 3*maxOperatorLineBytes) + "\n"} {
		if reply := callOperatorPort(t, env["ROUTER_OPS"], text); !strings.HasPrefix(reply, "NAK ") {
			t.Errorf("call %q: got reply %q, want NAK", text, reply)
		}
	}
	for range 3 * maxOperatorConns {
		conn, err := net.Dial("tcp", env["ROUTER_OPS"])
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "REA")
	}
	began := time.Now()
	if reply := callOperatorPort(t, env["ROUTER_OPS"], "READY\n"); !strings.HasPrefix(reply, "ACK ") {
		t.Errorf("READY beside unfinished calls: got reply %q, want ACK", reply)
	}
	if took := time.Since(began); took >= operatorCallTimeout {
		t.Errorf("READY was answered after %v, want less than the timeout of the unfinished calls", took)
	}
}

// TestOperatorPortAddressInUse: the operator port opens as soon as its address is free, and the relay serves clients
// until then.
func TestOperatorPortAddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	env := writeTestConfig(t, newFakeDiscovery(t), 3)
	env["ROUTER_OPS"] = listener.Addr().String()
	startChild(t, env) // waits for PONG
	listener.Close()
	waitForOperatorPort(t, env["ROUTER_OPS"])
}
