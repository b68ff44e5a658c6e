package decide

import (
	"math"
	"slices"
)

// Dispatch: which message is sent next, to which endpoint, and which messages share its call.

// dispatch sends the messages that lose most by waiting. It considers the pending destinations, which an
// event or a timer has affected, and the dispatchable ones, which wait only for a slot.
func (p *Policy) dispatch() {
	if p.callsInFlight < p.settings.Slots { // pick again for destinations that waited for a slot
		for _, d := range p.dispatchable {
			d.dispatchable = false
			p.markPending(d)
		}
		p.dispatchable = p.dispatchable[:0]
	}
	for _, d := range p.pending {
		d.pending = false
		p.pickMessage(d)
		if d.picked != nil && !d.dispatchable {
			d.dispatchable = true
			p.dispatchable = append(p.dispatchable, d)
		}
	}
	p.pending = p.pending[:0]
	for p.callsInFlight < p.settings.Slots && len(p.dispatchable) > 0 {
		highest := 0
		for i, d := range p.dispatchable {
			if d.pickedPriority > p.dispatchable[highest].pickedPriority {
				highest = i
			}
		}
		d := p.dispatchable[highest]
		p.makeCall(d)
		if p.pickMessage(d); d.picked == nil {
			d.dispatchable = false
			p.dispatchable = slices.Delete(p.dispatchable, highest, highest+1)
		}
	}
	if p.callsInFlight < p.settings.Slots || len(p.unfinished) <= p.messagesInFlight {
		p.slotsExhaustedSince = 0
	} else if p.slotsExhaustedSince == 0 {
		p.slotsExhaustedSince = p.now
	}
}

// markPending schedules a destination for evaluation in this step.
func (p *Policy) markPending(d *destination) {
	if !d.pending {
		d.pending = true
		p.pending = append(p.pending, d)
	}
}

// pickMessage picks the message of a destination that loses most if it waits until the queue is drained;
// among those that lose nothing, the one nearest to its target time. If there is none, it sets a timer for
// the next moment at which one may be sent.
func (p *Policy) pickMessage(d *destination) {
	d.picked = nil
	if len(d.queue) == 0 {
		return
	}
	if p.canDispatch(d) {
		p.sortQueue(d)
		for _, m := range d.queue {
			if ep := p.chooseEndpoint(m); ep != nil {
				d.picked, d.pickedEndpoint = m, ep
				d.pickedPriority = (m.waitLoss + m.worth/1000) / float64(p.usualLatency(d)+1)
				return
			}
		}
	}
	if wakeAt := p.nextDispatchAt(d); wakeAt < math.MaxInt64 &&
		(d.nextWakeAt <= p.now || wakeAt < d.nextWakeAt) {
		d.nextWakeAt = max(wakeAt, p.now+p.settings.Tick)
		d.lastWakeAt = max(d.lastWakeAt, d.nextWakeAt)
		p.timers.add(d.nextWakeAt, func() { p.markPending(d) })
	}
}

// canDispatch reports whether some limiter of a destination allows a call, without regard to its endpoints.
// If none does, sorting the queue would be wasted.
func (p *Policy) canDispatch(d *destination) bool {
	allowed := false
	for _, l := range d.limiters { // no early exit: hasToken marks limiters whose rate delays a call
		if p.hasConcurrency(l) && p.hasToken(l) {
			allowed = true
		}
	}
	return allowed
}

// nextDispatchAt returns the next time at which a call to a destination may become possible without any
// further event.
func (p *Policy) nextDispatchAt(d *destination) Time {
	p.nextDispatchScans++
	next := Time(math.MaxInt64)
	for _, l := range d.limiters {
		limiterReadyAt := max(l.backoffUntil, l.retryAfterUntil,
			l.bucket.availableAt(p.now, 1, p.sendRate(l), p.burst(l)))
		for _, ep := range l.endpoints {
			readyAt := max(limiterReadyAt, ep.backoffUntil)
			if ep.ejected {
				rate, burst := p.budgetRate(ep)
				readyAt = max(readyAt,
					ep.budget.availableAt(p.now, ep.nextCallCost, rate, max(burst, ep.nextCallCost)))
			}
			if readyAt > p.now {
				next = min(next, readyAt)
			}
		}
	}
	for _, m := range d.queue {
		if key := p.orderedKeys[m.key]; key != nil && m.class.InOrder && key.pausedUntil > p.now {
			next = min(next, key.pausedUntil)
		}
		// From its target time on a non-idempotent message may use an ejected endpoint.
		if m.class.Idempotency == NonIdempotent && m.targetAt >= p.now {
			next = min(next, m.targetAt+1)
		}
	}
	return next
}

// chooseEndpoint chooses the endpoint for a message: healthy before recovering before ejected, then the one
// with the shortest expected latency. A relay that sees too few calls to tell which route is busy draws one
// in proportion to the rates: otherwise all relays would prefer the same near or fast route and overload it
// while others have capacity left. The cost is that a call may use a slower route, on a new connection.
func (p *Policy) chooseEndpoint(m *message) *endpoint {
	var best *endpoint
	lowestCost := math.Inf(1)
	for _, l := range m.dest.limiters {
		if !p.hasConcurrency(l) || !p.hasToken(l) {
			continue
		}
		draw := 0.0
		if len(m.dest.limiters) > 1 && p.sparse(l) {
			draw = p.rng.ExpFloat64() / p.capacity(l)
		}
		for _, ep := range l.endpoints {
			if !p.maySend(m, ep) {
				continue
			}
			latency := ep.latency.mean
			if ep.latency.samples == 0 {
				latency = float64(p.usualLatency(m.dest))
			}
			cost := latency * float64(1+ep.inFlight)
			if ep.inFlight >= ep.connections*p.settings.StreamsPerConn { // a connection must be opened
				cost += latency
			}
			if ep.zone != p.settings.Zone {
				cost *= 1.5
			}
			if draw > 0 { // its mean is the time between two calls at the limiter's capacity
				cost = draw * float64(second)
			}
			if m.failedEndpoint == ep { // another endpoint may succeed, whatever the cause
				cost += float64(m.class.TargetTime)
			}
			if ep.ejected {
				cost += float64(m.class.Deadline)
				if ep.recoveredAt == 0 {
					cost *= 2
				}
			}
			if cost < lowestCost {
				best, lowestCost = ep, cost
			}
		}
	}
	return best
}

// maySend reports whether a message may be sent to an endpoint now. It holds every guard on the pair.
func (p *Policy) maySend(m *message, ep *endpoint) bool {
	if m.ended || m.call != nil || p.attemptsExhausted(m) ||
		p.now >= m.deadline-2*p.deadlineMargin() || !p.mayCallEndpoint(ep) {
		return false
	}
	if p.cannotRecord && p.needsRecord(m) {
		return false
	}
	key := p.orderedKeys[m.key]
	if m.class.InOrder && m.key != 0 &&
		(key == nil || key.queue[0] != m || m.attempts == 0 && key.pausedUntil > p.now) {
		return false
	}
	if m.mayHaveRunAt > 0 && m.class.Idempotency == Deduplicated &&
		m.class.DedupByZone && ep.zone != m.mayHaveRunZone {
		return false
	}
	if c := ep.lastCall; c != nil && c.sentAt == p.now && !p.mayShareCall(m, c.messages[0], ep) {
		return false // one step makes one call to an endpoint; the next step follows soon
	}
	// A non-idempotent message has only one attempt that may run: until its target time has passed it
	// avoids ejected endpoints that have not recovered.
	return m.class.Idempotency != NonIdempotent || !ep.ejected || ep.recoveredAt > 0 || p.now > m.targetAt
}

// makeCall makes one call with the picked message and the messages that may share it, unless throttled.
func (p *Policy) makeCall(d *destination) {
	ep, l := d.pickedEndpoint, d.pickedEndpoint.limiter
	rate := p.sendRate(l)
	l.bucket.take(p.now, 1, rate, p.burst(l))
	isTrial := ep.ejected && ep.recoveredAt == 0
	if isTrial {
		l.history.addRequest(p.now) // the slow-start budget limits trial calls more strictly than throttling
	} else if p.throttled(l) {
		l.backoffUntil = max(l.backoffUntil, p.now+p.usualLatency(d))
		return
	} else if p.sparseThrottled(l) {
		backoff := p.roundSeconds(l, d.picked) * p.rng.Float64()
		l.backoffUntil = max(l.backoffUntil, p.now+Time(backoff*float64(second)))
		return
	}
	c := &call{endpoint: ep, zone: ep.zone, sentAt: p.now, counted: true}
	for _, m := range slices.Clone(d.queue) {
		if c.remaining >= d.kind.MaxBatch {
			break
		}
		if m == d.picked || c.remaining > 0 && !isTrial && p.mayShareCall(m, d.picked, ep) {
			p.sendAttempt(m, c)
		}
	}
	if c.remaining == 0 {
		return
	}
	p.spendBudget(ep)
	l.rateLimited = false
	if ep.lastCall = c; !p.settings.ParallelAttempts && len(d.queue) > 0 {
		p.timers.add(p.now+1, func() { p.markPending(d) })
	}
	p.trackCall(c, d.picked)
}

// mayShareCall reports whether a message may share a call with the picked one. Where a message may have
// only one attempt in flight, the messages of a call must time out together: one that timed out sooner
// would be retried while its call is still in flight for the others.
func (p *Policy) mayShareCall(m, picked *message, ep *endpoint) bool {
	nonIdempotent := m.class.Idempotency == NonIdempotent
	same := nonIdempotent == (picked.class.Idempotency == NonIdempotent) &&
		(nonIdempotent || p.callTimeout(m, ep) == p.callTimeout(picked, ep))
	return p.settings.ParallelAttempts || same
}

// trackCall counts a call as in flight and sets its timers; m is the message that it was made for.
func (p *Policy) trackCall(c *call, m *message) {
	ep := c.endpoint
	c.overdueTimer = p.timers.add(c.sentAt+p.callTimeout(m, ep), func() { p.markOverdue(c) })
	if p.settings.MayCancel {
		p.cancelUnderSlotPressure(c)
	}
	p.callsInFlight++
	ep.limiter.dest.inFlight++
	ep.limiter.inFlight++
	ep.inFlight++
	ep.connections = max(ep.connections, (ep.inFlight+p.settings.StreamsPerConn-1)/p.settings.StreamsPerConn)
}

// sendAttempt sends a message with a call. No other function sends.
func (p *Policy) sendAttempt(m *message, c *call) {
	if !p.maySend(m, c.endpoint) {
		return
	}
	m.dest.queue = slices.DeleteFunc(m.dest.queue, func(x *message) bool { return x == m })
	m.call = c
	p.messagesInFlight++
	m.attempts++
	c.remaining++
	c.messages = append(c.messages, m)
	p.emit(Action{Kind: ActSend, Message: m.id, Endpoint: c.endpoint.id,
		TimeoutAt: p.timeoutAt(m, c.endpoint)})
}
