package relay

import (
	"context"
	"log/slog"
	"time"
)

// Follow keeps a watch on discovery's list as one of so many relays does, and hands on its news in order, until ctx
// ends. known is the list that this relay has already, or nil; grace is the time in which a watch that ended is opened
// anew at the latest. It is what a running relay uses, by itself, for fleets of relays without a data path.
func Follow(ctx context.Context, addr string, relays int, grace time.Duration, known *List, log *slog.Logger, news func(*List)) {
	d := newDiscovery(addr, relays, known, log, news)
	d.grace = grace
	d.run(ctx)
}
