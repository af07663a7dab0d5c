// Package cmd has the command lines of all programs, one file for each.
package cmd

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/settings"
)

// Exit codes.
const (
	exitOK = iota
	// exitFailed: what was asked for failed.
	exitFailed
	// exitUsage: the command line or the settings are wrong.
	exitUsage
	// exitConflict: the change was refused, for another came first.
	exitConflict
)

// Names of common flags.
const (
	flagConfig = "config"
	flagCheck  = "check"
)

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string {
	return e.err.Error()
}

// Unwrap returns the error that the code is for.
func (e *exitError) Unwrap() error {
	return e.err
}

// Run runs a command until it ends or a signal stops it, and returns the exit
// code.
func Run(command *cli.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := command.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", command.Name, err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailed
}

// newServerCommand returns the command of a program that reads a file of
// settings and serves until it is stopped.
func newServerCommand[T any](name, usage string, defaults T, serve func(context.Context, T) error) *cli.Command {
	return &cli.Command{
		Name:                  name,
		Usage:                 usage,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagConfig, Aliases: []string{"c"}, Usage: "read settings from `FILE`"},
			&cli.BoolFlag{Name: flagCheck, Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.String(flagConfig) == "" {
				return &exitError{code: exitUsage, err: errors.New("--config is needed")}
			}
			loaded, err := settings.Load(command.String(flagConfig), defaults)
			if err != nil {
				return &exitError{code: exitUsage, err: err}
			}
			if command.Bool(flagCheck) {
				fmt.Fprintf(command.Root().Writer, "%s: settings are good\n", command.String(flagConfig))
				return nil
			}
			return serve(ctx, loaded)
		},
	}
}

// newJSONLogger returns a logger that writes lines of JSON from that level on.
// An empty level is info.
func newJSONLogger(target io.Writer, name string) *slog.Logger {
	level := slog.LevelInfo
	_ = level.UnmarshalText([]byte(name)) // checked on load; empty keeps info
	return slog.New(slog.NewJSONHandler(target, &slog.HandlerOptions{Level: level}))
}

// newLogger returns a logger that writes lines of JSON to stderr. The logging
// settings may have a level.
func newLogger(program, vm string, logging map[string]string) *slog.Logger {
	logger := newJSONLogger(os.Stderr, logging["level"]).With("program", program)
	if vm != "" {
		logger = logger.With("vm", vm)
	}
	return logger
}
