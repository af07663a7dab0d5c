package cmd

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/gateway"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// flagVM names the VM that is asked.
const flagVM = "vm"

func newServersCommand() *cli.Command {
	return &cli.Command{
		Name:  "servers",
		Usage: "show what a VM knows of the backend servers: what they ask for, who said so, what is kept from them",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: flagVM, Value: "http://127.0.0.1:8641", Sources: cli.EnvVars("MASTWINCH_VM"),
				Usage: "base `ADDRESS` at which a VM serves /metrics",
			},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			var status gateway.Status
			return showAt(ctx, command, command.String(flagVM)+"/status", &status, func(w io.Writer) {
				writeStatus(w, status)
			})
		},
	}
}

func writeStatus(w io.Writer, status gateway.Status) {
	fmt.Fprintf(w, "VM\t%s\nVMs heard\t%d\ndecides\t%s\nepoch of the store\t%d%s\n\n",
		status.VM, status.Members, cmp.Or(strings.Join(status.Coordinators, ", "), "nobody"),
		status.Epoch, ago(", rose %.0f s ago", status.EpochSeconds))
	fmt.Fprintln(w, "SERVER\tSERVICE\tLISTING\tRUNNING\tSUSPECT\tLEAVING\tRESTS FROM\tLIMIT\tCOLD")
	for _, server := range status.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%s\t%s\t%s\t%s\n", server.ID, server.Service, server.Listing, server.Running, server.Suspect,
			leavingText(server), restsText(server.Backoffs), limitText(server.Limit), cmp.Or(ago("%.1f s more", server.ColdSeconds), nothing))
	}
	if len(status.Quarantined) == 0 {
		return
	}
	fmt.Fprintln(w, "\nREQUEST KEPT FROM SERVERS\tFOR\tFOUND")
	for _, kept := range status.Quarantined {
		fmt.Fprintf(w, "%s\t%.0f s\t%d times\n", kept.Fingerprint, kept.Seconds, kept.Times)
	}
}

// nothing stands in cells without a value.
const nothing = "-"

func ago(format string, seconds float64) string {
	if seconds == 0 {
		return ""
	}
	return fmt.Sprintf(format, seconds)
}

func leavingText(server pool.ServerStatus) string {
	if server.DrainingReportedBy == "" {
		return nothing
	}
	return "by " + server.DrainingReportedBy
}

func restsText(rests []pool.BackoffStatus) string {
	if len(rests) == 0 {
		return nothing
	}
	texts := make([]string, 0, len(rests))
	for _, rest := range rests {
		texts = append(texts, fmt.Sprintf("%s %.1f s", rest.VM, rest.Seconds))
	}
	return strings.Join(texts, ", ")
}

func limitText(limit *pool.LimitStatus) string {
	switch {
	case limit == nil:
		return nothing
	case limit.Lifted:
		return fmt.Sprintf("lifted, was %g/s", limit.PerSecond)
	default:
		return fmt.Sprintf("%g/s, takes %.1f, said %.0f s ago", limit.PerSecond, limit.Available, limit.AdvertisedSeconds)
	}
}
