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

// Point is what was measured at one size. A figure's name ends in its unit.
type Point struct {
	Size    int                `json:"size"`
	Turn    int                `json:"turn"`
	Figures map[string]float64 `json:"figures"`
}

// Result is all that one run gave.
type Result struct {
	Experiment Experiment `json:"experiment"`
	Commit     string     `json:"commit"`
	Machine    Machine    `json:"machine"`
	Began      time.Time  `json:"began"`
	TookS      float64    `json:"took_s"`
	PeakMB     float64    `json:"peak_mb"` // of the rig and its processes
	Points     []Point    `json:"points"`
	Failed     string     `json:"failed,omitempty"` // why it is partial
}

// Machine is where it was run.
type Machine struct {
	CPU      string `json:"cpu"`
	Cores    int    `json:"cores"`
	MemoryMB int64  `json:"memory_mb"`
	OS       string `json:"os"`
	Go       string `json:"go"`
}

func newResult(x *Experiment) *Result {
	r := &Result{Experiment: *x, Began: time.Now().UTC().Truncate(time.Second), Commit: "unknown",
		Machine: Machine{Cores: runtime.NumCPU(), OS: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version()}}
	if out, err := exec.Command("git", "describe", "--always", "--dirty").Output(); err == nil {
		r.Commit = strings.TrimSpace(string(out))
	}
	if m, err := machineMemory(); err == nil {
		r.Machine.MemoryMB = m >> 20
	}
	if text, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		_, rest, _ := strings.Cut(string(text), "model name")
		line, _, _ := strings.Cut(strings.TrimLeft(rest, "\t :"), "\n")
		r.Machine.CPU = line
	}
	return r
}

func (r *Result) add(size, turn int, figures map[string]float64) {
	r.Points = append(r.Points, Point{size, turn, figures})
}

// Write puts the result into a directory, one file a run, and tells its path.
func (r *Result) Write(dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, fmt.Sprintf("%s-%s.json", r.Experiment.Name, r.Began.Format("20060102T150405")))
	return path, os.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadResults reads all results in directories.
func ReadResults(dirs ...string) ([]*Result, error) {
	var list []*Result
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
			r := &Result{}
			if err := json.Unmarshal(text, r); err != nil {
				return nil, fmt.Errorf("%s: %w", path, err)
			}
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("no results in %s", strings.Join(dirs, ", "))
	}
	return list, nil
}

// spread puts the quantiles of times into figures, in milliseconds.
func spread(figures map[string]float64, name string, times []time.Duration) {
	h := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	for _, t := range times {
		h.RecordValue(max(t.Microseconds(), 1))
	}
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}, {"last", 100}} {
		figures[name+"_"+q.name+"_ms"] = float64(h.ValueAtQuantile(q.at)) / 1000
	}
}
