// Package report makes slopes of results: tables, and plots.
package report

import "math"

// Fit is a straight line through measured points, by least squares.
type Fit struct {
	Intercept, Slope float64
	InterceptError   float64 // standard errors; NaN with fewer than three points
	SlopeError       float64
	R2               float64 // share of the variance that the line explains
	N                int
}

// FitLine fits y = Intercept + Slope*x.
func FitLine(x, y []float64) Fit {
	n := float64(len(x))
	f := Fit{N: len(x), SlopeError: math.NaN(), InterceptError: math.NaN()}
	var mx, my float64
	for i := range x {
		mx += x[i] / n
		my += y[i] / n
	}
	var sxx, sxy, syy float64
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
		syy += (y[i] - my) * (y[i] - my)
	}
	if sxx == 0 {
		f.Intercept, f.Slope, f.R2 = my, math.NaN(), math.NaN()
		return f
	}
	f.Slope = sxy / sxx
	f.Intercept = my - f.Slope*mx
	rest := 0.0
	for i := range x {
		d := y[i] - f.Intercept - f.Slope*x[i]
		rest += d * d
	}
	f.R2 = 1
	if syy > 0 {
		f.R2 = 1 - rest/syy
	}
	if n > 2 {
		f.SlopeError = math.Sqrt(rest / (n - 2) / sxx)
		f.InterceptError = math.Sqrt(rest / (n - 2) * (1/n + mx*mx/sxx))
	}
	return f
}

// At is the line's value.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
