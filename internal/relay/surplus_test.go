package relay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
)

// surplusEndpoint is an endpoint whose responses are good and bring more than belongs to them.
type surplusEndpoint struct {
	addr   string
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int // by message id
}

// surplusBytes are what follows a response: second copies, responses of other calls, and noise.
var surplusBytes = []string{okResponse, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 2", "\r\n", "\x00",
	"\x00\xffnoise\r\n\r\n", strings.Repeat("noise ", 40<<10)}

func newSurplusEndpoint(t *testing.T) *surplusEndpoint {
	e := &surplusEndpoint{random: rand.New(rand.NewPCG(35, 2)), runs: map[string]int{}}
	e.addr = rawEndpoint(t, e.serve)
	return e
}

// serve answers the calls of one connection.
func (e *surplusEndpoint) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, e.respond(req, body)); err != nil {
			return
		}
	}
}

// respond runs the messages of a call and returns the response with its surplus.
func (e *surplusEndpoint) respond(req *http.Request, body []byte) string {
	var batch []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.URL.Path == callPath {
		e.runs[req.Header.Get("X-Request-ID")]++
		return okResponse + surplusBytes[e.random.IntN(len(surplusBytes))]
	}
	json.Unmarshal(body, &batch)
	for i := range batch {
		e.runs[batch[i].ID]++
		batch[i].State = "accepted"
	}
	states, _ := json.Marshal(batch)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(states), states,
		surplusBytes[e.random.IntN(len(surplusBytes))])
}

// runCount returns how often a message has run.
func (e *surplusEndpoint) runCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// TestGoodResponsesWithSurplus guards against a surplus that is taken for the response to another call: its message
// would count as delivered or over without having run, or run twice. Each accepted message runs once, or is handed back
// without a run where the relay has too many.
func TestGoodResponsesWithSurplus(t *testing.T) {
	const clients, perClient = 4, 60
	single, batched := newSurplusEndpoint(t), newSurplusEndpoint(t)
	bulk := Member{ID: "s-2", HostPort: batched.addr, Locality: "a", Flavor: "bulk", Cell: 2, Phase: phaseUp, Size: 1000}
	discovery := newFakeDiscovery(t, Member{ID: "s-1", HostPort: single.addr, Locality: "a", Flavor: "k", Cell: 1,
		Phase: phaseUp, Size: 1000}, bulk)
	env := writeTestConfig(t, discovery, 3)
	startChild(t, env)
	var delivered atomic.Int32
	var wg sync.WaitGroup
	for c := range clients {
		client := dialClient(t, env["ROUTER_LISTEN"])
		wg.Add(1)
		go func() {
			defer wg.Done()
			var accepted []string
			for n := range perClient {
				id, endpoint, dest := fmt.Sprintf("m-%d-%d", c, n), single, 1
				if n/5%2 == 1 { // several in a row, which may share a call
					endpoint, dest = batched, 2
				}
				io.WriteString(client, putCommand(id, putFields("once", 20000, dest), []byte("body")))
				reply, err := client.reader.ReadString('\n')
				switch {
				case err != nil || reply != "+OK\r\n" && !strings.HasPrefix(reply, "-BUSY"):
					t.Errorf("reply for %s: got %q and error %v, want +OK or -BUSY", id, reply, err)
					return
				case reply == "+OK\r\n":
					accepted = append(accepted, id)
				}
				if n%5 != 4 {
					continue
				}
				for _, id := range accepted {
					if expectOneRun(t, id, endpoint, discovery) {
						delivered.Add(1)
					}
				}
				accepted = nil
			}
		}()
	}
	wg.Wait()
	if delivered.Load() < clients*perClient/2 {
		t.Errorf("delivered messages: got %d, want at least half of %d", delivered.Load(), clients*perClient)
	}
}

// expectOneRun waits until a message has run or ended. It reports whether the message has run, and fails the test where
// it has run twice, or has ended otherwise than by being handed back without a run.
func expectOneRun(t *testing.T, id string, endpoint *surplusEndpoint, discovery *fakeDiscovery) bool {
	for deadline := time.Now().Add(testLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		n, ended := discovery.notice(id)
		runs := endpoint.runCount(id)
		if runs == 0 && !ended {
			continue
		}
		if runs > 1 || ended && (runs > 0 || n.Outcome != noticeHandedBack) {
			t.Errorf("%s: got %d runs and notice %+v, want 1 run or handed back", id, runs, n)
		}
		return runs > 0
	}
	t.Errorf("%s: neither ran nor ended within %v", id, testLimit)
	return false
}

// TestConnectionRestsAfterSurplus guards against a surplus that comes later than the last one: the connections to an
// endpoint that has sent one rest for longer before they carry another call, until it has sent none for a while.
func TestConnectionRestsAfterSurplus(t *testing.T) {
	var conns atomic.Int32
	addr := rawEndpoint(t, func(c net.Conn) {
		text := okResponse
		if conns.Add(1) == 1 {
			text += "\x00noise"
		}
		for in := bufio.NewReader(c); readCall(in); {
			io.WriteString(c, text)
		}
	})
	p := testPool(t)
	manual := clock.NewManual(clock.Read(clock.System()))
	p.clock = manual
	host := p.forHost(addr)
	for _, step := range []struct {
		after time.Duration
		conns int32
	}{
		{0, 1},                 // whose response brings a surplus
		{connReuseDelay, 2},    // the first connection was closed
		{connReuseDelay, 3},    // the second one rests
		{surplusReuseDelay, 3}, // both have rested
		{surplusMemory, 4},     // both were idle for too long
		{connReuseDelay, 4},    // the surplus is long ago
	} {
		manual.Advance(step.after)
		if result := newTestCall().runForResult(t, host, &record{ID: "m"}, testLimit); result.outcome != decide.Delivered {
			t.Fatalf("got %+v, want the outcome Delivered", result)
		}
		waitFor(t, "the connection to be put back or closed", func() bool {
			open, idle := p.counts()
			return open == idle
		})
		if got := conns.Load(); got != step.conns {
			t.Errorf("call %v after the last one: got %d connections so far, want %d", step.after, got, step.conns)
		}
	}
}
