package experiment

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"troutusher/internal/rig/hollow"
	"troutusher/internal/rig/registry"
	"troutusher/internal/rig/world"
)

func init() {
	register("fleet", "requests of hollow relays to discovery, by number of relays", runFleet)
}

// faultRestart is the fault name for a restart of the relays, as opposed to a fault between them and discovery.
const faultRestart = "restart"

// runFleet measures a fleet of hollow relays at each size. Figures of a size that failed half way are kept.
func runFleet(ctx context.Context, exp *Experiment, result *Result, _ *resourceLimiter, log *slog.Logger) error {
	var fault registry.Fault
	if exp.Fleet.Fault != faultRestart {
		var err error
		if fault, err = registry.ParseFault(exp.Fleet.Fault); err != nil {
			return fmt.Errorf("fleet.%w, or %s", err, faultRestart)
		}
	}
	for turn := range exp.Turns {
		for _, size := range exp.Sizes {
			figures, err := measureFleet(ctx, exp, fault, size, exp.Seed+uint64(turn))
			if len(figures) > 0 {
				result.add(size, turn, figures)
			}
			if err != nil {
				return fmt.Errorf("size %d: %w", size, err)
			}
			log.Info("measured", "experiment", exp.Name, "size", size, "turn", turn, "figures", figures)
		}
	}
	return nil
}

// measureFleet measures one size: the start of all relays, a period without changes, one change of the list, and then
// a fault that hits one relay, a rack, a zone and all relays in turn.
func measureFleet(ctx context.Context, exp *Experiment, fault registry.Fault, size int, seed uint64) (
	map[string]float64, error) {
	spec := world.Spec{Relays: size, Regions: 2, Zones: exp.Fleet.Zones, RackSize: exp.Fleet.RackSize}
	catalog, err := registry.NewCatalog(registry.Spec{Destinations: exp.Relay.Destinations, Seed: seed,
		Shuffled: exp.Relay.Shuffled})
	if err != nil {
		return nil, err
	}
	reg := registry.New(catalog)
	defer reg.Close()
	fleet, err := hollow.New(reg, hollow.Options{Spec: spec, Settings: hollow.Settings(size), Seed: seed,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		return nil, err
	}
	all := fleet.RelayIndexes()
	defer fleet.Stop(all...)
	figures := map[string]float64{}
	timeout := time.Duration(exp.Fleet.TimeoutS * float64(time.Second))
	// measure runs an operation and waits until the revision is in force at the given relays. It records how long
	// that takes, and the requests to discovery and the bytes sent by it in that time.
	measure := func(name string, relays []int, revision int64, operation func() error) error {
		ctx, cancel := context.WithTimeoutCause(ctx, timeout,
			fmt.Errorf("fleet.within_s: not finished after %v s", exp.Fleet.TimeoutS))
		defer cancel()
		fleet.ExpectRevision(revision, relays...)
		startSecond, requestsBefore, startedAt := reg.CurrentSecond(), reg.Total(0), time.Now()
		if err := operation(); err != nil {
			return err
		}
		times, err := fleet.WaitForRevision(ctx, revision, startedAt, relays...)
		if len(times) > 0 {
			addQuantiles(figures, name, times)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if err := waitForWatches(ctx, reg, requestsBefore, len(relays), name); err != nil {
			return err
		}
		requestsAfter := reg.Total(0)
		maxPerSecond := 0
		for _, second := range reg.CountsBySecond()[min(startSecond, len(reg.CountsBySecond())):] {
			maxPerSecond = max(maxPerSecond, second.ListRequests())
		}
		figures[name+"_asked"] = float64(requestsAfter.ListRequests() - requestsBefore.ListRequests())
		figures[name+"_asked_per_s"] = float64(maxPerSecond)
		figures[name+"_sent_bytes"] = float64(requestsAfter.SentBytes - requestsAfter.KeepAliveBytes -
			requestsBefore.SentBytes + requestsBefore.KeepAliveBytes)
		return nil
	}
	if err := measure("start", all, 1, func() error { return fleet.Start(false, all...) }); err != nil {
		return figures, err
	}
	for quietSeconds := 0; quietSeconds < 2; { // until two seconds pass without a request left over from the start
		requestCount := reg.Total(0).ListRequests()
		if err := sleep(ctx, time.Second); err != nil {
			return figures, err
		}
		if quietSeconds++; reg.Total(0).ListRequests() > requestCount {
			quietSeconds = 0
		}
	}
	requestsBefore := reg.Total(0)
	idlePeriod := time.Duration(exp.Fleet.IdleS * float64(time.Second))
	if err := sleep(ctx, idlePeriod); err != nil {
		return figures, err
	}
	requestsAfter := reg.Total(0)
	figures["ordinary_sent_bytes_per_s"] =
		float64(requestsAfter.SentBytes-requestsBefore.SentBytes) / idlePeriod.Seconds()
	figures["ordinary_asked_per_s"] =
		float64(requestsAfter.ListRequests()-requestsBefore.ListRequests()) / idlePeriod.Seconds()
	nextRevision := catalog.Revision() + 1
	if err := measure("change", all, nextRevision, func() error {
		catalog.Replace(int(nextRevision) % catalog.Len())
		return nil
	}); err != nil {
		return figures, err
	}
	for _, affected := range []struct {
		name   string
		relays []int
	}{{"one", []int{0}}, {"rack", spec.AffectedRelays(world.Event{Kind: world.Rack})},
		{"zone", spec.AffectedRelays(world.Event{Kind: world.Zone})}, {"all", all}} {
		requestsBefore := reg.Total(0)
		if exp.Fleet.Fault == faultRestart {
			fleet.Stop(affected.relays...)
		} else if err := fleet.SetCondition(registry.Condition{Fault: fault}, affected.relays...); err != nil {
			return figures, err
		}
		revision := catalog.Replace(int(catalog.Revision()) % catalog.Len())
		if err := sleep(ctx, time.Duration(exp.Fleet.DownS*float64(time.Second))); err != nil {
			return figures, err
		}
		figures[affected.name+"_asked_while_down"] = float64(reg.Total(0).ListRequests() - requestsBefore.ListRequests())
		err := measure(affected.name, affected.relays, revision, func() error {
			if exp.Fleet.Fault == faultRestart {
				return fleet.Start(exp.Fleet.KnownList, affected.relays...)
			}
			return fleet.SetCondition(registry.Condition{}, affected.relays...)
		})
		if err != nil {
			return figures, err
		}
	}
	return figures, nil
}

// waitForWatches waits, after the start only, until each relay has opened its watch.
func waitForWatches(ctx context.Context, reg *registry.Registry, before registry.Count, relays int,
	name string) error {
	if name != "start" {
		return nil
	}
	for reg.Total(0).Watches-before.Watches < relays {
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			return fmt.Errorf("%s: waiting for the watches: %w", name, err)
		}
	}
	return nil
}

// sleep waits for a duration. If ctx ends earlier, it returns the cause.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(d):
		return nil
	}
}
