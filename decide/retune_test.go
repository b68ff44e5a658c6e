package decide

import "testing"

// TestSettingsChange checks what happens to held messages and learned state when the settings change: a held message
// keeps the idempotency and the limit of attempts of its class, a new message gets the new ones, classes may be added
// and removed, and history, windows, waits and outages stay.
func TestSettingsChange(t *testing.T) {
	before := defaultSettings()
	before.MaxAttempts = 2
	before.Classes = append(before.Classes, Class{Name: "once", TargetTime: 2 * second, Deadline: 20 * second,
		Worth: 1, Idempotency: NonIdempotent})
	r := newPolicyRunner(t, before, readyEntry(7, 1000), Entry{Endpoint: 8, Dest: 1, State: Ready, Rate: 1000})
	r.step(r.messageEvent(1, 0), r.messageEvent(0, 0))
	var sends []Action
	for range 40 { // the window starts at one
		for _, a := range r.sends {
			if sends = append(sends, a); a.Message == 2 {
				r.step(outcomeEvent(a, Delivered))
			}
		}
		r.now += second / 10
		r.step(Event{Kind: EvTimer})
	}
	if len(sends) == 0 || sends[0].Message != 1 {
		t.Fatalf("got sends %v, want message 1 first", sends)
	}
	requests, accepts := r.policy.destination(0).limiters[0].history.totals(r.now)
	window := r.policy.destination(0).limiters[0].window

	after := defaultSettings()
	after.MaxAttempts = 5
	after.Classes = []Class{{Name: "new", TargetTime: second, Deadline: 5 * second, Worth: 1,
		Idempotency: NonIdempotent},
		{Name: "once", TargetTime: 2 * second, Deadline: 20 * second, Worth: 1, Idempotency: Idempotent}}
	invalid := after
	invalid.Slots = 0
	r.step(Event{Kind: EvSettings, Settings: &invalid})
	if r.policy.settings.MaxAttempts != 2 {
		t.Fatal("invalid settings were applied")
	}
	r.step(Event{Kind: EvSettings, Settings: &after})
	if newRequests, newAccepts := r.policy.destination(0).limiters[0].history.totals(r.now); newRequests != requests ||
		newAccepts != accepts || r.policy.destination(0).limiters[0].window != window {
		t.Errorf("got history %[4]v %[5]v and window %[6]v after the change, want %[1]v %[2]v and %[3]v", requests,
			accepts, window, newRequests, newAccepts, r.policy.destination(0).limiters[0].window)
	}
	// The non-idempotent message may have run.
	if actions := r.step(outcomeEvent(sends[0], Errored)); countActions(actions, ActFail) != 1 ||
		countActions(actions, ActSend) != 0 {
		t.Errorf("got actions %v for a non-idempotent message whose class is now idempotent, want it given up",
			actions)
	}
	// A new message of that class may run again. A rejection by the other destination asks for a wait.
	r.now += second
	newMessage := Event{Kind: EvMessage, Message: 50, Class: 1, Dest: 1, TimeLeft: 20 * second}
	if r.step(newMessage); len(r.sends) != 1 {
		t.Fatalf("got sends %v of a new message, want 1", r.sends)
	}
	rejection := outcomeEvent(r.sends[0], Rejected)
	rejection.RetryAfter = 3 * second
	r.step(rejection)
	reset := defaultSettings()
	r.step(Event{Kind: EvSettings, Settings: &reset})
	for until := r.now + 3*second; r.now < until-second/10; r.now += second / 10 {
		if r.step(Event{Kind: EvTimer}); len(r.sends) != 0 {
			t.Fatalf("got sends %v before the wait was over, want none", r.sends)
		}
	}
	attempts := 0
	for end := r.now + 10*second; r.now < end; r.now += second / 20 {
		r.step(Event{Kind: EvTimer})
		for len(r.sends) > 0 {
			a := r.sends[0]
			a.Attempt = 1 + attempts
			attempts++
			r.step(outcomeEvent(a, NotSent)) // says nothing about the destination
		}
	}
	if attempts != 4 {
		t.Errorf("got %d further attempts, want 4 of the 5 with which the message was accepted", attempts)
	}
}

// TestInheritedMessageKeepsItsClass checks that a message of a predecessor process keeps the class with which it was
// accepted, whatever the settings now have under the same index.
func TestInheritedMessageKeepsItsClass(t *testing.T) {
	r := newPolicyRunner(t, defaultSettings(), readyEntry(7, 1000))
	class := &Class{Name: "gone", TargetTime: second, Deadline: 9 * second, Worth: 1, Idempotency: NonIdempotent}
	actions := r.step(
		Event{Kind: EvMessage, Message: 1, TimeLeft: 5 * second, Attempts: 1, MayHaveRunAt: r.now - second,
			OriginalClass: class, OriginalMaxAttempts: 6},
		Event{Kind: EvMessage, Message: 2, TimeLeft: 5 * second, Attempts: 2, OriginalClass: class,
			OriginalMaxAttempts: 2},
		Event{Kind: EvMessage, Message: 3, TimeLeft: 5 * second, Attempts: 1, OriginalClass: class,
			OriginalMaxAttempts: 2})
	if countActions(actions, ActFail) != 1 || countActions(actions, ActRefuse) != 1 || len(r.sends) != 1 ||
		r.sends[0].Message != 3 {
		t.Errorf("got actions %v, want message 1 given up, 2 handed back and 3 sent", actions)
	}
}
