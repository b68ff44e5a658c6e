package relay

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

const (
	smallestMemoryMB   = 32   // the least memory that a deployment gives a relay
	smallestSockets    = 256  // the fewest descriptors that a deployment gives a relay
	maxListedEndpoints = 1024 // the most endpoints that discovery lists
)

// TestLargestFleetOnSmallestMachine: a relay on the smallest machine, with as many relays and endpoints as any
// deployment has. It serves more endpoints than it may hold connections to, follows a delta of the list, and handles
// SIGHUP, a restart and an upgrade, all within its descriptors and its memory.
func TestLargestFleetOnSmallestMachine(t *testing.T) {
	endpoint, replacement := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	hanging := newFakeEndpoint(t, hang)
	members := make([]Member, maxListedEndpoints)
	for i := range members {
		members[i] = endpoint.member(fmt.Sprintf("s-%08x", i), i)
	}
	members[9] = hanging.member("s-hanging", 9)
	discovery := newFakeDiscovery(t, members...)
	env := writeTestConfig(t, discovery, 3)
	rewrite(t, env, func(text string) string {
		text = strings.Replace(text, `"memory_mb":192,"sockets":1024`,
			fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, smallestMemoryMB, smallestSockets), 1)
		return strings.Replace(text, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, maxListedEndpoints), 1)
	})
	process := startSmallChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	expectDelivery := func(target *fakeEndpoint, prefix string, dest int) {
		t.Helper()
		id := fmt.Sprintf("%s-%d", prefix, dest)
		if reply := client.put(id, putFields("plain", 20000, dest), []byte(prefix)); reply != "+OK" {
			t.Fatalf("reply for %s: got %q, want +OK", id, reply)
		}
		waitFor(t, "the call with "+id, func() bool { return target.callCount(id) == 1 })
	}
	for dest := maxListedEndpoints - 1; dest > maxListedEndpoints-1-smallestSockets; dest-- {
		expectDelivery(endpoint, "first", dest)
	}

	discovery.sendLine(t, fmt.Sprintf(`{"revision":2,"complete":false,"members":[{"id":"s-%08x","cell":3,"phase":"removed"},`+
		`{"id":"s-new","host_port":%q,"locality":"b","flavor":"k","cell":3,"phase":"up","size":1000}]}`,
		3, replacement.addr()))
	discovery.sendLine(t, `{"revision":3,"complete":false,"members":[]}`)
	waitFor(t, "a call to the endpoint that the delta adds", func() bool {
		id := fmt.Sprintf("moved-%d", replacement.totalCalls()+endpoint.totalCalls())
		return client.put(id, putFields("plain", 20000, 3), nil) == "+OK" && replacement.totalCalls() > 0
	})

	rewrite(t, env, func(text string) string { return strings.Replace(text, `"most_held":100`, `"most_held":90`, 1) })
	process.signal(t, syscall.SIGHUP)
	expectDelivery(endpoint, "after-reload", 4)

	if reply := client.put("in-flight", putFields("keyed", 20000, 9), nil); reply != "+OK" {
		t.Fatal(reply)
	}
	waitFor(t, "the call that hangs", func() bool { return hanging.callCount("in-flight") == 1 })
	process.checkPeakMemory(t)
	process.kill()
	process = startSmallChild(t, env)
	hanging.respondWith(nil)
	waitFor(t, "a second call with the message pending at the restart", func() bool {
		return hanging.callCount("in-flight") >= 2
	})
	client = dialClient(t, env["ROUTER_LISTEN"])
	expectDelivery(endpoint, "after-restart", 5)
	process.checkPeakMemory(t)

	successor := startSmallChild(t, env)
	process.waitExit(t) // it ends after it has handed over
	// The predecessor frees the address before the successor listens there, so the PONG that startSmallChild got may
	// have been the predecessor's.
	successor.waitReady(t)
	client = dialClient(t, env["ROUTER_LISTEN"])
	expectDelivery(endpoint, "after-upgrade", 6)
	successor.checkPeakMemory(t)
}

// totalCalls returns the number of calls with any message.
func (e *fakeEndpoint) totalCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

// startSmallChild starts a relay that the operating system limits to smallestSockets descriptors.
func startSmallChild(t *testing.T, env map[string]string) *child {
	t.Helper()
	process := &child{cmd: exec.Command("/bin/sh", "-c",
		fmt.Sprintf(`ulimit -n %d && exec "$0"`, smallestSockets), os.Args[0]), env: env}
	process.launch(t)
	process.waitReady(t)
	return process
}

var peakMemoryLine = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// checkPeakMemory checks that the process has never used more memory than it is given.
func (c *child) checkPeakMemory(t *testing.T) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	match := peakMemoryLine.FindSubmatch(text)
	if match == nil {
		t.Fatalf("no VmHWM line in %q", bytes.TrimSpace(text))
	}
	peakKB, err := strconv.Atoi(string(match[1]))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("memory peak: %d kB", peakKB)
	if !raceDetector && peakKB > smallestMemoryMB<<10 {
		t.Errorf("memory peak: got %d kB, want at most %d MB", peakKB, smallestMemoryMB)
	}
}
