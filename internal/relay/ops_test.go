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

func freeAddr(t *testing.T) string {
	t.Helper()
	return reserveAddr(t)
}

// tell sends text to the door and returns its line; empty for none.
func tell(t *testing.T, addr, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	io.WriteString(conn, text)
	conn.(*net.TCPConn).CloseWrite()
	s, _ := bufio.NewReader(conn).ReadString('\n')
	return s
}

func doorUp(t *testing.T, addr string) {
	t.Helper()
	waitFor(t, "READY", func() bool {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		conn.Close()
		return strings.HasPrefix(tell(t, addr, "READY\n"), "ACK")
	})
}

const ping = "*1\r\n$4\r\nPING\r\n"

// Guards a drain from both sides. Clients are sent away: PING is no, an idle
// connection is closed, one with a request under way after its answer, and a
// new one after its first. Messages are taken on and delivered as ever, the
// process stays, and UNDRAIN takes it all back.
func TestDrain(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	env := testConfig(t, newFakeDiscovery(t, ep.member("s-1", 1)), 3)
	env["ROUTER_OPS"] = freeAddr(t)
	c := startChild(t, env)
	doorUp(t, env["ROUTER_OPS"])
	idle, half := dialClient(t, env["ROUTER_LISTEN"]), dialClient(t, env["ROUTER_LISTEN"])
	for _, cl := range []*testClient{idle, half} {
		io.WriteString(cl, ping)
		if s := cl.line(); s != "+PONG" {
			t.Fatal(s)
		}
	}
	text := putText("half", fields("plain", 8000, 1), []byte("body"))
	io.WriteString(half, text[:20])
	time.Sleep(50 * time.Millisecond) // its first bytes are to be read; too short a wait only tests less
	for range 2 {
		if s := tell(t, env["ROUTER_OPS"], "DRAIN\n"); !strings.HasPrefix(s, "ACK ") {
			t.Fatalf("DRAIN: %q", s)
		}
	}
	if s := tell(t, env["ROUTER_OPS"], "READY\r\n"); !strings.HasPrefix(s, "NAK ") {
		t.Errorf("READY while drained: %q", s)
	}
	if _, err := idle.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v", err)
	}
	io.WriteString(half, text[20:])
	if s := half.line(); s != "+OK" {
		t.Errorf("a request under way: %q", s)
	}
	if _, err := half.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after its answer: %v", err)
	}
	late := dialClient(t, env["ROUTER_LISTEN"])
	if s := late.put("late", fields("plain", 8000, 1), nil); s != "+OK" {
		t.Errorf("on a new connection: %q", s)
	}
	if _, err := late.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("a new one after its answer: %v", err)
	}
	asked := dialClient(t, env["ROUTER_LISTEN"])
	io.WriteString(asked, ping)
	if s := asked.line(); !strings.HasPrefix(s, "-ERR ") {
		t.Errorf("PING while drained: %q", s)
	}
	waitFor(t, "what was taken on", func() bool { return ep.count("half") == 1 && ep.count("late") == 1 })
	for range 2 {
		if s := tell(t, env["ROUTER_OPS"], "UNDRAIN\n"); !strings.HasPrefix(s, "ACK ") {
			t.Fatalf("UNDRAIN: %q", s)
		}
	}
	if s := tell(t, env["ROUTER_OPS"], "READY\n"); !strings.HasPrefix(s, "ACK ") {
		t.Errorf("READY again: %q", s)
	}
	back := dialClient(t, env["ROUTER_LISTEN"])
	for range 2 { // it is kept again
		io.WriteString(back, ping)
		if s := back.line(); s != "+PONG" {
			t.Fatalf("PING again: %q", s)
		}
	}
	if c.cmd.ProcessState != nil {
		t.Error("the process has ended")
	}
}

// Guards a request that crosses the moment in which its connection is let go:
// its bytes wait unread, and a close would reset them under the client.
func TestUnreadRequestIsRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := newClients(parseTestConfig(t), clock.System(), quietLog(), accept, func(*request, bool) {})
	cc := &clientConn{Conn: conn, clock: clock.System(), spoke: true}
	c.mu.Lock()
	cc.release()
	c.mu.Unlock()
	_, err = cc.Read(make([]byte, 1))
	if c.crossed(cc, err) {
		t.Error("nothing has come")
	}
	io.WriteString(client, ping)
	waitFor(t, "the request, behind a deadline that has passed", func() bool { return c.crossed(cc, err) })
	if args, err := resp.ReadCommand(bufio.NewReader(cc)); err != nil || string(args[0]) != "PING" {
		t.Errorf("read %q, %v", args, err)
	}
}

// Guards the door: what is no call is a no, half a line is not taken for a
// whole one, and callers that say nothing, however many, keep nobody out.
func TestDoor(t *testing.T) {
	env := testConfig(t, newFakeDiscovery(t), 3)
	env["ROUTER_OPS"] = freeAddr(t)
	startChild(t, env)
	doorUp(t, env["ROUTER_OPS"])
	for _, text := range []string{"\n", "ready\n", "HELP\n", "READY now\n", "DRAIN", strings.Repeat("x", 3*opsLine) + "\n"} {
		if s := tell(t, env["ROUTER_OPS"], text); !strings.HasPrefix(s, "NAK ") {
			t.Errorf("%q: %q", text, s)
		}
	}
	for range 3 * opsMost {
		conn, err := net.Dial("tcp", env["ROUTER_OPS"])
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "REA")
	}
	began := time.Now()
	if s := tell(t, env["ROUTER_OPS"], "READY\n"); !strings.HasPrefix(s, "ACK ") {
		t.Errorf("beside silent callers: %q", s)
	}
	if took := time.Since(began); took >= opsWait {
		t.Errorf("answered after %v: it waited for the silent ones", took)
	}
}

// The door opens as soon as its address is free; until then the relay serves.
func TestDoorTaken(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	env := testConfig(t, newFakeDiscovery(t), 3)
	env["ROUTER_OPS"] = ln.Addr().String()
	startChild(t, env) // waits for PONG
	ln.Close()
	doorUp(t, env["ROUTER_OPS"])
}
