package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"troutusher/internal/clock"
	"troutusher/internal/membership"
)

// Member is an endpoint in discovery's list.
type Member = membership.Member

// List is a full list of discovery or a delta to one.
type List = membership.List

// In the names below, "known" refers to a deadline of the platform: from then on the relay is held to know what
// discovery has at that time, whether the relay has requested and received it or not.
const (
	listPath             = "/registry/instances"
	noticePath           = "/reports"
	watchSilenceTimeout  = 3500 * time.Millisecond // an open watch sends at least a heartbeat every 2 s
	minResponseWait      = time.Second             // an agent that is up responds at once
	minDiscoveryRound    = 200 * time.Millisecond  // the round of a small fleet
	minBackoffCeiling    = 1600 * time.Millisecond // the longest delay of a small fleet, before jitter
	discoveryServiceTime = 60 * time.Millisecond   // estimated time that discovery takes for one relay's request
	maxResponseWait      = 3 * time.Second         // however large the fleet
	maxDiscoveryRound    = 30 * time.Second        // however large the fleet
	knownAfterMove       = 4 * time.Second         // deadline after a start or a change of discovery's address
	knownAfterSilence    = 6 * time.Second         // deadline after the last data of a watch that has become silent
	// maxBackoffCeiling is the longest delay before jitter, which adds up to a half. With the time for a response the
	// delay still ends within knownAfterSilence.
	maxBackoffCeiling = 2900 * time.Millisecond
	maxOpenRequests   = 3       // requests without a response that are open at the same time
	maxDiscardedBytes = 4 << 20 // bytes of the response to a notice that are read and discarded
)

// newAgentClient creates an HTTP client for the agent on this machine: few kept connections, no proxy, HTTP/1 only.
func newAgentClient(conns int, headerTimeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: minResponseWait}).DialContext,
			MaxIdleConnsPerHost:   conns,
			MaxConnsPerHost:       conns,
			ResponseHeaderTimeout: headerTimeout,
			IdleConnTimeout:       30 * time.Second,
			DisableCompression:    true,
			Protocols:             http1Only(),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func http1Only() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// discovery is the client of the discovery service. It keeps a watch on the list and passes on the full list and its
// changes.
type discovery struct {
	addr           string
	baseURL        string           // of the address that is watched now
	knownRevision  int64            // revision of the list that the relay starts with; negative for none
	addresses      *mailbox[string] // new addresses of discovery, each replacing the one before
	log            *slog.Logger
	client         *http.Client
	silenceTimeout time.Duration
	responseWait   time.Duration // wait for the first response before another request is sent
	round          time.Duration // time in which each relay of the fleet can make one request
	reopenGrace    time.Duration // time in which a watch that has ended is to be opened again
	clock          clock.Clock
	knownBy        clock.Instant // the relay is held to know later changes from this time on
	watchOpenedAt  clock.Instant // when the response to the current watch began
	refusals       int           // consecutive refused requests
	unanswered     int           // consecutive requests without a response
	beginList      beginList
}

// beginList begins to receive a list. It returns once the list before it is in force, or when ctx ends.
type beginList func(ctx context.Context) (membership.Receiver, error)

// newDiscovery creates the discovery client of one relay in a fleet of the given size. knownRevision is the revision
// of the list that this relay already has, or negative. In a large fleet the requests of all relays add up: all of
// them start, or lose their watch, at the same moment. If each then sends a request at once, or at a fixed interval,
// or gives up a request that is still queued, discovery stays overloaded permanently. Delays therefore depend on the
// round, the time that discovery takes for one request of each relay.
func newDiscovery(addr string, relays int, knownRevision int64, clk clock.Clock, log *slog.Logger,
	begin beginList) *discovery {
	fleetTime := time.Duration(relays) * discoveryServiceTime
	responseWait := min(max(fleetTime, minResponseWait), maxResponseWait)
	return &discovery{addr: addr, knownRevision: knownRevision, clock: clk, addresses: newMailbox[string](), log: log,
		client: newAgentClient(4, 0), silenceTimeout: watchSilenceTimeout, responseWait: responseWait,
		round: min(max(fleetTime, minDiscoveryRound), maxDiscoveryRound), beginList: begin}
}

// backoffDelay is the delay before the next request after a number of consecutive refusals; random is drawn from
// [0, 1) and sets the jitter. Before jitter, the first delay lasts at most a round, in which discovery works off the
// requests of the other relays, which failed at the same time. The delay doubles up to one and a half rounds, but
// never exceeds maxBackoffCeiling, however large the fleet: discovery may recover right after a refusal, and the
// relay is held to know its state 6 s later.
func (d *discovery) backoffDelay(refusals int, random float64) time.Duration {
	ceiling := min(max(d.round*3/2, minBackoffCeiling), maxBackoffCeiling)
	if refusals < 8 { // further doublings exceed the ceiling in any case
		ceiling = min(min(d.round, knownAfterMove*5/8)<<max(refusals-1, 0), ceiling)
	}
	return time.Duration((0.5 + random) * float64(ceiling))
}

// run watches one address after another until ctx ends.
func (d *discovery) run(ctx context.Context) { runPerAddress(ctx, d.addr, d.addresses, d.watchAddress) }

// watchAddress watches one address until ctx ends. Revisions are valid at that address only, so it requests the full
// list first, except at the start of a relay that already has a list: that relay opens a watch from its known
// revision. The first request is sent at once, however many relays start at the same time: a relay that waited for
// its turn would send to endpoints that it is held to know as draining. Relays whose request is refused are spread by
// their backoff. Changes are passed on without delay, since the drain grace counts from the time at which discovery
// wrote the change.
func (d *discovery) watchAddress(ctx context.Context, addr string) {
	d.baseURL = "http://" + addr
	defer d.client.CloseIdleConnections()
	revision, hasList := int64(0), false
	if d.knownRevision >= 0 {
		revision, hasList, d.knownRevision = d.knownRevision, true, -1
	}
	d.knownBy = d.clock.Now().Add(knownAfterMove)
	d.refusals, d.unanswered = 0, 0
	staleSince := clock.Instant(0) // since when all received lists are older than revision; zero if they are not
	for ctx.Err() == nil {
		received, err := false, error(nil)
		if !hasList {
			var list *fetchedList
			if list, err = d.fetch(ctx, revision); err == nil && list.Revision < revision {
				if staleSince.IsZero() {
					staleSince = d.clock.Now()
				}
				// After knownAfterMove the older list is accepted: discovery has restarted its revisions.
				if clock.Since(d.clock, staleSince) < knownAfterMove {
					err = fmt.Errorf("discovery: %w", errStaleList)
					list.receiver.Abort()
				}
			}
			if err == nil {
				revision, hasList, staleSince = list.Revision, true, 0
				list.receiver.End(list.Revision, true)
			}
		}
		if hasList {
			revision, hasList, received, err = d.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		delay := time.Duration(0)
		if received {
			d.refusals, d.unanswered = 0, 0
		}
		switch {
		// The watch worked for a while. The relay is held to know further changes, so it reopens the watch within
		// the grace.
		case received && clock.Since(d.clock, d.watchOpenedAt) >= minResponseWait:
			delay = time.Duration(rand.Float64() * float64(min(d.reopenGrace, d.round)))
		case isSilence(err): // no delay: a request made while discovery is down is served as soon as it recovers
			d.unanswered++
		default:
			d.refusals++
			delay = d.refusalDelay(d.refusals, rand.Float64())
		}
		if !staleSince.IsZero() { // the next list must have arrived by the time when older lists are accepted
			delay = min(delay, max(knownAfterMove-clock.Since(d.clock, staleSince), 0)+minDiscoveryRound)
		}
		d.log.Warn("discovery: watch ended", "revision", revision, "whole", hasList,
			"pause_ms", delay.Milliseconds(), "err", err)
		sleep(ctx, delay)
	}
}

// refusalDelay is the delay after a number of consecutive refusals. Before knownBy it is short enough for another
// request to be sent by then.
func (d *discovery) refusalDelay(refusals int, random float64) time.Duration {
	delay := d.backoffDelay(refusals, random)
	if left := clock.Until(d.clock, d.knownBy); left > 0 {
		delay = min(delay, max(time.Duration((0.25+random/2)*float64(left)), minDiscoveryRound))
	}
	return delay
}

var (
	errSilence   = errors.New("connection silent for too long")
	errStaleList = errors.New("received list is older than the known one")
)

// isSilence reports whether err means that nothing was received within a timeout of the relay. Errors of system calls
// do not count, even those whose errno is a timeout: they are known at once.
func isSilence(err error) bool {
	if _, ok := errnoOf(err); ok {
		return false
	}
	var netErr net.Error
	return errors.Is(err, errSilence) || errors.As(err, &netErr) && netErr.Timeout()
}

// nextRequestDelay is the time after which another request is sent while earlier ones stay open, after a number of
// consecutive requests without a response. The delay after the first request leaves time for another one before
// knownBy: the first may be lost. If discovery is down it serves the open requests as it recovers, or has lost them;
// so they stay open, and another request follows soon enough for the list to be known within 6 s of the recovery.
func (d *discovery) nextRequestDelay(unanswered int, random float64) time.Duration {
	if unanswered > 0 {
		return time.Duration((0.75 + random/2) * float64(min(max(d.responseWait, d.round), watchSilenceTimeout)))
	}
	return min(d.responseWait, max(clock.Until(d.clock, d.knownBy)/2, minResponseWait))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// listRequest is a request for the list or a watch, with its response once the response's header has arrived.
type listRequest struct {
	resp   *http.Response
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// close closes the response, and its connection unless the response was read to its end.
func (r *listRequest) close() {
	if r.resp != nil {
		r.resp.Body.Close()
	}
	r.cancel(nil)
}

// statusError is the status of a response other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// openRequest sends requests until a response begins. If none does, it sends another request while the earlier ones
// stay open, up to maxOpenRequests of them, and uses the first response. Discovery serves the requests of all relays
// in one queue, so a request that is cancelled and sent again only loses its place; and a request that discovery has
// lost must not be the only one. An error means that a request was refused and no other request is open.
func (d *discovery) openRequest(ctx context.Context, url string) (*listRequest, error) {
	type result struct {
		request *listRequest
		err     error
	}
	results, returned := make(chan result), make(chan struct{})
	defer close(returned)
	var open []*listRequest
	defer func() {
		for _, request := range open {
			request.cancel(nil)
		}
	}()
	start := func() error {
		request := &listRequest{}
		request.ctx, request.cancel = context.WithCancelCause(ctx)
		req, err := http.NewRequestWithContext(request.ctx, http.MethodGet, url, nil)
		if err != nil {
			request.cancel(nil)
			return err
		}
		open = append(open, request)
		go func() {
			resp, err := d.client.Do(req)
			if request.resp = resp; err == nil && resp.StatusCode != http.StatusOK {
				err = statusError(resp.StatusCode)
			}
			select {
			case results <- result{request, err}:
			case <-returned:
				request.close()
			}
		}()
		return nil
	}
	if err := start(); err != nil {
		return nil, err
	}
	next := time.NewTimer(d.nextRequestDelay(d.unanswered, rand.Float64()))
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-next.C:
			d.unanswered++
			if len(open) == maxOpenRequests {
				open[0].cancel(errSilence)
				open = open[1:]
			}
			if err := start(); err != nil {
				return nil, err
			}
			delay := d.nextRequestDelay(d.unanswered, rand.Float64())
			next.Reset(delay)
			d.log.Warn("discovery: no response, sent another request", "open", len(open),
				"next_ms", delay.Milliseconds())
		case res := <-results:
			i := slices.Index(open, res.request)
			if i >= 0 {
				open = slices.Delete(open, i, i+1)
			}
			if i >= 0 && res.err == nil {
				return res.request, nil
			}
			res.request.close()
			if i < 0 {
				continue // cancelled above because of maxOpenRequests
			}
			if len(open) == 0 {
				return nil, res.err
			}
			d.refusals++ // another open request may still get a response
			next.Reset(d.refusalDelay(d.refusals, rand.Float64()))
		}
	}
}

// fetchedList is a full list that was read; its receiver has seen neither End nor Abort.
type fetchedList struct {
	membership.Header
	receiver membership.Receiver
}

// fetch requests the full list; revision is that of the known list. The list may take any time as long as data keeps
// arriving.
func (d *discovery) fetch(ctx context.Context, revision int64) (*fetchedList, error) {
	request, err := d.openRequest(ctx, d.baseURL+listPath)
	if err != nil {
		return nil, fmt.Errorf("discovery: list: %w", err)
	}
	defer request.close()
	receiver, err := d.beginList(request.ctx)
	if err != nil {
		return nil, fmt.Errorf("discovery: list: %w", err)
	}
	silenceTimer := time.AfterFunc(d.silenceTimeout, func() { request.cancel(errSilence) })
	defer silenceTimer.Stop()
	header, err := membership.Read(membership.WithProgress(request.resp.Body,
		func() { silenceTimer.Reset(d.silenceTimeout) }),
		false, forwardEntries(receiver, revision))
	if cause := context.Cause(request.ctx); err != nil && cause != nil {
		err = cause
	}
	if err == nil && !header.Complete {
		err = errors.New("received a delta in response to a request for the full list")
	}
	if err != nil {
		receiver.Abort()
		return nil, fmt.Errorf("discovery: list: %w", err)
	}
	return &fetchedList{header, receiver}, nil
}

// forwardEntries returns a function that passes entries on to the receiver. Drains in a list whose revision is at
// least the given one take effect at once, before the list is complete.
func forwardEntries(receiver membership.Receiver, revision int64) func(*membership.Header, *membership.Entry) error {
	return func(h *membership.Header, e *membership.Entry) error {
		return receiver.Entry(e, h.HasRevision && h.Revision >= revision)
	}
}

// watch follows the changes after a revision. listKnown is whether the list is still known up to the returned
// revision; after an invalid line it is not, and the full list must be fetched again. received is whether the watch
// was accepted and has sent data.
func (d *discovery) watch(ctx context.Context, from int64) (revision int64, listKnown, received bool, err error) {
	request, err := d.openRequest(ctx, d.baseURL+listPath+"?watch=1&from="+strconv.FormatInt(from, 10))
	if err != nil {
		// The status of an overloaded discovery says nothing about the revision, and requesting the full list in
		// addition would double its load.
		var status statusError
		return from, !errors.As(err, &status) || status >= 500, false, fmt.Errorf("discovery: watch: %w", err)
	}
	defer request.close()
	d.watchOpenedAt = d.clock.Now()
	silenceTimer := time.AfterFunc(d.silenceTimeout, func() { request.cancel(errSilence) })
	defer silenceTimer.Stop()
	watchReader := membership.NewWatchReader(request.resp.Body, func() {
		silenceTimer.Reset(d.silenceTimeout)
		d.knownBy = d.clock.Now().Add(knownAfterSilence)
		if !received {
			d.log.Info("discovery: watch established", "revision", from)
		}
		received = true
	})
	for revision = from; err == nil; {
		first := !received
		var isList bool
		if isList, err = watchReader.Next(); err != nil {
			break
		}
		if !isList && !first { // a heartbeat brings no changes, and only the relay's start waits for the first one
			continue
		}
		receiver, err := d.beginList(request.ctx)
		if err != nil {
			return revision, true, received, fmt.Errorf("discovery: %w", err)
		}
		silenceTimer.Reset(d.silenceTimeout) // beginList may have waited for the list before this one
		if !isList {
			receiver.End(revision, false)
			continue
		}
		header, err := membership.Read(watchReader, false, forwardEntries(receiver, revision))
		if err == nil && header.Revision < revision {
			err = errStaleList
		}
		if err == nil {
			revision = header.Revision
			receiver.End(header.Revision, header.Complete)
			continue
		}
		receiver.Abort()
		if streamErr := watchReader.StreamErr(); streamErr == nil {
			return revision, false, received, fmt.Errorf("discovery: %w", err)
		}
	}
	if cause := context.Cause(request.ctx); cause != nil {
		err = cause
	}
	return revision, true, received, fmt.Errorf("discovery: %w", err)
}

// Outcomes in a notice.
const (
	noticeGivenUp    = "given_up"
	noticeHandedBack = "handed_back"
)

// notice tells the platform's agent how a message ended.
type notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_in_ms,omitempty"`

	deadline clock.Instant // of the message
}

// A notice must be confirmed at most 300 ms after the message's deadline, and most notices are sent at that deadline.
// The agent is on this machine and responds at once. A notice without a response after noticeResendDelay is therefore
// sent again on a new connection while the first try stays open: repeats are harmless, whereas a lost notice costs
// the message.
const (
	maxNoticeBatch    = 64
	maxNoticeTries    = 4                     // tries in flight at the same time
	noticeResendDelay = 50 * time.Millisecond // from a try without a response to the next; doubles
	noticeRetryDelay  = 10 * time.Millisecond // from a failed try to the next; doubles
	maxNoticeDelay    = 500 * time.Millisecond
	noticeLateAfter   = 100 * time.Millisecond // a confirmation later than this is logged as late
)

// notices sends notices until each has been confirmed.
type notices struct {
	clock       clock.Clock
	addr        string
	url         string           // of the address that is used now
	addresses   *mailbox[string] // new addresses of the agent, each replacing the one before
	log         *slog.Logger
	client      *http.Client
	incoming    *mailbox[notice]
	pending     []*pendingNotice // not confirmed yet, in the order of their arrival
	inFlight    []*noticeTry     // the oldest first
	finished    *mailbox[*noticeTry]
	onConfirmed func(id string)
	unconfirmed atomic.Int64 // messages that have ended and whose notice is not confirmed
}

// pendingNotice is a notice that is not confirmed yet.
type pendingNotice struct {
	notice
	tries     int
	nextTry   clock.Instant
	sentAlone bool // the notice's batch was rejected as malformed, so it is not sent in a batch again
	confirmed bool
}

// noticeTry is one POST request with a batch of notices.
type noticeTry struct {
	batch   []*pendingNotice
	started clock.Instant
	cancel  context.CancelFunc
	status  int
	err     error
}

func newNotices(addr string, clk clock.Clock, log *slog.Logger, onConfirmed func(string)) *notices {
	return &notices{clock: clk, addr: addr, addresses: newMailbox[string](), log: log,
		client:   newAgentClient(maxNoticeTries, minResponseWait),
		incoming: newMailbox[notice](), finished: newMailbox[*noticeTry](), onConfirmed: onConfirmed}
}

// run sends to one address after another until ctx ends.
func (n *notices) run(ctx context.Context) { runPerAddress(ctx, n.addr, n.addresses, n.sendTo) }

// sendTo sends notices to one address until ctx ends. Notices that are not confirmed there stay pending for the next
// address.
func (n *notices) sendTo(ctx context.Context, addr string) {
	n.url = "http://" + addr + noticePath
	for _, pending := range n.pending {
		pending.tries, pending.nextTry = 0, 0
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	var incoming []notice
	var finished []*noticeTry
	for ctx.Err() == nil {
		finished = n.finished.takeAll(finished)
		for _, try := range finished {
			n.recordTry(try)
		}
		incoming = n.incoming.takeAll(incoming)
		for _, x := range incoming {
			n.pending = append(n.pending, &pendingNotice{notice: x})
		}
		timer.Reset(n.sendDue(ctx, n.clock.Now()))
		select {
		case <-ctx.Done():
		case <-n.incoming.ready:
		case <-n.finished.ready:
		case <-timer.C:
		}
	}
	for { // waits for the tries in flight, which end with ctx
		finished = n.finished.takeAll(finished)
		for _, try := range finished {
			n.recordTry(try)
		}
		if len(n.inFlight) == 0 {
			break
		}
		<-n.finished.ready
	}
	n.client.CloseIdleConnections()
}

// sendDue sends the notices that are due and returns the time until the next one is. If maxNoticeTries are in flight,
// it cancels the oldest try once that is older than noticeResendDelay; its notices are sent again like all others
// without a response.
func (n *notices) sendDue(ctx context.Context, now clock.Instant) time.Duration {
	for {
		due, next := n.due(now)
		if len(due) == 0 {
			return next.Sub(now)
		}
		if len(n.inFlight) >= maxNoticeTries {
			if cancelAt := n.inFlight[0].started.Add(noticeResendDelay); cancelAt > now {
				return cancelAt.Sub(now)
			}
			n.inFlight[0].cancel()
			n.inFlight = n.inFlight[1:]
		}
		repeated := false
		for _, pending := range due {
			repeated = repeated || pending.tries > 0
			pending.nextTry = now.Add(backoff(noticeResendDelay, pending.tries))
			pending.tries++
		}
		if repeated { // all idle connections may have become dead at the same time
			n.client.CloseIdleConnections()
		}
		n.startTry(ctx, due, now)
	}
}

// due lists the notices that can be sent in one try now. If there are none, next is the time when there will be.
func (n *notices) due(now clock.Instant) (due []*pendingNotice, next clock.Instant) {
	next = now.Add(time.Hour)
	for _, pending := range n.pending {
		switch {
		case pending.nextTry > now:
			if pending.nextTry < next {
				next = pending.nextTry
			}
		case pending.sentAlone && len(due) == 0:
			return []*pendingNotice{pending}, next
		case !pending.sentAlone:
			if due = append(due, pending); len(due) == maxNoticeBatch {
				return due, next
			}
		}
	}
	return due, next
}

// backoff is the delay after a number of earlier failures: first, doubled for each of them, up to maxNoticeDelay.
func backoff(first time.Duration, failures int) time.Duration {
	return min(first<<min(failures, 16), maxNoticeDelay)
}

// startTry sends a batch in a goroutine of its own, which puts the result into finished.
func (n *notices) startTry(ctx context.Context, batch []*pendingNotice, now clock.Instant) {
	ctx, cancel := context.WithCancel(ctx)
	try := &noticeTry{batch: batch, started: now, cancel: cancel}
	n.inFlight = append(n.inFlight, try)
	go func() {
		try.status, try.err = n.post(ctx, batch)
		n.finished.put(try)
	}()
}

// recordTry processes the result of a try.
func (n *notices) recordTry(try *noticeTry) {
	try.cancel()
	n.inFlight = slices.DeleteFunc(n.inFlight, func(x *noticeTry) bool { return x == try })
	malformed := try.status == http.StatusBadRequest
	now, unconfirmed := n.clock.Now(), 0
	for _, pending := range try.batch {
		switch {
		case pending.confirmed:
		case try.err == nil || malformed && len(try.batch) == 1:
			n.confirm(pending, try.err, now)
		case malformed: // one notice of the batch is malformed; sent alone, it does not hold up the others
			pending.sentAlone, pending.nextTry = true, now
		default:
			unconfirmed++
			if at := now.Add(backoff(noticeRetryDelay, pending.tries-1)); at < pending.nextTry {
				pending.nextTry = at
			}
		}
	}
	if unconfirmed > 0 && !errors.Is(try.err, context.Canceled) {
		n.log.Warn("notices: not confirmed, will be sent again", "count", unconfirmed, "err", try.err)
	}
	n.pending = slices.DeleteFunc(n.pending, func(x *pendingNotice) bool { return x.confirmed })
	for _, other := range n.inFlight { // a try whose notices are all confirmed is no longer needed
		if !slices.ContainsFunc(other.batch, func(x *pendingNotice) bool { return !x.confirmed }) {
			other.cancel()
		}
	}
}

// confirm ends a notice that was confirmed, or that the agent rejected as malformed with the error err.
func (n *notices) confirm(pending *pendingNotice, err error, now clock.Instant) {
	pending.confirmed = true
	n.unconfirmed.Add(-1)
	n.log.Debug("told", "message", pending.Message, "outcome", pending.Outcome,
		"left_ms", pending.deadline.Sub(now).Milliseconds(), "tries", pending.tries)
	if err != nil {
		n.log.Error("notices: rejected as malformed", "message", pending.Message, "err", err)
	} else if late := now.Sub(pending.deadline); late > noticeLateAfter {
		n.log.Warn("notices: confirmed late", "message", pending.Message,
			"late_ms", late.Milliseconds(), "tries", pending.tries)
	}
	n.onConfirmed(pending.Message)
}

// post sends a batch and returns the status of the response, or 0 if there was none. Any status but 204 is an error.
func (n *notices) post(ctx context.Context, batch []*pendingNotice) (int, error) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body) // one JSON object per line
	for _, pending := range batch {
		if err := encoder.Encode(pending.notice); err != nil {
			return 0, fmt.Errorf("notices: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.url, &body)
	if err != nil {
		return 0, fmt.Errorf("notices: %w", err)
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("notices: %w", err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBytes))
	if resp.StatusCode != http.StatusNoContent {
		return resp.StatusCode, fmt.Errorf("notices: status %d", resp.StatusCode)
	}
	return resp.StatusCode, nil
}
