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

// flagVM is the flag for the address of the VM.
const flagVM = "vm"

func newServersCommand() *cli.Command {
	return &cli.Command{
		Name:  "servers",
		Usage: "show the state of the backend servers at one VM, which VM reported it, and the quarantined requests",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: flagVM, Value: "http://127.0.0.1:8641", Sources: cli.EnvVars("MASTWINCH_VM"),
				Usage: "base `ADDRESS` at which a VM serves /metrics",
			},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			var status gateway.Status
			return showURL(ctx, command, command.String(flagVM)+"/status", &status, func(w io.Writer) {
				writeStatus(w, status)
			})
		},
	}
}

// writeStatus writes the VM's status, its servers, the organisations over their shares and the
// quarantined requests as tab-separated lines. The row
// "VMs heard" has the number of live VMs, and "decides" the coordinators, the current one first. The column RESTS FROM has the remaining
// backoff of the server at each VM, and LIMIT its rate limit.
func writeStatus(w io.Writer, status gateway.Status) {
	fmt.Fprintf(w, "VM\t%s\nVMs heard\t%d\ndecides\t%s\nepoch of the store\t%d%s\n\n",
		status.VM, status.Members, cmp.Or(strings.Join(status.Coordinators, ", "), "nobody"),
		status.Epoch, formatIfSet(", rose %.0f s ago", status.EpochSeconds))
	fmt.Fprintln(w, "SERVER\tSERVICE\tLISTING\tRUNNING\tSUSPECT\tLEAVING\tRESTS FROM\tLIMIT\tCOLD")
	for _, server := range status.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%s\t%s\t%s\t%s\n", server.ID, server.Service, server.Listing, server.Running, server.Suspect,
			drainingText(server), backoffsText(server.Backoffs), rateLimitText(server.Limit), cmp.Or(formatIfSet("%.1f s more", server.ColdSeconds), emptyCell))
	}
	writeOverShares(w, status.OverShares)
	if len(status.Quarantined) == 0 {
		return
	}
	fmt.Fprintln(w, "\nREQUEST KEPT FROM SERVERS\tFOR\tFOUND")
	for _, entry := range status.Quarantined {
		fmt.Fprintf(w, "%s\t%.0f s\t%d times\n", entry.Fingerprint, entry.Seconds, entry.Times)
	}
}

// writeOverShares writes the organisations that use more than their shares of the servers, if there
// are any.
func writeOverShares(w io.Writer, overShares []gateway.OverShareStatus) {
	if len(overShares) == 0 {
		return
	}
	fmt.Fprintln(w, "\nORGANISATION OVER ITS SHARE\tSERVICE\tTIMES ITS SHARE\tSHARE OF ONE")
	for _, share := range overShares {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f servers\n", cmp.Or(share.Organisation, emptyCell), share.Service, share.Ratio, share.Share)
	}
}

// emptyCell is the text of cells without a value.
const emptyCell = "-"

// formatIfSet formats a number of seconds, and returns an empty string for zero.
func formatIfSet(format string, seconds float64) string {
	if seconds == 0 {
		return ""
	}
	return fmt.Sprintf(format, seconds)
}

func drainingText(server pool.ServerStatus) string {
	if server.DrainingReportedBy == "" {
		return emptyCell
	}
	return "by " + server.DrainingReportedBy
}

func backoffsText(backoffs []pool.BackoffStatus) string {
	if len(backoffs) == 0 {
		return emptyCell
	}
	texts := make([]string, 0, len(backoffs))
	for _, backoff := range backoffs {
		texts = append(texts, fmt.Sprintf("%s %.1f s", backoff.VM, backoff.Seconds))
	}
	return strings.Join(texts, ", ")
}

func rateLimitText(limit *pool.LimitStatus) string {
	switch {
	case limit == nil:
		return emptyCell
	case limit.Lifted:
		return fmt.Sprintf("lifted, was %g/s", limit.PerSecond)
	default:
		return fmt.Sprintf("%g/s, takes %.1f, said %.0f s ago", limit.PerSecond, limit.Available, limit.AdvertisedSeconds)
	}
}
