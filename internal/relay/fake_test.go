package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// childEnv makes the test binary run as a relay, so that a test has a relay process that it can kill.
const childEnv = "TROUTUSHER_TEST_CHILD"

// commandTimeoutEnv sets another command timeout for a relay in a child process.
const commandTimeoutEnv = "TROUTUSHER_TEST_COMMAND_TIME"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) == "" {
		os.Exit(m.Run())
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := LoadConfig(os.Getenv)
	if err != nil {
		log.Error("cannot load the configuration of the child relay", "err", err)
		os.Exit(2)
	}
	cfg.folder = childFolder()
	if text := os.Getenv(commandTimeoutEnv); text != "" {
		if cfg.commandTimeout, err = time.ParseDuration(text); err != nil {
			log.Error("invalid command timeout of the child relay", "err", err)
			os.Exit(2)
		}
	}
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	reload := Reload{Requested: reloadSignals, Read: func() (*Config, error) { return ReloadConfig(os.Getenv) }}
	if err := Run(cfg, childClock(), log, ctx.Done(), reload); err != nil {
		log.Error("child relay stopped", "err", err)
		os.Exit(1)
	}
	os.Exit(0)
}

const testSettings = `{"accounts":[{"name":"acme","quota_per_s":1000,"share":1}],"balancers":1,
 "classes":[
  {"deadline_us":20000000,"dedup_window_us":5000000,"group":"all","late_worth":0.1,"name":"plain","repeat":"retryable","target_us":1500000,"worth":1},
  {"deadline_us":20000000,"dedup_window_us":20000000,"group":"all","late_worth":0.3,"name":"keyed","repeat":"dedup","target_us":3000000,"worth":1},
  {"deadline_us":20000000,"dedup_window_us":5000000,"group":"all","late_worth":0.4,"name":"once","repeat":"fragile","target_us":3000000,"worth":3}],
 "discovery":"pushed","kinds":["k","bulk"],"localities":["a","b"],
 "limits":{"connect_timeout_us":1500000,"keepalive_us":10000000,"max_retry_after_us":2000000,"may_cancel":true,
  "most_held":100,"most_tries":8,"probing":true,"retry_after":true,"streams_per_conn":8},
 "safety":{"answer_slack_us":20000,"drain_grace_us":2000000,"fall_us":2000000,"overload_factor":1.5,"ramp_time_us":13000000,"start_capacity":0.26},
 "specifics":{"calls_out":16,"kind_batch":[1,3],"late":"linear","own_limits":[false,false]},
 "report":{"fields":[],"how":"none"},
 "tick_us":5000,"value_by":"request","weights":"nominal","zone":0}`

// waitFor waits until a condition holds, and fails the test if it does not within 30 s.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", description)
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// fakeDiscovery is a discovery agent that serves a list of endpoints and receives notices.
type fakeDiscovery struct {
	*httptest.Server
	mu                  sync.Mutex
	list                List
	watches             []chan string // lines to send on the open watches
	watchRevisions      []string      // revisions from which watches were requested
	listFetches         int           // requests for the list that were not watches
	notices             map[string]notice
	firstNoticeAt       map[string]time.Time // when the first notice of a message arrived
	noticeStatus        int                  // status of the responses to notices; only 204 records them
	silent              bool                 // the list is not served, and open watches get no heartbeats
	requestsWhileSilent int                  // requests for the list that arrived while silent
	watchesToRefuse     int                  // the number of watches to refuse from here on
	stopped             chan struct{}        // closed at the end of the test
}

func newFakeDiscovery(t *testing.T, members ...Member) *fakeDiscovery {
	d := &fakeDiscovery{list: List{Revision: 1, Complete: true, Members: members},
		notices: map[string]notice{}, firstNoticeAt: map[string]time.Time{},
		noticeStatus: http.StatusNoContent, stopped: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, d.serveList)
	mux.HandleFunc("POST "+noticePath, d.serveNotices)
	d.Server = httptest.NewServer(mux)
	t.Cleanup(func() { close(d.stopped); d.CloseClientConnections(); d.Close() })
	return d
}

func (d *fakeDiscovery) serveList(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	if d.silent {
		d.requestsWhileSilent++
		d.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-d.stopped:
		}
		return
	}
	if r.URL.Query().Get("watch") == "" {
		d.listFetches++
		json.NewEncoder(w).Encode(d.list)
		d.mu.Unlock()
		return
	}
	if d.watchesToRefuse > 0 {
		d.watchesToRefuse--
		d.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	lines := make(chan string, 16)
	d.watches = append(d.watches, lines)
	d.watchRevisions = append(d.watchRevisions, r.URL.Query().Get("from"))
	d.mu.Unlock()
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				return
			}
			io.WriteString(w, line+"\n")
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		case <-d.stopped:
			return
		case <-time.After(time.Second):
			d.mu.Lock()
			silent := d.silent
			d.mu.Unlock()
			if !silent {
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			}
		}
	}
}

func (d *fakeDiscovery) serveNotices(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.noticeStatus == http.StatusNoContent {
		for decoder := json.NewDecoder(r.Body); decoder.More(); {
			var received notice
			if decoder.Decode(&received) != nil {
				break
			}
			d.notices[received.Message] = received
			if _, known := d.firstNoticeAt[received.Message]; !known {
				d.firstNoticeAt[received.Message] = time.Now()
			}
		}
	}
	w.WriteHeader(d.noticeStatus)
}

func (d *fakeDiscovery) addr() string { return d.Listener.Addr().String() }

// notice returns the latest notice of a message.
func (d *fakeDiscovery) notice(id string) (notice, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, ok := d.notices[id]
	return n, ok
}

// firstNoticeTime returns when the first notice of a message arrived.
func (d *fakeDiscovery) firstNoticeTime(id string) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok = d.firstNoticeAt[id]
	return at, ok
}

// update changes the agent's state under its lock.
func (d *fakeDiscovery) update(f func(*fakeDiscovery)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
}

// sendLine sends a line on the newest watch, and waits for a watch if there is none.
func (d *fakeDiscovery) sendLine(t *testing.T, line string) {
	t.Helper()
	waitFor(t, "a watch of the list", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.watches) > 0 })
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches[len(d.watches)-1] <- line
}

// fakeEndpoint responds to calls with a function and records the calls that it received.
type fakeEndpoint struct {
	*httptest.Server
	mu      sync.Mutex
	calls   []receivedCall
	respond func(w http.ResponseWriter, r *http.Request, callNumber int) // responds with 200 if nil
}

// receivedCall is a call as it arrived at a fake endpoint.
type receivedCall struct {
	id, key, timeout string
	body             []byte
}

func newFakeEndpoint(t *testing.T, respond func(w http.ResponseWriter, r *http.Request, callNumber int)) *fakeEndpoint {
	e := &fakeEndpoint{respond: respond}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.calls = append(e.calls, receivedCall{r.Header.Get("X-Request-ID"), r.Header.Get("Idempotency-Key"),
			r.Header.Get("X-Timeout-Ms"), body})
		callNumber, respond := len(e.calls), e.respond
		e.mu.Unlock()
		if respond != nil {
			respond(w, r, callNumber)
		}
	}))
	t.Cleanup(func() { e.CloseClientConnections(); e.Close() })
	return e
}

// hang does not respond, and returns once the caller has closed the connection.
func hang(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }

// respondStatus returns a function that responds to every call with a status code.
func respondStatus(code int) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(code) }
}

func (e *fakeEndpoint) addr() string { return e.Listener.Addr().String() }

// respondWith sets the function that responds to the calls from now on.
func (e *fakeEndpoint) respondWith(respond func(http.ResponseWriter, *http.Request, int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.respond = respond
}

// callCount returns the number of calls received for a message.
func (e *fakeEndpoint) callCount(id string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls {
		if c.id == id {
			n++
		}
	}
	return n
}

// member returns the entry of this endpoint in discovery's list.
func (e *fakeEndpoint) member(id string, dest int) Member {
	return Member{ID: id, HostPort: e.addr(), Locality: "a", Flavor: "k", Cell: dest, Phase: phaseUp, Size: 1000}
}

// reserveAddr returns an address on which one process can listen. No other process is assigned its port
// while the test runs: a socket that is bound but does not listen keeps the system from choosing the
// port again. SO_REUSEADDR on this socket and on the listener allows both to be bound to the address.
func reserveAddr(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(socket) })
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// writeTestConfig writes a configuration file and returns the environment of a relay that uses it.
func writeTestConfig(t *testing.T, d *fakeDiscovery, diskMB int) map[string]string {
	t.Helper()
	listen := reserveAddr(t)
	dir := t.TempDir()
	stateFolder := filepath.Join(dir, "state")
	if err := os.Mkdir(stateFolder, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","surplus":1,
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":%d},"settings":%s}`, listen, d.addr(), diskMB, testSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]string{"TMPDIR": dir, "ROUTER_CONFIG": path, "ROUTER_STATE": stateFolder, "ROUTER_LISTEN": listen,
		"ROUTER_DISCOVERY": d.addr(), "ROUTER_NAME": "n1"}
}

// child is a relay in a child process.
type child struct {
	cmd *exec.Cmd
	env map[string]string
}

// startChild starts a relay and waits until it serves clients.
func startChild(t *testing.T, env map[string]string) *child {
	t.Helper()
	c := launchChild(t, env, nil)
	c.waitReady(t)
	return c
}

// launchChild starts a relay, which inherits the clients' listening socket if one is given. It does not
// wait until the relay serves.
func launchChild(t *testing.T, env map[string]string, socket *os.File) *child {
	t.Helper()
	c := &child{cmd: exec.Command(os.Args[0]), env: env}
	if socket != nil {
		c.cmd.ExtraFiles = []*os.File{socket}
		c.cmd.Env = []string{"ROUTER_SOCKET_FD=3"}
	}
	c.launch(t)
	return c
}

// launchLoggedChild starts a relay and keeps its log output.
func launchLoggedChild(t *testing.T, env map[string]string) (*child, *childLog) {
	t.Helper()
	logged := &childLog{}
	c := &child{cmd: exec.Command(os.Args[0]), env: env}
	c.cmd.Stderr = logged
	c.launch(t)
	return c, logged
}

// launch starts the prepared command and kills it at the end of the test.
func (c *child) launch(t *testing.T) {
	t.Helper()
	c.cmd.Env = append(append(os.Environ(), c.cmd.Env...), childEnv+"=1")
	for k, v := range c.env {
		c.cmd.Env = append(c.cmd.Env, k+"="+v)
	}
	if c.cmd.Stderr == nil {
		c.cmd.Stderr = stderrWriter{t}
	}
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.cmd.Process.Kill(); c.cmd.Wait() })
}

// stderrWriter passes a child's log output to the test's standard error.
type stderrWriter struct{ t *testing.T }

func (w stderrWriter) Write(p []byte) (int, error) { os.Stderr.Write(p); return len(p), nil }

// waitReady waits until the relay replies to a PING.
func (c *child) waitReady(t *testing.T) {
	t.Helper()
	waitFor(t, "the reply to a PING", func() bool {
		conn, err := net.Dial("tcp", c.env["ROUTER_LISTEN"])
		if err != nil {
			return false
		}
		defer conn.Close()
		io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
		reply, _ := bufio.NewReader(conn).ReadString('\n')
		return reply == "+PONG\r\n"
	})
}

// kill ends the process with SIGKILL and waits for its end.
func (c *child) kill() { c.cmd.Process.Kill(); c.cmd.Wait() }

// testClient hands in messages over one connection.
type testClient struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dialClient(t *testing.T, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	return &testClient{t, conn, bufio.NewReader(conn)}
}

// putCommand returns a MSG.PUT command as it is sent.
func putCommand(id, fields string, body []byte) string {
	var text strings.Builder
	text.WriteString("*5\r\n")
	for _, argument := range []string{"MSG.PUT", "0000000000000000", id, fields, string(body)} {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return text.String()
}

// put hands in a message and returns the reply.
func (c *testClient) put(id, fields string, body []byte) string {
	c.t.Helper()
	io.WriteString(c, putCommand(id, fields, body))
	return c.readLine()
}

// readLine returns the next line from the relay without its line end.
func (c *testClient) readLine() string {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil {
		c.t.Fatalf("reading a reply: got error %v, want a line", err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

// putFields returns the fields argument of a MSG.PUT, with a key if the class is keyed.
func putFields(class string, deadlineMS int, dest int) string {
	text := fmt.Sprintf("c=%s,t=acme,d=%d,dest=%d", class, deadlineMS, dest)
	if class == "keyed" {
		text += ",k=5c0f6e1a2b3d4c59"
	}
	return text
}
