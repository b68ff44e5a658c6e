package relay

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
)

// The relay has its own connection pool instead of that of net/http, since it must know three things of each call:
// whether the last byte of the request was written, that the response it read belongs to this call, and that nothing
// of the call goes on once it is over.

const (
	poolSweepInterval = 500 * time.Millisecond
	// connReuseDelay is how long a connection stays unused after a call. Surplus bytes that an endpoint sends after a
	// response arrive with it or straight after, and must be seen before the connection carries another call.
	connReuseDelay = 5 * time.Millisecond
	// surplusReuseDelay takes the place of connReuseDelay at an endpoint that has sent surplus bytes within
	// surplusMemory: its next ones may come later than the last.
	surplusReuseDelay = 100 * time.Millisecond
	surplusMemory     = time.Minute
	lastByteDelay     = 3 * time.Millisecond // see poolConn.writeRequest
)

var (
	errPoolFull         = errors.New("connection limit of the pool reached")
	errResponseTooLarge = errors.New("response too large")
)

// pool keeps the connections to all endpoints within one limit.
type pool struct {
	clock         clock.Clock
	lastByteDelay time.Duration // wait before the last byte of a request

	mu             sync.Mutex
	connectTimeout time.Duration
	idleTimeout    time.Duration
	maxOpen        int
	open           int         // connections that are being dialed, in use or idle
	idle           []*poolConn // ordered by idle time, the longest first
}

// hostPool is the part of the pool that belongs to one endpoint address.
type hostPool struct {
	pool   *pool
	addr   string
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	closed bool // guarded by pool.mu: connections are closed when they are put back
	// surplusAt is when the endpoint last sent bytes that belong to no call; zero for never. Guarded by pool.mu.
	surplusAt clock.Instant
}

// poolConn is one connection, which is idle or held by one call.
type poolConn struct {
	net.Conn
	host       *hostPool
	reader     *bufio.Reader
	readBudget int64         // bytes that may still be read for the response
	idleSince  clock.Instant // end of the last call
	priorCalls int           // calls that the connection carried before the current one
	// While a response is read, stallTimer expires if no data arrives for stallTimeout; zero otherwise.
	stallTimeout time.Duration
	stallTimer   *time.Timer
	idleTime     time.Duration // time from the end of the previous call to the current one
}

// Read reads from the connection within the read budget of the response.
func (c *poolConn) Read(b []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := readWithRetry(c.Conn, b[:min(int64(len(b)), c.readBudget)])
	c.readBudget -= int64(n)
	if n > 0 && c.stallTimeout > 0 {
		c.stallTimer.Reset(c.stallTimeout)
	}
	return n, err
}

func newPool(clk clock.Clock, connectTimeout, idleTimeout time.Duration, maxOpen int) *pool {
	return &pool{clock: clk, connectTimeout: connectTimeout, idleTimeout: idleTimeout, maxOpen: maxOpen,
		lastByteDelay: lastByteDelay}
}

// forHost returns a part of the pool for an address. It shares no connections with earlier parts for that address.
func (p *pool) forHost(addr string) *hostPool {
	return &hostPool{pool: p, addr: addr, dial: func(ctx context.Context, addr string) (net.Conn, error) {
		p.mu.Lock()
		dialer := &net.Dialer{Timeout: p.connectTimeout, KeepAlive: -1}
		p.mu.Unlock()
		return dialer.DialContext(ctx, "tcp", addr)
	}}
}

// configure sets the timeouts from the settings and the limit of open connections. The idle timeout is shorter than
// the endpoints' keep-alive time, so that the relay closes idle connections first: a request written to a connection
// that the endpoint is just closing ends with a reset.
func (p *pool) configure(s *decide.Settings, maxOpen int) {
	keepAlive := time.Duration(s.KeepAlive) * time.Microsecond
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout, p.idleTimeout, p.maxOpen =
		time.Duration(s.ConnectTimeout)*time.Microsecond, keepAlive-keepAlive/keepAliveMarginDivisor, maxOpen
	for p.open > p.maxOpen && len(p.idle) > 0 { // the limit may have been lowered
		p.closeLocked(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
}

// run closes connections that were idle for too long, or that their endpoint closed or wrote to while they were idle.
// It closes all idle connections when ctx ends.
func (p *pool) run(ctx context.Context) {
	tick := time.NewTicker(poolSweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(func(*poolConn) bool { return true })
			return
		case <-tick.C:
			now := p.clock.Now()
			p.sweep(func(c *poolConn) bool { return p.idleTooLong(c, now) || !c.checkIdle(now) }) // sweep holds mu
		}
	}
}

func (p *pool) idleTooLong(c *poolConn, now clock.Instant) bool {
	return p.idleTimeout > 0 && now.Sub(c.idleSince) >= p.idleTimeout
}

// sweep closes the idle connections for which shouldClose returns true.
func (p *pool) sweep(shouldClose func(*poolConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if shouldClose(c) {
			p.closeLocked(c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// closeLocked closes a connection. The caller holds mu.
func (p *pool) closeLocked(c *poolConn) {
	c.Conn.Close()
	p.open--
}

// discard closes a connection that a call held.
func (c *poolConn) discard() {
	p := c.host.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// discardUnsent closes a connection to which the last byte of a request was not written. Data that it has received is
// surplus then.
func (c *poolConn) discardUnsent() {
	p := c.host.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.hasData() {
		c.host.surplusAt = p.clock.Now()
	}
	p.closeLocked(c)
}

// get returns the most recently used connection that is idle and clean, or a new one.
func (h *hostPool) get(ctx context.Context) (*poolConn, error) {
	p := h.pool
	p.mu.Lock()
	now := p.clock.Now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.host != h || now.Sub(c.idleSince) < h.reuseDelay(now) {
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		if !p.idleTooLong(c, now) && c.checkIdle(now) {
			c.priorCalls, c.idleTime = c.priorCalls+1, now.Sub(c.idleSince)
			p.mu.Unlock()
			return c, nil
		}
		p.closeLocked(c)
	}
	if p.open >= p.maxOpen { // closes the connection that was idle for longest, whichever endpoint it belongs to
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil, errPoolFull
		}
		p.closeLocked(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.open++
	p.mu.Unlock()
	conn, err := h.dial(ctx, h.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := &poolConn{Conn: conn, host: h}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// put returns a connection to the pool after a call whose response was read to its end.
func (c *poolConn) put() {
	c.SetDeadline(time.Time{})
	p := c.host.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !c.checkIdle(now) || c.host.closed {
		p.closeLocked(c)
		return
	}
	c.idleSince = now
	p.idle = append(p.idle, c)
}

// closeIdle closes the idle connections to the host.
func (h *hostPool) closeIdle() { h.pool.sweep(func(c *poolConn) bool { return c.host == h }) }

// close closes the idle connections now and the connections that calls hold when they are put back.
func (h *hostPool) close() {
	h.pool.mu.Lock()
	h.closed = true
	h.pool.mu.Unlock()
	h.closeIdle()
}

// reuseDelay returns how long a connection rests after a call. The caller holds pool.mu.
func (h *hostPool) reuseDelay(now clock.Instant) time.Duration {
	if !h.surplusAt.IsZero() && now.Sub(h.surplusAt) < surplusMemory {
		return surplusReuseDelay
	}
	return connReuseDelay
}

// checkIdle reports whether a connection without a call is clean, and records where its endpoint has sent surplus
// bytes. The caller holds pool.mu.
func (c *poolConn) checkIdle(now clock.Instant) bool {
	if c.hasData() {
		c.host.surplusAt = now
		return false
	}
	return c.isClean()
}

// hasData reports whether data has been received that nobody has read.
func (c *poolConn) hasData() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	n, err := peekSocket(c.Conn)
	return n > 0 && err == nil
}

// isClean reports whether the connection is open and has no unread data. Whatever arrives before the last byte of a
// request is written is no response to it, and an end of file means that the endpoint closed the connection.
func (c *poolConn) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	n, err := peekSocket(c.Conn)
	return n < 0 && err == nil
}

// counts returns the numbers of open and idle connections, for tests and the log.
func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// writeRequest writes a request except for its last byte, makes sure that nothing has been received yet, and then
// writes the last byte. An error means that the last byte was not written, so the endpoint has not run the call.
//
// It waits for lastByteDelay before the last byte. A connection that its endpoint has dropped without notice, or is
// just dropping, is reset as soon as data reaches the endpoint; the delay shows the reset while it is still certain
// that the call has not run. commit is called when only the last byte is left; if it returns false the byte is not
// written.
func (c *poolConn) writeRequest(ctx context.Context, text []byte, commit func() bool) error {
	last := len(text) - 1
	if _, err := writeAll(c.Conn, text[:last]); err != nil {
		return err
	}
	c.SetReadDeadline(clock.DeadlineIn(c.host.pool.lastByteDelay))
	if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return cmp.Or(err, errUnexpectedData)
	}
	c.SetReadDeadline(time.Time{})
	if err := ctx.Err(); err != nil { // the deadline just cleared may be the one set when ctx ended
		return err
	}
	if !c.isClean() {
		return errUnexpectedData
	}
	if !commit() {
		return errMessageRemoved
	}
	// The write is not retried: what commit has checked may no longer hold later.
	n, err := c.Conn.Write(text[last:])
	if n == 1 { // the kernel has accepted the byte, whatever error comes with it
		return nil
	}
	return cmp.Or(err, io.ErrShortWrite)
}

var errUnexpectedData = errors.New("connection closed or data received before the request was written")

// peekStatusLine waits for the first line of a response and returns it without consuming it.
func peekStatusLine(in *bufio.Reader) (string, error) {
	for n := 1; ; n = in.Buffered() + 1 {
		if _, err := in.Peek(n); err != nil {
			return "", err
		}
		buffered, _ := in.Peek(in.Buffered())
		for i, b := range buffered {
			if b == '\n' {
				return string(buffered[:i]), nil
			}
		}
	}
}

// parseStatus parses the status code in a status line.
func parseStatus(line string) (int, error) {
	if len(line) < 12 || line[:7] != "HTTP/1." || line[7] < '0' || line[7] > '1' || line[8] != ' ' ||
		len(line) > 12 && line[12] != ' ' && line[12] != '\r' {
		return 0, fmt.Errorf("invalid status line %.40q", line)
	}
	code := 0
	for _, digit := range []byte(line[9:12]) {
		if digit < '0' || digit > '9' {
			return 0, fmt.Errorf("invalid status line %.40q", line)
		}
		code = code*10 + int(digit-'0')
	}
	if code < 100 {
		return 0, fmt.Errorf("invalid status line %.40q", line)
	}
	return code, nil
}

// skipHeader reads past the header of an interim response.
func skipHeader(in *bufio.Reader) error {
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= 2 && (len(line) == 1 || line[0] == '\r') {
			return nil
		}
	}
}
