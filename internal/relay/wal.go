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

// The write-ahead log. It holds what the relay owes: each message from the
// moment it is taken on until its end is certain. A record is a mark, the
// payload's length and checksum, and the payload: a line of JSON, then the
// body. The operating system keeps what was written when a process is killed,
// so nothing is synced.

const (
	newSuffix    = ".new" // of a log that is being compacted
	walMark      = "\xf7TRW"
	walHead      = 12
	recordMost   = 128 << 10 // longer than any record
	walSlack     = 16 << 10  // of the disk, never used: file sizes are rounded up
	walSpare     = 64 << 10  // kept for records on messages that were taken on already
	compactAbove = 1 << 20   // a log this short is not worth compacting
	stateRoom    = 300       // bytes by which a message's record may grow later
	zoneNameMost = 48        // bytes of a zone's name that are kept with it
	rulesRoom    = 320       // bytes that its class's rules take at most
	// Outages are kept within one part in so many of the disk, the newest of them, each in about outageRoom bytes.
	outagePart = 32
	outageRoom = 256
	// So are the ids of messages that have ended, of classes that may not simply be repeated.
	overPart = 32
	overRoom = 160
)

var (
	errDiskFull = errors.New("log: no room")
	errNotOwed  = errors.New("log: message is not owed")
	errRecord   = errors.New("log: no such record can be written")
)

// recordKind says what a record tells of its message.
type recordKind string

const (
	recTaken   recordKind = "taken"   // all of the message, and its state where the log was compacted
	recAttempt recordKind = "attempt" // is about to go out
	recOutcome recordKind = "outcome" // of the attempt that is out
	recEnding  recordKind = "ending"  // its notice is to be sent
	recEnd     recordKind = "end"     // nothing is owed any more
	recOutage  recordKind = "outage"  // of an endpoint, by its id; without one it is over
	recEndedID recordKind = "over"    // has ended, and must not take effect again; where the log was compacted
	recClock   recordKind = "clock"   // the clock of the instants that follow
)

// record is one entry of the log. Its instants are those of the clock that the last clock record
// before it tells of; in logs of earlier releases, which have none, Unix microseconds.
type record struct {
	Kind     recordKind    `json:"kind"`
	ID       string        `json:"id"`
	Class    string        `json:"class,omitempty"`
	Tenant   string        `json:"tenant,omitempty"`
	Key      string        `json:"key,omitempty"`
	Dest     int           `json:"dest,omitempty"`
	Deadline clock.Instant `json:"deadline,omitempty"` // over: until when its id is kept
	At       clock.Instant `json:"at,omitempty"`       // taken: when it was logged; attempt: when it goes out
	ZoneName string        `json:"floor,omitempty"`    // attempt: of its endpoint, by name: places move with settings
	Zone     int           `json:"zone,omitempty"`     // the same as a place, in logs of before
	Ran      bool          `json:"ran,omitempty"`      // outcome: it may have run; end: it was delivered
	Notice   string        `json:"notice,omitempty"`   // ending: the word for it
	RetryMS  int64         `json:"retry_ms,omitempty"`
	// The state of a message, as earlier records left it.
	Tries int `json:"tries,omitempty"`
	// taken: its rules. At the next start no file may name its class.
	Rules     *decide.Class `json:"rules,omitempty"`
	Most      int           `json:"most,omitempty"`  // attempts
	Doubt     clock.Instant `json:"doubt,omitempty"` // send of the first attempt that may have run
	DoubtIn   int           `json:"doubt_in,omitempty"`
	DoubtZone string        `json:"doubt_on,omitempty"` // its floor
	Out       clock.Instant `json:"out,omitempty"`      // send of an attempt with no outcome yet
	OutIn     int           `json:"out_in,omitempty"`
	OutZone   string        `json:"out_on,omitempty"`

	// WindowUnknown: an attempt may have run, and how long ago that is cannot be told: the window
	// for repeats counts as closed.
	WindowUnknown bool `json:"window_unknown,omitempty"`

	// outage: what is known of it, its moments as instants.
	Outage *decide.OutageSnapshot `json:"outage,omitempty"`

	// clock: the reading by which what follows is to be read.
	Clock *clock.Reading `json:"clock,omitempty"`

	// Escaped: the body stands there with its marks escaped. It is set for the encoding alone.
	Escaped bool `json:"escaped,omitempty"`

	body []byte
}

// fold brings a taken record up to date with a later one.
func (t *record) fold(r *record) {
	switch r.Kind {
	case recAttempt:
		t.Tries++
		t.Out, t.OutIn, t.OutZone = r.At, r.Zone, r.ZoneName
	case recOutcome:
		if r.Ran && t.Doubt == 0 {
			t.Doubt, t.DoubtIn, t.DoubtZone = t.Out, t.OutIn, t.OutZone
		}
		if t.Doubt == 0 {
			t.WindowUnknown = false
		}
		t.Out, t.OutIn, t.OutZone = 0, 0, ""
	case recEnding:
		t.Notice, t.RetryMS = r.Notice, r.RetryMS
	}
}

// settle reads an attempt whose outcome nobody saw as one that may have run.
func (t *record) settle() {
	if t.Out != 0 {
		t.fold(&record{Kind: recOutcome, Ran: true})
	}
}

// encode appends the record as it stands in the log.
func (r *record) encode(to []byte) ([]byte, error) {
	if escapes(r.body) == 0 {
		return r.encodeAsIs(to)
	}
	escaped := *r
	escaped.body, escaped.Escaped = escapeMarks(r.body), true
	return escaped.encodeAsIs(to)
}

func (r *record) encodeAsIs(to []byte) ([]byte, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return to, fmt.Errorf("%w: %w", errRecord, err)
	}
	n := len(line) + 1 + len(r.body)
	if n > recordMost {
		return to, fmt.Errorf("%w: %d bytes", errRecord, n)
	}
	start := len(to)
	to = append(to, walMark...)
	to = binary.BigEndian.AppendUint32(to, uint32(n))
	to = append(to, 0, 0, 0, 0)
	to = append(append(append(to, line...), '\n'), r.body...)
	binary.BigEndian.PutUint32(to[start+8:], crc32.ChecksumIEEE(to[start+walHead:]))
	return to, nil
}

// decodeRecord reads the record at the start of b. size is 0 where there is none.
func decodeRecord(b []byte) (r *record, size int) {
	if len(b) < walHead || string(b[:4]) != walMark {
		return nil, 0
	}
	n := int(binary.BigEndian.Uint32(b[4:]))
	if n > recordMost || walHead+n > len(b) {
		return nil, 0
	}
	payload := b[walHead : walHead+n]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(b[8:]) {
		return nil, 0
	}
	line, body, ok := bytes.Cut(payload, []byte{'\n'})
	r = &record{}
	if !ok || json.Unmarshal(line, r) != nil || r.ID == "" {
		return nil, 0
	}
	if r.body = slices.Clone(body); r.Escaped {
		r.body, r.Escaped = unescapeMarks(body), false
	}
	return r, walHead + n
}

// walOp is a record to write, and what to do once that is done or has failed.
type walOp struct {
	rec  *record
	then func(error)
	do   func() // in place of both
}

// wal is the log. Its goroutine alone touches the file; then-functions run on
// it, in the order in which their records were handed over, and may not wait.
type wal struct {
	logs      *logs
	path      string
	others    atomic.Int64 // bytes of the disk that other processes' logs take
	limit     int64
	log       *slog.Logger
	clock     clock.Clock
	told      clock.Reading // of the last clock record that was written
	reader    logClock      // of a log that is being read
	replaying bool
	file      logFile // nil where it could not be opened
	size      int64
	live      map[string]*liveRecord
	out       map[string]*liveRecord // outages, by endpoint
	over      map[string]*liveRecord // ended, by id
	ends      []string               // the ids in over, in the order of their ends; some may be gone from it
	owed      int64                  // bytes that the live records need
	taken     int                    // messages so far, for their order
	in        *mailbox[walOp]
	stop      chan struct{}
	done      chan struct{}
	buffer    []byte
	health    walHealth
	// settled removes what was recovered from other logs, once it stands in this one; nil where that is done.
	settled func()
}

type liveRecord struct {
	rec  *record
	seq  int
	size int64
}

func newWAL(limit int64, clk clock.Clock, log *slog.Logger) *wal {
	return &wal{limit: limit, clock: clk, log: log, live: map[string]*liveRecord{}, out: map[string]*liveRecord{}, over: map[string]*liveRecord{}}
}

// openWAL recovers what the logs of this process's slot and of dead processes
// hold, oldest first, and makes its own log of it. An attempt that is under way
// in out, by its message, goes on there; any other without an outcome may have run.
func openWAL(l *logs, limit int64, out func(id string) bool, clk clock.Clock, log *slog.Logger) (*wal, []*record, error) {
	w := newWAL(limit, clk, log)
	w.logs, w.path, w.in = l, l.path(l.own, 0), newMailbox[walOp]()
	var old []string
	for slot := range walSlots {
		if l.dead[slot] == nil {
			continue
		}
		files, err := l.files(slot)
		if err != nil {
			return nil, nil, err
		}
		for _, path := range files {
			l.folder.Remove(path + newSuffix) // a compaction that a kill cut short
			size, err := w.gather(path)
			if err != nil {
				return nil, nil, err
			}
			w.size += size
			old = append(old, path)
		}
	}
	for _, r := range w.live {
		if !out(r.rec.ID) {
			r.rec.settle()
		}
	}
	w.others.Store(l.room())
	w.settleAtStart(old)
	return w, w.owe(), nil
}

// settleAtStart writes what was recovered to one log of this process. Until that is possible what was
// recovered stays where it was found, and the locks of those logs are kept. The old log goes on where
// it is the only one and its own.
func (w *wal) settleAtStart(old []string) {
	w.settled = func() {
		for _, path := range old {
			if path != w.path {
				w.logs.folder.Remove(path)
			}
		}
		w.logs.settled()
	}
	err := w.compact()
	if err == nil {
		return
	}
	if len(old) == 0 || len(old) == 1 && old[0] == w.path {
		w.failCompaction(err)
		w.settled()
		w.settled = nil // nothing is left elsewhere
		if w.file, err = w.logs.folder.Open(w.path, openOrCreate); err == nil {
			return
		}
		w.file = nil
	}
	w.fail("start", err)
}

// owe lists what is owed.
func (w *wal) owe() []*record {
	var owed []*record
	for _, l := range inOrder(w.live) {
		c := *l.rec
		owed = append(owed, &c)
	}
	return owed
}

// gather adds what a log holds to what is owed. A message stands in two logs
// where a process was killed between writing it to one and removing the other:
// it is one message all the same, with the most that either knows of it.
func (w *wal) gather(path string) (int64, error) {
	text, err := w.logs.folder.Read(path)
	if err != nil {
		return 0, fmt.Errorf("log: %w", err)
	}
	one := newWAL(w.limit, w.clock, w.log)
	one.replaying = true
	one.path = path
	one.replay(text)
	one.adoptClock(clock.Read(w.clock), path)
	for _, l := range inOrder(one.out) {
		w.keepOutage(l.rec)
	}
	for _, l := range inOrder(one.over) {
		w.keepEndedID(l.rec)
	}
	for _, l := range inOrder(one.live) {
		have := w.live[l.rec.ID]
		if have == nil {
			w.taken++
			l.seq = w.taken
			w.live[l.rec.ID] = l
			w.owed += l.size
			continue
		}
		if l.rec.Tries > have.rec.Tries {
			l.rec, have.rec = have.rec, l.rec
		}
		if have.rec.Doubt == 0 {
			have.rec.Doubt, have.rec.DoubtIn, have.rec.DoubtZone = l.rec.Doubt, l.rec.DoubtIn, l.rec.DoubtZone
		}
		have.rec.WindowUnknown = have.rec.WindowUnknown || l.rec.WindowUnknown
		if have.rec.Notice == "" {
			have.rec.Notice, have.rec.RetryMS = l.rec.Notice, l.rec.RetryMS
		}
	}
	return int64(len(text)), nil
}

// adopt takes over what a process left that has ended meanwhile: its slot is
// locked by now, and lock is let go of when its logs are gone. They go once their
// messages stand in this one.
func (w *wal) adopt(slot int, lock io.Closer, then func([]*record)) error {
	left := newWAL(w.limit, w.clock, w.log)
	left.logs = w.logs
	files, err := w.logs.files(slot)
	for i := 0; i < len(files) && err == nil; i++ {
		w.logs.folder.Remove(files[i] + newSuffix)
		_, err = left.gather(files[i])
	}
	if err != nil {
		return err
	}
	for _, l := range left.live {
		l.rec.settle()
	}
	w.in.put(walOp{do: func() {
		var owed []*record
		for _, r := range left.owe() {
			if w.live[r.ID] != nil {
				continue
			}
			r.Kind = recTaken
			if err := w.append(r, true); err != nil { // it is owed all the same
				w.log.Error("log: record not written", "kind", r.Kind, "message", r.ID, "err", err)
			}
			c := *r
			owed = append(owed, &c)
		}
		for _, l := range inOrder(left.over) {
			w.keepEndedID(l.rec)
		}
		w.afterAll(func() {
			for _, path := range files {
				w.logs.folder.Remove(path)
			}
			lock.Close()
		})
		then(owed)
	}})
	return nil
}

// replay folds the text of a log into the live records. A damaged record is
// passed over: reading goes on at the next mark that starts a sound one.
func (w *wal) replay(text []byte) {
	for at := 0; at < len(text); {
		r, n := decodeRecord(text[at:])
		if n > 0 {
			w.apply(r)
			at += n
			continue
		}
		next := -1
		for from := at + 1; from < len(text); {
			i := bytes.Index(text[from:], []byte(walMark))
			if i < 0 {
				break
			}
			if _, m := decodeRecord(text[from+i:]); m > 0 {
				next = from + i
				break
			}
			from += i + 1
		}
		if next < 0 {
			w.log.Warn("log: torn tail dropped", "file", w.path, "at", at, "bytes", len(text)-at)
			return
		}
		w.log.Error("log: damaged record passed over", "file", w.path, "at", at, "bytes", next-at)
		at = next
	}
}

// apply books a written record.
func (w *wal) apply(r *record) {
	w.reader.saw(r)
	l := w.live[r.ID]
	switch {
	case r.Kind == recClock:
		w.readClock(r)
	case r.Kind == recOutage:
		w.keepOutage(r)
	case r.Kind == recEndedID:
		w.keepEndedID(r)
	case r.Kind == recTaken:
		if l == nil {
			w.taken++
			l = &liveRecord{rec: r, seq: w.taken, size: recordRoom(r)}
			w.live[r.ID] = l
			w.owed += l.size
		}
	case l == nil: // over, or its first record was damaged
	case r.Kind == recEnd:
		w.owed -= l.size
		delete(w.live, r.ID)
		if c := l.rec.Rules; c != nil && c.Idempotency != decide.Idempotent && (r.Ran || l.rec.Notice != "") {
			w.keepEndedID(&record{Kind: recEndedID, ID: r.ID, Notice: l.rec.Notice, RetryMS: l.rec.RetryMS, Deadline: l.rec.Deadline + clock.Instant(c.Deadline)})
		}
	default:
		l.rec.fold(r)
	}
}

// keepOutage books an outage record. Past their part of the disk the oldest are forgotten: what is
// known of them costs the destination its slow beginning after a restart, and nothing that is owed.
func (w *wal) keepOutage(r *record) {
	if old := w.out[r.ID]; old != nil {
		w.owed -= old.size
		delete(w.out, r.ID)
	}
	if r.Outage == nil {
		return
	}
	if int64(len(w.out)+1)*outageRoom > w.limit/outagePart {
		oldest := ""
		for id, l := range w.out {
			if oldest == "" || l.seq < w.out[oldest].seq {
				oldest = id
			}
		}
		if oldest == "" {
			return // there is no room for any
		}
		w.owed -= w.out[oldest].size
		delete(w.out, oldest)
	}
	w.taken++
	w.out[r.ID] = &liveRecord{rec: r, seq: w.taken, size: outageRoom + int64(len(r.ID))}
	w.owed += w.out[r.ID].size
}

// keepEndedID books that a message has ended, for as long as a client or a peer may come with it again. Past their
// part of the disk the oldest ids are forgotten.
func (w *wal) keepEndedID(r *record) {
	now := w.now()
	if w.over[r.ID] != nil || r.Deadline < now {
		return
	}
	for len(w.ends) > 0 {
		oldest := w.over[w.ends[0]]
		if oldest != nil {
			full := int64(len(w.over)+1)*overRoom > w.limit/overPart
			if !full && oldest.rec.Deadline >= now {
				break
			}
			w.owed -= oldest.size
			delete(w.over, w.ends[0])
		}
		w.ends = w.ends[1:]
	}
	if int64(len(w.over)+1)*overRoom > w.limit/overPart {
		return // there is no room for any
	}
	w.taken++
	w.over[r.ID] = &liveRecord{rec: r, seq: w.taken, size: overRoom + int64(len(r.ID))}
	w.owed += w.over[r.ID].size
	w.ends = append(w.ends, r.ID)
}

// ended lists the messages that must not take effect again, the oldest end first.
func (w *wal) ended() []*record { return copies(w.over) }

// outages lists what is known, the oldest first.
func (w *wal) outages() []*record { return copies(w.out) }

func copies(live map[string]*liveRecord) []*record {
	var all []*record
	for _, l := range inOrder(live) {
		c := *l.rec
		all = append(all, &c)
	}
	return all
}

func recordRoom(r *record) int64 {
	n := int64(walHead + len(r.body) + escapes(r.body) + len(r.ID) + len(r.Key) + len(r.Class) + len(r.Tenant) + 160 + stateRoom)
	if r.Rules != nil {
		n += rulesRoom + int64(len(r.Rules.Name))
	}
	return n
}

func inOrder(live map[string]*liveRecord) []*liveRecord {
	all := make([]*liveRecord, 0, len(live))
	for _, l := range live {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *liveRecord) int { return a.seq - b.seq })
	return all
}

// compact writes what is owed to a new file and puts it in the old one's place.
func (w *wal) compact() error {
	reading := clock.Read(w.clock)
	text, err := clockRecord(reading).encode(nil)
	if err != nil {
		return err
	}
	for _, l := range slices.Concat(inOrder(w.out), inOrder(w.over), inOrder(w.live)) {
		c := *l.rec
		if c.Kind != recOutage && c.Kind != recEndedID {
			c.Kind = recTaken
		}
		if text, err = c.encode(text); err != nil {
			return err
		}
	}
	if w.others.Load()+w.size+int64(len(text)) > w.limit-walSlack/2 {
		return errDiskFull
	}
	folder := w.logs.folder
	f, err := folder.Open(w.path+newSuffix, openEmptied)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	if _, err = f.WriteAt(text, 0); err == nil {
		err = folder.Rename(w.path+newSuffix, w.path)
	}
	if err != nil {
		f.Close()
		folder.Remove(w.path + newSuffix)
		return fmt.Errorf("log: %w", err)
	}
	if w.file != nil {
		w.file.Close()
	}
	w.file, w.size, w.told = f, int64(len(text)), reading
	w.compacted()
	return nil
}

// submit hands a record over. It never waits.
func (w *wal) submit(r *record, then func(error)) { w.in.put(walOp{rec: r, then: then}) }

func (w *wal) start() {
	w.stop, w.done = make(chan struct{}), make(chan struct{})
	go w.run(w.stop)
}

// halt returns when everything handed over before is written.
func (w *wal) halt() {
	close(w.stop)
	<-w.done
}

// keep gives the log of a halted process a name that nobody was told, and goes
// on with it. An error means that it is another's now.
func (w *wal) keep() error {
	for n := 2; ; n++ {
		path := w.logs.path(w.logs.own, n)
		if _, err := w.logs.folder.Size(path); err == nil {
			continue
		}
		if err := w.logs.folder.Rename(w.path, path); err != nil {
			return err
		}
		w.path = path
		break
	}
	w.reopen()
	return nil
}

// whole reports whether the log of a halted process holds everything that is known.
func (w *wal) whole() bool {
	return w.file != nil && len(w.health.postponed) == 0 && w.settled == nil
}

// reopen goes on with the log of a halted process.
func (w *wal) reopen() {
	w.file = nil
	if w.settled == nil { // otherwise the file of that name is one that was recovered
		file, err := w.logs.folder.Open(w.path, openExisting)
		if err != nil {
			w.fail("open", err)
		} else {
			w.file = file
		}
	}
	w.start()
}

// run writes until stop is closed and everything handed over before is written.
func (w *wal) run(stop <-chan struct{}) {
	defer close(w.done)
	var ops []walOp
	for stopping := false; ; {
		ops = w.in.takeAll(ops)
		for _, op := range ops {
			if op.do != nil {
				op.do()
				continue
			}
			w.perform(op)
		}
		if len(ops) > 0 {
			continue
		}
		if stopping {
			w.heal()
			w.close()
			return
		}
		select {
		case <-w.in.ready:
		case <-w.health.retryTime():
			w.heal()
		case <-stop:
			stopping = true
		}
	}
}

// perform writes a record and tells whoever handed it over.
func (w *wal) perform(op walOp) {
	err := w.append(op.rec, false)
	if errors.Is(err, errRecord) {
		w.log.Error("log: record not written", "kind", op.rec.Kind, "message", op.rec.ID, "err", err)
	}
	switch {
	case op.then == nil:
	case err == errPostponed:
		w.whenWritten(func() { op.then(nil) })
	default:
		op.then(err)
	}
}

func (w *wal) close() {
	if w.file != nil {
		w.file.Close()
	}
}

// append writes one record, if there is room for it and for a compaction. What
// was held already, by another process, has had its room all along.
func (w *wal) append(r *record, held bool) error {
	switch {
	case r.Kind == recEndedID:
	case r.Kind == recOutage:
		if r.Outage == nil && w.out[r.ID] == nil {
			return errNotOwed
		}
	case r.Kind != recTaken && w.live[r.ID] == nil:
		return errNotOwed
	}
	if w.health.failing {
		return w.appendFailing(r, held)
	}
	err := w.appendNow(r, held)
	switch {
	case err == nil:
		w.apply(r)
		return nil
	case errors.Is(err, errRecord):
		return err
	case r.Kind == recTaken && !held && errors.Is(err, errDiskFull):
		w.refuseFull()
		return err
	}
	w.fail("append", err)
	if r.Kind == recTaken && !held {
		return err
	}
	return w.postpone(r, err)
}

// appendFailing is append while the folder fails. A message is not taken on; any other record is
// tried, since a short one may be written where a long one is not.
func (w *wal) appendFailing(r *record, held bool) error {
	if r.Kind == recTaken && !held {
		return errFolderFails
	}
	err := w.flush()
	if err == nil {
		err = w.appendNow(r, held)
	}
	if err != nil {
		return w.postpone(r, err)
	}
	w.apply(r)
	return nil
}

// appendNow writes a record without booking it.
func (w *wal) appendNow(r *record, held bool) error {
	var err error
	if w.buffer, err = r.encode(w.buffer[:0]); err != nil {
		return err
	}
	n := int64(len(w.buffer))
	owed, free := w.owed, w.limit-walSlack-w.others.Load()
	if r.Kind == recTaken && !held {
		owed += recordRoom(r)
		free -= walSpare   // later records on what is held must still fit
		if 2*owed > free { // compaction would not help, so it is not tried for each
			return errDiskFull
		}
		w.tookOn(free)
	}
	if r.Kind == recOutage && r.Outage != nil {
		owed += outageRoom + int64(len(r.ID))
	}
	if w.size+n+owed > free || w.size > max(compactAbove, 4*owed) {
		if w.mayCompact() {
			if err := w.compact(); err != nil {
				w.failCompaction(err)
			}
		}
		if w.size+n+owed > free {
			return errDiskFull
		}
	}
	return w.writeRecord(w.buffer)
}
