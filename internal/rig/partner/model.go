package partner

import (
	"math"
	"time"

	"troutusher/internal/rig/world"
)

// ModelOptions say how partners without sockets behave.
type ModelOptions struct {
	Seed           uint64
	Outages        *world.Outages
	Capacity       func(dest int) float64 // calls a second, of all relays that are played together
	SilentShare    float64                // of outages in which nothing is answered
	ToldShare      float64                // of outages in which calls are told to wait
	ToldWait       time.Duration
	StartCapacity  float64 // share of the capacity right after an outage
	RampTime       time.Duration
	OverloadFactor float64 // what a cold destination bears, over its capacity then ...
	FallTime       time.Duration
}

// Model answers calls to all destinations. Moments must not go back.
type Model struct {
	opts  ModelOptions
	dests map[int]*dest
	Falls int // of cold destinations that got too much; each is cold anew then
}

type dest struct {
	tokens  float64
	at      time.Duration
	coldAt  time.Duration // since when it is up again; negative where it never was down
	window  time.Duration // in which calls to it while cold are counted
	counted float64
}

// Reply is what comes of a call.
type Reply uint8

// Replies.
const (
	Served Reply = iota
	Busy         // over the capacity
	Broken       // an error, at once
	Mute         // nothing
	Told         // to wait
)

// NewModel makes a model.
func NewModel(o ModelOptions) *Model { return &Model{opts: o, dests: map[int]*dest{}} }

// Call tells what comes of a call to a destination, and for Told the wait.
func (m *Model) Call(id int, now time.Duration) (Reply, time.Duration) {
	o := &m.opts
	down, since := o.Outages.At(id, now)
	d := m.dests[id]
	whole := o.Capacity(id)
	// A second's worth, and what chance alone moves of a part of the fleet's traffic.
	depth := whole + 3*math.Sqrt(whole) + 2
	if d == nil {
		d = &dest{tokens: depth, at: now, coldAt: -1}
		m.dests[id] = d
	}
	if down {
		d.tokens, d.at = 0, now
		switch u := draw(o.Seed, id, since); {
		case u < o.SilentShare:
			return Mute, 0
		case u < o.SilentShare+o.ToldShare:
			return Told, o.ToldWait
		}
		return Broken, 0
	}
	d.coldAt = max(d.coldAt, since)
	share := 1.0
	if d.coldAt >= 0 && o.RampTime > 0 {
		share = min(1, o.StartCapacity+(1-o.StartCapacity)*float64(now-d.coldAt)/float64(o.RampTime))
	}
	if share < 1 {
		if now-d.window > o.FallTime {
			d.window, d.counted = now, 0
		}
		d.counted++
		n := o.OverloadFactor * share * whole * o.FallTime.Seconds()
		if d.counted > n+2*math.Sqrt(n)+2 {
			m.Falls++
			d.coldAt, d.counted = now, 0
		}
	}
	d.tokens = min(depth, d.tokens+share*whole*(now-d.at).Seconds())
	d.at = now
	if d.tokens < 1 {
		return Busy, 0
	}
	d.tokens--
	return Served, 0
}

// draw is a draw from [0, 1) for one outage, the same whenever it is asked for.
func draw(seed uint64, id int, since time.Duration) float64 {
	x := seed ^ uint64(id)*0x9e3779b97f4a7c15 ^ uint64(since)*0xbf58476d1ce4e5b9
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}
