// Command upgradebusy upgrades a relay while clients hand in a last message and leave, and checks that no message runs
// that the relay has refused.
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

	leaving = 320 // clients that leave in one burst; all of them hold less than a third of the descriptors
	pace    = 100 * time.Microsecond
	// before is how long before the new process of the round before said yes the burst begins.
	before = 30 * time.Millisecond
	rounds = 30
)

func settings() map[string]any {
	return map[string]any{
		"accounts": []any{map[string]any{"name": "acme", "quota_per_s": 0, "share": 1}}, "balancers": 1,
		"classes": []any{map[string]any{"name": "fee-payment", "repeat": "fragile", "group": "all", "worth": 2,
			"late_worth": 0.3, "deadline_us": 24000000, "target_us": 4000000, "dedup_window_us": 5000000}},
		"discovery": "pushed", "kinds": []any{"club"}, "localities": []any{"floor-1", "floor-2"},
		"limits": map[string]any{"connect_timeout_us": 1000000, "keepalive_us": 10000000,
			"max_retry_after_us": 2000000, "may_cancel": true, "most_held": 282, "most_tries": 6, "probing": false,
			"retry_after": true, "parallel_tries": true, "streams_per_conn": 1},
		"safety": map[string]any{"answer_slack_us": 20000, "drain_grace_us": 500000, "fall_us": 2000000,
			"overload_factor": 2.0, "ramp_time_us": 12000000, "start_capacity": 0.19},
		"specifics": map[string]any{"calls_out": 19, "kind_batch": []any{1}, "late": "halving",
			"own_limits": []any{true}},
		"report":  map[string]any{"fields": []any{}, "how": "none"},
		"tick_us": 5000, "value_by": "request", "weights": "nominal", "zone": 0}
}

// payment is one payment of a client, which may be handed in twice, each time under a new id.
type payment struct {
	id, again           string
	answer, answerAgain string
}

// partner is a partner system that takes payments.
type partner struct {
	rec  *kit.Record
	mu   sync.Mutex
	runs map[string]int      // by message
	paid map[string][]string // by payment: the messages that paid it
}

func (p *partner) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-ID")
	p.mu.Lock()
	p.runs[id]++
	p.paid[string(body)] = append(p.paid[string(body)], id)
	p.rec.Line("message %s runs: %s", id, body)
	p.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
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
	p := &partner{rec: rec, runs: map[string]int{}, paid: map[string][]string{}}
	endpoint, err := kit.NewEndpoint(p.serve)
	if err != nil {
		return fail(err)
	}
	agent, err := kit.StartAgent(rec, []kit.Member{{ID: "s-a", HostPort: endpoint.Addr, Locality: "floor-1",
		Flavor: "club", Cell: 3, Phase: "up", Size: 60}})
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
	payments := map[string]*payment{} // by name, which is the message's body
	n := 0
	begin, readyAfter := time.Now(), time.Duration(0)
	for round := 1; round <= rounds && time.Since(begin) < 85*time.Second; round++ {
		rec.Line("round %d", round)
		var clients []*kit.Client
		for range leaving {
			c, err := kit.Dial(relay.Listen)
			if err != nil {
				return fail(err)
			}
			if line, err := c.Do(time.Second, "PING"); err != nil || line != "+PONG" {
				return fail(fmt.Errorf("PING: %s %v", line, err))
			}
			clients = append(clients, c)
			time.Sleep(time.Millisecond)
		}
		old := process
		if trouble {
			rec.Line("upgrade")
			relay.Ops = kit.FreeAddr()
			if process, err = relay.Start(); err != nil {
				process = old
				return fail(err)
			}
			defer old.Kill()
		}
		started, isReady := time.Now(), make(chan time.Duration, 1)
		if trouble { // the clients go on handing in; they leave in a burst about when the new process takes over
			go func() {
				for !ready(relay.Ops) && time.Since(started) < 6*time.Second {
					time.Sleep(2 * time.Millisecond)
				}
				isReady <- time.Since(started)
			}()
			time.Sleep(max(readyAfter-before, 0))
		}
		rec.Line("%d clients hand in a last message each and leave", leaving)
		var answers sync.WaitGroup
		var mu sync.Mutex
		for _, c := range clients {
			n++
			name, id := fmt.Sprintf("payment %d", n), fmt.Sprintf("%016x", 0xe0000000+n)
			pay := &payment{id: id}
			payments[name] = pay
			answers.Add(1)
			go func() {
				defer answers.Done()
				defer c.Close()
				io.WriteString(c, kit.Command("MSG.PUT", "0000000000000000", id, "c=fee-payment,t=acme,d=24000,dest=3",
					name))
				c.Conn.(*net.TCPConn).CloseWrite()
				c.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
				line, err := bufio.NewReader(c).ReadString('\n')
				mu.Lock()
				defer mu.Unlock()
				pay.answer = strings.TrimSpace(line)
				rec.Line("answer to %s (%s): %q %v", id, name, pay.answer, err)
			}()
			time.Sleep(pace)
		}
		answers.Wait()
		if trouble {
			if readyAfter = <-isReady; readyAfter > 6*time.Second {
				return fail(fmt.Errorf("the new process is not ready"))
			}
			rec.Line("the new process has said yes, %v after its start", readyAfter)
			old.Signal(syscall.SIGTERM)
			select {
			case <-old.Done:
			case <-time.After(3700 * time.Millisecond):
				old.Kill()
			}
		}
		time.Sleep(time.Second)
		// A refused client may hand its message in again. Here those do whose refused message has run: enough to see
		// what comes of it.
		refused, ran := 0, 0
		for name, pay := range payments {
			if !strings.HasPrefix(pay.answer, "-BUSY") {
				continue
			}
			refused++
			p.mu.Lock()
			hasRun := p.runs[pay.id] > 0
			p.mu.Unlock()
			if !hasRun {
				continue
			}
			ran++
			n++
			pay.again = fmt.Sprintf("%016x", 0xe0000000+n)
			pay.answerAgain, _ = kit.Put(relay.Listen, pay.again, "c=fee-payment,t=acme,d=24000,dest=3,r=1", name)
			rec.Line("%s handed in again as %s: %s", name, pay.again, pay.answerAgain)
		}
		rec.Line("round %d: %d of %d refused so far, %d of them have run", round, refused, len(payments), ran)
		if ran > 0 {
			break
		}
	}
	time.Sleep(2 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	broken, refused, example := 0, 0, ""
	for name, pay := range payments {
		if strings.HasPrefix(pay.answer, "-BUSY") {
			refused++
		}
		if strings.HasPrefix(pay.answer, "-BUSY") && p.runs[pay.id] > 0 {
			broken++
			line := fmt.Sprintf("message %s (%s) was answered %q and has run; handed in again, %s was paid by messages %v",
				pay.id, name, pay.answer, name, p.paid[name])
			rec.Line("BROKEN %s", line)
			example = line
		}
	}
	switch {
	case broken > 0:
		fmt.Printf("broken, %d of %d refused messages have run: %s\n", broken, refused, example)
		return exitBroken
	case refused == 0:
		fmt.Println("cannot run: no message was refused")
		return exitNotRun
	}
	fmt.Printf("held: %d messages refused, none of them has run\n", refused)
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
