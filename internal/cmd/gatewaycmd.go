package cmd

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/clock"
	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/gateway"
	"github.com/mastwinch/mastwinch/internal/logging"
	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/settings"
	"github.com/mastwinch/mastwinch/platform"
)

const (
	flagSite = "site"
	// memoryPart is the part of a VM's memory at which collecting garbage goes
	// before speed.
	memoryPart = 0.7
	// siteLook is the time between looks whether the settings file has changed.
	siteLook = 2 * time.Second
)

// NewGatewayCommand returns the command line of mw-gateway.
func NewGatewayCommand() *cli.Command {
	return &cli.Command{
		Name:                  "mw-gateway",
		Usage:                 "serve callers on the users' platform",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: flagSite, Usage: "read the VM's place from `FILE`",
				Sources: cli.EnvVars(platform.SettingsVariable),
			},
			&cli.StringFlag{Name: flagConfig, Aliases: []string{"c"}, Usage: "read tuning settings from `FILE`"},
			&cli.BoolFlag{Name: flagCheck, Usage: "check the settings and exit"},
		},
		Action: runGateway,
	}
}

func runGateway(ctx context.Context, command *cli.Command) error {
	// Heard for as long as the process lives: it would end by a hangup that it does not hear, also while it stops.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if command.String(flagSite) == "" {
		return &exitError{code: exitUsage, err: errors.New("--site is needed")}
	}
	site, err := platform.LoadSettings(command.String(flagSite))
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	tuning := gateway.DefaultSettings()
	if file := command.String(flagConfig); file != "" {
		if tuning, err = settings.Load(file, tuning); err != nil {
			return &exitError{code: exitUsage, err: err}
		}
	}
	if command.Bool(flagCheck) {
		_, err := command.Root().Writer.Write([]byte("settings are good\n"))
		return errors.Wrap(err, "check")
	}
	if site.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(site.MemoryBytes)))
	}
	lines := logging.New(os.Stdout, tuning.Logging.MaxQueuedLines)
	defer lines.Close()
	logger := newJSONLogger(lines, tuning.Logging.Level).With("vm", site.VM)
	system := network.New(tuning.Network)
	clock, err := clock.New(clock.Boottime)
	if err != nil {
		return err //nolint:wrapcheck // names the clock
	}
	epochs := epoch.New(clock.Now)
	store := platform.NewStore(site.StoreAddress, network.NewTransport(system), epochs)
	served, err := gateway.New(tuning, site, platform.Codec{}, platform.Orders{}, gateway.Sources{
		Configuration: platform.NewConfigurationSource(store),
		Servers:       platform.NewServersSource(store),
		Registry:      platform.NewMembers(store, logger),
		Quarantine:    platform.NewQuarantine(store, logger),
		Epochs:        epochs,
	}, system, clock, logger)
	if err != nil {
		return err
	}
	reloading, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go reloadSite(reloading, hangups, command.String(flagSite), served, logger)
	return served.Run(ctx)
}

// reloadSite reads the settings file again on SIGHUP and when it has changed. A
// file with a problem changes nothing.
func reloadSite(
	ctx context.Context, hangups <-chan os.Signal, file string, served *gateway.Gateway, logger *slog.Logger,
) {
	ticker := time.NewTicker(siteLook)
	defer ticker.Stop()
	changed := changeTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if changeTime(file).Equal(changed) {
				continue
			}
		}
		changed = changeTime(file)
		site, err := platform.LoadSettings(file)
		if err != nil {
			logger.Error("settings not taken", "error", err)
			continue
		}
		served.Reload(site)
	}
}

// changeTime returns when the file was changed last, or zero when it is away.
func changeTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
