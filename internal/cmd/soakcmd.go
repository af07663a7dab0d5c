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

const (
	flagSeeds   = "seeds"
	flagFrom    = "from"
	flagProgram = "gateway"
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
	usual := soak.DefaultSettings()
	return &cli.Command{
		Name:                  "mw-soak",
		Usage:                 "run gateways against stand-ins, inject faults, and check what is promised",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagProgram, Value: "bin/mw-gateway", Usage: "the gateway's `PROGRAM`"},
			&cli.Uint64Flag{Name: flagFrom, Value: 1, Usage: "first `SEED`"},
			&cli.Uint64Flag{Name: flagSeeds, Value: 1, Usage: "how many `SEEDS`, one after the other"},
			&cli.DurationFlag{Name: flagLength, Value: usual.Length, Usage: "length of the load"},
			&cli.IntFlag{Name: flagVMs, Value: usual.VMs, Usage: "gateways"},
			&cli.IntFlag{Name: flagEngines, Value: usual.Engines, Usage: "model engines"},
			&cli.IntFlag{Name: flagCallers, Value: usual.Callers, Usage: "callers"},
			&cli.IntFlag{Name: flagNetwork, Value: usual.Network, Usage: "second `NUMBER` of the loopback addresses"},
			&cli.StringFlag{Name: flagKeep, Usage: "keep settings and logs in `DIR`"},
			&cli.BoolFlag{Name: flagPlan, Usage: "print the plans only"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, command *cli.Command) error {
	settings := soak.DefaultSettings()
	settings.Program = command.String(flagProgram)
	settings.Length = command.Duration(flagLength)
	settings.VMs = command.Int(flagVMs)
	settings.Engines = command.Int(flagEngines)
	settings.Callers = command.Int(flagCallers)
	settings.Network = command.Int(flagNetwork)
	broken := 0
	for index := range command.Uint64(flagSeeds) {
		settings.Seed = command.Uint64(flagFrom) + index
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
			broken++
		}
	}
	if broken > 0 {
		return errors.Newf("%d seeds with violations", broken)
	}
	return nil
}

// soakOnce plays one seed with a folder of its own.
func soakOnce(ctx context.Context, settings soak.Settings, output string) (soak.Result, error) {
	if output == "" {
		dir, err := os.MkdirTemp("", "mw-soak")
		if err != nil {
			return soak.Result{}, errors.Wrap(err, "soak")
		}
		defer func() { _ = os.RemoveAll(dir) }() // what stays is small
		settings.Dir = dir
		return soak.Run(ctx, settings)
	}
	settings.Dir = filepath.Join(output, fmt.Sprint(settings.Seed))
	if err := os.MkdirAll(settings.Dir, 0o750); err != nil {
		return soak.Result{}, errors.Wrap(err, "soak")
	}
	return soak.Run(ctx, settings)
}
