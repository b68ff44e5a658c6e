package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"troutusher/internal/rig/experiment"
)

// TestImportGraph checks that the relay and the simulator's adapter import neither packages of the rig nor libraries
// that only the rig uses.
func TestImportGraph(t *testing.T) {
	listDependencies := func(pkg string) string {
		out, err := exec.Command("go", "list", "-deps", pkg).Output()
		if err != nil {
			t.Fatalf("%s: %v", pkg, err)
		}
		return string(out)
	}
	rigOnly := []string{"troutusher/internal/rig", "kong", "go-toml", "hdrhistogram", "gonum.org"}
	for _, pkg := range []string{"troutusher/cmd/troutusher", "troutusher/cmd/benchlink"} {
		dependencies := listDependencies(pkg)
		for _, name := range rigOnly {
			if strings.Contains(dependencies, name) {
				t.Errorf("%s depends on %s, want no dependency on the rig or its libraries", pkg, name)
			}
		}
	}
	dependencies := listDependencies("troutusher/cmd/hollow")
	for _, name := range rigOnly { // a name that the rig itself does not import would make the check above pointless
		if !strings.Contains(dependencies, name) {
			t.Errorf("cmd/hollow does not depend on %s, want all of these names among its dependencies", name)
		}
	}
}

// TestUsageErrors checks that bad flags and files give a single line that names the flag, key or file, and exit code
// 2.
func TestUsageErrors(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nsises = [1]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args []string
		key  string
	}{{[]string{"run", bad}, "sises"}, {[]string{"run", "--sed=1", bad}, "--sed"},
		{[]string{"run", "nowhere.toml"}, "nowhere.toml"}, {[]string{"run", "--seed=x", bad}, "--seed"},
		{[]string{"registry", "--fault=odd"}, "--fault"}, {[]string{"registry", "--destinations=0"}, "--destinations"},
		{[]string{"report", t.TempDir()}, "no results"},
		{[]string{"peers", "odd"}, "odd"}, {[]string{"peers", "ping", "--for=-1s"}, "--for"}} {
		var stdout, stderr strings.Builder
		code := run(test.args, &stdout, &stderr)
		if code != exitUsage || !strings.Contains(stderr.String(), test.key) || strings.Count(stderr.String(), "\n") != 1 {
			t.Errorf("%v: got exit code %d and output %q, want code 2 and one line", test.args, code, stderr.String())
		}
	}
}

// TestExperimentFiles checks that all experiments under deploy/experiments can be read and have at least four sizes,
// so that a slope with its error can be fitted.
func TestExperimentFiles(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/experiments/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got files %v, error %v, want at least one file", paths, err)
	}
	for _, path := range paths {
		exp, err := experiment.ReadFile(path)
		if err != nil {
			t.Error(err)
		} else if len(exp.Sizes) < 4 {
			t.Errorf("%s: got %d sizes, want 4 or more", path, len(exp.Sizes))
		}
	}
}
