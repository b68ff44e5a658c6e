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
	for _, entry := range []struct {
		kind, description string
		measure           func(*testbed, int) (map[string]float64, error)
	}{
		{"listed", "start of a relay process, by destinations listed", (*testbed).measureListed},
		{"active", "relay process, by destinations that got a message", (*testbed).measureActive},
		{"held", "relay process and its restart, by messages held", (*testbed).measureHeld},
		{"connections", "relay process, by open client connections", (*testbed).measureConnections},
		{"events", "relay process, by messages delivered", (*testbed).measureEvents},
		{"operations", "cost of each operation of a relay process, by destinations listed", (*testbed).measureOperations},
	} {
		register(entry.kind, entry.description, func(ctx context.Context, exp *Experiment, result *Result,
			limiter *resourceLimiter, log *slog.Logger) error {
			for turn := range exp.Turns {
				for _, size := range exp.Sizes {
					figures, err := measureRelay(exp, limiter, entry.kind, size, entry.measure)
					if err != nil {
						return fmt.Errorf("size %d: %w", size, err)
					}
					result.add(size, turn, figures)
					log.Info("measured", "experiment", exp.Name, "size", size, "turn", turn, "figures", figures)
				}
			}
			return nil
		})
	}
}

// testbed is one relay process with the servers around it: discovery and the endpoints of all destinations.
type testbed struct {
	exp               *Experiment
	limiter           *resourceLimiter
	dests             int
	liveDests         int // destinations whose endpoints have a server; evenly spaced among all
	catalog           *registry.Catalog
	registry          *registry.Registry
	agent             *registry.Agent
	initialServer     *partner.Server // serves the endpoints of the first list, and every second incarnation after it
	replacementServer *partner.Server // serves the other incarnations
	relay             *process.Relay
	readyAfter        time.Duration
}

// measureRelay sets up a testbed for one size of an experiment, starts the relay and runs the measurement.
func measureRelay(exp *Experiment, limiter *resourceLimiter, kind string, size int,
	measure func(*testbed, int) (map[string]float64, error)) (map[string]float64, error) {
	dir, err := os.MkdirTemp("", "hollow-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	bed := &testbed{exp: exp, limiter: limiter, dests: exp.Relay.Destinations}
	maxHeld, sockets := exp.Relay.MaxHeld, exp.Relay.Sockets
	switch kind {
	case "listed", "operations":
		bed.dests = size
	case "held":
		maxHeld = max(maxHeld, 2*size)
	case "connections":
		sockets = max(sockets, 2*size+1024)
	case "active":
		if size > bed.dests {
			return nil, fmt.Errorf("relay.destinations: %d, want at least the largest size", bed.dests)
		}
		bed.liveDests = size
	}
	if bed.liveDests == 0 {
		bed.liveDests = min(max(exp.Load.Messages, 1), bed.dests)
	}
	for _, server := range []**partner.Server{&bed.initialServer, &bed.replacementServer} {
		if *server, err = partner.NewServer(); err != nil {
			return nil, err
		}
		defer (*server).Close()
	}
	bed.catalog, err = registry.NewCatalog(registry.Spec{Destinations: bed.dests, Seed: exp.Seed,
		Shuffled: exp.Relay.Shuffled, Rate: 1000000, Addr: bed.addr})
	if err != nil {
		return nil, err
	}
	bed.registry = registry.New(bed.catalog)
	defer bed.registry.Close()
	if bed.agent, err = bed.registry.NewAgent(""); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	bed.relay, err = process.New(process.Options{Program: exp.Relay.Program, Dir: dir, Discovery: bed.agent.Addr(),
		MemoryMB: exp.Relay.MemoryMB, Sockets: sockets, DiskMB: exp.Relay.DiskMB, MaxHeld: maxHeld,
		Relays: exp.Relay.Relays, Deadline: time.Duration(exp.Load.DeadlineMS) * time.Millisecond, Log: logFile})
	if err != nil {
		return nil, err
	}
	if bed.readyAfter, err = limiter.startRelay(bed.relay); err != nil {
		return nil, errors.Join(err, lastLogLine(logFile.Name()))
	}
	defer limiter.killRelay(bed.relay)
	figures, err := measure(bed, size)
	if err != nil {
		err = errors.Join(err, lastLogLine(logFile.Name()))
	}
	return figures, err
}

// lastLogLine returns an error that quotes the last line of a relay's log, to go with the error of the measurement.
func lastLogLine(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text = text[max(0, len(text)-4096):]
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return fmt.Errorf("the relay's log ends with %.300q", lines[len(lines)-1])
}

const endpointsPerDest = 2

// addr returns the address of an endpoint: that of a server for the live destinations, and an address where nothing
// listens for all others.
func (b *testbed) addr(index, incarnation int) string {
	if step := b.dests / b.liveDests; index/endpointsPerDest%step != 0 {
		return fmt.Sprintf("10.%d.%d.%d:%d", index>>16&255, index>>8&255, index&255, 6379+incarnation)
	}
	if incarnation%2 == 0 {
		return b.initialServer.Addr()
	}
	return b.replacementServer.Addr()
}

// dest returns the i-th live destination, starting over after the last.
func (b *testbed) dest(i int) int { return i % b.liveDests * (b.dests / b.liveDests) }

const (
	idlePollInterval = 200 * time.Millisecond
	idleTimeout      = 120 * time.Second
)

// waitIdle waits until the relay uses at most 10 ms of processor time in a poll interval, and returns its usage then.
func (b *testbed) waitIdle() (process.Usage, error) {
	before := process.Usage{CPU: -time.Hour}
	for giveUpAt := time.Now().Add(idleTimeout); time.Now().Before(giveUpAt); {
		usage, err := b.relay.Usage()
		if err != nil {
			return usage, err
		}
		if usage.CPU-before.CPU <= 10*time.Millisecond {
			return usage, nil
		}
		before = usage
		select {
		case <-b.limiter.ctx.Done():
			return usage, context.Cause(b.limiter.ctx)
		case <-time.After(idlePollInterval):
		}
	}
	return before, errors.New("the relay did not become idle in time")
}

// measureUsage runs an operation and returns the relay's usage before it and after it, each time with the relay idle.
func (b *testbed) measureUsage(operation func() error) (before, after process.Usage, err error) {
	if before, err = b.waitIdle(); err != nil {
		return
	}
	if err = operation(); err == nil {
		after, err = b.waitIdle()
	}
	return
}

// cpuMicrosPerOperation returns the processor time between two readings for each of n operations, in microseconds.
func cpuMicrosPerOperation(before, after process.Usage, n int) float64 {
	return float64((after.CPU - before.CPU).Microseconds()) / float64(max(n, 1))
}

// submitAll hands in n messages, and returns an error unless the relay accepts all of them.
func (b *testbed) submitAll(prefix string, n int) error {
	load := process.Load{IDPrefix: prefix, Messages: n, Connections: b.exp.Load.Connections, Dest: b.dest,
		Body:     strings.Repeat("x", b.exp.Load.BodyBytes),
		Deadline: time.Duration(b.exp.Load.DeadlineMS) * time.Millisecond}
	accepted, _, err := load.Run(b.limiter.ctx, b.relay.Addr)
	if err == nil && accepted != n {
		err = fmt.Errorf("the relay accepted %d of %d messages", accepted, n)
	}
	return err
}

// waitFor polls a condition until it holds. If the run ends first, the error names the event that was waited for.
func (b *testbed) waitFor(event string, condition func() bool) error {
	for !condition() {
		select {
		case <-b.limiter.ctx.Done():
			return fmt.Errorf("waiting for %s: %w", event, context.Cause(b.limiter.ctx))
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

// deliver hands in n messages and waits until all of them are delivered.
func (b *testbed) deliver(prefix string, n int) error {
	servedBefore := b.initialServer.Served.Load()
	if err := b.submitAll(prefix, n); err != nil {
		return err
	}
	return b.waitFor("delivery", func() bool { return b.initialServer.Served.Load()-servedBefore >= int64(n) })
}

// measureListed measures the start of a relay with size destinations listed, until it has delivered one message.
func (b *testbed) measureListed(size int) (map[string]float64, error) {
	if err := b.deliver("first", 1); err != nil {
		return nil, err
	}
	usage, err := b.waitIdle()
	if err != nil {
		return nil, err
	}
	requests := b.registry.Total(0)
	return map[string]float64{"rss_bytes": float64(usage.ResidentBytes), "peak_bytes": float64(usage.PeakResidentBytes),
		"cpu_us": float64(usage.CPU.Microseconds()), "ready_ms": float64(b.readyAfter.Microseconds()) / 1000,
		"sent_bytes": float64(requests.SentBytes)}, nil
}

// measureActive measures the delivery of one message to each of size destinations.
func (b *testbed) measureActive(size int) (map[string]float64, error) {
	before, after, err := b.measureUsage(func() error { return b.deliver("m", size) })
	if err != nil {
		return nil, err
	}
	return map[string]float64{"rss_bytes": float64(after.ResidentBytes),
		"growth_bytes": float64(after.ResidentBytes - before.ResidentBytes),
		"cpu_us":       float64((after.CPU - before.CPU).Microseconds())}, nil
}

// measureEvents measures the delivery of size messages, to the live destinations in turn.
func (b *testbed) measureEvents(size int) (map[string]float64, error) {
	before, after, err := b.measureUsage(func() error { return b.deliver("m", size) })
	if err != nil {
		return nil, err
	}
	return map[string]float64{"cpu_us": float64((after.CPU - before.CPU).Microseconds()),
		"rss_bytes": float64(after.ResidentBytes)}, nil
}

// longRetryAfter is a Retry-After that outlasts any experiment.
const longRetryAfter = 10 * time.Minute

// measureHeld measures size messages that the relay holds because all destinations reply with a long Retry-After,
// then a restart that recovers them from the log, and then a restart after which all of them are delivered.
func (b *testbed) measureHeld(size int) (map[string]float64, error) {
	b.initialServer.SetResponse(partner.Response{RetryAfter: longRetryAfter})
	before, after, err := b.measureUsage(func() error { return b.submitAll("m", size) })
	if err != nil {
		return nil, err
	}
	logBytes, err := b.relay.LogBytes()
	if err != nil {
		return nil, err
	}
	figures := map[string]float64{"rss_bytes": float64(after.ResidentBytes),
		"growth_bytes": float64(after.ResidentBytes - before.ResidentBytes),
		"cpu_us":       float64((after.CPU - before.CPU).Microseconds()), "log_bytes": float64(logBytes)}
	b.limiter.killRelay(b.relay)
	readyAfter, err := b.limiter.startRelay(b.relay)
	if err != nil {
		return figures, err
	}
	usage, err := b.waitIdle()
	if err != nil {
		return figures, err
	}
	figures["replay_ready_ms"] = float64(readyAfter.Microseconds()) / 1000
	figures["replay_cpu_us"] = float64(usage.CPU.Microseconds())
	figures["replay_rss_bytes"], figures["replay_peak_bytes"] =
		float64(usage.ResidentBytes), float64(usage.PeakResidentBytes)
	// The relay is restarted again, now with endpoints that deliver. It sends at once, since a Retry-After is known
	// only to the process that received it.
	b.limiter.killRelay(b.relay)
	servedBefore := b.initialServer.Served.Load()
	b.initialServer.SetResponse(partner.Response{})
	startedAt := time.Now()
	if _, err := b.limiter.startRelay(b.relay); err != nil {
		return figures, err
	}
	if err := b.waitFor("delivery of the backlog", func() bool {
		return b.initialServer.Served.Load()-servedBefore >= int64(size)
	}); err != nil {
		return figures, err
	}
	figures["drained_ms"] = float64(time.Since(startedAt).Microseconds()) / 1000
	return figures, nil
}

// measureConnections measures size open client connections on which the relay has replied to one PING each.
func (b *testbed) measureConnections(size int) (map[string]float64, error) {
	var open []*process.Client
	defer func() {
		for _, client := range open {
			client.Close()
		}
	}()
	before, err := b.waitIdle()
	if err != nil {
		return nil, err
	}
	for range size {
		client, err := process.Dial(b.relay.Addr)
		if err != nil {
			return nil, err
		}
		open = append(open, client)
		if err := client.Ping(); err != nil {
			return nil, err
		}
	}
	after, err := b.relay.Usage()
	if err != nil {
		return nil, err
	}
	return map[string]float64{"rss_bytes": float64(after.ResidentBytes),
		"growth_bytes": float64(after.ResidentBytes - before.ResidentBytes),
		"cpu_us":       float64((after.CPU - before.CPU).Microseconds())}, nil
}

// measureOperations measures the cost of each kind of operation with size destinations listed.
func (b *testbed) measureOperations(size int) (map[string]float64, error) {
	load := &b.exp.Load
	figures := map[string]float64{}
	operations := []struct {
		name  string
		count int
		do    func(n int) error
	}{
		{"event", load.Messages, func(n int) error { return b.deliver("e", n) }},
		{"told_wait", min(load.Messages, b.liveDests), b.throttleMessages},
		{"change", load.Changes, func(n int) error {
			for i := range n { // replaces endpoints of destinations that get no messages
				b.catalog.Replace((b.dests - 1 - i%b.dests) * endpointsPerDest)
				time.Sleep(5 * time.Millisecond)
			}
			return nil
		}},
		{"reload", load.Reloads, b.reloadConfig},
		{"reconnect", load.Reconnects, b.reconnectWatch},
		{"full_list", min(load.Reconnects, 3), func(n int) error {
			for range n {
				bytesBefore := b.registry.Total(0).FirstLineBytes
				b.catalog.DropHistory()
				if err := b.reconnectWatch(1); err != nil {
					return err
				}
				if b.registry.Total(0).FirstLineBytes-bytesBefore < int64(b.dests)*endpointsPerDest*100 {
					return errors.New("discovery sent less than the full list")
				}
			}
			return nil
		}},
	}
	for _, operation := range operations {
		if operation.count == 0 {
			continue
		}
		requestsBefore := b.registry.Total(0)
		before, after, err := b.measureUsage(func() error { return operation.do(operation.count) })
		if err != nil {
			return figures, fmt.Errorf("%s: %w", operation.name, err)
		}
		requestsAfter := b.registry.Total(0)
		figures[operation.name+"_cpu_us"] = cpuMicrosPerOperation(before, after, operation.count)
		if operation.name == "change" || operation.name == "reconnect" || operation.name == "full_list" {
			sent := requestsAfter.SentBytes - requestsAfter.KeepAliveBytes - requestsBefore.SentBytes +
				requestsBefore.KeepAliveBytes
			figures[operation.name+"_sent_bytes"] = float64(sent) / float64(operation.count)
		}
	}
	figures["told_wait_cpu_us"] -= figures["event_cpu_us"] // without the delivery after the throttling
	var times []time.Duration
	for i := range min(load.Changes, b.liveDests) {
		delay, err := b.measureChangeDelay(i)
		if err != nil {
			return figures, fmt.Errorf("time until a change is in force: %w", err)
		}
		times = append(times, delay)
	}
	if len(times) > 0 {
		addQuantiles(figures, "change_in_force", times)
	}
	usage, err := b.relay.Usage()
	figures["rss_bytes"], figures["peak_bytes"] = float64(usage.ResidentBytes), float64(usage.PeakResidentBytes)
	return figures, err
}

// throttleMessages hands in n messages, each of which gets a reply with Retry-After first and is then delivered.
func (b *testbed) throttleMessages(n int) error {
	b.initialServer.SetResponse(partner.Response{RetryAfter: 2 * time.Second})
	callsBefore, servedBefore := b.initialServer.Calls.Load(), b.initialServer.Served.Load()
	if err := b.submitAll("w", n); err != nil {
		return err
	}
	if err := b.waitFor("throttled calls", func() bool {
		return b.initialServer.Calls.Load()-callsBefore >= int64(n)
	}); err != nil {
		return err
	}
	b.initialServer.SetResponse(partner.Response{})
	return b.waitFor("delivery after Retry-After", func() bool {
		return b.initialServer.Served.Load()-servedBefore >= int64(n)
	})
}

// reloadConfig changes the configuration file n times, each time followed by SIGHUP.
func (b *testbed) reloadConfig(n int) error {
	for i := range n {
		err := b.relay.WriteConfig(func(settings map[string]any) {
			settings["limits"].(map[string]any)["probing"] = i%2 == 1
		})
		if err == nil {
			err = b.relay.Signal(syscall.SIGHUP)
		}
		if err == nil {
			_, err = b.waitIdle()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// reconnectWatch resets the relay's connections to discovery n times, each time until the relay has opened a new
// watch and is idle.
func (b *testbed) reconnectWatch(n int) error {
	for range n {
		watchesBefore := b.registry.Total(0).Watches
		b.agent.Reset()
		if err := b.waitFor("a new watch", func() bool { return b.registry.Total(0).Watches > watchesBefore }); err != nil {
			return err
		}
		if _, err := b.waitIdle(); err != nil { // until the relay has read a full list, if it gets one
			return err
		}
	}
	return nil
}

// measureChangeDelay replaces both endpoints of a destination by endpoints on the other server, and returns how long
// it takes until the relay sends a message there. It hands in one message at a time, about one per millisecond.
func (b *testbed) measureChangeDelay(i int) (time.Duration, error) {
	client, err := process.Dial(b.relay.Addr)
	if err != nil {
		return 0, err
	}
	defer client.Close()
	dest := b.dest(i)
	startedAt := time.Now()
	for endpoint := range endpointsPerDest {
		b.catalog.Replace(dest*endpointsPerDest + endpoint)
	}
	for n := 0; ; n++ {
		servers := []*partner.Server{b.initialServer, b.replacementServer}
		callsBefore := []int64{b.initialServer.Calls.Load(), b.replacementServer.Calls.Load()}
		sentAt := time.Now()
		reply, err := client.Put(fmt.Sprintf("f-%d-%d", i, n), dest,
			time.Duration(b.exp.Load.DeadlineMS)*time.Millisecond, "x")
		if err != nil {
			return 0, err
		}
		if strings.HasPrefix(reply, "+") {
			err := b.waitFor("a call", func() bool {
				return slices.ContainsFunc([]int{0, 1}, func(k int) bool { return servers[k].Calls.Load() > callsBefore[k] })
			})
			if err != nil {
				return 0, err
			}
			if b.replacementServer.Calls.Load() > callsBefore[1] {
				return sentAt.Sub(startedAt), nil
			}
		}
		time.Sleep(time.Millisecond)
	}
}
