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

// resourceLimiter ends a run that exceeds its limits of time or memory, and limits the number of relay processes.
type resourceLimiter struct {
	ctx          context.Context
	cancel       context.CancelCauseFunc
	peakResident atomic.Int64 // largest resident memory of the rig and its relays together, in bytes

	mu        sync.Mutex
	relays    map[*process.Relay]bool
	maxRelays int
}

const memoryCheckInterval = 100 * time.Millisecond

// newResourceLimiter starts to watch time and memory. The limiter's context ends when one of them is used up.
func newResourceLimiter(ctx context.Context, limits *Limits) (*resourceLimiter, error) {
	total, err := machineMemory()
	if err != nil {
		return nil, err
	}
	memoryLimit := int64(limits.MemoryMB) << 20
	if memoryLimit > total/2 {
		return nil, fmt.Errorf("limits.memory_mb: %d, want at most %d, half of this machine's memory",
			limits.MemoryMB, total>>21)
	}
	limiter := &resourceLimiter{relays: map[*process.Relay]bool{}, maxRelays: limits.Processes}
	ctx, stop := context.WithTimeoutCause(ctx, time.Duration(limits.Seconds)*time.Second,
		fmt.Errorf("limits.seconds: the run took longer than %d s", limits.Seconds))
	limiter.ctx, limiter.cancel = context.WithCancelCause(ctx)
	go func() {
		defer stop()
		ticker := time.NewTicker(memoryCheckInterval)
		defer ticker.Stop()
		for {
			if resident := limiter.residentBytes(); resident > memoryLimit {
				limiter.cancel(fmt.Errorf("limits.memory_mb: %d, and %d are in use", limits.MemoryMB, resident>>20))
			}
			select {
			case <-limiter.ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return limiter, nil
}

// residentBytes returns the resident memory of the rig and its relays together, and records the peak.
func (l *resourceLimiter) residentBytes() int64 {
	usage, _ := process.ReadUsage(os.Getpid())
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := usage.ResidentBytes
	for relay := range l.relays {
		if usage, err := relay.Usage(); err == nil {
			sum += usage.ResidentBytes
		}
	}
	l.peakResident.Store(max(l.peakResident.Load(), sum))
	return sum
}

// startRelay starts a relay unless as many as allowed are running, and returns how long it took to become ready.
func (l *resourceLimiter) startRelay(relay *process.Relay) (time.Duration, error) {
	l.mu.Lock()
	if len(l.relays) >= l.maxRelays {
		l.mu.Unlock()
		return 0, fmt.Errorf("limits.processes: %d relays are running already", len(l.relays))
	}
	l.mu.Unlock()
	readyAfter, err := relay.Start(l.ctx)
	if err == nil {
		l.mu.Lock()
		l.relays[relay] = true
		l.mu.Unlock()
	}
	return readyAfter, err
}

// killRelay kills a relay and frees its place under the limit of processes.
func (l *resourceLimiter) killRelay(relay *process.Relay) {
	relay.Kill()
	l.mu.Lock()
	delete(l.relays, relay)
	l.mu.Unlock()
}

// stop kills the relays that still run and ends the context.
func (l *resourceLimiter) stop() {
	l.mu.Lock()
	relays := l.relays
	l.relays = map[*process.Relay]bool{}
	l.mu.Unlock()
	for relay := range relays {
		relay.Kill()
	}
	l.cancel(nil)
}

// machineMemory returns the size of this machine's memory in bytes.
func machineMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "MemTotal:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("/proc/meminfo: no MemTotal")
	}
	kb, err := strconv.ParseInt(fields[0], 10, 64)
	return kb << 10, err
}
