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

// An operator must be able to follow a message by its id. At the debug level the log has a line for the acceptance of
// the message, for its delivery and for its notice. At the info level it has lines only for failed attempts and for
// messages that are given up or handed back.
func TestMessageCanBeFollowed(t *testing.T) {
	logOutput := func(level slog.Level) string {
		var out bytes.Buffer
		r := newTestRelay(t)
		r.log = slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: level}))
		r.ctx = t.Context()
		r.wal = &wal{queue: newMailbox[walOp]()}
		r.receiveList(t, &List{Complete: true, Members: []Member{{ID: "s-1", HostPort: "127.0.0.1:1",
			Flavor: "k", Locality: "a", Cell: 7, Phase: phaseUp}}})
		for _, outcome := range []decide.Outcome{decide.Delivered, decide.Errored} {
			request := &putRequest{record: &record{ID: map[decide.Outcome]string{decide.Delivered: "good",
				decide.Errored: "bad"}[outcome],
				Class: "plain", Dest: 7, Rules: &decide.Class{}}}
			message := r.newMessage(request.record)
			r.unanswered[request] = message
			r.replyWritten(request, true)
			r.performAction(r.now(), &decide.Action{Kind: decide.ActSend, Message: message.num, Endpoint: r.endpointByID("s-1").num,
				TimeoutAt: r.now() + 1e9})
			call := r.formingCalls[0]
			r.dispatchCalls()
			r.handleCallResult(call, nil, &callResult{outcome: outcome, settled: outcome == decide.Delivered,
				err: errors.New("error set by the test")})
		}
		notices := newNotices("127.0.0.1:1", clock.System(), r.log, func(string) {})
		notices.confirm(&pendingNotice{notice: notice{Message: "bad", Outcome: noticeGivenUp}}, nil, 0)
		return out.String()
	}
	debugLog, infoLog := logOutput(slog.LevelDebug), logOutput(slog.LevelInfo)
	for _, line := range []string{"msg=taken message=good", "msg=delivered message=good",
		"msg=taken message=bad", "msg=told message=bad"} {
		if !strings.Contains(debugLog, line) {
			t.Errorf("log at debug level: want a line with %s, got\n%s", line, debugLog)
		}
		if strings.Contains(infoLog, line) {
			t.Errorf("log at info level has a line with %s, want none", line)
		}
	}
	if line := "msg=attempt message=bad"; !strings.Contains(infoLog, line) || strings.Contains(infoLog, "good") {
		t.Errorf("log at info level: want a line with %s and none of the delivered message, got\n%s", line, infoLog)
	}
}
