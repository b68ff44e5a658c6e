package decide

import (
	"maps"
	"slices"
)

// Snapshots of what a policy has learned about the destinations. A successor process restores them, so that
// the replacement of a running relay loses no windows, waits and outages. Times are those of the clock that
// both processes share. No decision is made in this file.
//
// The snapshot types are stored as JSON under their field names, which therefore must not change.

// Snapshot is what a policy has learned about all destinations.
type Snapshot struct {
	// Lanes has an element for each limiter.
	Lanes []LimiterSnapshot
	// Lat is the latency over all destinations.
	Lat LatencySnapshot
	// Tight is the share of calls that found no connection, by kind of destination.
	Tight []float64

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
	// Mute says that the last failure was a missing response or connection, not an error response.
	Mute bool
	// Suspected says that the failures are too few for an ejection.
	Suspected bool
	// FirstBad and BadAt are the first and the last failure of the run.
	FirstBad, BadAt Time
	// GoodAt is the first success of a call sent after the last failure, and GoodSent the send of that
	// call; both are 0 until then.
	GoodAt, GoodSent Time
}

// LimiterSnapshot is the state of one limiter: of a destination, or of a route with separate limits.
type LimiterSnapshot struct {
	Dest      int
	Endpoints []EndpointSnapshot
	// Bins holds the requests and accepts of each bin of the history.
	Bins [][2]uint32
	// At is the number of the newest bin, and Started the start of the history.
	At, Started Time
	Window      float64
	// HalvedAt is when a timeout last halved the window, and WaitUntil the end of a requested wait.
	HalvedAt, WaitUntil Time
	// PauseUntil is the end of the backoff.
	PauseUntil Time
	// Nominal is the listed or estimated rate, and Limit the reported rate limit.
	Nominal, Limit float64
	// Boost is the factor on the send rate.
	Boost  float64
	Tokens BucketSnapshot
	// FullRun counts the rejections since the last success.
	FullRun int
	// FullAt is the first of these rejections.
	FullAt Time
	Lat    LatencySnapshot
}

// EndpointSnapshot is the state of one endpoint.
type EndpointSnapshot struct {
	Endpoint Endpoint
	// RestUntil is the end of the backoff after a failure.
	RestUntil Time
	// Score is the failure score, and Need the tokens that the next call takes from Budget.
	Score, Need float64
	// Sick says that the endpoint is ejected. Mute is as in OutageSnapshot.
	Sick, Mute bool
	// FirstBad, BadAt, GoodAt and GoodSent are as in OutageSnapshot.
	FirstBad, BadAt  Time
	GoodAt, GoodSent Time
	// OkAt is the last success.
	OkAt   Time
	Budget BucketSnapshot
	Lat    LatencySnapshot
}

// BucketSnapshot is the level of a token bucket at a given time.
type BucketSnapshot struct {
	At     Time
	Tokens float64
	// Used is false for a bucket that has not been used yet.
	Used bool
}

// LatencySnapshot is a smoothed latency: its mean, its mean deviation and the number of samples.
type LatencySnapshot struct {
	Mean, Dev float64
	N         int
}

func (b tokenBucket) snapshot() BucketSnapshot {
	return BucketSnapshot{b.updatedAt, b.tokens, b.initialized}
}
func (l latencyEstimate) snapshot() LatencySnapshot {
	return LatencySnapshot{l.mean, l.deviation, l.samples}
}

func (s BucketSnapshot) tokenBucket() tokenBucket   { return tokenBucket{s.At, s.Tokens, s.Used} }
func (s LatencySnapshot) estimate() latencyEstimate { return latencyEstimate{s.Mean, s.Dev, s.N} }

// Snapshot returns what the policy has learned.
func (p *Policy) Snapshot() *Snapshot {
	snapshot := &Snapshot{Lat: p.latency.snapshot(), Tight: slices.Clone(p.noConnectionShare)}
	for _, id := range slices.Sorted(maps.Keys(p.destinations)) {
		d := p.destinations[id]
		for _, l := range d.limiters {
			saved := LimiterSnapshot{Dest: d.id, Window: l.window, HalvedAt: l.halvedAt,
				WaitUntil: l.retryAfterUntil, PauseUntil: l.backoffUntil,
				Nominal: l.nominalRate, Limit: l.reportedLimit, Boost: l.rateFactor,
				Tokens: l.bucket.snapshot(), FullRun: l.rejectionRun, FullAt: l.rejectionRunStart,
				Lat: l.latency.snapshot()}
			if l.history.hasStart {
				saved.Bins, saved.At, saved.Started =
					slices.Clone(l.history.bins), l.history.newestBin, l.history.startedAt
			}
			for _, ep := range l.endpoints {
				saved.Endpoints = append(saved.Endpoints, EndpointSnapshot{Endpoint: ep.id,
					RestUntil: ep.backoffUntil, Score: ep.failureScore, Need: ep.nextCallCost,
					Sick: ep.ejected, Mute: ep.silent,
					FirstBad: ep.firstFailureAt, BadAt: ep.lastFailureAt,
					GoodAt: ep.recoveredAt, GoodSent: ep.recoveryCallSentAt,
					OkAt: ep.lastSuccessAt, Budget: ep.budget.snapshot(), Lat: ep.latency.snapshot()})
			}
			snapshot.Lanes = append(snapshot.Lanes, saved)
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
	return OutageSnapshot{Dest: ep.limiter.dest.id, Endpoint: id, Mute: ep.silent, Suspected: !ep.ejected,
		FirstBad: ep.firstFailureAt, BadAt: ep.lastFailureAt,
		GoodAt: ep.recoveredAt, GoodSent: ep.recoveryCallSentAt}, true
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
		if p.now-outage.BadAt >= p.idleRetention {
			return
		}
	}
	ep.ejected, ep.silent, ep.failureScore = true, outage.Mute, 1-scoreDecay
	ep.firstFailureAt, ep.lastFailureAt = min(outage.FirstBad, p.now), min(outage.BadAt, p.now)
	ep.recoveredAt, ep.recoveryCallSentAt = min(outage.GoodAt, p.now), min(outage.GoodSent, p.now)
	ep.budget, ep.nextCallCost = tokenBucket{updatedAt: p.now}, p.rng.ExpFloat64()
	p.markPending(ep.limiter.dest)
}

// restore applies the snapshot of another process to the endpoints that are listed here too. Endpoints that
// are no longer listed are ignored.
func (p *Policy) restore(snapshot *Snapshot) {
	for i := range snapshot.Outages {
		p.restoreOutage(&snapshot.Outages[i])
	}
	if len(snapshot.Lanes) == 0 && snapshot.Lat.N == 0 {
		return
	}
	p.latency = snapshot.Lat.estimate()
	copy(p.noConnectionShare, snapshot.Tight)
	for i := range snapshot.Lanes {
		saved := &snapshot.Lanes[i]
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
				savedEP.RestUntil, savedEP.Score, savedEP.Need, savedEP.Sick, savedEP.Mute
			ep.firstFailureAt, ep.lastFailureAt, ep.lastSuccessAt =
				savedEP.FirstBad, savedEP.BadAt, savedEP.OkAt
			ep.recoveredAt, ep.recoveryCallSentAt = savedEP.GoodAt, savedEP.GoodSent
			ep.budget, ep.latency = savedEP.Budget.tokenBucket(), savedEP.Lat.estimate()
			l := ep.limiter
			l.window, l.halvedAt, l.retryAfterUntil, l.backoffUntil =
				saved.Window, saved.HalvedAt, saved.WaitUntil, saved.PauseUntil
			l.reportedLimit, l.rateFactor = min(saved.Limit, maxRestoredRate), saved.Boost
			l.bucket, l.latency = saved.Tokens.tokenBucket(), saved.Lat.estimate()
			l.rejectionRun, l.rejectionRunStart = saved.FullRun, saved.FullAt
			if l.nominalRate == 0 { // a listed rate is newer
				l.nominalRate = min(saved.Nominal, maxRestoredRate)
			}
			if bins := len(saved.Bins); Time(bins) == l.history.binCount || bins == 0 && saved.At > 0 {
				l.history.bins, l.history.newestBin = slices.Clone(saved.Bins), saved.At
				l.history.startedAt, l.history.hasStart = saved.Started, true
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
