// Package settings converts the settings text, which the simulator and the
// relay's configuration share, to the settings of package decide. It contains
// no policy.
package settings

import (
	"fmt"

	"troutusher/decide"
	"troutusher/internal/wire"
)

// idempotency maps the values of a class's "repeat" setting.
var idempotency = map[string]decide.Idempotency{
	"retryable": decide.Idempotent, "dedup": decide.Deduplicated, "fragile": decide.NonIdempotent}

// Policy converts the decoded settings text to the settings of a policy. It
// does not check their ranges.
func Policy(parsed *wire.Settings) (decide.Settings, error) {
	limits, safety := &parsed.Limits, &parsed.Safety
	policy := decide.Settings{Relays: parsed.Relays, Zone: parsed.Zone,
		Slots: parsed.Specifics.MaxCallsInFlight, MaxHeld: limits.MaxHeld, MaxAttempts: limits.MaxAttempts,
		WorthHalves: parsed.Specifics.WorthDecay == "halving", OverShareWorth: parsed.OverShareWorth,
		WorthByCost: parsed.WorthBy == "work",
		RatesListed: parsed.Weights != "" && parsed.Weights != "none",
		MayProbe:    limits.Probing, MayCancel: limits.MayCancel, ParallelAttempts: limits.ParallelAttempts,
		RetryAfter: limits.RetryAfter, MaxRetryAfter: limits.MaxRetryAfter,
		ListOnRequest: parsed.Discovery == "on_request", ListMaxAge: safety.ListMaxAge,
		ConnectTimeout: limits.ConnectTimeout, KeepAlive: limits.KeepAlive, StreamsPerConn: limits.StreamsPerConn,
		Tick: parsed.Tick, AnswerSlack: safety.AnswerSlack, DrainGrace: safety.DrainGrace,
		StartCapacity: safety.StartCapacity, RampTime: safety.RampTime,
		OverloadFactor: safety.OverloadFactor, OverloadTime: safety.OverloadTime,
		OrderedKeyPause: safety.OrderedKeyPause}
	for i, class := range parsed.Classes {
		classIdempotency, ok := idempotency[class.Idempotency]
		if !ok {
			return policy, fmt.Errorf("settings: classes[%d].repeat: unknown kind %q", i, class.Idempotency)
		}
		policy.Classes = append(policy.Classes, decide.Class{Name: class.Name, TargetTime: class.TargetTime,
			Deadline: class.Deadline, Worth: class.Worth, LateWorth: class.LateWorth,
			Idempotency: classIdempotency, DedupWindow: class.DedupWindow,
			DedupByZone: class.DedupScope != "all" && class.DedupScope != "", InOrder: class.InOrder})
	}
	for _, tenant := range parsed.Tenants {
		policy.Tenants = append(policy.Tenants, decide.Tenant{Name: tenant.Name, Quota: tenant.Quota})
	}
	for i := range parsed.Kinds {
		kind := decide.DestKind{MaxBatch: 1}
		if i < len(parsed.Specifics.SeparateLimits) {
			kind.SeparateLimits = parsed.Specifics.SeparateLimits[i]
		}
		if i < len(parsed.Specifics.MaxBatch) {
			kind.MaxBatch = parsed.Specifics.MaxBatch[i]
		}
		policy.Kinds = append(policy.Kinds, kind)
	}
	return policy, nil
}
