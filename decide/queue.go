package decide

import (
	"cmp"
	"math"
	"slices"
)

// Queues: admission, tenant quotas, the cost of waiting, and load shedding.

// heldReserveDivisor is the divisor of Settings.MaxHeld that gives the number of places kept free.
const heldReserveDivisor = 16

// admit accepts a message into the queue of its destination.
func (p *Policy) admit(e *Event) {
	if p.messages[e.Message] != nil {
		return
	}
	class, maxAttempts := e.OriginalClass, e.OriginalMaxAttempts
	if class == nil {
		if e.Class < 0 || e.Class >= len(p.settings.Classes) {
			p.emit(Action{Kind: ActRefuse, Message: e.Message}) // the class is unknown, and nothing has run
			return
		}
		class, maxAttempts = &p.settings.Classes[e.Class], p.settings.MaxAttempts
	}
	m := &message{id: e.Message, key: e.Key, class: class, maxAttempts: maxAttempts,
		dest: p.destinationInUse(e.Dest), worth: class.Worth}
	m.deadline = p.now + max(e.TimeLeft, 0)
	m.targetAt = m.deadline - class.Deadline + class.TargetTime
	if p.settings.WorthByCost && e.EstimatedCost > 0 {
		m.worth *= float64(e.EstimatedCost)
	}
	if e.Tenant >= 0 && e.Tenant < len(p.tenantBuckets) && p.settings.Tenants[e.Tenant].Quota > 0 {
		// Messages beyond the quota of their tenant come last. Each relay enforces its even share of it.
		share := p.settings.Tenants[e.Tenant].Quota / float64(p.settings.Relays)
		bucket := &p.tenantBuckets[e.Tenant]
		if !bucket.take(p.now, 1, share, max(share, 1)) {
			m.worth *= p.settings.OverShareWorth
		}
	}
	p.messages[m.id] = m
	m.index = len(p.unfinished)
	p.unfinished = append(p.unfinished, m)
	m.deadlineTimer = p.timers.add(m.deadline-p.deadlineMargin(), func() { p.endIfDue(m) })
	p.resumeAttempts(m, e)
	if m.inherited = e.OriginalClass != nil; m.inherited {
		p.startSlowly(m.dest)
		p.countInheritedFailure(m)
	}
	if e.InFlightEndpoint != 0 {
		p.inheritCall(m, e)
	} else {
		m.dest.queue = append(m.dest.queue, m)
	}
	p.markPending(m.dest)
	if class.InOrder && m.key != 0 {
		key := p.orderedKeys[m.key]
		if key == nil {
			key = &orderedKey{}
			p.orderedKeys[m.key] = key
		}
		key.queue = append(key.queue, m)
	}
}

// startSlowly reduces the send rate to a destination for which a predecessor process left messages. Where
// many relays send few calls each, many of them may have been killed at the same moment. With full buckets
// and a backlog they would together exceed the rate limit many times, and the rejections would use up the
// capacity. The cost is that messages held through the restart of a single relay wait for up to one round
// (see roundSeconds).
func (p *Policy) startSlowly(d *destination) {
	for _, l := range d.limiters {
		if p.sparse(l) && !l.bucket.initialized {
			l.rateFactor = minRateFactor
			l.bucket = tokenBucket{updatedAt: p.now, tokens: p.rng.Float64(), initialized: true}
		}
	}
}

// inheritCall counts the call that another process has in flight for a message as a call of this policy. It
// takes its slot even if its endpoint is no longer listed.
func (p *Policy) inheritCall(m *message, e *Event) {
	c := p.inheritedCalls[e.InFlightCall]
	m.call = c
	if c == nil {
		ep := p.endpoints[e.InFlightEndpoint]
		if ep == nil || ep.limiter.dest != m.dest {
			ep = &endpoint{id: e.InFlightEndpoint, limiter: &limiter{dest: m.dest, window: 1, rateFactor: 1,
				history: newRollingCounter(historySpan, historyBins)}}
		}
		m.call = &call{endpoint: ep, zone: e.InFlightZone, sentAt: min(e.InFlightSince, p.now)}
		if p.inheritedCalls == nil {
			p.inheritedCalls = map[uint64]*call{}
		}
		p.inheritedCalls[e.InFlightCall] = m.call
	}
	p.messagesInFlight++
	m.call.remaining++
	m.call.messages = append(m.call.messages, m)
	if c == nil {
		p.trackCall(m.call, m)
	}
}

// valueAt returns what a message is worth if it is delivered at the given time.
func (p *Policy) valueAt(m *message, deliveredAt Time) float64 {
	switch {
	case deliveredAt <= m.targetAt:
		return m.worth
	case deliveredAt > m.deadline:
		return 0
	case p.settings.WorthHalves:
		half := math.Exp2(-float64(deliveredAt-m.targetAt) / float64(max(m.class.TargetTime, 1)))
		return m.worth * max(m.class.LateWorth, half)
	}
	elapsed := float64(deliveredAt-m.targetAt) / float64(max(m.deadline-m.targetAt, 1))
	return m.worth * (1 - (1-m.class.LateWorth)*elapsed)
}

// drainTime estimates, as far as this relay can tell, how long a destination takes for its queue: messages
// that other relays hold for it are not known.
func (p *Policy) drainTime(d *destination) Time {
	rate := 0.0
	for _, l := range d.limiters {
		rate += p.sendRate(l)
	}
	wait := float64(len(d.queue)) / max(rate*float64(d.kind.MaxBatch), 0.1)
	return Time(min(wait, 60)*1e6) + p.usualLatency(d)
}

// usualLatency estimates, as far as this relay can tell, how long a call to the destination takes.
func (p *Policy) usualLatency(d *destination) Time {
	if len(d.limiters) > 0 && d.limiters[0].latency.samples > 0 {
		return Time(d.limiters[0].latency.mean)
	}
	if p.latency.samples > 0 {
		return Time(p.latency.mean)
	}
	return p.settings.Classes[0].TargetTime / 4
}

// sortQueue puts first the messages that lose most if they wait until the queue is drained. Messages that a
// predecessor process left without an attempt go before the others, within the same limits of the
// destination: as they are late they would lose least and never be sent. The cost is that new messages may
// wait for them, once after a restart.
func (p *Policy) sortQueue(d *destination) {
	earliest := p.now + p.usualLatency(d)
	latest := earliest + p.drainTime(d)
	for _, m := range d.queue {
		m.waitLoss = p.valueAt(m, earliest) - p.valueAt(m, latest)
		if m.inherited && m.attempts == 0 { // it has already waited through a restart
			m.waitLoss += p.maxWorth
		}
	}
	slices.SortStableFunc(d.queue, func(a, b *message) int {
		return cmp.Or(cmp.Compare(b.waitLoss, a.waitLoss), cmp.Compare(a.targetAt, b.targetAt))
	})
}

// shed ends the messages of least value until the reserve of MaxHeld (see heldReserveDivisor) is free: a new
// message that would be refused unseen may be worth more than they are, and messages whose destination is
// unavailable for long must not take the places of the others.
func (p *Policy) shed() {
	for p.settings.MaxHeld > 0 &&
		len(p.unfinished) > p.settings.MaxHeld-max(1, p.settings.MaxHeld/heldReserveDivisor) {
		var least *message
		lowestValue := math.Inf(1)
		p.shedPasses++
		for _, m := range p.unfinished {
			if p.mayHandBack(m) && !(m.inherited && m.attempts == 0) {
				d := m.dest
				if d.shedPass != p.shedPasses { // computed once for each destination
					dispatchAt := p.nextDispatchAt(d)
					if dispatchAt == math.MaxInt64 { // it waits for an outcome, not for a time
						dispatchAt = p.now
					}
					d.shedPass, d.drainedAt = p.shedPasses, dispatchAt+p.drainTime(d)
				}
				if value := p.valueAt(m, min(d.drainedAt, m.deadline)); value < lowestValue {
					least, lowestValue = m, value
				}
			}
		}
		if least == nil {
			return
		}
		p.endMessage(least)
	}
}
