package relay

import (
	"context"
	"log/slog"
	"time"

	"troutusher/internal/clock"
	"troutusher/internal/membership"
)

// Watch runs the discovery client of a relay by itself until ctx ends, for fleets of relays without a data path.
// relays is the size of the fleet. known is the revision of the list that the relay already has, or negative; grace
// is the time within which a watch that has ended is opened again. begin begins to receive a list, and returns once
// the list before it is in force.
func Watch(ctx context.Context, addr string, relays int, grace time.Duration, known int64, log *slog.Logger,
	begin func(context.Context) (membership.Receiver, error)) {
	d := newDiscovery(addr, relays, known, clock.System(), log, begin)
	d.reopenGrace = grace
	d.run(ctx)
}

// Follow is like Watch, but passes each list to deliver once it is complete, in order. known is the list that the
// relay already has, or nil.
func Follow(ctx context.Context, addr string, relays int, grace time.Duration, known *List, log *slog.Logger,
	deliver func(*List)) {
	revision := int64(-1)
	if known != nil && len(known.Members) > 0 {
		revision = known.Revision
	}
	Watch(ctx, addr, relays, grace, revision, log, collectLists(deliver))
}

// collectLists returns a beginList that collects each list and passes it to deliver once it is complete.
func collectLists(deliver func(*List)) beginList {
	return func(context.Context) (membership.Receiver, error) { return &membership.Collector{OnList: deliver}, nil }
}
