// Package world generates random events for a fleet of relays and outages of its destinations. The same spec and seed
// give the same events. Times are simulated: they count from the beginning of the simulation, which may run faster
// than real time.
package world

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Rates holds the rates of events over the whole fleet, and the mean durations of their effects.
type Rates struct {
	FailuresPerDay  float64 // relays whose machine fails
	RestartsPerDay  float64 // relays that are restarted or replaced
	RacksPerYear    float64 // failures of a rack or its switch
	ZonesPerYear    float64
	RegionsPerYear  float64 // regions that are cut off from the others
	ConfigsPerDay   float64 // configuration changes
	RepairMean      time.Duration
	RestartMean     time.Duration
	RackMean        time.Duration
	ZoneMean        time.Duration
	RegionCutMean   time.Duration
	DestinationDown float64       // share of the destinations that are down at any time
	OutageMean      time.Duration // mean duration of an outage of a destination
}

// PlannedRates returns the rates that the relay is designed for.
func PlannedRates() Rates {
	return Rates{FailuresPerDay: 5, RestartsPerDay: 240, RacksPerYear: 8, ZonesPerYear: 1.5, RegionsPerYear: 4,
		ConfigsPerDay: 16000, RepairMean: time.Hour, RestartMean: 20 * time.Second, RackMean: 30 * time.Minute,
		ZoneMean: time.Hour, RegionCutMean: 5 * time.Minute,
		DestinationDown: 0.024, OutageMean: 10 * time.Minute}
}

// Location is the region, zone and rack of a relay.
type Location struct{ Region, Zone, Rack int }

// Spec describes a fleet.
type Spec struct {
	Relays   int
	Regions  int
	Zones    int // in all regions together
	RackSize int // relays in a rack
	Rates    Rates
}

// LocationOf returns the location of a relay. Each zone has a block of consecutive relays, each region a block of
// zones, and all blocks have about the same size.
func (s *Spec) LocationOf(relay int) Location {
	zones, regions := max(s.Zones, 1), max(s.Regions, 1)
	zone := relay * zones / max(s.Relays, 1)
	return Location{Region: zone * regions / zones, Zone: zone, Rack: relay / max(s.RackSize, 1)}
}

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of event, each with the meaning of Event.Target.
const (
	Failure EventKind = iota // failure of relay Target
	Restart                  // restart of relay Target
	Rack                     // outage of rack Target
	Zone                     // outage of zone Target
	Region                   // region Target is cut off
	Config                   // configuration change; Target is 0
	numKinds
)

var kindNames = [numKinds]string{"failure", "restart", "rack", "zone", "region", "config"}

func (k EventKind) String() string { return kindNames[k] }

// Event is an event in the fleet.
type Event struct {
	Time     time.Duration // since the beginning of the simulation
	Kind     EventKind
	Target   int
	Duration time.Duration
}

// AffectedRelays returns the relays that an event cuts off from discovery.
func (s *Spec) AffectedRelays(e Event) (relays []int) {
	for relay := range s.Relays {
		location := s.LocationOf(relay)
		if (e.Kind == Failure || e.Kind == Restart) && relay == e.Target || e.Kind == Rack && location.Rack == e.Target ||
			e.Kind == Zone && location.Zone == e.Target || e.Kind == Region && location.Region == e.Target {
			relays = append(relays, relay)
		}
	}
	return relays
}

const day = 24 * time.Hour

// DrawEvents returns the random events of a time span, ordered by time.
func (s *Spec) DrawEvents(seed uint64, span time.Duration) []Event {
	rates := &s.Rates
	var events []Event
	for _, process := range []struct {
		kind    EventKind
		perDay  float64
		targets int           // number of possible targets
		mean    time.Duration // mean duration of an event
	}{{Failure, rates.FailuresPerDay, s.Relays, rates.RepairMean},
		{Restart, rates.RestartsPerDay, s.Relays, rates.RestartMean},
		{Rack, rates.RacksPerYear / 365, (s.Relays + max(s.RackSize, 1) - 1) / max(s.RackSize, 1), rates.RackMean},
		{Zone, rates.ZonesPerYear / 365, max(s.Zones, 1), rates.ZoneMean},
		{Region, rates.RegionsPerYear / 365, max(s.Regions, 1), rates.RegionCutMean},
		{Config, rates.ConfigsPerDay, 1, 0}} {
		if process.perDay <= 0 {
			continue
		}
		// Each kind has a random number generator of its own, so a change of one rate does not change the events of
		// other kinds.
		rng := rand.New(rand.NewPCG(seed, uint64(process.kind)+1))
		mean := float64(day) / process.perDay
		for at := rng.ExpFloat64() * mean; at < float64(span); at += rng.ExpFloat64() * mean {
			events = append(events, Event{time.Duration(at), process.kind, rng.IntN(process.targets),
				time.Duration(rng.ExpFloat64() * float64(process.mean))})
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.Time - b.Time) })
	return events
}

// Weights holds the weights of destinations by Zipf's law: the weight of destination i is proportional to
// 1/(i+1)^exponent, and the sum of all weights is 1.
type Weights struct{ cumulative []float64 }

// NewWeights returns the weights of n destinations. An exponent of 0 gives equal weights.
func NewWeights(n int, exponent float64) *Weights {
	w := &Weights{make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
		w.cumulative[i] = sum
	}
	for i := range n {
		w.cumulative[i] /= sum
	}
	return w
}

// Draw returns a random destination, by weight.
func (w *Weights) Draw(rng *rand.Rand) int {
	return min(sort.SearchFloat64s(w.cumulative, rng.Float64()), len(w.cumulative)-1)
}

// Share returns the weight of a destination.
func (w *Weights) Share(i int) float64 {
	if i == 0 {
		return w.cumulative[0]
	}
	return w.cumulative[i] - w.cumulative[i-1]
}

// Outages generates outages of destinations. Each destination alternates between up and down for exponentially
// distributed periods, whose means give the share of destinations that are down at any time. Periods are generated
// only for destinations that IsDown is called for. Each destination has a random number generator of its own.
type Outages struct {
	seed    uint64
	share   float64
	mean    float64
	periods map[int]*period
}

// period is a period in which a destination is up or down.
type period struct {
	rng   *rand.Rand
	down  bool
	since float64
	until float64
}

// NewOutages returns outages with a mean duration, in which a share of the destinations is down at any time.
func NewOutages(seed uint64, share float64, mean time.Duration) *Outages {
	return &Outages{seed: seed, share: share, mean: float64(mean), periods: map[int]*period{}}
}

// IsDown reports whether a destination is down at a time, and when its current period began, which is negative for
// the first one. Calls for one destination must not go back in time.
func (o *Outages) IsDown(dest int, now time.Duration) (down bool, since time.Duration) {
	current := o.periods[dest]
	if current == nil {
		current = &period{rng: rand.New(rand.NewPCG(o.seed, uint64(dest)))}
		current.down = current.rng.Float64() < o.share
		// The exponential distribution is memoryless: the rest of a period is distributed like a whole one.
		current.until = o.drawLength(current)
		current.since = -1
		o.periods[dest] = current
	}
	for float64(now) >= current.until {
		current.down, current.since = !current.down, current.until
		current.until += o.drawLength(current)
	}
	return current.down, time.Duration(current.since)
}

// drawLength returns a random length for a period.
func (o *Outages) drawLength(current *period) float64 {
	mean := o.mean
	if !current.down {
		if o.share <= 0 {
			return math.Inf(1)
		}
		mean *= (1 - o.share) / o.share
	}
	return current.rng.ExpFloat64() * mean
}

// Queue is a priority queue by time. Values with the same time keep the order in which they were added.
type Queue[T any] struct {
	items queue[T]
	count uint64
}

// item is a value in a Queue.
type item[T any] struct {
	at    int64
	order uint64
	value T
}

// queue implements heap.Interface.
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

// Add adds a value for a time.
func (q *Queue[T]) Add(at int64, value T) {
	q.count++
	heap.Push(&q.items, item[T]{at, q.count, value})
}

// Next removes and returns the earliest value. It returns false if the queue is empty.
func (q *Queue[T]) Next() (at int64, value T, ok bool) {
	if len(q.items) == 0 {
		return 0, value, false
	}
	x := heap.Pop(&q.items).(item[T])
	return x.at, x.value, true
}
