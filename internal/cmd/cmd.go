// Package cmd implements the command lines of all programs, with one file for each program or group of subcommands.
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
	// exitFailed: the operation failed.
	exitFailed
	// exitUsage: the command line or the settings are invalid.
	exitUsage
	// exitConflict: the change was rejected, since the object has another version or does not exist.
	exitConflict
)

// Flags of several programs.
const (
	flagConfig = "config"
	flagCheck  = "check"
)

// exitError is an error with an exit code other than exitFailed.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string {
	return e.err.Error()
}

// Unwrap returns the underlying error.
func (e *exitError) Unwrap() error {
	return e.err
}

// Run runs a command and returns the exit code. It prints errors to stderr. SIGINT
// and SIGTERM cancel the command's context.
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

// newServerCommand returns the command of a program that loads a settings file
// over defaults and calls serve, which returns when its context is cancelled.
func newServerCommand[T any](name, usage string, defaults T, serve func(context.Context, T) error) *cli.Command {
	return &cli.Command{
		Name:                  name,
		Usage:                 usage,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagConfig, Aliases: []string{"c"}, Usage: "read settings from `FILE`"},
			&cli.BoolFlag{Name: flagCheck, Usage: "validate the settings and exit"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.String(flagConfig) == "" {
				return &exitError{code: exitUsage, err: errors.New("--config is required")}
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

// newJSONLogger returns a logger that writes JSON lines of the named level and
// above. The level of an empty name is info.
func newJSONLogger(target io.Writer, name string) *slog.Logger {
	level := slog.LevelInfo
	_ = level.UnmarshalText([]byte(name)) // validated when the settings were loaded; empty keeps info
	return slog.New(slog.NewJSONHandler(target, &slog.HandlerOptions{Level: level}))
}

// newLogger returns a logger that writes JSON lines to stderr, with the name of
// the program and, if it is not empty, the VM. The key "level" of the logging
// settings is optional.
func newLogger(program, vm string, logging map[string]string) *slog.Logger {
	logger := newJSONLogger(os.Stderr, logging["level"]).With("program", program)
	if vm != "" {
		logger = logger.With("vm", vm)
	}
	return logger
}
