package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/capacity"
)

// newCapacityCommand returns the subcommand of mw-load that measures how costs grow with size.
func newCapacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how the cost of each component grows with its size",
		Action: func(ctx context.Context, command *cli.Command) error {
			series, err := capacity.Measure(ctx)
			if err != nil {
				return err
			}
			capacity.Print(command.Root().Writer, series)
			return nil
		},
	}
}
