package relay

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Any body is read from the log as it was written, and its encoded form contains no marker.
func TestEncodedBodiesHoldNoMarkers(t *testing.T) {
	pieces := rapid.SampledFrom([]string{recordMarker, recordMarker[:1], recordMarker[1:], "\x00", "x", "\xf7\x00TRW",
		"TR"})
	rapid.Check(t, func(t *rapid.T) {
		body := []byte(strings.Join(rapid.SliceOf(pieces).Draw(t, "pieces"), ""))
		text, err := (&record{Kind: recordAccepted, ID: "m", body: body}).encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		if n := bytes.Count(text, []byte(recordMarker)); n != 1 {
			t.Fatalf("got %d markers in one encoded record, want 1", n)
		}
		r, size := decodeRecord(text)
		if size != len(text) || !bytes.Equal(r.body, body) || r.BodyEscaped {
			t.Fatalf("decoded body %q, want %q", r.body, body)
		}
		if escaped := escapeMarkers(body); len(escaped) != len(body)+escapeCount(body) {
			t.Fatalf("escaped body has %d bytes, want %d", len(escaped), len(body)+escapeCount(body))
		}
	})
}

// A valid record inside a body is never read as a record, wherever the log is cut or damaged.
func TestRecordInBodyIsNotReplayed(t *testing.T) {
	inner, err := acceptedRecord("ghost", "never handed in").encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	outer := acceptedRecord("m", "before"+string(inner)+"behind")
	text, err := outer.encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for cut := 1; cut < len(text); cut++ {
		w := newFuzzWAL()
		w.replay(text[:cut])
		if len(w.pending) != 0 {
			t.Fatalf("cut at %d of %d: got %d records, want 0", cut, len(text), len(w.pending))
		}
	}
	for at := range text {
		damaged := bytes.Clone(text)
		damaged[at] ^= 0x20
		w := newFuzzWAL()
		w.replay(damaged)
		if w.pending["ghost"] != nil {
			t.Fatalf("damaged at %d: the record inside the body was replayed", at)
		}
	}
	w := newFuzzWAL()
	w.replay(text)
	if r := w.pending["m"]; r == nil || !bytes.Equal(r.rec.body, outer.body) {
		t.Error("the undamaged record was not replayed")
	}
}
