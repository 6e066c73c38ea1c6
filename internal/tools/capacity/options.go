package main

import "github.com/alecthomas/kingpin/v2"

const (
	defaultPointsFile   = "out/capacity.jsonl"
	defaultProgramDir   = "bin"
	defaultNoteFile     = "examples/ganna/release-note.hujson"
	defaultSettingsFile = "examples/ganna/badin-1.hujson"
	defaultPortOffset   = "11500"
)

// Options are the flags of the program.
type Options struct {
	PointsFile   string   // file of points, one JSON object a line
	ProgramDir   string   // directory of the built programs
	NoteFile     string   // release note file for the real processes
	SettingsFile string   // settings file of one entry host, the model for all
	PortOffset   int      // added to every port of the real processes
	Groups       []string // groups to measure; empty means all
}

// flags defines the commands and flags of the program and returns the commands.
func (o *Options) flags(app *kingpin.Application) (measure, table *kingpin.CmdClause) {
	app.Flag("lines", "file of measured points, one JSON object per line").Default(defaultPointsFile).StringVar(&o.PointsFile)
	measure = app.Command("measure", "measure and append the points to the file")
	measure.Flag("programs", "directory of the built programs").Default(defaultProgramDir).StringVar(&o.ProgramDir)
	measure.Flag("note", "release note file for the real processes").Default(defaultNoteFile).StringVar(&o.NoteFile)
	measure.Flag("settings", "settings file of one entry host, the model for all").Default(defaultSettingsFile).StringVar(&o.SettingsFile)
	measure.Flag("port-offset", "number added to every port of the real processes").Default(defaultPortOffset).IntVar(&o.PortOffset)
	measure.Flag("only", "group to measure; may be given several times; without it all groups are measured").StringsVar(&o.Groups)
	table = app.Command("table", "print a table of the points in the file")
	return measure, table
}
