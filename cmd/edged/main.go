// Command edged is the daemon of an entry host on the users' platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/edge"
	"github.com/arbutusgauge/arbutusgauge/internal/logline"
	"github.com/arbutusgauge/arbutusgauge/platform"
)

// maxLinesPerSecond bounds the log lines with the same event in a second.
const maxLinesPerSecond = 20

func main() {
	app := kingpin.New("edged", "Daemon of an entry host on the users' platform.")
	settingsPath := app.Flag("settings", "Settings file (TOML).").Envar(platform.SettingsVariable).Required().String()
	checkOnly := app.Flag("check", "Check the settings file and exit.").Bool()
	metricsPort := app.Flag("metrics-port", "Port on this host's address that serves the metrics.").Default("9102").Uint16()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	out := logline.NewAsyncWriter(os.Stdout)
	logger := &log.Logger{Handler: logline.NewRateLimitedHandler(logline.New(out), maxLinesPerSecond), Level: log.InfoLevel}
	code := run(*settingsPath, *metricsPort, *checkOnly, logger)
	out.Close()
	os.Exit(code)
}

// run runs the host, or only checks the settings, and returns the exit code.
func run(settingsPath string, metricsPort uint16, checkOnly bool, logger *log.Logger) int {
	settings, err := platform.LoadSettings(settingsPath)
	if err != nil {
		logger.WithError(err).Error("settings refused")
		return 2
	}
	if checkOnly {
		return 0
	}
	settings.SetMetricsPort(metricsPort)
	host, err := edge.New(settings, logger)
	if err != nil {
		logger.WithError(err).Error("start failed")
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	if err := host.Run(ctx, reload); err != nil {
		logger.WithError(err).Error("stopped by a failure")
		return 1
	}
	return 0
}
