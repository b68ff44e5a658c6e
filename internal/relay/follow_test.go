package relay

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"troutusher/decide"
	"troutusher/internal/clock"
)

// Guards what is needed to follow one message by its id: with the debug level
// there is a line for when it was taken on, for its delivery and for its notice;
// without it there are only those of attempts that failed and of ends.
func TestMessageCanBeFollowed(t *testing.T) {
	lines := func(level slog.Level) string {
		var out bytes.Buffer
		r := newTestRelay(t)
		r.log = slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: level}))
		r.ctx = t.Context()
		r.wal = &wal{queue: newMailbox[walOp]()}
		r.receiveList(t, &List{Complete: true, Members: []Member{{ID: "s-1", HostPort: "127.0.0.1:1", Flavor: "k", Locality: "a", Cell: 7, Phase: phaseUp}}})
		for _, what := range []decide.Outcome{decide.Delivered, decide.Errored} {
			q := &putRequest{record: &record{ID: map[decide.Outcome]string{decide.Delivered: "good", decide.Errored: "bad"}[what],
				Class: "plain", Dest: 7, Rules: &decide.Class{}}}
			m := r.newMessage(q.record)
			r.unanswered[q] = m
			r.replyWritten(q, true)
			r.performAction(r.now(), &decide.Action{Kind: decide.ActSend, Message: m.num, Endpoint: r.endpointByID("s-1").num, TimeoutAt: r.now() + 1e9})
			c := r.formingCalls[0]
			r.dispatchCalls()
			r.handleCallResult(c, nil, &callResult{outcome: what, settled: what == decide.Delivered, err: errors.New("told by the test")})
		}
		n := newNotices("127.0.0.1:1", clock.System(), r.log, func(string) {})
		n.confirm(&pendingNotice{notice: notice{Message: "bad", Outcome: noticeGivenUp}}, nil, 0)
		return out.String()
	}
	all, few := lines(slog.LevelDebug), lines(slog.LevelInfo)
	for _, x := range []string{"msg=taken message=good", "msg=delivered message=good", "msg=taken message=bad", "msg=told message=bad"} {
		if !strings.Contains(all, x) {
			t.Errorf("no line with %s in\n%s", x, all)
		}
		if strings.Contains(few, x) {
			t.Errorf("%s without the debug level", x)
		}
	}
	if x := "msg=attempt message=bad"; !strings.Contains(few, x) || strings.Contains(few, "good") {
		t.Errorf("want %s and nothing of what was delivered in\n%s", x, few)
	}
}
