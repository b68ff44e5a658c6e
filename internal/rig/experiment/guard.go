package experiment

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"troutusher/internal/rig/process"
)

// guard bounds a run in time, memory and processes.
type guard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	peak   atomic.Int64 // bytes resident at most, of all processes together

	mu     sync.Mutex
	relays map[*process.Relay]bool
	most   int
}

const guardEvery = 100 * time.Millisecond

func newGuard(ctx context.Context, l *Limits) (*guard, error) {
	total, err := machineMemory()
	if err != nil {
		return nil, err
	}
	limit := int64(l.MemoryMB) << 20
	if limit > total/2 {
		return nil, fmt.Errorf("limits.memory_mb: %d, and half of this machine is %d", l.MemoryMB, total>>21)
	}
	g := &guard{relays: map[*process.Relay]bool{}, most: l.Processes}
	ctx, stop := context.WithTimeoutCause(ctx, time.Duration(l.Seconds)*time.Second, fmt.Errorf("limits.seconds: %d are over", l.Seconds))
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	go func() {
		defer stop()
		t := time.NewTicker(guardEvery)
		defer t.Stop()
		for {
			if sum := g.resident(); sum > limit {
				g.cancel(fmt.Errorf("limits.memory_mb: %d, and %d are used", l.MemoryMB, sum>>20))
			}
			select {
			case <-g.ctx.Done():
				return
			case <-t.C:
			}
		}
	}()
	return g, nil
}

// resident is what the rig and its relays have in memory.
func (g *guard) resident() int64 {
	c, _ := process.Read(os.Getpid())
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := c.RSS
	for r := range g.relays {
		if c, err := r.Cost(); err == nil {
			sum += c.RSS
		}
	}
	g.peak.Store(max(g.peak.Load(), sum))
	return sum
}

// start runs a relay where there is room for one more.
func (g *guard) start(r *process.Relay) (time.Duration, error) {
	g.mu.Lock()
	if len(g.relays) >= g.most {
		g.mu.Unlock()
		return 0, fmt.Errorf("limits.processes: %d are running", len(g.relays))
	}
	g.mu.Unlock()
	d, err := r.Start(g.ctx)
	if err == nil {
		g.mu.Lock()
		g.relays[r] = true
		g.mu.Unlock()
	}
	return d, err
}

// end kills a relay.
func (g *guard) end(r *process.Relay) {
	r.Kill()
	g.mu.Lock()
	delete(g.relays, r)
	g.mu.Unlock()
}

// stop ends whatever still runs.
func (g *guard) stop() {
	g.mu.Lock()
	relays := g.relays
	g.relays = map[*process.Relay]bool{}
	g.mu.Unlock()
	for r := range relays {
		r.Kill()
	}
	g.cancel(nil)
}

// machineMemory is that of the machine, in bytes.
func machineMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "MemTotal:")
	words := strings.Fields(rest)
	if len(words) == 0 {
		return 0, fmt.Errorf("/proc/meminfo: no MemTotal")
	}
	kb, err := strconv.ParseInt(words[0], 10, 64)
	return kb << 10, err
}
