package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
)

// These tests cover races between two events. Each brings about one order of the events, through the other side or a
// hook, instead of sleeping until it is likely.

// hookedConn calls afterWrite after each write.
type hookedConn struct {
	*net.TCPConn
	afterWrite func()
}

func (c *hookedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.afterWrite()
	return n, err
}

// acceptingEndpoint starts an endpoint that accepts all messages of each call. It sends the ids of each call's
// messages on ids.
func acceptingEndpoint(t *testing.T) (addr string, ids chan []string) {
	ids = make(chan []string, 8)
	return rawEndpoint(t, func(conn net.Conn) {
		for reader := bufio.NewReader(conn); ; {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			if req.URL.Path == callPath {
				ids <- []string{req.Header.Get("X-Request-ID")}
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			batch, _ := decodeBatch(t, body)
			ids <- batch
			response := "["
			for i, id := range batch {
				if i > 0 {
					response += ","
				}
				response += `{"id":"` + id + `","state":"accepted"}`
			}
			response += "]"
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(response))+"\r\n\r\n"+response)
		}
	}), ids
}

// TestLateConnectionOmitsExpiredMessages: when a connection is established after the deadline of one of a call's
// messages, the call is sent with the others only. The message may have ended by then, or may be in another call.
func TestLateConnectionOmitsExpiredMessages(t *testing.T) {
	addr, ids := acceptingEndpoint(t)
	host := testPool(t).forHost(addr)
	release := make(chan struct{})
	host.dial = func(_ context.Context, addr string) (net.Conn, error) {
		<-release
		return net.Dial("tcp", addr)
	}
	short, cancelled := &message{num: 1}, &message{num: 2}
	items := []callItem{{message: &message{num: 3}, rec: &record{ID: "long"}, timeout: testLimit},
		{message: cancelled, rec: &record{ID: "cancelled"}, timeout: testLimit},
		{message: short, rec: &record{ID: "short"}, timeout: time.Millisecond}}
	testCall := newTestCall()
	results, done := make(chan callResult, 4), make(chan struct{})
	go func() {
		defer close(done)
		testCall.run(host, items, nil, func(m *message, result callResult) {
			if m == short {
				if result.outcome != decide.NotSent {
					t.Errorf("expired message: got %+v, want outcome NotSent", result)
				}
				if !testCall.removeMessage(cancelled) { // as when the policy cancels its attempt
					t.Error("removing a message before there is a connection: got false, want true")
				}
				close(release)
				return
			}
			results <- result
		})
	}()
	<-done
	if result := <-results; result.outcome != decide.Delivered || result.status != http.StatusOK {
		t.Errorf("the call: got %+v, want outcome Delivered and status 200", result)
	}
	if got := <-ids; !slices.Equal(got, []string{"long"}) {
		t.Errorf("messages in the call: got %v, want [long]", got)
	}
	if len(results)+len(ids) > 0 {
		t.Error("got more than one call or more than one result of it, want one each")
	}
	if testCall.removeMessage(items[0].message) {
		t.Error("removing a message from a call that is written: got true, want false")
	}
}

// TestMessageEndsWhileCallIsWritten: when a message is removed between the first and the last byte of its call, the
// call is abandoned, and its other messages are sent over another connection.
func TestMessageEndsWhileCallIsWritten(t *testing.T) {
	addr, ids := acceptingEndpoint(t)
	host := testPool(t).forHost(addr)
	testCall := newTestCall()
	ended := &message{num: 1}
	dials := 0
	host.dial = func(_ context.Context, addr string) (net.Conn, error) {
		conn, err := net.Dial("tcp", addr)
		if dials++; err != nil || dials > 1 {
			return conn, err
		}
		return &hookedConn{conn.(*net.TCPConn), func() {
			if !testCall.removeMessage(ended) {
				t.Error("removing a message before the last byte is written: got false, want true")
			}
		}}, nil
	}
	items := []callItem{{message: ended, rec: &record{ID: "ended"}, timeout: testLimit},
		{message: &message{num: 2}, rec: &record{ID: "a"}, timeout: testLimit},
		{message: &message{num: 3}, rec: &record{ID: "b"}, timeout: testLimit}}
	results := make(chan callResult, 1)
	testCall.run(host, items, nil, func(_ *message, result callResult) { results <- result })
	if result := <-results; result.itemResults["a"].outcome != decide.Delivered ||
		result.itemResults["b"].outcome != decide.Delivered || len(result.itemResults) != 2 {
		t.Errorf("the call: got %+v, want a and b delivered and no other results", result)
	}
	if got := <-ids; !slices.Equal(got, []string{"a", "b"}) || len(ids) > 0 {
		t.Errorf("messages in the call: got %v, want [a b], and no other call", got)
	}
	// If the removed message is the only one of its call, nothing is sent.
	testCall, dials = newTestCall(), 0
	results = make(chan callResult, 1)
	testCall.run(host, items[:1], nil, func(_ *message, result callResult) { results <- result })
	if result := <-results; result.outcome != decide.NotSent || len(ids) > 0 {
		t.Errorf("call with the removed message only: got %+v, want outcome NotSent and nothing sent", result)
	}
}

// TestEndedMessageIsRemovedFromCall: a message that ends while its call waits for a connection is removed from the
// call before its end is reported.
func TestEndedMessageIsRemovedFromCall(t *testing.T) {
	r := newTestRelay(t)
	r.wal, r.notices = &wal{queue: newMailbox[walOp]()},
		newNotices("127.0.0.1:1", clock.System(), discardLogger(), nil)
	m := r.newMessage(&record{ID: "m", Class: "plain"})
	m.acknowledged = true
	m.call = newTestCall()
	m.call.msgs = []*message{m}
	r.handleFinalAction(&decide.Action{Kind: decide.ActRefuse, Message: m.num}, noticeHandedBack)
	if m.call.commitLastByte([]callItem{{message: m}}, r.clock.Now()) {
		t.Error("committing the last byte of a call whose only message has ended: got true, want false")
	}
}

// TestConnectionIsClosedBeforeOutcomeIsReported: when a call fails without a complete response, its connection is
// closed before the outcome is reported. Otherwise the next attempt could be sent while the endpoint still works on
// this call.
func TestConnectionIsClosedBeforeOutcomeIsReported(t *testing.T) {
	for name, response := range map[string]string{"silent": "", "invalid response": "nonsense\r\n\r\n",
		"incomplete response": "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			host := testPool(t).forHost(rawEndpoint(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				if readCall(reader) {
					io.WriteString(conn, response)
					reader.ReadByte() // until the caller closes
					close(closed)
				}
			}))
			timeout := testLimit
			if response == "" {
				timeout = 50 * time.Millisecond
			}
			reports := 0
			newTestCall().run(host, []callItem{{rec: &record{ID: "m"}, timeout: timeout}}, nil,
				func(_ *message, result callResult) {
					reports++
					if result.outcome != decide.TimedOut && result.outcome != decide.Errored {
						t.Errorf("got %+v, want outcome TimedOut or Errored", result)
					}
					select {
					case <-closed:
					case <-time.After(testLimit):
						t.Error("the outcome was reported while the connection was open, want it closed before")
					}
				})
			if reports != 1 {
				t.Errorf("reported outcomes: got %d, want 1", reports)
			}
		})
	}
}

// TestRefusedForLackOfConnections: a 503 that closes a new connection and reports no load means that the endpoint
// accepts no more connections. On a connection that was used before, or with a load report, it does not.
func TestRefusedForLackOfConnections(t *testing.T) {
	for _, test := range []struct {
		head string
		used bool
		want bool
	}{{"503 Service Unavailable\r\nConnection: close\r\n", false, true},
		{"503 Service Unavailable\r\nConnection: close\r\n", true, false},
		{"503 Service Unavailable\r\n", false, false},
		{"503 Service Unavailable\r\nConnection: close\r\nX-Server-Load: x0=0,x1=3\r\n", false, false},
		{"503 Service Unavailable\r\nConnection: close\r\nSlots-Taken: 1\r\n", false, false},
		{"429 Too Many Requests\r\nConnection: close\r\nRetry-After: 1\r\n", false, false}} {
		host := testPool(t).forHost(rawEndpoint(t, func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			if test.used && readCall(reader) {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			if readCall(reader) {
				io.WriteString(conn, "HTTP/1.1 "+test.head+"Content-Length: 0\r\n\r\n")
			}
		}))
		if test.used {
			newTestCall().runForResult(t, host, &record{ID: "before"}, testLimit)
			waitReusable(host)
		}
		if result := newTestCall().runForResult(t, host, &record{ID: "m"},
			testLimit); result.tooManyConns != test.want {
			t.Errorf("%q, connection used before %v: got %+v, want the other value of tooManyConns",
				test.head, test.used, result)
		}
	}
}

// TestUntriedMessagesAreCalledAfterRestart: each message that a restart finds accepted without an attempt gets a call,
// also if little time is left, and if its destination refuses the first calls, asks to wait, or fails.
func TestUntriedMessagesAreCalledAfterRestart(t *testing.T) {
	rejectThree := func(code int, retryAfter string) func(http.ResponseWriter, *http.Request, int) {
		return func(w http.ResponseWriter, _ *http.Request, n int) {
			if n <= 3 {
				w.Header().Set("Retry-After", retryAfter)
				w.WriteHeader(code)
			}
		}
	}
	for name, respond := range map[string]func(http.ResponseWriter, *http.Request, int){"accepts": nil,
		"full": rejectThree(503, ""), "throttles": rejectThree(429, "0.3"), "fails": rejectThree(500, "")} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := newFakeDiscovery(t, Member{ID: "s-0", HostPort: "127.0.0.1:1", Cell: 5, Phase: phaseDraining})
			env := writeTestConfig(t, discovery, 3)
			process := startChild(t, env)
			client := dialClient(t, env["ROUTER_LISTEN"])
			var ids []string
			for i := range 12 {
				id, deadlineMS := "m"+strconv.Itoa(i), 20000
				if i >= 9 {
					deadlineMS = 12000
				}
				// No endpoint serves destination 5.
				if reply := client.put(id, putFields("plain", deadlineMS, 5), nil); reply != "+OK" {
					t.Fatal(reply)
				}
				ids = append(ids, id)
			}
			process.kill()
			endpoint := newFakeEndpoint(t, respond)
			discovery.update(func(d *fakeDiscovery) { d.list.Members = []Member{endpoint.member("s-1", 5)} })
			startChild(t, env)
			client = dialClient(t, env["ROUTER_LISTEN"])
			for i := range 30 { // new messages must not take the turns of the recovered ones
				client.put("n"+strconv.Itoa(i), putFields("plain", 20000, 5), nil)
			}
			for _, id := range ids {
				waitFor(t, "a call of "+id, func() bool { return endpoint.callCount(id) > 0 })
			}
		})
	}
}

// TestShutdownWaitsForRepliesAndNotices: a shutdown waits for the rest of a request that was half written at SIGTERM,
// for the reply to it, and for notices that discovery has not confirmed.
func TestShutdownWaitsForRepliesAndNotices(t *testing.T) {
	discovery := newFakeDiscovery(t)
	discovery.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusInternalServerError })
	env := writeTestConfig(t, discovery, 3)
	process := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	if reply := client.put("short", putFields("plain", 300, 9), nil); reply != "+OK" {
		t.Fatal(reply)
	}
	logContains := func(recordText string) bool {
		text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
		return strings.Contains(string(text), recordText)
	}
	waitFor(t, "the end of message short in the log", func() bool {
		return logContains(`"kind":"ending","id":"short"`)
	})
	command := putCommand("half", putFields("plain", 20000, 9), []byte("body"))
	io.WriteString(client, command[:len(command)/2])
	io.WriteString(dialClient(t, env["ROUTER_LISTEN"]), command[:1])
	process.waitReady(t) // by then it has read what was written before
	process.cmd.Process.Signal(syscall.SIGTERM)
	waitFor(t, "the listener to be closed", func() bool {
		conn, err := net.Dial("tcp", env["ROUTER_LISTEN"])
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	io.WriteString(client, command[len(command)/2:])
	if reply := client.readLine(); !strings.HasPrefix(reply, "-BUSY ") {
		t.Errorf("request completed during the shutdown: got reply %q, want -BUSY", reply)
	}
	discovery.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusNoContent })
	if err := process.cmd.Wait(); err != nil {
		t.Errorf("exit: got error %v, want none", err)
	}
	if _, ok := discovery.notice("short"); !ok || !logContains(`"kind":"end","id":"short"`) {
		t.Error("after the exit: got no notice or no record of its confirmation, want both")
	}
}

// TestRecoveryResolvesNames: a recovered message keeps the rules under which it was accepted when the new settings
// number classes, tenants and localities differently. Its tenant and the locality of the attempt that may have run are
// found by name at their new positions, and its class no longer exists.
func TestRecoveryResolvesNames(t *testing.T) {
	settings := func(classes, tenants, localities string) []byte {
		text := strings.Replace(testSettings, `"localities":["a","b"]`, `"localities":[`+localities+`]`, 1)
		text = strings.Replace(text, `[{"name":"acme","quota_per_s":1000,"share":1}]`, `[`+tenants+`]`, 1)
		if classes != "" {
			from, to := strings.Index(text, `"classes":[`), strings.Index(text, `"discovery"`)
			text = text[:from] + `"classes":[` + classes + `],` + text[to:]
		}
		return []byte(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"x","seed":"1","settings":` +
			text + `}`)
	}
	newRelay := func(text []byte) *Relay {
		cfg, err := parseConfig(text, func(string) string { return "" }, false)
		if err != nil {
			t.Fatal(err)
		}
		r := newTestRelay(t)
		r.cfg = cfg
		return r
	}
	acme, other := `{"name":"acme","quota_per_s":1000,"share":1}`, `{"name":"other","quota_per_s":1,"share":1}`
	before := newRelay(settings("", acme, `"a","b"`))
	keyed := before.cfg.Policy.Classes[before.cfg.classes["keyed"]]
	before.receiveList(t, &List{Complete: true, Members: []Member{
		{ID: "s-1", HostPort: "127.0.0.1:1", Locality: "b", Flavor: "k", Cell: 7, Phase: phaseUp}}})
	rec := &record{Kind: recordAccepted, ID: "m", Class: "keyed", Tenant: "acme", Key: "k", Dest: 7,
		Rules: &keyed, MaxAttempts: 3, Deadline: before.clock.Now().Add(testLimit)}
	rec.update(&record{Kind: recordAttempt, At: before.clock.Now(), ZoneName: before.endpointByID("s-1").zone})
	text, err := rec.encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for localities, wantZone := range map[string]int{`"b","a"`: 0, `"x","y","b"`: 2, `"a"`: -2} {
		after := newRelay(settings(`{"deadline_us":9000000,"dedup_window_us":0,"group":"all","late_worth":0.1,"name":"new","repeat":"retryable","target_us":1,"worth":9}`,
			other+","+acme, localities))
		recovered, _ := decodeRecord(text)
		recovered.markInFlightMayHaveRun()
		after.restoreMessages([]*record{recovered}, nil)
		restored := after.policyEvents[len(after.policyEvents)-1]
		if restored.MayHaveRunZone != wantZone || restored.Tenant != 1 ||
			restored.OriginalClass.Name != "keyed" || *restored.OriginalClass != keyed ||
			restored.OriginalMaxAttempts != 3 || restored.Attempts != 1 || restored.MayHaveRunAt == 0 {
			t.Errorf("localities %s: got %+v with rules %+v, want rules, attempts, tenant and zone of the record",
				localities, restored, restored.OriginalClass)
		}
	}
}

// TestResponseAfterCallTimedOut: a response that arrives when the call has been reported as timed out changes nothing.
// The first outcome stands, and the call frees its slot once.
func TestResponseAfterCallTimedOut(t *testing.T) {
	for _, lateOutcome := range []decide.Outcome{decide.Delivered, decide.Errored} {
		r := newTestRelay(t)
		r.wal = &wal{queue: newMailbox[walOp]()}
		c := newTestCall()
		c.ep = &endpoint{num: 1, calls: map[*call]bool{c: true}}
		r.callsInFlight = 1
		m := r.newMessage(&record{ID: "m", Class: "once"})
		m.acknowledged, m.attempts, m.call = true, 1, c
		c.msgs, c.unfinished = []*message{m}, 1
		r.handleCallResult(c, m, &callResult{outcome: decide.TimedOut, err: context.DeadlineExceeded})
		r.handleCallResult(c, nil,
			&callResult{outcome: lateOutcome, settled: lateOutcome == decide.Delivered, status: 200})
		if len(r.policyEvents) != 1 || r.policyEvents[0].Outcome != decide.TimedOut ||
			r.callsInFlight != 0 || len(c.ep.calls) != 0 || m.ended {
			t.Errorf("got %d events, %d calls in flight, message ended %v, want 1 event (TimedOut), no call, not ended",
				len(r.policyEvents), r.callsInFlight, m.ended)
		}
		if ops := r.wal.queue.takeAll(nil); len(ops) != 1 || !ops[0].rec.MayHaveRun {
			t.Errorf("logged records: got %d, want 1, which says that the message may have run", len(ops))
		}
	}
}

// TestClientLeavesAfterBurst: when a client pipelines messages and disconnects before the replies, the relay holds
// none of them indefinitely: each message that was logged as accepted ends, and none is sent twice.
func TestClientLeavesAfterBurst(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	discovery := newFakeDiscovery(t, endpoint.member("s-1", 7))
	env := writeTestConfig(t, discovery, 3)
	startChild(t, env)
	conn, err := net.Dial("tcp", env["ROUTER_LISTEN"])
	if err != nil {
		t.Fatal(err)
	}
	burst := ""
	for i := range 20 {
		burst += putCommand("b"+strconv.Itoa(i), putFields("once", 20000, 7), nil)
	}
	io.WriteString(conn, burst)
	conn.Close()
	client := dialClient(t, env["ROUTER_LISTEN"])
	for i := range 3 {
		id := "after" + strconv.Itoa(i)
		if reply := client.put(id, putFields("once", 20000, 7), nil); reply != "+OK" {
			t.Fatal(reply)
		}
		waitFor(t, id, func() bool { return endpoint.callCount(id) == 1 })
	}
	waitFor(t, "the end of each accepted message in the log", func() bool {
		log, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
		return strings.Count(string(log), `"kind":"taken"`) == strings.Count(string(log), `"kind":"end"`)
	})
	for i := range 20 {
		if calls := endpoint.callCount("b" + strconv.Itoa(i)); calls > 1 {
			t.Errorf("message %d: got %d calls, want at most 1", i, calls)
		}
	}
}
