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

// Phases of a member in the list.
const phaseUp, phaseDraining, phaseRemoved = "up", "draining", "removed"

// startDiscovery runs a discovery client until the test ends and returns a channel with the lists that it receives.
func startDiscovery(t *testing.T, agent *fakeDiscovery, silence time.Duration) chan *List {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	lists, done := make(chan *List, 64), make(chan struct{})
	client := newDiscovery(agent.addr(), 3, -1, clock.System(), discardLogger(), collectLists(func(l *List) { lists <- l }))
	client.silenceTimeout = silence
	go func() { defer close(done); client.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return lists
}

// nextList waits for the next list that discovery passes on.
func nextList(t *testing.T, lists chan *List) *List {
	t.Helper()
	select {
	case list := <-lists:
		return list
	case <-time.After(30 * time.Second):
		t.Fatal("no list within 30 s")
		return nil
	}
}

// deltaJSON returns a delta with one member as JSON.
func deltaJSON(revision int64, member Member) string {
	text, _ := json.Marshal(List{Revision: revision, Members: []Member{member}})
	return string(text)
}

// Deltas follow the full list. After a broken connection the watch resumes from the revision reached, and after a
// malformed line the full list is fetched again.
func TestWatch(t *testing.T) {
	member := Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: phaseUp}
	d := newFakeDiscovery(t, member)
	lists := startDiscovery(t, d, testLimit)
	if l := nextList(t, lists); !l.Complete || len(l.Members) != 1 {
		t.Fatalf("first list: got %+v, want a full list with one member", l)
	}
	member.Phase = phaseDraining
	d.sendLine(t, deltaJSON(2, member))
	if l := nextList(t, lists); l.Revision != 2 || l.Complete || l.Members[0].Phase != phaseDraining {
		t.Fatalf("second list: got %+v, want the delta of revision 2", l)
	}
	d.update(func(d *fakeDiscovery) { close(d.watches[0]) }) // closes the connection
	waitFor(t, "a second watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.watchRevisions) == 2 })
	d.mu.Lock()
	from, fetches := d.watchRevisions[1], d.listFetches
	d.mu.Unlock()
	if from != "2" || fetches != 1 {
		t.Errorf("watch resumed from revision %s after %d fetches, want 2 after 1", from, fetches)
	}
	for i, bad := range []string{`{"revision":3,"members":[{"id":"s-1"`,
		`{"revision":3,"members":[{"id":"s-1","phase":"asleep"}]}`,
		`{"revision":3}`, `{"revision":3,"members":[{"id":"s-1","phase":"up","host_port":"nowhere"}]}`} {
		d.sendLine(t, bad)
		if l := nextList(t, lists); !l.Complete {
			t.Fatalf("after malformed line %d: got %+v, want the full list", i, l)
		}
		waitFor(t, "another watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.watchRevisions) == 3+i })
	}
}

// A watch whose connection is dead stays open. A watch that sends nothing, not even an empty line, must be closed and
// opened again.
func TestSilentWatch(t *testing.T) {
	d := newFakeDiscovery(t, Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseUp})
	lists := startDiscovery(t, d, 100*time.Millisecond)
	nextList(t, lists)
	waitFor(t, "a second watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.watchRevisions) >= 2 })
}

// A fleet that loses discovery at one moment must not overload it. In each span of ten service times the number of
// requests stays bounded, however many relays there are, while a small fleet still retries soon.
func TestFleetRequestsSpreadOut(t *testing.T) {
	for _, relays := range []int{3, 80, 300, 3000} {
		d := newDiscovery("127.0.0.1:1", relays, -1, clock.System(), discardLogger(), nil)
		rng := rand.New(rand.NewPCG(1, 2))
		span := 10 * discoveryServiceTime
		requests := map[time.Duration]int{} // number of requests by span
		for range relays {
			at := time.Duration(0)
			for refusals := 1; at < time.Minute; refusals++ {
				at += d.backoffDelay(refusals, rng.Float64())
				requests[at/span]++
			}
		}
		// A relay is held to know the list 6 s after discovery recovers, so each relay sends a request at least once
		// in maxBackoffCeiling. That is the lowest rate possible, and the fleet must hardly exceed it.
		evenRequests := float64(relays) * span.Seconds() / maxBackoffCeiling.Seconds()
		t.Logf("%d relays: %.1f requests per second after half a minute", relays,
			float64(requests[30*time.Second/span])/span.Seconds())
		for at, n := range requests {
			if n > max(25, relays*3) || relays > 3 && n > max(30, int(1.6*evenRequests)) {
				t.Errorf("%d relays: got %d requests in the %v from %v, want fewer", relays, n, span, at*span)
			}
		}
	}
	if d := newDiscovery("127.0.0.1:1", 300, -1, clock.System(),
		discardLogger(), nil); d.backoffDelay(1, 0.99) >= knownAfterMove ||
		d.backoffDelay(6, 0) < maxBackoffCeiling/2 {
		t.Errorf("300 relays: got a first delay up to %v, a later one of at least %v; want shorter and longer",
			d.backoffDelay(1, 0.99), d.backoffDelay(6, 0))
	}
	if d := newDiscovery("127.0.0.1:1", 3, -1, clock.System(),
		discardLogger(), nil); d.backoffDelay(1, 0.99) > 2*minDiscoveryRound ||
		d.responseWait != minResponseWait {
		t.Errorf("three relays: got a first delay up to %v, response wait %v; want at most 2 rounds, minResponseWait",
			d.backoffDelay(1, 0.99), d.responseWait)
	}
}

// A fleet that starts must not make discovery send all of its list to each relay. A relay that knows a list requests
// only later changes, and becomes ready even if there are none.
func TestStartFromKnownList(t *testing.T) {
	d := newFakeDiscovery(t, Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseUp})
	ctx, cancel := context.WithCancel(context.Background())
	lists, done := make(chan *List, 64), make(chan struct{})
	client := newDiscovery(d.addr(), 3, 7, clock.System(), discardLogger(), collectLists(func(l *List) { lists <- l }))
	go func() { defer close(done); client.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	if l := nextList(t, lists); l.Complete || len(l.Members) > 0 || l.Revision != 7 {
		t.Errorf("first list: got %+v, want an empty delta of revision 7", l)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listFetches != 0 || len(d.watchRevisions) != 1 || d.watchRevisions[0] != "7" {
		t.Errorf("got %d fetches and watches from %v, want no fetch and one watch from 7", d.listFetches, d.watchRevisions)
	}
}

// A relay is held to know the agent's drains soon after its start, in a large fleet too. So the first watch is opened
// without a delay.
func TestLargeFleetStartsWatchingAtOnce(t *testing.T) {
	d := newFakeDiscovery(t, Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseUp})
	ctx, cancel := context.WithCancel(context.Background())
	lists, done := make(chan *List, 64), make(chan struct{})
	client := newDiscovery(d.addr(), 300, 7, clock.System(), discardLogger(), collectLists(func(l *List) { lists <- l }))
	client.round = 1000 * time.Hour
	go func() { defer close(done); client.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	if l := nextList(t, lists); l.Revision != 7 {
		t.Errorf("first list: got %+v, want an empty delta of revision 7", l)
	}
}

// An overloaded discovery must not have to send the full list again. After a refused watch the relay retries from the
// revision reached.
func TestRefusedWatchKeepsRevision(t *testing.T) {
	d := newFakeDiscovery(t, Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseUp})
	d.update(func(d *fakeDiscovery) { d.watchesToRefuse = 2 })
	nextList(t, startDiscovery(t, d, testLimit))
	waitFor(t, "a watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.watchRevisions) == 1 })
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listFetches != 1 || d.watchRevisions[0] != "1" || d.watchesToRefuse != 0 {
		t.Errorf("got %d fetches, watch from %s, %d refusals left; want 1, 1 and 0", d.listFetches, d.watchRevisions[0], d.watchesToRefuse)
	}
}

// If discovery is silent at the start, the relay accepts messages with the list that it was configured with.
func TestStartWithoutDiscovery(t *testing.T) {
	d := newFakeDiscovery(t)
	d.update(func(d *fakeDiscovery) { d.silent = true })
	env := writeTestConfig(t, d, 3)
	child := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	if reply := client.put("m", putFields("plain", 20000, 1), nil); reply != "+OK" {
		t.Error(reply)
	}
	_ = child
}

// A notice is sent again until it is confirmed. A notice that the agent rejects as malformed counts as confirmed, so
// that it does not hold up the others.
func TestNotices(t *testing.T) {
	d := newFakeDiscovery(t)
	d.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusInternalServerError })
	confirmed := make(chan string, 16)
	n := newNotices(d.addr(), clock.System(), discardLogger(), func(id string) { confirmed <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.run(ctx) }()
	defer func() { cancel(); <-done }()
	n.incoming.put(notice{Message: "a", Outcome: noticeGivenUp})
	n.incoming.put(notice{Message: "b", Outcome: noticeHandedBack, RetryMS: 500})
	select {
	case id := <-confirmed:
		t.Fatalf("notice %s counts as confirmed after status 500", id)
	case <-time.After(50 * time.Millisecond):
	}
	d.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusNoContent })
	for range 2 {
		<-confirmed
	}
	if b, _ := d.notice("b"); b != (notice{Message: "b", Outcome: noticeHandedBack, RetryMS: 500}) {
		t.Errorf("got notice %+v, want handed_back with retry_in_ms 500", b)
	}
	d.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusBadRequest })
	n.incoming.put(notice{Message: "c", Outcome: noticeGivenUp})
	if id := <-confirmed; id != "c" {
		t.Errorf("got confirmation of %s, want c", id)
	}
}

// noticeAgent starts an agent that sends the response that respond returns for the body of each POST request. If the
// response is empty, it resets the connection.
func noticeAgent(t *testing.T, respond func(text string) string) string {
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
			response := respond(string(text))
			if response == "" {
				c.(*net.TCPConn).SetLinger(0)
				return
			}
			io.WriteString(c, response)
		}
	})
}

// Responses of an agent to notices.
const (
	confirmedResponse = "HTTP/1.1 204 No Content\r\n\r\n"
	malformedResponse = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
)

// confirmAll runs notices until count confirmations have arrived. It returns the number of confirmations of each
// notice.
func confirmAll(t *testing.T, addr string, count int, put func(*notices)) map[string]int {
	t.Helper()
	confirmed := make(chan string, maxNoticeBatch)
	n := newNotices(addr, clock.System(), discardLogger(), func(id string) { confirmed <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.run(ctx) }()
	defer func() { cancel(); <-done }()
	put(n)
	got := map[string]int{}
	for range count {
		select {
		case id := <-confirmed:
			got[id]++
		case <-time.After(10 * time.Second):
			t.Fatalf("timeout: got confirmations %v", got)
		}
	}
	return got
}

// A try without a response must not delay later notices, and its notice is sent again while that try stays open. A
// notice whose connections are reset is sent again too.
func TestNoticesDoNotWaitForEachOther(t *testing.T) {
	laterSent := make(chan struct{})
	closeLaterSent := sync.OnceFunc(func() { close(laterSent) })
	var resets atomic.Int32
	var silentReceived atomic.Bool
	addr := noticeAgent(t, func(text string) string {
		switch {
		case strings.Contains(text, "silent"):
			silentReceived.Store(true)
			<-laterSent
		case strings.Contains(text, "later"):
			closeLaterSent()
		case resets.Add(1) <= 3:
			return ""
		}
		return confirmedResponse
	})
	got := confirmAll(t, addr, 3, func(n *notices) {
		n.incoming.put(notice{Message: "reset", Outcome: noticeGivenUp})
		n.incoming.put(notice{Message: "silent", Outcome: noticeGivenUp})
		waitFor(t, "the try without a response", silentReceived.Load)
		n.incoming.put(notice{Message: "later", Outcome: noticeGivenUp})
	})
	if len(got) != 3 {
		t.Errorf("got confirmations %v, want one of each of three notices", got)
	}
}

// Within the time of a notice there must be three tries if connections are silent, and five if they are reset.
func TestNoticeTriesInTime(t *testing.T) {
	silent, reset := time.Duration(0), time.Duration(0)
	for failed := range 2 {
		silent += backoff(noticeResendDelay, failed)
	}
	for failed := range 4 {
		reset += backoff(noticeRetryDelay, failed)
	}
	if maxDelay := 200 * time.Millisecond; silent > maxDelay || reset > maxDelay {
		t.Errorf("got the third silent try after %v, the fifth try after resets after %v; want at most 200ms",
			silent, reset)
	}
}

// A malformed notice must not hold up the others of its batch. The notices of a rejected batch are sent one by one.
func TestMalformedNoticeDelaysNoOther(t *testing.T) {
	addr := noticeAgent(t, func(text string) string {
		if strings.Contains(text, "bad") {
			return malformedResponse
		}
		return confirmedResponse
	})
	got := confirmAll(t, addr, maxNoticeBatch, func(n *notices) {
		n.incoming.put(notice{Message: "bad", Outcome: noticeGivenUp})
		for i := range maxNoticeBatch - 1 {
			n.incoming.put(notice{Message: strconv.Itoa(i), Outcome: noticeGivenUp})
		}
	})
	if len(got) != maxNoticeBatch {
		t.Errorf("got %d of %d notices confirmed: %v", len(got), maxNoticeBatch, got)
	}
}
