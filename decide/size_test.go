package decide

import "testing"

const mostListed = 1024 // relays, and endpoints, that a deployment may have

// many lists as many endpoints as there may be, over so many destinations.
func many(t testing.TB, dests int, apart bool) (*Policy, *Settings) {
	t.Helper()
	s := one()
	s.Relays, s.MaxHeld, s.Slots = mostListed, 2*mostListed, mostListed
	s.Kinds = []DestKind{{MaxBatch: 1, SeparateLimits: apart}}
	p, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	e := Event{Kind: EvList, List: ListFull}
	for i := range mostListed {
		e.Entries = append(e.Entries, Entry{Endpoint: Endpoint(i + 1), Dest: i % dests, State: Ready, Rate: mostListed * mostListed})
	}
	p.Step(1000*second, []Event{e}, nil)
	return p, &s
}

// TestLargestFleet: whether they are one destination's or each its own, as many endpoints as there may be
// all get their messages, and what has left the list gets none.
func TestLargestFleet(t *testing.T) {
	for _, c := range []struct {
		name  string
		dests int
		apart bool
	}{{"one destination", 1, false}, {"one destination, routes apart", 1, true}, {"each its own", mostListed, false}} {
		p, s := many(t, c.dests, c.apart)
		gone := map[Endpoint]bool{}
		e := Event{Kind: EvList, List: ListDelta}
		for i := c.dests / 2; i < c.dests; i += 2 {
			if c.dests > 1 {
				gone[Endpoint(i+1)] = true
				e.Entries = append(e.Entries, Entry{Endpoint: Endpoint(i + 1), Dest: i, State: Removed})
			}
		}
		now := 1001 * second
		p.Step(now, []Event{e}, nil)
		sent, used := 0, map[Endpoint]bool{}
		var events []Event
		for step := range 400 {
			for i := range 16 {
				n := 16*step + i
				if n < mostListed {
					events = append(events, Event{Kind: EvMessage, Message: uint32(n + 1), Dest: n % c.dests, TimeLeft: s.Classes[0].Deadline})
				}
			}
			acts := p.Step(now, events, nil)
			events = nil
			for _, a := range acts {
				if a.Kind == ActSend {
					events = append(events, answer(a, Delivered))
					if gone[a.Endpoint] {
						t.Errorf("%s: endpoint %d is gone and was sent to", c.name, a.Endpoint)
					}
					sent++
					used[a.Endpoint] = true
				}
			}
			now += second / 40
		}
		if want := mostListed - len(gone); sent < want {
			t.Errorf("%s: %d of %d messages sent", c.name, sent, want)
		}
		if len(used) < min(c.dests, mostListed-len(gone)) {
			t.Errorf("%s: %d endpoints used", c.name, len(used))
		}
	}
}

func BenchmarkManyEndpoints(b *testing.B) {
	p, s := many(b, 1, false)
	now := 1001 * second
	for n := uint32(1); b.Loop(); n++ {
		acts := p.Step(now, []Event{{Kind: EvMessage, Message: n, TimeLeft: s.Classes[0].Deadline}}, nil)
		var events []Event
		for _, a := range acts {
			if a.Kind == ActSend {
				events = append(events, answer(a, Delivered))
			}
		}
		p.Step(now+second/1000, events, nil)
		now += second
	}
}
