package relay

import (
	"cmp"
	"errors"

	"troutusher/decide"
	"troutusher/internal/resp"
)

const (
	endedRepliesDivisor = 16 // of the memory limit gives the limit of each replyGenerations
	replyEntryBytes     = 80 // of one reply, beside the id
)

// endedReplies holds the replies for accepted messages that have ended, in case one is handed in again under the same
// id: by a client whose connection broke, or by a sender that repeats what it has seen. Its memory is bounded. Where it
// does not suffice, the oldest replies of messages that may be repeated are dropped, and the relay accepts no more
// messages that may not be repeated.
type endedReplies struct {
	repeatable   replyGenerations // messages that may run again
	unrepeatable replyGenerations // messages that must not, or only within their deduplication window
	limitBytes   int64            // of each of the two; 0 for none
}

// add keeps the reply for a message id, for at least the retention time if the message must not run again.
func (e *endedReplies) add(id, reply string, mayRepeat bool, now, retention decide.Time) {
	if !mayRepeat {
		e.unrepeatable.rotateIfDue(now, retention)
		e.unrepeatable.add(id, reply)
		return
	}
	e.repeatable.rotateIfDue(now, retention)
	if e.limitBytes > 0 && e.repeatable.currentBytes >= e.limitBytes/2 {
		e.repeatable.rotate(now)
	}
	e.repeatable.add(id, reply)
}

// reply returns the reply for a message id, or "" if none is kept.
func (e *endedReplies) reply(id string) string {
	return cmp.Or(e.unrepeatable.reply(id), e.repeatable.reply(id))
}

// full reports whether no more ids of messages that must not run again can be kept.
func (e *endedReplies) full(now, retention decide.Time) bool {
	if e.limitBytes == 0 || e.unrepeatable.bytes() < e.limitBytes {
		return false
	}
	e.unrepeatable.rotateIfDue(now, retention)
	return e.unrepeatable.bytes() >= e.limitBytes
}

// replyGenerations holds replies by message id in two generations, so that a reply is kept for at least the time between
// two rotations.
type replyGenerations struct {
	current, previous           map[string]string
	currentBytes, previousBytes int64
	rotatedAt                   decide.Time
}

// rotateIfDue begins a new generation if the current one is as old as the retention time.
func (g *replyGenerations) rotateIfDue(now, retention decide.Time) {
	if g.current == nil || now-g.rotatedAt >= retention {
		g.rotate(now)
	}
}

// rotate begins a new generation and drops the previous one.
func (g *replyGenerations) rotate(now decide.Time) {
	g.previous, g.previousBytes = g.current, g.currentBytes
	g.current, g.currentBytes, g.rotatedAt = map[string]string{}, 0, now
}

// add keeps the reply for a message id.
func (g *replyGenerations) add(id, reply string) {
	if _, known := g.current[id]; !known {
		g.currentBytes += int64(len(id)) + replyEntryBytes
	}
	g.current[id] = reply
}

// reply returns the reply for a message id, or "" if none is kept.
func (g *replyGenerations) reply(id string) string { return cmp.Or(g.current[id], g.previous[id]) }

// bytes returns an estimate of the memory that the replies take.
func (g *replyGenerations) bytes() int64 { return g.currentBytes + g.previousBytes }

// replyRetention returns the longest deadline of any class, for which the replies of ended messages are kept.
func (r *Relay) replyRetention() decide.Time {
	retention := decide.Time(0)
	for _, class := range r.cfg.Policy.Classes {
		retention = max(retention, class.Deadline)
	}
	return retention
}

// mayRepeat reports whether a message of a class may run any number of times.
func (c *Config) mayRepeat(class string) bool {
	index, ok := c.classes[class]
	return ok && c.Policy.Classes[index].Idempotency == decide.Idempotent
}

// rememberReply keeps the reply that states how a message ended.
func (r *Relay) rememberReply(msg *message, reply string) {
	rules := msg.rec.Rules
	mayRepeat := rules != nil && rules.Idempotency == decide.Idempotent
	r.endedReplies.limitBytes = int64(r.cfg.Limits.MemoryMB) << 20 / endedRepliesDivisor
	r.endedReplies.add(msg.rec.ID, reply, mayRepeat, r.now(), r.replyRetention())
}

// restoreEndedReplies restores the replies for messages that ended under an earlier process.
func (r *Relay) restoreEndedReplies(records []*record) {
	for _, rec := range records {
		reply := resp.OK
		switch rec.Notice {
		case noticeHandedBack:
			reply = resp.Busy(rec.RetryMS)
		case noticeGivenUp:
			reply = resp.Error(errors.New("given up"))
		}
		r.rememberReply(&message{rec: rec}, reply)
	}
}
