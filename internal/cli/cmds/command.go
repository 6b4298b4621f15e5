// Package cmds implements the commands of the dahliawinch binary, one file each.
package cmds

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dahliawinch/internal/base/sample"
)

// command describes one command.
type command struct {
	use    string
	short  string
	long   string
	args   cobra.PositionalArgs
	flags  func(*pflag.FlagSet)
	action func(c *cobra.Command, args []string) error
}

// commands lists all commands in the order of the help text.
var commands = []command{
	cmdDemo, cmdLocal, cmdEntry, cmdServe, cmdCheck, cmdLoad, cmdBench,
	cmdDeclare, cmdForm, cmdDiff, cmdHistory, cmdWatch, cmdKeys, cmdMan, cmdVersion,
}

// exitError is an error with the exit code for the process.
type exitError struct {
	code int
	err  error
}

func (c *exitError) Error() string { return c.err.Error() }
func (c *exitError) Unwrap() error { return c.err }

// Exit codes of all commands; operator.go has more.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// Root builds the command tree.
func Root(out, errs io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use: "dahliawinch", Short: "A dispatcher for parallel sub-second tasks",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(errs)
	for _, c := range commands {
		sub := &cobra.Command{Use: c.use, Short: c.short, Long: c.long, Args: c.args, RunE: c.action}
		if sub.Args == nil {
			sub.Args = cobra.NoArgs
		}
		if c.flags != nil {
			c.flags(sub.Flags())
		}
		root.AddCommand(sub)
	}
	return root
}

// Main runs a command line and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	root := Root(out, errs)
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errs, "dahliawinch:", err)
	var c *exitError
	if errors.As(err, &c) {
		return c.code
	}
	return exitUsage
}

// failed marks an error as a failure of the command rather than a usage error.
func failed(err error) error { return &exitError{exitFailed, err} }

// logger returns a logger that writes key=value lines and limits repeated messages.
func logger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(sample.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})))
}
