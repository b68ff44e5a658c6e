package decide

import "testing"

const maxListed = 1024 // relays of the largest deployment, and also its endpoints

// newLargeFleet returns a policy with maxListed endpoints, divided among the given number of destinations.
func newLargeFleet(t testing.TB, destinations int, separateLimits bool) (*Policy, *Settings) {
	t.Helper()
	s := defaultSettings()
	s.Relays, s.MaxHeld, s.Slots = maxListed, 2*maxListed, maxListed
	s.Kinds = []DestKind{{MaxBatch: 1, SeparateLimits: separateLimits}}
	p, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	e := Event{Kind: EvList, List: ListFull}
	for i := range maxListed {
		e.Entries = append(e.Entries, Entry{Endpoint: Endpoint(i + 1), Dest: i % destinations, State: Ready,
			Rate: maxListed * maxListed})
	}
	p.Step(1000*second, []Event{e}, nil)
	return p, &s
}

// TestLargestFleet checks that with the highest number of endpoints, of one destination or of one each, all messages
// are sent, and none to an endpoint that has been removed from the list.
func TestLargestFleet(t *testing.T) {
	for _, c := range []struct {
		name           string
		destinations   int
		separateLimits bool
	}{{"one destination", 1, false}, {"one destination with separate limits", 1, true},
		{"a destination for each endpoint", maxListed, false}} {
		p, s := newLargeFleet(t, c.destinations, c.separateLimits)
		removed := map[Endpoint]bool{}
		e := Event{Kind: EvList, List: ListDelta}
		for i := c.destinations / 2; i < c.destinations; i += 2 {
			if c.destinations > 1 {
				removed[Endpoint(i+1)] = true
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
				if n < maxListed {
					events = append(events, Event{Kind: EvMessage, Message: uint32(n + 1), Dest: n % c.destinations,
						TimeLeft: s.Classes[0].Deadline})
				}
			}
			actions := p.Step(now, events, nil)
			events = nil
			for _, a := range actions {
				if a.Kind == ActSend {
					events = append(events, outcomeEvent(a, Delivered))
					if removed[a.Endpoint] {
						t.Errorf("%s: message sent to the removed endpoint %d", c.name, a.Endpoint)
					}
					sent++
					used[a.Endpoint] = true
				}
			}
			now += second / 40
		}
		if want := maxListed - len(removed); sent < want {
			t.Errorf("%s: got %d messages sent, want at least %d", c.name, sent, want)
		}
		if len(used) < min(c.destinations, maxListed-len(removed)) {
			t.Errorf("%s: got %d endpoints used, want one or more for each remaining destination", c.name, len(used))
		}
	}
}

// BenchmarkManyEndpoints measures the cost of a message and its outcome at one destination with maxListed endpoints.
func BenchmarkManyEndpoints(b *testing.B) {
	p, s := newLargeFleet(b, 1, false)
	now := 1001 * second
	for n := uint32(1); b.Loop(); n++ {
		actions := p.Step(now, []Event{{Kind: EvMessage, Message: n, TimeLeft: s.Classes[0].Deadline}}, nil)
		var events []Event
		for _, a := range actions {
			if a.Kind == ActSend {
				events = append(events, outcomeEvent(a, Delivered))
			}
		}
		p.Step(now+second/1000, events, nil)
		now += second
	}
}
