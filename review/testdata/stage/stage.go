// Package stage holds the stand-ins of the cases from review/6 on: the platform's agent, endpoints, clients, and the
// relay as a separate process. All of them use loopback addresses only.
package stage

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes lines with the time since its start.
type Record struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

// NewRecord returns a record that writes to out.
func NewRecord(out io.Writer) *Record { return &Record{out: out, started: time.Now()} }

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Member is an endpoint in discovery's list.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// Notice is one line of a report to the platform.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	At      time.Time
}

// Agent is the platform's agent: discovery and the receiver of notices.
type Agent struct {
	Addr string

	members  []Member
	server   *http.Server
	onNotice func(Notice)
}

const (
	revision  = 41
	heartbeat = 2 * time.Second
)

// NewAgent starts an agent with a list.
func NewAgent(members []Member, onNotice func(Notice)) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: listener.Addr().String(), members: members, onNotice: onNotice}
	mux := http.NewServeMux()
	mux.HandleFunc("/registry/instances", a.serveList)
	mux.HandleFunc("/reports", a.serveReports)
	a.server = &http.Server{Handler: mux}
	go a.server.Serve(listener)
	return a, nil
}

// Close ends the agent.
func (a *Agent) Close() { a.server.Close() }

// serveList answers a request for the list, or keeps a watch open. The list never changes.
func (a *Agent) serveList(w http.ResponseWriter, req *http.Request) {
	list, _ := json.Marshal(map[string]any{"revision": revision, "complete": true, "members": a.members})
	query := req.URL.Query()
	if query.Get("watch") == "" {
		w.Write(list)
		return
	}
	if query.Get("from") != strconv.Itoa(revision) {
		w.Write(list)
	}
	for {
		w.Write([]byte("\n"))
		w.(http.Flusher).Flush()
		select {
		case <-req.Context().Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

func (a *Agent) serveReports(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	for _, line := range bytes.Split(body, []byte("\n")) {
		var n Notice
		if len(line) == 0 || json.Unmarshal(line, &n) != nil {
			continue
		}
		n.At = time.Now()
		if a.onNotice != nil {
			a.onNotice(n)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// Call is a call that has arrived at an endpoint with its last byte.
type Call struct {
	Endpoint  string
	Conn      int
	IDs       []string
	Bodies    []string
	Batch     bool
	ArrivedAt time.Time
}

// Answer is what an endpoint does with a call.
type Answer struct {
	Delay  time.Duration // before the answer
	Status int
	Header string // further header lines, each with its line end
	Body   string
	Close  bool // the connection ends after the answer
}

// Endpoint is one endpoint of a destination.
type Endpoint struct {
	Name string
	Addr string

	listener  net.Listener
	accepting sync.Mutex // held while the accept loop waits for a connection, or while no connection may come up
	handle    func(*Call) Answer
	mu        sync.Mutex
	conns     map[net.Conn]bool
	nextConn  int
}

// listenWithoutBacklog listens at a free port. The system keeps one connection at most that is not accepted yet.
func listenWithoutBacklog() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// HoldConnections lets no new connection to the endpoint come up for a while: it fills the queue of the listener with
// connections of its own. It returns once that has begun. The channel is closed at its end; a connection that was tried
// meanwhile comes up when the system of its client tries again.
func (e *Endpoint) HoldConnections(d time.Duration) (released <-chan struct{}) {
	began, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		e.accepting.Lock() // the accept loop gives it up after the next connection
		defer e.accepting.Unlock()
		var fill []net.Conn
		for {
			conn, err := net.DialTimeout("tcp", e.Addr, 20*time.Millisecond)
			if err != nil {
				break
			}
			fill = append(fill, conn)
		}
		close(began)
		time.Sleep(d)
		for _, conn := range fill {
			conn.Close()
		}
	}()
	for {
		if conn, err := net.DialTimeout("tcp", e.Addr, 20*time.Millisecond); err == nil {
			conn.Close()
		}
		select {
		case <-began:
			return done
		case <-time.After(time.Millisecond):
		}
	}
}

// NewEndpoint starts an endpoint. handle decides about each call and must be safe for concurrent use.
func NewEndpoint(name string, handle func(*Call) Answer) (*Endpoint, error) {
	listener, err := listenWithoutBacklog()
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Name: name, Addr: listener.Addr().String(), listener: listener, handle: handle,
		conns: map[net.Conn]bool{}}
	go func() {
		for {
			e.accepting.Lock()
			conn, err := listener.Accept()
			e.accepting.Unlock()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.nextConn++
			number := e.nextConn
			e.conns[conn] = true
			e.mu.Unlock()
			go e.serve(conn, number)
		}
	}()
	return e, nil
}

// Close ends the endpoint and its connections.
func (e *Endpoint) Close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		conn.Close()
	}
}

func (e *Endpoint) serve(conn net.Conn, number int) {
	defer func() {
		conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		call := &Call{Endpoint: e.Name, Conn: number, ArrivedAt: time.Now()}
		if call.Batch = strings.HasSuffix(req.URL.Path, ":batch"); call.Batch {
			var items []struct {
				ID   string
				Body []byte
			}
			if json.Unmarshal(body, &items) != nil || len(items) == 0 {
				io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			for _, item := range items {
				call.IDs, call.Bodies = append(call.IDs, item.ID), append(call.Bodies, string(item.Body))
			}
		} else {
			call.IDs, call.Bodies = []string{req.Header.Get("X-Request-ID")}, []string{string(body)}
		}
		answer := e.handle(call)
		time.Sleep(answer.Delay)
		if answer.Status == 200 && call.Batch && answer.Body == "" {
			answer.Body = BatchBody(call.IDs, func(int) string { return "accepted" })
		}
		text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", answer.Status,
			http.StatusText(answer.Status), answer.Header, len(answer.Body), answer.Body)
		if _, err := io.WriteString(conn, text); err != nil || answer.Close {
			return
		}
	}
}

// BatchBody is the body of an answer to a call with several messages.
func BatchBody(ids []string, state func(i int) string) string {
	items := make([]map[string]string, len(ids))
	for i, id := range ids {
		items[i] = map[string]string{"id": id, "state": state(i)}
	}
	text, _ := json.Marshal(items)
	return string(text)
}

// Client is one connection of a client.
type Client struct {
	Conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a connection to a relay.
func Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, 400*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &Client{conn, bufio.NewReader(conn)}, nil
}

// Command encodes a command.
func Command(args ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b.Bytes()
}

// PutCommand encodes the command that hands in a message.
func PutCommand(id, fields, body string) []byte {
	return Command("MSG.PUT", "0000000000000000", id, fields, body)
}

// Reply reads a reply. A client waits 400 ms for it.
func (c *Client) Reply() (string, error) {
	c.Conn.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if strings.HasPrefix(line, "$") {
		n, _ := strconv.Atoi(line[1:])
		text := make([]byte, n+2)
		_, err = io.ReadFull(c.reader, text)
		return "+" + string(text[:n]), err
	}
	return line, nil
}

// Do writes a command and reads its reply.
func (c *Client) Do(command []byte) (string, error) {
	if _, err := c.Conn.Write(command); err != nil {
		return "", err
	}
	return c.Reply()
}

// Relay is the place of one relay: its addresses, folders and configuration. Start runs a process in it.
type Relay struct {
	Root string // root of the repository
	Dir  string
	Addr string

	// Tmp is $TMPDIR of the processes.
	Tmp string

	socket *os.File // the clients' listening socket, where the platform holds it
	config map[string]any
}

// Process is a running relay process.
type Process struct {
	Cmd    *exec.Cmd
	Ops    string
	Exited chan struct{}
}

// FreeAddr returns a loopback address whose port is free.
func FreeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// NewRelay prepares a relay in an empty folder. With platformSocket the platform holds the clients' socket.
func NewRelay(root, dir, discovery string, limits, settings map[string]any, platformSocket bool) (*Relay, error) {
	r := &Relay{Root: root, Dir: dir}
	if platformSocket {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		r.Addr = listener.Addr().String()
		if r.socket, err = listener.(*net.TCPListener).File(); err != nil {
			return nil, err
		}
		listener.Close()
	} else {
		r.Addr = FreeAddr()
	}
	r.Tmp = filepath.Join(dir, "tmp")
	for _, folder := range []string{filepath.Join(dir, "state"), r.Tmp} {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return nil, err
		}
	}
	r.config = map[string]any{"name": "n1", "listen": r.Addr, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": limits, "settings": settings}
	return r, r.WriteConfig(nil)
}

// WriteConfig replaces the configuration file. edit may change it before.
func (r *Relay) WriteConfig(edit func(config map[string]any)) error {
	if edit != nil {
		edit(r.config)
	}
	text, err := json.Marshal(r.config)
	if err != nil {
		return err
	}
	path := filepath.Join(r.Dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Start runs the command of the deploy file.
func (r *Relay) Start(logName string) (*Process, error) {
	p := &Process{Ops: FreeAddr(), Exited: make(chan struct{})}
	p.Cmd = exec.Command("/bin/sh", "-c", "exec bin/troutusher")
	p.Cmd.Dir = r.Root
	p.Cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + r.Tmp, "ROUTER_NAME=n1",
		"ROUTER_LISTEN=" + r.Addr, "ROUTER_DISCOVERY=" + r.config["discovery"].(string),
		"ROUTER_STATE=" + filepath.Join(r.Dir, "state"), "ROUTER_CONFIG=" + filepath.Join(r.Dir, "config.json"),
		"ROUTER_OPS=" + p.Ops, "ROUTER_LOG=debug"}
	p.Cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if r.socket != nil {
		null, err := os.Open(os.DevNull)
		if err != nil {
			return nil, err
		}
		defer null.Close()
		p.Cmd.ExtraFiles = []*os.File{null, r.socket} // the second one becomes descriptor 4
		p.Cmd.Env = append(p.Cmd.Env, "ROUTER_SOCKET_FD=4")
	}
	log, err := os.OpenFile(filepath.Join(r.Dir, logName), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.Cmd.Stdout, p.Cmd.Stderr = log, log
	if err := p.Cmd.Start(); err != nil {
		return nil, err
	}
	go func() { p.Cmd.Wait(); close(p.Exited) }()
	return p, nil
}

// Ready waits until the process says at the operator port that it takes clients.
func (p *Process) Ready(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if p.HasExited() {
			return fmt.Errorf("the process has exited: %v", p.Cmd.ProcessState)
		}
		if answer, err := p.Operator("READY"); err == nil && strings.HasPrefix(answer, "ACK") {
			return nil
		}
	}
	return fmt.Errorf("not ready after %v", timeout)
}

// Operator makes a call at the operator port.
func (p *Process) Operator(call string) (string, error) {
	conn, err := net.DialTimeout("tcp", p.Ops, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, call+"\n")
	return bufio.NewReader(conn).ReadString('\n')
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { p.Cmd.Process.Signal(s) }

// HasExited reports whether the process has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.Exited:
		return true
	default:
		return false
	}
}

// Kill ends the process with SIGKILL.
func (p *Process) Kill() {
	p.Cmd.Process.Kill()
	<-p.Exited
}

// Settings are those of a small deployment with the given classes.
func Settings(classes ...map[string]any) map[string]any {
	return map[string]any{
		"accounts":  []any{map[string]any{"name": "acme", "quota_per_s": 0, "share": 1}},
		"balancers": 1, "classes": classes, "discovery": "pushed", "kinds": []string{"archive", "club"},
		"localities": []string{"floor-1", "floor-2"},
		"limits": map[string]any{"connect_timeout_us": 1000000, "keepalive_us": 10000000, "max_retry_after_us": 2000000,
			"may_cancel": true, "most_held": 282, "most_tries": 6, "parallel_tries": true, "probing": false,
			"retry_after": true, "streams_per_conn": 1},
		"safety": map[string]any{"answer_slack_us": 20000, "drain_grace_us": 500000, "fall_us": 2000000,
			"overload_factor": 2.0, "ramp_time_us": 12000000, "start_capacity": 0.19},
		"specifics": map[string]any{"calls_out": 19, "kind_batch": []int{20, 1}, "late": "halving",
			"own_limits": []bool{false, true}},
		"report":  map[string]any{"fields": []string{"x0", "x1"}, "how": "answers"},
		"tick_us": 5000, "value_by": "request", "weights": "nominal", "zone": 0}
}

// Class is one class of the settings.
func Class(name, repeat string, target, deadline, window time.Duration) map[string]any {
	return map[string]any{"name": name, "repeat": repeat, "group": "all", "worth": 1, "late_worth": 0.3,
		"deadline_us": deadline.Microseconds(), "target_us": target.Microseconds(),
		"dedup_window_us": window.Microseconds()}
}
