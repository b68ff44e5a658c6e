package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/membership"
)

// fuzzPeer is another process of the relay of which nothing is heard but what a test says.
func fuzzPeer() *peer {
	return &peer{outbox: newMailbox[handoverMessage](), closed: make(chan struct{}), finish: make(chan struct{}), pendingPuts: map[string]*putRequest{}}
}

// heirRelay is a relay that has taken over from an old process: it knows two
// destinations, and its log and its notices go nowhere. Its context has ended, so that
// nothing of it is dialled.
func heirRelay(t testing.TB) *Relay {
	t.Helper()
	r := testRelay(t)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	r.ctx = ended
	r.wal = &wal{queue: newMailbox[walOp]()}
	r.notices = &notices{incoming: newMailbox[notice]()}
	r.reload = Reload{Read: func() (*Config, error) { return nil, errors.New("no file") }}
	r.predecessor = fuzzPeer()
	takeList(t, r, membership.List{Revision: 1, Complete: true, Members: []Member{
		{ID: "endpoint-0", HostPort: "127.0.0.1:1", Locality: "a", Flavor: "k", Phase: phaseUp, Size: 10},
		{ID: "endpoint-1", HostPort: "127.0.0.1:2", Locality: "b", Flavor: "bulk", Cell: 1, Phase: phaseUp, Size: 10},
	}})
	return r
}

// takeList has a relay take a list.
func takeList(t testing.TB, r *Relay, list membership.List) {
	t.Helper()
	stage, err := r.directory.Stage(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for i := range list.Members {
		if _, err := stage.Entry(list.Members[i].Entry(), false); err != nil {
			t.Fatal(err)
		}
	}
	r.startListUpdate(stage.Commit(list.Revision, list.Complete))
	r.applyAllChanges()
}

// decodeLines reads what another process wrote, by way of newPeer.
func decodeLines(t *testing.T, text []byte) (lines []*handoverMessage) {
	t.Helper()
	ours, theirs := net.Pipe()
	var once sync.Once
	gone := make(chan struct{})
	p := newPeer(ours, func(_ *peer, h *handoverMessage) {
		if h == nil {
			once.Do(func() { close(gone) })
			return
		}
		lines = append(lines, h)
	})
	theirs.SetDeadline(time.Now().Add(10 * time.Second))
	theirs.Write(text) // an error is the other side's end: it has read enough
	theirs.Close()
	select {
	case <-gone:
	case <-time.After(10 * time.Second):
		t.Fatal("the end of the connection is not heard")
	}
	<-p.closed
	return lines
}

// FuzzHandOver: no lines of an old process, whatever they hold, stop the process that
// takes over from it, and what that books of calls and messages is consistent: it can be
// said on to a next process, and the calls that are out all come to their ends.
func FuzzHandOver(f *testing.F) {
	for _, line := range []string{
		`{"estate":{"log":"../wal.0","names":{"1":"endpoint-0","2":"gone"},"waits":{"endpoint-1":3600500000,"gone":1},
			"calls":[{"id":"m-1","endpoint":1,"call":1},{"id":"m-2","endpoint":1,"call":1},{"id":"m-3","endpoint":2,"call":2}]}}
		{"outcome":{"id":"m-1","what":2,"wait":500000,"took":7,"load":{"Left":0.5,"Limit":3}}}
		{"outcome":{"id":"m-2","what":0,"settled":true,"took":7,"load":{}}}
		{"put":{"rec":{"kind":"taken","id":"m-9","class":"plain","tenant":"acme","deadline":9007199254740991},"body":"Ym9keQ=="}}
		{"said":{"id":"m-9","ok":true}}`,
		`{"put":{}}{"put":{"rec":null,"body":null}}{"put":{"rec":{}}}{"said":{}}{"said":{"id":"m-9"}}{"outcome":{}}{"answer":{}}`,
		`{"put":{"rec":{"id":"m","class":"once","dest":-1}}}{"put":{"rec":{"id":"m","class":"other"}}}`,
		`{"put":{"rec":{"id":"m","class":"keyed","dest":1,"deadline":-9223372036854775808,"tries":-4,"rules":{"Repeat":200}}}}
		{"said":{"id":"m","ok":true}}`,
		`{"estate":{"calls":[{"id":"m-1","endpoint":9,"call":0},{"id":"m-1","endpoint":1,"call":0}],"names":null,"waits":null}}
		{"outcome":{"id":"m-1","what":255,"wait":-1,"took":-1,"err":"x"}}{"outcome":{"id":"m-1","what":1}}`,
		`{"estate":{"memory":{"Lanes":[{"Dest":0,"Endpoints":[{"Endpoint":1,"Sick":true,"FirstBad":1,"BadAt":-5}],"Bins":[[1,2]],"At":-9,
			"Started":9223372036854775807,"Window":-1,"Limit":1e308,"Lat":{"Mean":-1,"Dev":1e300,"N":-2},"FullRun":-1}],
			"Lat":{"N":1},"Tight":[1,2,3,4,5,6,7,8,9],"Outages":[{"Dest":5,"Endpoint":3}]},"names":{"1":"endpoint-0"}}}
		{"put":{"rec":{"id":"m","class":"plain","dest":0,"deadline":9007199254740991}}}{"said":{"id":"m","ok":true}}`,
		`{"hello":{"now":-9223372036854775808}}{"take":true}{"taken":true}{"cancel":"m"}{"reload":true}`,
		`{"estate":{"names":{"x":"endpoint-0"}}}`, `null`, `[]`, `{"put":{"rec":{"id":"m"`,
	} {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := heirRelay(t)
		elder := r.predecessor
		for _, line := range decodeLines(t, text) {
			if line.State != nil {
				takeEstate(r, line.State)
				continue
			}
			if r.predecessor != nil {
				r.handlePeerMessage(elder, line)
			}
			settleRelay(r)
		}
		checkCalls(t, r)
		checkEstate(t, r)
		r.handlePeerMessage(elder, nil)
		settleRelay(r)
		checkCalls(t, r)
		if len(r.unanswered) != 0 {
			t.Errorf("%d clients of a process that is gone wait", len(r.unanswered))
		}
		for _, m := range r.messages {
			if m.call != nil && m.call.ctx == nil {
				t.Errorf("a call of a process that is gone is out for %q", m.rec.ID)
			}
		}
	})
}

// takeEstate takes over what an old process leaves, with a log that names its calls.
func takeEstate(r *Relay, left *handoverState) {
	out := r.restoreHandover(left, r.predecessor)
	var owed []*record
	for _, x := range left.Calls {
		owed = append(owed, &record{Kind: recordAccepted, ID: x.ID, Class: "plain", Dest: 1, Deadline: r.clock.Now().Add(time.Second), Attempts: 1, InFlightSince: r.clock.Now()})
	}
	r.restoreMessages(owed, out)
	settleRelay(r)
}

// settleRelay has a relay do what it does between two waits, until nothing is left.
func settleRelay(r *Relay) {
	for range 8 {
		for _, h := range r.inbox.takeAll(nil) {
			r.handleEvent(h)
		}
		for _, op := range r.wal.queue.takeAll(nil) {
			if op.onDone != nil && op.rec.Kind != recordAttempt { // no call of its own leaves
				op.onDone(nil)
			}
		}
		if len(r.policyEvents) > 0 {
			r.step()
		}
	}
}

// checkCalls: the loop's books agree with each other.
func checkCalls(t *testing.T, r *Relay) {
	t.Helper()
	held, calls := 0, map[*call]int{}
	for num, m := range r.messages {
		if m.num != num {
			t.Errorf("message %d under %d", m.num, num)
		}
		if r.messagesByID[m.rec.ID] == m {
			held++
		}
		if m.call != nil {
			calls[m.call]++
		}
	}
	if held != r.heldCount || len(r.messagesByID) != held {
		t.Errorf("%d messages are held, %d are counted, %d ids known", held, r.heldCount, len(r.messagesByID))
	}
	if len(calls) != r.callsInFlight {
		t.Errorf("%d calls are out, %d are counted", len(calls), r.callsInFlight)
	}
	for c, messages := range calls {
		if c.unfinished != messages || !c.ep.calls[c] {
			t.Errorf("a call of %d messages is out with %d", messages, c.unfinished)
		}
	}
}

// checkEstate: what a process leaves can be written, and is read as it was.
func checkEstate(t *testing.T, r *Relay) {
	t.Helper()
	r.wal.path = "wal"
	line, err := json.Marshal(handoverMessage{State: r.collectHandoverState()})
	if err != nil {
		t.Errorf("cannot be handed over: %v", err)
		return
	}
	var read handoverMessage
	if err := json.Unmarshal(line, &read); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(read)
	if err != nil || !bytes.Equal(line, again) {
		t.Errorf("handed over as\n%s, read as\n%s, %v", line, again, err)
	}
}

// FuzzHandLines: what a process says of its own lines is read by the other one as it was
// said, and bytes that are no line end the conversation with no harm.
func FuzzHandLines(f *testing.F) {
	f.Add("m-1", int64(7), uint8(decide.Rejected), true, []byte("body"), []byte(`{"take":tr`))
	f.Add("\x00\xff", int64(-1), uint8(255), false, []byte{}, []byte("null"))
	f.Fuzz(func(t *testing.T, id string, span int64, what uint8, flag bool, body, behind []byte) {
		id = strings.ToValidUTF8(id, "?") // JSON has no other texts
		said := []handoverMessage{
			{Hello: &handoverHello{PolicyNow: span}}, {Ready: flag}, {Cancel: id}, {ReplyWritten: &handoverReplyWritten{id, flag}}, {Reply: &handoverReply{id, id}},
			{Outcome: &handoverOutcome{ID: id, Outcome: decide.Outcome(what), RetryAfter: span, Settled: flag, Elapsed: span, Err: id}},
			{Put: &handoverPut{&record{Kind: recordAccepted, ID: id, Dest: int(span)}, body}},
			{State: &handoverState{LogName: id, EndpointIDs: map[decide.Endpoint]string{decide.Endpoint(what): id}, Calls: []inFlightCall{{id, 1, 1}}}},
		}
		var text bytes.Buffer
		encoder := json.NewEncoder(&text)
		for i := range said {
			if err := encoder.Encode(&said[i]); err != nil {
				t.Fatal(err)
			}
		}
		heard := decodeLines(t, append(text.Bytes(), behind...))
		if len(heard) < len(said) {
			t.Fatalf("%d lines said, %d heard", len(said), len(heard))
		}
		for i := range said {
			want, _ := json.Marshal(said[i])
			got, _ := json.Marshal(heard[i])
			if !bytes.Equal(want, got) {
				t.Errorf("said %s, heard %s", want, got)
			}
		}
	})
}

// TestWaitOfUnlistedEndpoint: an old process carries a call to an endpoint that is off
// the list by now. The wait that its answer tells binds no endpoint of destination 0.
func TestWaitOfUnlistedEndpoint(t *testing.T) {
	r := heirRelay(t)
	listed := r.endpoint(decide.Endpoint(r.directory.Endpoints(0, nil)[0].Number))
	takeEstate(r, &handoverState{EndpointIDs: map[decide.Endpoint]string{9: "gone"}, Calls: []inFlightCall{{ID: "m-1", Endpoint: 9, Call: 1}}})
	if r.callsInFlight != 1 {
		t.Fatalf("%d calls are out, want 1", r.callsInFlight)
	}
	r.handlePredecessorMessage(&handoverMessage{Outcome: &handoverOutcome{ID: "m-1", Outcome: decide.Rejected, RetryAfter: 5e6}})
	if r.callsInFlight != 0 || listed.waitUntil != 0 {
		t.Errorf("%d calls are out, the listed endpoint waits until %d", r.callsInFlight, listed.waitUntil)
	}
}
