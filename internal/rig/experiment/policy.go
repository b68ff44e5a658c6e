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
	register("policy", "the policy alone, by destinations listed", func(ctx context.Context, x *Experiment, res *Result, _ *guard, log *slog.Logger) error {
		for turn := range x.Turns {
			for _, size := range x.Sizes {
				figures, err := policySize(ctx, x, size)
				if err != nil {
					return err
				}
				res.add(size, turn, figures)
				log.Info("measured", "experiment", x.Name, "size", size, "turn", turn, "figures", figures)
			}
		}
		return nil
	})
}

// heap is what is in use once all that can be freed is.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// policySize plays one size: a whole list, single changes of it, settings, and messages that are delivered.
func policySize(ctx context.Context, x *Experiment, size int) (map[string]float64, error) {
	figures := map[string]float64{}
	settings := hollow.Settings(x.Relay.Relays)
	settings.MaxHeld = x.Relay.MaxHeld
	empty := heap()
	list := decide.Event{Kind: decide.EvList, List: decide.ListFull, Entries: make([]decide.Entry, 0, size*endpointsEach)}
	for i := range size * endpointsEach {
		list.Entries = append(list.Entries, decide.Entry{Endpoint: decide.Endpoint(i + 1), Dest: i / endpointsEach, State: decide.Ready, Rate: 1e6})
	}
	bare := heap()
	p, err := decide.New(settings, x.Seed)
	if err != nil {
		return nil, err
	}
	now := 3600 * decide.Time(1e6)
	var acts []decide.Action
	step := func(e ...decide.Event) {
		now += 1000
		acts = p.Step(now, e, acts[:0])
	}
	timed := func(name string, n int, f func(i int)) error {
		if n == 0 {
			return nil
		}
		began := time.Now()
		for i := range n {
			if f(i); i&255 == 0 && ctx.Err() != nil {
				return context.Cause(ctx)
			}
		}
		figures[name+"_ns"] = float64(time.Since(began).Nanoseconds()) / float64(n)
		return nil
	}
	if err := timed("first_list", 1, func(int) { step(list) }); err != nil {
		return nil, err
	}
	figures["listed_heap_bytes"] = heap() - bare
	if err := timed("full_list", 1, func(int) { step(list) }); err != nil {
		return nil, err
	}
	stride := max(size/max(x.Load.Messages, 1), 1)
	message, lost := uint32(0), 0
	// deliver hands in a message for a destination and answers its call.
	deliver := func(dest int) {
		message++
		step(decide.Event{Kind: decide.EvMessage, Message: message, Dest: dest, TimeLeft: settings.Classes[0].Deadline, Tenant: -1})
		for _, a := range acts {
			if a.Kind == decide.ActSend && a.Message == message {
				step(decide.Event{Kind: decide.EvOutcome, Message: a.Message, Attempt: a.Attempt, Endpoint: a.Endpoint,
					Outcome: decide.Delivered, Final: true, Duration: 1000})
				return
			}
		}
		lost++
	}
	before := heap()
	active := min(x.Load.Messages, size)
	if err := timed("event", active, func(i int) { deliver(i * stride % size) }); err != nil {
		return nil, err
	}
	figures["active_heap_bytes_each"] = (heap() - before) / float64(max(active, 1))
	if err := timed("change", x.Load.Changes, func(i int) {
		e := list.Entries[(size-1-i%size)*endpointsEach]
		e.Rate += float64(i + 1)
		step(decide.Event{Kind: decide.EvList, List: decide.ListDelta, Entries: []decide.Entry{e}})
	}); err != nil {
		return nil, err
	}
	if err := timed("settings", x.Load.Reloads, func(i int) {
		s := settings
		s.MayProbe = i%2 == 0
		step(decide.Event{Kind: decide.EvSettings, Settings: &s})
	}); err != nil {
		return nil, err
	}
	if lost > 0 {
		return nil, fmt.Errorf("%d messages were not delivered", lost)
	}
	figures["total_heap_bytes"] = heap() - empty
	runtime.KeepAlive(list)
	runtime.KeepAlive(p)
	return figures, nil
}
