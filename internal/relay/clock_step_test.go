package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards every term of a relay against steps of the machine's wall clock. An administrator or a time service
// may set that clock forward or back at any moment, while the monotonic clock runs on. Each test steps the wall
// clock of a relay in a process of its own at one moment, and checks that each message gets one final answer
// in its time, that nothing is forwarded after that, and that nothing is given up early or repeated past its window.

// wallClockSteps are the steps that each case is tested with; the first one is the control.
var wallClockSteps = []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

const (
	shortDeadline = 2 * time.Second         // of messages that run out of time while they are watched
	spareDeadline = 3500 * time.Millisecond // the same where a process is started meanwhile
	longDeadline  = 20 * time.Second        // of messages that must not run out of time
	// A notice may come this much after the deadline, and not before this part of it. Both are under what the
	// shortest step moves. A relay that is starved of processor time may tell it later, but before it has answered
	// so many PINGs after that.
	noticeLate       = 1500 * time.Millisecond
	noticePings      = 20
	noticeEarlyTenth = 8
	// deliveryWait is how long something may take that is due at once.
	deliveryWait = 6 * time.Second
	quietTime    = 300 * time.Millisecond // in which nothing more may be forwarded
	trialsMost   = 5                      // of what a starved process makes void
)

// Destinations of the tests.
const (
	servedDest   = 1
	unservedDest = 2 // its only endpoint is draining
	otherDest    = 3
	busyDest     = 100 // and those after it
)

// shortWindow is for how long repeats of class brief are dropped.
const shortWindow = time.Second

// shortWindowClass is a keyed class with a window of shortWindow.
const shortWindowClass = `{"deadline_us":20000000,"dedup_window_us":1000000,"group":"all","late_worth":0.3,"name":"brief","repeat":"dedup","target_us":3000000,"worth":1}`

// restartWindow is the same for class medium: a restart fits into it, and a step of the clock besides does not.
const restartWindow = 3500 * time.Millisecond

// restartWindowClass is a keyed class with a window of restartWindow.
const restartWindowClass = `{"deadline_us":20000000,"dedup_window_us":3500000,"group":"all","late_worth":0.3,"name":"medium","repeat":"dedup","target_us":3000000,"worth":1}`

func TestWallClockStep(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, step time.Duration)
	}{
		{"before_any_request", stepBeforeAnyRequest},
		{"waiting_for_log", stepWaitingForLog},
		{"half_written_command", stepHalfWrittenCommand},
		{"waiting_for_slot", stepWaitingForSlot},
		{"waiting_for_connection", stepWaitingForConnection},
		{"waiting_for_answer", stepWaitingForAnswer},
		{"waiting_for_notice", stepWaitingForNotice},
		{"keyed_retry", stepKeyedRetry},
		{"keyed_retry_connecting", stepKeyedRetryConnecting},
		{"restart_untried", stepRestartUntried},
		{"restart_keyed_in_window", stepRestartKeyedInWindow},
		{"restart_keyed_past_window", stepRestartKeyedPastWindow},
		{"restart_notice_due", stepRestartNoticeDue},
		{"restart_ended", stepRestartEnded},
		{"handover", stepHandover},
		{"discovery_outage", stepDiscoveryOutage},
		{"retry_after_wait", stepRetryAfterWait},
		{"drain", stepDrain},
		{"slow_start", stepSlowStart},
		{"restart_outage", stepRestartOutage},
		{"restart_slow_start", stepRestartSlowStart},
		{"member_up_since", stepMemberUpSince},
		{"client_eviction", stepClientEviction},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			for _, step := range wallClockSteps {
				t.Run(stepName(step), func(t *testing.T) {
					t.Parallel()
					testCase.run(t, step)
				})
			}
		})
	}
}

// stepName is a step as it stands in a test's name.
func stepName(step time.Duration) string {
	unit, size := "s", time.Second
	if step%time.Hour == 0 && step != 0 {
		unit, size = "h", time.Hour
	}
	if step == 0 {
		return "0s"
	}
	return fmt.Sprintf("%+d%s", int(step/size), unit)
}

func stepBeforeAnyRequest(t *testing.T, step time.Duration) {
	served := newFakeEndpoint(t, nil)
	r := newSteppedRelay(t, served.member("s-1", servedDest))
	r.start()
	r.clock.step(t, step)
	r.expectDelivered(r.put("delivered", "once", longDeadline, servedDest), served, 1)
	r.expectNotice(r.put("unserved", "plain", shortDeadline, unservedDest), nil)
	r.verify()
}

// The clock is stepped while messages are on their way to the log: about half of them are stamped before it.
func stepWaitingForLog(t *testing.T, step time.Duration) {
	const messages = 10
	r := newSteppedRelay(t)
	r.start()
	clients := make([]*testClient, messages)
	for i := range clients {
		clients[i] = dialClient(t, r.env["ROUTER_LISTEN"])
	}
	var sent []testMessage
	for i, client := range clients {
		m := testMessage{id: fmt.Sprintf("m%d", i), sentAt: time.Now(), deadline: shortDeadline}
		io.WriteString(client, putText(m.id, messageFields("plain", shortDeadline, unservedDest), nil))
		sent = append(sent, m)
		if i == messages/2 {
			r.clock.step(t, step)
		}
	}
	for i, client := range clients {
		if got := client.line(); got != "+OK" {
			t.Errorf("%s: answered %q when handed in", sent[i].id, got)
		}
	}
	for _, m := range sent {
		r.expectNotice(m, nil)
	}
	r.verify()
}

func stepHalfWrittenCommand(t *testing.T, step time.Duration) {
	r := newSteppedRelay(t)
	r.start()
	text := putText("half", messageFields("plain", shortDeadline, unservedDest), nil)
	io.WriteString(r.client, text[:len(text)/2])
	time.Sleep(50 * time.Millisecond) // for the relay to read it; too short a wait only tests less
	r.clock.step(t, step)
	m := testMessage{id: "half", sentAt: time.Now(), deadline: shortDeadline}
	io.WriteString(r.client, text[len(text)/2:])
	if got := r.client.line(); got != "+OK" {
		t.Errorf("half: answered %q when handed in", got)
	}
	r.expectNotice(m, nil)
	r.verify()
}

func stepWaitingForSlot(t *testing.T, step time.Duration) {
	const slots = 16 // calls_out of testSettings
	served, gate := newFakeEndpoint(t, nil), newResponseGate()
	busy := newFakeEndpoint(t, gate.respond)
	members := []Member{served.member("s-1", servedDest)}
	for i := range slots {
		members = append(members, busy.member(fmt.Sprintf("busy-%d", i), busyDest+i))
	}
	r := newSteppedRelay(t, members...)
	r.start()
	var out []testMessage
	for i := range slots {
		out = append(out, r.put(fmt.Sprintf("out-%d", i), "once", longDeadline, busyDest+i))
	}
	waitFor(t, "calls in all slots", func() bool { return gate.arrived.Load() == slots })
	short := r.put("short", "plain", shortDeadline, servedDest)
	long := r.put("long", "plain", longDeadline, servedDest)
	r.clock.step(t, step)
	r.expectNotice(short, served)
	close(gate.open)
	r.expectDelivered(long, served, 1)
	for _, m := range out {
		r.expectDelivered(m, busy, 1)
	}
	r.verify()
}

func stepWaitingForConnection(t *testing.T, step time.Duration) {
	endpoint := newFullBacklog(t)
	member := endpoint.member("s-1", servedDest)
	member.HostPort = endpoint.server.Listener.Addr().String()
	r := newSteppedRelay(t, member)
	r.start()
	short := r.put("short", "plain", shortDeadline, servedDest)
	long := r.put("long", "plain", longDeadline, servedDest)
	time.Sleep(100 * time.Millisecond) // for the connections to be begun; too short a wait only tests less
	r.clock.step(t, step)
	r.expectNotice(short, endpoint.fakeEndpoint)
	endpoint.open(t)
	r.expectDelivered(long, endpoint.fakeEndpoint, 1)
	r.verify()
}

func stepWaitingForAnswer(t *testing.T, step time.Duration) {
	gate := newResponseGate()
	slow, silent := newFakeEndpoint(t, gate.respond), newFakeEndpoint(t, hang)
	r := newSteppedRelay(t, slow.member("s-1", servedDest), silent.member("s-2", otherDest))
	r.start()
	out := r.put("out", "once", longDeadline, servedDest)
	short := r.put("short", "plain", shortDeadline, otherDest)
	waitFor(t, "the calls", func() bool { return slow.count("out") == 1 && silent.count("short") >= 1 })
	r.clock.step(t, step)
	r.expectNotice(short, silent)
	close(gate.open)
	r.expectDelivered(out, slow, 1)
	r.verify()
}

func stepWaitingForNotice(t *testing.T, step time.Duration) {
	// With a wait told each time, the attempts are not used up before the deadline.
	refusing := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Retry-After", "0.7")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	r := newSteppedRelay(t, refusing.member("s-1", servedDest))
	r.start()
	unserved := r.put("unserved", "plain", shortDeadline, unservedDest)
	refused := r.put("refused", "plain", shortDeadline, servedDest)
	r.clock.step(t, step)
	r.expectNotice(unserved, nil)
	r.expectNotice(refused, refusing)
	r.verify()
}

// An attempt that may have run is repeated inside its window and not past it, in a process that runs on.
func stepKeyedRetry(t *testing.T, step time.Duration) {
	gate := newResponseGate()
	faultAfter := func(w http.ResponseWriter, req *http.Request, n int) {
		if n > 1 {
			return
		}
		gate.respond(w, req, n)
		w.WriteHeader(http.StatusInternalServerError)
	}
	inWindow, pastWindow := newFakeEndpoint(t, faultAfter), newFakeEndpoint(t, faultAfter)
	r := newSteppedRelay(t, inWindow.member("s-1", servedDest), pastWindow.member("s-2", otherDest))
	r.start()
	repeated := r.put("repeated", "keyed", longDeadline, servedDest)
	over := r.put("over", "brief", spareDeadline, otherDest)
	waitFor(t, "the first calls", func() bool { return gate.arrived.Load() == 2 })
	began := time.Now()
	r.clock.step(t, step)
	time.Sleep(time.Until(began.Add(shortWindow + 200*time.Millisecond)))
	close(gate.open)
	r.expectDelivered(repeated, inWindow, 2)
	r.awaitNotice(over, pastWindow)
	if calls := pastWindow.count("over"); calls != 1 {
		t.Errorf("over: %d calls, its window was over before the second", calls)
	}
	r.verify()
}

// The clock is stepped while the second attempt waits for its connection, which comes up inside the window of
// one message and past that of the other.
func stepKeyedRetryConnecting(t *testing.T, step time.Duration) {
	gate := newResponseGate()
	first := newFakeEndpoint(t, func(w http.ResponseWriter, req *http.Request, n int) {
		gate.respond(w, req, n)
		w.WriteHeader(http.StatusInternalServerError)
	})
	marker, moved := newFakeEndpoint(t, nil), []*fullBacklog{newFullBacklog(t), newFullBacklog(t)}
	r := newSteppedRelay(t, first.member("s-0", servedDest), first.member("s-1", otherDest))
	r.start()
	repeated := r.put("repeated", "keyed", longDeadline, servedDest)
	over := r.put("over", "brief", spareDeadline, otherDest)
	waitFor(t, "the first calls", func() bool { return gate.arrived.Load() == 2 })
	began := time.Now()
	for i, dest := range []int{servedDest, otherDest} { // the endpoints move to where no connection comes up
		member := first.member(fmt.Sprintf("s-%d", i), dest)
		member.HostPort = moved[i].server.Listener.Addr().String()
		r.discovery.say(t, change(int64(2+i), member))
	}
	r.discovery.say(t, change(4, marker.member("s-2", busyDest)))
	r.awaitMember(busyDest)
	// The system tries a connection again a second after its beginning. What begins here comes up shortly after
	// the end of the short window; beginning later, or opening the endpoints later, only tests less.
	time.Sleep(200 * time.Millisecond)
	close(gate.open)
	time.Sleep(100 * time.Millisecond) // for the connections to be begun
	r.clock.step(t, step)
	time.Sleep(time.Until(began.Add(shortWindow)))
	for _, endpoint := range moved {
		endpoint.open(t)
	}
	r.expectDelivered(repeated, moved[0].fakeEndpoint, 1)
	r.awaitNotice(over, moved[1].fakeEndpoint)
	if calls := moved[1].count("over"); calls != 0 {
		t.Errorf("over: %d repeats, its window was over", calls)
	}
	r.verify()
}

func stepRestartUntried(t *testing.T, step time.Duration) {
	served := newFakeEndpoint(t, nil)
	later := served.member("s-1", otherDest)
	later.Phase = phaseDraining
	r := newSteppedRelay(t, later)
	r.start()
	short := r.put("short", "plain", spareDeadline, unservedDest)
	long := r.put("long", "once", longDeadline, otherDest)
	r.relay.kill()
	r.discovery.replaceMember(served.member("s-1", otherDest))
	r.restartStepped(step)
	r.expectDelivered(long, served, 1)
	r.expectNotice(short, nil)
	r.verify()
}

func stepRestartKeyedInWindow(t *testing.T, step time.Duration) {
	untilValid(t, func() bool { return restartInWindow(t, step) })
}

// untilValid makes a trial until it is valid: where a process was starved for long, what the trial is to show
// does not come about.
func untilValid(t *testing.T, trial func() (valid bool)) {
	t.Helper()
	for range trialsMost {
		if trial() {
			return
		}
	}
	t.Fatalf("no valid one among %d trials: the machine is too slow", trialsMost)
}

// restartInWindow is not valid where the restart took so long that the shorter window was over.
func restartInWindow(t *testing.T, step time.Duration) (valid bool) {
	endpoint := newFakeEndpoint(t, hang)
	r := newSteppedRelay(t, endpoint.member("s-1", servedDest), endpoint.member("s-2", otherDest))
	r.start()
	medium := r.put("medium", "medium", longDeadline, servedDest)
	keyed := r.put("keyed", "keyed", longDeadline, otherDest)
	waitFor(t, "the calls", func() bool { return endpoint.count("medium") == 1 && endpoint.count("keyed") == 1 })
	called := time.Now()
	r.relay.kill()
	endpoint.then(nil)
	// The shorter window has 2 s left, and with a step of 2 s none.
	time.Sleep(time.Until(called.Add(restartWindow - 2*time.Second)))
	r.restartStepped(step)
	if time.Since(called) > restartWindow-quietTime {
		return false
	}
	r.expectDelivered(medium, endpoint, 2)
	r.expectDelivered(keyed, endpoint, 2)
	r.verify()
	return true
}

func stepRestartKeyedPastWindow(t *testing.T, step time.Duration) {
	endpoint := newFakeEndpoint(t, hang)
	r := newSteppedRelay(t, endpoint.member("s-1", servedDest))
	r.start()
	m := r.put("over", "brief", spareDeadline, servedDest)
	waitFor(t, "the call", func() bool { return endpoint.count("over") == 1 })
	called := time.Now()
	r.relay.kill()
	endpoint.then(nil)
	time.Sleep(time.Until(called.Add(shortWindow + 100*time.Millisecond)))
	r.restartStepped(step)
	r.awaitNotice(m, endpoint)
	if calls := endpoint.count("over"); calls != 1 {
		t.Errorf("over: %d calls, its window was over before the second", calls)
	}
	r.verify()
}

func stepRestartNoticeDue(t *testing.T, step time.Duration) {
	served := newFakeEndpoint(t, nil)
	later := served.member("s-1", otherDest)
	later.Phase = phaseDraining
	r := newSteppedRelay(t, later)
	r.discovery.set(func(d *fakeDiscovery) { d.answer = http.StatusInternalServerError })
	r.start()
	m := r.put("due", "once", 500*time.Millisecond, otherDest)
	waitFor(t, "its ending in the log", func() bool { return r.logHolds(`"kind":"ending","id":"due"`) })
	r.relay.kill()
	r.discovery.set(func(d *fakeDiscovery) { d.answer = http.StatusNoContent })
	r.restartStepped(step)
	started := time.Now()
	m.deadline += time.Since(m.sentAt) // it is due at once
	r.awaitNotice(m, served)
	waitFor(t, "its end in the log", func() bool { return r.logHolds(`"kind":"end","id":"due"`) })
	t.Logf("told %v after the start", time.Since(started))
	// The id stays known, through one more start too.
	r.relay.kill()
	r.discovery.replaceMember(served.member("s-1", otherDest))
	r.restartStepped(step)
	if got := r.client.put("due", messageFields("once", longDeadline, otherDest), nil); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("due: handed in again after its end, answered %q", got)
	}
	r.expectDelivered(r.put("marker", "once", longDeadline, otherDest), served, 1)
	r.verify()
}

func stepRestartEnded(t *testing.T, step time.Duration) {
	served := newFakeEndpoint(t, nil)
	r := newSteppedRelay(t, served.member("s-1", servedDest))
	r.start()
	r.expectDelivered(r.put("ended", "once", longDeadline, servedDest), served, 1)
	waitFor(t, "its end in the log", func() bool { return r.logHolds(`"kind":"end","id":"ended"`) })
	r.restartStepped(step)
	if got := r.client.put("ended", messageFields("once", longDeadline, servedDest), nil); got != "+OK" {
		t.Errorf("ended: handed in again, answered %q", got)
	}
	r.expectDelivered(r.put("marker", "once", longDeadline, servedDest), served, 1)
	r.verify()
}

// The clock is stepped while a new process takes over from the old one.
func stepHandover(t *testing.T, step time.Duration) {
	untilValid(t, func() bool { return handoverTrial(t, step) })
}

// handoverTrial is not valid where the old process did not answer within helloTimeout, so that nothing was handed over.
func handoverTrial(t *testing.T, step time.Duration) (valid bool) {
	gate := newResponseGate()
	served, slow := newFakeEndpoint(t, nil), newFakeEndpoint(t, gate.respond)
	r := newSteppedRelay(t, served.member("s-1", servedDest), slow.member("s-2", otherDest))
	r.startOnDoor()
	r.connect()
	out := r.put("out", "once", longDeadline, otherDest)
	waitFor(t, "the call", func() bool { return gate.arrived.Load() == 1 })
	held := r.put("held", "plain", spareDeadline, unservedDest)
	half, text := r.client, putText("half", messageFields("plain", shortDeadline, unservedDest), nil)
	io.WriteString(half, text[:len(text)/2])
	old := r.relay
	next := r.launchOnDoor()
	r.clock.step(t, step)
	waitForOperatorPort(t, next.env["ROUTER_OPS"])
	if servesOnDoor(old.env["ROUTER_OPS"]) {
		old.kill()
		next.kill()
		return false
	}
	r.connect()
	after := r.put("after", "plain", shortDeadline, unservedDest)
	passed := testMessage{id: "half", sentAt: time.Now(), deadline: shortDeadline}
	io.WriteString(half, text[len(text)/2:])
	if got := half.line(); got != "+OK" {
		t.Errorf("half: answered %q when handed in", got)
	}
	r.expectDelivered(r.put("fresh", "once", longDeadline, servedDest), served, 1)
	close(gate.open)
	r.expectDelivered(out, slow, 1)
	old.waitExit(t)
	r.expectNotice(after, nil)
	r.expectNotice(passed, nil)
	r.expectNotice(held, nil)
	r.verify()
	return true
}

func stepDiscoveryOutage(t *testing.T, step time.Duration) {
	served := newFakeEndpoint(t, nil)
	r := newSteppedRelay(t, served.member("s-1", servedDest))
	r.start()
	r.discovery.set(func(d *fakeDiscovery) { d.silent = true })
	r.clock.step(t, step)
	r.expectDelivered(r.put("delivered", "once", longDeadline, servedDest), served, 1)
	r.expectNotice(r.put("unserved", "plain", shortDeadline, unservedDest), nil)
	waitFor(t, "a request in the outage", func() bool {
		r.discovery.mu.Lock()
		defer r.discovery.mu.Unlock()
		return r.discovery.unheard > 0
	})
	late := r.put("late", "once", longDeadline, unservedDest)
	r.discovery.set(func(d *fakeDiscovery) {
		d.silent = false
		d.list.Members = append(d.list.Members, served.member("s-2", unservedDest))
		d.list.Revision++
		for _, lines := range d.lines { // watches of before the outage end
			close(lines)
		}
		d.lines = nil
	})
	r.discovery.say(t, change(2, served.member("s-2", unservedDest)))
	r.expectDelivered(late, served, 1)
	r.verify()
}

func stepRetryAfterWait(t *testing.T, step time.Duration) {
	const wait = 1500 * time.Millisecond
	var calls callTimes
	endpoint := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request, n int) {
		calls.add()
		if n == 1 {
			w.Header().Set("Retry-After", "1.5")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
	r := newSteppedRelay(t, endpoint.member("s-1", servedDest))
	r.start()
	m := r.put("told", "plain", longDeadline, servedDest)
	waitFor(t, "the first call", func() bool { return len(calls.all()) == 1 })
	time.Sleep(50 * time.Millisecond) // for its answer to be read; too short a wait only tests less
	r.clock.step(t, step)
	after := r.put("after", "plain", longDeadline, servedDest)
	r.expectDelivered(m, endpoint, 2)
	r.expectDelivered(after, endpoint, 1)
	at := calls.all()
	if len(at) < 2 {
		return // told above
	}
	if gap := at[1].Sub(at[0]); gap < wait || gap > wait+2*time.Second {
		t.Errorf("the second call came %v after the first, a wait of %v was told", gap, wait)
	}
	r.verify()
}

func stepDrain(t *testing.T, step time.Duration) {
	const messages = 10
	stays, leaves := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	leaving := leaves.member("s-2", servedDest)
	r := newSteppedRelay(t, stays.member("s-1", servedDest), leaving)
	r.start()
	leaving.Phase = phaseDraining
	r.discovery.say(t, change(2, leaving))
	// The line and what follows on the same watch come in order: the member of another destination is known
	// only after the drain.
	marker := newFakeEndpoint(t, nil)
	r.discovery.say(t, change(3, marker.member("s-3", otherDest)))
	r.awaitMember(otherDest)
	r.clock.step(t, step)
	for i := range messages {
		r.expectDelivered(r.put(fmt.Sprintf("m%d", i), "once", longDeadline, servedDest), stays, 1)
	}
	for i := range messages {
		if calls := leaves.count(fmt.Sprintf("m%d", i)); calls != 0 {
			t.Errorf("m%d: %d calls to an endpoint that drains", i, calls)
		}
	}
	r.verify()
}

func stepMemberUpSince(t *testing.T, step time.Duration) {
	served := newFakeEndpoint(t, nil)
	r := newSteppedRelay(t)
	r.start()
	r.clock.step(t, step)
	line := fmt.Sprintf(`{"revision":2,"members":[{"up_since_ms":%d,"id":"s-1","host_port":%q,"locality":"a","flavor":"k","cell":%d,"phase":"up","size":1000}]}`,
		time.Now().Add(step).UnixMilli(), served.addr(), servedDest)
	r.discovery.say(t, line)
	r.awaitMember(servedDest)
	for i := range 10 {
		r.expectDelivered(r.put(fmt.Sprintf("once-%d", i), "once", longDeadline, servedDest), served, 1)
	}
	r.verify()
}

// A destination that takes slowStartRate calls a second gets slowStartRate of them in a second where it is sound,
// after a first burst, and about a third of that in its slow start.
const (
	slowStartRate     = 40
	slowStartWatch    = 1500 * time.Millisecond
	slowStartMost     = 40
	slowStartMessages = 90 // fewer than the relay holds
)

// newRelayInOutage is a relay whose only endpoint has failed for a while.
func newRelayInOutage(t *testing.T) (*steppedRelay, *fakeEndpoint) {
	t.Helper()
	endpoint := newFakeEndpoint(t, status(http.StatusInternalServerError))
	member := endpoint.member("s-1", servedDest)
	member.Size = slowStartRate
	r := newSteppedRelay(t, member)
	r.start()
	r.put("first", "plain", longDeadline, servedDest)
	if !within(deliveryWait, func() bool { return r.logMatches(`"kind":"outage","id":"s-1"[^\n]*"Suspected":false`) }) {
		t.Fatal("no outage in the log")
	}
	return r, endpoint
}

// putSlowStart hands in more messages than the endpoint gets in its slow start, and counts the calls.
func (r *steppedRelay) putSlowStart(endpoint *fakeEndpoint) *callTimes {
	r.t.Helper()
	calls := &callTimes{}
	endpoint.then(func(http.ResponseWriter, *http.Request, int) { calls.add() })
	for i := range slowStartMessages {
		r.put(fmt.Sprintf("slow-%d", i), "plain", longDeadline, servedDest)
	}
	return calls
}

// expectSlowStart checks how many calls come from the first one on.
func (r *steppedRelay) expectSlowStart(calls *callTimes) {
	r.t.Helper()
	if !within(deliveryWait, func() bool { return len(calls.all()) > 0 }) {
		r.t.Errorf("no call within %v after the outage", deliveryWait)
		return
	}
	first := calls.all()[0]
	time.Sleep(time.Until(first.Add(slowStartWatch)))
	n := 0
	for _, at := range calls.all() {
		if at.Sub(first) <= slowStartWatch {
			n++
		}
	}
	if n > slowStartMost {
		r.t.Errorf("%d calls in the first %v, a slow start has at most %d", n, slowStartWatch, slowStartMost)
	}
}

func stepSlowStart(t *testing.T, step time.Duration) {
	r, endpoint := newRelayInOutage(t)
	r.clock.step(t, step)
	r.expectSlowStart(r.putSlowStart(endpoint))
}

// The relay is killed in the outage, and learns of its end after the restart.
func stepRestartOutage(t *testing.T, step time.Duration) {
	r, endpoint := newRelayInOutage(t)
	r.restartStepped(step)
	r.expectSlowStart(r.putSlowStart(endpoint))
}

// The relay is killed while the slow start lasts.
func stepRestartSlowStart(t *testing.T, step time.Duration) {
	r, endpoint := newRelayInOutage(t)
	endpoint.then(nil)
	r.expectDelivered(r.put("back", "plain", longDeadline, servedDest), endpoint, 1)
	if !within(deliveryWait, func() bool { return r.logMatches(`"kind":"outage","id":"s-1"[^\n]*"GoodAt":-?[1-9]`) }) {
		t.Fatal("no end of the outage in the log")
	}
	r.restartStepped(step)
	r.expectSlowStart(r.putSlowStart(endpoint))
}

// Bytes that came just now keep a connection its place, and bytes that came long ago do not, whatever the wall
// clock says between.
func stepClientEviction(t *testing.T, step time.Duration) {
	r := newSteppedRelay(t)
	rewrite(t, r.env, replaceFirst(`"sockets":1024`, `"sockets":64`))
	r.start()
	r.client.Close()
	for _, stalled := range []bool{false, true} {
		name := map[bool]string{false: "being written", true: "stalled"}[stalled]
		untilValid(t, func() bool {
			served, valid := r.evictionTrial(step, stalled)
			if valid && served != stalled {
				t.Errorf("a new connection where all others are %s: served: %v, want %v", name, served, stalled)
			}
			return valid
		})
	}
}

// evictionTrial fills all places with half-written commands, steps the clock and reports whether a new
// connection is served. It is not valid where writing took so long that the commands had stalled meanwhile.
func (r *steppedRelay) evictionTrial(step time.Duration, stalled bool) (served, valid bool) {
	r.t.Helper()
	const (
		settle     = 100 * time.Millisecond // for the relay to read what was written
		freshFor   = commandStallTimeout - 50*time.Millisecond
		unfinished = commandTimeout - 500*time.Millisecond
	)
	r.clock.step(r.t, 0)
	cfg, err := LoadConfig(func(key string) string { return r.env[key] })
	if err != nil {
		r.t.Fatal(err)
	}
	most, _ := cfg.socketBudget()
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			conn.Close()
		}
	}()
	startedAt := time.Now()
	for range most {
		var conn net.Conn
		if !within(deliveryWait, func() bool { // the places of an earlier trial come free
			var served bool
			conn, served = pingOnce(r.t, r.env["ROUTER_LISTEN"])
			return served
		}) {
			r.t.Fatalf("%d of %d places to be had", len(open), most)
		}
		open = append(open, conn)
		io.WriteString(conn, pingCommand[:len(pingCommand)/2])
	}
	time.Sleep(settle)
	writtenAt := time.Now()
	for _, conn := range open {
		io.WriteString(conn, pingCommand[len(pingCommand)/2:len(pingCommand)/2+1])
	}
	time.Sleep(settle)
	if stalled {
		time.Sleep(commandStallTimeout)
	}
	r.clock.step(r.t, step)
	_, served = pingOnce(r.t, r.env["ROUTER_LISTEN"])
	valid = time.Since(startedAt) < unfinished && (stalled || time.Since(writtenAt) < freshFor)
	return served, valid
}
