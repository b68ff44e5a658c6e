package decide

import (
	"cmp"
	"slices"
)

// Which destinations have state in memory. Without a directory these are all that lists have named. With
// one, they are those that messages have come for; the state of a destination is evicted once no message,
// call, wait, outage or recent observation depends on it. No dispatch decision is made in this file.

// minIdleRetention is the least time without use after which the observations of a destination expire. The
// settings may make it longer.
const minIdleRetention = 60 * second

// destinationCache keeps the destinations in the order in which they were last used or checked.
type destinationCache struct {
	directory     Directory
	entryBuffer   []Entry      // reused between calls
	idleRetention Time         // time without use after which observations expire
	leastRecent   *destination // used or checked longest ago
	mostRecent    *destination
	neverEvict    bool // for tests: nothing is evicted
}

// destinationUse is the place of a destination in the destinationCache.
type destinationUse struct {
	usedAt       Time // last message or outcome
	checkedAt    Time // last use or check for eviction
	older, newer *destination
}

// UseDirectory makes the policy take the endpoints of destinations from a directory. It must be called
// before the first list.
func (p *Policy) UseDirectory(directory Directory) { p.directory = directory }

// destination returns the state of a destination and creates it if there is none.
func (p *Policy) destination(id int) *destination {
	d := p.destinations[id]
	if d == nil {
		d = &destination{id: id, kind: DestKind{MaxBatch: 1}}
		p.destinations[id] = d
		if p.directory != nil {
			p.entryBuffer = p.directory.Endpoints(id, p.entryBuffer[:0])
			p.addListedEndpoints(d)
		}
	}
	return d
}

// addListedEndpoints adds the endpoints in entryBuffer to a destination that has no limiters.
func (p *Policy) addListedEndpoints(d *destination) {
	d.kind, d.kindIndex = DestKind{MaxBatch: 1}, 0
	for i := range p.entryBuffer {
		entry := &p.entryBuffer[i]
		if moved := p.endpoints[entry.Endpoint]; moved != nil && moved.limiter.dest.id != d.id {
			p.removeEndpoint(moved) // it moved here; the list update that says so is still to come
		}
		p.applyEntry(p.addEndpointTo(d, entry), entry)
	}
}

// recordUse notes that a destination was used now.
func (p *Policy) recordUse(d *destination) {
	d.usedAt = p.now
	p.moveToMostRecent(d)
}

// moveToMostRecent moves a destination to the end of the order in which evictExpired checks.
func (p *Policy) moveToMostRecent(d *destination) {
	if d.checkedAt = p.now; p.mostRecent == d {
		return
	}
	p.unlink(d)
	if d.older = p.mostRecent; d.older != nil {
		d.older.newer = d
	} else {
		p.leastRecent = d
	}
	p.mostRecent = d
}

// unlink takes a destination out of that order.
func (p *Policy) unlink(d *destination) {
	if d.older != nil {
		d.older.newer = d.newer
	} else if p.leastRecent == d {
		p.leastRecent = d.newer
	}
	if d.newer != nil {
		d.newer.older = d.older
	} else if p.mostRecent == d {
		p.mostRecent = d.older
	}
	d.older, d.newer = nil, nil
}

// destinationInUse returns the destination of a new message and notes its use. If its observations have
// expired, they are reset, as if it had been evicted and created again.
func (p *Policy) destinationInUse(id int) *destination {
	d := p.destination(id)
	p.resetIfExpired(d)
	p.recordUse(d)
	return d
}

// resetIfExpired resets the limiters and endpoints of a destination whose observations have expired.
func (p *Policy) resetIfExpired(d *destination) {
	if d.usedAt > 0 && p.expired(d) {
		if p.entryBuffer = p.entryBuffer[:0]; p.directory != nil {
			p.entryBuffer = p.directory.Endpoints(d.id, p.entryBuffer)
		}
		for _, l := range d.limiters {
			for _, ep := range l.endpoints {
				if p.forgetEndpoint(ep); p.directory == nil {
					p.entryBuffer = append(p.entryBuffer, Entry{Endpoint: ep.id, Zone: ep.zone, Kind: ep.kind,
						Dest: d.id, State: ep.state, Rate: ep.rate})
				}
			}
		}
		d.limiters = nil
		p.addListedEndpoints(d)
	}
}

// expired reports whether no message, call, wait, outage or timer depends on the state of a destination,
// and its observations are too old to count. Once true, it stays true until the destination is used.
func (p *Policy) expired(d *destination) bool {
	if p.now-d.usedAt < p.idleRetention || len(d.queue) > 0 || d.inFlight > 0 ||
		d.picked != nil || d.dispatchable || d.lastWakeAt > p.now {
		return false
	}
	for _, l := range d.limiters {
		if l.retryAfterUntil > p.now || l.backoffUntil > p.now {
			return false
		}
		for _, ep := range l.endpoints {
			rampingUp := ep.ejected && (ep.recoveredAt == 0 || p.now-ep.recoveredAt < p.settings.RampTime)
			if rampingUp || ep.inFlight > 0 || ep.idleCheckPending || ep.backoffUntil > p.now {
				return false
			}
		}
	}
	return true
}

// evictExpired checks the destinations used or checked longest ago, up to limit, and evicts expired ones.
func (p *Policy) evictExpired(limit int) {
	if p.directory == nil {
		return
	}
	for ; limit > 0 && p.leastRecent != nil && p.now-p.leastRecent.checkedAt >= p.idleRetention; limit-- {
		d := p.leastRecent
		if p.neverEvict || !p.expired(d) {
			for _, l := range d.limiters {
				l.history.releaseEmptyBins(p.now)
				for _, ep := range l.endpoints {
					ep.lastCall = nil // it refers to a call and its messages
				}
			}
			p.moveToMostRecent(d)
			continue
		}
		p.unlink(d)
		delete(p.destinations, d.id)
		for _, l := range d.limiters {
			for _, ep := range l.endpoints {
				p.forgetEndpoint(ep)
				p.emit(Action{Kind: ActRelease, Endpoint: ep.id})
			}
		}
	}
}

// forgetEndpoint removes an endpoint whose observations have expired. If the endpoint still has an outage, it
// reports the end of it: the ramp may have ended since the endpoint was last used.
func (p *Policy) forgetEndpoint(ep *endpoint) {
	if delete(p.endpoints, ep.id); ep.ejected || ep.suspected() {
		p.emit(Action{Kind: ActOutage, Endpoint: ep.id})
	}
}

// markWaitingPending schedules all destinations with waiting messages for evaluation, in order of their ids.
func (p *Policy) markWaitingPending() {
	start := len(p.pending)
	for _, m := range p.unfinished {
		if m.call == nil {
			p.markPending(m.dest)
		}
	}
	slices.SortFunc(p.pending[start:], func(a, b *destination) int { return cmp.Compare(a.id, b.id) })
}

// HoldsDestination reports whether the policy has state of a destination.
func (p *Policy) HoldsDestination(dest int) bool { return p.destinations[dest] != nil }
