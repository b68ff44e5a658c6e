package relay

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
)

// This file handles failures of the state folder. While the folder fails, no new messages are accepted.
// Records of messages that were accepted before are applied in memory and postponed, in order. Once the
// folder works again they are appended to the file or written by a compaction. A timer retries that.
// Each failure is logged once when it begins and once when it ends.

const (
	firstWriteRetryDelay = 100 * time.Millisecond
	maxWriteRetryDelay   = time.Second
)

var (
	errFolderUnwritable = errors.New("log: state folder is not writable")
	errNoFile           = errors.New("log: no file is open")
	// errPostponed: the record is applied, and will be written once the state folder works again.
	errPostponed = errors.New("log: record postponed")
)

// walHealth is the state of the log with regard to a failing folder.
type walHealth struct {
	failing            bool // records cannot be written
	compactionFailed   bool // the last compaction failed; records may still be writable
	tornTail           bool // part of a failed write may be in the file after the last complete record
	largestFailedBytes int  // size of the largest write that failed
	postponed          []postponedRecord
	failingSince       clock.Instant // start of the failure; zero for none
	retryTimer         *time.Timer
	retryDelay         time.Duration
	retryAt            clock.Instant
	fullReported       bool               // the log has reported that there is no space
	onChange           func(failing bool) // called when failing changes; may be nil
}

// postponedRecord is a record or a callback that waits until the folder works again.
type postponedRecord struct {
	rec       *record       // nil for a callback alone
	onWritten func()        // called once everything up to rec is written; may be nil
	callBy    clock.Instant // when onWritten is called even if rec is not written; zero for never
}

// retryDue returns the channel that fires when the next retry is due, or nil if none is planned.
func (h *walHealth) retryDue() <-chan time.Time {
	if h.retryTimer == nil {
		return nil
	}
	return h.retryTimer.C
}

// beginFailure starts the retries, and logs that the folder fails. It does nothing during a failure.
func (w *wal) beginFailure(operation string, cause error) {
	h := &w.health
	if !h.failingSince.IsZero() {
		return
	}
	h.failingSince = w.clock.Now()
	h.retryDelay = firstWriteRetryDelay
	h.retryAt = h.failingSince.Add(h.retryDelay)
	h.retryTimer = time.NewTimer(h.retryDelay)
	w.log.Error("state folder: failing", "folder", w.slots.dir, "operation", operation,
		"file", w.path, "offset", w.size, "err", cause)
}

// failWrites notes that records cannot be written.
func (w *wal) failWrites(operation string, cause error) {
	w.beginFailure(operation, cause)
	if !w.health.failing {
		w.health.failing = true
		w.notifyFailing()
	}
}

// notifyFailing calls onChange with the current state.
func (w *wal) notifyFailing() {
	if w.health.onChange != nil {
		w.health.onChange(w.health.failing)
	}
}

// failCompaction notes that a compaction failed. The file is unchanged.
func (w *wal) failCompaction(cause error) {
	w.beginFailure("compact", cause)
	w.health.compactionFailed = true
}

// compactionAllowed reports whether a compaction may be attempted. After a failed one it waits for the next retry.
func (w *wal) compactionAllowed() bool {
	return !w.health.compactionFailed || w.clock.Now() >= w.health.retryAt
}

// retryWrites attempts again what could not be written.
func (w *wal) retryWrites() {
	h := &w.health
	if h.failingSince.IsZero() {
		return
	}
	if h.failing && w.resumeWrites() == nil {
		h.failing = false
		h.largestFailedBytes = 0
		w.notifyFailing()
	}
	if !h.failing && h.compactionFailed && w.compact() == nil {
		h.compactionFailed = false
	}
	if !h.failing && !h.compactionFailed {
		w.log.Info("state folder: works again", "folder", w.slots.dir,
			"after_ms", clock.Since(w.clock, h.failingSince).Milliseconds())
		h.retryTimer.Stop()
		h.retryTimer, h.failingSince = nil, 0
		return
	}
	w.callOverdue()
	h.retryDelay = min(2*h.retryDelay, maxWriteRetryDelay)
	h.retryAt = w.clock.Now().Add(h.retryDelay)
	h.retryTimer.Reset(h.retryDelay)
}

// resumeWrites writes everything that is postponed, and checks that the largest failed write would succeed now.
func (w *wal) resumeWrites() error {
	err := w.flushPostponed()
	if err == nil {
		err = w.probeSpace()
	}
	if err != nil { // a new file may be writable even if this one is not
		err = w.compact()
	}
	return err
}

// flushPostponed appends the postponed records to the file.
func (w *wal) flushPostponed() error {
	h := &w.health
	for len(h.postponed) > 0 {
		next := h.postponed[0]
		if next.rec != nil {
			data, err := next.rec.encode(w.buffer[:0])
			if err != nil {
				return err
			}
			w.buffer = data
			if w.size+int64(len(data)) > w.limitBytes-diskSlackBytes-w.otherLogsBytes.Load() {
				return w.compact()
			}
			if err := w.writeRecord(data); err != nil {
				return err
			}
		}
		h.postponed = h.postponed[1:]
		next.notifyWritten()
	}
	h.postponed = nil
	return nil
}

// notifyWritten calls onWritten if it is set.
func (p *postponedRecord) notifyWritten() {
	if p.onWritten != nil {
		p.onWritten()
	}
}

// probeSpace writes as many bytes as the largest failed write had, and truncates them again.
func (w *wal) probeSpace() error {
	freeBytes := w.limitBytes - diskSlackBytes - w.otherLogsBytes.Load() - w.size
	filler := make([]byte, max(min(int64(w.health.largestFailedBytes), freeBytes), 0))
	size := w.size
	if err := w.write(filler); err != nil {
		return err
	}
	w.size, w.health.tornTail = size, true
	return w.truncateTornTail()
}

// truncateTornTail removes what a failed write may have left after the last complete record.
func (w *wal) truncateTornTail() error {
	if !w.health.tornTail {
		return nil
	}
	if err := w.file.Truncate(w.size); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	w.health.tornTail = false
	return nil
}

// write appends data after the last complete record. If that fails the partial write is truncated,
// now or before the next write.
func (w *wal) write(data []byte) error {
	if w.file == nil {
		return errNoFile
	}
	if err := w.truncateTornTail(); err != nil {
		return err
	}
	if _, err := w.file.WriteAt(data, w.size); err != nil {
		w.health.tornTail = true
		w.health.largestFailedBytes = max(w.health.largestFailedBytes, len(data))
		return errors.Join(fmt.Errorf("log: %w", err), w.truncateTornTail())
	}
	w.size += int64(len(data))
	return nil
}

// compactionDone updates the state after a compaction: the file now holds everything.
func (w *wal) compactionDone() {
	h := &w.health
	h.tornTail, h.compactionFailed = false, false
	if w.removeRecovered != nil {
		w.removeRecovered()
		w.removeRecovered = nil
	}
	written := h.postponed
	h.postponed = nil
	for i := range written {
		written[i].notifyWritten()
	}
}

// postpone applies a record that could not be written and keeps it to be written later, if that is
// safe. Any error but errPostponed means that the record was rejected.
func (w *wal) postpone(rec *record, cause error) error {
	if rec.Kind == recordAttempt && !w.maySendUnrecorded(rec) {
		return fmt.Errorf("%w: %w", errFolderUnwritable, cause)
	}
	h := &w.health
	p := postponedRecord{rec: rec}
	var result error
	switch rec.Kind {
	case recordOutage: // only the newest outage record of an endpoint counts
		h.postponed = slices.DeleteFunc(h.postponed, func(old postponedRecord) bool {
			return old.rec != nil && old.rec.Kind == recordOutage && old.rec.ID == rec.ID
		})
	case recordEnd:
		p.callBy = w.pending[rec.ID].rec.Deadline
	case recordEnding:
		p.callBy = w.pending[rec.ID].rec.Deadline
		result = errPostponed
	}
	h.postponed = append(h.postponed, p)
	w.apply(rec)
	return result
}

// maySendUnrecorded reports whether an attempt may be sent without its record. After a kill the
// message would be sent again as if the attempt had not been made. That is harmless if its class is
// idempotent. It is also harmless if its class is deduplicated across zones and its deadline comes
// before the deduplication window of the attempt ends. With DedupByZone the message could be sent again
// in another zone, which does not recognize it.
func (w *wal) maySendUnrecorded(attempt *record) bool {
	message := w.pending[attempt.ID].rec
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

// isPostponed reports whether rec is the newest postponed record.
func (w *wal) isPostponed(rec *record) bool {
	last := len(w.health.postponed) - 1
	return last >= 0 && w.health.postponed[last].rec == rec
}

// whenLastWritten calls onWritten once the last postponed record is written. If that is a recordEnding or a recordEnd
// and still not written at the deadline of its message, onWritten is called at the next retry: after the deadline no
// later process would send the message any more.
func (w *wal) whenLastWritten(onWritten func()) {
	if last := len(w.health.postponed) - 1; last >= 0 {
		w.health.postponed[last].onWritten = onWritten
		return
	}
	onWritten()
}

// whenAllWritten calls onWritten once everything applied so far is written.
func (w *wal) whenAllWritten(onWritten func()) {
	if w.health.failing || len(w.health.postponed) > 0 {
		w.health.postponed = append(w.health.postponed, postponedRecord{onWritten: onWritten})
		return
	}
	onWritten()
}

// callOverdue calls each onWritten whose callBy has passed before its record was written.
func (w *wal) callOverdue() {
	now := w.clock.Now()
	for i := range w.health.postponed {
		p := &w.health.postponed[i]
		if p.onWritten != nil && !p.callBy.IsZero() && now >= p.callBy {
			p.onWritten()
			p.onWritten = nil
		}
	}
}

// reportFull logs once that there is no space for a message.
func (w *wal) reportFull() {
	if !w.health.fullReported {
		w.health.fullReported = true
		w.log.Warn("log: full, new messages are refused", "file", w.path, "bytes", w.size,
			"owed", w.reservedBytes, "limit", w.limitBytes)
	}
}

// reportSpaceAvailable logs that there is space again, once the longest message would fit.
func (w *wal) reportSpaceAvailable(freeBytes int64) {
	if w.health.fullReported && 2*(w.reservedBytes+maxRecordBytes) <= freeBytes {
		w.health.fullReported = false
		w.log.Info("log: space available again", "file", w.path, "bytes", w.size, "owed", w.reservedBytes)
	}
}
