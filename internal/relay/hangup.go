package relay

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"

	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// Closing a TCP connection while received bytes are unread, or before the client has closed its side, may reset it.
// A reset loses the replies that the client has not received yet. The relay therefore closes its sending side first
// and discards what arrives until the client has closed its side, or for a short time.

const (
	lingerTimeout        = 200 * time.Millisecond // from closing the sending side to closing the connection
	evictedLingerTimeout = 20 * time.Millisecond  // the same for an evicted connection
	maxLingerBytes       = 256 << 10              // bytes that are discarded in that time
)

// evict closes a connection to free its slot for another client. The caller holds clients.mu.
func (cc *clientConn) evict() {
	if cc.invalid && !cc.evicted {
		close(cc.evictedInvalid)
	}
	cc.evicted = true
	cc.beginClose()
	if cc.lingering && !cc.sentValid {
		cc.SetReadDeadline(clock.ExpiredDeadline)
	}
}

// stopReadingAll ends the reading of all connections, right before the process ends. Commands that were read to their
// end are answered as usual, and a partial command gets an error reply.
func (c *clients) stopReadingAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cc := range c.conns {
		cc.readStopped = true
		cc.beginClose()
	}
}

// stopReading ends the reading of a connection, except for what is in the read buffer.
func (c *clients) stopReading(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.readStopped = true
	cc.interruptRead()
}

// replyToRemaining stops the reading goroutine of a connection that is being closed, and answers the commands that it
// had read by then. Messages are refused with a busy reply, so that nothing is begun for them. Replies are matched by
// their order, so other commands before the last message get an error reply, and those after it get none.
func (c *clients) replyToRemaining(cc *clientConn, pipelined *clientCommand, commands <-chan clientCommand) {
	c.stopReading(cc)
	var remaining []clientCommand
	if pipelined != nil {
		remaining = append(remaining, *pipelined)
	}
	for cmd := range commands {
		remaining = append(remaining, cmd)
	}
	defer func() {
		for _, cmd := range remaining {
			cmd.reservation.release()
		}
	}()
	last := len(remaining) - 1
	for last >= 0 && !isPut(remaining[last]) {
		last--
	}
	for _, cmd := range remaining[:last+1] {
		reply := resp.Busy(0)
		if !isPut(cmd) {
			reply = resp.Error(errTooManyErrors)
		}
		if cc.writeFailed || !c.writeReply(cc, reply) {
			return
		}
	}
}

var errTooManyErrors = errors.New("too many faults on this connection")

// isPut reports whether a command hands in a message.
func isPut(cmd clientCommand) bool {
	return cmd.err == nil && bytes.EqualFold(cmd.args[0], []byte("MSG.PUT"))
}

// closeConn closes a connection, after lingering where a reply was written. A connection without a reply is closed at
// once, since it has no reply to lose and there may be many of them.
func (c *clients) closeConn(cc *clientConn) {
	if cc.replied && !cc.writeFailed {
		timeout, cut := c.lingerLimits(cc)
		linger(cc.Conn, c.clock, timeout, cut)
	}
	cc.Close()
}

// lingerLimits returns how long the close of a connection waits for the client to close its side, and a channel that
// ends the wait. A peer that has sent only invalid commands is owed a reply or a close, so an eviction closes its
// connection at once.
func (c *clients) lingerLimits(cc *clientConn) (timeout time.Duration, cut <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.lingering = true
	if !cc.sentValid {
		cut = cc.evictedInvalid
	}
	if cc.evicted {
		return evictedLingerTimeout, cut
	}
	return lingerTimeout, cut
}

// linger closes the sending side of a connection and discards what arrives, until the peer closes its side, timeout
// has passed or cut is closed. Whoever closes cut sets an expired read deadline after that.
func linger(conn net.Conn, clk clock.Clock, timeout time.Duration, cut <-chan struct{}) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	until := clk.Now().Add(timeout)
	conn.SetReadDeadline(clock.DeadlineIn(timeout))
	select {
	case <-cut: // the expired deadline may have been replaced
		return
	default:
	}
	discarded, _ := io.CopyN(io.Discard, conn, maxLingerBytes)
	if discarded < maxLingerBytes {
		return
	}
	select { // gives the peer time to read its replies before the connection is reset
	case <-time.After(clock.Until(clk, until)):
	case <-cut:
	}
}
