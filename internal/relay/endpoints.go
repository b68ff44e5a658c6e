package relay

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
)

const (
	callPath    = "/v1/messages"
	batchPath   = "/v1/messages:batch"
	probePath   = "/health/live"
	answerMost  = 192 << 10       // bytes of an answer that are read, with what comes ahead of it
	answerWait  = time.Second     // between two bytes of an answer that has begun: it may come in pieces
	connsMost   = 4               // connections on which one call is begun
	hintsMost   = 8               // 1xx answers ahead of the last
	probeWait   = 2 * time.Second // a probe that takes longer has failed
	idleMargin  = 10              // one part in so many of the keep-alive is left unused
	longestWait = 10 * time.Minute
	aliveWait   = decide.Time(1e6) // an endpoint that answered within this is not away
	loadMost    = 1e6              // no figure of a load report is higher
)

// endpoint is one address of a destination, with its kept-alive connections. There
// is one as long as something is known, told or out of it. The loop owns it; calls use its address as it was when they began.
type endpoint struct {
	id        string
	num       decide.Endpoint
	cell      int
	zone      string
	batch     int  // messages that one call may carry
	apart     bool // a route: its waits bind it alone
	hostPort  string
	gone      bool // drained or removed: nothing new goes there
	goneAt    decide.Time
	waitUntil decide.Time // told to wait
	answerAt  decide.Time // when it last answered at all
	home      *home
	calls     map[*call]bool
	released  bool // the policy keeps nothing of it
	leaving   bool // it is among those looked at for whether they can be forgotten
}

// suspect books how a call went and reports whether the endpoint's idle
// connections are to be given up. After a machine was silent or died, each of
// them would hang or be reset under a call that may then have run.
func (ep *endpoint) suspect(o *outcome, now decide.Time) bool {
	switch o.what {
	case decide.NoConnect:
		return true
	case decide.Reset: // one connection that broke, where the endpoint goes on answering on others
		return ep.answerAt < now-aliveWait
	case decide.TimedOut, decide.Cancelled:
		return ep.answerAt < now-o.took // others that were sent later were answered: one slow call
	}
	if o.status != 0 || o.spoilt {
		ep.answerAt = now
	}
	return false
}

// Stages of a call.
const (
	callWaiting int32 = iota // for a connection: stopped now, it has never run
	callSending              // bytes may be under way
	callStopped              // stopped before its first byte
)

var (
	errCancelled = errors.New("cancelled")
	errDrained   = errors.New("endpoint drained")
	errTold      = errors.New("told to wait")
	errWithheld  = errors.New("withheld before its first byte")
	errNoCall    = errors.New("endpoint gone, or no time left")
	errUnlogged  = errors.New("attempt not logged")
	errTakenOut  = errors.New("its time was up before the call was written")
)

// call is one call, with the messages that travel in it. It is out once stop
// is set. Its run has nothing to do with what the loop owns.
type call struct {
	ep       *endpoint
	msgs     []*message // the loop's
	out      int        // of them, without an outcome; the loop's
	num      uint64     // of a call that another process made
	stage    atomic.Int32
	withheld atomic.Bool // nothing of it may begin any more
	ctx      context.Context
	stop     context.CancelCauseFunc

	mu      sync.Mutex
	taken   map[*message]bool // out of it again: they must not go with what is still to be written
	written bool              // its last byte is written, or is just being
}

// takeOut takes a message out of a call whose last byte is not written. It reports
// whether that was in time: the message has then never run by this call and never
// will. A connection may come up long after a message's time, with others waiting
// for it still.
func (c *call) takeOut(m *message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken == nil {
		c.taken = map[*message]bool{}
	}
	c.taken[m] = true // also when late: the last byte may yet fail to leave, and the call begin anew
	return !c.written
}

// still lists the parts that go with the call.
func (c *call) still(parts []part, now clock.Instant) []part {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(parts), func(p part) bool { return c.taken[p.m] || p.late(now) })
}

// commit is said right before the last byte of a call with these parts. It reports
// false where one of them was taken out since, or may not be repeated any more: then
// that byte must not be written.
func (c *call) commit(parts []part, now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = !slices.ContainsFunc(parts, func(p part) bool { return c.taken[p.m] || p.late(now) })
	return c.written
}

// uncommit is said where the last byte did not leave after all.
func (c *call) uncommit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// part is one message of a call as the call's run sees it.
type part struct {
	m     *message // told back, never looked into
	rec   *record
	limit time.Duration // how long its outcome is waited for
	by    clock.Instant // the end of its window for repeats, where an attempt before may have run
}

// late reports whether the window is over. A connection may come up long after its
// attempt was decided on, and what arrives then takes effect once more.
func (p part) late(now clock.Instant) bool { return !p.by.IsZero() && now >= p.by }

// ending is what an answer for several messages says of one of them.
type ending struct {
	what    decide.Outcome
	settled bool
}

// outcome is what became of a call or a probe.
type outcome struct {
	what    decide.Outcome
	wait    decide.Time
	slots   bool // not sent, since all slots were taken
	crowded bool // turned away for want of a connection
	settled bool // the message is over
	took    decide.Time
	load    decide.Load
	status  int
	reused  int               // calls that its connection carried before
	idle    time.Duration     // of the connection, before the call
	spoilt  bool              // an answer came and cannot be believed
	ends    map[string]ending // by id: those that fared otherwise
	err     error
}

// withhold stops the call if its first byte is not written yet: its endpoint
// drains, or a wait was told meanwhile. One under way is not begun again.
func (c *call) withhold(why error) {
	c.withheld.Store(true)
	if c.stage.CompareAndSwap(callWaiting, callStopped) {
		c.stop(why)
	}
}

// lead is the message that stands first in the call, for the log.
func (c *call) lead() string {
	if len(c.msgs) == 0 {
		return ""
	}
	return c.msgs[0].rec.ID
}

// newCallRequest makes the request of a call. Its GetBody stays nil.
func newCallRequest(hostPort string, parts []part, timeout time.Duration) (*http.Request, error) {
	path, body := callPath, parts[0].rec.body
	if len(parts) > 1 {
		path = batchPath
		var err error
		if body, err = batchBody(parts); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+hostPort+path, nil)
	if err != nil {
		return nil, err
	}
	if req.ContentLength = int64(len(body)); len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	if len(parts) > 1 {
		req.Header.Set("Content-Type", "application/json")
	} else {
		req.Header.Set("X-Request-ID", parts[0].rec.ID)
		if key := parts[0].rec.Key; key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	req.Header["User-Agent"] = nil
	return req, nil
}

// batchBody is the body of a call with several messages; their own go in Base64.
func batchBody(parts []part) ([]byte, error) {
	type item struct {
		ID   string `json:"id"`
		Key  string `json:"key,omitempty"`
		Body []byte `json:"body"`
	}
	items := make([]item, len(parts))
	for i, p := range parts {
		items[i] = item{p.rec.ID, p.rec.Key, append([]byte{}, p.rec.body...)}
	}
	return json.Marshal(items)
}

// run makes the call. It tells what became of it once, as soon as that is
// certain, with no message named; before that it may tell of messages whose
// time was up sooner. It returns when the call's connection carries nothing of
// it any more.
func (c *call) run(h *home, parts []part, loads []string, tell func(*message, outcome)) {
	defer c.stop(nil)
	clk := h.pool.clock
	began := clk.Now()
	limit := time.Duration(0)
	for _, p := range parts {
		limit = max(limit, p.limit)
	}
	for _, p := range parts {
		if !p.by.IsZero() && len(parts) > 1 {
			t := time.AfterFunc(clock.Until(clk, p.by), func() {
				if c.takeOut(p.m) { // the others go on without it
					tell(p.m, outcome{what: decide.NotSent, err: errTakenOut, took: clock.Since(clk, began).Microseconds()})
				}
			})
			defer t.Stop()
		}
		if p.limit < limit {
			t := time.AfterFunc(p.limit, func() {
				o := outcome{what: decide.TimedOut, err: context.DeadlineExceeded, took: clock.Since(clk, began).Microseconds()}
				if c.takeOut(p.m) {
					o.what, o.err = decide.NotSent, errTakenOut
				}
				tell(p.m, o)
			})
			defer t.Stop()
		}
	}
	ctx, cancel := context.WithTimeoutCause(c.ctx, limit, context.DeadlineExceeded)
	defer cancel()
	end := func(what decide.Outcome, err error) {
		tell(nil, outcome{what: what, err: err, took: clock.Since(clk, began).Microseconds()})
	}
	conn, req, parts, what, err := c.send(ctx, h, parts, began)
	if err != nil {
		end(what, err)
		return
	}
	unwatch := context.AfterFunc(ctx, func() { conn.SetDeadline(clock.ExpiredDeadline) })
	told := false
	keep := readAnswer(conn, req, parts, loads, func(o outcome) {
		told = true
		o.reused, o.idle = conn.calls, conn.idle
		o.took = clock.Since(clk, began).Microseconds()
		if o.what == decide.Reset {
			o.what = c.unanswered(ctx)
		}
		if o.err != nil && o.what != decide.Delivered {
			// First its end, then the word of it: the next attempt must not go out
			// beside this one, where the endpoint still takes it for one that is wanted.
			conn.Close()
		}
		// Nobody waits for the call any more; what is left of its answer has
		// its own bound.
		tell(nil, o)
	})
	if !unwatch() || !told || !keep {
		conn.drop()
		return
	}
	conn.put()
}

// send gets a connection and writes the call to it, with those of its parts that
// still go with it. With an error, its last byte was not written. A connection that
// turns out to be of no use before then is replaced: nothing of the call counts so far.
func (c *call) send(ctx context.Context, h *home, all []part, began clock.Instant) (*poolConn, *http.Request, []part, decide.Outcome, error) {
	fail := func(what decide.Outcome, err error) (*poolConn, *http.Request, []part, decide.Outcome, error) {
		return nil, nil, nil, what, err
	}
	for left := connsMost - 1; ; left-- {
		conn, err := h.getPatiently(ctx)
		if err == errNoRoom || c.stage.Load() == callStopped {
			if conn != nil {
				conn.put()
			}
			return fail(decide.NotSent, cmp.Or(err, errWithheld))
		}
		if err != nil {
			return fail(notConnected(err), err)
		}
		conn.left = answerMost
		if !c.stage.CompareAndSwap(callWaiting, callSending) { // the word came first
			conn.put()
			return fail(decide.NotSent, errWithheld)
		}
		clk := h.pool.clock
		parts := c.still(all, clk.Now())
		if len(parts) == 0 {
			conn.put()
			return fail(decide.NotSent, errTakenOut)
		}
		req, text, err := callText(h.addr, parts, clock.Since(clk, began))
		if err != nil {
			conn.put()
			return fail(decide.NotSent, err)
		}
		stop := context.AfterFunc(ctx, func() { conn.SetDeadline(clock.ExpiredDeadline) })
		err = conn.write(ctx, text, func() bool { return c.commit(parts, clk.Now()) })
		if err == nil {
			stop() // the caller watches on
			return conn, req, parts, 0, nil
		}
		stop()
		conn.drop()
		c.uncommit()
		if err == errTakenOut {
			left++ // nothing is wrong with the endpoint
		}
		if left == 0 || ctx.Err() != nil || c.withheld.Load() {
			return fail(notConnected(err), err)
		}
		c.stage.Store(callWaiting)
		if c.withheld.Load() { // said between the two: withhold saw a call under way
			return fail(decide.NotSent, errWithheld)
		}
	}
}

// callText is a call as it is written, so long after it began.
func callText(hostPort string, parts []part, waited time.Duration) (*http.Request, []byte, error) {
	limit := time.Duration(0)
	for _, p := range parts {
		limit = max(limit, p.limit)
	}
	req, err := newCallRequest(hostPort, parts, limit-waited)
	if err != nil {
		return nil, nil, err
	}
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return nil, nil, err
	}
	return req, text.Bytes(), nil
}

// unanswered maps a call that was written and has no answer.
func (c *call) unanswered(ctx context.Context) decide.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return decide.Cancelled
	case ctx.Err() != nil:
		return decide.TimedOut
	}
	return decide.Reset
}

// readAnswer reads an answer and tells its outcome: to a call with one message,
// a first line with 200 is true whatever follows it; anything else is believed only once all of it has
// been read and makes sense, since a spoilt answer is that of a call that may
// have run. It reports whether the connection can carry another call.
func readAnswer(conn *poolConn, req *http.Request, parts []part, loads []string, tell func(outcome)) (keep bool) {
	status, err := 0, error(nil)
	stop := func() bool { return true }
	defer func() { stop() }()
	begun := false
	for hints := 0; ; hints++ {
		var line string
		if _, err = conn.in.Peek(1); err == nil {
			begun = true
			stop = conn.bound(answerWait)
		}
		if line, err = firstLine(conn.in); err == nil {
			status, err = statusOf(line)
		}
		if err == nil && status < 200 && hints >= hintsMost {
			err = errors.New("too many answers ahead of the last")
		}
		if err != nil {
			o := outcome{what: decide.Reset, err: err}
			if begun && !errors.Is(err, io.EOF) && !isBroken(err) {
				o.what, o.spoilt = decide.Errored, true
			}
			tell(o)
			return false
		}
		if status >= 200 {
			break
		}
		// The answer itself may come much later than what is ahead of it.
		if err := skipHead(conn.in); err != nil || !stop() {
			tell(outcome{what: decide.Errored, spoilt: true, err: err})
			return false
		}
		begun = false
	}
	several := len(parts) > 1
	if status == http.StatusOK && !several {
		tell(outcome{what: decide.Delivered, settled: true, status: status,
			load: readLoad(headSoFar(conn.in).Get("X-Server-Load"), loads)})
	}
	var body []byte
	resp, err := http.ReadResponse(conn.in, req)
	if err == nil {
		if resp.ContentLength > bodyMost {
			err = errTooBig
		} else if several {
			body, err = io.ReadAll(resp.Body)
		} else {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		resp.Body.Close()
	}
	if status == http.StatusOK && !several {
		return err == nil && !resp.Close
	}
	o := outcome{status: status, err: err}
	if err == nil {
		o.load = readLoad(resp.Header.Get("X-Server-Load"), loads)
		if several {
			o.err = o.readBatch(resp.Header, body, parts)
		} else {
			o.err = o.read(resp.Header)
		}
	}
	if o.err != nil {
		o.err = fmt.Errorf("answer not whole, %d bytes read: %w", answerMost-conn.left, o.err)
		o.what, o.spoilt, o.wait, o.slots, o.settled, o.ends = decide.Errored, true, 0, false, false, nil
	}
	// An endpoint that has no place for another connection says so on it and ends it,
	// and has no report of what it could take.
	o.crowded = o.what == decide.Full && status == http.StatusServiceUnavailable && resp.Close && conn.calls == 0 &&
		resp.Header.Get("X-Server-Load") == "" && o.wait == 0
	tell(o)
	return o.err == nil && !resp.Close
}

// headSoFar reads the head of the answer as far as it has come, without
// waiting: what was delivered is told at once, and its report with it where it
// came along, as it does when the answer was written in one.
func headSoFar(in *bufio.Reader) http.Header {
	have, _ := in.Peek(in.Buffered())
	_, have, _ = bytes.Cut(have, []byte("\n"))      // the first line
	have = have[:bytes.LastIndexByte(have, '\n')+1] // whole lines only
	head, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(have))).ReadMIMEHeader()
	return http.Header(head) // an error leaves the lines before it
}

// bound ends the reading of an answer of which nothing has come for some time.
// What does come gives it as long again, within the call's own limit.
func (c *poolConn) bound(d time.Duration) (stop func() bool) {
	c.pause = d
	c.stalled = time.AfterFunc(d, func() { c.SetReadDeadline(clock.ExpiredDeadline) })
	return func() bool {
		c.pause = 0
		return c.stalled.Stop()
	}
}

// read maps the head of an answer other than 200 to an outcome. An error means
// that the head cannot be believed.
func (o *outcome) read(head http.Header) error {
	switch o.status {
	case http.StatusTooManyRequests:
		wait, err := retryAfter(head.Get("Retry-After"))
		if err != nil {
			return err
		}
		o.what, o.wait = decide.Full, wait
	case http.StatusServiceUnavailable:
		if o.what = decide.Full; head.Get("Slots-Taken") == "1" {
			o.what, o.slots = decide.NotSent, true
		}
	case http.StatusGatewayTimeout: // has had all its attempts
		o.what = decide.NotSent
	case http.StatusGone:
		o.what, o.settled = decide.NotSent, true
	default: // 500, and what no page names: it may have run
		o.what = decide.Errored
	}
	return nil
}

// Words for how one message of a batch ended.
var batchEnds = map[string]ending{
	"accepted": {decide.Delivered, true},
	"fault":    {decide.Errored, false},
	"deferred": {decide.Full, false},
	"expired":  {decide.NotSent, true},
	"no_more":  {decide.NotSent, false},
}

// readBatch maps the answer to a call with several messages. An error means
// that it cannot be believed. A message that it does not name may have run.
func (o *outcome) readBatch(head http.Header, body []byte, parts []part) error {
	switch o.status {
	case http.StatusOK:
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		o.what = decide.NotSent // none of them has run
		return nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return o.read(head)
	default: // what else says that a message is over says it of one alone
		o.what = decide.Errored
		return nil
	}
	var said []struct{ ID, State string }
	if err := json.Unmarshal(body, &said); err != nil {
		return err
	}
	wait, err := retryAfter(head.Get("Retry-After"))
	if err != nil {
		return err
	}
	o.what, o.wait, o.ends = decide.Errored, wait, make(map[string]ending, len(said))
	for _, x := range said {
		end, ok := batchEnds[x.State]
		if !ok || !slices.ContainsFunc(parts, func(p part) bool { return p.rec.ID == x.ID }) {
			return fmt.Errorf("answer says %.40q of message %.40q", x.State, x.ID)
		}
		if _, twice := o.ends[x.ID]; twice {
			return fmt.Errorf("answer names message %.40q twice", x.ID)
		}
		o.ends[x.ID] = end
	}
	return nil
}

// retryAfter reads seconds with decimals. None told is no wait.
func retryAfter(s string) (decide.Time, error) {
	if s = strings.TrimSpace(s); s == "" {
		return 0, nil
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0 && v <= longestWait.Seconds()) {
		return 0, fmt.Errorf("Retry-After: %.40q", s)
	}
	return decide.Time(v * 1e6), nil
}

// readLoad reads a report such as x0=0.4,x1=25.
func readLoad(s string, fields []string) (l decide.Load) {
	if len(fields) == 0 {
		return l
	}
	for part := range strings.SplitSeq(s, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v <= loadMost) {
			continue
		}
		switch name {
		case "x0":
			l.Left = v
		case "x1":
			l.Limit = v
		}
	}
	return l
}

// probe asks an endpoint whether it is alive.
func probe(ctx context.Context, h *home) outcome {
	clk := h.pool.clock
	began := clk.Now()
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	o := outcome{what: decide.NotSent}
	if o.err = func() error {
		req, err := http.NewRequest(http.MethodGet, "http://"+h.addr+probePath, nil)
		if err != nil {
			return err
		}
		var text bytes.Buffer
		if err := req.Write(&text); err != nil {
			return err
		}
		conn, err := h.get(ctx)
		if err == errNoRoom {
			return err
		}
		if err != nil {
			o.what = notConnected(err)
			return err
		}
		o.what = decide.NoConnect
		conn.left = answerMost
		unwatch := context.AfterFunc(ctx, func() { conn.SetDeadline(clock.ExpiredDeadline) })
		keep := false
		if err = conn.write(ctx, text.Bytes(), func() bool { return true }); err == nil {
			keep = readAnswer(conn, req, nil, nil, func(x outcome) { o.what, o.status, err = x.what, x.status, x.err })
		}
		if !unwatch() || !keep {
			conn.drop()
		} else {
			conn.put()
		}
		return err
	}(); ctx.Err() != nil && o.status == 0 {
		o.what = decide.TimedOut
	}
	o.took = clock.Since(clk, began).Microseconds()
	return o
}
