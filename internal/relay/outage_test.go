package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/clock"
)

// However discovery fails and however many relays there are, the next request is sent early enough for its response to
// arrive within 6 s of the recovery. No request stays open alone for longer than that.
func TestNextRequestIsInTime(t *testing.T) {
	for _, relays := range []int{1, 3, 30, 300, 3000, 100000} {
		d := newDiscovery("127.0.0.1:1", relays, -1, clock.System(), discardLogger(), nil)
		for _, due := range []time.Duration{-time.Hour, -time.Second, time.Second, knownAfterSilence} {
			for n := range 100 {
				d.knownBy = d.clock.Now().Add(due)
				if got := d.refusalDelay(n+1, 0.999999) + minResponseWait; got >= knownAfterSilence {
					t.Fatalf("%d relays, %d refusals: got a response after %v, want less than 6s", relays, n+1, got)
				}
				if got := d.nextRequestDelay(n, 0.999999) + minResponseWait; got >= knownAfterSilence {
					t.Fatalf("%d relays, %d requests without a response: got the next response after %v, want less than 6s",
						relays, n, got)
				}
			}
		}
	}
}

// delayLog is a log handler that keeps the longest delay until the next request and the number of delays.
type delayLog struct {
	slog.Handler
	maxMS   atomic.Int64
	records atomic.Int64
}

func (g *delayLog) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "pause_ms" || a.Key == "next_ms" {
			g.records.Add(1)
			for old := g.maxMS.Load(); a.Value.Int64() > old && !g.maxMS.CompareAndSwap(old, a.Value.Int64()); old = g.maxMS.Load() {
			}
		}
		return true
	})
	return nil
}

// After an outage of discovery of any kind, all 300 relays receive a change made during the outage. During the outage
// the delay between two requests of a relay is short enough for the change to arrive within 6 s of the recovery. The
// agent does not respond to requests from before the recovery, except in the case "kept".
func TestChangeArrivesAfterAnyOutage(t *testing.T) {
	const relays = 300
	delta := deltaJSON(9, Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseDraining}) + "\n"
	respond := func(c net.Conn, status, body string) {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	faults := map[string]func(c net.Conn, recovered <-chan struct{}) (kept bool){
		"reset": func(c net.Conn, _ <-chan struct{}) bool { c.(*net.TCPConn).SetLinger(0); return false },
		"ended": func(net.Conn, <-chan struct{}) bool { return false },
		"5xx":   func(c net.Conn, _ <-chan struct{}) bool { respond(c, "503 Busy", ""); return true },
		"cut": func(c net.Conn, _ <-chan struct{}) bool {
			io.WriteString(c, watchHeader+chunk(delta[:30]))
			return false
		},
		"kept":      func(_ net.Conn, recovered <-chan struct{}) bool { <-recovered; return true },
		"forgotten": func(c net.Conn, _ <-chan struct{}) bool { waitUntilClosed(c); return false },
		"headless": func(c net.Conn, _ <-chan struct{}) bool {
			io.WriteString(c, watchHeader)
			waitUntilClosed(c)
			return false
		},
	}
	for name, fail := range faults {
		for _, addressChanges := range []bool{false, true} {
			if addressChanges && name != "forgotten" && name != "5xx" {
				continue
			}
			testName := name
			if addressChanges {
				testName += ", address changes"
			}
			t.Run(testName, func(t *testing.T) {
				t.Parallel()
				recovered := make(chan struct{})
				var requests, requestsAfterRecovery atomic.Int64
				serve := func(c net.Conn, hasRecovered func() bool) {
					for in := bufio.NewReader(c); ; {
						req, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						requests.Add(1)
						if !hasRecovered() {
							if !fail(c, recovered) {
								return
							}
							if name != "kept" {
								continue
							}
						} else {
							requestsAfterRecovery.Add(1)
						}
						if req.URL.Query().Get("watch") != "" {
							io.WriteString(c, watchHeader+chunk(delta))
							waitUntilClosed(c)
							return
						}
						respond(c, "200 OK", `{"revision":9,"complete":true,"members":[]}`)
					}
				}
				isRecovered := func() bool {
					select {
					case <-recovered:
						return true
					default:
						return false
					}
				}
				addr := rawEndpoint(t, func(c net.Conn) { serve(c, isRecovered) })
				secondAddr := rawEndpoint(t, func(c net.Conn) { serve(c, isRecovered) })
				log := &delayLog{Handler: slog.NewTextHandler(io.Discard, nil)}
				ctx, cancel := context.WithCancel(context.Background())
				var running sync.WaitGroup
				defer running.Wait()
				defer cancel()
				revisions := make(chan int64, 8*relays)
				var clients []*discovery
				for range relays {
					d := newDiscovery(addr, relays, 7, clock.System(), slog.New(log),
						collectLists(func(l *List) { revisions <- l.Revision }))
					d.reopenGrace = 100 * time.Millisecond
					clients = append(clients, d)
					running.Add(1)
					go func() { defer running.Done(); d.run(ctx) }()
				}
				started := time.Now()
				failures := int64(5) // by then knownBy no longer shortens the delays
				if silent := name == "kept" || name == "forgotten" || name == "headless"; silent {
					failures = 2
				}
				waitFor(t, "failures of each relay", func() bool { return log.records.Load() >= failures*relays })
				if addressChanges {
					for _, d := range clients {
						d.addresses.put(secondAddr)
					}
				}
				rate := float64(requests.Load()) / time.Since(started).Seconds()
				close(recovered)
				for n := 0; n < relays; {
					select {
					case revision := <-revisions:
						if revision == 9 {
							n++
						}
					case <-time.After(30 * time.Second):
						t.Fatalf("%d of %d relays have received the change", n, relays)
					}
				}
				if maxDelay := time.Duration(log.maxMS.Load()) * time.Millisecond; maxDelay+minResponseWait >= knownAfterSilence {
					t.Errorf("got a delay of %v between two requests, want a response within 6s", maxDelay)
				}
				if n := requestsAfterRecovery.Load(); n > 4*relays {
					t.Errorf("got %d requests after the recovery from %d relays, want at most 4 each", n, relays)
				}
				t.Logf("%.0f requests per second during the outage, %d requests after the recovery",
					rate, requestsAfterRecovery.Load())
			})
		}
	}
}
