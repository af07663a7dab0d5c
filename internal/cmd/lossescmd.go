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

// Flags of the losses command.
const (
	flagPlot             = "plot"
	flagServers          = "servers"
	flagSlots            = "slots"
	flagPrefillRate      = "read-per-s"
	flagPairsPerMillion  = "pairs-per-m"
	flagMinLongObjective = "long-from"
)

// newLossesCommand returns the subcommand that reports why requests were not served
// in time.
func newLossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "report from logs which requests were not served in time, and why",
		ArgsUsage: "[FILE...]",
		Description: "Reads JSON lines of all VMs from the files, or from standard input. A caller's retry\n" +
			"counts as another request.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagPlot, Usage: "also write a plot by second to `FILE`, as .svg, .png or .pdf"},
			&cli.IntFlag{Name: flagServers, Usage: "also estimate the prefills that `COUNT` engines could serve in time with all arrivals known in advance"},
			&cli.IntFlag{Name: flagSlots, Value: 16, Usage: "maximum concurrent requests of one engine"},
			&cli.FloatFlag{Name: flagPrefillRate, Value: 154_000, Usage: "prefill rate of one engine, in tokens a second"},
			&cli.FloatFlag{Name: flagPairsPerMillion, Value: 0.162, Usage: "prefill time for a million pairs of a token and an earlier token, in milliseconds"},
			&cli.DurationFlag{Name: flagMinLongObjective, Value: time.Second, Usage: "minimum objective of a prompt that counts as long"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			lines, err := logread.ReadFiles(command.Args().Slice(), command.Root().Reader)
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

// writeBound prints the estimate of losses.Report.Bound if --servers is set.
func writeBound(command *cli.Command, report *losses.Report) error {
	servers := command.Int(flagServers)
	if servers == 0 {
		return nil
	}
	for _, name := range []string{flagServers, flagSlots} {
		if command.Int(name) < 1 {
			return &exitError{code: exitUsage, err: errors.Newf("--%s: must be greater than 0", name)}
		}
	}
	if command.Float(flagPrefillRate) <= 0 {
		return &exitError{code: exitUsage, err: errors.Newf("--%s: must be greater than 0", flagPrefillRate)}
	}
	fleet := losses.Fleet{
		Servers: servers, MinLongObjective: command.Duration(flagMinLongObjective),
		Engine: catalog.Engine{
			Slots: command.Int(flagSlots), PrefillTokensPerSecond: command.Float(flagPrefillRate),
			TimePerMillionPairs: time.Duration(command.Float(flagPairsPerMillion) * float64(time.Millisecond)),
		},
	}
	fmt.Fprintln(command.Root().Writer)
	return report.Bound(fleet).Write(command.Root().Writer)
}
