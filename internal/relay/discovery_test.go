package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/clock"
)

// The phases of a member.
const phaseUp, phaseDraining, phaseRemoved = "up", "draining", "removed"

// watchList runs discovery and hands on what it hears.
func watchList(t *testing.T, d *fakeDiscovery, silence time.Duration) chan *List {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	news, done := make(chan *List, 64), make(chan struct{})
	x := newDiscovery(d.addr(), 3, -1, clock.System(), discardLogger(), collectLists(func(l *List) { news <- l }))
	x.silenceTimeout = silence
	go func() { defer close(done); x.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return news
}

func next(t *testing.T, news chan *List) *List {
	t.Helper()
	select {
	case l := <-news:
		return l
	case <-time.After(30 * time.Second):
		t.Fatal("no news")
		return nil
	}
}

func change(rev int64, m Member) string {
	text, _ := json.Marshal(List{Revision: rev, Members: []Member{m}})
	return string(text)
}

// Changes follow the whole list; after a break the watch goes on from the
// version that was reached, and a line that cannot be read makes the whole
// list be fetched again.
func TestWatch(t *testing.T) {
	m := Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: phaseUp}
	d := newFakeDiscovery(t, m)
	news := watchList(t, d, testLimit)
	if l := next(t, news); !l.Complete || len(l.Members) != 1 {
		t.Fatalf("first %+v", l)
	}
	m.Phase = phaseDraining
	d.sendLine(t, change(2, m))
	if l := next(t, news); l.Revision != 2 || l.Complete || l.Members[0].Phase != phaseDraining {
		t.Fatalf("then %+v", l)
	}
	d.update(func(d *fakeDiscovery) { close(d.watches[0]) }) // the connection ends
	waitFor(t, "a second watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.watchRevisions) == 2 })
	d.mu.Lock()
	from, fetches := d.watchRevisions[1], d.listFetches
	d.mu.Unlock()
	if from != "2" || fetches != 1 {
		t.Errorf("goes on from %s after %d fetches", from, fetches)
	}
	for i, bad := range []string{`{"revision":3,"members":[{"id":"s-1"`, `{"revision":3,"members":[{"id":"s-1","phase":"asleep"}]}`,
		`{"revision":3}`, `{"revision":3,"members":[{"id":"s-1","phase":"up","host_port":"nowhere"}]}`} {
		d.sendLine(t, bad)
		if l := next(t, news); !l.Complete {
			t.Fatalf("after line %d: %+v", i, l)
		}
		waitFor(t, "a further watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.watchRevisions) == 3+i })
	}
}

// Guards against a watch that is open and dead: one that says nothing, not
// even an empty line, is given up.
func TestSilentWatch(t *testing.T) {
	d := newFakeDiscovery(t, Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseUp})
	news := watchList(t, d, 100*time.Millisecond)
	next(t, news)
	waitFor(t, "a second watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.watchRevisions) >= 2 })
}

// Guards discovery against a fleet that lost it at one moment: in every span of
// an asking's cost there is at most a few relays' worth of askings, whatever
// their number, and a small fleet still asks soon.
func TestFleetAsksSpreadOut(t *testing.T) {
	for _, relays := range []int{3, 80, 300, 3000} {
		d := newDiscovery("127.0.0.1:1", relays, -1, clock.System(), discardLogger(), nil)
		rng := rand.New(rand.NewPCG(1, 2))
		span := 10 * discoveryServiceTime
		asked := map[time.Duration]int{} // by span
		for range relays {
			at := time.Duration(0)
			for failed := 1; at < time.Minute; failed++ {
				at += d.backoffDelay(failed, rng.Float64())
				asked[at/span]++
			}
		}
		// Word counts as told 6 s after discovery could be reached, so each relay asks once
		// in discRest at least: that is the least that a fleet may cost, and hardly more.
		even := float64(relays) * span.Seconds() / maxBackoffCeiling.Seconds()
		t.Logf("%d relays: %.1f askings a second after half a minute", relays, float64(asked[30*time.Second/span])/span.Seconds())
		for at, n := range asked {
			if n > max(25, relays*3) || relays > 3 && n > max(30, int(1.6*even)) {
				t.Errorf("%d relays: %d askings in the %v from %v", relays, n, span, at*span)
			}
		}
	}
	if d := newDiscovery("127.0.0.1:1", 300, -1, clock.System(), discardLogger(), nil); d.backoffDelay(1, 0.99) >= knownAfterMove || d.backoffDelay(6, 0) < maxBackoffCeiling/2 {
		t.Errorf("300 relays: first pause up to %v, a later one from %v", d.backoffDelay(1, 0.99), d.backoffDelay(6, 0))
	}
	if d := newDiscovery("127.0.0.1:1", 3, -1, clock.System(), discardLogger(), nil); d.backoffDelay(1, 0.99) > 2*minDiscoveryRound || d.responseWait != minResponseWait {
		t.Errorf("three relays: first pause up to %v, answer within %v", d.backoffDelay(1, 0.99), d.responseWait)
	}
}

// Guards the start of a fleet: a relay that knows a list asks only for what is
// new since, and is ready though nothing is.
func TestStartFromKnownList(t *testing.T) {
	d := newFakeDiscovery(t, Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseUp})
	ctx, cancel := context.WithCancel(context.Background())
	news, done := make(chan *List, 64), make(chan struct{})
	x := newDiscovery(d.addr(), 3, 7, clock.System(), discardLogger(), collectLists(func(l *List) { news <- l }))
	go func() { defer close(done); x.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	if l := next(t, news); l.Complete || len(l.Members) > 0 || l.Revision != 7 {
		t.Errorf("first %+v", l)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listFetches != 0 || len(d.watchRevisions) != 1 || d.watchRevisions[0] != "7" {
		t.Errorf("%d fetches, watches from %v", d.listFetches, d.watchRevisions)
	}
}

// Guards the rule on drains at a restart in a large fleet: what the agent has
// counts as told from the start, so the first watch waits for no turn.
func TestLargeFleetStartsWatchingAtOnce(t *testing.T) {
	d := newFakeDiscovery(t, Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseUp})
	ctx, cancel := context.WithCancel(context.Background())
	news, done := make(chan *List, 64), make(chan struct{})
	x := newDiscovery(d.addr(), 300, 7, clock.System(), discardLogger(), collectLists(func(l *List) { news <- l }))
	x.round = 1000 * time.Hour
	go func() { defer close(done); x.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	if l := next(t, news); l.Revision != 7 {
		t.Errorf("first %+v", l)
	}
}

// Guards an overloaded discovery against double work: a watch that it refuses
// goes on from the version reached, without the whole list.
func TestRefusedWatchKeepsVersion(t *testing.T) {
	d := newFakeDiscovery(t, Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseUp})
	d.update(func(d *fakeDiscovery) { d.watchesToRefuse = 2 })
	next(t, watchList(t, d, testLimit))
	waitFor(t, "a watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.watchRevisions) == 1 })
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listFetches != 1 || d.watchRevisions[0] != "1" || d.watchesToRefuse != 0 {
		t.Errorf("%d fetches, watch from %s, %d refusals left", d.listFetches, d.watchRevisions[0], d.watchesToRefuse)
	}
}

// Guards the start against silent discovery: the relay answers with the list
// that it was given.
func TestStartWithoutDiscovery(t *testing.T) {
	d := newFakeDiscovery(t)
	d.update(func(d *fakeDiscovery) { d.silent = true })
	env := writeTestConfig(t, d, 3)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("m", putFields("plain", 20000, 1), nil); s != "+OK" {
		t.Error(s)
	}
	_ = c
}

// Notices are sent until they are taken; one that cannot be read does not hold
// up the others.
func TestNotices(t *testing.T) {
	d := newFakeDiscovery(t)
	d.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusInternalServerError })
	taken := make(chan string, 16)
	n := newNotices(d.addr(), clock.System(), discardLogger(), func(id string) { taken <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.run(ctx) }()
	defer func() { cancel(); <-done }()
	n.incoming.put(notice{Message: "a", Outcome: noticeGivenUp})
	n.incoming.put(notice{Message: "b", Outcome: noticeHandedBack, RetryMS: 500})
	select {
	case id := <-taken:
		t.Fatalf("%s held to be told", id)
	case <-time.After(50 * time.Millisecond):
	}
	d.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusNoContent })
	for range 2 {
		<-taken
	}
	if b, _ := d.notice("b"); b != (notice{Message: "b", Outcome: noticeHandedBack, RetryMS: 500}) {
		t.Errorf("told %+v", b)
	}
	d.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusBadRequest })
	n.incoming.put(notice{Message: "c", Outcome: noticeGivenUp})
	if id := <-taken; id != "c" {
		t.Errorf("%s in place of c", id)
	}
}

// noticeAgent is an agent of which a test says what it does with each POST: it
// gives the answer, or none to break the connection.
func noticeAgent(t *testing.T, answer func(text string) string) string {
	t.Helper()
	return rawEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			text, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			said := answer(string(text))
			if said == "" {
				c.(*net.TCPConn).SetLinger(0)
				return
			}
			io.WriteString(c, said)
		}
	})
}

const (
	noticeTaken  = "HTTP/1.1 204 No Content\r\n\r\n"
	noticeUnread = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
)

// tellAll runs notices until so many are told, and returns how often each was.
func tellAll(t *testing.T, addr string, count int, put func(*notices)) map[string]int {
	t.Helper()
	taken := make(chan string, maxNoticeBatch)
	n := newNotices(addr, clock.System(), discardLogger(), func(id string) { taken <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.run(ctx) }()
	defer func() { cancel(); <-done }()
	put(n)
	got := map[string]int{}
	for range count {
		select {
		case id := <-taken:
			got[id]++
		case <-time.After(10 * time.Second):
			t.Fatalf("only %v told", got)
		}
	}
	return got
}

// Guards the time of a notice: one whose try is held up without end does not
// hold up what comes later, and is itself sent again beside that try; one whose
// connections are reset is sent again too.
func TestNoticesDoNotWaitForEachOther(t *testing.T) {
	later := make(chan struct{})
	told := sync.OnceFunc(func() { close(later) })
	var resets atomic.Int32
	var hangs atomic.Bool
	addr := noticeAgent(t, func(text string) string {
		switch {
		case strings.Contains(text, "silent"):
			hangs.Store(true)
			<-later
		case strings.Contains(text, "later"):
			told()
		case resets.Add(1) <= 3:
			return ""
		}
		return noticeTaken
	})
	got := tellAll(t, addr, 3, func(n *notices) {
		n.incoming.put(notice{Message: "reset", Outcome: noticeGivenUp})
		n.incoming.put(notice{Message: "silent", Outcome: noticeGivenUp})
		waitFor(t, "the try that hangs", hangs.Load)
		n.incoming.put(notice{Message: "later", Outcome: noticeGivenUp})
	})
	if len(got) != 3 {
		t.Errorf("told %v", got)
	}
}

// Guards the number of tries that a notice has within its time: on silent
// connections a third goes out early enough to be in time, on ones that are
// reset a fifth.
func TestNoticeTriesInTime(t *testing.T) {
	silent, reset := time.Duration(0), time.Duration(0)
	for failed := range 2 {
		silent += backoff(noticeResendDelay, failed)
	}
	for failed := range 4 {
		reset += backoff(noticeRetryDelay, failed)
	}
	if most := 200 * time.Millisecond; silent > most || reset > most {
		t.Errorf("third try into silence after %v, fifth after resets after %v", silent, reset)
	}
}

// Guards the others against a notice that the agent cannot read: the batch is
// taken apart, and each is told by itself.
func TestUnreadableNoticeHoldsUpNone(t *testing.T) {
	addr := noticeAgent(t, func(text string) string {
		if strings.Contains(text, "bad") {
			return noticeUnread
		}
		return noticeTaken
	})
	got := tellAll(t, addr, maxNoticeBatch, func(n *notices) {
		n.incoming.put(notice{Message: "bad", Outcome: noticeGivenUp})
		for i := range maxNoticeBatch - 1 {
			n.incoming.put(notice{Message: strconv.Itoa(i), Outcome: noticeGivenUp})
		}
	})
	if len(got) != maxNoticeBatch {
		t.Errorf("%d of %d told, %v", len(got), maxNoticeBatch, got)
	}
}
