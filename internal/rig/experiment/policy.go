package experiment

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"troutusher/decide"
	"troutusher/internal/rig/hollow"
)

func init() {
	register("policy", "the policy without a relay, by destinations listed", func(ctx context.Context, exp *Experiment,
		result *Result, _ *resourceLimiter, log *slog.Logger) error {
		for turn := range exp.Turns {
			for _, size := range exp.Sizes {
				figures, err := measurePolicy(ctx, exp, size)
				if err != nil {
					return err
				}
				result.add(size, turn, figures)
				log.Info("measured", "experiment", exp.Name, "size", size, "turn", turn, "figures", figures)
			}
		}
		return nil
	})
}

// heapInUse returns the size of the heap objects that remain after garbage collection, in bytes.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// measurePolicy measures time and heap memory at one size: of the full list, of messages that are delivered, of
// single changes of the list, and of changed settings.
func measurePolicy(ctx context.Context, exp *Experiment, size int) (map[string]float64, error) {
	figures := map[string]float64{}
	settings := hollow.Settings(exp.Relay.Relays)
	settings.MaxHeld = exp.Relay.MaxHeld
	heapAtStart := heapInUse()
	fullList := decide.Event{Kind: decide.EvList, List: decide.ListFull,
		Entries: make([]decide.Entry, 0, size*endpointsPerDest)}
	for i := range size * endpointsPerDest {
		fullList.Entries = append(fullList.Entries, decide.Entry{Endpoint: decide.Endpoint(i + 1),
			Dest: i / endpointsPerDest, State: decide.Ready, Rate: 1e6})
	}
	heapWithList := heapInUse()
	policy, err := decide.New(settings, exp.Seed)
	if err != nil {
		return nil, err
	}
	now := 3600 * decide.Time(1e6)
	var actions []decide.Action
	step := func(events ...decide.Event) {
		now += 1000
		actions = policy.Step(now, events, actions[:0])
	}
	// timePerCall calls an operation count times and records the mean time of a call.
	timePerCall := func(name string, count int, operation func(i int)) error {
		if count == 0 {
			return nil
		}
		startedAt := time.Now()
		for i := range count {
			if operation(i); i&255 == 0 && ctx.Err() != nil {
				return context.Cause(ctx)
			}
		}
		figures[name+"_ns"] = float64(time.Since(startedAt).Nanoseconds()) / float64(count)
		return nil
	}
	if err := timePerCall("first_list", 1, func(int) { step(fullList) }); err != nil {
		return nil, err
	}
	figures["listed_heap_bytes"] = heapInUse() - heapWithList
	if err := timePerCall("full_list", 1, func(int) { step(fullList) }); err != nil {
		return nil, err
	}
	stride := max(size/max(exp.Load.Messages, 1), 1)
	message, undelivered := uint32(0), 0
	// deliver hands in a message for a destination and reports the call as delivered.
	deliver := func(dest int) {
		message++
		step(decide.Event{Kind: decide.EvMessage, Message: message, Dest: dest, TimeLeft: settings.Classes[0].Deadline,
			Tenant: -1})
		for _, a := range actions {
			if a.Kind == decide.ActSend && a.Message == message {
				step(decide.Event{Kind: decide.EvOutcome, Message: a.Message, Attempt: a.Attempt, Endpoint: a.Endpoint,
					Outcome: decide.Delivered, Settled: true, Elapsed: 1000})
				return
			}
		}
		undelivered++
	}
	heapBeforeMessages := heapInUse()
	active := min(exp.Load.Messages, size)
	if err := timePerCall("event", active, func(i int) { deliver(i * stride % size) }); err != nil {
		return nil, err
	}
	figures["active_heap_bytes_each"] = (heapInUse() - heapBeforeMessages) / float64(max(active, 1))
	if err := timePerCall("change", exp.Load.Changes, func(i int) {
		entry := fullList.Entries[(size-1-i%size)*endpointsPerDest]
		entry.Rate += float64(i + 1)
		step(decide.Event{Kind: decide.EvList, List: decide.ListDelta, Entries: []decide.Entry{entry}})
	}); err != nil {
		return nil, err
	}
	if err := timePerCall("settings", exp.Load.Reloads, func(i int) {
		s := settings
		s.MayProbe = i%2 == 0
		step(decide.Event{Kind: decide.EvSettings, Settings: &s})
	}); err != nil {
		return nil, err
	}
	if undelivered > 0 {
		return nil, fmt.Errorf("the policy made no call for %d messages", undelivered)
	}
	figures["total_heap_bytes"] = heapInUse() - heapAtStart
	runtime.KeepAlive(fullList)
	runtime.KeepAlive(policy)
	return figures, nil
}
