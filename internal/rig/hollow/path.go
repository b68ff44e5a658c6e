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

// PathOptions say what hollow relays send to partners that are a model, on the model's own clock.
type PathOptions struct {
	Settings          decide.Settings
	Seed              uint64
	Relays            int // that are played
	MessagesPerSecond float64
	Duration          time.Duration
	Weights           *world.Weights
	Partners          *partner.Model
	Outages           *world.Outages         // the partners', to tell messages apart by
	ListedCapacity    func(dest int) float64 // as listed
	MeanRoundTrip     time.Duration          // mean of a call
}

// PathCount is what came of it.
type PathCounts struct {
	Messages, Delivered, HandedBack, GivenUp int
	MessagesToDown, DeliveredDown            int // for destinations that were down as they came
	UntriedUp                                int // for sound destinations, ended with no call
	Calls, FailedCalls, CallsToDown          int // calls in all, not delivered, and to what was down
	BusyReplies                              int // turned away by a sound destination
	RelayDestPairs                           int // pairs of a relay and a destination that met
	DeliveryTimes                            []time.Duration
}

// path is the hollow data path: relays with the real policy, and no sockets.
type dataPath struct {
	opts   PathOptions
	rng    *rand.Rand
	queue  world.Queue[pathEvent]
	relays []*pathRelay
	counts PathCounts
}

type pathRelay struct {
	policy        *decide.Policy
	listed        map[int]bool
	messages      map[uint32]*pathMessage
	lastMessage   uint32
	pendingTimers map[decide.Time]bool // that are set
	actions       []decide.Action
}

type pathMessage struct {
	dest, attempts  int
	arrivedAt       decide.Time
	destDown        bool
	inFlightAttempt int // the attempt that is out; -1 for none
	ended           bool
}

// pathEvent is what is to happen at one relay: its next message (message 0), a timer, or the end of an attempt.
type pathEvent struct {
	relay   int
	timer   bool
	message uint32
	outcome decide.Event
}

const (
	modelStart      = 3600 * second
	timerResolution = second / 1000
)

// RunPath plays the data path for a span of the model's time.
func RunPath(ctx context.Context, opts PathOptions) (*PathCounts, error) {
	path := &dataPath{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0x70617468))}
	for i := range opts.Relays {
		policy, err := decide.New(opts.Settings, opts.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		path.relays = append(path.relays, &pathRelay{policy: policy, listed: map[int]bool{}, pendingTimers: map[decide.Time]bool{}, messages: map[uint32]*pathMessage{}})
		path.queue.Add(int64(modelStart+path.nextInterval()), pathEvent{relay: i})
	}
	end := modelStart + decide.Time(opts.Duration.Microseconds())
	lastEventAt := end + 2*opts.Settings.Classes[0].Deadline
	for step := 0; ; step++ {
		at, event, ok := path.queue.Next()
		if !ok || decide.Time(at) > lastEventAt { // a policy's timers go on for as long as an outage does
			return &path.counts, nil
		}
		if step&4095 == 0 && ctx.Err() != nil {
			return &path.counts, fmt.Errorf("model time %v: %w", time.Duration(at-int64(modelStart))*time.Microsecond, context.Cause(ctx))
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

func (p *dataPath) nextInterval() decide.Time {
	return decide.Time(p.rng.ExpFloat64()/p.opts.MessagesPerSecond*1e6) + 1
}

func modelTime(now decide.Time) time.Duration {
	return time.Duration(now-modelStart) * time.Microsecond
}

// arrive hands a relay a message. What it has of the list is what it has had a message for: a destination that it
// knows from the list alone is no different to the policy from one that it is told of now.
func (p *dataPath) arrive(relay int, now decide.Time) {
	r := p.relays[relay]
	dest := p.opts.Weights.Draw(p.rng)
	var events []decide.Event
	if !r.listed[dest] {
		r.listed[dest] = true
		p.counts.RelayDestPairs++
		listEvent := decide.Event{Kind: decide.EvList, List: decide.ListChange}
		for k := range 2 {
			listEvent.Entries = append(listEvent.Entries, decide.Entry{Endpoint: decide.Endpoint(2*dest + k + 1), Dest: dest, State: decide.Ready,
				Rate: p.opts.ListedCapacity(dest)})
		}
		events = append(events, listEvent)
	}
	r.lastMessage++
	msg := &pathMessage{dest: dest, arrivedAt: now, inFlightAttempt: -1}
	msg.destDown, _ = p.opts.Outages.At(dest, modelTime(now))
	r.messages[r.lastMessage] = msg
	if p.counts.Messages++; msg.destDown {
		p.counts.MessagesToDown++
	}
	p.step(relay, now, append(events, decide.Event{Kind: decide.EvMessage, Message: r.lastMessage, Dest: dest, Tenant: -1,
		Left: p.opts.Settings.Classes[0].Deadline})...)
}

// ended tells a relay how an attempt ended.
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
				p.queue.Add(int64(now+1), pathEvent{relay: relay, message: action.Message, outcome: decide.Event{Kind: decide.EvOutcome,
					Message: action.Message, Attempt: action.Attempt, Outcome: decide.Cancelled, Took: 1}})
			}
		case decide.ActTimer:
			// Those of one millisecond come together: a step that a timer brings asks for another one a tick later as
			// long as something is due within it, so that stray ones never die out.
			if at := (now + max(action.After, 1) + timerResolution - 1) / timerResolution * timerResolution; !r.pendingTimers[at] {
				r.pendingTimers[at] = true
				p.queue.Add(int64(at), pathEvent{relay: relay, timer: true})
			}
		}
	}
}

// send makes a call: the partner's answer comes after the way there and back.
func (p *dataPath) send(relay int, now decide.Time, action *decide.Action, msg *pathMessage) {
	if msg == nil {
		return
	}
	msg.inFlightAttempt = msg.attempts // a send names no attempt: it is the message's next
	msg.attempts++
	p.counts.Calls++
	if down, _ := p.opts.Outages.At(msg.dest, modelTime(now)); down {
		p.counts.CallsToDown++
	}
	took := decide.Time(float64(p.opts.MeanRoundTrip.Microseconds())*(0.5+p.rng.ExpFloat64()/2)) + 1
	outcome := decide.Event{Kind: decide.EvOutcome, Message: action.Message, Attempt: msg.inFlightAttempt, Endpoint: action.Endpoint}
	reply, wait := p.opts.Partners.Call(msg.dest, modelTime(now))
	switch reply {
	case partner.Served:
		outcome.Outcome, outcome.Settled = decide.Delivered, true
	case partner.Busy:
		p.counts.BusyReplies++
		outcome.Outcome = decide.Full
	case partner.Told:
		outcome.Outcome, outcome.Wait = decide.Full, decide.Time(wait.Microseconds())
	case partner.Broken:
		outcome.Outcome = decide.Errored
	case partner.Mute:
		outcome.Outcome = decide.TimedOut
	}
	if timeout := max(action.At-now, 1); reply == partner.Mute || took > timeout {
		took, outcome.Outcome, outcome.Settled = timeout, decide.TimedOut, false
	}
	outcome.Took = took
	p.queue.Add(int64(now+took), pathEvent{relay: relay, message: action.Message, outcome: outcome})
}
