package report

import (
	"math"
	"os"
	"strings"
	"testing"

	"troutusher/internal/rig/experiment"
)

// TestFitLine checks a fit against figures calculated by hand (x 1..5, y 2, 4, 5, 4, 5: slope 0.6, sum of squared
// residuals 2.4), and the figures that are NaN with too few points.
func TestFitLine(t *testing.T) {
	f := FitLine([]float64{1, 2, 3, 4, 5}, []float64{2, 4, 5, 4, 5})
	for name, v := range map[string][2]float64{"slope": {f.Slope, 0.6}, "intercept": {f.Intercept, 2.2},
		"R2": {f.R2, 0.6}, "slope error": {f.SlopeError, math.Sqrt(0.08)},
		"intercept error": {f.InterceptError, math.Sqrt(0.88)}, "at 10": {f.At(10), 8.2}} {
		if math.Abs(v[0]-v[1]) > 1e-12 {
			t.Errorf("%s: got %v, want %v", name, v[0], v[1])
		}
	}
	if f := FitLine([]float64{1, 2}, []float64{3, 5}); f.Slope != 2 || !math.IsNaN(f.SlopeError) {
		t.Errorf("two points: got %+v, want slope 2 and slope error NaN", f)
	}
	if f := FitLine([]float64{2, 2}, []float64{3, 5}); !math.IsNaN(f.Slope) || f.Intercept != 4 {
		t.Errorf("one size: got %+v, want slope NaN and intercept 4", f)
	}
}

// TestReport checks that runs of one experiment at one commit make one series, that extrapolated values and partial
// runs are marked in the table, and that plots are written.
func TestReport(t *testing.T) {
	result := func(commit, failed string, sizes ...int) *experiment.Result {
		r := &experiment.Result{Experiment: experiment.Experiment{Name: "listed", Unit: "destination", Goal: 100},
			Commit: commit, Failed: failed}
		for _, s := range sizes {
			r.Points = append(r.Points, experiment.Point{Size: s,
				Figures: map[string]float64{"rss_bytes": float64(10 + 3*s)}})
		}
		return r
	}
	series := Collect([]*experiment.Result{result("a", "", 1, 5), result("a", "", 10), result("b", "time over", 1, 100)})
	if len(series) != 2 || len(series[0].X) != 3 {
		t.Fatalf("got %d series, want 2, the first with 3 points", len(series))
	}
	var b strings.Builder
	if err := Table(&b, series); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(b.String(), "\n")
	if !strings.Contains(lines[1], "extrapolated 310") || strings.Contains(lines[1], "partial") {
		t.Errorf("goal not measured: got line %q, want it to say extrapolated 310 and not partial", lines[1])
	}
	if strings.Contains(lines[2], "extrapolated") || !strings.Contains(lines[2], "partial") ||
		!strings.Contains(lines[2], "run") {
		t.Errorf("goal measured in a failed run: got line %q, want it to say run and partial, not extrapolated", lines[2])
	}
	for _, format := range []string{"svg", "png"} {
		path, err := Plot(series[0], t.TempDir(), format)
		if err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(path); err != nil || info.Size() < 1000 {
			t.Errorf("%s: got %v, error %v, want a file of 1000 bytes or more", path, info, err)
		}
	}
}
