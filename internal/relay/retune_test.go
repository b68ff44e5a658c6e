package relay

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
)

const extraClass = `{"deadline_us":20000000,"dedup_window_us":5000000,"group":"all","late_worth":0.4,"name":"extra","repeat":"fragile","target_us":3000000,"worth":3}`

func replace(old, new string) func(string) string {
	return func(s string) string { return strings.Replace(s, old, new, 1) }
}

// Guards a running relay against files that were cut short or are wrong: each
// is turned down whole, with its discovery, and the relay goes on as it was.
func TestReplaces(t *testing.T) {
	env := writeTestConfig(t, newFakeDiscovery(t), 3)
	get := func(k string) string { return env[k] }
	text, err := os.ReadFile(env["ROUTER_CONFIG"])
	if err != nil {
		t.Fatal(err)
	}
	running, err := LoadConfig(get)
	if err != nil {
		t.Fatal(err)
	}
	read := func(text string) error {
		c, err := parseConfig([]byte(text), get, true)
		if err != nil {
			return err
		}
		return c.checkCanReplace(running)
	}
	if err := read(string(text)); err != nil {
		t.Fatalf("the same file: %v", err)
	}
	if err := read(replace(`"repeat":"fragile"`, `"repeat":"retryable"`)(replace(`"classes":[`, `"classes":[`+extraClass+",")(string(text)))); err != nil {
		t.Errorf("a class more: %v", err)
	}
	for name, x := range map[string]struct{ old, new string }{
		"no settings":        {`"settings"`, `"setting"`},
		"no discovery":       {`"discovery":"127`, `"disc":"127`},
		"no seed":            {`"seed"`, `"x"`},
		"no limits":          {`"limits":{"cores"`, `"limit":{"cores"`},
		"no memory":          {`"memory_mb"`, `"x"`},
		"no attempts":        {`"most_tries":8,`, ``},
		"attempts 0":         {`"most_tries":8`, `"most_tries":0`},
		"attempts null":      {`"most_tries":8`, `"most_tries":null`},
		"attempts negative":  {`"most_tries":8`, `"most_tries":-1`},
		"attempts a word":    {`"most_tries":8`, `"most_tries":"many"`},
		"no deadline":        {`"deadline_us":20000000,"dedup_window_us":20000000`, `"dedup_window_us":20000000`},
		"deadline 0":         {`"deadline_us":20000000`, `"deadline_us":0`},
		"deadline null":      {`"deadline_us":20000000`, `"deadline_us":null`},
		"deadline a word":    {`"deadline_us":20000000`, `"deadline_us":"20s"`},
		"no classes":         {`"classes"`, `"klasses"`},
		"no effect":          {`"repeat":"dedup",`, ``},
		"no name of a class": {`"name":"keyed",`, ``},
		"no slots":           {`"calls_out"`, `"x"`},
		"no worth":           {`,"worth":3`, ``},
		"something behind":   {`"zone":0}}`, `"zone":0}}}`},
		"an empty class":     {`"classes":[`, `"classes":[{},`},
	} {
		if changed := strings.Replace(string(text), x.old, x.new, 1); changed == string(text) {
			t.Errorf("%s: nothing was changed", name)
		} else if read(changed) == nil {
			t.Errorf("%s: taken over", name)
		}
	}
	for n := range len(text) {
		if read(string(text[:n])) == nil {
			t.Errorf("cut to %d bytes of %d: taken over", n, len(text))
		}
	}
}

// Guards the messages that are held while classes change under them: an unsafe
// one stays so, though the file calls its class safe, then names it no more, and
// though the process is killed; a class that the file adds can be named at once.
func TestRetune(t *testing.T) {
	ep := newFakeEndpoint(t, hang)
	shut := newFakeEndpoint(t, respondStatus(http.StatusServiceUnavailable))
	disc := newFakeDiscovery(t, ep.member("s-1", 1), shut.member("s-2", 2))
	env := writeTestConfig(t, disc, 3)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	put := func(id, class string, dest int, want string) {
		t.Helper()
		if s := cl.put(id, putFields(class, 20000, dest), nil); !strings.HasPrefix(s, want) {
			t.Fatalf("%s of class %s: %s", id, class, s)
		}
	}
	put("out", "once", 1, "+OK")
	put("held", "once", 2, "+OK")
	put("early", "extra", 1, "-ERR")
	waitFor(t, "the calls", func() bool { return ep.callCount("out") == 1 && shut.callCount("held") >= 1 })
	rewrite(t, env, func(s string) string {
		return replace(`"repeat":"fragile"`, `"repeat":"retryable"`)(replace(`"classes":[`, `"classes":[`+strings.Replace(extraClass, "fragile", "dedup", 1)+",")(s))
	})
	c.signal(t, syscall.SIGHUP)
	waitFor(t, "the new class", func() bool {
		return cl.put("x", "c=extra,t=acme,d=20000,dest=2,k=k1", nil) == "+OK"
	})
	// Now the class of what is held goes altogether.
	rewrite(t, env, replace(`"name":"once"`, `"name":"other"`))
	c.signal(t, syscall.SIGHUP)
	waitFor(t, "its end", func() bool { return strings.HasPrefix(cl.put("y", putFields("once", 20000, 1), nil), "-ERR") })
	waitFor(t, "held goes on", func() bool { n := shut.callCount("held"); return n >= 2 })
	c.kill()
	for _, e := range []*fakeEndpoint{ep, shut} {
		e.respondWith(nil)
	}
	startChild(t, env)
	waitFor(t, "the one that never ran", func() bool { return shut.callCount("held") >= 3 })
	waitFor(t, "notice of the one that may have run", func() bool { n, ok := disc.notice("out"); return ok && n.Outcome == noticeGivenUp })
	if n := ep.callCount("out"); n != 1 {
		t.Errorf("an unsafe message went out %d times", n)
	}
}
