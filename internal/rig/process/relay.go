// Package process runs real relays as processes of their own, hands them messages over loopback sockets and
// reads what they cost from the system.
package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Options say how a relay is run.
type Options struct {
	Program   string // the relay's binary
	Dir       string // of its files; its own
	Discovery string
	MemoryMB  int
	Sockets   int
	DiskMB    int
	MaxHeld   int
	Relays    int           // in its fleet, as its settings say
	Deadline  time.Duration // of every message
	Log       *os.File      // where its log goes; nil for nowhere
}

// Relay is one running process.
type Relay struct {
	Addr string // where clients connect
	opts Options
	cmd  *exec.Cmd
	env  []string
	done chan struct{} // closed at its end
}

// settings are the relay's settings as the deployment gives them.
func (o *Options) settings() map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	return map[string]any{
		"accounts":  []any{map[string]any{"name": "acme", "quota_per_s": 0, "share": 1}},
		"balancers": o.Relays,
		"classes": []any{map[string]any{"name": "notice", "repeat": "retryable", "group": "all", "worth": 1, "late_worth": 0.1,
			"deadline_us": us(o.Deadline), "target_us": us(o.Deadline) / 4, "dedup_window_us": us(5 * time.Second)}},
		"discovery": "pushed", "kinds": []string{"k"}, "localities": []string{"a", "b"},
		"limits": map[string]any{"connect_timeout_us": 1500000, "keepalive_us": 10000000, "max_retry_after_us": 2000000,
			"may_cancel": true, "most_held": o.MaxHeld, "most_tries": 1000, "probing": true, "retry_after": true, "streams_per_conn": 8},
		"safety": map[string]any{"answer_slack_us": 20000, "drain_grace_us": 2000000, "fall_us": 2000000, "overload_factor": 1.5,
			"ramp_time_us": 13000000, "start_capacity": 0.26},
		"specifics": map[string]any{"calls_out": 256, "kind_batch": []int{1}, "late": "linear", "own_limits": []bool{false}},
		"report":    map[string]any{"fields": []string{}, "how": "none"},
		"tick_us":   5000, "value_by": "request", "weights": "nominal", "zone": 0}
}

// Configure writes the configuration file anew, with a class name that a change of settings can be told by.
func (r *Relay) Configure(edit func(settings map[string]any)) error {
	o := &r.opts
	s := o.settings()
	if edit != nil {
		edit(s)
	}
	text, err := json.Marshal(map[string]any{"name": "n1", "listen": r.Addr, "discovery": o.Discovery, "seed": "8c1f30d27a5be964",
		"state": filepath.Join(o.Dir, "state"), "limits": map[string]any{"cores": 1.0, "memory_mb": o.MemoryMB, "sockets": o.Sockets,
			"disk_mb": o.DiskMB}, "settings": s})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.Dir, "config.json"), text, 0o600)
}

// New prepares a relay; Start runs it.
func New(o Options) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // a free port; it is let go at once
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: l.Addr().String(), opts: o}
	l.Close()
	if err := os.MkdirAll(filepath.Join(o.Dir, "state"), 0o700); err != nil {
		return nil, err
	}
	r.env = []string{"TMPDIR=" + o.Dir, "ROUTER_CONFIG=" + filepath.Join(o.Dir, "config.json"), "ROUTER_NAME=n1",
		"ROUTER_LISTEN=" + r.Addr, "ROUTER_DISCOVERY=" + o.Discovery, "ROUTER_STATE=" + filepath.Join(o.Dir, "state")}
	return r, r.Configure(nil)
}

// Start runs the process and waits until it answers PING. It tells how long that took. When ctx ends, so does
// the process.
func (r *Relay) Start(ctx context.Context) (time.Duration, error) {
	r.cmd = exec.CommandContext(ctx, r.opts.Program)
	r.cmd.Env = r.env
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if r.opts.Log != nil {
		r.cmd.Stderr = r.opts.Log
	}
	began := time.Now()
	if err := r.cmd.Start(); err != nil {
		return 0, fmt.Errorf("program: %w", err)
	}
	done := make(chan struct{})
	r.done = done
	go func() { r.cmd.Wait(); close(done) }()
	for {
		if c, err := Dial(r.Addr); err == nil {
			err = c.Ping()
			c.Close()
			if err == nil {
				return time.Since(began), nil
			}
		}
		select {
		case <-done:
			return 0, fmt.Errorf("program: %s ended before it was ready", r.opts.Program)
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// Signal sends the process a signal.
func (r *Relay) Signal(s syscall.Signal) error { return r.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (r *Relay) Kill() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	r.cmd.Process.Kill()
	<-r.done
}

// Ended reports whether the process has ended by itself.
func (r *Relay) Ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Cost is what a process has used.
type Cost struct {
	RSS  int64         // bytes resident now
	Peak int64         // and at most so far
	CPU  time.Duration // user and system time
}

// Cost reads what the process has used so far.
func (r *Relay) Cost() (Cost, error) { return Read(r.cmd.Process.Pid) }

// LogBytes is the size of what the relay keeps in its state folder.
func (r *Relay) LogBytes() (sum int64, err error) {
	list, err := os.ReadDir(filepath.Join(r.opts.Dir, "state"))
	for _, e := range list {
		if info, err := e.Info(); err == nil {
			sum += info.Size()
		}
	}
	return sum, err
}

// ticks is the unit of processor time in /proc, the same on every Linux.
const ticks = 100

// Read reads what a process of this machine has used so far.
func Read(pid int) (c Cost, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return c, err
	}
	for _, f := range []struct {
		key string
		to  *int64
	}{{"VmRSS:", &c.RSS}, {"VmHWM:", &c.Peak}} {
		_, rest, _ := bytes.Cut(status, []byte(f.key))
		words := strings.Fields(string(rest[:min(len(rest), 40)]))
		if len(words) == 0 {
			return c, fmt.Errorf("/proc/%d/status: no %s", pid, f.key)
		}
		kb, err := strconv.ParseInt(words[0], 10, 64)
		if err != nil {
			return c, fmt.Errorf("/proc/%d/status: %s %w", pid, f.key, err)
		}
		*f.to = kb << 10
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return c, err
	}
	words := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(words) < 13 {
		return c, fmt.Errorf("/proc/%d/stat: %d words", pid, len(words))
	}
	for _, w := range words[11:13] {
		n, err := strconv.ParseInt(w, 10, 64)
		if err != nil {
			return c, fmt.Errorf("/proc/%d/stat: %w", pid, err)
		}
		c.CPU += time.Duration(n) * time.Second / ticks
	}
	return c, nil
}
