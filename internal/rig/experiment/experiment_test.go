package experiment

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"
)

const validFile = "name = \"x\"\nkind = \"listed\"\nunit = \"destination\"\nsizes = [1, 2]\n"

// TestParseRejectsUnknownKeysAndBadValues checks that an unknown key and a bad value each give an error of one line
// that names the key.
func TestParseRejectsUnknownKeysAndBadValues(t *testing.T) {
	if x, err := Parse([]byte(validFile)); err != nil || x.Turns != 1 || x.Limits.Seconds == 0 {
		t.Fatalf("valid file: got %+v, error %v, want one turn and a time limit", x, err)
	}
	for text, key := range map[string]string{
		validFile + "sized = 3\n":                                "sized",
		validFile + "[relay]\nmemory = 3\n":                      "relay.memory",
		validFile + "seed = \"one\"\n":                           "seed",
		validFile + "[load]\nconns = 0\n":                        "load.conns",
		validFile + "[limits]\nseconds = -1\n":                   "limits.seconds",
		strings.Replace(validFile, "listed", "lsted", 1):         "kind",
		strings.Replace(validFile, "name", "\nturns=0\nname", 1): "turns",
		strings.Replace(validFile, "[1, 2]", "[]", 1):            "sizes",
		validFile + "[relay\n":                                   "line 5",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want one line with %q", text, err, key)
		}
	}
}

// TestLimits checks that a run ends when it exceeds its limit of time or memory, that a limit above the machine's
// memory is rejected, and that no more relays start than the limit of processes allows.
func TestLimits(t *testing.T) {
	runFuncs["wait"] = func(ctx context.Context, _ *Experiment, result *Result, _ *resourceLimiter,
		_ *slog.Logger) error {
		result.add(1, 0, map[string]float64{"x": 1})
		<-ctx.Done()
		return ctx.Err()
	}
	defer delete(runFuncs, "wait")
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for key, limits := range map[string]Limits{"limits.seconds": {Seconds: 1, MemoryMB: 4096, Processes: 1},
		"limits.memory_mb": {Seconds: 600, MemoryMB: 1, Processes: 1}} {
		result, err := Run(context.Background(), &Experiment{Kind: "wait", Limits: limits}, log)
		if err == nil || !strings.Contains(err.Error(), key) || result.Failed == "" || len(result.Points) != 1 {
			t.Errorf("%s: got error %v and result %+v, want an error with the key and one point", key, err, result)
		}
	}
	if _, err := Run(context.Background(), &Experiment{Kind: "wait",
		Limits: Limits{Seconds: 1, MemoryMB: 1 << 30}}, log); err == nil {
		t.Error("got no error for a memory limit above the machine's memory")
	}
	limiter, err := newResourceLimiter(context.Background(), &Limits{Seconds: 600, MemoryMB: 1024})
	if err != nil {
		t.Fatal(err)
	}
	defer limiter.stop()
	if _, err := limiter.startRelay(nil); err == nil || !strings.Contains(err.Error(), "limits.processes") {
		t.Errorf("start of a relay above the limit of processes: got error %v, want one with limits.processes", err)
	}
}

// TestQuantiles checks the quantiles of the times 1 ms, 2 ms and so on up to 1000 ms.
func TestQuantiles(t *testing.T) {
	var times []time.Duration
	for i := range 1000 {
		times = append(times, time.Duration(i+1)*time.Millisecond)
	}
	f := map[string]float64{}
	addQuantiles(f, "t", times)
	for name, want := range map[string]float64{"t_p50_ms": 500, "t_p99_ms": 990, "t_last_ms": 1000} {
		if got := f[name]; got < want*0.999 || got > want*1.002 {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
}
