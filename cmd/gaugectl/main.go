// Command gaugectl is the command of arbutusgauge for operators. It checks and
// applies release notes, shows the state of entry hosts, and runs searches.
package main

import (
	"os"

	"github.com/arbutusgauge/arbutusgauge/internal/operator"
)

func main() { os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr)) }
