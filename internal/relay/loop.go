// Package relay is the real relay round package decide: clients, endpoints,
// discovery and the log on one side, the policy on the other. It decides
// nothing; the policy does.
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

// Figures of a planned end. A relay has 3.7 s from SIGTERM until it is killed.
const (
	stopListen = 1000 * time.Millisecond // new connections still come for a while
	stopUnsafe = 1200 * time.Millisecond // no unsafe call begins after this: cut short, it would be lost
	stopSends  = 2200 * time.Millisecond // no call at all
	stopReads  = 3100 * time.Millisecond // no more is read of what clients send
	stopCalls  = 3300 * time.Millisecond // what is out by then stays open in the log
	stopRetry  = 400                     // ms after which a client may come again, to another relay
	firstList  = 1500 * time.Millisecond // how long the start waits for discovery
	firstNews  = 300 * time.Millisecond  // the same where a list is known: clients have waited enough
	forgetGone = decide.Time(10e6)       // how long an endpoint that left is remembered
	// policyEpoch is the policy's time at the clock's origin. Whatever an earlier process left lies
	// behind it, and the policy knows no time below one.
	policyEpoch = decide.Time(1 << 45)
)

// message is what the loop knows of a message from when it is handed in until
// it is over and its last call is back.
type message struct {
	num              uint32
	rec              *record
	req              *putRequest // until it is answered
	acknowledged     bool        // its client knows that it is taken on
	logged           bool        // the log has it, or will
	over             bool        // the policy has ended it, or was told so
	tries            int
	sent             clock.Instant // its last attempt
	doubt            clock.Instant // the first attempt that may have run; zero for none
	until            decide.Time   // when its last send times out
	windowUnknown    bool          // an earlier process made the attempt that may have run, and its time is not known
	pending          *call         // waits for the clients of all its messages to have heard
	ending           *record       // its end, likewise
	call             *call         // out
	cancelling       bool          // the policy has called its attempt off in this step
	recoveredUntried bool          // by this start, taken on and never tried, and neither called nor ended since
}

// repeatBy is the moment from which a message may not be sent again, since an attempt
// that may have run is longer ago than repeats are dropped; zero for never.
func (m *message) repeatBy() clock.Instant {
	c := m.rec.Rules
	switch {
	case m.doubt.IsZero() || c == nil || c.Repeat != decide.Keyed:
		return 0
	case m.windowUnknown:
		return 1
	}
	return m.doubt + clock.Instant(c.DedupWindow)
}

// windowClosed gives the latest moment, in the policy's time, of an attempt whose window for
// repeats is over by now.
func windowClosed(rules *decide.Class, now decide.Time) decide.Time {
	return max(now-rules.DedupWindow, 1)
}

// event is something that the loop is told.
type event struct {
	submitted   *putRequest
	replied     *putRequest        // with ok
	unlogged    *putRequest        // the log could not take it
	update      *membership.Update // a list that was read whole
	drains      bool               // a list being read says that endpoints drain
	config      *Config            // a new one
	call        *call              // with result; of msg alone, where that is set
	msg         *message
	peer        *peer // another process of this relay says hand, or is gone
	line        *handoverMessage
	recovered   []*record   // left by a process that has ended
	soleProcess bool        // no other process of this relay runs any more
	forwarded   *putRequest // answered with reply, by way of another process
	reply       string
	unsent      *message // its attempt did not leave; with call and result
	probed      decide.Endpoint
	result      *callResult
	ok          bool
	stop        bool
	log         logState // it has changed
}

// Relay is one running relay.
type Relay struct {
	cfg            *Config
	log            *slog.Logger
	policy         *decide.Policy
	in             *mailbox[event]
	wal            *wal
	notices        *notices
	discovery      *discovery
	agent          string // the address that both of them use
	clock          clock.Clock
	epoch          decide.Time // the policy's time at the clock's origin
	lastNum        uint32
	madeUp         decide.Endpoint // the last number made up
	lastCall       uint64
	msgs           map[uint32]*message
	ids            map[string]*message
	past           endedReplies
	waiting        map[*putRequest]*message // whose clients have no answer yet
	directory      *membership.Directory
	applying       *membership.Update // a list that is being put in force
	turn           timeSlice
	changes        []membership.Change
	view           []membership.Endpoint
	drains         atomic.Bool
	endpoints      map[decide.Endpoint]*endpoint // those that something is known or out of
	leaving        []*endpoint
	events         []decide.Event
	actions        []decide.Action
	forming        []*call    // of the step that is carried out
	off            []*message // called off in it
	timers         timers
	held           int
	calls          int
	stopAt         clock.Instant
	pool           *pool
	clients        *clients
	predecessor    *peer // an old process that carries its last calls and clients for this one
	successor      *peer // a new process that is to take over, or has
	successorReady bool  // the successor is ready
	handedOver     bool  // it has taken over
	sharing        bool  // another process runs beside this one
	untried        untried
	outages        map[string]decide.OutageMemory // found by this start, of endpoints that no list has named yet
	reload         Reload
	ctx            context.Context

	listener   *net.TCPListener
	listenErr  error // why there is none, where it was to be opened early
	recovering bool  // the state folder has not been read yet
	logFails   bool  // nothing can be written to it
}

// untried counts what this process found taken on and never tried: what was taken on
// is to be tried, through restarts too.
type untried struct{ found, called, ended int }

// logUntried logs it once there is nothing open of it, and at the end of the process.
func (r *Relay) logUntried(last bool) {
	u := r.untried
	if open := u.found - u.called - u.ended; u.found > 0 && (open == 0 || last) {
		r.log.Info("resumed untried", "found", u.found, "called", u.called, "ended_without", u.ended, "open", open)
	}
}

func (r *Relay) now() decide.Time { return r.policyTime(r.clock.Now()) }

// policyTime gives a moment as the policy's time.
func (r *Relay) policyTime(t clock.Instant) decide.Time { return decide.Time(t) + r.epoch }

// instant gives the moment of the policy's time.
func (r *Relay) instant(t decide.Time) clock.Instant { return clock.Instant(t - r.epoch) }

// Run serves until stop is closed and the end is made, or something fails that
// a relay cannot go on without. It tells the time by clk.
func Run(cfg *Config, clk clock.Clock, log *slog.Logger, stop <-chan struct{}, re Reload) error {
	policy, err := decide.New(cfg.Policy, cfg.Seed)
	if err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &Relay{cfg: cfg, log: log, policy: policy, in: newMailbox[event](), clock: clk, epoch: policyEpoch, ctx: ctx,
		msgs: map[uint32]*message{}, ids: map[string]*message{}, waiting: map[*putRequest]*message{},
		endpoints: map[decide.Endpoint]*endpoint{}, directory: cfg.Known}
	if cfg.KnownErr != nil {
		log.Error("the list in the configuration is not taken", "err", cfg.KnownErr)
	}
	if r.directory == nil {
		r.directory = membership.NewDirectory(directoryLimit(&cfg.Limits))
	}
	policy.Use(r)
	r.pool = newPool(clk, 0, 0, 0)
	go r.pool.run(ctx)
	r.clients = newClients(cfg, clk, log, func(q *putRequest) { r.in.put(event{submitted: q}) },
		func(q *putRequest, ok bool) { r.in.put(event{replied: q, ok: ok}) })
	if cfg.Ops != "" {
		go serveOperatorPort(ctx, cfg.Ops, r.clients.operatorCalls(), clk, log)
	}
	go func() {
		<-stop
		r.in.put(event{stop: true})
	}()
	defer func() {
		if r.listener != nil {
			r.listener.Close()
		}
	}()
	var held *logs
	if !r.whenFolderWorks(func() (err error) {
		held, err = holdLogs(cfg.logFolder(), cfg.State)
		return err
	}) {
		return nil
	}
	defer held.release()
	r.share(len(held.foreign) > 0)
	predecessor := r.dialPredecessor()
	known := int64(-1)
	if n, _ := r.directory.Len(); n > 0 {
		known = r.directory.Revision()
	}
	r.discovery = newDiscovery(cfg.Discovery, cfg.Policy.Relays, known, clk, log, r.beginList)
	r.discovery.reopenGrace = time.Duration(cfg.Policy.DrainGrace) * time.Microsecond / 2
	r.notices = newNotices(cfg.Discovery, clk, log, func(id string) { r.wal.submit(&record{Kind: recEnd, ID: id}, nil) })
	r.agent, r.reload = cfg.Discovery, re
	go r.discovery.run(ctx)
	go r.follow(ctx, re)
	r.firstList(known >= 0)

	var out map[string]*call // that the old process carries
	if predecessor != nil {
		if e := r.takeOver(predecessor, held); e != nil {
			out = r.restoreHandover(e, predecessor)
			r.predecessor = predecessor
			go func() { // the old process may have been told of a newer one meanwhile
				if again, err := re.Read(); err == nil && !reflect.DeepEqual(again.text, cfg.text) {
					r.in.put(event{config: again})
				}
			}()
		}
	}
	var owed []*record
	if !r.whenFolderWorks(func() (err error) {
		r.wal, owed, err = openWAL(held, int64(cfg.Limits.DiskMB)<<20, func(id string) bool { return out[id] != nil }, clk, log)
		return err
	}) {
		return nil
	}
	r.watchLog()
	r.wal.start()
	defer func() {
		if !r.handedOver {
			r.wal.halt()
		}
	}()
	go r.notices.run(ctx)
	r.rememberEnded(r.wal.ended())
	if len(out) == 0 && r.predecessor == nil { // an old process that hands over tells more
		r.resumeOutages(r.wal.outages())
	}
	r.restore(owed, out)
	r.recovering = false
	r.step()
	ln, err := r.open()
	if err != nil {
		return err
	}
	go r.acceptSuccessors(ctx)
	go r.watchLogs(ctx, held)
	endpoints, destinations := r.directory.Len()
	log.Info("ready", "name", cfg.Name, "listen", ln.Addr().String(), "endpoints", endpoints, "destinations", destinations, "owed", len(owed),
		"out", len(out), "beside_another", r.sharing)
	r.loop(ln)
	return nil
}

// firstList waits a while for the whole list: the one in the configuration may
// be old, and an endpoint that drained since must not be sent to. Where
// discovery is silent the old one has to do.
func (r *Relay) firstList(known bool) {
	wait := firstList
	if known {
		wait = firstNews
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	var got []event
	for heard := false; ; {
		select {
		case <-r.in.ready:
			got = r.in.takeAll(got)
			for _, h := range got {
				r.take(h)
				heard = heard || h.update != nil
			}
			r.applyAllChanges()
			if heard {
				return
			}
		case <-limit.C:
			r.log.Warn("discovery is silent: the list in the configuration is used")
			return
		}
	}
}

// restore takes up what an earlier process left owed. What is in out has a call
// that this process carries on with.
func (r *Relay) restore(owed []*record, out map[string]*call) {
	for _, rec := range owed {
		if r.ids[rec.ID] != nil {
			continue // one owner per id
		}
		m := r.newMessage(rec)
		m.acknowledged, m.logged, m.tries, m.sent, m.doubt = true, true, rec.Tries, rec.Out, rec.Doubt
		m.windowUnknown = rec.WindowUnknown
		if rec.Notice != "" {
			m.over = true
			r.drop(m)
			r.notices.unconfirmed.Add(1)
			r.notices.incoming.put(notice{rec.ID, rec.Notice, rec.RetryMS, rec.Deadline})
			continue
		}
		if rec.Rules == nil { // written before logs kept them
			if class, ok := r.cfg.classes[rec.Class]; ok {
				rec.Rules, rec.Most = &r.cfg.Policy.Classes[class], r.cfg.Policy.MaxAttempts
			} else { // nothing is known of its effect
				m.over = true
				r.drop(m)
				r.end(m, noticeGivenUp, 0)
				continue
			}
		}
		e := decide.Event{Kind: decide.EvMessage, Message: m.num, Dest: rec.Dest, Tenant: -1, Rules: rec.Rules, Most: rec.Most,
			Left: r.policyTime(rec.Deadline) - r.now(), Tries: rec.Tries, DoubtIn: rec.DoubtIn}
		if rec.DoubtZone != "" {
			if e.DoubtIn = indexOf(r.cfg.zones, rec.DoubtZone); e.DoubtIn < 0 {
				e.DoubtIn-- // a zone that is no more, and that of no endpoint
			}
		}
		r.directory.AddDestination(rec.Dest) // once, or it would not have been taken on
		if t, ok := r.cfg.tenants[rec.Tenant]; ok {
			e.Tenant = t
		}
		if rec.Doubt != 0 {
			e.DoubtAt = r.policyTime(rec.Doubt)
			if rec.WindowUnknown {
				e.DoubtAt = windowClosed(rec.Rules, r.now())
			}
		}
		if c := out[rec.ID]; c != nil {
			m.call = c
			c.msgs = append(c.msgs, m)
			if c.unfinished++; c.unfinished == 1 {
				c.ep.calls[c] = true
				r.calls++
				r.lastCall++
				c.restoredNum = r.lastCall
			}
			e.OutOn, e.OutAt, e.Call = c.ep.num, r.policyTime(rec.Out), c.restoredNum
		} else if m.recoveredUntried = rec.Tries == 0; m.recoveredUntried {
			r.untried.found++
		}
		r.events = append(r.events, e)
		r.log.Info("resumed", "message", rec.ID, "class", rec.Class, "tries", rec.Tries,
			"may_have_run", rec.Doubt != 0, "out", m.call != nil, "left", time.Duration(e.Left)*time.Microsecond)
	}
}

func (r *Relay) newMessage(rec *record) *message {
	r.lastNum++
	m := &message{num: r.lastNum, rec: rec}
	r.msgs[m.num], r.ids[rec.ID] = m, m
	r.held++
	return m
}

// loop is the one goroutine that the policy belongs to: it drains what has
// happened, steps the policy, and carries out what it says.
func (r *Relay) loop(ln *net.TCPListener) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	listening, reading := true, true
	var got []event
	for {
		wait := time.Hour
		if at := r.timers.next(); at > 0 {
			wait = time.Duration(at-r.now()+1) * time.Microsecond
		}
		if !r.stopAt.IsZero() {
			wait = min(wait, 20*time.Millisecond)
		}
		if r.applying != nil {
			if wait = 0; r.turn.expired(r.clock.Now()) {
				wait = listPause
			}
		}
		timer.Reset(max(wait, 0))
		select {
		case <-r.in.ready:
		case <-timer.C:
		}
		got = r.in.takeAll(got)
		for i := range got {
			r.take(got[i])
		}
		if r.applying != nil {
			r.applyNextChanges()
		}
		if r.timers.due(r.now()) {
			r.events = append(r.events, decide.Event{Kind: decide.EvTimer})
		}
		if len(r.events) > 0 {
			r.step()
		}
		if r.successorReady && r.handOver(ln) {
			ln.Close()
			r.finishAfterHandover()
			return
		}
		if r.stopAt.IsZero() {
			continue
		}
		gone := clock.Since(r.clock, r.stopAt)
		if listening && gone >= stopListen {
			listening = false
			ln.Close()
		}
		if reading && gone >= stopReads {
			reading = false
			r.clients.stopReadingAll()
		}
		// A client may have written its request, or half of it, as its connection was to
		// go, and an answer may be given but not written; a notice may not have arrived.
		idle := len(r.waiting) == 0 && r.calls == 0 && (r.held == 0 || gone >= stopSends) &&
			r.clients.count() == 0 && r.notices.unconfirmed.Load() == 0
		if !listening && idle || gone >= stopCalls {
			r.logUntried(true)
			r.log.Info("stopped", "held", r.held, "calls", r.calls)
			return
		}
	}
}

// tooLateToSend reports whether a call of a message is no longer begun, since the
// process will not be there for its end. The policy goes on to hold it to be
// out; the next process takes the message up from the log.
func (r *Relay) tooLateToSend(m *message) bool {
	if r.stopAt.IsZero() {
		return false
	}
	last := stopSends
	if m.rec.Rules.Repeat == decide.Unsafe {
		last = stopUnsafe
	}
	return clock.Since(r.clock, r.stopAt) >= last
}

// take books one event and says it in the policy's words.
func (r *Relay) take(h event) {
	switch {
	case h.submitted != nil:
		r.admit(h.submitted)
	case h.replied != nil:
		r.replyWritten(h.replied, h.ok)
	case h.unlogged != nil:
		r.notLogged(h.unlogged)
	case h.update != nil:
		r.startListUpdate(h.update)
	case h.drains:
		r.applyDrains()
	case h.config != nil:
		r.reconfigure(h.config)
	case h.peer != nil:
		r.peerSaid(h.peer, h.line)
	case h.recovered != nil:
		r.restore(h.recovered, nil)
	case h.soleProcess:
		r.share(false)
	case h.log != logUnchanged:
		r.logChanged(h.log)
	case h.forwarded != nil:
		h.forwarded.replied = true
		if h.reply != resp.OK && r.predecessor != nil {
			delete(r.predecessor.puts, h.forwarded.record.ID)
		}
	case h.stop && r.stopAt.IsZero():
		r.stopAt = r.clock.Now()
		r.log.Info("stopping", "held", r.held, "calls", r.calls)
		r.clients.shutDown()
	case h.unsent != nil:
		r.finished(h.unsent, h.call, h.result)
	case h.call != nil:
		r.returned(h.call, h.msg, h.result)
	case h.probed != 0:
		r.events = append(r.events, decide.Event{Kind: decide.EvProbed, Endpoint: h.probed,
			Outcome: h.result.outcome, Took: h.result.elapsed, Load: h.result.load})
	}
}

// admit shows a message to the policy. Whether it is taken on shows in the
// step: what the policy ends there is refused with no further ado.
func (r *Relay) admit(q *putRequest) {
	switch old := r.ids[q.record.ID]; {
	case !r.stopAt.IsZero():
		q.sendReply(resp.Busy(stopRetry))
		return
	case r.recovering: // it may be ours already
		q.sendReply(resp.Busy(logRetry))
		return
	case old != nil && old.acknowledged: // it is ours already
		q.sendReply(resp.OK)
		return
	case old != nil:
		q.sendReply(resp.Error(errors.New("id is being handed in already")))
		return
	case r.past.reply(q.record.ID) != "": // it was ours: sent once more it could run again
		q.sendReply(r.past.reply(q.record.ID))
		return
	case !r.directory.Knows(q.record.Dest):
		// It would be held for nothing. One whose endpoints are only gone for now
		// has been named.
		q.sendReply(resp.Error(fmt.Errorf("dest: no list names %d", q.record.Dest)))
		return
	case r.cfg.Policy.MaxHeld > 0 && r.held >= r.cfg.Policy.MaxHeld:
		q.sendReply(resp.Busy(0))
		return
	case r.logFails:
		q.sendReply(resp.Busy(logRetry))
		return
	}
	// It was read under the settings of that moment; those of this one bind.
	class, ok := r.cfg.classes[q.record.Class]
	if !ok {
		q.sendReply(resp.Error(fmt.Errorf("c: unknown class %q", q.record.Class)))
		return
	}
	q.record.Rules, q.record.Most = &r.cfg.Policy.Classes[class], r.cfg.Policy.MaxAttempts
	tenant := -1
	if t, ok := r.cfg.tenants[q.record.Tenant]; ok {
		tenant = t
	}
	m := r.newMessage(q.record)
	m.req = q
	r.waiting[q] = m
	r.events = append(r.events, decide.Event{Kind: decide.EvMessage, Message: m.num, Class: class,
		Dest: q.record.Dest, Tenant: tenant, Left: r.policyTime(q.record.Deadline) - r.now()})
}

// replyWritten: the client has its answer, or left before it.
func (r *Relay) replyWritten(q *putRequest, ok bool) {
	m := r.waiting[q]
	if m == nil {
		return
	}
	delete(r.waiting, q)
	if !ok {
		r.withdraw(m)
		return
	}
	m.acknowledged = true
	r.log.Debug("taken", "message", m.rec.ID, "class", m.rec.Class, "dest", m.rec.Dest, "left_ms", r.leftMS(m))
	if c := m.pending; c != nil {
		r.launch(c)
	}
	if e := m.ending; e != nil {
		m.ending = nil
		r.end(m, e.Notice, e.RetryMS)
	}
}

// notLogged: the message could not be logged, so it is not taken on.
func (r *Relay) notLogged(q *putRequest) {
	if m := r.waiting[q]; m != nil {
		delete(r.waiting, q)
		r.withdraw(m)
	}
	q.sendReply(resp.Busy(logRetry))
}

// withdraw: nobody wants the message any more, and nobody was told it is ours.
func (r *Relay) withdraw(m *message) {
	if m.logged {
		r.wal.submit(&record{Kind: recEnd, ID: m.rec.ID}, nil)
	}
	m.ending = nil
	if !m.over {
		m.over = true
		r.drop(m)
		r.events = append(r.events, decide.Event{Kind: decide.EvWithdraw, Message: m.num})
	}
	if m.pending != nil {
		r.pull(m)
	}
}

// drop: the policy holds the message no longer.
func (r *Relay) drop(m *message) {
	r.held--
	delete(r.ids, m.rec.ID)
	if m.call == nil && m.pending == nil {
		delete(r.msgs, m.num)
	}
}

// endedReplies holds the answers to messages that were taken on and are over, should
// one be handed in once more under the same id: by a client whose connection
// broke, or by a peer that repeats what it has seen. None is forgotten before a
// turn has passed since its end.
type endedReplies struct {
	fresh, old map[string]string
	turnedAt   decide.Time
}

func (p *endedReplies) add(id, reply string, now, turn decide.Time) {
	if p.fresh == nil || now-p.turnedAt >= turn {
		p.fresh, p.old, p.turnedAt = map[string]string{}, p.fresh, now
	}
	p.fresh[id] = reply
}

// reply is empty where the id is not known.
func (p *endedReplies) reply(id string) string { return cmp.Or(p.fresh[id], p.old[id]) }

// remember keeps how a message ended, for as long as any message may live.
func (r *Relay) remember(m *message, reply string) {
	turn := decide.Time(0)
	for _, c := range r.cfg.Policy.Classes {
		turn = max(turn, c.Deadline)
	}
	r.past.add(m.rec.ID, reply, r.now(), turn)
}

// rememberEnded takes up which messages have ended under an earlier process.
func (r *Relay) rememberEnded(ended []*record) {
	for _, rec := range ended {
		reply := resp.OK
		switch rec.Notice {
		case noticeHandedBack:
			reply = resp.Busy(rec.RetryMS)
		case noticeGivenUp:
			reply = resp.Error(errors.New("given up"))
		}
		r.remember(&message{rec: rec}, reply)
	}
}

// step lets the policy decide on what has happened, and acts.
func (r *Relay) step() {
	events := r.events
	r.events = nil
	fresh := make([]*message, 0, len(events))
	for i := range events {
		if events[i].Kind == decide.EvMessage {
			if m := r.msgs[events[i].Message]; m != nil && m.req != nil {
				fresh = append(fresh, m)
			}
		}
	}
	now := r.now()
	r.actions = r.policy.Step(now, events, r.actions[:0])
	// First the ends, so that what was never taken on is not logged; then the
	// log, so that no send comes before it.
	for i := range r.actions {
		switch a := &r.actions[i]; a.Kind {
		case decide.ActRefuse:
			r.ended(a, noticeHandedBack)
		case decide.ActFail:
			r.ended(a, noticeGivenUp)
		}
	}
	for _, m := range fresh {
		if m.req != nil && !m.over {
			r.takeOn(m)
		}
	}
	for i := range r.actions {
		r.act(now, &r.actions[i])
	}
	r.gathered()
}

// gathered ends the calls that no message wants any more, and makes those that
// the step has formed.
func (r *Relay) gathered() {
	for _, m := range r.off {
		if m.call != nil {
			r.callOff(m.call, m)
		}
	}
	for _, c := range r.forming {
		r.launch(c)
	}
	clear(r.off)
	clear(r.forming)
	r.off, r.forming = r.off[:0], r.forming[:0]
}

// takeOn logs a message; its client hears of it once that is done.
func (r *Relay) takeOn(m *message) {
	q := m.req
	m.req, m.logged = nil, true
	m.rec.At = r.clock.Now()
	r.wal.submit(m.rec, func(err error) {
		if err != nil {
			r.in.put(event{unlogged: q})
			return
		}
		q.sendReply(resp.OK)
	})
}

// ended carries out a final answer.
func (r *Relay) ended(a *decide.Action, word string) {
	m := r.msgs[a.Message]
	if m == nil || m.over {
		return
	}
	m.over = true
	if m.call != nil { // before anybody is told
		m.call.removeMessage(m)
	}
	ms := (a.After + 999) / 1000
	if q := m.req; q != nil { // not taken on: the client hears it at once
		m.req = nil
		delete(r.waiting, q)
		if word == noticeHandedBack {
			q.sendReply(resp.Busy(ms))
		} else {
			q.sendReply(resp.Error(errors.New("given up")))
		}
		r.drop(m)
		return
	}
	r.drop(m)
	if word == noticeHandedBack {
		r.remember(m, resp.Busy(ms))
	} else {
		r.remember(m, resp.Error(errors.New("given up")))
	}
	r.log.Info("ended", "message", m.rec.ID, "class", m.rec.Class, "dest", m.rec.Dest, "outcome", word, "tries", m.tries,
		"left_ms", r.leftMS(m), "found_untried", m.recoveredUntried)
	if m.recoveredUntried {
		m.recoveredUntried = false
		r.untried.ended++
		r.logUntried(false)
	}
	if !m.acknowledged {
		m.ending = &record{Notice: word, RetryMS: ms}
		return
	}
	r.end(m, word, ms)
}

// leftMS is what is left of a message's time.
func (r *Relay) leftMS(m *message) int64 { return clock.Until(r.clock, m.rec.Deadline).Milliseconds() }

// end logs how a message ended and has the platform told.
func (r *Relay) end(m *message, word string, ms int64) {
	if word == noticeGivenUp {
		ms = 0
	}
	n := notice{m.rec.ID, word, ms, m.rec.Deadline}
	r.notices.unconfirmed.Add(1)
	// The notice goes out whether or not it could be logged.
	r.wal.submit(&record{Kind: recEnding, ID: m.rec.ID, Notice: word, RetryMS: ms}, func(error) { r.notices.incoming.put(n) })
}

// act carries out what is no final answer. What is to be sent or called off is
// gathered: which messages share a call is seen when all are known.
func (r *Relay) act(now decide.Time, a *decide.Action) {
	switch a.Kind {
	case decide.ActSend:
		m := r.msgs[a.Message]
		if m == nil {
			return
		}
		m.tries++
		m.until, m.cancelling = a.At, false
		m.pending = r.form(a.Endpoint)
		m.pending.msgs = append(m.pending.msgs, m)
	case decide.ActCancel:
		if m := r.msgs[a.Message]; m != nil && a.Attempt == m.tries-1 {
			switch {
			case m.call != nil:
				m.cancelling = true
				r.off = append(r.off, m)
			case m.pending != nil:
				r.pull(m)
			}
		}
	case decide.ActTimer:
		r.timers.add(now + a.After)
	case decide.ActProbe:
		if ep := r.endpoint(a.Endpoint); ep != nil && !ep.withdrawn {
			h, num := ep.conns, a.Endpoint // a is of a buffer that the next step fills again
			go func() {
				o := probe(r.ctx, h)
				r.in.put(event{probed: num, result: &o})
			}()
		}
	case decide.ActClose:
		if ep := r.endpoints[a.Endpoint]; ep != nil && ep.conns != nil {
			ep.conns.closeIdle()
		}
	case decide.ActOutage:
		r.logOutage(a.Endpoint)
	case decide.ActRelease:
		r.releaseEndpoint(a.Endpoint)
	case decide.ActLog:
		r.log.Info("policy", "says", a.Text)
	}
}

// form gives the call of this step that a send to an endpoint joins. What one
// step sends to one endpoint travels together, as far as its kind allows.
func (r *Relay) form(num decide.Endpoint) *call {
	ep := r.endpoint(num)
	for _, c := range r.forming {
		if ep != nil && c.ep == ep && len(c.msgs) < ep.maxBatch {
			return c
		}
	}
	c := &call{ep: ep}
	r.forming = append(r.forming, c)
	return c
}

// notSent tells the policy of an attempt that never left. The loop comes by
// again for it.
func (r *Relay) notSent(m *message, c *call, err error) {
	r.in.put(event{unsent: m, call: c, result: &callResult{outcome: decide.NotSent, err: err}})
}

// pull takes a message out of a call that has not begun; the others must not
// wait for it any longer.
func (r *Relay) pull(m *message) {
	c := m.pending
	m.pending = nil
	c.msgs = slices.DeleteFunc(c.msgs, func(x *message) bool { return x == m })
	r.notSent(m, c, errCancelled)
	r.launch(c)
}

// launch logs the attempts of a call and then makes it, once the client of each
// of its messages has heard.
func (r *Relay) launch(c *call) {
	if c.cancel != nil || slices.ContainsFunc(c.msgs, func(m *message) bool { return !m.acknowledged }) {
		return
	}
	now := r.now()
	c.msgs = slices.DeleteFunc(c.msgs, func(m *message) bool {
		if r.tooLateToSend(m) {
			return true
		}
		m.pending = nil
		if ep := c.ep; ep == nil || ep.withdrawn || ep.waitUntil > now || ep.dest != m.rec.Dest || m.until <= now || m.over ||
			(callItem{repeatUntil: m.repeatBy()}).repeatExpired(r.instant(now)) {
			r.notSent(m, c, errNotStarted)
			return true
		}
		return false
	})
	if len(c.msgs) == 0 {
		return
	}
	// The one that is waited for longest leads: an endpoint may go by the first
	// message, and once that is over it must not answer for the others.
	slices.SortStableFunc(c.msgs, func(a, b *message) int { return cmp.Compare(b.until, a.until) })
	c.ctx, c.cancel = context.WithCancelCause(r.ctx)
	c.ep.calls[c] = true
	r.calls++
	for _, m := range c.msgs {
		m.call = c
		c.unfinished++
		if m.recoveredUntried {
			m.recoveredUntried = false
			r.untried.called++
			r.log.Info("resumed message called", "message", m.rec.ID, "left_ms", r.leftMS(m))
			r.logUntried(false)
		}
	}
	h, msgs, loads := c.ep.conns, slices.Clone(c.msgs), r.cfg.loads
	parts := make([]callItem, 0, len(msgs)) // the log's goroutine alone appends
	for i, m := range msgs {
		p := callItem{message: m, rec: m.rec, timeout: time.Duration(m.until-now) * time.Microsecond, repeatUntil: m.repeatBy()}
		m.sent = r.instant(now)
		r.wal.submit(&record{Kind: recAttempt, ID: m.rec.ID, At: r.instant(now), ZoneName: c.ep.zone}, func(err error) {
			if err == nil {
				parts = append(parts, p)
			} else {
				r.in.put(event{call: c, msg: m, result: &callResult{outcome: decide.NotSent, err: errAttemptNotLogged}})
			}
			if i < len(msgs)-1 || len(parts) == 0 {
				return
			}
			go c.run(h, parts, loads, func(m *message, o callResult) {
				r.in.put(event{call: c, msg: m, result: &o})
			})
		})
	}
}

// callOff stops waiting for a message of a call. The call itself goes on as
// long as another of its messages wants it.
func (r *Relay) callOff(c *call, m *message) {
	unsent := c.removeMessage(m)
	for _, x := range c.msgs {
		if x.call == c && !x.cancelling {
			o := callResult{outcome: decide.Cancelled, err: errCancelled}
			if unsent { // and it will not be
				o.outcome = decide.NotSent
			}
			r.in.put(event{call: c, msg: m, result: &o})
			return
		}
	}
	c.cancel(errCancelled)
}

// waits books a told wait, for the endpoint or for all of its destination's.
// Calls that still wait for a connection there would begin before it is over:
// after an outage one may take a second to come up. It binds under this id
// also if the endpoint leaves and comes back.
func (r *Relay) waits(told *endpoint, until decide.Time) {
	bind := func(ep *endpoint) {
		ep.waitUntil = max(ep.waitUntil, until)
		for c := range ep.calls {
			c.cancelUnsent(errRetryAfter)
		}
	}
	if bind(told); told.separateRoute || told.num >= unlistedEndpointBit { // no list says whose the latter is
		return
	}
	r.view = r.directory.Endpoints(told.dest, r.view[:0])
	for i := range r.view {
		if ep := r.endpoint(decide.Endpoint(r.view[i].Number)); ep != told && !ep.separateRoute {
			bind(ep)
		}
	}
}

// returned books what became of a call, or of one of its messages alone.
func (r *Relay) returned(c *call, only *message, o *callResult) {
	if o.retryAfter > 0 {
		r.waits(c.ep, r.now()+o.retryAfter)
	}
	if c.ep.conns != nil && c.ep.recordResult(o, r.now()) {
		c.ep.conns.closeIdle()
	}
	for _, m := range c.msgs {
		if m.call != c || only != nil && only != m {
			continue // it had its outcome before
		}
		end := *o
		if x, ok := o.itemResults[m.rec.ID]; ok {
			end.outcome, end.settled = x.outcome, x.settled
		}
		r.finished(m, c, &end)
	}
	if only != nil && c.unfinished == 0 {
		c.cancel(errCancelled) // nobody waits for it any more
	}
}

// finished books the end of a message's attempt.
func (r *Relay) finished(m *message, c *call, o *callResult) {
	e := decide.Event{Kind: decide.EvOutcome, Message: m.num, Attempt: m.tries - 1, Outcome: o.outcome, Wait: o.retryAfter,
		Slots: o.slotsTaken, Crowded: o.tooManyConns, Settled: o.settled || m.over, Took: o.elapsed, Load: o.load}
	if c.ep != nil {
		e.Endpoint = c.ep.num
	}
	logged := m.call == c
	if logged {
		m.call = nil
		switch {
		case !m.doubt.IsZero():
		case o.outcome.NeverRan(): // so what is not known of an earlier attempt's time does not matter
			m.windowUnknown = false
		default:
			m.doubt = m.sent
		}
		if c.unfinished--; c.unfinished == 0 {
			r.calls--
			delete(c.ep.calls, c)
		}
	}
	if r.handedOver {
		r.forwardOutcome(m, o)
		return
	}
	r.events = append(r.events, e)
	if o.outcome == decide.Delivered {
		r.log.Debug("delivered", "message", m.rec.ID, "dest", m.rec.Dest, "class", m.rec.Class, "endpoint", e.Endpoint,
			"attempt", e.Attempt, "together", len(c.msgs), "lead", c.leadID(), "took_ms", o.elapsed/1000, "left_ms", r.leftMS(m))
	} else {
		r.log.Info("attempt", "message", m.rec.ID, "dest", m.rec.Dest, "class", m.rec.Class, "endpoint", e.Endpoint,
			"attempt", e.Attempt, "together", len(c.msgs), "lead", c.leadID(), "outcome", int(o.outcome), "status", o.status, "took_ms", o.elapsed/1000,
			"conn_reused", o.priorCalls, "conn_idle_ms", o.connIdle.Milliseconds(),
			"err", o.err)
	}
	switch {
	case o.settled:
		r.wal.submit(&record{Kind: recEnd, ID: m.rec.ID, Ran: true}, nil)
	case logged:
		r.wal.submit(&record{Kind: recOutcome, ID: m.rec.ID, Ran: !o.outcome.NeverRan()}, nil)
	}
	if o.settled && !m.over {
		m.over = true
		r.drop(m)
		r.remember(m, resp.OK)
		return
	}
	if m.over {
		delete(r.msgs, m.num)
	}
}
