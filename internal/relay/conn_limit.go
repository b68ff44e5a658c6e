package relay

import (
	"time"

	"troutusher/internal/clock"
)

const (
	// A connection without a command is not evicted within this time of its accept: its first bytes may not have been
	// read yet.
	unreadGracePeriod = 20 * time.Millisecond
	maxConnsOverLimit = 8 // connections above the limit that may be open while evicted ones close
)

// admitConn adds a connection, and evicts another one where the limit is reached. It reports false where the
// connection is refused. Connections without a command so far occupy at most half of the limit.
func (c *clients) admitConn(cc *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var oldestSilent, oldestIdle, oldestStalled *clientConn
	silentCount := 0
	for other := range c.conns {
		switch {
		case other.closing:
		case other.readingCommand:
			if oldestStalled == nil || other.lastRead() < oldestStalled.lastRead() {
				oldestStalled = other
			}
		case other.inFlight > 0:
		case other.sentCommand:
			if oldestIdle == nil || other.idleSince < oldestIdle.idleSince {
				oldestIdle = other
			}
		default:
			silentCount++
			if oldestSilent == nil || other.idleSince < oldestSilent.idleSince {
				oldestSilent = other
			}
		}
	}
	if oldestSilent != nil && cc.idleSince.Sub(oldestSilent.idleSince) < unreadGracePeriod {
		oldestSilent = nil // its first bytes may not have been read yet
	}
	if oldestStalled != nil && cc.idleSince.Sub(oldestStalled.lastRead()) < commandStallTimeout {
		oldestStalled = nil // its client is still writing the command
	}
	if tooManySilent := silentCount >= max(c.maxConns/2, 1); tooManySilent || len(c.conns) >= c.maxConns {
		// A client whose connection is evicted opens another one when it needs it. An evicted connection counts
		// until its descriptor is free.
		switch {
		case oldestSilent != nil:
			oldestSilent.beginClose()
			c.evictions.silent++
		case oldestIdle != nil && !tooManySilent:
			oldestIdle.evict()
			c.evictions.idle++
		case oldestStalled != nil && !tooManySilent:
			oldestStalled.evict()
			c.evictions.stalled++
		default:
			c.evictions.refused++
			return false
		}
	}
	if len(c.conns) >= c.maxConns+maxConnsOverLimit {
		c.evictions.refused++
		return false
	}
	c.conns[cc] = true
	cc.readUntil(cc.idleSince.Add(c.firstCommandTimeout))
	return true
}

// evictionCounts counts the connections that were evicted, by their state, and those that were refused.
type evictionCounts struct{ silent, idle, stalled, refused int }

// logEvictions logs the counts of evicted and refused connections, at most once a second.
func (c *clients) logEvictions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evictions == (evictionCounts{}) ||
		!c.evictionsLoggedAt.IsZero() && clock.Since(c.clock, c.evictionsLoggedAt) < time.Second {
		return
	}
	c.log.Warn("clients: connection limit reached, connections evicted or refused", "silent", c.evictions.silent,
		"idle", c.evictions.idle, "stalled", c.evictions.stalled, "turned_away", c.evictions.refused, "most", c.maxConns)
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
