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

// scriptedConn is a connection that brings an answer in pieces, and then ends.
type scriptedConn struct {
	net.Conn // nil: a call of anything but what is defined here fails the test
	rest     []byte
	piece    int // bytes that one Read brings
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

// answerEnds are the ways in which a connection ends behind what it brought: closed,
// reset, and silent until the wait for it was over.
var answerEnds = []error{io.EOF, syscall.ECONNRESET, os.ErrDeadlineExceeded}

// answerRead is what readAnswer made of an answer.
type answerRead struct {
	outcome outcome
	keep    bool
	read    int // bytes that the answer took
}

// readScripted has readAnswer read an answer to a call with these messages.
func readScripted(t *testing.T, answer []byte, piece int, end error, parts []part) answerRead {
	t.Helper()
	req, err := newCallRequest("127.0.0.1:1", parts, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	script := &scriptedConn{rest: answer, piece: piece, end: end}
	conn := &poolConn{Conn: script, left: answerMost}
	conn.in = bufio.NewReader(conn)
	var told []outcome
	keep := readAnswer(conn, req, parts, []string{"x0", "x1"}, func(o outcome) { told = append(told, o) })
	if len(told) != 1 {
		t.Fatalf("told %d outcomes, want 1: %+v", len(told), told)
	}
	return answerRead{told[0], keep, len(answer) - len(script.rest) - conn.in.Buffered()}
}

// lastAnswer is the answer behind whole heads of 1xx answers, which are read past and
// may hold anything. status is that of its first line; 0 where that is not whole.
func lastAnswer(text []byte) (answer []byte, status int) {
	for {
		line, rest, whole := bytes.Cut(text, []byte("\n"))
		if !whole {
			return text, 0
		}
		status, err := statusOf(string(line))
		if err != nil {
			return text, 0
		}
		if status >= 200 {
			return text, status
		}
		if text, whole = behindHead(rest); !whole {
			return nil, 0
		}
	}
}

// behindHead is what follows the empty line that ends a head.
func behindHead(text []byte) (rest []byte, whole bool) {
	for {
		var line []byte
		if line, text, whole = bytes.Cut(text, []byte("\n")); !whole {
			return nil, false
		}
		if len(line) == 0 || string(line) == "\r" {
			return text, true
		}
	}
}

// wholeAnswer reports whether net/http, too, reads the last answer to its end.
func wholeAnswer(text []byte) bool {
	answer, _ := lastAnswer(text)
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(answer)), &http.Request{Method: http.MethodPost})
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// checkOutcome: the outcome of a call is one that its answer can have.
func checkOutcome(t *testing.T, o *outcome, answer []byte, several bool) {
	t.Helper()
	_, status := lastAnswer(answer)
	if o.wait < 0 || o.wait > longestWait.Microseconds() {
		t.Errorf("told to wait %d us", o.wait)
	}
	if o.load.Remaining < 0 || o.load.Remaining > loadMost || o.load.Limit < 0 || o.load.Limit > loadMost {
		t.Errorf("load %+v", o.load)
	}
	if o.status != 0 && o.status != status {
		t.Errorf("status %d, the first line of the answer says %d", o.status, status)
	}
	if delivered := status == http.StatusOK && !several; (o.what == decide.Delivered) != delivered {
		t.Errorf("outcome %d, status %d", o.what, status)
	}
	if o.what != decide.Delivered && o.settled && (several || status != http.StatusGone) {
		t.Errorf("settled by status %d", status)
	}
	if o.slots && (o.what != decide.NotSent || status != http.StatusServiceUnavailable) {
		t.Errorf("slots are taken, outcome %d, status %d", o.what, status)
	}
	if o.crowded && (o.what != decide.Rejected || o.wait != 0) {
		t.Errorf("crowded, outcome %d, wait %d", o.what, o.wait)
	}
	if (o.spoilt || o.err != nil) && o.what.NeverRan() {
		t.Errorf("a spoilt answer (%v) proves that the call has not run", o.err)
	}
	if o.what.NeverRan() && !wholeAnswer(answer) {
		t.Errorf("outcome %d of an answer that is not whole", o.what)
	}
	switch o.what {
	case decide.Delivered, decide.Errored, decide.Rejected, decide.NotSent, decide.Reset:
	default:
		t.Errorf("outcome %d", o.what)
	}
}

// checkKept: where a connection carries another call, the answer was read whole and
// nothing of it is left. One byte less of it is no whole answer.
func checkKept(t *testing.T, answer []byte, piece int, parts []part, got answerRead) {
	t.Helper()
	if !got.keep {
		return
	}
	own := answer[:got.read]
	if !wholeAnswer(own) {
		t.Errorf("kept behind an answer that is not whole: %.200q", own)
	}
	if alone := readScripted(t, own, piece, io.EOF, parts); !alone.keep || alone.outcome.what != got.outcome.what {
		t.Errorf("alone: %+v, with what comes behind: %+v", alone, got)
	}
	for _, end := range answerEnds {
		if cut := readScripted(t, own[:len(own)-1], piece, end, parts); cut.keep {
			t.Errorf("kept though the last byte of %.200q is missing", own)
		}
	}
}

// FuzzReadAnswer: any bytes of an endpoint give exactly one outcome, which they can
// have, and a connection is kept only behind a whole answer.
func FuzzReadAnswer(f *testing.F) {
	const whole = "HTTP/1.1 200 OK\r\nX-Server-Load: x0=0.5,x1=20\r\nContent-Length: 2\r\n\r\nok"
	f.Add([]byte(whole+whole), uint8(255), uint8(0), false)
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+whole), uint8(7), uint8(0), false)
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
	f.Fuzz(func(t *testing.T, answer []byte, piece, end uint8, several bool) {
		parts := testPart("a")
		if several {
			parts = append(parts, testPart("b")...)
		}
		size := int(piece) + 1
		got := readScripted(t, answer, size, answerEnds[int(end)%len(answerEnds)], parts)
		checkOutcome(t, &got.outcome, answer, several)
		checkKept(t, answer, size, parts, got)
	})
}

// acceptedBy reports whether the answer to a call with several messages says of one
// that it was accepted, by a reading of its own.
func acceptedBy(body []byte, id string) bool {
	var said []map[string]any
	if json.Unmarshal(body, &said) != nil {
		return false
	}
	return slices.ContainsFunc(said, func(entry map[string]any) bool {
		named, accepted := false, false
		for key, value := range entry {
			named = named || strings.EqualFold(key, "id") && value == id
			accepted = accepted || strings.EqualFold(key, "state") && value == "accepted"
		}
		return named && accepted
	})
}

// FuzzBatchAnswer: each message of a call has an outcome that its answer can give it.
// None is delivered that the answer does not call accepted, and where the answer
// cannot be read all of them may have run.
func FuzzBatchAnswer(f *testing.F) {
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
			return // more than one answer, or no head
		}
		head := fmt.Sprintf("HTTP/1.1 %03d X\r\nContent-Length: %d\r\n", status, len(body))
		if retryAfter != "" {
			head += "Retry-After: " + retryAfter + "\r\n"
		}
		answer := append([]byte(head+"\r\n"), body...)
		parts := append(testPart("a"), testPart("b")...)
		got := readScripted(t, answer, len(answer), io.EOF, parts)
		o := &got.outcome
		checkOutcome(t, o, answer, true)
		if (o.err != nil) != o.spoilt || o.spoilt && (o.what != decide.Errored || o.ends != nil || o.settled) {
			t.Errorf("an answer that cannot be read: %+v", o)
		}
		for id, end := range o.ends {
			if id != "a" && id != "b" {
				t.Errorf("an end of message %q", id)
			}
			if !slices.ContainsFunc([]ending{{decide.Delivered, true}, {decide.Errored, false}, {decide.Rejected, false},
				{decide.NotSent, true}, {decide.NotSent, false}}, func(legal ending) bool { return legal == end }) {
				t.Errorf("message %s ends as %+v", id, end)
			}
			if end.what == decide.Delivered && (status != http.StatusOK || !acceptedBy(body, id)) {
				t.Errorf("message %s is delivered by status %d and %.200q", id, status, body)
			}
		}
		if errors.Is(o.err, errTooBig) && len(answer) < bodyMost {
			t.Errorf("%d bytes are too many", len(answer))
		}
	})
}
