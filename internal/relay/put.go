package relay

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"troutusher/internal/clock"
)

const (
	maxDeadlineFactor = 2 // limit of a message's time left, in multiples of its class's deadline
	// A message's time runs from the moment at which the client sent it, which the relay does not learn. The protocol
	// allows 50 ms for what is sent over sockets. They are subtracted here, so that the tolerance after the deadline
	// remains for reporting the outcome.
	transitAllowance        = 50 * time.Millisecond
	transitAllowanceDivisor = 20 // the allowance is at most the time left divided by this
)

// putRequest is a MSG.PUT command of a client. sendReply is called once.
type putRequest struct {
	record   *record
	timeLeft time.Duration // until the deadline, as the client stated it
	// Where the client is connected to this process, reply receives the reply. Where it left before that, withdrawal
	// receives the reply that takes its place; it is empty if the one in reply holds.
	reply, withdrawal chan string

	// For a request that the predecessor process forwards: forward and forwardWithdrawal send the reply back to that
	// process, and replied reports whether a reply was sent.
	forward, forwardWithdrawal func(string)
	replied                    bool
}

// newPutRequest returns a request of a client that is connected to this process.
func newPutRequest(rec *record) *putRequest {
	return &putRequest{record: rec, reply: make(chan string, 1), withdrawal: make(chan string, 1)}
}

// sendReply passes the reply on to the client, by way of the predecessor process where that forwarded the request.
func (r *putRequest) sendReply(reply string) {
	if r.forward != nil {
		r.forward(reply)
		return
	}
	r.reply <- reply
}

// finishWithdrawal is called after replyWritten has reported that the client left before it had its reply. A refusal
// is passed here only once no process will deliver the message any more.
func (r *putRequest) finishWithdrawal(reply string) {
	if r.forward != nil {
		if r.forwardWithdrawal != nil {
			r.forwardWithdrawal(reply)
		}
		return
	}
	r.withdrawal <- reply
}

// parsePut parses the arguments of a MSG.PUT command that was read at now. The error names the invalid argument or
// field.
func (c *Config) parsePut(args [][]byte, now clock.Instant) (*putRequest, error) {
	if len(args) != 5 {
		return nil, fmt.Errorf("MSG.PUT takes 4 arguments, %d came", len(args)-1)
	}
	id := string(args[2])
	if !isHeaderToken(id) {
		return nil, errors.New("id: empty, too long or not plain")
	}
	request := newPutRequest(&record{Kind: recordAccepted, ID: id, body: args[4]})
	values := map[string]string{}
	for field := range strings.SplitSeq(string(args[3]), ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return nil, fmt.Errorf("field %q without a value", field)
		}
		values[name] = value
	}
	classIndex, ok := c.classes[values["c"]]
	if !ok {
		return nil, fmt.Errorf("c: unknown class %q", values["c"])
	}
	request.record.Class = values["c"]
	if _, ok := c.tenants[values["t"]]; !ok && len(c.tenants) > 0 {
		return nil, fmt.Errorf("t: unknown tenant %q", values["t"])
	}
	request.record.Tenant = values["t"]
	deadlineMS, err := parseMilliseconds(values["d"])
	if err != nil {
		return nil, fmt.Errorf("d: %w", err)
	}
	if classDeadlineMS := float64(c.Policy.Classes[classIndex].Deadline) / 1000; deadlineMS >
		maxDeadlineFactor*classDeadlineMS {
		return nil, fmt.Errorf("d: %v ms, and messages of class %s have %v at most",
			deadlineMS, request.record.Class, classDeadlineMS)
	}
	request.timeLeft = time.Duration(deadlineMS * float64(time.Millisecond))
	request.record.Deadline = now.Add(request.timeLeft - min(transitAllowance, request.timeLeft/transitAllowanceDivisor))
	dest, err := strconv.ParseUint(values["dest"], 10, 32)
	if err != nil {
		return nil, fmt.Errorf("dest: %.32q is no destination", values["dest"])
	}
	request.record.Dest = int(dest)
	if request.record.Key = values["k"]; request.record.Key != "" && !isHeaderToken(request.record.Key) {
		return nil, errors.New("k: too long or not plain")
	}
	if request.record.Key == "" && c.isKeyed(classIndex) {
		return nil, errors.New("k: missing in a keyed class")
	}
	return request, nil
}

// parseMilliseconds parses decimal digits with an optional fraction. It rejects signs, exponents and hexadecimal
// numbers.
func parseMilliseconds(text string) (float64, error) {
	integerPart, _, _ := strings.Cut(text, ".")
	if integerPart == "" || len(text) > 24 || strings.Trim(text, "0123456789.") != "" {
		return 0, fmt.Errorf("%.32q is no time in milliseconds", text)
	}
	return strconv.ParseFloat(text, 64)
}

// isHeaderToken reports whether s can be an HTTP header value without escaping.
func isHeaderToken(s string) bool {
	if s == "" || len(s) > 256 {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
