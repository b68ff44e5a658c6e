package decide

import "slices"

// Retry: whether a message may have another attempt, when an attempt times out, and how a message ends.

// mayHandBack reports whether a message may be handed back to the client: it has no attempt in flight, and
// it cannot have run or may run again.
func (p *Policy) mayHandBack(m *message) bool {
	if m.call != nil || m.mayHaveRunAt == 0 || m.class.Idempotency == Idempotent {
		return m.call == nil
	}
	return m.class.Idempotency == Deduplicated && !m.class.DedupByZone &&
		p.now-m.mayHaveRunAt < m.class.DedupWindow
}

// attemptsExhausted reports whether a message may never have another attempt.
func (p *Policy) attemptsExhausted(m *message) bool {
	if m.attempts >= 255 || m.maxAttempts > 0 && m.attempts >= m.maxAttempts {
		return true
	}
	if m.mayHaveRunAt == 0 || m.class.Idempotency == Idempotent {
		return false
	}
	return m.class.Idempotency == NonIdempotent ||
		p.now-m.mayHaveRunAt > m.class.DedupWindow-2*p.settings.Tick
}

// endIfDue ends a message whose deadline is near, or one that waits and may never be sent again.
func (p *Policy) endIfDue(m *message) {
	if m.ended || p.now < m.deadline-p.deadlineMargin() && (m.call != nil || !p.attemptsExhausted(m)) {
		return
	}
	if m.call != nil && p.settings.MayCancel {
		p.emit(Action{Kind: ActCancel, Message: m.id, Attempt: m.attempts - 1})
	}
	p.endMessage(m)
}

// needsRecord reports whether an attempt of the message must be recorded before it is sent. If the process
// is killed, its successor sends the message again without knowing of an unrecorded attempt. That is
// harmless only if the message is idempotent, or if its deadline passes while the destination still
// recognizes its duplicates.
func (p *Policy) needsRecord(m *message) bool {
	switch m.class.Idempotency {
	case Idempotent:
		return false
	case Deduplicated:
		return m.class.DedupByZone || m.deadline > p.now+m.class.DedupWindow
	}
	return true
}

// timeoutAt returns when an attempt times out.
func (p *Policy) timeoutAt(m *message, ep *endpoint) Time {
	latest := m.deadline - 2*p.deadlineMargin()
	if m.class.Idempotency == NonIdempotent {
		return latest // it cannot be retried
	}
	return min(latest, p.now+p.callTimeout(m, ep))
}

// callTimeout returns how long a call may take before it counts as lost.
func (p *Policy) callTimeout(m *message, ep *endpoint) Time {
	timeout := float64(m.class.TargetTime)
	if latency := &ep.limiter.latency; latency.samples > 0 {
		timeout = max(4*latency.mean+4*latency.deviation, timeout)
	}
	return Time(timeout)
}

// endMessage gives the final result of a message that was not delivered. No other function does.
func (p *Policy) endMessage(m *message) {
	if m.ended {
		return
	}
	if p.mayHandBack(m) {
		a := Action{Kind: ActRefuse, Message: m.id}
		if p.settings.RetryAfter {
			a.After = min(p.drainTime(m.dest), p.settings.MaxRetryAfter)
		}
		p.emit(a)
		if m.attempts == 0 {
			p.logWaitReasons(m.dest)
		}
	} else {
		p.emit(Action{Kind: ActFail, Message: m.id})
	}
	p.finishMessage(m)
}

// finishMessage marks a message as ended; an attempt in flight is still accounted for.
func (p *Policy) finishMessage(m *message) {
	if m.ended {
		return
	}
	m.ended = true
	p.timers.remove(m.deadlineTimer)
	p.timers.remove(m.windowTimer)
	if m.call != nil {
		p.messagesInFlight--
	}
	last := p.unfinished[len(p.unfinished)-1]
	p.unfinished[m.index], last.index = last, m.index
	p.unfinished = p.unfinished[:len(p.unfinished)-1]
	m.dest.queue = slices.DeleteFunc(m.dest.queue, func(x *message) bool { return x == m })
	if m.call == nil {
		p.forgetMessage(m)
	}
}

// forgetMessage removes an ended message and lets the next message of its key go.
func (p *Policy) forgetMessage(m *message) {
	delete(p.messages, m.id)
	if key := p.orderedKeys[m.key]; key != nil && m.class.InOrder {
		key.queue = slices.DeleteFunc(key.queue, func(x *message) bool { return x == m })
		for _, x := range key.queue[:min(1, len(key.queue))] {
			p.markPending(x.dest)
		}
		if len(key.queue) == 0 {
			p.timers.add(key.pausedUntil, func() {
				if len(key.queue) == 0 && key.pausedUntil <= p.now {
					delete(p.orderedKeys, m.key)
				}
			})
		}
	}
}
