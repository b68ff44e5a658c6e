package relay

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"troutusher/decide"
	"troutusher/internal/clock"
)

// Model-based test of the log. A history is a list of steps: messages are submitted, attempts are sent and
// end, the folder fails and recovers, the process is killed at any byte. A small relay uses the log as the
// real one does. The reference model sees only what clients, endpoints and the platform see.

const (
	modelWindow = 2e6 // deduplication window of the keyed class
	modelDisk   = 1 << 20
)

// modelStart is the clock reading at the start of each history.
var modelStart = clock.Reading{Boot: "model", Now: 1e12, Wall: 1.7e15}

// modelChecks is the number of histories in a run without -rapid.checks: they take a few seconds.
const modelChecks = "500"

func init() { flag.Set("rapid.checks", modelChecks) }

// stepKind is what happens in a step.
type stepKind int

const (
	stepAccept stepKind = iota
	stepAttempt
	stepDelivered
	stepNeverRan
	stepMayHaveRun
	stepFinish
	stepConfirm
	stepCompact
	stepRetry
	stepFailWrites
	stepFailAll
	stepHeal
	stepWait
)

// drawnSteps has each kind of step as often as its weight in the random choice.
var drawnSteps = []stepKind{stepAccept, stepAccept, stepAttempt, stepAttempt, stepAttempt, stepDelivered, stepNeverRan,
	stepMayHaveRun, stepMayHaveRun, stepFinish, stepConfirm, stepCompact, stepRetry, stepFailWrites, stepFailAll, stepHeal,
	stepWait, stepWait}

// modelStep is one step. Each kind uses only the fields it needs.
type modelStep struct {
	Kind   stepKind
	Which  int // selects one of the messages that the step can apply to
	Repeat decide.Repeat
	Micros int64
	Bytes  int  // length of a body, or how many bytes of a failing write reach the file
	Kill   bool // kill the process in this step, once Bytes are written
}

// modelHistories generates histories.
var modelHistories = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) modelStep {
	return modelStep{
		Kind:   rapid.SampledFrom(drawnSteps).Draw(t, "kind"),
		Which:  rapid.IntRange(0, 7).Draw(t, "which"),
		Repeat: rapid.SampledFrom([]decide.Repeat{decide.Safe, decide.Keyed, decide.Unsafe}).Draw(t, "repeat"),
		Micros: rapid.Int64Range(1, 4e6).Draw(t, "micros"),
		Bytes:  rapid.IntRange(0, 400).Draw(t, "bytes"),
		Kill:   rapid.IntRange(0, 9).Draw(t, "kill") == 0,
	}
}), 10, 60)

// modelBug is a bug put into the small relay or its log, to show that the model detects it.
type breakage string

const (
	breaksNothing         breakage = "nothing"
	breaksAnswerFirst     breakage = "replies before the record is written"
	breaksForgetAttempt   breakage = "sends attempts without a record"
	breaksUnsafeUnlogged  breakage = "sends an unsafe message although its record failed"
	breaksForgetEnd       breakage = "does not write ends"
	breaksForgetEnding    breakage = "sends a notice before it is written"
	breaksShortWrite      breakage = "does not truncate partial writes"
	breaksPostponed       breakage = "forgets postponed records"
	breaksDoubt           breakage = "sends again what may have run before a restart"
	breaksWindow          breakage = "sends a keyed message again after its window"
	breaksWord            breakage = "sends another notice after a restart"
	breaksEarlyCompaction breakage = "empties the old log before a compaction"
)

// life is the model's state of a message.
type life struct {
	repeat    decide.Repeat
	answered  bool // the client received +OK
	refused   bool
	ran       bool          // an attempt may have run
	ranAt     clock.Instant // send of the first such attempt
	out       bool
	told      string // outcome in the notice to the platform; empty for none
	unwritten bool   // the notice was sent at the deadline, before its record could be written
	over      bool   // the end of the message is written
	ending    bool   // the end of the message was passed to the log
	delivered bool
}

// rules checks everything that is visible from outside the relay.
type rules struct {
	lives map[string]*life
	err   error // the first violation
}

func (m *rules) broken(id, rule string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s", id, rule)
	}
}

// forwarded checks an attempt that is sent to an endpoint.
func (m *rules) forwarded(id string, now clock.Instant) {
	l := m.lives[id]
	switch {
	case l.refused:
		m.broken(id, "sent after it was refused")
	case l.told != "" || l.over:
		m.broken(id, "sent after its notice or end")
	case l.ran && l.repeat == decide.Unsafe:
		m.broken(id, "unsafe message sent twice")
	case l.ran && l.repeat == decide.Keyed && now >= l.ranAt+modelWindow:
		m.broken(id, "sent again after its deduplication window")
	}
	l.out = true
	if !l.ran {
		l.ran, l.ranAt = true, now
	}
}

// tell checks a notice that is sent to the platform.
func (m *rules) tell(id, word string) {
	l := m.lives[id]
	switch {
	case l.over:
		m.broken(id, "notice after its end")
	case l.told != "" && l.told != word && !l.unwritten:
		m.broken(id, "second notice with another outcome")
	}
	l.told = word
}

// restarted checks the messages that a new process recovers.
func (m *rules) restarted(owed map[string]*record) {
	for id, l := range m.lives {
		r := owed[id]
		switch {
		case l.refused && r != nil:
			m.broken(id, "recovered although it was refused")
		case l.over && r != nil:
			m.broken(id, "recovered after its end")
		case l.answered && !l.ending && r == nil:
			m.broken(id, "accepted and lost")
		case l.told != "" && !l.ending && r.Notice != l.told && !l.unwritten:
			m.broken(id, "its notice is lost")
		}
		l.out = false
		if r != nil {
			l.answered, l.ending = true, false
		} else if !l.answered {
			l.refused = true // the client got no reply, and no process knows the message
		}
	}
}

// heldMessage is the small relay's state of a message.
type heldMessage struct {
	id       string
	repeat   decide.Repeat
	deadline clock.Instant
	doubt    clock.Instant // send of the first attempt that may have run; zero for none
	sent     clock.Instant // send of the attempt in flight; zero for none
	notice   string
	told     bool
}

// modelRelay is a small relay that uses the log as the real one does.
type modelRelay struct {
	tb     testing.TB
	dir    string
	folder *faultyFolder
	breaks breakage
	w      *wal
	held   []*heldMessage
	rules  *rules
	clock  *clock.Manual
	now    clock.Instant
	next   int
	killed bool // the process is killed in this step: nothing it does is visible any more
}

// runHistory returns the first violation in a history.
func runHistory(tb testing.TB, breaks breakage, history []modelStep) error {
	dir, err := os.MkdirTemp("", "model")
	if err != nil {
		tb.Fatal(err)
	}
	defer os.RemoveAll(dir)
	r := &modelRelay{tb: tb, dir: dir, folder: newFaultyFolder(), breaks: breaks, clock: clock.NewManual(modelStart), now: modelStart.Now,
		rules: &rules{lives: map[string]*life{}}}
	r.folder.keepsShortWrites = breaks == breaksShortWrite
	r.restart()
	defer func() { endFaultyWAL(r.w) }()
	for i, s := range history {
		if s.Kill {
			r.killed = true
			r.folder.killAfter = s.Bytes
		}
		r.step(s)
		if r.killed {
			endFaultyWAL(r.w)
			r.folder.killAfter = -1
			r.killed = false
			r.folder.heal()
			r.restart()
		}
		r.checkWritten()
		if r.rules.err != nil {
			return fmt.Errorf("step %d: %w", i, r.rules.err)
		}
	}
	endFaultyWAL(r.w)
	r.folder.heal()
	r.restart()
	return r.rules.err
}

// restart starts a new process on the folder.
func (r *modelRelay) restart() {
	held, err := lockLogSlots(r.folder, r.dir)
	if err != nil {
		r.tb.Fatal(err)
	}
	w, owed, err := openWAL(held, modelDisk, func(string) bool { return false }, r.clock, quietLog())
	if err != nil {
		r.tb.Fatal(err)
	}
	r.w, r.held = w, nil
	found := map[string]*record{}
	for _, rec := range owed {
		found[rec.ID] = rec
		m := &heldMessage{id: rec.ID, repeat: rec.Rules.Repeat, deadline: rec.Deadline, doubt: rec.InDoubtSince, notice: rec.Notice}
		if r.breaks == breaksDoubt {
			m.doubt = 0
		}
		r.held = append(r.held, m)
	}
	r.rules.restarted(found)
	for _, m := range r.held {
		if m.notice == "" {
			continue
		}
		if r.breaks == breaksWord {
			m.notice = "another"
		}
		r.tell(m)
	}
}

// checkWritten notes which ends are written, and checks that the log has complete records only. It does
// nothing while the folder fails.
func (r *modelRelay) checkWritten() {
	if len(r.w.health.postponed) > 0 || r.w.health.failing {
		return
	}
	for _, l := range r.rules.lives {
		l.over = l.over || l.ending
	}
	text, err := os.ReadFile(r.w.path)
	if err != nil {
		r.tb.Fatal(err)
	}
	for at := 0; at < len(text); {
		_, size := decodeRecord(text[at:])
		if size == 0 {
			r.rules.broken(r.w.path, fmt.Sprintf("no complete record at %d of %d bytes", at, len(text)))
			return
		}
		at += size
	}
}

// pick returns one of the messages that a step can apply to, or nil if there are none.
func (r *modelRelay) pick(which int, may func(*heldMessage) bool) *heldMessage {
	var some []*heldMessage
	for _, m := range r.held {
		if may(m) {
			some = append(some, m)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return some[which%len(some)]
}

// perform writes a record and passes the log's result to onDone, unless the process is killed meanwhile.
func (r *modelRelay) perform(rec *record, heard func(error)) {
	process := r.w
	r.w.perform(walOp{rec: rec, onDone: func(err error) {
		if !r.killed && r.w == process {
			heard(err)
		}
	}})
}

func ignoreResult(error) {}

func (r *modelRelay) step(s modelStep) {
	switch s.Kind {
	case stepAccept:
		r.accept(s)
	case stepAttempt:
		if m := r.pick(s.Which, r.maySend); m != nil {
			r.attempt(m)
		}
	case stepDelivered, stepNeverRan, stepMayHaveRun:
		if m := r.pick(s.Which, func(m *heldMessage) bool { return m.sent != 0 }); m != nil {
			r.outcome(m, s.Kind)
		}
	case stepFinish:
		if m := r.pick(s.Which, func(m *heldMessage) bool { return m.sent == 0 && m.notice == "" }); m != nil {
			r.finish(m)
		}
	case stepConfirm:
		if m := r.pick(s.Which, func(m *heldMessage) bool { return m.told }); m != nil {
			r.end(m, false)
		}
	case stepCompact:
		r.compact()
	case stepRetry:
		r.retry()
	case stepFailWrites:
		r.folder.fail(syscall.ENOSPC, s.Bytes, opWrite)
	case stepFailAll:
		r.folder.fail(syscall.EIO, s.Bytes, changesFolder...)
	case stepHeal:
		r.folder.heal()
		r.retry()
	case stepWait:
		r.clock.Advance(time.Duration(s.Micros) * time.Microsecond)
		r.now = r.clock.Now()
	}
}

func (r *modelRelay) accept(s modelStep) {
	id := fmt.Sprint("m", r.next)
	r.next++
	m := &heldMessage{id: id, repeat: s.Repeat, deadline: r.now + clock.Instant(2*s.Micros)}
	l := &life{repeat: s.Repeat}
	r.rules.lives[id] = l
	rec := &record{Kind: recordAccepted, ID: id, Class: "c", Deadline: m.deadline, MaxAttempts: 8, body: make([]byte, s.Bytes),
		Rules: &decide.Class{Name: "c", Repeat: s.Repeat, Deadline: 20e6, DedupWindow: modelWindow}}
	r.perform(rec, func(err error) {
		if err != nil && r.breaks != breaksAnswerFirst {
			l.refused = true
			return
		}
		l.answered = true
		r.held = append(r.held, m)
	})
}

// maySend is the rule by which the policy allows another attempt.
func (r *modelRelay) maySend(m *heldMessage) bool {
	if m.sent != 0 || m.notice != "" || r.now >= m.deadline {
		return false
	}
	switch {
	case m.doubt == 0 || m.repeat == decide.Safe:
		return true
	case m.repeat == decide.Keyed:
		return r.breaks == breaksWindow || r.now < m.doubt+modelWindow
	}
	return false
}

func (r *modelRelay) attempt(m *heldMessage) {
	send := func() {
		m.sent = r.now
		r.rules.forwarded(m.id, r.now)
	}
	if r.breaks == breaksForgetAttempt {
		if !r.killed {
			send()
		}
		return
	}
	r.perform(&record{Kind: recordAttempt, ID: m.id, At: r.now}, func(err error) {
		if err == nil || r.breaks == breaksUnsafeUnlogged && !errors.Is(err, errNotPending) {
			send()
		}
	})
}

func (r *modelRelay) outcome(m *heldMessage, kind stepKind) {
	l := r.rules.lives[m.id]
	sent := m.sent
	m.sent, l.out = 0, false
	switch kind {
	case stepDelivered:
		r.end(m, true)
		return
	case stepNeverRan:
		if l.ranAt == sent { // the endpoint shows that the attempt did not run
			l.ran = m.doubt != 0
		}
	case stepMayHaveRun:
		if m.doubt == 0 {
			m.doubt = sent
		}
	}
	r.perform(&record{Kind: recordOutcome, ID: m.id, MayHaveRun: kind == stepMayHaveRun}, ignoreResult)
}

// end writes the end of a message.
func (r *modelRelay) end(m *heldMessage, delivered bool) {
	r.held = slices.DeleteFunc(r.held, func(x *heldMessage) bool { return x == m })
	l := r.rules.lives[m.id]
	l.ending, l.delivered = true, delivered
	if r.breaks != breaksForgetEnd {
		r.perform(&record{Kind: recordEnd, ID: m.id, MayHaveRun: delivered}, ignoreResult)
	}
}

// finish ends a message that was not delivered with a notice.
func (r *modelRelay) finish(m *heldMessage) {
	m.notice = endGivenUp
	if m.doubt == 0 || m.repeat == decide.Safe || m.repeat == decide.Keyed && r.now < m.doubt+modelWindow {
		m.notice = endHandedBack
	}
	if r.breaks == breaksForgetEnding && !r.killed {
		r.tell(m)
	}
	r.perform(&record{Kind: recordEnding, ID: m.id, Notice: m.notice}, func(error) {
		if r.isPostponed(m.id) {
			r.rules.lives[m.id].unwritten = true
			if r.now < m.deadline {
				r.rules.broken(m.id, "its notice is sent before it is written, and before the deadline")
			}
		}
		r.tell(m)
	})
}

// isPostponed reports whether the record of a message's ending is still to be written.
func (r *modelRelay) isPostponed(id string) bool {
	return slices.ContainsFunc(r.w.health.postponed, func(p postponedRecord) bool {
		return p.rec != nil && p.rec.Kind == recordEnding && p.rec.ID == id
	})
}

func (r *modelRelay) tell(m *heldMessage) {
	m.told = true
	r.rules.tell(m.id, m.notice)
}

func (r *modelRelay) compact() {
	if r.breaks == breaksEarlyCompaction && !r.killed {
		os.Truncate(r.w.path, 0)
	}
	if err := r.w.compact(); err != nil {
		r.w.failCompaction(err)
	}
}

func (r *modelRelay) retry() {
	if r.breaks == breaksPostponed {
		r.w.health.postponed = nil
	}
	r.w.retryWrites()
}

// Whatever fails and wherever the process is killed: each message has one final outcome, is not sent after it,
// and is not sent twice if its class does not allow that.
func TestLogKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := modelHistories.Draw(rt, "history")
		if err := runHistory(t, breaksNothing, history); err != nil {
			rt.Fatal(err)
		}
	})
}

// The model must detect each modelBug; otherwise a passing TestLogKeepsDeliveryRules would prove nothing.
func TestModelSeesBrokenRules(t *testing.T) {
	const most = 3000 // histories
	for _, breaks := range []breakage{breaksAnswerFirst, breaksForgetAttempt, breaksUnsafeUnlogged, breaksForgetEnd,
		breaksForgetEnding, breaksShortWrite, breaksPostponed, breaksDoubt, breaksWindow, breaksWord, breaksEarlyCompaction} {
		t.Run(string(breaks), func(t *testing.T) {
			t.Parallel()
			for seed := range most {
				if err := runHistory(t, breaks, modelHistories.Example(seed)); err != nil {
					t.Logf("history %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not detected in %d histories", most)
		})
	}
}
