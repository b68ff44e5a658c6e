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

// Whatever discovery answered, or did not, and however many relays there are: the next
// request goes out so soon that its answer is there 6 s after discovery could be reached
// again, and none is left open alone for longer.
func TestNextRequestIsInTime(t *testing.T) {
	for _, relays := range []int{1, 3, 30, 300, 3000, 100000} {
		d := newDiscovery("127.0.0.1:1", relays, -1, clock.System(), discardLogger(), nil)
		for _, due := range []time.Duration{-time.Hour, -time.Second, time.Second, knownAfterSilence} {
			for n := range 100 {
				d.knownBy = d.clock.Now().Add(due)
				if got := d.refusalDelay(n+1, 0.999999) + minResponseWait; got >= knownAfterSilence {
					t.Fatalf("%d relays, %d refusals: an answer %v later", relays, n+1, got)
				}
				if got := d.nextRequestDelay(n, 0.999999) + minResponseWait; got >= knownAfterSilence {
					t.Fatalf("%d relays, %d without an answer: the next one's %v later", relays, n, got)
				}
			}
		}
	}
}

// gaps keeps the longest time that the log names until a next request.
type gaps struct {
	slog.Handler
	most atomic.Int64
	seen atomic.Int64
}

func (g *gaps) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "pause_ms" || a.Key == "next_ms" {
			g.seen.Add(1)
			for old := g.most.Load(); a.Value.Int64() > old && !g.most.CompareAndSwap(old, a.Value.Int64()); old = g.most.Load() {
			}
		}
		return true
	})
	return nil
}

// 300 relays whose discovery was out, in any way, hear of a change made meanwhile; until
// then none leaves more time between two requests than lets it in within 6 s. What was
// asked before the return is not answered any more, but where the agent kept it.
func TestChangeIsHeardAfterAnyOutage(t *testing.T) {
	const relays = 300
	full := change(9, Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: phaseDraining}) + "\n"
	reply := func(c net.Conn, status, body string) {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	kinds := map[string]func(c net.Conn, back <-chan struct{}) (kept bool){
		"reset":     func(c net.Conn, _ <-chan struct{}) bool { c.(*net.TCPConn).SetLinger(0); return false },
		"ended":     func(net.Conn, <-chan struct{}) bool { return false },
		"5xx":       func(c net.Conn, _ <-chan struct{}) bool { reply(c, "503 Busy", ""); return true },
		"cut":       func(c net.Conn, _ <-chan struct{}) bool { io.WriteString(c, watchHead+chunk(full[:30])); return false },
		"kept":      func(_ net.Conn, back <-chan struct{}) bool { <-back; return true },
		"forgotten": func(c net.Conn, _ <-chan struct{}) bool { untilClosed(c); return false },
		"headless":  func(c net.Conn, _ <-chan struct{}) bool { io.WriteString(c, watchHead); untilClosed(c); return false },
	}
	for name, out := range kinds {
		for _, moved := range []bool{false, true} {
			if moved && name != "forgotten" && name != "5xx" {
				continue
			}
			sub := name
			if moved {
				sub += ", moved meanwhile"
			}
			t.Run(sub, func(t *testing.T) {
				t.Parallel()
				back := make(chan struct{})
				var asked, late atomic.Int64
				serve := func(c net.Conn, up func() bool) {
					for in := bufio.NewReader(c); ; {
						req, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						asked.Add(1)
						if !up() {
							if !out(c, back) {
								return
							}
							if name != "kept" {
								continue
							}
						} else {
							late.Add(1)
						}
						if req.URL.Query().Get("watch") != "" {
							io.WriteString(c, watchHead+chunk(full))
							untilClosed(c)
							return
						}
						reply(c, "200 OK", `{"revision":9,"complete":true,"members":[]}`)
					}
				}
				isBack := func() bool {
					select {
					case <-back:
						return true
					default:
						return false
					}
				}
				addr := rawEndpoint(t, func(c net.Conn) { serve(c, isBack) })
				second := rawEndpoint(t, func(c net.Conn) { serve(c, isBack) })
				log := &gaps{Handler: slog.NewTextHandler(io.Discard, nil)}
				ctx, cancel := context.WithCancel(context.Background())
				var running sync.WaitGroup
				defer running.Wait()
				defer cancel()
				heard := make(chan int64, 8*relays)
				var all []*discovery
				for range relays {
					d := newDiscovery(addr, relays, 7, clock.System(), slog.New(log), collectLists(func(l *List) { heard <- l.Revision }))
					d.reopenGrace = 100 * time.Millisecond
					all = append(all, d)
					running.Add(1)
					go func() { defer running.Done(); d.run(ctx) }()
				}
				began := time.Now()
				failures := int64(5) // beyond the time in which another try fits in anyway
				if silent := name == "kept" || name == "forgotten" || name == "headless"; silent {
					failures = 2
				}
				waitFor(t, "failures of each relay", func() bool { return log.seen.Load() >= failures*relays })
				if moved {
					for _, d := range all {
						d.addresses.put(second)
					}
				}
				rate := float64(asked.Load()) / time.Since(began).Seconds()
				close(back)
				for n := 0; n < relays; {
					select {
					case rev := <-heard:
						if rev == 9 {
							n++
						}
					case <-time.After(30 * time.Second):
						t.Fatalf("%d of %d relays have heard", n, relays)
					}
				}
				if most := time.Duration(log.most.Load()) * time.Millisecond; most+minResponseWait >= knownAfterSilence {
					t.Errorf("%v were left between two requests", most)
				}
				if n := late.Load(); n > 4*relays {
					t.Errorf("%d requests after the return for %d relays", n, relays)
				}
				t.Logf("%.0f askings a second while out, %d after the return", rate, late.Load())
			})
		}
	}
}
