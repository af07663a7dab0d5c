package cmd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/soak"
)

// Flags of mw-soak.
const (
	flagSeeds   = "seeds"
	flagFrom    = "from"
	flagGateway = "gateway"
	flagOlder   = "older"
	flagKeep    = "keep"
	flagLength  = "length"
	flagVMs     = "vms"
	flagEngines = "engines"
	flagCallers = "callers"
	flagNetwork = "network"
	flagPlan    = "plan"
)

// NewSoakCommand returns the command line of mw-soak.
func NewSoakCommand() *cli.Command {
	defaults := soak.DefaultSettings()
	return &cli.Command{
		Name:                  "mw-soak",
		Usage:                 "run gateways against stand-ins, inject faults, and check the guarantees",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagGateway, Value: "bin/mw-gateway", Usage: "path of the gateway's `PROGRAM`"},
			&cli.StringFlag{Name: flagOlder, Usage: "path of an older build of the gateway's `PROGRAM`, which some VMs run until they are updated"},
			&cli.Uint64Flag{Name: flagFrom, Value: 1, Usage: "first `SEED`"},
			&cli.Uint64Flag{Name: flagSeeds, Value: 1, Usage: "number of `SEEDS`, which run one after the other"},
			&cli.DurationFlag{Name: flagLength, Value: defaults.Length, Usage: "duration of the load"},
			&cli.IntFlag{Name: flagVMs, Value: defaults.VMs, Usage: "gateways"},
			&cli.IntFlag{Name: flagEngines, Value: defaults.Engines, Usage: "model engines"},
			&cli.IntFlag{Name: flagCallers, Value: defaults.Callers, Usage: "callers"},
			&cli.IntFlag{Name: flagNetwork, Value: defaults.Network, Usage: "second `NUMBER` (octet) of the loopback addresses"},
			&cli.StringFlag{Name: flagKeep, Usage: "keep settings and logs in `DIR`"},
			&cli.BoolFlag{Name: flagPlan, Usage: "print the plans of faults and exit"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, command *cli.Command) error {
	settings := soak.DefaultSettings()
	settings.Program = command.String(flagGateway)
	settings.Older = command.String(flagOlder)
	settings.Length = command.Duration(flagLength)
	settings.VMs = command.Int(flagVMs)
	settings.Engines = command.Int(flagEngines)
	settings.Callers = command.Int(flagCallers)
	settings.Network = command.Int(flagNetwork)
	failedSeeds := 0
	for offset := range command.Uint64(flagSeeds) {
		settings.Seed = command.Uint64(flagFrom) + offset
		if command.Bool(flagPlan) {
			for _, event := range soak.NewPlan(settings.Seed, settings.Length) {
				fmt.Fprintf(command.Root().Writer, "seed %d: %s\n", settings.Seed, event)
			}
			continue
		}
		result, err := soakOnce(ctx, settings, command.String(flagKeep))
		if err != nil {
			return err
		}
		fmt.Fprintln(command.Root().Writer, result)
		if len(result.Violations) > 0 {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return errors.Newf("%d seeds with violations", failedSeeds)
	}
	return nil
}

// soakOnce runs one seed in a directory of its own: in output, or a temporary one if output is empty.
func soakOnce(ctx context.Context, settings soak.Settings, output string) (soak.Result, error) {
	if output == "" {
		dir, err := os.MkdirTemp("", "mw-soak")
		if err != nil {
			return soak.Result{}, errors.Wrap(err, "soak")
		}
		defer func() { _ = os.RemoveAll(dir) }() // a temporary directory that remains is small
		settings.Dir = dir
		return soak.Run(ctx, settings)
	}
	settings.Dir = filepath.Join(output, fmt.Sprint(settings.Seed))
	if err := os.MkdirAll(settings.Dir, 0o750); err != nil {
		return soak.Result{}, errors.Wrap(err, "soak")
	}
	return soak.Run(ctx, settings)
}
