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

// Series is one figure of all runs of one experiment at one commit.
type Series struct {
	Name, Commit, Unit, Figure string
	X, Y                       []float64
	Goal                       float64
	Partial                    bool // a run of it failed
}

// Largest is the largest size that was run.
func (s *Series) Largest() float64 { return slices.Max(s.X) }

// Collect sorts results into series: by experiment, commit and figure.
func Collect(results []*experiment.Result) []*Series {
	byKey := map[[3]string]*Series{}
	var keys [][3]string
	for _, r := range results {
		x := &r.Experiment
		for _, p := range r.Points {
			for _, figure := range slices.Sorted(maps.Keys(p.Figures)) {
				key := [3]string{x.Name, r.Commit, figure}
				s := byKey[key]
				if s == nil {
					s = &Series{Name: x.Name, Commit: r.Commit, Unit: x.Unit, Figure: figure}
					byKey[key] = s
					keys = append(keys, key)
				}
				s.X, s.Y = append(s.X, float64(p.Size)), append(s.Y, p.Figures[figure])
				s.Goal = max(s.Goal, x.Goal)
				s.Partial = s.Partial || r.Failed != ""
			}
		}
	}
	slices.SortStableFunc(keys, func(a, b [3]string) int { return strings.Compare(a[0]+" "+a[1], b[0]+" "+b[1]) })
	var list []*Series
	for _, k := range keys {
		list = append(list, byKey[k])
	}
	return list
}

// Table writes a line for each series: the fit with its standard errors, what was measured at the largest size
// that was run, and what the line says for the goal. That is marked as worked out where the goal was not run.
func Table(w io.Writer, series []*Series) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "experiment\tcommit\tfigure\tslope\t± error\tat none\t± error\tR²\tsizes\tlargest run\tmeasured there\tgoal\tat the goal\t")
	for _, s := range series {
		f := FitLine(s.X, s.Y)
		sum, n := 0.0, 0.0
		sizes := map[float64]bool{}
		for i, x := range s.X {
			sizes[x] = true
			if x == s.Largest() {
				sum += s.Y[i]
				n++
			}
		}
		name := s.Name
		if s.Partial {
			name += " (partial)"
		}
		goal, at := "", ""
		switch {
		case s.Goal > s.Largest():
			goal, at = num(s.Goal), "extrapolated "+num(f.At(s.Goal))
		case s.Goal > 0:
			goal, at = num(s.Goal), "run"
		}
		fmt.Fprintf(t, "%s\t%s\t%s per %s\t%s\t%s\t%s\t%s\t%.3f\t%d\t%s\t%s\t%s\t%s\t\n", name, s.Commit, s.Figure, s.Unit, num(f.Slope),
			num(f.SlopeError), num(f.Intercept), num(f.InterceptError), f.R2, len(sizes), num(s.Largest()), num(sum/n), goal, at)
	}
	return t.Flush()
}

// num writes a number with four digits that count.
func num(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "-"
	case a >= 1000 || v == math.Trunc(v):
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

// Plot draws a series with its line, up to the goal, as PNG or SVG by the format's name, and tells the path.
func Plot(s *Series, dir, format string) (string, error) {
	p := plot.New()
	p.Title.Text = s.Name + " at " + s.Commit
	p.X.Label.Text, p.Y.Label.Text = s.Unit, s.Figure
	pts := make(plotter.XYs, len(s.X))
	for i := range s.X {
		pts[i] = plotter.XY{X: s.X[i], Y: s.Y[i]}
	}
	dots, err := plotter.NewScatter(pts)
	if err != nil {
		return "", fmt.Errorf("%s: %w", s.Figure, err)
	}
	p.Add(plotter.NewGrid(), dots)
	p.Legend.Add("measured", dots)
	if f := FitLine(s.X, s.Y); !math.IsNaN(f.Slope) {
		for _, part := range []struct {
			name     string
			from, to float64
			dashed   bool
		}{{"fit", slices.Min(s.X), s.Largest(), false}, {"extrapolated", s.Largest(), s.Goal, true}} {
			if part.to <= part.from {
				continue
			}
			line, err := plotter.NewLine(plotter.XYs{{X: part.from, Y: f.At(part.from)}, {X: part.to, Y: f.At(part.to)}})
			if err != nil {
				return "", fmt.Errorf("%s: %w", s.Figure, err)
			}
			if part.dashed {
				line.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
			}
			p.Add(line)
			p.Legend.Add(part.name, line)
		}
	}
	p.Legend.Top, p.Legend.Left = true, true
	path := filepath.Join(dir, fmt.Sprintf("%s-%s-%s.%s", s.Name, s.Commit, s.Figure, format))
	return path, p.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}
