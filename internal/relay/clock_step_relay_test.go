package relay

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// testWallClock steps the wall clock of child relays.
type testWallClock struct{ stepFile string }

// newTestWallClock returns the wall clock of the relays that are started with this environment.
func newTestWallClock(t *testing.T, env map[string]string) *testWallClock {
	t.Helper()
	c := &testWallClock{stepFile: filepath.Join(t.TempDir(), "wall")}
	env[wallStepFileEnv] = c.stepFile
	return c
}

// step sets the offset of the wall clock from the machine's. The file is replaced atomically, since relays read it
// at any moment.
func (c *testWallClock) step(t *testing.T, offset time.Duration) {
	t.Helper()
	next := c.stepFile + ".next"
	if err := os.WriteFile(next, []byte(strconv.FormatInt(offset.Milliseconds(), 10)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, c.stepFile); err != nil {
		t.Fatal(err)
	}
}

// testMessage is a message that a test has handed in.
type testMessage struct {
	id       string
	sentAt   time.Time
	deadline time.Duration
}

// messageEnd is the end of a message as a test has observed it.
type messageEnd struct {
	id            string
	endpoint      *fakeEndpoint // nil if no endpoint may be called
	calls         int           // of the endpoint when the message ended
	notified      bool          // the message ended by a notice; otherwise it was delivered
	noticeOutcome string        // empty without a notice
}

// steppedRelay is a relay in a child process, with a wall clock that can be stepped.
type steppedRelay struct {
	t         *testing.T
	discovery *fakeDiscovery
	env       map[string]string
	socket    *os.File
	clock     *testWallClock
	process   *child
	client    *testClient
	ends      []messageEnd
}

// newSteppedRelay returns a relay that is not started yet. Its list has these members, and the destination
// unservedDest, which has no usable endpoint.
func newSteppedRelay(t *testing.T, members ...Member) *steppedRelay {
	t.Helper()
	unserved := Member{ID: "unserved", HostPort: "127.0.0.1:1", Locality: "a", Flavor: "k", Cell: unservedDest,
		Phase: phaseDraining}
	discovery := newFakeDiscovery(t, append(members, unserved)...)
	reserved := newReplaceableRelay(t, discovery) // keeps the port while no relay runs
	env := reserved.env
	rewrite(t, env, replaceFirst(`"classes":[`, `"classes":[`+shortWindowClass+","+restartWindowClass+","))
	return &steppedRelay{t: t, discovery: discovery, env: env, socket: reserved.socket,
		clock: newTestWallClock(t, env)}
}

// start starts the relay, or its next process after a kill, and connects to it.
func (r *steppedRelay) start() {
	r.t.Helper()
	r.process = launchChild(r.t, r.env, r.socket)
	r.process.waitReady(r.t)
	r.connect()
}

// connect opens the connection over which put hands in messages.
func (r *steppedRelay) connect() {
	r.t.Helper()
	r.client = dialClient(r.t, r.env["ROUTER_LISTEN"])
}

// restartStepped kills the relay, steps the clock while no process runs, and starts the next process.
func (r *steppedRelay) restartStepped(step time.Duration) {
	r.t.Helper()
	r.process.kill()
	r.clock.step(r.t, step)
	r.start()
}

// messageFields returns the fields argument of a MSG.PUT, with a key if the class is one of the keyed ones of
// these tests.
func messageFields(class string, deadline time.Duration, dest int) string {
	text := putFields(class, int(deadline.Milliseconds()), dest)
	if class == "brief" || class == "medium" {
		text += ",k=5c0f6e1a2b3d4c59"
	}
	return text
}

// put hands in a message, which must be accepted.
func (r *steppedRelay) put(id, class string, deadline time.Duration, dest int) testMessage {
	r.t.Helper()
	m := testMessage{id: id, sentAt: time.Now(), deadline: deadline}
	if got := r.client.put(id, messageFields(class, deadline, dest), []byte("body of "+id)); got != "+OK" {
		r.t.Errorf("%s: got reply %q, want +OK", id, got)
	}
	return m
}

// within waits for a condition up to a limit and reports whether it came to hold.
func within(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// expectNotice waits for a message's notice, which must come at its deadline.
func (r *steppedRelay) expectNotice(m testMessage, endpoint *fakeEndpoint) {
	r.t.Helper()
	r.awaitNotice(m, endpoint)
	at, ok := r.discovery.firstNoticeTime(m.id)
	if !ok {
		return // awaitNotice has reported it
	}
	if elapsed := at.Sub(m.sentAt); elapsed < m.deadline/10*earliestNoticeTenths {
		r.t.Errorf("%s: got a notice after %v, want it at the deadline, %v",
			m.id, elapsed.Round(time.Millisecond), m.deadline)
	}
}

// awaitNotice waits for a message's notice, which may come at any moment up to its deadline.
func (r *steppedRelay) awaitNotice(m testMessage, endpoint *fakeEndpoint) {
	r.t.Helper()
	var got notice
	var ok bool
	arrived := func() bool {
		got, ok = r.discovery.notice(m.id)
		return ok
	}
	if !within(time.Until(m.sentAt.Add(m.deadline+noticeLateTolerance)), arrived) && !r.arrivesWhileStarved(arrived) {
		r.t.Errorf("%s: got no notice within %v, want one by the deadline, %v",
			m.id, m.deadline+noticeLateTolerance, m.deadline)
		return
	}
	end := messageEnd{id: m.id, endpoint: endpoint, notified: true, noticeOutcome: got.Outcome}
	if endpoint != nil {
		end.calls = endpoint.callCount(m.id)
	}
	r.ends = append(r.ends, end)
}

// arrivesWhileStarved reports whether something arrives before the relay has replied to noticePings PINGs, so that
// a relay that gets little processor time is not taken for one that sends no notice.
func (r *steppedRelay) arrivesWhileStarved(arrived func() bool) bool {
	r.t.Helper()
	for range noticePings {
		pingOnce(r.t, r.env["ROUTER_LISTEN"])
		time.Sleep(2 * time.Millisecond)
		if arrived() {
			return true
		}
	}
	return false
}

// expectDelivered waits until an endpoint has received the given number of calls for a message, the last of which
// delivers it.
func (r *steppedRelay) expectDelivered(m testMessage, endpoint *fakeEndpoint, calls int) {
	r.t.Helper()
	if !within(deliveryTimeout, func() bool { return endpoint.callCount(m.id) >= calls }) {
		got, ended := r.discovery.notice(m.id)
		r.t.Errorf("%s: got %d calls within %v, want %d; ended by a notice: %v %s", m.id, endpoint.callCount(m.id),
			deliveryTimeout, calls, ended, got.Outcome)
		return
	}
	r.ends = append(r.ends, messageEnd{id: m.id, endpoint: endpoint, calls: calls})
}

// verify checks that each message ended only once, as the test has observed it, and had no call after that.
func (r *steppedRelay) verify() {
	r.t.Helper()
	time.Sleep(quietPeriod)
	for _, end := range r.ends {
		got, notified := r.discovery.notice(end.id)
		if notified != end.notified || got.Outcome != end.noticeOutcome {
			r.t.Errorf("%s: ended with notice outcome %+v (empty if delivered), got a notice later: %v %s, want no change",
				end.id, end.noticeOutcome, notified, got.Outcome)
		}
		if end.endpoint == nil {
			continue
		}
		if calls := end.endpoint.callCount(end.id); calls != end.calls {
			r.t.Errorf("%s: had %d calls when it ended, got %d later, want no more", end.id, end.calls, calls)
		}
	}
}

// replaceMember replaces the member with the same id in the list. Open watches are not notified.
func (d *fakeDiscovery) replaceMember(member Member) {
	d.update(func(d *fakeDiscovery) {
		for i := range d.list.Members {
			if d.list.Members[i].ID == member.ID {
				d.list.Members[i] = member
			}
		}
		d.list.Revision++
	})
}

// logContains reports whether the relay's write-ahead log contains this text.
func (r *steppedRelay) logContains(text string) bool { return r.logMatches(regexp.QuoteMeta(text)) }

// logMatches reports whether the relay's write-ahead log contains a match of this pattern.
func (r *steppedRelay) logMatches(pattern string) bool {
	content, err := os.ReadFile(filepath.Join(r.env["ROUTER_STATE"], walFileName))
	return err == nil && regexp.MustCompile(pattern).Match(content)
}

// fullBacklog is an endpoint whose accept queue is full, so that connections to it are not established until it
// starts to accept.
type fullBacklog struct {
	*fakeEndpoint
	server *httptest.Server
	queued []net.Conn // the connections that fill the accept queue
}

func newFullBacklog(t *testing.T) *fullBacklog {
	t.Helper()
	endpoint := newFakeEndpoint(t, nil)
	b := &fullBacklog{fakeEndpoint: endpoint, server: httptest.NewUnstartedServer(endpoint.Config.Handler)}
	t.Cleanup(func() { b.server.CloseClientConnections(); b.server.Close() })
	b.setBacklog(t, 0)
	for {
		conn, err := net.DialTimeout("tcp", b.server.Listener.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return b
		}
		t.Cleanup(func() { conn.Close() })
		b.queued = append(b.queued, conn)
	}
}

// setBacklog sets the length of the accept queue.
func (b *fullBacklog) setBacklog(t *testing.T, connections int) {
	t.Helper()
	raw, err := b.server.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), connections) })
	if err := cmp.Or(err, listenErr); err != nil {
		t.Fatal(err)
	}
}

// startAccepting empties the accept queue and serves new connections.
func (b *fullBacklog) startAccepting(t *testing.T) {
	t.Helper()
	b.setBacklog(t, 128)
	for _, conn := range b.queued {
		conn.Close()
	}
	b.server.Start()
}

// launchWithOperatorPort starts a process with its own operator port.
func (r *steppedRelay) launchWithOperatorPort() *child {
	r.t.Helper()
	env := maps.Clone(r.env)
	env["ROUTER_OPS"] = freeAddr(r.t)
	r.process = launchChild(r.t, env, r.socket)
	return r.process
}

// startWithOperatorPort starts a process with its own operator port and waits until it serves.
func (r *steppedRelay) startWithOperatorPort() {
	r.t.Helper()
	waitForOperatorPort(r.t, r.launchWithOperatorPort().env["ROUTER_OPS"])
}

// callTimes records when calls arrived.
type callTimes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *callTimes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
}

func (c *callTimes) all() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time{}, c.at...)
}

// awaitMember waits until the relay knows a member of a destination that no list has named before: until then it
// refuses messages to that destination.
func (r *steppedRelay) awaitMember(dest int) {
	r.t.Helper()
	waitFor(r.t, "the relay to know the new member", func() bool {
		id := fmt.Sprintf("marker-%d", idSequence.Add(1))
		return r.client.put(id, messageFields("once", longDeadline, dest), nil) == "+OK"
	})
}

// acceptsClients reports whether the process with this operator port accepts clients.
func acceptsClients(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false // it has ended
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(deliveryTimeout))
	io.WriteString(conn, "READY\n")
	reply, _ := io.ReadAll(conn)
	return strings.HasPrefix(string(reply), "ACK")
}

// pingOnce opens a connection, which is closed at the end of the test, and reports whether the relay replies to a
// PING on it.
func pingOnce(t *testing.T, addr string) (conn net.Conn, served bool) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(deliveryTimeout))
	io.WriteString(conn, pingCommand)
	reply := make([]byte, len("+PONG\r\n"))
	_, err = io.ReadFull(conn, reply)
	return conn, err == nil && string(reply) == "+PONG\r\n"
}
