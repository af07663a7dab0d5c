package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/entry"
)

// NewEntryCommand returns the command line of mw-entry.
func NewEntryCommand() *cli.Command {
	return newServerCommand("mw-entry", "accept callers' requests and track each one to its outcome",
		entry.DefaultSettings(), runEntry)
}

func runEntry(ctx context.Context, settings entry.Settings) error {
	logger := newLogger("mw-entry", settings.VM, settings.Logging)
	process, client, err := entry.New(settings, backend.NewHTTPBackend(), logger)
	if err != nil {
		return err
	}
	return process.Run(ctx, client.Run)
}
