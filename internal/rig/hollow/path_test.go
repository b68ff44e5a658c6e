package hollow

import (
	"context"
	"reflect"
	"testing"
	"time"

	"troutusher/internal/rig/partner"
	"troutusher/internal/rig/world"
)

// play runs four relays of 400 over so many destinations, of which a share is down for a minute in the mean.
func simulate(t *testing.T, seed uint64, dests int, downShare float64) *PathCounts {
	t.Helper()
	settings := Settings(400)
	weights := world.NewWeights(dests, 0)
	outages := world.NewOutages(seed, downShare, time.Minute)
	listedCapacity := func(d int) float64 { return max(400*50*weights.Of(d)*3, 1) }
	partners := partner.NewModel(partner.ModelOptions{Seed: seed, Outages: outages, Capacity: func(d int) float64 { return listedCapacity(d) / 100 },
		SilentShare: 0.5, StartCapacity: settings.StartCapacity, RampTime: 13 * time.Second, OverloadFactor: 1.5, FallTime: 2 * time.Second})
	counts, err := RunPath(context.Background(), PathOptions{Settings: settings, Seed: seed, Relays: 4, MessagesPerSecond: 50, Duration: 30 * time.Second, Weights: weights,
		Partners: partners, Outages: outages, ListedCapacity: listedCapacity, MeanRoundTrip: 30 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if ended := counts.Delivered + counts.HandedBack + counts.GivenUp; ended != counts.Messages {
		t.Errorf("%d messages, %d ends", counts.Messages, ended)
	}
	return counts
}

// TestPath: the same seed gives the same counts, sound destinations get all, and where outages are, a relay that sees a
// destination often wastes fewer calls on a message to one that is down than a relay that never sees it twice.
func TestPathCounts(t *testing.T) {
	if a, b := simulate(t, 3, 300, 0.1), simulate(t, 3, 300, 0.1); !reflect.DeepEqual(a, b) {
		t.Errorf("the same seed: %+v, %+v", a, b)
	}
	if n := simulate(t, 3, 20, 0); n.Messages < 5000 || n.Delivered != n.Messages || n.CallsToDown != 0 {
		t.Errorf("no outage: %+v of %d messages delivered", n.Delivered, n.Messages)
	}
	few, many := simulate(t, 5, 20, 0.2), simulate(t, 5, 100000, 0.2)
	callsPerMessage := func(n *PathCounts) float64 { return float64(n.CallsToDown) / float64(n.MessagesToDown) }
	if few.MessagesToDown == 0 || many.MessagesToDown == 0 || callsPerMessage(few) >= callsPerMessage(many) {
		t.Errorf("calls for each message to what is down: %.2f with 20 destinations, %.2f with 100000", callsPerMessage(few), callsPerMessage(many))
	}
}

// TestAttemptsEnd: each attempt's end reaches the policy, the second and later ones too: where partners are out for a
// short while in which they answer with errors, nearly all messages are delivered by a later attempt, and none of the
// slots stays taken.
func TestOutcomeOfEachAttemptReachesPolicy(t *testing.T) {
	settings := Settings(4)
	settings.Slots = 8
	weights, outages := world.NewWeights(50, 0), world.NewOutages(7, 0.2, 2*time.Second)
	capacity := func(int) float64 { return 8 }
	partners := partner.NewModel(partner.ModelOptions{Seed: 7, Outages: outages, Capacity: capacity})
	counts, err := RunPath(context.Background(), PathOptions{Settings: settings, Seed: 7, Relays: 4, MessagesPerSecond: 20, Duration: time.Minute, Weights: weights,
		Partners: partners, Outages: outages, ListedCapacity: capacity, MeanRoundTrip: 30 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if deliveredDown := counts.DeliveredDown; counts.MessagesToDown < 500 || deliveredDown < counts.MessagesToDown/2 || counts.UntriedUp > counts.Messages/100 {
		t.Errorf("%+v of %d for what was down delivered, %d of %d untried though up", deliveredDown, counts.MessagesToDown, counts.UntriedUp, counts.Messages)
	}
}
