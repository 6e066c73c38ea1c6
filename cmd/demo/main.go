// Command demo runs both example deployments on this machine, applies their
// release notes, runs searches during a change and faults, and stops everything.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("demo", "Runs both example deployments on 127.0.0.1 and shows searches and a fault.")
	programs := app.Flag("programs", "Directory of the built programs.").Default("bin").String()
	examples := app.Flag("examples", "Directory of the example files.").Default("examples").String()
	out := app.Flag("out", "Directory for logs and generated files.").Default("out/demo").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	var runs []*runner
	for _, s := range scenes {
		r := &runner{scene: s, programs: *programs, examples: *examples, out: *out}
		if err := r.run(); err != nil {
			fmt.Fprintf(os.Stderr, "demo of %s failed: %v\nlogs are in %s\n", s.user, err, *out)
			os.Exit(1)
		}
		runs = append(runs, r)
	}
	fmt.Print("\n== summary\n")
	for _, r := range runs {
		r.summary()
	}
	fmt.Printf("every process has stopped; logs and settings are in %s\n", *out)
}
