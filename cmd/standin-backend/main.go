// Command standin-backend serves stand-in backend servers: many replicas in
// one process, with an admin address for faults and for the record of what ran.
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

type flags struct {
	file, note, services string
	admin                string
	pick                 backend.Selection
	median, tail         time.Duration
	straggler            float64
}

func main() {
	log.SetHandler(logline.New(os.Stderr))
	var f flags
	app := kingpin.New("standin-backend", "Serves stand-in backend servers.")
	app.Flag("config", "File with the replicas' options, JSON with comments.").StringVar(&f.file)
	app.Flag("note", "Release note whose replicas to serve.").StringVar(&f.note)
	app.Flag("services", "Services of the note, separated by commas; default all.").StringVar(&f.services)
	app.Flag("data-centre", "Data centre of the note; default all.").StringVar(&f.pick.DataCentre)
	app.Flag("admin", "Address of the admin interface.").Default("127.0.0.1:0").StringVar(&f.admin)
	app.Flag("median", "Median execution time with --note.").Default("2ms").DurationVar(&f.median)
	app.Flag("tail", "99th percentile of execution times with --note.").Default("8ms").DurationVar(&f.tail)
	app.Flag("straggler", "Factor on the execution times with --note.").Default("1").Float64Var(&f.straggler)
	app.Flag("seed", "Seed of execution times and faults with --note.").Default("1").Uint64Var(&f.pick.Seed)
	app.Flag("row-every", "Distance of ledgers that have a row with --note.").Default("1").Uint64Var(&f.pick.RowEvery)
	app.Flag("oldest", "Oldest snapshot held at the start with --note.").Default("1").Uint64Var(&f.pick.Oldest)
	app.Flag("newest", "Newest snapshot held at the start with --note.").Default("1").Uint64Var(&f.pick.Newest)
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
	listener, err := net.Listen("tcp", f.admin)
	if err != nil {
		return errors.Wrap(err, "admin address")
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

func (f *flags) options() ([]backend.Options, error) {
	if f.file != "" {
		body, err := os.ReadFile(f.file)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		options, err := backend.ParseFile(body)
		return options, errors.Wrap(err, f.file)
	}
	body, err := os.ReadFile(f.note)
	if err != nil {
		return nil, errors.Wrap(err, "one of --config and --note is needed")
	}
	if f.services != "" {
		f.pick.Services = strings.Split(f.services, ",")
	}
	f.pick.Time = backend.ServiceTime{
		Median: jwcc.Duration(f.median), Tail: jwcc.Duration(f.tail), Straggler: f.straggler,
	}
	options, err := backend.ParseNote(body, f.pick)
	return options, errors.Wrap(err, f.note)
}
