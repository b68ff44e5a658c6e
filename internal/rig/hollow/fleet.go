// Package hollow runs relays without a data path, hundreds to thousands in one process: each has the real policy and
// the real client of discovery, with its list handling, over a loopback socket of its own.
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

// Follow keeps a watch on discovery and hands on its news until ctx ends.
type FollowFunc func(ctx context.Context, addr string, known *relay.List, news func(*relay.List))

// Options say how a fleet is made.
type Options struct {
	Spec     world.Spec
	Settings decide.Settings
	Seed     uint64
	Log      *slog.Logger
	Follow   FollowFunc // nil means that of a running relay
}

// Fleet is a number of hollow relays at one registry.
type Fleet struct {
	opts      Options
	registry  *registry.Registry
	relays    []*Relay
	startedAt time.Time

	mu              sync.Mutex
	endpointNumbers map[string]decide.Endpoint // the same at all of them
}

// Relay is one hollow relay.
type Relay struct {
	fleet *Fleet
	Agent *registry.Agent
	index int

	mu               sync.Mutex
	policy           *decide.Policy
	lastFullList     *relay.List // as it last had it, of a whole list only
	revision         int64
	inForceAt        map[int64]time.Time // when a revision that is waited for, or a later one, was in force
	expectedRevision int64
	cancel           context.CancelFunc
	done             chan struct{}
	actions          []decide.Action
}

// New makes a fleet; its relays run once they are started.
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

// Relay is one of the fleet.
func (f *Fleet) Relay(i int) *Relay { return f.relays[i] }

// Len is the number of relays.
func (f *Fleet) Len() int { return len(f.relays) }

// All are the numbers of all relays.
func (f *Fleet) RelayIndexes() []int {
	list := make([]int, len(f.relays))
	for i := range list {
		list[i] = i
	}
	return list
}

// Start runs relays. known tells whether each begins with the list that it last had, as a restart does whose
// configuration holds one.
func (f *Fleet) Start(withKnownList bool, relays ...int) error {
	for _, i := range relays {
		if err := f.relays[i].start(withKnownList); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends relays and waits for their ends.
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

// Set changes the way to discovery of relays.
func (f *Fleet) SetCondition(condition registry.Condition, relays ...int) error {
	for _, i := range relays {
		if err := f.relays[i].Agent.Set(condition); err != nil {
			return err
		}
	}
	return nil
}

// Reached waits until all of the given relays have a revision in force, and tells how long each took from a moment.
func (f *Fleet) WaitForRevision(ctx context.Context, revision int64, since time.Time, relays ...int) ([]time.Duration, error) {
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
			return times, fmt.Errorf("%d of %d relays have revision %d: %w", len(times), len(relays), revision, context.Cause(ctx))
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Expect has relays note when a revision is in force; it is called before that can be.
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

func (r *Relay) expectedRevisionAt() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.inForceAt[r.expectedRevision]
	return at, ok
}

// Revision is the one that is in force.
func (r *Relay) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

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

// news puts a list, or what changed in it, in force.
func (r *Relay) applyList(list *relay.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := decide.ListChange
	if list.Complete {
		kind, r.lastFullList = decide.ListFull, list
	}
	r.stepPolicy(list, kind)
	r.revision = list.Revision
	if _, ok := r.inForceAt[r.expectedRevision]; !ok && r.expectedRevision > 0 && r.revision >= r.expectedRevision {
		r.inForceAt[r.expectedRevision] = time.Now()
	}
}

// book tells the policy. The caller holds the lock.
func (r *Relay) stepPolicy(list *relay.List, kind decide.ListNews) {
	if len(list.Members) == 0 && kind == decide.ListChange {
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
			state = decide.Gone
		}
		event.Entries = append(event.Entries, decide.Entry{Endpoint: r.fleet.endpointNumber(member.ID), Dest: member.Cell, State: state, Rate: member.Size})
	}
	r.actions = r.policy.Step(decide.Time(3600e6)+time.Since(r.fleet.startedAt).Microseconds(), []decide.Event{event}, r.actions[:0])
}

// number is that of an endpoint, the same for all relays.
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
