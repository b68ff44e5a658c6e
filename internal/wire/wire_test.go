package wire

import (
	"bytes"
	"encoding/hex"
	"io"
	"math"
	"strings"
	"testing"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// padRecord decodes a hexadecimal prefix and pads it with zeros to the size of an event record.
func padRecord(t testing.TB, prefix string) []byte {
	b := unhex(t, prefix)
	return append(b, make([]byte, eventSize-len(b))...)
}

// batchFrame encodes a frame with the given event records and tail.
func batchFrame(clock uint64, tail []byte, records ...[]byte) []byte {
	b := make([]byte, batchHeaderSize)
	bigEndian.PutUint64(b, clock)
	bigEndian.PutUint32(b[8:], uint32(len(records)*eventSize+len(tail)))
	bigEndian.PutUint32(b[12:], uint32(len(records)))
	for _, r := range records {
		b = append(b, r...)
	}
	return append(b, tail...)
}

// TestKnownBatch decodes the example frame of the protocol specification.
func TestKnownBatch(t *testing.T) {
	clock, events, err := ReadBatch(bytes.NewReader(batchFrame(0x805c5a, nil,
		padRecord(t, "1e 0003 5d3a91c4 91f03b7c55d20a64 0003a980 0001 0000 42640000 00000000 00002ee0"),
		padRecord(t, "46 0003 000000000000004d"), padRecord(t, "3c 0005 0e6f2b19"))))
	if err != nil || clock != 0x805c5a || len(events) != 3 {
		t.Fatalf("got clock %x, %d events, error %v; want clock 805c5a, 3 events, no error", clock, len(events), err)
	}
	message := events[0]
	if message.Code != EvMessage || message.Relay != 3 || message.MessageID != 0x5d3a91c4 ||
		message.Key != 0x91f03b7c55d20a64 || message.TimeLeft != 0x3a980 || message.Flags != 1 ||
		message.Class != 0 || message.Dest != 57 || message.EstimatedCost != 12000 {
		t.Errorf("got message event %+v", message)
	}
	if events[1].Token != 0x4d || events[2].Relay != 5 || events[2].MessageID != 0x0e6f2b19 {
		t.Errorf("got timer event %+v and withdraw event %+v", events[1], events[2])
	}
}

func TestKnownList(t *testing.T) {
	tail := unhex(t, `0a124a07 1f43 0000 00 0039 01 3f800000 0000000000000000
		0a9011f2 1f6c 0001 02 0039 02 3fc00000 00000000005d1420`)
	_, events, err := ReadBatch(bytes.NewReader(batchFrame(1, tail, padRecord(t, "6e 0f 00000000 00000002"),
		padRecord(t, "14 0003 00 0000000000000029 0f"))))
	if err != nil {
		t.Fatal(err)
	}
	want := Entry{Endpoint: 0x0a9011f21f6c, Zone: 1, Kind: 2, Dest: 57, State: 2, Rate: 1.5, UpSince: 0x5d1420}
	if len(events[0].Entries) != 2 || events[0].Entries[1] != want ||
		events[1].ListNumber != 15 || events[1].Token != 0x29 {
		t.Errorf("got entries %+v and list update %+v", events[0].Entries, events[1])
	}
}

func TestKnownOutcome(t *testing.T) {
	_, events, err := ReadBatch(bytes.NewReader(batchFrame(1, nil,
		padRecord(t, "32 0003 5d3a91c4 0a124a07 1f43 07 00000019 00004844 fe 01 02 3ecccccd 3fa00000 00000000 00000000"))))
	if err != nil {
		t.Fatal(err)
	}
	outcome := events[0]
	if outcome.Attempt != 7 || outcome.StatusDetail != 25 || outcome.Elapsed != 0x4844 ||
		outcome.Status != StatusRejected || !outcome.Settled || outcome.ReportLen != 2 ||
		outcome.Report[1] != 1.25 || outcome.Endpoint != 0x0a124a071f43 {
		t.Errorf("got outcome event %+v", outcome)
	}
}

// TestKnownReply encodes the example reply of the protocol specification.
func TestKnownReply(t *testing.T) {
	got, err := AppendReply(nil, []Action{
		{Code: ActSend, Relay: 3, MessageID: 0x5d3a91c4, Endpoint: 0x0a124a071f43, TimeoutAt: 0x8194da},
		{Code: ActTimer, Relay: 3, Delay: 500000, Token: 0x4d},
		{Code: ActLog, Relay: 5, Text: "two servers known"}})
	if err != nil {
		t.Fatal(err)
	}
	want := unhex(t, `00000059 00000003
		14 0003 5d3a91c4 0a124a07 1f43 00000000008194da 000000
		3c 0003 0007a120 000000000000004d 000000000000000000
		28 0005 00000000 00000011 00000000000000000000000000
		74776f2073657276657273206b6e6f776e`)
	if !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
	if _, err := AppendReply(nil, []Action{{Code: 1}}); err == nil {
		t.Error("AppendReply accepted an unknown action code")
	}
}

func TestEveryAction(t *testing.T) {
	for _, c := range []struct {
		a    Action
		want string
	}{
		{Action{Code: ActRefuse, Relay: 3, MessageID: 0x0e6f2b19, Delay: 250000}, "1e 0003 0e6f2b19 0003d090"},
		{Action{Code: ActFail, Relay: 3, MessageID: 0x0e6f2b19}, "46 0003 0e6f2b19"},
		{Action{Code: ActCancel, Relay: 3, MessageID: 0x5d3a91c4, Attempt: 2}, "78 0003 5d3a91c4 02"},
		{Action{Code: ActProbe, Relay: 3, Endpoint: 0x0a9011f21f6c}, "50 0003 0a9011f2 1f6c"},
		{Action{Code: ActClose, Relay: 3, Endpoint: 0x0a9011f21f6c}, "6e 0003 0a9011f2 1f6c"},
		{Action{Code: ActWatch, Relay: 3, Subscribe: true}, "32 0003 01"},
		{Action{Code: ActFetch, Relay: 3}, "5a 0003"},
	} {
		got, err := AppendReply(nil, []Action{c.a})
		want := unhex(t, c.want)
		want = append(want, make([]byte, actionSize-len(want))...)
		if err != nil || !bytes.Equal(got[replyHeaderSize:], want) {
			t.Errorf("action code %d: got %x, want %x, error %v", c.a.Code, got, want, err)
		}
	}
}

func TestMalformed(t *testing.T) {
	call := padRecord(t, "1e 0003 5d3a91c4")
	nan := append([]byte(nil), call...)
	bigEndian.PutUint32(nan[23:], math.Float32bits(float32(math.NaN())))
	long := batchFrame(1, nil, call)
	bigEndian.PutUint32(long[12:], 2)
	huge := batchFrame(1, nil)
	bigEndian.PutUint32(huge[8:], math.MaxUint32)
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"short header":     {make([]byte, 7), "header"},
		"short body":       {batchFrame(1, nil, call)[:40], "body"},
		"too many records": {long, "records"},
		"huge":             {huge, "length"},
		"unknown code":     {batchFrame(1, nil, padRecord(t, "07")), "code 7"},
		"list number":      {batchFrame(1, nil, padRecord(t, "6e 10")), "list number 16"},
		"sync list number": {batchFrame(1, nil, padRecord(t, "14 0003 04 0000000000000001 10")), "list number 16"},
		"sync kind":        {batchFrame(1, nil, padRecord(t, "14 0003 02")), "kind 2"},
		"entries outside":  {batchFrame(1, make([]byte, 30), padRecord(t, "6e 00 00000000 00000002")), "outside the tail"},
		"offset outside": {batchFrame(1, nil,
			padRecord(t, "0a 0003 0000000000000001 ffffffff ffffffff")), "outside the tail"},
		"endpoint state": {batchFrame(1, append(make([]byte, 11), append([]byte{9}, make([]byte, 12)...)...),
			padRecord(t, "6e 00 00000000 00000001")), "state 9"},
		"status": {batchFrame(1, nil,
			padRecord(t, "32 0003 00000001 00000000 0000 00 00000000 00000000 10")), "status 16"},
		"report": {batchFrame(1, nil,
			padRecord(t, "32 0003 00000001 00000000 0000 00 00000000 00000000 00 00 05")), "report has 5"},
		"destination": {batchFrame(1, nil, nan), "destination"},
	} {
		if _, _, err := ReadBatch(bytes.NewReader(c.in)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that contains %q", name, err, c.want)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got an error of more than one line: %v", name, err)
		}
	}
	if _, _, err := ReadBatch(bytes.NewReader(nil)); err != io.EOF {
		t.Errorf("end of input between frames: got error %v, want io.EOF", err)
	}
}

func TestSettings(t *testing.T) {
	s, err := ParseSettings([]byte(`{"balancers":2,"unknown":[1],"classes":[{"repeat":"dedup","dedup_window_us":5}],
		"limits":{"most_held":7},"specifics":{"calls_out":9,"own_limits":[true]},"safety":{"fall_us":3}}`))
	if err != nil || s.Relays != 2 || s.Classes[0].DedupWindow != 5 || s.Limits.MaxHeld != 7 ||
		s.Specifics.MaxCallsInFlight != 9 || !s.Specifics.SeparateLimits[0] || s.Safety.OverloadTime != 3 || s.OverShareWorth != 1 {
		t.Errorf("got settings %+v, error %v; want the values of the text", s, err)
	}
	for _, bad := range []string{"", "[]", `{"balancers":"two"}`, "{"} {
		if _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("ParseSettings accepted %q", bad)
		}
	}
}

// FuzzReadBatch: no input makes the decoder panic, and it decodes no more events than the input has bytes for.
func FuzzReadBatch(f *testing.F) {
	f.Add(batchFrame(1, nil, padRecord(f, "1e 0003 5d3a91c4"), padRecord(f, "3c 0005 0e6f2b19")))
	f.Add(batchFrame(1, make([]byte, 24),
		padRecord(f, "6e 0f 00000000 00000001"), padRecord(f, "0a 0001 0000000000000001 00000000 00000002")))
	f.Add(batchFrame(9, nil, padRecord(f, "32 0003 00000001 00000000 0000 00 00000000 00000000 fe 00 02")))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, in []byte) {
		_, events, err := ReadBatch(bytes.NewReader(in))
		if err == nil && len(in) < batchHeaderSize+len(events)*eventSize {
			t.Fatalf("got %d events from %d bytes of input", len(events), len(in))
		}
	})
}
