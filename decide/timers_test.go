package decide

import "testing"

// TestEndedMessagesLeaveNoTimers guards against memory that grows with every message: one that has ended, whether it
// was delivered, shed or withdrawn, leaves no timer behind, and neither does its call.
func TestEndedMessagesLeaveNoTimers(t *testing.T) {
	const timersPerMessage, otherTimers = 4, 20
	for name, end := range map[string]func(*policyRunner, Action) Event{
		"delivered": func(_ *policyRunner, send Action) Event { return outcomeEvent(send, Delivered) },
		"given up": func(r *policyRunner, send Action) Event {
			r.step(Event{Kind: EvWithdraw, Message: send.Message})
			return outcomeEvent(send, TimedOut)
		},
	} {
		s := defaultSettings()
		s.MaxHeld, s.MayCancel = 40, true
		r := newPolicyRunner(t, s, readyEntry(1, 1000))
		for range 3000 {
			r.step(r.messageEvent(0, 0)) // most of them are shed
			for _, send := range r.sends {
				r.step(end(r, send))
			}
			r.now += second / 10000
			held := len(r.policy.unfinished) + r.policy.callsInFlight
			if got := len(r.policy.timers.items); got > timersPerMessage*held+otherTimers {
				t.Fatalf("%s: got %d timers with %d messages and calls", name, got, held)
			}
		}
	}
}
