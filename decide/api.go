package decide

import "fmt"

// This file is the interface of the package: settings, events and actions. It makes no decision and holds no
// tuning constant.

// Time is a moment or a duration in microseconds of the host's clock.
type Time = int64

// Endpoint identifies one endpoint of a destination. The value is opaque.
type Endpoint uint64

// Idempotency says what a second run of a message of a class would do. Its numbers are stored.
type Idempotency uint8

// Values of Idempotency.
const (
	// Idempotent messages may run any number of times.
	Idempotent Idempotency = iota
	// Deduplicated messages carry a key by which the destination drops duplicates within the class's window.
	Deduplicated
	// NonIdempotent messages must never run twice.
	NonIdempotent
)

// Class is one class of message. It is stored as JSON under the original field names.
type Class struct {
	Name string
	// TargetTime is the time after arrival until which a delivery earns the full worth.
	TargetTime Time `json:"Aim"`
	// Deadline is the time after arrival by which the client must have its reply; later deliveries earn
	// nothing.
	Deadline Time
	// Worth is what a delivery within the target time earns.
	Worth float64
	// LateWorth is the share of the worth that is left at the deadline.
	LateWorth float64
	// Idempotency says whether a message may run twice.
	Idempotency Idempotency `json:"Repeat"`
	// DedupWindow applies to Deduplicated only: how long the destination recognizes a duplicate, counted from
	// the send of the first attempt that may have run.
	DedupWindow Time
	// DedupByZone applies to Deduplicated only: the endpoints of a zone share the record of seen keys, those
	// of different zones do not.
	DedupByZone bool `json:"ZoneOnly"`
	// InOrder makes messages with the same key go one at a time, in order of arrival.
	InOrder bool
}

// Tenant is one of the tenants that share the relay.
type Tenant struct {
	Name string
	// Quota is the tenant's share in messages a second over all relays; 0 means no quota.
	Quota float64
}

// DestKind is a kind of destination.
type DestKind struct {
	// SeparateLimits is set where each endpoint is a route with its own rate limit and its own outages.
	SeparateLimits bool
	// MaxBatch is how many messages may travel in one call; 0 means 1.
	MaxBatch int
}

// Settings configures a policy. It may be replaced while the policy runs.
type Settings struct {
	// Relays is the number of relays that share the destinations, this one included.
	Relays int
	// Zone is the zone of this relay.
	Zone    int
	Classes []Class
	Tenants []Tenant
	Kinds   []DestKind
	// Slots is how many calls may be in flight at once.
	Slots int
	// MaxHeld is how many messages may be held at once; 0 means no limit.
	MaxHeld int
	// MaxAttempts is how many attempts a message may have; 0 means no limit.
	MaxAttempts int
	// WorthHalves makes the worth of a message halve with each target time that it is late, instead of
	// falling linearly to the deadline; it does not fall below LateWorth.
	WorthHalves bool
	// OverShareWorth is the part of its worth that a message beyond its tenant's quota keeps.
	OverShareWorth float64
	// WorthByCost multiplies the worth of a message by its estimated cost.
	WorthByCost bool
	// RatesListed is set where list entries carry the calls a second that a destination accepts.
	RatesListed bool
	// MayProbe allows health probes.
	MayProbe bool
	// MayCancel allows an attempt to be cancelled.
	MayCancel bool
	// ParallelAttempts allows a message to have a second attempt in flight beside the first.
	ParallelAttempts bool
	// RetryAfter makes a refusal tell the client when to try again.
	RetryAfter bool
	// MaxRetryAfter is the longest such delay that clients observe.
	MaxRetryAfter Time
	// ListOnRequest is set where list changes arrive only after they have been asked for.
	ListOnRequest bool
	// ListMaxAge applies with ListOnRequest: how long a list counts as fresh without asking again.
	ListMaxAge Time
	// ConnectTimeout is the longest time to wait for a connection; 0 when it is unknown.
	ConnectTimeout Time
	// KeepAlive is the time after which idle connections close; 0 when it is unknown.
	KeepAlive Time
	// StreamsPerConn is how many calls one connection carries at once; 0 means 1.
	StreamsPerConn int
	// Tick is the shortest time between two steps; 0 when it is unknown.
	Tick Time
	// AnswerSlack is the time past its deadline in which the reply of a message still counts.
	AnswerSlack Time
	// DrainGrace is the time after the notice of a drain by which sends to the endpoint must have ended.
	DrainGrace Time
	// StartCapacity is the least share of its capacity that a destination has after an outage.
	StartCapacity float64
	// RampTime is the time after an outage by which a destination has its full capacity again.
	RampTime Time
	// OverloadFactor limits the calls to a recovering destination as a multiple of its current capacity. More
	// calls than that over OverloadTime make it fail again.
	OverloadFactor float64
	// OverloadTime is how long a recovering destination withstands calls beyond OverloadFactor.
	OverloadTime Time
	// OrderedKeyPause is how long a key of an ordered class pauses after an attempt without a response, which
	// may still be running.
	OrderedKeyPause Time
}

// Validate reports the first invalid value; the error names its field.
func (s *Settings) Validate() error {
	times := []struct {
		key string
		v   Time
	}{{"MaxRetryAfter", s.MaxRetryAfter}, {"ListMaxAge", s.ListMaxAge}, {"ConnectTimeout", s.ConnectTimeout},
		{"KeepAlive", s.KeepAlive}, {"Tick", s.Tick}, {"AnswerSlack", s.AnswerSlack},
		{"DrainGrace", s.DrainGrace}, {"RampTime", s.RampTime}, {"OverloadTime", s.OverloadTime},
		{"OrderedKeyPause", s.OrderedKeyPause}}
	for _, t := range times {
		if t.v < 0 {
			return fmt.Errorf("%s: negative time %d", t.key, t.v)
		}
	}
	counts := []struct {
		key    string
		v, min int
	}{{"Relays", s.Relays, 1}, {"Slots", s.Slots, 1}, {"MaxHeld", s.MaxHeld, 0}, {"Zone", s.Zone, 0},
		{"MaxAttempts", s.MaxAttempts, 0}, {"StreamsPerConn", s.StreamsPerConn, 0},
		{"Classes", len(s.Classes), 1}}
	for _, c := range counts {
		if c.v < c.min {
			return fmt.Errorf("%s: %d, want at least %d", c.key, c.v, c.min)
		}
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("Classes[%d]", i)
		switch {
		case c.Idempotency > NonIdempotent:
			return fmt.Errorf("%s.Idempotency: unknown value %d", key, c.Idempotency)
		case c.TargetTime < 0:
			return fmt.Errorf("%s.TargetTime: negative time %d", key, c.TargetTime)
		case c.Deadline <= 0:
			return fmt.Errorf("%s.Deadline: %d, want above 0", key, c.Deadline)
		case c.DedupWindow < 0:
			return fmt.Errorf("%s.DedupWindow: negative time %d", key, c.DedupWindow)
		case !(c.Worth >= 0):
			return fmt.Errorf("%s.Worth: %v, want 0 or more", key, c.Worth)
		case !(c.LateWorth >= 0 && c.LateWorth <= 1):
			return fmt.Errorf("%s.LateWorth: %v, want 0 to 1", key, c.LateWorth)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Quota >= 0) {
			return fmt.Errorf("Tenants[%d].Quota: %v, want 0 or more", i, t.Quota)
		}
	}
	for i, k := range s.Kinds {
		if k.MaxBatch < 0 {
			return fmt.Errorf("Kinds[%d].MaxBatch: %d, want 0 or more", i, k.MaxBatch)
		}
	}
	if !(s.StartCapacity >= 0 && s.StartCapacity <= 1) {
		return fmt.Errorf("StartCapacity: %v, want 0 to 1", s.StartCapacity)
	}
	if !(s.OverloadFactor >= 0) {
		return fmt.Errorf("OverloadFactor: %v, want 0 or more", s.OverloadFactor)
	}
	if !(s.OverShareWorth >= 0 && s.OverShareWorth <= 1) {
		return fmt.Errorf("OverShareWorth: %v, want 0 to 1", s.OverShareWorth)
	}
	return nil
}

// EventKind is the kind of an Event.
type EventKind uint8

// Values of EventKind, each with the fields of Event that it uses.
const (
	// EvList is an update of the list of endpoints: List, Entries.
	EvList EventKind = iota
	// EvMessage is a new message: Message, Key, TimeLeft, Class, Dest, Tenant, EstimatedCost, Attempts,
	// MayHaveRunAt, MayHaveRunZone, OriginalClass, OriginalMaxAttempts, InFlightEndpoint, InFlightZone,
	// InFlightSince, InFlightCall.
	EvMessage
	// EvResponseStarted says that the response to an attempt has begun to arrive: Message, Attempt.
	EvResponseStarted
	// EvOutcome is the end of an attempt: Message, Attempt, Endpoint, Outcome, RetryAfter, SlotsTaken,
	// TooManyConns, Elapsed, Settled, Load.
	EvOutcome
	// EvWithdraw says that the client no longer wants the message: Message.
	EvWithdraw
	// EvTimer says that a timer has fired: Token.
	EvTimer
	// EvProbeResult is the result of a probe: Endpoint, Outcome, Elapsed, Load.
	EvProbeResult
	// EvSettings replaces the settings for messages that arrive from here on: Settings.
	EvSettings
	// EvSnapshot carries what the predecessor process of this relay had learned: Snapshot.
	EvSnapshot
	// EvRecording says whether attempts can be recorded before they are sent: CannotRecord.
	EvRecording
)

// ListUpdate says what an EvList carries.
type ListUpdate uint8

// Values of ListUpdate.
const (
	// ListDelta carries only the changed entries.
	ListDelta ListUpdate = iota
	// ListFull carries the full list; endpoints that are not in it have been removed.
	ListFull
	// ListCached carries the last full list known, which may be out of date.
	ListCached
	// ListFailed says that the request failed; the current list stays in force.
	ListFailed
)

// EndpointState is the state of an endpoint in the list.
type EndpointState uint8

// Values of EndpointState.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Entry is one entry of the list.
type Entry struct {
	Endpoint Endpoint
	Zone     int
	Kind     int
	Dest     int
	State    EndpointState
	// Rate is the calls a second that the destination accepts from all relays together, or the endpoint alone
	// where its kind has SeparateLimits.
	Rate float64
}

// Directory lists the endpoints of every destination. Where the host has one, list updates carry changes
// only, and the policy keeps state only for destinations that have messages.
type Directory interface {
	// Endpoints appends the entries of a destination to into, in the order of the list; none is Removed.
	Endpoints(dest int, into []Entry) []Entry
}

// Outcome is how an attempt or a probe ended. Its numbers are stored.
type Outcome uint8

// Values of Outcome.
const (
	// Delivered: the endpoint accepted the message.
	Delivered Outcome = iota
	// Errored: the endpoint responded with an error; the attempt may have run.
	Errored
	// Rejected: the endpoint was at its limit and rejected the call before processing; it never ran.
	Rejected
	// TimedOut: no response arrived in time; the attempt may have run or may still run.
	TimedOut
	// ConnectFailed: no connection was established in time; the attempt never ran.
	ConnectFailed
	// Reset: the connection broke; the attempt may have run.
	Reset
	// Cancelled: the relay cancelled the attempt; it may have run.
	Cancelled
	// NotSent: the attempt never left the relay and never ran.
	NotSent
	outcomeCount // number of outcomes
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// Load is the load report of an endpoint. It is stored as JSON under the original field names.
type Load struct {
	// Remaining is the share of the rate limit that is left.
	Remaining float64 `json:"Left"`
	// Limit is the rate limit in calls a second; 0 where none is reported.
	Limit float64
}

// Event is an input of the policy. EventKind names the fields that each kind uses.
type Event struct {
	Kind    EventKind
	List    ListUpdate
	Outcome Outcome
	// Settled is set by EvOutcome when the message needs no further attempt and no further reply.
	Settled bool
	// SlotsTaken is set by EvOutcome with NotSent when all slots were taken.
	SlotsTaken bool
	// TooManyConns is set by EvOutcome with Rejected when the endpoint had no connection free; this says
	// nothing about the rate limit of the destination.
	TooManyConns bool
	Attempt      int
	Class        int
	Dest         int
	Tenant       int
	Message      uint32
	Endpoint     Endpoint
	// Key is the ordering key of the message; 0 means none.
	Key   uint64
	Token uint64
	// TimeLeft is the time left until the deadline of the message.
	TimeLeft Time
	// EstimatedCost is an estimate of the processing cost of the message; 0 means none.
	EstimatedCost Time
	// RetryAfter is the time for which the endpoint asked not to be called; 0 means none.
	RetryAfter Time
	// Elapsed is how long the attempt or the probe took.
	Elapsed Time
	Load    Load
	Entries []Entry

	// Attempts is set for a message that a predecessor process accepted: the number of its attempts so far.
	Attempts int
	// MayHaveRunAt is when the first of these attempts that may have run was sent; 0 means none.
	MayHaveRunAt Time
	// MayHaveRunZone is the zone of the endpoint of that attempt.
	MayHaveRunZone int
	// OriginalClass is the class under which a predecessor process accepted the message, since the settings
	// may have changed; nil means Settings.Classes[Class].
	OriginalClass *Class
	// OriginalMaxAttempts is the limit of attempts that goes with OriginalClass.
	OriginalMaxAttempts int

	// InFlightEndpoint is set where another process has an attempt of the message in flight: its endpoint, 0
	// means none. The outcome arrives as for any other attempt.
	InFlightEndpoint Endpoint
	// InFlightZone is the zone in which that endpoint was when the attempt was sent.
	InFlightZone int
	// InFlightSince is when that attempt was sent.
	InFlightSince Time
	// InFlightCall is a number that all messages of that call share.
	InFlightCall uint64

	Settings *Settings
	Snapshot *Snapshot

	// CannotRecord is set by EvRecording while attempts cannot be recorded.
	CannotRecord bool
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Values of ActionKind, each with the fields of Action that it uses.
const (
	// ActSend sends an attempt of a message: Message, Endpoint, TimeoutAt.
	ActSend ActionKind = iota
	// ActRefuse hands a message back to the client: Message, After (the delay before the client tries again).
	ActRefuse
	// ActFail gives up a message that may have run: Message.
	ActFail
	// ActCancel cancels an attempt: Message, Attempt.
	ActCancel
	// ActTimer requests an EvTimer: After, Token.
	ActTimer
	// ActProbe probes an endpoint: Endpoint.
	ActProbe
	// ActCloseIdle closes the idle connections of an endpoint: Endpoint.
	ActCloseIdle
	// ActWatchList subscribes to changes of the list.
	ActWatchList
	// ActFetchList requests the full list once.
	ActFetchList
	// ActLog writes a log line: Text.
	ActLog
	// ActOutage says that the result of Policy.Outage for an endpoint has changed: Endpoint.
	ActOutage
	// ActRelease says that the policy keeps no state of an endpoint any more: Endpoint. It occurs only with a
	// Directory.
	ActRelease
	actionKindCount // number of kinds
)

// Action is a request of the policy to its relay. ActionKind names the fields that each kind uses.
type Action struct {
	Kind     ActionKind
	Attempt  int
	Message  uint32
	Endpoint Endpoint
	// TimeoutAt is when the attempt times out.
	TimeoutAt Time
	After     Time
	Token     uint64
	Text      string
}
