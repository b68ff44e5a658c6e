package relay

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
)

// fixtureWallTime is the wall-clock time at which testdata/unix-micro.wal was written, by a release that
// logged Unix microseconds.
const fixtureWallTime clock.UnixMicro = 1796201478316395

// logCapture collects log output.
type logCapture struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logCapture) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logCapture) count(substring string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), substring)
}

// openWALWithClock opens a log with a clock, as a new process does after the earlier one has ended.
func openWALWithClock(t *testing.T, dir string, clk clock.Clock) (*wal, map[string]*record, *logCapture) {
	t.Helper()
	if slots := testSlots[dir]; slots != nil {
		slots.release()
	}
	slots, err := lockLogSlots(osFolder{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	testSlots[dir] = slots
	lines := &logCapture{}
	w, pending, err := openWAL(slots, 3<<20, func(string) bool { return false }, clk,
		slog.New(slog.NewTextHandler(lines, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.file.Close(); slots.release() })
	byID := map[string]*record{}
	for _, r := range pending {
		byID[r.ID] = r
	}
	return w, byID, lines
}

func testReading() clock.Reading {
	return clock.Reading{BootID: "boot", Now: clock.Instant(3600e6), Wall: fixtureWallTime}
}

// logSampleMessages logs a message without attempts, one with an attempt that may have run, an ended one and an outage.
func logSampleMessages(t *testing.T, w *wal, clk clock.Clock) {
	t.Helper()
	cfg := parseTestConfig(t)
	accept := func(id, class string) {
		now := clk.Now()
		mustAppend(t, w, &record{Kind: recordAccepted, ID: id, Class: class, Dest: 7, Deadline: now.Add(20 * time.Second),
			At:    now,
			Rules: &cfg.Policy.Classes[cfg.classes[class]], MaxAttempts: 8})
	}
	accept("untried", "plain")
	accept("maybe-ran", "keyed")
	mustAppend(t, w, &record{Kind: recordAttempt, ID: "maybe-ran", At: clk.Now()})
	accept("ended", "once")
	mustAppend(t, w, &record{Kind: recordEnd, ID: "ended", MayHaveRun: true},
		&record{Kind: recordOutage, ID: "s-1", Outage: &decide.OutageSnapshot{FirstFailureAt: decide.Time(clk.Now()) - 5e6,
			LastFailureAt: decide.Time(clk.Now())}})
}

// A step of the wall clock between two processes changes no deadline, deduplication window or outage.
func TestWallClockStepBetweenProcesses(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		dir, clk := t.TempDir(), clock.NewManual(testReading())
		w, _, _ := openWALWithClock(t, dir, clk)
		logSampleMessages(t, w, clk)
		acceptedAt := clk.Now()
		clk.Advance(3 * time.Second)
		clk.StepWall(step)
		w, pending, lines := openWALWithClock(t, dir, clk)
		if deadline := pending["untried"].Deadline; deadline != acceptedAt.Add(20*time.Second) {
			t.Errorf("step %v: got %v until the deadline, want 17s", step, clock.Until(clk, deadline))
		}
		if r := pending["maybe-ran"]; r.DedupWindowUnknown || r.MayHaveRunAt != acceptedAt {
			t.Errorf("step %v: recovered %+v", step, r)
		}
		if len(w.endedRecords()) != 1 || len(w.outageRecords()) != 1 ||
			w.outageRecords()[0].Outage.LastFailureAt != decide.Time(acceptedAt) {
			t.Errorf("step %v: got %d ended messages and %d outages, want 1 of each and the outage unmoved", step,
				len(w.endedRecords()), len(w.outageRecords()))
		}
		if n := lines.count("another clock"); n != 0 {
			t.Errorf("step %v: the log is read as one of another clock", step)
		}
	}
}

// After a reboot, or a step back of the monotonic clock, the elapsed time is taken from the wall clock.
// No deadline moves further away, no deduplication window counts as open, and ended messages stay known.
func TestLogOfAnotherBoot(t *testing.T) {
	for name, test := range map[string]struct {
		boot   string
		now    clock.Instant
		passed time.Duration // on the wall clock
		left   time.Duration
	}{
		"another boot":        {"next", 10e6, 5 * time.Second, 15 * time.Second},
		"stepped back":        {"next", 10e6, -time.Hour, 20 * time.Second},
		"stepped ahead":       {"next", 10e6, time.Hour, -10 * time.Second},
		"no boot id":          {"", 10e6, 5 * time.Second, 15 * time.Second},
		"monotonic step back": {"boot", 10e6, 5 * time.Second, 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			dir, clk := t.TempDir(), clock.NewManual(testReading())
			w, _, _ := openWALWithClock(t, dir, clk)
			logSampleMessages(t, w, clk)
			next := clock.NewManual(clock.Reading{BootID: test.boot, Now: test.now,
				Wall: fixtureWallTime + clock.UnixMicro(test.passed.Microseconds())})
			for range 2 { // the second start reads the log that the first one converted
				w, pending, lines := openWALWithClock(t, dir, next)
				left := clock.Until(next, pending["untried"].Deadline)
				if test.left > 0 && left != test.left || test.left <= 0 && left > 0 {
					t.Errorf("got %v until the deadline, want %v", left, test.left)
				}
				if r := pending["maybe-ran"]; !r.DedupWindowUnknown || r.MayHaveRunAt == 0 {
					t.Errorf("the deduplication window counts as open: %+v", r)
				}
				if len(w.endedRecords()) != 1 {
					t.Error("the ended message is not known any more")
				}
				if n := lines.count("another clock"); n > 1 {
					t.Errorf("the other clock is logged %d times, want at most 1", n)
				}
				if test.boot == "" {
					break // without a boot id each start has another clock
				}
			}
		})
	}
}

// Clock records that are damaged or implausible are logged once, and do not prevent a start.
func TestClockRecordDamaged(t *testing.T) {
	clk := clock.NewManual(testReading())
	encoded := func(r *record) []byte {
		text, err := r.encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	message := encoded(&record{Kind: recordAccepted, ID: "m", Class: "keyed", Deadline: clk.Now().Add(20 * time.Second),
		At:            clk.Now(),
		InFlightSince: clk.Now(), Attempts: 1, Rules: &parseTestConfig(t).Policy.Classes[1]})
	valid := encoded(newClockRecord(clock.Read(clk)))
	flipped := append([]byte{}, valid...)
	flipped[len(flipped)/2] ^= 4
	for name, test := range map[string]struct {
		prefix   []byte
		wantLine string
	}{
		"torn":    {valid[:len(valid)/2], "damaged record skipped"},
		"flipped": {flipped, "damaged record skipped"},
		"empty":   {encoded(&record{Kind: recordClock, ID: clockRecordID}), "implausible clock record"},
		"absurd": {encoded(newClockRecord(clock.Reading{BootID: "boot", Now: -5, Wall: fixtureWallTime})),
			"implausible clock record"},
		"unknown": {encoded(newClockRecord(clock.Reading{BootID: "other", Now: clk.Now(), Wall: fixtureWallTime})),
			"another clock"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, walFileName), append(test.prefix, message...), 0o600); err != nil {
				t.Fatal(err)
			}
			_, pending, lines := openWALWithClock(t, dir, clk)
			r := pending["m"]
			if r == nil || !r.DedupWindowUnknown || clock.Until(clk, r.Deadline) > 20*time.Second ||
				clock.Until(clk, r.Deadline) <= 0 {
				t.Errorf("recovered %+v", r)
			}
			if n := lines.count(test.wantLine); n != 1 {
				t.Errorf("%q is logged %d times, want 1", test.wantLine, n)
			}
		})
	}
}

// The instants of records after a second clock record belong to that one's clock.
func TestClockRecordAppliesToLaterRecords(t *testing.T) {
	first, second := testReading(), clock.Reading{BootID: "next", Now: 50e6, Wall: fixtureWallTime + 10e6}
	var text []byte
	for _, r := range []*record{
		newClockRecord(first), {Kind: recordAccepted, ID: "a", Class: "plain", Deadline: first.Now.Add(20 * time.Second),
			At: first.Now},
		newClockRecord(second), {Kind: recordAccepted, ID: "b", Class: "plain", Deadline: second.Now.Add(20 * time.Second),
			At: second.Now},
	} {
		var err error
		if text, err = r.encode(text); err != nil {
			t.Fatal(err)
		}
	}
	dir, clk := t.TempDir(), clock.NewManual(second)
	if err := os.WriteFile(filepath.Join(dir, walFileName), text, 0o600); err != nil {
		t.Fatal(err)
	}
	clk.Advance(time.Second)
	_, pending, _ := openWALWithClock(t, dir, clk)
	for id, want := range map[string]time.Duration{"a": 9 * time.Second, "b": 19 * time.Second} {
		if left := clock.Until(clk, pending[id].Deadline); left != want {
			t.Errorf("%s: got %v until the deadline, want %v", id, left, want)
		}
	}
}

// A step of the wall clock adds one clock record to the log, before the next record that is written.
func TestWallClockStepIsWrittenOnce(t *testing.T) {
	dir, clk := t.TempDir(), clock.NewManual(testReading())
	w, _, _ := openWALWithClock(t, dir, clk)
	clocks := func() int {
		text, err := os.ReadFile(w.path)
		if err != nil {
			t.Fatal(err)
		}
		return strings.Count(string(text), `"kind":"clock"`)
	}
	for i, id := range []string{"a", "b", "c", "d"} {
		if i == 2 {
			clk.StepWall(-time.Hour)
		}
		clk.Advance(time.Second)
		mustAppend(t, w, &record{Kind: recordAccepted, ID: id, Deadline: clk.Now().Add(time.Minute), At: clk.Now()})
		if want := 1 + i/2; clocks() != want {
			t.Fatalf("got %d clock records after %s, want %d", clocks(), id, want)
		}
	}
	clk.Advance(time.Second) // after a reboot the step of an hour does not count as elapsed time
	next := clock.NewManual(clock.Reading{BootID: "next", Now: 5e6, Wall: clk.Wall()})
	_, pending, _ := openWALWithClock(t, dir, next)
	if left := clock.Until(next, pending["a"].Deadline); left != 56*time.Second {
		t.Errorf("got %v until the deadline, want 56s", left)
	}
}

// A log with Unix microseconds, as an earlier release wrote it, is converted.
func TestUnixLogIsConverted(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "unix-micro.wal"))
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		passed time.Duration
		left   time.Duration // until the deadline of "untried", which was accepted with 20 s
	}{
		"4 s later":          {4 * time.Second, 16 * time.Second},
		"stepped back by 1h": {-time.Hour, 18 * time.Second}, // its last attempt was 2 s after the start
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, walFileName), text, 0o600); err != nil {
				t.Fatal(err)
			}
			clk := clock.NewManual(clock.Reading{BootID: "boot", Now: 600e6,
				Wall: fixtureWallTime + clock.UnixMicro(test.passed.Microseconds())})
			for range 2 {
				w, pending, _ := openWALWithClock(t, dir, clk)
				if len(pending) != 4 || len(w.endedRecords()) != 1 || len(w.outageRecords()) != 1 {
					t.Fatalf("recovered %d messages, %d ended ids, %d outages, want 4, 1, 1", len(pending), len(w.endedRecords()),
						len(w.outageRecords()))
				}
				if left := clock.Until(clk, pending["untried"].Deadline); left != test.left {
					t.Errorf("got %v until the deadline, want %v", left, test.left)
				}
				if r := pending["keyed-in-doubt"]; !r.DedupWindowUnknown || r.Attempts != 1 ||
					string(r.body) != "body of keyed-in-doubt" {
					t.Errorf("recovered %+v", r)
				}
				if r := pending["once-refused"]; r.DedupWindowUnknown || r.MayHaveRunAt != 0 || r.Attempts != 1 {
					t.Errorf("recovered %+v", r)
				}
				if r := pending["handed-back"]; r.Notice != noticeHandedBack || r.RetryMS != 250 {
					t.Errorf("recovered %+v", r)
				}
			}
		})
	}
}

// A message whose deduplication window is not known to be open is not sent again.
func TestUnknownDedupWindowIsClosed(t *testing.T) {
	r := newTestRelay(t)
	rules := r.cfg.Policy.Classes[r.cfg.classes["keyed"]]
	for unknown, want := range map[bool]bool{false: true, true: false} {
		now := r.clock.Now()
		rec := &record{Kind: recordAccepted, ID: "m", Class: "keyed", Dest: 7, Rules: &rules, MaxAttempts: 8,
			Deadline: now.Add(testLimit),
			At:       now, Attempts: 1, MayHaveRunAt: now, DedupWindowUnknown: unknown}
		r.restoreMessages([]*record{rec}, nil)
		m, e := r.messagesByID["m"], r.policyEvents[len(r.policyEvents)-1]
		if open := r.now()-e.MayHaveRunAt < rules.DedupWindow; open != want {
			t.Errorf("window unknown %v: the policy has it open: %v", unknown, open)
		}
		if late := (callItem{repeatUntil: m.repeatUntil()}).repeatExpired(now); late == want {
			t.Errorf("window unknown %v: a call has it closed: %v", unknown, late)
		}
		m.ended = true
		r.dropMessage(m)
	}
}

// A predecessor of the earlier release sends only its policy time, without a clock reading. The new
// process continues that policy time, and reads instants in records from the predecessor as wall-clock times.
func TestHelloOfEarlierRelease(t *testing.T) {
	r := newTestRelay(t)
	const predecessorNow = decide.Time(3600e6 + 77e6)
	r.adoptPolicyClock(&handoverHello{PolicyNow: predecessorNow})
	if r.now() != predecessorNow || r.policyTime(r.instant(predecessorNow+5)) != predecessorNow+5 {
		t.Errorf("policy time is %d, want %d", r.now(), predecessorNow)
	}
	reading := clock.Read(r.clock)
	r.adoptPolicyClock(&handoverHello{PolicyNow: 5e9, Clock: reading}) // this release: the delay of the hello does not count
	r.clock.(*clock.Manual).Advance(time.Second)
	if r.now() != 5e9+1e6 {
		t.Errorf("policy time is %d after a second", r.now())
	}
}

// A step of the wall clock while a relay runs does not change when later messages end: a message that
// is accepted after the step is ended by a notice neither before nor long after its deadline.
func TestWallClockStepKeepsDeadlines(t *testing.T) {
	for name, step := range map[string]time.Duration{"2s ahead": 2 * time.Second, "2s back": -2 * time.Second,
		"1h ahead": time.Hour, "1h back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := newFakeDiscovery(t)
			env := writeTestConfig(t, discovery, 3)
			wall := newTestWallClock(t, env)
			startChild(t, env)
			wall.step(t, step)
			client := dialClient(t, env["ROUTER_LISTEN"])
			handedIn := time.Now()
			if s := client.put("m", putFields("plain", 3000, 9), nil); s != "+OK" {
				t.Fatal(s)
			}
			for {
				_, notified := discovery.notice("m")
				switch waited := time.Since(handedIn); {
				case notified && waited < 1500*time.Millisecond:
					t.Fatalf("the notice came after %v, before the deadline", waited)
				case notified:
					return
				case waited > 4500*time.Millisecond:
					t.Fatalf("no notice after %v", waited)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// After a reboot of the machine a message without attempts is sent, and one that may have run is not
// sent again, since its deduplication window is not known to be open.
func TestRestartAfterReboot(t *testing.T) {
	endpoint := newFakeEndpoint(t, hang)
	drained := endpoint.member("s-2", otherDest)
	drained.Phase = phaseDraining
	r := newSteppedRelay(t, endpoint.member("s-1", servedDest), drained)
	r.start()
	mayHaveRun := r.put("maybe-ran", "keyed", longDeadline, servedDest)
	untried := r.put("untried", "keyed", longDeadline, otherDest)
	waitFor(t, "the call", func() bool { return endpoint.callCount("maybe-ran") == 1 })
	r.process.kill()
	endpoint.respondWith(nil)
	r.discovery.replaceMember(endpoint.member("s-2", otherDest))
	r.env[bootIDEnv] = "another"
	r.restartStepped(0)
	r.expectDelivered(untried, endpoint, 1)
	r.awaitNotice(mayHaveRun, endpoint)
	if calls := endpoint.callCount("maybe-ran"); calls != 1 {
		t.Errorf("got %d calls of the message that may have run, want 1", calls)
	}
	r.verify()
}
