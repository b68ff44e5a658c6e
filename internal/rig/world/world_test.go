package world

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

func plannedSpec() Spec {
	return Spec{Relays: 3000, Regions: 2, Zones: 4, RackSize: 20, Rates: PlannedRates()}
}

// TestEventsFollowFromSeed: the same seed gives the same events, another seed gives others, and a change of one rate
// does not change the events of other kinds.
func TestEventsFollowFromSeed(t *testing.T) {
	s := plannedSpec()
	a := s.DrawEvents(7, 3*day)
	if !reflect.DeepEqual(a, s.DrawEvents(7, 3*day)) || reflect.DeepEqual(a, s.DrawEvents(8, 3*day)) {
		t.Error("the same seed gave different events, or another seed the same")
	}
	restarts := func(list []Event) (matching []Event) {
		for _, e := range list {
			if e.Kind == Restart {
				matching = append(matching, e)
			}
		}
		return matching
	}
	s.Rates.ConfigsPerDay = 3
	if !reflect.DeepEqual(restarts(a), restarts(s.DrawEvents(7, 3*day))) {
		t.Error("a lower rate of configuration changes changed the restarts")
	}
}

// TestEventRates: over ten years each kind of event is as frequent as its rate says, and affects the right relays.
func TestEventRates(t *testing.T) {
	s := plannedSpec()
	const days = 3650
	s.Rates.ConfigsPerDay = 10
	count := map[EventKind]float64{}
	for i, e := range s.DrawEvents(1, days*day) {
		if count[e.Kind]++; i > 0 && e.Kind <= Failure && len(s.AffectedRelays(e)) != 1 {
			t.Fatalf("%+v affects relays %v, want one", e, s.AffectedRelays(e))
		}
		if e.Kind == Zone && len(s.AffectedRelays(e)) != 750 || e.Kind == Region && len(s.AffectedRelays(e)) != 1500 ||
			e.Kind == Rack && len(s.AffectedRelays(e)) != 20 {
			t.Fatalf("%v affects %d relays, want 750 for a zone, 1500 for a region, 20 for a rack",
				e.Kind, len(s.AffectedRelays(e)))
		}
	}
	for k, want := range map[EventKind]float64{Failure: 5 * days, Restart: 240 * days,
		Rack: 80, Zone: 15, Region: 40, Config: 10 * days} {
		if got := count[k]; math.Abs(got-want) > 4*math.Sqrt(want) {
			t.Errorf("%v: got %v events in ten years, want about %v", k, got, want)
		}
	}
}

// TestShareOfOutages: at any time the given share of the destinations is down, and a destination does not depend on
// which others IsDown is called for.
func TestShareOfOutages(t *testing.T) {
	outages, subset := NewOutages(3, 0.024, time.Minute), NewOutages(3, 0.024, time.Minute)
	for _, now := range []time.Duration{0, 10 * time.Minute, time.Hour} {
		downCount := 0
		for dest := range 50000 {
			down, _ := outages.IsDown(dest, now)
			if down {
				downCount++
			}
			if dest%100 == 7 {
				if again, _ := subset.IsDown(dest, now); again != down {
					t.Fatalf("destination %d at %v depends on calls for other destinations", dest, now)
				}
			}
		}
		if downCount < 1050 || downCount > 1350 { // the mean is 1200; four standard deviations to each side
			t.Errorf("got %d of 50000 destinations down after %v, want 1050 to 1350", downCount, now)
		}
	}
}

// TestDrawFollowsWeights: destinations are drawn as often as their weights say.
func TestDrawFollowsWeights(t *testing.T) {
	w := NewWeights(100, 1)
	rng := rand.New(rand.NewPCG(1, 1))
	got := make([]float64, 100)
	for range 100000 {
		got[w.Draw(rng)]++
	}
	for _, i := range []int{0, 1, 9, 99} {
		if want := w.Share(i) * 100000; math.Abs(got[i]-want) > 4*math.Sqrt(want) {
			t.Errorf("destination %d: got %v draws, want about %.0f", i, got[i], want)
		}
	}
	if r := w.Share(0) / w.Share(9); math.Abs(r-10) > 1e-6 {
		t.Errorf("got ratio %v of the first weight to the tenth, want 10", r)
	}
}
