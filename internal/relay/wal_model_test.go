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

// The log against a model of a request's life. A history is a list of steps: requests come, attempts go
// out and end, the folder fails and heals, the process is killed at any byte. A small relay does with the
// log what the real one does; the model sees only what clients, endpoints and the platform see.

const (
	modelWindow = 2e6 // of the keyed class, in microseconds
	modelDisk   = 1 << 20
)

// modelStart is what the clocks show at first.
var modelStart = clock.Reading{BootID: "model", Now: 1e12, Wall: 1.7e15}

// modelChecks is how many histories a run tries unless -rapid.checks says otherwise: a few seconds.
const modelChecks = "500"

func init() { flag.Set("rapid.checks", modelChecks) }

// stepKind says what happens in a step.
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

// drawnSteps has the kinds of step as often as they are to come up.
var drawnSteps = []stepKind{stepAccept, stepAccept, stepAttempt, stepAttempt, stepAttempt, stepDelivered, stepNeverRan,
	stepMayHaveRun, stepMayHaveRun, stepFinish, stepConfirm, stepCompact, stepRetry, stepFailWrites, stepFailAll, stepHeal,
	stepWait, stepWait}

// modelStep is one step. What it does not need is not looked at.
type modelStep struct {
	Kind   stepKind
	Which  int // of the requests that the step may be about
	Repeat decide.Repeat
	Micros int64
	Bytes  int  // of a write that reach the file
	Kill   bool // in this step, after Bytes
}

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

// breakage is a rule that the relay or its log breaks on purpose, to show that the model sees it.
type breakage string

const (
	breaksNothing         breakage = "nothing"
	breaksAnswerFirst     breakage = "answers before the record is written"
	breaksForgetAttempt   breakage = "sends without a record"
	breaksUnsafeUnlogged  breakage = "sends what may not be repeated though its record failed"
	breaksForgetEnd       breakage = "does not write ends"
	breaksForgetEnding    breakage = "tells an end before it is written"
	breaksShortWrite      breakage = "does not cut short writes back"
	breaksPostponed       breakage = "forgets what was to be written later"
	breaksDoubt           breakage = "sends again what may have run before a restart"
	breaksWindow          breakage = "repeats a keyed request after its window"
	breaksWord            breakage = "tells another final answer after a restart"
	breaksEarlyCompaction breakage = "empties the old log before a compaction"
)

// life is what the model knows of a request.
type life struct {
	repeat    decide.Repeat
	answered  bool // by +OK
	refused   bool
	ran       bool // an attempt may have run
	ranAt     clock.Instant
	out       bool
	told      string // its final answer, when the platform was told one
	unwritten bool   // its time was over and its end could not be written when the platform was told
	over      bool   // its end is written
	ending    bool   // its end is booked
	delivered bool
}

// rules checks what is seen from outside.
type rules struct {
	lives map[string]*life
	err   error
}

func (m *rules) broken(id, rule string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s", id, rule)
	}
}

// forwarded: an attempt of the request has left.
func (m *rules) forwarded(id string, now clock.Instant) {
	l := m.lives[id]
	switch {
	case l.refused:
		m.broken(id, "forwarded after it was refused")
	case l.told != "" || l.over:
		m.broken(id, "forwarded after its final answer")
	case l.ran && l.repeat == decide.Unsafe:
		m.broken(id, "forwarded twice")
	case l.ran && l.repeat == decide.Keyed && now >= l.ranAt+modelWindow:
		m.broken(id, "forwarded again after its window")
	}
	l.out = true
	if !l.ran {
		l.ran, l.ranAt = true, now
	}
}

// tell: the platform is told a final answer.
func (m *rules) tell(id, word string) {
	l := m.lives[id]
	switch {
	case l.over:
		m.broken(id, "a final answer after its end")
	case l.told != "" && l.told != word && !l.unwritten:
		m.broken(id, "a second final answer")
	}
	l.told = word
}

// restarted checks what a new process knows.
func (m *rules) restarted(owed map[string]*record) {
	for id, l := range m.lives {
		r := owed[id]
		switch {
		case l.refused && r != nil:
			m.broken(id, "owed though it was refused")
		case l.over && r != nil:
			m.broken(id, "owed after its end")
		case l.answered && !l.ending && r == nil:
			m.broken(id, "taken on and lost")
		case l.told != "" && !l.ending && r.Notice != l.told && !l.unwritten:
			m.broken(id, "its final answer is lost")
		}
		l.out = false
		if r != nil {
			l.answered, l.ending = true, false
		} else if !l.answered {
			l.refused = true // its client was never answered, and nobody knows it
		}
	}
}

// heldMessage is what the small relay knows of a message.
type heldMessage struct {
	id       string
	repeat   decide.Repeat
	deadline clock.Instant
	doubt    clock.Instant // send of the first attempt that may have run; 0 for none
	sent     clock.Instant // of the attempt that is out; 0 for none
	notice   string
	told     bool
}

// modelRelay does with the log what the relay does.
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
	killed bool // in this step: nobody hears of anything any more
}

// runHistory gives the first rule that a history breaks.
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

// restart is the start of a process.
func (r *modelRelay) restart() {
	held, err := holdLogs(r.folder, r.dir)
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
		m := &heldMessage{id: rec.ID, repeat: rec.Rules.Repeat, deadline: rec.Deadline, doubt: rec.Doubt, notice: rec.Notice}
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

// checkWritten notes which ends are written, and reads the log where the folder works.
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
			r.rules.broken(r.w.path, fmt.Sprintf("no whole record at %d of %d bytes", at, len(text)))
			return
		}
		at += size
	}
}

// pick chooses among the messages that a step may be about; nil where there are none.
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

// perform writes a record; heard is called as the log says so, unless the process is killed meanwhile.
func (r *modelRelay) perform(rec *record, heard func(error)) {
	process := r.w
	r.w.perform(walOp{rec: rec, then: func(err error) {
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
	rec := &record{Kind: recTaken, ID: id, Class: "c", Deadline: m.deadline, Most: 8, body: make([]byte, s.Bytes),
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

// maySend is the policy's rule.
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
	r.perform(&record{Kind: recAttempt, ID: m.id, At: r.now}, func(err error) {
		if err == nil || r.breaks == breaksUnsafeUnlogged && !errors.Is(err, errNotOwed) {
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
		if l.ranAt == sent { // it is seen at the endpoint that it did not run
			l.ran = m.doubt != 0
		}
	case stepMayHaveRun:
		if m.doubt == 0 {
			m.doubt = sent
		}
	}
	r.perform(&record{Kind: recOutcome, ID: m.id, Ran: kind == stepMayHaveRun}, ignoreResult)
}

// end writes that nothing is owed any more.
func (r *modelRelay) end(m *heldMessage, delivered bool) {
	r.held = slices.DeleteFunc(r.held, func(x *heldMessage) bool { return x == m })
	l := r.rules.lives[m.id]
	l.ending, l.delivered = true, delivered
	if r.breaks != breaksForgetEnd {
		r.perform(&record{Kind: recEnd, ID: m.id, Ran: delivered}, ignoreResult)
	}
}

// finish gives the final answer of a message that was not delivered.
func (r *modelRelay) finish(m *heldMessage) {
	m.notice = endGivenUp
	if m.doubt == 0 || m.repeat == decide.Safe || m.repeat == decide.Keyed && r.now < m.doubt+modelWindow {
		m.notice = endHandedBack
	}
	if r.breaks == breaksForgetEnding && !r.killed {
		r.tell(m)
	}
	r.perform(&record{Kind: recEnding, ID: m.id, Notice: m.notice}, func(error) {
		if r.isPostponed(m.id) {
			r.rules.lives[m.id].unwritten = true
			if r.now < m.deadline {
				r.rules.broken(m.id, "its final answer is told before it is written, in its time")
			}
		}
		r.tell(m)
	})
}

// isPostponed reports whether an ending is still to be written.
func (r *modelRelay) isPostponed(id string) bool {
	return slices.ContainsFunc(r.w.health.postponed, func(p postponedRecord) bool {
		return p.rec != nil && p.rec.Kind == recEnding && p.rec.ID == id
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
	r.w.heal()
}

// Exactly one final answer, none forwarded after it, and nothing twice that may not be repeated, whatever
// fails and wherever the process is killed.
func TestLogKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := modelHistories.Draw(rt, "history")
		if err := runHistory(t, breaksNothing, history); err != nil {
			rt.Fatal(err)
		}
	})
}

// The model sees it where a rule is broken; otherwise that the rules hold says nothing.
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
			t.Errorf("not seen in %d histories", most)
		})
	}
}
