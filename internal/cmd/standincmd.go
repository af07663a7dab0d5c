package cmd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/standin"
)

// NewStandinCommand returns the command line of mw-standin.
func NewStandinCommand() *cli.Command {
	command := newServerCommand("mw-standin", "simulate the platform and the backend servers",
		standin.DefaultSettings(), runStandin)
	command.Commands = []*cli.Command{newFaultCommand()}
	return command
}

func runStandin(ctx context.Context, settings standin.Settings) error {
	return standin.New(settings, newLogger("mw-standin", "", nil)).Run(ctx)
}

func newFaultCommand() *cli.Command {
	return &cli.Command{
		Name:      "fault",
		Usage:     "inject faults into running stand-ins",
		ArgsUsage: `JSON, such as '{"log": {"outage": true}}' or '{"kill": ["suva-a-00"]}'`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Value: "http://127.0.0.1:7100", Usage: "the stand-ins' base `ADDRESS`"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.NArg() != 1 {
				return &exitError{code: exitUsage, err: errors.New("exactly one argument, a JSON object, is required")}
			}
			return postFault(ctx, command.String("platform"), command.Args().First())
		},
	}
}

func postFault(ctx context.Context, platform, faults string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, platform+"/admin/faults", bytes.NewBufferString(faults))
	if err != nil {
		return errors.Wrap(err, "fault")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "fault")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		return nil
	}
	body, _ := io.ReadAll(response.Body)
	return &exitError{code: exitUsage, err: fmt.Errorf("fault: %s", bytes.TrimSpace(body))}
}
