// Package fixedseed runs the property-based tests of a package with the same
// random seed each time, so that a test run without flags always has the same
// result.
package fixedseed

import "flag"

// defaultSeed applies unless the command line sets -rapid.seed.
const defaultSeed = "1"

// Parse parses the test flags. Unless the command line sets them, it sets the seed
// of pgregory.net/rapid and turns its files of failed cases off. TestMain must call
// it before the tests run.
func Parse() {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.nofailfile": "true"} {
		if flag.Lookup(name) != nil && !given[name] {
			_ = flag.Set(name, value)
		}
	}
}
