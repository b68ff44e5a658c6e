package relay

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"troutusher/internal/resp"
)

// TestDeliver: id, key and body reach the endpoint unchanged, whatever bytes they contain.
func TestDeliver(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	process := startChild(t, writeTestConfig(t, newFakeDiscovery(t, endpoint.member("s-1", 7)), 3))
	client := dialClient(t, process.env["ROUTER_LISTEN"])
	bodies := [][]byte{nil, []byte("\r\n\x00\xff*5\r\n"), []byte(strings.Repeat("x", maxBodyBytes))}
	for i, body := range bodies {
		id := fmt.Sprintf("m%d", i)
		if reply := client.put(id, putFields("keyed", 8000, 7), body); reply != "+OK" {
			t.Fatalf("body %d: got reply %q, want +OK", i, reply)
		}
		waitFor(t, "the call", func() bool { return endpoint.callCount(id) == 1 })
		endpoint.mu.Lock()
		got := endpoint.calls[len(endpoint.calls)-1]
		endpoint.mu.Unlock()
		if got.key != "5c0f6e1a2b3d4c59" || string(got.body) != string(body) || got.timeout == "" {
			t.Errorf("body %d: got key %q, timeout %q, %d bytes, want key and body as handed in, and a timeout",
				i, got.key, got.timeout, len(got.body))
		}
	}
}

// TestRecoveryAfterKill: accepted messages survive SIGKILL. A non-idempotent message whose attempt has no outcome may
// have run and is given up by a notice, a keyed one is sent again within its deduplication window, one that was only
// refused is tried further, and a delivered one is not sent again.
func TestRecoveryAfterKill(t *testing.T) {
	delivered := newFakeEndpoint(t, nil)
	stuck := newFakeEndpoint(t, hang)
	full := newFakeEndpoint(t, respondStatus(http.StatusServiceUnavailable))
	keyed := newFakeEndpoint(t, hang)
	discovery := newFakeDiscovery(t, delivered.member("s-1", 1), stuck.member("s-2", 2),
		full.member("s-3", 3), keyed.member("s-4", 4))
	env := writeTestConfig(t, discovery, 3)
	process := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	for id, fieldsText := range map[string]string{
		"delivered": putFields("once", 20000, 1), "stuck": putFields("once", 20000, 2),
		"full": putFields("once", 20000, 3), "keyed": putFields("keyed", 20000, 4)} {
		if reply := client.put(id, fieldsText, []byte("body of "+id)); reply != "+OK" {
			t.Fatalf("%s: got reply %q, want +OK", id, reply)
		}
	}
	waitFor(t, "a call of each message", func() bool {
		return delivered.callCount("delivered") == 1 && stuck.callCount("stuck") == 1 &&
			full.callCount("full") >= 1 && keyed.callCount("keyed") == 1
	})
	waitFor(t, "the outcomes in the log", func() bool {
		text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
		return strings.Contains(string(text), `"kind":"end","id":"delivered"`) &&
			strings.Contains(string(text), `"kind":"outcome","id":"full"`)
	})
	process.kill()
	for _, endpoint := range []*fakeEndpoint{stuck, full, keyed} {
		endpoint.respondWith(nil)
	}
	startChild(t, env)
	waitFor(t, "the notice of the non-idempotent message", func() bool {
		n, ok := discovery.notice("stuck")
		return ok && n.Outcome == noticeGivenUp
	})
	waitFor(t, "further calls of the other messages", func() bool {
		return full.callCount("full") >= 2 && keyed.callCount("keyed") == 2
	})
	if n := stuck.callCount("stuck"); n != 1 {
		t.Errorf("calls of the non-idempotent message: got %d, want 1", n)
	}
	if n := delivered.callCount("delivered"); n != 1 {
		t.Errorf("calls of the delivered message: got %d, want 1", n)
	}
	keyed.mu.Lock()
	defer keyed.mu.Unlock()
	if got := keyed.calls[1]; string(got.body) != "body of keyed" || got.key != "5c0f6e1a2b3d4c59" {
		t.Errorf("second call of the keyed message: got %+v, want its body and key as handed in", got)
	}
}

// TestDeadlinePassesBeforeRestart: a message whose deadline passes while no process runs is handed back right after
// the start. A notice that discovery did not confirm is sent again.
func TestDeadlinePassesBeforeRestart(t *testing.T) {
	discovery := newFakeDiscovery(t)
	env := writeTestConfig(t, discovery, 3)
	discovery.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusInternalServerError })
	process := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	for _, id := range []string{"short", "later"} {
		if reply := client.put(id, putFields("plain",
			map[string]int{"short": 1000, "later": 3000}[id], 9), nil); reply != "+OK" {
			t.Fatal(reply)
		}
	}
	waitFor(t, `the record "ending" of message short in the log`, func() bool {
		text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
		return strings.Contains(string(text), `"kind":"ending","id":"short"`)
	})
	process.kill()
	discovery.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusNoContent })
	startChild(t, env)
	for _, id := range []string{"short", "later"} {
		waitFor(t, "the notice of "+id, func() bool {
			n, ok := discovery.notice(id)
			return ok && n.Outcome == noticeHandedBack
		})
	}
	waitFor(t, "the end of both messages in the log", func() bool {
		text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
		return strings.Contains(string(text), `"kind":"end","id":"short"`) &&
			strings.Contains(string(text), `"kind":"end","id":"later"`)
	})
}

// TestShutdown: at SIGTERM the calls in flight finish, new messages are refused with a reply that lets the client
// retry elsewhere, pending messages stay in the log for the next process, and the exit code is 0.
func TestShutdown(t *testing.T) {
	release, received := make(chan struct{}), atomic.Int32{}
	slow := newFakeEndpoint(t, func(_ http.ResponseWriter, r *http.Request, _ int) {
		received.Add(1)
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	discovery := newFakeDiscovery(t, slow.member("s-1", 1),
		Member{ID: "s-0", HostPort: "127.0.0.1:1", Cell: 5, Phase: phaseDraining})
	env := writeTestConfig(t, discovery, 3)
	process := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	if reply := client.put("in-flight", putFields("once", 20000, 1), nil); reply != "+OK" {
		t.Fatal(reply)
	}
	// No endpoint serves destination 5 yet.
	if reply := client.put("pending", putFields("plain", 20000, 5), nil); reply != "+OK" {
		t.Fatal(reply)
	}
	waitFor(t, "the call", func() bool { return received.Load() == 1 })
	process.cmd.Process.Signal(syscall.SIGTERM)
	if _, err := client.reader.ReadByte(); err == nil {
		t.Error("reading from an idle client's connection: got a byte, want it closed")
	}
	lateClient := dialClient(t, env["ROUTER_LISTEN"]) // the listener stays open for a while
	if reply := lateClient.put("late", putFields("plain", 8000, 1), nil); !strings.HasPrefix(reply, "-BUSY ") {
		t.Errorf("message handed in during the shutdown: got reply %q, want -BUSY", reply)
	}
	close(release)
	if err := process.cmd.Wait(); err != nil {
		t.Errorf("exit: got error %v, want none", err)
	}
	if n := slow.callCount("late"); n != 0 {
		t.Error("a refused message was sent")
	}
	other := newFakeEndpoint(t, nil)
	discovery.update(func(d *fakeDiscovery) { d.list.Members = append(d.list.Members, other.member("s-5", 5)) })
	startChild(t, env)
	waitFor(t, "a call of the pending message", func() bool { return other.callCount("pending") == 1 })
	if n := slow.callCount("in-flight"); n != 1 {
		t.Errorf("calls of the delivered message: got %d, want 1", n)
	}
	if _, ok := discovery.notice("in-flight"); ok {
		t.Error("got a notice of the delivered message, want none")
	}
}

// TestDiskLimit: as many messages with long bodies as the relay may hold do not fit into its disk limit. Those that do
// not fit are refused before the state folder exceeds the limit.
func TestDiskLimit(t *testing.T) {
	env := writeTestConfig(t, newFakeDiscovery(t), 1)
	process := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	body := []byte(strings.Repeat("b", maxBodyBytes))
	accepted, refused := 0, 0
	for i := range 40 {
		switch reply := client.put(fmt.Sprintf("m%d", i), putFields("plain", 20000, 9), body); {
		case reply == "+OK":
			accepted++
		case strings.HasPrefix(reply, "-BUSY"):
			refused++
		default:
			t.Fatal(reply)
		}
		size := int64(0)
		files, err := os.ReadDir(env["ROUTER_STATE"])
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if info, err := file.Info(); err == nil {
				size += (info.Size() + 511) / 512 * 512
			}
		}
		if size > 1<<20 {
			t.Fatalf("state folder: got %d bytes, want at most 1 MB", size)
		}
	}
	if accepted == 0 || refused == 0 {
		t.Errorf("got %d messages accepted and %d refused, want some of both", accepted, refused)
	}
	_ = process
}

// TestListChanges: changes of the list apply to calls that follow. An endpoint may move to another address under the
// same id, or to another destination, and a draining one gets no new messages.
func TestListChanges(t *testing.T) {
	before, after := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	member := before.member("s-1", 1)
	discovery := newFakeDiscovery(t, member)
	env := writeTestConfig(t, discovery, 3)
	startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	put := func(id string, dest int) {
		t.Helper()
		if reply := client.put(id, putFields("once", 20000, dest), nil); reply != "+OK" {
			t.Fatalf("%s: got reply %q, want +OK", id, reply)
		}
	}
	put("old", 1)
	waitFor(t, "a call of old", func() bool { return before.callCount("old") == 1 })
	member.HostPort = after.addr()
	discovery.sendLine(t, deltaJSON(2, member))
	// The change and the messages reach the relay over different connections. Messages that arrive before the change
	// still go to the old address, so wait for a call at the new one.
	waitFor(t, "a call at the new address", func() bool {
		put(fmt.Sprintf("n%d", idSequence.Add(1)), 1)
		after.mu.Lock()
		defer after.mu.Unlock()
		return len(after.calls) > 0
	})
	moved := after.member("s-1", 2)
	discovery.sendLine(t, deltaJSON(3, moved))
	// Destination 2 is refused until the relay has a list that names it.
	waitFor(t, "the relay to accept the new destination", func() bool {
		return client.put("two", putFields("once", 20000, 2), nil) == "+OK"
	})
	waitFor(t, "a call for the new destination", func() bool { return after.callCount("two") == 1 })
	put("one", 1) // no endpoint serves destination 1 any more
	moved.Phase = phaseDraining
	discovery.sendLine(t, deltaJSON(4, moved))
	fresh := before.member("s-2", 2)
	discovery.sendLine(t, deltaJSON(5, fresh))
	put("marker", 2)
	waitFor(t, "a call of the marker", func() bool {
		return before.callCount("marker")+after.callCount("marker") == 1
	})
	waitFor(t, "the drain to apply", func() bool {
		id := fmt.Sprintf("d%d", idSequence.Add(1))
		put(id, 2)
		waitFor(t, id, func() bool { return before.callCount(id)+after.callCount(id) == 1 })
		return before.callCount(id) == 1
	})
	for range 5 {
		id := fmt.Sprintf("e%d", idSequence.Add(1))
		put(id, 2)
		waitFor(t, id, func() bool { return before.callCount(id)+after.callCount(id) == 1 })
		if after.callCount(id) != 0 {
			t.Error("a draining endpoint got a message")
		}
	}
	if n := before.callCount("one") + after.callCount("one"); n != 0 {
		t.Errorf("calls of a message at endpoints of another destination: got %d, want 0", n)
	}
}

// idSequence makes message ids unique across the tests.
var idSequence atomic.Int32

// TestRefusedBeforeAcceptance: a message that the policy refuses in the step that admits it gets the refusal as its
// reply. It is not logged, and there is no notice.
func TestRefusedBeforeAcceptance(t *testing.T) {
	discovery := newFakeDiscovery(t)
	env := writeTestConfig(t, discovery, 3)
	startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	if reply := client.put("late", putFields("plain", 0, 9), nil); !strings.HasPrefix(reply, "-BUSY") {
		t.Fatalf("message without time left: got reply %q, want -BUSY", reply)
	}
	refused := 0
	for i := range 150 { // more than the relay may hold
		if reply := client.put(fmt.Sprintf("m%d", i), putFields("once", 20000, 9),
			nil); strings.HasPrefix(reply, "-BUSY") {
			refused++
		}
	}
	// Accepted messages that make room for others end by a notice.
	waitFor(t, "the end of 50 messages", func() bool {
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		return refused+len(discovery.notices) >= 50
	})
	text, err := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
	if err != nil || strings.Contains(string(text), `"id":"late"`) {
		t.Errorf("log: got error %v or a record of the refused message, want neither", err)
	}
	if _, ok := discovery.notice("late"); ok {
		t.Error("got a notice of a message that was never accepted, want none")
	}
}

// TestEndedReplies: the reply for a message that has ended is kept for at least the retention time, and for less than
// twice that time.
func TestEndedReplies(t *testing.T) {
	for _, mayRepeat := range []bool{false, true} {
		var replies endedReplies
		replies.add("a", resp.OK, mayRepeat, 100, 10)
		replies.add("b", resp.Busy(7), mayRepeat, 109, 10)
		replies.add("c", resp.Error(errors.New("given up")), mayRepeat, 110, 10)
		for id, want := range map[string]string{"a": "+OK\r\n", "b": "-BUSY 7\r\n", "c": "-ERR given up\r\n", "d": ""} {
			if got := replies.reply(id); got != want {
				t.Errorf("reply for %s: got %q, want %q", id, got, want)
			}
		}
		replies.add("d", resp.OK, mayRepeat, 120, 10)
		kept := &replies.unrepeatable
		if mayRepeat {
			kept = &replies.repeatable
		}
		if replies.reply("b") != "" || replies.reply("c") == "" || len(kept.current)+len(kept.previous) != 2 {
			t.Errorf("kept replies: got %v and %v, want those of c and d", kept.current, kept.previous)
		}
	}
}

// TestSameMessageIDAgain: a message that is handed in again while the relay holds it, or after it was delivered, is
// acknowledged but not sent a second time.
func TestSameMessageIDAgain(t *testing.T) {
	release := make(chan struct{})
	endpoint := newFakeEndpoint(t, func(_ http.ResponseWriter, r *http.Request, _ int) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	env := writeTestConfig(t, newFakeDiscovery(t, endpoint.member("s-1", 1)), 3)
	startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	for range 2 {
		if reply := client.put("m", putFields("once", 20000, 1), nil); reply != "+OK" {
			t.Fatal(reply)
		}
		waitFor(t, "the call", func() bool { return endpoint.callCount("m") == 1 })
	}
	close(release)
	if reply := client.put("other", putFields("once", 20000, 1), nil); reply != "+OK" {
		t.Fatal(reply)
	}
	waitFor(t, "a call of other", func() bool { return endpoint.callCount("other") == 1 })
	if reply := client.put("m", putFields("once", 20000, 1), nil); reply != "+OK" { // delivered by now
		t.Error(reply)
	}
	if reply := client.put("last", putFields("once", 20000, 1), nil); reply != "+OK" {
		t.Fatal(reply)
	}
	waitFor(t, "a call of last", func() bool { return endpoint.callCount("last") == 1 })
	if n := endpoint.callCount("m"); n != 1 {
		t.Errorf("calls of m: got %d, want 1", n)
	}
}
