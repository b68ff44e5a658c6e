package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"troutusher/internal/clock"
)

// endedWatchLog is a log handler that keeps the records of watches that have ended, with the delay before the next
// one.
type endedWatchLog struct {
	slog.Handler
	mu      sync.Mutex
	watches []endedWatch
}

// endedWatch is the log record of a watch that has ended.
type endedWatch struct {
	delayMS int64
	err     string
}

func (l *endedWatchLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message != "discovery: watch ended" {
		return nil
	}
	var watch endedWatch
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "pause_ms":
			watch.delayMS = a.Value.Int64()
		case "err":
			watch.err = fmt.Sprint(a.Value.Any())
		}
		return true
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watches = append(l.watches, watch)
	return nil
}

func (l *endedWatchLog) ended() []endedWatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]endedWatch(nil), l.watches...)
}

// scriptedAgent starts an agent that calls serve for each request. Requests are numbered from 0 over all connections.
func scriptedAgent(t *testing.T, serve func(number int, c net.Conn, req *http.Request)) string {
	var mu sync.Mutex
	requests := 0
	return rawEndpoint(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			mu.Lock()
			number := requests
			requests++
			mu.Unlock()
			serve(number, c, req)
		}
	})
}

// watchHeader is the header of the response to a watch; its body consists of chunks.
const watchHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// waitUntilClosed keeps a connection open until the relay closes it.
func waitUntilClosed(c net.Conn) { io.Copy(io.Discard, c) }

// startFleetDiscovery runs the discovery client of one relay of a fleet, which starts with revision 7 of the list.
func startFleetDiscovery(t *testing.T, addr string, relays int) (*discovery, chan *List, *endedWatchLog) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	log := &endedWatchLog{Handler: slog.NewTextHandler(io.Discard, nil)}
	lists, done := make(chan *List, 64), make(chan struct{})
	client := newDiscovery(addr, relays, 7, clock.System(), slog.New(log), collectLists(func(l *List) { lists <- l }))
	client.reopenGrace, client.silenceTimeout = 100*time.Millisecond, 400*time.Millisecond
	t.Cleanup(func() { cancel(); <-done })
	go func() { defer close(done); client.run(ctx) }()
	return client, lists, log
}

// A watch that becomes silent, after a line or within one, is opened again within the drain grace, in a large fleet
// too, and the relay receives what the new watch sends. A relay is held to know the agent's list 6 s after its watch
// became silent.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	delta := deltaJSON(8, Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseDraining})
	for name, firstResponse := range map[string]string{"after a line": watchHeader + chunk("\n"),
		"in a line":          watchHeader + chunk("\n") + chunk(delta[:20]),
		"in an indented one": watchHeader + chunk("\n{\n  \"revision\": 8,\n")} {
		t.Run(name, func(t *testing.T) {
			addr := scriptedAgent(t, func(n int, c net.Conn, req *http.Request) {
				if n == 0 {
					io.WriteString(c, firstResponse)
				} else {
					if req.URL.Query().Get("from") != "7" {
						t.Errorf("got request for %s, want a watch from revision 7", req.URL)
					}
					io.WriteString(c, watchHeader+chunk(delta+"\n"))
				}
				waitUntilClosed(c)
			})
			_, lists, log := startFleetDiscovery(t, addr, 300)
			for l := nextList(t, lists); l.Revision != 8; l = nextList(t, lists) {
			}
			if got := log.ended()[0]; got.delayMS > 100 {
				t.Errorf("watch reopened after a delay of %d ms, want at most 100: %s", got.delayMS, got.err)
			}
		})
	}
}

// A watch that ends after it has worked for a while is opened again at once: the relay is held to know the agent's
// list, whether or not a watch is open.
func TestEndedWatchIsReopenedAtOnce(t *testing.T) {
	addr := scriptedAgent(t, func(n int, c net.Conn, _ *http.Request) {
		io.WriteString(c, watchHeader+chunk("\n"))
		if n > 0 {
			waitUntilClosed(c)
			return
		}
		for range 8 { // for longer than minResponseWait
			time.Sleep(minResponseWait / 7)
			io.WriteString(c, chunk("\n"))
		}
		c.Close()
	})
	_, lists, log := startFleetDiscovery(t, addr, 300)
	nextList(t, lists)
	nextList(t, lists)
	if got := log.ended()[0]; got.delayMS > 100 {
		t.Errorf("watch reopened after a delay of %d ms, want at most 100: %s", got.delayMS, got.err)
	}
}

// While the agent is silent, a request is always open, so that the agent responds to it as soon as it recovers: the
// relay is held to know the agent's list from that moment.
func TestSilentAgentAlwaysHasOpenRequest(t *testing.T) {
	recovered := make(chan struct{})
	var mu sync.Mutex
	requests := 0
	addr := scriptedAgent(t, func(n int, c net.Conn, _ *http.Request) {
		mu.Lock()
		requests++
		mu.Unlock()
		<-recovered
		io.WriteString(c, watchHeader+chunk("\n"))
		waitUntilClosed(c)
	})
	_, lists, log := startFleetDiscovery(t, addr, 3)
	waitFor(t, "a second request", func() bool { mu.Lock(); defer mu.Unlock(); return requests >= 2 })
	close(recovered)
	if l := nextList(t, lists); l.Revision != 7 {
		t.Errorf("first list: got %+v, want an empty delta of revision 7", l)
	}
	for _, l := range log.ended() {
		if l.delayMS > 0 && strings.Contains(l.err, "silent") {
			t.Errorf("got a delay of %d ms without an open request, want none", l.delayMS)
		}
	}
}

// After a refusal the relay backs off, but it sends another request before the time when it is held to know the list.
func TestRequestsAfterRefusalAreInTime(t *testing.T) {
	d := newDiscovery("127.0.0.1:1", 300, -1, clock.System(), discardLogger(), nil)
	for _, left := range []time.Duration{5 * time.Second, 2 * time.Second, 500 * time.Millisecond} {
		d.knownBy = d.clock.Now().Add(left)
		if got := d.refusalDelay(6, 0.999); got >= left {
			t.Errorf("%v before knownBy: got refusal delay %v, want less", left, got)
		}
		if got := d.nextRequestDelay(0, 0); got > max(left/2, minResponseWait) {
			t.Errorf("%v before knownBy: got %v until the next request, want at most half", left, got)
		}
	}
	d.knownBy = d.clock.Now().Add(-time.Second)
	if d.refusalDelay(6, 0.5) != d.backoffDelay(6, 0.5) || d.nextRequestDelay(0, 0) != minResponseWait {
		t.Errorf("after knownBy: got refusal delay %v, next request after %v, want backoff and minResponseWait",
			d.refusalDelay(6, 0.5), d.nextRequestDelay(0, 0))
	}
}

// A list that is older than the known one must not bring removed endpoints back.
func TestOlderListIsRejected(t *testing.T) {
	up, removed := Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseUp}, Member{ID: "s-1", Phase: phaseRemoved}
	addr := scriptedAgent(t, func(n int, c net.Conn, req *http.Request) {
		sendFullList := func(revision int64, m Member) {
			text, _ := json.Marshal(List{Revision: revision, Complete: true, Members: []Member{m}})
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
		switch n {
		case 0: // a delta, and then an older one
			io.WriteString(c, watchHeader+chunk(deltaJSON(9, removed)+"\n")+chunk(deltaJSON(8, up)+"\n"))
			waitUntilClosed(c)
		case 1:
			sendFullList(8, up)
		case 2:
			sendFullList(10, removed)
		default:
			io.WriteString(c, watchHeader+chunk("\n"))
			waitUntilClosed(c)
		}
	})
	_, lists, _ := startFleetDiscovery(t, addr, 3)
	if l := nextList(t, lists); l.Revision != 9 {
		t.Fatalf("first list: got %+v, want the delta of revision 9", l)
	}
	if l := nextList(t, lists); l.Revision != 10 || l.Members[0].Phase != phaseRemoved {
		t.Errorf("second list: got %+v, want revision 10 with s-1 removed", l)
	}
}

// If discovery's address changes while the old one is silent, the relay sends a request to the new one at once.
func TestAddressChangeWhileSilent(t *testing.T) {
	requests := make(chan struct{}, 8)
	oldAddr := scriptedAgent(t, func(_ int, c net.Conn, _ *http.Request) { requests <- struct{}{}; waitUntilClosed(c) })
	d, lists, _ := startFleetDiscovery(t, oldAddr, 300)
	<-requests
	d.addresses.put(newFakeDiscovery(t, Member{ID: "s-9", HostPort: "127.0.0.1:1", Phase: phaseUp}).addr())
	if l := nextList(t, lists); !l.Complete || l.Members[0].ID != "s-9" || len(requests) > 0 {
		t.Errorf("got list %+v and %d more requests to the old address, want the full list with s-9 and none",
			l, len(requests))
	}
}

// A list in a watch may be indented over several lines and followed by another one.
func TestIndentedLists(t *testing.T) {
	var text strings.Builder
	for revision := int64(8); revision < 10; revision++ {
		b, _ := json.MarshalIndent(List{Revision: revision,
			Members: []Member{{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseUp}}}, "", "  ")
		text.WriteString(string(b) + "\n")
	}
	addr := scriptedAgent(t, func(_ int, c net.Conn, _ *http.Request) {
		io.WriteString(c, watchHeader+chunk(text.String()))
		waitUntilClosed(c)
	})
	_, lists, _ := startFleetDiscovery(t, addr, 3)
	for revision := int64(8); revision < 10; revision++ {
		if l := nextList(t, lists); l.Revision != revision || len(l.Members) != 1 {
			t.Fatalf("got list %+v, want revision %d with one member", l, revision)
		}
	}
}
