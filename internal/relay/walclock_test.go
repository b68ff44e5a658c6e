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

// fixtureWall is the wall clock at which testdata/unix-micro.wal was written, by a release that
// kept moments of the wall clock.
const fixtureWall clock.UnixMicro = 1796201478316395

// logLines keeps what is logged.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logLines) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), what)
}

// clockWAL opens a log by a clock, as a process that starts does. The one before has ended.
func clockWAL(t *testing.T, dir string, clk clock.Clock) (*wal, map[string]*record, *logLines) {
	t.Helper()
	if l := testLogs[dir]; l != nil {
		l.release()
	}
	l, err := holdLogs(osFolder{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	testLogs[dir] = l
	lines := &logLines{}
	w, owed, err := openWAL(l, 3<<20, func(string) bool { return false }, clk, slog.New(slog.NewTextHandler(lines, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.file.Close(); l.release() })
	byID := map[string]*record{}
	for _, r := range owed {
		byID[r.ID] = r
	}
	return w, byID, lines
}

func testReading() clock.Reading {
	return clock.Reading{BootID: "boot", Now: clock.Instant(3600e6), Wall: fixtureWall}
}

// fill logs a message that is untried, one with an attempt that may have run, and one that has ended.
func fill(t *testing.T, w *wal, clk clock.Clock) {
	t.Helper()
	cfg := testSet(t)
	take := func(id, class string) {
		now := clk.Now()
		mustAppend(t, w, &record{Kind: recTaken, ID: id, Class: class, Dest: 7, Deadline: now.Add(20 * time.Second), At: now,
			Rules: &cfg.Policy.Classes[cfg.classes[class]], Most: 8})
	}
	take("untried", "plain")
	take("doubt", "keyed")
	mustAppend(t, w, &record{Kind: recAttempt, ID: "doubt", At: clk.Now()})
	take("ended", "once")
	mustAppend(t, w, &record{Kind: recEnd, ID: "ended", Ran: true},
		&record{Kind: recOutage, ID: "s-1", Outage: &decide.OutageMemory{FirstBad: decide.Time(clk.Now()) - 5e6, BadAt: decide.Time(clk.Now())}})
}

// A wall clock that is stepped between two processes moves no deadline, window or outage.
func TestWallStepBetweenProcesses(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		dir, clk := t.TempDir(), clock.NewManual(testReading())
		w, _, _ := clockWAL(t, dir, clk)
		fill(t, w, clk)
		taken := clk.Now()
		clk.Advance(3 * time.Second)
		clk.StepWall(step)
		w, owed, lines := clockWAL(t, dir, clk)
		if d := owed["untried"].Deadline; d != taken.Add(20*time.Second) {
			t.Errorf("step %v: %v left, want 17s", step, clock.Until(clk, d))
		}
		if r := owed["doubt"]; r.WindowUnknown || r.Doubt != taken {
			t.Errorf("step %v: %+v", step, r)
		}
		if len(w.ended()) != 1 || len(w.outages()) != 1 || w.outages()[0].Outage.BadAt != decide.Time(taken) {
			t.Errorf("step %v: ended %d, outages %d", step, len(w.ended()), len(w.outages()))
		}
		if n := lines.count("another clock"); n != 0 {
			t.Errorf("step %v: taken for another clock", step)
		}
	}
}

// After another boot, or a step back of the monotonic clock, the wall clock tells the time, no
// deadline is further away than it was, no window counts as open, and what ended stays known.
func TestLogOfAnotherBoot(t *testing.T) {
	for name, x := range map[string]struct {
		boot   string
		now    clock.Instant
		passed time.Duration // by the wall clock
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
			w, _, _ := clockWAL(t, dir, clk)
			fill(t, w, clk)
			next := clock.NewManual(clock.Reading{BootID: x.boot, Now: x.now, Wall: fixtureWall + clock.UnixMicro(x.passed.Microseconds())})
			for range 2 { // the second start reads what the first one made of it
				w, owed, lines := clockWAL(t, dir, next)
				left := clock.Until(next, owed["untried"].Deadline)
				if x.left > 0 && left != x.left || x.left <= 0 && left > 0 {
					t.Errorf("%v left, want %v", left, x.left)
				}
				if r := owed["doubt"]; !r.WindowUnknown || r.Doubt == 0 {
					t.Errorf("the window counts as open: %+v", r)
				}
				if len(w.ended()) != 1 {
					t.Error("what ended is not known any more")
				}
				if n := lines.count("another clock"); n > 1 {
					t.Errorf("told %d times", n)
				}
				if x.boot == "" {
					break // a process without a boot id never shares its clock
				}
			}
		})
	}
}

// Clock records that cannot be read or believed are told once, and no log stops a start.
func TestClockRecordDamaged(t *testing.T) {
	clk := clock.NewManual(testReading())
	encoded := func(r *record) []byte {
		text, err := r.encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	message := encoded(&record{Kind: recTaken, ID: "m", Class: "keyed", Deadline: clk.Now().Add(20 * time.Second), At: clk.Now(),
		Out: clk.Now(), Tries: 1, Rules: &testSet(t).Policy.Classes[1]})
	sound := encoded(clockRecord(clock.Read(clk)))
	flipped := append([]byte{}, sound...)
	flipped[len(flipped)/2] ^= 4
	for name, x := range map[string]struct {
		front []byte
		line  string
	}{
		"torn":    {sound[:len(sound)/2], "damaged record passed over"},
		"flipped": {flipped, "damaged record passed over"},
		"empty":   {encoded(&record{Kind: recClock, ID: clockID}), "cannot be true"},
		"absurd":  {encoded(clockRecord(clock.Reading{BootID: "boot", Now: -5, Wall: fixtureWall})), "cannot be true"},
		"unknown": {encoded(clockRecord(clock.Reading{BootID: "other", Now: clk.Now(), Wall: fixtureWall})), "another clock"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, walName), append(x.front, message...), 0o600); err != nil {
				t.Fatal(err)
			}
			_, owed, lines := clockWAL(t, dir, clk)
			r := owed["m"]
			if r == nil || !r.WindowUnknown || clock.Until(clk, r.Deadline) > 20*time.Second || clock.Until(clk, r.Deadline) <= 0 {
				t.Errorf("recovered %+v", r)
			}
			if n := lines.count(x.line); n != 1 {
				t.Errorf("%q told %d times", x.line, n)
			}
		})
	}
}

// Records behind a second clock record go by that one.
func TestClockRecordHoldsForWhatFollows(t *testing.T) {
	first, second := testReading(), clock.Reading{BootID: "next", Now: 50e6, Wall: fixtureWall + 10e6}
	var text []byte
	for _, r := range []*record{
		clockRecord(first), {Kind: recTaken, ID: "a", Class: "plain", Deadline: first.Now.Add(20 * time.Second), At: first.Now},
		clockRecord(second), {Kind: recTaken, ID: "b", Class: "plain", Deadline: second.Now.Add(20 * time.Second), At: second.Now},
	} {
		var err error
		if text, err = r.encode(text); err != nil {
			t.Fatal(err)
		}
	}
	dir, clk := t.TempDir(), clock.NewManual(second)
	if err := os.WriteFile(filepath.Join(dir, walName), text, 0o600); err != nil {
		t.Fatal(err)
	}
	clk.Advance(time.Second)
	_, owed, _ := clockWAL(t, dir, clk)
	for id, want := range map[string]time.Duration{"a": 9 * time.Second, "b": 19 * time.Second} {
		if left := clock.Until(clk, owed[id].Deadline); left != want {
			t.Errorf("%s: %v left, want %v", id, left, want)
		}
	}
}

// A step of the wall clock is told by one further clock record, with the next record that is written.
func TestStepIsWrittenOnce(t *testing.T) {
	dir, clk := t.TempDir(), clock.NewManual(testReading())
	w, _, _ := clockWAL(t, dir, clk)
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
		mustAppend(t, w, &record{Kind: recTaken, ID: id, Deadline: clk.Now().Add(time.Minute), At: clk.Now()})
		if want := 1 + i/2; clocks() != want {
			t.Fatalf("%d clock records behind %s, want %d", clocks(), id, want)
		}
	}
	clk.Advance(time.Second) // by another boot the hour is not taken for time that passed
	next := clock.NewManual(clock.Reading{BootID: "next", Now: 5e6, Wall: clk.Wall()})
	_, owed, _ := clockWAL(t, dir, next)
	if left := clock.Until(next, owed["a"].Deadline); left != 56*time.Second {
		t.Errorf("%v left, want 56s", left)
	}
}

// A log of the release that kept moments of the wall clock is carried over.
func TestUnixLogIsCarriedOver(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "unix-micro.wal"))
	if err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		passed time.Duration
		left   time.Duration // of "untried", which had 20 s
	}{
		"4 s later":          {4 * time.Second, 16 * time.Second},
		"stepped back by 1h": {-time.Hour, 18 * time.Second}, // its last attempt was 2 s in
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, walName), text, 0o600); err != nil {
				t.Fatal(err)
			}
			clk := clock.NewManual(clock.Reading{BootID: "boot", Now: 600e6, Wall: fixtureWall + clock.UnixMicro(x.passed.Microseconds())})
			for range 2 {
				w, owed, _ := clockWAL(t, dir, clk)
				if len(owed) != 4 || len(w.ended()) != 1 || len(w.outages()) != 1 {
					t.Fatalf("%d owed, %d ended, %d outages", len(owed), len(w.ended()), len(w.outages()))
				}
				if left := clock.Until(clk, owed["untried"].Deadline); left != x.left {
					t.Errorf("%v left, want %v", left, x.left)
				}
				if r := owed["keyed-in-doubt"]; !r.WindowUnknown || r.Tries != 1 || string(r.body) != "body of keyed-in-doubt" {
					t.Errorf("%+v", r)
				}
				if r := owed["once-refused"]; r.WindowUnknown || r.Doubt != 0 || r.Tries != 1 {
					t.Errorf("%+v", r)
				}
				if r := owed["handed-back"]; r.Notice != endHandedBack || r.RetryMS != 250 {
					t.Errorf("%+v", r)
				}
			}
		})
	}
}

// A message whose window for repeats cannot be shown to be open is not repeated.
func TestUnknownWindowIsClosed(t *testing.T) {
	r := testRelay(t)
	rules := r.cfg.Policy.Classes[r.cfg.classes["keyed"]]
	for unknown, want := range map[bool]bool{false: true, true: false} {
		now := r.clock.Now()
		rec := &record{Kind: recTaken, ID: "m", Class: "keyed", Dest: 7, Rules: &rules, Most: 8, Deadline: now.Add(testLimit),
			At: now, Tries: 1, Doubt: now, WindowUnknown: unknown}
		r.restoreMessages([]*record{rec}, nil)
		m, e := r.messagesByID["m"], r.policyEvents[len(r.policyEvents)-1]
		if open := r.now()-e.DoubtAt < rules.DedupWindow; open != want {
			t.Errorf("unknown %v: the policy takes the window for open: %v", unknown, open)
		}
		if late := (part{by: m.repeatUntil()}).late(now); late == want {
			t.Errorf("unknown %v: a call takes the window for closed: %v", unknown, late)
		}
		m.ended = true
		r.dropMessage(m)
	}
}

// An old process of the earlier release tells its policy's time alone: the new one's policy goes on
// by that, and records that come from there are read as moments of the wall clock.
func TestHelloOfTheEarlierRelease(t *testing.T) {
	r := testRelay(t)
	const elders = decide.Time(3600e6 + 77e6)
	r.adoptPolicyClock(&handoverHello{PolicyNow: elders})
	if r.now() != elders || r.policyTime(r.instant(elders+5)) != elders+5 {
		t.Errorf("the policy's time is %d, want %d", r.now(), elders)
	}
	reading := clock.Read(r.clock)
	r.adoptPolicyClock(&handoverHello{PolicyNow: 5e9, Clock: reading}) // this release: no delay on the way counts
	r.clock.(*clock.Manual).Advance(time.Second)
	if r.now() != 5e9+1e6 {
		t.Errorf("the policy's time is %d", r.now())
	}
}

// A step of the wall clock while a relay runs moves the end of no message that is handed in after
// it: its time counts from then, and ends with a notice neither early nor late.
func TestStepMovesNoDeadline(t *testing.T) {
	for name, step := range map[string]time.Duration{"2s ahead": 2 * time.Second, "2s back": -2 * time.Second,
		"1h ahead": time.Hour, "1h back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			disc := newFakeDiscovery(t)
			env := testConfig(t, disc, 3)
			wall := newTestWallClock(t, env)
			startChild(t, env)
			wall.step(t, step)
			client := dialClient(t, env["ROUTER_LISTEN"])
			handedIn := time.Now()
			if s := client.put("m", fields("plain", 3000, 9), nil); s != "+OK" {
				t.Fatal(s)
			}
			for {
				_, told := disc.notice("m")
				switch waited := time.Since(handedIn); {
				case told && waited < 1500*time.Millisecond:
					t.Fatalf("ended after %v", waited)
				case told:
					return
				case waited > 4500*time.Millisecond:
					t.Fatalf("no end after %v", waited)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// After another boot of the machine what was untried goes out, and what may have run is not
// repeated: nothing shows that its window is open.
func TestRestartAfterAnotherBoot(t *testing.T) {
	endpoint := newFakeEndpoint(t, hang)
	drained := endpoint.member("s-2", otherDest)
	drained.Phase = phaseDraining
	r := newSteppedRelay(t, endpoint.member("s-1", servedDest), drained)
	r.start()
	doubtful := r.put("doubtful", "keyed", longDeadline, servedDest)
	untried := r.put("untried", "keyed", longDeadline, otherDest)
	waitFor(t, "the call", func() bool { return endpoint.count("doubtful") == 1 })
	r.relay.kill()
	endpoint.then(nil)
	r.discovery.replaceMember(endpoint.member("s-2", otherDest))
	r.env[bootEnv] = "another"
	r.restartStepped(0)
	r.expectDelivered(untried, endpoint, 1)
	r.awaitNotice(doubtful, endpoint)
	if calls := endpoint.count("doubtful"); calls != 1 {
		t.Errorf("%d calls of a message whose window cannot be shown to be open", calls)
	}
	r.verify()
}
