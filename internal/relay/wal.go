package relay

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"slices"
	"sync/atomic"

	"troutusher/decide"
	"troutusher/internal/clock"
)

// The write-ahead log holds each message from its acceptance until its end is certain. A record
// consists of a marker, the length and the checksum of the payload, and the payload: a line of JSON,
// then the message body. The operating system keeps written data when a process is killed, so files
// are not synced.

const (
	compactionSuffix    = ".new" // suffix of the file that a compaction writes
	recordMarker        = "\xf7TRW"
	recordHeaderBytes   = 12        // marker, payload length and checksum
	maxRecordBytes      = 128 << 10 // longer than any record that is written
	diskSlackBytes      = 16 << 10  // left unused below the disk limit, since file sizes are rounded up
	updateHeadroomBytes = 64 << 10  // kept free for later records of accepted messages
	minCompactionBytes  = 1 << 20   // shorter logs are not worth compacting
	messageStateBytes   = 300       // by which the later state of a message may lengthen its record
	maxZoneNameBytes    = 48        // longer zone names are truncated
	classRulesBytes     = 320       // most that the rules of a class take, without its name
	// Outage records take at most 1/outageDiskDivisor of the disk limit, each about outageRecordBytes.
	// The newest are kept.
	outageDiskDivisor = 32
	outageRecordBytes = 256
	// Ids of ended messages are kept for classes that are not idempotent. They take at most
	// 1/endedDiskDivisor of the disk limit, each about endedRecordBytes. The newest are kept.
	endedDiskDivisor = 32
	endedRecordBytes = 160
)

var (
	errDiskFull       = errors.New("log: no space left")
	errNotPending     = errors.New("log: message is not pending")
	errRecordEncoding = errors.New("log: record cannot be encoded")
)

// recordKind is what a record reports, for most kinds about one message.
type recordKind string

const (
	recordAccepted recordKind = "taken"   // the message; in a compacted log also its state
	recordAttempt  recordKind = "attempt" // an attempt is about to be sent
	recordOutcome  recordKind = "outcome" // the attempt in flight has ended
	recordEnding   recordKind = "ending"  // the notice about the message is to be sent
	recordEnd      recordKind = "end"     // the message needs no more work
	recordOutage   recordKind = "outage"  // state of an outage, by endpoint id; without a state the outage is over
	recordEndedID  recordKind = "over"    // in a compacted log: an ended message that must not take effect again
	recordClock    recordKind = "clock"   // the clock of the instants in the records that follow
)

// record is one entry of the log. Its instants were read from the clock that the last clock record
// before it describes. Logs of earlier releases have no clock records; their instants are Unix
// microseconds.
type record struct {
	Kind   recordKind `json:"kind"`
	ID     string     `json:"id"`
	Class  string     `json:"class,omitempty"`
	Tenant string     `json:"tenant,omitempty"`
	Key    string     `json:"key,omitempty"`
	Dest   int        `json:"dest,omitempty"`
	// Deadline of the message; in recordEndedID the instant until which its id is kept.
	Deadline clock.Instant `json:"deadline,omitempty"`
	// At is when the message was logged (recordAccepted) or the attempt is sent (recordAttempt).
	At clock.Instant `json:"at,omitempty"`
	// ZoneName is the zone of the attempt's endpoint. It is a name since the index changes with the settings.
	ZoneName  string `json:"floor,omitempty"`
	ZoneIndex int    `json:"zone,omitempty"` // index of that zone, in logs of earlier releases
	// MayHaveRun: the attempt may have run (recordOutcome), or the message was delivered (recordEnd).
	MayHaveRun bool   `json:"ran,omitempty"`
	Notice     string `json:"notice,omitempty"` // recordEnding: the outcome that the notice reports
	RetryMS    int64  `json:"retry_ms,omitempty"`
	// Attempts is the number of attempts so far. Attempts and the fields from MayHaveRunAt to
	// DedupWindowUnknown stand in recordAccepted: the state of the message after its earlier records.
	Attempts int `json:"tries,omitempty"`
	// Rules and MaxAttempts in recordAccepted are those that the message was accepted with: the
	// configuration of the next start may not have its class.
	Rules       *decide.Class `json:"rules,omitempty"`
	MaxAttempts int           `json:"most,omitempty"`
	// MayHaveRunAt is when the first attempt that may have run was sent; zero for none.
	MayHaveRunAt        clock.Instant `json:"doubt,omitempty"`
	MayHaveRunZoneIndex int           `json:"doubt_in,omitempty"`
	MayHaveRunZoneName  string        `json:"doubt_on,omitempty"`
	// InFlightSince is when the attempt that has no outcome yet was sent; zero for none.
	InFlightSince     clock.Instant `json:"out,omitempty"`
	InFlightZoneIndex int           `json:"out_in,omitempty"`
	InFlightZoneName  string        `json:"out_on,omitempty"`

	// DedupWindowUnknown: an attempt may have run, and how long ago is not known. The deduplication
	// window counts as closed.
	DedupWindowUnknown bool `json:"window_unknown,omitempty"`

	// Outage is the state of the outage in recordOutage; its times are instants.
	Outage *decide.OutageSnapshot `json:"outage,omitempty"`

	// Clock is the clock reading that the instants in the following records refer to.
	Clock *clock.Reading `json:"clock,omitempty"`

	// BodyEscaped: the markers in the body are escaped. It is set in the encoded form only.
	BodyEscaped bool `json:"escaped,omitempty"`

	body []byte
}

// update applies a later record of the same message to an accepted record.
func (r *record) update(later *record) {
	switch later.Kind {
	case recordAttempt:
		r.Attempts++
		r.InFlightSince, r.InFlightZoneIndex, r.InFlightZoneName = later.At, later.ZoneIndex, later.ZoneName
	case recordOutcome:
		if later.MayHaveRun && r.MayHaveRunAt == 0 {
			r.MayHaveRunAt, r.MayHaveRunZoneIndex, r.MayHaveRunZoneName =
				r.InFlightSince, r.InFlightZoneIndex, r.InFlightZoneName
		}
		if r.MayHaveRunAt == 0 {
			r.DedupWindowUnknown = false
		}
		r.InFlightSince, r.InFlightZoneIndex, r.InFlightZoneName = 0, 0, ""
	case recordEnding:
		r.Notice, r.RetryMS = later.Notice, later.RetryMS
	}
}

// markInFlightMayHaveRun treats an attempt without an outcome as one that may have run.
func (r *record) markInFlightMayHaveRun() {
	if r.InFlightSince != 0 {
		r.update(&record{Kind: recordOutcome, MayHaveRun: true})
	}
}

// encode appends the encoded record to buffer.
func (r *record) encode(buffer []byte) ([]byte, error) {
	if escapeCount(r.body) == 0 {
		return r.encodeFrame(buffer)
	}
	escaped := *r
	escaped.body, escaped.BodyEscaped = escapeMarkers(r.body), true
	return escaped.encodeFrame(buffer)
}

// encodeFrame encodes the record without escaping its body.
func (r *record) encodeFrame(buffer []byte) ([]byte, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return buffer, fmt.Errorf("%w: %w", errRecordEncoding, err)
	}
	payloadBytes := len(line) + 1 + len(r.body)
	if payloadBytes > maxRecordBytes {
		return buffer, fmt.Errorf("%w: its payload of %d bytes is too long", errRecordEncoding, payloadBytes)
	}
	start := len(buffer)
	buffer = append(buffer, recordMarker...)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(payloadBytes))
	buffer = append(buffer, 0, 0, 0, 0)
	buffer = append(append(append(buffer, line...), '\n'), r.body...)
	binary.BigEndian.PutUint32(buffer[start+8:], crc32.ChecksumIEEE(buffer[start+recordHeaderBytes:]))
	return buffer, nil
}

// decodeRecord decodes the record at the start of data. size is 0 if there is none.
func decodeRecord(data []byte) (rec *record, size int) {
	if len(data) < recordHeaderBytes || string(data[:4]) != recordMarker {
		return nil, 0
	}
	payloadBytes := int(binary.BigEndian.Uint32(data[4:]))
	if payloadBytes > maxRecordBytes || recordHeaderBytes+payloadBytes > len(data) {
		return nil, 0
	}
	payload := data[recordHeaderBytes : recordHeaderBytes+payloadBytes]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(data[8:]) {
		return nil, 0
	}
	line, body, ok := bytes.Cut(payload, []byte{'\n'})
	rec = &record{}
	if !ok || json.Unmarshal(line, rec) != nil || rec.ID == "" {
		return nil, 0
	}
	if rec.body = slices.Clone(body); rec.BodyEscaped {
		rec.body, rec.BodyEscaped = unescapeMarkers(body), false
	}
	return rec, recordHeaderBytes + payloadBytes
}

// walOp is a record to write, or an action to run on the goroutine of the log.
type walOp struct {
	rec    *record
	onDone func(error) // called once rec is written or has failed; may be nil
	action func()      // if set, rec and onDone are not used
}

// wal is the write-ahead log. Only its own goroutine accesses the file. The onDone functions run on
// that goroutine, in the order in which their records were submitted, and must not block.
type wal struct {
	slots             *logSlots
	path              string
	otherLogsBytes    atomic.Int64 // size of the logs of other processes
	limitBytes        int64
	log               *slog.Logger
	clock             clock.Clock
	lastClock         clock.Reading // in the last clock record that was written
	replayClock       logClock      // while a log is replayed
	replaying         bool
	file              logFile // nil if it could not be opened
	size              int64
	pending           map[string]*liveRecord // messages that have not ended, by id
	outagesByEndpoint map[string]*liveRecord // outages, by endpoint id
	endedByID         map[string]*liveRecord // ended messages that must not take effect again, by id
	endOrder          []string               // the ids in endedByID, oldest end first; some may have been removed from it
	reservedBytes     int64                  // space that a compaction needs for all that is kept
	lastSeq           int                    // sequence number of the newest liveRecord
	queue             *mailbox[walOp]
	stop              chan struct{}
	done              chan struct{}
	buffer            []byte
	health            walHealth
	// removeRecovered removes the logs whose contents were recovered, once this log holds them; nil when
	// that is done.
	removeRecovered func()
}

// liveRecord is a record that the next compaction keeps.
type liveRecord struct {
	rec           *record
	seq           int
	reservedBytes int64
}

// newWAL returns an empty log without a file.
func newWAL(limitBytes int64, clk clock.Clock, log *slog.Logger) *wal {
	return &wal{limitBytes: limitBytes, clock: clk, log: log,
		pending: map[string]*liveRecord{}, outagesByEndpoint: map[string]*liveRecord{},
		endedByID: map[string]*liveRecord{}}
}

// openWAL recovers the logs in the slots of this process and of dead processes, oldest first, and
// merges them into its own log. It returns the pending messages. An attempt without an outcome may
// have run, unless inFlight reports that the call of its message goes on.
func openWAL(slots *logSlots, limitBytes int64, inFlight func(id string) bool, clk clock.Clock,
	log *slog.Logger) (*wal, []*record, error) {
	w := newWAL(limitBytes, clk, log)
	w.slots, w.path, w.queue = slots, slots.path(slots.ownSlot, 0), newMailbox[walOp]()
	var recoveredPaths []string
	for slot := range walSlotCount {
		if slots.locks[slot] == nil {
			continue
		}
		files, err := slots.files(slot)
		if err != nil {
			return nil, nil, err
		}
		for _, path := range files {
			slots.folder.Remove(path + compactionSuffix) // left by a compaction that a kill interrupted
			size, err := w.recoverFile(path)
			if err != nil {
				return nil, nil, err
			}
			w.size += size
			recoveredPaths = append(recoveredPaths, path)
		}
	}
	for _, live := range w.pending {
		if !inFlight(live.rec.ID) {
			live.rec.markInFlightMayHaveRun()
		}
	}
	w.otherLogsBytes.Store(slots.otherLogsBytes())
	w.compactAtStart(recoveredPaths)
	return w, w.pendingRecords(), nil
}

// compactAtStart writes everything recovered to one log of this process. Until that succeeds the
// recovered files stay in place and their slots stay locked. If the compaction fails and no file was
// recovered but this process's own, that file is opened, or created if there is none.
func (w *wal) compactAtStart(recoveredPaths []string) {
	w.removeRecovered = func() {
		for _, path := range recoveredPaths {
			if path != w.path {
				w.slots.folder.Remove(path)
			}
		}
		w.slots.releaseOtherSlots()
	}
	err := w.compact()
	if err == nil {
		return
	}
	if len(recoveredPaths) == 0 || len(recoveredPaths) == 1 && recoveredPaths[0] == w.path {
		w.failCompaction(err)
		w.removeRecovered()
		w.removeRecovered = nil // no other file holds anything
		if w.file, err = w.slots.folder.Open(w.path, openOrCreate); err == nil {
			return
		}
		w.file = nil
	}
	w.failWrites("start", err)
}

// pendingRecords returns copies of the records of all pending messages, in the order in which they were
// first seen.
func (w *wal) pendingRecords() []*record {
	var pending []*record
	for _, live := range bySequence(w.pending) {
		copied := *live.rec
		pending = append(pending, &copied)
	}
	return pending
}

// recoverFile adds the contents of a log file to the recovered state and returns the file's size. A
// message is in two files if a process was killed between writing it to one and removing the other.
// The copy with more attempts is kept. An attempt that may have run, an unknown deduplication window
// and a notice are added to it if only the other copy has them.
func (w *wal) recoverFile(path string) (int64, error) {
	data, err := w.slots.folder.Read(path)
	if err != nil {
		return 0, fmt.Errorf("log: %w", err)
	}
	recovered := newWAL(w.limitBytes, w.clock, w.log)
	recovered.replaying = true
	recovered.path = path
	recovered.replay(data)
	recovered.convertToOwnClock(clock.Read(w.clock), path)
	for _, live := range bySequence(recovered.outagesByEndpoint) {
		w.storeOutage(live.rec)
	}
	for _, live := range bySequence(recovered.endedByID) {
		w.storeEndedID(live.rec)
	}
	for _, live := range bySequence(recovered.pending) {
		existing := w.pending[live.rec.ID]
		if existing == nil {
			w.lastSeq++
			live.seq = w.lastSeq
			w.pending[live.rec.ID] = live
			w.reservedBytes += live.reservedBytes
			continue
		}
		if live.rec.Attempts > existing.rec.Attempts {
			live.rec, existing.rec = existing.rec, live.rec
		}
		if existing.rec.MayHaveRunAt == 0 {
			existing.rec.MayHaveRunAt, existing.rec.MayHaveRunZoneIndex, existing.rec.MayHaveRunZoneName =
				live.rec.MayHaveRunAt, live.rec.MayHaveRunZoneIndex, live.rec.MayHaveRunZoneName
		}
		existing.rec.DedupWindowUnknown = existing.rec.DedupWindowUnknown || live.rec.DedupWindowUnknown
		if existing.rec.Notice == "" {
			existing.rec.Notice, existing.rec.RetryMS = live.rec.Notice, live.rec.RetryMS
		}
	}
	return int64(len(data)), nil
}

// adoptSlot takes over the logs of a process that has ended since this one started. The caller holds
// the slot's lock. Once this log holds the messages the files are removed and the lock is released.
// onRecovered receives the messages that were not pending here.
func (w *wal) adoptSlot(slot int, lock io.Closer, onRecovered func([]*record)) error {
	recovered := newWAL(w.limitBytes, w.clock, w.log)
	recovered.slots = w.slots
	files, err := w.slots.files(slot)
	for i := 0; i < len(files) && err == nil; i++ {
		w.slots.folder.Remove(files[i] + compactionSuffix)
		_, err = recovered.recoverFile(files[i])
	}
	if err != nil {
		return err
	}
	for _, live := range recovered.pending {
		live.rec.markInFlightMayHaveRun()
	}
	w.queue.put(walOp{action: func() {
		var pending []*record
		for _, rec := range recovered.pendingRecords() {
			if w.pending[rec.ID] != nil {
				continue
			}
			rec.Kind = recordAccepted
			if err := w.append(rec, true); err != nil { // the loop gets the message all the same: it was accepted
				w.log.Error("log: record not written", "kind", rec.Kind, "message", rec.ID, "err", err)
			}
			copied := *rec
			pending = append(pending, &copied)
		}
		for _, live := range bySequence(recovered.endedByID) {
			w.storeEndedID(live.rec)
		}
		w.whenAllWritten(func() {
			for _, path := range files {
				w.slots.folder.Remove(path)
			}
			lock.Close()
		})
		onRecovered(pending)
	}})
	return nil
}

// replay applies the records in the contents of a log file. A damaged record is skipped: reading
// continues at the next marker that begins a valid record.
func (w *wal) replay(data []byte) {
	for offset := 0; offset < len(data); {
		rec, size := decodeRecord(data[offset:])
		if size > 0 {
			w.apply(rec)
			offset += size
			continue
		}
		next := -1
		for start := offset + 1; start < len(data); {
			found := bytes.Index(data[start:], []byte(recordMarker))
			if found < 0 {
				break
			}
			if _, nextSize := decodeRecord(data[start+found:]); nextSize > 0 {
				next = start + found
				break
			}
			start += found + 1
		}
		if next < 0 {
			w.log.Warn("log: torn tail dropped", "file", w.path, "at", offset, "bytes", len(data)-offset)
			return
		}
		w.log.Error("log: damaged record skipped", "file", w.path, "at", offset, "bytes", next-offset)
		offset = next
	}
}

// apply updates the state in memory with a record that was written, postponed or replayed.
func (w *wal) apply(rec *record) {
	w.replayClock.observe(rec)
	live := w.pending[rec.ID]
	switch {
	case rec.Kind == recordClock:
		w.replayClockRecord(rec)
	case rec.Kind == recordOutage:
		w.storeOutage(rec)
	case rec.Kind == recordEndedID:
		w.storeEndedID(rec)
	case rec.Kind == recordAccepted:
		if live == nil {
			w.lastSeq++
			live = &liveRecord{rec: rec, seq: w.lastSeq, reservedBytes: reservedRecordBytes(rec)}
			w.pending[rec.ID] = live
			w.reservedBytes += live.reservedBytes
		}
	case live == nil: // the message has ended, or its first record was damaged
	case rec.Kind == recordEnd:
		w.reservedBytes -= live.reservedBytes
		delete(w.pending, rec.ID)
		if rules := live.rec.Rules; rules != nil && rules.Idempotency != decide.Idempotent &&
			(rec.MayHaveRun || live.rec.Notice != "") {
			w.storeEndedID(&record{Kind: recordEndedID, ID: rec.ID, Notice: live.rec.Notice, RetryMS: live.rec.RetryMS,
				Deadline: live.rec.Deadline + clock.Instant(rules.Deadline)})
		}
	default:
		live.rec.update(rec)
	}
}

// storeOutage applies an outage record. If outages exceed their share of the disk limit the oldest
// is dropped. After a restart its destination then lacks the slow start; no message is lost.
func (w *wal) storeOutage(rec *record) {
	if previous := w.outagesByEndpoint[rec.ID]; previous != nil {
		w.reservedBytes -= previous.reservedBytes
		delete(w.outagesByEndpoint, rec.ID)
	}
	if rec.Outage == nil {
		return
	}
	if int64(len(w.outagesByEndpoint)+1)*outageRecordBytes > w.limitBytes/outageDiskDivisor {
		oldest := ""
		for id, live := range w.outagesByEndpoint {
			if oldest == "" || live.seq < w.outagesByEndpoint[oldest].seq {
				oldest = id
			}
		}
		if oldest == "" {
			return // the share is too small for a single outage
		}
		w.reservedBytes -= w.outagesByEndpoint[oldest].reservedBytes
		delete(w.outagesByEndpoint, oldest)
	}
	w.lastSeq++
	w.outagesByEndpoint[rec.ID] = &liveRecord{rec: rec, seq: w.lastSeq,
		reservedBytes: outageRecordBytes + int64(len(rec.ID))}
	w.reservedBytes += w.outagesByEndpoint[rec.ID].reservedBytes
}

// storeEndedID remembers the id of an ended message for as long as a client or another sender may
// submit the message again. If the ids exceed their share of the disk limit the oldest are dropped.
func (w *wal) storeEndedID(rec *record) {
	now := w.now()
	if w.endedByID[rec.ID] != nil || rec.Deadline < now {
		return
	}
	for len(w.endOrder) > 0 {
		oldest := w.endedByID[w.endOrder[0]]
		if oldest != nil {
			full := int64(len(w.endedByID)+1)*endedRecordBytes > w.limitBytes/endedDiskDivisor
			if !full && oldest.rec.Deadline >= now {
				break
			}
			w.reservedBytes -= oldest.reservedBytes
			delete(w.endedByID, w.endOrder[0])
		}
		w.endOrder = w.endOrder[1:]
	}
	if int64(len(w.endedByID)+1)*endedRecordBytes > w.limitBytes/endedDiskDivisor {
		return // the share is too small for a single id
	}
	w.lastSeq++
	w.endedByID[rec.ID] = &liveRecord{rec: rec, seq: w.lastSeq, reservedBytes: endedRecordBytes + int64(len(rec.ID))}
	w.reservedBytes += w.endedByID[rec.ID].reservedBytes
	w.endOrder = append(w.endOrder, rec.ID)
}

// endedRecords returns copies of the records of ended messages that must not take effect again, oldest end first.
func (w *wal) endedRecords() []*record { return copyRecords(w.endedByID) }

// outageRecords returns copies of the outage records, oldest first.
func (w *wal) outageRecords() []*record { return copyRecords(w.outagesByEndpoint) }

// copyRecords returns copies of the records, in the order in which they were first seen.
func copyRecords(records map[string]*liveRecord) []*record {
	var copied []*record
	for _, live := range bySequence(records) {
		rec := *live.rec
		copied = append(copied, &rec)
	}
	return copied
}

// reservedRecordBytes is the space that a message needs in a compacted log, whatever state it reaches.
func reservedRecordBytes(rec *record) int64 {
	size := int64(recordHeaderBytes + len(rec.body) + escapeCount(rec.body) + len(rec.ID) + len(rec.Key) +
		len(rec.Class) + len(rec.Tenant) + 160 + messageStateBytes)
	if rec.Rules != nil {
		size += classRulesBytes + int64(len(rec.Rules.Name))
	}
	return size
}

// bySequence returns the records in the order in which they were first seen.
func bySequence(records map[string]*liveRecord) []*liveRecord {
	sorted := make([]*liveRecord, 0, len(records))
	for _, live := range records {
		sorted = append(sorted, live)
	}
	slices.SortFunc(sorted, func(a, b *liveRecord) int { return a.seq - b.seq })
	return sorted
}

// compact writes everything that is kept to a new file, which then replaces the old one.
func (w *wal) compact() error {
	reading := clock.Read(w.clock)
	data, err := newClockRecord(reading).encode(nil)
	if err != nil {
		return err
	}
	for _, live := range slices.Concat(bySequence(w.outagesByEndpoint), bySequence(w.endedByID), bySequence(w.pending)) {
		rec := *live.rec
		if rec.Kind != recordOutage && rec.Kind != recordEndedID {
			rec.Kind = recordAccepted
		}
		if data, err = rec.encode(data); err != nil {
			return err
		}
	}
	if w.otherLogsBytes.Load()+w.size+int64(len(data)) > w.limitBytes-diskSlackBytes/2 {
		return errDiskFull
	}
	folder := w.slots.folder
	file, err := folder.Open(w.path+compactionSuffix, openTruncated)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	if _, err = file.WriteAt(data, 0); err == nil {
		err = folder.Rename(w.path+compactionSuffix, w.path)
	}
	if err != nil {
		file.Close()
		folder.Remove(w.path + compactionSuffix)
		return fmt.Errorf("log: %w", err)
	}
	if w.file != nil {
		w.file.Close()
	}
	w.file, w.size, w.lastClock = file, int64(len(data)), reading
	w.compactionDone()
	return nil
}

// submit queues a record to be written. It never blocks.
func (w *wal) submit(rec *record, onDone func(error)) { w.queue.put(walOp{rec: rec, onDone: onDone}) }

// start starts the goroutine of the log.
func (w *wal) start() {
	w.stop, w.done = make(chan struct{}), make(chan struct{})
	go w.run(w.stop)
}

// halt stops the goroutine of the log after everything submitted before is written.
func (w *wal) halt() {
	close(w.stop)
	<-w.done
}

// renameAndReopen renames the log of a halted wal, since another process was told the old name, and
// continues with it. An error means that the other process owns the log by now.
func (w *wal) renameAndReopen() error {
	for index := 2; ; index++ {
		path := w.slots.path(w.slots.ownSlot, index)
		if _, err := w.slots.folder.Size(path); err == nil {
			continue
		}
		if err := w.slots.folder.Rename(w.path, path); err != nil {
			return err
		}
		w.path = path
		break
	}
	w.reopen()
	return nil
}

// complete reports whether the file of a halted wal holds all its records: none is postponed, and none
// stands only in a recovered file.
func (w *wal) complete() bool {
	return w.file != nil && len(w.health.postponed) == 0 && w.removeRecovered == nil
}

// reopen continues a halted wal.
func (w *wal) reopen() {
	w.file = nil
	if w.removeRecovered == nil { // otherwise the file of that name is a recovered one
		file, err := w.slots.folder.Open(w.path, openExisting)
		if err != nil {
			w.failWrites("open", err)
		} else {
			w.file = file
		}
	}
	w.start()
}

// run performs operations until stop is closed and everything submitted before is written.
func (w *wal) run(stop <-chan struct{}) {
	defer close(w.done)
	var ops []walOp
	for stopping := false; ; {
		ops = w.queue.takeAll(ops)
		for _, op := range ops {
			if op.action != nil {
				op.action()
				continue
			}
			w.perform(op)
		}
		if len(ops) > 0 {
			continue
		}
		if stopping {
			w.retryWrites()
			w.close()
			return
		}
		select {
		case <-w.queue.ready:
		case <-w.health.retryDue():
			w.retryWrites()
		case <-stop:
			stopping = true
		}
	}
}

// perform writes a record and calls its onDone.
func (w *wal) perform(op walOp) {
	err := w.append(op.rec, false)
	if errors.Is(err, errRecordEncoding) {
		w.log.Error("log: record not written", "kind", op.rec.Kind, "message", op.rec.ID, "err", err)
	}
	switch {
	case op.onDone == nil:
	case err == errPostponed || op.rec.Kind == recordEnd && w.isPostponed(op.rec):
		w.whenLastWritten(func() { op.onDone(nil) })
	default:
		op.onDone(err)
	}
}

// close closes the file, if one is open.
func (w *wal) close() {
	if w.file != nil {
		w.file.Close()
	}
}

// append writes one record if there is space for it and for a compaction. For an adopted message,
// which another process had accepted, that space was reserved already.
func (w *wal) append(rec *record, adopted bool) error {
	switch {
	case rec.Kind == recordEndedID:
	case rec.Kind == recordOutage:
		if rec.Outage == nil && w.outagesByEndpoint[rec.ID] == nil {
			return errNotPending
		}
	case rec.Kind != recordAccepted && w.pending[rec.ID] == nil:
		return errNotPending
	}
	if w.health.failing {
		return w.appendFailing(rec, adopted)
	}
	err := w.encodeAndWrite(rec, adopted)
	switch {
	case err == nil:
		w.apply(rec)
		return nil
	case errors.Is(err, errRecordEncoding):
		return err
	case rec.Kind == recordAccepted && !adopted && errors.Is(err, errDiskFull):
		w.reportFull()
		return err
	}
	w.failWrites("append", err)
	if rec.Kind == recordAccepted && !adopted {
		return err
	}
	return w.postpone(rec, err)
}

// appendFailing appends a record while the state folder fails. New messages are refused. The write of
// any other record is attempted, since a short write may succeed where a long one fails.
func (w *wal) appendFailing(rec *record, adopted bool) error {
	if rec.Kind == recordAccepted && !adopted {
		return errFolderUnwritable
	}
	err := w.flushPostponed()
	if err == nil {
		err = w.encodeAndWrite(rec, adopted)
	}
	if err != nil {
		return w.postpone(rec, err)
	}
	w.apply(rec)
	return nil
}

// encodeAndWrite writes a record, after a compaction where that is due, without applying it.
func (w *wal) encodeAndWrite(rec *record, adopted bool) error {
	var err error
	if w.buffer, err = rec.encode(w.buffer[:0]); err != nil {
		return err
	}
	size := int64(len(w.buffer))
	reserved, freeBytes := w.reservedBytes, w.limitBytes-diskSlackBytes-w.otherLogsBytes.Load()
	if rec.Kind == recordAccepted && !adopted {
		reserved += reservedRecordBytes(rec)
		freeBytes -= updateHeadroomBytes // later records of accepted messages must still fit
		if 2*reserved > freeBytes {      // compaction would not help, so it is not attempted for each message
			return errDiskFull
		}
		w.reportSpaceAvailable(freeBytes)
	}
	if rec.Kind == recordOutage && rec.Outage != nil {
		reserved += outageRecordBytes + int64(len(rec.ID))
	}
	if w.size+size+reserved > freeBytes || w.size > max(minCompactionBytes, 4*reserved) {
		if w.compactionAllowed() {
			if err := w.compact(); err != nil {
				w.failCompaction(err)
			}
		}
		if w.size+size+reserved > freeBytes {
			return errDiskFull
		}
	}
	return w.writeRecord(w.buffer)
}
