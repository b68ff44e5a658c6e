package experiment

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"
)

const good = "name = \"x\"\nkind = \"listed\"\nunit = \"destination\"\nsizes = [1, 2]\n"

// TestParseIsStrict: an unknown key or a wrong value gives one line that names the key.
func TestParseIsStrict(t *testing.T) {
	if x, err := Parse([]byte(good)); err != nil || x.Turns != 1 || x.Limits.Seconds == 0 {
		t.Fatalf("%+v, %v", x, err)
	}
	for text, key := range map[string]string{
		good + "sized = 3\n":                                "sized",
		good + "[relay]\nmemory = 3\n":                      "relay.memory",
		good + "seed = \"one\"\n":                           "seed",
		good + "[load]\nconns = 0\n":                        "load.conns",
		good + "[limits]\nseconds = -1\n":                   "limits.seconds",
		strings.Replace(good, "listed", "lsted", 1):         "kind",
		strings.Replace(good, "name", "\nturns=0\nname", 1): "turns",
		strings.Replace(good, "[1, 2]", "[]", 1):            "sizes",
		good + "[relay\n":                                   "line 5",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want one line with %q", text, err, key)
		}
	}
}

// TestLimits: a run ends when its time is over or too much memory is used, and cannot ask for more than there is.
func TestLimits(t *testing.T) {
	runners["wait"] = func(ctx context.Context, _ *Experiment, res *Result, _ *guard, _ *slog.Logger) error {
		res.add(1, 0, map[string]float64{"x": 1})
		<-ctx.Done()
		return ctx.Err()
	}
	defer delete(runners, "wait")
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for key, l := range map[string]Limits{"limits.seconds": {Seconds: 1, MemoryMB: 4096, Processes: 1}, "limits.memory_mb": {Seconds: 600, MemoryMB: 1, Processes: 1}} {
		res, err := Run(context.Background(), &Experiment{Kind: "wait", Limits: l}, log)
		if err == nil || !strings.Contains(err.Error(), key) || res.Failed == "" || len(res.Points) != 1 {
			t.Errorf("%s: %v, %+v", key, err, res)
		}
	}
	if _, err := Run(context.Background(), &Experiment{Kind: "wait", Limits: Limits{Seconds: 1, MemoryMB: 1 << 30}}, log); err == nil {
		t.Error("more memory than the machine has was granted")
	}
	g, err := newGuard(context.Background(), &Limits{Seconds: 600, MemoryMB: 1024})
	if err != nil {
		t.Fatal(err)
	}
	defer g.stop()
	if _, err := g.start(nil); err == nil || !strings.Contains(err.Error(), "limits.processes") {
		t.Errorf("a process too many: %v", err)
	}
}

// TestSpread: quantiles are those of the times given.
func TestSpread(t *testing.T) {
	var times []time.Duration
	for i := range 1000 {
		times = append(times, time.Duration(i+1)*time.Millisecond)
	}
	f := map[string]float64{}
	spread(f, "t", times)
	for name, want := range map[string]float64{"t_p50_ms": 500, "t_p99_ms": 990, "t_last_ms": 1000} {
		if got := f[name]; got < want*0.999 || got > want*1.002 {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
}
