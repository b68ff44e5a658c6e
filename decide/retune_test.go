package decide

import "testing"

// Guards what is held while the settings change: a message keeps the effect and
// the attempts of its class as they were, a new one gets the new ones, a class
// may come and go, and history, windows, waits and outages stay.
func TestRetune(t *testing.T) {
	before := one()
	before.MaxAttempts = 2
	before.Classes = append(before.Classes, Class{Name: "once", TargetTime: 2 * second, Deadline: 20 * second, Worth: 1, Idempotency: NonIdempotent})
	r := newRig(t, before, ready(7, 1000), Entry{Endpoint: 8, Dest: 1, State: Ready, Rate: 1000})
	r.step(r.message(1, 0), r.message(0, 0))
	var out []Action
	for range 40 { // the window starts at one
		for _, a := range r.sends {
			if out = append(out, a); a.Message == 2 {
				r.step(answer(a, Delivered))
			}
		}
		r.now += second / 10
		r.step(Event{Kind: EvTimer})
	}
	if len(out) == 0 || out[0].Message != 1 {
		t.Fatalf("sent %v", out)
	}
	req, acc := r.p.destination(0).limiters[0].history.totals(r.now)
	window := r.p.destination(0).limiters[0].window

	after := one()
	after.MaxAttempts = 5
	after.Classes = []Class{{Name: "new", TargetTime: second, Deadline: 5 * second, Worth: 1, Idempotency: NonIdempotent},
		{Name: "once", TargetTime: 2 * second, Deadline: 20 * second, Worth: 1, Idempotency: Idempotent}}
	wrong := after
	wrong.Slots = 0
	r.step(Event{Kind: EvSettings, Settings: &wrong})
	if r.p.settings.MaxAttempts != 2 {
		t.Fatal("settings that cannot be were taken")
	}
	r.step(Event{Kind: EvSettings, Settings: &after})
	if q, a := r.p.destination(0).limiters[0].history.totals(r.now); q != req || a != acc || r.p.destination(0).limiters[0].window != window {
		t.Errorf("history %v %v and window %v became %v %v and %v", req, acc, window, q, a, r.p.destination(0).limiters[0].window)
	}
	// The unsafe message has run, as far as anybody knows.
	if acts := r.step(answer(out[0], Errored)); count(acts, ActFail) != 1 || count(acts, ActSend) != 0 {
		t.Errorf("an unsafe message under settings that call its class safe: %v", acts)
	}
	// A new one of that class may run again. A refusal at the other destination tells a wait.
	r.now += second
	m := Event{Kind: EvMessage, Message: 50, Class: 1, Dest: 1, TimeLeft: 20 * second}
	if r.step(m); len(r.sends) != 1 {
		t.Fatalf("sends %v", r.sends)
	}
	full := answer(r.sends[0], Rejected)
	full.RetryAfter = 3 * second
	r.step(full)
	again := one()
	r.step(Event{Kind: EvSettings, Settings: &again})
	for until := r.now + 3*second; r.now < until-second/10; r.now += second / 10 {
		if r.step(Event{Kind: EvTimer}); len(r.sends) != 0 {
			t.Fatalf("sent %v before the wait was over", r.sends)
		}
	}
	sent := 0
	for end := r.now + 10*second; r.now < end; r.now += second / 20 {
		r.step(Event{Kind: EvTimer})
		for len(r.sends) > 0 {
			a := r.sends[0]
			a.Attempt = 1 + sent
			sent++
			r.step(answer(a, NotSent)) // tells nothing of the destination
		}
	}
	if sent != 4 {
		t.Errorf("%d further attempts; the message was taken on with 5 in all, and safe", sent)
	}
}

// Guards a message from an earlier process: its own rules bind, not those of
// the class that stands at its place now.
func TestResumeUnderItsOwnRules(t *testing.T) {
	r := newRig(t, one(), ready(7, 1000))
	rules := &Class{Name: "gone", TargetTime: second, Deadline: 9 * second, Worth: 1, Idempotency: NonIdempotent}
	acts := r.step(Event{Kind: EvMessage, Message: 1, TimeLeft: 5 * second, Attempts: 1, MayHaveRunAt: r.now - second, OriginalClass: rules, OriginalMaxAttempts: 6},
		Event{Kind: EvMessage, Message: 2, TimeLeft: 5 * second, Attempts: 2, OriginalClass: rules, OriginalMaxAttempts: 2},
		Event{Kind: EvMessage, Message: 3, TimeLeft: 5 * second, Attempts: 1, OriginalClass: rules, OriginalMaxAttempts: 2})
	if count(acts, ActFail) != 1 || count(acts, ActRefuse) != 1 || len(r.sends) != 1 || r.sends[0].Message != 3 {
		t.Errorf("actions %v", acts)
	}
}
