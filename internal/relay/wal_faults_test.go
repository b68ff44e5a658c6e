package relay

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
)

// openFaultyWAL opens the log in a folder as a new process does, after any earlier one has ended.
func openFaultyWAL(t testing.TB, dir string, folder logFolder, limit int64, log *slog.Logger) (*wal, []*record) {
	t.Helper()
	slots, err := lockLogSlots(folder, dir)
	if err != nil {
		t.Fatal(err)
	}
	w, pending, err := openWAL(slots, limit, func(string) bool { return false }, clock.System(), log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeFaultyWAL(w) })
	return w, pending
}

// closeFaultyWAL closes the log and releases its slots, as the end of a process does.
func closeFaultyWAL(w *wal) {
	w.close()
	w.slots.release()
}

// acceptedWithRepeat returns a record that accepts a message of a class with the given repeat rule.
func acceptedWithRepeat(id string, repeat decide.Idempotency) *record {
	return &record{Kind: recordAccepted, ID: id, Class: "c", Deadline: 4e15, MaxAttempts: 8,
		body:  []byte("body of " + id),
		Rules: &decide.Class{Name: "c", Idempotency: repeat, Deadline: 20e6, DedupWindow: 5e6}}
}

// recoverCopy returns the messages that a start from a copy of the folder recovers, by id.
func recoverCopy(t testing.TB, dir string) map[string]*record {
	t.Helper()
	copyDir, err := os.MkdirTemp(t.TempDir(), "copy")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(filepath.Join(copyDir, "state"), os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	w, pending := openFaultyWAL(t, filepath.Join(copyDir, "state"), osFolder{}, 1<<20, discardLogger())
	closeFaultyWAL(w)
	found := map[string]*record{}
	for _, r := range pending {
		found[r.ID] = r
	}
	return found
}

func recoverCopyIDs(t testing.TB, dir string) []string {
	t.Helper()
	var ids []string
	for id := range recoverCopy(t, dir) {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func countLines(log *bytes.Buffer, substring string) int {
	return strings.Count(log.String(), substring)
}

// A message whose record fails at any byte is refused, is not in the log after a kill, and does not
// make later records unreadable.
func TestAppendFailsAtEachByte(t *testing.T) {
	text, err := acceptedWithRepeat("b", decide.Idempotent).encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for written := range len(text) {
		dir := t.TempDir()
		folder := newFaultyFolder()
		w, _ := openFaultyWAL(t, dir, folder, 1<<20, discardLogger())
		mustAppend(t, w, acceptedWithRepeat("a", decide.Idempotent))
		folder.fail(syscall.ENOSPC, written, opWrite, opTruncate)
		if err := w.append(acceptedWithRepeat("b", decide.Idempotent), false); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("%d bytes written: got error %v, want ENOSPC", written, err)
		}
		if got := recoverCopyIDs(t, dir); !slices.Equal(got, []string{"a"}) {
			t.Fatalf("%d bytes written, then killed: recovered %q, want a", written, got)
		}
		folder.heal()
		w.retryWrites()
		mustAppend(t, w, acceptedWithRepeat("c", decide.Idempotent))
		if got := recoverCopyIDs(t, dir); !slices.Equal(got, []string{"a", "c"}) {
			t.Fatalf("%d bytes written, then healed: recovered %q, want a and c", written, got)
		}
		if size, err := (osFolder{}).Size(w.path); err != nil || size != w.size {
			t.Fatalf("%d bytes written: the file has %d bytes, want %d, err %v", written, size, w.size, err)
		}
	}
}

// While nothing can be written, outcomes and ends are kept. They are in the log once the folder works again.
func TestOutcomesAreWrittenLater(t *testing.T) {
	for _, operations := range [][]folderOperation{{opWrite}, {opWrite, opOpen}, {opWrite, opTruncate},
		{opWrite, opRename}, modifyingOperations} {
		t.Run(fmt.Sprint(operations), func(t *testing.T) {
			dir := t.TempDir()
			folder := newFaultyFolder()
			w, _ := openFaultyWAL(t, dir, folder, 1<<20, discardLogger())
			mustAppend(t, w, acceptedWithRepeat("idempotent", decide.Idempotent),
				acceptedWithRepeat("non-idempotent", decide.NonIdempotent),
				acceptedWithRepeat("ended", decide.NonIdempotent),
				acceptedWithRepeat("done", decide.NonIdempotent), &record{Kind: recordAttempt, ID: "done", At: 10},
				&record{Kind: recordAttempt, ID: "non-idempotent", At: 20})
			folder.fail(syscall.EIO, 3, operations...)
			if err := w.append(acceptedWithRepeat("new", decide.Idempotent), false); err == nil {
				t.Fatal("a new message was accepted")
			}
			mustAppend(t, w, &record{Kind: recordEnd, ID: "done", MayHaveRun: true},
				&record{Kind: recordOutcome, ID: "non-idempotent"}, &record{Kind: recordAttempt, ID: "idempotent", At: 30},
				&record{Kind: recordOutcome, ID: "idempotent", MayHaveRun: true})
			notified := false
			w.perform(walOp{rec: &record{Kind: recordEnding, ID: "ended", Notice: noticeHandedBack, RetryMS: 7},
				onDone: func(error) { notified = true }})
			if notified {
				t.Error("the notice was sent before its record was written")
			}
			w.retryWrites()
			if !w.health.failing || notified {
				t.Fatal("the log counts as working, or the notice was sent, while the folder fails")
			}
			if found := recoverCopy(t, dir); len(found) != 4 || found["non-idempotent"].MayHaveRunAt != 20 ||
				found["ended"].Notice != "" {
				t.Errorf("killed meanwhile: recovered %d messages, want 4 in their old state", len(found))
			}
			folder.heal()
			w.retryWrites()
			if w.health.failing || !notified {
				t.Fatal("the log counts as failing, or the notice was not sent, after the folder works again")
			}
			found := recoverCopy(t, dir)
			if len(found) != 3 || found["done"] != nil {
				t.Fatalf("recovered %d messages, want 3 without \"done\"", len(found))
			}
			if r := found["non-idempotent"]; r.Attempts != 1 || r.MayHaveRunAt != 0 || r.InFlightSince != 0 {
				t.Errorf("non-idempotent: recovered %+v, want one attempt that has not run", r)
			}
			if r := found["idempotent"]; r.Attempts != 1 || r.MayHaveRunAt != 30 {
				t.Errorf("idempotent: recovered %+v, want one attempt that may have run since 30", r)
			}
			if r := found["ended"]; r.Notice != noticeHandedBack || r.RetryMS != 7 {
				t.Errorf("ended: recovered %+v, want the notice handed_back with 7 ms", r)
			}
			if err := w.append(acceptedWithRepeat("new", decide.Idempotent), false); err != nil {
				t.Error(err)
			}
		})
	}
}

// An attempt is sent without its record only if a kill afterwards would do no harm.
func TestAttemptsWithoutRecord(t *testing.T) {
	const sent = clock.Instant(1e15)
	keyed := func(left int64) *record {
		r := acceptedWithRepeat("m", decide.Deduplicated)
		r.Deadline = sent + clock.Instant(left)
		return r
	}
	local := keyed(1e6)
	local.Rules.DedupByZone = true
	unknown := acceptedWithRepeat("m", decide.Idempotent)
	unknown.Rules = nil
	for name, test := range map[string]struct {
		message *record
		allowed bool
	}{
		"idempotent":                        {acceptedWithRepeat("m", decide.Idempotent), true},
		"non-idempotent":                    {acceptedWithRepeat("m", decide.NonIdempotent), false},
		"keyed, deadline within its window": {keyed(5e6), true},
		"keyed, deadline after its window":  {keyed(5e6 + 1), false},
		"keyed, window within one zone":     {local, false},
		"class rules unknown":               {unknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			folder := newFaultyFolder()
			w, _ := openFaultyWAL(t, t.TempDir(), folder, 1<<20, discardLogger())
			mustAppend(t, w, test.message)
			folder.fail(syscall.EIO, 0, modifyingOperations...)
			for range 2 { // the first append detects the failure
				err := w.append(&record{Kind: recordAttempt, ID: "m", At: sent}, false)
				if (err == nil) != test.allowed {
					t.Errorf("append of the attempt: got error %v, want success only if it is allowed", err)
				}
			}
		})
	}
}

// If the record of an ending cannot be written, its notice is sent at the message's deadline: after that no later
// process would send the message.
func TestNoticeIsSentAtDeadline(t *testing.T) {
	folder := newFaultyFolder()
	w, _ := openFaultyWAL(t, t.TempDir(), folder, 1<<20, discardLogger())
	m := acceptedWithRepeat("m", decide.Idempotent)
	m.Deadline = clock.System().Now().Add(30 * time.Millisecond)
	mustAppend(t, w, m)
	folder.fail(syscall.EIO, 0, modifyingOperations...)
	results := make(chan error, 2)
	w.start()
	defer w.halt()
	w.submit(&record{Kind: recordEnding, ID: "m", Notice: noticeHandedBack}, func(err error) { results <- err })
	<-results
	if clock.System().Now() < m.Deadline {
		t.Error("the notice was sent before the deadline")
	}
	folder.heal()
	waitFor(t, "the ending in the log", func() bool {
		text, _ := os.ReadFile(w.path)
		return strings.Contains(string(text), noticeHandedBack)
	})
	if len(results) > 0 {
		t.Error("the notice was sent twice")
	}
}

// A failure is logged in one line when it begins and one when it ends, however many records fail.
func TestFailureIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	folder := newFaultyFolder()
	w, _ := openFaultyWAL(t, t.TempDir(), folder, 1<<20, slog.New(slog.NewTextHandler(&lines, nil)))
	for round := 1; round <= 2; round++ {
		mustAppend(t, w, acceptedWithRepeat(fmt.Sprint("m", round), decide.Idempotent))
		folder.fail(syscall.ENOSPC, 5, opWrite)
		for i := range 50 {
			w.perform(walOp{rec: acceptedWithRepeat(fmt.Sprint("n", i), decide.Idempotent)})
			w.perform(walOp{rec: &record{Kind: recordAttempt, ID: fmt.Sprint("m", round), At: 1}})
			w.retryWrites()
		}
		folder.heal()
		w.retryWrites()
		w.retryWrites()
		if countLines(&lines, "state folder: failing") != round ||
			countLines(&lines, "state folder: works again") != round ||
			strings.Count(lines.String(), "\n") != 2*round {
			t.Fatalf("round %d: want one line for each begin and end of a failure, got:\n%s", round, lines.String())
		}
	}
	if !strings.Contains(lines.String(), w.slots.dir) {
		t.Error("the folder is not in the log lines")
	}
}

// A compaction that fails leaves the old log intact and in use.
func TestCompactionFails(t *testing.T) {
	for _, operation := range []folderOperation{opOpen, opRename} {
		t.Run(string(operation), func(t *testing.T) {
			var lines bytes.Buffer
			dir := t.TempDir()
			folder := newFaultyFolder()
			w, _ := openFaultyWAL(t, dir, folder, 4<<20, slog.New(slog.NewTextHandler(&lines, nil)))
			mustAppend(t, w, acceptedWithRepeat("a", decide.Idempotent))
			folder.fail(syscall.ENOSPC, 0, operation)
			big := acceptedWithRepeat("big", decide.Idempotent)
			big.body = bytes.Repeat([]byte("b"), 60<<10)
			for range 40 { // the log exceeds the size at which it is compacted
				mustAppend(t, w, big, &record{Kind: recordEnd, ID: "big"})
			}
			if w.health.failing || !w.health.compactionFailed || w.size < minCompactionBytes {
				t.Fatalf("got failing %v, compaction failed %v, %d bytes; want a failed compaction only",
					w.health.failing, w.health.compactionFailed, w.size)
			}
			if got := recoverCopyIDs(t, dir); !slices.Equal(got, []string{"a"}) {
				t.Errorf("recovered %q, want a", got)
			}
			folder.heal()
			w.retryWrites()
			if w.size > minCompactionBytes || w.health.compactionFailed {
				t.Errorf("log after the folder works again: got %d bytes, want a compacted log", w.size)
			}
			if got := recoverCopyIDs(t, dir); !slices.Equal(got, []string{"a"}) {
				t.Errorf("recovered %q after the compaction, want a", got)
			}
			if countLines(&lines, "state folder: failing") != 1 ||
				countLines(&lines, "state folder: works again") != 1 {
				t.Errorf("want one failure and its end, logged:\n%s", lines.String())
			}
		})
	}
}

// A kill at any byte of a compaction leaves the old log or the new one, with the same state in both.
func TestKilledDuringCompaction(t *testing.T) {
	for killAfter := 0; ; killAfter += 7 {
		dir := t.TempDir()
		folder := newFaultyFolder()
		w, _ := openFaultyWAL(t, dir, folder, 1<<20, discardLogger())
		mustAppend(t, w, acceptedWithRepeat("a", decide.NonIdempotent), acceptedWithRepeat("b", decide.Idempotent),
			&record{Kind: recordAttempt, ID: "a", At: 5},
			acceptedWithRepeat("c", decide.Idempotent), &record{Kind: recordEnd, ID: "c"})
		folder.killAfter = killAfter
		if err := w.compact(); err != nil {
			t.Fatal(err)
		}
		found := recoverCopy(t, dir)
		if len(found) != 2 || found["a"].MayHaveRunAt != 5 || found["b"].Attempts != 0 {
			t.Fatalf("killed after %d bytes: recovered %d messages, want 2 in their old state", killAfter, len(found))
		}
		if folder.killAfter > 0 {
			return
		}
	}
}

// After a kill at any byte of the last record, the log recovers to the state before it; the record takes effect only
// with its last byte.
func TestKilledAtEachByte(t *testing.T) {
	for _, last := range []*record{
		acceptedWithRepeat("b", decide.NonIdempotent),
		{Kind: recordAttempt, ID: "a", At: 30, ZoneName: "f"},
		{Kind: recordOutcome, ID: "a", MayHaveRun: true},
		{Kind: recordEnding, ID: "a", Notice: noticeHandedBack, RetryMS: 7},
		{Kind: recordEnd, ID: "a", MayHaveRun: true},
	} {
		t.Run(string(last.Kind), func(t *testing.T) {
			text, err := last.encode(nil)
			if err != nil {
				t.Fatal(err)
			}
			state := func(killAfter int) string {
				dir := t.TempDir()
				folder := newFaultyFolder()
				w, _ := openFaultyWAL(t, dir, folder, 1<<20, discardLogger())
				mustAppend(t, w, acceptedWithRepeat("a", decide.NonIdempotent),
					&record{Kind: recordAttempt, ID: "a", At: 10},
					&record{Kind: recordOutcome, ID: "a"})
				folder.killAfter = killAfter
				mustAppend(t, w, last)
				found := ""
				for id, r := range recoverCopy(t, dir) {
					found += fmt.Sprint(id, r.Attempts, r.MayHaveRunAt, r.Notice, " ")
				}
				return strings.Join(slices.Sorted(slices.Values(strings.Fields(found))), " ")
			}
			before, after := state(0), state(len(text))
			if before == after && last.Kind != recordOutcome {
				t.Fatalf("state %q is the same before and after the record", before)
			}
			for killAfter := 1; killAfter < len(text); killAfter++ {
				if got := state(killAfter); got != before {
					t.Fatalf("killed after %d of %d bytes: state %q, want %q", killAfter, len(text), got, before)
				}
			}
		})
	}
}

// Two logs are recovered even if nothing can be written at the start. Both stay until one log holds their contents.
func TestStartsInUnwritableFolder(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{walFileName, walFileName + ".0.1"} {
		text, err := acceptedWithRepeat("of "+name, decide.NonIdempotent).encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	folder := newFaultyFolder()
	folder.fail(syscall.EROFS, 0, modifyingOperations...)
	w, pending := openFaultyWAL(t, dir, folder, 1<<20, discardLogger())
	if len(pending) != 2 || !w.health.failing || w.complete() {
		t.Fatalf("recovered %d messages, want 2; failing %v, want true; the log must not be complete", len(pending),
			w.health.failing)
	}
	mustAppend(t, w, &record{Kind: recordEnd, ID: pending[0].ID})
	if got := recoverCopyIDs(t, dir); len(got) != 2 {
		t.Fatalf("killed: recovered %q, want both messages", got)
	}
	folder.heal()
	w.retryWrites()
	if got := recoverCopyIDs(t, dir); !slices.Equal(got, []string{pending[1].ID}) || !w.complete() {
		t.Fatalf("healed: recovered %q, want the message that has not ended, in a complete log", got)
	}
	if _, err := os.Stat(filepath.Join(dir, walFileName+".0.1")); err == nil {
		t.Error("the second log was not removed")
	}
}

// The log of an ended process is removed only once its messages are written to this log.
func TestAdoptsWhileFolderFails(t *testing.T) {
	dir := t.TempDir()
	folder := newFaultyFolder()
	w, _ := openFaultyWAL(t, dir, folder, 1<<20, discardLogger())
	leftPath := filepath.Join(dir, walFileName+".1.0")
	text, err := acceptedWithRepeat("left", decide.NonIdempotent).encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(leftPath, text, 0o600); err != nil {
		t.Fatal(err)
	}
	lock, err := folder.Lock(filepath.Join(dir, lockFilePrefix+"1"))
	if err != nil {
		t.Fatal(err)
	}
	folder.fail(syscall.EIO, 0, opRead)
	if w.adoptSlot(1, lock, nil) == nil {
		t.Fatal("adopting an unreadable log succeeded")
	}
	folder.heal()
	folder.fail(syscall.EIO, 0, modifyingOperations...)
	adopted := 0
	if err := w.adoptSlot(1, lock, func(found []*record) { adopted = len(found) }); err != nil {
		t.Fatal(err)
	}
	for _, op := range w.queue.takeAll(nil) {
		op.action()
	}
	if adopted != 1 || w.pending["left"] == nil {
		t.Fatalf("adopted %d messages, want 1", adopted)
	}
	folder.heal()
	if _, err := os.Stat(leftPath); err != nil {
		t.Fatal("the log was removed before its messages were written elsewhere")
	}
	w.retryWrites()
	if _, err := os.Stat(leftPath); err == nil {
		t.Error("the adopted log was not removed")
	}
	if got := recoverCopyIDs(t, dir); !slices.Equal(got, []string{"left"}) {
		t.Errorf("recovered %q, want left", got)
	}
}

// Under random faults, a kill loses no message that the log accepted and recovers none that it refused.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		dir := t.TempDir()
		folder := newFaultyFolder()
		folder.random, folder.failureProbability = rand.New(rand.NewPCG(seed, 1)), 0.3
		var w *wal
		for w == nil { // the start may fail too
			slots, err := lockLogSlots(folder, dir)
			if err != nil {
				continue
			}
			if w, _, err = openWAL(slots, 1<<20, func(string) bool { return false }, clock.System(),
				discardLogger()); err != nil {
				slots.release()
			}
		}
		want := map[string]bool{}
		for i := range 60 {
			id := fmt.Sprint("m", i)
			if w.append(acceptedWithRepeat(id, decide.Idempotent), false) == nil {
				want[id] = true
			}
			if folder.random.IntN(3) == 0 {
				w.retryWrites()
			}
			if len(w.health.postponed) > 0 {
				continue
			}
			found := recoverCopy(t, dir)
			for id := range want {
				if found[id] == nil {
					t.Fatalf("seed %d: %s was accepted and is lost", seed, id)
				}
			}
			for id := range found {
				if !want[id] {
					t.Fatalf("seed %d: %s was refused and is in the log", seed, id)
				}
			}
		}
		closeFaultyWAL(w)
	}
}

// A log whose file could not be opened must not be handed over to a new process, even if no record is
// postponed. Once the folder works it may be.
func TestLogWithoutFileIsNotComplete(t *testing.T) {
	folder := newFaultyFolder()
	folder.fail(syscall.EIO, 0, opOpen)
	w, _ := openFaultyWAL(t, t.TempDir(), folder, 1<<20, discardLogger())
	if w.file != nil || w.removeRecovered != nil || len(w.health.postponed) != 0 {
		t.Fatalf("got file %v and %d postponed records, want none", w.file, len(w.health.postponed))
	}
	if w.complete() {
		t.Error("a log without a file counts as complete")
	}
	folder.heal()
	w.retryWrites()
	if w.file == nil || !w.complete() {
		t.Error("the log is not complete after the folder works again")
	}
}
