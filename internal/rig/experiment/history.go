package experiment

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"troutusher/decide"
	"troutusher/internal/rig/hollow"
	"troutusher/internal/rig/partner"
	"troutusher/internal/rig/world"
)

func init() {
	register("history", "hollow relays' data path, by destinations that each sees", func(ctx context.Context, x *Experiment, res *Result, _ *guard, log *slog.Logger) error {
		for turn := range x.Turns {
			for _, size := range x.Sizes {
				figures, err := historySize(ctx, x, size, x.Seed+uint64(turn))
				if err != nil {
					return fmt.Errorf("size %d: %w", size, err)
				}
				res.add(size, turn, figures)
				log.Info("measured", "experiment", x.Name, "size", size, "turn", turn, "figures", figures)
			}
		}
		return nil
	})
}

// historySize plays one number of destinations. Of the fleet a part is played; partners' capacity is scaled to
// that part, and what relays are told of rates and fleet is not.
func historySize(ctx context.Context, x *Experiment, size int, seed uint64) (map[string]float64, error) {
	h := &x.History
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	weights := world.NewWeights(size, h.Zipf)
	total := h.EventsPerS * float64(h.Relays)
	listed := func(dest int) float64 { return max(total*weights.Share(dest)*h.Headroom, 1) }
	part := float64(h.Played) / float64(h.Relays)
	set := hollow.Settings(h.Relays)
	set.MaxHeld = h.MaxHeld
	c := &set.Classes[0]
	c.Deadline = decide.Time(h.DeadlineS * 1e6)
	c.TargetTime = c.Deadline / 4
	outages := world.NewOutages(seed, h.DownShare, seconds(h.DownMeanS))
	partners := partner.NewModel(partner.ModelOptions{Seed: seed, Outages: outages, Capacity: func(d int) float64 { return listed(d) * part },
		NoReplyShare: h.SilentShare, RetryAfterShare: h.ToldShare, RetryAfter: seconds(h.ToldWaitS), StartCapacity: set.StartCapacity,
		RampTime: time.Duration(set.RampTime) * time.Microsecond, OverloadFactor: set.OverloadFactor, OverloadTime: time.Duration(set.OverloadTime) * time.Microsecond})
	began := time.Now()
	n, err := hollow.RunPath(ctx, hollow.PathOptions{Settings: set, Seed: seed, Relays: h.Played, Rate: h.EventsPerS, Span: seconds(h.Seconds),
		Weights: weights, Partners: partners, Outages: outages, Capacity: listed, RoundTrip: seconds(h.RoundTripMS / 1000)})
	if err != nil {
		return nil, err
	}
	share := func(a, b int) float64 { return float64(a) / float64(max(b, 1)) }
	up := n.Messages - n.ToDown
	f := map[string]float64{
		"messages":                     float64(n.Messages),
		"served_share":                 share(n.Delivered, n.Messages),
		"served_up_share":              share(n.Delivered-n.DeliveredDown, up),
		"served_down_share":            share(n.DeliveredDown, n.ToDown),
		"untried_up_share":             share(n.UntriedUp, up),
		"given_up_share":               share(n.GivenUp, n.Messages),
		"wasted_call_share":            share(n.Wasted, n.Calls),
		"busy_call_share":              share(n.Busy, n.Calls),
		"calls_to_down_share":          share(n.CallsDown, n.Calls),
		"calls_each_message_to_down":   share(n.CallsDown, n.ToDown),
		"calls_wasted_each_message":    share(n.Wasted, n.Messages),
		"messages_each_relay_and_dest": share(n.Messages, n.Seen),
		"falls":                        float64(partners.Collapses),
		"cpu_us_each_message":          float64(time.Since(began).Microseconds()) / float64(max(n.Messages, 1)),
	}
	spread(f, "delivery", n.Took)
	return f, nil
}
