package decide

// Outcomes: what the end of an attempt changes for its message, call, endpoint and limiter.

// handleOutcome handles the end of an attempt, for the message, its call, its endpoint and its limiter.
func (p *Policy) handleOutcome(e *Event) {
	m := p.messages[e.Message]
	if m == nil || m.call == nil || e.Attempt != m.attempts-1 || e.Outcome >= outcomeCount {
		return
	}
	c := m.call
	m.call = nil
	if !m.ended {
		p.messagesInFlight--
	}
	c.remaining--
	if c.remaining == 0 {
		p.timers.remove(c.overdueTimer)
		p.timers.remove(c.cancelTimer)
		p.callsInFlight--
		c.endpoint.inFlight--
		if !c.overdue {
			c.endpoint.limiter.inFlight--
		}
		c.endpoint.limiter.dest.inFlight--
		if c.endpoint.idleSince = p.now; c.endpoint.inFlight == 0 &&
			p.settings.KeepAlive > 0 && !c.endpoint.idleCheckPending {
			p.closeIdle(c.endpoint)
		}
	}
	p.recordUse(c.endpoint.limiter.dest)
	p.markPending(c.endpoint.limiter.dest)
	alreadyCounted := c.overdue && (e.Outcome == TimedOut || e.Outcome == Cancelled)
	// The messages of a call share one result, which counts once.
	if !c.observed && !alreadyCounted && e.Outcome != NotSent {
		c.observed = true
		p.observe(c, e)
	}
	if e.RetryAfter > 0 { // a response that accepted some of the messages may carry one too
		c.endpoint.limiter.retryAfterUntil = max(c.endpoint.limiter.retryAfterUntil, p.now+e.RetryAfter)
		// Tokens saved during the wait would be spent all at once after it.
		for _, sibling := range c.endpoint.limiter.endpoints {
			sibling.budget.tokens, sibling.budget.updatedAt = 0, c.endpoint.limiter.retryAfterUntil
		}
	}
	noResponse := e.Outcome == TimedOut || e.Outcome == Reset || e.Outcome == Cancelled
	if key := p.orderedKeys[m.key]; key != nil && m.class.InOrder && noResponse {
		key.pausedUntil = max(key.pausedUntil, p.now+p.settings.OrderedKeyPause)
	}
	if !e.Outcome.NeverRan() && e.Outcome != Delivered && m.mayHaveRunAt == 0 {
		p.markMayHaveRun(m, c.sentAt, c.zone)
	}
	if c.remaining == 0 && c.counted && !c.observed && !c.overdue && !e.SlotsTaken {
		// None of its messages was sent, so it says nothing about the destination.
		c.endpoint.limiter.history.removeRequest(p.now, c.sentAt)
	}
	m.failedEndpoint = c.endpoint
	switch {
	case m.ended:
		p.forgetMessage(m)
	case e.Outcome == Delivered || e.Settled:
		p.finishMessage(m)
	default:
		m.dest.queue = append(m.dest.queue, m)
		p.timers.add(p.now, func() { p.endIfDue(m) })
	}
}

// observe updates the state of the endpoint and the limiter from the result of a call.
func (p *Policy) observe(c *call, e *Event) {
	ep, l := c.endpoint, c.endpoint.limiter
	if e.Load.Limit > 0 {
		l.reportedLimit = e.Load.Limit
		// The full buckets of all relays together exceed what is left of the limit: each relay keeps only
		// the remaining share of its burst.
		l.bucket.tokens = min(l.bucket.tokens, 1+e.Load.Remaining*(p.burst(l)-1))
	}
	if share := &p.noConnectionShare[l.dest.kindIndex]; e.TooManyConns && e.Outcome == Rejected {
		// A reported lack of connections says nothing about the rate limit or the health of the endpoint: the
		// next call may get one. Meanwhile the relays close idle connections sooner (see idleTimeout).
		*share += (1 - *share) / noConnectionSampleCalls
		ep.connections = ep.inFlight
		l.backoffUntil = max(l.backoffUntil,
			p.now+Time((0.5+p.rng.Float64())*float64(p.usualLatency(l.dest))))
		return
	} else if e.Outcome == ConnectFailed {
		ep.failedConnects++
	} else {
		*share -= *share / noConnectionSampleCalls
		// Failed connects count as a lack of connections only once the endpoint proves to be up.
		for ; ep.failedConnects > 0 && e.Outcome == Delivered; ep.failedConnects-- {
			if !ep.ejected {
				*share += (1 - *share) / noConnectionSampleCalls
			}
		}
	}
	if p.sparse(l) {
		if e.Outcome == Rejected {
			p.sparseRejectShare += (1 - p.sparseRejectShare) / sparseSampleCalls
		} else if e.Outcome == Delivered {
			p.sparseRejectShare -= p.sparseRejectShare / sparseSampleCalls
		}
	}
	switch e.Outcome {
	case Delivered:
		l.history.addAccept(p.now)
		l.window = min(l.window+1, float64(p.settings.Slots))
		l.rejectionRun = 0
		l.latency.add(float64(e.Elapsed))
		ep.latency.add(float64(e.Elapsed))
		p.latency.add(float64(e.Elapsed))
		if l.rateLimited && (e.Load.Limit == 0 || e.Load.Remaining > rateIncreaseMinRemaining) {
			l.rateFactor = min(l.rateFactor*rateIncreaseFactor, float64(p.settings.Relays))
		}
		p.recordSuccess(ep, c.sentAt)
	case Rejected:
		l.window = max(l.window/2, 1)
		l.rateFactor = max(l.rateFactor*p.rejectionFactor, minRateFactor)
		// The destination has no capacity left for the tokens saved so far.
		l.bucket.tokens = min(l.bucket.tokens, max(p.evenShare(l)-1, 0))
		if l.rejectionRun++; l.rejectionRun == 1 {
			l.rejectionRunStart = p.now
		}
		if l.reportedLimit == 0 && l.nominalRate == 0 {
			l.nominalRate = max(l.history.acceptRate(p.now), 1) * float64(p.settings.Relays)
		}
		rate, _ := p.budgetRate(ep)
		runSeconds := float64(p.now-l.rejectionRunStart) / float64(second)
		round := p.roundSeconds(l, c.messages[0])
		backoff := float64(second) * max(round, 1/p.burst(l), min(1/rate, p.backoffRatio(l)*runSeconds))
		l.backoffUntil = p.now + Time(backoff*(0.5+p.rng.Float64()))
		// chooseEndpoint draws routes by their rates, so the others are about as loaded as this one: the
		// calls that it rejected must not move to them.
		if p.sparse(l) {
			for _, x := range l.dest.limiters {
				if x != l {
					backoff := p.roundSeconds(x, c.messages[0]) * p.rng.Float64() / 2
					x.backoffUntil = max(x.backoffUntil, p.now+Time(backoff*float64(second)))
				}
			}
		}
		// All relays that were asked to wait resume at the same time: spread their calls.
		if e.RetryAfter > 0 {
			l.backoffUntil = max(l.backoffUntil,
				p.now+e.RetryAfter+Time(round*float64(second)*p.rng.Float64()))
		}
		if e.RetryAfter >= p.settings.OverloadTime ||
			l.rejectionRun >= unavailableRejections && p.now-l.rejectionRunStart >= p.unavailableAfter(l) {
			ep.failureScore = 1 // unavailable, however few calls it has had
			p.recordFailure(ep, c.sentAt, false)
		}
	case Cancelled: // a failure only if no call has succeeded since it was sent
		if ep.lastSuccessAt <= c.sentAt {
			p.recordFailure(ep, c.sentAt, true)
		}
	case TimedOut:
		if c.sentAt >= l.halvedAt { // calls that were in flight together halve the window once
			l.window, l.halvedAt = max(l.window/2, 1), p.now
		}
		// If a call has succeeded since and most calls succeed, only this one was lost: the endpoint is up.
		if ep.lastSuccessAt <= c.sentAt || p.dropProbability(l) > 0 {
			p.recordFailure(ep, c.sentAt, true)
		}
	case ConnectFailed:
		ep.connections = ep.inFlight
		p.recordFailure(ep, c.sentAt, true)
		// A refused connection fails at once: without a backoff one message would spend all its attempts on
		// an outage before the endpoint is ejected.
		ep.backoffUntil = max(ep.backoffUntil, p.now+p.usualLatency(l.dest))
	case Errored, Reset:
		p.recordFailure(ep, c.sentAt, false)
	}
}

// roundSeconds returns the length of a round: the seconds in which each relay sends one call at the capacity
// of the limiter, but at most half the deadline, so that the message has time for another attempt.
func (p *Policy) roundSeconds(l *limiter, m *message) float64 {
	return min(1/p.evenShare(l), float64(m.class.Deadline)/2/float64(second))
}
