package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/setup"
	"dahliawinch/internal/conf/valid"
)

var errInvalid = errors.New("the file is not valid")

var cmdCheck = command{
	use: "check FILE", short: "Check a settings file or a document",
	long: "Check a daemon's settings file or a service's document. Each problem is one line:\nthe field, what is wrong, how to mend it. The exit code is 1 if there is any.",
	args: cobra.ExactArgs(1),
	action: func(c *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return failed(fmt.Errorf("check: %w", err))
		}
		kind, problems := checkFile(args[0], text)
		for _, p := range problems {
			fmt.Fprintln(c.OutOrStdout(), p)
		}
		if len(problems) > 0 {
			return failed(fmt.Errorf("check %s: %w", args[0], errInvalid))
		}
		fmt.Fprintf(c.OutOrStdout(), "ok %s %s\n", kind, args[0])
		return nil
	},
}

// checkFile checks a settings file or a document. Only settings have the field mesh or
// domain.
func checkFile(path string, text []byte) (kind string, problems []valid.Problem) {
	var probe map[string]json.RawMessage
	if json.Unmarshal(text, &probe) == nil && (probe["mesh"] != nil || probe["domain"] != nil) {
		set := setup.Default()
		return "settings", append(problemsOf(set.Read(path)), set.Check()...)
	}
	_, err := doc.Parse(text)
	return "document", problemsOf(err)
}

// problemsOf returns the problems in an error.
func problemsOf(err error) []valid.Problem {
	var in *valid.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &in):
		return in.Problems
	default:
		return []valid.Problem{{Field: "file", Wrong: err.Error(), Fix: "mend the file"}}
	}
}
