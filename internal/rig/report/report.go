package report

import (
	"fmt"
	"io"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"troutusher/internal/rig/experiment"
)

// Series holds the values of one figure from all runs of one experiment at one commit.
type Series struct {
	Name, Commit, Unit, Figure string
	X, Y                       []float64
	Goal                       float64
	Partial                    bool // at least one of the runs failed
}

// Largest returns the largest measured size.
func (s *Series) Largest() float64 { return slices.Max(s.X) }

// Collect groups results into series by experiment, commit and figure, and sorts them by experiment and commit.
func Collect(results []*experiment.Result) []*Series {
	byKey := map[[3]string]*Series{}
	var keys [][3]string
	for _, result := range results {
		exp := &result.Experiment
		for _, point := range result.Points {
			for _, figure := range slices.Sorted(maps.Keys(point.Figures)) {
				key := [3]string{exp.Name, result.Commit, figure}
				series := byKey[key]
				if series == nil {
					series = &Series{Name: exp.Name, Commit: result.Commit, Unit: exp.Unit, Figure: figure}
					byKey[key] = series
					keys = append(keys, key)
				}
				series.X, series.Y = append(series.X, float64(point.Size)), append(series.Y, point.Figures[figure])
				series.Goal = max(series.Goal, exp.Goal)
				series.Partial = series.Partial || result.Failed != ""
			}
		}
	}
	slices.SortStableFunc(keys, func(a, b [3]string) int { return strings.Compare(a[0]+" "+a[1], b[0]+" "+b[1]) })
	var collected []*Series
	for _, key := range keys {
		collected = append(collected, byKey[key])
	}
	return collected
}

// Table writes a line for each series: the fit with its standard errors, the mean of the values measured at the
// largest size, and, if the goal is above the largest size, the value of the fit at the goal, marked as extrapolated.
func Table(w io.Writer, series []*Series) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "experiment\tcommit\tfigure\tslope\t± error\tintercept\t± error\tR²\tsizes\tlargest size\tmeasured there\tgoal\tat the goal\t")
	for _, s := range series {
		fit := FitLine(s.X, s.Y)
		sum, count := 0.0, 0.0
		sizes := map[float64]bool{}
		for i, x := range s.X {
			sizes[x] = true
			if x == s.Largest() {
				sum += s.Y[i]
				count++
			}
		}
		name := s.Name
		if s.Partial {
			name += " (partial)"
		}
		goal, atGoal := "", ""
		switch {
		case s.Goal > s.Largest():
			goal, atGoal = formatNumber(s.Goal), "extrapolated "+formatNumber(fit.At(s.Goal))
		case s.Goal > 0:
			goal, atGoal = formatNumber(s.Goal), "run"
		}
		fmt.Fprintf(table, "%s\t%s\t%s per %s\t%s\t%s\t%s\t%s\t%.3f\t%d\t%s\t%s\t%s\t%s\t\n",
			name, s.Commit, s.Figure, s.Unit, formatNumber(fit.Slope), formatNumber(fit.SlopeError),
			formatNumber(fit.Intercept), formatNumber(fit.InterceptError), fit.R2, len(sizes),
			formatNumber(s.Largest()), formatNumber(sum/count), goal, atGoal)
	}
	return table.Flush()
}

// formatNumber formats a number with four significant digits, and whole numbers and those from 1000 on without
// decimals.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "-"
	case a >= 1000 || v == math.Trunc(v):
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

// Plot draws a series and its fit up to the goal into a file in dir, and returns the path. The format is png or svg.
func Plot(series *Series, dir, format string) (string, error) {
	canvas := plot.New()
	canvas.Title.Text = series.Name + " at " + series.Commit
	canvas.X.Label.Text, canvas.Y.Label.Text = series.Unit, series.Figure
	points := make(plotter.XYs, len(series.X))
	for i := range series.X {
		points[i] = plotter.XY{X: series.X[i], Y: series.Y[i]}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return "", fmt.Errorf("%s: %w", series.Figure, err)
	}
	canvas.Add(plotter.NewGrid(), scatter)
	canvas.Legend.Add("measured", scatter)
	if fit := FitLine(series.X, series.Y); !math.IsNaN(fit.Slope) {
		for _, segment := range []struct {
			name     string
			from, to float64
			dashed   bool
		}{{"fit", slices.Min(series.X), series.Largest(), false}, {"extrapolated", series.Largest(), series.Goal, true}} {
			if segment.to <= segment.from {
				continue
			}
			line, err := plotter.NewLine(plotter.XYs{{X: segment.from, Y: fit.At(segment.from)},
				{X: segment.to, Y: fit.At(segment.to)}})
			if err != nil {
				return "", fmt.Errorf("%s: %w", series.Figure, err)
			}
			if segment.dashed {
				line.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
			}
			canvas.Add(line)
			canvas.Legend.Add(segment.name, line)
		}
	}
	canvas.Legend.Top, canvas.Legend.Left = true, true
	path := filepath.Join(dir, fmt.Sprintf("%s-%s-%s.%s", series.Name, series.Commit, series.Figure, format))
	return path, canvas.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}
