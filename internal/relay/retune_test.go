package relay

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
)

// extraClassJSON defines a class that testSettings does not have.
const extraClassJSON = `{"deadline_us":20000000,"dedup_window_us":5000000,"group":"all","late_worth":0.4,"name":"extra","repeat":"fragile","target_us":3000000,"worth":3}`

// replaceFirst returns an edit for rewrite that replaces the first occurrence of old.
func replaceFirst(old, replacement string) func(string) string {
	return func(text string) string { return strings.Replace(text, old, replacement, 1) }
}

// TestReloadRejectsInvalidConfig: a running relay rejects a truncated or invalid configuration file as a whole,
// including its discovery address, and keeps the configuration that it has.
func TestReloadRejectsInvalidConfig(t *testing.T) {
	env := writeTestConfig(t, newFakeDiscovery(t), 3)
	get := func(key string) string { return env[key] }
	text, err := os.ReadFile(env["ROUTER_CONFIG"])
	if err != nil {
		t.Fatal(err)
	}
	running, err := LoadConfig(get)
	if err != nil {
		t.Fatal(err)
	}
	checkReplacement := func(text string) error {
		replacement, err := parseConfig([]byte(text), get, true)
		if err != nil {
			return err
		}
		return replacement.checkCanReplace(running)
	}
	if err := checkReplacement(string(text)); err != nil {
		t.Fatalf("the unchanged file: got error %v, want none", err)
	}
	if err := checkReplacement(replaceFirst(`"repeat":"fragile"`, `"repeat":"retryable"`)(
		replaceFirst(`"classes":[`, `"classes":[`+extraClassJSON+",")(string(text)))); err != nil {
		t.Errorf("an additional class: got error %v, want none", err)
	}
	for name, change := range map[string]struct{ old, new string }{
		"no settings":        {`"settings"`, `"setting"`},
		"no discovery":       {`"discovery":"127`, `"disc":"127`},
		"no seed":            {`"seed"`, `"x"`},
		"no limits":          {`"limits":{"cores"`, `"limit":{"cores"`},
		"no memory":          {`"memory_mb"`, `"x"`},
		"no attempts":        {`"most_tries":8,`, ``},
		"attempts 0":         {`"most_tries":8`, `"most_tries":0`},
		"attempts null":      {`"most_tries":8`, `"most_tries":null`},
		"attempts negative":  {`"most_tries":8`, `"most_tries":-1`},
		"attempts text":      {`"most_tries":8`, `"most_tries":"many"`},
		"no deadline":        {`"deadline_us":20000000,"dedup_window_us":20000000`, `"dedup_window_us":20000000`},
		"deadline 0":         {`"deadline_us":20000000`, `"deadline_us":0`},
		"deadline null":      {`"deadline_us":20000000`, `"deadline_us":null`},
		"deadline text":      {`"deadline_us":20000000`, `"deadline_us":"20s"`},
		"no classes":         {`"classes"`, `"klasses"`},
		"no repeat":          {`"repeat":"dedup",`, ``},
		"no name of a class": {`"name":"keyed",`, ``},
		"no slots":           {`"calls_out"`, `"x"`},
		"no worth":           {`,"worth":3`, ``},
		"trailing text":      {`"zone":0}}`, `"zone":0}}}`},
		"an empty class":     {`"classes":[`, `"classes":[{},`},
	} {
		if changed := strings.Replace(string(text), change.old, change.new, 1); changed == string(text) {
			t.Errorf("%s: the text to change is not in the file", name)
		} else if checkReplacement(changed) == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
	for size := range len(text) {
		if checkReplacement(string(text[:size])) == nil {
			t.Errorf("truncated to %d of %d bytes: got no error, want one", size, len(text))
		}
	}
}

// TestReloadChangesClasses: a reload changes the classes of pending messages. A message that was accepted as
// non-idempotent keeps that rule when the file declares its class idempotent, when the file no longer has the class,
// and when the process is killed afterwards. A message of a class that the file adds is accepted right after the
// reload.
func TestReloadChangesClasses(t *testing.T) {
	hanging := newFakeEndpoint(t, hang)
	rejecting := newFakeEndpoint(t, respondStatus(http.StatusServiceUnavailable))
	discovery := newFakeDiscovery(t, hanging.member("s-1", 1), rejecting.member("s-2", 2))
	env := writeTestConfig(t, discovery, 3)
	process := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	expectPut := func(id, class string, dest int, want string) {
		t.Helper()
		if reply := client.put(id, putFields(class, 20000, dest), nil); !strings.HasPrefix(reply, want) {
			t.Fatalf("reply for %s of class %s: got %q", id, class, reply)
		}
	}
	expectPut("in-flight", "once", 1, "+OK")
	expectPut("waiting", "once", 2, "+OK")
	expectPut("too-early", "extra", 1, "-ERR")
	waitFor(t, "a call at each endpoint", func() bool {
		return hanging.callCount("in-flight") == 1 && rejecting.callCount("waiting") >= 1
	})
	rewrite(t, env, func(text string) string {
		return replaceFirst(`"repeat":"fragile"`, `"repeat":"retryable"`)(
			replaceFirst(`"classes":[`, `"classes":[`+strings.Replace(extraClassJSON, "fragile", "dedup", 1)+",")(text))
	})
	process.signal(t, syscall.SIGHUP)
	waitFor(t, "a message of the new class to be accepted", func() bool {
		return client.put("x", "c=extra,t=acme,d=20000,dest=2,k=k1", nil) == "+OK"
	})
	// The next reload removes the class of the pending messages.
	rewrite(t, env, replaceFirst(`"name":"once"`, `"name":"other"`))
	process.signal(t, syscall.SIGHUP)
	waitFor(t, "messages of the removed class to be refused", func() bool {
		return strings.HasPrefix(client.put("y", putFields("once", 20000, 1), nil), "-ERR")
	})
	waitFor(t, "a retry of the waiting message", func() bool { n := rejecting.callCount("waiting"); return n >= 2 })
	process.kill()
	for _, endpoint := range []*fakeEndpoint{hanging, rejecting} {
		endpoint.respondWith(nil)
	}
	startChild(t, env)
	waitFor(t, "a call with the message that never ran", func() bool { return rejecting.callCount("waiting") >= 3 })
	waitFor(t, "the notice for the message that may have run", func() bool {
		n, ok := discovery.notice("in-flight")
		return ok && n.Outcome == noticeGivenUp
	})
	if n := hanging.callCount("in-flight"); n != 1 {
		t.Errorf("calls with a non-idempotent message: got %d, want 1", n)
	}
}
