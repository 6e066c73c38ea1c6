// Command standin-platform runs a stand-in for the platform. It prints its
// address if the requested port is 0.
package main

import (
	"context"
	"fmt"
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

	"github.com/arbutusgauge/arbutusgauge/internal/standin/platform"
)

// headerTimeout bounds the time for reading a request header.
const headerTimeout = 10 * time.Second

func main() {
	app := kingpin.New("standin-platform", "Stand-in for the platform: key-value store, host list and fault injection.")
	listenAddr := app.Flag("listen", "Address to listen on; port 0 chooses a free one.").Default("127.0.0.1:0").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := serve(*listenAddr); err != nil {
		log.WithError(err).Error("standin-platform stopped")
		os.Exit(1)
	}
}

func serve(listenAddr string) error {
	listener, err := net.Listen("tcp", listenAddr)
	if err != nil {
		return err
	}
	if strings.HasSuffix(listenAddr, ":0") {
		fmt.Println(listener.Addr().String())
	}
	server := &http.Server{Handler: platform.NewServer(), ReadHeaderTimeout: headerTimeout}
	var group run.Group
	group.Add(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	}, func(error) { _ = server.Close() })
	group.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	err = group.Run()
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}
