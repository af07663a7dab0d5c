package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/logread"
	"github.com/mastwinch/mastwinch/internal/losses"
)

// Flags of losses.
const (
	flagPlot          = "plot"
	flagServers       = "servers"
	flagSlots         = "slots"
	flagReadPerSecond = "read-per-s"
	flagPairs         = "pairs-per-m"
	flagLongFrom      = "long-from"
)

// newLossesCommand returns the command that tells why requests were not served
// in time.
func newLossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "tell from logs which requests were not served in time, and why",
		ArgsUsage: "[FILE...]",
		Description: "Reads lines of JSON of all VMs from the files, or from standard input. A caller that\n" +
			"comes back counts as another request.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagPlot, Usage: "also write a plot by second to `FILE`, as .svg, .png or .pdf"},
			&cli.IntFlag{Name: flagServers, Usage: "also reckon what `COUNT` engines could read in time for a planner that knew all arrivals"},
			&cli.IntFlag{Name: flagSlots, Value: 16, Usage: "requests that one engine works on at once"},
			&cli.FloatFlag{Name: flagReadPerSecond, Value: 154_000, Usage: "prompt tokens that one engine reads in a second"},
			&cli.FloatFlag{Name: flagPairs, Value: 0.162, Usage: "milliseconds for a million pairs of a token and one before it"},
			&cli.DurationFlag{Name: flagLongFrom, Value: time.Second, Usage: "objective from which on a prompt counts as long"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			lines, err := logread.Files(command.Args().Slice(), command.Root().Reader)
			if err != nil {
				return err
			}
			report, err := losses.New(lines)
			if err != nil {
				return &exitError{code: exitFailed, err: err}
			}
			if err := report.Write(command.Root().Writer); err != nil {
				return err
			}
			if err := writeBound(command, report); err != nil {
				return err
			}
			if file := command.String(flagPlot); file != "" {
				return errors.Wrap(report.Plot(file), flagPlot)
			}
			return nil
		},
	}
}

// writeBound prints the bound when it is asked for.
func writeBound(command *cli.Command, report *losses.Report) error {
	servers := command.Int(flagServers)
	if servers == 0 {
		return nil
	}
	for _, name := range []string{flagServers, flagSlots} {
		if command.Int(name) < 1 {
			return &exitError{code: exitUsage, err: errors.Newf("--%s: must be above 0", name)}
		}
	}
	if command.Float(flagReadPerSecond) <= 0 {
		return &exitError{code: exitUsage, err: errors.Newf("--%s: must be above 0", flagReadPerSecond)}
	}
	fleet := losses.Fleet{
		Servers: servers, LongFrom: command.Duration(flagLongFrom),
		Engine: catalog.Engine{
			Slots: command.Int(flagSlots), PrefillTokensPerSecond: command.Float(flagReadPerSecond),
			TimePerMillionPairs: time.Duration(command.Float(flagPairs) * float64(time.Millisecond)),
		},
	}
	fmt.Fprintln(command.Root().Writer)
	return report.Bound(fleet).Write(command.Root().Writer)
}
