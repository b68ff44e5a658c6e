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
type testWallClock struct{ path string }

// newTestWallClock makes the wall clock of the relays that are started with this environment.
func newTestWallClock(t *testing.T, env map[string]string) *testWallClock {
	t.Helper()
	c := &testWallClock{path: filepath.Join(t.TempDir(), "wall")}
	env[wallClockEnv] = c.path
	return c
}

// step sets the wall clock to differ by this much from the machine's. The file changes at one moment.
func (c *testWallClock) step(t *testing.T, by time.Duration) {
	t.Helper()
	next := c.path + ".next"
	if err := os.WriteFile(next, []byte(strconv.FormatInt(by.Milliseconds(), 10)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, c.path); err != nil {
		t.Fatal(err)
	}
}

// testMessage is a message that a test has handed in.
type testMessage struct {
	id       string
	sentAt   time.Time
	deadline time.Duration
}

// finalAnswer is what a test has seen of a message's end.
type finalAnswer struct {
	id       string
	endpoint *fakeEndpoint // nil where none may ever be called
	calls    int           // by the time of the answer
	notified bool          // the answer was a notice; otherwise the message was delivered
	outcome  string
}

// steppedRelay is a relay in a process of its own, with a wall clock that can be stepped.
type steppedRelay struct {
	t         *testing.T
	discovery *fakeDiscovery
	env       map[string]string
	socket    *os.File
	clock     *testWallClock
	relay     *child
	client    *testClient
	answers   []finalAnswer
}

// newSteppedRelay makes a relay that is not started yet. Its list has these members and a destination without a
// usable endpoint.
func newSteppedRelay(t *testing.T, members ...Member) *steppedRelay {
	t.Helper()
	unserved := Member{ID: "unserved", HostPort: "127.0.0.1:1", Locality: "a", Flavor: "k", Cell: unservedDest, Phase: phaseDraining}
	disc := newFakeDiscovery(t, append(members, unserved)...)
	held := newReplaceableRelay(t, disc) // the port stays ours while no process runs
	env := held.env
	rewrite(t, env, replaceFirst(`"classes":[`, `"classes":[`+shortWindowClass+","+restartWindowClass+","))
	return &steppedRelay{t: t, discovery: disc, env: env, socket: held.socket, clock: newTestWallClock(t, env)}
}

// start starts the relay, or the next one after a kill, and connects to it.
func (r *steppedRelay) start() {
	r.t.Helper()
	r.relay = launchChild(r.t, r.env, r.socket)
	r.relay.ready(r.t)
	r.connect()
}

func (r *steppedRelay) connect() {
	r.t.Helper()
	r.client = dialClient(r.t, r.env["ROUTER_LISTEN"])
}

// restartStepped kills the relay, steps the clock while no process runs, and starts the next one.
func (r *steppedRelay) restartStepped(step time.Duration) {
	r.t.Helper()
	r.relay.kill()
	r.clock.step(r.t, step)
	r.start()
}

// messageFields are the fields of a message, with a key in each keyed class.
func messageFields(class string, deadline time.Duration, dest int) string {
	text := fields(class, int(deadline.Milliseconds()), dest)
	if class == "brief" || class == "medium" {
		text += ",k=5c0f6e1a2b3d4c59"
	}
	return text
}

// put hands a message in, which has to be taken on.
func (r *steppedRelay) put(id, class string, deadline time.Duration, dest int) testMessage {
	r.t.Helper()
	m := testMessage{id: id, sentAt: time.Now(), deadline: deadline}
	if got := r.client.put(id, messageFields(class, deadline, dest), []byte("body of "+id)); got != "+OK" {
		r.t.Errorf("%s: answered %q when handed in", id, got)
	}
	return m
}

// within waits for a condition for some time and reports whether it came true.
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

// expectNotice waits for a message's notice, which has to come at its deadline.
func (r *steppedRelay) expectNotice(m testMessage, endpoint *fakeEndpoint) {
	r.t.Helper()
	r.awaitNotice(m, endpoint)
	at, ok := r.discovery.noticedAt(m.id)
	if !ok {
		return // told already
	}
	if after := at.Sub(m.sentAt); after < m.deadline/10*noticeEarlyTenth {
		r.t.Errorf("%s: ended by a notice after %v, its time is %v", m.id, after.Round(time.Millisecond), m.deadline)
	}
}

// awaitNotice waits for a message's notice, which may come at any moment up to its deadline.
func (r *steppedRelay) awaitNotice(m testMessage, endpoint *fakeEndpoint) {
	r.t.Helper()
	var got notice
	var ok bool
	told := func() bool {
		got, ok = r.discovery.notice(m.id)
		return ok
	}
	if !within(time.Until(m.sentAt.Add(m.deadline+noticeLate)), told) && !r.toldWhileStarved(told) {
		r.t.Errorf("%s: no notice within %v, its time is %v", m.id, m.deadline+noticeLate, m.deadline)
		return
	}
	answer := finalAnswer{id: m.id, endpoint: endpoint, notified: true, outcome: got.Outcome}
	if endpoint != nil {
		answer.calls = endpoint.count(m.id)
	}
	r.answers = append(r.answers, answer)
}

// toldWhileStarved reports whether something is told before the relay has answered noticePings PINGs.
func (r *steppedRelay) toldWhileStarved(told func() bool) bool {
	r.t.Helper()
	for range noticePings {
		pingOnce(r.t, r.env["ROUTER_LISTEN"])
		time.Sleep(2 * time.Millisecond)
		if told() {
			return true
		}
	}
	return false
}

// expectDelivered waits until a message has arrived in so many calls, the last of which delivers it.
func (r *steppedRelay) expectDelivered(m testMessage, endpoint *fakeEndpoint, calls int) {
	r.t.Helper()
	if !within(deliveryWait, func() bool { return endpoint.count(m.id) >= calls }) {
		got, ended := r.discovery.notice(m.id)
		r.t.Errorf("%s: %d calls within %v, want %d; ended by a notice: %v %s", m.id, endpoint.count(m.id), deliveryWait, calls, ended, got.Outcome)
		return
	}
	r.answers = append(r.answers, finalAnswer{id: m.id, endpoint: endpoint, calls: calls})
}

// verify checks that each final answer that was seen is the only one, and that nothing was forwarded after it.
func (r *steppedRelay) verify() {
	r.t.Helper()
	time.Sleep(quietTime)
	for _, answer := range r.answers {
		got, notified := r.discovery.notice(answer.id)
		if notified != answer.notified || got.Outcome != answer.outcome {
			r.t.Errorf("%s: final answers %+v and a notice: %v %s", answer.id, answer.outcome, notified, got.Outcome)
		}
		if answer.endpoint == nil {
			continue
		}
		if calls := answer.endpoint.count(answer.id); calls != answer.calls {
			r.t.Errorf("%s: %d calls at its final answer, %d later", answer.id, answer.calls, calls)
		}
	}
}

// replaceMember puts a member in the place of the one with its id, in the list that is fetched.
func (d *fakeDiscovery) replaceMember(member Member) {
	d.set(func(d *fakeDiscovery) {
		for i := range d.list.Members {
			if d.list.Members[i].ID == member.ID {
				d.list.Members[i] = member
			}
		}
		d.list.Revision++
	})
}

// logHolds reports whether the relay's log has this text.
func (r *steppedRelay) logHolds(text string) bool { return r.logMatches(regexp.QuoteMeta(text)) }

// logMatches reports whether the relay's log has text that matches this pattern.
func (r *steppedRelay) logMatches(pattern string) bool {
	have, err := os.ReadFile(filepath.Join(r.env["ROUTER_STATE"], walFileName))
	return err == nil && regexp.MustCompile(pattern).Match(have)
}

// fullBacklog is an endpoint that completes no connection until it is opened.
type fullBacklog struct {
	*fakeEndpoint
	server *httptest.Server
	fill   []net.Conn
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
		b.fill = append(b.fill, conn)
	}
}

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

func (b *fullBacklog) open(t *testing.T) {
	t.Helper()
	b.setBacklog(t, 128)
	for _, conn := range b.fill {
		conn.Close()
	}
	b.server.Start()
}

// launchOnDoor starts a process with an operators' door of its own.
func (r *steppedRelay) launchOnDoor() *child {
	r.t.Helper()
	env := maps.Clone(r.env)
	env["ROUTER_OPS"] = freeAddr(r.t)
	r.relay = launchChild(r.t, env, r.socket)
	return r.relay
}

// startOnDoor does the same and waits until it serves.
func (r *steppedRelay) startOnDoor() {
	r.t.Helper()
	waitForOperatorPort(r.t, r.launchOnDoor().env["ROUTER_OPS"])
}

// callTimes keeps when calls came.
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

// awaitMember waits until the relay knows a member of a destination that no list named before.
func (r *steppedRelay) awaitMember(dest int) {
	r.t.Helper()
	waitFor(r.t, "the member", func() bool {
		id := fmt.Sprintf("marker-%d", seq.Add(1))
		return r.client.put(id, messageFields("once", longDeadline, dest), nil) == "+OK"
	})
}

// servesOnDoor reports whether the process with this operators' door takes clients.
func servesOnDoor(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false // it has ended
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(deliveryWait))
	io.WriteString(conn, "READY\n")
	answer, _ := io.ReadAll(conn)
	return strings.HasPrefix(string(answer), "ACK")
}

// pingOnce opens a connection that is closed with the test, and reports whether its PING is answered.
func pingOnce(t *testing.T, addr string) (conn net.Conn, served bool) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(deliveryWait))
	io.WriteString(conn, pingCommand)
	answer := make([]byte, len("+PONG\r\n"))
	_, err = io.ReadFull(conn, answer)
	return conn, err == nil && string(answer) == "+PONG\r\n"
}
