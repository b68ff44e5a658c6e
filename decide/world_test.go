package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The checker tracks the state of all messages on its own, from the events given to the policy and the actions
// that it returns.

// trackedMessage is a message as the checker sees it.
type trackedMessage struct {
	class, dest, mayHaveRunZone int
	key                         uint64
	seq                         int
	deadline                    Time
	attempts                    int
	inFlight                    bool
	mayHaveRunAt                Time // send of the first attempt that may have run; 0 for none
	mayHaveRun, ended           bool
	endpoint                    Endpoint
}

// pendingEvent is an attempt in flight, or a timer, of which only dueAt is set.
type pendingEvent struct {
	message   uint32
	attempt   int
	endpoint  Endpoint
	timeoutAt Time
	dueAt     Time
}

// checker checks the actions of a policy against the rules that must always hold.
type checker struct {
	settings        Settings
	entries         map[Endpoint]Entry
	unusableSince   map[Endpoint]Time // when the list first had the endpoint as draining or removed, or lacked it
	messages        map[uint32]*trackedMessage
	inFlight        []pendingEvent
	timers          []pendingEvent
	retryAfterUntil map[string]Time     // by limiterName
	orderedKeys     map[uint64][]uint32 // message ids in order of arrival, by key
	keyPausedUntil  map[uint64]Time
	probes          []Endpoint
	violations      []string
	sends           int
	handedBack      int
	givenUp         int
}

func newChecker(s Settings) *checker {
	return &checker{settings: s, entries: map[Endpoint]Entry{}, unusableSince: map[Endpoint]Time{},
		messages: map[uint32]*trackedMessage{}, retryAfterUntil: map[string]Time{}, orderedKeys: map[uint64][]uint32{},
		keyPausedUntil: map[uint64]Time{}}
}

// violationf records a violation of a rule.
func (c *checker) violationf(now Time, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%d: ", now)+fmt.Sprintf(format, args...))
}

// limiterName names the limiter of an endpoint: a route with separate limits, or the whole destination.
func (c *checker) limiterName(e Endpoint) string {
	x := c.entries[e]
	if c.settings.Kinds[x.Kind].SeparateLimits {
		return fmt.Sprintf("e%d", e)
	}
	return fmt.Sprintf("d%d", x.Dest)
}

// applyList tracks an update of the list.
func (c *checker) applyList(now Time, e Event) {
	if e.List == ListFailed {
		return
	}
	seen := map[Endpoint]bool{}
	for _, x := range e.Entries {
		seen[x.Endpoint] = true
		if x.State == Ready {
			delete(c.unusableSince, x.Endpoint)
		} else if _, ok := c.unusableSince[x.Endpoint]; !ok {
			c.unusableSince[x.Endpoint] = now
		}
		c.entries[x.Endpoint] = x
	}
	if e.List == ListFull || e.List == ListCached {
		for id := range c.entries {
			if _, unusable := c.unusableSince[id]; !seen[id] && !unusable {
				c.unusableSince[id] = now
			}
		}
	}
}

// addMessage tracks a new message; seq is its place in the order of arrival.
func (c *checker) addMessage(now Time, e Event, seq int) {
	m := &trackedMessage{class: e.Class, dest: e.Dest, key: e.Key, seq: seq, deadline: now + e.TimeLeft}
	c.messages[e.Message] = m
	if c.settings.Classes[e.Class].InOrder && e.Key != 0 {
		c.orderedKeys[e.Key] = append(c.orderedKeys[e.Key], e.Message)
	}
}

// applyOutcome tracks the end of an attempt.
func (c *checker) applyOutcome(now Time, e Event) {
	m := c.messages[e.Message]
	m.inFlight = false
	switch e.Outcome {
	case Delivered:
		m.ended = true
	case Errored, TimedOut, Reset, Cancelled:
		if !m.mayHaveRun {
			m.mayHaveRun = true
			m.mayHaveRunZone = c.entries[e.Endpoint].Zone
		}
	}
	if !m.mayHaveRun {
		m.mayHaveRunAt = 0
	}
	if e.Outcome == TimedOut || e.Outcome == Reset || e.Outcome == Cancelled {
		c.keyPausedUntil[m.key] = max(c.keyPausedUntil[m.key], now+c.settings.OrderedKeyPause)
	}
	if e.Outcome == Rejected && e.RetryAfter > 0 {
		r := c.limiterName(e.Endpoint)
		c.retryAfterUntil[r] = max(c.retryAfterUntil[r], now+e.RetryAfter)
	}
}

// checkAction checks one action and tracks its effect.
func (c *checker) checkAction(now Time, a Action) {
	m := c.messages[a.Message]
	switch a.Kind {
	case ActSend:
		c.sends++
		entry, known := c.entries[a.Endpoint]
		switch {
		case m == nil:
			c.violationf(now, "sent unknown message %d", a.Message)
			return
		case m.ended:
			c.violationf(now, "sent message %d after it had ended", a.Message)
		case m.inFlight:
			c.violationf(now, "sent message %d with an attempt still in flight", a.Message)
		case !known || entry.Dest != m.dest:
			c.violationf(now, "sent message %d to an endpoint of another destination", a.Message)
		case a.TimeoutAt > m.deadline:
			c.violationf(now, "attempt of message %d times out after the deadline", a.Message)
		case c.settings.MaxAttempts > 0 && m.attempts >= c.settings.MaxAttempts:
			c.violationf(now, "%d attempts already made when message %d was sent, want fewer than MaxAttempts",
				m.attempts, a.Message)
		}
		if at, unusable := c.unusableSince[a.Endpoint]; unusable && now > at+c.settings.DrainGrace {
			c.violationf(now, "drain: sent message %d to endpoint %d after the drain grace", a.Message, a.Endpoint)
		}
		if now < c.retryAfterUntil[c.limiterName(a.Endpoint)] {
			c.violationf(now, "wait: sent message %d to endpoint %d before its Retry-After was over", a.Message,
				a.Endpoint)
		}
		class := &c.settings.Classes[m.class]
		if m.mayHaveRun && class.Idempotency == NonIdempotent {
			c.violationf(now, "sent non-idempotent message %d again", a.Message)
		}
		if m.mayHaveRun && class.Idempotency == Deduplicated {
			if now > m.mayHaveRunAt+class.DedupWindow {
				c.violationf(now, "sent deduplicated message %d after its deduplication window", a.Message)
			}
			if class.DedupByZone && entry.Zone != m.mayHaveRunZone {
				c.violationf(now, "sent message %d, deduplicated by zone, to another zone", a.Message)
			}
		}
		if class.InOrder && m.key != 0 {
			for _, id := range c.orderedKeys[m.key] {
				earlier := c.messages[id]
				if earlier.seq < m.seq && (!earlier.ended || earlier.inFlight) {
					c.violationf(now, "order: sent message %d before message %d of the same key", a.Message, id)
				}
			}
			if m.attempts == 0 && now < c.keyPausedUntil[m.key] {
				c.violationf(now, "order: sent message %d while its key was paused", a.Message)
			}
		}
		if !m.mayHaveRun {
			m.mayHaveRunAt = now // applyOutcome clears it if this attempt never ran
		}
		m.attempts++
		m.inFlight, m.endpoint = true, a.Endpoint
		c.inFlight = append(c.inFlight, pendingEvent{message: a.Message, attempt: m.attempts - 1, endpoint: a.Endpoint,
			timeoutAt: a.TimeoutAt})
	case ActRefuse, ActFail:
		if m == nil || m.ended {
			c.violationf(now, "message %d answered twice", a.Message)
			return
		}
		m.ended = true
		if now > m.deadline+c.settings.AnswerSlack {
			c.violationf(now, "message %d answered after its deadline", a.Message)
		}
		if a.Kind == ActFail {
			c.givenUp++
			return
		}
		c.handedBack++
		class := &c.settings.Classes[m.class]
		uncertain := m.mayHaveRun || m.inFlight
		if uncertain && (class.Idempotency == NonIdempotent || class.Idempotency == Deduplicated && class.DedupByZone) {
			c.violationf(now, "handed back message %d, which may have run", a.Message)
		}
	case ActTimer:
		c.timers = append(c.timers, pendingEvent{dueAt: now + a.After})
	case ActProbe:
		if now < c.retryAfterUntil[c.limiterName(a.Endpoint)] {
			c.violationf(now, "wait: probed endpoint %d before its Retry-After was over", a.Endpoint)
		}
		if at, unusable := c.unusableSince[a.Endpoint]; unusable && now > at+c.settings.DrainGrace {
			c.violationf(now, "drain: probed endpoint %d after the drain grace", a.Endpoint)
		}
		c.probes = append(c.probes, a.Endpoint)
	}
}

// checkStep checks after a step that each message was answered in time and that the slots were respected.
func (c *checker) checkStep(now Time) {
	for id, m := range c.messages {
		if !m.ended && now > m.deadline+c.settings.AnswerSlack {
			c.violationf(now, "message %d not answered by its deadline", id)
			m.ended = true
		}
	}
	n := len(c.inFlight)
	if slots := c.settings.Slots; n > slots*maxBatch(c.settings) {
		c.violationf(now, "%d attempts in flight with %d slots", n, slots)
	}
}

func maxBatch(s Settings) int {
	b := 1
	for _, k := range s.Kinds {
		b = max(b, k.MaxBatch)
	}
	return b
}

// randomSettings returns random valid settings with a class of every kind.
func randomSettings(rng *rand.Rand) Settings {
	s := Settings{Relays: 1 + rng.IntN(4), Slots: 1 + rng.IntN(12), MaxHeld: rng.IntN(80), MaxAttempts: rng.IntN(9),
		WorthHalves: rng.IntN(2) == 0, OverShareWorth: 0.2, RatesListed: rng.IntN(2) == 0, MayProbe: rng.IntN(2) == 0,
		MayCancel: rng.IntN(2) == 0, RetryAfter: true, MaxRetryAfter: 2 * second, KeepAlive: 5 * second,
		ConnectTimeout: second, Tick: 5000, AnswerSlack: 20000, DrainGrace: 0, StartCapacity: 0.2,
		RampTime: 8 * second, OverloadFactor: 2, OverloadTime: 3 * second, OrderedKeyPause: second / 2,
		Kinds:   []DestKind{{MaxBatch: 1 + rng.IntN(4)}, {SeparateLimits: true, MaxBatch: 1}},
		Tenants: []Tenant{{Name: "a", Quota: 3}, {Name: "b"}},
		Classes: []Class{
			{Name: "idempotent", TargetTime: second, Deadline: 6 * second, Worth: 1, LateWorth: 0.2},
			{Name: "deduplicated", TargetTime: 2 * second, Deadline: 9 * second, Worth: 2, LateWorth: 0.3,
				Idempotency: Deduplicated, DedupWindow: 3 * second / 2},
			{Name: "deduplicated by zone", TargetTime: 2 * second, Deadline: 9 * second, Worth: 2, LateWorth: 0.3,
				Idempotency: Deduplicated, DedupWindow: 3 * second, DedupByZone: true},
			{Name: "non-idempotent", TargetTime: 2 * second, Deadline: 7 * second, Worth: 3, LateWorth: 0.3,
				Idempotency: NonIdempotent},
			{Name: "ordered", TargetTime: second, Deadline: 8 * second, Worth: 1, LateWorth: 0.3, InOrder: true},
		}}
	return s
}

// runRandomScenario runs a seeded random sequence of valid events against a policy. It returns the checker and a
// trace of all actions.
func runRandomScenario(t testing.TB, seed uint64, steps int) (*checker, []string) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := randomSettings(rng)
	policy, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := newChecker(settings)
	now := Time(rng.Int64N(int64(1000 * second)))
	var trace []string
	nextMessage, seq := uint32(1), 0
	entries := []Entry{}
	for i := range 10 {
		d := rng.IntN(4)
		entries = append(entries, Entry{Endpoint: Endpoint(100 + i), Zone: rng.IntN(2), Kind: d % 2, Dest: d,
			State: Ready,
			Rate:  1 + 9*rng.Float64()})
	}
	var events []Event
	firstList := Event{Kind: EvList, List: ListCached, Entries: entries}
	c.applyList(now, firstList)
	events = append(events, firstList)
	failing := map[int]Outcome{} // how attempts end now, by destination; Delivered if absent
	for step := range steps {
		for _, a := range policy.Step(now, events, nil) {
			trace = append(trace, fmt.Sprintf("%d %+v", now, a))
			c.checkAction(now, a)
		}
		c.checkStep(now)
		events = nil
		now = c.nextEventTime(now, now+5000*(1+Time(rng.IntN(20))))
		if rng.IntN(100) == 0 { // a restart: the new process knows only the cached list
			if policy, err = New(settings, seed+uint64(step)); err != nil {
				t.Fatal(err)
			}
			violations, sends, handedBack, givenUp := c.violations, c.sends, c.handedBack, c.givenUp
			c = newChecker(settings)
			c.violations, c.sends, c.handedBack, c.givenUp = violations, sends, handedBack, givenUp
			e := Event{Kind: EvList, List: ListCached, Entries: entries}
			c.applyList(now, e)
			events = append(events, e)
		}
		if rng.IntN(30) == 0 {
			i := rng.IntN(len(entries))
			entries = append([]Entry(nil), entries...)
			entries[i].State = EndpointState(rng.IntN(3))
			e := Event{Kind: EvList, List: ListDelta, Entries: entries[i : i+1]}
			switch rng.IntN(4) {
			case 0:
				e = Event{Kind: EvList, List: ListFull}
				for _, x := range entries {
					if x.State != Removed {
						e.Entries = append(e.Entries, x)
					}
				}
			case 1:
				e = Event{Kind: EvList, List: ListFailed}
			}
			if e.List == ListFailed {
				entries[i].State = c.listedState(entries[i].Endpoint)
			}
			c.applyList(now, e)
			events = append(events, e)
		}
		if rng.IntN(40) == 0 {
			failing[rng.IntN(4)] = []Outcome{Errored, TimedOut, ConnectFailed, Rejected, Delivered}[rng.IntN(5)]
		}
		for range rng.IntN(4) {
			e := Event{Kind: EvMessage, Message: nextMessage, Class: rng.IntN(len(settings.Classes)),
				Dest: rng.IntN(5), Tenant: rng.IntN(3)}
			if settings.Classes[e.Class].InOrder {
				e.Key = uint64(rng.IntN(3))
			}
			e.TimeLeft = Time(float64(settings.Classes[e.Class].Deadline) * (0.05 + 0.95*rng.Float64()))
			seq++
			nextMessage++
			c.addMessage(now, e, seq)
			events = append(events, e)
		}
		var inFlight []pendingEvent
		for _, f := range c.inFlight {
			if rng.IntN(4) != 0 && f.timeoutAt > now {
				inFlight = append(inFlight, f)
				continue
			}
			e := Event{Kind: EvOutcome, Message: f.message, Attempt: f.attempt, Endpoint: f.endpoint,
				Elapsed: second / 5}
			switch {
			case f.timeoutAt <= now:
				e.Outcome = TimedOut
			case rng.IntN(5) == 0:
				e.Outcome = Outcome(rng.IntN(int(outcomeCount)))
			default:
				e.Outcome = failing[c.messages[f.message].dest]
			}
			if e.Outcome == Rejected && rng.IntN(2) == 0 {
				e.RetryAfter = Time(rng.Int64N(int64(3 * second)))
			}
			e.Settled = c.messages[f.message].ended || e.Outcome == Delivered
			if rng.IntN(2) == 0 {
				e.Load = Load{Remaining: rng.Float64(), Limit: 10 * rng.Float64()}
			}
			c.applyOutcome(now, e)
			events = append(events, e)
			if rng.IntN(20) == 0 { // a duplicate outcome, and one of an unknown message
				events = append(events, e, Event{Kind: EvOutcome, Message: nextMessage + 9, Endpoint: 5})
			}
		}
		c.inFlight = inFlight
		for _, ep := range c.probes {
			events = append(events,
				Event{Kind: EvProbeResult, Endpoint: ep, Outcome: Outcome(rng.IntN(int(outcomeCount)))})
		}
		c.probes = nil
		if rng.IntN(50) == 0 && nextMessage > 1 {
			id := nextMessage - 1
			if m := c.messages[id]; m != nil && !m.ended {
				m.ended = true
				events = append(events, Event{Kind: EvWithdraw, Message: id})
			}
		}
		var timers []pendingEvent
		for _, timer := range c.timers {
			if timer.dueAt <= now {
				events = append(events, Event{Kind: EvTimer})
			} else {
				timers = append(timers, timer)
			}
		}
		c.timers = timers
	}
	return c, trace
}

// nextEventTime returns the time of the next step: the given one, or that of a timer or a timeout due before it.
func (c *checker) nextEventTime(now, next Time) Time {
	for _, timer := range c.timers {
		next = min(next, max(timer.dueAt, now+1))
	}
	for _, attempt := range c.inFlight {
		next = min(next, max(attempt.timeoutAt, now+1))
	}
	return next
}

// listedState returns the state of an endpoint in the last list applied; a removed one counts as draining.
func (c *checker) listedState(e Endpoint) EndpointState {
	if _, unusable := c.unusableSince[e]; unusable {
		return Draining
	}
	return Ready
}

// TestRules checks every rule as a property over seeded random scenarios.
func TestRules(t *testing.T) {
	var sends, handedBack, givenUp int
	for seed := range uint64(90) {
		c, _ := runRandomScenario(t, seed, 400)
		for i, e := range c.violations {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, e)
			}
		}
		sends, handedBack, givenUp = sends+c.sends, handedBack+c.handedBack, givenUp+c.givenUp
	}
	if sends < 5000 || handedBack < 100 || givenUp < 100 {
		t.Fatalf("got %d sends, %d handed back, %d given up, want at least 5000, 100 and 100 to test the rules",
			sends, handedBack, givenUp)
	}
}

// TestSameEventsSameActions checks that the seed and the events determine every action.
func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		_, a := runRandomScenario(t, seed, 300)
		_, b := runRandomScenario(t, seed, 300)
		if len(a) == 0 || len(a) != len(b) {
			t.Fatalf("seed %d: got %d actions, then %d, want equal and above 0", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: got action %s, then %s", seed, a[i], b[i])
			}
		}
	}
}
