package decide

import (
	"slices"
	"testing"
)

// TestInheritedMessages checks that a message which a predecessor process accepted keeps its history: if it may have
// run, it is sent again only as its class allows, and its attempts count towards its limit.
func TestInheritedMessages(t *testing.T) {
	settings := Settings{Relays: 1, Slots: 8, MaxAttempts: 3, Tick: 5000, RatesListed: true, RetryAfter: true,
		StartCapacity: 0.2, RampTime: 10 * second, OverloadFactor: 2, OverloadTime: 3 * second,
		Kinds: []DestKind{{MaxBatch: 1}},
		Classes: []Class{
			{Name: "idempotent", TargetTime: 2 * second, Deadline: 20 * second, Worth: 1, Idempotency: Idempotent},
			{Name: "deduplicated", TargetTime: 2 * second, Deadline: 20 * second, Worth: 1, Idempotency: Deduplicated,
				DedupWindow: 5 * second},
			{Name: "non-idempotent", TargetTime: 2 * second, Deadline: 20 * second, Worth: 1,
				Idempotency: NonIdempotent}}}
	now := 100 * second
	for name, c := range map[string]struct {
		class, attempts        int
		mayHaveRunAt, timeLeft Time
		want                   ActionKind
	}{
		"new": {class: 2, timeLeft: 9 * second, want: ActSend},
		"non-idempotent, may have run": {class: 2, attempts: 1, mayHaveRunAt: now - second, timeLeft: 9 * second,
			want: ActFail},
		"non-idempotent, never ran": {class: 2, attempts: 2, timeLeft: 9 * second, want: ActSend},
		"non-idempotent, never ran, attempts used up": {class: 2, attempts: 3, timeLeft: 9 * second,
			want: ActRefuse},
		"deduplicated, within the window": {class: 1, attempts: 1, mayHaveRunAt: now - 2*second,
			timeLeft: 9 * second, want: ActSend},
		"deduplicated, after the window": {class: 1, attempts: 1, mayHaveRunAt: now - 6*second,
			timeLeft: 9 * second, want: ActFail},
		"idempotent, may have run": {class: 0, attempts: 1, mayHaveRunAt: now - 6*second,
			timeLeft: 9 * second, want: ActSend},
		"after its deadline": {class: 0, attempts: 1, timeLeft: -second,
			want: ActRefuse},
		"non-idempotent, after its deadline, may have run": {class: 2, attempts: 1, mayHaveRunAt: now - 6*second,
			timeLeft: -second, want: ActFail},
		"at its deadline, never tried": {class: 2, timeLeft: 0, want: ActRefuse},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := New(settings, 42)
			if err != nil {
				t.Fatal(err)
			}
			actions := p.Step(now, []Event{
				{Kind: EvList, List: ListFull, Entries: []Entry{{Endpoint: 7, Dest: 1, State: Ready, Rate: 20}}},
				{Kind: EvMessage, Message: 1, Class: c.class, Dest: 1, TimeLeft: c.timeLeft, Attempts: c.attempts,
					MayHaveRunAt: c.mayHaveRunAt},
			}, nil)
			var got []ActionKind
			for _, a := range actions {
				if a.Kind != ActTimer && a.Kind != ActLog {
					got = append(got, a.Kind)
				}
			}
			if len(got) != 1 || got[0] != c.want {
				t.Fatalf("got actions %v, want %v", got, c.want)
			}
			if c.want != ActSend {
				return
			}
			// Attempts are numbered on from those of the predecessor process.
			after := p.Step(now+second/10, []Event{{Kind: EvOutcome, Message: 1, Attempt: c.attempts, Endpoint: 7,
				Outcome: Delivered, Settled: true, Elapsed: second / 10}}, nil)
			for _, a := range after {
				if a.Kind != ActTimer && a.Kind != ActLog {
					t.Errorf("got action %v after the delivery, want none", a.Kind)
				}
			}
		})
	}
}

// TestUntriedInheritedMessagesGoFirst checks that a message which a predecessor process accepted and never tried is
// sent before new ones, although it is late and loses less by waiting, and that it is not shed. After an attempt it
// is treated like any other.
func TestUntriedInheritedMessagesGoFirst(t *testing.T) {
	s := defaultSettings()
	s.MaxHeld = 8
	r := newPolicyRunner(t, s)
	events := []Event{r.messageEvent(0, 0), r.messageEvent(0, 0), r.messageEvent(0, 0), r.messageEvent(0, 0),
		r.messageEvent(0, 0), r.messageEvent(0, 0)}
	for i := range events { // new, and just past their target time: their worth falls
		events[i].TimeLeft = s.Classes[0].Deadline - s.Classes[0].TargetTime - second/10
	}
	events[0].OriginalClass, events[0].TimeLeft = &s.Classes[0], 5*second // untried
	events[1].OriginalClass, events[1].TimeLeft, events[1].Attempts = &s.Classes[0], 5*second, 1
	r.step(events...)
	var ended []uint32
	for range 4 {
		for _, a := range r.step(r.messageEvent(0, 0)) {
			if a.Kind == ActRefuse {
				ended = append(ended, a.Message)
			}
		}
	}
	if len(ended) == 0 || ended[0] != events[1].Message || slices.Contains(ended, events[0].Message) {
		t.Errorf("got messages %v shed, want %d first and never %d", ended, events[1].Message, events[0].Message)
	}
	r.step(Event{Kind: EvList, List: ListFull, Entries: []Entry{readyEntry(1, 1000)}})
	if len(r.sends) == 0 || r.sends[0].Message != events[0].Message {
		t.Errorf("got sends %+v, want message %d first", r.sends, events[0].Message)
	}
}
