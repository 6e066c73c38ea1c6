// Command gaugectl is the operators' command of arbutusgauge: it checks and
// applies release notes, shows what entry hosts know, and runs searches.
package main

import (
	"os"

	"github.com/arbutusgauge/arbutusgauge/internal/operator"
)

func main() { os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr)) }
