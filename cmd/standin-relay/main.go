// Command standin-relay relays TCP connections and injects faults into them. It
// runs any number of relays, and an admin address that controls them.
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
	"github.com/arbutusgauge/arbutusgauge/internal/standin/relay"
)

func main() {
	log.SetHandler(logline.New(os.Stderr))
	app := kingpin.New("standin-relay", "Relays TCP connections and injects faults into them.")
	adminAddr := app.Flag("admin", "Address of the admin interface.").Default("127.0.0.1:0").String()
	delay := app.Flag("delay", "One-way delay at the start.").Default("0s").Duration()
	jitter := app.Flag("jitter", "Largest random addition to the one-way delay.").Default("0s").Duration()
	seed := app.Flag("seed", "Random seed of the jitter.").Default("1").Uint64()
	addrPairs := app.Arg("relay", "Relay from one address to another as LISTEN=TARGET, both \"ip:port\"; may be repeated.").Required().Strings()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	link := relay.Link{Delay: jwccDuration(*delay), Jitter: jwccDuration(*jitter)}
	if err := serve(*adminAddr, link, *seed, *addrPairs); err != nil {
		log.WithError(err).Error("stand-in relay ended")
		os.Exit(1)
	}
}

func serve(adminAddr string, link relay.Link, seed uint64, addrPairs []string) error {
	var relays []*relay.Relay
	defer func() {
		for _, r := range relays {
			_ = r.Close()
		}
	}()
	for i, pair := range addrPairs {
		listen, target, _ := strings.Cut(pair, "=")
		r, err := relay.Start(relay.Options{Listen: listen, Target: target, Seed: seed + uint64(i), Link: link})
		if err != nil {
			return errors.Wrap(err, pair)
		}
		relays = append(relays, r)
		log.WithFields(log.Fields{"listen": r.Addr(), "target": target}).Info("relay ready")
	}
	listener, err := net.Listen("tcp", adminAddr)
	if err != nil {
		return errors.Wrap(err, "listen on the --admin address")
	}
	server := &http.Server{Handler: relay.AdminHandler(relays)}
	log.WithField("admin", listener.Addr().String()).Info("stand-in relay ready")
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	if err := group.Run(); !errors.Is(err, run.ErrSignal) {
		return err
	}
	return nil
}

func jwccDuration(d time.Duration) jwcc.Duration { return jwcc.Duration(d) }
