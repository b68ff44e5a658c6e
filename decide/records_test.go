package decide

import (
	"slices"
	"testing"
)

// While attempts cannot be recorded, only what a kill cannot turn into a second effect goes out; the rest
// waits, without losing attempts, and goes out as soon as they can be recorded again.
func TestAttemptsThatCannotBeRecorded(t *testing.T) {
	s := one()
	s.Classes = []Class{
		{Name: "safe", Idempotency: Idempotent},
		{Name: "unsafe", Idempotency: NonIdempotent},
		{Name: "keyed, over before its window is", Idempotency: Deduplicated, DedupWindow: 20 * second},
		{Name: "keyed, over after its window", Idempotency: Deduplicated, DedupWindow: 20*second - 1},
		{Name: "keyed within a zone", Idempotency: Deduplicated, DedupWindow: 20 * second, DedupByZone: true},
	}
	for i := range s.Classes {
		s.Classes[i].TargetTime, s.Classes[i].Deadline, s.Classes[i].Worth = 2*second, 20*second, 1
	}
	var entries []Entry
	for class := range s.Classes {
		e := ready(Endpoint(class+1), 1000)
		e.Dest = class
		entries = append(entries, e)
	}
	r := newRig(t, s, entries...)
	r.step(Event{Kind: EvRecording, CannotRecord: true})
	var events []Event
	for class := range s.Classes {
		events = append(events, r.message(class, class))
	}
	sent := func() []Endpoint {
		var to []Endpoint
		for _, a := range r.sends {
			to = append(to, a.Endpoint)
		}
		slices.Sort(to)
		return to
	}
	if r.step(events...); !slices.Equal(sent(), []Endpoint{1, 3}) {
		t.Fatalf("sent to %v while nothing can be recorded", sent())
	}
	for range 20 {
		r.now += second / 10
		if r.step(Event{Kind: EvTimer}); len(r.sends) > 0 {
			t.Fatalf("then sent to %v", sent())
		}
	}
	r.step(Event{Kind: EvRecording})
	if !slices.Equal(sent(), []Endpoint{2, 4, 5}) {
		t.Fatalf("sent to %v once attempts can be recorded", sent())
	}
	for _, a := range r.sends {
		if a.Attempt != 0 && r.p.messages[a.Message].attempts != 1 {
			t.Errorf("message %d has used %d attempts", a.Message, r.p.messages[a.Message].attempts)
		}
	}
}
