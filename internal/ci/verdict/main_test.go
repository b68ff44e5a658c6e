package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestVerdict: a run passes if exactly the listed tests fail.
func TestVerdict(t *testing.T) {
	const (
		ok          = "ok  \tmod/a\t0.1s\n?   \tmod/c\t[no test files]\n"
		oneFailure  = "time=x --- FAIL: TestX (0.00s)\n    --- FAIL: TestX/sub (0.00s)\nFAIL\nFAIL\tmod/internal/b\t0.2s\nFAIL\n"
		twoFailures = "--- FAIL: TestX (0.00s)\n--- FAIL: TestY (0.00s)\nFAIL\nFAIL\tmod/internal/b\t0.2s\nFAIL\n"
		seedFailure = "--- FAIL: TestX (0.00s)\n--- FAIL: FuzzY (0.00s)\n    --- FAIL: FuzzY/seed#1 (0.00s)\nFAIL\nFAIL\tmod/internal/b\t0.2s\nFAIL\n"
		fuzzFailure = "--- FAIL: FuzzZ (0.02s)\nfuzz: FuzzZ failed\nfuzz: failed\n"
		red         = "internal/b.TestX; the wire is cut; issue 7\n"
	)
	for name, c := range map[string]struct {
		list, output string
		code         int
		want         int
		wantText     string
	}{
		"all tests pass": {"", ok, 0, 0, "passed, 0 known red"},
		"a test fails":   {"", ok + oneFailure, 1, 1, "internal/b.TestX failed"},
		"a listed test fails": {red, ok + oneFailure, 1, 0,
			"known red: internal/b.TestX; the wire is cut; issue 7"},
		"a listed and an unlisted test":   {red, ok + twoFailures, 1, 1, "internal/b.TestY failed"},
		"a listed test and a fuzz seed":   {red, ok + seedFailure, 1, 1, "internal/b.FuzzY failed"},
		"a fuzz target fails":             {"", fuzzFailure + ok, 1, 1, "verdict: fuzz: FuzzZ failed"},
		"a fuzz target and a listed test": {red, fuzzFailure + ok + oneFailure, 1, 1, "verdict: fuzz: FuzzZ failed"},
		"fuzz targets do not build":       {red, "fuzz: failed\n" + ok + oneFailure, 1, 1, "verdict: fuzz: failed"},
		"fuzz targets pass": {"", "fuzz: FuzzZ passed, execs: 2000, a\nfuzz: passed, 1 targets\n" + ok, 0, 0,
			"passed, 0 known red"},
		"same name in another package": {red, strings.Replace(ok+oneFailure, "internal/b", "internal/x", 1), 1, 1,
			"internal/x.TestX failed"},
		"a listed test passes": {red, ok, 0, 1, "is listed as known red and did not fail"},
		"a panic": {red, ok + "--- FAIL: TestX (0.00s)\npanic: oh\nFAIL\tmod/internal/b\t0.2s\n", 1, 1,
			"panic: oh"},
		"a package does not build":  {red, ok + "FAIL\tmod/internal/b [build failed]\n", 1, 1, "failed without a failed test"},
		"no output":                 {"", "", 0, 1, "no package was tested"},
		"exit code without failure": {"", ok, 1, 1, "exited with 1"},
		"a line without an issue":   {"internal/b.TestX; the wire is cut\n", ok + oneFailure, 1, 1, "is not `package.Test"},
		"a line without a cause":    {"internal/b.TestX; ; issue 7\n", ok + oneFailure, 1, 1, "is not `package.Test"},
		"too many lines":            {strings.Repeat(red, 4), ok + oneFailure, 1, 1, "4 lines, 3 at most"},
		"a data race":               {red, ok + "WARNING: DATA RACE\n" + oneFailure, 1, 1, "DATA RACE"},
	} {
		path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
		if c.list != "" {
			if err := os.WriteFile(path, []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		var out strings.Builder
		code, err := run([]string{path, map[int]string{0: "0", 1: "1"}[c.code], "mod"}, strings.NewReader(c.output), &out)
		text := out.String()
		if err != nil {
			text += err.Error()
		}
		if code != c.want || !strings.Contains(text, c.wantText) {
			t.Errorf("%s: got exit code %d, want %d; got output %q, want it to contain %q",
				name, code, c.want, text, c.wantText)
		}
	}
}
