package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/entry"
)

// flagConfirm is the flag without which an evacuation is only shown and not begun.
const flagConfirm = "confirm"

// pathEvacuations is the entry's path of evacuations.
const pathEvacuations = "/v1/admin/evacuations"

func newEvacuationCommand() *cli.Command {
	return &cli.Command{
		Name:  "evacuation",
		Usage: "stop new requests to the backend servers of a data centre",
		Commands: []*cli.Command{
			{Name: nameList, Usage: "list evacuations", Action: listEvacuations},
			{
				Name:      "begin",
				Usage:     "show the effect of an evacuation, and begin it with --" + flagConfirm,
				ArgsUsage: "DATA-CENTRE",
				Flags:     []cli.Flag{&cli.BoolFlag{Name: flagConfirm, Usage: "begin the evacuation"}},
				Action:    beginEvacuation,
			},
			{
				Name:      "end",
				Usage:     "end an evacuation",
				ArgsUsage: "DATA-CENTRE",
				Flags:     []cli.Flag{&cli.Uint64Flag{Name: flagVersion, Usage: "the current version of the evacuation", Required: true}},
				Action: func(ctx context.Context, command *cli.Command) error {
					return removeObject(ctx, command, pathEvacuations+"/")
				},
			},
		},
	}
}

func listEvacuations(ctx context.Context, command *cli.Command) error {
	var evacuations []entry.Evacuation
	return showObject(ctx, command, pathEvacuations, &evacuations, func(w io.Writer) {
		fmt.Fprintln(w, "DATA CENTRE\tVERSION")
		for _, evacuation := range evacuations {
			fmt.Fprintf(w, "%s\t%d\n", evacuation.DataCentre, evacuation.Version)
		}
	})
}

func beginEvacuation(ctx context.Context, command *cli.Command) error {
	if command.Bool(flagConfirm) {
		return changeObject(ctx, command, http.MethodPut, pathEvacuations+"/", "", nil)
	}
	name, err := escapedName(command)
	if err != nil {
		return err
	}
	var plan entry.EvacuationPlan
	write := func(w io.Writer) { writeEvacuationPlan(w, plan) }
	if err := showObject(ctx, command, pathEvacuations+"/"+name, &plan, write); err != nil {
		return err
	}
	return &exitError{code: exitUsage, err: errors.Newf("evacuation not begun: --%s is not set", flagConfirm)}
}

func writeEvacuationPlan(w io.Writer, plan entry.EvacuationPlan) {
	if plan.Version > 0 {
		fmt.Fprintf(w, "in force\tversion %d\n", plan.Version)
	}
	fmt.Fprintln(w, "KIND\tGET NOTHING NEW\tLEFT")
	for _, kind := range plan.Kinds {
		fmt.Fprintf(w, "%s\t%d\t%d\n", kind.Kind, kind.InDataCentre, kind.Remaining)
	}
}
