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

// Main runs the command until it ends or a signal stops it, and returns the
// exit code for the process.
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

// Run parses the command line and runs one command. Results go to stdout;
// warnings and errors go to stderr.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) ExitCode {
	opts := Options{Stdout: stdout, Stderr: stderr}
	app, commands := newApp(&opts)
	name, err := app.Parse(args)
	if err != nil {
		err = &UsageError{Message: err.Error() + ", try --help"}
	}
	if err == nil {
		err = opts.Validate()
	}
	if err == nil {
		s := &session{opts: opts, client: newClient(opts)}
		err = commands[name](ctx, s)
	}
	report(stderr, err)
	return exitCode(err)
}

// report writes an error. The problems of a document get a line each that
// begins with file and line, so that editors can follow them.
func report(stderr io.Writer, err error) {
	var problems *jwcc.Error
	switch {
	case err == nil:
	case errors.As(err, &problems):
		fmt.Fprintf(stderr, "gaugectl: error: problems found: %d\n%s\n", len(problems.Problems), problems.Error())
	default:
		fmt.Fprintln(stderr, "gaugectl: error: "+err.Error())
	}
}

type command func(ctx context.Context, s *session) error

// session is one run of a command.
type session struct {
	opts   Options
	client *client
}

// show writes a result in the form that the operator chose.
func (s *session) show(v view) error {
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

func newApp(opts *Options) (*kingpin.Application, map[string]command) {
	app := kingpin.New("gaugectl", "Checks and applies release notes, shows what entry hosts know, and runs searches.")
	app.UsageWriter(opts.Stdout).ErrorWriter(opts.Stderr)
	app.HelpFlag.Short('h')
	app.Flag("host", "HTTP address of an entry host as IP:port; repeatable, the next is tried when one fails. "+
		"Give one of each data centre to see hosts that a partition separates.").Envar("GAUGECTL_HOST").PlaceHolder("IP:PORT").StringsVar(&opts.Hosts)
	app.Flag("output", "Form of results.").Short('o').Default(outputText).EnumVar(&opts.Output, outputText, outputJSON)
	app.Flag("request-timeout", "Longest time of one call other than a search.").
		Default(defaultRequestTimeout.String()).DurationVar(&opts.RequestTimeout)
	commands := map[string]command{}
	noteCommands(app, commands)
	stateCommands(app, commands)
	searchCommands(app, commands)
	return app, commands
}

func noteCommands(app *kingpin.Application, commands map[string]command) {
	check := app.Command("check", "Check a release note without applying it. Without --host only the file itself is checked.")
	checkFile := check.Arg("file", "The release note.").Required().String()
	commands[check.FullCommand()] = func(ctx context.Context, s *session) error { return s.check(ctx, *checkFile) }

	diff := app.Command("diff", "Show what a release note would change.")
	diffFile := diff.Arg("file", "The release note.").Required().String()
	commands[diff.FullCommand()] = func(ctx context.Context, s *session) error { return s.diff(ctx, *diffFile) }

	apply := app.Command("apply", "Apply a release note and wait until it is in force on every live host.")
	applyFile := apply.Arg("file", "The release note.").Required().String()
	applyTimeout := timeoutFlag(apply)
	commands[apply.FullCommand()] = func(ctx context.Context, s *session) error { return s.apply(ctx, *applyFile, *applyTimeout) }

	history := app.Command("history", "Show the notes that were applied last.")
	commands[history.FullCommand()] = func(ctx context.Context, s *session) error { return s.history(ctx) }

	versions := app.Command("versions", "Show the version in force on each host.")
	wait := versions.Flag("wait", "Wait until every live host shows this version or a higher one.").Uint64()
	versionsTimeout := timeoutFlag(versions)
	commands[versions.FullCommand()] = func(ctx context.Context, s *session) error {
		return s.versions(ctx, *wait, *versionsTimeout)
	}
}

func timeoutFlag(c *kingpin.CmdClause) *time.Duration {
	return c.Flag("timeout", "Longest time to wait for the hosts.").Default(defaultApplyTimeout.String()).Duration()
}

func stateCommands(app *kingpin.Application, commands map[string]command) {
	services := app.Command("services", "Show the services and searches in force.")
	commands[services.FullCommand()] = func(ctx context.Context, s *session) error { return s.services(ctx) }

	replicas := app.Command("replicas", "Show what the owners know of a service's replicas.")
	service := replicas.Arg("service", "The service.").Required().String()
	commands[replicas.FullCommand()] = func(ctx context.Context, s *session) error { return s.replicas(ctx, *service) }

	burn := app.Command("burn", "Show how fast the error budgets are spent, over all live hosts.")
	html := burn.Flag("html", "Also write the report to this file as an HTML page.").String()
	commands[burn.FullCommand()] = func(ctx context.Context, s *session) error { return s.burn(ctx, *html) }
}

func searchCommands(app *kingpin.Application, commands map[string]command) {
	search := app.Command("search", "Run a search. One with a ticket is never sent twice.")
	var f searchFlags
	search.Arg("service", "The service.").Required().StringVar(&f.service)
	search.Arg("search", "The search.").Required().StringVar(&f.search)
	search.Flag("lo", "First ledger.").Uint64Var(&f.lo)
	search.Flag("hi", "Ledger after the last; 0 means all ledgers of the service.").Uint64Var(&f.hi)
	search.Flag("deadline", "Longest time for the answer; at most and by default the search's.").DurationVar(&f.deadline)
	search.Flag("least-coverage", "Fraction below which the answer is an error; can only raise the search's.").Float64Var(&f.leastCoverage)
	search.Flag("payload", "Text that is passed to the backend servers.").StringVar(&f.payload)
	search.Flag("ticket", "Ticket for a search that is not repeatable; auto asks the host for one.").PlaceHolder("auto|TICKET").StringVar(&f.ticket)
	commands[search.FullCommand()] = func(ctx context.Context, s *session) error { return s.search(ctx, f) }

	coverage := app.Command("coverage", "Run a repeatable search over all ledgers and show which are covered.")
	service := coverage.Arg("service", "The service.").Required().String()
	name := coverage.Arg("search", "The search.").Required().String()
	commands[coverage.FullCommand()] = func(ctx context.Context, s *session) error { return s.coverage(ctx, *service, *name) }
}
