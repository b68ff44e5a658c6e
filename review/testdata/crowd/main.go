// Command crowd lets a crowd of peers connect to a relay, send the first part of a command and stop. It plays the
// platform too, which kills a relay that takes more memory than its limit.
package main

import (
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
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

	memoryMB  = 96
	sockets   = 1024
	peers     = 750 // of the crowd
	crowdAt   = 4 * time.Second
	playFor   = 16 * time.Second
	mostBytes = 60e6 // of the whole crowd, as the page on terms says
)

func settings() map[string]any {
	return map[string]any{
		"accounts": []any{map[string]any{"name": "acme", "quota_per_s": 0, "share": 1}}, "balancers": 1,
		"classes": []any{map[string]any{"name": "notice", "repeat": "retryable", "group": "all", "worth": 1,
			"late_worth": 0.3, "deadline_us": 28000000, "target_us": 2000000, "dedup_window_us": 5000000}},
		"discovery": "pushed", "kinds": []any{"archive"}, "localities": []any{"floor-1", "floor-2"},
		"limits": map[string]any{"connect_timeout_us": 1000000, "keepalive_us": 10000000,
			"max_retry_after_us": 2000000, "may_cancel": true, "most_held": 282, "most_tries": 6, "probing": false,
			"retry_after": true, "parallel_tries": true, "streams_per_conn": 1},
		"safety": map[string]any{"answer_slack_us": 20000, "drain_grace_us": 500000, "fall_us": 2000000,
			"overload_factor": 2.0, "ramp_time_us": 12000000, "start_capacity": 0.19},
		"specifics": map[string]any{"calls_out": 19, "kind_batch": []any{1}, "late": "halving",
			"own_limits": []any{false}},
		"report":  map[string]any{"fields": []any{}, "how": "none"},
		"tick_us": 5000, "value_by": "request", "weights": "nominal", "zone": 0}
}

// unfinished is what a peer of the crowd sends: a message whose body stops short of its end.
func unfinished() string {
	whole := kit.Command("MSG.PUT", "0000000000000000", "9b1f03aa5c7e2d41", "c=notice,t=acme,d=28000,dest=3",
		strings.Repeat("b", 64<<10))
	return whole[:len(whole)-200]
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
	endpoint, err := kit.NewEndpoint(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		rec.Line("call of %s", r.Header.Get("X-Request-ID"))
		time.Sleep(300 * time.Millisecond)
	})
	if err != nil {
		return fail(err)
	}
	agent, err := kit.StartAgent(rec, []kit.Member{{ID: "s-a", HostPort: endpoint.Addr, Locality: "floor-1",
		Flavor: "archive", Cell: 3, Phase: "up", Size: 30}})
	if err != nil {
		return fail(err)
	}
	relay, err := kit.NewRelay(rec, root, "n1", agent, settings())
	if err != nil {
		return fail(err)
	}
	relay.Limits["memory_mb"], relay.Limits["sockets"] = memoryMB, sockets
	process, err := relay.Start()
	if err != nil {
		return fail(err)
	}
	defer process.Kill()
	if err := relay.AwaitReady(10 * time.Second); err != nil {
		return fail(err)
	}

	// The platform: samples the memory, and kills the relay once it is over its limit.
	over := make(chan int64, 1)
	ended := make(chan struct{})
	var peak int64
	var watch sync.WaitGroup
	watch.Add(1)
	go func() {
		defer watch.Done()
		for last := int64(0); ; time.Sleep(10 * time.Millisecond) {
			select {
			case <-ended:
				return
			case <-process.Done:
				return
			default:
			}
			used := privateBytes(process.Cmd.Process.Pid) + folderBytes(relay.TmpDir) +
				folderBytes(filepath.Join(relay.Folder, "state"))
			if peak = max(peak, used); used > last+8<<20 || used < last-8<<20 {
				last = used
				rec.Line("memory %.1f MB", float64(used)/(1<<20))
			}
			if used > memoryMB<<20 {
				rec.Line("memory %.1f MB is over the limit of %d MB: the platform kills the relay", float64(used)/(1<<20),
					memoryMB)
				process.Signal(syscall.SIGKILL)
				over <- used
				return
			}
		}
	}()

	// Clients, each message on a connection of its own.
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := 1; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(100 * time.Millisecond):
			}
			id := fmt.Sprintf("%016x", 0xb0000000+n)
			reply, err := kit.Put(relay.Listen, id, "c=notice,t=acme,d=28000,dest=3", "sighting")
			rec.Line("put %s: %s %v", id, reply, err)
		}
	}()

	time.Sleep(crowdAt)
	if trouble {
		text := unfinished()
		if float64(len(text)*peers) > mostBytes {
			return fail(fmt.Errorf("the crowd would send %d bytes", len(text)*peers))
		}
		rec.Line("a crowd of %d peers connects; each sends %d bytes of a command and stops", peers, len(text))
		var crowd sync.WaitGroup
		for range peers {
			crowd.Add(1)
			go func() {
				defer crowd.Done()
				conn, err := net.DialTimeout("tcp", relay.Listen, time.Second)
				if err != nil {
					return
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(playFor - crowdAt))
				io.WriteString(conn, text)
				io.Copy(io.Discard, conn) // until the relay ends the connection
			}()
			time.Sleep(500 * time.Microsecond)
		}
	}
	select {
	case <-time.After(playFor - crowdAt):
	case <-process.Done:
	}
	close(ended)
	watch.Wait()
	clients.Wait()
	rec.Line("peak %.1f MB of %d MB", float64(peak)/(1<<20), memoryMB)
	select {
	case used := <-over:
		fmt.Printf("broken: the relay took %.1f MB of its %d MB and was killed\n", float64(used)/(1<<20), memoryMB)
		return exitBroken
	default:
	}
	select {
	case <-process.Done:
		fmt.Println("broken: the relay ended by itself")
		return exitBroken
	default:
	}
	fmt.Printf("held: peak %.1f MB of %d MB\n", float64(peak)/(1<<20), memoryMB)
	return exitHeld
}

// privateBytes is the memory of a process that is no file's: what the page on deployment counts, without the program's
// own text.
func privateBytes(pid int) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		var kb int64
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}

// folderBytes is the size of the files in a folder, which count as memory.
func folderBytes(dir string) (total int64) {
	filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err == nil && entry.Type().IsRegular() {
			if info, err := entry.Info(); err == nil {
				total += info.Size()
			}
		}
		return nil
	})
	return total
}
