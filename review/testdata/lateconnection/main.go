// Command lateconnection upgrades a relay while a connection to an endpoint of a partner comes up late. The other
// endpoint of that partner then tells the new process to wait. It checks that no call arrives before the wait is over.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"troutusher/review/testdata/stage"
)

const (
	waitTime  = 2500 * time.Millisecond
	waitGrace = 100 * time.Millisecond // calls that arrive within this time of the answer are let through
	waitSlack = 50 * time.Millisecond
	holdTime  = 700 * time.Millisecond // the connection comes up when the system tries again, after 1 s
	maxRounds = 4

	warmUpMessages = 60
)

type world struct {
	record    *stage.Record
	mu        sync.Mutex
	tellsWait bool // the next call to the second endpoint is told to wait
	waitFrom  time.Time
	early     int // calls during the wait
	sent      int
}

func main() {
	root := flag.String("root", ".", "root of the repository")
	trouble := flag.Bool("trouble", true, "upgrade the relay")
	flag.Parse()
	broken, err := run(*root, *trouble)
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// handleCall answers a call to one of the partner's endpoints.
func (w *world) handleCall(call *stage.Call) stage.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := !w.waitFrom.IsZero() && call.ArrivedAt.Before(w.waitFrom.Add(waitTime-waitSlack))
	switch {
	case waiting && call.ArrivedAt.After(w.waitFrom.Add(waitGrace)):
		w.early++
		w.record.Printf("EARLY call with %v at %s, %.3f s after the partner told to wait %.1f s", call.IDs, call.Endpoint,
			call.ArrivedAt.Sub(w.waitFrom).Seconds(), waitTime.Seconds())
	case waiting:
		w.record.Printf("call with %v at %s, let through", call.IDs, call.Endpoint)
	case w.tellsWait && call.Endpoint == "s-b":
		w.tellsWait = false
		w.waitFrom = time.Now()
		w.record.Printf("call with %v at %s refused, wait %.1f s", call.IDs, call.Endpoint, waitTime.Seconds())
		return stage.Answer{Status: 429, Header: fmt.Sprintf("Retry-After: %.3f\r\n", waitTime.Seconds())}
	default:
		w.record.Printf("call with %v at %s runs", call.IDs, call.Endpoint)
	}
	answer := stage.Answer{Status: 200, Delay: 50 * time.Millisecond}
	if call.Endpoint == "s-a" { // so each call there needs a new connection
		answer.Header, answer.Close = "Connection: close\r\n", true
	}
	return answer
}

// handIn hands in one message for the partner.
func (w *world) handIn(client *stage.Client) error {
	w.mu.Lock()
	w.sent++
	id := fmt.Sprintf("%016x", w.sent)
	w.mu.Unlock()
	reply, err := client.Do(stage.PutCommand(id, "c=sighting-update,t=acme,d=20000,dest=0", "count "+id))
	w.record.Printf("sent %s reply %q", id, reply)
	return err
}

func run(root string, trouble bool) (broken bool, err error) {
	w := &world{record: stage.NewRecord(os.Stdout)}
	for round := 1; round <= maxRounds; round++ {
		w.record.Printf("round %d", round)
		if err := w.playRound(root, trouble); err != nil {
			return false, err
		}
		w.mu.Lock()
		early, toldWait := w.early, !w.waitFrom.IsZero()
		w.waitFrom = time.Time{}
		w.mu.Unlock()
		w.record.Printf("round %d: told to wait: %v, calls during the wait: %d", round, toldWait, early)
		if early > 0 {
			return true, nil
		}
	}
	return false, nil
}

func (w *world) playRound(root string, trouble bool) error {
	dir, err := os.MkdirTemp("", "lateconnection")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	first, err := stage.NewEndpoint("s-a", w.handleCall)
	if err != nil {
		return err
	}
	defer first.Close()
	second, err := stage.NewEndpoint("s-b", w.handleCall)
	if err != nil {
		return err
	}
	defer second.Close()
	var members []stage.Member
	for _, endpoint := range []*stage.Endpoint{first, second} {
		members = append(members, stage.Member{ID: endpoint.Name, HostPort: endpoint.Addr, Locality: "floor-1",
			Flavor: "archive", Cell: 0, Phase: "up", Size: 40})
	}
	agent, err := stage.NewAgent(members, nil)
	if err != nil {
		return err
	}
	defer agent.Close()
	settings := stage.Settings(
		stage.Class("sighting-update", "retryable", 2*time.Second, 28*time.Second, 5*time.Second))
	settings["limits"].(map[string]any)["connect_timeout_us"] = 1500000
	settings["specifics"].(map[string]any)["kind_batch"] = []int{1, 1}
	relay, err := stage.NewRelay(root, dir, agent.Addr, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024,
		"disk_mb": 3}, settings, true)
	if err != nil {
		return err
	}
	process, err := relay.Start("log.1")
	if err != nil {
		return err
	}
	defer process.Kill()
	if err := process.Ready(10 * time.Second); err != nil {
		return err
	}
	client, err := stage.Dial(relay.Addr)
	if err != nil {
		return err
	}
	defer client.Conn.Close()
	for range warmUpMessages {
		if err := w.handIn(client); err != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	released := first.HoldConnections(holdTime)
	w.record.Printf("connections to s-a come up late")
	for range 6 { // some of them are for s-a
		if err := w.handIn(client); err != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		w.record.Printf("upgrade: a new process is started beside the old one")
		successor, err := relay.Start("log.2")
		if err != nil {
			return err
		}
		defer successor.Kill()
		if err := successor.Ready(6 * time.Second); err != nil {
			return err
		}
		w.record.Printf("upgrade: the new process is ready, SIGTERM for the old one")
		process.Signal(syscall.SIGTERM)
	}
	w.mu.Lock()
	w.tellsWait = true
	w.mu.Unlock()
	other, err := stage.Dial(relay.Addr)
	if err != nil {
		return err
	}
	defer other.Conn.Close()
	for range 6 {
		if err := w.handIn(other); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	<-released
	time.Sleep(waitTime)
	w.mu.Lock()
	w.tellsWait = false
	w.mu.Unlock()
	return nil
}
