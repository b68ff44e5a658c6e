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
	"troutusher/internal/resp"
)

// An upgrade: a new process takes over from an old one that still serves. The
// messages go with the old one's log, whose file changes hands by a rename; what
// is in no log is said over a Unix socket, a line of JSON each. docs/design.md
// has the cases in which one of the two fails.

const (
	meetWait   = 500 * time.Millisecond // for the old process to answer at all
	handWait   = 2 * time.Second        // for the log to change hands
	bindWait   = 5 * time.Second        // for an address that the old process lets go of
	sayWait    = time.Second            // for one line to be written
	watchLocks = 100 * time.Millisecond
	unixMost   = 100 // bytes of a socket's path; the system allows few more
)

// handoverMessage is one line.
type handoverMessage struct {
	Hello   *handHello     `json:"hello,omitempty"` // from either: the new one's, answered by the old one's
	Take    bool           `json:"take,omitempty"`  // new: it is ready to take over
	Estate  *handoverState `json:"estate,omitempty"`
	Taken   bool           `json:"taken,omitempty"` // new: the log is its own now
	Outcome *handOutcome   `json:"outcome,omitempty"`
	Cancel  string         `json:"cancel,omitempty"` // new: the call of this message is no longer wanted
	Put     *handPut       `json:"put,omitempty"`
	Answer  *handAnswer    `json:"answer,omitempty"`
	Said    *handSaid      `json:"said,omitempty"`
	Reload  bool           `json:"reload,omitempty"` // old: it was told to read the configuration again
}

type handHello struct {
	Now decide.Time `json:"now"` // of the old one's policy; the new one goes by the same clock
	// Clock is the old one's, at that moment. Earlier releases tell none: their records hold Unix
	// microseconds.
	Clock clock.Reading `json:"clock,omitzero"`
}

// handoverState is what an old process leaves.
type handoverState struct {
	Log    string                     `json:"log"` // its file's name
	Names  map[decide.Endpoint]string `json:"names"`
	Memory *decide.Snapshot           `json:"memory"`
	Waits  map[string]decide.Time     `json:"waits"` // told by endpoints, and not over
	Calls  []outCall                  `json:"calls"`
}

// outCall is a message whose call the old process has out and carries to its end.
type outCall struct {
	ID       string          `json:"id"`
	Endpoint decide.Endpoint `json:"endpoint"`
	Call     uint64          `json:"call"`
}

// handOutcome is what became of such a call.
type handOutcome struct {
	ID      string         `json:"id"`
	What    decide.Outcome `json:"what"`
	Wait    decide.Time    `json:"wait,omitempty"`
	Slots   bool           `json:"slots,omitempty"`
	Crowded bool           `json:"crowded,omitempty"`
	Settled bool           `json:"settled,omitempty"`
	Took    decide.Time    `json:"took"`
	Load    decide.Load    `json:"load"`
	Status  int            `json:"status,omitempty"`
	Spoilt  bool           `json:"spoilt,omitempty"`
	Err     string         `json:"err,omitempty"`
}

// handPut is a message that a client of the old process hands in.
type handPut struct {
	Rec  *record `json:"rec"`
	Body []byte  `json:"body"`
}

type handAnswer struct {
	ID    string `json:"id"`
	Reply string `json:"reply"`
}

type handSaid struct {
	ID string `json:"id"`
	OK bool   `json:"ok"`
}

// peer is the other process.
type peer struct {
	conn     net.Conn
	out      *mailbox[handoverMessage]
	quit     chan struct{}          // it is gone
	last     chan struct{}          // nothing more is to be said
	gone     bool                   // of the loop
	puts     map[string]*putRequest // of the loop: handed in there, not heard of yet
	logClock logClock               // of the instants in records that it hands over
}

// newPeer hands what the other process says to heard, and nil once it is gone.
func newPeer(conn net.Conn, heard func(*peer, *handoverMessage)) *peer {
	p := &peer{conn: conn, out: newMailbox[handoverMessage](), quit: make(chan struct{}), last: make(chan struct{}),
		puts: map[string]*putRequest{}}
	go p.write()
	go func() {
		defer close(p.quit)
		defer conn.Close()
		for dec := json.NewDecoder(conn); ; {
			h := &handoverMessage{}
			if dec.Decode(h) != nil {
				heard(p, nil)
				return
			}
			heard(p, h)
		}
	}()
	return p
}

func (p *peer) send(h handoverMessage) { p.out.put(h) }

// write ends with the other process's end of the connection. It leaves the
// reading be: what was said before that end is still to be heard.
func (p *peer) write() {
	var lines []handoverMessage
	enc := json.NewEncoder(p.conn)
	for last := false; ; {
		lines = p.out.takeAll(lines)
		for i := range lines {
			p.conn.SetWriteDeadline(clock.Deadline(sayWait))
			if err := enc.Encode(&lines[i]); err != nil {
				if errors.Is(err, os.ErrDeadlineExceeded) { // it hangs, and half a line is no line
					p.conn.Close()
				}
				return
			}
		}
		if len(lines) > 0 {
			continue
		}
		if last {
			p.conn.(*net.UnixConn).CloseWrite()
			return
		}
		select {
		case <-p.out.ready:
		case <-p.quit:
			return
		case <-p.last:
			last = true
		}
	}
}

// meetingPlace is where the processes of one relay meet: those with the same
// folder. Empty where the path would be too long for a socket.
func meetingPlace(state string) string {
	if abs, err := filepath.Abs(state); err == nil {
		state = abs
	}
	path := filepath.Join(os.TempDir(), fmt.Sprintf("relay-%08x.sock", crc32.ChecksumIEEE([]byte(state))))
	if len(path) > unixMost {
		return ""
	}
	return path
}

// dialPredecessor looks for an old process that still serves; nil where there is none, or
// none that answers.
func (r *Relay) dialPredecessor() *peer {
	path := meetingPlace(r.cfg.State)
	if path == "" {
		return nil
	}
	conn, err := net.DialTimeout("unix", path, meetWait)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) && !errors.Is(err, syscall.ECONNREFUSED) {
			r.log.Warn("upgrade: nobody to meet", "err", err)
		}
		return nil
	}
	p := newPeer(conn, func(p *peer, h *handoverMessage) { r.in.put(event{peer: p, line: h}) })
	p.send(handoverMessage{Hello: &handHello{}})
	h := r.awaitMessage(p, meetWait)
	if h == nil || h.Hello == nil {
		r.log.Warn("upgrade: the old process does not answer, starting without it")
		p.conn.Close()
		return nil
	}
	r.joinPolicyClock(h.Hello)
	p.logClock = logClock{reading: h.Hello.Clock, latest: h.Hello.Clock.Now, unixTimes: !h.Hello.Clock.Plausible()}
	r.log.Info("upgrade: met the old process", "its_clock", h.Hello.Now)
	return p
}

// joinPolicyClock has the policy go by the clock of the old process's policy: what that remembers
// is told in its moments.
func (r *Relay) joinPolicyClock(hello *handHello) {
	now := clock.Read(r.clock)
	at := now.Now // an older release does not tell when it looked: just now
	if hello.Clock.Convert(hello.Clock.Now, now).Certain {
		at = hello.Clock.Now
	}
	r.epoch = hello.Now - decide.Time(at)
}

// awaitMessage waits for the other process's next word; nil where none comes. It is for
// the start, before the loop runs; what else happens then is booked or kept.
func (r *Relay) awaitMessage(p *peer, wait time.Duration) *handoverMessage {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	var got []event
	for {
		select {
		case <-r.in.ready:
		case <-limit.C:
			return nil
		}
		got = r.in.takeAll(got)
		for i, h := range got {
			if h.peer != p {
				r.take(h)
				continue
			}
			for _, rest := range got[i+1:] {
				r.in.put(rest)
			}
			p.gone = p.gone || h.line == nil
			return h.line
		}
	}
}

// takeOver takes over what the old process has; nil where that fails, and it then
// keeps what it has.
func (r *Relay) takeOver(p *peer, l *logSlots) *handoverState {
	p.send(handoverMessage{Take: true})
	var h *handoverMessage
	if !p.gone {
		h = r.awaitMessage(p, handWait)
	}
	if h == nil || h.Estate == nil {
		r.log.Error("upgrade: the old process does not hand over, serving beside it")
		p.conn.Close()
		return nil
	}
	e := h.Estate
	to, err := l.unusedPath()
	if err == nil {
		err = l.folder.Rename(filepath.Join(l.dir, filepath.Base(e.Log)), to)
	}
	if err != nil {
		r.log.Error("upgrade: the old process has kept its log, serving beside it", "err", err)
		p.conn.Close()
		return nil
	}
	p.send(handoverMessage{Taken: true})
	return e
}

// restoreHandover books what the old process remembers and the calls that it has out.
func (r *Relay) restoreHandover(e *handoverState, p *peer) map[string]*call {
	num := func(old decide.Endpoint) decide.Endpoint {
		if id, ok := e.Names[old]; ok {
			x, _ := r.directory.Find(id)
			return decide.Endpoint(x.Number)
		}
		return 0
	}
	if e.Memory != nil {
		for i := range e.Memory.Limiters {
			l := &e.Memory.Limiters[i]
			for j := range l.Endpoints {
				x := &l.Endpoints[j]
				x.Endpoint = num(x.Endpoint)
				if at, ok := r.directory.Get(membership.Number(x.Endpoint)); ok {
					l.Dest = at.Dest // which an older process does not say
				}
			}
			l.Endpoints = slices.DeleteFunc(l.Endpoints, func(x decide.EndpointSnapshot) bool { return x.Endpoint == 0 })
		}
		r.events = append(r.events, decide.Event{Kind: decide.EvSnapshot, Snapshot: e.Memory})
	}
	for id, until := range e.Waits {
		if x, ok := r.directory.Find(id); ok {
			ep := r.endpoint(decide.Endpoint(x.Number))
			ep.waitUntil, ep.released = max(ep.waitUntil, until), true
			r.queueForget(ep)
		}
	}
	calls, byID := map[uint64]*call{}, map[string]*call{}
	for _, x := range e.Calls {
		c := calls[x.Call]
		if c == nil {
			ep := r.endpoint(num(x.Endpoint))
			if ep == nil { // off the list by now
				r.madeUp++
				ep = &endpoint{num: unlistedEndpointBit | r.madeUp, withdrawn: true, calls: map[*call]bool{}}
			}
			c = &call{ep: ep, committed: true, cancel: func(error) { p.send(handoverMessage{Cancel: x.ID}) }}
			c.stage.Store(callSending)
			calls[x.Call] = c
		}
		byID[x.ID] = c
	}
	return byID
}

// acceptSuccessors waits for new processes.
func (r *Relay) acceptSuccessors(ctx context.Context) {
	path := meetingPlace(r.cfg.State)
	if path == "" {
		r.log.Error("upgrade: TMPDIR is too long for a socket: a new process will start without a word from this one")
		return
	}
	os.Remove(path) // that of a process that is gone, or has handed over
	ln, err := net.Listen("unix", path)
	if err != nil {
		r.log.Error("upgrade: no place to meet a new process: it will start without a word from this one", "err", err)
		return
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false) // by then it may be the new one's
	os.Chmod(path, 0o600)
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			sleep(ctx, 10*time.Millisecond)
			continue
		}
		newPeer(conn, func(p *peer, h *handoverMessage) { r.in.put(event{peer: p, line: h}) })
	}
}

// peerSaid books what another process says.
func (r *Relay) peerSaid(p *peer, h *handoverMessage) {
	p.gone = p.gone || h == nil
	switch {
	case p == r.predecessor && h == nil:
		r.predecessorGone()
	case p == r.predecessor:
		r.fromPredecessor(h)
	case h == nil:
		if p == r.successor { // it went before it took over
			r.log.Warn("upgrade: the new process is gone, serving on")
			r.successor, r.successorReady = nil, false
			r.share(false)
		}
	case h.Hello != nil && r.successor == nil && r.stopAt.IsZero():
		r.log.Info("upgrade: a new process starts")
		r.successor = p
		r.share(true)
		reading := clock.Read(r.clock)
		p.send(handoverMessage{Hello: &handHello{Now: r.policyTime(reading.Now), Clock: reading}})
	case h.Take && p == r.successor:
		r.successorReady = true
	default:
		p.conn.Close()
	}
}

// fromPredecessor books what the old process says of the calls and clients it has left.
func (r *Relay) fromPredecessor(h *handoverMessage) {
	switch {
	case h.Outcome != nil:
		x := h.Outcome
		if m := r.ids[x.ID]; m != nil && m.call != nil && m.call.ctx == nil {
			o := &callResult{outcome: x.What, retryAfter: x.Wait, slotsTaken: x.Slots, tooManyConns: x.Crowded, settled: x.Settled, elapsed: x.Took, load: x.Load,
				status: x.Status, malformed: x.Spoilt}
			if x.Err != "" {
				o.err = errors.New(x.Err)
			}
			r.returned(m.call, m, o)
		}
	case h.Put != nil && h.Put.Rec != nil:
		rec := h.Put.Rec
		rec.Kind, rec.body = recordAccepted, h.Put.Body
		now := clock.Read(r.clock)
		if c := r.predecessor.logClock.convert(now); !c.Certain {
			rec.convert(c, now.Now)
		}
		q := &putRequest{record: rec}
		p := r.predecessor
		q.forward = func(reply string) {
			r.in.put(event{forwarded: q, reply: reply})
			p.send(handoverMessage{Answer: &handAnswer{rec.ID, reply}})
		}
		p.puts[rec.ID] = q
		r.admit(q)
	case h.Reload:
		go r.readAgain(r.reload)
	case h.Said != nil:
		if q := r.predecessor.puts[h.Said.ID]; q != nil {
			delete(r.predecessor.puts, h.Said.ID)
			r.replyWritten(q, h.Said.OK)
		}
	}
}

// predecessorGone: what the old process has not reported by now may have run.
func (r *Relay) predecessorGone() {
	p := r.predecessor
	r.predecessor = nil
	left := 0
	for _, m := range r.msgs {
		if m.call != nil && m.call.ctx == nil {
			left++
			r.returned(m.call, m, &callResult{outcome: decide.Cancelled, err: errPredecessorGone})
		}
	}
	for _, q := range p.puts {
		// Where an answer went out its client may have it: the message is ours.
		r.replyWritten(q, q.replied)
	}
	r.log.Info("upgrade: the old process is gone", "calls_unreported", left)
}

var errPredecessorGone = errors.New("the process that made the call is gone")

// share halves what this process allows itself, or takes all again: while two
// run, the machine's limits hold for both together.
func (r *Relay) share(on bool) {
	r.sharing = on
	clients, endpoints := r.budget()
	r.clients.reconfigure(r.cfg, clients)
	r.pool.configure(&r.cfg.Policy, endpoints)
	limit := memoryLimit(r.cfg)
	if on {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
	if on {
		debug.FreeOSMemory()
	}
}

// budget is that of the configuration, or half of it.
func (r *Relay) budget() (clients, endpoints int) {
	clients, endpoints = r.cfg.budget()
	if r.sharing {
		return clients / 2, endpoints / 2
	}
	return clients, endpoints
}

// memoryLimit is what the runtime keeps to; the rest is for files and stacks.
func memoryLimit(cfg *Config) int64 { return int64(cfg.Limits.MemoryMB) << 20 / 10 * 7 }

// handOver gives everything to the new process. It reports false where the new
// one did not take it: then all is as before.
func (r *Relay) handOver(ln *net.TCPListener) bool {
	p := r.successor
	r.successorReady = false
	began := r.clock.Now()
	r.log.Info("upgrade: handing over", "held", r.held, "calls", r.calls)
	ln.SetDeadline(clock.Past)
	limit := time.NewTimer(handWait)
	defer limit.Stop()
	var kept, got []event
	taken, gone := false, false
	until := func(done func() bool) bool {
		for !done() && !gone {
			select {
			case <-r.in.ready:
			case <-limit.C:
				return false
			}
			got = r.in.takeAll(got)
			for _, h := range got {
				switch {
				case h.replied != nil || h.unlogged != nil:
					r.take(h)
				case h.peer == p && h.line == nil:
					gone = true
				case h.peer == p:
					taken = taken || h.line.Taken
				default:
					kept = append(kept, h)
				}
			}
		}
		return done()
	}
	ok := until(func() bool { return len(r.waiting) == 0 })
	if ok {
		r.wal.halt()
		if ok = r.wal.complete(); !ok { // the new process would go by less than is known here
			r.wal.reopen()
		}
	}
	if ok {
		p.send(handoverMessage{Estate: r.handoverState()})
		if ok = until(func() bool { return taken }); !ok {
			switch err := r.wal.renameAndReopen(); {
			case errors.Is(err, fs.ErrNotExist): // its word did not come through, but it has the log
				ok = true
			case err != nil:
				r.log.Error("upgrade: the log is closed and cannot be opened again", "err", err)
				ok = true // the next process finds it
			}
		}
	}
	if !ok {
		r.log.Error("upgrade: the new process did not take over, serving on", "gone", gone, "waiting", len(r.waiting))
		ln.SetDeadline(time.Time{})
		p.conn.Close()
		r.successor = nil
		r.share(false)
	} else {
		r.handedOver = true
		r.log.Info("upgrade: handed over", "took_ms", clock.Since(r.clock, began).Milliseconds(), "calls", r.calls)
	}
	for _, h := range kept {
		r.in.put(h)
	}
	if gone && ok {
		r.in.put(event{peer: p})
	}
	return ok
}

// handoverState tells what is in no log.
func (r *Relay) handoverState() *handoverState {
	e := &handoverState{Log: filepath.Base(r.wal.path), Names: map[decide.Endpoint]string{}, Memory: r.policy.Snapshot(),
		Waits: map[string]decide.Time{}}
	for _, l := range e.Memory.Limiters {
		for _, x := range l.Endpoints {
			e.Names[x.Endpoint], _ = r.directory.Text(membership.Number(x.Endpoint))
		}
	}
	for num, ep := range r.endpoints {
		e.Names[num] = ep.id
		if ep.waitUntil > r.now() {
			e.Waits[ep.id] = ep.waitUntil
		}
	}
	calls := map[*call]uint64{}
	for _, m := range r.msgs {
		if m.call == nil || m.over {
			continue
		}
		if calls[m.call] == 0 {
			calls[m.call] = uint64(len(calls) + 1)
		}
		e.Calls = append(e.Calls, outCall{m.rec.ID, m.call.ep.num, calls[m.call]})
	}
	slices.SortFunc(e.Calls, func(a, b outCall) int { return int(a.Call) - int(b.Call) })
	return e
}

// finishAfterHandover is what is left for a process that has handed over: it sees the calls
// that are out to their ends, passes on what clients still send, and ends when
// neither is left.
func (r *Relay) finishAfterHandover() {
	r.clients.handOver()
	r.pool.configure(&r.cfg.Policy, r.calls+1)
	r.pool.sweep(func(*poolConn) bool { return true })
	debug.FreeOSMemory()
	byID := map[string]*message{}
	for _, m := range r.msgs {
		byID[m.rec.ID] = m
	}
	asked := map[string]*putRequest{}
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	var got []event
	reading := true
	for lost := false; ; {
		select {
		case <-r.in.ready:
		case <-tick.C:
		}
		got = r.in.takeAll(got)
		for _, h := range got {
			switch {
			case h.submitted != nil && lost:
				h.submitted.sendReply(resp.Busy(stopRetry))
			case h.submitted != nil && asked[h.submitted.record.ID] != nil:
				h.submitted.sendReply(resp.Error(errors.New("id is being handed in already")))
			case h.submitted != nil:
				asked[h.submitted.record.ID] = h.submitted
				r.successor.send(handoverMessage{Put: &handPut{h.submitted.record, h.submitted.record.body}})
			case h.replied != nil:
				r.successor.send(handoverMessage{Said: &handSaid{h.replied.record.ID, h.ok}})
			case h.peer == r.successor && h.line == nil:
				r.log.Error("upgrade: the new process is gone after it took over")
				lost = true
				for id, q := range asked {
					q.sendReply(resp.Busy(stopRetry))
					delete(asked, id)
				}
			case h.peer == r.successor && h.line.Answer != nil:
				if q := asked[h.line.Answer.ID]; q != nil {
					delete(asked, h.line.Answer.ID)
					q.sendReply(h.line.Answer.Reply)
				}
			case h.peer == r.successor && h.line.Cancel != "":
				if m := byID[h.line.Cancel]; m != nil && m.call != nil {
					m.call.cancel(errCancelled)
				}
			case h.peer != nil:
				h.peer.conn.Close()
			case h.config != nil: // whoever asked means the relay
				r.successor.send(handoverMessage{Reload: true})
			case h.stop:
				r.stopAt = r.clock.Now()
			case h.update != nil || h.drains: // a call that waits for a connection must not begin on a drained endpoint
				r.take(h)
				r.applyAllChanges()
				r.events = nil
			case h.unsent != nil || h.call != nil:
				r.take(h)
			}
		}
		if reading && !r.stopAt.IsZero() && clock.Since(r.clock, r.stopAt) >= stopReads {
			reading = false
			r.clients.stopReadingAll()
		}
		over := !r.stopAt.IsZero() && clock.Since(r.clock, r.stopAt) >= stopCalls
		if conns := r.clients.count(); over || (r.calls == 0 || lost) && len(asked) == 0 && conns == 0 {
			r.log.Info("upgrade: ended", "calls", r.calls, "clients", conns)
			r.successor.flush()
			return
		}
	}
}

// flush ends the conversation; it returns when the other process has heard all,
// and closed its end too.
func (p *peer) flush() {
	close(p.last)
	select {
	case <-p.quit:
	case <-time.After(sayWait):
	}
}

// forwardOutcome reports the end of an attempt to the process that has the message now.
func (r *Relay) forwardOutcome(m *message, o *callResult) {
	x := &handOutcome{ID: m.rec.ID, What: o.outcome, Wait: o.retryAfter, Slots: o.slotsTaken, Crowded: o.tooManyConns, Settled: o.settled, Took: o.elapsed,
		Load: o.load, Status: o.status, Spoilt: o.malformed}
	if o.err != nil {
		x.Err = o.err.Error()
	}
	r.successor.send(handoverMessage{Outcome: x})
}

// watchLogs takes over what other processes leave, as each of them ends. Logs that cannot be read
// are tried again.
func (r *Relay) watchLogs(ctx context.Context, l *logSlots) {
	unreadable := false
	for len(l.otherSlots) > 0 && ctx.Err() == nil {
		sleep(ctx, watchLocks)
		var unread []int
		for slot, lock := l.lockFreedSlot(); slot >= 0; slot, lock = l.lockFreedSlot() {
			err := r.wal.adoptSlot(slot, lock, func(owed []*record) { r.in.put(event{recovered: owed}) })
			if err == nil {
				continue
			}
			lock.Close()
			unread = append(unread, slot)
			if !unreadable {
				r.log.Error("log: what another process left cannot be read", "slot", slot, "err", err)
			}
		}
		unreadable = len(unread) > 0
		l.otherSlots = append(l.otherSlots, unread...)
		r.wal.otherLogsBytes.Store(l.otherLogsBytes())
	}
	r.in.put(event{soleProcess: true})
}

// listen gives the clients' listener: the one that the platform holds, where it
// says so, or one of our own. An address that an old process has not let go of
// yet is tried again.
func listen(cfg *Config, patient bool, clk clock.Clock, log *slog.Logger) (*net.TCPListener, error) {
	if cfg.SocketFD >= 0 {
		f := os.NewFile(uintptr(cfg.SocketFD), "clients")
		if f == nil {
			return nil, fmt.Errorf("listen: ROUTER_SOCKET_FD: %d is no descriptor", cfg.SocketFD)
		}
		defer f.Close() // the listener has its own
		ln, err := net.FileListener(f)
		if err != nil {
			return nil, fmt.Errorf("listen: ROUTER_SOCKET_FD: %w", err)
		}
		t, ok := ln.(*net.TCPListener)
		if !ok {
			ln.Close()
			return nil, fmt.Errorf("listen: ROUTER_SOCKET_FD: %s is not TCP", ln.Addr().Network())
		}
		if t.Addr().String() != cfg.Listen {
			log.Warn("the socket handed down is bound elsewhere than listen says", "socket", t.Addr().String(), "listen", cfg.Listen)
		}
		return t, nil
	}
	for end := clk.Now().Add(bindWait); ; time.Sleep(5 * time.Millisecond) {
		ln, err := net.Listen("tcp", cfg.Listen)
		if err == nil {
			return ln.(*net.TCPListener), nil
		}
		if !patient || !errors.Is(err, syscall.EADDRINUSE) || clk.Now() > end {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
}
