package decide

import "testing"

// TestSecondOutage: an endpoint that has been through a ramp is held to be out by as many failures in a row as one
// that never was, and while it sends now and then in between.
func TestSecondOutage(t *testing.T) {
	failures := func(again bool) int {
		r := newRig(t, one(), ready(1, 1000))
		ep := r.p.endpoints[1]
		var out []Action
		tries := map[uint32]int{}
		step := func(events ...Event) {
			r.step(events...)
			out = append(out, r.sends...)
		}
		call := func(o Outcome) {
			t.Helper()
			for n := 0; len(out) == 0; n++ {
				if n > 400 {
					t.Fatal("no call")
				}
				step(r.message(0, 0))
				r.now += second / 10
			}
			e := answer(out[0], o)
			e.Attempt = tries[e.Message]
			tries[e.Message]++
			out = out[1:]
			r.now += second / 100
			step(e)
			r.now += second / 2
			step(Event{Kind: EvTimer})
		}
		call(Delivered)
		if again {
			for n := 0; !ep.ejected; n++ {
				if n > 20 {
					t.Fatal("never held to be out")
				}
				call(Errored)
			}
			call(Delivered)
			for n := 0; ep.ejected; n++ {
				if n > 400 {
					t.Fatal("never well again")
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
		t.Errorf("%d failures tell the first outage, %d the second", first, second)
	}
}
