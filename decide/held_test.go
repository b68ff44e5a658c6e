package decide

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
)

// book is a directory.
type book map[int][]Entry

func (b book) Endpoints(dest int, into []Entry) []Entry { return append(into, b[dest]...) }

// change draws a change of the list and makes it in the book.
func (b book) change(rng *rand.Rand, dests int, next *Endpoint) (news []Entry) {
	dest := rng.IntN(dests)
	if len(b[dest]) == 0 || rng.IntN(4) == 0 {
		*next++
		x := Entry{Endpoint: *next, Dest: dest, Zone: rng.IntN(2), Kind: dest % 2, State: Ready, Rate: float64(1 + dest%7)}
		b[dest] = append(b[dest], x)
		return []Entry{x}
	}
	at := rng.IntN(len(b[dest]))
	x := b[dest][at]
	switch x.State = EndpointState(rng.IntN(3)); {
	case x.State == Removed:
		b[dest] = slices.Delete(slices.Clone(b[dest]), at, at+1)
	case rng.IntN(6) == 0: // it moves
		b[dest] = slices.Delete(slices.Clone(b[dest]), at, at+1)
		x.Dest = (dest + 2) % dests
		x.Rate = float64(1 + x.Dest%7)
		b[x.Dest] = append(b[x.Dest], x)
	default:
		b[dest] = slices.Clone(b[dest])
		b[dest][at] = x
	}
	return []Entry{x}
}

// playHeld plays a random day over many destinations that are seldom used, and tells
// what the policy did, how many endpoints it let go and how many it held at most.
func playHeld(t *testing.T, seed uint64, keepAll bool) (did []string, released, most int) {
	t.Helper()
	const dests = 80
	rng := rand.New(rand.NewPCG(seed, 77))
	s := one()
	s.Relays = []int{1, 3, 40, 400}[seed%4]
	s.Kinds = []DestKind{{MaxBatch: 1}, {MaxBatch: 3, SeparateLimits: true}}
	s.Classes = append(s.Classes, Class{Name: "u", TargetTime: second, Deadline: 15 * second, Worth: 3, Idempotency: NonIdempotent},
		Class{Name: "k", TargetTime: second, Deadline: 10 * second, Worth: 2, Idempotency: Deduplicated, DedupWindow: 8 * second, InOrder: true})
	p, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	b, next := book{}, Endpoint(0)
	for range 2 * dests {
		b.change(rng, dests, &next)
	}
	p.UseDirectory(b)
	p.neverEvict = keepAll
	now, id := 1000*second, uint32(0)
	down := map[int]Time{}
	type due struct {
		at Time
		e  Event
	}
	var out []due
	tries := map[uint32]int{}
	for range 4000 {
		now += Time(rng.IntN(int(second / 5)))
		if rng.IntN(60) == 0 {
			now += Time(rng.IntN(int(50 * second)))
		}
		var events []Event
		out = slices.DeleteFunc(out, func(d due) bool {
			if d.at <= now {
				events = append(events, d.e)
			}
			return d.at <= now
		})
		for range rng.IntN(3) {
			id++
			dest := min(rng.IntN(dests), rng.IntN(dests), rng.IntN(dests))
			class := rng.IntN(3)
			events = append(events, Event{Kind: EvMessage, Message: id, Class: class, Dest: dest, Key: uint64(1 + rng.IntN(9)),
				TimeLeft: s.Classes[class].Deadline, Tenant: -1})
		}
		if rng.IntN(10) == 0 {
			events = append(events, Event{Kind: EvList, List: ListDelta, Entries: b.change(rng, dests, &next)})
		}
		if rng.IntN(30) == 0 {
			down[rng.IntN(dests)] = now + Time(rng.IntN(int(40*second)))
		}
		if rng.IntN(300) == 0 {
			s.MaxAttempts = 3 + rng.IntN(5)
			set := s
			events = append(events, Event{Kind: EvSettings, Settings: &set})
		}
		for _, a := range p.Step(now, events, nil) {
			if a.Kind == ActRelease {
				released++
				continue
			}
			if _, out := p.Outage(a.Endpoint); a.Kind == ActOutage && !out {
				continue // that it is over shows when it is looked at
			}
			did = append(did, fmt.Sprint(now, a))
			if a.Kind == ActCancel {
				continue // it goes on to its end
			}
			if a.Kind != ActSend {
				continue
			}
			e := Event{Kind: EvOutcome, Message: a.Message, Attempt: tries[a.Message], Endpoint: a.Endpoint, Duration: second / 10}
			tries[a.Message]++
			at := now + Time(rng.IntN(int(second/4)))
			dest := -1
			for d, all := range b {
				if slices.ContainsFunc(all, func(x Entry) bool { return x.Endpoint == a.Endpoint }) {
					dest = d
				}
			}
			switch {
			case down[dest] > now:
				e.Outcome = []Outcome{TimedOut, ConnectFailed, Errored, Reset}[rng.IntN(4)]
			case rng.IntN(12) == 0:
				e.Outcome, e.RetryAfter = Rejected, Time(rng.IntN(int(90*second)))
			case rng.IntN(12) == 0:
				e.Outcome = Rejected
			default:
				e.Outcome, e.Final = Delivered, true
			}
			out = append(out, due{at, e})
		}
		most = max(most, len(p.endpoints))
	}
	return did, released, most
}

// TestLetGoIsAsKept: the same events bring the same actions whether what has lapsed
// is let go and made anew from the directory, or kept.
func TestLetGoIsAsKept(t *testing.T) {
	gone := 0
	seeds := []uint64{69} // a wait came with an endpoint to a destination of which all had lapsed
	for seed := range uint64(24) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		kept, none, _ := playHeld(t, seed, true)
		let, released, _ := playHeld(t, seed, false)
		gone += released
		if none != 0 || len(kept) < 4000 {
			t.Fatalf("seed %d: %d released, %d actions", seed, none, len(kept))
		}
		for i := range kept {
			if i >= len(let) || kept[i] != let[i] {
				t.Fatalf("seed %d: action %d of %d: kept %s, let go %s", seed, i, len(kept), kept[i], let[min(i, len(let)-1)])
			}
		}
		if len(let) != len(kept) {
			t.Fatalf("seed %d: %d actions, kept %d", seed, len(let), len(kept))
		}
	}
	t.Logf("%d endpoints let go", gone)
	if gone < 24*100 {
		t.Errorf("only %d endpoints were ever let go", gone)
	}
}

// quietWorld has a policy over so many destinations of two endpoints, none of them held yet.
type quietWorld struct{ dests int }

func (w quietWorld) Endpoints(dest int, into []Entry) []Entry {
	for i := range 2 {
		into = append(into, Entry{Endpoint: Endpoint(2*dest + i + 1), Dest: dest, State: Ready, Rate: 1000})
	}
	return into
}

// TestWaitOutlivesIdleness: a destination that was told to wait, or is out, is not let
// go, however long nothing comes for it; one that is only quiet is.
func TestWaitOutlivesIdleness(t *testing.T) {
	s := one()
	s.KeepAlive, s.OverloadTime = 0, 900*second // a long wait is no outage
	p, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	p.UseDirectory(quietWorld{10})
	now, id := 1000*second, uint32(0)
	send := func(dest int, ends ...Event) {
		for _, e := range ends {
			id++
			for _, a := range p.Step(now, []Event{{Kind: EvMessage, Message: id, Dest: dest, TimeLeft: 20 * second, Tenant: -1}}, nil) {
				if a.Kind == ActSend {
					e.Kind, e.Message, e.Endpoint = EvOutcome, a.Message, a.Endpoint
					p.Step(now+1000, []Event{e, {Kind: EvWithdraw, Message: a.Message}}, nil)
				}
			}
			now += second
		}
	}
	send(1, Event{Outcome: Delivered, Final: true})
	send(2, Event{Outcome: Rejected, RetryAfter: 500 * second})
	send(3, Event{Outcome: ConnectFailed}, Event{Outcome: ConnectFailed}, Event{Outcome: ConnectFailed}, Event{Outcome: ConnectFailed}, Event{Outcome: ConnectFailed})
	sick := false
	for _, ep := range p.destinations[3].limiters[0].endpoints {
		sick = sick || ep.ejected
	}
	if !sick {
		t.Fatal("destination 3 is not seen to be out")
	}
	for range 9 {
		now += 50 * second
		p.Step(now, nil, nil)
	}
	if p.destinations[1] != nil || p.destinations[2] == nil || p.destinations[3] == nil {
		t.Errorf("held: quiet %v, told to wait %v, out %v", p.destinations[1] != nil, p.destinations[2] != nil, p.destinations[3] != nil)
	}
	for range 9 {
		now += 50 * second
		p.Step(now, nil, nil)
	}
	if p.destinations[2] != nil || p.destinations[3] == nil || len(p.endpoints) != 2 {
		t.Errorf("later: told to wait %v, out %v, %d endpoints", p.destinations[2] != nil, p.destinations[3] != nil, len(p.endpoints))
	}
}

// TestHeldDestinationIsSmall tells what a held destination of two endpoints takes, and
// that what is let go takes nothing.
func TestHeldDestinationIsSmall(t *testing.T) {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	s := one()
	s.KeepAlive, s.Slots, s.MaxHeld = 0, 1000, 0
	const dests = 20000
	p, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	p.UseDirectory(quietWorld{dests})
	before := heap()
	now := 1000 * second
	for dest := range dests {
		id := uint32(dest + 1)
		for _, a := range p.Step(now, []Event{{Kind: EvMessage, Message: id, Dest: dest, TimeLeft: 20 * second, Tenant: -1}}, nil) {
			if a.Kind == ActSend {
				p.Step(now, []Event{answer(a, Delivered)}, nil)
			}
		}
	}
	if len(p.destinations) != dests || len(p.messages) > 0 {
		t.Fatalf("%d destinations and %d messages held", len(p.destinations), len(p.messages))
	}
	now += 30 * second
	p.Step(now, nil, nil) // timers of the messages are over
	used := heap() - before
	t.Logf("a held destination: %d bytes", used/dests)
	if used > dests*1600 {
		t.Errorf("a held destination takes %d bytes", used/dests)
	}
	for range dests {
		now += second
		p.Step(now, nil, nil)
	}
	if len(p.destinations) > 0 || len(p.endpoints) > 0 {
		t.Errorf("%d destinations and %d endpoints still held", len(p.destinations), len(p.endpoints))
	}
	runtime.KeepAlive(p)
}

// TestCostIsFlat: what a message, its answer, a change of the list, a told wait and new
// settings cost does not go by the number of destinations, in allocations and in
// destinations that are made or looked at.
func TestCostIsFlat(t *testing.T) {
	cost := func(dests int) (allocs float64, looks int) {
		s := one()
		s.KeepAlive = 0
		p, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		p.UseDirectory(quietWorld{dests})
		now, id := 1000*second, uint32(0)
		acts := make([]Action, 0, 64)
		step := func(e ...Event) {
			now += second / 20
			acts = p.Step(now, e, acts[:0])
		}
		run := func() {
			id++
			step(Event{Kind: EvMessage, Message: id, Dest: int(id) * 7919 % dests, TimeLeft: 20 * second, Tenant: -1})
			for _, a := range slices.Clone(acts) {
				if a.Kind == ActSend {
					e := answer(a, Delivered)
					if id%10 == 0 {
						e.Final, e.Outcome, e.RetryAfter = false, Rejected, second
					}
					step(e)
				}
			}
			step(Event{Kind: EvList, List: ListDelta, Entries: []Entry{{Endpoint: Endpoint(2*(int(id)%dests) + 1), Dest: int(id) % dests, State: Ready, Rate: 5}}})
			set := s
			set.MaxAttempts = 5 + int(id%2)
			step(Event{Kind: EvSettings, Settings: &set})
		}
		for range 2000 { // past the first time that something lapses
			run()
		}
		looks = p.nextDispatchScans
		allocs = testing.AllocsPerRun(500, run)
		return allocs, p.nextDispatchScans - looks
	}
	few, fewLooks := cost(1000)
	many, manyLooks := cost(880_000)
	t.Logf("1,000: %.1f allocations, %d looks; 880,000: %.1f, %d", few, fewLooks, many, manyLooks)
	if many > few*1.5+5 || float64(manyLooks) > float64(fewLooks)*1.5+50 {
		t.Errorf("880,000 destinations: %.1f allocations and %d looks, at 1,000 %.1f and %d", many, manyLooks, few, fewLooks)
	}
}

// TestRouteComesBackInItsWait: a route that leaves the list while it is told to wait and comes
// back is sent nothing before that wait is over, and messages afterwards.
func TestRouteComesBackInItsWait(t *testing.T) {
	s := one()
	s.Kinds, s.KeepAlive = []DestKind{{MaxBatch: 1, SeparateLimits: true}}, 0
	r := newRig(t, s, ready(1, 10))
	r.step(r.message(0, 0))
	e := answer(r.sends[0], Rejected)
	e.RetryAfter = 2 * second
	told := r.now
	r.step(e)
	r.step(Event{Kind: EvList, List: ListDelta, Entries: []Entry{{Endpoint: 1, State: Removed}}})
	r.now += second
	r.step(Event{Kind: EvList, List: ListDelta, Entries: []Entry{ready(1, 10)}})
	for range 100 {
		r.now += second / 10
		if r.step(); len(r.sends) > 0 {
			break
		}
	}
	if len(r.sends) == 0 || r.now < told+e.RetryAfter {
		t.Errorf("%d sends %d ms after the wait was told", len(r.sends), (r.now-told)/1000)
	}
}
