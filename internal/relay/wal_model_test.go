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
// real one does. The reference model sees only what clients, endpoints and the platform's agent see.

const (
	modelDedupWindowMicros = 2e6 // deduplication window of the keyed class
	modelDiskBytes         = 1 << 20
)

// modelStart is the clock reading at the start of each history.
var modelStart = clock.Reading{BootID: "model", Now: 1e12, Wall: 1.7e15}

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
	stepMayHaveRun, stepMayHaveRun, stepFinish, stepConfirm, stepCompact, stepRetry, stepFailWrites, stepFailAll,
	stepHeal, stepWait, stepWait}

// modelStep is one step. Each kind uses only the fields it needs.
type modelStep struct {
	Kind         stepKind
	MessageIndex int // selects one of the messages that the step can apply to
	Repeat       decide.Idempotency
	Micros       int64
	Bytes        int  // length of a body, or how many bytes of a failing write reach the file
	Kill         bool // kill the process in this step, once Bytes are written
}

// modelHistories generates histories.
var modelHistories = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) modelStep {
	return modelStep{
		Kind:         rapid.SampledFrom(drawnSteps).Draw(t, "kind"),
		MessageIndex: rapid.IntRange(0, 7).Draw(t, "which"),
		Repeat: rapid.SampledFrom([]decide.Idempotency{decide.Idempotent, decide.Deduplicated, decide.NonIdempotent}).
			Draw(t, "repeat"),
		Micros: rapid.Int64Range(1, 4e6).Draw(t, "micros"),
		Bytes:  rapid.IntRange(0, 400).Draw(t, "bytes"),
		Kill:   rapid.IntRange(0, 9).Draw(t, "kill") == 0,
	}
}), 10, 60)

// modelBug is a bug put into the small relay or its log, to show that the model detects it.
type modelBug string

const (
	bugNone                     modelBug = "nothing"
	bugReplyBeforeRecord        modelBug = "replies before the record is written"
	bugNoAttemptRecord          modelBug = "sends attempts without a record"
	bugNonIdempotentUnrecorded  modelBug = "sends a non-idempotent message although its record failed"
	bugNoEndRecord              modelBug = "does not write ends"
	bugNoticeBeforeRecord       modelBug = "sends a notice before it is written"
	bugKeepPartialWrite         modelBug = "does not truncate partial writes"
	bugDropPostponed            modelBug = "forgets postponed records"
	bugForgetMayHaveRun         modelBug = "sends again what may have run before a restart"
	bugIgnoreDedupWindow        modelBug = "sends a keyed message again after its window"
	bugOtherNotice              modelBug = "sends another notice after a restart"
	bugTruncateBeforeCompaction modelBug = "empties the old log before a compaction"
)

// modelMessage is the model's state of a message.
type modelMessage struct {
	repeat          decide.Idempotency
	accepted        bool // the client received +OK
	refused         bool
	mayHaveRun      bool          // an attempt may have run
	firstSent       clock.Instant // send of the first such attempt
	inFlight        bool
	notice          string // outcome in the notice to the platform's agent; empty for none
	noticeUnwritten bool   // the notice was sent at the deadline, before its record could be written
	endWritten      bool   // the end of the message is written
	endSubmitted    bool   // the end of the message was passed to the log
	delivered       bool
}

// modelChecker checks everything that is visible from outside the relay.
type modelChecker struct {
	messages map[string]*modelMessage
	err      error // the first violation
}

func (m *modelChecker) violation(id, rule string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s", id, rule)
	}
}

// checkSend checks an attempt that is sent to an endpoint.
func (m *modelChecker) checkSend(id string, now clock.Instant) {
	msg := m.messages[id]
	switch {
	case msg.refused:
		m.violation(id, "sent after it was refused")
	case msg.notice != "" || msg.endWritten:
		m.violation(id, "sent after its notice or end")
	case msg.mayHaveRun && msg.repeat == decide.NonIdempotent:
		m.violation(id, "non-idempotent message sent twice")
	case msg.mayHaveRun && msg.repeat == decide.Deduplicated && now >= msg.firstSent+modelDedupWindowMicros:
		m.violation(id, "sent again after its deduplication window")
	}
	msg.inFlight = true
	if !msg.mayHaveRun {
		msg.mayHaveRun, msg.firstSent = true, now
	}
}

// checkNotice checks a notice that is sent to the platform's agent.
func (m *modelChecker) checkNotice(id, outcome string) {
	msg := m.messages[id]
	switch {
	case msg.endWritten:
		m.violation(id, "notice after its end")
	case msg.notice != "" && msg.notice != outcome && !msg.noticeUnwritten:
		m.violation(id, "second notice with another outcome")
	}
	msg.notice = outcome
}

// checkRecovered checks the messages that a new process recovers.
func (m *modelChecker) checkRecovered(recovered map[string]*record) {
	for id, msg := range m.messages {
		rec := recovered[id]
		switch {
		case msg.refused && rec != nil:
			m.violation(id, "recovered although it was refused")
		case msg.endWritten && rec != nil:
			m.violation(id, "recovered after its end")
		case msg.accepted && !msg.endSubmitted && rec == nil:
			m.violation(id, "accepted and lost")
		case msg.notice != "" && !msg.endSubmitted && rec.Notice != msg.notice && !msg.noticeUnwritten:
			m.violation(id, "its notice is lost")
		}
		msg.inFlight = false
		if rec != nil {
			msg.accepted, msg.endSubmitted = true, false
		} else if !msg.accepted {
			msg.refused = true // the client got no reply, and no process knows the message
		}
	}
}

// relayMessage is the small relay's state of a message.
type relayMessage struct {
	id            string
	repeat        decide.Idempotency
	deadline      clock.Instant
	mayHaveRunAt  clock.Instant // send of the first attempt that may have run; zero for none
	inFlightSince clock.Instant // send of the attempt in flight; zero for none
	notice        string
	noticeSent    bool
}

// modelRelay is a small relay that uses the log as the real one does.
type modelRelay struct {
	tb       testing.TB
	dir      string
	folder   *faultyFolder
	bug      modelBug
	wal      *wal
	messages []*relayMessage
	checker  *modelChecker
	clock    *clock.Manual
	now      clock.Instant
	nextID   int
	killed   bool // the process is killed in this step: nothing it does is visible any more
}

// runHistory returns the first violation in a history.
func runHistory(tb testing.TB, bug modelBug, history []modelStep) error {
	dir, err := os.MkdirTemp("", "model")
	if err != nil {
		tb.Fatal(err)
	}
	defer os.RemoveAll(dir)
	r := &modelRelay{tb: tb, dir: dir, folder: newFaultyFolder(), bug: bug, clock: clock.NewManual(modelStart),
		now:     modelStart.Now,
		checker: &modelChecker{messages: map[string]*modelMessage{}}}
	r.folder.ignoresTruncate = bug == bugKeepPartialWrite
	r.restart()
	defer func() { closeFaultyWAL(r.wal) }()
	for i, step := range history {
		if step.Kill {
			r.killed = true
			r.folder.killAfter = step.Bytes
		}
		r.step(step)
		if r.killed {
			closeFaultyWAL(r.wal)
			r.folder.killAfter = -1
			r.killed = false
			r.folder.heal()
			r.restart()
		}
		r.checkWritten()
		if r.checker.err != nil {
			return fmt.Errorf("step %d: %w", i, r.checker.err)
		}
	}
	closeFaultyWAL(r.wal)
	r.folder.heal()
	r.restart()
	return r.checker.err
}

// restart starts a new process on the folder.
func (r *modelRelay) restart() {
	slots, err := lockLogSlots(r.folder, r.dir)
	if err != nil {
		r.tb.Fatal(err)
	}
	w, pending, err := openWAL(slots, modelDiskBytes, func(string) bool { return false }, r.clock, discardLogger())
	if err != nil {
		r.tb.Fatal(err)
	}
	r.wal, r.messages = w, nil
	found := map[string]*record{}
	for _, rec := range pending {
		found[rec.ID] = rec
		msg := &relayMessage{id: rec.ID, repeat: rec.Rules.Idempotency, deadline: rec.Deadline,
			mayHaveRunAt: rec.MayHaveRunAt, notice: rec.Notice}
		if r.bug == bugForgetMayHaveRun {
			msg.mayHaveRunAt = 0
		}
		r.messages = append(r.messages, msg)
	}
	r.checker.checkRecovered(found)
	for _, msg := range r.messages {
		if msg.notice == "" {
			continue
		}
		if r.bug == bugOtherNotice {
			msg.notice = "another"
		}
		r.sendNotice(msg)
	}
}

// checkWritten notes which ends are written, and checks that the log has complete records only. It does
// nothing while the folder fails.
func (r *modelRelay) checkWritten() {
	if len(r.wal.health.postponed) > 0 || r.wal.health.failing {
		return
	}
	for _, msg := range r.checker.messages {
		msg.endWritten = msg.endWritten || msg.endSubmitted
	}
	text, err := os.ReadFile(r.wal.path)
	if err != nil {
		r.tb.Fatal(err)
	}
	for at := 0; at < len(text); {
		_, size := decodeRecord(text[at:])
		if size == 0 {
			r.checker.violation(r.wal.path, fmt.Sprintf("no complete record at %d of %d bytes", at, len(text)))
			return
		}
		at += size
	}
}

// pick returns one of the messages that a step can apply to, or nil if there are none.
func (r *modelRelay) pick(index int, eligible func(*relayMessage) bool) *relayMessage {
	var candidates []*relayMessage
	for _, m := range r.messages {
		if eligible(m) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[index%len(candidates)]
}

// perform writes a record and passes the log's result to onDone, unless the process is killed meanwhile.
func (r *modelRelay) perform(rec *record, onDone func(error)) {
	process := r.wal
	r.wal.perform(walOp{rec: rec, onDone: func(err error) {
		if !r.killed && r.wal == process {
			onDone(err)
		}
	}})
}

func ignoreResult(error) {}

func (r *modelRelay) step(step modelStep) {
	switch step.Kind {
	case stepAccept:
		r.accept(step)
	case stepAttempt:
		if msg := r.pick(step.MessageIndex, r.maySend); msg != nil {
			r.attempt(msg)
		}
	case stepDelivered, stepNeverRan, stepMayHaveRun:
		if msg := r.pick(step.MessageIndex,
			func(msg *relayMessage) bool { return msg.inFlightSince != 0 }); msg != nil {
			r.outcome(msg, step.Kind)
		}
	case stepFinish:
		if msg := r.pick(step.MessageIndex, func(msg *relayMessage) bool {
			return msg.inFlightSince == 0 &&
				msg.notice == ""
		}); msg != nil {
			r.finish(msg)
		}
	case stepConfirm:
		if msg := r.pick(step.MessageIndex, func(msg *relayMessage) bool { return msg.noticeSent }); msg != nil {
			r.end(msg, false)
		}
	case stepCompact:
		r.compact()
	case stepRetry:
		r.retry()
	case stepFailWrites:
		r.folder.fail(syscall.ENOSPC, step.Bytes, opWrite)
	case stepFailAll:
		r.folder.fail(syscall.EIO, step.Bytes, modifyingOperations...)
	case stepHeal:
		r.folder.heal()
		r.retry()
	case stepWait:
		r.clock.Advance(time.Duration(step.Micros) * time.Microsecond)
		r.now = r.clock.Now()
	}
}

func (r *modelRelay) accept(step modelStep) {
	id := fmt.Sprint("m", r.nextID)
	r.nextID++
	msg := &relayMessage{id: id, repeat: step.Repeat, deadline: r.now + clock.Instant(2*step.Micros)}
	state := &modelMessage{repeat: step.Repeat}
	r.checker.messages[id] = state
	rec := &record{Kind: recordAccepted, ID: id, Class: "c", Deadline: msg.deadline, MaxAttempts: 8,
		body:  make([]byte, step.Bytes),
		Rules: &decide.Class{Name: "c", Idempotency: step.Repeat, Deadline: 20e6, DedupWindow: modelDedupWindowMicros}}
	r.perform(rec, func(err error) {
		if err != nil && r.bug != bugReplyBeforeRecord {
			state.refused = true
			return
		}
		state.accepted = true
		r.messages = append(r.messages, msg)
	})
}

// maySend is the rule by which the policy allows another attempt.
func (r *modelRelay) maySend(msg *relayMessage) bool {
	if msg.inFlightSince != 0 || msg.notice != "" || r.now >= msg.deadline {
		return false
	}
	switch {
	case msg.mayHaveRunAt == 0 || msg.repeat == decide.Idempotent:
		return true
	case msg.repeat == decide.Deduplicated:
		return r.bug == bugIgnoreDedupWindow || r.now < msg.mayHaveRunAt+modelDedupWindowMicros
	}
	return false
}

func (r *modelRelay) attempt(msg *relayMessage) {
	send := func() {
		msg.inFlightSince = r.now
		r.checker.checkSend(msg.id, r.now)
	}
	if r.bug == bugNoAttemptRecord {
		if !r.killed {
			send()
		}
		return
	}
	r.perform(&record{Kind: recordAttempt, ID: msg.id, At: r.now}, func(err error) {
		if err == nil || r.bug == bugNonIdempotentUnrecorded && !errors.Is(err, errNotPending) {
			send()
		}
	})
}

func (r *modelRelay) outcome(msg *relayMessage, kind stepKind) {
	state := r.checker.messages[msg.id]
	sent := msg.inFlightSince
	msg.inFlightSince, state.inFlight = 0, false
	switch kind {
	case stepDelivered:
		r.end(msg, true)
		return
	case stepNeverRan:
		if state.firstSent == sent { // the endpoint shows that the attempt did not run
			state.mayHaveRun = msg.mayHaveRunAt != 0
		}
	case stepMayHaveRun:
		if msg.mayHaveRunAt == 0 {
			msg.mayHaveRunAt = sent
		}
	}
	r.perform(&record{Kind: recordOutcome, ID: msg.id, MayHaveRun: kind == stepMayHaveRun}, ignoreResult)
}

// end writes the end of a message.
func (r *modelRelay) end(msg *relayMessage, delivered bool) {
	r.messages = slices.DeleteFunc(r.messages, func(other *relayMessage) bool { return other == msg })
	state := r.checker.messages[msg.id]
	state.endSubmitted, state.delivered = true, delivered
	if r.bug != bugNoEndRecord {
		r.perform(&record{Kind: recordEnd, ID: msg.id, MayHaveRun: delivered}, ignoreResult)
	}
}

// finish ends a message that was not delivered with a notice.
func (r *modelRelay) finish(msg *relayMessage) {
	msg.notice = noticeGivenUp
	if msg.mayHaveRunAt == 0 || msg.repeat == decide.Idempotent || msg.repeat == decide.Deduplicated &&
		r.now < msg.mayHaveRunAt+modelDedupWindowMicros {
		msg.notice = noticeHandedBack
	}
	if r.bug == bugNoticeBeforeRecord && !r.killed {
		r.sendNotice(msg)
	}
	r.perform(&record{Kind: recordEnding, ID: msg.id, Notice: msg.notice}, func(error) {
		if r.isPostponed(msg.id) {
			r.checker.messages[msg.id].noticeUnwritten = true
			if r.now < msg.deadline {
				r.checker.violation(msg.id, "its notice is sent before it is written, and before the deadline")
			}
		}
		r.sendNotice(msg)
	})
}

// isPostponed reports whether the record of a message's ending is still to be written.
func (r *modelRelay) isPostponed(id string) bool {
	return slices.ContainsFunc(r.wal.health.postponed, func(p postponedRecord) bool {
		return p.rec != nil && p.rec.Kind == recordEnding && p.rec.ID == id
	})
}

func (r *modelRelay) sendNotice(msg *relayMessage) {
	msg.noticeSent = true
	r.checker.checkNotice(msg.id, msg.notice)
}

func (r *modelRelay) compact() {
	if r.bug == bugTruncateBeforeCompaction && !r.killed {
		os.Truncate(r.wal.path, 0)
	}
	if err := r.wal.compact(); err != nil {
		r.wal.failCompaction(err)
	}
}

func (r *modelRelay) retry() {
	if r.bug == bugDropPostponed {
		r.wal.health.postponed = nil
	}
	r.wal.retryWrites()
}

// Whatever fails and wherever the process is killed: each message has one final outcome, is not sent after it,
// and is not sent twice if its class does not allow that.
func TestLogKeepsDeliveryRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := modelHistories.Draw(rt, "history")
		if err := runHistory(t, bugNone, history); err != nil {
			rt.Fatal(err)
		}
	})
}

// The model must detect each modelBug; otherwise a passing TestLogKeepsDeliveryRules would prove nothing.
func TestModelDetectsBugs(t *testing.T) {
	const maxHistories = 3000
	for _, bug := range []modelBug{bugReplyBeforeRecord, bugNoAttemptRecord, bugNonIdempotentUnrecorded, bugNoEndRecord,
		bugNoticeBeforeRecord, bugKeepPartialWrite, bugDropPostponed, bugForgetMayHaveRun, bugIgnoreDedupWindow,
		bugOtherNotice, bugTruncateBeforeCompaction} {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			for seed := range maxHistories {
				if err := runHistory(t, bug, modelHistories.Example(seed)); err != nil {
					t.Logf("history %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not detected in %d histories", maxHistories)
		})
	}
}
