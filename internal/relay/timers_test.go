package relay

import (
	"testing"

	"troutusher/decide"
)

// Guards the later of two timers that the policy sets in a step that runs just after the earlier one is
// due. The policy does not set it again: if it was lost, and no other event came, a message whose end
// depended on it never ended.
func TestTimersKeepTheLater(t *testing.T) {
	r := &Relay{}
	r.performAction(100, &decide.Action{Kind: decide.ActTimer, After: 50})
	// A step at 160 sets a timer for 300 before the loop has handled the one at 150.
	r.performAction(160, &decide.Action{Kind: decide.ActTimer, After: 140})
	if !r.timers.popDue(161) {
		t.Fatal("got no timer due at 161, want the one at 150")
	}
	if r.timers.next() != 300 || r.timers.popDue(299) {
		t.Fatalf("got next timer %d, want 300", r.timers.next())
	}
	r.timers.add(300) // set twice, it fires once
	if !r.timers.popDue(300) || r.timers.popDue(400) || r.timers.next() != 0 {
		t.Errorf("got timers %v after 300, want one that fired and none left", r.timers)
	}
}
