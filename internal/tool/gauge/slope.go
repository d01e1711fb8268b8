// Package gauge measures what each role costs at several sizes, fits a line
// through the points, and works out the cost at the size that the users plan
// for in two years.
//
// The page docs/CAPACITY.md is made from docs/capacity.json, the output of one
// run, by the arithmetic in this package; a test checks that it still follows.
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

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a line fitted through measured points: y = Base + PerX * x.
type Slope struct {
	Name   string  `json:"name"`
	X      string  `json:"xUnit"`
	Y      string  `json:"yUnit"`
	Points []Point `json:"points"`
	Base   float64 `json:"base"`
	PerX   float64 `json:"perX"`
	Spread float64 `json:"spread"` // standard deviation of the points from the line, as a share of their mean
}

// minPoints is how many sizes a slope needs at the least.
const minPoints = 3

// Fit returns the slope through the points. It panics with fewer than three,
// because two points fit every line.
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

// At returns the value of the line at x, and 0 where the line is below it.
func (s Slope) At(x float64) float64 { return max(s.Base+s.PerX*x, 0) }

// Range returns the smallest and largest measured size.
func (s Slope) Range() (low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for _, p := range s.Points {
		low, high = min(low, p.X), max(high, p.X)
	}
	return low, high
}
