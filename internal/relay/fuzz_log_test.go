package relay

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"reflect"
	"testing"

	"troutusher/internal/clock"
)

const (
	fuzzLogLimitBytes  = 1 << 20
	maxJSONExpansion   = 6    // bytes that JSON encoding may make of one byte of a string
	maxFieldNamesBytes = 1024 // more than the names of all fields of a record
)

// newFuzzWAL returns a log without a file, as recovery uses it to replay one.
func newFuzzWAL() *wal {
	w := newWAL(fuzzLogLimitBytes, clock.System(), discardLogger())
	w.replaying = true
	return w
}

// fuzzLogSeeds returns contents of log files: valid, torn, damaged, and records that lack the ones they refer to.
func fuzzLogSeeds(f *testing.F) [][]byte {
	f.Helper()
	encoded := func(recs ...*record) (text []byte) {
		for _, rec := range recs {
			var err error
			if text, err = rec.encode(text); err != nil {
				f.Fatal(err)
			}
		}
		return text
	}
	valid := encoded(acceptedRecord("seed-1", "body\n"), &record{Kind: recordAttempt, ID: "seed-1", ZoneName: "a"},
		&record{Kind: recordOutcome, ID: "seed-1", MayHaveRun: true},
		&record{Kind: recordEnding, ID: "seed-1", Notice: noticeHandedBack, RetryMS: 20})
	damaged := bytes.Clone(valid)
	damaged[recordHeaderBytes+3] ^= 1
	return [][]byte{
		valid, damaged, valid[:len(valid)-1], nil,
		encoded(&record{Kind: recordEnd, ID: "nobody"}, &record{Kind: recordOutage, ID: "endpoint"},
			&record{Kind: recordEndedID, ID: "over"}),
		encoded(newClockRecord(clock.Reading{BootID: "a", Now: 5e6, Wall: 1.7e15}), acceptedRecord("seed-1", "x"),
			newClockRecord(clock.Reading{BootID: "b", Now: 1, Wall: 1.7e15}),
			acceptedRecord("seed-3", "y"), newClockRecord(clock.Reading{Now: -1}),
			&record{Kind: recordClock, ID: clockRecordID}),
		encoded(&record{Kind: "other", ID: "seed-2"}),
		[]byte(recordMarker), []byte(recordMarker + "\xff\xff\xff\xff\x00\x00\x00\x00"),
		[]byte(recordMarker + recordMarker + recordMarker),
	}
}

// checkRecordRoundTrip checks that an encoded record decodes to the same record and encodes to the same bytes again.
func checkRecordRoundTrip(t *testing.T, rec *record) {
	t.Helper()
	text, err := rec.encode(nil)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	decoded, size := decodeRecord(text)
	if decoded == nil || size != len(text) {
		t.Fatalf("decoded %d of %d bytes", size, len(text))
	}
	if !bytes.Equal(decoded.body, rec.body) {
		t.Errorf("body %.100q decoded as %.100q", rec.body, decoded.body)
	}
	want, got := *rec, *decoded
	want.body, got.body = nil, nil
	if !reflect.DeepEqual(want, got) {
		t.Errorf("record\n%+v decoded as\n%+v", want, got)
	}
	again, err := decoded.encode(nil)
	if err != nil || !bytes.Equal(text, again) {
		t.Errorf("%.200q encoded again as %.200q, err %v", text, again, err)
	}
}

// FuzzDecodeRecord: any payload in a valid frame decodes to a record that survives a round trip, or to
// none. The test builds the frame, since a fuzzer does not guess checksums.
func FuzzDecodeRecord(f *testing.F) {
	for _, text := range fuzzLogSeeds(f) {
		for rest := text; ; {
			rec, size := decodeRecord(rest)
			if rec == nil {
				break
			}
			f.Add(rest[recordHeaderBytes:size])
			rest = rest[size:]
		}
	}
	f.Add([]byte(`{"kind":"taken","id":""}` + "\n"))
	f.Add([]byte(`{"kind":"taken","id":"a","rules":{"Repeat":200},"outage":{"BadAt":-1}}` + "\nbody"))
	f.Add([]byte(`{"kind":"taken","id":"a","dest":1e3}` + "\n"))
	f.Add([]byte("null\n"))
	f.Add([]byte(`{"kind":"taken","id":"\ud800"}` + "\n"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		if len(payload) > maxRecordBytes {
			return
		}
		text := framePayload(payload)
		rec, size := decodeRecord(text)
		if rec == nil {
			if size != 0 {
				t.Errorf("got size %d without a record, want 0", size)
			}
			return
		}
		if size != len(text) || rec.ID == "" {
			t.Fatalf("got record %q of %d bytes, want an id and %d bytes", rec.ID, size, len(text))
		}
		if _, body, _ := bytes.Cut(payload, []byte{'\n'}); !bytes.Equal(rec.body, body) {
			t.Errorf("body %.100q decoded as %.100q", body, rec.body)
		}
		if _, err := rec.encode(nil); err != nil {
			if maxJSONExpansion*len(payload)+maxFieldNamesBytes < maxRecordBytes {
				t.Errorf("record of %d bytes cannot be encoded again: %v", size, err)
			}
			return // the payload was shorter than its own encoding
		}
		checkRecordRoundTrip(t, rec)
		for n := range min(len(text), recordHeaderBytes+1) {
			if cut, _ := decodeRecord(text[:len(text)-1-n]); cut != nil {
				t.Errorf("record of %d bytes decoded from %d", len(text), len(text)-1-n)
			}
		}
	})
}

// framePayload returns a payload in a frame with its length and checksum.
func framePayload(payload []byte) []byte {
	text := append([]byte(recordMarker), 0, 0, 0, 0, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(text[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(text[8:], crc32.ChecksumIEEE(payload))
	return append(text, payload...)
}

// FuzzRecoverLog: all valid records before and after a damaged part of a log are recovered, in order.
func FuzzRecoverLog(f *testing.F) {
	for _, text := range fuzzLogSeeds(f) {
		f.Add(text, uint8(3))
	}
	f.Fuzz(func(t *testing.T, damage []byte, count uint8) {
		const before, after = "recover-before-%d", "recover-behind-%d"
		perSide := int(count % 8)
		var text []byte
		text = appendAccepted(t, text, before, perSide)
		text = append(text, damage...)
		text = appendAccepted(t, text, after, perSide)
		log := newFuzzWAL()
		log.replay(text)
		for _, name := range []string{before, after} {
			last := 0
			for i := range perSide {
				found := log.pending[fmt.Sprintf(name, i)]
				if found == nil {
					t.Fatalf("%s is lost", fmt.Sprintf(name, i))
				}
				if string(found.rec.body) != found.rec.ID || found.seq <= last {
					t.Errorf("%s: got body %q, and sequence number %d after %d", found.rec.ID, found.rec.body, found.seq, last)
				}
				last = found.seq
			}
		}
		checkReservedBytes(t, log)
	})
}

// appendAccepted appends encoded records that accept messages; a format makes the id, which is the body too.
func appendAccepted(t *testing.T, text []byte, format string, count int) []byte {
	t.Helper()
	for i := range count {
		id := fmt.Sprintf(format, i)
		var err error
		if text, err = acceptedRecord(id, id).encode(text); err != nil {
			t.Fatal(err)
		}
	}
	return text
}

// checkReservedBytes checks that the reserved bytes of the log are the sum over its records.
func checkReservedBytes(t *testing.T, log *wal) {
	t.Helper()
	sum := int64(0)
	for _, records := range []map[string]*liveRecord{log.pending, log.outagesByEndpoint, log.endedByID} {
		for id, live := range records {
			if live.rec.ID != id {
				t.Errorf("record of %q stored under %q", live.rec.ID, id)
			}
			sum += live.reservedBytes
		}
	}
	if sum != log.reservedBytes {
		t.Errorf("records need %d bytes, but %d are reserved", sum, log.reservedBytes)
	}
}
