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
	Settings  decide.Settings
	Seed      uint64
	Relays    int // that are played
	Rate      float64
	Span      time.Duration
	Weights   *world.Weights
	Partners  *partner.Model
	Outages   *world.Outages         // the partners', to tell messages apart by
	Capacity  func(dest int) float64 // as listed
	RoundTrip time.Duration          // mean of a call
}

// PathCount is what came of it.
type PathCount struct {
	Messages, Delivered, HandedBack, GivenUp int
	ToDown, DeliveredDown                    int // for destinations that were down as they came
	UntriedUp                                int // for sound destinations, ended with no call
	Calls, Wasted, CallsDown                 int // calls in all, not delivered, and to what was down
	Busy                                     int // turned away by a sound destination
	Seen                                     int // pairs of a relay and a destination that met
	Took                                     []time.Duration
}

// path is the hollow data path: relays with the real policy, and no sockets.
type path struct {
	o      PathOptions
	rng    *rand.Rand
	queue  world.Queue[pathEvent]
	relays []*pathRelay
	count  PathCount
}

type pathRelay struct {
	policy *decide.Policy
	listed map[int]bool
	msgs   map[uint32]*pathMessage
	last   uint32
	timers map[decide.Time]bool // that are set
	acts   []decide.Action
}

type pathMessage struct {
	dest, attempts int
	came           decide.Time
	down           bool
	out            int // the attempt that is out; -1 for none
	over           bool
}

// pathEvent is what is to happen at one relay: its next message (message 0), a timer, or the end of an attempt.
type pathEvent struct {
	relay   int
	timer   bool
	message uint32
	outcome decide.Event
}

const (
	pathStart = 3600 * second
	timerGrid = second / 1000
)

// RunPath plays the data path for a span of the model's time.
func RunPath(ctx context.Context, o PathOptions) (*PathCount, error) {
	p := &path{o: o, rng: rand.New(rand.NewPCG(o.Seed, 0x70617468))}
	for i := range o.Relays {
		policy, err := decide.New(o.Settings, o.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		p.relays = append(p.relays, &pathRelay{policy: policy, listed: map[int]bool{}, timers: map[decide.Time]bool{}, msgs: map[uint32]*pathMessage{}})
		p.queue.Add(int64(pathStart+p.gap()), pathEvent{relay: i})
	}
	end := pathStart + decide.Time(o.Span.Microseconds())
	last := end + 2*o.Settings.Classes[0].Deadline
	for n := 0; ; n++ {
		at, e, ok := p.queue.Next()
		if !ok || decide.Time(at) > last { // a policy's timers go on for as long as an outage does
			return &p.count, nil
		}
		if n&4095 == 0 && ctx.Err() != nil {
			return &p.count, fmt.Errorf("model time %v: %w", time.Duration(at-int64(pathStart))*time.Microsecond, context.Cause(ctx))
		}
		r := p.relays[e.relay]
		switch now := decide.Time(at); {
		case e.timer:
			delete(r.timers, now)
			p.step(e.relay, now, decide.Event{Kind: decide.EvTimer})
		case e.message != 0:
			if m := r.msgs[e.message]; m != nil && m.out == e.outcome.Attempt {
				p.ended(e.relay, now, m, e.outcome)
			}
		case now < end:
			p.arrive(e.relay, now)
			p.queue.Add(int64(now+p.gap()), pathEvent{relay: e.relay})
		}
	}
}

func (p *path) gap() decide.Time { return decide.Time(p.rng.ExpFloat64()/p.o.Rate*1e6) + 1 }

func model(now decide.Time) time.Duration { return time.Duration(now-pathStart) * time.Microsecond }

// arrive hands a relay a message. What it has of the list is what it has had a message for: a destination that it
// knows from the list alone is no different to the policy from one that it is told of now.
func (p *path) arrive(relay int, now decide.Time) {
	r := p.relays[relay]
	dest := p.o.Weights.Draw(p.rng)
	var events []decide.Event
	if !r.listed[dest] {
		r.listed[dest] = true
		p.count.Seen++
		e := decide.Event{Kind: decide.EvList, List: decide.ListDelta}
		for k := range 2 {
			e.Entries = append(e.Entries, decide.Entry{Endpoint: decide.Endpoint(2*dest + k + 1), Dest: dest, State: decide.Ready,
				Rate: p.o.Capacity(dest)})
		}
		events = append(events, e)
	}
	r.last++
	m := &pathMessage{dest: dest, came: now, out: -1}
	m.down, _ = p.o.Outages.IsDown(dest, model(now))
	r.msgs[r.last] = m
	if p.count.Messages++; m.down {
		p.count.ToDown++
	}
	p.step(relay, now, append(events, decide.Event{Kind: decide.EvMessage, Message: r.last, Dest: dest, Tenant: -1,
		TimeLeft: p.o.Settings.Classes[0].Deadline})...)
}

// ended tells a relay how an attempt ended.
func (p *path) ended(relay int, now decide.Time, m *pathMessage, e decide.Event) {
	m.out = -1
	if e.Outcome == decide.Delivered {
		if !m.over {
			p.count.Delivered++
			if m.down {
				p.count.DeliveredDown++
			}
			p.count.Took = append(p.count.Took, time.Duration(now-m.came)*time.Microsecond)
		}
		m.over = true
	} else {
		p.count.Wasted++
	}
	p.step(relay, now, e)
	if m.over && m.out < 0 {
		delete(p.relays[relay].msgs, e.Message)
	}
}

func (p *path) step(relay int, now decide.Time, events ...decide.Event) {
	r := p.relays[relay]
	r.acts = r.policy.Step(now, events, r.acts[:0])
	acts := r.acts
	for i := range acts {
		a := &acts[i]
		m := r.msgs[a.Message]
		switch a.Kind {
		case decide.ActSend:
			p.send(relay, now, a, m)
		case decide.ActRefuse, decide.ActFail:
			if m == nil || m.over {
				continue
			}
			m.over = true
			if a.Kind == decide.ActRefuse {
				p.count.HandedBack++
			} else {
				p.count.GivenUp++
			}
			if !m.down && m.attempts == 0 {
				p.count.UntriedUp++
			}
			if m.out < 0 {
				delete(r.msgs, a.Message)
			}
		case decide.ActCancel:
			if m != nil && m.out == a.Attempt {
				p.queue.Add(int64(now+1), pathEvent{relay: relay, message: a.Message, outcome: decide.Event{Kind: decide.EvOutcome,
					Message: a.Message, Attempt: a.Attempt, Outcome: decide.Cancelled, Duration: 1}})
			}
		case decide.ActTimer:
			// Those of one millisecond come together: a step that a timer brings asks for another one a tick later as
			// long as something is due within it, so that stray ones never die out.
			if at := (now + max(a.After, 1) + timerGrid - 1) / timerGrid * timerGrid; !r.timers[at] {
				r.timers[at] = true
				p.queue.Add(int64(at), pathEvent{relay: relay, timer: true})
			}
		}
	}
}

// send makes a call: the partner's answer comes after the way there and back.
func (p *path) send(relay int, now decide.Time, a *decide.Action, m *pathMessage) {
	if m == nil {
		return
	}
	m.out = m.attempts // a send names no attempt: it is the message's next
	m.attempts++
	p.count.Calls++
	if down, _ := p.o.Outages.IsDown(m.dest, model(now)); down {
		p.count.CallsDown++
	}
	took := decide.Time(float64(p.o.RoundTrip.Microseconds())*(0.5+p.rng.ExpFloat64()/2)) + 1
	e := decide.Event{Kind: decide.EvOutcome, Message: a.Message, Attempt: m.out, Endpoint: a.Endpoint}
	reply, wait := p.o.Partners.Call(m.dest, model(now))
	switch reply {
	case partner.Served:
		e.Outcome, e.Final = decide.Delivered, true
	case partner.Throttled:
		p.count.Busy++
		e.Outcome = decide.Rejected
	case partner.RetryLater:
		e.Outcome, e.RetryAfter = decide.Rejected, decide.Time(wait.Microseconds())
	case partner.Failed:
		e.Outcome = decide.Errored
	case partner.NoReply:
		e.Outcome = decide.TimedOut
	}
	if limit := max(a.TimeoutAt-now, 1); reply == partner.NoReply || took > limit {
		took, e.Outcome, e.Final = limit, decide.TimedOut, false
	}
	e.Duration = took
	p.queue.Add(int64(now+took), pathEvent{relay: relay, message: a.Message, outcome: e})
}
