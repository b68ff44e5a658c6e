package hollow

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"troutusher/internal/rig/registry"
	"troutusher/internal/rig/world"
)

// told is how long after discovery's return word counts as told at the latest.
const maxRecoveryTime = 6 * time.Second

// TestDiscoveryComesBack: where discovery was silent for 300 relays at once, what it has is in force at all of them
// within the time in which it counts as told, and they don't ask more than it takes: one request of each that is open
// then, and some more while it is down.
func TestFleetRecoversFromSilentDiscovery(t *testing.T) {
	const relays, down = 300, 8 * time.Second // a watch that says nothing for 3.5 s is opened anew
	catalog, err := registry.NewCatalog(registry.Spec{Destinations: 30, Seed: 5})
	if err != nil {
		t.Fatal(err)
	}
	reg := registry.New(catalog)
	defer reg.Close()
	fleet, err := New(reg, Options{Spec: world.Spec{Relays: relays, Regions: 2, Zones: 4, RackSize: 20}, Settings: Settings(relays),
		Seed: 1, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Stop(fleet.RelayIndexes()...)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	if err := fleet.Start(false, fleet.RelayIndexes()...); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.WaitForRevision(ctx, 1, time.Now(), fleet.RelayIndexes()...); err != nil {
		t.Fatal(err)
	}
	for reg.Total(0).Watches < relays && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	start := reg.Total(0)
	if start.Lists != relays {
		t.Errorf("%d askings for the whole list at the start of %d relays", start.Lists, relays)
	}
	if err := fleet.SetCondition(registry.Condition{Fault: registry.Silent}, fleet.RelayIndexes()...); err != nil {
		t.Fatal(err)
	}
	revision := catalog.Replace(7)
	fleet.ExpectRevision(revision, fleet.RelayIndexes()...)
	time.Sleep(down) // it is silent for so long; nothing is waited for
	for _, i := range fleet.RelayIndexes() {
		if fleet.Relay(i).Revision() == revision {
			t.Fatal("silent discovery told something")
		}
	}
	recoveredAt := time.Now()
	if err := fleet.SetCondition(registry.Condition{}, fleet.RelayIndexes()...); err != nil {
		t.Fatal(err)
	}
	times, err := fleet.WaitForRevision(ctx, revision, recoveredAt, fleet.RelayIndexes()...)
	if err != nil {
		t.Fatal(err)
	}
	last := time.Duration(0)
	for _, took := range times {
		last = max(last, took)
	}
	end := reg.Total(0)
	maxPerSecond := 0
	for _, second := range reg.Seconds() {
		maxPerSecond = max(maxPerSecond, second.Asked())
	}
	t.Logf("the last after %v; %d askings since the start, at most %d in a second, %d bytes", last, end.Asked()-start.Asked(), maxPerSecond, end.SentBytes-start.SentBytes)
	if last > maxRecoveryTime {
		t.Errorf("in force at the last relay after %v", last)
	}
	if requests := end.Asked() - start.Asked(); requests < relays || requests > 6*relays {
		t.Errorf("%d askings of %d relays", requests, relays)
	}
	if maxPerSecond > 2*relays { // as many as at a start
		t.Errorf("%d askings in one second", maxPerSecond)
	}
}

// TestKnownListSavesAsking: a restart with the list that was had before asks for what is new alone.
func TestRestartWithKnownListFetchesChangesOnly(t *testing.T) {
	catalog, err := registry.NewCatalog(registry.Spec{Destinations: 500, Seed: 5})
	if err != nil {
		t.Fatal(err)
	}
	reg := registry.New(catalog)
	defer reg.Close()
	fleet, err := New(reg, Options{Spec: world.Spec{Relays: 2}, Settings: Settings(2), Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	defer fleet.Stop(0, 1)
	if err := fleet.Start(false, 0, 1); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.WaitForRevision(ctx, 1, time.Now(), 0, 1); err != nil {
		t.Fatal(err)
	}
	for reg.Total(0).Watches < 2 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	fleet.Stop(0, 1)
	before := reg.Total(0)
	revision := catalog.Replace(3)
	if err := fleet.Start(true, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.WaitForRevision(ctx, revision, time.Now(), 0); err != nil {
		t.Fatal(err)
	}
	after := reg.Total(0)
	if after.Lists != before.Lists || after.Watches-before.Watches != 1 || after.FirstBytes-before.FirstBytes > 1000 {
		t.Errorf("a restart with a known list: %+v, before %+v", after, before)
	}
}
