package cmds

import (
	"errors"
	"fmt"
	"log/slog"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dahliawinch/internal/cli/daemon"
	"dahliawinch/internal/conf/setup"
	"dahliawinch/internal/conf/valid"
	"dahliawinch/internal/edge/entry"
)

var cmdEntry = command{
	use: "entry [SETTINGS.json]", short: "Run the daemon of one entry VM",
	long:  "Run the daemon of one entry VM with the settings of a JSON file; every setting is\nalso a flag, and a flag goes before the file. SIGTERM drains: work in progress\nis finished and nothing is cut. A second signal ends at once.",
	args:  cobra.MaximumNArgs(1),
	flags: settingFlags,
	action: func(c *cobra.Command, args []string) error {
		set, err := settings(c, args)
		if err != nil {
			return err
		}
		leave, kill, stop := daemon.Signals()
		defer stop()
		log := logger(c.ErrOrStderr(), slog.Level(set.LogLevel()))
		d, err := entry.New(kill, set, log)
		if err != nil {
			return failed(fmt.Errorf("entry: %w", err))
		}
		if err := d.Run(kill, leave); err != nil {
			return failed(fmt.Errorf("entry: %w", err))
		}
		return nil
	},
}

// settingNames lists the settings that are also flags, with their help texts.
var settingNames = []struct{ name, help string }{
	{"domain", "failure domain of this VM"},
	{"stream", "the service's stream of the platform's log"},
	{"mesh", "address for the other entry VMs"},
	{"caller", "address for callers"},
	{"operator", "address for operators"},
	{"log", "address of the platform's log"},
	{"list", "address of the platform's list"},
	{"peers", "mesh addresses of other entry VMs, with commas"},
	{"policy", "how endpoints are picked"},
	{"memory", "bytes of submissions held at once"},
	{"term", "how long a ticket may start work"},
	{"retention", "how long the log keeps records"},
	{"linger", "how long a leaving VM still listens"},
	{"level", "debug, info, warn or error"},
}

func settingFlags(f *pflag.FlagSet) {
	for _, s := range settingNames {
		f.String(s.name, "", s.help)
	}
}

// settings merges defaults, settings file and flags, and validates the result.
func settings(c *cobra.Command, args []string) (setup.Settings, error) {
	set := setup.Default()
	if len(args) == 1 {
		if err := set.Read(args[0]); err != nil {
			return set, fmt.Errorf("settings: %w", err)
		}
	}
	var problems []valid.Problem
	for _, s := range settingNames {
		if !c.Flags().Changed(s.name) {
			continue
		}
		text, err := c.Flags().GetString(s.name)
		if err == nil {
			err = set.Set(s.name, text)
		}
		if err != nil {
			problems = append(problems, valid.Problem{Field: s.name, Wrong: err.Error(), Fix: "mend the flag"})
		}
	}
	if problems = append(problems, set.Check()...); len(problems) > 0 {
		return set, fmt.Errorf("settings: %w", errors.Join(&valid.Error{Problems: problems}))
	}
	return set, nil
}
