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
type Follow func(ctx context.Context, addr string, known *relay.List, news func(*relay.List))

// Options say how a fleet is made.
type Options struct {
	Spec     world.Spec
	Settings decide.Settings
	Seed     uint64
	Log      *slog.Logger
	Follow   Follow // nil means that of a running relay
}

// Fleet is a number of hollow relays at one registry.
type Fleet struct {
	opts     Options
	registry *registry.Registry
	relays   []*Relay
	began    time.Time

	mu  sync.Mutex
	ids map[string]decide.Endpoint // the same at all of them
}

// Relay is one hollow relay.
type Relay struct {
	fleet *Fleet
	Agent *registry.Agent
	index int

	mu       sync.Mutex
	policy   *decide.Policy
	known    *relay.List // as it last had it, of a whole list only
	revision int64
	reached  map[int64]time.Time // when a revision that is waited for, or a later one, was in force
	want     int64
	stop     context.CancelFunc
	done     chan struct{}
	acts     []decide.Action
}

// New makes a fleet; its relays run once they are started.
func New(reg *registry.Registry, o Options) (*Fleet, error) {
	f := &Fleet{opts: o, registry: reg, ids: map[string]decide.Endpoint{}, began: time.Now()}
	if f.opts.Follow == nil {
		grace := time.Duration(o.Settings.DrainGrace) * time.Microsecond / 2
		f.opts.Follow = func(ctx context.Context, addr string, known *relay.List, news func(*relay.List)) {
			relay.Follow(ctx, addr, o.Settings.Relays, grace, known, o.Log, news)
		}
	}
	for i := range o.Spec.Relays {
		a, err := reg.NewAgent("")
		if err != nil {
			return nil, err
		}
		f.relays = append(f.relays, &Relay{fleet: f, Agent: a, index: i})
	}
	return f, nil
}

// Relay is one of the fleet.
func (f *Fleet) Relay(i int) *Relay { return f.relays[i] }

// Len is the number of relays.
func (f *Fleet) Len() int { return len(f.relays) }

// All are the numbers of all relays.
func (f *Fleet) All() []int {
	list := make([]int, len(f.relays))
	for i := range list {
		list[i] = i
	}
	return list
}

// Start runs relays. known tells whether each begins with the list that it last had, as a restart does whose
// configuration holds one.
func (f *Fleet) Start(known bool, relays ...int) error {
	for _, i := range relays {
		if err := f.relays[i].start(known); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends relays and waits for their ends.
func (f *Fleet) Stop(relays ...int) {
	for _, i := range relays {
		if r := f.relays[i]; r.stop != nil {
			r.stop()
		}
	}
	for _, i := range relays {
		if r := f.relays[i]; r.stop != nil {
			<-r.done
			r.stop = nil
		}
	}
}

// Set changes the way to discovery of relays.
func (f *Fleet) Set(c registry.Condition, relays ...int) error {
	for _, i := range relays {
		if err := f.relays[i].Agent.SetCondition(c); err != nil {
			return err
		}
	}
	return nil
}

// Reached waits until all of the given relays have a revision in force, and tells how long each took from a moment.
func (f *Fleet) Reached(ctx context.Context, revision int64, from time.Time, relays ...int) ([]time.Duration, error) {
	for _, i := range relays {
		f.relays[i].expect(revision)
	}
	for {
		var times []time.Duration
		for _, i := range relays {
			if at, ok := f.relays[i].inForce(); ok {
				times = append(times, at.Sub(from))
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
func (f *Fleet) Expect(revision int64, relays ...int) {
	for _, i := range relays {
		f.relays[i].expect(revision)
	}
}

func (r *Relay) expect(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.want == revision {
		return
	}
	r.want, r.reached = revision, map[int64]time.Time{}
	if r.revision >= revision {
		r.reached[revision] = time.Now()
	}
}

func (r *Relay) inForce() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.reached[r.want]
	return at, ok
}

// Revision is the one that is in force.
func (r *Relay) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

func (r *Relay) start(known bool) error {
	p, err := decide.New(r.fleet.opts.Settings, r.fleet.opts.Seed+uint64(r.index))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy, r.stop, r.done = p, stop, make(chan struct{})
	var list *relay.List
	if known && r.known != nil {
		list = &relay.List{Revision: r.revision, Complete: true, Members: r.known.Members}
		r.book(list, decide.ListCached)
	} else {
		r.revision = 0
	}
	go func(done chan struct{}) {
		defer close(done)
		r.fleet.opts.Follow(ctx, r.Agent.Addr(), list, r.news)
	}(r.done)
	return nil
}

// news puts a list, or what changed in it, in force.
func (r *Relay) news(l *relay.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := decide.ListDelta
	if l.Complete {
		kind, r.known = decide.ListFull, l
	}
	r.book(l, kind)
	r.revision = l.Revision
	if _, ok := r.reached[r.want]; !ok && r.want > 0 && r.revision >= r.want {
		r.reached[r.want] = time.Now()
	}
}

// book tells the policy. The caller holds the lock.
func (r *Relay) book(l *relay.List, kind decide.ListUpdate) {
	if len(l.Members) == 0 && kind == decide.ListDelta {
		return
	}
	e := decide.Event{Kind: decide.EvList, List: kind, Entries: make([]decide.Entry, 0, len(l.Members))}
	for i := range l.Members {
		m := &l.Members[i]
		state := decide.Ready
		switch m.Phase {
		case "draining":
			state = decide.Draining
		case "removed":
			state = decide.Removed
		}
		e.Entries = append(e.Entries, decide.Entry{Endpoint: r.fleet.number(m.ID), Dest: m.Cell, State: state, Rate: m.Size})
	}
	r.acts = r.policy.Step(decide.Time(3600e6)+time.Since(r.fleet.began).Microseconds(), []decide.Event{e}, r.acts[:0])
}

// number is that of an endpoint, the same for all relays.
func (f *Fleet) number(id string) decide.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.ids[id]
	if !ok {
		n = decide.Endpoint(len(f.ids) + 1)
		f.ids[id] = n
	}
	return n
}
