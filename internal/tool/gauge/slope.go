// Package gauge is a capacity model. It measures the cost of each role at several
// sizes, fits a line through the points, and extrapolates to the size that the
// users plan for in two years.
//
// The tables of docs/CAPACITY.md are generated from docs/capacity.json, the output
// of one run. A test checks that they match.
//
// # Usage
//
//	slopes, err := gauge.Measure(ctx, gauge.Config{Progress: os.Stderr})
//	gauge.Write(os.Stdout, slopes)
package gauge

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is the cost Y measured at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a line fitted through measured points: y = Base + PerX*x.
type Slope struct {
	Name   string  `json:"name"`
	X      string  `json:"xUnit"`
	Y      string  `json:"yUnit"`
	Points []Point `json:"points"`
	Base   float64 `json:"base"`
	PerX   float64 `json:"perX"`
	Spread float64 `json:"spread"` // root mean square deviation of the points from the line, relative to their mean
}

// minPoints is the minimum number of points of a slope.
const minPoints = 3

// Fit returns the least-squares line through the points. It panics with fewer
// than three points, because two always lie on a line and hide the error.
func Fit(name, x, y string, points []Point) Slope {
	if len(points) < minPoints {
		panic(fmt.Sprintf("gauge: slope %q has %d points", name, len(points)))
	}
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	s := Slope{Name: name, X: x, Y: y, Points: points}
	s.Base, s.PerX = stat.LinearRegression(xs, ys, nil, false)
	var squares float64
	for _, p := range points {
		d := p.Y - s.At(p.X)
		squares += d * d
	}
	if mean := stat.Mean(ys, nil); mean != 0 {
		s.Spread = math.Sqrt(squares/float64(len(points))) / math.Abs(mean)
	}
	return s
}

// At returns the value of the line at x, or 0 if it is negative.
func (s Slope) At(x float64) float64 { return max(s.Base+s.PerX*x, 0) }

// Range returns the smallest and largest measured sizes.
func (s Slope) Range() (low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for _, p := range s.Points {
		low, high = min(low, p.X), max(high, p.X)
	}
	return low, high
}
