package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/entry"
)

// NewEntryCommand returns the command line of mw-entry.
func NewEntryCommand() *cli.Command {
	return newServerCommand("mw-entry", "take callers' requests and answer for their outcome",
		entry.DefaultSettings(), runEntry)
}

func runEntry(ctx context.Context, settings entry.Settings) error {
	logger := newLogger("mw-entry", settings.VM, settings.Logging)
	served, client, err := entry.New(settings, backend.NewHTTPBackend(), logger)
	if err != nil {
		return err
	}
	return served.Run(ctx, client.Run)
}
