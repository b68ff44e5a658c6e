// Package process runs relay processes, hands in messages to them over loopback sockets and reads from /proc how much
// memory and processor time they use.
package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Options configures a relay process.
type Options struct {
	Program   string // path of the relay's binary
	Dir       string // directory of the relay's files; not shared with another relay
	Discovery string // address of service discovery
	MemoryMB  int
	Sockets   int
	DiskMB    int
	MaxHeld   int           // messages held at most
	Relays    int           // size of the fleet according to the relay's settings
	Deadline  time.Duration // deadline of the message class
	Log       *os.File      // receives the relay's log; nil discards it
}

// Relay is one relay, run as a process. After Kill it can be started again on the same files.
type Relay struct {
	Addr   string // address for clients
	opts   Options
	cmd    *exec.Cmd
	env    []string
	exited chan struct{} // closed when the process has exited
}

// relaySettings returns the "settings" section of the configuration, in the form that a deployment uses.
func (o *Options) relaySettings() map[string]any {
	micros := func(d time.Duration) int64 { return d.Microseconds() }
	return map[string]any{
		"accounts":  []any{map[string]any{"name": "acme", "quota_per_s": 0, "share": 1}},
		"balancers": o.Relays,
		"classes": []any{map[string]any{"name": "notice", "repeat": "retryable", "group": "all", "worth": 1,
			"late_worth": 0.1, "deadline_us": micros(o.Deadline), "target_us": micros(o.Deadline) / 4,
			"dedup_window_us": micros(5 * time.Second)}},
		"discovery": "pushed", "kinds": []string{"k"}, "localities": []string{"a", "b"},
		"limits": map[string]any{"connect_timeout_us": 1500000, "keepalive_us": 10000000, "max_retry_after_us": 2000000,
			"may_cancel": true, "most_held": o.MaxHeld, "most_tries": 1000, "probing": true, "retry_after": true,
			"streams_per_conn": 8},
		"safety": map[string]any{"answer_slack_us": 20000, "drain_grace_us": 2000000, "fall_us": 2000000,
			"overload_factor": 1.5, "ramp_time_us": 13000000, "start_capacity": 0.26},
		"specifics": map[string]any{"calls_out": 256, "kind_batch": []int{1}, "late": "linear", "own_limits": []bool{false}},
		"report":    map[string]any{"fields": []string{}, "how": "none"},
		"tick_us":   5000, "value_by": "request", "weights": "nominal", "zone": 0}
}

// WriteConfig writes the configuration file. If edit is not nil, it may change the settings before they are written.
func (r *Relay) WriteConfig(edit func(settings map[string]any)) error {
	opts := &r.opts
	settings := opts.relaySettings()
	if edit != nil {
		edit(settings)
	}
	text, err := json.Marshal(map[string]any{"name": "n1", "listen": r.Addr, "discovery": opts.Discovery,
		"seed": "8c1f30d27a5be964", "state": filepath.Join(opts.Dir, "state"), "limits": map[string]any{"cores": 1.0,
			"memory_mb": opts.MemoryMB, "sockets": opts.Sockets, "disk_mb": opts.DiskMB}, "settings": settings})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(opts.Dir, "config.json"), text, 0o600)
}

// New chooses a port and writes the configuration of a relay. Start runs the process.
func New(opts Options) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // finds a free port; closed below so that the relay can bind it
	if err != nil {
		return nil, err
	}
	relay := &Relay{Addr: listener.Addr().String(), opts: opts}
	listener.Close()
	if err := os.MkdirAll(filepath.Join(opts.Dir, "state"), 0o700); err != nil {
		return nil, err
	}
	relay.env = []string{"TMPDIR=" + opts.Dir, "ROUTER_CONFIG=" + filepath.Join(opts.Dir, "config.json"),
		"ROUTER_NAME=n1", "ROUTER_LISTEN=" + relay.Addr, "ROUTER_DISCOVERY=" + opts.Discovery,
		"ROUTER_STATE=" + filepath.Join(opts.Dir, "state")}
	return relay, relay.WriteConfig(nil)
}

// Start runs the process, waits until it replies to PING and returns how long that took. The process is killed when
// ctx ends.
func (r *Relay) Start(ctx context.Context) (time.Duration, error) {
	r.cmd = exec.CommandContext(ctx, r.opts.Program)
	r.cmd.Env = r.env
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if r.opts.Log != nil {
		r.cmd.Stderr = r.opts.Log
	}
	startedAt := time.Now()
	if err := r.cmd.Start(); err != nil {
		return 0, fmt.Errorf("starting the relay: %w", err)
	}
	exited := make(chan struct{})
	r.exited = exited
	go func() { r.cmd.Wait(); close(exited) }()
	for {
		if client, err := Dial(r.Addr); err == nil {
			err = client.Ping()
			client.Close()
			if err == nil {
				return time.Since(startedAt), nil
			}
		}
		select {
		case <-exited:
			return 0, fmt.Errorf("starting the relay: %s exited before it was ready", r.opts.Program)
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// Signal sends a signal to the process.
func (r *Relay) Signal(s syscall.Signal) error { return r.cmd.Process.Signal(s) }

// Kill kills the process with SIGKILL and waits until it has exited.
func (r *Relay) Kill() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	r.cmd.Process.Kill()
	<-r.exited
}

// Exited reports whether the process has exited.
func (r *Relay) Exited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// Usage is the memory and processor time of a process.
type Usage struct {
	ResidentBytes     int64         // resident set size now
	AnonymousBytes    int64         // resident memory that is not that of files
	PeakResidentBytes int64         // largest resident set size since the process started
	CPU               time.Duration // user and system time since the process started
}

// Usage reads the memory and processor time of the process.
func (r *Relay) Usage() (Usage, error) { return ReadUsage(r.cmd.Process.Pid) }

// LogBytes returns the total size of the files in the relay's state folder.
func (r *Relay) LogBytes() (sum int64, err error) {
	entries, err := os.ReadDir(filepath.Join(r.opts.Dir, "state"))
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil {
			sum += info.Size()
		}
	}
	return sum, err
}

// FileBytes returns the total size of the files in the relay's directory, its state folder included.
func (r *Relay) FileBytes() (sum int64, err error) {
	err = filepath.WalkDir(r.opts.Dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return nil // a file may have been removed meanwhile
		}
		if info, err := entry.Info(); err == nil {
			sum += info.Size()
		}
		return nil
	})
	return sum, err
}

// ticksPerSecond is the unit of processor time in /proc/PID/stat (USER_HZ), which is the same on every Linux.
const ticksPerSecond = 100

// ReadUsage reads the memory and processor time of a process from /proc.
func ReadUsage(pid int) (usage Usage, err error) {
	statusText, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return usage, err
	}
	for _, field := range []struct {
		key string
		to  *int64
	}{{"VmRSS:", &usage.ResidentBytes}, {"VmHWM:", &usage.PeakResidentBytes},
		{"RssAnon:", &usage.AnonymousBytes}} {
		_, rest, _ := bytes.Cut(statusText, []byte(field.key))
		fields := strings.Fields(string(rest[:min(len(rest), 40)]))
		if len(fields) == 0 {
			return usage, fmt.Errorf("/proc/%d/status: no %s", pid, field.key)
		}
		kb, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			return usage, fmt.Errorf("/proc/%d/status: %s %w", pid, field.key, err)
		}
		*field.to = kb << 10
	}
	statText, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage, err
	}
	fields := strings.Fields(string(statText[bytes.LastIndexByte(statText, ')')+1:]))
	if len(fields) < 13 {
		return usage, fmt.Errorf("/proc/%d/stat: only %d fields after the command name", pid, len(fields))
	}
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return usage, fmt.Errorf("/proc/%d/stat: %w", pid, err)
		}
		usage.CPU += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	return usage, nil
}
