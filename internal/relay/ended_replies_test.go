package relay

import (
	"fmt"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/resp"
)

// TestEndedRepliesAreBounded guards against memory that grows with the messages that have ended: ids of messages that may
// run again are dropped, the oldest first. Ids of others are kept, and no more such messages are accepted until the oldest
// of them have been kept long enough.
func TestEndedRepliesAreBounded(t *testing.T) {
	relay := newTestRelay(t)
	relay.receiveList(t, &List{Complete: true, Members: []Member{
		{ID: "s-1", HostPort: "127.0.0.1:1", Locality: "a", Flavor: "k", Cell: 7, Phase: phaseUp}}})
	limit := int64(relay.cfg.Limits.MemoryMB) << 20 / endedRepliesDivisor
	class := func(name string) *decide.Class { return &relay.cfg.Policy.Classes[relay.cfg.classes[name]] }
	last := ""
	for _, name := range []string{"plain", "once"} {
		for n := range 3 * limit / replyEntryBytes {
			last = fmt.Sprintf("%s-%d", name, n)
			relay.rememberReply(&message{rec: &record{ID: last, Class: name, Rules: class(name)}}, resp.OK)
			if name == "once" && relay.endedReplies.full(relay.now(), relay.replyRetention()) {
				break
			}
		}
		if got := relay.endedReplies.reply(last); got != resp.OK {
			t.Errorf("%s: reply for the newest id: got %q, want %q", name, got, resp.OK)
		}
	}
	ended := &relay.endedReplies
	if got := ended.repeatable.bytes() + ended.unrepeatable.bytes(); got > 2*limit+1000 {
		t.Errorf("replies take %d bytes, want at most %d", got, 2*limit)
	}
	if ended.reply("plain-0") != "" || ended.reply("once-0") == "" {
		t.Errorf("replies for the oldest ids: got %q and %q, want none for the one that may run again, and one for the other",
			ended.reply("plain-0"), ended.reply("once-0"))
	}
	replyTo := func(id, class string) string {
		request := newPutRequest(&record{Kind: recordAccepted, ID: id, Class: class, Tenant: "acme", Dest: 7,
			Deadline: relay.clock.Now().Add(time.Second)})
		relay.admit(request)
		select {
		case reply := <-request.reply:
			return reply
		default:
			return "admitted"
		}
	}
	if got := replyTo("new-once", "once"); got != resp.Busy(0) {
		t.Errorf("message that must not run again: got %q, want %q", got, resp.Busy(0))
	}
	if got := replyTo("new-plain", "plain"); got != "admitted" {
		t.Errorf("message that may run again: got %q, want it admitted", got)
	}
	for range 2 {
		relay.clock.(interface{ Advance(time.Duration) }).Advance(time.Duration(relay.replyRetention()) * time.Microsecond)
		relay.endedReplies.full(relay.now(), relay.replyRetention())
	}
	if got := replyTo("later-once", "once"); got != "admitted" {
		t.Errorf("after the retention time: got %q, want it admitted", got)
	}
}
