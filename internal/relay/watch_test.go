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

// pauses keeps what the log says of each pause of a watch.
type pauses struct {
	slog.Handler
	mu   sync.Mutex
	seen []pauseLine
}

type pauseLine struct {
	ms  int64
	err string
}

func (p *pauses) Handle(_ context.Context, r slog.Record) error {
	if r.Message != "discovery: watch ended" {
		return nil
	}
	var l pauseLine
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "pause_ms":
			l.ms = a.Value.Int64()
		case "err":
			l.err = fmt.Sprint(a.Value.Any())
		}
		return true
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen, l)
	return nil
}

func (p *pauses) lines() []pauseLine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]pauseLine(nil), p.seen...)
}

// scripted is an agent that does with each request, counted from 0, what a test says.
func scripted(t *testing.T, serve func(n int, c net.Conn, req *http.Request)) string {
	var mu sync.Mutex
	n := 0
	return rawEndpoint(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			mu.Lock()
			at := n
			n++
			mu.Unlock()
			serve(at, c, req)
		}
	})
}

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// untilClosed holds a connection until the relay ends it.
func untilClosed(c net.Conn) { io.Copy(io.Discard, c) }

func fleetDiscovery(t *testing.T, addr string, relays int) (*discovery, chan *List, *pauses) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	log := &pauses{Handler: slog.NewTextHandler(io.Discard, nil)}
	news, done := make(chan *List, 64), make(chan struct{})
	d := newDiscovery(addr, relays, 7, clock.System(), slog.New(log), collectLists(func(l *List) { news <- l }))
	d.reopenGrace, d.silenceTimeout = 100*time.Millisecond, 400*time.Millisecond
	t.Cleanup(func() { cancel(); <-done })
	go func() { defer close(done); d.run(ctx) }()
	return d, news, log
}

// A watch that falls silent, from its first line on, after it, or in the middle of one,
// is opened anew within the grace of a drain, in the largest fleet too; what comes then
// is heard. The agent's word counts as told 6 s after the watch fell silent.
func TestSilentWatchIsOpenedAnewInTime(t *testing.T) {
	fresh := change(8, Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseDraining})
	for name, first := range map[string]string{"after a line": watchHead + chunk("\n"), "in a line": watchHead + chunk("\n") + chunk(fresh[:20]),
		"in an indented one": watchHead + chunk("\n{\n  \"revision\": 8,\n")} {
		t.Run(name, func(t *testing.T) {
			addr := scripted(t, func(n int, c net.Conn, req *http.Request) {
				if n == 0 {
					io.WriteString(c, first)
				} else {
					if req.URL.Query().Get("from") != "7" {
						t.Errorf("asked for %s", req.URL)
					}
					io.WriteString(c, watchHead+chunk(fresh+"\n"))
				}
				untilClosed(c)
			})
			_, news, log := fleetDiscovery(t, addr, 300)
			for l := next(t, news); l.Revision != 8; l = next(t, news) {
			}
			if got := log.lines()[0]; got.ms > 100 {
				t.Errorf("opened anew after a pause of %d ms: %s", got.ms, got.err)
			}
		})
	}
}

// A watch that ends after it has served is opened anew at once: what the agent has
// counts, whether or not a watch is open.
func TestEndedWatchIsOpenedAnewAtOnce(t *testing.T) {
	addr := scripted(t, func(n int, c net.Conn, _ *http.Request) {
		io.WriteString(c, watchHead+chunk("\n"))
		if n > 0 {
			untilClosed(c)
			return
		}
		for range 8 { // for longer than an answer takes
			time.Sleep(minResponseWait / 7)
			io.WriteString(c, chunk("\n"))
		}
		c.Close()
	})
	_, news, log := fleetDiscovery(t, addr, 300)
	next(t, news)
	next(t, news)
	if got := log.lines()[0]; got.ms > 100 {
		t.Errorf("opened anew after a pause of %d ms: %s", got.ms, got.err)
	}
}

// While the agent is silent a request is always open: it is answered as the agent
// returns, and what the agent has counts as told at that moment.
func TestSilentAgentAlwaysHasARequest(t *testing.T) {
	back := make(chan struct{})
	var mu sync.Mutex
	asked := 0
	addr := scripted(t, func(n int, c net.Conn, _ *http.Request) {
		mu.Lock()
		asked++
		mu.Unlock()
		<-back
		io.WriteString(c, watchHead+chunk("\n"))
		untilClosed(c)
	})
	_, news, log := fleetDiscovery(t, addr, 3)
	waitFor(t, "a second request", func() bool { mu.Lock(); defer mu.Unlock(); return asked >= 2 })
	close(back)
	if l := next(t, news); l.Revision != 7 {
		t.Errorf("first %+v", l)
	}
	for _, l := range log.lines() {
		if l.ms > 0 && strings.Contains(l.err, "silent") {
			t.Errorf("a pause of %d ms without a request", l.ms)
		}
	}
}

// Refusals are answered by pauses, but there is another try before word counts as told.
func TestRefusedTriesFitIntoTheTime(t *testing.T) {
	d := newDiscovery("127.0.0.1:1", 300, -1, clock.System(), discardLogger(), nil)
	for _, left := range []time.Duration{5 * time.Second, 2 * time.Second, 500 * time.Millisecond} {
		d.knownBy = d.clock.Now().Add(left)
		if got := d.refusalDelay(6, 0.999); got >= left {
			t.Errorf("%v before word counts: a pause of %v", left, got)
		}
		if got := d.nextRequestDelay(0, 0); got > max(left/2, minResponseWait) {
			t.Errorf("%v before word counts: an answer is waited for for %v", left, got)
		}
	}
	d.knownBy = d.clock.Now().Add(-time.Second)
	if d.refusalDelay(6, 0.5) != d.backoffDelay(6, 0.5) || d.nextRequestDelay(0, 0) != minResponseWait {
		t.Errorf("afterwards: %v and %v", d.refusalDelay(6, 0.5), d.nextRequestDelay(0, 0))
	}
}

// A list from before the one that is known brings nothing back to life.
func TestOlderListIsNotTaken(t *testing.T) {
	up, gone := Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseUp}, Member{ID: "s-1", Phase: phaseRemoved}
	addr := scripted(t, func(n int, c net.Conn, req *http.Request) {
		whole := func(rev int64, m Member) {
			text, _ := json.Marshal(List{Revision: rev, Complete: true, Members: []Member{m}})
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
		switch n {
		case 0: // the change, and then a list from before it
			io.WriteString(c, watchHead+chunk(change(9, gone)+"\n")+chunk(change(8, up)+"\n"))
			untilClosed(c)
		case 1:
			whole(8, up)
		case 2:
			whole(10, gone)
		default:
			io.WriteString(c, watchHead+chunk("\n"))
			untilClosed(c)
		}
	})
	_, news, _ := fleetDiscovery(t, addr, 3)
	if l := next(t, news); l.Revision != 9 {
		t.Fatalf("first %+v", l)
	}
	if l := next(t, news); l.Revision != 10 || l.Members[0].Phase != phaseRemoved {
		t.Errorf("then %+v", l)
	}
}

// Discovery that moves while the old address is silent is asked at the new one at once.
func TestMovedWhileSilent(t *testing.T) {
	asked := make(chan struct{}, 8)
	old := scripted(t, func(_ int, c net.Conn, _ *http.Request) { asked <- struct{}{}; untilClosed(c) })
	d, news, _ := fleetDiscovery(t, old, 300)
	<-asked
	d.addresses.put(newFakeDiscovery(t, Member{ID: "s-9", HostPort: "127.0.0.1:1", Phase: phaseUp}).addr())
	if l := next(t, news); !l.Complete || l.Members[0].ID != "s-9" || len(asked) > 0 {
		t.Errorf("heard %+v, with %d more requests to the old address", l, len(asked))
	}
}

// A list may come indented, over many lines, and the next one behind it.
func TestIndentedLists(t *testing.T) {
	var text strings.Builder
	for rev := int64(8); rev < 10; rev++ {
		b, _ := json.MarshalIndent(List{Revision: rev, Members: []Member{{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseUp}}}, "", "  ")
		text.WriteString(string(b) + "\n")
	}
	addr := scripted(t, func(_ int, c net.Conn, _ *http.Request) {
		io.WriteString(c, watchHead+chunk(text.String()))
		untilClosed(c)
	})
	_, news, _ := fleetDiscovery(t, addr, 3)
	for rev := int64(8); rev < 10; rev++ {
		if l := next(t, news); l.Revision != rev || len(l.Members) != 1 {
			t.Fatalf("got %+v, want %d", l, rev)
		}
	}
}
