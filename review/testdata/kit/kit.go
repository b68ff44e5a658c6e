// Package kit holds the stand-ins of the review's cases: the platform's agent, partner endpoints, clients, and the
// processes of a relay. They follow the protocol page.
package kit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes the lines of record.txt. Each starts with the milliseconds since the start.
type Record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	begin time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: bufio.NewWriter(f), file: f, begin: time.Now()}, nil
}

// Line writes one line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.1f ", float64(time.Since(r.begin).Microseconds())/1000)
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// Member is an entry of discovery's list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// List is the form of a list and of its changes.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Notice is one line of a report.
type Notice struct {
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RetryInMS int64  `json:"retry_in_ms"`
	At        time.Time
}

// Agent is the platform's agent: discovery's list, watches on it, and notices.
type Agent struct {
	Addr     string
	record   *Record
	mu       sync.Mutex
	revision int64
	members  []Member
	changed  chan struct{}
	history  []List
	notices  []Notice
}

// StartAgent starts an agent at a free port of 127.0.0.1.
func StartAgent(record *Record, members []Member) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: l.Addr().String(), record: record, revision: 1, members: members, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.list)
	mux.HandleFunc("POST /reports", a.reports)
	go (&http.Server{Handler: mux}).Serve(l)
	return a, nil
}

// Known returns the present list.
func (a *Agent) Known() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return List{a.revision, true, append([]Member{}, a.members...)}
}

// Change applies changed entries and writes them to all watches.
func (a *Agent) Change(changes ...Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision++
	for _, change := range changes {
		kept := a.members[:0:0]
		for _, m := range a.members {
			if m.ID != change.ID {
				kept = append(kept, m)
			}
		}
		if change.Phase != "removed" {
			kept = append(kept, change)
		}
		a.members = kept
		a.record.Line("list revision %d: %s cell %d is %s at %s", a.revision, change.ID, change.Cell, change.Phase,
			change.HostPort)
	}
	a.history = append(a.history, List{a.revision, false, changes})
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		json.NewEncoder(w).Encode(a.Known())
		return
	}
	var from int64
	fmt.Sscan(r.URL.Query().Get("from"), &from)
	first := true
	for {
		a.mu.Lock()
		changed := a.changed
		var lists []List
		if first && from == 0 {
			lists = append(lists, List{a.revision, true, append([]Member{}, a.members...)})
		} else {
			for _, l := range a.history {
				if l.Revision > from {
					lists = append(lists, l)
				}
			}
		}
		from = a.revision
		a.mu.Unlock()
		for _, l := range lists {
			json.NewEncoder(w).Encode(l)
		}
		if first && len(lists) == 0 {
			io.WriteString(w, "\n")
		}
		first = false
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (a *Agent) reports(w http.ResponseWriter, r *http.Request) {
	for decoder := json.NewDecoder(r.Body); ; {
		n := Notice{At: time.Now()}
		if err := decoder.Decode(&n); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.record.Line("notice %s %s retry_in_ms=%d", n.Message, n.Outcome, n.RetryInMS)
		a.mu.Lock()
		a.notices = append(a.notices, n)
		a.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// Notices returns the notices so far.
func (a *Agent) Notices() []Notice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Notice{}, a.notices...)
}

// Endpoint is one endpoint of a partner.
type Endpoint struct{ Addr string }

// NewEndpoint reserves an address of 127.0.0.1 and starts the endpoint there.
func NewEndpoint(handler http.HandlerFunc) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go (&http.Server{Handler: handler}).Serve(l)
	return &Endpoint{l.Addr().String()}, nil
}

// Relay is one relay with its folder, and the processes that have run for it.
type Relay struct {
	Name, Listen, Ops string
	Folder            string
	Settings          map[string]any
	Limits            map[string]any
	Agent             *Agent
	TmpDir            string
	Socket            *os.File // the clients' listening socket, if the platform holds it
	record            *Record
	starts            int
}

// FreeAddr returns an address of 127.0.0.1 with a free port.
func FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}

// NewRelay prepares a relay in a folder of its own.
func NewRelay(record *Record, root, name string, agent *Agent, settings map[string]any) (*Relay, error) {
	r := &Relay{Name: name, Listen: FreeAddr(), Ops: FreeAddr(), Folder: filepath.Join(root, name), Agent: agent,
		Settings: settings, record: record,
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}}
	r.TmpDir = filepath.Join(r.Folder, "tmp")
	for _, dir := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(r.Folder, dir), 0o755); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// WriteConfig writes the configuration file as for a start.
func (r *Relay) WriteConfig() error {
	text, err := json.Marshal(map[string]any{"name": r.Name, "listen": r.Listen, "discovery": r.Agent.Addr,
		"ops": r.Ops, "seed": fmt.Sprintf("%016x", 0x8c1f30d27a5be964+uint64(r.starts)*0x9e3779b97f4a7c15),
		"limits": r.Limits, "known": r.Agent.Known(), "settings": r.Settings})
	if err != nil {
		return err
	}
	path := filepath.Join(r.Folder, "config.json")
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Process is one process of a relay.
type Process struct {
	Cmd  *exec.Cmd
	Done chan struct{}
	name string
	rec  *Record
}

// Start starts a process by the command `run` of the deploy file, in the repository's root.
func (r *Relay) Start() (*Process, error) {
	r.starts++
	if err := r.WriteConfig(); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", RunCommand())
	cmd.Env = append(os.Environ(), "ROUTER_NAME="+r.Name, "ROUTER_LISTEN="+r.Listen, "ROUTER_DISCOVERY="+r.Agent.Addr,
		"ROUTER_OPS="+r.Ops, "ROUTER_STATE="+filepath.Join(r.Folder, "state"), "TMPDIR="+r.TmpDir,
		"ROUTER_CONFIG="+filepath.Join(r.Folder, "config.json"))
	if r.Socket != nil {
		cmd.ExtraFiles = []*os.File{nil, r.Socket} // descriptors 3 and 4
		cmd.Env = append(cmd.Env, "ROUTER_SOCKET_FD=4")
	}
	log, err := os.OpenFile(filepath.Join(r.Folder, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r.record.Line("%s: process %d started", r.Name, r.starts)
	p := &Process{Cmd: cmd, Done: make(chan struct{}), name: fmt.Sprintf("%s: process %d", r.Name, r.starts), rec: r.record}
	go func() {
		err := cmd.Wait()
		r.record.Line("%s ended: %v", p.name, err)
		close(p.Done)
	}()
	return p, nil
}

// RunCommand reads the command that starts a relay from the deploy file.
func RunCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "exit 99"
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command
		}
	}
	return "exit 99"
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.rec.Line("%s gets %v", p.name, sig)
	p.Cmd.Process.Signal(sig)
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done
}

// AwaitReady waits until the relay answers PING with +PONG.
func (r *Relay) AwaitReady(timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		c, err := Dial(r.Listen)
		if err != nil {
			continue
		}
		line, err := c.Do(time.Second, "PING")
		c.Close()
		if err == nil && line == "+PONG" {
			r.record.Line("%s: ready", r.Name)
			return nil
		}
	}
	return errors.New(r.Name + ": not ready in time")
}

// Client is a client's connection.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// Dial connects to a relay.
func Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn, bufio.NewReader(conn)}, nil
}

// Command encodes a command.
func Command(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b.String()
}

// Do sends a command and returns the first line of its answer.
func (c *Client) Do(timeout time.Duration, args ...string) (string, error) {
	c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, Command(args...)); err != nil {
		return "", err
	}
	line, err := c.reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// Put hands in one message on a connection of its own and waits 400 ms for the answer, as clients do.
func Put(addr, id, fields, body string) (string, error) {
	c, err := Dial(addr)
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.Do(400*time.Millisecond, "MSG.PUT", "0000000000000000", id, fields, body)
}
