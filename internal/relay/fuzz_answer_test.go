package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"troutusher/decide"
)

// scriptedConn is a connection that returns a response in pieces and then fails with end.
type scriptedConn struct {
	net.Conn // nil: the test panics if a method is called that is not defined here
	rest     []byte
	piece    int // bytes that one Read returns
	end      error
}

func (c *scriptedConn) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, c.end
	}
	n := copy(b, c.rest[:min(c.piece, len(c.rest))])
	c.rest = c.rest[n:]
	return n, nil
}

func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// responseEnds are the errors with which a connection ends after its data: closed, reset, and silent until the
// timeout.
var responseEnds = []error{io.EOF, syscall.ECONNRESET, os.ErrDeadlineExceeded}

// readResult is the result of readResponse.
type readResult struct {
	result   callResult
	reusable bool
	read     int // bytes of the response
}

// readScripted calls readResponse with a scripted response to a call with these messages.
func readScripted(t *testing.T, response []byte, piece int, end error, items []callItem) readResult {
	t.Helper()
	req, err := newCallRequest("127.0.0.1:1", items, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	script := &scriptedConn{rest: response, piece: piece, end: end}
	conn := &poolConn{Conn: script, readBudget: maxResponseBytes}
	conn.reader = bufio.NewReader(conn)
	var results []callResult
	reusable := readResponse(conn, req, items, []string{"x0", "x1"}, func(o callResult) { results = append(results, o) })
	if len(results) != 1 {
		t.Fatalf("reported results: got %d, want 1: %+v", len(results), results)
	}
	return readResult{results[0], reusable, len(response) - len(script.rest) - conn.reader.Buffered()}
}

// finalResponse returns the response after all complete headers of 1xx responses, which may hold anything. status is
// that of its status line, or 0 if that line is incomplete or invalid.
func finalResponse(text []byte) (response []byte, status int) {
	for {
		line, rest, complete := bytes.Cut(text, []byte("\n"))
		if !complete {
			return text, 0
		}
		status, err := parseStatus(string(line))
		if err != nil {
			return text, 0
		}
		if status >= 200 {
			return text, status
		}
		if text, complete = afterHeader(rest); !complete {
			return nil, 0
		}
	}
}

// afterHeader returns what follows the empty line that ends a header.
func afterHeader(text []byte) (rest []byte, complete bool) {
	for {
		var line []byte
		if line, text, complete = bytes.Cut(text, []byte("\n")); !complete {
			return nil, false
		}
		if len(line) == 0 || string(line) == "\r" {
			return text, true
		}
	}
}

// isCompleteResponse reports whether net/http reads the final response to its end without an error.
func isCompleteResponse(text []byte) bool {
	response, _ := finalResponse(text)
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(response)), &http.Request{Method: http.MethodPost})
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// checkResult checks that the result of a call is possible for its response.
func checkResult(t *testing.T, result *callResult, response []byte, batched bool) {
	t.Helper()
	_, status := finalResponse(response)
	if result.retryAfter < 0 || result.retryAfter > maxRetryAfter.Microseconds() {
		t.Errorf("Retry-After: got %d us, want 0 to maxRetryAfter", result.retryAfter)
	}
	if result.load.Remaining < 0 || result.load.Remaining > maxLoadValue || result.load.Limit < 0 || result.load.Limit > maxLoadValue {
		t.Errorf("load: got %+v, want values from 0 to maxLoadValue", result.load)
	}
	if result.status != 0 && result.status != status {
		t.Errorf("status: got %d, want %d as in the status line", result.status, status)
	}
	if delivered := status == http.StatusOK && !batched; (result.outcome == decide.Delivered) != delivered {
		t.Errorf("outcome: got %d with status %d, want Delivered for a 200 to a single message only", result.outcome, status)
	}
	if result.outcome != decide.Delivered && result.settled && (batched || status != http.StatusGone) {
		t.Errorf("settled: got true with status %d, want false", status)
	}
	if result.slotsTaken && (result.outcome != decide.NotSent || status != http.StatusServiceUnavailable) {
		t.Errorf("slots taken: got outcome %d with status %d, want NotSent with 503", result.outcome, status)
	}
	if result.tooManyConns && (result.outcome != decide.Rejected || result.retryAfter != 0) {
		t.Errorf("too many connections: got outcome %d and Retry-After %d, want Rejected and 0", result.outcome,
			result.retryAfter)
	}
	if (result.malformed || result.err != nil) && result.outcome.NeverRan() {
		t.Errorf("malformed response (%v): got an outcome of a call that has not run", result.err)
	}
	if result.outcome.NeverRan() && !isCompleteResponse(response) {
		t.Errorf("incomplete response: got outcome %d, want one of a call that may have run", result.outcome)
	}
	switch result.outcome {
	case decide.Delivered, decide.Errored, decide.Rejected, decide.NotSent, decide.Reset:
	default:
		t.Errorf("outcome: got %d, want one that a response can have", result.outcome)
	}
}

// checkReuse checks that if a connection can carry another call, the response was complete and was read to its end.
// Without its last byte the response must not be accepted as complete.
func checkReuse(t *testing.T, response []byte, piece int, items []callItem, got readResult) {
	t.Helper()
	if !got.reusable {
		return
	}
	complete := response[:got.read]
	if !isCompleteResponse(complete) {
		t.Errorf("connection reusable after an incomplete response: %.200q", complete)
	}
	if alone := readScripted(t, complete, piece, io.EOF, items); !alone.reusable || alone.result.outcome != got.result.outcome {
		t.Errorf("result differs with surplus bytes: got %+v without and %+v with them", alone, got)
	}
	for _, end := range responseEnds {
		if truncated := readScripted(t, complete[:len(complete)-1], piece, end, items); truncated.reusable {
			t.Errorf("connection reusable though the last byte of the response %.200q is missing", complete)
		}
	}
}

// FuzzReadResponse checks that any bytes from an endpoint give exactly one result, which is possible for them, and
// that a connection is reusable only after a complete response.
func FuzzReadResponse(f *testing.F) {
	const complete = "HTTP/1.1 200 OK\r\nX-Server-Load: x0=0.5,x1=20\r\nContent-Length: 2\r\n\r\nok"
	f.Add([]byte(complete+complete), uint8(255), uint8(0), false)
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+complete), uint8(7), uint8(0), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nTrailer: x\r\n\r\n"), uint8(1), uint8(1), false)
	f.Add([]byte("HTTP/1.1 429 W\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"), uint8(3), uint8(0), false)
	f.Add([]byte("HTTP/1.1 503 F\r\nSlots-Taken: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), uint8(9), uint8(2), false)
	f.Add([]byte("HTTP/1.1 410 G\r\nContent-Length: 0\r\n\r\n"), uint8(40), uint8(0), false)
	f.Add([]byte("HTTP/1.0 504 A\r\n\r\nuntil the end"), uint8(40), uint8(0), false)
	f.Add([]byte("HTTP/1.1 204 N\r\n\r\n"), uint8(40), uint8(0), false)
	f.Add([]byte("HTTP/1.1 200 O"), uint8(40), uint8(2), false)
	f.Add([]byte("HTTP/1.1 503 F\r\nContent-Length: 5\r\n\r\nno"), uint8(40), uint8(1), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 63\r\n\r\n"+
		`[{"id":"a","state":"accepted"},{"id":"b","state":"deferred"}]`+"\r\n"), uint8(40), uint8(0), true)
	f.Add([]byte("HTTP/1.1 413 M\r\nContent-Length: 0\r\n\r\n"), uint8(40), uint8(0), true)
	f.Add([]byte{}, uint8(0), uint8(0), true)
	f.Fuzz(func(t *testing.T, response []byte, piece, end uint8, batched bool) {
		items := testItems("a")
		if batched {
			items = append(items, testItems("b")...)
		}
		size := int(piece) + 1
		got := readScripted(t, response, size, responseEnds[int(end)%len(responseEnds)], items)
		checkResult(t, &got.result, response, batched)
		checkReuse(t, response, size, items, got)
	})
}

// acceptedBy reports whether the response to a batch says that a message was accepted. It parses the response
// independently of the code under test.
func acceptedBy(body []byte, id string) bool {
	var states []map[string]any
	if json.Unmarshal(body, &states) != nil {
		return false
	}
	return slices.ContainsFunc(states, func(entry map[string]any) bool {
		named, accepted := false, false
		for key, value := range entry {
			named = named || strings.EqualFold(key, "id") && value == id
			accepted = accepted || strings.EqualFold(key, "state") && value == "accepted"
		}
		return named && accepted
	})
}

// FuzzBatchResponse checks that each message of a batch has a result that is possible for the response: a message is
// delivered only if the response says accepted, and after an invalid response all messages may have run.
func FuzzBatchResponse(f *testing.F) {
	f.Add(uint16(200), "", []byte(`[{"id":"a","state":"accepted"},{"id":"b","state":"deferred"}]`))
	f.Add(uint16(200), "0.5", []byte(`[{"id":"b","state":"expired"},{"id":"a","state":"no_more"}]`))
	f.Add(uint16(200), "", []byte(`[{"id":"a","state":"fault"}]`))
	f.Add(uint16(200), "", []byte(`[{"id":"a","state":"accepted"},{"id":"z","state":"accepted"}]`))
	f.Add(uint16(200), "", []byte(`[{"id":"a","state":"accepted"},{"id":"a","state":"accepted"}]`))
	f.Add(uint16(200), "", []byte(`[{"id":"a","ID":"b","State":"accepted"}]`))
	f.Add(uint16(200), "soon", []byte(`[]`))
	f.Add(uint16(200), "NaN", []byte(`null`))
	f.Add(uint16(429), "1e3", []byte{})
	f.Add(uint16(503), "", []byte{})
	f.Add(uint16(400), "", []byte{})
	f.Add(uint16(413), "", []byte{})
	f.Add(uint16(410), "", []byte{})
	f.Fuzz(func(t *testing.T, status uint16, retryAfter string, body []byte) {
		if status < 200 || status > 999 || strings.ContainsAny(retryAfter, "\r\n") {
			return // would be an interim response or an invalid header
		}
		head := fmt.Sprintf("HTTP/1.1 %03d X\r\nContent-Length: %d\r\n", status, len(body))
		if retryAfter != "" {
			head += "Retry-After: " + retryAfter + "\r\n"
		}
		response := append([]byte(head+"\r\n"), body...)
		items := append(testItems("a"), testItems("b")...)
		got := readScripted(t, response, len(response), io.EOF, items)
		o := &got.result
		checkResult(t, o, response, true)
		if (o.err != nil) != o.malformed || o.malformed && (o.outcome != decide.Errored || o.itemResults != nil || o.settled) {
			t.Errorf("invalid response: got %+v, want the outcome Errored and no results of messages", o)
		}
		for id, end := range o.itemResults {
			if id != "a" && id != "b" {
				t.Errorf("result of message %q, which is not in the call", id)
			}
			if !slices.ContainsFunc([]itemResult{{decide.Delivered, true}, {decide.Errored, false}, {decide.Rejected, false},
				{decide.NotSent, true}, {decide.NotSent, false}}, func(legal itemResult) bool { return legal == end }) {
				t.Errorf("result of message %s: got %+v, want one that a state maps to", id, end)
			}
			if end.outcome == decide.Delivered && (status != http.StatusOK || !acceptedBy(body, id)) {
				t.Errorf("message %s: got the outcome Delivered for status %d and body %.200q", id, status, body)
			}
		}
		if errors.Is(o.err, errResponseTooLarge) && len(response) < maxBodyBytes {
			t.Errorf("response of %d bytes: got errResponseTooLarge, want it to be read", len(response))
		}
	})
}
