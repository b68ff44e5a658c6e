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

// An administrator or a time service may set the machine's wall clock forward or back at any moment, while the
// monotonic clock runs on. Each test here steps the wall clock of a relay in a child process at one moment. It checks
// that each message ends once and in time, that it has no call after its end, and that no message is given up early
// or sent again after its deduplication window.

// wallClockSteps are the steps with which each case is tested; the first one, no step, is the control.
var wallClockSteps = []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

const (
	shortDeadline   = 2 * time.Second         // of messages that a test observes until their deadline
	restartDeadline = 3500 * time.Millisecond // the same where a process is started before the deadline
	longDeadline    = 20 * time.Second        // of messages that must not reach their deadline
	// A notice may arrive up to noticeLateTolerance after the deadline, and not before earliestNoticeTenths tenths of
	// the time to the deadline. Both tolerances are less than the shortest step. A relay that is starved of processor
	// time may send the notice later, but before it has replied to noticePings PINGs after that.
	noticeLateTolerance  = 1500 * time.Millisecond
	noticePings          = 20
	earliestNoticeTenths = 8
	// deliveryTimeout is how long something may take that is due at once.
	deliveryTimeout = 6 * time.Second
	quietPeriod     = 300 * time.Millisecond // after the last end, without any further call
	maxTrials       = 5                      // of a test that is invalid if a process is starved of processor time
)

// Destinations of the tests.
const (
	servedDest    = 1
	unservedDest  = 2 // its only endpoint is draining
	otherDest     = 3
	firstBusyDest = 100 // and the numbers after it
)

// shortWindow is the deduplication window of class brief: how long endpoints recognize a repeated message.
const shortWindow = time.Second

// shortWindowClass is a keyed class with a window of shortWindow.
const shortWindowClass = `{"deadline_us":20000000,"dedup_window_us":1000000,"group":"all","late_worth":0.3,"name":"brief","repeat":"dedup","target_us":3000000,"worth":1}`

// restartWindow is the deduplication window of class medium. A restart fits into it, but not a restart and the
// shortest step of the clock.
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
		{"waiting_for_response", stepWaitingForResponse},
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

// stepName returns a step as it is written in a test's name.
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

// stepBeforeAnyRequest steps the clock after the start, before any client sends a message.
func stepBeforeAnyRequest(t *testing.T, step time.Duration) {
	served := newFakeEndpoint(t, nil)
	r := newSteppedRelay(t, served.member("s-1", servedDest))
	r.start()
	r.clock.step(t, step)
	r.expectDelivered(r.put("delivered", "once", longDeadline, servedDest), served, 1)
	r.expectNotice(r.put("unserved", "plain", shortDeadline, unservedDest), nil)
	r.verify()
}

// stepWaitingForLog steps the clock while messages wait to be logged. About half of the records have their time from
// before the step.
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
		io.WriteString(client, putCommand(m.id, messageFields("plain", shortDeadline, unservedDest), nil))
		sent = append(sent, m)
		if i == messages/2 {
			r.clock.step(t, step)
		}
	}
	for i, client := range clients {
		if got := client.readLine(); got != "+OK" {
			t.Errorf("%s: got reply %q, want +OK", sent[i].id, got)
		}
	}
	for _, m := range sent {
		r.expectNotice(m, nil)
	}
	r.verify()
}

// stepHalfWrittenCommand steps the clock while the relay has read half of a command.
func stepHalfWrittenCommand(t *testing.T, step time.Duration) {
	r := newSteppedRelay(t)
	r.start()
	command := putCommand("half", messageFields("plain", shortDeadline, unservedDest), nil)
	io.WriteString(r.client, command[:len(command)/2])
	time.Sleep(50 * time.Millisecond) // for the relay to read it; a shorter wait would only weaken the test
	r.clock.step(t, step)
	m := testMessage{id: "half", sentAt: time.Now(), deadline: shortDeadline}
	io.WriteString(r.client, command[len(command)/2:])
	if got := r.client.readLine(); got != "+OK" {
		t.Errorf("half: got reply %q, want +OK", got)
	}
	r.expectNotice(m, nil)
	r.verify()
}

// stepWaitingForSlot steps the clock while messages wait because calls in flight take all slots.
func stepWaitingForSlot(t *testing.T, step time.Duration) {
	const slots = 16 // calls_out of testSettings
	served, gate := newFakeEndpoint(t, nil), newResponseGate()
	busy := newFakeEndpoint(t, gate.respond)
	members := []Member{served.member("s-1", servedDest)}
	for i := range slots {
		members = append(members, busy.member(fmt.Sprintf("busy-%d", i), firstBusyDest+i))
	}
	r := newSteppedRelay(t, members...)
	r.start()
	var inFlight []testMessage
	for i := range slots {
		inFlight = append(inFlight, r.put(fmt.Sprintf("in-flight-%d", i), "once", longDeadline, firstBusyDest+i))
	}
	waitFor(t, "calls in all slots", func() bool { return gate.arrived.Load() == slots })
	short := r.put("short", "plain", shortDeadline, servedDest)
	long := r.put("long", "plain", longDeadline, servedDest)
	r.clock.step(t, step)
	r.expectNotice(short, served)
	close(gate.open)
	r.expectDelivered(long, served, 1)
	for _, m := range inFlight {
		r.expectDelivered(m, busy, 1)
	}
	r.verify()
}

// stepWaitingForConnection steps the clock while calls wait for their connections to be established.
func stepWaitingForConnection(t *testing.T, step time.Duration) {
	endpoint := newFullBacklog(t)
	member := endpoint.member("s-1", servedDest)
	member.HostPort = endpoint.server.Listener.Addr().String()
	r := newSteppedRelay(t, member)
	r.start()
	short := r.put("short", "plain", shortDeadline, servedDest)
	long := r.put("long", "plain", longDeadline, servedDest)
	time.Sleep(100 * time.Millisecond) // for the relay to start connecting; a shorter wait would only weaken the test
	r.clock.step(t, step)
	r.expectNotice(short, endpoint.fakeEndpoint)
	endpoint.startAccepting(t)
	r.expectDelivered(long, endpoint.fakeEndpoint, 1)
	r.verify()
}

// stepWaitingForResponse steps the clock while calls wait for their responses.
func stepWaitingForResponse(t *testing.T, step time.Duration) {
	gate := newResponseGate()
	slow, silent := newFakeEndpoint(t, gate.respond), newFakeEndpoint(t, hang)
	r := newSteppedRelay(t, slow.member("s-1", servedDest), silent.member("s-2", otherDest))
	r.start()
	inFlight := r.put("in-flight", "once", longDeadline, servedDest)
	short := r.put("short", "plain", shortDeadline, otherDest)
	waitFor(t, "the calls", func() bool { return slow.callCount("in-flight") == 1 && silent.callCount("short") >= 1 })
	r.clock.step(t, step)
	r.expectNotice(short, silent)
	close(gate.open)
	r.expectDelivered(inFlight, slow, 1)
	r.verify()
}

// stepWaitingForNotice steps the clock while messages that cannot be delivered wait for their deadlines.
func stepWaitingForNotice(t *testing.T, step time.Duration) {
	// Retry-After in each response keeps the attempts from being used up before the deadline.
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

// stepKeyedRetry steps the clock during the first attempt, after which the message may have run. It is sent again
// within its deduplication window, and not after it. The relay is not restarted.
func stepKeyedRetry(t *testing.T, step time.Duration) {
	gate := newResponseGate()
	failFirst := func(w http.ResponseWriter, req *http.Request, n int) {
		if n > 1 {
			return
		}
		gate.respond(w, req, n)
		w.WriteHeader(http.StatusInternalServerError)
	}
	inWindow, pastWindow := newFakeEndpoint(t, failFirst), newFakeEndpoint(t, failFirst)
	r := newSteppedRelay(t, inWindow.member("s-1", servedDest), pastWindow.member("s-2", otherDest))
	r.start()
	retried := r.put("retried", "keyed", longDeadline, servedDest)
	expired := r.put("expired", "brief", restartDeadline, otherDest)
	waitFor(t, "the first calls", func() bool { return gate.arrived.Load() == 2 })
	calledAt := time.Now()
	r.clock.step(t, step)
	time.Sleep(time.Until(calledAt.Add(shortWindow + 200*time.Millisecond)))
	close(gate.open)
	r.expectDelivered(retried, inWindow, 2)
	r.awaitNotice(expired, pastWindow)
	if calls := pastWindow.callCount("expired"); calls != 1 {
		t.Errorf("expired: got %d calls, want 1, as its deduplication window ended before a second", calls)
	}
	r.verify()
}

// stepKeyedRetryConnecting steps the clock while the second attempt waits for its connection. It is established
// within the deduplication window of one message and after that of the other.
func stepKeyedRetryConnecting(t *testing.T, step time.Duration) {
	gate := newResponseGate()
	failing := newFakeEndpoint(t, func(w http.ResponseWriter, req *http.Request, n int) {
		gate.respond(w, req, n)
		w.WriteHeader(http.StatusInternalServerError)
	})
	marker, moved := newFakeEndpoint(t, nil), []*fullBacklog{newFullBacklog(t), newFullBacklog(t)}
	r := newSteppedRelay(t, failing.member("s-0", servedDest), failing.member("s-1", otherDest))
	r.start()
	retried := r.put("retried", "keyed", longDeadline, servedDest)
	expired := r.put("expired", "brief", restartDeadline, otherDest)
	waitFor(t, "the first calls", func() bool { return gate.arrived.Load() == 2 })
	calledAt := time.Now()
	for i, dest := range []int{servedDest, otherDest} { // the endpoints move to addresses that establish no connection
		member := failing.member(fmt.Sprintf("s-%d", i), dest)
		member.HostPort = moved[i].server.Listener.Addr().String()
		r.discovery.sendLine(t, deltaJSON(int64(2+i), member))
	}
	r.discovery.sendLine(t, deltaJSON(4, marker.member("s-2", firstBusyDest)))
	r.awaitMember(firstBusyDest)
	// The system retries a connection one second after its first try. A connection that begins here is established
	// shortly after the end of the short window. If it begins later, or the endpoints start to accept later, the test
	// is only weaker.
	time.Sleep(200 * time.Millisecond)
	close(gate.open)
	time.Sleep(100 * time.Millisecond) // for the relay to start connecting
	r.clock.step(t, step)
	time.Sleep(time.Until(calledAt.Add(shortWindow)))
	for _, endpoint := range moved {
		endpoint.startAccepting(t)
	}
	r.expectDelivered(retried, moved[0].fakeEndpoint, 1)
	r.awaitNotice(expired, moved[1].fakeEndpoint)
	if calls := moved[1].callCount("expired"); calls != 0 {
		t.Errorf("expired: got %d retries, want none after its deduplication window", calls)
	}
	r.verify()
}

// stepRestartUntried steps the clock during a restart, before the first attempts of the messages.
func stepRestartUntried(t *testing.T, step time.Duration) {
	served := newFakeEndpoint(t, nil)
	member := served.member("s-1", otherDest)
	member.Phase = phaseDraining
	r := newSteppedRelay(t, member)
	r.start()
	short := r.put("short", "plain", restartDeadline, unservedDest)
	long := r.put("long", "once", longDeadline, otherDest)
	r.process.kill()
	r.discovery.replaceMember(served.member("s-1", otherDest))
	r.restartStepped(step)
	r.expectDelivered(long, served, 1)
	r.expectNotice(short, nil)
	r.verify()
}

// stepRestartKeyedInWindow steps the clock during a restart that ends within the deduplication windows of two
// messages that may have run.
func stepRestartKeyedInWindow(t *testing.T, step time.Duration) {
	untilValid(t, func() bool { return restartInWindowTrial(t, step) })
}

// untilValid repeats a trial until it is valid. A trial is invalid if a process was starved of processor time for so
// long that the situation under test did not come about.
func untilValid(t *testing.T, trial func() (valid bool)) {
	t.Helper()
	for range maxTrials {
		if trial() {
			return
		}
	}
	t.Fatalf("got no valid trial out of %d: the machine is too slow", maxTrials)
}

// restartInWindowTrial is not valid if the restart took so long that the shorter window ended.
func restartInWindowTrial(t *testing.T, step time.Duration) (valid bool) {
	endpoint := newFakeEndpoint(t, hang)
	r := newSteppedRelay(t, endpoint.member("s-1", servedDest), endpoint.member("s-2", otherDest))
	r.start()
	medium := r.put("medium", "medium", longDeadline, servedDest)
	keyed := r.put("keyed", "keyed", longDeadline, otherDest)
	waitFor(t, "the calls", func() bool {
		return endpoint.callCount("medium") == 1 && endpoint.callCount("keyed") == 1
	})
	calledAt := time.Now()
	r.process.kill()
	endpoint.respondWith(nil)
	// 2 s of the shorter window are left. A step of 2 s that was counted as elapsed time would leave none.
	time.Sleep(time.Until(calledAt.Add(restartWindow - 2*time.Second)))
	r.restartStepped(step)
	if time.Since(calledAt) > restartWindow-quietPeriod {
		return false
	}
	r.expectDelivered(medium, endpoint, 2)
	r.expectDelivered(keyed, endpoint, 2)
	r.verify()
	return true
}

// stepRestartKeyedPastWindow steps the clock during a restart that ends after the deduplication window of a message
// that may have run.
func stepRestartKeyedPastWindow(t *testing.T, step time.Duration) {
	endpoint := newFakeEndpoint(t, hang)
	r := newSteppedRelay(t, endpoint.member("s-1", servedDest))
	r.start()
	m := r.put("expired", "brief", restartDeadline, servedDest)
	waitFor(t, "the call", func() bool { return endpoint.callCount("expired") == 1 })
	calledAt := time.Now()
	r.process.kill()
	endpoint.respondWith(nil)
	time.Sleep(time.Until(calledAt.Add(shortWindow + 100*time.Millisecond)))
	r.restartStepped(step)
	r.awaitNotice(m, endpoint)
	if calls := endpoint.callCount("expired"); calls != 1 {
		t.Errorf("expired: got %d calls, want 1, as its deduplication window ended before a second", calls)
	}
	r.verify()
}

// stepRestartNoticeDue steps the clock during a restart, while discovery has not confirmed a notice yet.
func stepRestartNoticeDue(t *testing.T, step time.Duration) {
	served := newFakeEndpoint(t, nil)
	member := served.member("s-1", otherDest)
	member.Phase = phaseDraining
	r := newSteppedRelay(t, member)
	r.discovery.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusInternalServerError })
	r.start()
	m := r.put("due", "once", 500*time.Millisecond, otherDest)
	waitFor(t, `the record "ending" in the log`, func() bool { return r.logContains(`"kind":"ending","id":"due"`) })
	r.process.kill()
	r.discovery.update(func(d *fakeDiscovery) { d.noticeStatus = http.StatusNoContent })
	r.restartStepped(step)
	startedAt := time.Now()
	m.deadline += time.Since(m.sentAt) // the notice is due at once
	r.awaitNotice(m, served)
	waitFor(t, `the record "end" in the log`, func() bool { return r.logContains(`"kind":"end","id":"due"`) })
	t.Logf("notice confirmed %v after the start", time.Since(startedAt))
	// The relay still knows the id after another restart.
	r.process.kill()
	r.discovery.replaceMember(served.member("s-1", otherDest))
	r.restartStepped(step)
	if got := r.client.put("due", messageFields("once", longDeadline, otherDest), nil); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("due, handed in again after its end: got reply %q, want -BUSY", got)
	}
	r.expectDelivered(r.put("marker", "once", longDeadline, otherDest), served, 1)
	r.verify()
}

// stepRestartEnded steps the clock during a restart after a message was delivered. It is not delivered again when a
// client hands it in again.
func stepRestartEnded(t *testing.T, step time.Duration) {
	served := newFakeEndpoint(t, nil)
	r := newSteppedRelay(t, served.member("s-1", servedDest))
	r.start()
	r.expectDelivered(r.put("ended", "once", longDeadline, servedDest), served, 1)
	waitFor(t, `the record "end" in the log`, func() bool { return r.logContains(`"kind":"end","id":"ended"`) })
	r.restartStepped(step)
	if got := r.client.put("ended", messageFields("once", longDeadline, servedDest), nil); got != "+OK" {
		t.Errorf("ended, handed in again: got reply %q, want +OK", got)
	}
	r.expectDelivered(r.put("marker", "once", longDeadline, servedDest), served, 1)
	r.verify()
}

// stepHandover steps the clock while a successor takes over from its predecessor.
func stepHandover(t *testing.T, step time.Duration) {
	untilValid(t, func() bool { return handoverTrial(t, step) })
}

// handoverTrial is not valid if the predecessor did not reply within helloTimeout, so that there was no hand-over.
func handoverTrial(t *testing.T, step time.Duration) (valid bool) {
	gate := newResponseGate()
	served, slow := newFakeEndpoint(t, nil), newFakeEndpoint(t, gate.respond)
	r := newSteppedRelay(t, served.member("s-1", servedDest), slow.member("s-2", otherDest))
	r.startWithOperatorPort()
	r.connect()
	inFlight := r.put("in-flight", "once", longDeadline, otherDest)
	waitFor(t, "the call", func() bool { return gate.arrived.Load() == 1 })
	beforeStep := r.put("before-step", "plain", restartDeadline, unservedDest)
	halfWritten, command := r.client, putCommand("half", messageFields("plain", shortDeadline, unservedDest), nil)
	io.WriteString(halfWritten, command[:len(command)/2])
	predecessor := r.process
	successor := r.launchWithOperatorPort()
	r.clock.step(t, step)
	waitForOperatorPort(t, successor.env["ROUTER_OPS"])
	if acceptsClients(predecessor.env["ROUTER_OPS"]) {
		predecessor.kill()
		successor.kill()
		return false
	}
	r.connect()
	afterStep := r.put("after-step", "plain", shortDeadline, unservedDest)
	completed := testMessage{id: "half", sentAt: time.Now(), deadline: shortDeadline}
	io.WriteString(halfWritten, command[len(command)/2:])
	if got := halfWritten.readLine(); got != "+OK" {
		t.Errorf("half: got reply %q, want +OK", got)
	}
	r.expectDelivered(r.put("fresh", "once", longDeadline, servedDest), served, 1)
	close(gate.open)
	r.expectDelivered(inFlight, slow, 1)
	predecessor.waitExit(t)
	r.expectNotice(afterStep, nil)
	r.expectNotice(completed, nil)
	r.expectNotice(beforeStep, nil)
	r.verify()
	return true
}

// stepDiscoveryOutage steps the clock while discovery does not respond.
func stepDiscoveryOutage(t *testing.T, step time.Duration) {
	served := newFakeEndpoint(t, nil)
	r := newSteppedRelay(t, served.member("s-1", servedDest))
	r.start()
	r.discovery.update(func(d *fakeDiscovery) { d.silent = true })
	r.clock.step(t, step)
	r.expectDelivered(r.put("delivered", "once", longDeadline, servedDest), served, 1)
	r.expectNotice(r.put("unserved", "plain", shortDeadline, unservedDest), nil)
	waitFor(t, "a request to discovery in its outage", func() bool {
		r.discovery.mu.Lock()
		defer r.discovery.mu.Unlock()
		return r.discovery.requestsWhileSilent > 0
	})
	late := r.put("late", "once", longDeadline, unservedDest)
	r.discovery.update(func(d *fakeDiscovery) {
		d.silent = false
		d.list.Members = append(d.list.Members, served.member("s-2", unservedDest))
		d.list.Revision++
		for _, lines := range d.watches { // the watches opened before the outage end
			close(lines)
		}
		d.watches = nil
	})
	r.discovery.sendLine(t, deltaJSON(2, served.member("s-2", unservedDest)))
	r.expectDelivered(late, served, 1)
	r.verify()
}

// stepRetryAfterWait steps the clock while the relay waits as long as an endpoint's Retry-After asks for.
func stepRetryAfterWait(t *testing.T, step time.Duration) {
	const retryAfter = 1500 * time.Millisecond
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
	first := r.put("first", "plain", longDeadline, servedDest)
	waitFor(t, "the first call", func() bool { return len(calls.all()) == 1 })
	time.Sleep(50 * time.Millisecond) // for the relay to read its response; a shorter wait would only weaken the test
	r.clock.step(t, step)
	second := r.put("second", "plain", longDeadline, servedDest)
	r.expectDelivered(first, endpoint, 2)
	r.expectDelivered(second, endpoint, 1)
	times := calls.all()
	if len(times) < 2 {
		return // expectDelivered has reported it
	}
	if gap := times[1].Sub(times[0]); gap < retryAfter || gap > retryAfter+2*time.Second {
		t.Errorf("time between the first two calls: got %v, want at least the Retry-After, %v, and at most 2 s more",
			gap, retryAfter)
	}
	r.verify()
}

// stepDrain steps the clock after an endpoint has started draining. The endpoint gets no calls.
func stepDrain(t *testing.T, step time.Duration) {
	const messages = 10
	remaining, draining := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	drainingMember := draining.member("s-2", servedDest)
	r := newSteppedRelay(t, remaining.member("s-1", servedDest), drainingMember)
	r.start()
	drainingMember.Phase = phaseDraining
	r.discovery.sendLine(t, deltaJSON(2, drainingMember))
	// The lines of a watch are applied in order: a relay that knows the member of the other destination knows of the
	// drain too.
	marker := newFakeEndpoint(t, nil)
	r.discovery.sendLine(t, deltaJSON(3, marker.member("s-3", otherDest)))
	r.awaitMember(otherDest)
	r.clock.step(t, step)
	for i := range messages {
		r.expectDelivered(r.put(fmt.Sprintf("m%d", i), "once", longDeadline, servedDest), remaining, 1)
	}
	for i := range messages {
		if calls := draining.callCount(fmt.Sprintf("m%d", i)); calls != 0 {
			t.Errorf("m%d: got %d calls to a draining endpoint, want none", i, calls)
		}
	}
	r.verify()
}

// stepMemberUpSince steps the clock before discovery lists a new endpoint with the wall-clock time since when it is
// up.
func stepMemberUpSince(t *testing.T, step time.Duration) {
	served := newFakeEndpoint(t, nil)
	r := newSteppedRelay(t)
	r.start()
	r.clock.step(t, step)
	line := fmt.Sprintf(`{"revision":2,"members":[{"up_since_ms":%d,"id":"s-1","host_port":%q,"locality":"a","flavor":"k","cell":%d,"phase":"up","size":1000}]}`,
		time.Now().Add(step).UnixMilli(), served.addr(), servedDest)
	r.discovery.sendLine(t, line)
	r.awaitMember(servedDest)
	for i := range 10 {
		r.expectDelivered(r.put(fmt.Sprintf("once-%d", i), "once", longDeadline, servedDest), served, 1)
	}
	r.verify()
}

// A healthy destination with a capacity of fullCallRate gets that many calls a second after a first burst, and
// about a third of that in its slow start.
const (
	fullCallRate      = 40                      // calls per second
	slowStartPeriod   = 1500 * time.Millisecond // in which the calls are counted
	maxSlowStartCalls = 40                      // in slowStartPeriod
	slowStartMessages = 90                      // fewer than the relay may hold
)

// newRelayInOutage returns a relay and its only endpoint, which has failed until the relay logged the outage.
func newRelayInOutage(t *testing.T) (*steppedRelay, *fakeEndpoint) {
	t.Helper()
	endpoint := newFakeEndpoint(t, respondStatus(http.StatusInternalServerError))
	member := endpoint.member("s-1", servedDest)
	member.Size = fullCallRate
	r := newSteppedRelay(t, member)
	r.start()
	r.put("first", "plain", longDeadline, servedDest)
	if !within(deliveryTimeout, func() bool { return r.logMatches(`"kind":"outage","id":"s-1"[^\n]*"Suspected":false`) }) {
		t.Fatal("got no outage in the log in time, want one")
	}
	return r, endpoint
}

// putSlowStart hands in more messages than the endpoint may get in its slow start. It returns the times of its calls.
func (r *steppedRelay) putSlowStart(endpoint *fakeEndpoint) *callTimes {
	r.t.Helper()
	calls := &callTimes{}
	endpoint.respondWith(func(http.ResponseWriter, *http.Request, int) { calls.add() })
	for i := range slowStartMessages {
		r.put(fmt.Sprintf("slow-%d", i), "plain", longDeadline, servedDest)
	}
	return calls
}

// expectSlowStart checks the number of calls in slowStartPeriod from the first one on.
func (r *steppedRelay) expectSlowStart(calls *callTimes) {
	r.t.Helper()
	if !within(deliveryTimeout, func() bool { return len(calls.all()) > 0 }) {
		r.t.Errorf("got no call within %v after the outage, want some", deliveryTimeout)
		return
	}
	first := calls.all()[0]
	time.Sleep(time.Until(first.Add(slowStartPeriod)))
	count := 0
	for _, at := range calls.all() {
		if at.Sub(first) <= slowStartPeriod {
			count++
		}
	}
	if count > maxSlowStartCalls {
		r.t.Errorf("slow start: got %d calls in the first %v, want at most %d",
			count, slowStartPeriod, maxSlowStartCalls)
	}
}

// stepSlowStart steps the clock in the outage, before the slow start.
func stepSlowStart(t *testing.T, step time.Duration) {
	r, endpoint := newRelayInOutage(t)
	r.clock.step(t, step)
	r.expectSlowStart(r.putSlowStart(endpoint))
}

// stepRestartOutage steps the clock during a restart in the outage. The outage ends after the restart.
func stepRestartOutage(t *testing.T, step time.Duration) {
	r, endpoint := newRelayInOutage(t)
	r.restartStepped(step)
	r.expectSlowStart(r.putSlowStart(endpoint))
}

// stepRestartSlowStart steps the clock during a restart in the slow start.
func stepRestartSlowStart(t *testing.T, step time.Duration) {
	r, endpoint := newRelayInOutage(t)
	endpoint.respondWith(nil)
	r.expectDelivered(r.put("back", "plain", longDeadline, servedDest), endpoint, 1)
	if !within(deliveryTimeout, func() bool { return r.logMatches(`"kind":"outage","id":"s-1"[^\n]*"GoodAt":-?[1-9]`) }) {
		t.Fatal("got no end of the outage in the log in time, want one")
	}
	r.restartStepped(step)
	r.expectSlowStart(r.putSlowStart(endpoint))
}

// stepClientEviction: when all connections are taken by incomplete commands, a stalled one is closed to make room
// for a new connection, and one that has just received bytes is not. A step of the wall clock changes neither.
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
				t.Errorf("new connection while all commands are %s: got served %v, want %v", name, served, stalled)
			}
			return valid
		})
	}
}

// evictionTrial fills the connection limit with commands that are being written, steps the clock and reports whether a
// new connection is served. Unless the commands have stalled they go on being written while the new connection waits. The
// trial is not valid if a pause in writing was so long that the commands stalled.
func (r *steppedRelay) evictionTrial(step time.Duration, stalled bool) (served, valid bool) {
	r.t.Helper()
	const (
		readDelay     = 100 * time.Millisecond                    // for the relay to read what was written
		writeInterval = 50 * time.Millisecond                     // between two writes while the new connection waits
		maxWritePause = commandStallTimeout - 50*time.Millisecond // after it the first commands may count as stalled
		maxTrialTime  = commandTimeout - 500*time.Millisecond     // after it the relay may close the first connections
		longCommand   = "*2\r\n$4\r\nPING\r\n$1000\r\n"
	)
	r.clock.step(r.t, 0)
	cfg, err := LoadConfig(func(key string) string { return r.env[key] })
	if err != nil {
		r.t.Fatal(err)
	}
	connectionLimit, _ := cfg.socketBudget()
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	startedAt := time.Now()
	for range connectionLimit {
		var conn net.Conn
		if !within(deliveryTimeout, func() bool { // the connections of an earlier trial may still be open
			var served bool
			conn, served = pingOnce(r.t, r.env["ROUTER_LISTEN"])
			return served
		}) {
			r.t.Fatalf("connections served: got %d, want %d", len(conns), connectionLimit)
		}
		conns = append(conns, conn)
		io.WriteString(conn, longCommand)
	}
	time.Sleep(readDelay)
	var longestPause time.Duration
	writtenAt := time.Now()
	write := func() {
		startedAt := writtenAt
		writtenAt = time.Now()
		for _, conn := range conns {
			io.WriteString(conn, "x")
		}
		longestPause = max(longestPause, time.Since(startedAt))
	}
	write()
	time.Sleep(readDelay)
	if stalled {
		time.Sleep(commandStallTimeout)
	}
	r.clock.step(r.t, step)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for !stalled {
			select {
			case <-stop:
				return
			case <-time.After(writeInterval):
				write()
			}
		}
	}()
	_, served = pingOnce(r.t, r.env["ROUTER_LISTEN"])
	close(stop)
	<-stopped
	longestPause = max(longestPause, time.Since(writtenAt))
	valid = time.Since(startedAt) < maxTrialTime && (stalled || longestPause < maxWritePause)
	return served, valid
}
