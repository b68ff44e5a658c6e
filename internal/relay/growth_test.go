package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
	"troutusher/internal/membership"
)

// newTestRelay returns a relay without sockets, whose event loop does not run. The test advances its clock.
func newTestRelay(t testing.TB) *Relay {
	t.Helper()
	cfg := parseTestConfig(t)
	policy, err := decide.New(cfg.Policy, 1)
	if err != nil {
		t.Fatal(err)
	}
	manualClock := clock.NewManual(clock.Read(clock.System()))
	relay := &Relay{cfg: cfg, log: discardLogger(), policy: policy, inbox: newMailbox[event](), clock: manualClock,
		epoch:    policyEpoch,
		messages: map[uint32]*message{}, messagesByID: map[string]*message{}, unanswered: map[*putRequest]*message{},
		endpoints: map[decide.Endpoint]*endpoint{}, directory: membership.NewDirectory(0),
		pool: newPool(manualClock, time.Second, time.Second, 8)}
	policy.UseDirectory(relay)
	return relay
}

// receiveList passes a full list or a delta to the relay the way the discovery client does, and applies it.
func (r *Relay) receiveList(t *testing.T, list *List) {
	t.Helper()
	receiver, err := r.beginList(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for i := range list.Members {
		if err := receiver.Entry(list.Members[i].Entry(), true); err != nil {
			t.Fatal(err)
		}
	}
	receiver.End(list.Revision, list.Complete)
	for _, ev := range r.inbox.takeAll(nil) {
		r.handleEvent(ev)
	}
	r.applyAllChanges()
}

// endpointByID returns the loop's endpoint with the given id, or nil if the directory does not have it.
func (r *Relay) endpointByID(id string) *endpoint {
	entry, _ := r.directory.Find(id)
	return r.endpoint(decide.Endpoint(entry.Number))
}

// TestReplacedEndpointsAreForgotten: memory use stays bounded while endpoints are replaced by endpoints with new ids,
// also at the address of a removed one. Removed endpoints are forgotten, and a new id inherits nothing at such an
// address. An endpoint that asked for a wait is kept after its removal until the wait is over.
func TestReplacedEndpointsAreForgotten(t *testing.T) {
	relay := newTestRelay(t)
	newMember := func(i int) Member {
		return Member{ID: fmt.Sprintf("s-%d", i), HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+i%3), Cell: i % 3,
			Phase: phaseUp, Size: 5}
	}
	relay.receiveList(t, &List{Complete: true, Members: []Member{newMember(0), newMember(1), newMember(2)}})
	relay.step()
	waiting := relay.endpointByID("s-1")
	waiting.waitUntil = relay.now() + decide.Time(1800e6)
	maxEndpoints, sizeBefore := 0, relay.directory.Size()
	for i := 3; i < 3000; i++ {
		previous := relay.endpointByID(newMember(i - 3).ID)
		removed := newMember(i - 3)
		removed.Phase = phaseRemoved
		relay.receiveList(t, &List{Members: []Member{removed, newMember(i)}})
		relay.step()
		replacement := relay.endpointByID(newMember(i).ID)
		if replacement.conns == previous.conns || replacement.num == previous.num || !previous.conns.closed {
			t.Fatalf("%s inherits the state of %s", replacement.id, previous.id)
		}
		relay.clock.(*clock.Manual).Advance(time.Second)
		maxEndpoints = max(maxEndpoints, len(relay.endpoints))
	}
	if listed, _ := relay.directory.Len(); maxEndpoints > 20 || listed != 3 ||
		relay.directory.Size() > sizeBefore+16<<10 {
		t.Errorf("got %d endpoints kept, %d listed and %d bytes, want at most 20, 3 and 16 KiB more than at first",
			maxEndpoints, listed, relay.directory.Size())
	}
	for dest := range 6 {
		if relay.directory.Knows(dest) != (dest < 3) {
			t.Errorf("destination %d known: got %v", dest, dest >= 3)
		}
	}
	if relay.endpointByID("s-1") != nil || relay.endpoints[waiting.num] != nil {
		t.Error("a removed endpoint is kept after its wait is over")
	}
}

// TestUnknownDestinations: messages for destinations that do not exist are refused. They would be held in vain, and the
// policy would keep their destinations for ever. A destination whose endpoints are all removed is still known. Before
// the first list, messages for any destination are held.
func TestUnknownDestinations(t *testing.T) {
	relay := newTestRelay(t)
	put := func(id string, dest int) string {
		request := &putRequest{record: &record{ID: id, Class: "plain", Dest: dest,
			Deadline: relay.clock.Now().Add(time.Minute)}, reply: make(chan string, 1)}
		relay.admit(request)
		select {
		case reply := <-request.reply:
			return reply
		default:
			return "held"
		}
	}
	if reply := put("early", 5); reply != "held" {
		t.Errorf("reply before any list: got %q, want the message held", reply)
	}
	member := Member{ID: "s-1", HostPort: "127.0.0.1:7000", Cell: 1, Phase: phaseUp, Size: 5}
	relay.receiveList(t, &List{Complete: true, Members: []Member{member}})
	member.Phase = phaseRemoved
	relay.receiveList(t, &List{Members: []Member{member}})
	if reply := put("known", 1); reply != "held" {
		t.Errorf("reply for a destination without endpoints: got %q, want the message held", reply)
	}
	heldBefore := relay.heldCount
	for i := range 1000 {
		if reply := put(fmt.Sprint("m", i), 2+i); !strings.HasPrefix(reply, "-ERR ") {
			t.Fatalf("reply for an unknown destination: got %q, want an error", reply)
		}
	}
	if relay.heldCount != heldBefore || len(relay.messagesByID) != heldBefore {
		t.Errorf("messages held: got %d, want %d", relay.heldCount, heldBefore)
	}
}
