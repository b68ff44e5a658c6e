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
	fuzzLogLimit = 1 << 20
	escapeMost   = 6    // bytes that the encoder may make of one byte of a text
	namesMost    = 1024 // bytes of the names of all fields of a record
)

// fuzzLog is a log in memory alone, as recovery reads one file into.
func fuzzLog() *wal {
	w := newWAL(fuzzLogLimit, clock.System(), quietLog())
	w.replaying = true
	return w
}

// fuzzLogSeeds are texts of logs: sound, torn, damaged and of kinds that need others.
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
	sound := encoded(taken("seed-1", "body\n"), &record{Kind: recAttempt, ID: "seed-1", ZoneName: "a"},
		&record{Kind: recOutcome, ID: "seed-1", Ran: true}, &record{Kind: recEnding, ID: "seed-1", Notice: endHandedBack, RetryMS: 20})
	damaged := bytes.Clone(sound)
	damaged[walHead+3] ^= 1
	return [][]byte{
		sound, damaged, sound[:len(sound)-1], nil,
		encoded(&record{Kind: recEnd, ID: "nobody"}, &record{Kind: recOutage, ID: "endpoint"}, &record{Kind: recEndedID, ID: "over"}),
		encoded(clockRecord(clock.Reading{BootID: "a", Now: 5e6, Wall: 1.7e15}), taken("seed-1", "x"), clockRecord(clock.Reading{BootID: "b", Now: 1, Wall: 1.7e15}),
			taken("seed-3", "y"), clockRecord(clock.Reading{Now: -1}), &record{Kind: recClock, ID: clockID}),
		encoded(&record{Kind: "other", ID: "seed-2"}),
		[]byte(walMark), []byte(walMark + "\xff\xff\xff\xff\x00\x00\x00\x00"), []byte(walMark + walMark + walMark),
	}
}

// checkRecordRoundTrip: a record comes back from its bytes as it was, and gives the same bytes again.
func checkRecordRoundTrip(t *testing.T, rec *record) {
	t.Helper()
	text, err := rec.encode(nil)
	if err != nil {
		t.Fatalf("cannot be written: %v", err)
	}
	decoded, size := decodeRecord(text)
	if decoded == nil || size != len(text) {
		t.Fatalf("%d of %d bytes are read again", size, len(text))
	}
	if !bytes.Equal(decoded.body, rec.body) {
		t.Errorf("the body %.100q is read as %.100q", rec.body, decoded.body)
	}
	was, is := *rec, *decoded
	was.body, is.body = nil, nil
	if !reflect.DeepEqual(was, is) {
		t.Errorf("the record\n%+v is read as\n%+v", was, is)
	}
	again, err := decoded.encode(nil)
	if err != nil || !bytes.Equal(text, again) {
		t.Errorf("%.200q is written again as %.200q, %v", text, again, err)
	}
}

// FuzzDecodeRecord: whatever stands behind a sound frame is a record that keeps its
// value through the log, or none. The frame is made here, since no fuzzer guesses a
// checksum.
func FuzzDecodeRecord(f *testing.F) {
	for _, text := range fuzzLogSeeds(f) {
		for rest := text; ; {
			rec, size := decodeRecord(rest)
			if rec == nil {
				break
			}
			f.Add(rest[walHead:size])
			rest = rest[size:]
		}
	}
	f.Add([]byte(`{"kind":"taken","id":""}` + "\n"))
	f.Add([]byte(`{"kind":"taken","id":"a","rules":{"Repeat":200},"outage":{"BadAt":-1}}` + "\nbody"))
	f.Add([]byte(`{"kind":"taken","id":"a","dest":1e3}` + "\n"))
	f.Add([]byte("null\n"))
	f.Add([]byte(`{"kind":"taken","id":"\ud800"}` + "\n"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		if len(payload) > recordMost {
			return
		}
		text := frameOf(payload)
		rec, size := decodeRecord(text)
		if rec == nil {
			if size != 0 {
				t.Errorf("no record in %d bytes", size)
			}
			return
		}
		if size != len(text) || rec.ID == "" {
			t.Fatalf("record %q of %d bytes in a text of %d", rec.ID, size, len(text))
		}
		if _, body, _ := bytes.Cut(payload, []byte{'\n'}); !bytes.Equal(rec.body, body) {
			t.Errorf("the body %.100q is read as %.100q", body, rec.body)
		}
		if _, err := rec.encode(nil); err != nil {
			if escapeMost*len(payload)+namesMost < recordMost {
				t.Errorf("a record of %d bytes cannot be written again: %v", size, err)
			}
			return // written by hand in fewer bytes than the log's own encoder takes
		}
		checkRecordRoundTrip(t, rec)
		for n := range min(len(text), walHead+1) {
			if cut, _ := decodeRecord(text[:len(text)-1-n]); cut != nil {
				t.Errorf("a record of %d bytes is read from %d", len(text), len(text)-1-n)
			}
		}
	})
}

// frameOf puts a payload into a frame whose length and checksum are right.
func frameOf(payload []byte) []byte {
	text := append([]byte(walMark), 0, 0, 0, 0, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(text[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(text[8:], crc32.ChecksumIEEE(payload))
	return append(text, payload...)
}

// FuzzRecoverLog: the sound records before a damaged stretch of a log are recovered,
// and so are those behind it, in their order.
func FuzzRecoverLog(f *testing.F) {
	for _, text := range fuzzLogSeeds(f) {
		f.Add(text, uint8(3))
	}
	f.Fuzz(func(t *testing.T, damage []byte, count uint8) {
		const before, behind = "recover-before-%d", "recover-behind-%d"
		each := int(count % 8)
		var text []byte
		text = appendTaken(t, text, before, each)
		text = append(text, damage...)
		text = appendTaken(t, text, behind, each)
		log := fuzzLog()
		log.replay(text)
		for _, name := range []string{before, behind} {
			last := 0
			for i := range each {
				found := log.live[fmt.Sprintf(name, i)]
				if found == nil {
					t.Fatalf("%s is lost", fmt.Sprintf(name, i))
				}
				if string(found.rec.body) != found.rec.ID || found.seq <= last {
					t.Errorf("%s: body %q, order %d behind %d", found.rec.ID, found.rec.body, found.seq, last)
				}
				last = found.seq
			}
		}
		checkOwedBytes(t, log)
	})
}

// appendTaken appends records of messages whose names and bodies are made by a format.
func appendTaken(t *testing.T, text []byte, format string, count int) []byte {
	t.Helper()
	for i := range count {
		id := fmt.Sprintf(format, i)
		var err error
		if text, err = taken(id, id).encode(text); err != nil {
			t.Fatal(err)
		}
	}
	return text
}

// checkOwedBytes: the sum of what live records need is that of the records that there are.
func checkOwedBytes(t *testing.T, log *wal) {
	t.Helper()
	sum := int64(0)
	for _, records := range []map[string]*liveRecord{log.live, log.out, log.over} {
		for id, live := range records {
			if live.rec.ID != id {
				t.Errorf("record of %q under %q", live.rec.ID, id)
			}
			sum += live.size
		}
	}
	if sum != log.owed {
		t.Errorf("records need %d bytes, %d are booked", sum, log.owed)
	}
}
