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

// The end of a client's connection. Closing it with bytes unread, or before the
// client's own end has come, resets it, and answers that are still on their way
// go with it.

const (
	lingerWait  = 200 * time.Millisecond // from our end of a connection to its close
	lingerEvict = 20 * time.Millisecond  // the same where its place is needed
	lingerMost  = 256 << 10              // bytes that are read past meanwhile
)

// evict releases a connection whose place is needed.
func (cc *clientConn) evict() {
	cc.evicted = true
	cc.release()
}

// cutOff ends the reading of all connections, right before the process ends: what
// has been read whole gets its answer, half a command an error.
func (c *clients) cutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cc := range c.conns {
		cc.ending = true
		cc.release()
	}
}

// stopReading ends the reading of a connection but for what has been taken from
// its socket already.
func (c *clients) stopReading(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.ending = true
	cc.SetReadDeadline(clock.ExpiredDeadline)
}

// answerRest ends the reader of a connection that is of no more use, and answers
// what it had read by then: as far as its last message, since answers go by their
// order. Messages are refused, so that nothing is begun for them.
func (c *clients) answerRest(cc *clientConn, ahead *command, commands <-chan command) {
	c.stopReading(cc)
	var rest []command
	if ahead != nil {
		rest = append(rest, *ahead)
	}
	for cmd := range commands {
		rest = append(rest, cmd)
	}
	last := len(rest) - 1
	for last >= 0 && !isPut(rest[last]) {
		last--
	}
	for _, cmd := range rest[:last+1] {
		reply := resp.Busy(0)
		if !isPut(cmd) {
			reply = resp.Error(errFaults)
		}
		if cc.broken || !c.write(cc, reply) {
			return
		}
	}
}

var errFaults = errors.New("too many faults on this connection")

func isPut(cmd command) bool {
	return cmd.err == nil && bytes.EqualFold(cmd.args[0], []byte("MSG.PUT"))
}

// hangUp closes a connection. Where anything was answered it ends only its own
// side first, and reads past what still comes until the client has ended the
// other, for a short time. Who never had an answer has none to lose: a crowd of
// those is to go at once.
func (c *clients) hangUp(cc *clientConn) {
	if cc.wrote && !cc.broken {
		linger(cc.Conn, c.clock, c.lingerFor(cc))
	}
	cc.Close()
}

func (c *clients) lingerFor(cc *clientConn) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc.evicted {
		return lingerEvict
	}
	return lingerWait
}

// linger ends our side of a connection and reads past what comes, until the other
// side's end or for wait.
func linger(conn net.Conn, clk clock.Clock, wait time.Duration) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	until := clk.Now().Add(wait)
	conn.SetReadDeadline(clock.DeadlineIn(wait))
	n, _ := io.CopyN(io.Discard, conn, lingerMost)
	if n == lingerMost { // it may read what it was told before the reset
		time.Sleep(clock.Until(clk, until))
	}
}
