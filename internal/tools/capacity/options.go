package main

import "github.com/alecthomas/kingpin/v2"

const (
	defaultLines      = "out/capacity.jsonl"
	defaultPrograms   = "bin"
	defaultNote       = "examples/ganna/release-note.hujson"
	defaultSettings   = "examples/ganna/badin-1.hujson"
	defaultPortOffset = "11500"
)

// Options are the flags of the program.
type Options struct {
	Lines      string // file of JSON lines
	Programs   string // directory of the built programs
	Note       string // release note of the real processes
	Settings   string // settings of one of their hosts
	PortOffset int
	Only       []string // groups to measure; empty means all
}

func (o *Options) flags(app *kingpin.Application) (measure, table *kingpin.CmdClause) {
	app.Flag("lines", "file of JSON lines").Default(defaultLines).StringVar(&o.Lines)
	measure = app.Command("measure", "measure and append JSON lines to the file")
	measure.Flag("programs", "directory of the built programs").Default(defaultPrograms).StringVar(&o.Programs)
	measure.Flag("note", "release note of the real processes").Default(defaultNote).StringVar(&o.Note)
	measure.Flag("settings", "settings of one of their hosts").Default(defaultSettings).StringVar(&o.Settings)
	measure.Flag("port-offset", "added to the ports of the real processes").Default(defaultPortOffset).IntVar(&o.PortOffset)
	measure.Flag("only", "group to measure; repeatable").StringsVar(&o.Only)
	table = app.Command("table", "print the table of the file's lines")
	return measure, table
}
