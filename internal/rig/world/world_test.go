package world

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

func planned() Spec { return Spec{Relays: 3000, Regions: 2, Zones: 4, RackSize: 20, Rates: Planned()} }

// TestSameSeedSameEvents: and another seed gives others; a rate that changes leaves the other kinds alone.
func TestSameSeedSameEvents(t *testing.T) {
	s := planned()
	a := s.Draw(7, 3*day)
	if !reflect.DeepEqual(a, s.Draw(7, 3*day)) || reflect.DeepEqual(a, s.Draw(8, 3*day)) {
		t.Error("events do not follow from the seed alone")
	}
	restarts := func(list []Event) (some []Event) {
		for _, e := range list {
			if e.Kind == Restart {
				some = append(some, e)
			}
		}
		return some
	}
	s.Rates.ConfigsPerDay = 3
	if !reflect.DeepEqual(restarts(a), restarts(s.Draw(7, 3*day))) {
		t.Error("fewer changes of configuration moved the restarts")
	}
}

// TestRates: over some years each kind comes as often as it is said to, and hits whom it should.
func TestRates(t *testing.T) {
	s := planned()
	const days = 3650
	s.Rates.ConfigsPerDay = 10
	count := map[Kind]float64{}
	for i, e := range s.Draw(1, days*day) {
		if count[e.Kind]++; i > 0 && e.Kind <= Failure && len(s.Hit(e)) != 1 {
			t.Fatalf("%+v hits %v", e, s.Hit(e))
		}
		if e.Kind == Zone && len(s.Hit(e)) != 750 || e.Kind == Region && len(s.Hit(e)) != 1500 || e.Kind == Rack && len(s.Hit(e)) != 20 {
			t.Fatalf("%v hits %d relays", e.Kind, len(s.Hit(e)))
		}
	}
	for k, want := range map[Kind]float64{Failure: 5 * days, Restart: 240 * days, Rack: 80, Zone: 15, Region: 40, Config: 10 * days} {
		if got := count[k]; math.Abs(got-want) > 4*math.Sqrt(want) {
			t.Errorf("%v: %v in ten years, want about %v", k, got, want)
		}
	}
}

// TestOutages: the share that is down is what it should be at any time, whichever destinations are asked for.
func TestOutages(t *testing.T) {
	o, some := NewOutages(3, 0.024, time.Minute), NewOutages(3, 0.024, time.Minute)
	for _, now := range []time.Duration{0, 10 * time.Minute, time.Hour} {
		n := 0
		for dest := range 50000 {
			down, _ := o.At(dest, now)
			if down {
				n++
			}
			if dest%100 == 7 {
				if again, _ := some.At(dest, now); again != down {
					t.Fatalf("destination %d at %v depends on the others", dest, now)
				}
			}
		}
		if n < 1050 || n > 1350 { // 1200, four deviations to each side
			t.Errorf("%d of 50000 down after %v", n, now)
		}
	}
}

// TestWeights: drawn as often as they weigh.
func TestWeights(t *testing.T) {
	w := NewWeights(100, 1)
	rng := rand.New(rand.NewPCG(1, 1))
	got := make([]float64, 100)
	for range 100000 {
		got[w.Draw(rng)]++
	}
	for _, i := range []int{0, 1, 9, 99} {
		if want := w.Of(i) * 100000; math.Abs(got[i]-want) > 4*math.Sqrt(want) {
			t.Errorf("destination %d drawn %v times, want about %.0f", i, got[i], want)
		}
	}
	if r := w.Of(0) / w.Of(9); math.Abs(r-10) > 1e-6 {
		t.Errorf("the first weighs %v times the tenth", r)
	}
}
