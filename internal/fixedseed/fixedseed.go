// Package fixedseed gives the stateful tests of a package the same seed in
// every run, so that a plain test run always has the same verdict.
package fixedseed

import "flag"

// seed is used unless the command line gives another one.
const seed = "1"

// Parse parses the test flags and sets those of pgregory.net/rapid that are
// not given. It is called from TestMain.
func Parse() {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if flag.Lookup(name) != nil && !given[name] {
			_ = flag.Set(name, value)
		}
	}
}
