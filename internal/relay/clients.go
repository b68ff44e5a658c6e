package relay

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// maxBodyBytes is the size limit of a message body.
const maxBodyBytes = resp.MaxBody

const (
	replyWriteTimeout = 2 * time.Second
	// Some clients take 2 s to write a command, and a connection with an unfinished command has to be closed
	// within 3 s.
	firstCommandTimeout = 2600 * time.Millisecond // from accepting a connection to the last byte of its first command
	commandTimeout      = 2600 * time.Millisecond // from the first to the last byte of each later command
	commandStallTimeout = 300 * time.Millisecond  // after this pause within a command its connection may be evicted
	idleTimeout         = 4 * time.Second         // from a reply to the first byte of the next command
	// Error replies are delayed, and a connection is closed after several in a row, so that a client that repeats an
	// invalid command does not use up the processor.
	errorReplyDelay      = 100 * time.Millisecond
	maxConsecutiveErrors = 10
)

var errCommandTimeout = errors.New("command not finished in time")

// clients is the server side of the client protocol.
type clients struct {
	clock  clock.Clock
	log    *slog.Logger
	submit func(*putRequest) // passes the request to the event loop, which calls sendReply
	// replyWritten reports whether the reply was written before the client left. If not, finishWithdrawal is called.
	replyWritten func(request *putRequest, ok bool)
	// The timeouts close connections that send nothing or do not finish a command.
	firstCommandTimeout, commandTimeout, idleTimeout time.Duration
	placeTimeout                                     time.Duration // for which a new connection waits for a place

	mu                sync.Mutex
	cfg               *Config
	maxConns          int
	commandMemory     *semaphore.Weighted  // bytes that commands may take
	awaitedBytes      int64                // bytes of commandMemory that commands wait for
	relievingMemory   bool                 // relieveMemory runs
	conns             map[*clientConn]bool // connections whose descriptors are in use, closing ones included
	evictions         evictionCounts       // since evictionsLoggedAt
	evictionsLoggedAt clock.Instant
	serving           bool // connections are accepted
	drained           bool // set by DRAIN and reset by UNDRAIN
	shuttingDown      bool // the client side is shutting down; never reset
	handedOver        bool // shutting down, and the successor process of this relay accepts clients
}

// newClients returns the server side of the client protocol. It accepts no connections before serve is called.
func newClients(cfg *Config, clk clock.Clock, log *slog.Logger, submit func(*putRequest),
	replyWritten func(*putRequest, bool)) *clients {
	maxConns, _ := cfg.socketBudget()
	c := &clients{cfg: cfg, clock: clk, log: log, submit: submit, replyWritten: replyWritten, maxConns: maxConns,
		firstCommandTimeout: firstCommandTimeout, commandTimeout: cmp.Or(cfg.commandTimeout, commandTimeout),
		idleTimeout: idleTimeout, placeTimeout: placeTimeout, conns: map[*clientConn]bool{}}
	c.limitCommandMemory(cfg.commandMemory())
	return c
}

// serve accepts connections until the listener is closed.
func (c *clients) serve(listener net.Listener) error {
	c.setServing(true)
	defer c.setServing(false)
	backoff := acceptBackoff{log: c.log, clock: c.clock, listener: "clients"}
	queue := acceptQueue{clock: c.clock, timeout: c.placeTimeout,
		backlogSize: func() int { return backlogSize(listener) }}
	for {
		acceptingSince := c.clock.Now()
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) { // accepting is paused during a hand-over
				time.Sleep(2 * time.Millisecond)
				continue
			}
			// Errors such as a lack of descriptors or a client that has disconnected already are temporary.
			time.Sleep(backoff.failed(err))
			continue
		}
		backoff.accepted()
		cc := newClientConn(conn, c.clock)
		queue.accepted(acceptingSince)
		admitted := c.admitConn(cc)
		for !admitted && queue.mayWait() {
			time.Sleep(placePollInterval)
			admitted = c.admitConn(cc)
		}
		if admitted {
			queue.admitted()
		} else {
			c.recordRefusal()
		}
		c.logEvictions()
		if !admitted {
			cc.Close() // without a reply, so that a flood of connections costs little
			continue
		}
		go func() {
			c.handleConn(cc)
			c.closeConn(cc)
			c.mu.Lock()
			delete(c.conns, cc)
			c.mu.Unlock()
		}()
	}
}

// beginRequest records that the first byte of a request has been read.
func (c *clients) beginRequest(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.inFlight++
	cc.readingCommand = true
	if cc.readStopped {
		return
	}
	if cc.sentCommand { // the deadline of the first command was set when the connection was accepted
		cc.readUntil(c.clock.Now().Add(c.commandTimeout))
	} else if cc.closing {
		cc.readUntil(c.clock.Now().Add(c.firstCommandTimeout))
	}
}

// commandRead records that a whole command has been read.
func (c *clients) commandRead(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.sentCommand, cc.readingCommand, cc.reservedBytes = true, false, 0
	c.awaitRequest(cc)
}

// awaitRequest sets the read deadline for the first byte of the next request. A closing connection reads no further
// request. The caller holds mu.
func (c *clients) awaitRequest(cc *clientConn) {
	switch {
	case cc.readStopped || cc.closing || c.draining() && cc.inFlight == 0:
		cc.interruptRead()
	case cc.inFlight > 0:
		cc.readWithoutDeadline()
	default:
		cc.readUntil(cc.idleSince.Add(c.idleTimeout))
	}
}

// finishRequest records that a request was answered. On a connection that is to be closed this ends the wait of its
// reading goroutine, which then checks whether another request has arrived.
func (c *clients) finishRequest(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.inFlight--
	cc.idleSince = c.clock.Now()
	if cc.inFlight == 0 {
		c.awaitRequest(cc)
	}
}

// requestArrived reports whether the wait for a request has timed out with data unread in the socket. Closing the
// connection would reset it and lose the request, so the read deadline is extended for the request to be read.
func (c *clients) requestArrived(cc *clientConn, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if n, err := peekSocket(cc.Conn); n <= 0 || err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc.readStopped {
		return false
	}
	cc.readUntil(c.clock.Now().Add(c.commandTimeout))
	return true
}

// clientCommand is a command that was read from a connection, or the error of reading it.
type clientCommand struct {
	args        [][]byte
	err         error
	readAt      clock.Instant
	reservation *commandReservation // of the memory of args, to be released once the command is answered
}

// handleConn answers the commands of one connection in their order. A separate goroutine reads them, so that a client
// that disconnects before its reply is noticed.
func (c *clients) handleConn(cc *clientConn) {
	commands := make(chan clientCommand)
	var pipelined *clientCommand // read, but not answered when the connection fails
	defer func() { c.replyToRemaining(cc, pipelined, commands) }()
	go func() {
		defer close(commands)
		reader := bufio.NewReader(cc)
		for {
			if _, err := reader.Peek(1); err != nil {
				if c.requestArrived(cc, err) {
					continue
				}
				return
			}
			// A connection whose commands never pause would otherwise keep its processor from other connections.
			runtime.Gosched()
			c.beginRequest(cc)
			reservation := c.newReservation(cc)
			args, err := resp.ReadCommand(reader, func(bytes int) error {
				return c.reserve(cc, reservation, int64(bytes))
			})
			if err != nil {
				reservation.release()
			}
			switch {
			case err == nil || err == resp.ErrTooLong:
				c.commandRead(cc)
			case errors.Is(err, os.ErrDeadlineExceeded):
				err = errCommandTimeout
			case errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, new(net.Error)):
				return // the client has disconnected
			}
			commands <- clientCommand{args, err, c.clock.Now(), reservation}
			if err != nil && err != resp.ErrTooLong {
				return
			}
		}
	}()
	for cmd := range commands {
		for next := &cmd; next != nil; {
			cmd := *next
			// Where the relay ended the reading, the incomplete command is no error of the client.
			if cmd.err == errCommandTimeout && c.isClosing(cc) {
				c.writeReply(cc, resp.Error(cmd.err))
				return
			}
			if cmd.err != nil && cmd.err != resp.ErrTooLong {
				c.replyError(cc, cmd.err)
				return
			}
			ok := false
			ok, next = c.handleCommand(cc, cmd, commands)
			cmd.reservation.release()
			if !ok {
				pipelined = next
				return
			}
			c.finishRequest(cc)
		}
	}
}

// handleCommand answers one command. It reports false where the connection has to be closed, and returns a command
// that the client sent before it had the reply, if there is one.
func (c *clients) handleCommand(cc *clientConn, cmd clientCommand,
	commands chan clientCommand) (bool, *clientCommand) {
	if cmd.err != nil {
		return c.replyError(cc, cmd.err), nil
	}
	switch name := string(bytes.ToUpper(cmd.args[0])); name {
	case "PING":
		// Clients may ping ten times a second, so this error reply is neither delayed nor counted.
		if reason := c.drainReason(); reason != "" {
			return c.writeReply(cc, resp.ErrorText(reason)), nil
		}
		c.recordValid(cc, true)
		if len(cmd.args) > 1 {
			return c.writeReply(cc, resp.BulkString(cmd.args[1])), nil
		}
		return c.writeReply(cc, resp.Pong), nil
	case "MSG.PUT":
		return c.handlePut(cc, cmd, commands)
	default:
		return c.replyError(cc, fmt.Errorf("unknown command %.32q", name)), nil
	}
}

// handlePut passes a message to the event loop and writes the reply. Its results are those of handleCommand.
func (c *clients) handlePut(cc *clientConn, cmd clientCommand, commands chan clientCommand) (bool, *clientCommand) {
	c.mu.Lock()
	cfg := c.cfg
	c.mu.Unlock()
	request, err := cfg.parsePut(cmd.args, cmd.readAt)
	if err != nil {
		return c.replyError(cc, err), nil
	}
	c.submit(request)
	var pipelined *clientCommand
	var reply string
	select {
	case reply = <-request.reply:
	case next, open := <-commands:
		switch {
		case open:
			pipelined = &next
		case !c.isClosing(cc):
			c.withdrawPut(cc, request)
			return false, nil
		}
		reply = <-request.reply
	}
	if peerHasClosed(cc.Conn) { // the end of its commands is still unread
		request.reply <- reply // it holds if the message cannot be withdrawn any more
		c.withdrawPut(cc, request)
		return false, pipelined
	}
	if resp.IsError(reply) {
		return c.writeErrorReply(cc, reply), pipelined
	}
	c.recordValid(cc, true)
	ok := c.writeReply(cc, reply)
	c.replyWritten(request, ok)
	cc.consecutiveErrors = 0
	return ok, pipelined
}

// withdrawPut withdraws the message of a client that has disconnected before it had its reply, or has ended its side of
// the connection and may still read: no attempt has begun. It writes the refusal, or the request's reply where that holds.
func (c *clients) withdrawPut(cc *clientConn, request *putRequest) {
	c.replyWritten(request, false)
	reply := <-request.withdrawal
	if reply == "" {
		reply = <-request.reply
	}
	c.writeReply(cc, reply)
}

// writeReply writes a reply and reports whether all of it was written.
func (c *clients) writeReply(cc *clientConn, reply string) bool {
	cc.SetWriteDeadline(clock.DeadlineIn(replyWriteTimeout))
	_, err := writeAll(cc.Conn, []byte(reply))
	cc.replied, cc.writeFailed = true, err != nil
	return err == nil
}

// replyError writes err as an error reply. It reports false where the connection has to be closed.
func (c *clients) replyError(cc *clientConn, err error) bool {
	return c.writeErrorReply(cc, resp.Error(err))
}

// writeErrorReply writes an error reply after a delay, which an eviction ends. It reports false where the write failed
// or the connection has had too many error replies in a row.
func (c *clients) writeErrorReply(cc *clientConn, reply string) bool {
	c.recordValid(cc, false)
	select {
	case <-time.After(errorReplyDelay):
	case <-cc.evictedInvalid:
	}
	ok := c.writeReply(cc, reply)
	cc.consecutiveErrors++
	return ok && cc.consecutiveErrors < maxConsecutiveErrors
}

// recordValid records whether the command that is being answered is valid.
func (c *clients) recordValid(cc *clientConn, valid bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.invalid = !valid
	cc.sentValid = cc.sentValid || valid
}
