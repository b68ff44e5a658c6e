package experiment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"troutusher/internal/rig/partner"
	"troutusher/internal/rig/process"
	"troutusher/internal/rig/registry"
)

func init() {
	for _, k := range []struct {
		kind, what string
		play       func(*bench, int) (map[string]float64, error)
	}{
		{"listed", "a real relay's start by destinations listed", (*bench).listed},
		{"active", "a real relay by destinations that got a message", (*bench).active},
		{"held", "a real relay by messages held, and its next start", (*bench).held},
		{"connections", "a real relay by client connections that are open", (*bench).connections},
		{"events", "a real relay by messages delivered", (*bench).events},
		{"operations", "what each operation costs a real relay, by destinations listed", (*bench).operations},
	} {
		register(k.kind, k.what, func(ctx context.Context, x *Experiment, res *Result, g *guard, log *slog.Logger) error {
			for turn := range x.Turns {
				for _, size := range x.Sizes {
					figures, err := onBench(x, g, k.kind, size, k.play)
					if err != nil {
						return fmt.Errorf("size %d: %w", size, err)
					}
					res.add(size, turn, figures)
					log.Info("measured", "experiment", x.Name, "size", size, "turn", turn, "figures", figures)
				}
			}
			return nil
		})
	}
}

// bench is one real relay with all that it needs around it.
type bench struct {
	x       *Experiment
	guard   *guard
	dests   int
	live    int // destinations whose endpoints are there, spread evenly
	catalog *registry.Catalog
	reg     *registry.Registry
	agent   *registry.Agent
	old     *partner.Server // has the endpoints that the list begins with
	new     *partner.Server // and every second incarnation
	relay   *process.Relay
	startup time.Duration
}

// onBench plays one size.
func onBench(x *Experiment, g *guard, kind string, size int, play func(*bench, int) (map[string]float64, error)) (map[string]float64, error) {
	dir, err := os.MkdirTemp("", "hollow-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	b := &bench{x: x, guard: g, dests: x.Relay.Destinations}
	held, sockets := x.Relay.MaxHeld, x.Relay.Sockets
	switch kind {
	case "listed", "operations":
		b.dests = size
	case "held":
		held = max(held, 2*size)
	case "connections":
		sockets = max(sockets, 2*size+1024)
	case "active":
		if size > b.dests {
			return nil, fmt.Errorf("relay.destinations: %d, want the largest size at least", b.dests)
		}
		b.live = size
	}
	if b.live == 0 {
		b.live = min(max(x.Load.Messages, 1), b.dests)
	}
	for _, p := range []**partner.Server{&b.old, &b.new} {
		if *p, err = partner.NewServer(); err != nil {
			return nil, err
		}
		defer (*p).Close()
	}
	b.catalog, err = registry.NewCatalog(registry.Spec{Destinations: b.dests, Seed: x.Seed, Shuffled: x.Relay.Shuffled,
		Rate: 1000000, Addr: b.addr})
	if err != nil {
		return nil, err
	}
	b.reg = registry.New(b.catalog)
	defer b.reg.Close()
	if b.agent, err = b.reg.NewAgent(""); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	b.relay, err = process.New(process.Options{Program: x.Relay.Program, Dir: dir, Discovery: b.agent.Addr(), MemoryMB: x.Relay.MemoryMB,
		Sockets: sockets, DiskMB: x.Relay.DiskMB, MaxHeld: held, Relays: x.Relay.Relays,
		Deadline: time.Duration(x.Load.DeadlineMS) * time.Millisecond, Log: log})
	if err != nil {
		return nil, err
	}
	if b.startup, err = g.start(b.relay); err != nil {
		return nil, errors.Join(err, lastLine(log.Name()))
	}
	defer g.end(b.relay)
	figures, err := play(b, size)
	if err != nil {
		err = errors.Join(err, lastLine(log.Name()))
	}
	return figures, err
}

// lastLine is what a relay's log ends with.
func lastLine(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text = text[max(0, len(text)-4096):]
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return fmt.Errorf("the relay's log ends with %.300q", lines[len(lines)-1])
}

const endpointsEach = 2

// addr is where an endpoint is: a partner's server for the destinations that are there, nowhere for others.
func (b *bench) addr(index, incarnation int) string {
	if step := b.dests / b.live; index/endpointsEach%step != 0 {
		return fmt.Sprintf("10.%d.%d.%d:%d", index>>16&255, index>>8&255, index&255, 6379+incarnation)
	}
	if incarnation%2 == 0 {
		return b.old.Addr()
	}
	return b.new.Addr()
}

// dest is the i-th destination that is there.
func (b *bench) dest(i int) int { return i % b.live * (b.dests / b.live) }

const (
	calmEvery = 200 * time.Millisecond
	calmMost  = 120 * time.Second
)

// calm waits until the relay has nothing to do and tells what it has used by then.
func (b *bench) calm() (process.Cost, error) {
	before := process.Cost{CPU: -time.Hour}
	for end := time.Now().Add(calmMost); time.Now().Before(end); {
		c, err := b.relay.Cost()
		if err != nil {
			return c, err
		}
		if c.CPU-before.CPU <= 10*time.Millisecond {
			return c, nil
		}
		before = c
		select {
		case <-b.guard.ctx.Done():
			return c, context.Cause(b.guard.ctx)
		case <-time.After(calmEvery):
		}
	}
	return before, errors.New("the relay never came to rest")
}

// cost runs an operation and tells what the relay has used for it, once it is at rest again.
func (b *bench) cost(f func() error) (before, after process.Cost, err error) {
	if before, err = b.calm(); err != nil {
		return
	}
	if err = f(); err == nil {
		after, err = b.calm()
	}
	return
}

func perOp(before, after process.Cost, n int) float64 {
	return float64((after.CPU - before.CPU).Microseconds()) / float64(max(n, 1))
}

// put hands in messages that are to be taken on, all of them.
func (b *bench) put(prefix string, n int) error {
	l := process.Load{Prefix: prefix, Messages: n, Conns: b.x.Load.Conns, Dest: b.dest, Body: strings.Repeat("x", b.x.Load.BodyBytes),
		Deadline: time.Duration(b.x.Load.DeadlineMS) * time.Millisecond}
	taken, _, err := l.Run(b.guard.ctx, b.relay.Addr)
	if err == nil && taken != n {
		err = fmt.Errorf("%d of %d messages taken on", taken, n)
	}
	return err
}

// until waits for a condition, as long as the run lasts.
func (b *bench) until(what string, cond func() bool) error {
	for !cond() {
		select {
		case <-b.guard.ctx.Done():
			return fmt.Errorf("%s: %w", what, context.Cause(b.guard.ctx))
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

// deliver hands in messages and waits until all are delivered.
func (b *bench) deliver(prefix string, n int) error {
	from := b.old.Served.Load()
	if err := b.put(prefix, n); err != nil {
		return err
	}
	return b.until("delivery", func() bool { return b.old.Served.Load()-from >= int64(n) })
}

// listed: what a start costs and holds, once a message for the last destination is delivered.
func (b *bench) listed(size int) (map[string]float64, error) {
	if err := b.deliver("first", 1); err != nil {
		return nil, err
	}
	c, err := b.calm()
	if err != nil {
		return nil, err
	}
	n := b.reg.Total(0)
	return map[string]float64{"rss_bytes": float64(c.RSS), "peak_bytes": float64(c.Peak), "cpu_us": float64(c.CPU.Microseconds()),
		"ready_ms": float64(b.startup.Microseconds()) / 1000, "sent_bytes": float64(n.SentBytes)}, nil
}

// active: one message for each of so many destinations.
func (b *bench) active(size int) (map[string]float64, error) {
	before, after, err := b.cost(func() error { return b.deliver("m", size) })
	if err != nil {
		return nil, err
	}
	return map[string]float64{"rss_bytes": float64(after.RSS), "growth_bytes": float64(after.RSS - before.RSS),
		"cpu_us": float64((after.CPU - before.CPU).Microseconds())}, nil
}

// events: so many messages, over the destinations in turn.
func (b *bench) events(size int) (map[string]float64, error) {
	before, after, err := b.cost(func() error { return b.deliver("m", size) })
	if err != nil {
		return nil, err
	}
	return map[string]float64{"cpu_us": float64((after.CPU - before.CPU).Microseconds()), "rss_bytes": float64(after.RSS)}, nil
}

// told is a wait that outlasts any experiment.
const told = 10 * time.Minute

// held: so many messages that all destinations have told to wait; then the process is killed and started again.
func (b *bench) held(size int) (map[string]float64, error) {
	b.old.SetResponse(partner.Response{RetryAfter: told})
	before, after, err := b.cost(func() error { return b.put("m", size) })
	if err != nil {
		return nil, err
	}
	logBytes, err := b.relay.LogBytes()
	if err != nil {
		return nil, err
	}
	figures := map[string]float64{"rss_bytes": float64(after.RSS), "growth_bytes": float64(after.RSS - before.RSS),
		"cpu_us": float64((after.CPU - before.CPU).Microseconds()), "log_bytes": float64(logBytes)}
	b.guard.end(b.relay)
	took, err := b.guard.start(b.relay)
	if err != nil {
		return figures, err
	}
	c, err := b.calm()
	if err != nil {
		return figures, err
	}
	figures["replay_ready_ms"] = float64(took.Microseconds()) / 1000
	figures["replay_cpu_us"] = float64(c.CPU.Microseconds())
	figures["replay_rss_bytes"], figures["replay_peak_bytes"] = float64(c.RSS), float64(c.Peak)
	// Once more, and now all goes out: waits end with the process that heard of them.
	b.guard.end(b.relay)
	from := b.old.Served.Load()
	b.old.SetResponse(partner.Response{})
	began := time.Now()
	if _, err := b.guard.start(b.relay); err != nil {
		return figures, err
	}
	if err := b.until("delivery of the backlog", func() bool { return b.old.Served.Load()-from >= int64(size) }); err != nil {
		return figures, err
	}
	figures["drained_ms"] = float64(time.Since(began).Microseconds()) / 1000
	return figures, nil
}

// connections: so many, each of which has answered once.
func (b *bench) connections(size int) (map[string]float64, error) {
	var open []*process.Client
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	before, err := b.calm()
	if err != nil {
		return nil, err
	}
	for range size {
		c, err := process.Dial(b.relay.Addr)
		if err != nil {
			return nil, err
		}
		open = append(open, c)
		if err := c.Ping(); err != nil {
			return nil, err
		}
	}
	after, err := b.relay.Cost()
	if err != nil {
		return nil, err
	}
	return map[string]float64{"rss_bytes": float64(after.RSS), "growth_bytes": float64(after.RSS - before.RSS),
		"cpu_us": float64((after.CPU - before.CPU).Microseconds())}, nil
}

// operations: what each costs with so many destinations listed.
func (b *bench) operations(size int) (map[string]float64, error) {
	l := &b.x.Load
	figures := map[string]float64{}
	ops := []struct {
		name  string
		count int
		do    func(n int) error
	}{
		{"event", l.Messages, func(n int) error { return b.deliver("e", n) }},
		{"told_wait", min(l.Messages, b.live), b.toldWaits},
		{"change", l.Changes, func(n int) error {
			for i := range n { // of destinations that nothing is sent to
				b.catalog.Replace((b.dests - 1 - i%b.dests) * endpointsEach)
				time.Sleep(5 * time.Millisecond)
			}
			return nil
		}},
		{"reload", l.Reloads, b.reloads},
		{"reconnect", l.Reconnects, b.reconnects},
		{"full_list", min(l.Reconnects, 3), func(n int) error {
			for range n {
				from := b.reg.Total(0).FirstLineBytes
				b.catalog.DropHistory()
				if err := b.reconnects(1); err != nil {
					return err
				}
				if b.reg.Total(0).FirstLineBytes-from < int64(b.dests)*endpointsEach*100 {
					return errors.New("the whole list was not sent")
				}
			}
			return nil
		}},
	}
	for _, op := range ops {
		if op.count == 0 {
			continue
		}
		at := b.reg.Total(0)
		before, after, err := b.cost(func() error { return op.do(op.count) })
		if err != nil {
			return figures, fmt.Errorf("%s: %w", op.name, err)
		}
		now := b.reg.Total(0)
		figures[op.name+"_cpu_us"] = perOp(before, after, op.count)
		if op.name == "change" || op.name == "reconnect" || op.name == "full_list" {
			sent := now.SentBytes - now.KeepAliveBytes - at.SentBytes + at.KeepAliveBytes
			figures[op.name+"_sent_bytes"] = float64(sent) / float64(op.count)
		}
	}
	figures["told_wait_cpu_us"] -= figures["event_cpu_us"] // such a message is delivered as well
	var times []time.Duration
	for i := range min(l.Changes, b.live) {
		took, err := b.inForce(i)
		if err != nil {
			return figures, fmt.Errorf("change in force: %w", err)
		}
		times = append(times, took)
	}
	if len(times) > 0 {
		spread(figures, "change_in_force", times)
	}
	c, err := b.relay.Cost()
	figures["rss_bytes"], figures["peak_bytes"] = float64(c.RSS), float64(c.Peak)
	return figures, err
}

// toldWaits: so many messages that are told to wait once each and delivered then.
func (b *bench) toldWaits(n int) error {
	b.old.SetResponse(partner.Response{RetryAfter: 2 * time.Second})
	from, served := b.old.Calls.Load(), b.old.Served.Load()
	if err := b.put("w", n); err != nil {
		return err
	}
	if err := b.until("calls to be told to wait", func() bool { return b.old.Calls.Load()-from >= int64(n) }); err != nil {
		return err
	}
	b.old.SetResponse(partner.Response{})
	return b.until("delivery after the wait", func() bool { return b.old.Served.Load()-served >= int64(n) })
}

// reloads: a changed configuration and SIGHUP, one after another.
func (b *bench) reloads(n int) error {
	for i := range n {
		err := b.relay.Configure(func(s map[string]any) { s["limits"].(map[string]any)["probing"] = i%2 == 1 })
		if err == nil {
			err = b.relay.Signal(syscall.SIGHUP)
		}
		if err == nil {
			_, err = b.calm()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// reconnects: the agent's connections are reset, and the watch is opened anew.
func (b *bench) reconnects(n int) error {
	for range n {
		from := b.reg.Total(0).Watches
		b.agent.Reset()
		if err := b.until("another watch", func() bool { return b.reg.Total(0).Watches > from }); err != nil {
			return err
		}
		if _, err := b.calm(); err != nil { // and a whole list is read
			return err
		}
	}
	return nil
}

// inForce: both endpoints of a destination are replaced by those of the other partner. It tells how long it takes
// until a message goes there; messages come one every millisecond or so, one at a time.
func (b *bench) inForce(i int) (time.Duration, error) {
	c, err := process.Dial(b.relay.Addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	dest := b.dest(i)
	began := time.Now()
	for e := range endpointsEach {
		b.catalog.Replace(dest*endpointsEach + e)
	}
	for n := 0; ; n++ {
		servers := []*partner.Server{b.old, b.new}
		from := []int64{b.old.Calls.Load(), b.new.Calls.Load()}
		sent := time.Now()
		line, err := c.Put(fmt.Sprintf("f-%d-%d", i, n), dest, time.Duration(b.x.Load.DeadlineMS)*time.Millisecond, "x")
		if err != nil {
			return 0, err
		}
		if strings.HasPrefix(line, "+") {
			err := b.until("a call", func() bool {
				return slices.ContainsFunc([]int{0, 1}, func(k int) bool { return servers[k].Calls.Load() > from[k] })
			})
			if err != nil {
				return 0, err
			}
			if b.new.Calls.Load() > from[1] {
				return sent.Sub(began), nil
			}
		}
		time.Sleep(time.Millisecond)
	}
}
