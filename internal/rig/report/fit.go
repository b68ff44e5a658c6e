// Package report fits lines to the results of experiments, and writes the slopes as a table and as plots.
package report

import "math"

// Fit is a straight line fitted to measured points by least squares.
type Fit struct {
	Intercept, Slope float64
	InterceptError   float64 // standard error of Intercept; NaN with fewer than three points
	SlopeError       float64 // standard error of Slope; NaN with fewer than three points
	R2               float64 // coefficient of determination: the share of the variance that the line explains
	Points           int
}

// FitLine fits y = Intercept + Slope*x. If all x are equal, the slope is NaN and the intercept is the mean of y.
func FitLine(x, y []float64) Fit {
	n := float64(len(x))
	fit := Fit{Points: len(x), SlopeError: math.NaN(), InterceptError: math.NaN()}
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / n
		meanY += y[i] / n
	}
	var sumXX, sumXY, sumYY float64
	for i := range x {
		sumXX += (x[i] - meanX) * (x[i] - meanX)
		sumXY += (x[i] - meanX) * (y[i] - meanY)
		sumYY += (y[i] - meanY) * (y[i] - meanY)
	}
	if sumXX == 0 {
		fit.Intercept, fit.Slope, fit.R2 = meanY, math.NaN(), math.NaN()
		return fit
	}
	fit.Slope = sumXY / sumXX
	fit.Intercept = meanY - fit.Slope*meanX
	residualSum := 0.0
	for i := range x {
		residual := y[i] - fit.Intercept - fit.Slope*x[i]
		residualSum += residual * residual
	}
	fit.R2 = 1
	if sumYY > 0 {
		fit.R2 = 1 - residualSum/sumYY
	}
	if n > 2 {
		fit.SlopeError = math.Sqrt(residualSum / (n - 2) / sumXX)
		fit.InterceptError = math.Sqrt(residualSum / (n - 2) * (1/n + meanX*meanX/sumXX))
	}
	return fit
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
