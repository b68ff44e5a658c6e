package relay

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// replaceableRelay is a relay whose process can be replaced while it runs. The test owns the listening socket and
// passes it to each process.
type replaceableRelay struct {
	env    map[string]string
	socket *os.File
}

func newReplaceableRelay(t *testing.T, discovery *fakeDiscovery) *replaceableRelay {
	t.Helper()
	env := writeTestConfig(t, discovery, 3)
	listener, err := net.Listen("tcp", env["ROUTER_LISTEN"])
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return &replaceableRelay{env, file}
}

// startProcess starts a process of the relay with an operator port of its own, and waits until READY is acknowledged
// there.
func (r *replaceableRelay) startProcess(t *testing.T) *child {
	t.Helper()
	env := maps.Clone(r.env)
	env["ROUTER_OPS"] = freeAddr(t)
	process := launchChild(t, env, r.socket)
	waitForOperatorPort(t, env["ROUTER_OPS"])
	return process
}

// waitExit waits for the process to end by itself with exit status 0.
func (c *child) waitExit(t *testing.T) {
	t.Helper()
	exited := make(chan error, 1)
	go func() { exited <- c.cmd.Wait() }()
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("exit status: got %v, want 0", err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the predecessor process has not ended within 20 s")
	}
}

// responseGate holds back the responses of an endpoint until open is closed.
type responseGate struct {
	open    chan struct{}
	arrived atomic.Int32 // calls that have arrived
}

func newResponseGate() *responseGate { return &responseGate{open: make(chan struct{})} }

func (g *responseGate) respond(w http.ResponseWriter, r *http.Request, _ int) {
	g.arrived.Add(1)
	select {
	case <-g.open:
	case <-r.Context().Done():
	}
}

// TestUpgrade: a hand-over from the predecessor process to its successor loses and repeats nothing. The predecessor
// finishes its calls in flight, and none of their messages is sent twice, whatever the outcome. The successor sends the
// messages that wait, and respects a Retry-After that the predecessor received. An idle client connection is closed. A
// request that a client is still writing gets its reply, its message is delivered, and the predecessor reports to the
// successor that the reply was written. The predecessor then ends by itself. There are three rounds, so that processes
// that took over hand over in turn.
func TestUpgrade(t *testing.T) {
	plainEndpoint := newFakeEndpoint(t, nil)
	discovery := newFakeDiscovery(t)
	relay := newReplaceableRelay(t, discovery)
	// An incomplete command waits here while a process starts. On a busy machine that takes longer than the usual
	// time limit for a command.
	relay.env[commandTimeoutEnv] = "1m"
	members := []Member{plainEndpoint.member("s-1", 1)}
	addMember := func(member Member) {
		discovery.update(func(d *fakeDiscovery) { d.list.Members = append(d.list.Members, member); d.list.Revision++ })
	}
	addMember(members[0])
	type round struct {
		succeeding, failing, rejecting *fakeEndpoint
		gate                           *responseGate
		firstRejection                 *atomic.Pointer[time.Time]
	}
	var rounds []round
	for i := range 3 {
		gate := newResponseGate()
		firstRejection := &atomic.Pointer[time.Time]{}
		rejecting := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
			now := time.Now()
			firstRejection.CompareAndSwap(nil, &now)
			w.Header().Set("Retry-After", "2.5")
			w.WriteHeader(http.StatusTooManyRequests)
		})
		respondFailing := func(w http.ResponseWriter, r *http.Request, n int) {
			gate.respond(w, r, n)
			w.WriteHeader(http.StatusInternalServerError)
		}
		rounds = append(rounds, round{newFakeEndpoint(t, gate.respond), newFakeEndpoint(t, respondFailing), rejecting,
			gate, firstRejection})
		addMember(rounds[i].succeeding.member(fmt.Sprintf("succeeding-%d", i), 10+i))
		addMember(rounds[i].failing.member(fmt.Sprintf("failing-%d", i), 20+i))
		addMember(rounds[i].rejecting.member(fmt.Sprintf("rejecting-%d", i), 30+i))
	}
	predecessor := relay.startProcess(t)
	for i, current := range rounds {
		client, incomplete := dialClient(t, relay.env["ROUTER_LISTEN"]), dialClient(t, relay.env["ROUTER_LISTEN"])
		io.WriteString(incomplete, pingCommand)
		if got := incomplete.readLine(); got != "+PONG" {
			t.Fatal(got)
		}
		id := func(name string) string { return fmt.Sprintf("%s-%d", name, i) }
		for name, messageFields := range map[string]string{"delivered": putFields("once", 20000, 10+i),
			"failed":     putFields("once", 20000, 20+i),
			"rejected-a": putFields("once", 20000, 30+i), "rejected-b": putFields("once", 20000, 30+i)} {
			if got := client.put(id(name), messageFields, []byte("body of "+name)); got != "+OK" {
				t.Fatalf("reply for %s: got %q, want +OK", id(name), got)
			}
		}
		waitFor(t, "the calls to the three endpoints", func() bool {
			return current.gate.arrived.Load() == 2 &&
				current.rejecting.callCount(id("rejected-a"))+current.rejecting.callCount(id("rejected-b")) == 1
		})
		io.WriteString(incomplete, "*5\r\n$7\r\nMSG.PUT\r\n")
		successor := relay.startProcess(t)
		if _, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("read from the idle connection: got error %v, want EOF", err)
		}
		newClient := dialClient(t, relay.env["ROUTER_LISTEN"])
		if got := newClient.put(id("new"), putFields("once", 20000, 1), nil); got != "+OK" {
			t.Errorf("reply of the successor: got %q, want +OK", got)
		}
		if got := newClient.put(id("delivered"), putFields("once", 20000, 10+i), nil); got != "+OK" {
			t.Errorf("reply for an id that the predecessor accepted: got %q, want +OK", got)
		}
		io.WriteString(incomplete, strings.TrimPrefix(putCommand(id("incomplete"), putFields("once", 20000, 1), nil),
			"*5\r\n$7\r\nMSG.PUT\r\n"))
		if got := incomplete.readLine(); got != "+OK" {
			t.Errorf("reply to the request completed after the hand-over: got %q, want +OK", got)
		}
		if _, err := incomplete.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("read after that reply: got error %v, want EOF", err)
		}
		waitFor(t, "the delivery of the messages handed in during the hand-over", func() bool {
			return plainEndpoint.callCount(id("new")) == 1 && plainEndpoint.callCount(id("incomplete")) == 1
		})
		close(current.gate.open)
		predecessor.waitExit(t)
		waitFor(t, "the notice for the message that may have run", func() bool {
			n, ok := discovery.notice(id("failed"))
			return ok && n.Outcome == noticeGivenUp
		})
		current.rejecting.respondWith(nil)
		waitFor(t, "the delivery of the rejected messages", func() bool {
			return current.rejecting.callCount(id("rejected-a"))+current.rejecting.callCount(id("rejected-b")) >= 3
		})
		if waited := time.Since(*current.firstRejection.Load()); waited < 2500*time.Millisecond {
			t.Errorf("wait after the rejection: got %v, want at least the Retry-After of 2.5 s", waited)
		}
		for ep, name := range map[*fakeEndpoint]string{current.succeeding: "delivered", current.failing: "failed"} {
			if n := ep.callCount(id(name)); n != 1 {
				t.Errorf("calls with %s: got %d, want 1", id(name), n)
			}
		}
		if n, ok := discovery.notice(id("delivered")); ok {
			t.Errorf("notice for a delivered message: got %+v, want none", n)
		}
		predecessor = successor
	}
	logFiles, err := filepath.Glob(filepath.Join(relay.env["ROUTER_STATE"], walFileName+"*"))
	if err != nil || len(logFiles) != 1 {
		t.Errorf("log files after the upgrades: got %v, error %v, want 1 file", logFiles, err)
	}
}

// TestUpgradeUnderLoad: upgrades while clients keep handing in messages. No client that keeps its connection open is
// reset, and each accepted message is either delivered once or handed back without a call.
func TestUpgradeUnderLoad(t *testing.T) {
	endpoint := newFakeEndpoint(t, func(http.ResponseWriter, *http.Request, int) { time.Sleep(5 * time.Millisecond) })
	discovery := newFakeDiscovery(t, endpoint.member("s-1", 1))
	relay := newReplaceableRelay(t, discovery)
	predecessor := relay.startProcess(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sequence, reconnects atomic.Int32
	var mu sync.Mutex
	var acceptedIDs []string
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var client *testClient
			for {
				select {
				case <-stop:
					return
				default:
				}
				if client == nil {
					client = dialClient(t, relay.env["ROUTER_LISTEN"])
				}
				id := fmt.Sprintf("m%d", sequence.Add(1))
				io.WriteString(client, putCommand(id, putFields("once", 20000, 1), nil))
				reply, err := client.reader.ReadString('\n')
				switch {
				case err != nil: // closed between requests: the next message goes over a new connection
					reconnects.Add(1)
					client.Close()
					client = nil
				case strings.HasPrefix(reply, "+OK"):
					mu.Lock()
					acceptedIDs = append(acceptedIDs, id)
					mu.Unlock()
				case !strings.HasPrefix(reply, "-BUSY"):
					t.Errorf("reply for %s: got %q, want +OK or -BUSY", id, reply)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	for range 3 {
		time.Sleep(100 * time.Millisecond) // clients hand in messages meanwhile; their number does not matter
		successor := relay.startProcess(t)
		predecessor.signal(t, syscall.SIGTERM)
		predecessor.waitExit(t)
		predecessor = successor
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	handedBack := 0
	for _, id := range acceptedIDs { // on a busy machine more may arrive than the relay may hold
		var n notice
		ended := false
		waitFor(t, "the delivery or the notice of "+id, func() bool {
			n, ended = discovery.notice(id)
			return ended || endpoint.callCount(id) > 0
		})
		if calls := endpoint.callCount(id); ended && (calls != 0 || n.Outcome != noticeHandedBack) || !ended && calls != 1 {
			t.Errorf("%s: got %d calls and notice %+v, want 1 call without a notice or no call and handed_back",
				id, calls, n)
		}
		if ended {
			handedBack++
		}
	}
	t.Logf("%d messages accepted, %d of them handed back, %d connections replaced",
		len(acceptedIDs), handedBack, reconnects.Load())
}

// TestUpgradePredecessorHangs: a process that starts while its predecessor hangs serves without a hand-over. It takes
// over the predecessor's messages once that process has ended.
func TestUpgradePredecessorHangs(t *testing.T) {
	rejecting := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Retry-After", "15")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	hanging := newFakeEndpoint(t, hang)
	discovery := newFakeDiscovery(t, rejecting.member("s-1", 1), hanging.member("s-2", 2))
	relay := newReplaceableRelay(t, discovery)
	predecessor := relay.startProcess(t)
	client := dialClient(t, relay.env["ROUTER_LISTEN"])
	for id, dest := range map[string]int{"waiting": 1, "in-flight": 2} {
		if got := client.put(id, putFields("once", 20000, dest), nil); got != "+OK" {
			t.Fatal(got)
		}
	}
	waitFor(t, "a rejected and a hanging call", func() bool {
		logText, _ := os.ReadFile(filepath.Join(relay.env["ROUTER_STATE"], walFileName))
		return strings.Contains(string(logText), `"kind":"outcome","id":"waiting"`) && hanging.callCount("in-flight") == 1
	})
	predecessor.signal(t, syscall.SIGSTOP)
	startedAt := time.Now()
	relay.startProcess(t)
	if elapsed := time.Since(startedAt); elapsed > 5*time.Second {
		t.Errorf("time until ready: got %v, want at most 5 s", elapsed)
	}
	newClient := dialClient(t, relay.env["ROUTER_LISTEN"])
	if got := newClient.put("new", putFields("plain", 20000, 2), nil); got != "+OK" {
		t.Errorf("reply beside the hanging predecessor: got %q, want +OK", got)
	}
	if n := hanging.callCount("in-flight"); n != 1 {
		t.Errorf("calls with the message that the predecessor has in flight: got %d, want 1", n)
	}
	rejecting.respondWith(nil)
	predecessor.kill()
	waitFor(t, "the call with the predecessor's waiting message", func() bool { return rejecting.callCount("waiting") == 2 })
	waitFor(t, "the notice for the message that may have run", func() bool {
		n, ok := discovery.notice("in-flight")
		return ok && n.Outcome == noticeGivenUp
	})
	if n := hanging.callCount("in-flight"); n != 1 {
		t.Errorf("calls with a non-idempotent message: got %d, want 1", n)
	}
}

// TestUpgradeSuccessorFails: a successor that hangs or ends in the middle of the hand-over. The predecessor keeps its
// messages and goes on serving, and the next successor takes them over.
func TestUpgradeSuccessorFails(t *testing.T) {
	gate := newResponseGate()
	endpoint := newFakeEndpoint(t, gate.respond)
	rejecting := newFakeEndpoint(t, respondStatus(http.StatusServiceUnavailable))
	relay := newReplaceableRelay(t, newFakeDiscovery(t, endpoint.member("s-1", 1), rejecting.member("s-2", 2)))
	predecessor := relay.startProcess(t)
	client := dialClient(t, relay.env["ROUTER_LISTEN"])
	if got := client.put("in-flight", putFields("once", 20000, 1), nil); got != "+OK" {
		t.Fatal(got)
	}
	if got := client.put("waiting", putFields("once", 20000, 2), nil); got != "+OK" {
		t.Fatal(got)
	}
	waitFor(t, "a call at each endpoint", func() bool {
		return gate.arrived.Load() == 1 && rejecting.callCount("waiting") >= 1
	})
	t.Setenv("TMPDIR", relay.env["TMPDIR"])
	for name, lines := range map[string]string{"ends at once": "", "ends after hello": `{"hello":{}}`,
		"ends when ready": `{"hello":{}}{"take":true}`, "invalid bytes": "\x00\xff{{",
		"hangs": `{"hello":{}}{"take":true}`} {
		conn, err := net.Dial("unix", handoverSocketPath(relay.env["ROUTER_STATE"]))
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, lines)
		if name != "hangs" {
			conn.Close()
		} else { // until the predecessor closes the connection
			io.Copy(io.Discard, conn)
			conn.Close()
		}
		id := "after " + strings.ReplaceAll(name, " ", "-")
		id = strings.ReplaceAll(id, " ", "-")
		waitFor(t, "a message to be accepted, successor: "+name, func() bool {
			client := dialClient(t, relay.env["ROUTER_LISTEN"])
			defer client.Close()
			io.WriteString(client, putCommand(id, putFields("plain", 20000, 2), nil))
			line, err := client.reader.ReadString('\n')
			return err == nil && line == "+OK\r\n"
		})
	}
	close(gate.open)
	relay.startProcess(t)
	predecessor.waitExit(t)
	rejecting.respondWith(nil)
	waitFor(t, "the calls with the waiting messages", func() bool {
		return rejecting.callCount("waiting") >= 2 && rejecting.callCount("after-hangs") >= 1
	})
	if n := endpoint.callCount("in-flight"); n != 1 {
		t.Errorf("calls with the message that was in flight: got %d, want 1", n)
	}
}

// TestUpgradePredecessorKilled: the predecessor gets SIGKILL after the hand-over while it still has a call in flight.
// The message of that call may have run; everything else continues.
func TestUpgradePredecessorKilled(t *testing.T) {
	hanging := newFakeEndpoint(t, hang)
	discovery := newFakeDiscovery(t, hanging.member("s-1", 1))
	relay := newReplaceableRelay(t, discovery)
	predecessor := relay.startProcess(t)
	client := dialClient(t, relay.env["ROUTER_LISTEN"])
	if got := client.put("non-idempotent", putFields("once", 20000, 1), nil); got != "+OK" {
		t.Fatal(got)
	}
	if got := client.put("idempotent", putFields("plain", 20000, 1), nil); got != "+OK" {
		t.Fatal(got)
	}
	waitFor(t, "a call", func() bool { return hanging.callCount("non-idempotent")+hanging.callCount("idempotent") >= 1 })
	firstSent := "non-idempotent"
	if hanging.callCount("idempotent") > 0 {
		firstSent = "idempotent"
	}
	relay.startProcess(t)
	hanging.respondWith(nil)
	predecessor.kill()
	if firstSent == "non-idempotent" {
		waitFor(t, "the notice for the message that may have run", func() bool {
			n, ok := discovery.notice("non-idempotent")
			return ok && n.Outcome == noticeGivenUp
		})
	}
	waitFor(t, "a call with the idempotent message", func() bool { return hanging.callCount("idempotent") >= 1 })
	if n := hanging.callCount("non-idempotent"); n != 1 && firstSent == "non-idempotent" {
		t.Errorf("calls with a non-idempotent message: got %d, want 1", n)
	}
}

// TestStaleHandoverSocket: SIGKILL leaves a hand-over socket on which no process listens. The next process starts
// without a hand-over.
func TestStaleHandoverSocket(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	relay := newReplaceableRelay(t, newFakeDiscovery(t, endpoint.member("s-1", 1)))
	predecessor := relay.startProcess(t)
	predecessor.kill()
	relay.startProcess(t)
	client := dialClient(t, relay.env["ROUTER_LISTEN"])
	if got := client.put("m", putFields("once", 20000, 1), nil); got != "+OK" {
		t.Fatal(got)
	}
	waitFor(t, "the call", func() bool { return endpoint.callCount("m") == 1 })
}

// TestLastMessagesOfPeerAreReceived: messages that the other process sent before it ended are received, although
// messages to that process can no longer be written.
func TestLastMessagesOfPeerAreReceived(t *testing.T) {
	listener, err := net.Listen("unix", filepath.Join(t.TempDir(), "s"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("unix", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	remote, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b", "c"} { // more bytes than one read returns
		fmt.Fprintf(remote, `{"outcome":{"id":%q,"err":%q}}`, id, strings.Repeat("x", 20<<10))
	}
	remote.Close()
	received := make(chan *handoverMessage, 4)
	local := newPeer(conn, func(p *peer, msg *handoverMessage) {
		if msg != nil {
			p.send(handoverMessage{Cancel: msg.Outcome.ID})
			time.Sleep(50 * time.Millisecond) // for that write to fail; a shorter wait would only test less
		}
		received <- msg
	})
	for _, id := range []string{"a", "b", "c"} {
		if msg := <-received; msg == nil || msg.Outcome.ID != id {
			t.Fatalf("received %+v, want the outcome of %s", msg, id)
		}
	}
	if msg := <-received; msg != nil {
		t.Fatalf("received %+v, want the end of the connection", msg)
	}
	<-local.closed
}

// TestUpgradeWithoutInheritedSocket: an upgrade in which the processes get no listening socket. The successor listens
// as soon as the predecessor has freed the address.
func TestUpgradeWithoutInheritedSocket(t *testing.T) {
	gate := newResponseGate()
	endpoint := newFakeEndpoint(t, gate.respond)
	discovery := newFakeDiscovery(t, endpoint.member("s-1", 1))
	relay := &replaceableRelay{env: writeTestConfig(t, discovery, 3)}
	predecessor := relay.startProcess(t)
	client := dialClient(t, relay.env["ROUTER_LISTEN"])
	if got := client.put("in-flight", putFields("once", 20000, 1), nil); got != "+OK" {
		t.Fatal(got)
	}
	waitFor(t, "the call", func() bool { return gate.arrived.Load() == 1 })
	relay.startProcess(t)
	// SIGHUP to the predecessor is meant for the relay, so the successor reloads its configuration.
	rewrite(t, relay.env, replaceFirst(`"classes":[`, `"classes":[`+extraClassJSON+","))
	predecessor.signal(t, syscall.SIGHUP)
	waitFor(t, "a message of the new class to be accepted", func() bool {
		client := dialClient(t, relay.env["ROUTER_LISTEN"])
		defer client.Close()
		return client.put(fmt.Sprintf("x%d", idSequence.Add(1)), putFields("extra", 20000, 1), nil) == "+OK"
	})
	newClient := dialClient(t, relay.env["ROUTER_LISTEN"])
	if got := newClient.put("new", putFields("once", 20000, 1), nil); got != "+OK" {
		t.Error(got)
	}
	close(gate.open)
	predecessor.waitExit(t)
	waitFor(t, "a call with each message", func() bool {
		return endpoint.callCount("in-flight") == 1 && endpoint.callCount("new") == 1
	})
	if n, ok := discovery.notice("in-flight"); ok {
		t.Errorf("notice for a delivered message: got %+v, want none", n)
	}
}
