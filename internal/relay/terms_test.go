package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// windowOf gives the keyed class a window for repeats of so many milliseconds.
func windowOf(t *testing.T, env map[string]string, ms int) {
	t.Helper()
	rewrite(t, env, func(text string) string {
		const old = `"dedup_window_us":20000000`
		if !strings.Contains(text, old) {
			t.Fatal("the class has another window")
		}
		return strings.Replace(text, old, fmt.Sprintf(`"dedup_window_us":%d000`, ms), 1)
	})
}

// A connection that comes up when the window for repeats is over carries nothing that may have run before,
// and one on which it passes between the first bytes of a call and its last brings that call to no end.
func TestNothingIsRepeatedPastItsWindow(t *testing.T) {
	addr, ids := acceptingEndpoint(t)
	for _, atLastByte := range []bool{false, true} {
		for _, alone := range []bool{false, true} {
			h := testPool(t).forHost(addr)
			by := clock.System().Now().Add(50 * time.Millisecond)
			pass := func() { time.Sleep(clock.Until(clock.System(), by) + time.Millisecond) }
			dials := 0
			h.dial = func(_ context.Context, addr string) (net.Conn, error) {
				conn, err := net.Dial("tcp", addr)
				if dials++; err != nil || dials > 1 {
					return conn, err
				}
				if !atLastByte {
					pass()
					return conn, nil
				}
				return &hookedConn{conn.(*net.TCPConn), pass}, nil
			}
			late := &message{num: 1}
			parts := []callItem{{message: late, rec: &record{ID: "late"}, timeout: testLimit, repeatUntil: by}}
			if !alone {
				parts = append(parts, callItem{message: &message{num: 2}, rec: &record{ID: "a"}, timeout: testLimit})
			}
			of, whole := make(chan callResult, 4), make(chan callResult, 4)
			newTestCall().run(h, parts, nil, func(m *message, o callResult) {
				if m == late {
					of <- o
				} else {
					whole <- o
				}
			})
			o := <-whole
			switch {
			case alone && (o.outcome != decide.NotSent || len(ids) > 0):
				t.Errorf("at the last byte %v, alone: %+v", atLastByte, o)
			case !alone:
				if got := <-ids; o.outcome != decide.Delivered || !slices.Equal(got, []string{"a"}) {
					t.Errorf("at the last byte %v: %v, %+v", atLastByte, got, o)
				}
				if x := <-of; x.outcome != decide.NotSent {
					t.Errorf("at the last byte %v, the late one: %+v", atLastByte, x)
				}
			}
		}
	}
}

// A keyed message that may have run before a restart is tried again inside its window, or not at all.
func TestShortWindowThroughARestart(t *testing.T) {
	for _, over := range []bool{false, true} {
		ep := newFakeEndpoint(t, hang)
		disc := newFakeDiscovery(t, ep.member("s-1", 1))
		env := writeTestConfig(t, disc, 3)
		window := 20000
		if over {
			window = 1000
		}
		windowOf(t, env, window)
		c := startChild(t, env)
		cl := dialClient(t, env["ROUTER_LISTEN"])
		if s := cl.put("m", putFields("keyed", 20000, 1), nil); s != "+OK" {
			t.Fatal(s)
		}
		waitFor(t, "the call", func() bool { return ep.callCount("m") == 1 })
		c.kill()
		ep.respondWith(nil)
		if over {
			time.Sleep(time.Duration(window) * time.Millisecond)
		}
		startChild(t, env)
		if over {
			waitFor(t, "its end", func() bool { n, ok := disc.notice("m"); return ok && n.Outcome == noticeGivenUp })
			if n := ep.callCount("m"); n != 1 {
				t.Errorf("called %d times, the second past its window", n)
			}
		} else {
			waitFor(t, "the second call", func() bool { return ep.callCount("m") == 2 })
		}
	}
}

// While discovery is down and idle clients fill every place, discovery is asked, endpoints are called, the log is
// written, operators are answered, and the next client that has something to say is served; one that has a
// request open is not let go for it. The process has no more descriptors than its limit says.
func TestIdleCrowdWhileDiscoveryIsDown(t *testing.T) {
	ep, stuck := newFakeEndpoint(t, nil), newFakeEndpoint(t, hang)
	disc := newFakeDiscovery(t, ep.member("s-1", 1), stuck.member("s-2", 2))
	env := writeTestConfig(t, disc, 3)
	ops, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	env["ROUTER_OPS"] = ops.Addr().String()
	ops.Close()
	rewrite(t, env, func(text string) string {
		return strings.Replace(text, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, leastSockets), 1)
	})
	c := startSmallChild(t, env)
	first := dialClient(t, env["ROUTER_LISTEN"])
	if s := first.put("before", putFields("plain", 20000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	disc.update(func(d *fakeDiscovery) { d.silent = true })
	disc.CloseClientConnections()
	open := dialClient(t, env["ROUTER_LISTEN"]) // its request is read by halves, all the time
	text := putCommand("open", putFields("plain", 20000, 1), []byte("body"))
	io.WriteString(open, text[:len(text)/2])
	for range 4 * leastSockets {
		conn, err := net.Dial("tcp", env["ROUTER_LISTEN"])
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	waitFor(t, "discovery to be asked", func() bool { disc.mu.Lock(); defer disc.mu.Unlock(); return disc.requestsWhileSilent >= 2 })
	io.WriteString(open, text[len(text)/2:])
	if s := open.readLine(); s != "+OK" {
		t.Errorf("the request that was open: %q", s)
	}
	for i := range 8 {
		id := fmt.Sprintf("said%d", i)
		var s string
		waitFor(t, "a client that says something", func() bool { // a new connection may be shut unread
			conn, err := net.Dial("tcp", env["ROUTER_LISTEN"])
			if err != nil {
				return false
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			io.WriteString(conn, putCommand(id, putFields("plain", 20000, 1+i%2), nil))
			var b [16]byte
			n, _ := conn.Read(b[:])
			s = string(b[:n])
			return n > 0
		})
		if s != resp.OK {
			t.Errorf("%s: %q", id, s)
		}
		if i%2 == 0 {
			waitFor(t, "its call", func() bool { return ep.callCount(id) == 1 })
		}
	}
	waitFor(t, "the operators' answer", func() bool {
		conn, err := net.Dial("tcp", env["ROUTER_OPS"])
		if err != nil {
			return false
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(conn, "READY\n")
		var b [64]byte
		n, _ := conn.Read(b[:])
		return strings.HasPrefix(string(b[:n]), "ACK")
	})
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d descriptors of %d", len(fds), leastSockets)
	disc.update(func(d *fakeDiscovery) { d.silent = false })
	disc.sendLine(t, `{"revision":2,"members":[{"id":"s-1","cell":1,"phase":"draining","host_port":"127.0.0.1:1"}]}`)
}

// Processes that are started all at once with discovery down, a full log and 1,024 endpoints on the list they
// had are ready within the 10 s that the platform gives nine in ten of them.
func TestReadyAfterARestart(t *testing.T) {
	const processes = 6
	disc := newFakeDiscovery(t)
	disc.update(func(d *fakeDiscovery) { d.silent = true })
	hanging := newFakeEndpoint(t, hang)
	var members []string
	for i := range mostListed {
		members = append(members, fmt.Sprintf(`{"id":"s-%08x","host_port":%q,"locality":"a","flavor":"k","cell":%d,"phase":"up","size":100}`, i, hanging.addr(), i))
	}
	known := `"known":{"revision":1,"complete":true,"members":[` + strings.Join(members, ",") + `]},"settings"`
	var envs []map[string]string
	owed := 0
	for range processes {
		env := writeTestConfig(t, disc, 3)
		rewrite(t, env, func(text string) string { return strings.Replace(text, `"settings"`, known, 1) })
		cfg := parseTestConfig(t)
		w, _ := openTestWAL(t, env["ROUTER_STATE"], 3<<20)
		owed = 0
		for ; ; owed++ {
			rec := &record{Kind: recordAccepted, ID: fmt.Sprintf("m%d", owed), Class: "plain", Tenant: "acme", Dest: owed % mostListed,
				Deadline: clock.System().Now().Add(time.Minute), Rules: &cfg.Policy.Classes[0], MaxAttempts: 8, body: make([]byte, 200)}
			if err := w.append(rec, false); err != nil {
				break
			}
		}
		w.start()
		w.halt()
		w.slots.release()
		envs = append(envs, env)
	}
	if owed < 1000 {
		t.Fatalf("a log with room for %d messages", owed)
	}
	began := time.Now()
	var all []*child
	for _, env := range envs {
		all = append(all, launchChild(t, env, nil))
	}
	for _, c := range all {
		c.waitReady(t)
	}
	took := time.Since(began)
	t.Logf("%d processes with %d messages each: the last is ready after %v", processes, owed, took)
	if took > 10*time.Second {
		t.Errorf("the last of %d processes is ready after %v", processes, took)
	}
}

// What has ended and must not take effect twice is known through restarts: who comes with its id again hears what
// became of it, and nothing is called. What may run any number of times is taken on again.
func TestEndedIsKnownAfterARestart(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	env := writeTestConfig(t, newFakeDiscovery(t, ep.member("s-1", 1)), 3)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	put := func(id, class string) {
		t.Helper()
		if s := cl.put(id, putFields(class, 20000, 1), nil); s != "+OK" {
			t.Fatalf("%s: %s", id, s)
		}
	}
	for _, class := range []string{"once", "keyed", "plain"} {
		put(class, class)
		waitFor(t, "its end in the log", func() bool {
			text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
			return strings.Contains(string(text), fmt.Sprintf(`"kind":"end","id":%q`, class))
		})
	}
	for n := range 3 { // the second start reads a compacted log
		c.kill()
		c = startChild(t, env)
		cl = dialClient(t, env["ROUTER_LISTEN"])
		for _, class := range []string{"once", "keyed", "plain"} {
			put(class, class)
		}
		waitFor(t, "what may run again", func() bool { return ep.callCount("plain") == n+2 })
		put(fmt.Sprint("marker", n), "once")
		waitFor(t, "what is new", func() bool { return ep.callCount(fmt.Sprint("marker", n)) == 1 })
		if ep.callCount("once") != 1 || ep.callCount("keyed") != 1 {
			t.Fatalf("after %d starts: unsafe one called %d times, keyed one %d", n+1, ep.callCount("once"), ep.callCount("keyed"))
		}
	}
}

// The ids of what has ended keep to their part of the disk, the newest are kept, each until its time is long over.
func TestEndedIDsAreBounded(t *testing.T) {
	const limit = 512 << 10
	dir := t.TempDir()
	w, _ := openTestWAL(t, dir, limit)
	cfg := parseTestConfig(t)
	take := func(id string, class int, deadline clock.Instant) {
		t.Helper()
		mustAppend(t, w, &record{Kind: recordAccepted, ID: id, Deadline: deadline, Rules: &cfg.Policy.Classes[class]})
	}
	once, soon := cfg.classes["once"], clock.System().Now().Add(time.Minute)
	take("long-ago", once, clock.System().Now().Add(-time.Hour))
	take("safe", cfg.classes["plain"], soon)
	take("withdrawn", once, soon)
	mustAppend(t, w, &record{Kind: recordEnd, ID: "long-ago", MayHaveRun: true}, &record{Kind: recordEnd, ID: "safe", MayHaveRun: true},
		&record{Kind: recordEnd, ID: "withdrawn"})
	if n := len(w.endedRecords()); n != 0 {
		t.Fatalf("%d ids are kept of what may run again, never ran, or is long over", n)
	}
	const all = 1000
	for i := range all {
		id := fmt.Sprintf("m%04d", i)
		take(id, once, soon)
		if i%2 == 1 {
			mustAppend(t, w, &record{Kind: recordEnding, ID: id, Notice: noticeGivenUp})
		}
		mustAppend(t, w, &record{Kind: recordEnd, ID: id, MayHaveRun: i%2 == 0})
	}
	w.start()
	w.halt()
	w.slots.release()
	again, owed := openTestWAL(t, dir, limit)
	ended := again.endedRecords()
	if want := limit / endedDiskDivisor / endedRecordBytes; len(ended) != want || len(owed) != 0 {
		t.Fatalf("%d ids kept, want %d; %d owed", len(ended), want, len(owed))
	}
	for i, rec := range ended {
		n := all - len(ended) + i
		if rec.ID != fmt.Sprintf("m%04d", n) || (rec.Notice == noticeGivenUp) != (n%2 == 1) {
			t.Fatalf("%d of %d: %+v", i, len(ended), rec)
		}
	}
}
