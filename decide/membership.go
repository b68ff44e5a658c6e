package decide

import "slices"

// Membership: updates of the discovery list; endpoints that join, drain and leave.

// applyList applies an update of the list. Draining and removed endpoints get no new calls from then on.
func (p *Policy) applyList(e *Event) {
	if e.List == ListFailed {
		return // the next request follows by timer
	}
	listed := map[Endpoint]bool{}
	for i := range e.Entries {
		entry := &e.Entries[i]
		listed[entry.Endpoint] = true
		ep := p.endpoints[entry.Endpoint]
		// A route that was removed during a wait is added anew and keeps that wait.
		if ep != nil && ep.state == Removed {
			ep = nil
		}
		// An endpoint that has moved to another destination must not be used for the old one.
		if ep != nil && ep.limiter.dest.id != entry.Dest {
			p.removeEndpoint(ep)
			ep = nil
		}
		switch {
		case entry.State == Removed:
			if ep != nil {
				p.removeEndpoint(ep)
			}
			continue
		case ep == nil && p.directory != nil && p.destinations[entry.Dest] == nil:
			continue // the directory is asked when a message comes
		case ep == nil:
			// Expired state is reset first: a wait that the endpoint keeps from before would prevent that.
			if d := p.destinations[entry.Dest]; d != nil {
				p.resetIfExpired(d)
			}
			if ep = p.endpoints[entry.Endpoint]; ep == nil || ep.state == Removed ||
				ep.limiter.dest.id != entry.Dest {
				ep = p.addEndpoint(entry)
			}
		}
		p.applyEntry(ep, entry)
		if p.directory == nil || len(ep.limiter.dest.queue) > 0 {
			p.markPending(ep.limiter.dest)
		}
	}
	if e.List == ListFull || e.List == ListCached {
		for id, ep := range p.endpoints { // the removals are independent; their order does not matter
			if !listed[id] {
				p.removeEndpoint(ep)
			}
		}
	}
}

// applyEntry updates an endpoint from its entry in the list.
func (p *Policy) applyEntry(ep *endpoint, entry *Entry) {
	ep.state, ep.zone, ep.kind, ep.rate = entry.State, entry.Zone, entry.Kind, entry.Rate
	if p.settings.RatesListed && entry.Rate > 0 {
		ep.limiter.nominalRate = entry.Rate
	}
}

// removeEndpoint removes an endpoint, ejected or not; its calls in flight are still accounted for. A route
// with a wait in force stays known until the wait is over, so that it applies if the route comes back.
func (p *Policy) removeEndpoint(ep *endpoint) {
	if ep.state = Removed; ep.ejected || ep.suspected() {
		p.emit(Action{Kind: ActOutage, Endpoint: ep.id})
	}
	l := ep.limiter
	if p.endpoints[ep.id] == ep && (!l.dest.kind.SeparateLimits || l.retryAfterUntil <= p.now) {
		delete(p.endpoints, ep.id)
	} else if p.endpoints[ep.id] == ep {
		p.timers.add(l.retryAfterUntil, func() {
			if p.endpoints[ep.id] == ep && ep.state == Removed {
				p.removeEndpoint(ep)
			}
		})
	}
	l.endpoints = slices.DeleteFunc(l.endpoints, func(x *endpoint) bool { return x == ep })
	if l.dest.kind.SeparateLimits {
		l.dest.limiters = slices.DeleteFunc(l.dest.limiters, func(x *limiter) bool { return x == l })
	}
}

// addEndpoint adds the endpoint of an entry to the destination that the entry names.
func (p *Policy) addEndpoint(entry *Entry) *endpoint {
	return p.addEndpointTo(p.destination(entry.Dest), entry)
}

// addEndpointTo adds the endpoint of an entry to the limiter of the destination or, with separate limits,
// to a limiter of its own.
func (p *Policy) addEndpointTo(d *destination, entry *Entry) *endpoint {
	if entry.Kind >= 0 && entry.Kind < len(p.settings.Kinds) {
		d.kind, d.kindIndex = p.settings.Kinds[entry.Kind], entry.Kind
	}
	d.kind.MaxBatch = max(d.kind.MaxBatch, 1)
	if len(d.limiters) == 0 || d.kind.SeparateLimits {
		d.limiters = append(d.limiters, &limiter{dest: d, window: 1, rateFactor: 1,
			history: newRollingCounter(historySpan, historyBins)})
	}
	l := d.limiters[len(d.limiters)-1]
	if previous := p.endpoints[entry.Endpoint]; previous != nil && d.kind.SeparateLimits {
		l.retryAfterUntil = previous.limiter.retryAfterUntil
	}
	ep := &endpoint{id: entry.Endpoint, limiter: l}
	l.endpoints = append(l.endpoints, ep)
	p.endpoints[entry.Endpoint] = ep
	return ep
}
