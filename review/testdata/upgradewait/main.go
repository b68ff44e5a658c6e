// Command upgradewait upgrades a relay while a connection to an endpoint comes up late, and checks that the relay
// keeps a wait that the partner asks for straight after the upgrade.
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

	waitTime  = 2 * time.Second        // what the refusal tells: a span of 2 s
	tolerance = 150 * time.Millisecond // 100 ms that are let through, and 50 ms of the rules on sockets
	rounds    = 4
)

func settings() map[string]any {
	return map[string]any{
		"accounts": []any{map[string]any{"name": "acme", "quota_per_s": 0, "share": 1}}, "balancers": 1,
		"classes": []any{map[string]any{"name": "notice", "repeat": "retryable", "group": "all", "worth": 1,
			"late_worth": 0.3, "deadline_us": 28000000, "target_us": 2000000, "dedup_window_us": 5000000}},
		"discovery": "pushed", "kinds": []any{"archive"}, "localities": []any{"floor-1", "floor-2"},
		"limits": map[string]any{"connect_timeout_us": 1500000, "keepalive_us": 10000000,
			"max_retry_after_us": 2000000, "may_cancel": true, "most_held": 282, "most_tries": 6, "probing": false,
			"retry_after": true, "parallel_tries": true, "streams_per_conn": 1},
		"safety": map[string]any{"answer_slack_us": 20000, "drain_grace_us": 500000, "fall_us": 2000000,
			"overload_factor": 2.0, "ramp_time_us": 12000000, "start_capacity": 0.19},
		"specifics": map[string]any{"calls_out": 19, "kind_batch": []any{1}, "late": "halving",
			"own_limits": []any{false}},
		"report":  map[string]any{"fields": []any{}, "how": "none"},
		"tick_us": 5000, "value_by": "request", "weights": "nominal", "zone": 0}
}

// partner is a partner system with two endpoints that share one limit.
type partner struct {
	rec       *kit.Record
	mu        sync.Mutex
	refuse    bool      // the limit of the present span is used up
	told      time.Time // when the refusal was written
	until     time.Time // end of the wait that it told
	refusedID string
	calls     []string  // ids, in the order of the calls
	atA       time.Time // last call at endpoint A
	broken    []string
}

func (p *partner) handler(name string, closeAfter bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		now, id := time.Now(), r.Header.Get("X-Request-ID")
		p.mu.Lock()
		p.calls = append(p.calls, id)
		p.rec.Line("call of %s arrives at endpoint %s", id, name)
		if name == "A" {
			p.atA = now
		}
		if now.After(p.told.Add(tolerance)) && now.Before(p.until) {
			line := fmt.Sprintf("call of %s arrives at endpoint %s %.0f ms after the partner told the relay to wait, and %.0f ms before the end of the wait",
				id, name, now.Sub(p.told).Seconds()*1000, p.until.Sub(now).Seconds()*1000)
			p.broken = append(p.broken, line)
			p.rec.Line("BROKEN %s", line)
		}
		if closeAfter {
			w.Header().Set("Connection", "close")
		}
		if refuse := p.refuse && name == "B"; refuse {
			p.refuse, p.refusedID = false, id
			w.Header().Set("Retry-After", fmt.Sprintf("%.3f", waitTime.Seconds()))
			w.WriteHeader(http.StatusTooManyRequests)
			w.(http.Flusher).Flush()
			p.told = time.Now()
			p.until = p.told.Add(waitTime)
			p.rec.Line("endpoint B refuses %s and tells to wait %v", id, waitTime)
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		time.Sleep(60 * time.Millisecond)
	}
}

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	os.Exit(run(os.Args[1], trouble))
}

func run(recordPath string, trouble bool) int {
	rec, err := kit.NewRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer rec.Close()
	root, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer os.RemoveAll(root)
	fail := func(err error) int {
		rec.Line("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return exitNotRun
	}
	p := &partner{rec: rec}
	a, err := kit.NewLateEndpoint(p.handler("A", true))
	if err != nil {
		return fail(err)
	}
	b, err := kit.NewEndpoint(p.handler("B", false))
	if err != nil {
		return fail(err)
	}
	agent, err := kit.StartAgent(rec, []kit.Member{
		{ID: "s-a", HostPort: a.Addr, Locality: "floor-1", Flavor: "archive", Cell: 3, Phase: "up", Size: 30},
		{ID: "s-b", HostPort: b.Addr, Locality: "floor-2", Flavor: "archive", Cell: 3, Phase: "up", Size: 30}})
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
		id := fmt.Sprintf("%016x", 0xa0000000+n)
		rec.Line("put %s", id)
		reply, err := kit.Put(relay.Listen, id, "c=notice,t=acme,d=28000,dest=3", "sighting")
		rec.Line("answer to %s: %s %v", id, reply, err)
		return id
	}
	played := false
	for round := 1; round <= rounds && !played; round++ {
		rec.Line("round %d", round)
		for range 20 { // ordinary traffic
			put()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		if err := a.SetLate(true); err != nil {
			return fail(err)
		}
		late := time.Now()
		rec.Line("new connections to endpoint A come up late, by 1 s")
		first := put() // its call waits for a connection to A
		time.Sleep(30 * time.Millisecond)
		if trouble {
			rec.Line("upgrade")
			relay.Ops = kit.FreeAddr()
			next, err := relay.Start()
			if err != nil {
				return fail(err)
			}
			old := process
			process = next
			for until := time.Now().Add(6 * time.Second); !ready(relay.Ops); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(until) {
					old.Kill()
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
			defer old.Kill()
		} else {
			time.Sleep(200 * time.Millisecond)
		}
		p.mu.Lock()
		p.refuse = true
		p.mu.Unlock()
		second := put()
		time.Sleep(time.Until(late.Add(700 * time.Millisecond)))
		if err := a.SetLate(false); err != nil {
			return fail(err)
		}
		time.Sleep(4500 * time.Millisecond)
		p.mu.Lock()
		p.refuse = false
		// The round counts if the first message had its connection under way, so that it did not arrive before the wait
		// was told, and the second one was refused in time.
		played = p.refusedID == second && p.told.Sub(late) < 900*time.Millisecond &&
			(p.atA.IsZero() || p.atA.Before(late) || p.atA.After(p.told))
		rec.Line("round %d: first %s, second %s, refused %q after %v, counts: %v", round, first, second, p.refusedID,
			p.told.Sub(late), played)
		broken := len(p.broken) > 0
		p.mu.Unlock()
		if broken {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(p.broken) > 0:
		fmt.Println("broken:", strings.Join(p.broken, "; "))
		return exitBroken
	case !played:
		fmt.Println("cannot run: the refusal did not come while the connection was under way")
		return exitNotRun
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
