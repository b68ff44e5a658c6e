package relay

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
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
