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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// bodyMost is the longest body of a message, in bytes.
const bodyMost = resp.MaxBody

const (
	writeWait = 2 * time.Second
	// Clients are known that write a command in 2 s; a bad one is owed its end
	// within 3 s.
	firstWait    = 2600 * time.Millisecond // from a connection to its first whole command
	wholeWait    = 2600 * time.Millisecond // from a later command's first byte to its last
	stallWait    = 300 * time.Millisecond  // between two bytes of a command, where others need the place
	idleWait     = 4 * time.Second         // without a request
	deadlineMost = 2                       // times what its class has: no message has more left
	// A message's time counts from when its client sent it, and nobody tells how
	// long ago that was. The protocol allows 50 ms to what goes by sockets; taken
	// off here, the whole slack of the rule is left for the end to be told in.
	underWay     = 50 * time.Millisecond
	underWayPart = 20 // but no more than one part in so many of what is left
	unreadWait   = 20 * time.Millisecond
	// Faults are answered a little later than they could be, and only so many on
	// a connection: one that sends the same again and again must not eat the core.
	faultPause = 100 * time.Millisecond
	faultsMost = 10
	overMost   = 8 // connections over the number that may be open, while others close
)

var errUnfinished = errors.New("command not finished in time")

// request is a message that a client hands in; answer is called once.
type request struct {
	rec   *record
	left  time.Duration
	reply chan string

	// Where another process has the client: its way back, and whether an answer
	// was given.
	to       func(string)
	answered bool
}

func (q *request) answer(s string) {
	if q.to != nil {
		q.to(s)
		return
	}
	q.reply <- s
}

// parsePut reads a handed-in message; what is wrong is named, and nothing is
// taken.
func (c *Config) parsePut(args [][]byte, now clock.Instant) (*request, error) {
	if len(args) != 5 {
		return nil, fmt.Errorf("MSG.PUT takes 4 arguments, %d came", len(args)-1)
	}
	id := string(args[2])
	if !token(id) {
		return nil, errors.New("id: empty, too long or not plain")
	}
	q := &request{rec: &record{Kind: recTaken, ID: id, body: args[4]}, reply: make(chan string, 1)}
	have := map[string]string{}
	for part := range strings.SplitSeq(string(args[3]), ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			return nil, fmt.Errorf("field %q without a value", part)
		}
		have[name] = value
	}
	class, ok := c.classes[have["c"]]
	if !ok {
		return nil, fmt.Errorf("c: unknown class %q", have["c"])
	}
	q.rec.Class = have["c"]
	if _, ok := c.tenants[have["t"]]; !ok && len(c.tenants) > 0 {
		return nil, fmt.Errorf("t: unknown tenant %q", have["t"])
	}
	q.rec.Tenant = have["t"]
	ms, err := milliseconds(have["d"])
	if err != nil {
		return nil, fmt.Errorf("d: %w", err)
	}
	if most := float64(c.Policy.Classes[class].Deadline) / 1000; ms > deadlineMost*most {
		return nil, fmt.Errorf("d: %v ms, and messages of class %s have %v at most", ms, q.rec.Class, most)
	}
	q.left = time.Duration(ms * float64(time.Millisecond))
	q.rec.Deadline = now.Add(q.left - min(underWay, q.left/underWayPart))
	dest, err := strconv.ParseUint(have["dest"], 10, 32)
	if err != nil {
		return nil, fmt.Errorf("dest: %.32q is no destination", have["dest"])
	}
	q.rec.Dest = int(dest)
	if q.rec.Key = have["k"]; q.rec.Key != "" && !token(q.rec.Key) {
		return nil, errors.New("k: too long or not plain")
	}
	if q.rec.Key == "" && c.isKeyed(class) {
		return nil, errors.New("k: missing in a keyed class")
	}
	return q, nil
}

// milliseconds reads a time: digits, maybe with decimals. What a number may
// look like elsewhere (a sign, an exponent, hexadecimal) is no time.
func milliseconds(s string) (float64, error) {
	whole, _, _ := strings.Cut(s, ".")
	if whole == "" || len(s) > 24 || strings.Trim(s, "0123456789.") != "" {
		return 0, fmt.Errorf("%.32q is no time in milliseconds", s)
	}
	return strconv.ParseFloat(s, 64)
}

// token reports whether s can stand in a header as it is.
func token(s string) bool {
	if s == "" || len(s) > 256 {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// clients serves those who hand messages in.
type clients struct {
	clock clock.Clock
	log   *slog.Logger
	put   func(*request)            // hands it to the loop, which answers
	said  func(q *request, ok bool) // the answer was written, or its client is gone
	// One that says nothing, or begins a command and does not end it, must not
	// hold its place for ever.
	first, whole, quiet time.Duration

	mu      sync.Mutex
	cfg     *Config
	most    int
	conns   map[*clientConn]bool // until their descriptors are free
	room    room                 // since it was last logged
	toldAt  clock.Instant
	serving bool // connections are accepted
	drained bool // by the operators, who can take it back
	closing bool // for good
	handed  bool // closing, but another process of this relay takes clients
}

// clientConn is one connection. What is said of it is guarded by the lock of
// clients.
type clientConn struct {
	net.Conn
	clock    clock.Clock
	busy     int          // requests begun and not answered
	reading  bool         // the last of them has not been read whole
	heardAt  atomic.Int64 // the instant at which it last brought anything
	faults   int          // in a row; of the answering goroutine alone
	wrote    bool         // something was answered; likewise
	broken   bool         // an answer could not be written; likewise
	ending   bool         // nothing more is read but what has been taken from the socket
	evicted  bool         // its place is needed
	idle     clock.Instant
	spoke    bool // has sent a whole command
	released bool
}

// Read notes when something came.
func (cc *clientConn) Read(b []byte) (int, error) {
	n, err := readOnce(cc.Conn, b)
	if n > 0 {
		cc.heardAt.Store(int64(cc.clock.Now()))
	}
	return n, err
}

// heard is when the connection last brought anything.
func (cc *clientConn) heard() clock.Instant { return clock.Instant(cc.heardAt.Load()) }

// readUntil sets the moment at which reading ends.
func (cc *clientConn) readUntil(at clock.Instant) {
	cc.SetReadDeadline(clock.DeadlineIn(clock.Until(cc.clock, at)))
}

// release ends the wait for a next request, for good. A connection is closed
// only so: where a request's first byte has been read by then, it is answered
// first.
func (cc *clientConn) release() {
	cc.released = true
	cc.SetReadDeadline(clock.ExpiredDeadline)
}

func newClients(cfg *Config, clk clock.Clock, log *slog.Logger, put func(*request), said func(*request, bool)) *clients {
	most, _ := cfg.socketBudget()
	return &clients{cfg: cfg, clock: clk, log: log, put: put, said: said, most: most,
		first: firstWait, whole: cmp.Or(cfg.commandTimeout, wholeWait), quiet: idleWait, conns: map[*clientConn]bool{}}
}

// serve accepts until the listener is closed.
func (c *clients) serve(ln net.Listener) error {
	c.setServing(true)
	defer c.setServing(false)
	backoff := acceptBackoff{log: c.log, clock: c.clock, listener: "clients"}
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) { // paused, while another process may take over
				time.Sleep(2 * time.Millisecond)
				continue
			}
			// Out of descriptors, or the client has left already: neither ends the relay.
			time.Sleep(backoff.failed(err))
			continue
		}
		backoff.accepted()
		cc := &clientConn{Conn: conn, clock: c.clock, idle: c.clock.Now()}
		entered := c.enter(cc)
		c.tellRoom()
		if !entered {
			cc.Close() // cheaply: a flood must leave time for the others
			continue
		}
		go func() {
			c.talk(cc)
			c.hangUp(cc)
			c.mu.Lock()
			delete(c.conns, cc)
			c.mu.Unlock()
		}()
	}
}

// enter gives a connection its place, if need be that of another. Those that
// have said nothing yet hold half of the places at most.
func (c *clients) enter(cc *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var silent, idle, stalled *clientConn // the oldest of each kind
	silents := 0
	for x := range c.conns {
		switch {
		case x.released:
		case x.reading:
			if stalled == nil || x.heard() < stalled.heard() {
				stalled = x
			}
		case x.busy > 0:
		case x.spoke:
			if idle == nil || x.idle < idle.idle {
				idle = x
			}
		default:
			silents++
			if silent == nil || x.idle < silent.idle {
				silent = x
			}
		}
	}
	if silent != nil && cc.idle.Sub(silent.idle) < unreadWait {
		silent = nil // what it sent may not have been read yet
	}
	if stalled != nil && cc.idle.Sub(stalled.heard()) < stallWait {
		stalled = nil // it is being written
	}
	if crowd := silents >= max(c.most/2, 1); crowd || len(c.conns) >= c.most {
		// Clients open another when they need it. One let go keeps counting
		// until its descriptor is free.
		switch {
		case silent != nil:
			silent.release()
			c.room.silent++
		case idle != nil && !crowd:
			idle.evict()
			c.room.idle++
		case stalled != nil && !crowd:
			stalled.evict()
			c.room.stalled++
		default:
			c.room.refused++
			return false
		}
	}
	if len(c.conns) >= c.most+overMost {
		c.room.refused++
		return false
	}
	c.conns[cc] = true
	cc.readUntil(cc.idle.Add(c.first))
	return true
}

// room counts who made room for new connections.
type room struct{ silent, idle, stalled, refused int }

// tellRoom logs it, now and then.
func (c *clients) tellRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.room == (room{}) || !c.toldAt.IsZero() && clock.Since(c.clock, c.toldAt) < time.Second {
		return
	}
	c.log.Warn("clients: full, connections made room", "silent", c.room.silent, "idle", c.room.idle, "stalled", c.room.stalled,
		"turned_away", c.room.refused, "most", c.most)
	c.room, c.toldAt = room{}, c.clock.Now()
}

// retune takes a new configuration, for what is read from here on.
func (c *clients) retune(cfg *Config, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg, c.most = cfg, most
	for over := c.waiting() - most; over > 0; over-- { // the numbers may have gone down
		if cc := c.oldest(); cc != nil {
			cc.release()
		}
	}
}

// waiting counts the connections that have not been let go; the caller holds mu.
func (c *clients) waiting() (n int) {
	for cc := range c.conns {
		if !cc.released {
			n++
		}
	}
	return n
}

// oldest is the connection without a request that has been so for longest, one
// that never had any before the others; nil for none. The caller holds mu.
func (c *clients) oldest() (found *clientConn) {
	for cc := range c.conns {
		if cc.busy > 0 || cc.released {
			continue
		}
		if found == nil || found.spoke && !cc.spoke || found.spoke == cc.spoke && cc.idle < found.idle {
			found = cc
		}
	}
	return found
}

func (c *clients) setServing(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = on
}

// ready reports whether clients are taken.
func (c *clients) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving && !c.leaving()
}

// leaving reports whether clients are sent away: each connection goes once it
// carries no request. The caller holds mu.
func (c *clients) leaving() bool { return c.drained || c.closing }

// away tells why clients are sent away; empty where they are not.
func (c *clients) away() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.handed: // whoever asks means the relay
		return ""
	case c.closing:
		return "ending"
	case c.drained:
		return "drained"
	}
	return ""
}

// unready tells why clients are not taken.
func (c *clients) unready() string {
	c.mu.Lock()
	handed := c.handed
	c.mu.Unlock()
	if handed {
		return "handed over"
	}
	return cmp.Or(c.away(), "starting")
}

// closeIdle ends the client side: the connections that carry no request are
// closed, and each of the others after its answer.
func (c *clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.releaseIdle()
}

// handOver ends the client side of this process alone.
func (c *clients) handOver() {
	c.mu.Lock()
	c.handed = true
	c.mu.Unlock()
	c.closeIdle()
}

func (c *clients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// drain sends the clients away; what they handed in goes on to its end.
func (c *clients) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained = true
	c.releaseIdle()
}

// undrain takes clients again. It reports false where the relay ends anyway.
func (c *clients) undrain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained = false
	return !c.closing
}

// releaseIdle lets go of what carries no request; the caller holds mu. One that
// has not sent its first yet has its own time for that, and goes after it.
func (c *clients) releaseIdle() {
	for cc := range c.conns {
		if cc.busy == 0 && cc.spoke {
			cc.release()
		}
	}
}

// letGo reports whether the end of what a connection sends is our own doing:
// its client is there, and a request that crossed that is still answered.
func (c *clients) letGo(cc *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cc.released
}

// begin marks a request whose first byte has come.
func (c *clients) begin(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.busy++
	cc.reading = true
	if cc.ending {
		return
	}
	if cc.spoke { // a first command has the time that its connection has
		cc.SetReadDeadline(clock.DeadlineIn(c.whole))
	} else if cc.released {
		cc.SetReadDeadline(clock.DeadlineIn(c.first))
	}
}

// read marks that a whole command has been read.
func (c *clients) read(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.spoke, cc.reading = true, false
	c.await(cc)
}

// await sets the time for the next request to begin. One that was let go, and
// is only still answered, gets none. The caller holds mu.
func (c *clients) await(cc *clientConn) {
	switch {
	case cc.ending || cc.released || c.leaving() && cc.busy == 0:
		cc.SetReadDeadline(clock.ExpiredDeadline)
	case cc.busy > 0:
		cc.SetReadDeadline(time.Time{})
	default:
		cc.readUntil(cc.idle.Add(c.quiet))
	}
}

// finish marks a request answered. Where the connection is to go, its reader
// finds that out, and whether anything came on it meanwhile.
func (c *clients) finish(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.busy--
	cc.idle = c.clock.Now()
	if cc.busy == 0 {
		c.await(cc)
	}
}

// crossed reports whether a request came as the wait for it ended: closing the
// connection now would reset it under its client. The request is then read.
func (c *clients) crossed(cc *clientConn, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if n, err := unread(cc.Conn); n <= 0 || err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc.ending {
		return false
	}
	cc.SetReadDeadline(clock.DeadlineIn(c.whole))
	return true
}

type command struct {
	args [][]byte
	err  error
	at   clock.Instant
}

// talk answers one client's commands in turn. A goroutine of its own reads, so
// that a client that leaves before its answer is noticed.
func (c *clients) talk(cc *clientConn) {
	commands := make(chan command)
	var ahead *command // read, and not answered as the connection ends
	defer func() { c.answerRest(cc, ahead, commands) }()
	go func() {
		defer close(commands)
		in := bufio.NewReader(cc)
		for {
			if _, err := in.Peek(1); err != nil {
				if c.crossed(cc, err) {
					continue
				}
				return
			}
			c.begin(cc)
			args, err := resp.ReadCommand(in)
			switch {
			case err == nil || err == resp.ErrTooLong:
				c.read(cc)
			case errors.Is(err, os.ErrDeadlineExceeded):
				err = errUnfinished
			case errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, new(net.Error)):
				return // nobody is there to be told
			}
			commands <- command{args, err, c.clock.Now()}
			if err != nil && err != resp.ErrTooLong {
				return
			}
		}
	}()
	for cmd := range commands {
		for more := &cmd; more != nil; {
			cmd := *more
			if cmd.err == errUnfinished && c.letGo(cc) { // another needs the place
				c.write(cc, resp.Error(cmd.err))
				return
			}
			if cmd.err != nil && cmd.err != resp.ErrTooLong {
				c.fault(cc, cmd.err)
				return
			}
			ok := false
			ok, more = c.one(cc, cmd, commands)
			if !ok {
				ahead = more
				return
			}
			c.finish(cc)
		}
	}
}

// one answers one command. It hands back what the client sent ahead of the
// answer, and false where the connection is of no more use.
func (c *clients) one(cc *clientConn, cmd command, commands chan command) (bool, *command) {
	if cmd.err != nil {
		return c.fault(cc, cmd.err), nil
	}
	switch name := string(bytes.ToUpper(cmd.args[0])); name {
	case "PING":
		if why := c.away(); why != "" { // asked ten times a second: no fault of the client
			return c.write(cc, resp.ErrorText(why)), nil
		}
		if len(cmd.args) > 1 {
			return c.write(cc, resp.BulkString(cmd.args[1])), nil
		}
		return c.write(cc, resp.Pong), nil
	case "MSG.PUT":
		return c.handIn(cc, cmd, commands)
	default:
		return c.fault(cc, fmt.Errorf("unknown command %.32q", name)), nil
	}
}

// handIn hands a message to the loop and writes its answer.
func (c *clients) handIn(cc *clientConn, cmd command, commands chan command) (bool, *command) {
	c.mu.Lock()
	cfg := c.cfg
	c.mu.Unlock()
	q, err := cfg.parsePut(cmd.args, cmd.at)
	if err != nil {
		return c.fault(cc, err), nil
	}
	c.put(q)
	var ahead *command
	var reply string
	select {
	case reply = <-q.reply:
	case next, open := <-commands:
		switch {
		case open:
			ahead = &next
		case !c.letGo(cc): // gone before its answer, or it sends no more and still reads: nothing was begun for it
			c.said(q, false)
			c.write(cc, resp.Busy(0))
			return false, nil
		}
		reply = <-q.reply
	}
	if resp.IsError(reply) {
		return c.deny(cc, reply), ahead
	}
	ok := c.write(cc, reply)
	c.said(q, ok)
	cc.faults = 0
	return ok, ahead
}

func (c *clients) write(cc *clientConn, s string) bool {
	cc.SetWriteDeadline(clock.DeadlineIn(writeWait))
	_, err := writeAll(cc.Conn, []byte(s))
	cc.wrote, cc.broken = true, err != nil
	return err == nil
}

// fault answers what cannot be used; false where the connection is of no more
// use.
func (c *clients) fault(cc *clientConn, err error) bool { return c.deny(cc, resp.Error(err)) }

func (c *clients) deny(cc *clientConn, reply string) bool {
	time.Sleep(faultPause)
	ok := c.write(cc, reply)
	cc.faults++
	return ok && cc.faults < faultsMost
}
