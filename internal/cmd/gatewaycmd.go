package cmd

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/buildinfo"
	"github.com/mastwinch/mastwinch/internal/call"
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
	// memoryLimitFraction is the fraction of the VM's memory that is the soft memory limit of the
	// Go runtime, near which garbage is collected more often at the expense of speed.
	memoryLimitFraction = 0.7
	// sitePollInterval is the interval between checks whether the site file has changed.
	sitePollInterval = 2 * time.Second
)

// NewGatewayCommand returns the command line of mw-gateway.
func NewGatewayCommand() *cli.Command {
	build := buildinfo.Read()
	return &cli.Command{
		Name:                  "mw-gateway",
		Usage:                 "serve callers' requests on the platform",
		Version:               build.String(),
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: flagSite, Usage: "read the platform's settings of this VM from `FILE`",
				Sources: cli.EnvVars(platform.SettingsVariable),
			},
			&cli.StringFlag{Name: flagConfig, Aliases: []string{"c"}, Usage: "read tuning settings from `FILE`"},
			&cli.BoolFlag{Name: flagCheck, Usage: "validate the settings and exit"},
		},
		Action: func(ctx context.Context, command *cli.Command) error { return runGateway(ctx, command, build) },
	}
}

func runGateway(ctx context.Context, command *cli.Command, build buildinfo.Info) error {
	// SIGHUP is handled until the process exits, also during shutdown: its default action terminates the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if command.String(flagSite) == "" {
		return &exitError{code: exitUsage, err: errors.New("--site is required")}
	}
	site, err := platform.LoadSettings(command.String(flagSite), gateway.UnreadBounds())
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
		if len(site.Ignored) > 0 {
			return &exitError{code: exitUsage, err: ignoredError(site.Ignored)}
		}
		_, err := command.Root().Writer.Write([]byte("settings are good\n"))
		return errors.Wrap(err, "check")
	}
	if site.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(site.MemoryBytes)))
	}
	output := logging.New(os.Stdout, tuning.Logging.MaxQueuedLines)
	defer output.Close()
	logger := newJSONLogger(output, tuning.Logging.Level).With("vm", site.VM)
	logger.Info("starting", "revision", build.Revision, "build", build.ID, "go", build.GoVersion)
	sockets := network.New(tuning.Network)
	clock, err := clock.New(clock.Boottime)
	if err != nil {
		return err //nolint:wrapcheck // the error names the clock
	}
	epochs := epoch.New(clock.Now)
	store := platform.NewStore(site.StoreAddress, network.NewTransport(sockets), epochs)
	process, err := gateway.New(tuning, site, platform.Codec{}, platform.EngineCodec{}, gateway.Sources{
		Configuration: platform.NewConfigurationSource(store),
		Servers:       platform.NewServersSource(store),
		Registry:      platform.NewMembers(store, logger),
		Quarantine:    platform.NewQuarantine(store, logger),
		Epochs:        epochs,
	}, sockets, clock, logger)
	if err != nil {
		return err
	}
	reloadCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go reloadSite(reloadCtx, hangups, command.String(flagSite), process)
	return process.Run(ctx)
}

// ignoredError returns the error for fields of the settings file that a process would ignore.
func ignoredError(fields []call.FieldError) error {
	var all error
	for _, field := range fields {
		all = errors.Join(all, errors.Wrap(&field, "settings file"))
	}
	return all
}

// reloadSite reloads the site file on SIGHUP and when its modification time has
// changed, until ctx is cancelled. After an error the previous settings stay in force.
func reloadSite(
	ctx context.Context, hangups <-chan os.Signal, file string, process *gateway.Gateway,
) {
	ticker := time.NewTicker(sitePollInterval)
	defer ticker.Stop()
	modified := modificationTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modificationTime(file).Equal(modified) {
				continue
			}
		}
		modified = modificationTime(file)
		site, err := platform.LoadSettings(file, process.Bounds())
		if err != nil {
			process.RejectSettings(err)
			continue
		}
		process.Reload(site)
	}
}

// modificationTime returns the modification time of a file, or zero if the file is missing.
func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
