package decide

import "math"

// Steps: events in, actions out, and the single timer that triggers the next step.

// Step handles the events that have happened by now and appends the resulting actions.
func (p *Policy) Step(now Time, events []Event, actions []Action) []Action {
	p.now, p.actions = max(now, p.now), actions
	if p.settings.ListOnRequest && (p.listAskedAt == 0 || p.now-p.listAskedAt >= p.settings.ListMaxAge/2) {
		p.listAskedAt = p.now
		p.emit(Action{Kind: ActWatchList})
	}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case EvList:
			p.applyList(e)
		case EvMessage:
			p.admit(e)
		case EvOutcome:
			p.handleOutcome(e)
		case EvResponseStarted, EvWithdraw:
			m := p.messages[e.Message]
			if m != nil && (e.Kind == EvWithdraw || m.call != nil && e.Attempt == m.attempts-1) {
				p.finishMessage(m)
			}
		case EvSettings:
			if e.Settings.Validate() == nil { // invalid settings are ignored as a whole
				p.applySettings(*e.Settings)
			}
		case EvSnapshot:
			p.restore(e.Snapshot)
		case EvRecording:
			p.cannotRecord = e.CannotRecord
			p.markWaitingPending()
		}
	}
	p.inheritedCalls = nil // all messages of a call arrive in one step
	p.runTimers()
	p.shed()
	p.dispatch()
	p.evictExpired(2 + len(events))
	p.armTimer()
	out := p.actions
	p.actions = nil
	return out
}

// runTimers runs the functions that are due.
func (p *Policy) runTimers() {
	for run, ok := p.timers.popDue(p.now); ok; run, ok = p.timers.popDue(p.now) {
		run()
	}
}

// armTimer requests one timer for the next moment at which time alone may change something.
func (p *Policy) armTimer() {
	next := p.timers.nextAt()
	if p.settings.ListOnRequest {
		next = min(next, p.listAskedAt+max(p.settings.ListMaxAge/2, second))
	}
	if next == math.MaxInt64 || p.timerAt > p.now && p.timerAt <= next {
		return
	}
	p.timerAt = max(next, p.now+p.settings.Tick)
	p.emit(Action{Kind: ActTimer, After: p.timerAt - p.now})
}

// deadlineMargin returns how long before its deadline a message is ended: the timer may be some ticks late.
func (p *Policy) deadlineMargin() Time { return 3 * p.settings.Tick }
