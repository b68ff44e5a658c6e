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

// newTestPeer returns a peer without a connection.
func newTestPeer() *peer {
	return &peer{outbox: newMailbox[handoverMessage](), closed: make(chan struct{}), finish: make(chan struct{}),
		pendingPuts: map[string]*putRequest{}}
}

// newSuccessorRelay returns a relay that is taking over from a predecessor. It knows two destinations. Its log and its
// notices are queued and not written or sent. Its context has ended, so that it dials no connection.
func newSuccessorRelay(t testing.TB) *Relay {
	t.Helper()
	relay := newTestRelay(t)
	endedContext, cancel := context.WithCancel(context.Background())
	cancel()
	relay.ctx = endedContext
	relay.wal = &wal{queue: newMailbox[walOp]()}
	relay.notices = &notices{incoming: newMailbox[notice]()}
	relay.reload = Reload{Read: func() (*Config, error) { return nil, errors.New("no file") }}
	relay.predecessor = newTestPeer()
	applyList(t, relay, membership.List{Revision: 1, Complete: true, Members: []Member{
		{ID: "endpoint-0", HostPort: "127.0.0.1:1", Locality: "a", Flavor: "k", Phase: phaseUp, Size: 10},
		{ID: "endpoint-1", HostPort: "127.0.0.1:2", Locality: "b", Flavor: "bulk", Cell: 1, Phase: phaseUp, Size: 10},
	}})
	return relay
}

// applyList applies a full list or a delta to the relay's directory and loop.
func applyList(t testing.TB, relay *Relay, list membership.List) {
	t.Helper()
	staged, err := relay.directory.Stage(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for i := range list.Members {
		if _, err := staged.Entry(list.Members[i].Entry(), false); err != nil {
			t.Fatal(err)
		}
	}
	relay.startListUpdate(staged.Commit(list.Revision, list.Complete))
	relay.applyAllChanges()
}

// decodeMessages returns the messages that a peer receives if the other process writes text and ends.
func decodeMessages(t *testing.T, text []byte) (messages []*handoverMessage) {
	t.Helper()
	local, remote := net.Pipe()
	var once sync.Once
	disconnected := make(chan struct{})
	p := newPeer(local, func(_ *peer, msg *handoverMessage) {
		if msg == nil {
			once.Do(func() { close(disconnected) })
			return
		}
		messages = append(messages, msg)
	})
	remote.SetDeadline(time.Now().Add(10 * time.Second))
	remote.Write(text) // fails if the peer stops reading before the end of text
	remote.Close()
	select {
	case <-disconnected:
	case <-time.After(10 * time.Second):
		t.Fatal("the end of the connection was not reported within 10 s")
	}
	<-p.closed
	return messages
}

// FuzzPredecessorMessages: no messages of a predecessor, whatever they contain, crash its successor. The successor's
// counts of calls and messages stay consistent, its state can be handed over in turn, and all calls in flight end once
// the predecessor is gone.
func FuzzPredecessorMessages(f *testing.F) {
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
		relay := newSuccessorRelay(t)
		predecessor := relay.predecessor
		for _, msg := range decodeMessages(t, text) {
			if msg.State != nil {
				restoreState(relay, msg.State)
				continue
			}
			if relay.predecessor != nil {
				relay.handlePeerMessage(predecessor, msg)
			}
			processPending(relay)
		}
		checkCallCounts(t, relay)
		checkHandoverState(t, relay)
		relay.handlePeerMessage(predecessor, nil)
		processPending(relay)
		checkCallCounts(t, relay)
		if len(relay.unanswered) != 0 {
			t.Errorf("unanswered requests after the predecessor is gone: got %d, want 0", len(relay.unanswered))
		}
		for _, msg := range relay.messages {
			if msg.call != nil && msg.call.ctx == nil {
				t.Errorf("message %q still has a call of the predecessor, which is gone", msg.rec.ID)
			}
		}
	})
}

// restoreState restores a predecessor's state, with a log that has the message of each of its calls.
func restoreState(r *Relay, state *handoverState) {
	calls := r.restoreHandover(state, r.predecessor)
	var pending []*record
	for _, entry := range state.Calls {
		pending = append(pending, &record{Kind: recordAccepted, ID: entry.ID, Class: "plain", Dest: 1,
			Deadline: r.clock.Now().Add(time.Second), Attempts: 1, InFlightSince: r.clock.Now()})
	}
	r.restoreMessages(pending, calls)
	processPending(r)
}

// processPending handles the queued events, completes the queued log operations and runs the policy, in enough rounds
// that nothing is left.
func processPending(relay *Relay) {
	for range 8 {
		for _, ev := range relay.inbox.takeAll(nil) {
			relay.handleEvent(ev)
		}
		for _, op := range relay.wal.queue.takeAll(nil) {
			// No attempt record completes, so the relay sends no call itself.
			if op.onDone != nil && op.rec.Kind != recordAttempt {
				op.onDone(nil)
			}
		}
		if len(relay.policyEvents) > 0 {
			relay.step()
		}
	}
}

// checkCallCounts checks that the loop's records of messages and calls agree with each other.
func checkCallCounts(t *testing.T, relay *Relay) {
	t.Helper()
	heldCount, calls := 0, map[*call]int{}
	for num, msg := range relay.messages {
		if msg.num != num {
			t.Errorf("message number: got %d, want its key %d", msg.num, num)
		}
		if relay.messagesByID[msg.rec.ID] == msg {
			heldCount++
		}
		if msg.call != nil {
			calls[msg.call]++
		}
	}
	if heldCount != relay.heldCount || len(relay.messagesByID) != heldCount {
		t.Errorf("%d messages are held, but heldCount is %d and messagesByID has %d", heldCount, relay.heldCount,
			len(relay.messagesByID))
	}
	if len(calls) != relay.callsInFlight {
		t.Errorf("%d calls are in flight, but callsInFlight is %d", len(calls), relay.callsInFlight)
	}
	for c, messageCount := range calls {
		if c.unfinished != messageCount || !c.ep.calls[c] {
			t.Errorf("a call with %d messages has %d unfinished, or its endpoint does not have it",
				messageCount, c.unfinished)
		}
	}
}

// checkHandoverState checks that the relay's state can be encoded for a successor, and is decoded unchanged.
func checkHandoverState(t *testing.T, relay *Relay) {
	t.Helper()
	relay.wal.path = "wal"
	line, err := json.Marshal(handoverMessage{State: relay.collectHandoverState()})
	if err != nil {
		t.Errorf("encoding the hand-over state: %v", err)
		return
	}
	var decoded handoverMessage
	if err := json.Unmarshal(line, &decoded); err != nil {
		t.Fatal(err)
	}
	reencoded, err := json.Marshal(decoded)
	if err != nil || !bytes.Equal(line, reencoded) {
		t.Errorf("encoded as\n%s, decoded as\n%s, error %v", line, reencoded, err)
	}
}

// FuzzHandoverMessages: each message that one process sends is received unchanged by the other one. Invalid bytes after
// them only end the connection.
func FuzzHandoverMessages(f *testing.F) {
	f.Add("m-1", int64(7), uint8(decide.Rejected), true, []byte("body"), []byte(`{"take":tr`))
	f.Add("\x00\xff", int64(-1), uint8(255), false, []byte{}, []byte("null"))
	f.Fuzz(func(t *testing.T, id string, duration int64, outcome uint8, flag bool, body, trailing []byte) {
		id = strings.ToValidUTF8(id, "?") // JSON strings are valid UTF-8
		sent := []handoverMessage{
			{Hello: &handoverHello{PolicyNow: duration, ConfirmsWithdrawals: flag}}, {Ready: flag}, {Cancel: id},
			{ReplyWritten: &handoverReplyWritten{id, flag, flag}}, {Reply: &handoverReply{id, id}},
			{Withdrawn: &handoverWithdrawal{id, id}},
			{Outcome: &handoverOutcome{ID: id, Outcome: decide.Outcome(outcome), RetryAfter: duration, Settled: flag,
				Elapsed: duration, Err: id}},
			{Put: &handoverPut{&record{Kind: recordAccepted, ID: id, Dest: int(duration)}, body}},
			{State: &handoverState{LogName: id, EndpointIDs: map[decide.Endpoint]string{decide.Endpoint(outcome): id},
				Calls: []inFlightCall{{id, 1, 1}}}},
		}
		var text bytes.Buffer
		encoder := json.NewEncoder(&text)
		for i := range sent {
			if err := encoder.Encode(&sent[i]); err != nil {
				t.Fatal(err)
			}
		}
		received := decodeMessages(t, append(text.Bytes(), trailing...))
		if len(received) < len(sent) {
			t.Fatalf("%d messages sent, %d received", len(sent), len(received))
		}
		for i := range sent {
			want, _ := json.Marshal(sent[i])
			got, _ := json.Marshal(received[i])
			if !bytes.Equal(want, got) {
				t.Errorf("sent %s, received %s", want, got)
			}
		}
	})
}

// TestWaitOfUnlistedEndpoint: a predecessor finishes a call to an endpoint that is no longer listed. The Retry-After of
// the response does not apply to the endpoint of destination 0.
func TestWaitOfUnlistedEndpoint(t *testing.T) {
	relay := newSuccessorRelay(t)
	listed := relay.endpoint(decide.Endpoint(relay.directory.Endpoints(0, nil)[0].Number))
	restoreState(relay, &handoverState{EndpointIDs: map[decide.Endpoint]string{9: "gone"},
		Calls: []inFlightCall{{ID: "m-1", Endpoint: 9, Call: 1}}})
	if relay.callsInFlight != 1 {
		t.Fatalf("calls in flight: got %d, want 1", relay.callsInFlight)
	}
	relay.handlePredecessorMessage(&handoverMessage{
		Outcome: &handoverOutcome{ID: "m-1", Outcome: decide.Rejected, RetryAfter: 5e6}})
	if relay.callsInFlight != 0 || listed.waitUntil != 0 {
		t.Errorf("got %d calls in flight and a wait of the listed endpoint until %d, want 0 and 0",
			relay.callsInFlight, listed.waitUntil)
	}
}
