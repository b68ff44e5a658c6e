// Package peers measures how a relay process serves ordinary clients while other peers connect to it that misbehave:
// crowds that are slow, stop or send invalid commands, single connections that flood the relay, and clients that leave
// with their messages unanswered. Everything runs on loopback sockets.
package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"troutusher/internal/rig/partner"
	"troutusher/internal/rig/process"
	"troutusher/internal/rig/registry"
)

// Scenario is one measurement.
type Scenario struct {
	Behavior string // a key of Behaviors
	Program  string // path of the relay's binary
	Peers    int    // connections of the peers; 0 for the default of the behavior
	MemoryMB int    // limit of the relay
	Sockets  int    // limit of the relay
	DiskMB   int    // limit of the relay

	ServeTime   time.Duration // time that the partner takes for a call
	Lead        time.Duration // time of the ordinary clients alone, before the peers come
	For         time.Duration // time for which the peers come
	Rest        time.Duration // time after the peers have left
	ReturnAfter time.Duration // pause after which a peer whose connection has ended connects again
	LogPath     string        // file for the relay's log; empty discards it
}

// Result is what a scenario has shown. Memory is the relay's anonymous memory and the files that it holds.
type Result struct {
	Behavior      string         `json:"behavior"`
	Peers         int            `json:"peers"`
	Seconds       float64        `json:"seconds"`
	LimitKB       int64          `json:"limit_kb"`
	RestKB        int64          `json:"rest_kb"`  // before the peers came
	PeakKB        int64          `json:"peak_kb"`  // while they came
	AfterKB       int64          `json:"after_kb"` // Scenario.Rest after they had left
	Clients       map[string]int `json:"clients"`  // requests of the ordinary clients, by outcome
	NoReply       int            `json:"no_reply"` // those without any reply
	P50MS         float64        `json:"p50_ms"`   // of the replies to ordinary clients
	P99MS         float64        `json:"p99_ms"`
	MaxMS         float64        `json:"max_ms"`
	Connections   int64          `json:"connections"`     // made by the peers
	Commands      int64          `json:"commands"`        // sent by the peers, as far as they count them
	LongestOpenMS int64          `json:"longest_open_ms"` // longest life of a peer's connection
	UnreadReplies int64          `json:"unread_replies"`  // that leaving peers had got
	Calls         int64          `json:"calls"`           // received by the partner
	RelayExited   bool           `json:"relay_exited"`
}

const (
	sampleInterval = 5 * time.Millisecond
	relayDeadline  = 28 * time.Second
	mostHeld       = 282 // messages that the relay may hold
	destination    = 0
)

// Run starts a relay process and plays one scenario.
func Run(ctx context.Context, scenario Scenario, log *slog.Logger) (*Result, error) {
	behavior, ok := Behaviors[scenario.Behavior]
	if !ok {
		return nil, fmt.Errorf("behavior: %q is unknown, want one of %v", scenario.Behavior,
			slices.Sorted(maps.Keys(Behaviors)))
	}
	if scenario.Peers == 0 {
		scenario.Peers = behavior.peers
	}
	relay, server, cleanUp, err := start(ctx, &scenario)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	result := &Result{Behavior: scenario.Behavior, Peers: scenario.Peers, Seconds: scenario.For.Seconds(),
		LimitKB: int64(scenario.MemoryMB) << 10}
	memory := sampleMemory(relay)
	defer memory.stop()

	var clients *ordinaryClients
	if !behavior.alone {
		clients = startOrdinaryClients(ctx, relay.Addr)
		wait(ctx, scenario.Lead)
	}
	result.RestKB = memory.takePeak()
	log.Info("peers come", "behavior", scenario.Behavior, "peers", scenario.Peers)
	crowd := newCrowd(&scenario, relay.Addr)
	crowd.play(ctx, behavior, scenario.For)
	result.PeakKB = memory.takePeak()
	wait(ctx, scenario.Rest)
	if clients != nil {
		clients.stop(result)
	}
	memory.takePeak()
	result.AfterKB = memory.takePeak()
	result.Connections, result.Commands = crowd.connections.Load(), crowd.commands.Load()
	result.UnreadReplies = crowd.unreadReplies.Load()
	result.LongestOpenMS = crowd.longestOpen.Load()
	result.Calls, result.RelayExited = server.Calls.Load(), relay.Exited()
	return result, context.Cause(ctx)
}

// start starts a relay process with a partner and service discovery.
func start(ctx context.Context, scenario *Scenario) (relay *process.Relay, server *partner.Server, cleanUp func(),
	err error) {
	var closers []func()
	cleanUp = func() {
		for _, closeOne := range slices.Backward(closers) {
			closeOne()
		}
	}
	defer func() {
		if err != nil {
			cleanUp()
		}
	}()
	dir, err := os.MkdirTemp("", "peers-")
	if err != nil {
		return nil, nil, cleanUp, err
	}
	closers = append(closers, func() { os.RemoveAll(dir) })
	if server, err = partner.NewServer(); err != nil {
		return nil, nil, cleanUp, err
	}
	closers = append(closers, func() { server.Close() })
	server.SetResponse(partner.Response{Delay: scenario.ServeTime})
	catalog, err := registry.NewCatalog(registry.Spec{Destinations: 1, Endpoints: 1, Rate: 1000000,
		Addr: func(int, int) string { return server.Addr() }})
	if err != nil {
		return nil, nil, cleanUp, err
	}
	discovery := registry.New(catalog)
	closers = append(closers, func() { discovery.Close() })
	agent, err := discovery.NewAgent("")
	if err != nil {
		return nil, nil, cleanUp, err
	}
	options := process.Options{Program: scenario.Program, Dir: dir, Discovery: agent.Addr(), MemoryMB: scenario.MemoryMB,
		Sockets: scenario.Sockets, DiskMB: scenario.DiskMB, MaxHeld: mostHeld, Relays: 1, Deadline: relayDeadline}
	if scenario.LogPath != "" {
		if options.Log, err = os.Create(filepath.Clean(scenario.LogPath)); err != nil {
			return nil, nil, cleanUp, err
		}
		closers = append(closers, func() { options.Log.Close() })
	}
	if relay, err = process.New(options); err != nil {
		return nil, nil, cleanUp, err
	}
	closers = append(closers, relay.Kill)
	_, err = relay.Start(ctx)
	return relay, server, cleanUp, err
}

// wait waits for a time, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// memorySampler samples the memory of a relay.
type memorySampler struct {
	relay  *process.Relay
	mu     sync.Mutex
	peakKB int64
	ended  chan struct{}
	done   chan struct{}
}

// sampleMemory starts to sample.
func sampleMemory(relay *process.Relay) *memorySampler {
	s := &memorySampler{relay: relay, ended: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for {
			s.sample()
			select {
			case <-s.ended:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return s
}

// sample records the memory that the relay has now. A relay that has ended has none.
func (s *memorySampler) sample() {
	usage, err := s.relay.Usage()
	files, filesErr := s.relay.FileBytes()
	if errors.Join(err, filesErr) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peakKB = max(s.peakKB, (usage.AnonymousBytes+files)>>10)
}

// takePeak returns the peak since the call before, the present memory included, in kB.
func (s *memorySampler) takePeak() int64 {
	s.sample()
	s.mu.Lock()
	defer s.mu.Unlock()
	peak := s.peakKB
	s.peakKB = 0
	return peak
}

// stop ends the sampling.
func (s *memorySampler) stop() {
	close(s.ended)
	<-s.done
}

// crowd is the peers of a scenario.
type crowd struct {
	scenario    *Scenario
	addr        string
	connections atomic.Int64
	commands    atomic.Int64
	// unreadReplies counts the replies that had arrived at peers when these closed their connections.
	unreadReplies atomic.Int64
	longestOpen   atomic.Int64 // in milliseconds
}

func newCrowd(scenario *Scenario, addr string) *crowd { return &crowd{scenario: scenario, addr: addr} }

// play lets all peers behave for a time, and returns when they have left.
func (c *crowd) play(ctx context.Context, behavior Behavior, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var running sync.WaitGroup
	for number := range c.scenario.Peers {
		running.Add(1)
		go func() {
			defer running.Done()
			for turn := 0; ctx.Err() == nil; turn++ {
				c.connect(ctx, behavior, number, turn)
				if behavior.once {
					return
				}
				wait(ctx, c.scenario.ReturnAfter)
			}
		}()
	}
	running.Wait()
}
