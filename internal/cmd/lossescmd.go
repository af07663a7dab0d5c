package cmd

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/logread"
	"github.com/mastwinch/mastwinch/internal/losses"
)

const flagPlot = "plot"

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
			if file := command.String(flagPlot); file != "" {
				return errors.Wrap(report.Plot(file), flagPlot)
			}
			return nil
		},
	}
}
