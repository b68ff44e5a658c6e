// Command batch shuts a partner for some seconds and checks the calls that carry the messages which waited for it.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"troutusher/review/testdata/kit"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	mostBody = 64 << 10 // bytes of a body
	bodySize = 4 << 10  // of one message
	messages = 120
	pace     = 200 * time.Millisecond
	shutAt   = 3 * time.Second
	shutFor  = 8 * time.Second
)

func settings() map[string]any {
	return map[string]any{
		"accounts": []any{map[string]any{"name": "acme", "quota_per_s": 0, "share": 1}}, "balancers": 1,
		"classes": []any{map[string]any{"name": "fee-payment", "repeat": "fragile", "group": "all", "worth": 2,
			"late_worth": 0.3, "deadline_us": 24000000, "target_us": 4000000, "dedup_window_us": 5000000}},
		"discovery": "pushed", "kinds": []any{"archive"}, "localities": []any{"floor-1", "floor-2"},
		"limits": map[string]any{"connect_timeout_us": 1000000, "keepalive_us": 10000000,
			"max_retry_after_us": 2000000, "may_cancel": true, "most_held": 282, "most_tries": 6, "probing": false,
			"retry_after": true, "parallel_tries": true, "streams_per_conn": 1},
		"safety": map[string]any{"answer_slack_us": 20000, "drain_grace_us": 500000, "fall_us": 2000000,
			"overload_factor": 2.0, "ramp_time_us": 12000000, "start_capacity": 0.19},
		"specifics": map[string]any{"calls_out": 19, "kind_batch": []any{20}, "late": "halving",
			"own_limits": []any{false}},
		"report":  map[string]any{"fields": []any{}, "how": "none"},
		"tick_us": 5000, "value_by": "request", "weights": "nominal", "zone": 0}
}

// partner is a partner system of the kind that takes up to 20 messages in one call.
type partner struct {
	rec     *kit.Record
	mu      sync.Mutex
	opens   time.Time // it is shut until then
	tooLong int       // calls whose body was longer than a body may be
	longest int
	refused map[string]int // by message: such calls
	ran     map[string]int
}

func (p *partner) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var items []struct {
		ID string `json:"id"`
	}
	if strings.HasSuffix(r.URL.Path, ":batch") {
		json.Unmarshal(body, &items)
	} else {
		items = append(items, struct {
			ID string `json:"id"`
		}{r.Header.Get("X-Request-ID")})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longest = max(p.longest, len(body))
	p.rec.Line("call with %d messages, body of %d bytes", len(items), len(body))
	if len(body) > mostBody {
		p.tooLong++
		for _, item := range items {
			p.refused[item.ID]++
		}
		p.rec.Line("  answered 413: the body is too long; nothing has run")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if left := time.Until(p.opens); left > 0 {
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", left.Seconds()))
		w.WriteHeader(http.StatusTooManyRequests)
		p.rec.Line("  answered 429: shut for another %v", left)
		return
	}
	for _, item := range items {
		p.ran[item.ID]++
	}
	if strings.HasSuffix(r.URL.Path, ":batch") {
		var states []map[string]string
		for _, item := range items {
			states = append(states, map[string]string{"id": item.ID, "state": "accepted"})
		}
		json.NewEncoder(w).Encode(states)
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
	p := &partner{rec: rec, refused: map[string]int{}, ran: map[string]int{}}
	endpoint, err := kit.NewEndpoint(p.serve)
	if err != nil {
		return fail(err)
	}
	agent, err := kit.StartAgent(rec, []kit.Member{{ID: "s-a", HostPort: endpoint.Addr, Locality: "floor-1",
		Flavor: "archive", Cell: 3, Phase: "up", Size: 20}})
	if err != nil {
		return fail(err)
	}
	relay, err := kit.NewRelay(rec, root, "n1", agent, settings())
	if err != nil {
		return fail(err)
	}
	process, err := relay.Start()
	if err != nil {
		return fail(err)
	}
	defer process.Kill()
	if err := relay.AwaitReady(10 * time.Second); err != nil {
		return fail(err)
	}
	if trouble {
		time.AfterFunc(shutAt, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.opens = time.Now().Add(shutFor)
			rec.Line("the partner is shut for %v", shutFor)
		})
	}
	body := strings.Repeat("f", bodySize)
	taken := map[string]bool{}
	for n := range messages {
		id := fmt.Sprintf("%016x", 0xc0000000+n)
		reply, err := kit.Put(relay.Listen, id, "c=fee-payment,t=acme,d=24000,dest=3", body)
		rec.Line("put %s: %s %v", id, reply, err)
		taken[id] = reply == "+OK"
		time.Sleep(pace)
	}
	time.Sleep(25 * time.Second)
	notices := map[string]string{}
	for _, n := range agent.Notices() {
		notices[n.Message] = n.Outcome
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	accepted, delivered, undelivered := 0, 0, 0
	for id, ok := range taken {
		if !ok {
			continue
		}
		accepted++
		if p.ran[id] > 0 {
			delivered++
		} else if p.refused[id] > 0 {
			undelivered++
			rec.Line("message %s: taken on, in %d calls that were too long, never delivered, notice %q", id, p.refused[id],
				notices[id])
		}
	}
	summary := fmt.Sprintf("%d taken on, %d delivered; longest body %d bytes; %d calls too long; %d messages in these were never delivered",
		accepted, delivered, p.longest, p.tooLong, undelivered)
	rec.Line("%s", summary)
	if p.tooLong > 0 && undelivered > 0 {
		fmt.Println("broken:", summary)
		return exitBroken
	}
	fmt.Println("held:", summary)
	return exitHeld
}
