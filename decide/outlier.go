package decide

// Outlier detection: failure scores, ejections, and the backoff before an ejection.

const (
	// scoreDecay is the weight of the past in the failure score of an endpoint.
	scoreDecay = 0.7
	// ejectionScore is the failure score at which an endpoint is ejected, since most calls fail. From 0 it
	// takes three failures in a row.
	ejectionScore = 0.6
	// ejectionScoreFewCalls is the same for relays that see few calls; it takes two failures in a row.
	ejectionScoreFewCalls = 0.5
	// singleFailureMaxCalls is compared with the calls that an even share amounts to in an overload time.
	// With fewer calls than this a single failure ejects the endpoint.
	singleFailureMaxCalls = 0.5
	// fewCallsMax is compared with the same number of calls. With fewer calls than this three failures in a
	// row take longer than an overload time, so two have to be enough.
	fewCallsMax = 3.0
	// backoffGrowth is, with many relays, the ratio of a backoff to the time since the first failure of the
	// run.
	backoffGrowth = 3.0
	// unavailableRejections is how many rejections without a success between them, far enough apart, mean
	// that an endpoint is unavailable rather than at its limit.
	unavailableRejections = 2
	// unavailableRounds is how many rounds (see roundSeconds) such a run must outlast.
	unavailableRounds = 2.0
	// relaysPerMessage is the number of relays assumed to call a destination, for each message that has
	// arrived for it since its outage began.
	relaysPerMessage = 2.0
)

// ejectionThreshold returns the failure score at which an endpoint is ejected. If the share of this relay
// is so small that a run of failures would outlast the overload time of a recovering destination, the first
// failure is enough. If it sees few of all calls, two in a row are enough: by the third all relays would
// call the destination again as a healthy one. The cost is that an endpoint which lost two responses in a
// row gets fewer calls for the time of a ramp.
func (p *Policy) ejectionThreshold(l *limiter) float64 {
	switch {
	case p.callsInOverloadTime(l) < singleFailureMaxCalls:
		return 0
	case p.seesFewCalls(l):
		return ejectionScoreFewCalls
	}
	return ejectionScore
}

// callsInOverloadTime returns the calls that an even share of the capacity amounts to in the overload time.
func (p *Policy) callsInOverloadTime(l *limiter) float64 {
	return p.evenShare(l) * float64(p.settings.OverloadTime) / float64(second)
}

// seesFewCalls reports whether this relay makes so few of all calls, and so rarely, that it learns of an
// outage later than most others.
func (p *Policy) seesFewCalls(l *limiter) bool {
	return p.callsInOverloadTime(l) < fewCallsMax && float64(p.settings.Relays)*minCallShare > 1
}

// backoffRatio returns the ratio of a backoff to the age of a run of failures. It is smaller where few
// relays send many calls each.
func (p *Policy) backoffRatio(l *limiter) float64 {
	expectedRelays := relaysPerMessage * p.capacity(l) * float64(p.settings.OverloadTime) / float64(second)
	return backoffGrowth * min(1, float64(p.settings.Relays)/max(expectedRelays, 1))
}

// unavailableAfter returns how long rejections without a success must go on until a destination counts as
// unavailable rather than at its limit: half an overload time, or a few rounds of calls where the limit is
// low, since until then the other relays may have used all of its capacity.
func (p *Policy) unavailableAfter(l *limiter) Time {
	seconds := unavailableRounds * float64(p.settings.Relays) / p.capacity(l)
	return max(p.settings.OverloadTime/2, Time(seconds*float64(second)))
}

// recordSuccess records a success. In an outage, the success of a call that was sent after the last failure
// starts the ramp.
func (p *Policy) recordSuccess(ep *endpoint, sentAt Time) {
	suspected := ep.suspected()
	ep.failureScore *= scoreDecay
	ep.lastSuccessAt = p.now
	if suspected && !ep.suspected() {
		p.emit(Action{Kind: ActOutage, Endpoint: ep.id})
	}
	if ep.ejected && ep.recoveredAt == 0 && sentAt >= ep.lastFailureAt {
		ep.recoveredAt, ep.recoveryCallSentAt = p.now, sentAt
		p.emit(Action{Kind: ActOutage, Endpoint: ep.id})
		p.logf("dest %d: responds again, ramp started", ep.limiter.dest.id)
	}
}

// recordFailure records a failure and ejects the endpoint at the ejection threshold, together with the
// others of its limiter that have had no success since the run of failures began.
func (p *Policy) recordFailure(ep *endpoint, sentAt Time, silent bool) {
	if ep.recoveredAt > 0 && sentAt < ep.recoveryCallSentAt {
		return // a call sent before the recovery says nothing about it
	}
	if ep.lastFailureAt <= ep.lastSuccessAt {
		ep.firstFailureAt = p.now
	}
	ep.failureScore = ep.failureScore*scoreDecay + 1 - scoreDecay
	// A failure does not undo the ramp while most calls succeed.
	if ep.recoveredAt == 0 || ep.failureScore >= ejectionScore {
		if ep.recoveredAt > 0 && ep.ejected {
			p.emit(Action{Kind: ActOutage, Endpoint: ep.id})
		}
		ep.lastFailureAt, ep.recoveredAt, ep.silent = p.now, 0, silent
	}
	if ep.ejected || ep.failureScore < p.ejectionThreshold(ep.limiter) {
		if ep.suspected() {
			p.emit(Action{Kind: ActOutage, Endpoint: ep.id})
		}
		// Back off until enough failures are known for an ejection.
		ep.backoffUntil = p.now + Time(p.backoffRatio(ep.limiter)*float64(p.now-ep.firstFailureAt))
		return
	}
	for _, x := range ep.limiter.endpoints {
		if x == ep || !x.ejected && x.lastSuccessAt < ep.firstFailureAt {
			x.ejected, x.silent, x.recoveredAt, x.lastFailureAt = true, silent, 0, p.now
			x.budget, x.firstFailureAt = tokenBucket{}, ep.firstFailureAt
			x.budget.updatedAt, x.nextCallCost = p.now, p.rng.ExpFloat64()
			p.emit(Action{Kind: ActOutage, Endpoint: x.id})
		}
	}
	p.logf("dest %d: failing, endpoint ejected, trial calls only", ep.limiter.dest.id)
}

// mayCallEndpoint reports whether an endpoint may be called now. It holds every guard that is independent
// of the message.
func (p *Policy) mayCallEndpoint(ep *endpoint) bool {
	if ep.state != Ready || ep.limiter.retryAfterUntil > p.now || !ep.ejected && ep.backoffUntil > p.now {
		return false
	}
	rate, burst := p.budgetRate(ep)
	if !ep.ejected || ep.recoveredAt == 0 && ep.silent && ep.inFlight > 0 {
		return !ep.ejected // without responses each trial call would occupy a slot
	}
	return ep.budget.refill(p.now, rate, max(burst, ep.nextCallCost)) >= ep.nextCallCost
}
