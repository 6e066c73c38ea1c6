// Command standin-backend serves stand-in backend servers: many replicas in one
// process, with an admin address that sets faults and lists the executions.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/logline"
	"github.com/arbutusgauge/arbutusgauge/internal/standin/backend"
)

// flags are the command line flags.
type flags struct {
	configFile, noteFile, services string
	adminAddr                      string
	selection                      backend.Selection
	median, tail                   time.Duration
	straggler                      float64
}

func main() {
	log.SetHandler(logline.New(os.Stderr))
	var f flags
	app := kingpin.New("standin-backend", "Serves stand-in backend servers.")
	app.Flag("config", "File with the replicas' options, JSON with comments.").StringVar(&f.configFile)
	app.Flag("note", "Release note file with the replicas to serve.").StringVar(&f.noteFile)
	app.Flag("services", "Services of the note whose replicas to serve, separated by commas; default all.").StringVar(&f.services)
	app.Flag("data-centre", "Data centre of the note whose replicas to serve; default all.").StringVar(&f.selection.DataCentre)
	app.Flag("admin", "Address of the admin interface.").Default("127.0.0.1:0").StringVar(&f.adminAddr)
	app.Flag("median", "Median execution time, with --note.").Default("2ms").DurationVar(&f.median)
	app.Flag("tail", "99th percentile of the execution times, with --note.").Default("8ms").DurationVar(&f.tail)
	app.Flag("straggler", "Factor by which the execution times are multiplied, with --note.").Default("1").Float64Var(&f.straggler)
	app.Flag("seed", "Random seed of the execution times and faults, with --note.").Default("1").Uint64Var(&f.selection.Seed)
	app.Flag("row-every", "Distance between ledgers that have a row, with --note; 1 means that every ledger has one.").Default("1").Uint64Var(&f.selection.RowSpacing)
	app.Flag("oldest", "Oldest snapshot that is held at the start, with --note.").Default("1").Uint64Var(&f.selection.Oldest)
	app.Flag("newest", "Newest snapshot that is held at the start, with --note.").Default("1").Uint64Var(&f.selection.Newest)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := serve(&f); err != nil {
		log.WithError(err).Error("stand-in backend ended")
		os.Exit(1)
	}
}

func serve(f *flags) error {
	options, err := f.options()
	if err != nil {
		return err
	}
	fleet, err := backend.StartFleet(options)
	if err != nil {
		return err
	}
	defer fleet.Close()
	listener, err := net.Listen("tcp", f.adminAddr)
	if err != nil {
		return errors.Wrap(err, "listen on the --admin address")
	}
	server := &http.Server{Handler: fleet.AdminHandler()}
	log.WithFields(log.Fields{
		"admin": listener.Addr().String(), "replicas": len(fleet.Servers()),
	}).Info("stand-in backend ready")
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	err = group.Run()
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

// options returns the options of the replicas in the --config file, if it is
// given, otherwise those that the other flags select from the --note file.
func (f *flags) options() ([]backend.Options, error) {
	if f.configFile != "" {
		body, err := os.ReadFile(f.configFile)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		options, err := backend.ParseOptionsFile(body)
		return options, errors.Wrap(err, f.configFile)
	}
	body, err := os.ReadFile(f.noteFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the file of --note (--config or --note is required)")
	}
	if f.services != "" {
		f.selection.Services = strings.Split(f.services, ",")
	}
	f.selection.ServiceTime = backend.ServiceTime{
		Median: jwcc.Duration(f.median), Tail: jwcc.Duration(f.tail), Straggler: f.straggler,
	}
	options, err := backend.ParseNote(body, f.selection)
	return options, errors.Wrap(err, f.noteFile)
}
