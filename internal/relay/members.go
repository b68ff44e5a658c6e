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

// The list as the loop has it: the directory knows every endpoint in few bytes, and
// only those that a call, a wait or a connection needs are objects of the loop.

const (
	listChunk = 512 // changes of a list that are put in force at once
	yieldEach = 128 // entries read after which others may run
	// A goroutine that is always ready lets others run, but with one processor what comes
	// over sockets is then looked for every 10 ms only: it rests after each listTurn.
	listTurn   = 4 * time.Millisecond
	listRest   = 50 * time.Microsecond // at least; a millisecond where the system's timers are coarse
	leaveLooks = 64                    // endpoints looked at for whether they can be forgotten, with each change
	// directoryPart is the part of the memory that the directory may take, in tenths.
	directoryPart = 6
	// madeUp marks the number of an endpoint that no list names.
	madeUp = 1 << 63
)

// directoryLimit is the bytes that the directory may take.
func directoryLimit(l *Limits) int64 { return int64(l.MemoryMB) << 20 / 10 * directoryPart }

// reading is a list that discovery reads.
type reading struct {
	*membership.Stage
	clock clock.Clock
	put   func(event)
	drain *atomic.Bool // the loop is to be told, and has not looked yet
	count int
	turn  turn
}

// turn tells when a long work is to rest.
type turn struct{ began clock.Instant }

// over reports whether the turn is, and begins the next.
func (t *turn) over(now clock.Instant) bool {
	if !t.began.IsZero() && now.Sub(t.began) < listTurn {
		return false
	}
	t.began = now
	return true
}

// begin begins a list, once the one before it is in force.
func (r *Relay) begin(ctx context.Context) (membership.Receiver, error) {
	s, err := r.directory.Stage(ctx)
	if err != nil {
		return nil, err
	}
	return &reading{Stage: s, clock: r.clock, put: r.inbox.put, drain: &r.drainPending}, nil
}

func (l *reading) Entry(e *membership.Entry, bind bool) error {
	told, err := l.Stage.Entry(e, bind)
	if told && l.drain.CompareAndSwap(false, true) {
		l.put(event{drainAnnounced: true})
	}
	if l.count++; l.count%yieldEach != 0 {
		return err
	}
	if runtime.Gosched(); l.turn.over(l.clock.Now()) {
		time.Sleep(listRest)
		l.turn.began = l.clock.Now()
	}
	return err
}

func (l *reading) End(revision int64, complete bool) {
	l.put(event{update: l.Commit(revision, complete)})
}

// Endpoints lists a destination's endpoints for the policy.
func (r *Relay) Endpoints(dest int, into []decide.Entry) []decide.Entry {
	r.endpointBuffer = r.directory.Of(dest, r.endpointBuffer[:0])
	for i := range r.endpointBuffer {
		into = append(into, r.entry(&r.endpointBuffer[i]))
	}
	return into
}

// entry is an endpoint in the policy's words.
func (r *Relay) entry(e *membership.Endpoint) decide.Entry {
	x := decide.Entry{Endpoint: decide.Endpoint(e.Number), Dest: e.Dest, State: decide.Gone, Rate: e.Rate}
	switch e.Phase {
	case membership.Up:
		x.State = decide.Ready
	case membership.Draining:
		x.State = decide.Draining
	default:
		return x
	}
	p := r.directory.Place(e.Place)
	x.Zone, x.Kind = place(r.cfg.zones, p.Locality), place(r.cfg.kinds, p.Flavor)
	return x
}

// update begins to put a list in force, and does so whole where it is short.
func (r *Relay) update(u *membership.Update) {
	r.pendingUpdate = u
	r.apply()
}

// apply goes on with it. The rest of a long one has its turn between other things.
func (r *Relay) apply() {
	var done bool
	if r.changeBuffer, done = r.pendingUpdate.Apply(listChunk, r.changeBuffer[:0]); done {
		r.pendingUpdate = nil
	}
	r.changed()
}

// applyAll puts all of it in force, where there is nothing else to do.
func (r *Relay) applyAll() {
	for r.pendingUpdate != nil {
		r.apply()
	}
}

// drained books what a list that is still being read says to drain.
func (r *Relay) drained() {
	r.drainPending.Store(false)
	for done := false; !done; {
		r.changeBuffer, done = r.directory.Drained(listChunk, r.changeBuffer[:0])
		r.changed()
	}
}

// changed tells of changes: the policy those of destinations that it holds, and the
// loop's own endpoints theirs.
func (r *Relay) changed() {
	e := decide.Event{Kind: decide.EvList, List: decide.ListChange}
	for i := range r.changeBuffer {
		c := &r.changeBuffer[i]
		if ep := r.endpoints[decide.Endpoint(c.Now.Number)]; ep != nil {
			r.relist(ep, &c.Now)
		}
		if r.policy.Holds(c.Was.Dest) || r.policy.Holds(c.Now.Dest) {
			e.Entries = append(e.Entries, r.entry(&c.Now))
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
		r.tellOutages(ids)
	}
	r.forget()
}

// endpoint gives the loop's endpoint of a number, made where there is none; nil where
// the directory does not know it.
func (r *Relay) endpoint(num decide.Endpoint) *endpoint {
	ep := r.endpoints[num]
	if ep == nil {
		e, ok := r.directory.Get(membership.Number(num))
		if !ok || num >= madeUp {
			return nil
		}
		ep = &endpoint{num: num, calls: map[*call]bool{}}
		r.endpoints[num] = ep
		r.directory.Hold(e.Number)
		r.relist(ep, &e)
	}
	ep.released = false
	return ep
}

// relist has an endpoint of the loop be as the list says.
func (r *Relay) relist(ep *endpoint, e *membership.Endpoint) {
	if e.Phase == membership.Removed {
		r.leave(ep)
		return
	}
	id, hostPort := r.directory.Text(e.Number)
	if ep.id = id; ep.hostPort != hostPort || ep.cell != e.Dest {
		// It moved under its old name: nothing more goes to the old place.
		r.leave(ep)
		ep.hostPort, ep.cell = hostPort, e.Dest
	}
	p := r.directory.Place(e.Place)
	ep.zone, ep.batch, ep.apart = p.Locality[:min(len(p.Locality), zoneNameMost)], 1, false
	if at := place(r.cfg.kinds, p.Flavor); at >= 0 && at < len(r.cfg.Policy.Kinds) {
		kind := r.cfg.Policy.Kinds[at]
		ep.batch, ep.apart = max(kind.Batch, 1), kind.Apart
	}
	if e.Phase != membership.Up {
		r.leave(ep)
		return
	}
	if ep.home == nil || ep.gone {
		ep.home = r.pool.home(ep.hostPort)
	}
	ep.gone = false
}

// leave lets nothing new go to an endpoint; a call that still waits for a
// connection there would begin it too late.
func (r *Relay) leave(ep *endpoint) {
	if !ep.gone {
		ep.gone, ep.goneAt = true, r.now()
		r.toForget(ep)
	}
	for c := range ep.calls {
		c.withhold(errDrained)
	}
	if ep.home != nil {
		ep.home.close()
	}
}

// release: the policy keeps nothing of an endpoint any more.
func (r *Relay) release(num decide.Endpoint) {
	if ep := r.endpoints[num]; ep != nil {
		ep.released = true
		r.toForget(ep)
		r.forget()
	}
}

// toForget has an endpoint looked at for whether it can be forgotten.
func (r *Relay) toForget(ep *endpoint) {
	if !ep.leaving {
		ep.leaving = true
		r.forgetCandidates = append(r.forgetCandidates, ep)
	}
}

// forget drops endpoints that have left, or that nothing is known or out of any more:
// the list's comings and goings, and what was used once, must not fill the memory.
func (r *Relay) forget() {
	now := r.now()
	for range min(leaveLooks, len(r.forgetCandidates)) {
		ep := r.forgetCandidates[0]
		r.forgetCandidates = r.forgetCandidates[1:]
		switch {
		case !ep.gone && !ep.released: // it came back
			ep.leaving = false
		case len(ep.calls) > 0 || now <= ep.waitUntil || !ep.released && now <= ep.goneAt+goneEndpointRetention:
			r.forgetCandidates = append(r.forgetCandidates, ep)
		default:
			if ep.leaving = false; ep.home != nil {
				ep.home.closeIdle()
			}
			delete(r.endpoints, ep.num)
			r.directory.Release(membership.Number(ep.num))
		}
	}
}

func place(at map[string]int, name string) int {
	if i, ok := at[name]; ok {
		return i
	}
	return -1
}
