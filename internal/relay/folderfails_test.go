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

// folderControlEnv is the environment variable with the path of the file that controls a child's folder faults.
const folderControlEnv = "TROUTUSHER_TEST_FOLDER"

// childFolder returns the faulty state folder for a child process, or nil for the real one.
func childFolder() logFolder {
	if controlPath := os.Getenv(folderControlEnv); controlPath != "" {
		return newControlledFolder(controlPath)
	}
	return nil
}

// folderControl sets the folder faults of a child process.
type folderControl struct {
	t    *testing.T
	path string
}

func newFolderControl(t *testing.T, env map[string]string) *folderControl {
	c := &folderControl{t, filepath.Join(t.TempDir(), "control")}
	env[folderControlEnv] = c.path
	return c
}

func (c *folderControl) fail(errorName string, operations ...folderOperation) {
	c.t.Helper()
	text := ""
	for _, operation := range operations {
		text += string(operation) + " " + errorName + "\n"
	}
	// The child may read the file at any time, so it is replaced in one step.
	if err := os.WriteFile(c.path+".new", []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	if err := os.Rename(c.path+".new", c.path); err != nil {
		c.t.Fatal(err)
	}
}

func (c *folderControl) heal() { c.fail("") }

// childLog collects the log output of a child.
type childLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *childLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	os.Stderr.Write(p)
	return l.text.Write(p)
}

func (l *childLog) count(substring string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), substring)
}

// startLoggedChild starts a child and collects its log output.
func startLoggedChild(t *testing.T, env map[string]string) (*child, *childLog) {
	t.Helper()
	c, logged := launchLoggedChild(t, env)
	c.waitReady(t)
	return c, logged
}

func expectBusy(t *testing.T, reply string) {
	t.Helper()
	word, ms, _ := strings.Cut(reply, " ")
	if n, err := strconv.Atoi(ms); word != "-BUSY" || err != nil || n <= 0 {
		t.Errorf("got reply %q, want -BUSY and a delay", reply)
	}
}

func readLogText(env map[string]string) string {
	text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
	return string(text)
}

// While the state folder fails under a running relay, new messages are refused, no accepted message is lost,
// and non-idempotent ones are not sent without a record. A kill follows after the folder works again.
func TestFolderFailsWhileRunning(t *testing.T) {
	for _, test := range []struct {
		errorName  string
		operations []folderOperation
	}{
		{"ENOSPC", []folderOperation{opWrite}},
		{"EIO", modifyingOperations},
	} {
		t.Run(test.errorName, func(t *testing.T) {
			refusing := respondStatus(http.StatusServiceUnavailable)
			idempotent, nonIdempotent := newFakeEndpoint(t, refusing), newFakeEndpoint(t, refusing)
			held := newFakeEndpoint(t, nil)
			disc := newFakeDiscovery(t, idempotent.member("s-1", 1), nonIdempotent.member("s-2", 2), held.member("s-3", 3))
			env := writeTestConfig(t, disc, 3)
			rewrite(t, env, func(text string) string { return strings.Replace(text, `"most_tries":8`, `"most_tries":200`, 1) })
			control := newFolderControl(t, env)
			c, logged := startLoggedChild(t, env)
			client := dialClient(t, env["ROUTER_LISTEN"])
			for id, f := range map[string]string{"idempotent": putFields("plain", 20000, 1),
				"non-idempotent": putFields("once", 20000, 2)} {
				if s := client.put(id, f, nil); s != "+OK" {
					t.Fatalf("%s: got reply %q, want +OK", id, s)
				}
			}
			waitFor(t, "attempts", func() bool {
				return idempotent.callCount("idempotent") > 0 && nonIdempotent.callCount("non-idempotent") > 0
			})
			control.fail(test.errorName, test.operations...)
			for i := range 20 {
				expectBusy(t, client.put("refused"+strconv.Itoa(i), putFields("plain", 20000, 3), nil))
			}
			before := nonIdempotent.callCount("non-idempotent")
			for _, e := range []*fakeEndpoint{idempotent, nonIdempotent} {
				e.respondWith(nil)
			}
			sent := idempotent.callCount("idempotent")
			waitFor(t, "the idempotent message", func() bool { return idempotent.callCount("idempotent") > sent })
			time.Sleep(500 * time.Millisecond) // long enough for an attempt that must not be made
			if n := nonIdempotent.callCount("non-idempotent"); n != before {
				t.Errorf("the non-idempotent message was sent %d times without a record, want 0", n-before)
			}
			delivered := idempotent.callCount("idempotent")
			control.heal()
			waitFor(t, "a new message to be accepted",
				func() bool { return client.put("new", putFields("plain", 20000, 3), nil) == "+OK" })
			waitFor(t, "the non-idempotent message", func() bool { return nonIdempotent.callCount("non-idempotent") > before })
			waitFor(t, "the end of the non-idempotent message in the log",
				func() bool { return strings.Contains(readLogText(env), `"kind":"end","id":"non-idempotent"`) })
			waitFor(t, "the end of the new message in the log",
				func() bool { return strings.Contains(readLogText(env), `"kind":"end","id":"new"`) })
			c.kill()
			if logged.count("state folder: failing") != 1 || logged.count("state folder: works again") != 1 {
				t.Errorf("failure logged %d times, its end %d times, want 1 each", logged.count("state folder: failing"),
					logged.count("state folder: works again"))
			}
			next := startChild(t, env)
			client = dialClient(t, env["ROUTER_LISTEN"])
			if s := client.put("later", putFields("plain", 20000, 3), nil); s != "+OK" {
				t.Fatal(s)
			}
			waitFor(t, "a call by the next process", func() bool { return held.callCount("later") == 1 })
			next.kill()
			if n := idempotent.callCount("idempotent"); n != delivered {
				t.Errorf("the idempotent message was sent %d times after its delivery, want 0", n-delivered)
			}
			if n := nonIdempotent.callCount("non-idempotent"); n != before+1 {
				t.Errorf("the non-idempotent message was sent %d times after the folder worked again, want 1", n-before)
			}
			if n := held.callCount("new"); n != 1 {
				t.Errorf("the new message was sent %d times, want 1", n)
			}
			for i := range 20 {
				if n := held.callCount("refused" + strconv.Itoa(i)); n != 0 {
					t.Errorf("a refused message was sent %d times, want 0", n)
				}
			}
			for _, id := range []string{"idempotent", "non-idempotent", "new"} {
				if n, ok := disc.notice(id); ok {
					t.Errorf("%s was delivered and also has a notice: %+v", id, n)
				}
			}
		})
	}
}

// The relay is killed just as the folder works again. A message that was delivered meanwhile and is
// idempotent may be delivered again. A non-idempotent one is neither sent twice nor ended twice.
func TestKilledAsFolderRecovers(t *testing.T) {
	idempotent, nonIdempotent := newFakeEndpoint(t, respondStatus(http.StatusServiceUnavailable)), newFakeEndpoint(t, nil)
	nonIdempotent.respondWith(func(w http.ResponseWriter, r *http.Request, _ int) { hang(w, r, 0) })
	disc := newFakeDiscovery(t, idempotent.member("s-1", 1), nonIdempotent.member("s-2", 2))
	env := writeTestConfig(t, disc, 3)
	control := newFolderControl(t, env)
	c := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	for id, f := range map[string]string{"idempotent": putFields("plain", 20000, 1), "out": putFields("once", 20000, 2)} {
		if s := client.put(id, f, nil); s != "+OK" {
			t.Fatalf("%s: got reply %q, want +OK", id, s)
		}
	}
	waitFor(t, "attempts", func() bool {
		return idempotent.callCount("idempotent") > 0 && nonIdempotent.callCount("out") == 1
	})
	control.fail("EIO", modifyingOperations...)
	expectBusy(t, client.put("refused", putFields("plain", 20000, 1), nil))
	idempotent.respondWith(nil)
	sent := idempotent.callCount("idempotent")
	waitFor(t, "the idempotent message", func() bool { return idempotent.callCount("idempotent") > sent })
	control.heal()
	c.kill()
	startChild(t, env)
	waitFor(t, "the notice about the non-idempotent message",
		func() bool { n, ok := disc.notice("out"); return ok && n.Outcome == noticeGivenUp })
	if n := nonIdempotent.callCount("out"); n != 1 {
		t.Errorf("the non-idempotent message was sent %d times, want 1", n)
	}
	if n := idempotent.callCount("refused"); n != 0 {
		t.Errorf("the refused message was sent %d times, want 0", n)
	}
	if _, ok := disc.notice("idempotent"); ok {
		t.Error("a delivered message also has a notice")
	}
}

// If the state folder is missing at the start, the relay refuses all messages and logs the failure in
// one line. Once the folder is back it resumes the pending messages.
func TestStartsWithoutFolder(t *testing.T) {
	endpoint := newFakeEndpoint(t, respondStatus(http.StatusServiceUnavailable))
	disc := newFakeDiscovery(t, endpoint.member("s-1", 1))
	env := writeTestConfig(t, disc, 3)
	c := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	if s := client.put("owed", putFields("once", 20000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	waitFor(t, "an attempt", func() bool { return endpoint.callCount("owed") > 0 })
	// Killed before the outcome is in the log, the message may have run, and the next process gives it up.
	waitFor(t, "the outcome of the attempt in the log",
		func() bool { return strings.Contains(readLogText(env), `"kind":"outcome","id":"owed"`) })
	c.kill()
	movedFolder := env["ROUTER_STATE"] + ".away"
	if err := os.Rename(env["ROUTER_STATE"], movedFolder); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(env["ROUTER_STATE"], nil, 0o600); err != nil { // a file in place of the folder
		t.Fatal(err)
	}
	before := endpoint.callCount("owed")
	_, logged := startLoggedChild(t, env)
	client = dialClient(t, env["ROUTER_LISTEN"])
	for _, id := range []string{"owed", "new"} {
		expectBusy(t, client.put(id, putFields("plain", 20000, 1), nil))
	}
	time.Sleep(2 * folderRetryInterval) // further retries log nothing
	if n := logged.count("state folder: failing"); n != 1 || logged.count("folder="+env["ROUTER_STATE"]) != 1 {
		t.Errorf("failure of the folder logged %d times, want 1 with its path", n)
	}
	if err := errors.Join(os.Remove(env["ROUTER_STATE"]), os.Rename(movedFolder, env["ROUTER_STATE"])); err != nil {
		t.Fatal(err)
	}
	endpoint.respondWith(nil)
	waitFor(t, "a call of the pending message", func() bool { return endpoint.callCount("owed") > before })
	waitFor(t, "a new message to be accepted",
		func() bool { return client.put("new", putFields("plain", 20000, 1), nil) == "+OK" })
	waitFor(t, "its call", func() bool { return endpoint.callCount("new") == 1 })
	if logged.count("state folder: failing") != 1 || logged.count("state folder: works again") != 1 {
		t.Error("want one log line for the failure and one for its end")
	}
	if n := endpoint.callCount("owed") - before; n != 1 {
		t.Errorf("the pending message was delivered %d times, want 1", n)
	}
}

// A relay that starts while logs cannot be locked, listed, read or written refuses messages until the
// folder works, and then serves.
func TestStartsInFailingFolder(t *testing.T) {
	for name, operations := range map[string][]folderOperation{
		"locks": {opLock}, "list": {opList}, "read": {opRead}, "write": modifyingOperations,
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := newFakeEndpoint(t, nil)
			disc := newFakeDiscovery(t, endpoint.member("s-1", 1))
			env := writeTestConfig(t, disc, 3)
			startChild(t, env).kill() // leaves a log behind
			control := newFolderControl(t, env)
			control.fail("EIO", operations...)
			c, logged := startLoggedChild(t, env)
			client := dialClient(t, env["ROUTER_LISTEN"])
			expectBusy(t, client.put("refused", putFields("plain", 20000, 1), nil))
			control.heal()
			waitFor(t, "a new message to be accepted",
				func() bool { return client.put("new", putFields("plain", 20000, 1), nil) == "+OK" })
			waitFor(t, "its call", func() bool { return endpoint.callCount("new") == 1 })
			waitFor(t, "the end of the failure in the log",
				func() bool { return logged.count("state folder: works again") == 1 })
			if logged.count("state folder: failing") != 1 || endpoint.callCount("refused") != 0 {
				t.Errorf("failure logged %d times, want 1; refused message sent %d times, want 0",
					logged.count("state folder: failing"), endpoint.callCount("refused"))
			}
			c.cmd.Process.Signal(syscall.SIGTERM)
			if err := c.cmd.Wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
		})
	}
}

// A relay that receives SIGTERM before its folder ever worked exits without an error.
func TestStopsWithoutFolder(t *testing.T) {
	env := writeTestConfig(t, newFakeDiscovery(t), 3)
	if err := os.Remove(env["ROUTER_STATE"]); err != nil {
		t.Fatal(err)
	}
	c := startChild(t, env)
	c.cmd.Process.Signal(syscall.SIGTERM)
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// During an upgrade while records are postponed, the predecessor's log is incomplete, so it must not be handed over.
// The successor serves beside the predecessor, and adopts that log once the predecessor has ended.
func TestUpgradeWhileFolderFails(t *testing.T) {
	idempotent, nonIdempotent := newFakeEndpoint(t, respondStatus(http.StatusServiceUnavailable)),
		newFakeEndpoint(t, respondStatus(http.StatusServiceUnavailable))
	s := newReplaceableRelay(t, newFakeDiscovery(t, idempotent.member("s-1", 1), nonIdempotent.member("s-2", 2)))
	rewrite(t, s.env, func(text string) string { return strings.Replace(text, `"most_tries":8`, `"most_tries":200`, 1) })
	control := newFolderControl(t, s.env)
	start := func() (*child, *childLog) {
		logged := &childLog{}
		c := &child{cmd: exec.Command(os.Args[0]), env: s.env}
		c.cmd.ExtraFiles, c.cmd.Env, c.cmd.Stderr = []*os.File{s.socket}, []string{"ROUTER_SOCKET_FD=3"}, logged
		c.launch(t)
		return c, logged
	}
	old, oldLogged := start()
	old.waitReady(t)
	client := dialClient(t, s.env["ROUTER_LISTEN"])
	for id, f := range map[string]string{"idempotent": putFields("plain", 20000, 1),
		"non-idempotent": putFields("once", 20000, 2)} {
		if reply := client.put(id, f, nil); reply != "+OK" {
			t.Fatalf("%s: got reply %q, want +OK", id, reply)
		}
	}
	waitFor(t, "attempts", func() bool {
		return idempotent.callCount("idempotent") > 0 && nonIdempotent.callCount("non-idempotent") > 0
	})
	control.fail("EIO", modifyingOperations...)
	expectBusy(t, client.put("refused", putFields("plain", 20000, 1), nil))
	idempotent.respondWith(nil)
	sent := idempotent.callCount("idempotent")
	waitFor(t, "the idempotent message", func() bool { return idempotent.callCount("idempotent") > sent })
	delivered := idempotent.callCount("idempotent")
	_, logged := start()
	waitFor(t, "the hand-over to be refused",
		func() bool { return logged.count("the predecessor does not hand over") == 1 })
	waitFor(t, "the new process", func() bool { return logged.count("msg=ready") == 1 })
	before := nonIdempotent.callCount("non-idempotent")
	nonIdempotent.respondWith(nil)
	control.heal()
	for _, l := range []*childLog{oldLogged, logged} {
		waitFor(t, "the folder to work again", func() bool { return l.count("state folder: works again") == 1 })
	}
	waitFor(t, "the non-idempotent message", func() bool { return nonIdempotent.callCount("non-idempotent") > before })
	old.kill()
	client = dialClient(t, s.env["ROUTER_LISTEN"])
	if reply := client.put("later", putFields("plain", 20000, 1), nil); reply != "+OK" {
		t.Fatal(reply)
	}
	waitFor(t, "a call by the new process", func() bool { return idempotent.callCount("later") == 1 })
	left := filepath.Join(s.env["ROUTER_STATE"], walFileName)
	waitFor(t, "the old process's log to be adopted", func() bool { _, err := os.Stat(left); return err != nil })
	if n := nonIdempotent.callCount("non-idempotent") - before; n != 1 {
		t.Errorf("the non-idempotent message was delivered %d times, want 1", n)
	}
	if n := idempotent.callCount("idempotent") - delivered; n != 0 {
		t.Errorf("the idempotent message was sent %d times after its delivery, want 0", n)
	}
	if n := idempotent.callCount("refused"); n != 0 {
		t.Errorf("the refused message was sent %d times, want 0", n)
	}
}
