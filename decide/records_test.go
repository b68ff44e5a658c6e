package decide

import (
	"slices"
	"testing"
)

// TestAttemptsThatCannotBeRecorded checks that while attempts cannot be recorded, a message is sent only if a kill of
// the process could not make it take effect twice. The others wait without using up attempts, and are sent as soon as
// attempts can be recorded again.
func TestAttemptsThatCannotBeRecorded(t *testing.T) {
	s := defaultSettings()
	s.Classes = []Class{
		{Name: "idempotent", Idempotency: Idempotent},
		{Name: "non-idempotent", Idempotency: NonIdempotent},
		{Name: "deduplicated, deadline within the window", Idempotency: Deduplicated, DedupWindow: 20 * second},
		{Name: "deduplicated, deadline after the window", Idempotency: Deduplicated, DedupWindow: 20*second - 1},
		{Name: "deduplicated by zone", Idempotency: Deduplicated, DedupWindow: 20 * second, DedupByZone: true},
	}
	for i := range s.Classes {
		s.Classes[i].TargetTime, s.Classes[i].Deadline, s.Classes[i].Worth = 2*second, 20*second, 1
	}
	var entries []Entry
	for class := range s.Classes {
		e := readyEntry(Endpoint(class+1), 1000)
		e.Dest = class
		entries = append(entries, e)
	}
	r := newPolicyRunner(t, s, entries...)
	r.step(Event{Kind: EvRecording, CannotRecord: true})
	var events []Event
	for class := range s.Classes {
		events = append(events, r.messageEvent(class, class))
	}
	sentTo := func() []Endpoint {
		var to []Endpoint
		for _, a := range r.sends {
			to = append(to, a.Endpoint)
		}
		slices.Sort(to)
		return to
	}
	if r.step(events...); !slices.Equal(sentTo(), []Endpoint{1, 3}) {
		t.Fatalf("sent to endpoints %v while attempts cannot be recorded, want 1 and 3", sentTo())
	}
	for range 20 {
		r.now += second / 10
		if r.step(Event{Kind: EvTimer}); len(r.sends) > 0 {
			t.Fatalf("sent to endpoints %v in the next 2 s, want none", sentTo())
		}
	}
	r.step(Event{Kind: EvRecording})
	if !slices.Equal(sentTo(), []Endpoint{2, 4, 5}) {
		t.Fatalf("sent to endpoints %v once attempts can be recorded, want 2, 4 and 5", sentTo())
	}
	for _, a := range r.sends {
		if r.policy.messages[a.Message].attempts != 1 {
			t.Errorf("message %d has used %d attempts, want 1", a.Message, r.policy.messages[a.Message].attempts)
		}
	}
}
