// Package hollow runs simulated relays, called hollow, without sockets for clients and endpoints: hundreds to
// thousands in one process. In a Fleet each relay has the policy and the discovery client of a relay process, with
// its own address for discovery on the loopback interface. RunPath simulates the data path instead, with the policy
// alone.
package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"troutusher/decide"
	"troutusher/internal/relay"
	"troutusher/internal/rig/registry"
	"troutusher/internal/rig/world"
)

// FollowFunc watches discovery and passes each full list and each delta to handle, until ctx ends.
type FollowFunc func(ctx context.Context, addr string, known *relay.List, handle func(*relay.List))

// Options configures a fleet.
type Options struct {
	Spec     world.Spec
	Settings decide.Settings
	Seed     uint64
	Log      *slog.Logger
	Follow   FollowFunc // nil for relay.Follow, the one of a relay process
}

// Fleet is a number of hollow relays that use the same registry.
type Fleet struct {
	opts      Options
	registry  *registry.Registry
	relays    []*Relay
	startedAt time.Time

	mu              sync.Mutex
	endpointNumbers map[string]decide.Endpoint // by ID; the same for all relays
}

// Relay is one hollow relay of a fleet.
type Relay struct {
	fleet *Fleet
	Agent *registry.Agent
	index int

	mu               sync.Mutex
	policy           *decide.Policy
	lastFullList     *relay.List         // without the deltas after it; a restart may begin with it
	revision         int64               // the revision in force
	inForceAt        map[int64]time.Time // when the expected revision, or a later one, came into force
	expectedRevision int64               // the key of inForceAt; 0 for none
	cancel           context.CancelFunc
	done             chan struct{}
	actions          []decide.Action
}

// New returns a fleet whose relays have an address for discovery each, and are not started.
func New(reg *registry.Registry, opts Options) (*Fleet, error) {
	fleet := &Fleet{opts: opts, registry: reg, endpointNumbers: map[string]decide.Endpoint{}, startedAt: time.Now()}
	if fleet.opts.Follow == nil {
		grace := time.Duration(opts.Settings.DrainGrace) * time.Microsecond / 2
		fleet.opts.Follow = func(ctx context.Context, addr string, known *relay.List, handle func(*relay.List)) {
			relay.Follow(ctx, addr, opts.Settings.Relays, grace, known, opts.Log, handle)
		}
	}
	for i := range opts.Spec.Relays {
		agent, err := reg.NewAgent("")
		if err != nil {
			return nil, err
		}
		fleet.relays = append(fleet.relays, &Relay{fleet: fleet, Agent: agent, index: i})
	}
	return fleet, nil
}

// Relay returns the relay with an index.
func (f *Fleet) Relay(i int) *Relay { return f.relays[i] }

// Len returns the number of relays.
func (f *Fleet) Len() int { return len(f.relays) }

// RelayIndexes returns the indexes of all relays.
func (f *Fleet) RelayIndexes() []int {
	list := make([]int, len(f.relays))
	for i := range list {
		list[i] = i
	}
	return list
}

// Start starts relays. With withKnownList each begins with the last full list that it had before it was stopped,
// like a relay process whose configuration contains a list.
func (f *Fleet) Start(withKnownList bool, relays ...int) error {
	for _, i := range relays {
		if err := f.relays[i].start(withKnownList); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops relays and waits until they have stopped.
func (f *Fleet) Stop(relays ...int) {
	for _, i := range relays {
		if r := f.relays[i]; r.cancel != nil {
			r.cancel()
		}
	}
	for _, i := range relays {
		if r := f.relays[i]; r.cancel != nil {
			<-r.done
			r.cancel = nil
		}
	}
}

// SetCondition sets the condition of the path between relays and discovery, such as a fault.
func (f *Fleet) SetCondition(condition registry.Condition, relays ...int) error {
	for _, i := range relays {
		if err := f.relays[i].Agent.SetCondition(condition); err != nil {
			return err
		}
	}
	return nil
}

// WaitForRevision waits until a revision is in force at all of the given relays, and returns how long after since
// that was at each. If ctx ends first, it returns the times of the relays that have the revision, and an error.
func (f *Fleet) WaitForRevision(ctx context.Context, revision int64, since time.Time, relays ...int) (
	[]time.Duration, error) {
	for _, i := range relays {
		f.relays[i].expectRevision(revision)
	}
	for {
		var times []time.Duration
		for _, i := range relays {
			if at, ok := f.relays[i].expectedRevisionAt(); ok {
				times = append(times, at.Sub(since))
			}
		}
		if len(times) == len(relays) {
			return times, nil
		}
		select {
		case <-ctx.Done():
			return times, fmt.Errorf("%d of %d relays have revision %d: %w",
				len(times), len(relays), revision, context.Cause(ctx))
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// ExpectRevision makes relays record when a revision comes into force. It must be called before the revision can
// reach them.
func (f *Fleet) ExpectRevision(revision int64, relays ...int) {
	for _, i := range relays {
		f.relays[i].expectRevision(revision)
	}
}

func (r *Relay) expectRevision(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expectedRevision == revision {
		return
	}
	r.expectedRevision, r.inForceAt = revision, map[int64]time.Time{}
	if r.revision >= revision {
		r.inForceAt[revision] = time.Now()
	}
}

// expectedRevisionAt returns when the expected revision came into force, and whether it has.
func (r *Relay) expectedRevisionAt() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.inForceAt[r.expectedRevision]
	return at, ok
}

// Revision returns the revision of the list that is in force.
func (r *Relay) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// start starts the relay with a new policy. Without a known list it asks discovery for the full list.
func (r *Relay) start(withKnownList bool) error {
	policy, err := decide.New(r.fleet.opts.Settings, r.fleet.opts.Seed+uint64(r.index))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy, r.cancel, r.done = policy, cancel, make(chan struct{})
	var list *relay.List
	if withKnownList && r.lastFullList != nil {
		list = &relay.List{Revision: r.revision, Complete: true, Members: r.lastFullList.Members}
		r.stepPolicy(list, decide.ListCached)
	} else {
		r.revision = 0
	}
	go func(done chan struct{}) {
		defer close(done)
		r.fleet.opts.Follow(ctx, r.Agent.Addr(), list, r.applyList)
	}(r.done)
	return nil
}

// applyList puts a full list or a delta into force.
func (r *Relay) applyList(list *relay.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := decide.ListDelta
	if list.Complete {
		kind, r.lastFullList = decide.ListFull, list
	}
	r.stepPolicy(list, kind)
	r.revision = list.Revision
	if _, ok := r.inForceAt[r.expectedRevision]; !ok && r.expectedRevision > 0 && r.revision >= r.expectedRevision {
		r.inForceAt[r.expectedRevision] = time.Now()
	}
}

// stepPolicy passes a list to the policy. The caller holds mu.
func (r *Relay) stepPolicy(list *relay.List, kind decide.ListUpdate) {
	if len(list.Members) == 0 && kind == decide.ListDelta {
		return
	}
	event := decide.Event{Kind: decide.EvList, List: kind, Entries: make([]decide.Entry, 0, len(list.Members))}
	for i := range list.Members {
		member := &list.Members[i]
		state := decide.Ready
		switch member.Phase {
		case "draining":
			state = decide.Draining
		case "removed":
			state = decide.Removed
		}
		event.Entries = append(event.Entries, decide.Entry{Endpoint: r.fleet.endpointNumber(member.ID), Dest: member.Cell,
			State: state, Rate: member.Size})
	}
	r.actions = r.policy.Step(decide.Time(3600e6)+time.Since(r.fleet.startedAt).Microseconds(),
		[]decide.Event{event}, r.actions[:0])
}

// endpointNumber returns the number of an endpoint ID, which is the same for all relays. A new ID gets the next
// number.
func (f *Fleet) endpointNumber(id string) decide.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	number, ok := f.endpointNumbers[id]
	if !ok {
		number = decide.Endpoint(len(f.endpointNumbers) + 1)
		f.endpointNumbers[id] = number
	}
	return number
}
