// Package seeds gives property tests the same seed in every run, so that CI
// gives the same verdict every time.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(seeds.Run(m)) }
//
// A run with other seeds, or with more cases, is asked for on the command line:
//
//	go test ./internal/cell/books -rapid.seed=7 -rapid.checks=100000
package seeds

import "flag"

// Fixed is the seed of a run that names none.
const Fixed = "20261204"

// Runner is what a test binary's main function gets.
type Runner interface{ Run() int }

// Run parses the flags, sets the seed unless one is given, and runs the tests.
func Run(m Runner) int {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if f := flag.Lookup("rapid.seed"); f != nil && !given {
		if err := f.Value.Set(Fixed); err != nil {
			panic(err) // the flag takes every number
		}
	}
	return m.Run()
}
