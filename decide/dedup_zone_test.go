package decide

import "testing"

// zoneEntry returns the list entry of a ready endpoint of destination 0 in a zone.
func zoneEntry(id Endpoint, zone int) Entry {
	return Entry{Endpoint: id, Zone: zone, State: Ready, Rate: 1000}
}

// zoneDedupSettings returns settings with one class, which the destinations deduplicate by zone.
func zoneDedupSettings() Settings {
	s := defaultSettings()
	s.Classes = []Class{{Name: "count", Idempotency: Deduplicated, DedupByZone: true, DedupWindow: 20 * second,
		TargetTime: 2 * second, Deadline: 20 * second, Worth: 1}}
	return s
}

// TestZoneOfAttemptIsThatOfItsSend guards against a second effect in another zone: the list moves an endpoint to
// another zone, or removes it, while its call is in flight. The message may have run in the zone in which the endpoint
// was when the call was sent.
func TestZoneOfAttemptIsThatOfItsSend(t *testing.T) {
	for name, change := range map[string][]Entry{
		"moved":    {zoneEntry(1, 0), zoneEntry(2, 1), zoneEntry(3, 0)},
		"replaced": {zoneEntry(2, 1), zoneEntry(3, 0)},
	} {
		r := newPolicyRunner(t, zoneDedupSettings(), zoneEntry(1, 1))
		r.step(r.messageEvent(0, 0))
		if len(r.sends) != 1 {
			t.Fatalf("%s: got sends %v, want 1", name, r.sends)
		}
		sent := r.sends[0]
		r.step(Event{Kind: EvList, List: ListFull, Entries: change})
		r.step(outcomeEvent(sent, Errored))
		expectSendsTo(t, r, name, 2)
	}
}

// TestZoneOfInheritedCall guards against a second effect in another zone: the endpoint of a call that another process
// has in flight is not listed any more, or is listed in another zone.
func TestZoneOfInheritedCall(t *testing.T) {
	for name, endpoint := range map[string]Endpoint{"not listed": 55, "listed in another zone": 3} {
		s := zoneDedupSettings()
		r := newPolicyRunner(t, s, zoneEntry(2, 1), zoneEntry(3, 0))
		r.step(Event{Kind: EvMessage, Message: 1, TimeLeft: 10 * second, Attempts: 1, OriginalClass: &s.Classes[0],
			OriginalMaxAttempts: 9, InFlightEndpoint: endpoint, InFlightZone: 1, InFlightSince: r.now - second/10,
			InFlightCall: 1})
		r.step(Event{Kind: EvOutcome, Message: 1, Endpoint: endpoint, Outcome: TimedOut, Elapsed: second})
		expectSendsTo(t, r, name, 2)
	}
}

// expectSendsTo steps for two seconds and expects sends, all of them to one endpoint.
func expectSendsTo(t *testing.T, r *policyRunner, name string, want Endpoint) {
	t.Helper()
	sends := 0
	for range 20 {
		for _, send := range r.sends {
			if sends++; send.Endpoint != want {
				t.Errorf("%s: got a send to endpoint %d, want none but to %d", name, send.Endpoint, want)
			}
		}
		r.now += second / 10
		r.step(Event{Kind: EvTimer})
	}
	if sends == 0 {
		t.Errorf("%s: got no send, want one to endpoint %d", name, want)
	}
}
