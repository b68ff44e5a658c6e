// Package relay connects the decision module in package decide to the outside world: client
// connections, calls to endpoints, discovery and the write-ahead log. All scheduling decisions are
// made by the policy in package decide; this package reports events to it and carries out its actions.
package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
	"troutusher/internal/membership"
	"troutusher/internal/resp"
)

// Shutdown and startup times. The shutdown times count from SIGTERM; a relay is killed 3.7 s after it.
const (
	closeListenerAfter = 1000 * time.Millisecond // until then clients may still connect
	// No non-idempotent call begins after this: its message would be lost if the exit cut the call short.
	stopNonIdempotentCallsAfter = 1200 * time.Millisecond
	stopCallsAfter              = 2200 * time.Millisecond // no call of any class begins after this
	stopReadingAfter            = 3100 * time.Millisecond // nothing more is read from clients after this
	exitAfter                   = 3300 * time.Millisecond // the process exits; calls in flight stay open in the log
	shutdownRetryMS             = 400                     // ms after which a refused client may retry, at another relay
	initialListTimeout          = 1500 * time.Millisecond // how long the start waits for the first list
	knownListTimeout            = 300 * time.Millisecond  // the same if the configuration has a list: clients are waiting
	withdrawnEndpointRetention  = decide.Time(10e6)       // how long an endpoint is remembered after it left the list
	// policyEpoch is the policy's time at the clock's origin. It is large so that times left by an
	// earlier process, which lie before the origin, stay positive: the policy requires times of 1 or more.
	policyEpoch = decide.Time(1 << 45)
)

// message is the loop's state of a message, from when a client hands it in until it has ended and its
// last call has returned.
type message struct {
	num                uint32
	rec                *record
	req                *putRequest   // the client's request; nil once the message is refused or submitted to the log
	acknowledged       bool          // the client has received the reply that the message is accepted
	logged             bool          // its record has been submitted to the log
	ended              bool          // the policy has ended it, or has been told that it ended
	attempts           int           // attempts so far, counting those of earlier processes
	lastAttemptAt      clock.Instant // start of the last attempt
	mayHaveRunAt       clock.Instant // start of the first attempt that may have run; zero if there is none
	attemptDeadline    decide.Time   // when the last attempt times out
	dedupWindowUnknown bool          // an earlier process made the attempt that may have run, at an unknown time
	pendingCall        *call         // not started yet: it waits until the clients of all its messages have their replies
	pendingNotice      *record       // the message's end, held back until the client has its reply
	call               *call         // the call in flight
	cancelling         bool          // the policy cancelled the attempt in the current step
	recoveredUntried   bool          // recovered by this process without an attempt, and neither called nor ended since
}

// repeatUntil returns the moment from which the message must not be sent again, because the
// endpoint's deduplication window for an attempt that may have run is over. It is zero if there is none.
func (m *message) repeatUntil() clock.Instant {
	rules := m.rec.Rules
	switch {
	case m.mayHaveRunAt.IsZero() || rules == nil || rules.Idempotency != decide.Deduplicated:
		return 0
	case m.dedupWindowUnknown:
		return 1 // the window counts as over
	}
	return m.mayHaveRunAt + clock.Instant(rules.DedupWindow)
}

// latestExpiredAttempt returns the latest start of an attempt, in the policy's time, whose
// deduplication window is over at now.
func latestExpiredAttempt(rules *decide.Class, now decide.Time) decide.Time {
	return max(now-rules.DedupWindow, 1)
}

// event is one input of the loop. Usually one field is set; the comments name those that go together.
type event struct {
	submitted      *putRequest
	replied        *putRequest        // its reply was written if ok is set, otherwise the client is gone
	unlogged       *putRequest        // the log could not record it
	update         *membership.Update // a list that was read completely
	drainAnnounced bool               // a list that is still being read marks endpoints as draining
	config         *Config            // a new configuration
	call           *call              // returned with result; for msg alone if that is set
	msg            *message
	peer           *peer // another process of this relay sent peerMessage, or is gone if that is nil
	peerMessage    *handoverMessage
	recovered      []*record   // messages left by a process that has ended
	soleProcess    bool        // no other process of this relay runs any more
	forwarded      *putRequest // of a client of the predecessor; it was answered with reply
	reply          string
	unsent         *message        // its attempt was not sent; call and result are set too
	probedEndpoint decide.Endpoint // its probe ended with result
	result         *callResult
	ok             bool
	stop           bool
	logState       logState // the log's new state, if it changed
}

// Relay is a running relay.
type Relay struct {
	cfg               *Config
	log               *slog.Logger
	policy            *decide.Policy
	inbox             *mailbox[event]
	wal               *wal
	notices           *notices
	discovery         *discovery
	discoveryAddr     string // the address that discovery and notices use
	clock             clock.Clock
	epoch             decide.Time // the policy's time at the clock's origin
	lastMessageNum    uint32
	lastUnlistedNum   decide.Endpoint // last number given to an endpoint that no list names
	lastCallNum       uint64
	messages          map[uint32]*message
	messagesByID      map[string]*message // those that the policy holds
	endedReplies      endedReplies
	unanswered        map[*putRequest]*message // requests whose clients have no reply yet
	directory         *membership.Directory
	pendingUpdate     *membership.Update // a list that is being applied piece by piece
	applySlice        workTimer          // time slice for applying it
	changeBuffer      []membership.Change
	endpointBuffer    []membership.Endpoint
	drainPending      atomic.Bool                   // drainAnnounced is in the inbox and not handled yet
	endpoints         map[decide.Endpoint]*endpoint // those with calls in flight or state to remember
	forgetCandidates  []*endpoint                   // endpoints that forgetEndpoints checks
	policyEvents      []decide.Event                // input of the policy's next step
	actions           []decide.Action
	formingCalls      []*call    // calls formed in the current step
	cancelledMessages []*message // messages whose attempts were cancelled in the current step
	timers            timers
	heldCount         int // messages that the policy holds
	callsInFlight     int
	stoppingSince     clock.Instant // when the stop was requested; zero before
	pool              *pool
	clients           *clients
	predecessor       *peer // the process that handed over to this one and finishes its last calls and clients
	successor         *peer // the process that takes over from this one, or has done so
	successorReady    bool  // the successor is ready to take over
	handedOver        bool  // the successor has taken over
	otherProcessRuns  bool  // another process of this relay runs beside this one
	untried           untriedCounts
	unlistedOutages   map[string]decide.OutageSnapshot // recovered at startup, of endpoints that no list has named yet
	reload            Reload
	ctx               context.Context

	listener   *net.TCPListener
	listenErr  error // why listenEarly failed
	recovering bool  // the state folder has failed since the start and has not been read yet
	logFailing bool  // nothing can be written to the log
}

// untriedCounts counts the messages that an earlier process accepted without any attempt. Accepted
// messages must be tried, also across restarts.
type untriedCounts struct{ found, called, ended int }

// logUntried logs the counts of recovered untried messages once none is open, and at the end of the process.
func (r *Relay) logUntried(final bool) {
	counts := r.untried
	if open := counts.found - counts.called - counts.ended; counts.found > 0 && (open == 0 || final) {
		r.log.Info("resumed untried", "found", counts.found, "called", counts.called,
			"ended_without", counts.ended, "open", open)
	}
}

// now returns the present moment in the policy's time.
func (r *Relay) now() decide.Time { return r.policyTime(r.clock.Now()) }

// policyTime converts an instant to the policy's time.
func (r *Relay) policyTime(t clock.Instant) decide.Time { return decide.Time(t) + r.epoch }

// instant converts the policy's time to an instant.
func (r *Relay) instant(t decide.Time) clock.Instant { return clock.Instant(t - r.epoch) }

// Run serves until stop is closed and the shutdown that follows is complete, until the process has
// handed over to a successor and finished its own calls and clients, or until an error prevents
// serving. The time is read from clk; waits use the timers of package time.
func Run(cfg *Config, clk clock.Clock, log *slog.Logger, stop <-chan struct{}, reload Reload) error {
	policy, err := decide.New(cfg.Policy, cfg.Seed)
	if err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &Relay{cfg: cfg, log: log, policy: policy, inbox: newMailbox[event](), clock: clk, epoch: policyEpoch, ctx: ctx,
		messages: map[uint32]*message{}, messagesByID: map[string]*message{}, unanswered: map[*putRequest]*message{},
		endpoints: map[decide.Endpoint]*endpoint{}, directory: cfg.Known}
	if cfg.KnownErr != nil {
		log.Error("cannot use the endpoint list in the configuration", "err", cfg.KnownErr)
	}
	if r.directory == nil {
		r.directory = membership.NewDirectory(directoryLimit(&cfg.Limits))
	}
	policy.UseDirectory(r)
	r.pool = newPool(clk, 0, 0, 0)
	go r.pool.run(ctx)
	r.clients = newClients(cfg, clk, log, func(req *putRequest) { r.inbox.put(event{submitted: req}) },
		func(req *putRequest, ok bool) { r.inbox.put(event{replied: req, ok: ok}) })
	if cfg.OpsAddr != "" {
		go serveOperatorPort(ctx, cfg.OpsAddr, r.clients.operatorCalls(), clk, log)
	}
	go func() {
		<-stop
		r.inbox.put(event{stop: true})
	}()
	defer func() {
		if r.listener != nil {
			r.listener.Close()
		}
	}()
	var slots *logSlots
	if !r.retryUntilFolderWorks(func() (err error) {
		slots, err = lockLogSlots(cfg.logFolder(), cfg.StateFolder)
		return err
	}) {
		return nil
	}
	defer slots.release()
	r.setOtherProcessRuns(len(slots.otherSlots) > 0)
	predecessor := r.dialPredecessor()
	knownRevision := int64(-1)
	if n, _ := r.directory.Len(); n > 0 {
		knownRevision = r.directory.Revision()
	}
	r.discovery = newDiscovery(cfg.DiscoveryAddr, cfg.Policy.Relays, knownRevision, clk, log, r.beginList)
	r.discovery.reopenGrace = time.Duration(cfg.Policy.DrainGrace) * time.Microsecond / 2
	r.notices = newNotices(cfg.DiscoveryAddr, clk, log,
		func(id string) { r.wal.submit(&record{Kind: recordEnd, ID: id}, nil) })
	r.discoveryAddr, r.reload = cfg.DiscoveryAddr, reload
	go r.discovery.run(ctx)
	go r.watchReloads(ctx, reload)
	r.awaitInitialList(knownRevision >= 0)

	var predecessorCalls map[string]*call // calls that the predecessor finishes, by message id
	if predecessor != nil {
		if state := r.takeOver(predecessor, slots); state != nil {
			predecessorCalls = r.restoreHandover(state, predecessor)
			r.predecessor = predecessor
			go func() { // a signal to reload may have gone to the predecessor since this process read the file
				if latest, err := reload.Read(); err == nil && !reflect.DeepEqual(latest.rawConfig, cfg.rawConfig) {
					r.inbox.put(event{config: latest})
				}
			}()
		}
	}
	var pending []*record
	if !r.retryUntilFolderWorks(func() (err error) {
		r.wal, pending, err = openWAL(slots, int64(cfg.Limits.DiskMB)<<20,
			func(id string) bool { return predecessorCalls[id] != nil }, clk, log)
		return err
	}) {
		return nil
	}
	r.watchLogHealth()
	r.wal.start()
	defer func() {
		if !r.handedOver {
			r.wal.halt()
		}
	}()
	go r.notices.run(ctx)
	r.restoreEndedReplies(r.wal.endedRecords())
	if len(predecessorCalls) == 0 && r.predecessor == nil { // a predecessor that hands over reports the outages itself
		r.resumeOutages(r.wal.outageRecords())
	}
	r.restoreMessages(pending, predecessorCalls)
	r.recovering = false
	r.step()
	listener, err := r.openListener()
	if err != nil {
		return err
	}
	go r.acceptSuccessors(ctx)
	go r.adoptOrphanedLogs(ctx, slots)
	endpoints, destinations := r.directory.Len()
	log.Info("ready", "name", cfg.Name, "listen", listener.Addr().String(), "endpoints", endpoints,
		"destinations", destinations, "owed", len(pending),
		"out", len(predecessorCalls), "beside_another", r.otherProcessRuns)
	r.loop(listener)
	return nil
}

// awaitInitialList waits for a full list from discovery: the one in the configuration may be out of
// date, and an endpoint that has started draining since must receive no calls. If discovery does not
// respond in time, the list in the configuration is used.
func (r *Relay) awaitInitialList(hasKnownList bool) {
	wait := initialListTimeout
	if hasKnownList {
		wait = knownListTimeout
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	var batch []event
	for received := false; ; {
		select {
		case <-r.inbox.ready:
			batch = r.inbox.takeAll(batch)
			for _, ev := range batch {
				r.handleEvent(ev)
				received = received || ev.update != nil
			}
			r.applyAllChanges()
			if received {
				return
			}
		case <-timeout.C:
			r.log.Warn("no list from discovery in time; using the list in the configuration")
			return
		}
	}
}

// restoreMessages takes over the pending messages of an earlier process. Those in predecessorCalls
// have a call in flight that the predecessor finishes and reports.
func (r *Relay) restoreMessages(records []*record, predecessorCalls map[string]*call) {
	for _, rec := range records {
		if r.messagesByID[rec.ID] != nil {
			continue // an id has one message at a time
		}
		msg := r.newMessage(rec)
		msg.acknowledged, msg.logged, msg.attempts, msg.lastAttemptAt, msg.mayHaveRunAt =
			true, true, rec.Attempts, rec.InFlightSince, rec.MayHaveRunAt
		msg.dedupWindowUnknown = rec.DedupWindowUnknown
		if rec.Notice != "" {
			msg.ended = true
			r.dropMessage(msg)
			r.notices.unconfirmed.Add(1)
			r.notices.incoming.put(notice{rec.ID, rec.Notice, rec.RetryMS, rec.Deadline})
			continue
		}
		if rec.Rules == nil { // earlier releases did not log the rules
			if class, ok := r.cfg.classes[rec.Class]; ok {
				rec.Rules, rec.MaxAttempts = &r.cfg.Policy.Classes[class], r.cfg.Policy.MaxAttempts
			} else { // whether the message may be repeated is not known
				msg.ended = true
				r.dropMessage(msg)
				r.reportEnd(msg, noticeGivenUp, 0)
				continue
			}
		}
		policyEvent := decide.Event{Kind: decide.EvMessage, Message: msg.num, Dest: rec.Dest, Tenant: -1,
			OriginalClass: rec.Rules, OriginalMaxAttempts: rec.MaxAttempts,
			TimeLeft: r.policyTime(rec.Deadline) - r.now(), Attempts: rec.Attempts,
			MayHaveRunZone: r.loggedZone(rec.MayHaveRunZoneName, rec.MayHaveRunZoneIndex)}
		r.directory.AddDestination(rec.Dest) // a list has named it, or the message would not have been accepted
		if t, ok := r.cfg.tenants[rec.Tenant]; ok {
			policyEvent.Tenant = t
		}
		if rec.MayHaveRunAt != 0 {
			policyEvent.MayHaveRunAt = r.policyTime(rec.MayHaveRunAt)
			if rec.DedupWindowUnknown {
				policyEvent.MayHaveRunAt = latestExpiredAttempt(rec.Rules, r.now())
			}
		}
		if c := predecessorCalls[rec.ID]; c != nil {
			msg.call = c
			c.msgs = append(c.msgs, msg)
			if c.unfinished++; c.unfinished == 1 {
				c.ep.calls[c] = true
				r.callsInFlight++
				r.lastCallNum++
				c.restoredNum = r.lastCallNum
			}
			policyEvent.InFlightEndpoint, policyEvent.InFlightSince, policyEvent.InFlightCall =
				c.ep.num, r.policyTime(rec.InFlightSince), c.restoredNum
			policyEvent.InFlightZone = r.loggedZone(rec.InFlightZoneName, rec.InFlightZoneIndex)
		} else if msg.recoveredUntried = rec.Attempts == 0; msg.recoveredUntried {
			r.untried.found++
		}
		r.policyEvents = append(r.policyEvents, policyEvent)
		r.log.Info("resumed", "message", rec.ID, "class", rec.Class, "tries", rec.Attempts,
			"may_have_run", rec.MayHaveRunAt != 0, "out", msg.call != nil,
			"left", time.Duration(policyEvent.TimeLeft)*time.Microsecond)
	}
}

// loggedZone returns the policy's number of the zone of a logged attempt. Logs of earlier releases have its index and
// no name.
func (r *Relay) loggedZone(name string, index int) int {
	if name == "" {
		return index
	}
	if zone := indexOf(r.cfg.zones, name); zone >= 0 {
		return zone
	}
	return unmatchedZone
}

// newMessage adds a message to those that the policy holds.
func (r *Relay) newMessage(rec *record) *message {
	r.lastMessageNum++
	msg := &message{num: r.lastMessageNum, rec: rec}
	r.messages[msg.num], r.messagesByID[rec.ID] = msg, msg
	r.heldCount++
	return msg
}

// loop is the event loop, the only goroutine that uses the policy: it takes the events from the inbox,
// steps the policy, and carries out the policy's actions. It returns at the end of the shutdown or of
// a hand-over.
func (r *Relay) loop(listener *net.TCPListener) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	listening, reading := true, true
	var batch []event
	for {
		wait := time.Hour
		if at := r.timers.next(); at > 0 {
			wait = time.Duration(at-r.now()+1) * time.Microsecond
		}
		if !r.stoppingSince.IsZero() {
			wait = min(wait, 20*time.Millisecond)
		}
		if r.pendingUpdate != nil {
			if wait = 0; r.applySlice.expired(r.clock.Now()) {
				wait = listPause
			}
		}
		timer.Reset(max(wait, 0))
		select {
		case <-r.inbox.ready:
		case <-timer.C:
		}
		batch = r.inbox.takeAll(batch)
		for i := range batch {
			r.handleEvent(batch[i])
		}
		if r.pendingUpdate != nil {
			r.applyNextChanges()
		}
		if r.timers.popDue(r.now()) {
			r.policyEvents = append(r.policyEvents, decide.Event{Kind: decide.EvTimer})
		}
		if len(r.policyEvents) > 0 {
			r.step()
		}
		if r.successorReady && r.handOver(listener) {
			listener.Close()
			r.finishAfterHandover()
			return
		}
		if r.stoppingSince.IsZero() {
			continue
		}
		elapsed := clock.Since(r.clock, r.stoppingSince)
		if listening && elapsed >= closeListenerAfter {
			listening = false
			listener.Close()
		}
		if reading && elapsed >= stopReadingAfter {
			reading = false
			r.clients.stopReadingAll()
		}
		// Client connections and notices count too: a client may have sent a request, or part of one,
		// while its connection was being closed, a reply may not be written yet, and a notice may not
		// have been delivered.
		idle := len(r.unanswered) == 0 && r.callsInFlight == 0 && (r.heldCount == 0 || elapsed >= stopCallsAfter) &&
			r.clients.count() == 0 && r.notices.unconfirmed.Load() == 0
		if !listening && idle || elapsed >= exitAfter {
			r.logUntried(true)
			r.log.Info("stopped", "held", r.heldCount, "calls", r.callsInFlight)
			return
		}
	}
}

// tooLateToCall reports whether the process may exit before a call of the message would end, so that
// none is started. The policy goes on to count the attempt as in flight; the next process recovers the
// message from the log.
func (r *Relay) tooLateToCall(msg *message) bool {
	if r.stoppingSince.IsZero() {
		return false
	}
	cutoff := stopCallsAfter
	if msg.rec.Rules.Idempotency == decide.NonIdempotent {
		cutoff = stopNonIdempotentCallsAfter
	}
	return clock.Since(r.clock, r.stoppingSince) >= cutoff
}

// handleEvent applies one event to the relay's state and adds the policy events that follow from it.
func (r *Relay) handleEvent(ev event) {
	switch {
	case ev.submitted != nil:
		r.admit(ev.submitted)
	case ev.replied != nil:
		r.replyWritten(ev.replied, ev.ok)
	case ev.unlogged != nil:
		r.handleUnlogged(ev.unlogged)
	case ev.update != nil:
		r.startListUpdate(ev.update)
	case ev.drainAnnounced:
		r.applyDrains()
	case ev.config != nil:
		r.applyConfig(ev.config)
	case ev.peer != nil:
		r.handlePeerMessage(ev.peer, ev.peerMessage)
	case ev.recovered != nil:
		r.restoreMessages(ev.recovered, nil)
	case ev.soleProcess:
		r.setOtherProcessRuns(false)
	case ev.logState != logUnchanged:
		r.handleLogState(ev.logState)
	case ev.forwarded != nil:
		ev.forwarded.replied = true
		if ev.reply != resp.OK && r.predecessor != nil {
			delete(r.predecessor.pendingPuts, ev.forwarded.record.ID)
		}
	case ev.stop && r.stoppingSince.IsZero():
		r.stoppingSince = r.clock.Now()
		r.log.Info("stopping", "held", r.heldCount, "calls", r.callsInFlight)
		r.clients.shutDown()
	case ev.unsent != nil:
		r.handleAttemptEnd(ev.unsent, ev.call, ev.result)
	case ev.call != nil:
		r.handleCallResult(ev.call, ev.msg, ev.result)
	case ev.probedEndpoint != 0:
		r.policyEvents = append(r.policyEvents, decide.Event{Kind: decide.EvProbeResult, Endpoint: ev.probedEndpoint,
			Outcome: ev.result.outcome, Elapsed: ev.result.elapsed, Load: ev.result.load})
	}
}

// admit checks a submitted message and passes it to the policy. The next step decides whether it is
// accepted: a message that the policy ends there is refused.
func (r *Relay) admit(req *putRequest) {
	switch existing := r.messagesByID[req.record.ID]; {
	case !r.stoppingSince.IsZero():
		req.sendReply(resp.Busy(shutdownRetryMS))
		return
	case r.recovering: // the log may hold it already
		req.sendReply(resp.Busy(logFailureRetryMS))
		return
	case existing != nil && existing.acknowledged: // accepted before
		req.sendReply(resp.OK)
		return
	case existing != nil:
		req.sendReply(resp.Error(errIDInUse))
		return
	case r.endedReplies.reply(req.record.ID) != "":
		// It was accepted and has ended. Accepted once more, it could run a second time.
		req.sendReply(r.endedReplies.reply(req.record.ID))
		return
	case r.endedReplies.full(r.now(), r.replyRetention()) && !r.cfg.mayRepeat(req.record.Class):
		// Its id could not be kept once it has ended.
		req.sendReply(resp.Busy(0))
		return
	case !r.directory.Knows(req.record.Dest):
		// Nothing could be sent to it. A destination whose endpoints are only temporarily gone is
		// known from an earlier list.
		req.sendReply(resp.Error(fmt.Errorf("dest: no list names %d", req.record.Dest)))
		return
	case r.cfg.Policy.MaxHeld > 0 && r.heldCount >= r.cfg.Policy.MaxHeld:
		req.sendReply(resp.Busy(0))
		return
	case r.logFailing:
		req.sendReply(resp.Busy(logFailureRetryMS))
		return
	}
	// The settings may have changed since the request was parsed; the current ones apply.
	class, ok := r.cfg.classes[req.record.Class]
	if !ok {
		req.sendReply(resp.Error(fmt.Errorf("c: unknown class %q", req.record.Class)))
		return
	}
	req.record.Rules, req.record.MaxAttempts = &r.cfg.Policy.Classes[class], r.cfg.Policy.MaxAttempts
	tenant := -1
	if t, ok := r.cfg.tenants[req.record.Tenant]; ok {
		tenant = t
	}
	msg := r.newMessage(req.record)
	msg.req = req
	r.unanswered[req] = msg
	r.policyEvents = append(r.policyEvents, decide.Event{Kind: decide.EvMessage, Message: msg.num, Class: class,
		Dest: req.record.Dest, Tenant: tenant, TimeLeft: r.policyTime(req.record.Deadline) - r.now()})
}

// replyWritten handles the end of writing a reply: the client has received it, or has disconnected before.
func (r *Relay) replyWritten(req *putRequest, written bool) {
	msg := r.unanswered[req]
	if msg == nil {
		if !written {
			req.finishWithdrawal("")
		}
		return
	}
	delete(r.unanswered, req)
	if !written {
		r.withdraw(msg, func() { req.finishWithdrawal(resp.Busy(0)) })
		return
	}
	msg.acknowledged = true
	r.log.Debug("taken", "message", msg.rec.ID, "class", msg.rec.Class, "dest", msg.rec.Dest,
		"left_ms", r.remainingMS(msg))
	if c := msg.pendingCall; c != nil {
		r.startCall(c)
	}
	if notice := msg.pendingNotice; notice != nil {
		msg.pendingNotice = nil
		r.reportEnd(msg, notice.Notice, notice.RetryMS)
	}
}

// handleUnlogged refuses a message that could not be logged.
func (r *Relay) handleUnlogged(req *putRequest) {
	msg := r.unanswered[req]
	if msg == nil {
		return // withdrawn, and refused for that
	}
	delete(r.unanswered, req)
	r.withdraw(msg, func() { req.sendReply(resp.Busy(logFailureRetryMS)) })
}

// withdraw ends a message whose client was not told that it is accepted: nobody is owed its outcome. refuse is called
// once the log shows that the message has ended, since the next process delivers what the log holds.
func (r *Relay) withdraw(msg *message, refuse func()) {
	if msg.logged {
		r.wal.submit(&record{Kind: recordEnd, ID: msg.rec.ID}, func(error) { refuse() })
	} else {
		refuse()
	}
	msg.pendingNotice = nil
	if !msg.ended {
		msg.ended = true
		r.dropMessage(msg)
		r.policyEvents = append(r.policyEvents, decide.Event{Kind: decide.EvWithdraw, Message: msg.num})
	}
	if msg.pendingCall != nil {
		r.removeFromPendingCall(msg)
	}
}

// dropMessage removes a message that the policy no longer holds. It stays in messages while it has a call.
func (r *Relay) dropMessage(msg *message) {
	r.heldCount--
	delete(r.messagesByID, msg.rec.ID)
	if msg.call == nil && msg.pendingCall == nil {
		delete(r.messages, msg.num)
	}
}

// step passes the collected events to the policy and carries out the actions it returns.
func (r *Relay) step() {
	events := r.policyEvents
	r.policyEvents = nil
	submitted := make([]*message, 0, len(events))
	for i := range events {
		if events[i].Kind == decide.EvMessage {
			if msg := r.messages[events[i].Message]; msg != nil && msg.req != nil {
				submitted = append(submitted, msg)
			}
		}
	}
	now := r.now()
	r.actions = r.policy.Step(now, events, r.actions[:0])
	// Final actions come first, so that refused messages are not logged; then the log records, so that
	// no message is sent before it is logged.
	for i := range r.actions {
		switch action := &r.actions[i]; action.Kind {
		case decide.ActRefuse:
			r.handleFinalAction(action, noticeHandedBack)
		case decide.ActFail:
			r.handleFinalAction(action, noticeGivenUp)
		}
	}
	for _, msg := range submitted {
		if msg.req != nil && !msg.ended {
			r.acceptMessage(msg)
		}
	}
	for i := range r.actions {
		r.performAction(now, &r.actions[i])
	}
	r.dispatchCalls()
}

// dispatchCalls cancels the attempts that the policy cancelled in this step, and starts the calls that
// the step has formed.
func (r *Relay) dispatchCalls() {
	for _, msg := range r.cancelledMessages {
		if msg.call != nil {
			r.cancelAttempt(msg.call, msg)
		}
	}
	for _, c := range r.formingCalls {
		r.startCall(c)
	}
	clear(r.cancelledMessages)
	clear(r.formingCalls)
	r.cancelledMessages, r.formingCalls = r.cancelledMessages[:0], r.formingCalls[:0]
}

// acceptMessage logs a message. Its client gets the reply once the record is written.
func (r *Relay) acceptMessage(msg *message) {
	req := msg.req
	msg.req, msg.logged = nil, true
	msg.rec.At = r.clock.Now()
	r.wal.submit(msg.rec, func(err error) {
		if err != nil {
			r.inbox.put(event{unlogged: req})
			return
		}
		req.sendReply(resp.OK)
	})
}

// handleFinalAction ends a message as the policy decided: given up or handed back.
func (r *Relay) handleFinalAction(action *decide.Action, outcomeName string) {
	msg := r.messages[action.Message]
	if msg == nil || msg.ended {
		return
	}
	msg.ended = true
	if msg.call != nil { // before the client or the platform's agent is told
		msg.call.removeMessage(msg)
	}
	retryMS := (action.After + 999) / 1000
	if req := msg.req; req != nil { // not accepted: the client gets the result as its reply
		msg.req = nil
		delete(r.unanswered, req)
		if outcomeName == noticeHandedBack {
			req.sendReply(resp.Busy(retryMS))
		} else {
			req.sendReply(resp.Error(errors.New("given up")))
		}
		r.dropMessage(msg)
		return
	}
	r.dropMessage(msg)
	if outcomeName == noticeHandedBack {
		r.rememberReply(msg, resp.Busy(retryMS))
	} else {
		r.rememberReply(msg, resp.Error(errors.New("given up")))
	}
	r.log.Info("ended", "message", msg.rec.ID, "class", msg.rec.Class, "dest", msg.rec.Dest,
		"outcome", outcomeName, "tries", msg.attempts,
		"left_ms", r.remainingMS(msg), "found_untried", msg.recoveredUntried)
	if msg.recoveredUntried {
		msg.recoveredUntried = false
		r.untried.ended++
		r.logUntried(false)
	}
	if !msg.acknowledged {
		msg.pendingNotice = &record{Notice: outcomeName, RetryMS: retryMS}
		return
	}
	r.reportEnd(msg, outcomeName, retryMS)
}

// remainingMS returns the time until a message's deadline, in milliseconds.
func (r *Relay) remainingMS(msg *message) int64 {
	return clock.Until(r.clock, msg.rec.Deadline).Milliseconds()
}

// reportEnd logs how a message ended and queues the notice for the platform's agent.
func (r *Relay) reportEnd(msg *message, outcomeName string, retryMS int64) {
	if outcomeName == noticeGivenUp {
		retryMS = 0
	}
	n := notice{msg.rec.ID, outcomeName, retryMS, msg.rec.Deadline}
	r.notices.unconfirmed.Add(1)
	// The notice is sent whether or not the record could be written.
	r.wal.submit(&record{Kind: recordEnding, ID: msg.rec.ID, Notice: outcomeName, RetryMS: retryMS},
		func(error) { r.notices.incoming.put(n) })
}

// performAction carries out an action that does not end its message. Sends and cancellations are only
// collected: which messages share a call is known once all actions of the step are.
func (r *Relay) performAction(now decide.Time, action *decide.Action) {
	switch action.Kind {
	case decide.ActSend:
		msg := r.messages[action.Message]
		if msg == nil {
			return
		}
		msg.attempts++
		msg.attemptDeadline, msg.cancelling = action.TimeoutAt, false
		msg.pendingCall = r.callForSend(action.Endpoint)
		msg.pendingCall.msgs = append(msg.pendingCall.msgs, msg)
	case decide.ActCancel:
		if msg := r.messages[action.Message]; msg != nil && action.Attempt == msg.attempts-1 {
			switch {
			case msg.call != nil:
				msg.cancelling = true
				r.cancelledMessages = append(r.cancelledMessages, msg)
			case msg.pendingCall != nil:
				r.removeFromPendingCall(msg)
			}
		}
	case decide.ActTimer:
		r.timers.add(now + action.After)
	case decide.ActProbe:
		if ep := r.endpoint(action.Endpoint); ep != nil && !ep.withdrawn {
			conns, num := ep.conns, action.Endpoint // copied: the next step overwrites the action
			go func() {
				result := probe(r.ctx, conns)
				r.inbox.put(event{probedEndpoint: num, result: &result})
			}()
		}
	case decide.ActCloseIdle:
		if ep := r.endpoints[action.Endpoint]; ep != nil && ep.conns != nil {
			ep.conns.closeIdle()
		}
	case decide.ActOutage:
		r.logOutage(action.Endpoint)
	case decide.ActRelease:
		r.releaseEndpoint(action.Endpoint)
	case decide.ActLog:
		r.log.Info("policy", "says", action.Text)
	}
}

// callForSend returns the call of the current step that the next send to an endpoint joins, a new one
// if need be. Messages sent to one endpoint in one step share a call, up to the batch size of its kind.
func (r *Relay) callForSend(num decide.Endpoint) *call {
	ep := r.endpoint(num)
	for _, c := range r.formingCalls {
		if ep != nil && c.ep == ep && len(c.msgs) < ep.maxBatch {
			return c
		}
	}
	c := &call{ep: ep}
	if ep != nil {
		c.zone = ep.zone
	}
	r.formingCalls = append(r.formingCalls, c)
	return c
}

// reportNotSent reports an attempt that was not sent. The event goes through the inbox, so that the
// policy learns of it in its next step.
func (r *Relay) reportNotSent(msg *message, c *call, err error) {
	r.inbox.put(event{unsent: msg, call: c, result: &callResult{outcome: decide.NotSent, err: err}})
}

// removeFromPendingCall takes a message out of a call that has not started. The call's other messages
// no longer wait for it.
func (r *Relay) removeFromPendingCall(msg *message) {
	c := msg.pendingCall
	msg.pendingCall = nil
	c.msgs = slices.DeleteFunc(c.msgs, func(x *message) bool { return x == msg })
	r.reportNotSent(msg, c, errCancelled)
	r.startCall(c)
}

// startCall logs the attempts of a call and then makes it. It does nothing before the clients of all
// its messages have their replies.
func (r *Relay) startCall(c *call) {
	if c.cancel != nil || slices.ContainsFunc(c.msgs, func(msg *message) bool { return !msg.acknowledged }) {
		return
	}
	now := r.now()
	c.msgs = slices.DeleteFunc(c.msgs, func(msg *message) bool {
		if r.tooLateToCall(msg) {
			return true
		}
		msg.pendingCall = nil
		if ep := c.ep; ep == nil || ep.withdrawn || ep.waitUntil > now ||
			ep.dest != msg.rec.Dest || ep.zone != c.zone || msg.attemptDeadline <= now || msg.ended ||
			(callItem{repeatUntil: msg.repeatUntil()}).repeatExpired(r.instant(now)) {
			r.reportNotSent(msg, c, errNotStarted)
			return true
		}
		return false
	})
	if len(c.msgs) == 0 {
		return
	}
	// The message with the latest timeout comes first: an endpoint may apply the first message's timeout
	// to the whole call and then not answer for the others.
	slices.SortStableFunc(c.msgs, func(a, b *message) int { return cmp.Compare(b.attemptDeadline, a.attemptDeadline) })
	c.ctx, c.cancel = context.WithCancelCause(r.ctx)
	c.ep.calls[c] = true
	r.callsInFlight++
	for _, msg := range c.msgs {
		msg.call = c
		c.unfinished++
		if msg.recoveredUntried {
			msg.recoveredUntried = false
			r.untried.called++
			r.log.Info("resumed message called", "message", msg.rec.ID, "left_ms", r.remainingMS(msg))
			r.logUntried(false)
		}
	}
	conns, msgs, loadFields := c.ep.conns, slices.Clone(c.msgs), r.cfg.loadFields
	items := make([]callItem, 0, len(msgs)) // appended to by the log's goroutine alone
	for i, msg := range msgs {
		item := callItem{message: msg, rec: msg.rec, timeout: time.Duration(msg.attemptDeadline-now) * time.Microsecond,
			repeatUntil: msg.repeatUntil()}
		msg.lastAttemptAt = r.instant(now)
		r.wal.submit(&record{Kind: recordAttempt, ID: msg.rec.ID, At: r.instant(now), ZoneName: c.zone}, func(err error) {
			if err == nil {
				items = append(items, item)
			} else {
				r.inbox.put(event{call: c, msg: msg, result: &callResult{outcome: decide.NotSent, err: errAttemptNotLogged}})
			}
			if i < len(msgs)-1 || len(items) == 0 {
				return
			}
			go c.run(conns, items, loadFields, func(msg *message, result callResult) {
				r.inbox.put(event{call: c, msg: msg, result: &result})
			})
		})
	}
}

// cancelAttempt cancels the attempt of one message of a call. The call itself goes on while another
// of its messages is not cancelled.
func (r *Relay) cancelAttempt(c *call, msg *message) {
	removedUnsent := c.removeMessage(msg)
	for _, other := range c.msgs {
		if other.call == c && !other.cancelling {
			result := callResult{outcome: decide.Cancelled, err: errCancelled}
			if removedUnsent { // and it will not be sent any more
				result.outcome = decide.NotSent
			}
			r.inbox.put(event{call: c, msg: msg, result: &result})
			return
		}
	}
	c.cancel(errCancelled)
}

// applyWait applies the wait that an endpoint asked for, to that endpoint alone or to all endpoints of
// its destination. Calls still waiting for a connection there are stopped, since they could begin
// before the wait is over: after an outage a connection may take a second to be established. The wait
// is kept under the endpoint's id, also if the endpoint leaves the list and returns.
func (r *Relay) applyWait(source *endpoint, until decide.Time) {
	apply := func(ep *endpoint) {
		ep.waitUntil = max(ep.waitUntil, until)
		for c := range ep.calls {
			c.cancelUnsent(errRetryAfter)
		}
	}
	// No list names the destination of an unlisted endpoint.
	if apply(source); source.separateLimits || source.num >= unlistedEndpointBit {
		return
	}
	r.endpointBuffer = r.directory.Endpoints(source.dest, r.endpointBuffer[:0])
	for i := range r.endpointBuffer {
		if ep := r.endpoint(decide.Endpoint(r.endpointBuffer[i].Number)); ep != source && !ep.separateLimits {
			apply(ep)
		}
	}
}

// handleCallResult applies the result of a call, to all its messages or to only one of them.
func (r *Relay) handleCallResult(c *call, only *message, result *callResult) {
	if result.retryAfter > 0 {
		r.applyWait(c.ep, r.now()+result.retryAfter)
	}
	if c.ep.conns != nil && c.ep.recordResult(result, r.now()) {
		c.ep.conns.closeIdle()
	}
	for _, msg := range c.msgs {
		if msg.call != c || only != nil && only != msg {
			continue // it has its outcome already, or is not the one in question
		}
		messageResult := *result
		if itemResult, ok := result.itemResults[msg.rec.ID]; ok {
			messageResult.outcome, messageResult.settled = itemResult.outcome, itemResult.settled
		}
		r.handleAttemptEnd(msg, c, &messageResult)
	}
	if only != nil && c.unfinished == 0 {
		c.cancel(errCancelled) // no message waits for the call any more
	}
}

// handleAttemptEnd applies the outcome of a message's attempt and reports it to the policy.
func (r *Relay) handleAttemptEnd(msg *message, c *call, result *callResult) {
	policyEvent := decide.Event{Kind: decide.EvOutcome, Message: msg.num, Attempt: msg.attempts - 1,
		Outcome: result.outcome, RetryAfter: result.retryAfter,
		SlotsTaken: result.slotsTaken, TooManyConns: result.tooManyConns, Settled: result.settled || msg.ended,
		Elapsed: result.elapsed, Load: result.load}
	if c.ep != nil {
		policyEvent.Endpoint = c.ep.num
	}
	started := msg.call == c
	if started {
		msg.call = nil
		switch {
		case !msg.mayHaveRunAt.IsZero():
		case result.outcome.NeverRan(): // no attempt has run, so there is no unknown window
			msg.dedupWindowUnknown = false
		default:
			msg.mayHaveRunAt = msg.lastAttemptAt
		}
		if c.unfinished--; c.unfinished == 0 {
			r.callsInFlight--
			delete(c.ep.calls, c)
		}
	}
	if r.handedOver {
		r.forwardOutcome(msg, result)
		return
	}
	r.policyEvents = append(r.policyEvents, policyEvent)
	if result.outcome == decide.Delivered {
		r.log.Debug("delivered", "message", msg.rec.ID, "dest", msg.rec.Dest, "class", msg.rec.Class,
			"endpoint", policyEvent.Endpoint,
			"attempt", policyEvent.Attempt, "together", len(c.msgs), "lead", c.leadID(),
			"took_ms", result.elapsed/1000, "left_ms", r.remainingMS(msg))
	} else {
		r.log.Info("attempt", "message", msg.rec.ID, "dest", msg.rec.Dest, "class", msg.rec.Class,
			"endpoint", policyEvent.Endpoint,
			"attempt", policyEvent.Attempt, "together", len(c.msgs), "lead", c.leadID(), "outcome", int(result.outcome),
			"status", result.status, "took_ms", result.elapsed/1000,
			"conn_reused", result.priorCalls, "conn_idle_ms", result.connIdle.Milliseconds(),
			"err", result.err)
	}
	switch {
	case result.settled:
		r.wal.submit(&record{Kind: recordEnd, ID: msg.rec.ID, MayHaveRun: true}, nil)
	case started:
		r.wal.submit(&record{Kind: recordOutcome, ID: msg.rec.ID, MayHaveRun: !result.outcome.NeverRan()}, nil)
	}
	if result.settled && !msg.ended {
		msg.ended = true
		r.dropMessage(msg)
		r.rememberReply(msg, resp.OK)
		return
	}
	if msg.ended {
		delete(r.messages, msg.num)
	}
}
