package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/logs"
	"github.com/flamingobeam/flamingobeam/emulate/service"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const (
	shutdownTimeout   = 2 * time.Second
	readHeaderTimeout = 5 * time.Second
	// exitCrashed is the exit status of an emulator that a request crashed.
	exitCrashed = 70
)

func emulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate",
		Usage: "run an emulator of an external system, for tests and experiments",
		Commands: []*cli.Command{
			emulateStoreCommand(),
			emulateServiceCommand(),
			emulateEngineCommand(),
			emulateTrainerCommand(),
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on, an IP address and port", Required: true}
}

func emulateStoreCommand() *cli.Command {
	return &cli.Command{
		Name:      "store",
		Usage:     "the platform's key-value service, host list and weight store",
		UsageText: "flamingobeam emulate store --listen 127.0.0.1:8001 --fleet fleet.yaml",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "fleet", Usage: "YAML `FILE` with the initial host list"},
			&cli.DurationFlag{Name: "lag", Usage: "lag of the host list", Value: time.Second},
			&cli.FloatFlag{Name: "writes", Usage: "limit of writes per second", Value: store.DefaultLimits().Writes},
			&cli.FloatFlag{Name: "reads", Usage: "limit of reads per second", Value: store.DefaultLimits().Reads},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the injected faults", Value: 1},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			fleet := store.NewFleet(command.Duration("lag"))
			if err := loadFleet(command.String("fleet"), fleet); err != nil {
				return err
			}
			limits := store.Limits{Writes: command.Float("writes"), Reads: command.Float("reads")}
			return serve(ctx, command, store.Handler(store.New(limits, command.Uint64("seed")), fleet))
		},
	}
}

// fleetFile holds the initial host list of the platform.
type fleetFile struct {
	Servers []structs.BackendServer `yaml:"servers"`
}

func loadFleet(path string, fleet *store.Fleet) error {
	if path == "" {
		return nil
	}
	source, err := os.ReadFile(path)
	if err != nil {
		return result.Wrap(result.SettingsUnread, err)
	}
	var file fleetFile
	if err := config.DecodeStrict(source, &file); err != nil {
		return err
	}
	for _, server := range file.Servers {
		fleet.Set(server)
	}
	return nil
}

func emulateServiceCommand() *cli.Command {
	return &cli.Command{
		Name:      "service",
		Usage:     "a plain service with lookups and submissions",
		UsageText: "flamingobeam emulate service --listen 127.0.0.1:8301 --name portal-1",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Usage: "host `NAME`", Value: "service"},
			&cli.StringFlag{Name: "crash-on", Usage: "`ID` of the record whose lookup crashes the process"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			emulated := service.New(structs.HostName(command.String("name")))
			emulated.SetFaults(service.Faults{CrashOn: command.String("crash-on")})
			emulated.OnCrash = func() { os.Exit(exitCrashed) }
			return serve(ctx, command, emulated.Handler())
		},
	}
}

// serve serves HTTP on the --listen address until ctx is done.
func serve(ctx context.Context, command *cli.Command, handler http.Handler) error {
	log, err := logs.New(os.Stderr, "info", "text")
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", command.String("listen"))
	if err != nil {
		return result.Wrap(result.AddressTaken, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(stopCtx) != nil {
			_ = server.Close()
		}
	}()
	log.WithFields(logrus.Fields{kernel.ServiceLogField: "emulate " + command.Name}).Infof("Listening on %s.", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
