package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"troutusher/internal/clock"
)

// clientConn is one client connection. Its fields are guarded by clients.mu, except for those marked otherwise.
type clientConn struct {
	net.Conn
	clock             clock.Clock
	inFlight          int          // requests whose first byte was read and whose reply is not written
	readingCommand    bool         // the latest request has not been read to its end
	lastReadAt        atomic.Int64 // clock.Instant of the latest read that returned data; needs no lock
	consecutiveErrors int          // error replies in a row; used by the replying goroutine only
	replied           bool         // a reply was written, or its write failed; used by the replying goroutine only
	writeFailed       bool         // a reply could not be written; used by the replying goroutine only
	readStopped       bool         // nothing more is read from the socket, only from the buffer
	evicted           bool         // closed to free a connection slot for another client
	invalid           bool         // the latest command that was answered was invalid
	sentValid         bool         // a valid command has been answered
	lingering         bool         // only the client's close, or a timeout, is awaited
	idleSince         clock.Instant
	evictedInvalid    chan struct{} // closed when the connection is evicted while it is invalid; never replaced
	sentCommand       bool          // a whole command has been read
	closing           bool          // the connection is closed once no request is in flight

	readDeadline     clock.Instant      // of the reads, if they have one
	readInterrupted  bool               // the reads fail as if their deadline had passed
	reservedBytes    int64              // memory that the command being read has reserved
	cancelMemoryWait context.CancelFunc // ends that command's wait for memory; nil if it does not wait
}

// newClientConn returns a connection that was just accepted.
func newClientConn(conn net.Conn, clk clock.Clock) *clientConn {
	return &clientConn{Conn: conn, clock: clk, idleSince: clk.Now(), evictedInvalid: make(chan struct{})}
}

// Read reads from the connection and records the time of each read that returns data.
func (cc *clientConn) Read(b []byte) (int, error) {
	n, err := readWithRetry(cc.Conn, b)
	if n > 0 {
		cc.lastReadAt.Store(int64(cc.clock.Now()))
	}
	return n, err
}

// lastRead returns the time of the latest read that returned data.
func (cc *clientConn) lastRead() clock.Instant { return clock.Instant(cc.lastReadAt.Load()) }

// readUntil sets the read deadline. The caller holds clients.mu, as with the next two functions.
func (cc *clientConn) readUntil(at clock.Instant) {
	cc.readDeadline, cc.readInterrupted = at, false
	cc.SetReadDeadline(clock.DeadlineIn(clock.Until(cc.clock, at)))
}

// readWithoutDeadline removes the read deadline.
func (cc *clientConn) readWithoutDeadline() {
	cc.readDeadline, cc.readInterrupted = 0, false
	cc.SetReadDeadline(time.Time{})
}

// interruptRead lets all reads fail as if their deadline had passed, except for those that discard what arrives while
// the connection closes.
func (cc *clientConn) interruptRead() {
	cc.readInterrupted = true
	if cc.lingering {
		return
	}
	cc.SetReadDeadline(clock.ExpiredDeadline)
	if cc.cancelMemoryWait != nil {
		cc.cancelMemoryWait()
	}
}

// beginClose ends the wait for the next request permanently, which closes the connection. Other goroutines close a
// connection only in this way, so that a request whose first byte has been read is answered first. The caller holds
// clients.mu.
func (cc *clientConn) beginClose() {
	cc.closing = true
	cc.interruptRead()
}
