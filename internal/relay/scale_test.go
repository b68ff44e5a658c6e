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

// generatedDiscovery is a discovery server that generates its list while it writes it: consecutive destinations from 0
// with two endpoints each, all at one address.
type generatedDiscovery struct {
	*httptest.Server
	hostPort            string
	mu                  sync.Mutex
	destCount           int
	revision            int64
	phaseOverrides      map[int]string // by index, the phase of endpoints that are not up
	addrOverrides       map[int]string // by index, the address of endpoints at another address
	oldestKnownRevision int64          // a watch from an older revision gets the full list
	truncateAt          int            // endpoints after which a truncated list ends
	truncations         int            // how many of the next full lists are truncated
	listFetches         int
	watchRevisions      []string
	watches             []chan string // lines to send, by watch
	stopped             chan struct{}
	completedLists      int // full lists that were sent to their end
}

func newGeneratedDiscovery(t *testing.T, destCount int, hostPort string) *generatedDiscovery {
	discovery := &generatedDiscovery{destCount: destCount, hostPort: hostPort, revision: 1,
		phaseOverrides: map[int]string{}, addrOverrides: map[int]string{}, stopped: make(chan struct{})}
	discovery.Server = httptest.NewServer(http.HandlerFunc(discovery.serve))
	t.Cleanup(func() { close(discovery.stopped); discovery.CloseClientConnections(); discovery.Close() })
	return discovery
}

func (d *generatedDiscovery) addr() string { return d.Listener.Addr().String() }

func (d *generatedDiscovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// appendMember appends the list entry of an endpoint to buffer. The caller holds mu.
func (d *generatedDiscovery) appendMember(buffer []byte, index int) []byte {
	phase, addr := "up", d.hostPort
	if override := d.phaseOverrides[index]; override != "" {
		phase = override
	}
	if override := d.addrOverrides[index]; override != "" {
		addr = override
	}
	buffer = append(buffer, `{"id":"s-`...)
	buffer = strconv.AppendInt(buffer, int64(10_000_000+index), 10)
	buffer = append(append(append(buffer, `","host_port":"`...), addr...), `","locality":"a","flavor":"k","cell":`...)
	buffer = strconv.AppendInt(buffer, int64(index/2), 10)
	return append(append(append(buffer, `,"phase":"`...), phase...), `","size":1000,"up_since_ms":0}`...)
}

// writeList writes the full list as one line. It reports false if the list was truncated or a write failed.
func (d *generatedDiscovery) writeList(writer io.Writer) bool {
	buffered := bufio.NewWriterSize(writer, 64<<10)
	d.mu.Lock()
	destCount, revision, truncations := d.destCount, d.revision, d.truncations
	d.truncations = max(d.truncations-1, 0)
	d.mu.Unlock()
	fmt.Fprintf(buffered, `{"revision":%d,"complete":true,"members":[`, revision)
	var buffer []byte
	for i := 0; i < 2*destCount; i++ {
		if truncations > 0 && i == d.truncateAt {
			buffered.Flush()
			return false
		}
		if buffer = buffer[:0]; i > 0 {
			buffer = append(buffer, ',')
		}
		d.mu.Lock()
		buffer = d.appendMember(buffer, i)
		d.mu.Unlock()
		buffered.Write(buffer)
	}
	io.WriteString(buffered, "]}\n")
	return buffered.Flush() == nil
}

// newDelta starts a new revision and returns it as a line with the entries of the given endpoints.
func (d *generatedDiscovery) newDelta(indexes ...int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	buffer := fmt.Appendf(nil, `{"revision":%d,"complete":false,"members":[`, d.revision)
	for n, i := range indexes {
		if n > 0 {
			buffer = append(buffer, ',')
		}
		buffer = d.appendMember(buffer, i)
	}
	return string(append(buffer, "]}\n"...))
}

func (d *generatedDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	from := r.URL.Query().Get("from")
	if r.URL.Query().Get("watch") == "" {
		d.update(func() { d.listFetches++ })
		if !d.writeList(w) {
			panic(http.ErrAbortHandler)
		}
		d.update(func() { d.completedLists++ })
		return
	}
	lines := make(chan string, 16)
	unknownRevision := false
	d.update(func() {
		d.watchRevisions = append(d.watchRevisions, from)
		fromRevision, _ := strconv.ParseInt(from, 10, 64)
		unknownRevision = fromRevision < d.oldestKnownRevision
	})
	if unknownRevision {
		if !d.writeList(w) {
			panic(http.ErrAbortHandler)
		}
		d.update(func() { d.completedLists++ })
	}
	io.WriteString(w, "\n")
	w.(http.Flusher).Flush()
	d.update(func() { d.watches = append(d.watches, lines) })
	for {
		select {
		case line := <-lines:
			if line == "full" {
				d.writeList(w)
				d.update(func() { d.completedLists++ })
			} else {
				io.WriteString(w, line)
			}
		case <-r.Context().Done():
			return
		case <-d.stopped:
			return
		case <-time.After(time.Second):
			io.WriteString(w, "\n")
		}
		w.(http.Flusher).Flush()
	}
}

// sendLine sends a line on the newest watch. The line "full" stands for the full list.
func (d *generatedDiscovery) sendLine(t *testing.T, line string) {
	t.Helper()
	waitFor(t, "a watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.watches) > 0 })
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches[len(d.watches)-1] <- line
}

// scaleRelay is a relay process with a generatedDiscovery, and a client of it.
type scaleRelay struct {
	t            *testing.T
	process      *child
	client       *testClient
	clientUsedAt time.Time // last use of the client's connection, which the relay closes after idleTimeout
	messageCount int
}

// put hands in a message and returns the reply. It opens a new connection if the last one may be closed as idle.
func (r *scaleRelay) put(id string, dest int) string {
	r.t.Helper()
	if time.Since(r.clientUsedAt) > idleTimeout/4 {
		r.client = dialClient(r.t, r.process.env["ROUTER_LISTEN"])
	}
	r.clientUsedAt = time.Now()
	r.client.SetDeadline(r.clientUsedAt.Add(30 * time.Second))
	return r.client.put(id, putFields("plain", 20000, dest), nil)
}

// writeScaleConfig writes a configuration with the given memory limit and returns the environment that names it.
func writeScaleConfig(t *testing.T, discovery *generatedDiscovery, memoryMB int) map[string]string {
	env := writeTestConfig(t, &fakeDiscovery{Server: discovery.Server}, 3)
	rewrite(t, env, func(text string) string {
		return strings.Replace(text, `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB), 1)
	})
	return env
}

// mustPut hands in a message for a destination, which has to be accepted, and returns its id.
func (r *scaleRelay) mustPut(dest int) string {
	r.t.Helper()
	r.messageCount++
	id := fmt.Sprintf("m-%d-%d", dest, r.messageCount)
	if reply := r.put(id, dest); reply != "+OK" {
		r.t.Fatalf("reply for %s: got %q, want +OK", id, reply)
	}
	return id
}

// waitForCallAt hands in messages for a destination until the endpoint gets a call with one of them.
func (r *scaleRelay) waitForCallAt(endpoint *fakeEndpoint, dest int) {
	r.t.Helper()
	waitFor(r.t, fmt.Sprintf("a call for destination %d at the expected endpoint", dest), func() bool {
		id := r.mustPut(dest)
		for range 20 {
			if endpoint.callCount(id) > 0 {
				return true
			}
			time.Sleep(time.Millisecond)
		}
		return false
	})
}

// memoryUsage returns the peak and the current resident memory of the process in MB.
func (c *child) memoryUsage(t *testing.T) (peak, current int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			peak = kb >> 10
		} else if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			current = kb >> 10
		}
	}
	return peak, current
}

// fleetDestCount is the number of destinations that the relay is designed for.
const fleetDestCount = 880_000

// TestLargeFleet: a relay with 256 MB of memory serves a list of 880,000 destinations: after a start without a list,
// during deltas and a full list on the watch, and after a restart with the list in its configuration.
func TestLargeFleet(t *testing.T) {
	endpoint, movedTo := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	discovery := newGeneratedDiscovery(t, fleetDestCount, endpoint.addr())
	env := writeScaleConfig(t, discovery, 256)
	startedAt := time.Now()
	relay := &scaleRelay{t: t, process: startChild(t, env)}
	readyAfter := time.Since(startedAt)
	for _, dest := range []int{0, fleetDestCount / 3, fleetDestCount - 1} {
		id := relay.mustPut(dest)
		waitFor(t, "the call with "+id, func() bool { return endpoint.callCount(id) == 1 })
	}
	servedAfter := time.Since(startedAt)
	peak, current := relay.process.memoryUsage(t)
	t.Logf("start without a list: ready after %v, all destinations served after %v, memory peak %d MB, current %d MB",
		readyAfter, servedAfter, peak, current)

	// A delta for one destination.
	startedAt = time.Now()
	discovery.update(func() {
		discovery.phaseOverrides[2*77_777] = "draining"
		discovery.addrOverrides[2*77_777+1] = movedTo.addr()
	})
	discovery.sendLine(t, discovery.newDelta(2*77_777, 2*77_777+1))
	relay.waitForCallAt(movedTo, 77_777)
	t.Logf("a delta takes effect after %v", time.Since(startedAt))

	// A full list on the watch while messages are handed in. A drain in it takes effect long before the list ends.
	discovery.update(func() {
		discovery.revision++
		discovery.phaseOverrides[2], discovery.addrOverrides[3] = "draining", movedTo.addr() // destination 1
		for i := fleetDestCount; i < fleetDestCount+2000; i++ {
			discovery.phaseOverrides[i] = "draining"
		}
	})
	discovery.update(func() { discovery.completedLists = 0 })
	discovery.sendLine(t, "full")
	var durations []time.Duration
	for listSent := false; !listSent; {
		discovery.update(func() { listSent = discovery.completedLists > 0 })
		startedAt := time.Now()
		relay.mustPut(fleetDestCount - 1 - relay.messageCount%1000)
		durations = append(durations, time.Since(startedAt))
	}
	slices.Sort(durations)
	t.Logf("during a full list: %d messages accepted, half within %v, 99%% within %v, all within %v",
		len(durations), durations[len(durations)/2], durations[len(durations)*99/100], durations[len(durations)-1])
	relay.waitForCallAt(movedTo, 1)
	peak, current = relay.process.memoryUsage(t)
	t.Logf("after the full list: memory peak %d MB, current %d MB", peak, current)
	if peak >= 256 && !raceDetector {
		t.Errorf("memory peak: got %d MB, want less than 256 MB", peak)
	}
	if len(durations) < 100 {
		t.Errorf("messages accepted during a full list: got %d, want at least 100", len(durations))
	}

	// A restart with the list in the configuration, while discovery sends nothing at first.
	relay.process.kill()
	file, err := os.OpenFile(env["ROUTER_CONFIG"], os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	file.Seek(-1, io.SeekEnd)
	io.WriteString(file, `,"known":`)
	discovery.writeList(file)
	io.WriteString(file, "}")
	fetchesBefore := discovery.listFetches
	startedAt = time.Now()
	relay.process, relay.clientUsedAt = startChild(t, env), time.Time{}
	readyAfter = time.Since(startedAt)
	id := relay.mustPut(fleetDestCount/2 + 5000)
	waitFor(t, "the call with "+id, func() bool { return endpoint.callCount(id) == 1 })
	peak, current = relay.process.memoryUsage(t)
	t.Logf("start with a list: ready after %v, served after %v, memory peak %d MB, current %d MB",
		readyAfter, time.Since(startedAt), peak, current)
	if peak >= 256 && !raceDetector {
		t.Errorf("memory peak after the restart: got %d MB, want less than 256 MB", peak)
	}
	discovery.update(func() {
		if discovery.listFetches != fetchesBefore ||
			discovery.watchRevisions[len(discovery.watchRevisions)-1] != fmt.Sprint(discovery.revision) {
			t.Errorf("after the restart: got %d fetches of the list and a watch from revision %s, want 0 and %d",
				discovery.listFetches-fetchesBefore, discovery.watchRevisions[len(discovery.watchRevisions)-1],
				discovery.revision)
		}
	})
	relay.process.signal(t, syscall.SIGHUP) // the list in the file is ignored
	relay.waitForCallAt(endpoint, 9)
	if peak, _ = relay.process.memoryUsage(t); peak >= 256 && !raceDetector {
		t.Errorf("memory peak after SIGHUP: got %d MB, want less than 256 MB", peak)
	}
}

// TestTruncatedAndOversizedLists: with 100,000 destinations, the relay keeps the list that it has, or none, until a
// truncated list has arrived completely, and watches from the revision that it has. It fetches the full list again when
// the discovery address changes. A list that does not fit in its memory is rejected, and the old one stays in use.
func TestTruncatedAndOversizedLists(t *testing.T) {
	const destCount = 100_000
	endpoint, movedTo := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	discovery, nextDiscovery := newGeneratedDiscovery(t, destCount, endpoint.addr()),
		newGeneratedDiscovery(t, destCount, endpoint.addr())
	discovery.update(func() { discovery.truncateAt, discovery.truncations = destCount, 2 })
	env := writeScaleConfig(t, discovery, 64)
	relay := &scaleRelay{t: t, process: startChild(t, env)}
	id := relay.mustPut(destCount - 1)
	waitFor(t, "the call with "+id, func() bool { return endpoint.callCount(id) == 1 })
	discovery.update(func() {
		if discovery.listFetches != 3 {
			t.Errorf("fetches of the list: got %d, want 2 truncated and 1 complete", discovery.listFetches)
		}
	})
	// After a watch that ends within a full list, the next watch starts from the revision before that list.
	waitFor(t, "a watch", func() bool {
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		return len(discovery.watches) > 0
	})
	discovery.update(func() {
		discovery.revision, discovery.oldestKnownRevision, discovery.truncations, discovery.completedLists = 5, 5, 1, 0
		discovery.phaseOverrides[4], discovery.addrOverrides[5] = "draining", movedTo.addr()
		discovery.phaseOverrides[2*destCount-2], discovery.addrOverrides[2*destCount-1] = "draining", movedTo.addr()
	})
	discovery.CloseClientConnections()
	waitFor(t, "the full list to be sent", func() bool {
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		return discovery.completedLists > 0
	})
	relay.waitForCallAt(movedTo, 2)
	relay.waitForCallAt(movedTo, destCount-1)
	discovery.update(func() {
		if lastWatch := discovery.watchRevisions[len(discovery.watchRevisions)-1]; lastWatch != "1" ||
			discovery.listFetches != 3 {
			t.Errorf("got a watch from revision %s and %d fetches of the list, want 1 and 3",
				lastWatch, discovery.listFetches)
		}
	})

	nextDiscovery.update(func() {
		nextDiscovery.phaseOverrides[6], nextDiscovery.addrOverrides[7] = "draining", movedTo.addr()
	})
	rewrite(t, env, func(text string) string {
		return strings.Replace(text, discovery.addr(), nextDiscovery.addr(), 1)
	})
	relay.process.signal(t, syscall.SIGHUP)
	relay.waitForCallAt(movedTo, 3)
	relay.waitForCallAt(endpoint, 2)

	// A list that does not fit in the memory limit.
	nextDiscovery.update(func() {
		nextDiscovery.destCount, nextDiscovery.revision, nextDiscovery.completedLists = 5*destCount, 9, 0
		nextDiscovery.addrOverrides[9] = movedTo.addr()
		nextDiscovery.phaseOverrides[8] = "draining"
	})
	fetchesBefore := 0
	nextDiscovery.update(func() { fetchesBefore = nextDiscovery.listFetches })
	nextDiscovery.sendLine(t, "full")
	waitFor(t, "the list to be fetched again", func() bool {
		nextDiscovery.mu.Lock()
		defer nextDiscovery.mu.Unlock()
		return nextDiscovery.listFetches > fetchesBefore
	})
	relay.waitForCallAt(endpoint, destCount-1)
	if reply := relay.put("beyond", destCount+1); !strings.HasPrefix(reply, "-ERR") {
		t.Errorf("reply for a destination of the rejected list: got %q, want an error", reply)
	}
	if peak, _ := relay.process.memoryUsage(t); peak > 64 && !raceDetector {
		t.Errorf("memory peak: got %d MB, want at most 64 MB", peak)
	}
}
