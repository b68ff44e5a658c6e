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
	callPath  = "/v1/messages"
	batchPath = "/v1/messages:batch"
	probePath = "/health/live"
	// maxResponseBytes bounds what is read for one call: the final response and all interim responses before it.
	maxResponseBytes = 192 << 10
	// responseStallTimeout is the longest gap between two reads of a response that has begun. A response may arrive
	// in pieces.
	responseStallTimeout = time.Second
	maxCallConns         = 4 // connections that one call tries to write its request to
	maxInterimResponses  = 8 // 1xx responses before the final one
	probeTimeout         = 2 * time.Second
	// keepAliveMarginDivisor: the pool closes idle connections 1/keepAliveMarginDivisor of the keep-alive time early.
	keepAliveMarginDivisor = 10
	maxRetryAfter          = 10 * time.Minute
	recentResponseWindow   = decide.Time(1e6) // an endpoint that responded within this time counts as reachable
	maxLoadValue           = 1e6              // larger values in a load report are ignored
)

// endpoint is one address of a destination with its connection pool. It exists as long as the relay has calls in
// flight there, a Retry-After to observe, or policy state about it. The loop owns it; a call keeps using the address
// that the endpoint had when the call began.
type endpoint struct {
	id             string
	num            decide.Endpoint
	dest           int
	zone           string
	maxBatch       int  // messages that one call may carry
	separateLimits bool // a Retry-After applies to this endpoint alone, not to its whole destination
	hostPort       string
	withdrawn      bool // drained or removed: no new call goes there
	withdrawnAt    decide.Time
	waitUntil      decide.Time // end of the Retry-After that was last received
	lastResponseAt decide.Time // time of the last response of any status
	conns          *hostPool
	calls          map[*call]bool
	released       bool // the policy keeps no state about the endpoint
	forgetQueued   bool // the endpoint is in the queue that forgetEndpoints checks
}

// recordResult records the result of a call and reports whether the endpoint's idle connections are to be closed.
// After the endpoint's machine was unreachable or died, each of them would hang or be reset during a call that may
// already have run.
func (ep *endpoint) recordResult(result *callResult, now decide.Time) bool {
	switch result.outcome {
	case decide.ConnectFailed:
		return true
	case decide.Reset: // only one connection broke if the endpoint still responds on others
		return ep.lastResponseAt < now-recentResponseWindow
	case decide.TimedOut, decide.Cancelled:
		// Only this call was slow if the endpoint has responded since the call was sent.
		return ep.lastResponseAt < now-result.elapsed
	}
	if result.status != 0 || result.malformed {
		ep.lastResponseAt = now
	}
	return false
}

// Stages of a call.
const (
	callConnecting int32 = iota // waiting for a connection: if cancelled now, the call has never run
	callSending                 // bytes of the request may have been sent
	callCancelled               // cancelled before its first byte was sent
)

var (
	errCancelled        = errors.New("cancelled")
	errDrained          = errors.New("endpoint drained")
	errRetryAfter       = errors.New("endpoint sent Retry-After")
	errCancelledUnsent  = errors.New("cancelled before the first byte was sent")
	errNotStarted       = errors.New("call not started: endpoint unavailable, or no time left")
	errAttemptNotLogged = errors.New("attempt not logged")
	errMessageRemoved   = errors.New("message removed from the call before the request was sent")
)

// call is one request to an endpoint with one or several messages. It is in flight once cancel is set. The goroutine
// that executes run does not access the fields that the loop owns.
type call struct {
	ep          *endpoint
	zone        string     // of the endpoint as the policy decided on the call; owned by the loop
	msgs        []*message // owned by the loop
	unfinished  int        // messages without an outcome; owned by the loop
	restoredNum uint64     // number of the call in this process, if a predecessor process made it
	stage       atomic.Int32
	noRestart   atomic.Bool // the call must not be sent on another connection
	ctx         context.Context
	cancel      context.CancelCauseFunc

	mu        sync.Mutex
	removed   map[*message]bool // messages that must not be in a request written from now on
	committed bool              // the last byte of the request is written, or is being written
}

// removeMessage removes a message from a call whose last byte is not written. It reports whether that was in time: if
// so, this call has not run the message and never will. A connection may be established long after the message's
// deadline, while other messages of the call still wait for it.
func (c *call) removeMessage(m *message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.removed == nil {
		c.removed = map[*message]bool{}
	}
	c.removed[m] = true // also when late: writing the last byte may fail, and the call is then written again
	return !c.committed
}

// remainingItems lists the items that are still to be sent with the call.
func (c *call) remainingItems(items []callItem, now clock.Instant) []callItem {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(items), func(item callItem) bool {
		return c.removed[item.message] || item.repeatExpired(now)
	})
}

// commitLastByte is called right before the last byte of a request with these items is written. It reports false if
// one of the items was removed after the request was encoded, or may no longer be repeated: that byte must not be
// written then.
func (c *call) commitLastByte(items []callItem, now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.committed = !slices.ContainsFunc(items, func(item callItem) bool {
		return c.removed[item.message] || item.repeatExpired(now)
	})
	return c.committed
}

// revertCommit is called after writing the last byte has failed.
func (c *call) revertCommit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.committed = false
}

// callItem is one message of a call, as seen by the goroutine that executes the call.
type callItem struct {
	message     *message // identifies the message in results; its fields are not accessed
	rec         *record
	timeout     time.Duration // time from the start of the call in which an outcome is awaited
	repeatUntil clock.Instant // end of the deduplication window, if an earlier attempt may have run; zero otherwise
}

// repeatExpired reports whether the deduplication window is over. A connection may be established long after the
// attempt was decided on, and a message that arrives after the window takes effect a second time.
func (i callItem) repeatExpired(now clock.Instant) bool {
	return !i.repeatUntil.IsZero() && now >= i.repeatUntil
}

// itemResult is the result of one message in the response to a batch.
type itemResult struct {
	outcome decide.Outcome
	settled bool
}

// callResult is the result of a call or a probe.
type callResult struct {
	outcome      decide.Outcome
	retryAfter   decide.Time
	slotsTaken   bool // the endpoint did not run the call since all its slots were taken
	tooManyConns bool // the endpoint rejected the connection because it has too many
	settled      bool // the message needs no further attempt
	elapsed      decide.Time
	load         decide.Load
	status       int
	priorCalls   int                   // calls that the connection carried before
	connIdle     time.Duration         // time that the connection was idle before the call
	malformed    bool                  // a response arrived that is incomplete or invalid
	itemResults  map[string]itemResult // by message id: results that differ from outcome and settled
	err          error
}

// cancelUnsent cancels the call if its first byte is not written yet, because its endpoint drains or sent a
// Retry-After. A call that is being sent goes on, but is not sent again on another connection.
func (c *call) cancelUnsent(cause error) {
	c.noRestart.Store(true)
	if c.stage.CompareAndSwap(callConnecting, callCancelled) {
		c.cancel(cause)
	}
}

// leadID is the id of the first message of the call, for the log.
func (c *call) leadID() string {
	if len(c.msgs) == 0 {
		return ""
	}
	return c.msgs[0].rec.ID
}

// newCallRequest creates the request of a call. GetBody stays nil, so that net/http cannot send the body again.
func newCallRequest(hostPort string, items []callItem, timeout time.Duration) (*http.Request, error) {
	path, body := callPath, items[0].rec.body
	if len(items) > 1 {
		path = batchPath
		var err error
		if body, err = batchBody(items); err != nil {
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
	if len(items) > 1 {
		req.Header.Set("Content-Type", "application/json")
	} else {
		req.Header.Set("X-Request-ID", items[0].rec.ID)
		if key := items[0].rec.Key; key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	req.Header["User-Agent"] = nil
	return req, nil
}

// batchBody encodes the body of a call with several messages. The messages' own bodies are in Base64.
func batchBody(items []callItem) ([]byte, error) {
	type batchItem struct {
		ID   string `json:"id"`
		Key  string `json:"key,omitempty"`
		Body []byte `json:"body"`
	}
	batch := make([]batchItem, len(items))
	for i, item := range items {
		batch[i] = batchItem{item.rec.ID, item.rec.Key, append([]byte{}, item.rec.body...)}
	}
	return json.Marshal(batch)
}

// run executes the call. It reports the result of the call once, with a nil message, as soon as the result is
// certain. Before that it may report results of single messages whose time was over earlier. It returns when the
// connection carries nothing of the call any more.
func (c *call) run(host *hostPool, items []callItem, loadFields []string, report func(*message, callResult)) {
	defer c.cancel(nil)
	clk := host.pool.clock
	started := clk.Now()
	timeout := time.Duration(0)
	for _, item := range items {
		timeout = max(timeout, item.timeout)
	}
	for _, item := range items {
		if !item.repeatUntil.IsZero() && len(items) > 1 {
			timer := time.AfterFunc(clock.Until(clk, item.repeatUntil), func() {
				if c.removeMessage(item.message) { // the other messages are sent without it
					report(item.message, callResult{outcome: decide.NotSent, err: errMessageRemoved,
						elapsed: clock.Since(clk, started).Microseconds()})
				}
			})
			defer timer.Stop()
		}
		if item.timeout < timeout {
			timer := time.AfterFunc(item.timeout, func() {
				result := callResult{outcome: decide.TimedOut, err: context.DeadlineExceeded,
					elapsed: clock.Since(clk, started).Microseconds()}
				if c.removeMessage(item.message) {
					result.outcome, result.err = decide.NotSent, errMessageRemoved
				}
				report(item.message, result)
			})
			defer timer.Stop()
		}
	}
	ctx, cancel := context.WithTimeoutCause(c.ctx, timeout, context.DeadlineExceeded)
	defer cancel()
	fail := func(outcome decide.Outcome, err error) {
		report(nil, callResult{outcome: outcome, err: err, elapsed: clock.Since(clk, started).Microseconds()})
	}
	conn, req, items, outcome, err := c.send(ctx, host, items, started)
	if err != nil {
		fail(outcome, err)
		return
	}
	unwatch := context.AfterFunc(ctx, func() { conn.SetDeadline(clock.ExpiredDeadline) })
	reported := false
	reusable := readResponse(conn, req, items, loadFields, func(result callResult) {
		reported = true
		result.priorCalls, result.connIdle = conn.priorCalls, conn.idleTime
		result.elapsed = clock.Since(clk, started).Microseconds()
		if result.outcome == decide.Reset {
			result.outcome = c.outcomeWithoutResponse(ctx)
		}
		if result.err != nil && result.outcome != decide.Delivered {
			// The connection is closed before the result is reported: the next attempt must not start while the
			// endpoint still takes this one for a live request.
			conn.Close()
		}
		// No message waits for the call any more; reading the rest of the response has its own bound.
		report(nil, result)
	})
	if !unwatch() || !reported || !reusable {
		conn.discard()
		return
	}
	conn.put()
}

// send gets a connection and writes the request to it, with those of the items that are still to be sent. If it
// returns an error, the last byte of the request was not written. A connection that fails before its last byte is
// replaced: the endpoint cannot have run anything of the call by then.
func (c *call) send(ctx context.Context, host *hostPool, allItems []callItem, started clock.Instant) (
	*poolConn, *http.Request, []callItem, decide.Outcome, error) {
	fail := func(outcome decide.Outcome, err error) (*poolConn, *http.Request, []callItem, decide.Outcome, error) {
		return nil, nil, nil, outcome, err
	}
	for connsLeft := maxCallConns - 1; ; connsLeft-- {
		conn, err := host.getWithRetry(ctx)
		if err == errPoolFull || c.stage.Load() == callCancelled {
			if conn != nil {
				conn.put()
			}
			return fail(decide.NotSent, cmp.Or(err, errCancelledUnsent))
		}
		if err != nil {
			return fail(unsentOutcome(err), err)
		}
		conn.readBudget = maxResponseBytes
		if !c.stage.CompareAndSwap(callConnecting, callSending) { // cancelUnsent came first
			conn.put()
			return fail(decide.NotSent, errCancelledUnsent)
		}
		clk := host.pool.clock
		items := c.remainingItems(allItems, clk.Now())
		if len(items) == 0 {
			conn.put()
			return fail(decide.NotSent, errMessageRemoved)
		}
		req, text, err := encodeCall(host.addr, items, clock.Since(clk, started))
		if err != nil {
			conn.put()
			return fail(decide.NotSent, err)
		}
		unwatch := context.AfterFunc(ctx, func() { conn.SetDeadline(clock.ExpiredDeadline) })
		err = conn.writeRequest(ctx, text, func() bool { return c.commitLastByte(items, clk.Now()) })
		if err == nil {
			unwatch() // the caller watches ctx from here on
			return conn, req, items, 0, nil
		}
		unwatch()
		conn.discardUnsent()
		c.revertCommit()
		if err == errMessageRemoved {
			connsLeft++ // the connection did not fail
		}
		if connsLeft == 0 || ctx.Err() != nil || c.noRestart.Load() {
			return fail(unsentOutcome(err), err)
		}
		c.stage.Store(callConnecting)
		if c.noRestart.Load() { // set before the Store above: cancelUnsent saw the call as being sent
			return fail(decide.NotSent, errCancelledUnsent)
		}
	}
}

// encodeCall encodes the request of a call that started the time waited ago.
func encodeCall(hostPort string, items []callItem, waited time.Duration) (*http.Request, []byte, error) {
	timeout := time.Duration(0)
	for _, item := range items {
		timeout = max(timeout, item.timeout)
	}
	req, err := newCallRequest(hostPort, items, timeout-waited)
	if err != nil {
		return nil, nil, err
	}
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return nil, nil, err
	}
	return req, text.Bytes(), nil
}

// outcomeWithoutResponse gives the outcome of a call that was written and got no response.
func (c *call) outcomeWithoutResponse(ctx context.Context) decide.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return decide.Cancelled
	case ctx.Err() != nil:
		return decide.TimedOut
	}
	return decide.Reset
}

// readResponse reads a response and reports the result of the call. For a call with one message, a status line with
// 200 is final, whatever follows it. Any other response counts only once it has been read completely and is valid,
// since a call with a malformed response may have run. readResponse returns whether the connection can carry another
// call.
func readResponse(conn *poolConn, req *http.Request, items []callItem, loadFields []string,
	report func(callResult)) (reusable bool) {
	status, err := 0, error(nil)
	stopTimer := func() bool { return true }
	defer func() { stopTimer() }()
	begun := false
	for interim := 0; ; interim++ {
		var line string
		if _, err = conn.reader.Peek(1); err == nil {
			begun = true
			stopTimer = conn.startStallTimer(responseStallTimeout)
		}
		if line, err = peekStatusLine(conn.reader); err == nil {
			status, err = parseStatus(line)
		}
		if err == nil && status < 200 && interim >= maxInterimResponses {
			err = errors.New("too many interim responses")
		}
		if err != nil {
			result := callResult{outcome: decide.Reset, err: err}
			if begun && !errors.Is(err, io.EOF) && !isBrokenConn(err) {
				result.outcome, result.malformed = decide.Errored, true
			}
			report(result)
			return false
		}
		if status >= 200 {
			break
		}
		// The final response may arrive much later than an interim one, so the stall timer is stopped.
		if err := skipHeader(conn.reader); err != nil || !stopTimer() {
			report(callResult{outcome: decide.Errored, malformed: true, err: err})
			return false
		}
		begun = false
	}
	batched := len(items) > 1
	if status == http.StatusOK && !batched {
		report(callResult{outcome: decide.Delivered, settled: true, status: status,
			load: parseLoad(bufferedHeader(conn.reader).Get("X-Server-Load"), loadFields)})
	}
	var body []byte
	resp, err := http.ReadResponse(conn.reader, req)
	if err == nil {
		if resp.ContentLength > maxBodyBytes {
			err = errResponseTooLarge
		} else if batched {
			body, err = io.ReadAll(resp.Body)
		} else {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		resp.Body.Close()
	}
	if status == http.StatusOK && !batched {
		return err == nil && !resp.Close
	}
	result := callResult{status: status, err: err}
	if err == nil {
		result.load = parseLoad(resp.Header.Get("X-Server-Load"), loadFields)
		if batched {
			result.err = result.applyBatch(resp.Header, body, items)
		} else {
			result.err = result.applyStatus(resp.Header)
		}
	}
	if result.err != nil {
		result.err = fmt.Errorf("malformed response, %d bytes read: %w", maxResponseBytes-conn.readBudget, result.err)
		result.outcome, result.malformed, result.retryAfter, result.slotsTaken, result.settled, result.itemResults =
			decide.Errored, true, 0, false, false, nil
	}
	// An endpoint that accepts no further connection responds with 503 on the new connection and closes it. That
	// response carries no load report.
	result.tooManyConns = result.outcome == decide.Rejected && status == http.StatusServiceUnavailable && resp.Close &&
		conn.priorCalls == 0 && resp.Header.Get("X-Server-Load") == "" && result.retryAfter == 0
	report(result)
	return result.err == nil && !resp.Close
}

// bufferedHeader parses as much of the response header as is buffered, without waiting for more. A delivery is
// reported at once, together with its load report if that was received along with the status line, as it is if the
// endpoint wrote the header in one piece.
func bufferedHeader(in *bufio.Reader) http.Header {
	buffered, _ := in.Peek(in.Buffered())
	_, buffered, _ = bytes.Cut(buffered, []byte("\n"))          // skips the status line
	buffered = buffered[:bytes.LastIndexByte(buffered, '\n')+1] // complete lines only
	header, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(buffered))).ReadMIMEHeader()
	return http.Header(header) // on an error it holds the fields before the invalid line
}

// startStallTimer aborts reading once no byte of a response has arrived for d. Each read that brings data restarts
// the timer; the timeout of the call applies all the same.
func (c *poolConn) startStallTimer(d time.Duration) (stop func() bool) {
	c.stallTimeout = d
	c.stallTimer = time.AfterFunc(d, func() { c.SetReadDeadline(clock.ExpiredDeadline) })
	return func() bool {
		c.stallTimeout = 0
		return c.stallTimer.Stop()
	}
}

// applyStatus sets the outcome by the status and the header of a response other than 200. An error means that the
// header is invalid.
func (r *callResult) applyStatus(header http.Header) error {
	switch r.status {
	case http.StatusTooManyRequests:
		retryAfter, err := parseRetryAfter(header.Get("Retry-After"))
		if err != nil {
			return err
		}
		r.outcome, r.retryAfter = decide.Rejected, retryAfter
	case http.StatusServiceUnavailable:
		if r.outcome = decide.Rejected; header.Get("Slots-Taken") == "1" {
			r.outcome, r.slotsTaken = decide.NotSent, true
		}
	case http.StatusGatewayTimeout: // the message has used up its attempts at the endpoint
		r.outcome = decide.NotSent
	case http.StatusGone:
		r.outcome, r.settled = decide.NotSent, true
	default: // 500, and statuses that the protocol does not define: the call may have run
		r.outcome = decide.Errored
	}
	return nil
}

// batchStates maps the states of messages in the response to a batch to results.
var batchStates = map[string]itemResult{
	"accepted": {decide.Delivered, true},
	"fault":    {decide.Errored, false},
	"deferred": {decide.Rejected, false},
	"expired":  {decide.NotSent, true},
	"no_more":  {decide.NotSent, false},
}

// applyBatch sets the results by the response to a call with several messages. An error means that the response is
// invalid. A message that the response does not name may have run.
func (r *callResult) applyBatch(header http.Header, body []byte, items []callItem) error {
	switch r.status {
	case http.StatusOK:
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		r.outcome = decide.NotSent // no message of the batch has run
		return nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return r.applyStatus(header)
	default: // the other statuses that settle a message are defined for a single message only
		r.outcome = decide.Errored
		return nil
	}
	var states []struct{ ID, State string }
	if err := json.Unmarshal(body, &states); err != nil {
		return err
	}
	retryAfter, err := parseRetryAfter(header.Get("Retry-After"))
	if err != nil {
		return err
	}
	r.outcome, r.retryAfter, r.itemResults = decide.Errored, retryAfter, make(map[string]itemResult, len(states))
	for _, itemState := range states {
		result, ok := batchStates[itemState.State]
		if !ok || !slices.ContainsFunc(items, func(item callItem) bool { return item.rec.ID == itemState.ID }) {
			return fmt.Errorf("unknown state or message in the response: state %.40q, message %.40q", itemState.State,
				itemState.ID)
		}
		if _, duplicate := r.itemResults[itemState.ID]; duplicate {
			return fmt.Errorf("duplicate message %.40q in the response", itemState.ID)
		}
		r.itemResults[itemState.ID] = result
	}
	return nil
}

// parseRetryAfter parses seconds with decimals. An empty value is no wait.
func parseRetryAfter(text string) (decide.Time, error) {
	if text = strings.TrimSpace(text); text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxRetryAfter.Seconds()) {
		return 0, fmt.Errorf("invalid Retry-After header: %.40q", text)
	}
	return decide.Time(seconds * 1e6), nil
}

// parseLoad parses a load report such as x0=0.4,x1=25. It ignores invalid values, and the whole report if fields is
// empty.
func parseLoad(text string, fields []string) (load decide.Load) {
	if len(fields) == 0 {
		return load
	}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxLoadValue) {
			continue
		}
		switch name {
		case "x0":
			load.Remaining = v
		case "x1":
			load.Limit = v
		}
	}
	return load
}

// probe sends a health check to an endpoint.
func probe(ctx context.Context, host *hostPool) callResult {
	clk := host.pool.clock
	started := clk.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := callResult{outcome: decide.NotSent}
	if result.err = func() error {
		req, err := http.NewRequest(http.MethodGet, "http://"+host.addr+probePath, nil)
		if err != nil {
			return err
		}
		var text bytes.Buffer
		if err := req.Write(&text); err != nil {
			return err
		}
		conn, err := host.get(ctx)
		if err == errPoolFull {
			return err
		}
		if err != nil {
			result.outcome = unsentOutcome(err)
			return err
		}
		result.outcome = decide.ConnectFailed
		conn.readBudget = maxResponseBytes
		unwatch := context.AfterFunc(ctx, func() { conn.SetDeadline(clock.ExpiredDeadline) })
		reusable := false
		if err = conn.writeRequest(ctx, text.Bytes(), func() bool { return true }); err == nil {
			reusable = readResponse(conn, req, nil, nil, func(response callResult) {
				result.outcome, result.status, err = response.outcome, response.status, response.err
			})
		}
		if !unwatch() || !reusable {
			conn.discard()
		} else {
			conn.put()
		}
		return err
	}(); ctx.Err() != nil && result.status == 0 {
		result.outcome = decide.TimedOut
	}
	result.elapsed = clock.Since(clk, started).Microseconds()
	return result
}
