package relay

import (
	"time"

	"troutusher/internal/clock"
)

const (
	// A connection without a command is not evicted within this time of its accept: its first bytes may not have been
	// read yet.
	unreadGracePeriod  = 20 * time.Millisecond
	maxConnsOverLimit  = 8  // connections above the limit that may be open while evicted ones close
	connReserveDivisor = 16 // of the limit gives the places that connReserve keeps
)

// admitConn adds a connection. Where the limit is reached it evicts another one, and from connReserve below the limit
// on one that has no claim to its place. It reports false where the connection is refused. Connections without a command
// so far occupy at most half of the limit.
func (c *clients) admitConn(cc *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.conns) >= c.maxConns+maxConnsOverLimit || !c.makeRoom(c.clock.Now()) {
		return false
	}
	c.conns[cc] = true
	cc.readUntil(cc.idleSince.Add(c.firstCommandTimeout))
	return true
}

// recordRefusal counts a connection that is refused.
func (c *clients) recordRefusal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictions.refused++
}

// makeRoom evicts a connection where the next one needs its place. It reports false where there is none to evict. A
// client whose connection is evicted opens another one when it needs it. An evicted connection counts until its
// descriptor is free. The caller holds mu.
func (c *clients) makeRoom(now clock.Instant) bool {
	silentLimit := max(c.maxConns/2, 1)
	if len(c.conns) < min(silentLimit, c.maxConns-c.connReserve()) {
		return true
	}
	found := c.findEvictable(now)
	full := len(c.conns) >= c.maxConns
	switch tooManySilent := found.silentCount >= silentLimit; {
	case found.silent != nil && (full || tooManySilent):
		found.silent.beginClose()
		c.evictions.silent++
	case tooManySilent:
		return false
	case len(c.conns) < c.maxConns-c.connReserve():
	case found.invalid != nil:
		found.invalid.evict()
		c.evictions.invalid++
	case full && found.idle != nil:
		found.idle.evict()
		c.evictions.idle++
	case found.stalled != nil:
		found.stalled.evict()
		c.evictions.stalled++
	default:
		return !full
	}
	return true
}

// connReserve is the number of places below the limit that are kept free of connections without a claim to them, for
// clients that arrive while evicted connections close.
func (c *clients) connReserve() int { return c.maxConns / connReserveDivisor }

// evictable are the connections that may be evicted, of each kind the one that has been in that state for longest.
type evictable struct {
	silent      *clientConn // has sent nothing
	invalid     *clientConn // its latest command was invalid
	idle        *clientConn // has no command in flight
	stalled     *clientConn // has stopped in the middle of a command
	silentCount int         // connections that have sent nothing
}

// findEvictable looks for connections to evict. The caller holds mu.
func (c *clients) findEvictable(now clock.Instant) (found evictable) {
	var silentSince, invalidSince, idleSince, stalledSince clock.Instant
	note := func(candidate **clientConn, since *clock.Instant, other *clientConn, otherSince clock.Instant) {
		if *candidate == nil || otherSince < *since {
			*candidate, *since = other, otherSince
		}
	}
	for other := range c.conns {
		switch {
		case other.evicted || other.closing && !other.lingering:
		case other.invalid && !(other.lingering && other.sentValid):
			note(&found.invalid, &invalidSince, other, other.lastRead())
		case other.lingering:
		case other.readingCommand:
			note(&found.stalled, &stalledSince, other, other.lastRead())
		case other.inFlight > 0:
		case other.sentCommand:
			note(&found.idle, &idleSince, other, other.idleSince)
		default:
			found.silentCount++
			note(&found.silent, &silentSince, other, other.idleSince)
		}
	}
	if found.silent != nil && now.Sub(silentSince) < unreadGracePeriod {
		found.silent = nil // its first bytes may not have been read yet
	}
	if found.stalled != nil && now.Sub(stalledSince) < commandStallTimeout {
		found.stalled = nil // its client is still writing the command
	}
	return found
}

// evictionCounts counts the connections that were evicted, by their state, and those that were refused.
type evictionCounts struct{ silent, invalid, idle, stalled, refused int }

// logEvictions logs the counts of evicted and refused connections, at most once a second.
func (c *clients) logEvictions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evictions == (evictionCounts{}) ||
		!c.evictionsLoggedAt.IsZero() && clock.Since(c.clock, c.evictionsLoggedAt) < time.Second {
		return
	}
	c.log.Warn("clients: connection limit reached, connections evicted or refused", "silent", c.evictions.silent,
		"invalid", c.evictions.invalid, "idle", c.evictions.idle, "stalled", c.evictions.stalled,
		"turned_away", c.evictions.refused, "most", c.maxConns)
	c.evictions, c.evictionsLoggedAt = evictionCounts{}, c.clock.Now()
}

// reconfigure applies a new configuration to the commands that are read from now on.
func (c *clients) reconfigure(cfg *Config, maxConns int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg, c.maxConns = cfg, maxConns
	for excess := c.countOpen() - maxConns; excess > 0; excess-- { // the limit may have been lowered
		if cc := c.oldestIdle(); cc != nil {
			cc.beginClose()
		}
	}
}

// countOpen counts the connections that are not closing. The caller holds mu.
func (c *clients) countOpen() (n int) {
	for cc := range c.conns {
		if !cc.closing {
			n++
		}
	}
	return n
}

// oldestIdle returns the connection that has been idle for longest, or nil. Connections without a command so far come
// before all others. The caller holds mu.
func (c *clients) oldestIdle() (found *clientConn) {
	for cc := range c.conns {
		if cc.inFlight > 0 || cc.closing {
			continue
		}
		if found == nil || found.sentCommand && !cc.sentCommand ||
			found.sentCommand == cc.sentCommand && cc.idleSince < found.idleSince {
			found = cc
		}
	}
	return found
}
