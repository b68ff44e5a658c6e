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

// The least that the platform gives a relay, and the most that it may list.
const (
	leastMemory  = 32 // MB
	leastSockets = 256
	mostListed   = 1024
)

// Guards the size of other deployments: as many relays and endpoints as any
// fleet has, on the smallest machine that there is. The relay serves more
// endpoints than it may hold connections to, follows a change of the list, and
// takes SIGHUP and a restart, all within its descriptors and its memory.
func TestLargestFleetOnSmallestMachine(t *testing.T) {
	ep, fresh := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	held := newFakeEndpoint(t, hang)
	members := make([]Member, mostListed)
	for i := range members {
		members[i] = ep.member(fmt.Sprintf("s-%08x", i), i)
	}
	members[9] = held.member("s-held", 9)
	d := newFakeDiscovery(t, members...)
	env := writeTestConfig(t, d, 3)
	rewrite(t, env, func(text string) string {
		text = strings.Replace(text, `"memory_mb":192,"sockets":1024`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, leastMemory, leastSockets), 1)
		return strings.Replace(text, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, mostListed), 1)
	})
	c := startSmallChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	serve := func(at *fakeEndpoint, what string, dest int) {
		t.Helper()
		id := fmt.Sprintf("%s-%d", what, dest)
		if s := cl.put(id, putFields("plain", 20000, dest), []byte(what)); s != "+OK" {
			t.Fatalf("%s: %s", id, s)
		}
		waitFor(t, "the call of "+id, func() bool { return at.callCount(id) == 1 })
	}
	for dest := mostListed - 1; dest > mostListed-1-leastSockets; dest-- {
		serve(ep, "first", dest)
	}

	d.sendLine(t, fmt.Sprintf(`{"revision":2,"complete":false,"members":[{"id":"s-%08x","cell":3,"phase":"removed"},`+
		`{"id":"s-new","host_port":%q,"locality":"b","flavor":"k","cell":3,"phase":"up","size":1000}]}`, 3, fresh.addr()))
	d.sendLine(t, `{"revision":3,"complete":false,"members":[]}`)
	waitFor(t, "the change to be followed", func() bool {
		id := fmt.Sprintf("moved-%d", fresh.total()+ep.total())
		return cl.put(id, putFields("plain", 20000, 3), nil) == "+OK" && fresh.total() > 0
	})

	rewrite(t, env, func(text string) string { return strings.Replace(text, `"most_held":100`, `"most_held":90`, 1) })
	c.signal(t, syscall.SIGHUP)
	serve(ep, "signalled", 4)

	if s := cl.put("held", putFields("keyed", 20000, 9), nil); s != "+OK" {
		t.Fatal(s)
	}
	waitFor(t, "the call that hangs", func() bool { return held.callCount("held") == 1 })
	c.checkMemory(t)
	c.kill()
	c = startSmallChild(t, env)
	held.respondWith(nil)
	waitFor(t, "what was owed before the restart", func() bool { return held.callCount("held") >= 2 })
	cl = dialClient(t, env["ROUTER_LISTEN"])
	serve(ep, "again", 5)
	c.checkMemory(t)

	heir := startSmallChild(t, env)
	c.ended(t)        // it has handed all over
	heir.waitReady(t) // the address was free for a moment: the first to answer may have been the old one
	cl = dialClient(t, env["ROUTER_LISTEN"])
	serve(ep, "inherited", 6)
	heir.checkMemory(t)
}

// total is the number of all calls.
func (e *fakeEndpoint) total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

// startSmallChild starts a relay whose system gives it the least number of
// descriptors and no more.
func startSmallChild(t *testing.T, env map[string]string) *child {
	t.Helper()
	c := &child{cmd: exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, leastSockets), os.Args[0]), env: env}
	c.launch(t)
	c.waitReady(t)
	return c
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// checkMemory looks at the most that the process has used so far.
func (c *child) checkMemory(t *testing.T) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	m := peakMemory.FindSubmatch(text)
	if m == nil {
		t.Fatalf("no peak of memory in %q", bytes.TrimSpace(text))
	}
	kb, err := strconv.Atoi(string(m[1]))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d kB at most", kb)
	if !raceDetector && kb > leastMemory<<10 {
		t.Errorf("%d kB used, %d MB given", kb, leastMemory)
	}
}
