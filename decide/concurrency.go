package decide

import (
	"cmp"
	"math"
	"slices"
)

// Limits on calls in flight and on connections: windows, send rates, slots, and idle connections.

const (
	// maxSlotShare is the part of all slots that one destination may take.
	maxSlotShare = 0.75
	// maxSlotShareFailing is the same while calls to the destination fail.
	maxSlotShareFailing = 0.5
	// rejectionDecrease is the part of the rate factor that a rejection takes away where there is one relay.
	// It grows with the number of relays to the power of rejectionDecreaseExponent, since each of many sees
	// few of the rejections; it is at most minRateFactor.
	rejectionDecrease = 0.2
	// rejectionDecreaseExponent is the exponent of that growth.
	rejectionDecreaseExponent = 0.2
	// rateIncreaseFactor multiplies the rate factor after a success, if the send rate had delayed the call.
	rateIncreaseFactor = 1.08
	// rateIncreaseMinRemaining is the share of the reported rate limit that must be left for the rate
	// factor to rise.
	rateIncreaseMinRemaining = 0.5
	// minRateFactor is the least rate factor, however many rejections there are.
	minRateFactor = 0.6
	// rateShareExponent is the power of the number of relays by which the capacity is divided to give the
	// share of one relay. The share is more than an even one, since small streams vary more.
	rateShareExponent = 0.75
	// maxRateShare is the limit of that share as a multiple of an even one, since the excess of many relays
	// adds up.
	maxRateShare = 1.4
	// maxLowRateShare takes the place of maxRateShare where an even share is so small that the random
	// variation of the calls alone exceeds maxRateShare.
	maxLowRateShare = 1.6
	// burstDeviations is how many standard deviations of its own traffic a relay may send at once.
	burstDeviations = 1.65
	// nonIdempotentWaitFactor multiplies the wait for a call of non-idempotent messages under slot pressure.
	nonIdempotentWaitFactor = 4
	// scarceConnectionShare is the share of calls without a connection above which connections count as
	// scarce.
	scarceConnectionShare = 0.05
	// noConnectionSampleCalls is the number of calls over which that share is averaged.
	noConnectionSampleCalls = 20
)

// capacity returns the calls a second that all relays together may send: as reported, listed or observed.
func (p *Policy) capacity(l *limiter) float64 {
	return cmp.Or(l.reportedLimit, l.nominalRate,
		max(l.history.acceptRate(p.now)*float64(p.settings.Relays), 1))
}

// evenShare returns the capacity divided evenly among the relays.
func (p *Policy) evenShare(l *limiter) float64 { return p.capacity(l) / float64(p.settings.Relays) }

// sendRate returns the calls a second that this relay may send through the limiter.
func (p *Policy) sendRate(l *limiter) float64 {
	if l.reportedLimit == 0 && l.nominalRate == 0 {
		return float64(p.settings.Slots) * 2
	}
	capacity := p.capacity(l)
	return max(capacity/p.rateShareDivisor,
		min(math.Sqrt(capacity)/2, maxLowRateShare*p.evenShare(l))) * l.rateFactor
}

// burst returns the burst size of the limiter's token bucket: one standard deviation of the calls that all
// relays together send in a second, which the destination has to withstand anyway. With many relays it is
// limited to the random variation of this relay's own calls within the target time, since all relays may
// have full buckets.
func (p *Policy) burst(l *limiter) float64 {
	ownCalls := p.evenShare(l) * float64(p.settings.Classes[0].TargetTime) / float64(second)
	return max(1, min(math.Sqrt(p.capacity(l)), 1+burstDeviations*math.Sqrt(ownCalls)))
}

// hasConcurrency reports whether the window and the destination's share of the slots allow another call.
func (p *Policy) hasConcurrency(l *limiter) bool {
	share := maxSlotShare
	if p.failing(l) {
		share = maxSlotShareFailing
	}
	maxCalls := max(1, int(share*float64(p.settings.Slots)))
	return l.dest.inFlight < maxCalls && l.inFlight < max(1, int(l.window))
}

// failing reports whether an endpoint of the limiter is ejected or has had a recent failure.
func (p *Policy) failing(l *limiter) bool {
	return slices.ContainsFunc(l.endpoints, func(ep *endpoint) bool {
		return ep.ejected || ep.failureScore >= 1-scoreDecay
	})
}

// hasToken reports whether the limiter has a token and is not backing off. It sets rateLimited if the send
// rate delays a call.
func (p *Policy) hasToken(l *limiter) bool {
	if l.backoffUntil > p.now {
		return false
	}
	rate := p.sendRate(l)
	if l.bucket.refill(p.now, rate, p.burst(l)) < 1 {
		l.rateLimited = true
		return false
	}
	return true
}

// usualMaxLatency returns the time within which calls to the endpoint usually finish.
func (p *Policy) usualMaxLatency(ep *endpoint) Time {
	if ep.latency.samples == 0 {
		return 4 * p.usualLatency(ep.limiter.dest)
	}
	return Time(4*ep.latency.mean + 4*ep.latency.deviation)
}

// markOverdue removes a call that is in flight for longer than usual from the window and counts it as timed
// out. The relay still waits for the response to a non-idempotent message, which cannot be retried, but a
// call without a response must not block the window for all others. The call keeps its slot.
func (p *Policy) markOverdue(c *call) {
	if c.remaining == 0 {
		return
	}
	c.overdue = true
	c.endpoint.limiter.inFlight--
	if !c.observed {
		p.observe(c, &Event{Kind: EvOutcome, Outcome: TimedOut})
	}
	p.markPending(c.endpoint.limiter.dest)
}

// cancelUnderSlotPressure cancels a call after its usual maximum latency if for that long every slot has
// been taken and messages have waited: a timeout at the target time suits a slot that no message needs, but
// not the last free one. It guards against single calls that hang where others finish, and against many slow
// calls at once. The cost is that work which is nearly done is repeated. A non-idempotent message, which has
// no retry, is given longer.
func (p *Policy) cancelUnderSlotPressure(c *call) {
	wait := p.usualMaxLatency(c.endpoint) + 1
	if c.messages[0].class.Idempotency == NonIdempotent {
		wait *= nonIdempotentWaitFactor
	}
	if cancelAt := max(c.sentAt, cmp.Or(p.slotsExhaustedSince, p.now)) + wait; c.remaining > 0 &&
		cancelAt > p.now {
		c.cancelTimer = p.timers.add(cancelAt, func() { p.cancelUnderSlotPressure(c) })
		return
	}
	for _, m := range c.messages {
		if m.call == c {
			p.emit(Action{Kind: ActCancel, Message: m.id, Attempt: m.attempts - 1})
		}
	}
}

// idleTimeout returns how long an idle connection is kept. Where connections are scarce, all relays
// together should keep no more idle connections at an endpoint than two relays would. The cost is that more
// connections are opened.
func (p *Policy) idleTimeout(ep *endpoint) Time {
	if p.noConnectionShare[ep.limiter.dest.kindIndex] > scarceConnectionShare {
		return p.settings.KeepAlive * 2 / Time(max(p.settings.Relays, 2))
	}
	return p.settings.KeepAlive
}

// closeIdle closes the idle connections of an endpoint once they have not been used for the idle timeout.
func (p *Policy) closeIdle(ep *endpoint) {
	remaining := ep.idleSince + p.idleTimeout(ep) - p.now
	if ep.idleCheckPending = ep.inFlight == 0 && remaining > 0; ep.idleCheckPending {
		// checked several times, since the timeout may change
		p.timers.add(p.now+min(remaining, p.settings.KeepAlive/8+1), func() { p.closeIdle(ep) })
	} else if ep.inFlight == 0 {
		ep.connections = 0
		p.emit(Action{Kind: ActCloseIdle, Endpoint: ep.id})
	}
}
