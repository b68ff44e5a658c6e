package wallclock

import (
	"path/filepath"
	"slices"
	"testing"
)

// exceptions are directories that may use package time: a relay does not depend on them.
var exceptions = []string{
	"internal/clock", // implements the clock
	"internal/ci",    // checks of the build
	"internal/rig",   // measures relays from the outside
	"cmd/hollow",     // the rig's command
}

// TestRelayCodeUsesMonotonicClock: the code of a relay reads the time through package clock only.
func TestRelayCodeUsesMonotonicClock(t *testing.T) {
	files, err := Files(filepath.Join("..", "..", ".."), exceptions)
	if err != nil {
		t.Fatal(err)
	}
	if len(files) < 30 {
		t.Fatalf("got %d files to check, want at least 30", len(files))
	}
	for _, path := range files {
		findings, err := Check(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range findings {
			t.Errorf("%v", f)
		}
	}
}

// TestBadSample: the check reports each forbidden use in the sample, and nothing else.
func TestBadSample(t *testing.T) {
	findings, err := Check(filepath.Join("testdata", "bad.go"))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, f := range findings {
		got = append(got, f.Call)
	}
	want := []string{"time.Now", ".UnixMicro", "now.Round", "time.UnixMicro", "stripped.UnixNano", "time.Until",
		"sameTime.Since",
		".Unix", "later.UTC", "time.Now"}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("got findings %q, want %q", got, want)
	}
}
