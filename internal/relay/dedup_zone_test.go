package relay

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"troutusher/decide"
)

// zoneKeyedClass returns test settings in which the class "keyed" is deduplicated by zone.
func zoneKeyedClass(text string) string {
	return strings.Replace(text, `"group":"all","late_worth":0.3,"name":"keyed"`,
		`"group":"zone","late_worth":0.3,"name":"keyed"`, 1)
}

// TestUpgradeKeepsDedupZone guards against a second effect in another zone: a call is in flight in the predecessor
// while its endpoint is replaced and the relay is upgraded. However the call ends, the message is sent again only to
// the zone of that endpoint.
func TestUpgradeKeepsDedupZone(t *testing.T) {
	for name, endCall := range map[string]func(*child, *responseGate){
		"the endpoint responds with an error": func(_ *child, gate *responseGate) { close(gate.open) },
		"the predecessor is killed":           func(predecessor *child, _ *responseGate) { predecessor.kill() },
	} {
		t.Run(name, func(t *testing.T) {
			gate := newResponseGate()
			replaced := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
				gate.respond(w, r, n)
				w.WriteHeader(http.StatusInternalServerError)
			})
			sameZone, otherZone := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
			member := replaced.member("s-replaced", 1)
			member.Locality = "b"
			discovery := newFakeDiscovery(t, member)
			relay := newReplaceableRelay(t, discovery)
			rewrite(t, relay.env, zoneKeyedClass)
			predecessor := relay.startProcess(t)
			client := dialClient(t, relay.env["ROUTER_LISTEN"])
			if got := client.put("m", putFields("keyed", 20000, 1), nil); got != "+OK" {
				t.Fatal(got)
			}
			waitFor(t, "the call", func() bool { return gate.arrived.Load() == 1 })

			replacement := sameZone.member("s-same-zone", 1)
			replacement.Locality = "b"
			members := []Member{replacement, otherZone.member("s-other-zone", 1)}
			discovery.update(func(d *fakeDiscovery) { d.list = List{Revision: 2, Complete: true, Members: members} })
			line, err := json.Marshal(discovery.list)
			if err != nil {
				t.Fatal(err)
			}
			discovery.sendLine(t, string(line))
			relay.startProcess(t)
			endCall(predecessor, gate)
			waitFor(t, "a second call", func() bool { return sameZone.callCount("m")+otherZone.callCount("m") > 0 })
			if n := otherZone.callCount("m"); n != 0 {
				t.Errorf("calls to another zone: got %d, want 0", n)
			}
		})
	}
}

// TestReloadKeepsZoneNumbers guards against a second effect in another zone: new settings list the zones in another
// order, and one more, while a message waits that may have run. The policy knows each zone by the number that it had
// before, this relay's own zone included.
func TestReloadKeepsZoneNumbers(t *testing.T) {
	relay := newTestRelay(t)
	relay.clients = newClients(relay.cfg, relay.clock, relay.log, nil, nil)
	text := `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"x","seed":"1","settings":` +
		testSettings + `}`
	text = strings.Replace(text, `"localities":["a","b"]`, `"localities":["c","b","a"]`, 1)
	text = strings.Replace(text, `"zone":0`, `"zone":2`, 1) // "a", as before
	cfg, err := parseConfig([]byte(text), func(string) string { return "" }, true)
	if err != nil {
		t.Fatal(err)
	}
	relay.discoveryAddr = cfg.DiscoveryAddr
	relay.applyConfig(cfg)
	for name, want := range map[string]int{"a": 0, "b": 1, "c": 2} {
		if got := relay.cfg.zones[name]; got != want {
			t.Errorf("zone %s: got number %d, want %d", name, got, want)
		}
	}
	if got := relay.cfg.Policy.Zone; got != 0 {
		t.Errorf("zone of this relay: got number %d, want 0", got)
	}
}

// TestUnnamedZonesDiffer guards against a second effect in another zone: endpoints are in localities that the settings do
// not name. Each of these is a zone of its own, and keeps its number when new settings name it.
func TestUnnamedZonesDiffer(t *testing.T) {
	relay := newTestRelay(t)
	relay.receiveList(t, &List{Complete: true, Members: []Member{
		{ID: "s-1", HostPort: "127.0.0.1:1", Locality: "x", Flavor: "k", Cell: 7, Phase: phaseUp},
		{ID: "s-2", HostPort: "127.0.0.1:2", Locality: "y", Flavor: "k", Cell: 7, Phase: phaseUp},
		{ID: "s-3", HostPort: "127.0.0.1:3", Locality: "x", Flavor: "k", Cell: 7, Phase: phaseUp}}})
	entries := relay.Endpoints(7, nil)
	if len(entries) != 3 || entries[0].Zone == entries[1].Zone || entries[0].Zone != entries[2].Zone {
		t.Fatalf("got entries %+v, want the first and third in one zone and the second in another", entries)
	}
	if got := relay.loggedZone("y", 0); got != entries[1].Zone {
		t.Errorf("zone of a logged attempt: got number %d, want %d", got, entries[1].Zone)
	}
	cfg := *relay.cfg
	cfg.zones = map[string]int{"y": 0, "a": 1}
	cfg.keepZoneNumbers(relay.cfg)
	if got := cfg.zones["y"]; got != entries[1].Zone {
		t.Errorf("after new settings: got number %d, want %d", got, entries[1].Zone)
	}
}

// TestCallIsNotSentToMovedEndpoint guards against a second effect in another zone: the list moves an endpoint to
// another zone between the decision to call it and the start of the call.
func TestCallIsNotSentToMovedEndpoint(t *testing.T) {
	relay := newTestRelay(t)
	relay.wal, relay.ctx = &wal{queue: newMailbox[walOp]()}, t.Context()
	member := Member{ID: "s-1", HostPort: "127.0.0.1:1", Locality: "a", Flavor: "k", Cell: 1, Phase: phaseUp, Size: 1}
	relay.receiveList(t, &List{Complete: true, Members: []Member{member}})
	msg := relay.newMessage(&record{ID: "m", Dest: 1, Rules: &relay.cfg.Policy.Classes[0]})
	msg.acknowledged = true
	relay.performAction(relay.now(), &decide.Action{Kind: decide.ActSend, Message: msg.num,
		Endpoint: relay.endpointByID("s-1").num, TimeoutAt: relay.now() + decide.Time(1e6)})
	member.Locality = "b"
	relay.receiveList(t, &List{Revision: 2, Members: []Member{member}})
	relay.startCall(msg.pendingCall)
	events := relay.inbox.takeAll(nil)
	if len(events) != 1 || events[0].unsent != msg || relay.callsInFlight != 0 {
		t.Errorf("got %d events and %d calls in flight, want the event that the attempt was not sent, and no call",
			len(events), relay.callsInFlight)
	}
}
