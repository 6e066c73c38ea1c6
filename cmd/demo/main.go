// Command demo runs both example deployments on 127.0.0.1. It applies their
// release notes, runs searches during a configuration change and faults, and
// stops every process at the end.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("demo", "Runs both example deployments on 127.0.0.1 and shows searches, a release note and faults.")
	programsDir := app.Flag("programs", "Directory of the built programs.").Default("bin").String()
	examplesDir := app.Flag("examples", "Directory of the example files.").Default("examples").String()
	outDir := app.Flag("out", "Directory for logs and generated files.").Default("out/demo").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	var runs []*runner
	for _, s := range scenarios {
		r := &runner{scenario: s, programsDir: *programsDir, examplesDir: *examplesDir, outDir: *outDir}
		if err := r.run(); err != nil {
			fmt.Fprintf(os.Stderr, "demo of %s failed: %v\nlogs are in %s\n", s.organisation, err, *outDir)
			os.Exit(1)
		}
		runs = append(runs, r)
	}
	fmt.Print("\n== summary\n")
	for _, r := range runs {
		r.printSummary()
	}
	fmt.Printf("every process has stopped; logs and settings are in %s\n", *outDir)
}
