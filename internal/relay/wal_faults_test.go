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

// openFaultyWAL opens the log of a folder whose earlier process, if there was one, has ended.
func openFaultyWAL(t testing.TB, dir string, folder logFolder, limit int64, log *slog.Logger) (*wal, []*record) {
	t.Helper()
	held, err := holdLogs(folder, dir)
	if err != nil {
		t.Fatal(err)
	}
	w, owed, err := openWAL(held, limit, func(string) bool { return false }, clock.System(), log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { endFaultyWAL(w) })
	return w, owed
}

// endFaultyWAL does what the end of a process does.
func endFaultyWAL(w *wal) {
	w.close()
	w.logs.release()
}

func classed(id string, repeat decide.Idempotency) *record {
	return &record{Kind: recTaken, ID: id, Class: "c", Deadline: 4e15, Most: 8, body: []byte("body of " + id),
		Rules: &decide.Class{Name: "c", Idempotency: repeat, Deadline: 20e6, DedupWindow: 5e6}}
}

// recovered tells what a start from a copy of the folder finds.
func recovered(t testing.TB, dir string) map[string]*record {
	t.Helper()
	other, err := os.MkdirTemp(t.TempDir(), "copy")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(filepath.Join(other, "state"), os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	w, owed := openFaultyWAL(t, filepath.Join(other, "state"), osFolder{}, 1<<20, quietLog())
	endFaultyWAL(w)
	found := map[string]*record{}
	for _, r := range owed {
		found[r.ID] = r
	}
	return found
}

func recoveredIDs(t testing.TB, dir string) []string {
	t.Helper()
	var ids []string
	for id := range recovered(t, dir) {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func countLines(b *bytes.Buffer, words string) int { return strings.Count(b.String(), words) }

// A message whose record fails at any byte is not taken on, is not in the log after a kill, and does
// not hide what is written next.
func TestAppendFailsAtEachByte(t *testing.T) {
	text, err := classed("b", decide.Idempotent).encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for written := range len(text) {
		dir := t.TempDir()
		folder := newFaultyFolder()
		w, _ := openFaultyWAL(t, dir, folder, 1<<20, quietLog())
		mustAppend(t, w, classed("a", decide.Idempotent))
		folder.fail(syscall.ENOSPC, written, opWrite, opTruncate)
		if err := w.append(classed("b", decide.Idempotent), false); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("%d bytes written: %v", written, err)
		}
		if got := recoveredIDs(t, dir); !slices.Equal(got, []string{"a"}) {
			t.Fatalf("%d bytes written, killed: %q", written, got)
		}
		folder.heal()
		w.heal()
		mustAppend(t, w, classed("c", decide.Idempotent))
		if got := recoveredIDs(t, dir); !slices.Equal(got, []string{"a", "c"}) {
			t.Fatalf("%d bytes written, healed: %q", written, got)
		}
		if size, err := (osFolder{}).Size(w.path); err != nil || size != w.size {
			t.Fatalf("%d bytes written: the file has %d bytes, %d are known, %v", written, size, w.size, err)
		}
	}
}

// While nothing can be written, outcomes and ends are kept and are in the log once the folder works again.
func TestOutcomesAreWrittenLater(t *testing.T) {
	for _, operations := range [][]folderOperation{{opWrite}, {opWrite, opOpen}, {opWrite, opTruncate}, {opWrite, opRename}, changesFolder} {
		t.Run(fmt.Sprint(operations), func(t *testing.T) {
			dir := t.TempDir()
			folder := newFaultyFolder()
			w, _ := openFaultyWAL(t, dir, folder, 1<<20, quietLog())
			mustAppend(t, w, classed("safe", decide.Idempotent), classed("unsafe", decide.NonIdempotent), classed("ended", decide.NonIdempotent),
				classed("done", decide.NonIdempotent), &record{Kind: recAttempt, ID: "done", At: 10}, &record{Kind: recAttempt, ID: "unsafe", At: 20})
			folder.fail(syscall.EIO, 3, operations...)
			if err := w.append(classed("new", decide.Idempotent), false); err == nil {
				t.Fatal("taken on")
			}
			mustAppend(t, w, &record{Kind: recEnd, ID: "done", Ran: true}, &record{Kind: recOutcome, ID: "unsafe"},
				&record{Kind: recAttempt, ID: "safe", At: 30}, &record{Kind: recOutcome, ID: "safe", Ran: true})
			told := false
			w.perform(walOp{rec: &record{Kind: recEnding, ID: "ended", Notice: endHandedBack, RetryMS: 7}, then: func(error) { told = true }})
			if told {
				t.Error("an end was told that a kill undoes")
			}
			w.heal()
			if !w.health.failing || told {
				t.Fatal("held to work")
			}
			if found := recovered(t, dir); len(found) != 4 || found["unsafe"].Doubt != 20 || found["ended"].Notice != "" {
				t.Errorf("killed meanwhile: %d owed", len(found))
			}
			folder.heal()
			w.heal()
			if w.health.failing || !told {
				t.Fatal("held to fail")
			}
			found := recovered(t, dir)
			if len(found) != 3 || found["done"] != nil {
				t.Fatalf("%d owed", len(found))
			}
			if r := found["unsafe"]; r.Tries != 1 || r.Doubt != 0 || r.Out != 0 {
				t.Errorf("unsafe: %+v", r)
			}
			if r := found["safe"]; r.Tries != 1 || r.Doubt != 30 {
				t.Errorf("safe: %+v", r)
			}
			if r := found["ended"]; r.Notice != endHandedBack || r.RetryMS != 7 {
				t.Errorf("ended: %+v", r)
			}
			if err := w.append(classed("new", decide.Idempotent), false); err != nil {
				t.Error(err)
			}
		})
	}
}

// An attempt goes out without its record only where a kill after it does no harm.
func TestAttemptsWithoutRecord(t *testing.T) {
	const sent = clock.Instant(1e15)
	keyed := func(left int64) *record {
		r := classed("m", decide.Deduplicated)
		r.Deadline = sent + clock.Instant(left)
		return r
	}
	local := keyed(1e6)
	local.Rules.DedupByZone = true
	unknown := classed("m", decide.Idempotent)
	unknown.Rules = nil
	for name, x := range map[string]struct {
		message *record
		may     bool
	}{
		"safe":                             {classed("m", decide.Idempotent), true},
		"unsafe":                           {classed("m", decide.NonIdempotent), false},
		"keyed, over before its window is": {keyed(5e6), true},
		"keyed, over after its window":     {keyed(5e6 + 1), false},
		"keyed within a floor":             {local, false},
		"of unknown rules":                 {unknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			folder := newFaultyFolder()
			w, _ := openFaultyWAL(t, t.TempDir(), folder, 1<<20, quietLog())
			mustAppend(t, w, x.message)
			folder.fail(syscall.EIO, 0, changesFolder...)
			for range 2 { // the first finds the failure
				err := w.append(&record{Kind: recAttempt, ID: "m", At: sent}, false)
				if (err == nil) != x.may {
					t.Errorf("%v", err)
				}
			}
		})
	}
}

// An end that cannot be written is told at the end of its message's time, when no later process would send it.
func TestEndIsToldInTime(t *testing.T) {
	folder := newFaultyFolder()
	w, _ := openFaultyWAL(t, t.TempDir(), folder, 1<<20, quietLog())
	m := classed("m", decide.Idempotent)
	m.Deadline = clock.System().Now().Add(30 * time.Millisecond)
	mustAppend(t, w, m)
	folder.fail(syscall.EIO, 0, changesFolder...)
	told := make(chan error, 2)
	w.start()
	defer w.halt()
	w.submit(&record{Kind: recEnding, ID: "m", Notice: endHandedBack}, func(err error) { told <- err })
	<-told
	if clock.System().Now() < m.Deadline {
		t.Error("told before its time")
	}
	folder.heal()
	waitFor(t, "the log", func() bool {
		text, _ := os.ReadFile(w.path)
		return strings.Contains(string(text), endHandedBack)
	})
	if len(told) > 0 {
		t.Error("told twice")
	}
}

// A failure is one line as it begins and one as it ends, however many records it meets.
func TestFailureIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	folder := newFaultyFolder()
	w, _ := openFaultyWAL(t, t.TempDir(), folder, 1<<20, slog.New(slog.NewTextHandler(&lines, nil)))
	for round := 1; round <= 2; round++ {
		mustAppend(t, w, classed(fmt.Sprint("m", round), decide.Idempotent))
		folder.fail(syscall.ENOSPC, 5, opWrite)
		for i := range 50 {
			w.perform(walOp{rec: classed(fmt.Sprint("n", i), decide.Idempotent)})
			w.perform(walOp{rec: &record{Kind: recAttempt, ID: fmt.Sprint("m", round), At: 1}})
			w.heal()
		}
		folder.heal()
		w.heal()
		w.heal()
		if countLines(&lines, "state folder: failing") != round || countLines(&lines, "state folder: works again") != round ||
			strings.Count(lines.String(), "\n") != 2*round {
			t.Fatalf("round %d:\n%s", round, lines.String())
		}
	}
	if !strings.Contains(lines.String(), w.logs.dir) {
		t.Error("the folder is not named")
	}
}

// A compaction that fails leaves the old log whole and in use.
func TestCompactionFails(t *testing.T) {
	for _, operation := range []folderOperation{opOpen, opRename} {
		t.Run(string(operation), func(t *testing.T) {
			var lines bytes.Buffer
			dir := t.TempDir()
			folder := newFaultyFolder()
			w, _ := openFaultyWAL(t, dir, folder, 4<<20, slog.New(slog.NewTextHandler(&lines, nil)))
			mustAppend(t, w, classed("a", decide.Idempotent))
			folder.fail(syscall.ENOSPC, 0, operation)
			big := classed("big", decide.Idempotent)
			big.body = bytes.Repeat([]byte("b"), 60<<10)
			for range 40 { // the log is past the size at which it is compacted
				mustAppend(t, w, big, &record{Kind: recEnd, ID: "big"})
			}
			if w.health.failing || !w.health.uncompacted || w.size < compactAbove {
				t.Fatalf("failing %v, not compacted %v, %d bytes", w.health.failing, w.health.uncompacted, w.size)
			}
			if got := recoveredIDs(t, dir); !slices.Equal(got, []string{"a"}) {
				t.Errorf("recovered %q", got)
			}
			folder.heal()
			w.heal()
			if w.size > compactAbove || w.health.uncompacted {
				t.Errorf("%d bytes", w.size)
			}
			if got := recoveredIDs(t, dir); !slices.Equal(got, []string{"a"}) {
				t.Errorf("then recovered %q", got)
			}
			if countLines(&lines, "state folder: failing") != 1 || countLines(&lines, "state folder: works again") != 1 {
				t.Errorf("logged:\n%s", lines.String())
			}
		})
	}
}

// A kill at any byte of a compaction leaves the old log or the new one, and both hold the same.
func TestKilledInCompaction(t *testing.T) {
	for killAfter := 0; ; killAfter += 7 {
		dir := t.TempDir()
		folder := newFaultyFolder()
		w, _ := openFaultyWAL(t, dir, folder, 1<<20, quietLog())
		mustAppend(t, w, classed("a", decide.NonIdempotent), classed("b", decide.Idempotent), &record{Kind: recAttempt, ID: "a", At: 5},
			classed("c", decide.Idempotent), &record{Kind: recEnd, ID: "c"})
		folder.killAfter = killAfter
		if err := w.compact(); err != nil {
			t.Fatal(err)
		}
		found := recovered(t, dir)
		if len(found) != 2 || found["a"].Doubt != 5 || found["b"].Tries != 0 {
			t.Fatalf("killed after %d bytes: %d owed", killAfter, len(found))
		}
		if folder.killAfter > 0 {
			return
		}
	}
}

// A kill at any byte of the last record leaves what was known before it, or with its last byte what it says.
func TestKilledAtEachByte(t *testing.T) {
	for _, last := range []*record{
		classed("b", decide.NonIdempotent),
		{Kind: recAttempt, ID: "a", At: 30, ZoneName: "f"},
		{Kind: recOutcome, ID: "a", Ran: true},
		{Kind: recEnding, ID: "a", Notice: endHandedBack, RetryMS: 7},
		{Kind: recEnd, ID: "a", Ran: true},
	} {
		t.Run(string(last.Kind), func(t *testing.T) {
			text, err := last.encode(nil)
			if err != nil {
				t.Fatal(err)
			}
			state := func(killAfter int) string {
				dir := t.TempDir()
				folder := newFaultyFolder()
				w, _ := openFaultyWAL(t, dir, folder, 1<<20, quietLog())
				mustAppend(t, w, classed("a", decide.NonIdempotent), &record{Kind: recAttempt, ID: "a", At: 10}, &record{Kind: recOutcome, ID: "a"})
				folder.killAfter = killAfter
				mustAppend(t, w, last)
				found := ""
				for id, r := range recovered(t, dir) {
					found += fmt.Sprint(id, r.Tries, r.Doubt, r.Notice, " ")
				}
				return strings.Join(slices.Sorted(slices.Values(strings.Fields(found))), " ")
			}
			before, after := state(0), state(len(text))
			if before == after && last.Kind != recOutcome {
				t.Fatalf("%q before and after", before)
			}
			for killAfter := 1; killAfter < len(text); killAfter++ {
				if got := state(killAfter); got != before {
					t.Fatalf("after %d of %d bytes: %q, before %q", killAfter, len(text), got, before)
				}
			}
		})
	}
}

// Two logs are recovered though nothing can be written at the start; they stay until one log holds both.
func TestStartsInAFolderThatCannotBeWritten(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{walName, walName + ".0.1"} {
		text, err := classed("of "+name, decide.NonIdempotent).encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	folder := newFaultyFolder()
	folder.fail(syscall.EROFS, 0, changesFolder...)
	w, owed := openFaultyWAL(t, dir, folder, 1<<20, quietLog())
	if len(owed) != 2 || !w.health.failing || w.whole() {
		t.Fatalf("%d owed, failing %v", len(owed), w.health.failing)
	}
	mustAppend(t, w, &record{Kind: recEnd, ID: owed[0].ID})
	if got := recoveredIDs(t, dir); len(got) != 2 {
		t.Fatalf("killed: %q", got)
	}
	folder.heal()
	w.heal()
	if got := recoveredIDs(t, dir); !slices.Equal(got, []string{owed[1].ID}) || !w.whole() {
		t.Fatalf("healed: %q", got)
	}
	if _, err := os.Stat(filepath.Join(dir, walName+".0.1")); err == nil {
		t.Error("the second log is still there")
	}
}

// What another process left is removed only once it stands in this log.
func TestAdoptsWhileTheFolderFails(t *testing.T) {
	dir := t.TempDir()
	folder := newFaultyFolder()
	w, _ := openFaultyWAL(t, dir, folder, 1<<20, quietLog())
	left := filepath.Join(dir, walName+".1.0")
	text, err := classed("left", decide.NonIdempotent).encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(left, text, 0o600); err != nil {
		t.Fatal(err)
	}
	lock, err := folder.Lock(filepath.Join(dir, lockName+"1"))
	if err != nil {
		t.Fatal(err)
	}
	folder.fail(syscall.EIO, 0, opRead)
	if w.adopt(1, lock, nil) == nil {
		t.Fatal("an unreadable log was taken over")
	}
	folder.heal()
	folder.fail(syscall.EIO, 0, changesFolder...)
	owed := 0
	if err := w.adopt(1, lock, func(found []*record) { owed = len(found) }); err != nil {
		t.Fatal(err)
	}
	for _, op := range w.in.takeAll(nil) {
		op.do()
	}
	if owed != 1 || w.live["left"] == nil {
		t.Fatalf("%d owed", owed)
	}
	folder.heal()
	if _, err := os.Stat(left); err != nil {
		t.Fatal("removed before it stands elsewhere")
	}
	w.heal()
	if _, err := os.Stat(left); err == nil {
		t.Error("still there")
	}
	if got := recoveredIDs(t, dir); !slices.Equal(got, []string{"left"}) {
		t.Errorf("recovered %q", got)
	}
}

// Whatever fails, by chance, what the log says it has is there after a kill.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		dir := t.TempDir()
		folder := newFaultyFolder()
		folder.random, folder.chance = rand.New(rand.NewPCG(seed, 1)), 0.3
		var w *wal
		for w == nil { // the start itself may fail
			held, err := holdLogs(folder, dir)
			if err != nil {
				continue
			}
			if w, _, err = openWAL(held, 1<<20, func(string) bool { return false }, clock.System(), quietLog()); err != nil {
				held.release()
			}
		}
		want := map[string]bool{}
		for i := range 60 {
			id := fmt.Sprint("m", i)
			if w.append(classed(id, decide.Idempotent), false) == nil {
				want[id] = true
			}
			if folder.random.IntN(3) == 0 {
				w.heal()
			}
			if len(w.health.postponed) > 0 {
				continue
			}
			found := recovered(t, dir)
			for id := range want {
				if found[id] == nil {
					t.Fatalf("seed %d: %s was taken on and is lost", seed, id)
				}
			}
			for id := range found {
				if !want[id] {
					t.Fatalf("seed %d: %s was refused and is in the log", seed, id)
				}
			}
		}
		endFaultyWAL(w)
	}
}

// A log none of whose files could be opened holds nothing that a new process could take over, though
// nothing waits to be written; once the folder works it does.
func TestLogWithoutAFileIsNotWhole(t *testing.T) {
	folder := newFaultyFolder()
	folder.fail(syscall.EIO, 0, opOpen)
	w, _ := openFaultyWAL(t, t.TempDir(), folder, 1<<20, quietLog())
	if w.file != nil || w.settled != nil || len(w.health.postponed) != 0 {
		t.Fatalf("file %v, %d records wait", w.file, len(w.health.postponed))
	}
	if w.whole() {
		t.Error("a log without a file may be handed over")
	}
	folder.heal()
	w.heal()
	if w.file == nil || !w.whole() {
		t.Error("the log of a folder that works again may not be handed over")
	}
}
