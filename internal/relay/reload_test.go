package relay

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// signal sends a signal to the relay's process.
func (c *child) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := c.cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

// rewrite applies change to the configuration file.
func rewrite(t *testing.T, env map[string]string, change func(string) string) {
	t.Helper()
	path := env["ROUTER_CONFIG"]
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(change(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
}

// moveTo returns a change of the configuration that replaces the discovery address from by that of d.
func moveTo(d *fakeDiscovery, from string) func(string) string {
	return func(text string) string {
		return strings.Replace(text, fmt.Sprintf(`"discovery":%q`, from), fmt.Sprintf(`"discovery":%q`, d.addr()), 1)
	}
}

// Guards the reload on SIGHUP, which terminates a process that does not catch it. The watch and the
// notices move to the discovery address in the file, although the environment still has the old one.
// Notices that the old address did not confirm are sent to the new one. An invalid or missing file
// changes nothing. The relay serves throughout, applies a further reload, and stops normally.
func TestReload(t *testing.T) {
	before, after, last := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	lost := newFakeEndpoint(t, respondStatus(http.StatusServiceUnavailable))
	first := newFakeDiscovery(t, before.member("s-1", 1), lost.member("s-9", 9))
	first.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusInternalServerError })
	env := writeTestConfig(t, first, 3)
	relay := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	put := func(id, fieldText string) {
		t.Helper()
		if reply := client.put(id, fieldText, nil); reply != "+OK" {
			t.Fatalf("put %s: got reply %s, want +OK", id, reply)
		}
	}
	put("a", putFields("plain", 8000, 1))
	put("unconfirmed", putFields("plain", 600, 9))
	waitFor(t, "a message at the first endpoint", func() bool { return before.callCount("a") == 1 })
	// A load of one message at a time runs during all that follows.
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		load := dialClient(t, env["ROUTER_LISTEN"])
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			id := fmt.Sprintf("load%d", i)
			if reply := load.put(id, putFields("plain", 8000, 1), nil); reply != "+OK" {
				t.Errorf("put under load: got reply %s, want +OK", reply)
				return
			}
			for before.callCount(id)+after.callCount(id)+last.callCount(id) == 0 { // one at a time
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
			}
		}
	}()
	// The list at the second address has a lower revision; revisions of two addresses are not compared.
	second := newFakeDiscovery(t, after.member("s-1", 1), lost.member("s-9", 9))
	second.update(func(d *fakeDiscovery) { d.list.Revision = 0 })
	rewrite(t, env, moveTo(second, first.addr()))
	relay.signal(t, syscall.SIGHUP)
	waitFor(t, "a watch at the second address", func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return second.listFetches == 1 && len(second.watchRevisions) == 1 && second.watchRevisions[0] == "0"
	})
	waitFor(t, "a notice at the second address", func() bool { _, ok := second.notice("unconfirmed"); return ok })
	waitFor(t, "a message at the second list's endpoint", func() bool {
		id := fmt.Sprintf("b%d", idSequence.Add(1))
		put(id, putFields("plain", 8000, 1))
		waitFor(t, id, func() bool { return before.callCount(id)+after.callCount(id) == 1 })
		return after.callCount(id) == 1
	})
	rewrite(t, env, func(string) string { return "{" })
	relay.signal(t, syscall.SIGHUP)
	if err := os.Remove(env["ROUTER_CONFIG"]); err != nil {
		t.Fatal(err)
	}
	relay.signal(t, syscall.SIGHUP)
	put("c", putFields("plain", 8000, 1))
	waitFor(t, "service under the old configuration", func() bool { return after.callCount("c") == 1 })
	third := newFakeDiscovery(t, last.member("s-1", 1))
	fresh := writeTestConfig(t, third, 3)
	text, err := os.ReadFile(fresh["ROUTER_CONFIG"])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(env["ROUTER_CONFIG"], text, 0o600); err != nil {
		t.Fatal(err)
	}
	relay.signal(t, syscall.SIGHUP)
	waitFor(t, "a message at the third list's endpoint", func() bool {
		id := fmt.Sprintf("d%d", idSequence.Add(1))
		put(id, putFields("plain", 8000, 1))
		waitFor(t, id, func() bool { return before.callCount(id)+after.callCount(id)+last.callCount(id) == 1 })
		return last.callCount(id) == 1
	})
	close(stop)
	<-done
	if fetched := func() int { second.mu.Lock(); defer second.mu.Unlock(); return second.listFetches }(); fetched != 1 {
		t.Errorf("got %d requests for the list at the second address, want 1", fetched)
	}
	relay.signal(t, syscall.SIGTERM)
	if err := relay.cmd.Wait(); err != nil {
		t.Errorf("got exit error %v, want none", err)
	}
}

// On a reload the file overrides the environment, for the discovery address only.
func TestReloadPrecedence(t *testing.T) {
	env := writeTestConfig(t, newFakeDiscovery(t), 3)
	env["ROUTER_DISCOVERY"], env["ROUTER_NAME"] = "127.0.0.1:9", "other"
	getenv := func(k string) string { return env[k] }
	start, err := LoadConfig(getenv)
	if err != nil || start.DiscoveryAddr != "127.0.0.1:9" {
		t.Fatalf("got configuration %+v and error %v at startup, want the discovery address of the environment", start, err)
	}
	again, err := ReloadConfig(getenv)
	if err != nil || again.DiscoveryAddr == "127.0.0.1:9" || again.Name != "other" {
		t.Fatalf("got configuration %+v and error %v on reload, want the file's discovery address", again, err)
	}
	rewrite(t, env, func(s string) string { return strings.Replace(s, `"discovery"`, `"x"`, 1) })
	if again, err = ReloadConfig(getenv); err == nil && again.checkCanReplace(start) == nil {
		t.Error("got no error for a file without discovery, want it rejected")
	}
}
