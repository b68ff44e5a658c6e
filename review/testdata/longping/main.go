// Command longping lets peers that are no proper clients send long commands without reading the replies, beside the
// messages of ordinary clients, and measures the memory of the relay.
package main

import (
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"troutusher/review/testdata/stage"
)

const (
	destinations    = 5
	shutDestination = 0 // it gets 20% of the messages
	shutTime        = 22 * time.Second
	clientCount     = 5
	bodyBytes       = 50000
	warmUp          = 8 * time.Second // before the peers come
	duration        = 45 * time.Second
	peerTime        = 3 * time.Second // after which a peer gives up
	peerPause       = time.Second     // before it comes again
	commandBytes    = 65536
	peerReadBuffer  = 4096
)

func main() {
	root := flag.String("root", ".", "root of the repository")
	trouble := flag.Bool("trouble", true, "let the peers come")
	memoryMB := flag.Int("memory", 32, "memory_mb")
	peers := flag.Int("peers", 2000, "number of peers")
	flag.Parse()
	broken, err := run(*root, *trouble, *memoryMB, *peers)
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func run(root string, trouble bool, memoryMB, peers int) (broken bool, err error) {
	dir, err := os.MkdirTemp("", "longping")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	record := stage.NewRecord(os.Stdout)
	opensAt := time.Now().Add(shutTime)
	var members []stage.Member
	for dest := range destinations {
		endpoint, err := stage.NewEndpoint(fmt.Sprintf("s-%02d", dest), func(*stage.Call) stage.Answer {
			if left := time.Until(opensAt); dest == shutDestination && left > 0 {
				return stage.Answer{Status: 429, Header: fmt.Sprintf("Retry-After: %.3f\r\n", left.Seconds())}
			}
			return stage.Answer{Status: 200, Delay: 400 * time.Millisecond}
		})
		if err != nil {
			return false, err
		}
		defer endpoint.Close()
		members = append(members, stage.Member{ID: endpoint.Name, HostPort: endpoint.Addr, Locality: "floor-1",
			Flavor: "club", Cell: dest, Phase: "up", Size: 20})
	}
	agent, err := stage.NewAgent(members, nil)
	if err != nil {
		return false, err
	}
	defer agent.Close()
	settings := stage.Settings(
		stage.Class("sighting-update", "retryable", 2*time.Second, 28*time.Second, 5*time.Second))
	relay, err := stage.NewRelay(root, dir, agent.Addr, map[string]any{"cores": 1.0, "memory_mb": memoryMB,
		"sockets": 1024, "disk_mb": 3}, settings, false)
	if err != nil {
		return false, err
	}
	process, err := relay.Start("log")
	if err != nil {
		return false, err
	}
	defer process.Kill()
	if err := process.Ready(10 * time.Second); err != nil {
		return false, err
	}
	record.Printf("the relay is ready")
	var accepted, refused, failed atomic.Int64
	for number := range clientCount {
		go handIn(relay.Addr, number, &accepted, &refused, &failed)
	}
	time.Sleep(warmUp)
	if trouble {
		record.Printf("%d peers come", peers)
		for range peers {
			go sendLongCommands(relay.Addr)
		}
	}
	limit := memoryMB << 10
	largest := 0
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if process.HasExited() {
			return false, fmt.Errorf("the relay has ended: %v", process.Cmd.ProcessState)
		}
		resident, anonymous := memory(process.Cmd.Process.Pid)
		files := fileSizes(filepath.Join(dir, "state")) + fileSizes(relay.Tmp)
		if used := anonymous + files; used > largest {
			if used > limit && largest <= limit {
				record.Printf("OVER the limit of %d kB: %d kB", limit, used)
			}
			largest = used
			record.Printf("%d kB: %d kB anonymous memory, %d kB in files; %d kB resident", used, anonymous, files, resident)
		}
	}
	record.Printf("messages accepted %d, refused %d, failed %d", accepted.Load(), refused.Load(), failed.Load())
	record.Printf("largest: %d kB of %d kB", largest, limit)
	return largest > limit, nil
}

// fileSizes returns the size of the files in a folder, in kB. They count as memory.
func fileSizes(folder string) (sum int) {
	entries, _ := os.ReadDir(folder)
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil && info.Mode().IsRegular() {
			sum += int(info.Size() >> 10)
		}
	}
	return sum
}

// memory returns the resident memory of a process and the anonymous part of it, in kB.
func memory(pid int) (resident, anonymous int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		fmt.Sscanf(line, "VmRSS: %d", &resident)
		fmt.Sscanf(line, "RssAnon: %d", &anonymous)
	}
	return resident, anonymous
}

// sendLongCommands is a peer that sends long commands, reads nothing, and comes again.
func sendLongCommands(addr string) {
	command := stage.Command("PING", strings.Repeat("p", commandBytes))
	for {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			conn.(*net.TCPConn).SetReadBuffer(peerReadBuffer)
			conn.SetDeadline(time.Now().Add(peerTime))
			for err == nil {
				_, err = conn.Write(command)
			}
			conn.Close()
		}
		time.Sleep(peerPause)
	}
}

// handIn hands in a message five times a second, each on a new connection.
func handIn(addr string, number int, accepted, refused, failed *atomic.Int64) {
	for i := 0; ; i++ {
		time.Sleep(200 * time.Millisecond)
		client, err := stage.Dial(addr)
		if err != nil {
			failed.Add(1)
			continue
		}
		reply, err := client.Do(stage.PutCommand(fmt.Sprintf("%08x%08x", number, i),
			fmt.Sprintf("c=sighting-update,t=acme,d=28000,dest=%d", i%destinations), strings.Repeat("b", bodyBytes)))
		switch {
		case err != nil:
			failed.Add(1)
		case strings.HasPrefix(reply, "+"):
			accepted.Add(1)
		default:
			refused.Add(1)
		}
		client.Conn.Close()
	}
}
