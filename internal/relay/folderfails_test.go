package relay

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// controlEnv names the file by which a test tells a child how its state folder fails.
const controlEnv = "TROUTUSHER_TEST_FOLDER"

// childFolder is the state folder that a child is given; nil for the real one.
func childFolder() logFolder {
	if control := os.Getenv(controlEnv); control != "" {
		return controlledFolder(control)
	}
	return nil
}

// folderControl tells a child how its folder fails.
type folderControl struct {
	t    *testing.T
	path string
}

func controlFolder(t *testing.T, env map[string]string) *folderControl {
	c := &folderControl{t, filepath.Join(t.TempDir(), "control")}
	env[controlEnv] = c.path
	return c
}

func (c *folderControl) fail(word string, operations ...folderOperation) {
	c.t.Helper()
	text := ""
	for _, operation := range operations {
		text += string(operation) + " " + word + "\n"
	}
	// The child reads the file at any moment.
	if err := os.WriteFile(c.path+".new", []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	if err := os.Rename(c.path+".new", c.path); err != nil {
		c.t.Fatal(err)
	}
}

func (c *folderControl) heal() { c.fail("") }

// lines collects what a child logs.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	os.Stderr.Write(p)
	return l.text.Write(p)
}

func (l *lines) count(words string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), words)
}

// startLoggedChild starts a child and keeps what it logs.
func startLoggedChild(t *testing.T, env map[string]string) (*child, *lines) {
	t.Helper()
	c, logged := launchLoggedChild(t, env)
	c.ready(t)
	return c, logged
}

func mustBeBusy(t *testing.T, answer string) {
	t.Helper()
	word, ms, _ := strings.Cut(answer, " ")
	if n, err := strconv.Atoi(ms); word != "-BUSY" || err != nil || n <= 0 {
		t.Errorf("answered %q, want -BUSY and a time", answer)
	}
}

func logText(env map[string]string) string {
	text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walName))
	return string(text)
}

// Guards what was taken on and what is refused while the state folder fails under a running relay,
// and a kill right after it works again.
func TestFolderFailsUnderway(t *testing.T) {
	for _, x := range []struct {
		word       string
		operations []folderOperation
	}{
		{"ENOSPC", []folderOperation{opWrite}},
		{"EIO", changesFolder},
	} {
		t.Run(x.word, func(t *testing.T) {
			refusing := status(http.StatusServiceUnavailable)
			safe, unsafe := newFakeEndpoint(t, refusing), newFakeEndpoint(t, refusing)
			held := newFakeEndpoint(t, nil)
			disc := newFakeDiscovery(t, safe.member("s-1", 1), unsafe.member("s-2", 2), held.member("s-3", 3))
			env := testConfig(t, disc, 3)
			rewrite(t, env, func(text string) string { return strings.Replace(text, `"most_tries":8`, `"most_tries":200`, 1) })
			control := controlFolder(t, env)
			c, logged := startLoggedChild(t, env)
			client := dialClient(t, env["ROUTER_LISTEN"])
			for id, f := range map[string]string{"safe": fields("plain", 20000, 1), "unsafe": fields("once", 20000, 2)} {
				if s := client.put(id, f, nil); s != "+OK" {
					t.Fatalf("%s: %s", id, s)
				}
			}
			waitFor(t, "attempts", func() bool { return safe.count("safe") > 0 && unsafe.count("unsafe") > 0 })
			control.fail(x.word, x.operations...)
			for i := range 20 {
				mustBeBusy(t, client.put("refused"+strconv.Itoa(i), fields("plain", 20000, 3), nil))
			}
			before := unsafe.count("unsafe")
			for _, e := range []*fakeEndpoint{safe, unsafe} {
				e.then(nil)
			}
			sent := safe.count("safe")
			waitFor(t, "the safe message", func() bool { return safe.count("safe") > sent })
			time.Sleep(500 * time.Millisecond) // an attempt that must not be made cannot be waited for
			if n := unsafe.count("unsafe"); n != before {
				t.Errorf("an unsafe message went out %d times without a record", n-before)
			}
			delivered := safe.count("safe")
			control.heal()
			waitFor(t, "new work", func() bool { return client.put("new", fields("plain", 20000, 3), nil) == "+OK" })
			waitFor(t, "the unsafe message", func() bool { return unsafe.count("unsafe") > before })
			waitFor(t, "its end in the log", func() bool { return strings.Contains(logText(env), `"kind":"end","id":"unsafe"`) })
			waitFor(t, "the end of the new one", func() bool { return strings.Contains(logText(env), `"kind":"end","id":"new"`) })
			c.kill()
			if logged.count("state folder: failing") != 1 || logged.count("state folder: works again") != 1 {
				t.Errorf("logged %d times that it fails, %d times that it works", logged.count("state folder: failing"),
					logged.count("state folder: works again"))
			}
			again := startChild(t, env)
			client = dialClient(t, env["ROUTER_LISTEN"])
			if s := client.put("later", fields("plain", 20000, 3), nil); s != "+OK" {
				t.Fatal(s)
			}
			waitFor(t, "the next process's work", func() bool { return held.count("later") == 1 })
			again.kill()
			if n := safe.count("safe"); n != delivered {
				t.Errorf("the safe message went out %d times after it was delivered", n-delivered)
			}
			if n := unsafe.count("unsafe"); n != before+1 {
				t.Errorf("the unsafe message went out %d times after it was held", n-before)
			}
			if n := held.count("new"); n != 1 {
				t.Errorf("the new message went out %d times", n)
			}
			for i := range 20 {
				if n := held.count("refused" + strconv.Itoa(i)); n != 0 {
					t.Errorf("a refused message went out %d times", n)
				}
			}
			for _, id := range []string{"safe", "unsafe", "new"} {
				if n, ok := disc.notice(id); ok {
					t.Errorf("%s was delivered and has an end besides: %+v", id, n)
				}
			}
		})
	}
}

// Guards against a kill at the very moment at which the folder works again: what was delivered meanwhile
// and may be repeated may be delivered again, what may not is neither sent twice nor ended twice.
func TestKilledAsTheFolderHeals(t *testing.T) {
	safe, unsafe := newFakeEndpoint(t, status(http.StatusServiceUnavailable)), newFakeEndpoint(t, nil)
	unsafe.then(func(w http.ResponseWriter, r *http.Request, _ int) { hang(w, r, 0) })
	disc := newFakeDiscovery(t, safe.member("s-1", 1), unsafe.member("s-2", 2))
	env := testConfig(t, disc, 3)
	control := controlFolder(t, env)
	c := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	for id, f := range map[string]string{"safe": fields("plain", 20000, 1), "out": fields("once", 20000, 2)} {
		if s := client.put(id, f, nil); s != "+OK" {
			t.Fatalf("%s: %s", id, s)
		}
	}
	waitFor(t, "attempts", func() bool { return safe.count("safe") > 0 && unsafe.count("out") == 1 })
	control.fail("EIO", changesFolder...)
	mustBeBusy(t, client.put("refused", fields("plain", 20000, 1), nil))
	safe.then(nil)
	sent := safe.count("safe")
	waitFor(t, "the safe message", func() bool { return safe.count("safe") > sent })
	control.heal()
	c.kill()
	startChild(t, env)
	waitFor(t, "the end of the unsafe one", func() bool { n, ok := disc.notice("out"); return ok && n.Outcome == endGivenUp })
	if n := unsafe.count("out"); n != 1 {
		t.Errorf("the unsafe message went out %d times", n)
	}
	if n := safe.count("refused"); n != 0 {
		t.Errorf("a refused message went out %d times", n)
	}
	if _, ok := disc.notice("safe"); ok {
		t.Error("a delivered message was ended besides")
	}
}

// Guards the start in a folder that cannot be read or written: the relay serves by refusing, says so in
// one line, and takes up what is owed when the folder works.
func TestStartsWithoutItsFolder(t *testing.T) {
	ep := newFakeEndpoint(t, status(http.StatusServiceUnavailable))
	disc := newFakeDiscovery(t, ep.member("s-1", 1))
	env := testConfig(t, disc, 3)
	c := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	if s := client.put("owed", fields("once", 20000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	waitFor(t, "an attempt", func() bool { return ep.count("owed") > 0 })
	c.kill()
	away := env["ROUTER_STATE"] + ".away"
	if err := os.Rename(env["ROUTER_STATE"], away); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(env["ROUTER_STATE"], nil, 0o600); err != nil { // a file in the place of the folder
		t.Fatal(err)
	}
	before := ep.count("owed")
	_, logged := startLoggedChild(t, env)
	client = dialClient(t, env["ROUTER_LISTEN"])
	for _, id := range []string{"owed", "new"} {
		mustBeBusy(t, client.put(id, fields("plain", 20000, 1), nil))
	}
	time.Sleep(2 * folderRetryInterval) // further tries say nothing
	if n := logged.count("state folder: failing"); n != 1 || logged.count("folder="+env["ROUTER_STATE"]) != 1 {
		t.Errorf("the folder was said to fail %d times", n)
	}
	if err := errors.Join(os.Remove(env["ROUTER_STATE"]), os.Rename(away, env["ROUTER_STATE"])); err != nil {
		t.Fatal(err)
	}
	ep.then(nil)
	waitFor(t, "what is owed", func() bool { return ep.count("owed") > before })
	waitFor(t, "new work", func() bool { return client.put("new", fields("plain", 20000, 1), nil) == "+OK" })
	waitFor(t, "its call", func() bool { return ep.count("new") == 1 })
	if logged.count("state folder: failing") != 1 || logged.count("state folder: works again") != 1 {
		t.Error("not one line each")
	}
	if n := ep.count("owed") - before; n != 1 {
		t.Errorf("what was owed was delivered %d times", n)
	}
}

// Guards the start where logs cannot be read or locked for a while, or nothing can be written.
func TestStartsInAFailingFolder(t *testing.T) {
	for name, operations := range map[string][]folderOperation{
		"locks": {opLock}, "list": {opList}, "read": {opRead}, "write": changesFolder,
	} {
		t.Run(name, func(t *testing.T) {
			ep := newFakeEndpoint(t, nil)
			disc := newFakeDiscovery(t, ep.member("s-1", 1))
			env := testConfig(t, disc, 3)
			startChild(t, env).kill() // leaves a log
			control := controlFolder(t, env)
			control.fail("EIO", operations...)
			c, logged := startLoggedChild(t, env)
			client := dialClient(t, env["ROUTER_LISTEN"])
			mustBeBusy(t, client.put("refused", fields("plain", 20000, 1), nil))
			control.heal()
			waitFor(t, "new work", func() bool { return client.put("new", fields("plain", 20000, 1), nil) == "+OK" })
			waitFor(t, "its call", func() bool { return ep.count("new") == 1 })
			waitFor(t, "the end of the failure in the log", func() bool { return logged.count("state folder: works again") == 1 })
			if logged.count("state folder: failing") != 1 || ep.count("refused") != 0 {
				t.Errorf("logged %d times, refused one sent %d times", logged.count("state folder: failing"), ep.count("refused"))
			}
			c.cmd.Process.Signal(syscall.SIGTERM)
			if err := c.cmd.Wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
		})
	}
}

// A relay that is told to end before its folder ever worked ends as planned.
func TestEndsWithoutItsFolder(t *testing.T) {
	env := testConfig(t, newFakeDiscovery(t), 3)
	if err := os.Remove(env["ROUTER_STATE"]); err != nil {
		t.Fatal(err)
	}
	c := startChild(t, env)
	c.cmd.Process.Signal(syscall.SIGTERM)
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Guards an upgrade while ends wait to be written: the log says less than the old process knows, so it is not
// handed over. The new process serves beside it, and takes over what is left once the old one is gone.
func TestUpgradeWhileTheFolderFails(t *testing.T) {
	safe, unsafe := newFakeEndpoint(t, status(http.StatusServiceUnavailable)), newFakeEndpoint(t, status(http.StatusServiceUnavailable))
	s := newSite(t, newFakeDiscovery(t, safe.member("s-1", 1), unsafe.member("s-2", 2)))
	rewrite(t, s.env, func(text string) string { return strings.Replace(text, `"most_tries":8`, `"most_tries":200`, 1) })
	control := controlFolder(t, s.env)
	start := func() (*child, *lines) {
		logged := &lines{}
		c := &child{cmd: exec.Command(os.Args[0]), env: s.env}
		c.cmd.ExtraFiles, c.cmd.Env, c.cmd.Stderr = []*os.File{s.socket}, []string{"ROUTER_SOCKET_FD=3"}, logged
		c.launch(t)
		return c, logged
	}
	old, oldLogged := start()
	old.ready(t)
	client := dialClient(t, s.env["ROUTER_LISTEN"])
	for id, f := range map[string]string{"safe": fields("plain", 20000, 1), "unsafe": fields("once", 20000, 2)} {
		if answer := client.put(id, f, nil); answer != "+OK" {
			t.Fatalf("%s: %s", id, answer)
		}
	}
	waitFor(t, "attempts", func() bool { return safe.count("safe") > 0 && unsafe.count("unsafe") > 0 })
	control.fail("EIO", changesFolder...)
	mustBeBusy(t, client.put("refused", fields("plain", 20000, 1), nil))
	safe.then(nil)
	sent := safe.count("safe")
	waitFor(t, "the safe message", func() bool { return safe.count("safe") > sent })
	delivered := safe.count("safe")
	_, logged := start()
	waitFor(t, "the hand-over to be refused", func() bool { return logged.count("the predecessor does not hand over") == 1 })
	waitFor(t, "the new process", func() bool { return logged.count("msg=ready") == 1 })
	before := unsafe.count("unsafe")
	unsafe.then(nil)
	control.heal()
	for _, l := range []*lines{oldLogged, logged} {
		waitFor(t, "a folder that works", func() bool { return l.count("state folder: works again") == 1 })
	}
	waitFor(t, "the unsafe message", func() bool { return unsafe.count("unsafe") > before })
	old.kill()
	client = dialClient(t, s.env["ROUTER_LISTEN"])
	if answer := client.put("later", fields("plain", 20000, 1), nil); answer != "+OK" {
		t.Fatal(answer)
	}
	waitFor(t, "the new process's work", func() bool { return safe.count("later") == 1 })
	left := filepath.Join(s.env["ROUTER_STATE"], walName)
	waitFor(t, "the old one's log to be taken over", func() bool { _, err := os.Stat(left); return err != nil })
	if n := unsafe.count("unsafe") - before; n != 1 {
		t.Errorf("the unsafe message was delivered %d times", n)
	}
	if n := safe.count("safe") - delivered; n != 0 {
		t.Errorf("the safe message went out %d times after it was delivered", n)
	}
	if n := safe.count("refused"); n != 0 {
		t.Errorf("a refused message went out %d times", n)
	}
}
