package relay

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// bigAgent is an agent whose list is made as it is asked for: destinations 0 and up of
// two endpoints each, all at one address.
type bigAgent struct {
	*httptest.Server
	hostPort string
	mu       sync.Mutex
	dests    int
	rev      int64
	phases   map[int]string // of endpoints that are not up
	addrs    map[int]string // of those at another address
	known    int64          // watches from before it get the whole list
	cut      int            // endpoints after which whole lists break off, so many times
	cuts     int
	fetches  int
	froms    []string
	lines    []chan string
	done     chan struct{}
	wholes   int // lists served to their end
}

func newBigAgent(t *testing.T, dests int, hostPort string) *bigAgent {
	a := &bigAgent{dests: dests, hostPort: hostPort, rev: 1, phases: map[int]string{}, addrs: map[int]string{}, done: make(chan struct{})}
	a.Server = httptest.NewServer(http.HandlerFunc(a.serve))
	t.Cleanup(func() { close(a.done); a.CloseClientConnections(); a.Close() })
	return a
}

func (a *bigAgent) addr() string { return a.Listener.Addr().String() }

func (a *bigAgent) set(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
}

// entry appends an endpoint of the list; the caller holds the lock.
func (a *bigAgent) entry(b []byte, i int) []byte {
	phase, addr := "up", a.hostPort
	if x := a.phases[i]; x != "" {
		phase = x
	}
	if x := a.addrs[i]; x != "" {
		addr = x
	}
	b = append(b, `{"id":"s-`...)
	b = strconv.AppendInt(b, int64(10_000_000+i), 10)
	b = append(append(append(b, `","host_port":"`...), addr...), `","locality":"a","flavor":"k","cell":`...)
	b = strconv.AppendInt(b, int64(i/2), 10)
	return append(append(append(b, `,"phase":"`...), phase...), `","size":1000,"up_since_ms":0}`...)
}

// list writes the whole list in one line; false where it is cut.
func (a *bigAgent) list(w io.Writer) bool {
	out := bufio.NewWriterSize(w, 64<<10)
	a.mu.Lock()
	dests, rev, cut := a.dests, a.rev, a.cuts
	a.cuts = max(a.cuts-1, 0)
	a.mu.Unlock()
	fmt.Fprintf(out, `{"revision":%d,"complete":true,"members":[`, rev)
	var b []byte
	for i := 0; i < 2*dests; i++ {
		if cut > 0 && i == a.cut {
			out.Flush()
			return false
		}
		if b = b[:0]; i > 0 {
			b = append(b, ',')
		}
		a.mu.Lock()
		b = a.entry(b, i)
		a.mu.Unlock()
		out.Write(b)
	}
	io.WriteString(out, "]}\n")
	return out.Flush() == nil
}

// change is a line that names some endpoints, and makes it the newest version.
func (a *bigAgent) change(which ...int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev++
	b := fmt.Appendf(nil, `{"revision":%d,"complete":false,"members":[`, a.rev)
	for n, i := range which {
		if n > 0 {
			b = append(b, ',')
		}
		b = a.entry(b, i)
	}
	return string(append(b, "]}\n"...))
}

func (a *bigAgent) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	from := r.URL.Query().Get("from")
	if r.URL.Query().Get("watch") == "" {
		a.set(func() { a.fetches++ })
		if !a.list(w) {
			panic(http.ErrAbortHandler)
		}
		a.set(func() { a.wholes++ })
		return
	}
	lines := make(chan string, 16)
	old := false
	a.set(func() {
		a.froms = append(a.froms, from)
		n, _ := strconv.ParseInt(from, 10, 64)
		old = n < a.known
	})
	if old {
		if !a.list(w) {
			panic(http.ErrAbortHandler)
		}
		a.set(func() { a.wholes++ })
	}
	io.WriteString(w, "\n")
	w.(http.Flusher).Flush()
	a.set(func() { a.lines = append(a.lines, lines) })
	for {
		select {
		case s := <-lines:
			if s == "whole" {
				a.list(w)
				a.set(func() { a.wholes++ })
			} else {
				io.WriteString(w, s)
			}
		case <-r.Context().Done():
			return
		case <-a.done:
			return
		case <-time.After(time.Second):
			io.WriteString(w, "\n")
		}
		w.(http.Flusher).Flush()
	}
}

// say sends a line on the newest watch; "whole" is the whole list.
func (a *bigAgent) say(t *testing.T, line string) {
	t.Helper()
	waitFor(t, "a watch", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return len(a.lines) > 0 })
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lines[len(a.lines)-1] <- line
}

// scaleRelay is a relay beside a big agent.
type scaleRelay struct {
	t    *testing.T
	c    *child
	cl   *testClient
	used time.Time // of the client's connection, which the relay ends when it is idle for long
	n    int
}

// put hands a message in, on a new connection where the last one may have been ended.
func (r *scaleRelay) put(id string, dest int) string {
	r.t.Helper()
	if time.Since(r.used) > idleTimeout/4 {
		r.cl = dialClient(r.t, r.c.env["ROUTER_LISTEN"])
	}
	r.used = time.Now()
	r.cl.SetDeadline(r.used.Add(30 * time.Second))
	return r.cl.put(id, putFields("plain", 20000, dest), nil)
}

func scaleConfig(t *testing.T, a *bigAgent, memoryMB int) map[string]string {
	env := writeTestConfig(t, &fakeDiscovery{Server: a.Server}, 3)
	rewrite(t, env, func(text string) string {
		return strings.Replace(text, `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB), 1)
	})
	return env
}

// send hands a message in for a destination, and gives its id.
func (r *scaleRelay) send(dest int) string {
	r.t.Helper()
	r.n++
	id := fmt.Sprintf("m-%d-%d", dest, r.n)
	if s := r.put(id, dest); s != "+OK" {
		r.t.Fatalf("%s: %s", id, s)
	}
	return id
}

// goesTo sends to a destination until an endpoint has had a message for it.
func (r *scaleRelay) goesTo(e *fakeEndpoint, dest int) {
	r.t.Helper()
	waitFor(r.t, fmt.Sprintf("a message for %d at its endpoint", dest), func() bool {
		id := r.send(dest)
		for range 20 {
			if e.callCount(id) > 0 {
				return true
			}
			time.Sleep(time.Millisecond)
		}
		return false
	})
}

// memory gives the most that the process has used and what it uses now, in MB.
func (c *child) memory(t *testing.T) (most, now int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			most = kb >> 10
		} else if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			now = kb >> 10
		}
	}
	return most, now
}

// The size that the fleet is designed for.
const fleetDests = 880_000

// A relay with 256 MB serves a list of 880,000 destinations: from a start without one, over
// changes and a whole list on the watch, and after a restart with the list in its configuration.
func TestFleetOfDestinations(t *testing.T) {
	ep, moved := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	a := newBigAgent(t, fleetDests, ep.addr())
	env := scaleConfig(t, a, 256)
	began := time.Now()
	r := &scaleRelay{t: t, c: startChild(t, env)}
	ready := time.Since(began)
	for _, dest := range []int{0, fleetDests / 3, fleetDests - 1} {
		id := r.send(dest)
		waitFor(t, "the call of "+id, func() bool { return ep.callCount(id) == 1 })
	}
	served := time.Since(began)
	most, now := r.c.memory(t)
	t.Logf("without a list: ready after %v, all served after %v, %d MB at most, %d MB now", ready, served, most, now)

	// A change of one entry.
	began = time.Now()
	a.set(func() { a.phases[2*77_777] = "draining"; a.addrs[2*77_777+1] = moved.addr() })
	a.say(t, a.change(2*77_777, 2*77_777+1))
	r.goesTo(moved, 77_777)
	t.Logf("a change is in force after %v", time.Since(began))

	// A whole list on the watch, with messages beside it. A drain in it binds long before its end.
	a.set(func() {
		a.rev++
		a.phases[2], a.addrs[3] = "draining", moved.addr() // destination 1
		for i := fleetDests; i < fleetDests+2000; i++ {
			a.phases[i] = "draining"
		}
	})
	a.set(func() { a.wholes = 0 })
	a.say(t, "whole")
	var took []time.Duration
	for over := false; !over; {
		a.set(func() { over = a.wholes > 0 })
		began := time.Now()
		r.send(fleetDests - 1 - r.n%1000)
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	t.Logf("beside a whole list: %d messages taken, half within %v, 99%% within %v, all within %v", len(took), took[len(took)/2],
		took[len(took)*99/100], took[len(took)-1])
	r.goesTo(moved, 1)
	most, now = r.c.memory(t)
	t.Logf("after it: %d MB at most, %d MB now", most, now)
	if most >= 256 && !raceDetector {
		t.Errorf("%d MB used", most)
	}
	if len(took) < 100 {
		t.Errorf("only %d messages taken beside a whole list", len(took))
	}

	// A restart with the list in the configuration, while discovery is silent at first.
	r.c.kill()
	f, err := os.OpenFile(env["ROUTER_CONFIG"], os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.Seek(-1, io.SeekEnd)
	io.WriteString(f, `,"known":`)
	a.list(f)
	io.WriteString(f, "}")
	fetches := a.fetches
	began = time.Now()
	r.c, r.used = startChild(t, env), time.Time{}
	ready = time.Since(began)
	id := r.send(fleetDests/2 + 5000)
	waitFor(t, "the call of "+id, func() bool { return ep.callCount(id) == 1 })
	most, now = r.c.memory(t)
	t.Logf("with a list: ready after %v, served after %v, %d MB at most, %d MB now", ready, time.Since(began), most, now)
	if most >= 256 && !raceDetector {
		t.Errorf("%d MB used after a restart", most)
	}
	a.set(func() {
		if a.fetches != fetches || a.froms[len(a.froms)-1] != fmt.Sprint(a.rev) {
			t.Errorf("asked for the whole list %d times, watched from %s of %d", a.fetches-fetches, a.froms[len(a.froms)-1], a.rev)
		}
	})
	r.c.signal(t, syscall.SIGHUP) // the list in the file is passed over
	r.goesTo(ep, 9)
	if most, _ = r.c.memory(t); most >= 256 && !raceDetector {
		t.Errorf("%d MB used after SIGHUP", most)
	}
}

// At 100,000 destinations: a list that breaks off leaves the old one, or none, until it has come
// whole; a change goes on from there; discovery that moves is asked for the whole list anew; and
// a list that the memory has no room for is turned down, with the old one in force.
func TestTornAndMovedLists(t *testing.T) {
	const dests = 100_000
	ep, moved := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	a, b := newBigAgent(t, dests, ep.addr()), newBigAgent(t, dests, ep.addr())
	a.set(func() { a.cut, a.cuts = dests, 2 })
	env := scaleConfig(t, a, 64)
	r := &scaleRelay{t: t, c: startChild(t, env)}
	id := r.send(dests - 1)
	waitFor(t, "the call of "+id, func() bool { return ep.callCount(id) == 1 })
	a.set(func() {
		if a.fetches != 3 {
			t.Errorf("the list was asked for %d times", a.fetches)
		}
	})
	// A watch that breaks off inside a whole list brings it again from the version before it.
	waitFor(t, "a watch", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return len(a.lines) > 0 })
	a.set(func() {
		a.rev, a.known, a.cuts, a.wholes = 5, 5, 1, 0
		a.phases[4], a.addrs[5] = "draining", moved.addr()
		a.phases[2*dests-2], a.addrs[2*dests-1] = "draining", moved.addr()
	})
	a.CloseClientConnections()
	waitFor(t, "the whole list", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.wholes > 0 })
	r.goesTo(moved, 2)
	r.goesTo(moved, dests-1)
	a.set(func() {
		if last := a.froms[len(a.froms)-1]; last != "1" || a.fetches != 3 {
			t.Errorf("watched from %s, asked for the list %d times", last, a.fetches)
		}
	})

	b.set(func() { b.phases[6], b.addrs[7] = "draining", moved.addr() })
	rewrite(t, env, func(text string) string { return strings.Replace(text, a.addr(), b.addr(), 1) })
	r.c.signal(t, syscall.SIGHUP)
	r.goesTo(moved, 3)
	r.goesTo(ep, 2)

	// More than there is room for.
	b.set(func() { b.dests, b.rev, b.wholes = 5*dests, 9, 0; b.addrs[9] = moved.addr(); b.phases[8] = "draining" })
	asked := 0
	b.set(func() { asked = b.fetches })
	b.say(t, "whole")
	waitFor(t, "the list to be asked for again", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.fetches > asked })
	r.goesTo(ep, dests-1)
	if s := r.put("beyond", dests+1); !strings.HasPrefix(s, "-ERR") {
		t.Errorf("a destination of a list that was turned down: %s", s)
	}
	if most, _ := r.c.memory(t); most > 64 && !raceDetector {
		t.Errorf("%d MB used of 64", most)
	}
}
