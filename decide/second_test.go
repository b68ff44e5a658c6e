package decide

import "testing"

// TestSecondOutage checks that an endpoint which has been through an outage and a ramp is ejected by as many failures
// in a row as one that has not, with pauses between the calls.
func TestSecondOutage(t *testing.T) {
	failures := func(recovered bool) int {
		r := newPolicyRunner(t, defaultSettings(), readyEntry(1, 1000))
		ep := r.policy.endpoints[1]
		var sends []Action
		attempts := map[uint32]int{}
		step := func(events ...Event) {
			r.step(events...)
			sends = append(sends, r.sends...)
		}
		call := func(o Outcome) {
			t.Helper()
			for n := 0; len(sends) == 0; n++ {
				if n > 400 {
					t.Fatal("no call within 40 s")
				}
				step(r.messageEvent(0, 0))
				r.now += second / 10
			}
			e := outcomeEvent(sends[0], o)
			e.Attempt = attempts[e.Message]
			attempts[e.Message]++
			sends = sends[1:]
			r.now += second / 100
			step(e)
			r.now += second / 2
			step(Event{Kind: EvTimer})
		}
		call(Delivered)
		if recovered {
			for n := 0; !ep.ejected; n++ {
				if n > 20 {
					t.Fatal("endpoint not ejected after 20 failures")
				}
				call(Errored)
			}
			call(Delivered)
			for n := 0; ep.ejected; n++ {
				if n > 400 {
					t.Fatal("endpoint still ejected after 400 successes")
				}
				call(Delivered)
			}
		}
		for n := 1; n <= 20; n++ {
			if call(Errored); ep.ejected {
				return n
			}
		}
		return 21
	}
	if first, second := failures(false), failures(true); first != second {
		t.Errorf("got an ejection after %d failures in the first outage and %d in the second, want the same number",
			first, second)
	}
}
