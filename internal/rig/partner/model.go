package partner

import (
	"math"
	"time"

	"troutusher/internal/rig/world"
)

// ModelOptions configures the behavior of modelled destinations.
type ModelOptions struct {
	Seed            uint64
	Outages         *world.Outages
	Capacity        func(dest int) float64 // calls per second from all simulated relays together
	NoReplyShare    float64                // share of outages without replies
	RetryAfterShare float64                // share of outages with replies that carry a Retry-After
	RetryAfter      time.Duration
	StartCapacity   float64       // share of the capacity directly after an outage
	RampTime        time.Duration // from the end of an outage to full capacity
	// A recovering destination collapses when it gets more than OverloadFactor times its current capacity, counted
	// over OverloadTime.
	OverloadFactor float64
	OverloadTime   time.Duration
}

// Model replies to calls to all destinations. Calls must not go back in time.
type Model struct {
	opts      ModelOptions
	dests     map[int]*dest
	Collapses int // overloads of recovering destinations; the recovery starts again after each
}

// dest is the state of a destination. Its tokens are a token bucket for its capacity.
type dest struct {
	tokens        float64
	updatedAt     time.Duration
	upSince       time.Duration // end of the latest outage or collapse; negative if there was none
	windowStart   time.Duration // start of the window in which calls during recovery are counted
	callsInWindow float64
}

// Reply is the result of a call.
type Reply uint8

// Replies.
const (
	Served     Reply = iota
	Throttled        // the call exceeds the capacity
	Failed           // an immediate error
	NoReply          // no reply
	RetryLater       // rejected, with a Retry-After
)

// NewModel returns a model.
func NewModel(options ModelOptions) *Model { return &Model{opts: options, dests: map[int]*dest{}} }

// Call returns the reply of a destination to a call, and for RetryLater the time to wait.
func (m *Model) Call(id int, now time.Duration) (Reply, time.Duration) {
	options := &m.opts
	down, since := options.Outages.IsDown(id, now)
	destination := m.dests[id]
	capacity := options.Capacity(id)
	// The bucket holds the calls of one second, and a margin for the random variation in traffic that is only a part
	// of the fleet's.
	burst := capacity + 3*math.Sqrt(capacity) + 2
	if destination == nil {
		destination = &dest{tokens: burst, updatedAt: now, upSince: -1}
		m.dests[id] = destination
	}
	if down {
		destination.tokens, destination.updatedAt = 0, now
		switch u := drawForOutage(options.Seed, id, since); {
		case u < options.NoReplyShare:
			return NoReply, 0
		case u < options.NoReplyShare+options.RetryAfterShare:
			return RetryLater, options.RetryAfter
		}
		return Failed, 0
	}
	destination.upSince = max(destination.upSince, since)
	share := 1.0
	if destination.upSince >= 0 && options.RampTime > 0 {
		share = min(1, options.StartCapacity+
			(1-options.StartCapacity)*float64(now-destination.upSince)/float64(options.RampTime))
	}
	if share < 1 {
		if now-destination.windowStart > options.OverloadTime {
			destination.windowStart, destination.callsInWindow = now, 0
		}
		destination.callsInWindow++
		maxCalls := options.OverloadFactor * share * capacity * options.OverloadTime.Seconds()
		if destination.callsInWindow > maxCalls+2*math.Sqrt(maxCalls)+2 {
			m.Collapses++
			destination.upSince, destination.callsInWindow = now, 0
		}
	}
	destination.tokens = min(burst, destination.tokens+share*capacity*(now-destination.updatedAt).Seconds())
	destination.updatedAt = now
	if destination.tokens < 1 {
		return Throttled, 0
	}
	destination.tokens--
	return Served, 0
}

// drawForOutage returns a pseudo-random number in [0, 1) that depends only on the seed, the destination and the start
// of the outage.
func drawForOutage(seed uint64, id int, since time.Duration) float64 {
	x := seed ^ uint64(id)*0x9e3779b97f4a7c15 ^ uint64(since)*0xbf58476d1ce4e5b9
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}
