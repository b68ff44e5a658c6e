package relay

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"troutusher/decide"
)

// batchMember is the list entry of an endpoint whose kind accepts several messages in a call.
func (e *fakeEndpoint) batchMember(id string, cell int) Member {
	m := e.member(id, cell)
	m.Flavor = "bulk"
	return m
}

// decodeBatch decodes the messages of a call with several.
func decodeBatch(t *testing.T, body []byte) (ids []string, bodies [][]byte) {
	t.Helper()
	var items []struct {
		ID   string
		Body []byte
	}
	if err := json.Unmarshal(body, &items); err != nil {
		t.Errorf("decoding a batch: error %v, body %s", err, body)
	}
	for _, item := range items {
		ids, bodies = append(ids, item.ID), append(bodies, item.Body)
	}
	return ids, bodies
}

// putWhileBusy puts messages while the call of an earlier one fills the destination's window of one call. It ends
// that call once all messages are accepted.
func putWhileBusy(t *testing.T, respond http.HandlerFunc, class string, ids ...string) (*fakeDiscovery, *fakeEndpoint) {
	t.Helper()
	received, release := make(chan struct{}), make(chan struct{})
	ep := newFakeEndpoint(t, nil)
	ep.respondWith(func(w http.ResponseWriter, r *http.Request, n int) {
		if n > 1 {
			respond(w, r)
			return
		}
		close(received)
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	disc := newFakeDiscovery(t, ep.batchMember("s-1", 7))
	child := startChild(t, writeTestConfig(t, disc, 3))
	client := dialClient(t, child.env["ROUTER_LISTEN"])
	if reply := client.put("first", putFields(class, 20000, 7), nil); reply != "+OK" {
		t.Fatal(reply)
	}
	<-received
	for _, id := range ids {
		if reply := client.put(id, putFields(class, 20000, 7), []byte("body of "+id)); reply != "+OK" {
			t.Fatalf("reply to PUT of message %s: got %s, want +OK", id, reply)
		}
	}
	close(release)
	return disc, ep
}

// Guards batching at a destination that limits its calls: waiting messages are sent in one call, as many as the
// settings allow, and a single message is sent as a call of its own.
func TestWaitingMessagesAreBatched(t *testing.T) {
	_, ep := putWhileBusy(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == callPath {
			return
		}
		io.WriteString(w, `[{"id":"a","state":"accepted"},{"id":"b","state":"accepted"},{"id":"c","state":"accepted"}]`)
	}, "plain", "a", "b", "c", "d")
	waitFor(t, "all calls", func() bool { ep.mu.Lock(); defer ep.mu.Unlock(); return len(ep.calls) == 3 })
	ep.mu.Lock()
	defer ep.mu.Unlock()
	for _, c := range ep.calls[1:] {
		if c.id != "" {
			if c.id != "d" || string(c.body) != "body of d" {
				t.Errorf("call with a single message: got %+v, want message d", c)
			}
			continue
		}
		ids, bodies := decodeBatch(t, c.body)
		if !slices.Equal(ids, []string{"a", "b", "c"}) || string(bodies[2]) != "body of c" || c.timeout == "" {
			t.Errorf("batch: got messages %v, bodies %q, timeout %q, want a, b and c with a timeout", ids, bodies,
				c.timeout)
		}
	}
}

// Guards the outcome of each message of a batch: an accepted message is finished, one that may have run and must not
// be repeated is given up, and one that has not run is sent again.
func TestEachMessageOfABatchHasItsOutcome(t *testing.T) {
	disc, ep := putWhileBusy(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == batchPath {
			io.WriteString(w,
				`[{"id":"taken","state":"accepted"},{"id":"fault","state":"fault"},{"id":"later","state":"deferred"}]`)
		}
	}, "once", "taken", "fault", "later")
	waitFor(t, "the deferred message", func() bool { return ep.callCount("later") == 1 })
	waitFor(t, "the notice of the failed message",
		func() bool { n, ok := disc.notice("fault"); return ok && n.Outcome == noticeGivenUp })
	for _, id := range []string{"taken", "later"} {
		if n, ok := disc.notice(id); ok {
			t.Errorf("notice of a message that was not given up: got %+v, want none", n)
		}
	}
	if n := ep.callCount("taken") + ep.callCount("fault"); n != 0 {
		t.Errorf("further calls with messages that were accepted or may have run: got %d, want 0", n)
	}
}

// Guards the response to a batch: it is accepted as a whole or not at all, and its Retry-After applies whatever the
// results of the messages are.
func TestBatchResponses(t *testing.T) {
	const ok, empty = "HTTP/1.1 200 OK\r\n", "Content-Length: 0\r\n\r\n"
	both := func(a, b itemResult) map[string]itemResult { return map[string]itemResult{"a": a, "b": b} }
	for name, test := range map[string]struct {
		head, body  string
		outcome     decide.Outcome
		itemResults map[string]itemResult
		retryAfter  decide.Time
	}{
		"different states": {ok, `[{"id":"a","state":"accepted"},{"id":"b","state":"deferred"}]`, decide.Errored,
			both(itemResult{decide.Delivered, true}, itemResult{decide.Rejected, false}), 0},
		"expired, no more attempts": {ok, `[{"id":"a","state":"expired"},{"id":"b","state":"no_more"}]`, decide.Errored,
			both(itemResult{decide.NotSent, true}, itemResult{decide.NotSent, false}), 0},
		"with Retry-After": {ok + "Retry-After: 0.5\r\n",
			`[{"id":"b","state":"accepted"},{"id":"a","state":"accepted"}]`, decide.Errored,
			both(itemResult{decide.Delivered, true}, itemResult{decide.Delivered, true}), 500000},
		"one message missing": {ok, `[{"id":"a","state":"accepted"}]`, decide.Errored,
			map[string]itemResult{"a": {decide.Delivered, true}}, 0},
		"unknown message": {ok, `[{"id":"a","state":"accepted"},{"id":"z","state":"accepted"}]`,
			decide.Errored, nil, 0},
		"message named twice": {ok, `[{"id":"a","state":"accepted"},{"id":"a","state":"fault"}]`,
			decide.Errored, nil, 0},
		"unknown state": {ok, `[{"id":"a","state":"fine"},{"id":"b","state":"accepted"}]`,
			decide.Errored, nil, 0},
		"invalid JSON": {ok, `accepted`, decide.Errored, nil, 0},
		"invalid Retry-After": {ok + "Retry-After: soon\r\n",
			`[{"id":"a","state":"accepted"},{"id":"b","state":"accepted"}]`, decide.Errored, nil, 0},
		"429 with Retry-After":       {"HTTP/1.1 429 W\r\nRetry-After: 0.75\r\n", "", decide.Rejected, nil, 750000},
		"unavailable":                {"HTTP/1.1 503 F\r\n", "", decide.Rejected, nil, 0},
		"error":                      {"HTTP/1.1 500 E\r\n", "", decide.Errored, nil, 0},
		"too large":                  {"HTTP/1.1 413 M\r\n", "", decide.NotSent, nil, 0},
		"bad request":                {"HTTP/1.1 400 B\r\n", "", decide.NotSent, nil, 0},
		"status for single messages": {"HTTP/1.1 410 G\r\n", "", decide.Errored, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			host := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) {
				if readCall(bufio.NewReader(c)) {
					text := test.head + empty
					if test.body != "" {
						text = test.head + "Connection: close\r\n\r\n" + test.body
					}
					io.WriteString(c, text)
				}
			}))
			results := make(chan callResult, 4)
			newTestCall().run(host, append(testItems("a"), testItems("b")...), nil,
				func(_ *message, result callResult) { results <- result })
			result := <-results
			if result.outcome != test.outcome || result.retryAfter != test.retryAfter || result.settled ||
				len(result.itemResults) != len(test.itemResults) || len(results) != 0 {
				t.Errorf("result: got %+v, want that of the case, once", result)
			}
			for id, want := range test.itemResults {
				if result.itemResults[id] != want {
					t.Errorf("result of message %s: got %+v, want %+v", id, result.itemResults[id], want)
				}
			}
		})
	}
}

// Guards the messages of a call against each other: if one of them times out or is cancelled, the call goes on for
// the others. It is cancelled with its last message.
func TestBatchEndsWithItsLastMessage(t *testing.T) {
	received, closed := make(chan []byte, 1), make(chan struct{}, 1)
	addr := rawEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		received <- body
		in.ReadByte() // until the relay closes the connection
		closed <- struct{}{}
	})
	r := newTestRelay(t)
	r.ctx = t.Context()
	r.wal = &wal{queue: newMailbox[walOp]()}
	confirmRecords := func() {
		for _, op := range r.wal.queue.takeAll(nil) {
			if op.onDone != nil {
				op.onDone(nil)
			}
		}
	}
	member := Member{ID: "s-1", HostPort: addr, Flavor: "bulk", Locality: "a", Cell: 7, Phase: phaseUp}
	r.receiveList(t, &List{Complete: true, Members: []Member{member}})
	r.policyEvents = nil
	ep := r.endpointByID("s-1")
	var msgs []*message
	for _, id := range []string{"short", "off", "last"} {
		m := r.newMessage(&record{ID: id, Class: "plain", Dest: 7})
		m.acknowledged = true
		at := r.now() + decide.Time(testLimit.Microseconds())
		if id == "short" {
			at = r.now() + 1500000 // 1.5 s, long enough for the call to be written first
		}
		r.performAction(r.now(), &decide.Action{Kind: decide.ActSend, Message: m.num, Endpoint: ep.num, TimeoutAt: at})
		msgs = append(msgs, m)
	}
	if len(r.formingCalls) != 1 {
		t.Fatalf("calls formed: got %d, want 1", len(r.formingCalls))
	}
	c := r.formingCalls[0]
	r.dispatchCalls()
	confirmRecords()
	if ids, _ := decodeBatch(t, <-received); len(ids) != 3 || ids[0] == "short" || ids[2] != "short" {
		t.Errorf("messages in the call: got %v, want all three, with the shortest timeout last", ids)
	}
	takeEvents := func() {
		var got []event
		waitFor(t, "an event", func() bool { got = r.inbox.takeAll(nil); return len(got) > 0 })
		for _, e := range got {
			r.handleEvent(e)
		}
	}
	takeEvents()
	if len(r.policyEvents) != 1 || r.policyEvents[0].Message != msgs[0].num ||
		r.policyEvents[0].Outcome != decide.TimedOut {
		t.Fatalf("events after the shortest timeout: got %+v, want the outcome TimedOut of that message",
			r.policyEvents)
	}
	cancel := func(m *message) {
		r.performAction(r.now(), &decide.Action{Kind: decide.ActCancel, Message: m.num})
		r.dispatchCalls()
		r.policyEvents = nil
		takeEvents()
		if len(r.policyEvents) != 1 || r.policyEvents[0].Message != m.num ||
			r.policyEvents[0].Outcome != decide.Cancelled {
			t.Fatalf("events after cancelling message %s: got %+v, want its outcome Cancelled", m.rec.ID,
				r.policyEvents)
		}
	}
	cancel(msgs[1])
	if c.ctx.Err() != nil || r.callsInFlight != 1 {
		t.Fatalf("call with a message that is not cancelled: the call was cancelled, or got %d calls, want 1",
			r.callsInFlight)
	}
	cancel(msgs[2])
	<-closed
	if r.callsInFlight != 0 || len(ep.calls) != 0 {
		t.Errorf("calls in flight after the last message: got %d in the loop and %d at the endpoint, want 0",
			r.callsInFlight, len(ep.calls))
	}
	r.pool.sweep(func(*poolConn) bool { return true })
}

// Guards the start of a call whose messages were just accepted: it starts once the replies to all of their clients
// are written. A message whose client has disconnected does not delay the others.
func TestBatchWaitsForClientReplies(t *testing.T) {
	r := newTestRelay(t)
	r.ctx = t.Context()
	r.wal = &wal{queue: newMailbox[walOp]()}
	r.receiveList(t, &List{Complete: true, Members: []Member{{ID: "s-1", HostPort: "127.0.0.1:1", Flavor: "bulk",
		Locality: "a", Cell: 7, Phase: phaseUp}}})
	num := r.endpointByID("s-1").num
	var requests []*putRequest
	at := r.now() + 1e9
	for _, id := range []string{"a", "b", "c"} {
		req := newPutRequest(&record{ID: id, Class: "plain", Dest: 7})
		m := r.newMessage(req.record)
		r.unanswered[req] = m
		r.performAction(r.now(), &decide.Action{Kind: decide.ActSend, Message: m.num, Endpoint: num, TimeoutAt: at})
		requests = append(requests, req)
	}
	c := r.formingCalls[0]
	r.replyWritten(requests[0], true)
	r.replyWritten(requests[1], true)
	if c.cancel != nil {
		t.Fatal("call started before the reply to each client was written")
	}
	r.replyWritten(requests[2], false)
	if c.cancel == nil || len(c.msgs) != 2 {
		t.Fatalf("call for the two remaining messages: not started, or got %d messages, want 2", len(c.msgs))
	}
	c.cancel(nil)
	var logged []string
	for _, op := range r.wal.queue.takeAll(nil) {
		if op.rec.Kind == recordAttempt {
			logged = append(logged, op.rec.ID)
		}
	}
	if strings.Join(logged, " ") != "a b" {
		t.Errorf("logged attempts: got %v, want a and b", logged)
	}
}

// Guards a response that arrives in pieces: it is read as long as data keeps arriving, even if it takes longer than
// the stall timeout in all.
func TestBatchResponseInPieces(t *testing.T) {
	body := `[{"id":"a","state":"accepted"},{"id":"b","state":"deferred"}]`
	host := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) {
		if !readCall(bufio.NewReader(c)) {
			return
		}
		response := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		pause := 3 * responseStallTimeout / 2 / time.Duration(len(response))
		for i := range len(response) {
			io.WriteString(c, response[i:i+1])
			time.Sleep(pause)
		}
	}))
	results := make(chan callResult, 1)
	newTestCall().run(host, append(testItems("a"), testItems("b")...), nil,
		func(_ *message, result callResult) { results <- result })
	if result := <-results; result.err != nil || result.itemResults["a"].outcome != decide.Delivered ||
		result.itemResults["b"].outcome != decide.Rejected {
		t.Errorf("result: got %+v, want a delivered and b deferred", result)
	}
}
