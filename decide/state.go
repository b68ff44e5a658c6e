package decide

import (
	"fmt"
	"math/rand/v2"
)

// The state of a policy. No decision is made in this file.

// Policy makes the decisions of one relay.
type Policy struct {
	settings         Settings
	rng              *rand.Rand
	now              Time
	actions          []Action // of the current step
	destinations     map[int]*destination
	endpoints        map[Endpoint]*endpoint
	messages         map[uint32]*message
	unfinished       []*message             // messages not yet ended
	orderedKeys      map[uint64]*orderedKey // by ordering key
	timers           timerQueue[func()]
	pending          []*destination // destinations to evaluate in this step
	dispatchable     []*destination // destinations with a picked message, which wait only for a slot
	tenantBuckets    []tokenBucket
	callsInFlight    int
	inheritedCalls   map[uint64]*call // calls of another process by InFlightCall, kept within one step
	messagesInFlight int              // messages that have not ended and have an attempt in flight
	timerAt          Time             // when the requested timer fires
	listAskedAt      Time
	// cannotRecord is set while attempts cannot be recorded before they are sent.
	cannotRecord     bool
	rateShareDivisor float64 // divides the rate of a destination to give the share of this relay
	maxWorth         float64 // highest worth of a class
	rejectionFactor  float64 // multiplies a rate factor after a rejection
	shedPasses       int     // passes of shed over all held messages so far
	// nextDispatchScans counts the calls of nextDispatchAt, the costly part of a step; a test bounds it.
	nextDispatchScans int
	// noConnectionShare is the share of calls that found no connection, by kind of destination.
	noConnectionShare []float64
	latency           latencyEstimate // of all responses
	destinationCache
	sparseRejectShare float64 // share of rejections in the last calls to sparse limiters
	// slotsExhaustedSince is when messages began to wait with every slot taken; 0 while they do not.
	slotsExhaustedSince Time
}

// destination holds the queue of a destination and its limiters: one, or one for each route where the routes
// have separate limits.
type destination struct {
	id           int
	kind         DestKind
	kindIndex    int // index of kind in Settings.Kinds
	limiters     []*limiter
	queue        []*message
	inFlight     int // calls in flight
	pending      bool
	dispatchable bool // listed in Policy.dispatchable
	nextWakeAt   Time // the next evaluation by timer
	lastWakeAt   Time // the latest evaluation by timer that is scheduled
	loggedAt     Time // last log line of logWaitReasons
	shedPass     int  // the pass of shed that set drainedAt
	drainedAt    Time // estimate of when the current queue will have been sent
	// picked is the message to send next, nil for none, with its endpoint and its priority.
	picked         *message
	pickedEndpoint *endpoint
	pickedPriority float64
	destinationUse
}

// limiter holds the rate limit, the window, the waits and the call history of a destination, or of one route
// of a destination with separate limits.
type limiter struct {
	dest              *destination
	endpoints         []*endpoint
	history           rollingCounter
	window            float64 // most calls in flight
	halvedAt          Time    // last time that a timeout halved the window
	inFlight          int     // calls in flight that count in the window
	retryAfterUntil   Time    // end of the wait that an endpoint asked for (Retry-After)
	backoffUntil      Time    // end of the backoff after a rejection or a throttled call
	nominalRate       float64 // rate from the list, or an estimate made at the first rejection; 0 for unknown
	reportedLimit     float64 // rate limit from a load report; 0 for unknown
	rateFactor        float64 // factor on the send rate: rises after successes and falls after rejections
	bucket            tokenBucket
	rateLimited       bool // the send rate, not the traffic, delayed calls since the last call
	rejectionRun      int  // rejections since the last success
	rejectionRunStart Time // the first of them
	latency           latencyEstimate
}

// endpoint is one address, with the health that this relay has observed.
type endpoint struct {
	id               Endpoint
	zone             int
	kind             int // as listed
	rate             float64
	limiter          *limiter
	state            EndpointState
	inFlight         int   // calls in flight
	lastCall         *call // the most recent call
	connections      int   // estimate of the open connections
	failedConnects   int   // failed connects since the last success
	backoffUntil     Time  // backoff after a failure, before an ejection
	idleSince        Time  // end of the last call
	idleCheckPending bool  // a timer for closeIdle is pending
	// failureScore is a moving average: 0 after successes, 1 after failures.
	failureScore       float64
	ejected            bool // considered down, or in the slow start after it
	firstFailureAt     Time // first failure of the current run
	lastFailureAt      Time // last failure
	recoveredAt        Time // first success since the last failure, which starts the ramp; 0 for none
	recoveryCallSentAt Time // send of the call that succeeded then
	lastSuccessAt      Time
	budget             tokenBucket // limits calls while ejected
	nextCallCost       float64
	silent             bool // the last failure was a missing response or connection, not an error response
	latency            latencyEstimate
}

// message is held until it has ended, and stays known until its last attempt is over.
type message struct {
	id             uint32
	key            uint64
	class          *Class
	dest           *destination
	targetAt       Time // delivered by then it earns its full worth
	deadline       Time
	worth          float64
	waitLoss       float64 // worth lost by waiting, as of the last evaluation of its destination
	ended          bool
	inherited      bool // accepted by a predecessor process
	index          int  // index in Policy.unfinished
	attempts       int
	maxAttempts    int       // limit of attempts; 0 for none
	mayHaveRunAt   Time      // send of the first attempt that may have run; 0 for none
	mayHaveRunZone int       // zone of that attempt
	failedEndpoint *endpoint // endpoint of the last failed attempt
	call           *call     // the call in flight; nil for none
	deadlineTimer  *timer[func()]
	windowTimer    *timer[func()] // end of the deduplication window; nil while no attempt may have run
}

// call is one call in flight, with the messages that share it.
type call struct {
	endpoint  *endpoint
	zone      int // of the endpoint as the call was sent; the list may move or remove the endpoint since
	sentAt    Time
	remaining int  // messages without an outcome
	observed  bool // its result has been learned
	counted   bool // it counts as a request in the history of its limiter
	overdue   bool // in flight for longer than usual, and out of the window
	messages  []*message
	// overdueTimer and cancelTimer are removed when the call ends. cancelTimer may be nil.
	overdueTimer, cancelTimer *timer[func()]
}

// orderedKey holds the messages of one key in the classes that keep order.
type orderedKey struct {
	queue       []*message // in order of arrival
	pausedUntil Time       // no first attempt of a message before then
}

// emit appends an action to those of the current step.
func (p *Policy) emit(a Action) { p.actions = append(p.actions, a) }

// resumeAttempts restores the attempts that a predecessor process made for a message. If none is left to
// it, the message ends at once.
func (p *Policy) resumeAttempts(m *message, e *Event) {
	if m.attempts = e.Attempts; m.attempts > 0 {
		p.timers.add(p.now, func() { p.endIfDue(m) })
	}
	if e.MayHaveRunAt > 0 {
		p.markMayHaveRun(m, e.MayHaveRunAt, e.MayHaveRunZone)
	}
}

// markMayHaveRun records the first attempt of a message that may have run. Unless the message has ended, it
// is checked again when its deduplication window ends.
func (p *Policy) markMayHaveRun(m *message, sentAt Time, zone int) {
	if m.mayHaveRunAt, m.mayHaveRunZone = sentAt, zone; m.ended {
		return
	}
	m.windowTimer = p.timers.add(max(m.mayHaveRunAt+m.class.DedupWindow-2*p.settings.Tick+1, p.now+1),
		func() { p.endIfDue(m) })
}

// logWaitReasons logs, at most once in waitLogInterval, what messages that are handed back without an attempt
// have waited for.
func (p *Policy) logWaitReasons(d *destination) {
	if d.loggedAt > 0 && p.now-d.loggedAt < waitLogInterval {
		return
	}
	d.loggedAt = p.now
	for _, l := range d.limiters {
		requests, accepts := l.history.totals(p.now)
		ejected, backingOff := 0, 0
		for _, ep := range l.endpoints {
			if ep.ejected {
				ejected++
			} else if ep.backoffUntil > p.now {
				backingOff++
			}
		}
		p.logf("dest %d: waiting %d, in flight %d, window %.0f, slots used %d, requests %.0f, accepts %.0f, "+
			"pace %.1f, tokens %.1f, limit %.1f, wait %dms, pause %dms, endpoints %d, ejected %d, backoff %d",
			d.id, len(d.queue), l.inFlight, l.window, p.callsInFlight, requests, accepts, p.sendRate(l),
			l.bucket.tokens, l.reportedLimit, max(l.retryAfterUntil-p.now, 0)/1000,
			max(l.backoffUntil-p.now, 0)/1000, len(l.endpoints), ejected, backingOff)
	}
}

// waitLogInterval is the shortest time between two log lines of logWaitReasons for a destination.
const waitLogInterval = Time(1e6)

// logf emits a log line.
func (p *Policy) logf(format string, args ...any) {
	p.emit(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}
