package decide_test

import (
	"fmt"

	"troutusher/decide"
)

// The relay passes a new message to the policy, sends it as the policy requests, and reports the outcome.
func Example() {
	const second = decide.Time(1e6)
	p, err := decide.New(decide.Settings{
		Relays: 2, Slots: 8, MaxAttempts: 6, Tick: 5000, RatesListed: true,
		StartCapacity: 0.2, RampTime: 10 * second, OverloadFactor: 2, OverloadTime: 3 * second,
		Kinds: []decide.DestKind{{MaxBatch: 1}},
		Classes: []decide.Class{{Name: "order", TargetTime: 2 * second, Deadline: 20 * second, Worth: 1,
			LateWorth: 0.3, Idempotency: decide.Deduplicated, DedupWindow: 15 * second}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 100 * second // the policy reads no clock of its own
	actions := p.Step(now, []decide.Event{
		{Kind: decide.EvList, List: decide.ListFull,
			Entries: []decide.Entry{{Endpoint: 7, Dest: 1, State: decide.Ready, Rate: 20}}},
		{Kind: decide.EvMessage, Message: 1, Class: 0, Dest: 1, TimeLeft: 20 * second},
	}, nil)
	for _, a := range actions {
		if a.Kind == decide.ActSend {
			fmt.Println("send message", a.Message, "to endpoint", a.Endpoint)
		}
	}
	now += second / 5
	actions = p.Step(now, []decide.Event{{Kind: decide.EvOutcome, Message: 1, Attempt: 0, Endpoint: 7,
		Outcome: decide.Delivered, Settled: true, Elapsed: second / 5}}, actions[:0])
	fmt.Println("remaining actions:", len(actions))
	// Output:
	// send message 1 to endpoint 7
	// remaining actions: 0
}
