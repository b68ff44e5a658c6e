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

// bulk is an endpoint of the kind that takes several messages in a call.
func (e *fakeEndpoint) bulk(id string, cell int) Member {
	m := e.member(id, cell)
	m.Flavor = "bulk"
	return m
}

// batchOf reads the messages of a call with several.
func batchOf(t *testing.T, body []byte) (ids []string, bodies [][]byte) {
	t.Helper()
	var items []struct {
		ID   string
		Body []byte
	}
	if err := json.Unmarshal(body, &items); err != nil {
		t.Errorf("%v: %s", err, body)
	}
	for _, x := range items {
		ids, bodies = append(ids, x.ID), append(bodies, x.Body)
	}
	return ids, bodies
}

// queued hands messages in while a first one holds the only call that the
// window lets out, and lets that end once all are taken on.
func queued(t *testing.T, answer http.HandlerFunc, class string, ids ...string) (*fakeDiscovery, *fakeEndpoint) {
	t.Helper()
	entered, release := make(chan struct{}), make(chan struct{})
	ep := newFakeEndpoint(t, nil)
	ep.then(func(w http.ResponseWriter, r *http.Request, n int) {
		if n > 1 {
			answer(w, r)
			return
		}
		close(entered)
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	disc := newFakeDiscovery(t, ep.bulk("s-1", 7))
	c := startChild(t, testConfig(t, disc, 3))
	cl := dialClient(t, c.env["ROUTER_LISTEN"])
	if s := cl.put("first", fields(class, 20000, 7), nil); s != "+OK" {
		t.Fatal(s)
	}
	<-entered
	for _, id := range ids {
		if s := cl.put(id, fields(class, 20000, 7), []byte("body of "+id)); s != "+OK" {
			t.Fatalf("%s: %s", id, s)
		}
	}
	close(release)
	return disc, ep
}

// Guards a limited destination: it counts calls, so what waits for it travels
// together, as far as the settings allow, and a message alone goes as before.
func TestMessagesTravelTogether(t *testing.T) {
	_, ep := queued(t, func(w http.ResponseWriter, r *http.Request) {
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
				t.Errorf("alone: %+v", c)
			}
			continue
		}
		ids, bodies := batchOf(t, c.body)
		if !slices.Equal(ids, []string{"a", "b", "c"}) || string(bodies[2]) != "body of c" || c.timeout == "" {
			t.Errorf("together: %v, bodies %q, timeout %q", ids, bodies, c.timeout)
		}
	}
}

// Guards the end of each message of a call: what was taken is over, what may
// have run and may not be repeated is given up, what never ran goes out again.
func TestEachOfABatchHasItsEnd(t *testing.T) {
	disc, ep := queued(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == batchPath {
			io.WriteString(w, `[{"id":"taken","state":"accepted"},{"id":"fault","state":"fault"},{"id":"later","state":"deferred"}]`)
		}
	}, "once", "taken", "fault", "later")
	waitFor(t, "the one put off", func() bool { return ep.count("later") == 1 })
	waitFor(t, "notice of the fault", func() bool { n, ok := disc.notice("fault"); return ok && n.Outcome == endGivenUp })
	for _, id := range []string{"taken", "later"} {
		if n, ok := disc.notice(id); ok {
			t.Errorf("notice %+v", n)
		}
	}
	if n := ep.count("taken") + ep.count("fault"); n != 0 {
		t.Errorf("%d further calls of what may have run", n)
	}
}

// Guards what an answer to several messages says: it is believed as a whole or
// not at all, and a wait in it binds whatever became of the messages.
func TestBatchAnswers(t *testing.T) {
	const ok, empty = "HTTP/1.1 200 OK\r\n", "Content-Length: 0\r\n\r\n"
	both := func(a, b ending) map[string]ending { return map[string]ending{"a": a, "b": b} }
	for name, x := range map[string]struct {
		head, body string
		what       decide.Outcome
		ends       map[string]ending
		wait       decide.Time
	}{
		"each its own": {ok, `[{"id":"a","state":"accepted"},{"id":"b","state":"deferred"}]`, decide.Errored,
			both(ending{decide.Delivered, true}, ending{decide.Full, false}), 0},
		"over, used up": {ok, `[{"id":"a","state":"expired"},{"id":"b","state":"no_more"}]`, decide.Errored,
			both(ending{decide.NotSent, true}, ending{decide.NotSent, false}), 0},
		"with a wait": {ok + "Retry-After: 0.5\r\n", `[{"id":"b","state":"accepted"},{"id":"a","state":"accepted"}]`, decide.Errored,
			both(ending{decide.Delivered, true}, ending{decide.Delivered, true}), 500000},
		"one left out":    {ok, `[{"id":"a","state":"accepted"}]`, decide.Errored, map[string]ending{"a": {decide.Delivered, true}}, 0},
		"a stranger":      {ok, `[{"id":"a","state":"accepted"},{"id":"z","state":"accepted"}]`, decide.Errored, nil, 0},
		"twice":           {ok, `[{"id":"a","state":"accepted"},{"id":"a","state":"fault"}]`, decide.Errored, nil, 0},
		"no such state":   {ok, `[{"id":"a","state":"fine"},{"id":"b","state":"accepted"}]`, decide.Errored, nil, 0},
		"not the form":    {ok, `accepted`, decide.Errored, nil, 0},
		"bad wait":        {ok + "Retry-After: soon\r\n", `[{"id":"a","state":"accepted"},{"id":"b","state":"accepted"}]`, decide.Errored, nil, 0},
		"told to wait":    {"HTTP/1.1 429 W\r\nRetry-After: 0.75\r\n", "", decide.Full, nil, 750000},
		"full":            {"HTTP/1.1 503 F\r\n", "", decide.Full, nil, 0},
		"error":           {"HTTP/1.1 500 E\r\n", "", decide.Errored, nil, 0},
		"too many":        {"HTTP/1.1 413 M\r\n", "", decide.NotSent, nil, 0},
		"unreadable":      {"HTTP/1.1 400 B\r\n", "", decide.NotSent, nil, 0},
		"of one, not all": {"HTTP/1.1 410 G\r\n", "", decide.Errored, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := testPool(t).home(rawEndpoint(t, func(c net.Conn) {
				if readCall(bufio.NewReader(c)) {
					text := x.head + empty
					if x.body != "" {
						text = x.head + "Connection: close\r\n\r\n" + x.body
					}
					io.WriteString(c, text)
				}
			}))
			told := make(chan outcome, 4)
			newTestCall().run(h, append(testPart("a"), testPart("b")...), nil, func(_ *message, o outcome) { told <- o })
			o := <-told
			if o.what != x.what || o.wait != x.wait || o.settled || len(o.ends) != len(x.ends) || len(told) != 0 {
				t.Errorf("got %+v", o)
			}
			for id, end := range x.ends {
				if o.ends[id] != end {
					t.Errorf("%s: got %+v, want %+v", id, o.ends[id], end)
				}
			}
		})
	}
}

// Guards a message against the others of its call: its own time-out and being
// called off leave the call to those that still want it, and the last ends it.
func TestBatchIsWantedToTheLast(t *testing.T) {
	entered, gone := make(chan []byte, 1), make(chan struct{}, 1)
	addr := rawEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		entered <- body
		in.ReadByte() // until the caller closes
		gone <- struct{}{}
	})
	r := testRelay(t)
	r.ctx = t.Context()
	r.wal = &wal{in: newMailbox[walOp]()}
	logAll := func() {
		for _, op := range r.wal.in.takeAll(nil) {
			if op.then != nil {
				op.then(nil)
			}
		}
	}
	x := Member{ID: "s-1", HostPort: addr, Flavor: "bulk", Locality: "a", Cell: 7, Phase: phaseUp}
	r.told(t, &List{Complete: true, Members: []Member{x}})
	r.policyEvents = nil
	ep := r.named("s-1")
	var msgs []*message
	for _, id := range []string{"short", "off", "last"} {
		m := r.newMessage(&record{ID: id, Class: "plain", Dest: 7})
		m.acknowledged = true
		at := r.now() + decide.Time(testLimit.Microseconds())
		if id == "short" {
			at = r.now() + 1500000 // long enough for the call to be written first
		}
		r.performAction(r.now(), &decide.Action{Kind: decide.ActSend, Message: m.num, Endpoint: ep.num, At: at})
		msgs = append(msgs, m)
	}
	if len(r.formingCalls) != 1 {
		t.Fatalf("%d calls", len(r.formingCalls))
	}
	c := r.formingCalls[0]
	r.dispatchCalls()
	logAll()
	if ids, _ := batchOf(t, <-entered); len(ids) != 3 || ids[0] == "short" || ids[2] != "short" {
		t.Errorf("in the call: %v, want the one that is waited for least at the end", ids)
	}
	told := func() {
		var got []event
		waitFor(t, "a happening", func() bool { got = r.inbox.takeAll(nil); return len(got) > 0 })
		for _, h := range got {
			r.handleEvent(h)
		}
	}
	told()
	if len(r.policyEvents) != 1 || r.policyEvents[0].Message != msgs[0].num || r.policyEvents[0].Outcome != decide.TimedOut {
		t.Fatalf("the short one: %+v", r.policyEvents)
	}
	cancel := func(m *message) {
		r.performAction(r.now(), &decide.Action{Kind: decide.ActCancel, Message: m.num})
		r.dispatchCalls()
		r.policyEvents = nil
		told()
		if len(r.policyEvents) != 1 || r.policyEvents[0].Message != m.num || r.policyEvents[0].Outcome != decide.Cancelled {
			t.Fatalf("%s: %+v", m.rec.ID, r.policyEvents)
		}
	}
	cancel(msgs[1])
	if c.ctx.Err() != nil || r.callsInFlight != 1 {
		t.Fatalf("the call ended with a message that still wants it; %d calls", r.callsInFlight)
	}
	cancel(msgs[2])
	<-gone
	if r.callsInFlight != 0 || len(ep.calls) != 0 {
		t.Errorf("%d calls, %d at the endpoint", r.callsInFlight, len(ep.calls))
	}
	r.pool.sweep(func(*poolConn) bool { return true })
}

// Guards a call whose messages were just taken on: it begins when all of their
// clients have heard, and a client that leaves does not hold the others up.
func TestBatchWaitsForItsClients(t *testing.T) {
	r := testRelay(t)
	r.ctx = t.Context()
	r.wal = &wal{in: newMailbox[walOp]()}
	r.told(t, &List{Complete: true, Members: []Member{{ID: "s-1", HostPort: "127.0.0.1:1", Flavor: "bulk", Locality: "a", Cell: 7, Phase: phaseUp}}})
	num := r.named("s-1").num
	var qs []*request
	at := r.now() + 1e9
	for _, id := range []string{"a", "b", "c"} {
		q := &request{rec: &record{ID: id, Class: "plain", Dest: 7}, reply: make(chan string, 1)}
		m := r.newMessage(q.rec)
		r.unanswered[q] = m
		r.performAction(r.now(), &decide.Action{Kind: decide.ActSend, Message: m.num, Endpoint: num, At: at})
		qs = append(qs, q)
	}
	c := r.formingCalls[0]
	r.replyWritten(qs[0], true)
	r.replyWritten(qs[1], true)
	if c.stop != nil {
		t.Fatal("begun though a client has not heard")
	}
	r.replyWritten(qs[2], false)
	if c.stop == nil || len(c.msgs) != 2 {
		t.Fatalf("not begun for the two that are left: %d messages", len(c.msgs))
	}
	c.stop(nil)
	var logged []string
	for _, op := range r.wal.in.takeAll(nil) {
		if op.rec.Kind == recAttempt {
			logged = append(logged, op.rec.ID)
		}
	}
	if strings.Join(logged, " ") != "a b" {
		t.Errorf("attempts logged: %v", logged)
	}
}

// Guards an answer that comes in pieces: as long as it goes on coming it is
// read, though its last byte is far behind its first.
func TestBatchAnswerInPieces(t *testing.T) {
	body := `[{"id":"a","state":"accepted"},{"id":"b","state":"deferred"}]`
	h := testPool(t).home(rawEndpoint(t, func(c net.Conn) {
		if !readCall(bufio.NewReader(c)) {
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		pause := 3 * answerWait / 2 / time.Duration(len(answer))
		for i := range len(answer) {
			io.WriteString(c, answer[i:i+1])
			time.Sleep(pause)
		}
	}))
	told := make(chan outcome, 1)
	newTestCall().run(h, append(testPart("a"), testPart("b")...), nil, func(_ *message, o outcome) { told <- o })
	if o := <-told; o.err != nil || o.ends["a"].what != decide.Delivered || o.ends["b"].what != decide.Full {
		t.Errorf("got %+v", o)
	}
}
