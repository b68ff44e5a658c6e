package relay

import (
	"troutusher/decide"
	"troutusher/internal/clock"
	"troutusher/internal/membership"
)

// The relay logs what the policy knows of outages and of the slow start after them, so that it survives a restart: a
// relay that starts over and sends to a recovering destination at the full rate helps to overload it again. Waits
// from Retry-After are not logged; they end with the process.

// logOutage logs what the policy currently knows of an endpoint's outage, or that the outage is over.
func (r *Relay) logOutage(num decide.Endpoint) {
	ep := r.endpoint(num) // still has its id if the endpoint was just removed
	if ep == nil || ep.id == "" {
		return
	}
	rec := &record{Kind: recordOutage, ID: ep.id}
	if outage, ok := r.policy.Outage(num); ok {
		outage = convertOutageTimes(outage, func(t decide.Time) decide.Time { return decide.Time(r.instant(t)) })
		outage.Endpoint = 0 // the number is valid in this process only
		rec.Outage = &outage
	}
	r.wal.submit(rec, nil)
}

// convertOutageTimes converts the times in an outage to another clock.
func convertOutageTimes(outage decide.OutageSnapshot, convert func(decide.Time) decide.Time) decide.OutageSnapshot {
	outage.FirstFailureAt, outage.LastFailureAt = convert(outage.FirstFailureAt), convert(outage.LastFailureAt)
	if outage.RecoveredAt != 0 {
		outage.RecoveredAt, outage.RecoveryCallSentAt = max(convert(outage.RecoveredAt), 1),
			convert(outage.RecoveryCallSentAt)
	}
	return outage
}

// resumeOutages restores the outages found in the log: at once for endpoints that are listed, and for the others when
// a list names them.
func (r *Relay) resumeOutages(found []*record) {
	r.unlistedOutages = map[string]decide.OutageSnapshot{}
	ids := make([]string, 0, len(found))
	for _, rec := range found {
		r.unlistedOutages[rec.ID] = convertOutageTimes(*rec.Outage, func(t decide.Time) decide.Time {
			return r.policyTime(clock.Instant(t))
		})
		ids = append(ids, rec.ID)
	}
	r.restoreOutages(ids)
	if len(found) > 0 {
		r.log.Info("resumed outages", "found", len(found), "not_listed", len(r.unlistedOutages))
	}
}

// restoreOutages passes the outages found in the log to the policy, for those of the given endpoints that are listed.
func (r *Relay) restoreOutages(ids []string) {
	snapshot := &decide.Snapshot{}
	for _, id := range ids {
		outage, found := r.unlistedOutages[id]
		ep, listed := r.directory.Find(id)
		if !found || !listed || ep.Phase != membership.Up {
			continue
		}
		delete(r.unlistedOutages, id)
		outage.Endpoint, outage.Dest = decide.Endpoint(ep.Number), ep.Dest
		r.endpoint(outage.Endpoint) // creates the object now, so that logOutage finds its id after a removal
		snapshot.Outages = append(snapshot.Outages, outage)
	}
	if len(snapshot.Outages) > 0 {
		r.policyEvents = append(r.policyEvents, decide.Event{Kind: decide.EvSnapshot, Snapshot: snapshot})
	}
}
