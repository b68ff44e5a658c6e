// Package decide makes every decision of a relay; its interface (settings, events, actions) is api.go. The
// normal path is adaptive throttling for each destination (requests against accepts, with a capped drop
// probability) and a window on the calls in flight. Code that departs from it states its condition in a
// comment. state.go holds the state. A step (step.go) admits messages (queue.go), dispatches them
// (dispatch.go) within the limits of throttle.go, concurrency.go and slowstart.go, and handles the outcomes
// (outcome.go, outlier.go, retry.go). membership.go applies updates of the list, held.go evicts idle
// destinations, and memory.go takes and restores snapshots. containers.go holds plain data structures.
//
// In comments, a wait is the time for which an endpoint asked not to be called (Retry-After), and a round is
// the time in which each relay sends one call at the capacity of a limiter (see roundSeconds). A message is
// inherited if an earlier process accepted it.
package decide

import (
	"math"
	"math/rand/v2"
	"slices"
)

// second is one second in the microseconds of Time.
const second = Time(1e6)

// New returns a policy with the given settings. All its random draws derive from the seed.
func New(s Settings, seed uint64) (*Policy, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	p := &Policy{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), endpoints: map[Endpoint]*endpoint{},
		destinations: map[int]*destination{}, messages: map[uint32]*message{},
		orderedKeys: map[uint64]*orderedKey{}}
	p.applySettings(s)
	return p, nil
}

// applySettings applies settings, at the start or later. History, windows, waits and outages belong to the
// destinations and stay; each held message keeps the class and the limit of attempts that it was
// accepted with.
func (p *Policy) applySettings(s Settings) {
	previous := p.settings
	p.settings = s
	p.settings.Classes = slices.Clone(s.Classes)
	p.settings.StreamsPerConn = max(s.StreamsPerConn, 1)
	p.settings.Tick = max(s.Tick, second/1000)
	p.rateShareDivisor = max(math.Pow(float64(s.Relays), rateShareExponent), float64(s.Relays)/maxRateShare)
	p.maxWorth = 0
	for i := range s.Classes {
		p.maxWorth = max(p.maxWorth, s.Classes[i].Worth)
	}
	p.rejectionFactor = 1 - min(rejectionDecrease*math.Pow(float64(s.Relays), rejectionDecreaseExponent),
		minRateFactor)
	// The length never shrinks, since a destination may have a kind of the previous settings.
	noConnectionShare := make([]float64, max(len(s.Kinds), len(p.noConnectionShare), 1))
	copy(noConnectionShare, p.noConnectionShare)
	p.noConnectionShare = noConnectionShare
	buckets := make([]tokenBucket, len(s.Tenants))
	for i, t := range s.Tenants {
		if index := slices.IndexFunc(previous.Tenants, func(old Tenant) bool {
			return old.Name == t.Name
		}); index >= 0 {
			buckets[i] = p.tenantBuckets[index]
		}
	}
	p.tenantBuckets = buckets
	p.idleRetention = max(minIdleRetention, historySpan, s.RampTime, s.KeepAlive)
	for i := range s.Classes {
		p.idleRetention = max(p.idleRetention, s.Classes[i].Deadline, s.Classes[i].DedupWindow)
	}
	p.markWaitingPending()
}
