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
func play(t *testing.T, seed uint64, dests int, share float64) *PathCount {
	t.Helper()
	set := Settings(400)
	weights := world.NewWeights(dests, 0)
	outages := world.NewOutages(seed, share, time.Minute)
	listed := func(d int) float64 { return max(400*50*weights.Share(d)*3, 1) }
	partners := partner.NewModel(partner.ModelOptions{Seed: seed, Outages: outages, Capacity: func(d int) float64 { return listed(d) / 100 },
		NoReplyShare: 0.5, StartCapacity: set.StartCapacity, RampTime: 13 * time.Second, OverloadFactor: 1.5, OverloadTime: 2 * time.Second})
	n, err := RunPath(context.Background(), PathOptions{Settings: set, Seed: seed, Relays: 4, Rate: 50, Span: 30 * time.Second, Weights: weights,
		Partners: partners, Outages: outages, Capacity: listed, RoundTrip: 30 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if ended := n.Delivered + n.HandedBack + n.GivenUp; ended != n.Messages {
		t.Errorf("%d messages, %d ends", n.Messages, ended)
	}
	return n
}

// TestPath: the same seed gives the same counts, sound destinations get all, and where outages are, a relay that sees a
// destination often wastes fewer calls on a message to one that is down than a relay that never sees it twice.
func TestPath(t *testing.T) {
	if a, b := play(t, 3, 300, 0.1), play(t, 3, 300, 0.1); !reflect.DeepEqual(a, b) {
		t.Errorf("the same seed: %+v, %+v", a, b)
	}
	if n := play(t, 3, 20, 0); n.Messages < 5000 || n.Delivered != n.Messages || n.CallsDown != 0 {
		t.Errorf("no outage: %+v of %d messages delivered", n.Delivered, n.Messages)
	}
	few, many := play(t, 5, 20, 0.2), play(t, 5, 100000, 0.2)
	each := func(n *PathCount) float64 { return float64(n.CallsDown) / float64(n.ToDown) }
	if few.ToDown == 0 || many.ToDown == 0 || each(few) >= each(many) {
		t.Errorf("calls for each message to what is down: %.2f with 20 destinations, %.2f with 100000", each(few), each(many))
	}
}

// TestAttemptsEnd: each attempt's end reaches the policy, the second and later ones too: where partners are out for a
// short while in which they answer with errors, nearly all messages are delivered by a later attempt, and none of the
// slots stays taken.
func TestAttemptsEnd(t *testing.T) {
	set := Settings(4)
	set.Slots = 8
	weights, outages := world.NewWeights(50, 0), world.NewOutages(7, 0.2, 2*time.Second)
	capacity := func(int) float64 { return 8 }
	partners := partner.NewModel(partner.ModelOptions{Seed: 7, Outages: outages, Capacity: capacity})
	n, err := RunPath(context.Background(), PathOptions{Settings: set, Seed: 7, Relays: 4, Rate: 20, Span: time.Minute, Weights: weights,
		Partners: partners, Outages: outages, Capacity: capacity, RoundTrip: 30 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if later := n.DeliveredDown; n.ToDown < 500 || later < n.ToDown/2 || n.UntriedUp > n.Messages/100 {
		t.Errorf("%+v of %d for what was down delivered, %d of %d untried though up", later, n.ToDown, n.UntriedUp, n.Messages)
	}
}
