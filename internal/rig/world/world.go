// Package world draws what happens to a fleet of relays and to the destinations that it sends to, from a seed: the
// same spec and seed give the same events. Times are of the model; whoever plays them may run faster.
package world

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Rates are how often things happen, over the whole fleet.
type Rates struct {
	FailuresPerDay  float64 // machines that vanish
	RestartsPerDay  float64 // machines restarted or replaced
	RacksPerYear    float64 // racks or switches
	ZonesPerYear    float64
	RegionsPerYear  float64 // regions that lose each other
	ConfigsPerDay   float64 // changes of configuration
	RepairMean      time.Duration
	RestartMean     time.Duration
	RackMean        time.Duration
	ZoneMean        time.Duration
	RegionCutMean   time.Duration
	DestinationDown float64       // share of the destinations that is down at any time
	OutageMean      time.Duration // of one outage of a destination
}

// Planned are the rates to design for.
func Planned() Rates {
	return Rates{FailuresPerDay: 5, RestartsPerDay: 240, RacksPerYear: 8, ZonesPerYear: 1.5, RegionsPerYear: 4, ConfigsPerDay: 16000,
		RepairMean: time.Hour, RestartMean: 20 * time.Second, RackMean: 30 * time.Minute, ZoneMean: time.Hour, RegionCutMean: 5 * time.Minute,
		DestinationDown: 0.024, OutageMean: 10 * time.Minute}
}

// Place is where a relay stands.
type Place struct{ Region, Zone, Rack int }

// Spec is the fleet.
type Spec struct {
	Relays   int
	Regions  int
	Zones    int // of all regions together
	RackSize int // relays in a rack
	Rates    Rates
}

// PlaceOf is where a relay stands: zones are dealt out evenly in blocks, and regions over zones.
func (s *Spec) PlaceOf(relay int) Place {
	zones, regions := max(s.Zones, 1), max(s.Regions, 1)
	zone := relay * zones / max(s.Relays, 1)
	return Place{Region: zone * regions / zones, Zone: zone, Rack: relay / max(s.RackSize, 1)}
}

// Kind says what happens.
type Kind uint8

// Kinds of event.
const (
	Failure Kind = iota // of relay At
	Restart             // of relay At
	Rack                // of rack At
	Zone                // of zone At
	Region              // region At is cut off
	Config              // a change of configuration
	numKinds
)

var kindNames = [numKinds]string{"failure", "restart", "rack", "zone", "region", "config"}

func (k Kind) String() string { return kindNames[k] }

// Event is what happens at a moment, and for how long.
type Event struct {
	Time  time.Duration // since the beginning
	Kind  Kind
	At    int
	Lasts time.Duration
}

// Hit lists the relays that an event takes away from discovery.
func (s *Spec) Hit(e Event) (relays []int) {
	for r := range s.Relays {
		p := s.PlaceOf(r)
		if (e.Kind == Failure || e.Kind == Restart) && r == e.At || e.Kind == Rack && p.Rack == e.At ||
			e.Kind == Zone && p.Zone == e.At || e.Kind == Region && p.Region == e.At {
			relays = append(relays, r)
		}
	}
	return relays
}

const day = 24 * time.Hour

// Draw draws all events of a span, in order of time.
func (s *Spec) Draw(seed uint64, span time.Duration) []Event {
	r := &s.Rates
	var events []Event
	for _, k := range []struct {
		kind  Kind
		daily float64
		of    int
		mean  time.Duration
	}{{Failure, r.FailuresPerDay, s.Relays, r.RepairMean}, {Restart, r.RestartsPerDay, s.Relays, r.RestartMean},
		{Rack, r.RacksPerYear / 365, (s.Relays + max(s.RackSize, 1) - 1) / max(s.RackSize, 1), r.RackMean},
		{Zone, r.ZonesPerYear / 365, max(s.Zones, 1), r.ZoneMean}, {Region, r.RegionsPerYear / 365, max(s.Regions, 1), r.RegionCutMean},
		{Config, r.ConfigsPerDay, 1, 0}} {
		if k.daily <= 0 {
			continue
		}
		// Each kind has draws of its own: a change of one rate leaves the others' events alone.
		rng := rand.New(rand.NewPCG(seed, uint64(k.kind)+1))
		mean := float64(day) / k.daily
		for at := rng.ExpFloat64() * mean; at < float64(span); at += rng.ExpFloat64() * mean {
			events = append(events, Event{time.Duration(at), k.kind, rng.IntN(k.of), time.Duration(rng.ExpFloat64() * float64(k.mean))})
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.Time - b.Time) })
	return events
}

// Weights are those of destinations by Zipf's law: that of the i-th is 1/(i+1)^exponent, and all together are 1.
type Weights struct{ upTo []float64 }

// NewWeights makes the weights of n destinations; an exponent of 0 gives even ones.
func NewWeights(n int, exponent float64) *Weights {
	w := &Weights{make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
		w.upTo[i] = sum
	}
	for i := range n {
		w.upTo[i] /= sum
	}
	return w
}

// Draw draws a destination by weight.
func (w *Weights) Draw(rng *rand.Rand) int {
	return min(sort.SearchFloat64s(w.upTo, rng.Float64()), len(w.upTo)-1)
}

// Of is the weight of a destination.
func (w *Weights) Of(i int) float64 {
	if i == 0 {
		return w.upTo[0]
	}
	return w.upTo[i] - w.upTo[i-1]
}

// Outages tells which destinations are down, each by turns up and down for drawn times whose means give the share
// that is down at any time. Only destinations that are asked for are drawn, each with draws of its own.
type Outages struct {
	seed  uint64
	share float64
	mean  float64
	turns map[int]*turn
}

type turn struct {
	rng   *rand.Rand
	down  bool
	since float64
	until float64
}

// NewOutages makes outages with a mean length, of a share of the destinations at any time.
func NewOutages(seed uint64, share float64, mean time.Duration) *Outages {
	return &Outages{seed: seed, share: share, mean: float64(mean), turns: map[int]*turn{}}
}

// At tells whether a destination is down at a moment, and since when; moments must not go back for one destination.
func (o *Outages) At(dest int, now time.Duration) (down bool, since time.Duration) {
	t := o.turns[dest]
	if t == nil {
		t = &turn{rng: rand.New(rand.NewPCG(o.seed, uint64(dest)))}
		t.down = t.rng.Float64() < o.share
		t.until = o.length(t) // no memory: what is left of a length is distributed as all of it
		t.since = -1
		o.turns[dest] = t
	}
	for float64(now) >= t.until {
		t.down, t.since = !t.down, t.until
		t.until += o.length(t)
	}
	return t.down, time.Duration(t.since)
}

func (o *Outages) length(t *turn) float64 {
	mean := o.mean
	if !t.down {
		if o.share <= 0 {
			return math.Inf(1)
		}
		mean *= (1 - o.share) / o.share
	}
	return t.rng.ExpFloat64() * mean
}

// Queue holds what is to happen, by time; ties keep the order in which they came.
type Queue[T any] struct {
	items queue[T]
	count uint64
}

type item[T any] struct {
	at    int64
	order uint64
	what  T
}

type queue[T any] []item[T]

func (q queue[T]) Len() int      { return len(q) }
func (q queue[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue[T]) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q *queue[T]) Push(x any) { *q = append(*q, x.(item[T])) }
func (q *queue[T]) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// Add puts in what is to happen at a moment.
func (q *Queue[T]) Add(at int64, what T) {
	q.count++
	heap.Push(&q.items, item[T]{at, q.count, what})
}

// Next takes out what comes first; ok is false where nothing is left.
func (q *Queue[T]) Next() (at int64, what T, ok bool) {
	if len(q.items) == 0 {
		return 0, what, false
	}
	x := heap.Pop(&q.items).(item[T])
	return x.at, x.what, true
}
