package relay

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/resp"
)

// testSuccessor plays the successor in the hand-over of a relay process.
type testSuccessor struct {
	t       *testing.T
	conn    net.Conn
	decoder *json.Decoder
}

// startTestSuccessor connects to the running process of a relay and waits until that process has sent its state. The
// process then waits for LogTaken.
func startTestSuccessor(t *testing.T, relay *replaceableRelay, confirmsWithdrawals bool) *testSuccessor {
	t.Helper()
	t.Setenv("TMPDIR", relay.env["TMPDIR"])
	conn, err := net.Dial("unix", handoverSocketPath(relay.env["ROUTER_STATE"]))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	s := &testSuccessor{t, conn, json.NewDecoder(conn)}
	s.send(handoverMessage{Hello: &handoverHello{ConfirmsWithdrawals: confirmsWithdrawals}})
	s.send(handoverMessage{Ready: true})
	for s.receive().State == nil {
	}
	return s
}

func (s *testSuccessor) send(msg handoverMessage) {
	s.t.Helper()
	if err := json.NewEncoder(s.conn).Encode(&msg); err != nil {
		s.t.Fatal(err)
	}
}

func (s *testSuccessor) receive() *handoverMessage {
	s.t.Helper()
	msg := &handoverMessage{}
	if err := s.decoder.Decode(msg); err != nil {
		s.t.Fatalf("receiving a message of the predecessor: %v", err)
	}
	return msg
}

// leave hands in a message and closes the client's sending side without waiting for the reply.
func (c *testClient) leave(id, fields string) {
	c.t.Helper()
	if _, err := c.Write([]byte(putCommand(id, fields, nil))); err != nil {
		c.t.Fatal(err)
	}
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		c.t.Fatal(err)
	}
}

// expectNoReplyYet fails the test where a reply has arrived within a short time. A relay that replies late passes by
// chance, and one that holds the reply back always passes.
func (c *testClient) expectNoReplyYet() {
	c.t.Helper()
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if line, err := c.reader.ReadString('\n'); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Errorf("reply before the withdrawal is confirmed: got %q and error %v, want none", line, err)
	}
	c.SetReadDeadline(time.Now().Add(30 * time.Second))
}

// deferredEventsDelay is long enough for what a client sends to reach the event loop of the process that hands over.
// The requirements hold however long that takes.
const deferredEventsDelay = 100 * time.Millisecond

// TestClientLeavesDuringHandover guards against a refused message that runs: a client leaves while its relay process
// waits for the successor to take the log. The message is withdrawn at the successor before the client is refused.
func TestClientLeavesDuringHandover(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	relay := newReplaceableRelay(t, newFakeDiscovery(t, endpoint.member("s-1", 1)))
	predecessor := relay.startProcess(t)
	client := dialClient(t, relay.env["ROUTER_LISTEN"])
	successor := startTestSuccessor(t, relay, true)
	client.leave("left", putFields("once", 20000, 1))
	time.Sleep(deferredEventsDelay)
	successor.send(handoverMessage{LogTaken: true})
	if msg := successor.receive(); msg.Put == nil || msg.Put.Record.ID != "left" {
		t.Fatalf("after the hand-over: got %+v, want the message that was handed in meanwhile", msg)
	}
	msg := successor.receive()
	if want := (handoverReplyWritten{ID: "left", Confirm: true}); msg.ReplyWritten == nil || *msg.ReplyWritten != want {
		t.Fatalf("after the message: got %+v, want its withdrawal", msg)
	}
	client.expectNoReplyYet()
	successor.send(handoverMessage{Withdrawn: &handoverWithdrawal{"left", resp.Busy(0)}})
	if reply := client.readLine(); reply != "-BUSY" {
		t.Errorf("got reply %q, want -BUSY", reply)
	}
	successor.conn.(*net.UnixConn).CloseWrite()
	predecessor.waitExit(t)
}

// TestClientLeavesDuringFailedHandover guards against a refused message that the relay keeps: a client leaves during a
// hand-over that fails. The message never runs, and no later hand-over waits for its reply.
func TestClientLeavesDuringFailedHandover(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	relay := newReplaceableRelay(t, newFakeDiscovery(t, endpoint.member("s-1", 1)))
	predecessor := relay.startProcess(t)
	client := dialClient(t, relay.env["ROUTER_LISTEN"])
	failing := startTestSuccessor(t, relay, true)
	client.leave("left", putFields("once", 20000, 1))
	time.Sleep(deferredEventsDelay)
	failing.conn.Close()
	if reply := client.readLine(); reply != "-BUSY" {
		t.Errorf("got reply %q, want -BUSY", reply)
	}
	relay.startProcess(t)
	newClient := dialClient(t, relay.env["ROUTER_LISTEN"])
	if reply := newClient.put("later", putFields("once", 20000, 1), nil); reply != "+OK" {
		t.Errorf("got reply %q after the upgrade, want +OK", reply)
	}
	waitFor(t, "the later message", func() bool { return endpoint.callCount("later") == 1 })
	predecessor.signal(t, syscall.SIGTERM)
	predecessor.waitExit(t)
	if n := endpoint.callCount("left"); n != 0 {
		t.Errorf("calls with the refused message: got %d, want 0", n)
	}
}

// completeLogWrites completes the queued writes of a log that has no goroutine.
func completeLogWrites(relay *Relay) {
	for _, op := range relay.wal.queue.takeAll(nil) {
		if op.onDone != nil {
			op.onDone(nil)
		}
	}
}

// newAcceptedRequest returns a request whose message is accepted and logged, and whose client has no reply yet.
func newAcceptedRequest(relay *Relay, id string) *putRequest {
	request := newPutRequest(&record{Kind: recordAccepted, ID: id, Class: "once",
		Deadline: relay.clock.Now().Add(10 * time.Second)})
	relay.admit(request)
	relay.step()
	completeLogWrites(relay)
	return request
}

// TestRefusalFollowsLoggedEnd guards against a refused message that the next process runs: the client that has left
// is refused only once the log shows that its message has ended.
func TestRefusalFollowsLoggedEnd(t *testing.T) {
	relay := newSuccessorRelay(t)
	request := newAcceptedRequest(relay, "left")
	if reply := <-request.reply; reply != resp.OK {
		t.Fatalf("got reply %q, want +OK", reply)
	}
	relay.replyWritten(request, false)
	if len(request.withdrawal) != 0 {
		t.Error("the client was refused before the end of its message was logged")
	}
	completeLogWrites(relay)
	if reply := <-request.withdrawal; reply != resp.Busy(0) {
		t.Errorf("got reply %q, want -BUSY", reply)
	}
}

// TestRefusalWaitsForFolder guards against a refused message that the next process runs: while the end of a message
// cannot be written, a kill would bring it back, so its withdrawal is not complete before the folder works again.
func TestRefusalWaitsForFolder(t *testing.T) {
	folder := newFaultyFolder()
	w, _ := openFaultyWAL(t, t.TempDir(), folder, 1<<20, discardLogger())
	mustAppend(t, w, acceptedWithRepeat("left", decide.NonIdempotent))
	folder.fail(syscall.EIO, 0, modifyingOperations...)
	ended := false
	w.perform(walOp{rec: &record{Kind: recordEnd, ID: "left"}, onDone: func(error) { ended = true }})
	w.retryWrites()
	if ended {
		t.Error("the end of the message was reported as written while the folder fails")
	}
	folder.heal()
	w.retryWrites()
	if !ended {
		t.Error("the end of the message was not reported after the folder works again")
	}
}

// TestReplyHoldsWhereMessageIsNotWithdrawn guards against a refusal of a message that runs: a client hands in an id
// that the relay has accepted before, and leaves. Its reply is the one for the accepted message.
func TestReplyHoldsWhereMessageIsNotWithdrawn(t *testing.T) {
	relay := newSuccessorRelay(t)
	relay.replyWritten(newAcceptedRequest(relay, "m"), true)
	repeated := newAcceptedRequest(relay, "m")
	relay.replyWritten(repeated, false)
	if withdrawal, reply := <-repeated.withdrawal, <-repeated.reply; withdrawal != "" || reply != resp.OK {
		t.Errorf("got replies %q and %q, want no refusal and +OK", withdrawal, reply)
	}
}

// sentMessages returns what a relay has queued for a peer, one JSON object a line.
func sentMessages(t *testing.T, p *peer) string {
	t.Helper()
	var text strings.Builder
	for _, msg := range p.outbox.takeAll(nil) {
		if err := json.NewEncoder(&text).Encode(&msg); err != nil {
			t.Fatal(err)
		}
	}
	return text.String()
}

// TestSuccessorConfirmsWithdrawal: the successor confirms the withdrawal of a forwarded message once its log shows the
// end, and at once where it has refused the message. It sends no confirmation to an earlier release.
func TestSuccessorConfirmsWithdrawal(t *testing.T) {
	for name, test := range map[string]struct {
		dest             int
		confirm          bool
		atOnce, afterLog string
	}{
		"accepted":        {0, true, "", `{"withdrawn":{"id":"m","reply":"-BUSY\r\n"}}` + "\n"},
		"refused":         {9, true, `{"withdrawn":{"id":"m","reply":""}}` + "\n", ""},
		"earlier release": {0, false, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			relay := newSuccessorRelay(t)
			relay.handlePredecessorMessage(&handoverMessage{Put: &handoverPut{&record{ID: "m", Class: "once",
				Dest: test.dest, Deadline: relay.clock.Now().Add(10 * time.Second)}, nil}})
			relay.step()
			completeLogWrites(relay)
			for _, ev := range relay.inbox.takeAll(nil) {
				relay.handleEvent(ev)
			}
			if sent := sentMessages(t, relay.predecessor); !strings.Contains(sent, `"answer"`) {
				t.Fatalf("sent %q, want a reply", sent)
			}
			relay.handlePredecessorMessage(&handoverMessage{
				ReplyWritten: &handoverReplyWritten{ID: "m", Confirm: test.confirm}})
			if sent := sentMessages(t, relay.predecessor); sent != test.atOnce {
				t.Errorf("before the end is logged: sent %q, want %q", sent, test.atOnce)
			}
			completeLogWrites(relay)
			if sent := sentMessages(t, relay.predecessor); sent != test.afterLog {
				t.Errorf("after the end is logged: sent %q, want %q", sent, test.afterLog)
			}
			processPending(relay)
			if len(relay.messages) != 0 || len(relay.unanswered) != 0 || len(relay.predecessor.pendingPuts) != 0 {
				t.Errorf("left behind: %d messages, %d unanswered requests, %d pending ones, want none",
					len(relay.messages), len(relay.unanswered), len(relay.predecessor.pendingPuts))
			}
		})
	}
}

// TestForwardedRequestsAreSettled: each forwarded request gets one reply, also where its successor is an earlier
// release or ends, and where a client hands in an id a second time. No reply allows a client to hand in again a
// message that the successor's log may hold.
func TestForwardedRequestsAreSettled(t *testing.T) {
	request := func(id string) *putRequest { return newPutRequest(&record{ID: id}) }
	t.Run("same id twice", func(t *testing.T) {
		forwarded := newForwardedPuts(newTestPeer())
		first, second := request("m"), request("m")
		forwarded.submit(first)
		forwarded.submit(second)
		if reply := <-second.reply; reply != resp.Error(errIDInUse) {
			t.Errorf("second request: got reply %q, want an error", reply)
		}
		forwarded.replyWritten(second, false) // must not withdraw the first one
		forwarded.replyReceived("m", resp.OK)
		if reply := <-first.reply; reply != resp.OK || forwarded.count() != 1 {
			t.Errorf("first request: got reply %q with %d requests open, want +OK with 1", reply, forwarded.count())
		}
		forwarded.replyWritten(first, true)
		if sent := sentMessages(t, forwarded.successor); forwarded.count() != 0 || strings.Count(sent, `"said"`) != 1 ||
			!strings.Contains(sent, `"said":{"id":"m","ok":true}`) {
			t.Errorf("got %d requests open, sent %s, want none and one report", forwarded.count(), sent)
		}
	})
	t.Run("earlier release", func(t *testing.T) {
		forwarded := newForwardedPuts(newTestPeer())
		left := request("m")
		forwarded.submit(left)
		forwarded.replyWritten(left, false)
		if reply := <-left.withdrawal; reply != resp.Busy(0) || forwarded.count() != 0 {
			t.Errorf("got reply %q with %d requests open, want -BUSY with none", reply, forwarded.count())
		}
	})
	t.Run("refused before the withdrawal", func(t *testing.T) {
		forwarded := newForwardedPuts(newTestPeer())
		forwarded.successor.confirmsWithdrawals = true
		left := request("m")
		forwarded.submit(left)
		forwarded.replyWritten(left, false)
		forwarded.replyReceived("m", resp.Busy(7))
		if withdrawal, reply := <-left.withdrawal, <-left.reply; withdrawal != "" || reply != resp.Busy(7) {
			t.Errorf("got replies %q and %q, want the successor's refusal", withdrawal, reply)
		}
	})
	t.Run("successor ends", func(t *testing.T) {
		forwarded := newForwardedPuts(newTestPeer())
		forwarded.successor.confirmsWithdrawals = true
		open, left, later := request("open"), request("left"), request("later")
		forwarded.submit(open)
		forwarded.submit(left)
		forwarded.replyReceived("left", resp.OK)
		forwarded.replyWritten(left, false)
		forwarded.successorGone()
		forwarded.submit(later)
		for name, reply := range map[string]string{"open": <-open.reply, "left": <-left.withdrawal} {
			if reply != resp.Error(errSuccessorEnd) {
				t.Errorf("request %s: got reply %q, want an error", name, reply)
			}
		}
		if reply := <-later.reply; !strings.HasPrefix(reply, "-BUSY ") || forwarded.count() != 0 {
			t.Errorf("request after the end: got reply %q with %d open, want -BUSY with none", reply, forwarded.count())
		}
	})
}

// TestClientLeavesWhileFolderFails: a client that leaves while the relay cannot read its state folder is refused.
func TestClientLeavesWhileFolderFails(t *testing.T) {
	env := writeTestConfig(t, newFakeDiscovery(t), 3)
	control := newFolderControl(t, env)
	control.fail("EIO", opRead, opOpen, opLock)
	startChild(t, env)
	for range 20 { // the relay notices the departure before it has refused the message, or after
		client := dialClient(t, env["ROUTER_LISTEN"])
		client.leave("left", putFields("plain", 20000, 1))
		expectBusy(t, client.readLine())
	}
}
