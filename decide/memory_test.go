package decide

import (
	"encoding/json"
	"reflect"
	"testing"
)

// TestSnapshot checks that a successor process restores the windows, history, waits and outages of its predecessor
// unchanged from the JSON form of a snapshot.
func TestSnapshot(t *testing.T) {
	s := defaultSettings()
	s.Kinds = []DestKind{{MaxBatch: 1}, {SeparateLimits: true}}
	entries := []Entry{readyEntry(7, 50), {Endpoint: 8, Dest: 1, Kind: 1, State: Ready, Rate: 20},
		{Endpoint: 9, Dest: 1, Kind: 1, State: Ready, Rate: 20}}
	predecessor := newPolicyRunner(t, s, entries...)
	for i := range 60 {
		predecessor.step(predecessor.messageEvent(0, i%2))
		for len(predecessor.sends) > 0 {
			a := predecessor.sends[0]
			o := outcomeEvent(a, Delivered)
			if a.Endpoint == 8 {
				o.Outcome, o.Settled = Errored, false
			} else if i == 40 {
				o.Outcome, o.Settled, o.RetryAfter = Rejected, false, 30*second
			}
			o.Attempt = predecessor.policy.messages[a.Message].attempts - 1
			predecessor.step(o)
		}
		predecessor.now += second / 10
	}
	if ep := predecessor.policy.endpoints[8]; !ep.ejected {
		t.Fatal("endpoint 8 not ejected, so the snapshot has no outage")
	}
	text, err := json.Marshal(predecessor.policy.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	restored := &Snapshot{}
	if err := json.Unmarshal(text, restored); err != nil {
		t.Fatal(err)
	}
	successor := newPolicyRunner(t, s, entries...)
	successor.now = predecessor.now
	successor.step(Event{Kind: EvSnapshot, Snapshot: restored})
	again, err := json.Marshal(successor.policy.Snapshot())
	if err != nil || string(again) != string(text) {
		t.Errorf("got snapshot\n%[2]s\nafter restoring\n%[1]s\nerror %[3]v", text, again, err)
	}
	waits := 0
	for _, l := range append(successor.policy.destination(0).limiters, successor.policy.destination(1).limiters...) {
		if l.retryAfterUntil > successor.now {
			waits++
		}
	}
	if waits == 0 {
		t.Error("no wait in force after restoring")
	}
	restored.Limiters[0].Endpoints[0].Endpoint = 99 // no longer listed; it must be ignored
	newPolicyRunner(t, s, entries...).step(Event{Kind: EvSnapshot, Snapshot: restored})
}

// TestInheritedCalls checks calls that another process has in flight: they take a slot, count in the window, are not
// sent again, and end like any other call.
func TestInheritedCalls(t *testing.T) {
	s := defaultSettings()
	s.Slots = 3
	r := newPolicyRunner(t, s, readyEntry(7, 1000), Entry{Endpoint: 8, Dest: 1, State: Ready, Rate: 1000})
	inFlightEvent := func(id uint32, dest int, ep Endpoint, call uint64) Event {
		return Event{Kind: EvMessage, Message: id, Dest: dest, TimeLeft: 10 * second, Attempts: 1,
			OriginalClass: &s.Classes[0], OriginalMaxAttempts: 9, InFlightEndpoint: ep,
			InFlightSince: r.now - second/10, InFlightCall: call}
	}
	r.nextMessage = 100
	r.step(inFlightEvent(1, 0, 7, 1), inFlightEvent(2, 0, 7, 1), inFlightEvent(3, 1, 8, 2), inFlightEvent(4, 1, 55, 3),
		r.messageEvent(0, 0), r.messageEvent(0, 1))
	if len(r.sends) != 0 || r.policy.callsInFlight != 3 {
		t.Fatalf("got %d calls in flight and sends %v, want 3 and none", r.policy.callsInFlight, r.sends)
	}
	r.step(Event{Kind: EvOutcome, Message: 1, Endpoint: 7, Outcome: Delivered, Settled: true, Elapsed: second / 10})
	if len(r.sends) != 0 {
		t.Fatalf("got sends %v while the call is still in flight for its other message, want none", r.sends)
	}
	r.step(Event{Kind: EvOutcome, Message: 2, Endpoint: 7, Outcome: Errored, Elapsed: second / 10})
	if len(r.sends) != 1 || r.policy.callsInFlight != 3 {
		t.Fatalf("got sends %v and %d calls in flight with one slot free, want 1 and 3", r.sends,
			r.policy.callsInFlight)
	}
	r.step(Event{Kind: EvOutcome, Message: 4, Endpoint: 55, Outcome: Delivered, Settled: true, Elapsed: second / 10})
	r.step(Event{Kind: EvOutcome, Message: 3, Endpoint: 8, Outcome: Delivered, Settled: true, Elapsed: second / 10})
	for _, id := range []uint32{1, 3, 4} {
		if r.policy.messages[id] != nil {
			t.Errorf("message %d still held after its delivery", id)
		}
	}
}

// TestSuspectedOutageIsRestored checks that one failure, too few for an ejection, is kept for the successor process,
// which ejects the endpoint unless the failure is older than the idle retention. A success clears the failure.
func TestSuspectedOutageIsRestored(t *testing.T) {
	s := defaultSettings()
	s.Relays = 300
	for _, c := range []struct {
		name    string
		success bool
		age     Time
		kept    bool
		ejected bool
	}{
		{"one failure", false, second, true, true},
		{"one old failure", false, 2 * minIdleRetention, true, false},
		{"a success after it", true, second, false, false},
	} {
		predecessor := newPolicyRunner(t, s, readyEntry(1, 200))
		ep := predecessor.policy.endpoints[1]
		predecessor.policy.now = predecessor.now
		predecessor.policy.recordFailure(ep, predecessor.now, false)
		if ep.ejected {
			t.Fatalf("%s: endpoint ejected after one failure", c.name)
		}
		if c.success {
			predecessor.policy.now += second / 10
			predecessor.policy.recordSuccess(ep, predecessor.policy.now)
		}
		outage, kept := predecessor.policy.Outage(1)
		if kept != c.kept {
			t.Errorf("%s: got outage kept %v, want %v", c.name, kept, c.kept)
		}
		successor := newPolicyRunner(t, s, readyEntry(1, 200))
		successor.now = predecessor.now + c.age
		if kept {
			successor.step(Event{Kind: EvSnapshot, Snapshot: &Snapshot{Outages: []OutageSnapshot{outage}}})
		}
		if successor.policy.endpoints[1].ejected != c.ejected {
			t.Errorf("%s: got ejected %v after the restart, want %v", c.name, successor.policy.endpoints[1].ejected,
				c.ejected)
		}
	}
}

// TestSnapshotEncoding checks the JSON keys and their order. A snapshot is handed to a successor process, and outages
// are stored in the log; the program that reads them may be of another version.
func TestSnapshotEncoding(t *testing.T) {
	snapshot := Snapshot{
		Limiters: []LimiterSnapshot{{
			Dest: 1,
			Endpoints: []EndpointSnapshot{{
				Endpoint: 2, BackoffUntil: 3, FailureScore: 0.25, NextCallCost: 1.5, Ejected: true, Silent: true,
				FirstFailureAt: 4, LastFailureAt: 5, RecoveredAt: 6, RecoveryCallSentAt: 7, LastSuccessAt: 8,
				Budget:  BucketSnapshot{UpdatedAt: 9, Tokens: 10.5, Initialized: true},
				Latency: LatencySnapshot{Mean: 11.5, Deviation: 12.5, Samples: 13},
			}},
			Bins: [][2]uint32{{14, 15}, {16, 17}}, NewestBin: 18, StartedAt: 19, Window: 20.5, HalvedAt: 21,
			RetryAfterUntil: 22, BackoffUntil: 23, NominalRate: 24.5, ReportedLimit: 25.5, RateFactor: 26.5,
			Bucket:       BucketSnapshot{UpdatedAt: 27, Tokens: 28.5, Initialized: true},
			RejectionRun: 29, RejectionRunStart: 30,
			Latency: LatencySnapshot{Mean: 31.5, Deviation: 32.5, Samples: 33},
		}},
		Latency:           LatencySnapshot{Mean: 34.5, Deviation: 35.5, Samples: 36},
		NoConnectionShare: []float64{0.375, 0.625},
		Outages: []OutageSnapshot{{Dest: 37, Endpoint: 38, Silent: true, Suspected: true, FirstFailureAt: 39,
			LastFailureAt: 40, RecoveredAt: 41, RecoveryCallSentAt: 42}},
	}
	requireFieldsSet(t, "Snapshot", reflect.ValueOf(snapshot))
	const want = `{"Lanes":[{"Dest":1,"Endpoints":[{"Endpoint":2,"RestUntil":3,"Score":0.25,"Need":1.5,"Sick":true,` +
		`"Mute":true,"FirstBad":4,"BadAt":5,"GoodAt":6,"GoodSent":7,"OkAt":8,"Budget":{"At":9,"Tokens":10.5,` +
		`"Used":true},"Lat":{"Mean":11.5,"Dev":12.5,"N":13}}],"Bins":[[14,15],[16,17]],"At":18,"Started":19,` +
		`"Window":20.5,"HalvedAt":21,"WaitUntil":22,"PauseUntil":23,"Nominal":24.5,"Limit":25.5,"Boost":26.5,` +
		`"Tokens":{"At":27,"Tokens":28.5,"Used":true},"FullRun":29,"FullAt":30,"Lat":{"Mean":31.5,"Dev":32.5,` +
		`"N":33}}],"Lat":{"Mean":34.5,"Dev":35.5,"N":36},"Tight":[0.375,0.625],"Outages":[{"Dest":37,` +
		`"Endpoint":38,"Mute":true,"Suspected":true,"FirstBad":39,"BadAt":40,"GoodAt":41,"GoodSent":42}]}`
	got, err := json.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("got snapshot\n%s\nwant\n%s", got, want)
	}
	var decoded Snapshot
	if err := json.Unmarshal([]byte(want), &decoded); err != nil || !reflect.DeepEqual(decoded, snapshot) {
		t.Errorf("got %+v, %v after decoding, want %+v", decoded, err, snapshot)
	}
}

// requireFieldsSet fails the test for each field of a value that is zero.
func requireFieldsSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			requireFieldsSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case v.IsZero():
		t.Errorf("%s is zero, want a value in the encoded snapshot", path)
	case v.Kind() == reflect.Slice:
		for i := range v.Len() {
			requireFieldsSet(t, path, v.Index(i))
		}
	}
}
