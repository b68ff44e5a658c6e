package main

import (
	"fmt"
	"io"
	"math"

	"troutusher/decide"
	"troutusher/internal/settings"
	"troutusher/internal/wire"
)

// relay is one simulated relay.
type relay struct {
	policy *decide.Policy
	// remainingField and limitField are the indexes of the load values in a report; -1 if a report has none.
	remainingField, limitField int
	events                     []decide.Event // of the current batch
	pending                    bool           // events are waiting for a step of the policy
}

// host holds the relays of one simulation, which are independent of each other, and the lists that they share.
type host struct {
	relays  map[uint16]*relay
	lists   [16][]decide.Entry // by list number
	pending []uint16           // relays with events in the current batch, in the order of their first event

	// Buffers that are reused from batch to batch.
	actions      []decide.Action
	replyActions []wire.Action
	replyFrame   []byte
}

func newHost() *host { return &host{relays: map[uint16]*relay{}} }

// handleBatch reads one frame and returns the reply frame. The reply is valid until the next call.
func (h *host) handleBatch(input io.Reader) ([]byte, error) {
	clock, events, err := wire.ReadBatch(input)
	if err != nil {
		return nil, err
	}
	if clock > math.MaxInt64 {
		return nil, fmt.Errorf("batch header: clock %d is out of range", clock)
	}
	now := decide.Time(clock)
	h.replyActions, h.pending = h.replyActions[:0], h.pending[:0]
	for i := range events {
		if err := h.handleEvent(now, &events[i]); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
	}
	for _, id := range h.pending {
		if r := h.relays[id]; r != nil && r.pending {
			h.stepRelay(now, id, r)
		}
	}
	h.replyFrame, err = wire.AppendReply(h.replyFrame[:0], h.replyActions)
	return h.replyFrame, err
}

// stepRelay passes the pending events of a relay to its policy and encodes the actions that the policy returns.
func (h *host) stepRelay(now decide.Time, id uint16, r *relay) {
	h.actions = r.policy.Step(now, r.events, h.actions[:0])
	r.events, r.pending = r.events[:0], false
	for i := range h.actions {
		if w, ok := wireAction(id, &h.actions[i]); ok {
			h.replyActions = append(h.replyActions, w)
		}
	}
}

// handleEvent adds an event to the pending events of its relay, or updates the host's relays and lists.
func (h *host) handleEvent(now decide.Time, record *wire.Event) error {
	switch record.Code {
	case wire.EvListEntries:
		list := make([]decide.Entry, len(record.Entries))
		for i, entry := range record.Entries {
			list[i] = decide.Entry{Endpoint: decide.Endpoint(entry.Endpoint), Zone: int(entry.Zone),
				Kind: int(entry.Kind), Dest: int(entry.Dest), State: decide.EndpointState(entry.State),
				Rate: float64(entry.Rate)}
		}
		h.lists[record.ListNumber] = list
		return nil
	case wire.EvStart:
		r, err := newRelay(record)
		if err != nil {
			h.replyActions = append(h.replyActions,
				wire.Action{Code: wire.ActError, Relay: record.Relay, Text: err.Error()})
			delete(h.relays, record.Relay)
			return nil
		}
		h.relays[record.Relay] = r
		return nil
	case wire.EvStop:
		delete(h.relays, record.Relay)
		return nil
	}
	r := h.relays[record.Relay]
	if r == nil {
		return nil // the relay has stopped
	}
	event, ok := h.policyEvent(r, record)
	if !ok {
		return nil
	}
	r.events = append(r.events, event)
	if !r.pending {
		r.pending = true
		h.pending = append(h.pending, record.Relay)
	}
	return nil
}

// outcomes maps a status code to the outcome of an attempt or a probe.
var outcomes = map[uint8]decide.Outcome{wire.StatusOK: decide.Delivered, wire.StatusError: decide.Errored,
	wire.StatusRejected: decide.Rejected, wire.StatusTimeout: decide.TimedOut,
	wire.StatusConnectFailed: decide.ConnectFailed, wire.StatusReset: decide.Reset,
	wire.StatusCancelled: decide.Cancelled, wire.StatusNotSent: decide.NotSent}

// listUpdates maps the kind of a list update to that of package decide.
var listUpdates = map[uint8]decide.ListUpdate{wire.ListDelta: decide.ListDelta, wire.ListFull: decide.ListFull,
	wire.ListCached: decide.ListCached, wire.ListFailed: decide.ListFailed}

// policyEvent converts a record to an event for the policy of a relay. It returns false if the policy has no
// event for it.
func (h *host) policyEvent(r *relay, record *wire.Event) (decide.Event, bool) {
	event := decide.Event{Message: record.MessageID, Endpoint: decide.Endpoint(record.Endpoint),
		Attempt: int(record.Attempt), Elapsed: decide.Time(record.Elapsed), Outcome: outcomes[record.Status]}
	if record.ReportLen > 0 {
		event.Load = decide.Load{Remaining: reportValue(record, r.remainingField),
			Limit: reportValue(record, r.limitField)}
	}
	switch record.Code {
	case wire.EvListUpdate:
		event.Kind, event.List = decide.EvList, listUpdates[record.ListUpdateKind]
		if event.List != decide.ListFailed {
			event.Entries = h.lists[record.ListNumber]
		}
	case wire.EvMessage:
		event.Kind, event.Key, event.TimeLeft, event.Class =
			decide.EvMessage, record.Key, decide.Time(record.TimeLeft), int(record.Class)
		event.Dest, event.Tenant = int(record.Dest), int(record.Tenant)
		if record.Flags&1 != 0 {
			event.EstimatedCost = decide.Time(record.EstimatedCost)
		}
	case wire.EvResponseStarted:
		event.Kind = decide.EvResponseStarted
	case wire.EvOutcome:
		event.Kind, event.Settled = decide.EvOutcome, record.Settled
		switch event.Outcome {
		case decide.Rejected:
			event.RetryAfter = decide.Time(record.StatusDetail) * 1000
		case decide.NotSent:
			event.SlotsTaken = record.StatusDetail == 1
		}
	case wire.EvWithdraw:
		event.Kind = decide.EvWithdraw
	case wire.EvTimer:
		event.Kind, event.Token = decide.EvTimer, record.Token
	case wire.EvProbeResult:
		event.Kind = decide.EvProbeResult
	default:
		return event, false
	}
	return event, true
}

// reportValue returns a value of a load report, or 0 if the report lacks it.
func reportValue(record *wire.Event, field int) float64 {
	if field < 0 || field >= record.ReportLen {
		return 0
	}
	return float64(record.Report[field])
}

// wireAction converts an action to a record. It returns false if the protocol has no record for it.
func wireAction(id uint16, action *decide.Action) (wire.Action, bool) {
	record := wire.Action{Relay: id, MessageID: action.Message, Endpoint: uint64(action.Endpoint),
		Attempt: uint8(action.Attempt), TimeoutAt: uint64(action.TimeoutAt), Token: action.Token, Text: action.Text}
	record.Delay = uint32(min(max(action.After, 0), math.MaxUint32))
	switch action.Kind {
	case decide.ActSend:
		record.Code = wire.ActSend
	case decide.ActRefuse:
		record.Code = wire.ActRefuse
	case decide.ActFail:
		record.Code = wire.ActFail
	case decide.ActCancel:
		record.Code = wire.ActCancel
	case decide.ActTimer:
		record.Code = wire.ActTimer
	case decide.ActProbe:
		record.Code = wire.ActProbe
	case decide.ActCloseIdle:
		record.Code = wire.ActClose
	case decide.ActWatchList:
		record.Code, record.Subscribe = wire.ActWatch, true
	case decide.ActFetchList:
		record.Code = wire.ActFetch
	case decide.ActLog:
		record.Code = wire.ActLog
	default:
		return record, false
	}
	return record, true
}

// newRelay creates a relay from the settings text and the seed of an EvStart record.
func newRelay(record *wire.Event) (*relay, error) {
	parsed, err := wire.ParseSettings(record.Text)
	if err != nil {
		return nil, err
	}
	policySettings, err := settings.Policy(parsed)
	if err != nil {
		return nil, err
	}
	policy, err := decide.New(policySettings, record.Token)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := &relay{policy: policy, remainingField: -1, limitField: -1}
	for i, field := range parsed.Report.Fields {
		switch field {
		case "x0":
			r.remainingField = i
		case "x1":
			r.limitField = i
		}
	}
	return r, nil
}
