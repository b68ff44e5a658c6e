package decide

import "math"

// Slow start: how many calls an endpoint may get from the start of an outage until its full capacity is back.

const (
	// budgetBurstShare is the part of a relay's budget for an overload time that it may send at once.
	budgetBurstShare = 0.25
	// toleratedDeviations is how many square roots of its budget a recovering destination withstands on top
	// of the budget.
	toleratedDeviations = 2.0
	// toleratedExtraCalls is how many further calls it withstands.
	toleratedExtraCalls = 2.0
	// fixedCostDeviations is how many of those square roots are added to the budget where every relay may
	// send bursts. There each call costs exactly one token, so chance does not add to the calls.
	fixedCostDeviations = 1.5
	// informedCallShare applies to all calls to a recovering destination that fails again. Its failure counts
	// against the relays that knew of the outage if they made more than this share of the calls.
	informedCallShare = 2.0 / 3
)

// suspected reports whether the last calls failed, but too few of them to eject the endpoint.
func (ep *endpoint) suspected() bool { return !ep.ejected && ep.lastFailureAt > ep.lastSuccessAt }

// countInheritedFailure counts an attempt that a predecessor process made for a message as a failure of
// endpoints that have had no success yet. Together with the next failure it reaches
// ejectionScoreFewCalls.
func (p *Policy) countInheritedFailure(m *message) {
	if m.attempts == 0 {
		return
	}
	for _, l := range m.dest.limiters {
		for _, ep := range l.endpoints {
			if ep.lastSuccessAt == 0 && p.seesFewCalls(l) {
				ep.failureScore = max(ep.failureScore, 1-scoreDecay)
			}
		}
	}
}

// rampShare returns the share of its capacity that an endpoint is assumed to have now. Once the ramp is over
// it ends the outage.
func (p *Policy) rampShare(ep *endpoint) float64 {
	share := p.rampShareAt(ep, p.now)
	if share >= 1 && ep.recoveredAt > 0 { // the ramp is over
		ep.ejected, ep.failureScore, ep.recoveredAt = false, 0, 0
		p.emit(Action{Kind: ActOutage, Endpoint: ep.id})
	}
	return share
}

// rampShareAt returns the share of its capacity that an endpoint is assumed to have at the given time.
func (p *Policy) rampShareAt(ep *endpoint, at Time) float64 {
	start := p.settings.StartCapacity
	if ep.recoveredAt == 0 {
		return start
	}
	return start + (1-start)*float64(max(at-ep.recoveredAt, 0))/float64(max(p.settings.RampTime, 1))
}

// overloadSeconds returns the time in seconds over which calls to a recovering endpoint are counted.
func (p *Policy) overloadSeconds() float64 {
	return float64(max(p.settings.OverloadTime, second)) / float64(second)
}

// slowStartPeers returns the number of relays assumed to share the budget of an endpoint: those that may
// have had a message for the destination since the outage began. These are all relays if they are few, and
// otherwise in proportion to the messages that have arrived since, of which a call may carry several.
func (p *Policy) slowStartPeers(ep *endpoint) float64 {
	age := float64(p.now-ep.firstFailureAt)/float64(second) + p.overloadSeconds()
	messages := p.capacity(ep.limiter) * float64(ep.limiter.dest.kind.MaxBatch) * age
	return min(float64(p.settings.Relays), max(1, relaysPerMessage*messages))
}

// slowStartBudget returns how many calls peers relays together may send an endpoint in an overload time. A
// call counts in every time window of that length that contains it; the first of these began an overload
// time ago, with the lowest capacity.
func (p *Policy) slowStartBudget(ep *endpoint, peers float64) float64 {
	share := p.rampShare(ep)
	total := p.settings.OverloadFactor * p.capacity(ep.limiter) /
		float64(max(len(ep.limiter.endpoints), 1)) * p.overloadSeconds()
	startBudget := total * p.rampShareAt(ep, p.now-Time(p.overloadSeconds()*float64(second)))
	deviation := math.Sqrt(startBudget)
	switch {
	case startBudget*budgetBurstShare >= peers:
		// Every relay may send bursts, so the costs of its calls are not random and add no variation.
		return min(total*share, startBudget+fixedCostDeviations*deviation)
	case p.seesFewCalls(ep.limiter):
		// Some relays may not know of the outage and send at the full rate.
		return min(startBudget,
			informedCallShare*(startBudget+toleratedDeviations*deviation+toleratedExtraCalls))
	}
	return startBudget
}

// budgetRate returns this relay's share of the slow-start budget: the calls a second and the burst size. A
// burst and the refill of one overload time together stay within the budget.
func (p *Policy) budgetRate(ep *endpoint) (rate, burst float64) {
	peers := p.slowStartPeers(ep)
	share := p.slowStartBudget(ep, peers) / peers
	if burst = share * budgetBurstShare; burst >= 1 {
		return (share - burst) / p.overloadSeconds(), burst
	}
	return share / p.overloadSeconds(), burst
}

// spendBudget takes a call out of the slow-start budget and sets the cost of the next one. Where relays may
// not send bursts they must not call at the same moments, so the cost of the next call is random with a
// mean of one. A relay that sends one call or more in an overload time draws costs that differ little,
// which keeps the sum over all relays near its mean; one that sends less needs the wider spread to stay out
// of step with the others.
func (p *Policy) spendBudget(ep *endpoint) {
	rate, burst := p.budgetRate(ep)
	ep.budget.take(p.now, ep.nextCallCost, rate, max(burst, ep.nextCallCost))
	switch {
	case burst >= 1:
		ep.nextCallCost = 1
	case rate*p.overloadSeconds() >= 1:
		ep.nextCallCost = 0.5 + p.rng.Float64()
	default:
		ep.nextCallCost = p.rng.ExpFloat64()
	}
}
