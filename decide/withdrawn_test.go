package decide

import "testing"

// TestCallsThatWereNotSentAreNoRequests guards against a destination that is throttled though it answers: clients leave
// before the calls with their messages are sent. Such calls say nothing about the destination, and the next message is
// sent at once.
func TestCallsThatWereNotSentAreNoRequests(t *testing.T) {
	for seed := range uint64(20) {
		r := newPolicyRunner(t, defaultSettings(), readyEntry(1, 1000))
		r.policy, _ = New(defaultSettings(), seed)
		r.step(Event{Kind: EvList, List: ListFull, Entries: []Entry{readyEntry(1, 1000)}})
		for n := range 50 {
			r.step(r.messageEvent(0, 0))
			if len(r.sends) != 1 {
				t.Fatalf("seed %d: message %d: got sends %v, want 1", seed, n, r.sends)
			}
			notSent := outcomeEvent(r.sends[0], NotSent)
			notSent.Settled = true
			r.step(Event{Kind: EvWithdraw, Message: r.sends[0].Message}, notSent)
			r.now += second / 100
		}
	}
}
