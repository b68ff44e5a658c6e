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
	deps := func(pkg string) string {
		out, err := exec.Command("go", "list", "-deps", pkg).Output()
		if err != nil {
			t.Fatalf("%s: %v", pkg, err)
		}
		return string(out)
	}
	foreign := []string{"troutusher/internal/rig", "kong", "go-toml", "hdrhistogram", "gonum.org"}
	for _, pkg := range []string{"troutusher/cmd/troutusher", "troutusher/cmd/benchlink"} {
		list := deps(pkg)
		for _, f := range foreign {
			if strings.Contains(list, f) {
				t.Errorf("%s depends on %s", pkg, f)
			}
		}
	}
	list := deps("troutusher/cmd/hollow")
	for _, f := range foreign { // and the words are the right ones
		if !strings.Contains(list, f) {
			t.Errorf("the rig does not depend on %s", f)
		}
	}
}

// TestUsage: bad flags and files end with one line that names the key, and with exit code 2.
func TestUsage(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nsises = [1]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		key  string
	}{{[]string{"run", bad}, "sises"}, {[]string{"run", "--sed=1", bad}, "--sed"}, {[]string{"run", "nowhere.toml"}, "nowhere.toml"},
		{[]string{"run", "--seed=x", bad}, "--seed"}, {[]string{"registry", "--fault=odd"}, "--fault"},
		{[]string{"registry", "--destinations=0"}, "--destinations"}, {[]string{"report", t.TempDir()}, "no results"}} {
		var out, errs strings.Builder
		code := run(c.args, &out, &errs)
		if code != exitUsage || !strings.Contains(errs.String(), c.key) || strings.Count(errs.String(), "\n") != 1 {
			t.Errorf("%v: code %d, %q", c.args, code, errs.String())
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
		x, err := experiment.ReadFile(path)
		if err != nil {
			t.Error(err)
		} else if len(x.Sizes) < 4 {
			t.Errorf("%s: %d sizes", path, len(x.Sizes))
		}
	}
}
