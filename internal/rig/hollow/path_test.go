package hollow

import (
	"context"
	"reflect"
	"testing"
	"time"

	"troutusher/internal/rig/partner"
	"troutusher/internal/rig/world"
)

// simulate simulates 4 relays of a fleet of 400 that send to dests destinations. At any time downShare of these are
// down, for a minute on average. It fails the test unless each message ends once.
func simulate(t *testing.T, seed uint64, dests int, downShare float64) *PathCounts {
	t.Helper()
	settings := Settings(400)
	weights := world.NewWeights(dests, 0)
	outages := world.NewOutages(seed, downShare, time.Minute)
	listedCapacity := func(d int) float64 { return max(400*50*weights.Share(d)*3, 1) }
	partners := partner.NewModel(partner.ModelOptions{Seed: seed, Outages: outages,
		Capacity:     func(d int) float64 { return listedCapacity(d) / 100 },
		NoReplyShare: 0.5, StartCapacity: settings.StartCapacity, RampTime: 13 * time.Second, OverloadFactor: 1.5,
		OverloadTime: 2 * time.Second})
	counts, err := RunPath(context.Background(), PathOptions{Settings: settings, Seed: seed, Relays: 4,
		MessagesPerSecond: 50, Duration: 30 * time.Second, Weights: weights, Partners: partners, Outages: outages,
		ListedCapacity: listedCapacity, MeanRoundTrip: 30 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if ended := counts.Delivered + counts.HandedBack + counts.GivenUp; ended != counts.Messages {
		t.Errorf("%d messages arrived, got %d that ended, want all", counts.Messages, ended)
	}
	return counts
}

// TestPathCounts checks that the same seed gives the same counts, that all messages are delivered without outages,
// and that with outages a relay makes fewer calls for each message to a down destination if it sends to that
// destination often than if it hardly ever does so twice.
func TestPathCounts(t *testing.T) {
	if a, b := simulate(t, 3, 300, 0.1), simulate(t, 3, 300, 0.1); !reflect.DeepEqual(a, b) {
		t.Errorf("got counts %+v and %+v with the same seed, want equal ones", a, b)
	}
	if n := simulate(t, 3, 20, 0); n.Messages < 5000 || n.Delivered != n.Messages || n.CallsToDown != 0 {
		t.Errorf("no outage: got %d of %d messages delivered, want all of at least 5000", n.Delivered, n.Messages)
	}
	few, many := simulate(t, 5, 20, 0.2), simulate(t, 5, 100000, 0.2)
	callsPerMessage := func(n *PathCounts) float64 { return float64(n.CallsToDown) / float64(n.MessagesToDown) }
	if few.MessagesToDown == 0 || many.MessagesToDown == 0 || callsPerMessage(few) >= callsPerMessage(many) {
		t.Errorf("calls per message to a down destination: got %.2f with 20 destinations, want below %.2f with 100000",
			callsPerMessage(few), callsPerMessage(many))
	}
}

// TestOutcomeOfEachAttemptReachesPolicy guards against outcomes of second and later attempts that don't reach the
// policy, so that messages are not retried and slots stay in use. With short outages in which destinations respond
// with errors, at least half of the messages to down destinations must be delivered by a later attempt, and hardly
// any message to another destination may end without a call.
func TestOutcomeOfEachAttemptReachesPolicy(t *testing.T) {
	settings := Settings(4)
	settings.Slots = 8
	weights, outages := world.NewWeights(50, 0), world.NewOutages(7, 0.2, 2*time.Second)
	capacity := func(int) float64 { return 8 }
	partners := partner.NewModel(partner.ModelOptions{Seed: 7, Outages: outages, Capacity: capacity})
	counts, err := RunPath(context.Background(), PathOptions{Settings: settings, Seed: 7, Relays: 4,
		MessagesPerSecond: 20, Duration: time.Minute, Weights: weights, Partners: partners, Outages: outages,
		ListedCapacity: capacity, MeanRoundTrip: 30 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if deliveredDown := counts.DeliveredDown; counts.MessagesToDown < 500 ||
		deliveredDown < counts.MessagesToDown/2 || counts.UntriedUp > counts.Messages/100 {
		t.Errorf("down: got %d of %d messages delivered, want half; up: got %d of %d ended untried, want at most 1%%",
			deliveredDown, counts.MessagesToDown, counts.UntriedUp, counts.Messages)
	}
}
