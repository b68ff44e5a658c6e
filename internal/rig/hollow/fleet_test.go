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

// maxRecoveryTime is the time after the end of an outage of discovery within which its list must be in force.
const maxRecoveryTime = 6 * time.Second

// TestFleetRecoversFromSilentDiscovery checks recovery after discovery sent nothing to 300 relays for 8 s: its
// newest revision comes into force at all relays within maxRecoveryTime, and they don't overload discovery with
// requests. Each relay has one request open when discovery recovers, and has made a few more while it was silent.
func TestFleetRecoversFromSilentDiscovery(t *testing.T) {
	const relays, down = 300, 8 * time.Second // long enough for a relay to reopen its watch, after 3.5 s of silence
	catalog, err := registry.NewCatalog(registry.Spec{Destinations: 30, Seed: 5})
	if err != nil {
		t.Fatal(err)
	}
	reg := registry.New(catalog)
	defer reg.Close()
	fleet, err := New(reg, Options{Spec: world.Spec{Relays: relays, Regions: 2, Zones: 4, RackSize: 20},
		Settings: Settings(relays), Seed: 1, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
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
		t.Errorf("start: got %d requests for the full list, want %d, one from each relay", start.Lists, relays)
	}
	if err := fleet.SetCondition(registry.Condition{Fault: registry.Silent}, fleet.RelayIndexes()...); err != nil {
		t.Fatal(err)
	}
	revision := catalog.Replace(7)
	fleet.ExpectRevision(revision, fleet.RelayIndexes()...)
	time.Sleep(down) // the duration of the fault, not a wait for an event
	for _, i := range fleet.RelayIndexes() {
		if fleet.Relay(i).Revision() == revision {
			t.Fatal("a relay got a revision from silent discovery")
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
	for _, second := range reg.CountsBySecond() {
		maxPerSecond = max(maxPerSecond, second.ListRequests())
	}
	t.Logf("revision in force at the last relay after %v; %d requests since the start, at most %d in a second, %d bytes",
		last, end.ListRequests()-start.ListRequests(), maxPerSecond, end.SentBytes-start.SentBytes)
	if last > maxRecoveryTime {
		t.Errorf("revision in force at the last relay after %v, want at most 6s", last)
	}
	if requests := end.ListRequests() - start.ListRequests(); requests < relays || requests > 6*relays {
		t.Errorf("got %d requests from %d relays since the start, want 1 to 6 from each", requests, relays)
	}
	if maxPerSecond > 2*relays { // as many as at the start
		t.Errorf("got %d requests in one second, want at most 2 from each relay", maxPerSecond)
	}
}

// TestRestartWithKnownListFetchesChangesOnly checks that a relay that restarts with its last list opens a watch from
// the revision of that list, and does not request the full list.
func TestRestartWithKnownListFetchesChangesOnly(t *testing.T) {
	catalog, err := registry.NewCatalog(registry.Spec{Destinations: 500, Seed: 5})
	if err != nil {
		t.Fatal(err)
	}
	reg := registry.New(catalog)
	defer reg.Close()
	fleet, err := New(reg, Options{Spec: world.Spec{Relays: 2}, Settings: Settings(2),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
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
	if after.Lists != before.Lists || after.Watches-before.Watches != 1 || after.FirstLineBytes-before.FirstLineBytes > 1000 {
		t.Errorf("restart with a known list: got counts %+v, before %+v, want one more watch and no full list",
			after, before)
	}
}
