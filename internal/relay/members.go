package relay

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
	"troutusher/internal/membership"
)

// This file is the loop's view of the membership list. The directory stores every listed endpoint in a few bytes. The
// loop keeps an endpoint object only for those with a call, a Retry-After or a connection.

const (
	changesPerStep  = 512 // changes of a list that the loop applies at once
	entriesPerYield = 128 // entries read after which the reading goroutine yields
	// A goroutine that never blocks yields to others, but on a single processor the runtime then polls the network
	// only every 10 ms. So work on a list sleeps for listPause after each listTimeSlice.
	listTimeSlice         = 4 * time.Millisecond
	listPause             = 50 * time.Microsecond // at least; a millisecond if the system's timers are coarse
	forgetChecksPerChange = 64                    // endpoints that each call of forgetEndpoints checks
	// directoryMemoryTenths is the share of the memory limit that the directory may use, in tenths.
	directoryMemoryTenths = 6
	unmatchedZone         = -2 // number of a zone that is not configured any more: no endpoint has it
	// unlistedEndpointBit is set in the numbers of endpoints that no list names.
	unlistedEndpointBit = 1 << 63
)

// directoryLimit is the memory limit of the directory in bytes.
func directoryLimit(l *Limits) int64 { return int64(l.MemoryMB) << 20 / 10 * directoryMemoryTenths }

// listReceiver receives a list from discovery and passes it on to the loop.
type listReceiver struct {
	*membership.Stage
	clock       clock.Clock
	enqueue     func(event)
	drainQueued *atomic.Bool // a drain event is enqueued that the loop has not processed
	entries     int
	workTimer   workTimer
}

// workTimer limits how long a goroutine works without a pause, to one time slice of listTimeSlice.
type workTimer struct{ started clock.Instant }

// expired reports whether the time slice is over, and begins the next one if so.
func (t *workTimer) expired(now clock.Instant) bool {
	if !t.started.IsZero() && now.Sub(t.started) < listTimeSlice {
		return false
	}
	t.started = now
	return true
}

// beginList begins to receive a list, once the list before it is in force.
func (r *Relay) beginList(ctx context.Context) (membership.Receiver, error) {
	stage, err := r.directory.Stage(ctx)
	if err != nil {
		return nil, err
	}
	return &listReceiver{Stage: stage, clock: r.clock, enqueue: r.inbox.put, drainQueued: &r.drainPending}, nil
}

// Entry implements membership.Receiver. It notifies the loop when a drain takes effect, and lets other goroutines run
// at intervals.
func (l *listReceiver) Entry(e *membership.Entry, applyDrains bool) error {
	drains, err := l.Stage.Entry(e, applyDrains)
	if drains && l.drainQueued.CompareAndSwap(false, true) {
		l.enqueue(event{drainAnnounced: true})
	}
	if l.entries++; l.entries%entriesPerYield != 0 {
		return err
	}
	if runtime.Gosched(); l.workTimer.expired(l.clock.Now()) {
		time.Sleep(listPause)
		l.workTimer.started = l.clock.Now()
	}
	return err
}

// End implements membership.Receiver. It passes the list to the loop, which puts it in force.
func (l *listReceiver) End(revision int64, complete bool) {
	l.enqueue(event{update: l.Commit(revision, complete)})
}

// Endpoints lists the endpoints of a destination for the policy.
func (r *Relay) Endpoints(dest int, into []decide.Entry) []decide.Entry {
	r.endpointBuffer = r.directory.Endpoints(dest, r.endpointBuffer[:0])
	for i := range r.endpointBuffer {
		into = append(into, r.policyEntry(&r.endpointBuffer[i]))
	}
	return into
}

// policyEntry converts an endpoint of the directory to an entry for the policy.
func (r *Relay) policyEntry(e *membership.Endpoint) decide.Entry {
	entry := decide.Entry{Endpoint: decide.Endpoint(e.Number), Dest: e.Dest, State: decide.Removed, Rate: e.Rate}
	switch e.Phase {
	case membership.Up:
		entry.State = decide.Ready
	case membership.Draining:
		entry.State = decide.Draining
	default:
		return entry
	}
	attributes := r.directory.Attributes(e.AttributesID)
	entry.Zone, entry.Kind = r.zoneNumber(attributes.Locality), indexOf(r.cfg.kinds, attributes.Flavor)
	return entry
}

// zoneNumber returns the number of a zone, and gives one to a zone that the settings do not name.
func (r *Relay) zoneNumber(name string) int {
	number, known := r.cfg.zones[name]
	if !known {
		number = nextNumber(r.cfg.zones)
		r.cfg.zones[name] = number
	}
	return number
}

// nextNumber returns the lowest number above all of those in use.
func nextNumber(numbers map[string]int) int {
	next := 0
	for _, number := range numbers {
		next = max(next, number+1)
	}
	return next
}

// startListUpdate begins to apply a list. A short list is applied completely.
func (r *Relay) startListUpdate(u *membership.Update) {
	r.pendingUpdate = u
	r.applyNextChanges()
}

// applyNextChanges applies the next changes of the list. The loop handles other events between the steps of a long
// list.
func (r *Relay) applyNextChanges() {
	var done bool
	if r.changeBuffer, done = r.pendingUpdate.Apply(changesPerStep, r.changeBuffer[:0]); done {
		r.pendingUpdate = nil
	}
	r.publishChanges()
}

// applyAllChanges applies the rest of the list at once, for when the loop has no other events to handle.
func (r *Relay) applyAllChanges() {
	for r.pendingUpdate != nil {
		r.applyNextChanges()
	}
}

// applyDrains applies the drains in a list that is still being received.
func (r *Relay) applyDrains() {
	r.drainPending.Store(false)
	for done := false; !done; {
		r.changeBuffer, done = r.directory.TakeDrained(changesPerStep, r.changeBuffer[:0])
		r.publishChanges()
	}
}

// publishChanges passes changes on: to the policy those of destinations that it has state about, and to the loop's
// endpoint objects their own.
func (r *Relay) publishChanges() {
	e := decide.Event{Kind: decide.EvList, List: decide.ListDelta}
	for i := range r.changeBuffer {
		change := &r.changeBuffer[i]
		if ep := r.endpoints[decide.Endpoint(change.Now.Number)]; ep != nil {
			r.applyListing(ep, &change.Now)
		}
		if r.policy.HoldsDestination(change.Was.Dest) || r.policy.HoldsDestination(change.Now.Dest) {
			e.Entries = append(e.Entries, r.policyEntry(&change.Now))
		}
	}
	if len(e.Entries) > 0 {
		r.policyEvents = append(r.policyEvents, e)
	}
	if len(r.unlistedOutages) > 0 {
		ids := make([]string, 0, len(r.changeBuffer))
		for i := range r.changeBuffer {
			id, _ := r.directory.Text(r.changeBuffer[i].Now.Number)
			ids = append(ids, id)
		}
		r.restoreOutages(ids)
	}
	r.forgetEndpoints()
}

// endpoint returns the loop's endpoint object with a number and creates it if there is none. It returns nil if the
// directory does not know the endpoint.
func (r *Relay) endpoint(num decide.Endpoint) *endpoint {
	ep := r.endpoints[num]
	if ep == nil {
		listed, ok := r.directory.Get(membership.Number(num))
		if !ok || num >= unlistedEndpointBit {
			return nil
		}
		ep = &endpoint{num: num, calls: map[*call]bool{}}
		r.endpoints[num] = ep
		r.directory.Hold(listed.Number)
		r.applyListing(ep, &listed)
	}
	ep.released = false
	return ep
}

// applyListing updates an endpoint object to what the list says.
func (r *Relay) applyListing(ep *endpoint, listed *membership.Endpoint) {
	if listed.Phase == membership.Removed {
		r.withdrawEndpoint(ep)
		return
	}
	id, hostPort := r.directory.Text(listed.Number)
	if ep.id = id; ep.hostPort != hostPort || ep.dest != listed.Dest {
		// The id was listed with another address or destination before: no new call goes to the old one.
		r.withdrawEndpoint(ep)
		ep.hostPort, ep.dest = hostPort, listed.Dest
	}
	attributes := r.directory.Attributes(listed.AttributesID)
	ep.zone, ep.maxBatch, ep.separateLimits =
		attributes.Locality[:min(len(attributes.Locality), maxZoneNameBytes)], 1, false
	if i := indexOf(r.cfg.kinds, attributes.Flavor); i >= 0 && i < len(r.cfg.Policy.Kinds) {
		kind := r.cfg.Policy.Kinds[i]
		ep.maxBatch, ep.separateLimits = max(kind.MaxBatch, 1), kind.SeparateLimits
	}
	if listed.Phase != membership.Up {
		r.withdrawEndpoint(ep)
		return
	}
	if ep.conns == nil || ep.withdrawn {
		ep.conns = r.pool.forHost(ep.hostPort)
	}
	ep.withdrawn = false
}

// withdrawEndpoint stops new calls to an endpoint. A call that still waits for a connection there is cancelled, since
// it would begin too late.
func (r *Relay) withdrawEndpoint(ep *endpoint) {
	if !ep.withdrawn {
		ep.withdrawn, ep.withdrawnAt = true, r.now()
		r.queueForget(ep)
	}
	for c := range ep.calls {
		c.cancelUnsent(errDrained)
	}
	if ep.conns != nil {
		ep.conns.close()
	}
}

// releaseEndpoint records that the policy keeps no state about an endpoint any more.
func (r *Relay) releaseEndpoint(num decide.Endpoint) {
	if ep := r.endpoints[num]; ep != nil {
		ep.released = true
		r.queueForget(ep)
		r.forgetEndpoints()
	}
}

// queueForget queues an endpoint for forgetEndpoints.
func (r *Relay) queueForget(ep *endpoint) {
	if !ep.forgetQueued {
		ep.forgetQueued = true
		r.forgetCandidates = append(r.forgetCandidates, ep)
	}
}

// forgetEndpoints deletes queued endpoint objects that are withdrawn, or that the policy has released, once they have
// neither calls nor a Retry-After. Otherwise the objects of endpoints that the list adds and removes, or that were
// used once, would accumulate in memory.
func (r *Relay) forgetEndpoints() {
	now := r.now()
	for range min(forgetChecksPerChange, len(r.forgetCandidates)) {
		ep := r.forgetCandidates[0]
		r.forgetCandidates = r.forgetCandidates[1:]
		switch {
		case !ep.withdrawn && !ep.released: // it is in use again
			ep.forgetQueued = false
		case len(ep.calls) > 0 || now <= ep.waitUntil || !ep.released && now <= ep.withdrawnAt+withdrawnEndpointRetention:
			r.forgetCandidates = append(r.forgetCandidates, ep)
		default:
			if ep.forgetQueued = false; ep.conns != nil {
				ep.conns.closeIdle()
			}
			delete(r.endpoints, ep.num)
			r.directory.Release(membership.Number(ep.num))
		}
	}
}

// indexOf returns the index of a name, or -1 if the name is unknown.
func indexOf(indexes map[string]int, name string) int {
	if i, ok := indexes[name]; ok {
		return i
	}
	return -1
}
