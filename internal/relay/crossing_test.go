package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
)

// Tests of moments at which two things cross. Each is forced by the other side or by
// a hook at that very moment, and none waits for a time to pass.

// hookedConn acts right after something was written to it.
type hookedConn struct {
	*net.TCPConn
	wrote func()
}

func (c *hookedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.wrote()
	return n, err
}

// batchTaker answers calls with several messages, or one, and hands on their ids.
func batchTaker(t *testing.T) (addr string, ids chan []string) {
	ids = make(chan []string, 8)
	return rawEndpoint(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			if req.URL.Path == callPath {
				ids <- []string{req.Header.Get("X-Request-ID")}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			got, _ := decodeBatch(t, body)
			ids <- got
			text := "["
			for i, id := range got {
				if i > 0 {
					text += ","
				}
				text += `{"id":"` + id + `","state":"accepted"}`
			}
			text += "]"
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
		}
	}), ids
}

// A connection that comes up when the time of one of a call's messages is over carries
// the others alone: that one may have had its final answer by then, or another call.
func TestLateConnectionLeavesOutWhatIsOver(t *testing.T) {
	addr, ids := batchTaker(t)
	h := testPool(t).forHost(addr)
	release := make(chan struct{})
	h.dial = func(_ context.Context, addr string) (net.Conn, error) {
		<-release
		return net.Dial("tcp", addr)
	}
	short, off := &message{num: 1}, &message{num: 2}
	parts := []callItem{{message: &message{num: 3}, rec: &record{ID: "long"}, timeout: testLimit},
		{message: off, rec: &record{ID: "off"}, timeout: testLimit}, {message: short, rec: &record{ID: "short"}, timeout: time.Millisecond}}
	c := newTestCall()
	told, done := make(chan callResult, 4), make(chan struct{})
	go func() {
		defer close(done)
		c.run(h, parts, nil, func(m *message, o callResult) {
			if m == short {
				if o.outcome != decide.NotSent {
					t.Errorf("the short one, which never left: %+v", o)
				}
				if !c.removeMessage(off) { // as the policy does that calls it off
					t.Error("not in time, before there is a connection")
				}
				close(release)
				return
			}
			told <- o
		})
	}()
	<-done
	if o := <-told; o.outcome != decide.Delivered || o.status != http.StatusOK {
		t.Errorf("the call: %+v", o)
	}
	if got := <-ids; !slices.Equal(got, []string{"long"}) {
		t.Errorf("in the call: %v", got)
	}
	if len(told)+len(ids) > 0 {
		t.Error("more than one call, or outcome")
	}
	if c.removeMessage(parts[0].message) {
		t.Error("taken out of a call that is written")
	}
}

// The same between the first bytes of a call and its last one: what was written so
// far is given up, and the rest goes by another connection.
func TestOverBetweenFirstAndLastByte(t *testing.T) {
	addr, ids := batchTaker(t)
	h := testPool(t).forHost(addr)
	c := newTestCall()
	over := &message{num: 1}
	dials := 0
	h.dial = func(_ context.Context, addr string) (net.Conn, error) {
		conn, err := net.Dial("tcp", addr)
		if dials++; err != nil || dials > 1 {
			return conn, err
		}
		return &hookedConn{conn.(*net.TCPConn), func() {
			if !c.removeMessage(over) {
				t.Error("the last byte is not written yet")
			}
		}}, nil
	}
	parts := []callItem{{message: over, rec: &record{ID: "over"}, timeout: testLimit}, {message: &message{num: 2}, rec: &record{ID: "a"}, timeout: testLimit},
		{message: &message{num: 3}, rec: &record{ID: "b"}, timeout: testLimit}}
	told := make(chan callResult, 1)
	c.run(h, parts, nil, func(_ *message, o callResult) { told <- o })
	if o := <-told; o.itemResults["a"].outcome != decide.Delivered || o.itemResults["b"].outcome != decide.Delivered || len(o.itemResults) != 2 {
		t.Errorf("the call: %+v", o)
	}
	if got := <-ids; !slices.Equal(got, []string{"a", "b"}) || len(ids) > 0 {
		t.Errorf("in the call: %v", got)
	}
	// Where it is the only one nothing goes out at all.
	c, dials = newTestCall(), 0
	told = make(chan callResult, 1)
	c.run(h, parts[:1], nil, func(_ *message, o callResult) { told <- o })
	if o := <-told; o.outcome != decide.NotSent || len(ids) > 0 {
		t.Errorf("alone: %+v", o)
	}
}

// A message that ends while its call waits for a connection is out of the call before
// anybody hears of the end.
func TestEndTakesOutOfTheCall(t *testing.T) {
	r := testRelay(t)
	r.wal, r.notices = &wal{queue: newMailbox[walOp]()}, newNotices("127.0.0.1:1", clock.System(), quietLog(), nil)
	m := r.newMessage(&record{ID: "m", Class: "plain"})
	m.acknowledged = true
	m.call = newTestCall()
	m.call.msgs = []*message{m}
	r.handleFinalAction(&decide.Action{Kind: decide.ActRefuse, Message: m.num}, noticeHandedBack)
	if m.call.commitLastByte([]callItem{{message: m}}, r.clock.Now()) {
		t.Error("its call may still be written")
	}
}

// The connection of a call that is given up ends before anybody hears of it: the next
// attempt would go out beside a call that its endpoint still holds to be wanted.
func TestCallEndsBeforeItsOutcomeIsTold(t *testing.T) {
	for name, answer := range map[string]string{"silent": "", "no answer at all": "nonsense\r\n\r\n",
		"never ending": "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"} {
		t.Run(name, func(t *testing.T) {
			gone := make(chan struct{})
			h := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				if readCall(in) {
					io.WriteString(c, answer)
					in.ReadByte() // until the caller closes
					close(gone)
				}
			}))
			limit := testLimit
			if answer == "" {
				limit = 50 * time.Millisecond
			}
			told := 0
			newTestCall().run(h, []callItem{{rec: &record{ID: "m"}, timeout: limit}}, nil, func(_ *message, o callResult) {
				told++
				if o.outcome != decide.TimedOut && o.outcome != decide.Errored {
					t.Errorf("got %+v", o)
				}
				select {
				case <-gone:
				case <-time.After(testLimit):
					t.Error("told while the connection is open")
				}
			})
			if told != 1 {
				t.Errorf("told %d times", told)
			}
		})
	}
}

// A refusal that ends its new connection and brings no report is one for want of a
// place; on a connection that was there before, or with a report, it is not.
func TestRefusedForWantOfAConnection(t *testing.T) {
	for _, x := range []struct {
		head string
		used bool
		want bool
	}{{"503 Service Unavailable\r\nConnection: close\r\n", false, true}, {"503 Service Unavailable\r\nConnection: close\r\n", true, false},
		{"503 Service Unavailable\r\n", false, false}, {"503 Service Unavailable\r\nConnection: close\r\nX-Server-Load: x0=0,x1=3\r\n", false, false},
		{"503 Service Unavailable\r\nConnection: close\r\nSlots-Taken: 1\r\n", false, false},
		{"429 Too Many Requests\r\nConnection: close\r\nRetry-After: 1\r\n", false, false}} {
		h := testPool(t).forHost(rawEndpoint(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if x.used && readCall(in) {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			if readCall(in) {
				io.WriteString(c, "HTTP/1.1 "+x.head+"Content-Length: 0\r\n\r\n")
			}
		}))
		if x.used {
			newTestCall().runForResult(t, h, &record{ID: "before"}, testLimit)
			waitReusable(h)
		}
		if o := newTestCall().runForResult(t, h, &record{ID: "m"}, testLimit); o.tooManyConns != x.want {
			t.Errorf("%q, connection used before %v: %+v", x.head, x.used, o)
		}
	}
}

// What a restart finds taken on and untried gets its call: where its destination takes
// it, turns it away for a while, tells to wait, or was failing, and with little time.
func TestUntriedGetsItsCallAfterARestart(t *testing.T) {
	turned := func(code int, retry string) func(http.ResponseWriter, *http.Request, int) {
		return func(w http.ResponseWriter, _ *http.Request, n int) {
			if n <= 3 {
				w.Header().Set("Retry-After", retry)
				w.WriteHeader(code)
			}
		}
	}
	for name, answer := range map[string]func(http.ResponseWriter, *http.Request, int){"takes": nil,
		"full": turned(503, ""), "waits": turned(429, "0.3"), "failing": turned(500, "")} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			disc := newFakeDiscovery(t, Member{ID: "s-0", HostPort: "127.0.0.1:1", Cell: 5, Phase: phaseDraining})
			env := testConfig(t, disc, 3)
			c := startChild(t, env)
			cl := dialClient(t, env["ROUTER_LISTEN"])
			var ids []string
			for i := range 12 {
				id, left := "m"+strconv.Itoa(i), 20000
				if i >= 9 {
					left = 12000
				}
				if s := cl.put(id, fields("plain", left, 5), nil); s != "+OK" { // nobody serves 5
					t.Fatal(s)
				}
				ids = append(ids, id)
			}
			c.kill()
			ep := newFakeEndpoint(t, answer)
			disc.set(func(d *fakeDiscovery) { d.list.Members = []Member{ep.member("s-1", 5)} })
			startChild(t, env)
			cl = dialClient(t, env["ROUTER_LISTEN"])
			for i := range 30 { // what is new does not take their turns
				cl.put("n"+strconv.Itoa(i), fields("plain", 20000, 5), nil)
			}
			for _, id := range ids {
				waitFor(t, "a call of "+id, func() bool { return ep.count(id) > 0 })
			}
		})
	}
}

// A planned end waits for what is still owed: the rest of a request that was half
// written when SIGTERM came, its answer, and the notices that have not arrived.
func TestEndWaitsForWhatIsOwed(t *testing.T) {
	disc := newFakeDiscovery(t)
	disc.set(func(d *fakeDiscovery) { d.answer = http.StatusInternalServerError })
	env := testConfig(t, disc, 3)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("short", fields("plain", 300, 9), nil); s != "+OK" {
		t.Fatal(s)
	}
	logged := func(what string) bool {
		text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
		return strings.Contains(string(text), what)
	}
	waitFor(t, "the end of the short one", func() bool { return logged(`"kind":"ending","id":"short"`) })
	half := putText("half", fields("plain", 20000, 9), []byte("body"))
	io.WriteString(cl, half[:len(half)/2])
	io.WriteString(dialClient(t, env["ROUTER_LISTEN"]), half[:1])
	c.ready(t) // it has read what came before
	c.cmd.Process.Signal(syscall.SIGTERM)
	waitFor(t, "the listener's end", func() bool {
		conn, err := net.Dial("tcp", env["ROUTER_LISTEN"])
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	io.WriteString(cl, half[len(half)/2:])
	if s := cl.line(); !strings.HasPrefix(s, "-BUSY ") {
		t.Errorf("a request that the end has crossed is answered %q", s)
	}
	disc.set(func(d *fakeDiscovery) { d.answer = http.StatusNoContent })
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if _, ok := disc.notice("short"); !ok || !logged(`"kind":"end","id":"short"`) {
		t.Error("ended with a notice that has not arrived")
	}
}

// A message keeps the terms it was taken on under, by name, through a restart whose
// settings number everything anew: its tenant and the floor of an attempt that may
// have run move to other places, and its class is no more.
func TestReplayGoesByNames(t *testing.T) {
	settings := func(classes, tenants, floors string) []byte {
		text := strings.Replace(testSettings, `"localities":["a","b"]`, `"localities":[`+floors+`]`, 1)
		text = strings.Replace(text, `[{"name":"acme","quota_per_s":1000,"share":1}]`, `[`+tenants+`]`, 1)
		if classes != "" {
			from, to := strings.Index(text, `"classes":[`), strings.Index(text, `"discovery"`)
			text = text[:from] + `"classes":[` + classes + `],` + text[to:]
		}
		return []byte(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"x","seed":"1","settings":` + text + `}`)
	}
	start := func(text []byte) *Relay {
		cfg, err := parseConfig(text, func(string) string { return "" }, false)
		if err != nil {
			t.Fatal(err)
		}
		r := testRelay(t)
		r.cfg = cfg
		return r
	}
	acme, other := `{"name":"acme","quota_per_s":1000,"share":1}`, `{"name":"other","quota_per_s":1,"share":1}`
	before := start(settings("", acme, `"a","b"`))
	keyed := before.cfg.Policy.Classes[before.cfg.classes["keyed"]]
	before.told(t, &List{Complete: true, Members: []Member{{ID: "s-1", HostPort: "127.0.0.1:1", Locality: "b", Flavor: "k", Cell: 7, Phase: phaseUp}}})
	rec := &record{Kind: recordAccepted, ID: "m", Class: "keyed", Tenant: "acme", Key: "k", Dest: 7, Rules: &keyed, MaxAttempts: 3,
		Deadline: before.clock.Now().Add(testLimit)}
	rec.update(&record{Kind: recordAttempt, At: before.clock.Now(), ZoneName: before.named("s-1").zone})
	text, err := rec.encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for floors, in := range map[string]int{`"b","a"`: 0, `"x","y","b"`: 2, `"a"`: -2} {
		after := start(settings(`{"deadline_us":9000000,"dedup_window_us":0,"group":"all","late_worth":0.1,"name":"new","repeat":"retryable","target_us":1,"worth":9}`,
			other+","+acme, floors))
		again, _ := decodeRecord(text)
		again.markInFlightMayHaveRun()
		after.restoreMessages([]*record{again}, nil)
		e := after.policyEvents[len(after.policyEvents)-1]
		if e.MayHaveRunZone != in || e.Tenant != 1 || e.OriginalClass.Name != "keyed" || *e.OriginalClass != keyed || e.OriginalMaxAttempts != 3 || e.Attempts != 1 || e.MayHaveRunAt == 0 {
			t.Errorf("floors %s: %+v, rules %+v", floors, e, e.OriginalClass)
		}
	}
}

// An answer that lands as its message is given up changes nothing any more: what was
// told first stands, and the call gives its slot back once.
func TestAnswerAsTheCallIsGivenUp(t *testing.T) {
	for _, late := range []decide.Outcome{decide.Delivered, decide.Errored} {
		r := testRelay(t)
		r.wal = &wal{queue: newMailbox[walOp]()}
		c := newTestCall()
		c.ep = &endpoint{num: 1, calls: map[*call]bool{c: true}}
		r.callsInFlight = 1
		m := r.newMessage(&record{ID: "m", Class: "once"})
		m.acknowledged, m.attempts, m.call = true, 1, c
		c.msgs, c.unfinished = []*message{m}, 1
		r.handleCallResult(c, m, &callResult{outcome: decide.TimedOut, err: context.DeadlineExceeded})
		r.handleCallResult(c, nil, &callResult{outcome: late, settled: late == decide.Delivered, status: 200})
		if len(r.policyEvents) != 1 || r.policyEvents[0].Outcome != decide.TimedOut || r.callsInFlight != 0 || len(c.ep.calls) != 0 || m.ended {
			t.Errorf("%d events, %d calls, over %v", len(r.policyEvents), r.callsInFlight, m.ended)
		}
		if ops := r.wal.queue.takeAll(nil); len(ops) != 1 || !ops[0].rec.MayHaveRun {
			t.Errorf("logged %d records", len(ops))
		}
	}
}

// A client that sends a burst ahead of its answers and goes leaves nothing behind that
// is held for it, and each message that was taken on has its one end.
func TestBurstAndGone(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	disc := newFakeDiscovery(t, ep.member("s-1", 7))
	env := testConfig(t, disc, 3)
	startChild(t, env)
	conn, err := net.Dial("tcp", env["ROUTER_LISTEN"])
	if err != nil {
		t.Fatal(err)
	}
	text := ""
	for i := range 20 {
		text += putText("b"+strconv.Itoa(i), fields("once", 20000, 7), nil)
	}
	io.WriteString(conn, text)
	conn.Close()
	cl := dialClient(t, env["ROUTER_LISTEN"])
	for i := range 3 {
		id := "after" + strconv.Itoa(i)
		if s := cl.put(id, fields("once", 20000, 7), nil); s != "+OK" {
			t.Fatal(s)
		}
		waitFor(t, id, func() bool { return ep.count(id) == 1 })
	}
	waitFor(t, "an end of each", func() bool {
		log, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
		return strings.Count(string(log), `"kind":"taken"`) == strings.Count(string(log), `"kind":"end"`)
	})
	for i := range 20 {
		if n := ep.count("b" + strconv.Itoa(i)); n > 1 {
			t.Errorf("message %d went out %d times", i, n)
		}
	}
}
