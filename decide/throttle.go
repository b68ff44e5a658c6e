package decide

// Adaptive throttling: calls are dropped before they are sent, by the recent requests and accepts of a
// destination. The drop probability is max(0, (requests - K*accepts) / (requests + 1)).

const (
	// historySpan is the time over which requests and accepts are counted.
	historySpan = 10 * second
	// historyBins is the number of bins in that time.
	historyBins = 20
	// throttleMultiplier is the multiplier K of the formula.
	throttleMultiplier = 2.0
	// priorAccepts is added to the accepts, so that a few calls alone do not cause drops.
	priorAccepts = 2.0
	// maxDropProbability is the highest drop probability. It is below 1 so that some calls always pass.
	maxDropProbability = 0.9
	// sparseMultiplier is the multiplier K for the last calls to all sparse limiters.
	sparseMultiplier = 1.0
	// sparseSampleCalls is the number of these calls over which their history is averaged.
	sparseSampleCalls = 8
	// minCallShare is the share of all calls that a relay must make so that its own calls show the state of a
	// destination.
	minCallShare = 0.1
)

// throttled draws whether to drop the next call. A dropped call counts as a request and uses the limiter's
// token; the message stays in the queue.
func (p *Policy) throttled(l *limiter) bool {
	probability := p.dropProbability(l)
	l.history.addRequest(p.now)
	return p.rng.Float64() < probability
}

// dropProbability returns the drop probability of the next call. Calls in flight do not count as requests
// yet: otherwise the first calls to a destination that has been idle for longer than the history would
// cause drops.
func (p *Policy) dropProbability(l *limiter) float64 {
	requests, accepted := l.history.totals(p.now)
	return throttleProbability(max(0, requests-float64(l.inFlight)), accepted)
}

// throttleProbability is the throttling formula with its cap.
func throttleProbability(requests, accepted float64) float64 {
	return min(max(0, (requests-throttleMultiplier*(accepted+priorAccepts))/(requests+1)), maxDropProbability)
}

// sparse reports whether this relay makes only a small share of the calls to a limiter, and those less
// often than once in the target time, so that its own calls say little about the limiter's load.
func (p *Policy) sparse(l *limiter) bool {
	return float64(p.settings.Relays)*minCallShare > 1 &&
		p.evenShare(l)*float64(p.settings.Classes[0].TargetTime) < float64(second)
}

// sparseThrottled draws by the formula over the last calls to all sparse limiters. The history of a single
// one is mostly empty, but what overloads one (traffic beyond the capacity, lowered limits, many relays
// that restart at once) overloads most of them. A rejected call may use as much of a rate limit as an
// accepted one, so K is one. The cost is that a call to a destination with free capacity may wait for up to
// one round (see roundSeconds).
func (p *Policy) sparseThrottled(l *limiter) bool {
	return p.sparse(l) &&
		p.rng.Float64() < min(1-sparseMultiplier*(1-p.sparseRejectShare), maxDropProbability)
}
