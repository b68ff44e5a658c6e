package relay

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
)

// The log while its folder fails. Nothing new is taken on then. What the log is told of
// messages that were taken on before is booked in memory and kept in order, to be written
// once the folder works again: behind what the file holds, or by a compaction. A timer
// tries that. The failure is logged once as it begins and once as it ends.

const (
	healFirst = 100 * time.Millisecond // until the first try to write again
	healMost  = time.Second            // between two tries
)

var (
	errFolderFails = errors.New("log: the folder cannot be written")
	errNoFile      = errors.New("log: no file is open")
	// errPostponed says that a record is booked, and will be written when the folder works again.
	errPostponed = errors.New("log: to be written later")
)

// walHealth is what the log knows of a failing folder.
type walHealth struct {
	failing     bool // records cannot be written
	uncompacted bool // the last compaction failed; records can be written all the same
	torn        bool // bytes of a record that failed may lie behind the last whole one
	largest     int  // bytes of the largest record that failed
	postponed   []postponedRecord
	since       clock.Instant // the failure began; zero for none
	retry       *time.Timer
	retryWait   time.Duration
	retryAt     clock.Instant
	full        bool               // it was told that there is no room
	changed     func(failing bool) // told when failing changes; may be nil
}

// postponedRecord waits for the folder to work again.
type postponedRecord struct {
	rec  *record       // nil where only then is wanted, once everything before is written
	then func()        // may be nil
	by   clock.Instant // when then is called though rec is not written; zero for never
}

// retryTime is a channel on which the next try to write is due; nil for none.
func (h *walHealth) retryTime() <-chan time.Time {
	if h.retry == nil {
		return nil
	}
	return h.retry.C
}

// begin notes that the folder fails, and logs it where that is news.
func (w *wal) begin(operation string, cause error) {
	h := &w.health
	if !h.since.IsZero() {
		return
	}
	h.since = w.clock.Now()
	h.retryWait = healFirst
	h.retryAt = h.since.Add(h.retryWait)
	h.retry = time.NewTimer(h.retryWait)
	w.log.Error("state folder: failing", "folder", w.logs.dir, "operation", operation, "file", w.path, "offset", w.size, "err", cause)
}

// fail notes that a record cannot be written.
func (w *wal) fail(operation string, cause error) {
	w.begin(operation, cause)
	if !w.health.failing {
		w.health.failing = true
		w.tell()
	}
}

func (w *wal) tell() {
	if w.health.changed != nil {
		w.health.changed(w.health.failing)
	}
}

// failCompaction notes that a compaction failed. The log is as it was.
func (w *wal) failCompaction(cause error) {
	w.begin("compact", cause)
	w.health.uncompacted = true
}

// mayCompact is false for a while after a compaction that failed.
func (w *wal) mayCompact() bool {
	return !w.health.uncompacted || w.clock.Now() >= w.health.retryAt
}

// heal tries to write again what could not be written.
func (w *wal) heal() {
	h := &w.health
	if h.since.IsZero() {
		return
	}
	if h.failing && w.rewrite() == nil {
		h.failing = false
		h.largest = 0
		w.tell()
	}
	if !h.failing && h.uncompacted && w.compact() == nil {
		h.uncompacted = false
	}
	if !h.failing && !h.uncompacted {
		w.log.Info("state folder: works again", "folder", w.logs.dir, "after_ms", clock.Since(w.clock, h.since).Milliseconds())
		h.retry.Stop()
		h.retry, h.since = nil, 0
		return
	}
	w.callOverdue()
	h.retryWait = min(2*h.retryWait, healMost)
	h.retryAt = w.clock.Now().Add(h.retryWait)
	h.retry.Reset(h.retryWait)
}

// rewrite writes everything that is postponed, and makes sure that what failed would fit now.
func (w *wal) rewrite() error {
	err := w.flush()
	if err == nil {
		err = w.probe()
	}
	if err != nil { // a new file may do where this one does not
		err = w.compact()
	}
	return err
}

// flush writes what is postponed behind what the file holds.
func (w *wal) flush() error {
	h := &w.health
	for len(h.postponed) > 0 {
		next := h.postponed[0]
		if next.rec != nil {
			text, err := next.rec.encode(w.buffer[:0])
			if err != nil {
				return err
			}
			w.buffer = text
			if w.size+int64(len(text)) > w.limit-walSlack-w.others.Load() {
				return w.compact()
			}
			if err := w.writeRecord(text); err != nil {
				return err
			}
		}
		h.postponed = h.postponed[1:]
		next.written()
	}
	h.postponed = nil
	return nil
}

func (p *postponedRecord) written() {
	if p.then != nil {
		p.then()
	}
}

// probe writes as much as the largest record that failed, and takes it back.
func (w *wal) probe() error {
	room := w.limit - walSlack - w.others.Load() - w.size
	probe := make([]byte, max(min(int64(w.health.largest), room), 0))
	size := w.size
	if err := w.write(probe); err != nil {
		return err
	}
	w.size, w.health.torn = size, true
	return w.cutBack()
}

// cutBack removes what a failed write may have left behind the last whole record.
func (w *wal) cutBack() error {
	if !w.health.torn {
		return nil
	}
	if err := w.file.Truncate(w.size); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	w.health.torn = false
	return nil
}

// write puts text behind the last whole record. Where that fails the file ends with the
// last whole record all the same, now or before the next write.
func (w *wal) write(text []byte) error {
	if w.file == nil {
		return errNoFile
	}
	if err := w.cutBack(); err != nil {
		return err
	}
	if _, err := w.file.WriteAt(text, w.size); err != nil {
		w.health.torn = true
		w.health.largest = max(w.health.largest, len(text))
		return errors.Join(fmt.Errorf("log: %w", err), w.cutBack())
	}
	w.size += int64(len(text))
	return nil
}

// compacted books that the file holds everything.
func (w *wal) compacted() {
	h := &w.health
	h.torn, h.uncompacted = false, false
	if w.settled != nil {
		w.settled()
		w.settled = nil
	}
	written := h.postponed
	h.postponed = nil
	for i := range written {
		written[i].written()
	}
}

// postpone books a record that could not be written, where that is safe, and keeps it to be
// written later. An error other than errPostponed says that it does not count.
func (w *wal) postpone(r *record, cause error) error {
	if r.Kind == recAttempt && !w.repeatable(r) {
		return fmt.Errorf("%w: %w", errFolderFails, cause)
	}
	h := &w.health
	p := postponedRecord{rec: r}
	var result error
	switch r.Kind {
	case recOutage: // the newest is all that counts
		h.postponed = slices.DeleteFunc(h.postponed, func(old postponedRecord) bool {
			return old.rec != nil && old.rec.Kind == recOutage && old.rec.ID == r.ID
		})
	case recEnding:
		p.by = w.live[r.ID].rec.Deadline
		result = errPostponed
	}
	h.postponed = append(h.postponed, p)
	w.apply(r)
	return result
}

// repeatable reports whether an attempt may go out without its record. After a kill its message
// would be sent once more as if this attempt had never been. That is harmless where the class may
// simply be repeated, or where its last moment comes before its repeats are no longer recognised.
func (w *wal) repeatable(attempt *record) bool {
	message := w.live[attempt.ID].rec
	rules := message.Rules
	switch {
	case rules == nil:
		return false
	case rules.Idempotency == decide.Idempotent:
		return true
	case rules.Idempotency == decide.Deduplicated:
		return !rules.DedupByZone && message.Deadline <= attempt.At+clock.Instant(rules.DedupWindow)
	}
	return false
}

// whenWritten has then called once the record that was postponed last is written. For an ending
// that is at the end of its message's time at the latest: no later process would send it any more.
func (w *wal) whenWritten(then func()) {
	if last := len(w.health.postponed) - 1; last >= 0 {
		w.health.postponed[last].then = then
		return
	}
	then()
}

// afterAll has then called once everything that is booked by now is written.
func (w *wal) afterAll(then func()) {
	if w.health.failing || len(w.health.postponed) > 0 {
		w.health.postponed = append(w.health.postponed, postponedRecord{then: then})
		return
	}
	then()
}

// callOverdue calls what cannot wait any longer for its record to be written.
func (w *wal) callOverdue() {
	now := w.clock.Now()
	for i := range w.health.postponed {
		p := &w.health.postponed[i]
		if p.then != nil && !p.by.IsZero() && now >= p.by {
			p.then()
			p.then = nil
		}
	}
}

// refuseFull reports that there is no room for a message, the first time.
func (w *wal) refuseFull() {
	if !w.health.full {
		w.health.full = true
		w.log.Warn("log: full, new requests are refused", "file", w.path, "bytes", w.size, "owed", w.owed, "limit", w.limit)
	}
}

// tookOn reports that there is room again, where the longest message would fit.
func (w *wal) tookOn(free int64) {
	if w.health.full && 2*(w.owed+recordMost) <= free {
		w.health.full = false
		w.log.Info("log: not full any more", "file", w.path, "bytes", w.size, "owed", w.owed)
	}
}
