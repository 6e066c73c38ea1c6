package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

// Main runs gaugectl until its command ends or SIGINT or SIGTERM cancels it. It
// returns the exit code of the process.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithCancel(context.Background())
	code := ExitInternal
	var group run.Group
	group.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	group.Add(func() error {
		code = Run(ctx, args, stdout, stderr)
		return nil
	}, func(error) { cancel() })
	if err := group.Run(); err != nil {
		fmt.Fprintln(stderr, "gaugectl: "+err.Error())
	}
	return int(code)
}

// Run parses the command line, runs one command and returns its exit code.
// Results go to stdout; warnings and errors go to stderr.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) ExitCode {
	opts := Options{Stdin: os.Stdin, Stdout: stdout, Stderr: stderr}
	app, commands := newApp(&opts)
	name, err := app.Parse(args)
	if err != nil {
		err = &UsageError{Message: err.Error() + ", try --help"}
	}
	if err == nil {
		err = opts.Validate()
	}
	if err == nil {
		s := &session{opts: opts, client: newHostClient(opts)}
		err = commands[name](ctx, s)
	}
	printError(stderr, err)
	return exitCode(err)
}

// printError writes an error, if there is one. Each problem of a document gets
// its own line that begins with file and line number, so that editors can jump
// to it.
func printError(stderr io.Writer, err error) {
	var problems *jwcc.Error
	switch {
	case err == nil:
	case errors.As(err, &problems):
		fmt.Fprintf(stderr, "gaugectl: error: problems found: %d\n%s\n", len(problems.Problems), problems.Error())
	default:
		fmt.Fprintln(stderr, "gaugectl: error: "+err.Error())
	}
}

// commandFunc runs one command of gaugectl.
type commandFunc func(ctx context.Context, s *session) error

// session holds what one run of a command needs.
type session struct {
	opts   Options
	client *hostClient
}

// printResult writes a result to standard output in the format that the
// operator chose.
func (s *session) printResult(v view) error {
	if s.opts.Output == outputJSON {
		encoder := json.NewEncoder(s.opts.Stdout)
		encoder.SetIndent("", "  ")
		return errors.WithStack(encoder.Encode(v))
	}
	return errors.WithStack(v.writeText(s.opts.Stdout))
}

func (s *session) warn(format string, args ...any) {
	fmt.Fprintf(s.opts.Stderr, "gaugectl: warning: "+format+"\n", args...)
}

// newApp defines the command line. Parsing it fills opts; the map holds the
// commands by their full name.
func newApp(opts *Options) (*kingpin.Application, map[string]commandFunc) {
	app := kingpin.New("gaugectl", "Checks and applies release notes, shows what entry hosts know, and runs searches.")
	app.UsageWriter(opts.Stdout).ErrorWriter(opts.Stderr)
	app.HelpFlag.Short('h')
	app.Flag("host", "HTTP address of an entry host as IP:port; repeatable, the next is tried when one fails. "+
		"Give one of each data centre to see hosts that a partition separates.").Envar("GAUGECTL_HOST").PlaceHolder("IP:PORT").StringsVar(&opts.Hosts)
	app.Flag("output", "Format of results.").Short('o').Default(outputText).EnumVar(&opts.Output, outputText, outputJSON)
	app.Flag("request-timeout", "Longest time of one call other than a search.").
		Default(defaultRequestTimeout.String()).DurationVar(&opts.RequestTimeout)
	commands := map[string]commandFunc{}
	addNoteCommands(app, commands)
	addStateCommands(app, commands)
	addSearchCommands(app, commands)
	addExplainCommand(app, commands)
	return app, commands
}

func addNoteCommands(app *kingpin.Application, commands map[string]commandFunc) {
	check := app.Command("check", "Check a release note without applying it. Without --host only the file itself is checked.")
	checkFile := check.Arg("file", "The release note.").Required().String()
	commands[check.FullCommand()] = func(ctx context.Context, s *session) error { return s.check(ctx, *checkFile) }

	diff := app.Command("diff", "Show what a release note would change.")
	diffFile := diff.Arg("file", "The release note.").Required().String()
	commands[diff.FullCommand()] = func(ctx context.Context, s *session) error { return s.diff(ctx, *diffFile) }

	apply := app.Command("apply", "Apply a release note and wait until it is in force on every live host.")
	applyFile := apply.Arg("file", "The release note.").Required().String()
	applyTimeout := addTimeoutFlag(apply)
	commands[apply.FullCommand()] = func(ctx context.Context, s *session) error { return s.apply(ctx, *applyFile, *applyTimeout) }

	history := app.Command("history", "Show the notes that were applied last.")
	commands[history.FullCommand()] = func(ctx context.Context, s *session) error { return s.history(ctx) }

	versions := app.Command("versions", "Show the version in force on each host.")
	wait := versions.Flag("wait", "Wait until every live host shows this version or a higher one.").Uint64()
	versionsTimeout := addTimeoutFlag(versions)
	commands[versions.FullCommand()] = func(ctx context.Context, s *session) error {
		return s.versions(ctx, *wait, *versionsTimeout)
	}
}

func addTimeoutFlag(c *kingpin.CmdClause) *time.Duration {
	return c.Flag("timeout", "Longest time to wait until the version is in force on the hosts.").Default(defaultApplyTimeout.String()).Duration()
}

func addStateCommands(app *kingpin.Application, commands map[string]commandFunc) {
	services := app.Command("services", "Show the services and searches in force.")
	commands[services.FullCommand()] = func(ctx context.Context, s *session) error { return s.services(ctx) }

	replicas := app.Command("replicas", "Show what the owners know of a service's replicas.")
	service := replicas.Arg("service", "The service.").Required().String()
	commands[replicas.FullCommand()] = func(ctx context.Context, s *session) error { return s.replicas(ctx, *service) }

	burn := app.Command("burn", "Show how fast the error budgets are spent, over all live hosts.")
	html := burn.Flag("html", "Also write the report as an HTML page to this file.").String()
	commands[burn.FullCommand()] = func(ctx context.Context, s *session) error { return s.burn(ctx, *html) }
}

func addSearchCommands(app *kingpin.Application, commands map[string]commandFunc) {
	search := app.Command("search", "Run a search. One with a ticket is never sent twice.")
	var f searchFlags
	search.Arg("service", "The service.").Required().StringVar(&f.service)
	search.Arg("search", "The search.").Required().StringVar(&f.search)
	search.Flag("lo", "First ledger of the range.").Uint64Var(&f.lo)
	search.Flag("hi", "End of the range: the ledger after the last one; 0 means all ledgers of the service.").Uint64Var(&f.hi)
	search.Flag("deadline", "Longest time for the answer; by default, and at most, the deadline in the search's configuration.").DurationVar(&f.deadline)
	search.Flag("least-coverage", "Fraction of the ledgers below which the search fails; can only raise the value in the search's configuration.").Float64Var(&f.leastCoverage)
	search.Flag("payload", "Text that is passed to the backend servers.").StringVar(&f.payload)
	search.Flag("ticket", "Ticket for a search that is not repeatable; auto asks the host for one.").PlaceHolder("auto|TICKET").StringVar(&f.ticket)
	commands[search.FullCommand()] = func(ctx context.Context, s *session) error { return s.search(ctx, f) }

	coverage := app.Command("coverage", "Run a repeatable search over all ledgers and show which are covered.")
	service := coverage.Arg("service", "The service.").Required().String()
	name := coverage.Arg("search", "The search.").Required().String()
	commands[coverage.FullCommand()] = func(ctx context.Context, s *session) error { return s.coverage(ctx, *service, *name) }
}
