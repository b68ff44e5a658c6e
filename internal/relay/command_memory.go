package relay

import (
	"context"
	"os"
	"slices"
	"time"

	"golang.org/x/sync/semaphore"

	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// The commands of all clients share one limit of memory, from their first byte until they are answered: the number of
// connections follows from the descriptors, and each of them may send a command as long as resp.MaxCommand. A command
// that needs more than its unreserved bytes waits, unread, until there is memory or its time is over. Connections that
// hold memory and have stalled are evicted meanwhile.

const (
	commandMemoryDivisor  = 8       // commands reserve at most 1/commandMemoryDivisor of the relay's memory
	unreservedBytes       = 4 << 10 // of a command, beside the limit
	unreservedPipelined   = 1 << 10 // the same for a command that follows one that is not answered yet
	memoryReliefInterval  = 50 * time.Millisecond
	memoryEvictionLogging = time.Second // between two log entries
)

// commandMemory returns the limit of the memory that the commands of all clients reserve together, in bytes.
func (c *Config) commandMemory() int64 {
	return max(int64(c.Limits.MemoryMB)<<20/commandMemoryDivisor, 2*resp.MaxCommand)
}

// commandReservation is the memory that one command has reserved.
type commandReservation struct {
	source          *semaphore.Weighted
	bytes           int64
	unreservedBytes int64 // bytes that the command may still take without a reservation
}

// newReservation returns the reservation of the command whose first byte a connection has just read.
func (c *clients) newReservation(cc *clientConn) *commandReservation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc.inFlight > 1 {
		return &commandReservation{source: c.commandMemory, unreservedBytes: unreservedPipelined}
	}
	return &commandReservation{source: c.commandMemory, unreservedBytes: unreservedBytes}
}

// release gives the memory back, once.
func (r *commandReservation) release() {
	if r.bytes > 0 {
		r.source.Release(r.bytes)
		r.bytes = 0
	}
}

// limitCommandMemory sets the limit for the commands that are read from now on.
func (c *clients) limitCommandMemory(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commandMemory = semaphore.NewWeighted(max(bytes, resp.MaxCommand))
}

// reserve takes memory for a command that is being read from a connection. It waits where there is none, until the
// command has to be finished or the reading of the connection ends.
func (c *clients) reserve(cc *clientConn, reservation *commandReservation, bytes int64) error {
	unreserved := min(bytes, reservation.unreservedBytes)
	reservation.unreservedBytes -= unreserved
	if bytes -= unreserved; bytes == 0 {
		return nil
	}
	if !reservation.source.TryAcquire(bytes) {
		if err := c.awaitMemory(cc, reservation.source, bytes); err != nil {
			return err
		}
	}
	reservation.bytes += bytes
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.reservedBytes = reservation.bytes
	return nil
}

// awaitMemory waits until the memory is acquired. It returns the error of a read whose deadline has passed if that
// takes too long.
func (c *clients) awaitMemory(cc *clientConn, source *semaphore.Weighted, bytes int64) error {
	ctx, cancel := c.beginMemoryWait(cc, bytes)
	defer cancel()
	defer c.endMemoryWait(cc, bytes)
	if source.Acquire(ctx, bytes) != nil {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// beginMemoryWait records that a command waits for memory. The context ends with the time of the command.
func (c *clients) beginMemoryWait(cc *clientConn, bytes int64) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), clock.Until(c.clock, cc.readDeadline))
	if cc.readInterrupted {
		cancel()
	}
	cc.cancelMemoryWait = cancel
	c.awaitedBytes += bytes
	if !c.relievingMemory {
		c.relievingMemory = true
		go c.relieveMemory()
	}
	return ctx, cancel
}

// endMemoryWait records the end of a wait for memory. The client did not stall meanwhile.
func (c *clients) endMemoryWait(cc *clientConn, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.cancelMemoryWait = nil
	cc.lastReadAt.Store(int64(c.clock.Now()))
	c.awaitedBytes -= bytes
}

// relieveMemory evicts stalled connections until no command waits for memory.
func (c *clients) relieveMemory() {
	evicted := 0
	var loggedAt clock.Instant
	for {
		count, awaited := c.evictForMemory()
		evicted += count
		if evicted > 0 && (awaited == 0 || loggedAt.IsZero() || clock.Since(c.clock, loggedAt) >= memoryEvictionLogging) {
			c.log.Warn("clients: memory limit of commands reached, stalled connections evicted",
				"evicted", evicted, "awaited_bytes", awaited)
			evicted, loggedAt = 0, c.clock.Now()
		}
		if awaited == 0 {
			return
		}
		time.Sleep(memoryReliefInterval)
	}
}

// evictForMemory evicts the connections that have stalled for longest in a command that holds memory, as many as it
// takes for the commands that wait. It returns their number and the bytes that commands wait for. It is not to be
// called again once that is 0.
func (c *clients) evictForMemory() (evicted int, awaited int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relievingMemory = c.awaitedBytes > 0
	now := c.clock.Now()
	var stalled []*clientConn
	var freed int64
	for cc := range c.conns {
		switch {
		case !cc.readingCommand || cc.reservedBytes == 0 || cc.cancelMemoryWait != nil:
		case cc.evicted: // frees its memory soon
			freed += cc.reservedBytes
		case now.Sub(cc.lastRead()) >= commandStallTimeout:
			stalled = append(stalled, cc)
		}
	}
	slices.SortFunc(stalled, func(a, b *clientConn) int { return int(a.lastRead() - b.lastRead()) })
	for _, cc := range stalled {
		if freed >= c.awaitedBytes {
			break
		}
		cc.evict()
		freed += cc.reservedBytes
		evicted++
	}
	return evicted, c.awaitedBytes
}
