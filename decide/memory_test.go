package decide

import (
	"encoding/json"
	"testing"
)

// Guards what a new process takes up from an old one: windows, history, waits
// and outages, as they were, through the form in which they are handed over.
func TestMemory(t *testing.T) {
	s := one()
	s.Kinds = []DestKind{{MaxBatch: 1}, {SeparateLimits: true}}
	entries := []Entry{ready(7, 50), {Endpoint: 8, Dest: 1, Kind: 1, State: Ready, Rate: 20}, {Endpoint: 9, Dest: 1, Kind: 1, State: Ready, Rate: 20}}
	old := newRig(t, s, entries...)
	for i := range 60 {
		old.step(old.message(0, i%2))
		for len(old.sends) > 0 {
			a := old.sends[0]
			o := answer(a, Delivered)
			if a.Endpoint == 8 {
				o.Outcome, o.Final = Errored, false
			} else if i == 40 {
				o.Outcome, o.Final, o.RetryAfter = Rejected, false, 30*second
			}
			o.Attempt = old.p.messages[a.Message].attempts - 1
			old.step(o)
		}
		old.now += second / 10
	}
	if ep := old.p.endpoints[8]; !ep.ejected {
		t.Fatal("no outage to remember")
	}
	text, err := json.Marshal(old.p.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	m := &Snapshot{}
	if err := json.Unmarshal(text, m); err != nil {
		t.Fatal(err)
	}
	next := newRig(t, s, entries...)
	next.now = old.now
	next.step(Event{Kind: EvSnapshot, Snapshot: m})
	again, err := json.Marshal(next.p.Snapshot())
	if err != nil || string(again) != string(text) {
		t.Errorf("remembered\n%s\ntaken up as\n%s, %v", text, again, err)
	}
	waits := 0
	for _, l := range append(next.p.destination(0).limiters, next.p.destination(1).limiters...) {
		if l.retryAfterUntil > next.now {
			waits++
		}
	}
	if waits == 0 {
		t.Error("no wait binds")
	}
	m.Lanes[0].Endpoints[0].Endpoint = 99 // off the list by now
	newRig(t, s, entries...).step(Event{Kind: EvSnapshot, Snapshot: m})
}

// Guards calls that another process has out: they hold their slots, count in
// their window, are not sent again, and end like any other.
func TestCarriedCalls(t *testing.T) {
	s := one()
	s.Slots = 3
	r := newRig(t, s, ready(7, 1000), Entry{Endpoint: 8, Dest: 1, State: Ready, Rate: 1000})
	out := func(id uint32, dest int, ep Endpoint, call uint64) Event {
		return Event{Kind: EvMessage, Message: id, Dest: dest, TimeLeft: 10 * second, Attempts: 1, OriginalClass: &s.Classes[0], OriginalMaxAttempts: 9,
			InFlightEndpoint: ep, InFlightSince: r.now - second/10, InFlightCall: call}
	}
	r.next = 100
	r.step(out(1, 0, 7, 1), out(2, 0, 7, 1), out(3, 1, 8, 2), out(4, 1, 55, 3), r.message(0, 0), r.message(0, 1))
	if len(r.sends) != 0 || r.p.callsInFlight != 3 {
		t.Fatalf("%d calls held to be out, sent %v", r.p.callsInFlight, r.sends)
	}
	r.step(Event{Kind: EvOutcome, Message: 1, Endpoint: 7, Outcome: Delivered, Final: true, Duration: second / 10})
	if len(r.sends) != 0 {
		t.Fatalf("sent %v while the call is out for another message", r.sends)
	}
	r.step(Event{Kind: EvOutcome, Message: 2, Endpoint: 7, Outcome: Errored, Duration: second / 10})
	if len(r.sends) != 1 || r.p.callsInFlight != 3 {
		t.Fatalf("one slot is free: sent %v, %d out", r.sends, r.p.callsInFlight)
	}
	r.step(Event{Kind: EvOutcome, Message: 4, Endpoint: 55, Outcome: Delivered, Final: true, Duration: second / 10})
	r.step(Event{Kind: EvOutcome, Message: 3, Endpoint: 8, Outcome: Delivered, Final: true, Duration: second / 10})
	for _, id := range []uint32{1, 3, 4} {
		if r.p.messages[id] != nil {
			t.Errorf("message %d is delivered and still known", id)
		}
	}
}

// TestSuspicionOutlastsTheProcess: one failure, too few for a verdict, is kept for the next process, which holds it to
// be an outage unless it is older than what is learned of a quiet destination; a success ends it.
func TestSuspicionOutlastsTheProcess(t *testing.T) {
	s := one()
	s.Relays = 300
	for _, c := range []struct {
		name    string
		success bool
		age     Time
		kept    bool
		sick    bool
	}{
		{"one failure", false, second, true, true},
		{"one failure, long ago", false, 2 * minIdleRetention, true, false},
		{"a success since", true, second, false, false},
	} {
		old := newRig(t, s, ready(1, 200))
		ep := old.p.endpoints[1]
		old.p.now = old.now
		old.p.recordFailure(ep, old.now, false)
		if ep.ejected {
			t.Fatalf("%s: one failure is an outage", c.name)
		}
		if c.success {
			old.p.now += second / 10
			old.p.recordSuccess(ep, old.p.now)
		}
		outage, kept := old.p.Outage(1)
		if kept != c.kept {
			t.Errorf("%s: kept %v, want %v", c.name, kept, c.kept)
		}
		next := newRig(t, s, ready(1, 200))
		next.now = old.now + c.age
		if kept {
			next.step(Event{Kind: EvSnapshot, Snapshot: &Snapshot{Outages: []OutageSnapshot{outage}}})
		}
		if next.p.endpoints[1].ejected != c.sick {
			t.Errorf("%s: held to be out %v after a restart, want %v", c.name, next.p.endpoints[1].ejected, c.sick)
		}
	}
}
