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

// setDedupWindow sets the deduplication window of the keyed class.
func setDedupWindow(t *testing.T, env map[string]string, windowMS int) {
	t.Helper()
	rewrite(t, env, func(text string) string {
		const old = `"dedup_window_us":20000000`
		if !strings.Contains(text, old) {
			t.Fatal("the configuration has no deduplication window of 20 s")
		}
		return strings.Replace(text, old, fmt.Sprintf(`"dedup_window_us":%d000`, windowMS), 1)
	})
}

// TestNoRepeatAfterDedupWindow: a message that may have run before is not sent after its deduplication window has
// closed. If the window closes while the connection is dialed, the call is sent without the message. If it closes
// between the first and the last byte of a call, that call is not completed.
func TestNoRepeatAfterDedupWindow(t *testing.T) {
	addr, ids := acceptingEndpoint(t)
	for _, atLastByte := range []bool{false, true} {
		for _, alone := range []bool{false, true} {
			host := testPool(t).forHost(addr)
			windowEnd := clock.System().Now().Add(50 * time.Millisecond)
			waitPastWindow := func() { time.Sleep(clock.Until(clock.System(), windowEnd) + time.Millisecond) }
			dials := 0
			host.dial = func(_ context.Context, addr string) (net.Conn, error) {
				conn, err := net.Dial("tcp", addr)
				if dials++; err != nil || dials > 1 {
					return conn, err
				}
				if !atLastByte {
					waitPastWindow()
					return conn, nil
				}
				return &hookedConn{conn.(*net.TCPConn), waitPastWindow}, nil
			}
			late := &message{num: 1}
			items := []callItem{{message: late, rec: &record{ID: "late"}, timeout: testLimit, repeatUntil: windowEnd}}
			if !alone {
				items = append(items, callItem{message: &message{num: 2}, rec: &record{ID: "a"}, timeout: testLimit})
			}
			lateResults, results := make(chan callResult, 4), make(chan callResult, 4)
			newTestCall().run(host, items, nil, func(msg *message, result callResult) {
				if msg == late {
					lateResults <- result
				} else {
					results <- result
				}
			})
			result := <-results
			switch {
			case alone && (result.outcome != decide.NotSent || len(ids) > 0):
				t.Errorf("closed at the last byte %v, the message alone: got %+v, want it not sent", atLastByte, result)
			case !alone:
				if batch := <-ids; result.outcome != decide.Delivered || !slices.Equal(batch, []string{"a"}) {
					t.Errorf("closed at the last byte %v: got call with %v and %+v, want only a, delivered",
						atLastByte, batch, result)
				}
				if lateResult := <-lateResults; lateResult.outcome != decide.NotSent {
					t.Errorf("closed at the last byte %v, the late message: got %+v, want it not sent",
						atLastByte, lateResult)
				}
			}
		}
	}
}

// TestDedupWindowAcrossRestart: a keyed message that may have run before a restart is sent again only within its
// deduplication window.
func TestDedupWindowAcrossRestart(t *testing.T) {
	for _, expired := range []bool{false, true} {
		endpoint := newFakeEndpoint(t, hang)
		discovery := newFakeDiscovery(t, endpoint.member("s-1", 1))
		env := writeTestConfig(t, discovery, 3)
		windowMS := 20000
		if expired {
			windowMS = 1000
		}
		setDedupWindow(t, env, windowMS)
		process := startChild(t, env)
		client := dialClient(t, env["ROUTER_LISTEN"])
		if reply := client.put("m", putFields("keyed", 20000, 1), nil); reply != "+OK" {
			t.Fatal(reply)
		}
		waitFor(t, "the first call", func() bool { return endpoint.callCount("m") == 1 })
		process.kill()
		endpoint.respondWith(nil)
		if expired {
			time.Sleep(time.Duration(windowMS) * time.Millisecond)
		}
		startChild(t, env)
		if expired {
			waitFor(t, "the notice", func() bool {
				n, ok := discovery.notice("m")
				return ok && n.Outcome == noticeGivenUp
			})
			if n := endpoint.callCount("m"); n != 1 {
				t.Errorf("calls with a message past its window: got %d, want 1", n)
			}
		} else {
			waitFor(t, "the second call", func() bool { return endpoint.callCount("m") == 2 })
		}
	}
}

// TestManyIdleConnectionsWhileDiscoveryIsDown: while discovery does not respond and idle connections use up the
// connection limit, the relay still queries discovery, calls endpoints, writes its log, answers on the operator port
// and serves the next client that sends a command. A connection with an incomplete request is not evicted for that
// client. The process uses no more descriptors than its limit allows.
func TestManyIdleConnectionsWhileDiscoveryIsDown(t *testing.T) {
	endpoint, hanging := newFakeEndpoint(t, nil), newFakeEndpoint(t, hang)
	discovery := newFakeDiscovery(t, endpoint.member("s-1", 1), hanging.member("s-2", 2))
	env := writeTestConfig(t, discovery, 3)
	operatorListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	env["ROUTER_OPS"] = operatorListener.Addr().String()
	operatorListener.Close()
	rewrite(t, env, func(text string) string {
		return strings.Replace(text, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, smallestSockets), 1)
	})
	process := startSmallChild(t, env)
	firstClient := dialClient(t, env["ROUTER_LISTEN"])
	if reply := firstClient.put("before", putFields("plain", 20000, 1), nil); reply != "+OK" {
		t.Fatal(reply)
	}
	discovery.update(func(d *fakeDiscovery) { d.silent = true })
	discovery.CloseClientConnections()
	incomplete := dialClient(t, env["ROUTER_LISTEN"]) // its request is incomplete all that time
	text := putCommand("incomplete", putFields("plain", 20000, 1), []byte("body"))
	io.WriteString(incomplete, text[:len(text)/2])
	for range 4 * smallestSockets {
		conn, err := net.Dial("tcp", env["ROUTER_LISTEN"])
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	waitFor(t, "discovery to be queried", func() bool {
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		return discovery.requestsWhileSilent >= 2
	})
	io.WriteString(incomplete, text[len(text)/2:])
	if reply := incomplete.readLine(); reply != "+OK" {
		t.Errorf("reply to the request that was incomplete: got %q, want +OK", reply)
	}
	for i := range 8 {
		id := fmt.Sprintf("new%d", i)
		var reply string
		waitFor(t, "a reply to a new client", func() bool { // a new connection may be closed before it is read
			conn, err := net.Dial("tcp", env["ROUTER_LISTEN"])
			if err != nil {
				return false
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			io.WriteString(conn, putCommand(id, putFields("plain", 20000, 1+i%2), nil))
			var buffer [16]byte
			n, _ := conn.Read(buffer[:])
			reply = string(buffer[:n])
			return n > 0
		})
		if reply != resp.OK {
			t.Errorf("reply for %s: got %q, want +OK", id, reply)
		}
		if i%2 == 0 {
			waitFor(t, "the call with the message", func() bool { return endpoint.callCount(id) == 1 })
		}
	}
	waitFor(t, "READY to be acknowledged", func() bool {
		conn, err := net.Dial("tcp", env["ROUTER_OPS"])
		if err != nil {
			return false
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(conn, "READY\n")
		var buffer [64]byte
		n, _ := conn.Read(buffer[:])
		return strings.HasPrefix(string(buffer[:n]), "ACK")
	})
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d of %d descriptors in use", len(descriptors), smallestSockets)
	discovery.update(func(d *fakeDiscovery) { d.silent = false })
	discovery.sendLine(t, `{"revision":2,"members":[{"id":"s-1","cell":1,"phase":"draining","host_port":"127.0.0.1:1"}]}`)
}

// TestReadyInTimeAfterRestart: processes that start at the same time, while discovery does not respond, each with a
// full log and a known list of 1,024 endpoints, are all ready within the 10 s that the platform allows nine in ten of
// them.
func TestReadyInTimeAfterRestart(t *testing.T) {
	const processCount = 6
	discovery := newFakeDiscovery(t)
	discovery.update(func(d *fakeDiscovery) { d.silent = true })
	hanging := newFakeEndpoint(t, hang)
	var members []string
	for i := range maxListedEndpoints {
		members = append(members, fmt.Sprintf(
			`{"id":"s-%08x","host_port":%q,"locality":"a","flavor":"k","cell":%d,"phase":"up","size":100}`,
			i, hanging.addr(), i))
	}
	known := `"known":{"revision":1,"complete":true,"members":[` + strings.Join(members, ",") + `]},"settings"`
	var envs []map[string]string
	pendingCount := 0
	for range processCount {
		env := writeTestConfig(t, discovery, 3)
		rewrite(t, env, func(text string) string { return strings.Replace(text, `"settings"`, known, 1) })
		cfg := parseTestConfig(t)
		log, _ := openTestWAL(t, env["ROUTER_STATE"], 3<<20)
		pendingCount = 0
		for ; ; pendingCount++ {
			rec := &record{Kind: recordAccepted, ID: fmt.Sprintf("m%d", pendingCount), Class: "plain", Tenant: "acme",
				Dest:     pendingCount % maxListedEndpoints,
				Deadline: clock.System().Now().Add(time.Minute), Rules: &cfg.Policy.Classes[0], MaxAttempts: 8,
				body: make([]byte, 200)}
			if err := log.append(rec, false); err != nil {
				break
			}
		}
		log.start()
		log.halt()
		log.slots.release()
		envs = append(envs, env)
	}
	if pendingCount < 1000 {
		t.Fatalf("messages that fit in the log: got %d, want at least 1000", pendingCount)
	}
	startedAt := time.Now()
	var processes []*child
	for _, env := range envs {
		processes = append(processes, launchChild(t, env, nil))
	}
	for _, process := range processes {
		process.waitReady(t)
	}
	elapsed := time.Since(startedAt)
	t.Logf("%d processes with %d messages each: the last is ready after %v", processCount, pendingCount, elapsed)
	if elapsed > 10*time.Second {
		t.Errorf("time until the last of %d processes is ready: got %v, want at most 10 s", processCount, elapsed)
	}
}

// TestEndedMessagesAreKnownAfterRestart: the id of an ended message that must not take effect twice is kept across
// restarts. A client that hands it in again gets the reply for how it ended, and no endpoint is called. An
// idempotent message is accepted and delivered again.
func TestEndedMessagesAreKnownAfterRestart(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	env := writeTestConfig(t, newFakeDiscovery(t, endpoint.member("s-1", 1)), 3)
	process := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	mustPut := func(id, class string) {
		t.Helper()
		if reply := client.put(id, putFields(class, 20000, 1), nil); reply != "+OK" {
			t.Fatalf("reply for %s: got %q, want +OK", id, reply)
		}
	}
	for _, class := range []string{"once", "keyed", "plain"} {
		mustPut(class, class)
		waitFor(t, "the end record in the log", func() bool {
			logText, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
			return strings.Contains(string(logText), fmt.Sprintf(`"kind":"end","id":%q`, class))
		})
	}
	for restart := range 3 { // the second start reads a compacted log
		process.kill()
		process = startChild(t, env)
		client = dialClient(t, env["ROUTER_LISTEN"])
		for _, class := range []string{"once", "keyed", "plain"} {
			mustPut(class, class)
		}
		waitFor(t, "a further call with the idempotent message", func() bool {
			return endpoint.callCount("plain") == restart+2
		})
		mustPut(fmt.Sprint("marker", restart), "once")
		waitFor(t, "the call with the new message", func() bool {
			return endpoint.callCount(fmt.Sprint("marker", restart)) == 1
		})
		if endpoint.callCount("once") != 1 || endpoint.callCount("keyed") != 1 {
			t.Fatalf("after %d restarts: got %d calls with the non-idempotent message and %d with the keyed one, want 1 each",
				restart+1, endpoint.callCount("once"), endpoint.callCount("keyed"))
		}
	}
}

// TestEndedIDLimit: the ids of ended messages take at most their share of the disk limit. The newest are kept, each
// until some time after its deadline.
func TestEndedIDLimit(t *testing.T) {
	const limitBytes = 512 << 10
	dir := t.TempDir()
	log, _ := openTestWAL(t, dir, limitBytes)
	cfg := parseTestConfig(t)
	appendAccepted := func(id string, class int, deadline clock.Instant) {
		t.Helper()
		mustAppend(t, log, &record{Kind: recordAccepted, ID: id, Deadline: deadline, Rules: &cfg.Policy.Classes[class]})
	}
	onceClass, inOneMinute := cfg.classes["once"], clock.System().Now().Add(time.Minute)
	appendAccepted("long-ago", onceClass, clock.System().Now().Add(-time.Hour))
	appendAccepted("idempotent", cfg.classes["plain"], inOneMinute)
	appendAccepted("withdrawn", onceClass, inOneMinute)
	mustAppend(t, log, &record{Kind: recordEnd, ID: "long-ago", MayHaveRun: true},
		&record{Kind: recordEnd, ID: "idempotent", MayHaveRun: true}, &record{Kind: recordEnd, ID: "withdrawn"})
	if n := len(log.endedRecords()); n != 0 {
		t.Fatalf("ids kept of messages that are idempotent, never ran, or expired long ago: got %d, want 0", n)
	}
	const total = 1000
	for i := range total {
		id := fmt.Sprintf("m%04d", i)
		appendAccepted(id, onceClass, inOneMinute)
		if i%2 == 1 {
			mustAppend(t, log, &record{Kind: recordEnding, ID: id, Notice: noticeGivenUp})
		}
		mustAppend(t, log, &record{Kind: recordEnd, ID: id, MayHaveRun: i%2 == 0})
	}
	log.start()
	log.halt()
	log.slots.release()
	recovered, pending := openTestWAL(t, dir, limitBytes)
	ended := recovered.endedRecords()
	if want := limitBytes / endedDiskDivisor / endedRecordBytes; len(ended) != want || len(pending) != 0 {
		t.Fatalf("got %d ids, want %d; got %d pending messages, want 0", len(ended), want, len(pending))
	}
	for i, rec := range ended {
		n := total - len(ended) + i
		if rec.ID != fmt.Sprintf("m%04d", n) || (rec.Notice == noticeGivenUp) != (n%2 == 1) {
			t.Fatalf("ended record %d of %d: got %+v, want the newest ids in order", i, len(ended), rec)
		}
	}
}
