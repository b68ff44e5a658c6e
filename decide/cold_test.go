package decide

import (
	"math"
	"math/rand/v2"
	"testing"
)

// coldDay is one destination that is out for a while and comes back cold, among relays that share nothing.
type coldDay struct {
	relays    int
	rate      float64 // calls a second that it takes when warm
	restarted float64 // share of the relays that are started anew as it comes back
	memory    bool    // and are told what the process before remembered
	unseen    float64 // share of the relays that had no message for it during the outage
	batch     int
	repeat    Repeat
	waiting   float64 // messages that come during the outage beyond the usual, to what it would have taken meanwhile
}

const (
	coldTick  = second / 100
	coldOut   = 10 * second // how long it is out
	coldStart = 0.19
	coldRamp  = 12 * second
	coldFall  = 2 * second
)

func coldSettings(d coldDay) Settings {
	s := one()
	s.Relays, s.MaxHeld, s.Slots = d.relays, 1000, 60
	s.StartCapacity, s.RampTime, s.FallTime, s.OverloadFactor = coldStart, coldRamp, coldFall, 2
	s.Kinds = []Kind{{Batch: max(d.batch, 1)}}
	s.Copies = true
	s.Classes[0].Repeat, s.Classes[0].DedupWindow = d.repeat, 10*second
	return s
}

// play counts the moments of the ramp at which the calls of the last fall time are more than chance allows on
// top of what the settings do, and all moments; worst is the largest share of that bound. A call is answered
// after 90 ms, or not at all while the destination is out.
func (d coldDay) play(t *testing.T, seed uint64) (over, moments int, worst, served float64) {
	t.Helper()
	type relay struct {
		p      *Policy
		events []Event
		next   uint32
		tries  map[uint32]int
		wake   Time
		blind  bool
		told   bool // it, or the process before it, saw the outage
	}
	s := coldSettings(d)
	rng := rand.New(rand.NewPCG(11, seed))
	all := make([]*relay, d.relays)
	start := func(i int, began uint64) *relay {
		p, err := New(s, seed*1000003+uint64(i)*7+began)
		if err != nil {
			t.Fatal(err)
		}
		return &relay{p: p, next: uint32(began)*1000000 + 1, tries: map[uint32]int{},
			events: []Event{{Kind: EvList, List: ListCached, Entries: []Entry{ready(1, d.rate)}}}}
	}
	for i := range all {
		all[i] = start(i, 0)
		all[i].blind = float64(i) < d.unseen*float64(d.relays)
	}
	type reply struct {
		r *relay
		e Event
	}
	due := map[int][]reply{}
	out, back := 1005*second, 1005*second+coldOut
	var sent []Time // calls of relays that were told, from the return on
	first := 0
	came, delivered := 0, 0
	for step := 0; ; step++ {
		now := 1000*second + Time(step)*coldTick
		if now > back+coldRamp {
			break
		}
		if now == back {
			for i := range all {
				if rng.Float64() >= d.restarted {
					continue
				}
				old := all[i]
				all[i] = start(i, 1)
				all[i].blind, all[i].told = old.blind, old.told
				if d.memory {
					m := &Memory{}
					for id := range old.p.eps {
						if o, ok := old.p.Outage(id); ok {
							m.Outages = append(m.Outages, o)
						}
					}
					all[i].events = append(all[i].events, Event{Kind: EvMemory, Memory: m})
				}
				for _, m := range old.p.live { // what it held is taken up again
					n := all[i].next
					all[i].next++
					e := Event{Kind: EvMessage, Message: n, Left: m.deadline - now, Tries: m.tries, DoubtAt: m.doubtAt,
						Rules: &s.Classes[0], Most: s.MaxAttempts}
					all[i].tries[n] = m.tries
					all[i].events = append(all[i].events, e)
				}
			}
		}
		load := 0.75
		if now >= out && now < back {
			load += d.waiting
		}
		for n := load * d.rate * float64(max(d.batch, 1)) * float64(coldTick) / float64(second); n > 0; n-- {
			if rng.Float64() < n {
				r := all[rng.IntN(len(all))]
				if r.blind && now > out-second && now < back {
					continue
				}
				came++
				r.events = append(r.events, Event{Kind: EvMessage, Message: r.next, Left: 12 * second})
				r.next++
			}
		}
		for _, x := range due[step] {
			x.r.events = append(x.r.events, x.e)
		}
		delete(due, step)
		for _, r := range all {
			if len(r.events) == 0 && (r.wake == 0 || r.wake > now) {
				continue
			}
			if r.wake > 0 && r.wake <= now {
				r.wake = 0
			}
			acts := r.p.Step(now, append(r.events, Event{Kind: EvTimer}), nil)
			r.events = nil
			called := false
			for _, a := range acts {
				switch a.Kind {
				case ActTimer:
					if at := now + a.After; r.wake == 0 || at < r.wake {
						r.wake = at
					}
				case ActSend:
					e := answer(a, Delivered)
					e.Attempt, e.Took = r.tries[a.Message], 90000
					r.tries[a.Message]++
					if now >= out && now < back {
						e.Outcome, e.Settled, e.Took = NoConnect, false, 0
						if a.Message%2 == 0 { // some hang, some are refused
							e.Outcome, e.Took = TimedOut, a.At-now
						}
					}
					if e.Settled {
						delivered++
					}
					late := step + int(max(e.Took, coldTick)/coldTick)
					due[late] = append(due[late], reply{r, e})
					if r.told = r.told || e.Outcome != Delivered; r.told && now >= back && !called { // the messages of one call
						sent = append(sent, now)
						called = d.batch > 1
					}
				}
			}
		}
		if now >= back {
			for first < len(sent) && sent[first] <= now-coldFall {
				first++
			}
			share := coldStart + (1-coldStart)*float64(now-back)/float64(coldRamp)
			n := s.OverloadFactor * share * d.rate * float64(coldFall) / float64(second)
			bound := n + 2*math.Sqrt(n) + 2
			moments++
			part := float64(len(sent)-first) / bound
			if worst = max(worst, part); part > 1 {
				over++
			}
		}
	}
	return over, moments, worst, float64(delivered) / float64(max(came, 1))
}

// A destination that was out comes back cold to many relays that share nothing. Whether they saw the outage in
// this process or the one before it, whatever waits and however it travels: those that were told of it keep to
// what the settings allow and chance adds. Nothing is told of it to those that saw nothing.
func TestColdFleet(t *testing.T) {
	const seeds = 4
	for name, day := range map[string]coldDay{"all knew": {}, "half unseen": {unseen: 0.5},
		"half restarted": {restarted: 0.5, memory: true}, "all restarted": {restarted: 1, memory: true},
		"messages waiting": {waiting: 1}, "batches": {batch: 8}, "batches, half restarted": {batch: 8, restarted: 0.5, memory: true},
		"batches waiting": {batch: 8, waiting: 1}, "keyed": {repeat: Keyed}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, relays := range []int{3, 20, 30, 300} {
				for _, rate := range []float64{6, 20, 60} {
					d := day
					d.relays, d.rate = relays, rate
					over, moments, worst, served := 0, 0, 0.0, 0.0
					for seed := range uint64(seeds) {
						o, m, w, s := d.play(t, seed)
						over, moments, worst, served = over+o, moments+m, max(worst, w), served+s/seeds
					}
					t.Logf("%d relays, %v calls a second: %d of %d fall times over the bound, the worst %.2f of it, served %.2f",
						relays, rate, over, moments, worst, served)
					if over > 0 || served < 0.05 {
						t.Errorf("%d relays, %v calls a second: %d of %d fall times over the bound, the worst %.2f of it, served %.2f",
							relays, rate, over, moments, worst, served)
					}
				}
			}
		})
	}
}
