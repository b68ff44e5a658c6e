package hollow

import "troutusher/decide"

const second = decide.Time(1e6)

// Settings returns the policy's settings for a fleet of the given number of relays, like those of a deployment.
func Settings(relays int) decide.Settings {
	return decide.Settings{Relays: relays, Slots: 64, MaxHeld: 2000, MaxAttempts: 8, RatesListed: true, Probes: false,
		Cancels: true, RetryAfter: true, MaxRetryAfter: 2 * second, ConnectTimeout: 3 * second / 2,
		KeepAlive: 10 * second, Streams: 1, Tick: 5000, AnswerSlack: 20000, DrainGrace: 2 * second, StartCapacity: 0.26,
		RampTime: 13 * second, OverloadFactor: 1.5, FallTime: 2 * second, Kinds: []decide.Kind{{Batch: 1}},
		Classes: []decide.Class{{Name: "notice", Aim: 2 * second, Deadline: 8 * second, Worth: 1, LateWorth: 0.1,
			Repeat: decide.Safe}}}
}
