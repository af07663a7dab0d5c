package cmd

import (
	"context"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/load"
)

// flagJSON is the flag for the file of the JSON report.
const flagJSON = "json"

// NewLoadCommand returns the command line of mw-load.
func NewLoadCommand() *cli.Command {
	report := ""
	command := newServerCommand("mw-load", "send a mix of requests, verify every response and report latencies",
		load.Settings{}, func(ctx context.Context, settings load.Settings) error {
			return runLoad(ctx, settings, report)
		})
	command.Commands = []*cli.Command{newCapacityCommand()}
	command.Flags = append(command.Flags, &cli.StringFlag{
		Name:        flagJSON,
		Usage:       "also write the report as JSON to `FILE`",
		Destination: &report,
	})
	return command
}

func runLoad(ctx context.Context, settings load.Settings, file string) error {
	report, err := load.New(settings, newLogger("mw-load", "", nil)).Run(ctx)
	report.Print(os.Stdout)
	if err != nil {
		return err
	}
	if file != "" {
		encoded, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return errors.Wrap(err, "report")
		}
		err = os.WriteFile(file, append(encoded, '\n'), 0o644) //nolint:gosec // the report is public
		if err != nil {
			return errors.Wrap(err, "report")
		}
	}
	if report.Check.Violated() {
		return errors.New("the load test found violations")
	}
	return nil
}
