// Command upgradezone upgrades a relay while a call hangs at an endpoint that has been replaced, and checks that the
// message of that call takes effect once.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"troutusher/review/testdata/kit"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	window = 5 * time.Second // for which a zone drops repeats: classes[].dedup_window_us
)

func settings() map[string]any {
	return map[string]any{
		"accounts": []any{map[string]any{"name": "acme", "quota_per_s": 0, "share": 1}}, "balancers": 1,
		"classes": []any{map[string]any{"name": "count", "repeat": "dedup", "group": "zone", "worth": 1,
			"late_worth": 0.3, "deadline_us": 28000000, "target_us": 2000000,
			"dedup_window_us": window.Microseconds()}},
		"discovery": "pushed", "kinds": []any{"archive"}, "localities": []any{"floor-1", "floor-2"},
		"limits": map[string]any{"connect_timeout_us": 1000000, "keepalive_us": 10000000,
			"max_retry_after_us": 2000000, "may_cancel": true, "most_held": 282, "most_tries": 6, "probing": false,
			"retry_after": true, "parallel_tries": true, "streams_per_conn": 1},
		"safety": map[string]any{"answer_slack_us": 20000, "drain_grace_us": 500000, "fall_us": 2000000,
			"overload_factor": 2.0, "ramp_time_us": 12000000, "start_capacity": 0.19},
		"specifics": map[string]any{"calls_out": 19, "kind_batch": []any{1}, "late": "halving",
			"own_limits": []any{false}},
		"report":  map[string]any{"fields": []any{}, "how": "none"},
		"tick_us": 5000, "value_by": "request", "weights": "nominal", "zone": 1}
}

// partner is a partner system with endpoints on two floors. The endpoints of a floor share a record of the messages
// that they have seen; a repeat within the window has no effect there.
type partner struct {
	rec     *kit.Record
	mu      sync.Mutex
	silent  map[string]bool      // endpoints that do not answer any more
	seen    map[string]time.Time // by floor and message: the last effect
	effects map[string][]string  // by message: where it took effect
	hung    chan string          // messages that a silent endpoint has run
}

func (p *partner) handler(name, floor string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Request-ID")
		p.mu.Lock()
		if last, ok := p.seen[floor+" "+id]; ok && time.Since(last) < window {
			p.rec.Line("call of %s at endpoint %s on %s: a repeat, dropped", id, name, floor)
		} else {
			p.seen[floor+" "+id] = time.Now()
			p.effects[id] = append(p.effects[id], name+" on "+floor)
			p.rec.Line("call of %s at endpoint %s on %s: takes effect", id, name, floor)
		}
		silent := p.silent[name]
		p.mu.Unlock()
		if silent {
			p.hung <- id
			<-r.Context().Done()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func main() { os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0")) }

func run(recordPath string, trouble bool) int {
	rec, err := kit.NewRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer rec.Close()
	fail := func(err error) int {
		rec.Line("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return exitNotRun
	}
	root, err := os.MkdirTemp("", "review")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(root)
	p := &partner{rec: rec, silent: map[string]bool{}, seen: map[string]time.Time{}, effects: map[string][]string{},
		hung: make(chan string, 100)}
	member := func(name, floor string) (kit.Member, error) {
		e, err := kit.NewEndpoint(p.handler(name, floor))
		if err != nil {
			return kit.Member{}, err
		}
		return kit.Member{ID: "s-" + name, HostPort: e.Addr, Locality: floor, Flavor: "archive", Cell: 3, Phase: "up",
			Size: 30}, nil
	}
	a, err := member("a", "floor-2")
	if err != nil {
		return fail(err)
	}
	b, err := member("b", "floor-1")
	if err != nil {
		return fail(err)
	}
	c, err := member("c", "floor-2") // replaces a
	if err != nil {
		return fail(err)
	}
	agent, err := kit.StartAgent(rec, []kit.Member{a, b})
	if err != nil {
		return fail(err)
	}
	relay, err := kit.NewRelay(rec, root, "n1", agent, settings())
	if err != nil {
		return fail(err)
	}
	l, err := net.Listen("tcp", relay.Listen) // on the days of upgrades the platform holds the listening socket
	if err != nil {
		return fail(err)
	}
	if relay.Socket, err = l.(*net.TCPListener).File(); err != nil {
		return fail(err)
	}
	l.Close()
	process, err := relay.Start()
	if err != nil {
		return fail(err)
	}
	defer func() { process.Kill() }()
	if err := relay.AwaitReady(10 * time.Second); err != nil {
		return fail(err)
	}
	n := 0
	put := func() string {
		n++
		id := fmt.Sprintf("%016x", 0xd0000000+n)
		reply, err := kit.Put(relay.Listen, id, "c=count,t=acme,d=28000,dest=3,k="+id, "counts")
		rec.Line("put %s: %s %v", id, reply, err)
		return id
	}
	for range 30 { // ordinary traffic
		put()
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)

	p.mu.Lock()
	p.silent["a"] = true
	p.mu.Unlock()
	rec.Line("endpoint a goes silent in the middle of its work")
	for hung := false; !hung; {
		if n > 60 {
			return fail(fmt.Errorf("no message went to the silent endpoint"))
		}
		put()
		select {
		case id := <-p.hung:
			rec.Line("message %s has taken effect at endpoint a, which does not answer", id)
			hung = true
		case <-time.After(200 * time.Millisecond):
		}
	}
	removed := a
	removed.Phase = "removed"
	agent.Change(c, removed)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		rec.Line("upgrade")
		relay.Ops = kit.FreeAddr()
		next, err := relay.Start()
		if err != nil {
			return fail(err)
		}
		old := process
		process = next
		defer old.Kill()
		for until := time.Now().Add(6 * time.Second); !ready(relay.Ops); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(until) {
				return fail(fmt.Errorf("the new process is not ready"))
			}
		}
		rec.Line("the new process says yes")
		old.Signal(syscall.SIGTERM)
		go func() {
			select {
			case <-old.Done:
			case <-time.After(3700 * time.Millisecond):
				old.Kill()
			}
		}()
	}
	time.Sleep(12 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	broken, example := 0, ""
	for id, where := range p.effects {
		if len(where) > 1 {
			broken++
			example = fmt.Sprintf("message %s took effect %d times: at %s", id, len(where), strings.Join(where, ", then at "))
			rec.Line("BROKEN %s", example)
		}
	}
	if broken > 0 {
		fmt.Printf("broken, %d messages: %s\n", broken, example)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// ready asks the operators' door of a process whether it takes clients.
func ready(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "READY\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.HasPrefix(line, "ACK")
}
