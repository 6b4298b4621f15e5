// Package cmds has the commands of the one binary, each in a file of its own.
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

// command is one declared command.
type command struct {
	use    string
	short  string
	long   string
	args   cobra.PositionalArgs
	flags  func(*pflag.FlagSet)
	action func(c *cobra.Command, args []string) error
}

// commands in the order of the help text.
var commands = []command{
	cmdDemo, cmdLocal, cmdEntry, cmdServe, cmdCheck, cmdLoad, cmdBench,
	cmdDeclare, cmdForm, cmdDiff, cmdHistory, cmdWatch, cmdKeys, cmdMan, cmdVersion,
}

// code is an error that ends the process with an exit code of its own.
type code struct {
	n   int
	err error
}

func (c *code) Error() string { return c.err.Error() }
func (c *code) Unwrap() error { return c.err }

// The exit codes.
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
	var c *code
	if errors.As(err, &c) {
		return c.n
	}
	return exitUsage
}

// failed marks an error as the command's own failure rather than a wrong call.
func failed(err error) error { return &code{exitFailed, err} }

// logger writes one line of key=value pairs for each event, and counts floods.
func logger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(sample.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})))
}
