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
	register("history", "data path of hollow relays, by destinations that each sends to", func(ctx context.Context,
		exp *Experiment, result *Result, _ *resourceLimiter, log *slog.Logger) error {
		for turn := range exp.Turns {
			for _, size := range exp.Sizes {
				figures, err := measureHistory(ctx, exp, size, exp.Seed+uint64(turn))
				if err != nil {
					return fmt.Errorf("size %d: %w", size, err)
				}
				result.add(size, turn, figures)
				log.Info("measured", "experiment", exp.Name, "size", size, "turn", turn, "figures", figures)
			}
		}
		return nil
	})
}

// measureHistory simulates one number of destinations. Only a part of the fleet is simulated. The capacity of the
// destinations is scaled to that part; the capacity that discovery lists and the fleet size in the relays' settings
// are those of the whole fleet.
func measureHistory(ctx context.Context, exp *Experiment, size int, seed uint64) (map[string]float64, error) {
	history := &exp.History
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	weights := world.NewWeights(size, history.Zipf)
	fleetRate := history.EventsPerS * float64(history.Relays)
	listedCapacity := func(dest int) float64 { return max(fleetRate*weights.Share(dest)*history.Headroom, 1) }
	simulatedShare := float64(history.Simulated) / float64(history.Relays)
	settings := hollow.Settings(history.Relays)
	settings.MaxHeld = history.MaxHeld
	class := &settings.Classes[0]
	class.Deadline = decide.Time(history.DeadlineS * 1e6)
	class.TargetTime = class.Deadline / 4
	outages := world.NewOutages(seed, history.DownShare, seconds(history.DownMeanS))
	partners := partner.NewModel(partner.ModelOptions{Seed: seed, Outages: outages,
		Capacity:     func(d int) float64 { return listedCapacity(d) * simulatedShare },
		NoReplyShare: history.NoReplyShare, RetryAfterShare: history.RetryAfterShare,
		RetryAfter: seconds(history.RetryAfterS), StartCapacity: settings.StartCapacity,
		RampTime:       time.Duration(settings.RampTime) * time.Microsecond,
		OverloadFactor: settings.OverloadFactor, OverloadTime: time.Duration(settings.OverloadTime) * time.Microsecond})
	startedAt := time.Now()
	counts, err := hollow.RunPath(ctx, hollow.PathOptions{Settings: settings, Seed: seed, Relays: history.Simulated,
		MessagesPerSecond: history.EventsPerS, Duration: seconds(history.Seconds), Weights: weights, Partners: partners,
		Outages: outages, ListedCapacity: listedCapacity, MeanRoundTrip: seconds(history.RoundTripMS / 1000)})
	if err != nil {
		return nil, err
	}
	share := func(a, b int) float64 { return float64(a) / float64(max(b, 1)) }
	messagesToUp := counts.Messages - counts.MessagesToDown
	figures := map[string]float64{
		"messages":                     float64(counts.Messages),
		"served_share":                 share(counts.Delivered, counts.Messages),
		"served_up_share":              share(counts.Delivered-counts.DeliveredDown, messagesToUp),
		"served_down_share":            share(counts.DeliveredDown, counts.MessagesToDown),
		"untried_up_share":             share(counts.UntriedUp, messagesToUp),
		"given_up_share":               share(counts.GivenUp, counts.Messages),
		"wasted_call_share":            share(counts.FailedCalls, counts.Calls),
		"busy_call_share":              share(counts.BusyReplies, counts.Calls),
		"calls_to_down_share":          share(counts.CallsToDown, counts.Calls),
		"calls_each_message_to_down":   share(counts.CallsToDown, counts.MessagesToDown),
		"calls_wasted_each_message":    share(counts.FailedCalls, counts.Messages),
		"messages_each_relay_and_dest": share(counts.Messages, counts.RelayDestPairs),
		"falls":                        float64(partners.Collapses),
		"cpu_us_each_message":          float64(time.Since(startedAt).Microseconds()) / float64(max(counts.Messages, 1)),
	}
	addQuantiles(figures, "delivery", counts.DeliveryTimes)
	return figures, nil
}
