// Command entryd is the daemon of an entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/arbutusgauge/arbutusgauge/internal/logline"

	"github.com/arbutusgauge/arbutusgauge/internal/entry"
	"github.com/arbutusgauge/arbutusgauge/internal/settings"
)

func main() {
	app := kingpin.New("entryd", "Runs an entry host of arbutusgauge.")
	settingsPath := app.Flag("settings", "Settings file, JSON with comments.").Required().ExistingFile()
	checkOnly := app.Flag("check-settings", "Check the settings file and exit.").Bool()
	app.HelpFlag.Short('h')
	kingpin.MustParse(app.Parse(os.Args[1:]))

	s, err := settings.Load(*settingsPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if *checkOnly {
		fmt.Println("settings are valid")
		return
	}
	if err := serve(s); err != nil {
		log.WithError(err).Error("entry host failed")
		os.Exit(1)
	}
}

func serve(s *settings.Entry) error {
	level, err := log.ParseLevel(s.Log.Level)
	if err != nil {
		return err
	}
	logger := &log.Logger{Handler: logline.New(os.Stderr), Level: level}
	log.SetHandler(logger.Handler)
	host, err := entry.New(s, logger, entry.Network{})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return host.Run(ctx)
}
