package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
	"troutusher/internal/membership"
)

// An upgrade hands over from a running process, the predecessor, to a newly started one, the successor,
// without losing messages. The messages are in the predecessor's log, whose file the successor renames
// to one of its own. Everything that is not in the log goes over a Unix socket, as one JSON object a
// line. docs/design.md describes what happens if either process fails.

const (
	helloTimeout     = 500 * time.Millisecond // for the predecessor's first reply
	handOverTimeout  = 2 * time.Second        // for the predecessor's state and log to be handed over
	bindTimeout      = 5 * time.Second        // for the predecessor to free the listen address
	peerWriteTimeout = time.Second            // for writing one line to the other process
	lockPollInterval = 100 * time.Millisecond // between checks for slots of processes that have ended
	maxSocketPath    = 100                    // bytes; the system allows only a few more
)

// handoverMessage is one line between the two processes, with one of its fields set.
type handoverMessage struct {
	Hello        *handoverHello        `json:"hello,omitempty"`     // from the successor, and in reply from the predecessor
	Ready        bool                  `json:"take,omitempty"`      // from the successor: it is ready to take over
	State        *handoverState        `json:"estate,omitempty"`    // from the predecessor, in reply to Ready
	LogTaken     bool                  `json:"taken,omitempty"`     // from the successor: it owns the log now
	Outcome      *handoverOutcome      `json:"outcome,omitempty"`   // from the predecessor: of a call that it finished
	Cancel       string                `json:"cancel,omitempty"`    // from the successor: the message whose call to cancel
	Put          *handoverPut          `json:"put,omitempty"`       // from the predecessor: a message of one of its clients
	Reply        *handoverReply        `json:"answer,omitempty"`    // from the successor, to a Put
	ReplyWritten *handoverReplyWritten `json:"said,omitempty"`      // from the predecessor: whether the client got it
	Withdrawn    *handoverWithdrawal   `json:"withdrawn,omitempty"` // from the successor, to a ReplyWritten that asks for it
	Reload       bool                  `json:"reload,omitempty"`    // from the predecessor: it got the signal to reload
}

// handoverHello begins the exchange. PolicyNow and Clock are set by the predecessor, and ConfirmsWithdrawals by the
// successor.
type handoverHello struct {
	PolicyNow decide.Time `json:"now"` // time of the predecessor's policy, which the successor's continues
	// Clock is the reading of the predecessor's clock that PolicyNow belongs to. Earlier releases send
	// none; the times in their records are Unix microseconds.
	Clock clock.Reading `json:"clock,omitzero"`
	// ConfirmsWithdrawals: the successor confirms the withdrawal of a message. Earlier releases do not.
	ConfirmsWithdrawals bool `json:"confirms_withdrawals,omitempty"`
}

// handoverState is the predecessor's state that is not in its log.
type handoverState struct {
	LogName        string                     `json:"log"`   // file name of the predecessor's log
	EndpointIDs    map[decide.Endpoint]string `json:"names"` // by the predecessor's endpoint numbers
	PolicySnapshot *decide.Snapshot           `json:"memory"`
	Waits          map[string]decide.Time     `json:"waits"` // end of the waits that endpoints asked for, by endpoint id
	Calls          []inFlightCall             `json:"calls"`
}

// inFlightCall is one message of a call that the predecessor has in flight and finishes. Messages of
// the same call have the same Call number.
type inFlightCall struct {
	ID       string          `json:"id"`
	Endpoint decide.Endpoint `json:"endpoint"`
	Call     uint64          `json:"call"`
}

// handoverOutcome reports the outcome of an inFlightCall.
type handoverOutcome struct {
	ID           string         `json:"id"`
	Outcome      decide.Outcome `json:"what"`
	RetryAfter   decide.Time    `json:"wait,omitempty"`
	SlotsTaken   bool           `json:"slots,omitempty"`
	TooManyConns bool           `json:"crowded,omitempty"`
	Settled      bool           `json:"settled,omitempty"`
	Elapsed      decide.Time    `json:"took"`
	Load         decide.Load    `json:"load"`
	Status       int            `json:"status,omitempty"`
	Malformed    bool           `json:"spoilt,omitempty"`
	Err          string         `json:"err,omitempty"`
}

// peer is the connection to the other process of a hand-over.
type peer struct {
	conn        net.Conn
	outbox      *mailbox[handoverMessage]
	closed      chan struct{}          // closed when the connection has ended
	finish      chan struct{}          // closed when nothing more will be sent
	gone        bool                   // the other process is gone; used by the loop alone
	pendingPuts map[string]*putRequest // by id, those whose ReplyWritten has not arrived; used by the loop alone
	logClock    logClock               // clock of the instants in the records that it hands over
	// confirmsWithdrawals: a successor that sends a handoverWithdrawal when asked; used by the loop alone.
	confirmsWithdrawals bool
}

// newPeer starts reading and writing conn. It calls receive with each message of the other process,
// and with nil when the connection has ended.
func newPeer(conn net.Conn, receive func(*peer, *handoverMessage)) *peer {
	p := &peer{conn: conn, outbox: newMailbox[handoverMessage](),
		closed: make(chan struct{}), finish: make(chan struct{}),
		pendingPuts: map[string]*putRequest{}}
	go p.writeLoop()
	go func() {
		defer close(p.closed)
		defer conn.Close()
		for dec := json.NewDecoder(conn); ; {
			msg := &handoverMessage{}
			if dec.Decode(msg) != nil {
				receive(p, nil)
				return
			}
			receive(p, msg)
		}
	}()
	return p
}

// send queues a message for the other process.
func (p *peer) send(msg handoverMessage) { p.outbox.put(msg) }

// writeLoop writes the queued messages until the connection has ended or finish is closed. Reading goes on
// after a failed write, since what the other process sent before is still to be received; only a write
// timeout closes the connection.
func (p *peer) writeLoop() {
	var messages []handoverMessage
	enc := json.NewEncoder(p.conn)
	for finishing := false; ; {
		messages = p.outbox.takeAll(messages)
		for i := range messages {
			p.conn.SetWriteDeadline(clock.DeadlineIn(peerWriteTimeout))
			if err := enc.Encode(&messages[i]); err != nil {
				// The other process hangs, and part of a line may be written.
				if errors.Is(err, os.ErrDeadlineExceeded) {
					p.conn.Close()
				}
				return
			}
		}
		if len(messages) > 0 {
			continue
		}
		if finishing {
			p.conn.(*net.UnixConn).CloseWrite()
			return
		}
		select {
		case <-p.outbox.ready:
		case <-p.closed:
			return
		case <-p.finish:
			finishing = true
		}
	}
}

// handoverSocketPath returns the path of the socket on which processes with the same state folder find
// each other. It is empty if the path would be too long for a socket.
func handoverSocketPath(stateFolder string) string {
	if abs, err := filepath.Abs(stateFolder); err == nil {
		stateFolder = abs
	}
	path := filepath.Join(os.TempDir(), fmt.Sprintf("relay-%08x.sock", crc32.ChecksumIEEE([]byte(stateFolder))))
	if len(path) > maxSocketPath {
		return ""
	}
	return path
}

// dialPredecessor connects to a running process of this relay. It returns nil if there is none or it
// does not reply.
func (r *Relay) dialPredecessor() *peer {
	path := handoverSocketPath(r.cfg.StateFolder)
	if path == "" {
		return nil
	}
	conn, err := net.DialTimeout("unix", path, helloTimeout)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) && !errors.Is(err, syscall.ECONNREFUSED) {
			r.log.Warn("upgrade: cannot connect to a predecessor", "err", err)
		}
		return nil
	}
	p := newPeer(conn, func(p *peer, msg *handoverMessage) { r.inbox.put(event{peer: p, peerMessage: msg}) })
	p.send(handoverMessage{Hello: &handoverHello{ConfirmsWithdrawals: true}})
	msg := r.awaitMessage(p, helloTimeout)
	if msg == nil || msg.Hello == nil {
		r.log.Warn("upgrade: the predecessor does not reply; starting without a hand-over")
		p.conn.Close()
		return nil
	}
	r.adoptPolicyClock(msg.Hello)
	p.logClock = logClock{reading: msg.Hello.Clock, latest: msg.Hello.Clock.Now, unixTimes: !msg.Hello.Clock.Plausible()}
	r.log.Info("upgrade: connected to the predecessor", "its_clock", msg.Hello.PolicyNow)
	return p
}

// adoptPolicyClock sets the epoch so that the policy's time continues that of the predecessor's policy,
// in which the handed-over state is expressed.
func (r *Relay) adoptPolicyClock(hello *handoverHello) {
	now := clock.Read(r.clock)
	sentAt := now.Now // earlier releases do not report when they read it; take the present
	if hello.Clock.Convert(hello.Clock.Now, now).SameClock {
		sentAt = hello.Clock.Now
	}
	r.epoch = hello.PolicyNow - decide.Time(sentAt)
}

// awaitMessage waits for the next message of the other process. It returns nil if none arrives in time
// or the process is gone. It is used at startup, before the loop runs: other events that arrive
// meanwhile are handled, and those after the message stay in the inbox.
func (r *Relay) awaitMessage(p *peer, timeout time.Duration) *handoverMessage {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var batch []event
	for {
		select {
		case <-r.inbox.ready:
		case <-timer.C:
			return nil
		}
		batch = r.inbox.takeAll(batch)
		for i, ev := range batch {
			if ev.peer != p {
				r.handleEvent(ev)
				continue
			}
			for _, rest := range batch[i+1:] {
				r.inbox.put(rest)
			}
			p.gone = p.gone || ev.peerMessage == nil
			return ev.peerMessage
		}
	}
}

// takeOver takes over the predecessor's state and log. It returns nil if that fails; the predecessor
// then keeps both.
func (r *Relay) takeOver(p *peer, slots *logSlots) *handoverState {
	p.send(handoverMessage{Ready: true})
	var msg *handoverMessage
	if !p.gone {
		msg = r.awaitMessage(p, handOverTimeout)
	}
	if msg == nil || msg.State == nil {
		r.log.Error("upgrade: the predecessor does not hand over; serving beside it")
		p.conn.Close()
		return nil
	}
	state := msg.State
	path, err := slots.unusedPath()
	if err == nil {
		err = slots.folder.Rename(filepath.Join(slots.dir, filepath.Base(state.LogName)), path)
	}
	if err != nil {
		r.log.Error("upgrade: cannot take the predecessor's log; serving beside it", "err", err)
		p.conn.Close()
		return nil
	}
	p.send(handoverMessage{LogTaken: true})
	return state
}

// restoreHandover restores the predecessor's state: the policy's snapshot, the waits of endpoints and the
// calls in flight. It returns those calls by message id.
func (r *Relay) restoreHandover(state *handoverState, p *peer) map[string]*call {
	currentNum := func(old decide.Endpoint) decide.Endpoint {
		if id, ok := state.EndpointIDs[old]; ok {
			entry, _ := r.directory.Find(id)
			return decide.Endpoint(entry.Number)
		}
		return 0
	}
	if state.PolicySnapshot != nil {
		for i := range state.PolicySnapshot.Limiters {
			limiter := &state.PolicySnapshot.Limiters[i]
			for j := range limiter.Endpoints {
				entry := &limiter.Endpoints[j]
				entry.Endpoint = currentNum(entry.Endpoint)
				if listed, ok := r.directory.Get(membership.Number(entry.Endpoint)); ok {
					limiter.Dest = listed.Dest // earlier releases do not send it
				}
			}
			limiter.Endpoints = slices.DeleteFunc(limiter.Endpoints,
				func(entry decide.EndpointSnapshot) bool { return entry.Endpoint == 0 })
		}
		r.policyEvents = append(r.policyEvents, decide.Event{Kind: decide.EvSnapshot, Snapshot: state.PolicySnapshot})
	}
	for id, until := range state.Waits {
		if entry, ok := r.directory.Find(id); ok {
			ep := r.endpoint(decide.Endpoint(entry.Number))
			ep.waitUntil, ep.released = max(ep.waitUntil, until), true
			r.queueForget(ep)
		}
	}
	calls, byID := map[uint64]*call{}, map[string]*call{}
	for _, entry := range state.Calls {
		c := calls[entry.Call]
		if c == nil {
			ep := r.endpoint(currentNum(entry.Endpoint))
			if ep == nil { // no longer listed
				r.lastUnlistedNum++
				ep = &endpoint{num: unlistedEndpointBit | r.lastUnlistedNum, withdrawn: true, calls: map[*call]bool{}}
			}
			c = &call{ep: ep, committed: true, cancel: func(error) { p.send(handoverMessage{Cancel: entry.ID}) }}
			c.stage.Store(callSending)
			calls[entry.Call] = c
		}
		byID[entry.ID] = c
	}
	return byID
}

// acceptSuccessors listens for successor processes until ctx ends.
func (r *Relay) acceptSuccessors(ctx context.Context) {
	path := handoverSocketPath(r.cfg.StateFolder)
	if path == "" {
		r.log.Error("upgrade: TMPDIR is too long for a socket path; a successor will start without a hand-over")
		return
	}
	os.Remove(path) // left by a process that is gone or has handed over
	listener, err := net.Listen("unix", path)
	if err != nil {
		r.log.Error("upgrade: cannot listen for a successor; it will start without a hand-over", "err", err)
		return
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false) // by then the path may belong to the successor
	os.Chmod(path, 0o600)
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			sleep(ctx, 10*time.Millisecond)
			continue
		}
		newPeer(conn, func(p *peer, msg *handoverMessage) { r.inbox.put(event{peer: p, peerMessage: msg}) })
	}
}

// handlePeerMessage handles a message from another process; nil means that the process is gone.
func (r *Relay) handlePeerMessage(p *peer, msg *handoverMessage) {
	p.gone = p.gone || msg == nil
	switch {
	case p == r.predecessor && msg == nil:
		r.handlePredecessorGone()
	case p == r.predecessor:
		r.handlePredecessorMessage(msg)
	case msg == nil:
		if p == r.successor { // it ended before it took over
			r.log.Warn("upgrade: the successor is gone; continuing to serve")
			r.successor, r.successorReady = nil, false
			r.setOtherProcessRuns(false)
		}
	case msg.Hello != nil && r.successor == nil && r.stoppingSince.IsZero():
		r.log.Info("upgrade: a successor has connected")
		r.successor = p
		p.confirmsWithdrawals = msg.Hello.ConfirmsWithdrawals
		r.setOtherProcessRuns(true)
		reading := clock.Read(r.clock)
		p.send(handoverMessage{Hello: &handoverHello{PolicyNow: r.policyTime(reading.Now), Clock: reading}})
	case msg.Ready && p == r.successor:
		r.successorReady = true
	default:
		p.conn.Close()
	}
}

// handlePredecessorMessage handles a message of the predecessor about its remaining calls and clients.
func (r *Relay) handlePredecessorMessage(msg *handoverMessage) {
	switch {
	case msg.Outcome != nil:
		report := msg.Outcome
		if m := r.messagesByID[report.ID]; m != nil && m.call != nil && m.call.ctx == nil {
			result := &callResult{outcome: report.Outcome, retryAfter: report.RetryAfter, slotsTaken: report.SlotsTaken,
				tooManyConns: report.TooManyConns,
				settled:      report.Settled, elapsed: report.Elapsed, load: report.Load,
				status: report.Status, malformed: report.Malformed}
			if report.Err != "" {
				result.err = errors.New(report.Err)
			}
			r.handleCallResult(m.call, m, result)
		}
	case msg.Put != nil && msg.Put.Record != nil:
		r.admitForwarded(r.predecessor, msg.Put)
	case msg.Reload:
		go r.rereadConfig(r.reload)
	case msg.ReplyWritten != nil:
		r.forwardedReplyWritten(r.predecessor, msg.ReplyWritten)
	}
}

// handlePredecessorGone handles the end of the predecessor. Calls whose outcome it has not reported may
// have run.
func (r *Relay) handlePredecessorGone() {
	p := r.predecessor
	r.predecessor = nil
	unreported := 0
	for _, msg := range r.messages {
		if msg.call != nil && msg.call.ctx == nil {
			unreported++
			r.handleCallResult(msg.call, msg, &callResult{outcome: decide.Cancelled, err: errPredecessorGone})
		}
	}
	for _, req := range p.pendingPuts {
		// A client that was sent its reply may have received it, so the message counts as accepted.
		r.replyWritten(req, req.replied)
	}
	r.log.Info("upgrade: the predecessor has ended", "calls_unreported", unreported)
}

var errPredecessorGone = errors.New("the process that made the call is gone")

// setOtherProcessRuns records whether another process of this relay runs beside this one. While one
// does, the limits of the machine apply to both together, so this process uses half of them.
func (r *Relay) setOtherProcessRuns(runs bool) {
	r.otherProcessRuns = runs
	clients, endpoints := r.socketBudget()
	r.clients.reconfigure(r.cfg, clients)
	r.pool.configure(&r.cfg.Policy, endpoints)
	limit, commandMemory := memoryLimit(r.cfg), r.cfg.commandMemory()
	if runs {
		limit, commandMemory = limit/2, commandMemory/2
	}
	r.clients.limitCommandMemory(commandMemory)
	debug.SetMemoryLimit(limit)
	if runs {
		debug.FreeOSMemory()
	}
}

// socketBudget returns the configured numbers of sockets for clients and endpoints, halved while
// another process of this relay runs.
func (r *Relay) socketBudget() (clients, endpoints int) {
	clients, endpoints = r.cfg.socketBudget()
	if r.otherProcessRuns {
		return clients / 2, endpoints / 2
	}
	return clients, endpoints
}

// memoryLimit returns the Go runtime's memory limit in bytes: 70% of the configured memory. The rest is
// for files and stacks.
func memoryLimit(cfg *Config) int64 { return int64(cfg.Limits.MemoryMB) << 20 / 10 * 7 }

// handOver hands over to the successor. It reports false if the successor did not take over; this
// process then goes on as before.
func (r *Relay) handOver(listener *net.TCPListener) bool {
	p := r.successor
	r.successorReady = false
	began := r.clock.Now()
	r.log.Info("upgrade: handing over", "held", r.heldCount, "calls", r.callsInFlight)
	listener.SetDeadline(clock.ExpiredDeadline)
	timeout := time.NewTimer(handOverTimeout)
	defer timeout.Stop()
	// Events that wait until the hand-over has ended, in their order. Among them are the withdrawals of messages
	// that are deferred too.
	var deferred, batch []event
	logTaken, gone := false, false
	waitUntil := func(done func() bool) bool {
		for !done() && !gone {
			select {
			case <-r.inbox.ready:
			case <-timeout.C:
				return false
			}
			batch = r.inbox.takeAll(batch)
			for _, ev := range batch {
				switch {
				case ev.replied != nil && r.unanswered[ev.replied] != nil || ev.unlogged != nil:
					r.handleEvent(ev)
				case ev.peer == p && ev.peerMessage == nil:
					gone = true
				case ev.peer == p:
					logTaken = logTaken || ev.peerMessage.LogTaken
				default:
					deferred = append(deferred, ev)
				}
			}
		}
		return done()
	}
	ok := waitUntil(func() bool { return len(r.unanswered) == 0 })
	if ok {
		r.wal.halt()
		if ok = r.wal.complete(); !ok { // the successor would miss records that exist only in memory
			r.wal.reopen()
		}
	}
	if ok {
		p.send(handoverMessage{State: r.collectHandoverState()})
		if ok = waitUntil(func() bool { return logTaken }); !ok {
			switch err := r.wal.renameAndReopen(); {
			case errors.Is(err, fs.ErrNotExist): // its LogTaken did not arrive, but it has the log
				ok = true
			case err != nil:
				r.log.Error("upgrade: cannot reopen the log after a failed hand-over", "err", err)
				ok = true // the next process recovers the log
			}
		}
	}
	if !ok {
		r.log.Error("upgrade: the successor did not take over; continuing to serve", "gone", gone,
			"waiting", len(r.unanswered))
		listener.SetDeadline(time.Time{})
		p.conn.Close()
		r.successor = nil
		r.setOtherProcessRuns(false)
	} else {
		r.handedOver = true
		r.log.Info("upgrade: handed over", "took_ms", clock.Since(r.clock, began).Milliseconds(), "calls", r.callsInFlight)
	}
	for _, ev := range deferred {
		r.inbox.put(ev)
	}
	if gone && ok {
		r.inbox.put(event{peer: p})
	}
	return ok
}

// collectHandoverState returns the state to hand over that is not in the log.
func (r *Relay) collectHandoverState() *handoverState {
	state := &handoverState{LogName: filepath.Base(r.wal.path), EndpointIDs: map[decide.Endpoint]string{},
		PolicySnapshot: r.policy.Snapshot(),
		Waits:          map[string]decide.Time{}}
	for _, limiter := range state.PolicySnapshot.Limiters {
		for _, saved := range limiter.Endpoints {
			state.EndpointIDs[saved.Endpoint], _ = r.directory.Text(membership.Number(saved.Endpoint))
		}
	}
	for num, ep := range r.endpoints {
		state.EndpointIDs[num] = ep.id
		if ep.waitUntil > r.now() {
			state.Waits[ep.id] = ep.waitUntil
		}
	}
	calls := map[*call]uint64{}
	for _, msg := range r.messages {
		if msg.call == nil || msg.ended {
			continue
		}
		if calls[msg.call] == 0 {
			calls[msg.call] = uint64(len(calls) + 1)
		}
		state.Calls = append(state.Calls, inFlightCall{msg.rec.ID, msg.call.ep.num, calls[msg.call]})
	}
	slices.SortFunc(state.Calls, func(a, b inFlightCall) int { return int(a.Call) - int(b.Call) })
	return state
}

// finishAfterHandover is the event loop of a process that has handed over. It reports the outcomes of
// its calls in flight and passes messages of its remaining clients to the successor. It returns when it
// has neither calls nor clients, or at exitAfter after a stop. Once the successor is gone nobody takes
// the outcomes, so it then returns as soon as it has no clients, with calls still in flight.
func (r *Relay) finishAfterHandover() {
	r.clients.handOver()
	r.pool.configure(&r.cfg.Policy, r.callsInFlight+1)
	r.pool.sweep(func(*poolConn) bool { return true })
	debug.FreeOSMemory()
	byID := map[string]*message{}
	for _, msg := range r.messages {
		byID[msg.rec.ID] = msg
	}
	forwarded := newForwardedPuts(r.successor)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	var batch []event
	reading := true
	for {
		select {
		case <-r.inbox.ready:
		case <-tick.C:
		}
		batch = r.inbox.takeAll(batch)
		for _, ev := range batch {
			switch {
			case ev.submitted != nil:
				forwarded.submit(ev.submitted)
			case ev.replied != nil:
				forwarded.replyWritten(ev.replied, ev.ok)
			case ev.peer == r.successor && ev.peerMessage == nil:
				r.log.Error("upgrade: the successor is gone after it took over", "unsettled", forwarded.count())
				forwarded.successorGone()
			case ev.peer == r.successor && ev.peerMessage.Reply != nil:
				forwarded.replyReceived(ev.peerMessage.Reply.ID, ev.peerMessage.Reply.Reply)
			case ev.peer == r.successor && ev.peerMessage.Withdrawn != nil:
				forwarded.withdrawalConfirmed(ev.peerMessage.Withdrawn.ID, ev.peerMessage.Withdrawn.Reply)
			case ev.peer == r.successor && ev.peerMessage.Cancel != "":
				if msg := byID[ev.peerMessage.Cancel]; msg != nil && msg.call != nil {
					msg.call.cancel(errCancelled)
				}
			case ev.peer != nil:
				ev.peer.conn.Close()
			case ev.config != nil: // the signal was meant for the relay, which the successor is now
				r.successor.send(handoverMessage{Reload: true})
			case ev.stop:
				r.stoppingSince = r.clock.Now()
			case ev.update != nil || ev.drainAnnounced:
				// A call that waits for a connection must not start at a draining endpoint.
				r.handleEvent(ev)
				r.applyAllChanges()
				r.policyEvents = nil
			case ev.unsent != nil || ev.call != nil:
				r.handleEvent(ev)
			}
		}
		if reading && !r.stoppingSince.IsZero() && clock.Since(r.clock, r.stoppingSince) >= stopReadingAfter {
			reading = false
			r.clients.stopReadingAll()
		}
		timedOut := !r.stoppingSince.IsZero() && clock.Since(r.clock, r.stoppingSince) >= exitAfter
		if openClients := r.clients.count(); timedOut ||
			(r.callsInFlight == 0 || forwarded.gone) && forwarded.count() == 0 && openClients == 0 {
			r.log.Info("upgrade: finished after hand-over", "calls", r.callsInFlight, "clients", openClients)
			r.successor.flush()
			return
		}
	}
}

// flush ends the connection after all queued messages are written, and returns when the other process
// has closed its end too, or after a timeout.
func (p *peer) flush() {
	close(p.finish)
	select {
	case <-p.closed:
	case <-time.After(peerWriteTimeout):
	}
}

// forwardOutcome reports the outcome of an attempt to the successor, which owns the message now.
func (r *Relay) forwardOutcome(msg *message, result *callResult) {
	report := &handoverOutcome{ID: msg.rec.ID, Outcome: result.outcome, RetryAfter: result.retryAfter,
		SlotsTaken: result.slotsTaken, TooManyConns: result.tooManyConns, Settled: result.settled, Elapsed: result.elapsed,
		Load: result.load, Status: result.status, Malformed: result.malformed}
	if result.err != nil {
		report.Err = result.err.Error()
	}
	r.successor.send(handoverMessage{Outcome: report})
}

// adoptOrphanedLogs takes over the logs of other processes as those end, until none runs or ctx ends.
// Logs that cannot be read are retried.
func (r *Relay) adoptOrphanedLogs(ctx context.Context, slots *logSlots) {
	unreadable := false
	for len(slots.otherSlots) > 0 && ctx.Err() == nil {
		sleep(ctx, lockPollInterval)
		var unread []int
		for slot, lock := slots.lockFreedSlot(); slot >= 0; slot, lock = slots.lockFreedSlot() {
			err := r.wal.adoptSlot(slot, lock, func(pending []*record) { r.inbox.put(event{recovered: pending}) })
			if err == nil {
				continue
			}
			lock.Close()
			unread = append(unread, slot)
			if !unreadable {
				r.log.Error("log: cannot read the log of another process", "slot", slot, "err", err)
			}
		}
		unreadable = len(unread) > 0
		slots.otherSlots = append(slots.otherSlots, unread...)
		r.wal.otherLogsBytes.Store(slots.otherLogsBytes())
	}
	r.inbox.put(event{soleProcess: true})
}

// listen returns the clients' listener: the socket that the platform passes by ROUTER_SOCKET_FD, if any,
// otherwise a new one. With retryInUse it waits for an address that the predecessor still holds.
func listen(cfg *Config, retryInUse bool, clk clock.Clock, log *slog.Logger) (*net.TCPListener, error) {
	if cfg.SocketFD >= 0 {
		file := os.NewFile(uintptr(cfg.SocketFD), "clients")
		if file == nil {
			return nil, fmt.Errorf("listen: ROUTER_SOCKET_FD: %d is not a valid file descriptor", cfg.SocketFD)
		}
		defer file.Close() // FileListener has duplicated the descriptor
		listener, err := net.FileListener(file)
		if err != nil {
			return nil, fmt.Errorf("listen: ROUTER_SOCKET_FD: %w", err)
		}
		tcpListener, ok := listener.(*net.TCPListener)
		if !ok {
			listener.Close()
			return nil, fmt.Errorf("listen: ROUTER_SOCKET_FD: %s is not TCP", listener.Addr().Network())
		}
		if tcpListener.Addr().String() != cfg.ListenAddr {
			log.Warn("the socket of ROUTER_SOCKET_FD is not bound to the configured listen address",
				"socket", tcpListener.Addr().String(), "listen", cfg.ListenAddr)
		}
		return tcpListener, nil
	}
	for deadline := clk.Now().Add(bindTimeout); ; time.Sleep(5 * time.Millisecond) {
		listener, err := net.Listen("tcp", cfg.ListenAddr)
		if err == nil {
			return listener.(*net.TCPListener), nil
		}
		if !retryInUse || !errors.Is(err, syscall.EADDRINUSE) || clk.Now() > deadline {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
}
