package decide

import (
	"maps"
	"slices"
)

// Snapshots of what a policy has learned about the destinations. A successor process restores them, so that
// the replacement of a running relay loses no windows, waits and outages. Times are those of the clock that
// both processes share. No decision is made in this file.
//
// The snapshot types are stored as JSON under their original field names, which therefore must not change. A
// renamed field has its original name as a tag.

// Snapshot is what a policy has learned about all destinations.
type Snapshot struct {
	Limiters []LimiterSnapshot `json:"Lanes"`
	// Latency is the latency over all destinations.
	Latency LatencySnapshot `json:"Lat"`
	// NoConnectionShare is the share of calls that found no connection, by kind of destination.
	NoConnectionShare []float64 `json:"Tight"`

	// Outages holds the outages alone, from a process that has ended. Without them the successor would call a
	// recovering destination at the full rate and make it fail again.
	Outages []OutageSnapshot
}

// maxRestoredRate is above the calls a second that any destination accepts. A snapshot with a higher rate
// is damaged; the limit keeps the values that are computed from it finite.
const maxRestoredRate = 1e9

// OutageSnapshot describes the outage of one endpoint, the ramp after it, or failures that are too few for an
// ejection. Times are those of the policy's clock.
type OutageSnapshot struct {
	Dest     int
	Endpoint Endpoint
	// Silent says that the last failure was a missing response or connection, not an error response.
	Silent bool `json:"Mute"`
	// Suspected says that the failures are too few for an ejection.
	Suspected bool
	// FirstFailureAt is the first failure of the run.
	FirstFailureAt Time `json:"FirstBad"`
	// LastFailureAt is the last failure of the run.
	LastFailureAt Time `json:"BadAt"`
	// RecoveredAt is the first success of a call sent after the last failure; 0 for none.
	RecoveredAt Time `json:"GoodAt"`
	// RecoveryCallSentAt is the send of the call that succeeded then; 0 for none.
	RecoveryCallSentAt Time `json:"GoodSent"`
}

// LimiterSnapshot is the state of one limiter: of a destination, or of a route with separate limits.
type LimiterSnapshot struct {
	Dest      int
	Endpoints []EndpointSnapshot
	// Bins holds the requests and accepts of each bin of the history.
	Bins [][2]uint32
	// NewestBin is the number of the newest bin.
	NewestBin Time `json:"At"`
	// StartedAt is the start of the history.
	StartedAt Time `json:"Started"`
	Window    float64
	// HalvedAt is when a timeout last halved the window.
	HalvedAt Time
	// RetryAfterUntil is the end of the wait that an endpoint asked for.
	RetryAfterUntil Time `json:"WaitUntil"`
	// BackoffUntil is the end of the backoff after a rejection or a throttled call.
	BackoffUntil Time `json:"PauseUntil"`
	// NominalRate is the listed or estimated rate; 0 for unknown.
	NominalRate float64 `json:"Nominal"`
	// ReportedLimit is the rate limit from a load report; 0 for unknown.
	ReportedLimit float64 `json:"Limit"`
	// RateFactor is the factor on the send rate.
	RateFactor float64        `json:"Boost"`
	Bucket     BucketSnapshot `json:"Tokens"`
	// RejectionRun counts the rejections since the last success.
	RejectionRun int `json:"FullRun"`
	// RejectionRunStart is the first of these rejections.
	RejectionRunStart Time            `json:"FullAt"`
	Latency           LatencySnapshot `json:"Lat"`
}

// EndpointSnapshot is the state of one endpoint.
type EndpointSnapshot struct {
	Endpoint Endpoint
	// BackoffUntil is the end of the backoff after a failure.
	BackoffUntil Time    `json:"RestUntil"`
	FailureScore float64 `json:"Score"`
	// NextCallCost is the number of tokens that the next call takes from Budget.
	NextCallCost float64 `json:"Need"`
	Ejected      bool    `json:"Sick"`
	// Silent, FirstFailureAt, LastFailureAt, RecoveredAt and RecoveryCallSentAt are as in OutageSnapshot.
	Silent             bool `json:"Mute"`
	FirstFailureAt     Time `json:"FirstBad"`
	LastFailureAt      Time `json:"BadAt"`
	RecoveredAt        Time `json:"GoodAt"`
	RecoveryCallSentAt Time `json:"GoodSent"`
	LastSuccessAt      Time `json:"OkAt"`
	// Budget is the slow-start budget, which limits calls while the endpoint is ejected.
	Budget  BucketSnapshot
	Latency LatencySnapshot `json:"Lat"`
}

// BucketSnapshot is the level of a token bucket at a given time.
type BucketSnapshot struct {
	UpdatedAt Time `json:"At"`
	Tokens    float64
	// Initialized is false for a bucket that has not been used yet.
	Initialized bool `json:"Used"`
}

// LatencySnapshot is a smoothed latency in microseconds.
type LatencySnapshot struct {
	Mean float64
	// Deviation is the mean deviation from the mean.
	Deviation float64 `json:"Dev"`
	Samples   int     `json:"N"`
}

func (b tokenBucket) snapshot() BucketSnapshot {
	return BucketSnapshot{b.updatedAt, b.tokens, b.initialized}
}
func (l latencyEstimate) snapshot() LatencySnapshot {
	return LatencySnapshot{l.mean, l.deviation, l.samples}
}

func (s BucketSnapshot) tokenBucket() tokenBucket {
	return tokenBucket{s.UpdatedAt, s.Tokens, s.Initialized}
}
func (s LatencySnapshot) estimate() latencyEstimate {
	return latencyEstimate{s.Mean, s.Deviation, s.Samples}
}

// Snapshot returns what the policy has learned.
func (p *Policy) Snapshot() *Snapshot {
	snapshot := &Snapshot{Latency: p.latency.snapshot(), NoConnectionShare: slices.Clone(p.noConnectionShare)}
	for _, id := range slices.Sorted(maps.Keys(p.destinations)) {
		d := p.destinations[id]
		for _, l := range d.limiters {
			saved := LimiterSnapshot{Dest: d.id, Window: l.window, HalvedAt: l.halvedAt,
				RetryAfterUntil: l.retryAfterUntil, BackoffUntil: l.backoffUntil,
				NominalRate: l.nominalRate, ReportedLimit: l.reportedLimit, RateFactor: l.rateFactor,
				Bucket: l.bucket.snapshot(), RejectionRun: l.rejectionRun,
				RejectionRunStart: l.rejectionRunStart, Latency: l.latency.snapshot()}
			if l.history.hasStart {
				saved.Bins, saved.NewestBin, saved.StartedAt =
					slices.Clone(l.history.bins), l.history.newestBin, l.history.startedAt
			}
			for _, ep := range l.endpoints {
				saved.Endpoints = append(saved.Endpoints, EndpointSnapshot{Endpoint: ep.id,
					BackoffUntil: ep.backoffUntil, FailureScore: ep.failureScore,
					NextCallCost: ep.nextCallCost, Ejected: ep.ejected, Silent: ep.silent,
					FirstFailureAt: ep.firstFailureAt, LastFailureAt: ep.lastFailureAt,
					RecoveredAt: ep.recoveredAt, RecoveryCallSentAt: ep.recoveryCallSentAt,
					LastSuccessAt: ep.lastSuccessAt, Budget: ep.budget.snapshot(),
					Latency: ep.latency.snapshot()})
			}
			snapshot.Limiters = append(snapshot.Limiters, saved)
		}
	}
	return snapshot
}

// Outage returns the outage of an endpoint, or false if there is none.
func (p *Policy) Outage(id Endpoint) (OutageSnapshot, bool) {
	ep := p.endpoints[id]
	if ep == nil || !ep.ejected && !ep.suspected() || ep.state == Removed {
		return OutageSnapshot{}, false
	}
	return OutageSnapshot{Dest: ep.limiter.dest.id, Endpoint: id, Silent: ep.silent, Suspected: !ep.ejected,
		FirstFailureAt: ep.firstFailureAt, LastFailureAt: ep.lastFailureAt,
		RecoveredAt: ep.recoveredAt, RecoveryCallSentAt: ep.recoveryCallSentAt}, true
}

// restoreOutage restores an outage or a ramp that a predecessor process of this relay observed. The
// slow-start budget starts empty, and the cost of the next call is drawn again with the same mean. Failures
// that were too few for an ejection count as an outage: the relay has seen them, and has no further calls
// to confirm them by. They count for as long as other observations of an unused destination. The cost is
// that after a restart a healthy endpoint whose last call failed gets fewer calls for the time of a ramp.
func (p *Policy) restoreOutage(outage *OutageSnapshot) {
	if p.directory != nil {
		p.destinationInUse(outage.Dest)
	}
	ep := p.endpoints[outage.Endpoint]
	if ep == nil || ep.ejected {
		return
	}
	if outage.Suspected {
		p.emit(Action{Kind: ActOutage, Endpoint: ep.id})
		if p.now-outage.LastFailureAt >= p.idleRetention {
			return
		}
	}
	ep.ejected, ep.silent, ep.failureScore = true, outage.Silent, 1-scoreDecay
	ep.firstFailureAt, ep.lastFailureAt = min(outage.FirstFailureAt, p.now), min(outage.LastFailureAt, p.now)
	ep.recoveredAt, ep.recoveryCallSentAt = min(outage.RecoveredAt, p.now),
		min(outage.RecoveryCallSentAt, p.now)
	ep.budget, ep.nextCallCost = tokenBucket{updatedAt: p.now}, p.rng.ExpFloat64()
	p.markPending(ep.limiter.dest)
}

// restore applies the snapshot of another process to the endpoints that are listed here too. Endpoints that
// are no longer listed are ignored.
func (p *Policy) restore(snapshot *Snapshot) {
	for i := range snapshot.Outages {
		p.restoreOutage(&snapshot.Outages[i])
	}
	if len(snapshot.Limiters) == 0 && snapshot.Latency.Samples == 0 {
		return
	}
	p.latency = snapshot.Latency.estimate()
	copy(p.noConnectionShare, snapshot.NoConnectionShare)
	for i := range snapshot.Limiters {
		saved := &snapshot.Limiters[i]
		if p.directory != nil && len(saved.Endpoints) > 0 {
			p.recordUse(p.destination(saved.Dest))
		}
		for j := range saved.Endpoints {
			savedEP := &saved.Endpoints[j]
			ep := p.endpoints[savedEP.Endpoint]
			if ep == nil {
				continue
			}
			ep.backoffUntil, ep.failureScore, ep.nextCallCost, ep.ejected, ep.silent =
				savedEP.BackoffUntil, savedEP.FailureScore, savedEP.NextCallCost, savedEP.Ejected,
				savedEP.Silent
			ep.firstFailureAt, ep.lastFailureAt, ep.lastSuccessAt =
				savedEP.FirstFailureAt, savedEP.LastFailureAt, savedEP.LastSuccessAt
			ep.recoveredAt, ep.recoveryCallSentAt = savedEP.RecoveredAt, savedEP.RecoveryCallSentAt
			ep.budget, ep.latency = savedEP.Budget.tokenBucket(), savedEP.Latency.estimate()
			l := ep.limiter
			l.window, l.halvedAt, l.retryAfterUntil, l.backoffUntil =
				saved.Window, saved.HalvedAt, saved.RetryAfterUntil, saved.BackoffUntil
			l.reportedLimit, l.rateFactor = min(saved.ReportedLimit, maxRestoredRate), saved.RateFactor
			l.bucket, l.latency = saved.Bucket.tokenBucket(), saved.Latency.estimate()
			l.rejectionRun, l.rejectionRunStart = saved.RejectionRun, saved.RejectionRunStart
			if l.nominalRate == 0 { // a listed rate is newer
				l.nominalRate = min(saved.NominalRate, maxRestoredRate)
			}
			if bins := len(saved.Bins); Time(bins) == l.history.binCount || bins == 0 && saved.NewestBin > 0 {
				l.history.bins, l.history.newestBin = slices.Clone(saved.Bins), saved.NewestBin
				l.history.startedAt, l.history.hasStart = saved.StartedAt, true
				l.history.sums = [2]float64{}
				for _, bin := range saved.Bins {
					l.history.sums[0] += float64(bin[0])
					l.history.sums[1] += float64(bin[1])
				}
			}
			p.markPending(l.dest)
		}
	}
}
