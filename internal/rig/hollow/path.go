package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"troutusher/decide"
	"troutusher/internal/rig/partner"
	"troutusher/internal/rig/world"
)

// PathOptions configures a simulation of the data path: what hollow relays send, and how destinations respond. It
// runs on simulated time.
type PathOptions struct {
	Settings          decide.Settings
	Seed              uint64
	Relays            int            // simulated relays
	MessagesPerSecond float64        // arrivals at each relay
	Duration          time.Duration  // simulated time in which messages arrive
	Weights           *world.Weights // shares of the destinations in the messages
	Partners          *partner.Model
	Outages           *world.Outages         // outages of Partners, by which messages and calls are counted as up or down
	ListedCapacity    func(dest int) float64 // capacity in the list, in calls per second
	MeanRoundTrip     time.Duration
}

// PathCounts are the counts of one simulation. Down and up refer to the destination at the arrival of the message, or
// at the start of the call.
type PathCounts struct {
	Messages, Delivered, HandedBack, GivenUp int
	MessagesToDown, DeliveredDown            int // messages whose destination was down, and those of them delivered
	UntriedUp                                int // messages whose destination was up and that ended without a call
	Calls, FailedCalls, CallsToDown          int // all; those that did not deliver; those to a down destination
	BusyReplies                              int // calls rejected by a destination that was up
	RelayDestPairs                           int // pairs of a relay and a destination with at least one message
	DeliveryTimes                            []time.Duration
}

// dataPath simulates the data path of relays that have the policy of a relay process and no sockets.
type dataPath struct {
	opts   PathOptions
	rng    *rand.Rand
	queue  world.Queue[pathEvent]
	relays []*pathRelay
	counts PathCounts
}

// pathRelay is one simulated relay.
type pathRelay struct {
	policy        *decide.Policy
	listed        map[int]bool // destinations whose endpoints the policy knows
	messages      map[uint32]*pathMessage
	lastMessage   uint32
	pendingTimers map[decide.Time]bool // by the time at which the timer fires
	actions       []decide.Action
}

// pathMessage is a message that has not ended, or has an attempt in flight.
type pathMessage struct {
	dest, attempts  int
	arrivedAt       decide.Time
	destDown        bool // the destination was down when the message arrived
	inFlightAttempt int  // number of the attempt in flight; -1 for none
	ended           bool
}

// pathEvent is a future event at one relay: a timer, the outcome of an attempt (message is not 0), or else the
// arrival of the next message.
type pathEvent struct {
	relay   int
	timer   bool
	message uint32
	outcome decide.Event
}

const (
	modelStart      = 3600 * second // the policy's time at the start of the simulation
	timerResolution = second / 1000
)

// RunPath simulates the data path. After opts.Duration no more messages arrive, and the simulation goes on for twice
// the deadline at most.
func RunPath(ctx context.Context, opts PathOptions) (*PathCounts, error) {
	path := &dataPath{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0x70617468))}
	for i := range opts.Relays {
		policy, err := decide.New(opts.Settings, opts.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		path.relays = append(path.relays, &pathRelay{policy: policy, listed: map[int]bool{},
			pendingTimers: map[decide.Time]bool{}, messages: map[uint32]*pathMessage{}})
		path.queue.Add(int64(modelStart+path.nextInterval()), pathEvent{relay: i})
	}
	end := modelStart + decide.Time(opts.Duration.Microseconds())
	lastEventAt := end + 2*opts.Settings.Classes[0].Deadline
	for step := 0; ; step++ {
		at, event, ok := path.queue.Next()
		if !ok || decide.Time(at) > lastEventAt { // the policy keeps setting timers for as long as an outage lasts
			return &path.counts, nil
		}
		if step&4095 == 0 && ctx.Err() != nil {
			return &path.counts, fmt.Errorf("simulated time %v: %w",
				time.Duration(at-int64(modelStart))*time.Microsecond, context.Cause(ctx))
		}
		r := path.relays[event.relay]
		switch now := decide.Time(at); {
		case event.timer:
			delete(r.pendingTimers, now)
			path.step(event.relay, now, decide.Event{Kind: decide.EvTimer})
		case event.message != 0:
			if msg := r.messages[event.message]; msg != nil && msg.inFlightAttempt == event.outcome.Attempt {
				path.attemptEnded(event.relay, now, msg, event.outcome)
			}
		case now < end:
			path.arrive(event.relay, now)
			path.queue.Add(int64(now+path.nextInterval()), pathEvent{relay: event.relay})
		}
	}
}

// nextInterval draws the time until the next message at a relay (Poisson arrivals).
func (p *dataPath) nextInterval() decide.Time {
	return decide.Time(p.rng.ExpFloat64()/p.opts.MessagesPerSecond*1e6) + 1
}

// modelTime converts a policy's time to the time since the start of the simulation.
func modelTime(now decide.Time) time.Duration {
	return time.Duration(now-modelStart) * time.Microsecond
}

// arrive hands in the next message to a relay. The relay's list has only the destinations of its messages, each added
// with its first message. How long a destination was listed before that makes no difference to the policy.
func (p *dataPath) arrive(relay int, now decide.Time) {
	r := p.relays[relay]
	dest := p.opts.Weights.Draw(p.rng)
	var events []decide.Event
	if !r.listed[dest] {
		r.listed[dest] = true
		p.counts.RelayDestPairs++
		listEvent := decide.Event{Kind: decide.EvList, List: decide.ListDelta}
		for k := range 2 {
			listEvent.Entries = append(listEvent.Entries, decide.Entry{Endpoint: decide.Endpoint(2*dest + k + 1), Dest: dest,
				State: decide.Ready, Rate: p.opts.ListedCapacity(dest)})
		}
		events = append(events, listEvent)
	}
	r.lastMessage++
	msg := &pathMessage{dest: dest, arrivedAt: now, inFlightAttempt: -1}
	msg.destDown, _ = p.opts.Outages.IsDown(dest, modelTime(now))
	r.messages[r.lastMessage] = msg
	if p.counts.Messages++; msg.destDown {
		p.counts.MessagesToDown++
	}
	p.step(relay, now, append(events, decide.Event{Kind: decide.EvMessage, Message: r.lastMessage, Dest: dest, Tenant: -1,
		TimeLeft: p.opts.Settings.Classes[0].Deadline})...)
}

// attemptEnded counts the outcome of an attempt and passes it to the relay's policy.
func (p *dataPath) attemptEnded(relay int, now decide.Time, msg *pathMessage, outcome decide.Event) {
	msg.inFlightAttempt = -1
	if outcome.Outcome == decide.Delivered {
		if !msg.ended {
			p.counts.Delivered++
			if msg.destDown {
				p.counts.DeliveredDown++
			}
			p.counts.DeliveryTimes = append(p.counts.DeliveryTimes, time.Duration(now-msg.arrivedAt)*time.Microsecond)
		}
		msg.ended = true
	} else {
		p.counts.FailedCalls++
	}
	p.step(relay, now, outcome)
	if msg.ended && msg.inFlightAttempt < 0 {
		delete(p.relays[relay].messages, outcome.Message)
	}
}

// step passes events to a relay's policy and performs the actions that it returns.
func (p *dataPath) step(relay int, now decide.Time, events ...decide.Event) {
	r := p.relays[relay]
	r.actions = r.policy.Step(now, events, r.actions[:0])
	actions := r.actions
	for i := range actions {
		action := &actions[i]
		msg := r.messages[action.Message]
		switch action.Kind {
		case decide.ActSend:
			p.send(relay, now, action, msg)
		case decide.ActRefuse, decide.ActFail:
			if msg == nil || msg.ended {
				continue
			}
			msg.ended = true
			if action.Kind == decide.ActRefuse {
				p.counts.HandedBack++
			} else {
				p.counts.GivenUp++
			}
			if !msg.destDown && msg.attempts == 0 {
				p.counts.UntriedUp++
			}
			if msg.inFlightAttempt < 0 {
				delete(r.messages, action.Message)
			}
		case decide.ActCancel:
			if msg != nil && msg.inFlightAttempt == action.Attempt {
				p.queue.Add(int64(now+1), pathEvent{relay: relay, message: action.Message,
					outcome: decide.Event{Kind: decide.EvOutcome, Message: action.Message, Attempt: action.Attempt,
						Outcome: decide.Cancelled, Elapsed: 1}})
			}
		case decide.ActTimer:
			// Timers are rounded up to a millisecond and those of the same millisecond are merged. As long as
			// something is due within a tick, the step of each timer requests another timer a tick later. Without
			// merging, extra timers would never become fewer.
			if at := (now + max(action.After, 1) + timerResolution - 1) /
				timerResolution * timerResolution; !r.pendingTimers[at] {
				r.pendingTimers[at] = true
				p.queue.Add(int64(at), pathEvent{relay: relay, timer: true})
			}
		}
	}
}

// send makes a call. Its outcome follows after a random round trip, or when the call times out.
func (p *dataPath) send(relay int, now decide.Time, action *decide.Action, msg *pathMessage) {
	if msg == nil {
		return
	}
	msg.inFlightAttempt = msg.attempts // ActSend has no attempt number: it is the message's next attempt
	msg.attempts++
	p.counts.Calls++
	if down, _ := p.opts.Outages.IsDown(msg.dest, modelTime(now)); down {
		p.counts.CallsToDown++
	}
	elapsed := decide.Time(float64(p.opts.MeanRoundTrip.Microseconds())*(0.5+p.rng.ExpFloat64()/2)) + 1
	outcome := decide.Event{Kind: decide.EvOutcome, Message: action.Message, Attempt: msg.inFlightAttempt,
		Endpoint: action.Endpoint}
	reply, retryAfter := p.opts.Partners.Call(msg.dest, modelTime(now))
	switch reply {
	case partner.Served:
		outcome.Outcome, outcome.Settled = decide.Delivered, true
	case partner.Throttled:
		p.counts.BusyReplies++
		outcome.Outcome = decide.Rejected
	case partner.RetryLater:
		outcome.Outcome, outcome.RetryAfter = decide.Rejected, decide.Time(retryAfter.Microseconds())
	case partner.Failed:
		outcome.Outcome = decide.Errored
	case partner.NoReply:
		outcome.Outcome = decide.TimedOut
	}
	if timeout := max(action.TimeoutAt-now, 1); reply == partner.NoReply || elapsed > timeout {
		elapsed, outcome.Outcome, outcome.Settled = timeout, decide.TimedOut, false
	}
	outcome.Elapsed = elapsed
	p.queue.Add(int64(now+elapsed), pathEvent{relay: relay, message: action.Message, outcome: outcome})
}
