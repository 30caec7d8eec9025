package chivemeasure

import "gonum.org/v1/gonum/stat"

// regressionLine is a straight line fitted to measured points.
type regressionLine struct {
	intercept float64
	slope     float64
}

// fitLine returns the line of least squares. For a single point it is horizontal.
func fitLine(x, y []float64) regressionLine {
	if len(x) < 2 {
		return regressionLine{intercept: y[0]}
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	return regressionLine{intercept: intercept, slope: slope}
}
