package experiment

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Point holds the figures of one repetition of one size. The name of a figure ends in its unit.
type Point struct {
	Size    int                `json:"size"`
	Turn    int                `json:"turn"` // number of the repetition, from 0
	Figures map[string]float64 `json:"figures"`
}

// Result is the outcome of one run, as it is stored.
type Result struct {
	Experiment Experiment `json:"experiment"`
	Commit     string     `json:"commit"`
	Machine    Machine    `json:"machine"`
	StartedAt  time.Time  `json:"began"`
	TookS      float64    `json:"took_s"`
	PeakMB     float64    `json:"peak_mb"` // largest resident memory of the rig and its relays together
	Points     []Point    `json:"points"`
	Failed     string     `json:"failed,omitempty"` // error that ended the run early; the points are those before it
}

// Machine describes the machine of a run.
type Machine struct {
	CPU      string `json:"cpu"`
	Cores    int    `json:"cores"`
	MemoryMB int64  `json:"memory_mb"`
	OS       string `json:"os"`
	Go       string `json:"go"`
}

// newResult returns a result without points, with the commit and the machine of this run.
func newResult(exp *Experiment) *Result {
	result := &Result{Experiment: *exp, StartedAt: time.Now().UTC().Truncate(time.Second), Commit: "unknown",
		Machine: Machine{Cores: runtime.NumCPU(), OS: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version()}}
	if out, err := exec.Command("git", "describe", "--always", "--dirty").Output(); err == nil {
		result.Commit = strings.TrimSpace(string(out))
	}
	if memory, err := machineMemory(); err == nil {
		result.Machine.MemoryMB = memory >> 20
	}
	if text, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		_, rest, _ := strings.Cut(string(text), "model name")
		line, _, _ := strings.Cut(strings.TrimLeft(rest, "\t :"), "\n")
		result.Machine.CPU = line
	}
	return result
}

// add appends the figures of one repetition of one size.
func (r *Result) add(size, turn int, figures map[string]float64) {
	r.Points = append(r.Points, Point{size, turn, figures})
}

// Write writes the result to a new file in a directory and returns the path.
func (r *Result) Write(dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, fmt.Sprintf("%s-%s.json", r.Experiment.Name, r.StartedAt.Format("20060102T150405")))
	return path, os.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadResults reads all results in the given directories.
func ReadResults(dirs ...string) ([]*Result, error) {
	var results []*Result
	for _, dir := range dirs {
		paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
		if err != nil {
			return nil, err
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				return nil, err
			}
			result := &Result{}
			if err := json.Unmarshal(text, result); err != nil {
				return nil, fmt.Errorf("%s: %w", path, err)
			}
			results = append(results, result)
		}
	}
	if len(results) == 0 {
		return nil, fmt.Errorf("no results in %s", strings.Join(dirs, ", "))
	}
	return results, nil
}

// addQuantiles adds the median, the 99th percentile and the maximum of times to figures, in milliseconds.
func addQuantiles(figures map[string]float64, name string, times []time.Duration) {
	histogram := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	for _, duration := range times {
		histogram.RecordValue(max(duration.Microseconds(), 1))
	}
	for _, quantile := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}, {"last", 100}} {
		figures[name+"_"+quantile.name+"_ms"] = float64(histogram.ValueAtQuantile(quantile.at)) / 1000
	}
}
