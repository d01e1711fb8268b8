// Package seeds runs property tests with a fixed seed, so that CI results are
// reproducible.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(seeds.Run(m)) }
//
// Command-line flags select another seed or more cases:
//
//	go test ./internal/cell/alloc -rapid.seed=7 -rapid.checks=100000
package seeds

import "flag"

// DefaultSeed is the seed of package rapid (pgregory.net/rapid) if -rapid.seed is
// not given. Its value is arbitrary.
const DefaultSeed = "20261204"

// Runner is implemented by *testing.M.
type Runner interface{ Run() int }

// Run parses the flags, sets the default seed unless -rapid.seed is given, and
// runs the tests.
func Run(m Runner) int {
	flag.Parse()
	seedSet := false
	flag.Visit(func(f *flag.Flag) { seedSet = seedSet || f.Name == "rapid.seed" })
	if f := flag.Lookup("rapid.seed"); f != nil && !seedSet {
		if err := f.Value.Set(DefaultSeed); err != nil {
			panic(err) // unreachable: DefaultSeed is a valid number
		}
	}
	return m.Run()
}
