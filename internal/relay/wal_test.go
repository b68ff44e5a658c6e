package relay

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"troutusher/internal/clock"
)

// openTestWAL opens the log in a folder as a new process does, with the messages that are pending.
func openTestWAL(t *testing.T, dir string, limit int64) (*wal, []*record) {
	t.Helper()
	if slots := testSlots[dir]; slots != nil {
		slots.release() // as the end of the earlier process does
	}
	slots, err := lockLogSlots(osFolder{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	testSlots[dir] = slots
	w, pending, err := openWAL(slots, limit, func(string) bool { return false }, clock.System(), discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.file.Close(); slots.release() })
	return w, pending
}

// testSlots has the slots that were locked last in each folder.
var testSlots = map[string]*logSlots{}

func mustAppend(t *testing.T, w *wal, recs ...*record) {
	t.Helper()
	for _, rec := range recs {
		if err := w.append(rec, false); err != nil {
			t.Fatalf("%s of %s: %v", rec.Kind, rec.ID, err)
		}
	}
}

// acceptedRecord returns a record that accepts a message of a keyed class.
func acceptedRecord(id string, body string) *record {
	return &record{Kind: recordAccepted, ID: id, Class: "keyed", Tenant: "acme", Key: "k", Dest: 7, Deadline: 1e15,
		body: []byte(body)}
}

// Pending messages are recovered with their state, in order, also by a second start, which reads the
// compacted log.
func TestWALRecovers(t *testing.T) {
	dir := t.TempDir()
	w, _ := openTestWAL(t, dir, 1<<20)
	mustAppend(t, w, acceptedRecord("a", "A\n\x00"), acceptedRecord("b", ""), acceptedRecord("c", "C"),
		acceptedRecord("d", "D"), acceptedRecord("e", "E"),
		&record{Kind: recordAttempt, ID: "a", At: 100, ZoneIndex: 1},
		&record{Kind: recordOutcome, ID: "a", MayHaveRun: false},
		&record{Kind: recordAttempt, ID: "b", At: 200, ZoneIndex: 1},
		&record{Kind: recordOutcome, ID: "b", MayHaveRun: true},
		&record{Kind: recordAttempt, ID: "b", At: 300, ZoneIndex: 0},
		&record{Kind: recordAttempt, ID: "c", At: 400, ZoneIndex: 1}, // without an outcome the attempt may have run
		&record{Kind: recordEnd, ID: "d"},
		&record{Kind: recordEnding, ID: "e", Notice: noticeHandedBack, RetryMS: 20})
	for range 2 {
		_, pending := openTestWAL(t, dir, 1<<20)
		var got []string
		for _, r := range pending {
			got = append(got, r.ID+" "+string(r.body)+" "+strconv.Itoa(r.Attempts)+" "+
				strconv.FormatInt(int64(r.MayHaveRunAt), 10)+" "+r.Notice)
		}
		want := []string{"a A\n\x00 1 0 ", "b  2 200 ", "c C 1 400 ", "e E 0 0 " + noticeHandedBack}
		if !slices.Equal(got, want) {
			t.Fatalf("recovered messages: got %q, want those that were pending, with their state", got)
		}
		if r := pending[1]; r.Key != "k" || r.Class != "keyed" || r.Tenant != "acme" || r.Dest != 7 ||
			r.Deadline != 1e15 || r.MayHaveRunZoneIndex != 1 {
			t.Errorf("recovered message b: got %+v, want the values it was accepted with and MayHaveRunZoneIndex 1", r)
		}
	}
}

// A kill in the middle of a write, or damage to the file, must cost only the affected record: the
// rest of the log is recovered, and later records can be read.
func TestWALDamage(t *testing.T) {
	sizes, start := []int{}, 0 // size of the log after each record, and after the clock record
	writeLog := func(dir string) string {
		w, _ := openTestWAL(t, dir, 1<<20)
		sizes, start = sizes[:0], int(w.size)
		for _, id := range []string{"a", "b", "c"} {
			mustAppend(t, w, acceptedRecord(id, "body "+recordMarker+" of "+id))
			sizes = append(sizes, int(w.size))
		}
		return filepath.Join(dir, walFileName)
	}
	ids := func(pending []*record) (s string) {
		for _, r := range pending {
			s += r.ID
		}
		return s
	}
	for name, test := range map[string]struct {
		damage func(b []byte) []byte
		want   string
	}{
		"torn tail":      {func(b []byte) []byte { return b[:len(b)-5] }, "ab"},
		"torn head":      {func(b []byte) []byte { return b[:sizes[1]+6] }, "ab"},
		"body damaged":   {func(b []byte) []byte { b[sizes[1]-2] ^= 1; return b }, "ac"},
		"length damaged": {func(b []byte) []byte { b[sizes[0]+4] ^= 0x7f; return b }, "ac"},
		"marker damaged": {func(b []byte) []byte { b[start] ^= 1; return b }, "bc"},
		"clock damaged":  {func(b []byte) []byte { b[0] ^= 1; return b }, "abc"},
		"clock cut off":  {func(b []byte) []byte { return b[start/2:] }, "abc"},
		"noise before":   {func(b []byte) []byte { return append([]byte("noise"), b...) }, "abc"},
		"only a marker":  {func([]byte) []byte { return []byte(recordMarker + "noise") }, ""},
		"empty":          {func([]byte) []byte { return nil }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := writeLog(dir)
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, test.damage(text), 0o600); err != nil {
				t.Fatal(err)
			}
			w, pending := openTestWAL(t, dir, 1<<20)
			if got := ids(pending); got != test.want {
				t.Fatalf("recovered messages: got %q, want %q", got, test.want)
			}
			mustAppend(t, w, acceptedRecord("z", "Z"))
			if _, pending = openTestWAL(t, dir, 1<<20); ids(pending) != test.want+"z" {
				t.Errorf("recovered messages after z was written: got %q, want z and all before", ids(pending))
			}
		})
	}
}

// The log must not exceed the disk limit: the old and the new file of a compaction together stay
// below it at all times, and accepted messages can be ended even when no new one fits.
func TestWALBounded(t *testing.T) {
	const limit = 1 << 20
	dir := t.TempDir()
	w, _ := openTestWAL(t, dir, limit)
	body := strings.Repeat("b", maxBodyBytes)
	count := 0
	for ; ; count++ {
		if err := w.append(acceptedRecord(strconv.Itoa(count), body), false); err != nil {
			if !errors.Is(err, errDiskFull) {
				t.Fatal(err)
			}
			break
		}
	}
	if count == 0 {
		t.Fatal("no message fits into the log")
	}
	for round := range 3000 { // far more than fits without compaction
		id := strconv.Itoa(round % count)
		mustAppend(t, w, &record{Kind: recordAttempt, ID: id, At: clock.Instant(round) + 1},
			&record{Kind: recordOutcome, ID: id, MayHaveRun: true})
		if w.size+w.reservedBytes > limit {
			t.Fatalf("round %d: the log has %d bytes and a compaction adds %d, above the limit", round, w.size,
				w.reservedBytes)
		}
	}
	if info, err := os.Stat(w.path); err != nil || info.Size() != w.size {
		t.Fatalf("log file: got %v, want %d bytes, error %v", info, w.size, err)
	}
	for i := range count {
		mustAppend(t, w, &record{Kind: recordEnd, ID: strconv.Itoa(i)})
	}
	if w.reservedBytes != 0 {
		t.Errorf("reserved bytes without a message: got %d, want 0", w.reservedBytes)
	}
	mustAppend(t, w, acceptedRecord("next", body))
}

// A compaction may write a record with more state than it had at first. The space for that is
// reserved when the message is accepted.
func TestReservedRecordBytes(t *testing.T) {
	rec := acceptedRecord("9b1f03aa5c7e2d41", "body")
	rec.Attempts, rec.MayHaveRunAt, rec.MayHaveRunZoneIndex, rec.InFlightSince, rec.InFlightZoneIndex, rec.Notice,
		rec.RetryMS = 255, 1764384000000000, 9, 1764384000000000, 9, noticeHandedBack, 2000
	rec.MayHaveRunZoneName, rec.InFlightZoneName = strings.Repeat("f", maxZoneNameBytes),
		strings.Repeat("f", maxZoneNameBytes)
	text, err := rec.encode(nil)
	if err != nil || int64(len(text)) > reservedRecordBytes(rec) {
		t.Errorf("record size: got %d bytes, want at most the %d reserved ones, error %v", len(text),
			reservedRecordBytes(rec), err)
	}
}

// If the disk fails, a new message is refused without a crash, and the log stays readable.
func TestWALWriteFails(t *testing.T) {
	dir := t.TempDir()
	w, _ := openTestWAL(t, dir, 1<<20)
	mustAppend(t, w, acceptedRecord("a", "A"))
	w.file.Close()
	if w.append(acceptedRecord("b", "B"), false) == nil {
		t.Fatal("append to a closed file succeeded")
	}
	if w.pending["b"] != nil {
		t.Error("the refused message is pending")
	}
	if err := w.append(&record{Kind: recordAttempt, ID: "b"}, false); !errors.Is(err, errNotPending) {
		t.Errorf("attempt of the refused message: got error %v, want that it is not pending", err)
	}
	if _, pending := openTestWAL(t, dir, 1<<20); len(pending) != 1 {
		t.Errorf("recovered messages: got %d, want 1", len(pending))
	}
}

// FuzzReplay: a valid record after arbitrary bytes is recovered, and no converted deadline is later than its class
// allows.
func FuzzReplay(f *testing.F) {
	valid, err := acceptedRecord("a", "A").encode(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(recordMarker + "\x00\x00\x00\x02"))
	f.Fuzz(func(t *testing.T, b []byte) {
		w := newWAL(1<<20, clock.System(), discardLogger())
		w.replaying = true
		w.replay(append(b, valid...))
		if w.pending["a"] == nil && !strings.Contains(string(b), recordMarker) {
			t.Fatal("the valid record is lost")
		}
		now := clock.Reading{BootID: "present", Now: 5e6, Wall: 1.7e15}
		w.convertToOwnClock(now, "log")
		for id, l := range w.pending {
			if rules := l.rec.Rules; rules != nil && rules.Deadline > 0 && rules.Deadline < 1e12 &&
				w.replayClock.reading.BootID != now.BootID &&
				l.rec.Deadline > now.Now+clock.Instant(maxDeadlineFactor*rules.Deadline) {
				t.Errorf("message %q: got deadline %d, want at most that of its class", id, l.rec.Deadline)
			}
		}
	})
}
