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
	register("fleet", "what hollow relays ask of discovery, by their number", playFleet)
}

// restarted is the fault that stands for the relays' own restart, not their way to discovery.
const restarted = "restart"

func playFleet(ctx context.Context, x *Experiment, res *Result, _ *guard, log *slog.Logger) error {
	var fault registry.Fault
	if x.Fleet.Fault != restarted {
		var err error
		if fault, err = registry.ParseFault(x.Fleet.Fault); err != nil {
			return fmt.Errorf("fleet.%w, or %s", err, restarted)
		}
	}
	for turn := range x.Turns {
		for _, size := range x.Sizes {
			figures, err := fleetSize(ctx, x, fault, size, x.Seed+uint64(turn))
			if len(figures) > 0 {
				res.add(size, turn, figures)
			}
			if err != nil {
				return fmt.Errorf("size %d: %w", size, err)
			}
			log.Info("measured", "experiment", x.Name, "size", size, "turn", turn, "figures", figures)
		}
	}
	return nil
}

// fleetSize plays one size: an ordinary while, a change, and a fault of one relay, a rack, a zone and all.
func fleetSize(ctx context.Context, x *Experiment, fault registry.Fault, size int, seed uint64) (map[string]float64, error) {
	spec := world.Spec{Relays: size, Regions: 2, Zones: x.Fleet.Zones, RackSize: x.Fleet.Racks}
	catalog, err := registry.NewCatalog(registry.Spec{Destinations: x.Relay.Destinations, Seed: seed, Shuffled: x.Relay.Shuffled})
	if err != nil {
		return nil, err
	}
	reg := registry.New(catalog)
	defer reg.Close()
	f, err := hollow.New(reg, hollow.Options{Spec: spec, Settings: hollow.Settings(size), Seed: seed, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		return nil, err
	}
	all := f.All()
	defer f.Stop(all...)
	figures := map[string]float64{}
	within := time.Duration(x.Fleet.WithinS * float64(time.Second))
	// watch runs something and counts what is asked and sent until a revision is in force at all relays that it is for.
	watch := func(name string, relays []int, revision int64, do func() error) error {
		ctx, cancel := context.WithTimeoutCause(ctx, within, fmt.Errorf("fleet.within_s: %v are over", x.Fleet.WithinS))
		defer cancel()
		f.Expect(revision, relays...)
		sec, at, began := reg.CurrentSecond(), reg.Total(0), time.Now()
		if err := do(); err != nil {
			return err
		}
		times, err := f.Reached(ctx, revision, began, relays...)
		if len(times) > 0 {
			spread(figures, name, times)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if err := watching(ctx, reg, at, len(relays), name); err != nil {
			return err
		}
		now := reg.Total(0)
		most := 0
		for _, s := range reg.CountsBySecond()[min(sec, len(reg.CountsBySecond())):] {
			most = max(most, s.ListRequests())
		}
		figures[name+"_asked"] = float64(now.ListRequests() - at.ListRequests())
		figures[name+"_asked_per_s"] = float64(most)
		figures[name+"_sent_bytes"] = float64(now.SentBytes - now.KeepAliveBytes - at.SentBytes + at.KeepAliveBytes)
		return nil
	}
	if err := watch("start", all, 1, func() error { return f.Start(false, all...) }); err != nil {
		return figures, err
	}
	for calm := 0; calm < 2; { // the last of the start's askings are over
		asked := reg.Total(0).ListRequests()
		if err := pause(ctx, time.Second); err != nil {
			return figures, err
		}
		if calm++; reg.Total(0).ListRequests() > asked {
			calm = 0
		}
	}
	at := reg.Total(0)
	quiet := time.Duration(x.Fleet.QuietS * float64(time.Second))
	if err := pause(ctx, quiet); err != nil {
		return figures, err
	}
	now := reg.Total(0)
	figures["ordinary_sent_bytes_per_s"] = float64(now.SentBytes-at.SentBytes) / quiet.Seconds()
	figures["ordinary_asked_per_s"] = float64(now.ListRequests()-at.ListRequests()) / quiet.Seconds()
	next := catalog.Revision() + 1
	if err := watch("change", all, next, func() error { catalog.Replace(int(next) % catalog.Len()); return nil }); err != nil {
		return figures, err
	}
	for _, part := range []struct {
		name   string
		relays []int
	}{{"one", []int{0}}, {"rack", spec.AffectedRelays(world.Event{Kind: world.Rack})}, {"zone", spec.AffectedRelays(world.Event{Kind: world.Zone})}, {"all", all}} {
		before := reg.Total(0)
		if x.Fleet.Fault == restarted {
			f.Stop(part.relays...)
		} else if err := f.Set(registry.Condition{Fault: fault}, part.relays...); err != nil {
			return figures, err
		}
		revision := catalog.Replace(int(catalog.Revision()) % catalog.Len())
		if err := pause(ctx, time.Duration(x.Fleet.DownS*float64(time.Second))); err != nil {
			return figures, err
		}
		figures[part.name+"_asked_while_down"] = float64(reg.Total(0).ListRequests() - before.ListRequests())
		err := watch(part.name, part.relays, revision, func() error {
			if x.Fleet.Fault == restarted {
				return f.Start(x.Fleet.Known, part.relays...)
			}
			return f.Set(registry.Condition{}, part.relays...)
		})
		if err != nil {
			return figures, err
		}
	}
	return figures, nil
}

// watching gives watches that are to be opened after a start the time for it.
func watching(ctx context.Context, reg *registry.Registry, from registry.Count, relays int, name string) error {
	if name != "start" {
		return nil
	}
	for reg.Total(0).Watches-from.Watches < relays {
		if err := pause(ctx, 5*time.Millisecond); err != nil {
			return fmt.Errorf("%s: watches: %w", name, err)
		}
	}
	return nil
}

// pause waits for a while, or tells why not.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(d):
		return nil
	}
}
