package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"troutusher/internal/rig/experiment"
)

// TestImportGraph: the relay and the simulator's adapter gain nothing from the rig, neither its packages nor its
// libraries.
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
				t.Errorf("%s depends on %s", pkg, name)
			}
		}
	}
	dependencies := listDependencies("troutusher/cmd/hollow")
	for _, name := range rigOnly { // and the words are the right ones
		if !strings.Contains(dependencies, name) {
			t.Errorf("the rig does not depend on %s", name)
		}
	}
}

// TestUsage: bad flags and files end with one line that names the key, and with exit code 2.
func TestUsageErrors(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nsises = [1]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args []string
		key  string
	}{{[]string{"run", bad}, "sises"}, {[]string{"run", "--sed=1", bad}, "--sed"}, {[]string{"run", "nowhere.toml"}, "nowhere.toml"},
		{[]string{"run", "--seed=x", bad}, "--seed"}, {[]string{"registry", "--fault=odd"}, "--fault"},
		{[]string{"registry", "--destinations=0"}, "--destinations"}, {[]string{"report", t.TempDir()}, "no results"}} {
		var stdout, stderr strings.Builder
		code := run(test.args, &stdout, &stderr)
		if code != exitUsage || !strings.Contains(stderr.String(), test.key) || strings.Count(stderr.String(), "\n") != 1 {
			t.Errorf("%v: code %d, %q", test.args, code, stderr.String())
		}
	}
}

// TestExperimentFiles: all that are committed can be read, and have sizes enough for a slope.
func TestExperimentFiles(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/experiments/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("%v, %v", paths, err)
	}
	for _, path := range paths {
		exp, err := experiment.ReadFile(path)
		if err != nil {
			t.Error(err)
		} else if len(exp.Sizes) < 4 {
			t.Errorf("%s: %d sizes", path, len(exp.Sizes))
		}
	}
}
