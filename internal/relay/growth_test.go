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

// testRelay is a loop without its sockets; its clock is moved by hand.
func testRelay(t testing.TB) *Relay {
	t.Helper()
	cfg := parseTestConfig(t)
	policy, err := decide.New(cfg.Policy, 1)
	if err != nil {
		t.Fatal(err)
	}
	manual := clock.NewManual(clock.Read(clock.System()))
	r := &Relay{cfg: cfg, log: discardLogger(), policy: policy, inbox: newMailbox[event](), clock: manual, epoch: policyEpoch,
		messages: map[uint32]*message{}, messagesByID: map[string]*message{}, unanswered: map[*putRequest]*message{},
		endpoints: map[decide.Endpoint]*endpoint{}, directory: membership.NewDirectory(0),
		pool: newPool(manual, time.Second, time.Second, 8)}
	policy.UseDirectory(r)
	return r
}

// told has the relay take a list that discovery has read.
func (r *Relay) told(t *testing.T, l *List) {
	t.Helper()
	to, err := r.beginList(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for i := range l.Members {
		if err := to.Entry(l.Members[i].Entry(), true); err != nil {
			t.Fatal(err)
		}
	}
	to.End(l.Revision, l.Complete)
	for _, h := range r.inbox.takeAll(nil) {
		r.handleEvent(h)
	}
	r.applyAllChanges()
}

// named gives the loop's endpoint under an id; nil where no list has it.
func (r *Relay) named(id string) *endpoint {
	e, _ := r.directory.Find(id)
	return r.endpoint(decide.Endpoint(e.Number))
}

// Guards the memory on a long day: endpoints come under ever new ids, also at
// the address of one that has gone, and what has gone is forgotten. A new id
// inherits nothing there; one that is told to wait keeps that while it is away.
func TestReplacedEndpointsAreForgotten(t *testing.T) {
	r := testRelay(t)
	up := func(i int) Member {
		return Member{ID: fmt.Sprintf("s-%d", i), HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+i%3), Cell: i % 3, Phase: phaseUp, Size: 5}
	}
	r.told(t, &List{Complete: true, Members: []Member{up(0), up(1), up(2)}})
	r.step()
	waits := r.named("s-1")
	waits.waitUntil = r.now() + decide.Time(1800e6)
	most, size := 0, r.directory.Size()
	for i := 3; i < 3000; i++ {
		old := r.named(up(i - 3).ID)
		leaves := up(i - 3)
		leaves.Phase = phaseRemoved
		r.told(t, &List{Members: []Member{leaves, up(i)}})
		r.step()
		fresh := r.named(up(i).ID)
		if fresh.conns == old.conns || fresh.num == old.num || !old.conns.closed {
			t.Fatalf("%s inherits from %s", fresh.id, old.id)
		}
		r.clock.(*clock.Manual).Advance(time.Second)
		most = max(most, len(r.endpoints))
	}
	if listed, _ := r.directory.Len(); most > 20 || listed != 3 || r.directory.Size() > size+16<<10 {
		t.Errorf("%d endpoints kept, %d listed, %d bytes", most, listed, r.directory.Size())
	}
	for dest := range 6 {
		if r.directory.Knows(dest) != (dest < 3) {
			t.Errorf("destination %d is named: %v", dest, dest >= 3)
		}
	}
	if r.named("s-1") != nil || r.endpoints[waits.num] != nil {
		t.Error("kept though its wait is over")
	}
}

// Guards against destinations that do not exist: each would be held in vain,
// and kept by the policy for good. One whose endpoints have all gone for now
// is known, and where no list was ever heard nothing can be said.
func TestUnknownDestinations(t *testing.T) {
	r := testRelay(t)
	put := func(id string, dest int) string {
		q := &putRequest{record: &record{ID: id, Class: "plain", Dest: dest, Deadline: r.clock.Now().Add(time.Minute)}, reply: make(chan string, 1)}
		r.admit(q)
		select {
		case s := <-q.reply:
			return s
		default:
			return "held"
		}
	}
	if s := put("early", 5); s != "held" {
		t.Errorf("before any list: %q", s)
	}
	m := Member{ID: "s-1", HostPort: "127.0.0.1:7000", Cell: 1, Phase: phaseUp, Size: 5}
	r.told(t, &List{Complete: true, Members: []Member{m}})
	m.Phase = phaseRemoved
	r.told(t, &List{Members: []Member{m}})
	if s := put("known", 1); s != "held" {
		t.Errorf("gone for now: %q", s)
	}
	held := r.heldCount
	for i := range 1000 {
		if s := put(fmt.Sprint("m", i), 2+i); !strings.HasPrefix(s, "-ERR ") {
			t.Fatalf("unknown: %q", s)
		}
	}
	if r.heldCount != held || len(r.messagesByID) != held {
		t.Errorf("%d held, want %d", r.heldCount, held)
	}
}
