package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"strings"
	"testing"

	"troutusher/decide"
)

var bigEndian = binary.BigEndian

const settingsText = `{"balancers":2,"classes":[{"name":"a","target_us":1000000,"deadline_us":5000000,"worth":1,
"late_worth":0.2,"repeat":"retryable"}],"kinds":["k"],"limits":{"most_held":50,"most_tries":9,"may_cancel":true,
"probing":true},"safety":{"answer_slack_us":20000,"overload_factor":2,"fall_us":3000000,"ramp_time_us":9000000,
"start_capacity":0.2,"drain_grace_us":1000000},"specifics":{"calls_out":4,"kind_batch":[1],"own_limits":[false],
"late":"halving"},"tick_us":5000,"weights":"nominal","zone":0}`

// record encodes the code and the relay of an event.
func record(code byte, relay uint16) []byte {
	b := make([]byte, 48)
	b[0] = code
	bigEndian.PutUint16(b[1:], relay)
	return b
}

// startRecord encodes an event that starts a relay; its settings text is in the tail at offset.
func startRecord(relay uint16, seed uint64, text string, offset int) []byte {
	b := record(10, relay)
	bigEndian.PutUint64(b[3:], seed)
	bigEndian.PutUint32(b[11:], uint32(offset))
	bigEndian.PutUint32(b[15:], uint32(len(text)))
	return b
}

// listEntriesRecord encodes an event that defines a numbered list; its entries are in the tail at offset.
func listEntriesRecord(number byte, offset, entries int) []byte {
	b := make([]byte, 48)
	b[0], b[1] = 110, number
	bigEndian.PutUint32(b[2:], uint32(offset))
	bigEndian.PutUint32(b[6:], uint32(entries))
	return b
}

// listUpdateRecord encodes an event that gives a relay the numbered list.
func listUpdateRecord(relay uint16, number byte) []byte {
	b := record(20, relay)
	b[12] = number
	return b
}

// messageRecord encodes an event for a new message with a deadline in 5 s.
func messageRecord(relay uint16, id uint32) []byte {
	b := record(30, relay)
	bigEndian.PutUint32(b[3:], id)
	bigEndian.PutUint32(b[15:], 5000000)
	return b
}

// listEntry encodes a ready endpoint with the given address.
func listEntry(address uint32) []byte {
	b := make([]byte, 24)
	bigEndian.PutUint32(b, address)
	b[11] = 1
	bigEndian.PutUint32(b[12:], 0x41a00000) // a rate of 20 calls per second
	return b
}

// batchFrame encodes a frame with the given event records and tail.
func batchFrame(clock uint64, tail []byte, records ...[]byte) []byte {
	b := make([]byte, 16)
	bigEndian.PutUint64(b, clock)
	bigEndian.PutUint32(b[8:], uint32(48*len(records)+len(tail)))
	bigEndian.PutUint32(b[12:], uint32(len(records)))
	for _, r := range records {
		b = append(b, r...)
	}
	return append(b, tail...)
}

// serveAll returns the reply frames to a stream of frames.
func serveAll(t *testing.T, in []byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(bytes.NewReader(in), bufio.NewWriter(&out))
	return out.Bytes(), err
}

// decodeSends returns the relay, message and endpoint address of each ActSend in a stream of reply frames.
func decodeSends(t *testing.T, out []byte) (got [][3]uint32) {
	t.Helper()
	for len(out) > 0 {
		size, n := int(bigEndian.Uint32(out)), int(bigEndian.Uint32(out[4:]))
		for i := range n {
			r := out[8+24*i:]
			if r[0] == 20 {
				got = append(got, [3]uint32{
					uint32(bigEndian.Uint16(r[1:])), bigEndian.Uint32(r[3:]), bigEndian.Uint32(r[7:])})
			}
		}
		out = out[8+size:]
	}
	return got
}

// TestListNumberReusedInOneBatch: a list that is redefined within a batch does not change what an earlier event of
// that batch gave to a relay.
func TestListNumberReusedInOneBatch(t *testing.T) {
	tail := append(append([]byte(settingsText), listEntry(1)...), listEntry(2)...)
	entriesOffset := len(settingsText)
	out, err := serveAll(t, batchFrame(1e6, tail,
		startRecord(0, 1, settingsText, 0), startRecord(1, 2, settingsText, 0),
		listEntriesRecord(3, entriesOffset, 1), listUpdateRecord(0, 3),
		listEntriesRecord(3, entriesOffset+24, 1), listUpdateRecord(1, 3),
		messageRecord(0, 10), messageRecord(1, 11)))
	if err != nil {
		t.Fatal(err)
	}
	if got := decodeSends(t, out); len(got) != 2 || got[0] != [3]uint32{0, 10, 1} ||
		got[1] != [3]uint32{1, 11, 2} {
		t.Fatalf("got sends %v, want [[0 10 1] [1 11 2]]", got)
	}
}

// TestRestartInOneBatch: a relay that stops and starts again within a batch keeps nothing of its earlier state, not
// even the messages it held.
func TestRestartInOneBatch(t *testing.T) {
	tail := append([]byte(settingsText), listEntry(1)...)
	entriesOffset := len(settingsText)
	out, err := serveAll(t, batchFrame(1e6, tail, startRecord(0, 1, settingsText, 0),
		listEntriesRecord(0, entriesOffset, 1), listUpdateRecord(0, 0), messageRecord(0, 10),
		record(100, 0), startRecord(0, 2, settingsText, 0), listUpdateRecord(0, 0), messageRecord(0, 12)))
	if err != nil {
		t.Fatal(err)
	}
	if got := decodeSends(t, out); len(got) != 1 || got[0][1] != 12 {
		t.Fatalf("got sends %v, want one of message 12", got)
	}
}

// TestNoActionsForStoppedRelay: a relay that stops within a batch sends no actions for the events before its stop.
func TestNoActionsForStoppedRelay(t *testing.T) {
	tail := append([]byte(settingsText), listEntry(1)...)
	out, err := serveAll(t, batchFrame(1e6, tail, startRecord(0, 1, settingsText, 0),
		listEntriesRecord(0, len(settingsText), 1), listUpdateRecord(0, 0), messageRecord(0, 10),
		record(100, 0)))
	if err != nil || !bytes.Equal(out, make([]byte, 8)) {
		t.Fatalf("got reply %x, error %v; want a reply without actions", out, err)
	}
}

// TestRepliesAreReproducible: the same stream of frames gives the same replies, byte for byte, and other relays in
// the process do not change what a relay sends.
func TestRepliesAreReproducible(t *testing.T) {
	stream := func(relays int) []byte {
		r := rand.New(rand.NewPCG(1, 2))
		tail := append(append([]byte(settingsText), listEntry(1)...), listEntry(2)...)
		var recs [][]byte
		for i := range relays {
			recs = append(recs, startRecord(uint16(i), uint64(i), settingsText, 0),
				listEntriesRecord(0, len(settingsText), 2), listUpdateRecord(uint16(i), 0))
		}
		in := batchFrame(1e6, tail, recs...)
		for step := range 50 {
			recs = nil
			for range r.IntN(4) {
				id := uint32(step*10 + len(recs))
				recs = append(recs, messageRecord(0, id))
				if relays > 1 {
					recs = append(recs, messageRecord(1, id))
				}
			}
			in = append(in, batchFrame(uint64(1e6+5000*step), nil, recs...)...)
		}
		return in
	}
	first, err := serveAll(t, stream(2))
	second, secondErr := serveAll(t, stream(2))
	if err != nil || secondErr != nil || len(first) < 51*8+4*24 || !bytes.Equal(first, second) {
		t.Fatalf("got replies of %d and %d bytes, errors %v and %v; want the same replies with at least 4 actions",
			len(first), len(second), err, secondErr)
	}
	alone, err := serveAll(t, stream(1))
	if err != nil {
		t.Fatal(err)
	}
	var relayZero [][3]uint32
	for _, s := range decodeSends(t, first) {
		if s[0] == 0 {
			relayZero = append(relayZero, s)
		}
	}
	if one := decodeSends(t, alone); len(one) == 0 || len(one) != len(relayZero) {
		t.Fatalf("relay 0: got %d sends alone and %d beside another relay, want as many and at least one",
			len(one), len(relayZero))
	}
}

// TestBadSettingsGiveErrorAction: settings that are not valid give an ActError with a text instead of a relay.
func TestBadSettingsGiveErrorAction(t *testing.T) {
	for from, to := range map[string]string{`"calls_out":4`: `"calls_out":0`, `"retryable"`: `"sometimes"`,
		`"fall_us":3000000`: `"fall_us":-1`} {
		text := strings.Replace(settingsText, from, to, 1)
		out, err := serveAll(t, batchFrame(1e6, []byte(text), startRecord(4, 1, text, 0)))
		if err != nil || bigEndian.Uint32(out[4:]) != 1 || out[8] != 100 || bigEndian.Uint16(out[9:]) != 4 ||
			len(out) <= 32 {
			t.Errorf("%s: got reply %s, error %v; want an error action with a text for relay 4",
				to, hex.EncodeToString(out), err)
		}
	}
}

func TestMalformedFrameGivesOneLineError(t *testing.T) {
	out, err := serveAll(t, append(batchFrame(1e6, nil), batchFrame(2e6, nil, record(7, 0))...))
	if err == nil || !strings.Contains(err.Error(), "frame 1: record 0") || strings.Contains(err.Error(), "\n") {
		t.Fatalf("got error %v, want one line that names frame 1, record 0", err)
	}
	if !bytes.Equal(out, make([]byte, 8)) {
		t.Fatalf("got output %x, want the first reply alone", out)
	}
	if out, err := serveAll(t, nil); err != nil || len(out) != 0 {
		t.Fatalf("empty input: got output %x, error %v; want neither", out, err)
	}
}

// TestEventForUnknownRelayIgnored: an event for a relay that has stopped is not an error and gives no action.
func TestEventForUnknownRelayIgnored(t *testing.T) {
	out, err := serveAll(t, batchFrame(1e6, nil, messageRecord(9, 1)))
	if err != nil || !bytes.Equal(out, make([]byte, 8)) {
		t.Fatalf("got reply %x, error %v; want a reply without actions", out, err)
	}
}

// TestLargestFleet: the largest deployment has 1024 relays and 1024 endpoints, and each relay has all endpoints on
// its list.
func TestLargestFleet(t *testing.T) {
	const relayCount = 1024
	tail, records := []byte(settingsText), [][]byte{listEntriesRecord(3, len(settingsText), relayCount)}
	for i := range uint32(relayCount) {
		tail = append(tail, listEntry(i+1)...)
		records = append(records, startRecord(uint16(i), uint64(i), settingsText, 0),
			listUpdateRecord(uint16(i), 3), messageRecord(uint16(i), 10+i))
	}
	out, err := serveAll(t, batchFrame(1e6, tail, records...))
	if err != nil {
		t.Fatal(err)
	}
	got := decodeSends(t, out)
	if len(got) != relayCount {
		t.Fatalf("got sends of %d relays, want %d", len(got), relayCount)
	}
	for i, s := range got {
		if s[0] != uint32(i) || s[1] != uint32(10+i) || s[2] < 1 || s[2] > relayCount {
			t.Fatalf("send %d: got relay, message, endpoint %v", i, s)
		}
	}
}

// TestUnsupportedActionsOmitted: actions that the protocol has no record for are omitted, and every record has a
// code.
func TestUnsupportedActionsOmitted(t *testing.T) {
	if record, ok := wireAction(1, &decide.Action{Kind: decide.ActOutage, Endpoint: 7}); ok {
		t.Errorf("ActOutage: got record %+v, want none", record)
	}
	encoded := 0
	for kind := range decide.ActionKind(64) {
		record, ok := wireAction(1, &decide.Action{Kind: kind})
		if ok != (record.Code != 0) {
			t.Errorf("action %d: got code %d, encoded %v", kind, record.Code, ok)
		}
		if ok {
			encoded++
		}
	}
	if encoded != 10 {
		t.Errorf("got %d actions with a code, want 10", encoded)
	}
}
