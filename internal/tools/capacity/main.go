// Command capacity measures the processor time, memory and traffic of the modules
// of an entry host at several sizes. The command measure appends the measured
// points to a file; the command table prints them with the least-squares line of
// every measure.
package main

import (
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// group is the set of measurements of one module, or of real processes.
type group struct {
	name string
	run  func(r Recorder, o *Options) error
}

var groups = []group{
	{"front", measureFront},
	{"route", measureRoute},
	{"peer", measurePeer},
	{"owner", measureOwner},
	{"adapter", measureAdapter},
	{"release", measureRelease},
	{"once", measureOnce},
	{"burn", measureBurn},
	{"processes", measureProcesses},
}

func main() {
	var options Options
	app := kingpin.New("capacity", "Measures the cost of the modules of an entry host by size.")
	measure, table := options.flags(app)
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case measure.FullCommand():
		err = runMeasure(&options)
	case table.FullCommand():
		err = runTable(&options)
	}
	if err != nil {
		log.WithError(err).Fatal("capacity command failed")
	}
}

// runMeasure runs the selected groups and appends their points to the file.
func runMeasure(o *Options) error {
	recorder, err := openPointFile(o.PointsFile)
	if err != nil {
		return err
	}
	defer func() { _ = recorder.Close() }()
	for _, g := range groups {
		if len(o.Groups) > 0 && !slices.Contains(o.Groups, g.name) {
			continue
		}
		begin := time.Now()
		if err := g.run(recorder, o); err != nil {
			return errors.Wrap(err, g.name)
		}
		log.WithFields(log.Fields{"group": g.name, "took": time.Since(begin).Round(time.Millisecond)}).Info("group measured")
	}
	return nil
}

// runTable prints the table of the points in the file.
func runTable(o *Options) error {
	body, err := os.ReadFile(o.PointsFile)
	if err != nil {
		return errors.WithStack(err)
	}
	points, err := ParsePoints(body)
	if err != nil {
		return err
	}
	_, err = os.Stdout.WriteString(FormatTable(points))
	return errors.WithStack(err)
}
