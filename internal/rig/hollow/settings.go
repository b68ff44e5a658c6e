package hollow

import "troutusher/decide"

const second = decide.Time(1e6)

// Settings returns the policy's settings for a fleet of the given number of relays, like those of a deployment.
func Settings(relays int) decide.Settings {
	return decide.Settings{Relays: relays, Slots: 64, MaxHeld: 2000, MaxAttempts: 8, RatesListed: true, MayProbe: false,
		MayCancel: true, RetryAfter: true, MaxRetryAfter: 2 * second, ConnectTimeout: 3 * second / 2,
		KeepAlive: 10 * second, StreamsPerConn: 1, Tick: 5000, AnswerSlack: 20000, DrainGrace: 2 * second,
		StartCapacity: 0.26, RampTime: 13 * second, OverloadFactor: 1.5, OverloadTime: 2 * second,
		Kinds: []decide.DestKind{{MaxBatch: 1}},
		Classes: []decide.Class{{Name: "notice", TargetTime: 2 * second, Deadline: 8 * second, Worth: 1, LateWorth: 0.1,
			Idempotency: decide.Idempotent}}}
}
