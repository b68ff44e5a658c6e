package relay

import (
	"troutusher/decide"
	"troutusher/internal/clock"
	"troutusher/internal/membership"
)

// What a relay knows of outages and of the ramps after them outlasts its process in the
// log: one that begins anew at a cold destination as at a sound one helps to push it over.
// Told waits do not; a restart ends them.

// keepOutage logs what the policy knows of an endpoint's outage by now, or that it is over.
func (r *Relay) keepOutage(num decide.Endpoint) {
	ep := r.endpoint(num) // known under its id though it leaves
	if ep == nil || ep.id == "" {
		return
	}
	rec := &record{Kind: recOutage, ID: ep.id}
	if o, ok := r.policy.Outage(num); ok {
		o = moved(o, func(t decide.Time) decide.Time { return decide.Time(r.instant(t)) })
		o.Endpoint = 0 // numbers are this process's own
		rec.Outage = &o
	}
	r.wal.submit(rec, nil)
}

// moved turns the moments of an outage into those of another clock.
func moved(o decide.OutageMemory, to func(decide.Time) decide.Time) decide.OutageMemory {
	o.FirstBad, o.BadAt = to(o.FirstBad), to(o.BadAt)
	if o.GoodAt != 0 {
		o.GoodAt, o.GoodSent = max(to(o.GoodAt), 1), to(o.GoodSent)
	}
	return o
}

// resumeOutages takes up what the log says of outages: at once for endpoints that are
// listed, for the others when a list names them.
func (r *Relay) resumeOutages(found []*record) {
	r.unlistedOutages = map[string]decide.OutageMemory{}
	ids := make([]string, 0, len(found))
	for _, rec := range found {
		r.unlistedOutages[rec.ID] = moved(*rec.Outage,
			func(t decide.Time) decide.Time { return r.policyTime(clock.Instant(t)) })
		ids = append(ids, rec.ID)
	}
	r.tellOutages(ids)
	if len(found) > 0 {
		r.log.Info("resumed outages", "found", len(found), "not_listed", len(r.unlistedOutages))
	}
}

// tellOutages tells the policy of the outages, found at the start, of endpoints that are listed by now.
func (r *Relay) tellOutages(ids []string) {
	m := &decide.Memory{}
	for _, id := range ids {
		o, found := r.unlistedOutages[id]
		e, listed := r.directory.Find(id)
		if !found || !listed || e.Phase != membership.Up {
			continue
		}
		delete(r.unlistedOutages, id)
		o.Endpoint, o.Dest = decide.Endpoint(e.Number), e.Dest
		r.endpoint(o.Endpoint) // so that its id is known when it leaves
		m.Outages = append(m.Outages, o)
	}
	if len(m.Outages) > 0 {
		r.policyEvents = append(r.policyEvents, decide.Event{Kind: decide.EvMemory, Memory: m})
	}
}
