package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/entry"
)

// Flags of mastwinch and its subcommands, and their values.
const (
	flagEntry   = "entry"
	flagOutput  = "output"
	flagVersion = "version"
	outputJSON  = "json"
)

// nameList is the name of the subcommands that list all objects of a kind.
const nameList = "list"

// NewMastwinchCommand returns the command line of mastwinch, for operators.
func NewMastwinchCommand() *cli.Command {
	return &cli.Command{
		Name:                  "mastwinch",
		Usage:                 "operate the system",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagEntry, Value: "http://127.0.0.1:7001", Usage: "base `ADDRESS` of any entry", Sources: cli.EnvVars("MASTWINCH_ENTRY")},
			&cli.StringFlag{Name: flagOutput, Value: "table", Usage: "table or json"},
		},
		Commands: []*cli.Command{
			newStatusCommand(),
			newReadyCommand(),
			newOrganisationCommand(),
			newSessionCommand(),
			newEvacuationCommand(),
			newExplainCommand(),
			newLossesCommand(),
			newServersCommand(),
		},
	}
}

func newStatusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the status of an entry",
		Action: func(ctx context.Context, command *cli.Command) error {
			var status entry.VMStatus
			return showObject(ctx, command, "/v1/admin/status", &status, func(w io.Writer) {
				fmt.Fprintf(w, "VM\t%s\nstopping\t%t\nkeeper connected\t%t\nnext offset\t%d\nconfiguration version\t%d\nkeys\t%d\nrunning\t%d\n",
					status.VM, status.Stopping, status.KeeperConnected, status.NextOffset,
					status.ConfigurationVersion, status.Keys, status.Running)
				for _, listed := range status.Listed {
					fmt.Fprintf(w, "listed %s VMs\t%d\n", listed.Kind, listed.Count)
				}
			})
		},
	}
}

func newReadyCommand() *cli.Command {
	return &cli.Command{
		Name:  "ready",
		Usage: "exit with 0 if an entry is ready",
		Action: func(ctx context.Context, command *cli.Command) error {
			body, status, err := sendRequest(ctx, command, http.MethodGet, "/readyz", nil)
			if err == nil && status != http.StatusOK {
				err = errors.Newf("not ready: %s", bytes.TrimSpace(body))
			}
			return err
		},
	}
}

func newOrganisationCommand() *cli.Command {
	return &cli.Command{
		Name:  "organisation",
		Usage: "list, add, change and remove organisations",
		Commands: []*cli.Command{
			{Name: nameList, Usage: "list organisations", Action: listOrganisations},
			{
				Name:      "put",
				Usage:     "add an organisation, or change the one with the expected version",
				ArgsUsage: "NAME",
				Flags: []cli.Flag{
					&cli.Uint32Flag{Name: "weight", Value: 1, Usage: "share of the fleet relative to other organisations"},
					&cli.Uint32Flag{Name: "max-concurrent", Value: 256, Usage: "maximum requests in flight at one entry"},
					&cli.Uint64Flag{Name: flagVersion, Usage: "the current version, 0 for a new organisation"},
				},
				Action: putOrganisation,
			},
			{
				Name:      "remove",
				Usage:     "remove an organisation",
				ArgsUsage: "NAME",
				Flags:     []cli.Flag{&cli.Uint64Flag{Name: flagVersion, Usage: "the current version of the organisation", Required: true}},
				Action: func(ctx context.Context, command *cli.Command) error {
					return removeObject(ctx, command, "/v1/admin/organisations/")
				},
			},
		},
	}
}

func newSessionCommand() *cli.Command {
	return &cli.Command{
		Name:  "session",
		Usage: "list, create and end sessions",
		Commands: []*cli.Command{
			{Name: nameList, Usage: "list sessions", Action: listSessions},
			{
				Name:      "create",
				Usage:     "create a session",
				ArgsUsage: "ID",
				Flags:     []cli.Flag{&cli.StringFlag{Name: "organisation", Usage: "the organisation of the session", Required: true}},
				Action: func(ctx context.Context, command *cli.Command) error {
					created := entry.Session{Organisation: command.String("organisation")}
					return changeObject(ctx, command, http.MethodPut, "/v1/admin/sessions/", "", created)
				},
			},
			{
				Name:      "end",
				Usage:     "end a session",
				ArgsUsage: "ID",
				Flags:     []cli.Flag{&cli.Uint64Flag{Name: flagVersion, Usage: "the current version of the session", Required: true}},
				Action: func(ctx context.Context, command *cli.Command) error {
					return removeObject(ctx, command, "/v1/admin/sessions/")
				},
			},
		},
	}
}

func listOrganisations(ctx context.Context, command *cli.Command) error {
	var organisations []entry.Organisation
	return showObject(ctx, command, "/v1/admin/organisations", &organisations, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tWEIGHT\tMAX CONCURRENT\tVERSION")
		for _, organisation := range organisations {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", organisation.Name, organisation.Weight,
				organisation.MaxConcurrent, organisation.Version)
		}
	})
}

func listSessions(ctx context.Context, command *cli.Command) error {
	var sessions []entry.Session
	return showObject(ctx, command, "/v1/admin/sessions", &sessions, func(w io.Writer) {
		fmt.Fprintln(w, "ID\tORGANISATION\tVERSION")
		for _, session := range sessions {
			fmt.Fprintf(w, "%s\t%s\t%d\n", session.ID, session.Organisation, session.Version)
		}
	})
}

func putOrganisation(ctx context.Context, command *cli.Command) error {
	return changeObject(ctx, command, http.MethodPut, "/v1/admin/organisations/", "", entry.Organisation{
		Weight:        command.Uint32("weight"),
		MaxConcurrent: command.Uint32("max-concurrent"),
		Version:       command.Uint64(flagVersion),
	})
}

// removeObject deletes the object that the single argument names, by a request to the entry. It does so only if the object
// has the version of the --version flag.
func removeObject(ctx context.Context, command *cli.Command, path string) error {
	query := "?version=" + strconv.FormatUint(command.Uint64(flagVersion), 10)
	return changeObject(ctx, command, http.MethodDelete, path, query, nil)
}

// showObject is showURL for a path of the entry that the --entry flag selects.
func showObject(ctx context.Context, command *cli.Command, path string, value any, table func(io.Writer)) error {
	return showURL(ctx, command, command.String(flagEntry)+path, value, table)
}

// showURL gets a URL and prints the response body: unchanged with --output json, and otherwise decoded into value and
// written by table.
func showURL(ctx context.Context, command *cli.Command, address string, value any, table func(io.Writer)) error {
	body, status, err := sendRequestTo(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Newf("%s", bytes.TrimSpace(body))
	}
	if command.String(flagOutput) == outputJSON {
		_, err = command.Root().Writer.Write(body)
		return errors.WithStack(err)
	}
	err = json.Unmarshal(body, value)
	if err != nil {
		return errors.Wrap(err, "response")
	}
	writer := tabwriter.NewWriter(command.Root().Writer, 0, 0, 2, ' ', 0)
	table(writer)
	return errors.WithStack(writer.Flush())
}

// escapedName returns the single argument, escaped as a path segment.
func escapedName(command *cli.Command) (string, error) {
	if command.NArg() != 1 {
		return "", &exitError{code: exitUsage, err: errors.New("exactly one argument is required: " + command.ArgsUsage)}
	}
	return url.PathEscape(command.Args().First()), nil
}

// changeObject sends the entry a request that changes the object that the single argument names, and prints the response. The
// request path is path, the escaped name and query; a nil value is sent as null.
func changeObject(ctx context.Context, command *cli.Command, method, path, query string, value any) error {
	name, err := escapedName(command)
	if err != nil {
		return err
	}
	body, status, err := sendRequest(ctx, command, method, path+name+query, value)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK:
		_, err = command.Root().Writer.Write(body)
		return errors.WithStack(err)
	case http.StatusConflict, http.StatusNotFound:
		return &exitError{code: exitConflict, err: errors.Newf("%s", bytes.TrimSpace(body))}
	case http.StatusBadRequest:
		return &exitError{code: exitUsage, err: errors.Newf("%s", bytes.TrimSpace(body))}
	default:
		return errors.Newf("status %d: %s", status, bytes.TrimSpace(body))
	}
}

// sendRequest is sendRequestTo for a path of the entry that the --entry flag selects.
func sendRequest(ctx context.Context, command *cli.Command, method, path string, value any) ([]byte, int, error) {
	return sendRequestTo(ctx, method, command.String(flagEntry)+path, value)
}

// sendRequestTo sends a request to a URL, with value as its JSON body, and returns the body and the status of the response.
func sendRequestTo(ctx context.Context, method, address string, value any) ([]byte, int, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, 0, errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(encoded))
	if err != nil {
		return nil, 0, errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return body, response.StatusCode, errors.WithStack(err)
}
