package cmd

import (
	"context"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/keeper"
	"github.com/mastwinch/mastwinch/internal/platformclient"
)

// readWait is the maximum time for which a read at the end of the log waits for an entry.
const readWait = 5 * time.Second

// NewKeeperCommand returns the command line of mw-keeper.
func NewKeeperCommand() *cli.Command {
	return newServerCommand("mw-keeper", "follow the platform's log and VM list for the processes of this VM",
		keeper.DefaultSettings(), runKeeper)
}

func runKeeper(ctx context.Context, settings keeper.Settings) error {
	logger := newLogger("mw-keeper", settings.VM, settings.Logging)
	client := &http.Client{}
	process, err := keeper.New(settings, keeper.Platform{
		Log:         platformclient.NewHTTPLog(client, settings.Platform, settings.Log.Stream, readWait),
		Checkpoints: platformclient.NewHTTPLog(client, settings.Platform, settings.Log.CheckpointStream, settings.Intervals.Maintenance/2),
		VMList:      platformclient.NewHTTPVMList(client, settings.Platform),
		Engines:     backend.NewHTTPBackend(),
	}, logger)
	if err != nil {
		return err
	}
	return process.Run(ctx)
}
