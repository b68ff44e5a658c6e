package decide

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
)

// testDirectory is a Directory with the entries of each destination in a map.
type testDirectory map[int][]Entry

func (d testDirectory) Endpoints(dest int, into []Entry) []Entry { return append(into, d[dest]...) }

// changeRandomly makes a random change to the directory and returns the changed entries. lastEndpoint is the highest
// endpoint in use.
func (d testDirectory) changeRandomly(rng *rand.Rand, destinations int, lastEndpoint *Endpoint) (changed []Entry) {
	dest := rng.IntN(destinations)
	if len(d[dest]) == 0 || rng.IntN(4) == 0 {
		*lastEndpoint++
		x := Entry{Endpoint: *lastEndpoint, Dest: dest, Zone: rng.IntN(2), Kind: dest % 2, State: Ready,
			Rate: float64(1 + dest%7)}
		d[dest] = append(d[dest], x)
		return []Entry{x}
	}
	at := rng.IntN(len(d[dest]))
	x := d[dest][at]
	switch x.State = EndpointState(rng.IntN(3)); {
	case x.State == Removed:
		d[dest] = slices.Delete(slices.Clone(d[dest]), at, at+1)
	case rng.IntN(6) == 0: // it moves to another destination
		d[dest] = slices.Delete(slices.Clone(d[dest]), at, at+1)
		x.Dest = (dest + 2) % destinations
		x.Rate = float64(1 + x.Dest%7)
		d[x.Dest] = append(d[x.Dest], x)
	default:
		d[dest] = slices.Clone(d[dest])
		d[dest][at] = x
	}
	return []Entry{x}
}

// runEvictionScenario runs random events on many destinations, most of which are seldom used. It returns the actions
// of the policy, the number of endpoints that it released, and the most endpoints that it held.
func runEvictionScenario(t *testing.T, seed uint64, neverEvict bool) (actions []string, released, maxEndpoints int) {
	t.Helper()
	const destinations = 80
	rng := rand.New(rand.NewPCG(seed, 77))
	s := defaultSettings()
	s.Relays = []int{1, 3, 40, 400}[seed%4]
	s.Kinds = []DestKind{{MaxBatch: 1}, {MaxBatch: 3, SeparateLimits: true}}
	s.Classes = append(s.Classes,
		Class{Name: "non-idempotent", TargetTime: second, Deadline: 15 * second, Worth: 3, Idempotency: NonIdempotent},
		Class{Name: "ordered", TargetTime: second, Deadline: 10 * second, Worth: 2, Idempotency: Deduplicated,
			DedupWindow: 8 * second, InOrder: true})
	p, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	directory, lastEndpoint := testDirectory{}, Endpoint(0)
	for range 2 * destinations {
		directory.changeRandomly(rng, destinations, &lastEndpoint)
	}
	p.UseDirectory(directory)
	p.neverEvict = neverEvict
	now, id := 1000*second, uint32(0)
	failsUntil := map[int]Time{}
	type pendingOutcome struct {
		dueAt Time
		event Event
	}
	var pending []pendingOutcome
	attempts := map[uint32]int{}
	for range 4000 {
		now += Time(rng.IntN(int(second / 5)))
		if rng.IntN(60) == 0 {
			now += Time(rng.IntN(int(50 * second)))
		}
		var events []Event
		pending = slices.DeleteFunc(pending, func(o pendingOutcome) bool {
			if o.dueAt <= now {
				events = append(events, o.event)
			}
			return o.dueAt <= now
		})
		for range rng.IntN(3) {
			id++
			dest := min(rng.IntN(destinations), rng.IntN(destinations), rng.IntN(destinations))
			class := rng.IntN(3)
			events = append(events, Event{Kind: EvMessage, Message: id, Class: class, Dest: dest,
				Key: uint64(1 + rng.IntN(9)), TimeLeft: s.Classes[class].Deadline, Tenant: -1})
		}
		if rng.IntN(10) == 0 {
			events = append(events, Event{Kind: EvList, List: ListDelta,
				Entries: directory.changeRandomly(rng, destinations, &lastEndpoint)})
		}
		if rng.IntN(30) == 0 {
			failsUntil[rng.IntN(destinations)] = now + Time(rng.IntN(int(40*second)))
		}
		if rng.IntN(300) == 0 {
			s.MaxAttempts = 3 + rng.IntN(5)
			changed := s
			events = append(events, Event{Kind: EvSettings, Settings: &changed})
		}
		for _, a := range p.Step(now, events, nil) {
			if a.Kind == ActRelease {
				released++
				continue
			}
			if _, ejected := p.Outage(a.Endpoint); a.Kind == ActOutage && !ejected {
				// The end of an outage is noticed when its destination is next evaluated, so its time may differ.
				continue
			}
			actions = append(actions, fmt.Sprint(now, a))
			if a.Kind == ActCancel {
				continue // the attempt ends as it would have without the cancellation
			}
			if a.Kind != ActSend {
				continue
			}
			e := Event{Kind: EvOutcome, Message: a.Message, Attempt: attempts[a.Message], Endpoint: a.Endpoint,
				Elapsed: second / 10}
			attempts[a.Message]++
			at := now + Time(rng.IntN(int(second/4)))
			dest := -1
			for id, listed := range directory {
				if slices.ContainsFunc(listed, func(x Entry) bool { return x.Endpoint == a.Endpoint }) {
					dest = id
				}
			}
			switch {
			case failsUntil[dest] > now:
				e.Outcome = []Outcome{TimedOut, ConnectFailed, Errored, Reset}[rng.IntN(4)]
			case rng.IntN(12) == 0:
				e.Outcome, e.RetryAfter = Rejected, Time(rng.IntN(int(90*second)))
			case rng.IntN(12) == 0:
				e.Outcome = Rejected
			default:
				e.Outcome, e.Settled = Delivered, true
			}
			pending = append(pending, pendingOutcome{at, e})
		}
		maxEndpoints = max(maxEndpoints, len(p.endpoints))
	}
	return actions, released, maxEndpoints
}

// TestEvictionChangesNoAction checks that the same events lead to the same actions whether expired destinations are
// evicted and created again from the directory, or kept.
func TestEvictionChangesNoAction(t *testing.T) {
	evicted := 0
	// In seed 69 an endpoint with a wait moves to a destination whose state has expired.
	seeds := []uint64{69}
	for seed := range uint64(24) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		keptActions, releasedOfKept, _ := runEvictionScenario(t, seed, true)
		evictedActions, released, _ := runEvictionScenario(t, seed, false)
		evicted += released
		if releasedOfKept != 0 || len(keptActions) < 4000 {
			t.Fatalf("seed %d without eviction: got %d released and %d actions, want 0 and at least 4000", seed,
				releasedOfKept, len(keptActions))
		}
		for i := range keptActions {
			if i >= len(evictedActions) || keptActions[i] != evictedActions[i] {
				t.Fatalf("seed %d: action %d of %d is %s without eviction, %s with it", seed, i, len(keptActions),
					keptActions[i], evictedActions[min(i, len(evictedActions)-1)])
			}
		}
		if len(evictedActions) != len(keptActions) {
			t.Fatalf("seed %d: got %d actions with eviction, %d without", seed, len(evictedActions), len(keptActions))
		}
	}
	t.Logf("%d endpoints evicted", evicted)
	if evicted < 24*100 {
		t.Errorf("got %d endpoints evicted, want 2400 or more", evicted)
	}
}

// uniformDirectory is a Directory of the given number of destinations, each with two endpoints.
type uniformDirectory struct{ destinations int }

func (d uniformDirectory) Endpoints(dest int, into []Entry) []Entry {
	for i := range 2 {
		into = append(into, Entry{Endpoint: Endpoint(2*dest + i + 1), Dest: dest, State: Ready, Rate: 1000})
	}
	return into
}

// TestNoEvictionDuringWaitOrOutage checks that a destination with a wait or an outage is not evicted, however long no
// message arrives for it, and that one which is only idle is.
func TestNoEvictionDuringWaitOrOutage(t *testing.T) {
	s := defaultSettings()
	s.KeepAlive, s.OverloadTime = 0, 900*second // a wait of OverloadTime or more counts as an outage
	p, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	p.UseDirectory(uniformDirectory{10})
	now, id := 1000*second, uint32(0)
	send := func(dest int, ends ...Event) {
		for _, e := range ends {
			id++
			for _, a := range p.Step(now, []Event{{Kind: EvMessage, Message: id, Dest: dest, TimeLeft: 20 * second,
				Tenant: -1}}, nil) {
				if a.Kind == ActSend {
					e.Kind, e.Message, e.Endpoint = EvOutcome, a.Message, a.Endpoint
					p.Step(now+1000, []Event{e, {Kind: EvWithdraw, Message: a.Message}}, nil)
				}
			}
			now += second
		}
	}
	send(1, Event{Outcome: Delivered, Settled: true})
	send(2, Event{Outcome: Rejected, RetryAfter: 500 * second})
	send(3, Event{Outcome: ConnectFailed}, Event{Outcome: ConnectFailed}, Event{Outcome: ConnectFailed},
		Event{Outcome: ConnectFailed}, Event{Outcome: ConnectFailed})
	ejected := false
	for _, ep := range p.destinations[3].limiters[0].endpoints {
		ejected = ejected || ep.ejected
	}
	if !ejected {
		t.Fatal("no endpoint of destination 3 ejected after five failed connects")
	}
	for range 9 {
		now += 50 * second
		p.Step(now, nil, nil)
	}
	if p.destinations[1] != nil || p.destinations[2] == nil || p.destinations[3] == nil {
		t.Errorf("after 450 s: got held idle %v, with a wait %v, with an outage %v, want false, true, true",
			p.destinations[1] != nil, p.destinations[2] != nil, p.destinations[3] != nil)
	}
	for range 9 {
		now += 50 * second
		p.Step(now, nil, nil)
	}
	if p.destinations[2] != nil || p.destinations[3] == nil || len(p.endpoints) != 2 {
		t.Errorf("after 900 s: got held with a wait %v, with an outage %v, %d endpoints, want false, true, 2",
			p.destinations[2] != nil, p.destinations[3] != nil, len(p.endpoints))
	}
}

// TestDestinationMemory checks how much memory the state of a destination with two endpoints takes, and that nothing
// of it is left after eviction.
func TestDestinationMemory(t *testing.T) {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	s := defaultSettings()
	s.KeepAlive, s.Slots, s.MaxHeld = 0, 1000, 0
	const destinations = 20000
	p, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	p.UseDirectory(uniformDirectory{destinations})
	before := heap()
	now := 1000 * second
	for dest := range destinations {
		id := uint32(dest + 1)
		for _, a := range p.Step(now, []Event{{Kind: EvMessage, Message: id, Dest: dest, TimeLeft: 20 * second,
			Tenant: -1}}, nil) {
			if a.Kind == ActSend {
				p.Step(now, []Event{outcomeEvent(a, Delivered)}, nil)
			}
		}
	}
	if len(p.destinations) != destinations || len(p.messages) > 0 {
		t.Fatalf("got %d destinations and %d messages held, want all destinations and 0", len(p.destinations),
			len(p.messages))
	}
	now += 30 * second
	p.Step(now, nil, nil) // the timers of the messages fire
	used := heap() - before
	t.Logf("%d bytes for a destination", used/destinations)
	if used > destinations*1600 {
		t.Errorf("got %d bytes for a destination, want at most 1600", used/destinations)
	}
	for range destinations {
		now += second
		p.Step(now, nil, nil)
	}
	if len(p.destinations) > 0 || len(p.endpoints) > 0 {
		t.Errorf("got %d destinations and %d endpoints still held, want 0 and 0", len(p.destinations),
			len(p.endpoints))
	}
	runtime.KeepAlive(p)
}

// TestCostIndependentOfDestinations checks that the cost of a message, its outcome, a list update, a Retry-After and
// new settings does not depend on the number of destinations. It measures allocations and calls of nextDispatchAt.
func TestCostIndependentOfDestinations(t *testing.T) {
	cost := func(destinations int) (allocs float64, scans int) {
		s := defaultSettings()
		s.KeepAlive = 0
		p, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		p.UseDirectory(uniformDirectory{destinations})
		now, id := 1000*second, uint32(0)
		actions := make([]Action, 0, 64)
		step := func(e ...Event) {
			now += second / 20
			actions = p.Step(now, e, actions[:0])
		}
		run := func() {
			id++
			step(Event{Kind: EvMessage, Message: id, Dest: int(id) * 7919 % destinations, TimeLeft: 20 * second,
				Tenant: -1})
			for _, a := range slices.Clone(actions) {
				if a.Kind == ActSend {
					e := outcomeEvent(a, Delivered)
					if id%10 == 0 {
						e.Settled, e.Outcome, e.RetryAfter = false, Rejected, second
					}
					step(e)
				}
			}
			step(Event{Kind: EvList, List: ListDelta,
				Entries: []Entry{{Endpoint: Endpoint(2*(int(id)%destinations) + 1),
					Dest: int(id) % destinations, State: Ready, Rate: 5}}})
			changed := s
			changed.MaxAttempts = 5 + int(id%2)
			step(Event{Kind: EvSettings, Settings: &changed})
		}
		for range 2000 { // until the first destinations expire
			run()
		}
		scans = p.nextDispatchScans
		allocs = testing.AllocsPerRun(500, run)
		return allocs, p.nextDispatchScans - scans
	}
	few, fewScans := cost(1000)
	many, manyScans := cost(880_000)
	t.Logf("1,000 destinations: %.1f allocations, %d scans; 880,000: %.1f, %d", few, fewScans, many, manyScans)
	if many > few*1.5+5 || float64(manyScans) > float64(fewScans)*1.5+50 {
		t.Errorf("got %.1f allocations and %d scans at 880,000 destinations, want about the %.1f and %d at 1,000",
			many, manyScans, few, fewScans)
	}
}

// TestReturningRouteKeepsWait checks that a route which is removed from the list during a wait and listed again gets
// no message before that wait is over, and messages afterwards.
func TestReturningRouteKeepsWait(t *testing.T) {
	s := defaultSettings()
	s.Kinds, s.KeepAlive = []DestKind{{MaxBatch: 1, SeparateLimits: true}}, 0
	r := newPolicyRunner(t, s, readyEntry(1, 10))
	r.step(r.messageEvent(0, 0))
	e := outcomeEvent(r.sends[0], Rejected)
	e.RetryAfter = 2 * second
	rejectedAt := r.now
	r.step(e)
	r.step(Event{Kind: EvList, List: ListDelta, Entries: []Entry{{Endpoint: 1, State: Removed}}})
	r.now += second
	r.step(Event{Kind: EvList, List: ListDelta, Entries: []Entry{readyEntry(1, 10)}})
	for range 100 {
		r.now += second / 10
		if r.step(); len(r.sends) > 0 {
			break
		}
	}
	if len(r.sends) == 0 || r.now < rejectedAt+e.RetryAfter {
		t.Errorf("got %d sends %d ms after a rejection with a Retry-After of 2 s, want one after 2000 ms or more",
			len(r.sends), (r.now-rejectedAt)/1000)
	}
}
